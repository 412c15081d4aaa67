"""Membership without I/O: time, messages and random draws go in, messages and events come out.

SWIM as published (2002): round-robin probes in an order that is drawn anew each round, indirect probes,
suspicion that the suspect may refute by a higher number, news that ride on what is sent anyway. Lifeguard
(2018): a member that is itself late waits longer before it suspects anybody, suspicion shortens as more
confirm it, and a suspect hears of it with the next probe. A life is ordered by its generation first, so that
a restart is a new life that no word on an old one touches; who was declared failed is asked again for a time,
and views are exchanged whole now and then, so that parts find together again.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from random import Random

import msgspec

from membership.messages import (
    Ack,
    AskFor,
    Changed,
    Exchange,
    Gossip,
    Message,
    Nack,
    Out,
    Ping,
    Replaced,
    Say,
    State,
    Update,
)
from membership.sampling_pool import Roll

SECOND = 1_000_000
MOST_MEMBERS = 4096
LIVE = (State.ALIVE, State.SUSPECT)


@dataclass(frozen=True, slots=True)
class Settings:
    """Times in microseconds on the member's own monotonic clock."""

    period_us: int = SECOND  # between two probes
    ack_us: int = 300_000  # for an answer, before others are asked to ask
    gossip_us: int = 200_000  # between two rounds of news alone, while there is some
    exchange_us: int = 15 * SECOND  # between two whole exchanges
    again_us: int = 5 * SECOND  # between two probes of members that were declared failed
    forget_us: int = 600 * SECOND  # after which one that failed or left is forgotten
    indirect: int = 3  # members that are asked to ask
    fanout: int = 3  # members that news alone go to
    suspicion: float = 4.0  # least suspicion in periods, times the logarithm of the fleet
    patience: float = 5.0  # most suspicion, as a multiple of the least
    confirmers: int = 3  # independent suspicions after which the least counts
    repeats: float = 4.0  # times that a piece of news is sent, times the logarithm of the fleet
    most_health: int = 8  # most steps by which a late member waits longer
    most_updates: int = 12  # in one datagram


@dataclass(slots=True)
class Held:
    """What is held of a member."""

    update: Update
    since_us: int
    suspected_by: set[str] = field(default_factory=set)
    suspected_us: int = 0


@dataclass(slots=True)
class Probe:
    """One that is under way, for this member or in another's place."""

    name: str
    address: str
    over_us: int
    asks_us: int  # when others are asked to ask; 0: they were, or are not to be
    asker: str = ""  # in whose place: its address
    asker_seq: int = 0
    nacks_due: int = 0
    nacks: int = 0


@dataclass(slots=True)
class News:
    """An update that is passed on."""

    update: Update
    serial: int  # of its place in the queue; an entry with another one is over
    sent: int = 0


class Peers:
    """One member."""

    def __init__(
        self, me: Update, seeds: tuple[str, ...], *, settings: Settings, random: Random, now_us: int
    ) -> None:
        """``me`` is this life; ``seeds`` are addresses at which others may be found."""
        self._settings, self._random, self._seeds = settings, random, seeds
        self.me, self._now_us = me, now_us
        self.held: dict[str, Held] = {me.name: Held(me, now_us)}
        # The others by their state, and all by address: a step must not look at every member.
        self._live, self._alive, self._failed = Roll(), Roll(), Roll()
        self._suspects: dict[str, None] = {}
        self._at: dict[str, dict[str, None]] = {me.address: {me.name: None}}
        self._news: dict[str, News] = {}
        self._queue: list[tuple[int, int, str]] = []  # heap of news: times sent, serial, name
        self._serial = 0
        self._pass_on(me)
        self._order: list[str] = []
        self._probes: dict[int, Probe] = {}
        self._seq = random.randrange(1 << 30)
        self.health = 0  # steps by which this member is late by its own judgement
        self.replaced = False
        self._probe_us = now_us + random.randrange(settings.period_us)
        self._gossip_us = now_us + settings.gossip_us
        self._exchange_us, self._joined_us = now_us, settings.gossip_us
        self._again_us = now_us + settings.again_us
        self._out: list[Out] = []

    # What is held

    def live(self) -> list[Update]:
        """Members that are alive or suspect, this one included."""
        return [held.update for held in self.held.values() if held.update.state in LIVE]

    def _drawn(self, roll: Roll, most: int, *without: str) -> list[Update]:
        """So many of them, drawn."""
        return [self.held[name].update for name in roll.draw(self._random, most, *without)]

    def _file(self, update: Update) -> None:
        """Keep a member's place among the others by what is held of it now."""
        self._drop(update.name)
        self._at.setdefault(update.address, {})[update.name] = None
        if update.name == self.me.name:
            return
        if update.state in LIVE:
            self._live.add(update.name)
        if update.state is State.ALIVE:
            self._alive.add(update.name)
        elif update.state is State.SUSPECT:
            self._suspects[update.name] = None
        elif update.state is State.FAILED:
            self._failed.add(update.name)

    def _drop(self, name: str) -> None:
        """It is among nobody any more."""
        for roll in (self._live, self._alive, self._failed):
            roll.discard(name)
        self._suspects.pop(name, None)
        if (held := self.held.get(name)) is not None and name in (there := self._at[held.update.address]):
            del there[name]
            if not there:
                del self._at[held.update.address]

    def _scale(self) -> float:
        """The logarithm by which times and repeats grow with the fleet."""
        return max(1.0, math.log10(len(self._live) + 1))

    # Steps

    @property
    def due_us(self) -> int:
        """When ``wake`` is due."""
        times = [self._probe_us, self._gossip_us, self._exchange_us, self._again_us]
        times += [min(probe.over_us, probe.asks_us or probe.over_us) for probe in self._probes.values()]
        times += [self._ends_us(self.held[name]) for name in self._suspects]
        return min(times)

    def wake(self, now_us: int) -> list[Out]:
        """Time has passed."""
        self._now_us = now_us
        if self.replaced:
            self._probe_us = self._gossip_us = self._exchange_us = self._again_us = now_us + 60 * SECOND
            self._probes.clear()
            return self._taken()
        self._probes_due()
        self._suspicions_due()
        if now_us >= self._probe_us:
            self._probe_us = now_us + self._settings.period_us * (self.health + 1)
            self._probe_next()
        if now_us >= self._again_us:
            self._again_us = now_us + self._settings.again_us
            self._ask_again()
        if now_us >= self._exchange_us:
            self._exchange()
        if now_us >= self._gossip_us:
            self._gossip_us = now_us + self._settings.gossip_us
            self._gossip()
        return self._taken()

    def receive(self, now_us: int, message: Message) -> list[Out]:
        """A message; what it says of members counts whatever else it is."""
        self._now_us = now_us
        if self.replaced:
            return self._taken()
        for update in message.updates:
            self._hear(update)
        match message:
            case Ping():
                if message.name == self.me.name:
                    self._say(message.sender, Ack(message.seq, self._updates(message.sender)))
            case Ack():
                self._acked(message.seq)
            case Nack():
                if (probe := self._probes.get(message.seq)) is not None:
                    probe.nacks += 1
            case AskFor():
                self._ask_for(message)
            case Exchange():
                if message.answer:
                    self._say(message.sender, Exchange(self.me.address, self._all(), False))
            case Gossip():
                pass
        return self._taken()

    def leave(self, now_us: int) -> list[Out]:
        """An orderly end: some hear of it at once, the rest from them."""
        self._now_us = now_us
        self._set(self._mine(State.LEFT))
        for other in self._drawn(self._live, 2 * self._settings.fanout):
            self._say(other.address, Gossip(self._updates()))
        return self._taken()

    def forget(self, now_us: int, name: str) -> list[Out]:
        """An operator's word: a member that has failed is not asked for any more."""
        self._now_us = now_us
        held = self.held.get(name)
        if held is not None and held.update.state in (State.FAILED, State.LEFT):
            self._drop(name)
            del self.held[name]
            self._news.pop(name, None)
        return self._taken()

    def _taken(self) -> list[Out]:
        out, self._out = self._out, []
        return out

    def _say(self, to: str, message: Message) -> None:
        self._out.append(Say(to, message))

    def _next(self) -> int:
        self._seq += 1
        return self._seq

    # Probes

    def _probe_next(self) -> None:
        """The next member in turn; each is met once before any is met again (SWIM, 4.3)."""
        while self._order and self._order[-1] not in self._live:
            self._order.pop()
        if not self._order:
            self._order = list(self._live)
            self._random.shuffle(self._order)
        if self._order:
            self._probe(self.held[self._order.pop()].update)

    def _probe(self, target: Update) -> None:
        settings, late = self._settings, self.health + 1
        seq = self._next()
        over_us = self._now_us + settings.period_us * late
        self._probes[seq] = Probe(target.name, target.address, over_us, self._now_us + settings.ack_us * late)
        self._say(target.address, Ping(seq, target.name, self.me.address, self._updates(target.address)))

    def _ask_for(self, message: AskFor) -> None:
        """Another asks this one to ask; without an answer in time it is told that, too."""
        seq = self._next()
        over_us = self._now_us + self._settings.ack_us
        self._probes[seq] = Probe(message.name, message.address, over_us, 0, message.sender, message.seq)
        self._say(message.address, Ping(seq, message.name, self.me.address, self._updates(message.address)))

    def _acked(self, seq: int) -> None:
        probe = self._probes.pop(seq, None)
        if probe is None:
            return
        if probe.asker:
            self._say(probe.asker, Ack(probe.asker_seq, self._updates(probe.asker)))
        else:
            self._healthier(-1)

    def _probes_due(self) -> None:
        """Others are asked to ask; a probe that nobody answered makes a suspect."""
        for seq, probe in list(self._probes.items()):
            if probe.asks_us and self._now_us >= probe.asks_us:
                probe.asks_us = 0
                self._ask_others(seq, probe)
            if self._now_us < probe.over_us:
                continue
            del self._probes[seq]
            if probe.asker:
                self._say(probe.asker, Nack(probe.asker_seq, self._updates(probe.asker)))
            else:
                self._missed(probe)

    def _ask_others(self, seq: int, probe: Probe) -> None:
        for other in self._drawn(self._alive, self._settings.indirect, probe.name):
            probe.nacks_due += 1
            ask = AskFor(seq, probe.name, probe.address, self.me.address, self._updates(other.address))
            self._say(other.address, ask)

    def _missed(self, probe: Probe) -> None:
        """Nobody had an answer; where those who were asked to ask said nothing, this one may be late."""
        self._healthier(probe.nacks_due - probe.nacks if probe.nacks_due else 1)
        held = self.held.get(probe.name)
        if held is not None and held.update.state is State.ALIVE:
            self._hear(self._said(held.update, State.SUSPECT))
        elif held is not None and held.update.state is State.SUSPECT:
            self._confirm(held, self.me.name)

    def _healthier(self, by: int) -> None:
        self.health = max(0, min(self._settings.most_health, self.health + by))

    def _said(self, update: Update, state: State) -> Update:
        return msgspec.structs.replace(update, state=state, by=self.me.name)

    def _ask_again(self) -> None:
        """One that was declared failed: it hears what is held of it, and may refute it."""
        for target in self._drawn(self._failed, 1):
            self._say(target.address, Ping(self._next(), target.name, self.me.address, (target, self.me)))

    # Suspicion

    def _ends_us(self, held: Held) -> int:
        """When a suspicion becomes a failure: sooner, the more confirm it (Lifeguard, 4.2)."""
        settings = self._settings
        least = settings.suspicion * self._scale() * settings.period_us
        most = settings.patience * least
        confirmed = min(len(held.suspected_by) - 1, settings.confirmers)
        part = math.log(confirmed + 1) / math.log(settings.confirmers + 1)
        if len(self._live) <= 2:  # it, and one more
            return held.suspected_us + int(least)  # nobody else could confirm it
        return held.suspected_us + int(max(least, most - (most - least) * part))

    def _suspicions_due(self) -> None:
        for name in list(self._suspects):
            if self._now_us >= self._ends_us(held := self.held[name]):
                self._hear(self._said(held.update, State.FAILED))

    def _confirm(self, held: Held, by: str) -> None:
        """One more suspects it; the first few are passed on."""
        if by and by not in held.suspected_by and len(held.suspected_by) <= self._settings.confirmers:
            held.suspected_by.add(by)
            self._pass_on(msgspec.structs.replace(held.update, by=by))

    # News

    def _hear(self, update: Update) -> None:
        """What is said of a member: it counts if it is of a later life, or says more of the same."""
        if update.name == self.me.name:
            self._hear_of_me(update)
            return
        held = self.held.get(update.name)
        if held is None:
            if update.state in LIVE and len(self.held) < MOST_MEMBERS:
                self._set(update)
            return
        if self._overrides(update, held.update):
            self._set(update)
        elif update.state is State.SUSPECT is held.update.state and update.life == held.update.life:
            self._confirm(held, update.by)

    def _overrides(self, update: Update, held: Update) -> bool:
        """SWIM, 4.2, with generations before numbers; who left is back only by another generation."""
        if update.generation != held.generation:
            return update.generation > held.generation
        if held.state is State.LEFT:
            return False
        if update.state is State.ALIVE:
            return update.number > held.number
        if update.state is State.SUSPECT:
            return update.number > held.number or (update.number == held.number and held.state is State.ALIVE)
        return update.number >= held.number and (
            held.state in LIVE or update.state is State.LEFT or update.number > held.number
        )

    def _hear_of_me(self, update: Update) -> None:
        """What others hold of this member: refuted by a higher number, unless a later life says it."""
        if update.generation > self.me.generation:
            self.replaced = True
            self._out.append(Replaced(update))
            return
        held_so = update.generation == self.me.generation and update.state is not State.ALIVE
        if held_so and update.number >= self.me.number and self.me.state is not State.LEFT:
            self._healthier(1)
            self._set(self._mine(State.ALIVE, update.number + 1))

    def _mine(self, state: State, number: int | None = None) -> Update:
        """This member's own word from now on."""
        changes = {"state": state} | ({} if number is None else {"number": number})
        self.me = msgspec.structs.replace(self.me, **changes)
        return self.me

    def _set(self, update: Update) -> None:
        """Hold it from now on, tell it, and pass it on."""
        held = self.held.get(update.name)
        before = held.update.state if held is not None else None
        newer = held is None or held.update.generation != update.generation
        self._file(update)
        self.held[update.name] = new = Held(update, self._now_us)
        if update.state is State.SUSPECT:
            new.suspected_by, new.suspected_us = {update.by}, self._now_us
        self._pass_on(update)
        if before is not update.state or newer:
            self._out.append(Changed(update, before))
        if before is None and update.name != self.me.name:
            # A new one comes into this round's order at a place that is drawn (SWIM, 4.3).
            self._order.insert(self._random.randint(0, len(self._order)), update.name)

    def _pass_on(self, update: Update) -> None:
        self._serial += 1
        self._news[update.name] = News(update, self._serial)
        heapq.heappush(self._queue, (0, self._serial, update.name))

    def _least_sent(self) -> list[News]:
        """The news for a datagram, taken from the queue."""
        found: list[News] = []
        while self._queue and len(found) < self._settings.most_updates:
            _, serial, name = heapq.heappop(self._queue)
            news = self._news.get(name)
            if news is not None and news.serial == serial:
                found.append(news)
        return found

    def _updates(self, to: str = "") -> tuple[Update, ...]:
        """News for a datagram: first what its receiver has to refute, then those that were sent least."""
        most = math.ceil(self._settings.repeats * self._scale())
        some = self._least_sent()
        found = [news.update for news in some]
        for news in some:
            news.sent += 1
            if news.sent >= most:
                del self._news[news.update.name]
            else:
                heapq.heappush(self._queue, (news.sent, news.serial, news.update.name))
        for name in self._at.get(to, ()):
            if (held := self.held[name]).update.state is not State.ALIVE:
                return (held.update, *(item for item in found if item.name != name))
        return tuple(found)

    def _gossip(self) -> None:
        """News alone, to a few."""
        if not self._news:
            return
        for other in self._drawn(self._live, self._settings.fanout):
            if updates := self._updates():
                self._say(other.address, Gossip(updates))

    def _all(self) -> tuple[Update, ...]:
        return tuple(held.update for held in self.held.values())

    def _exchange(self) -> None:
        """A whole view with one member; while nobody is known with seeds, at growing pauses."""
        self._forget_old()
        if self._live:
            self._exchange_us = self._now_us + int(
                self._settings.exchange_us * self._random.uniform(0.7, 1.3)
            )
            some = self._failed if self._failed and self._random.random() < 0.3 else self._live
            for other in self._drawn(some, 1):
                self._say(other.address, Exchange(self.me.address, self._all(), True))
            return
        self._exchange_us = self._now_us + int(self._joined_us * self._random.uniform(0.7, 1.3))
        self._joined_us = min(2 * self._joined_us, self._settings.exchange_us)
        seeds = [seed for seed in self._seeds if seed != self.me.address]
        for seed in self._random.sample(seeds, min(2, len(seeds))):
            self._say(seed, Exchange(self.me.address, self._all(), True))

    def _forget_old(self) -> None:
        for name, held in list(self.held.items()):
            over = self._now_us - held.since_us > self._settings.forget_us
            if over and held.update.state in (State.FAILED, State.LEFT) and name != self.me.name:
                self._drop(name)
                del self.held[name]
                self._news.pop(name, None)
