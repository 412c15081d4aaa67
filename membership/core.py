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
    Exchange,
    Gossip,
    Message,
    Nack,
    Output,
    Ping,
    Replaced,
    SendMessage,
    State,
    StateChanged,
    Update,
)
from membership.sampling_pool import SamplingPool

SECOND_US = 1_000_000
MAX_MEMBERS = 4096
LIVE_STATES = (State.ALIVE, State.SUSPECT)


@dataclass(frozen=True, slots=True)
class Settings:
    """Times in microseconds on the member's own monotonic clock."""

    probe_period_us: int = SECOND_US  # between two probes
    ack_timeout_us: int = 300_000  # for an answer, before others are asked to ask
    gossip_interval_us: int = 200_000  # between two rounds of news alone, while there is some
    exchange_interval_us: int = 15 * SECOND_US  # between two whole exchanges
    failed_probe_interval_us: int = 5 * SECOND_US  # between two probes of members that were declared failed
    forget_after_us: int = 600 * SECOND_US  # after which one that failed or left is forgotten
    indirect_probes: int = 3  # members that are asked to ask
    gossip_fanout: int = 3  # members that news alone go to
    suspicion_multiplier: float = 4.0  # least suspicion in periods, times the logarithm of the fleet
    max_suspicion_ratio: float = 5.0  # most suspicion, as a multiple of the least
    max_confirmations: int = 3  # independent suspicions after which the least counts
    retransmit_multiplier: float = 4.0  # times that a piece of news is sent, times the logarithm of the fleet
    max_local_health: int = 8  # most steps by which a late member waits longer
    max_updates: int = 12  # in one datagram


@dataclass(slots=True)
class MemberRecord:
    """What is held of a member."""

    update: Update
    since_us: int
    suspected_by: set[str] = field(default_factory=set)
    suspected_since_us: int = 0


@dataclass(slots=True)
class Probe:
    """One that is under way, for this member or in another's place."""

    target_name: str
    target_address: str
    deadline_us: int
    indirect_at_us: int  # when others are asked to ask; 0: they were, or are not to be
    requester_address: str = ""  # in whose place: its address
    requester_seq: int = 0
    expected_nacks: int = 0
    received_nacks: int = 0


@dataclass(slots=True)
class QueuedUpdate:
    """An update that is passed on."""

    update: Update
    serial: int  # of its place in the queue; an entry with another one is over
    times_sent: int = 0


class MembershipCore:
    """One member."""

    def __init__(
        self, me: Update, seeds: tuple[str, ...], *, settings: Settings, random: Random, now_us: int
    ) -> None:
        """``me`` is this life; ``seeds`` are addresses at which others may be found."""
        self._settings, self._random, self._seeds = settings, random, seeds
        self.own_update, self._now_us = me, now_us
        self.members: dict[str, MemberRecord] = {me.name: MemberRecord(me, now_us)}
        # The others by their state, and all by address: a step must not look at every member.
        self._live_members, self._alive_members, self._failed_members = (
            SamplingPool(),
            SamplingPool(),
            SamplingPool(),
        )
        self._suspects: dict[str, None] = {}
        self._names_by_address: dict[str, dict[str, None]] = {me.address: {me.name: None}}
        self._pending_updates: dict[str, QueuedUpdate] = {}
        self._update_queue: list[tuple[int, int, str]] = []  # heap of news: times sent, serial, name
        self._last_serial = 0
        self._enqueue_update(me)
        self._probe_order: list[str] = []
        self._probes: dict[int, Probe] = {}
        self._last_seq = random.randrange(1 << 30)
        self.local_health = 0  # steps by which this member is late by its own judgement
        self.replaced = False
        self._next_probe_us = now_us + random.randrange(settings.probe_period_us)
        self._next_gossip_us = now_us + settings.gossip_interval_us
        self._next_exchange_us, self._join_retry_us = now_us, settings.gossip_interval_us
        self._next_failed_probe_us = now_us + settings.failed_probe_interval_us
        self._outputs: list[Output] = []

    # What is held

    def live_updates(self) -> list[Update]:
        """Members that are alive or suspect, this one included."""
        return [held.update for held in self.members.values() if held.update.state in LIVE_STATES]

    def _sample_members(self, roll: SamplingPool, most: int, *without: str) -> list[Update]:
        """So many of them, drawn."""
        return [self.members[name].update for name in roll.sample(self._random, most, *without)]

    def _index_member(self, update: Update) -> None:
        """Keep a member's place among the others by what is held of it now."""
        self._unindex_member(update.name)
        self._names_by_address.setdefault(update.address, {})[update.name] = None
        if update.name == self.own_update.name:
            return
        if update.state in LIVE_STATES:
            self._live_members.add(update.name)
        if update.state is State.ALIVE:
            self._alive_members.add(update.name)
        elif update.state is State.SUSPECT:
            self._suspects[update.name] = None
        elif update.state is State.FAILED:
            self._failed_members.add(update.name)

    def _unindex_member(self, name: str) -> None:
        """It is among nobody any more."""
        for roll in (self._live_members, self._alive_members, self._failed_members):
            roll.discard(name)
        self._suspects.pop(name, None)
        if (held := self.members.get(name)) is not None and name in (
            there := self._names_by_address[held.update.address]
        ):
            del there[name]
            if not there:
                del self._names_by_address[held.update.address]

    def _log_fleet_size(self) -> float:
        """The logarithm by which times and repeats grow with the fleet."""
        return max(1.0, math.log10(len(self._live_members) + 1))

    # Steps

    @property
    def due_us(self) -> int:
        """When ``wake`` is due."""
        times = [
            self._next_probe_us,
            self._next_gossip_us,
            self._next_exchange_us,
            self._next_failed_probe_us,
        ]
        times += [
            min(probe.deadline_us, probe.indirect_at_us or probe.deadline_us)
            for probe in self._probes.values()
        ]
        times += [self._suspicion_deadline_us(self.members[name]) for name in self._suspects]
        return min(times)

    def wake(self, now_us: int) -> list[Output]:
        """Time has passed."""
        self._now_us = now_us
        if self.replaced:
            self._next_probe_us = self._next_gossip_us = self._next_exchange_us = (
                self._next_failed_probe_us
            ) = now_us + 60 * SECOND_US
            self._probes.clear()
            return self._take_outputs()
        self._check_probes()
        self._check_suspicions()
        if now_us >= self._next_probe_us:
            self._next_probe_us = now_us + self._settings.probe_period_us * (self.local_health + 1)
            self._probe_next_member()
        if now_us >= self._next_failed_probe_us:
            self._next_failed_probe_us = now_us + self._settings.failed_probe_interval_us
            self._ping_failed_member()
        if now_us >= self._next_exchange_us:
            self._start_exchange()
        if now_us >= self._next_gossip_us:
            self._next_gossip_us = now_us + self._settings.gossip_interval_us
            self._send_gossip()
        return self._take_outputs()

    def receive(self, now_us: int, message: Message) -> list[Output]:
        """A message; what it says of members counts whatever else it is."""
        self._now_us = now_us
        if self.replaced:
            return self._take_outputs()
        for update in message.updates:
            self._apply_update(update)
        match message:
            case Ping():
                if message.target_name == self.own_update.name:
                    self._send(
                        message.sender_address,
                        Ack(message.seq, self._updates_to_piggyback(message.sender_address)),
                    )
            case Ack():
                self._handle_ack(message.seq)
            case Nack():
                if (probe := self._probes.get(message.seq)) is not None:
                    probe.received_nacks += 1
            case AskFor():
                self._start_indirect_probe(message)
            case Exchange():
                if message.wants_reply:
                    self._send(
                        message.sender_address, Exchange(self.own_update.address, self._full_view(), False)
                    )
            case Gossip():
                pass
        return self._take_outputs()

    def leave(self, now_us: int) -> list[Output]:
        """An orderly end: some hear of it at once, the rest from them."""
        self._now_us = now_us
        self._store_update(self._change_own_update(State.LEFT))
        for other in self._sample_members(self._live_members, 2 * self._settings.gossip_fanout):
            self._send(other.address, Gossip(self._updates_to_piggyback()))
        return self._take_outputs()

    def forget(self, now_us: int, name: str) -> list[Output]:
        """An operator's word: a member that has failed is not asked for any more."""
        self._now_us = now_us
        held = self.members.get(name)
        if held is not None and held.update.state in (State.FAILED, State.LEFT):
            self._unindex_member(name)
            del self.members[name]
            self._pending_updates.pop(name, None)
        return self._take_outputs()

    def _take_outputs(self) -> list[Output]:
        out, self._outputs = self._outputs, []
        return out

    def _send(self, to: str, message: Message) -> None:
        self._outputs.append(SendMessage(to, message))

    def _next_seq(self) -> int:
        self._last_seq += 1
        return self._last_seq

    # Probes

    def _probe_next_member(self) -> None:
        """The next member in turn; each is met once before any is met again (SWIM, 4.3)."""
        while self._probe_order and self._probe_order[-1] not in self._live_members:
            self._probe_order.pop()
        if not self._probe_order:
            self._probe_order = list(self._live_members)
            self._random.shuffle(self._probe_order)
        if self._probe_order:
            self._start_probe(self.members[self._probe_order.pop()].update)

    def _start_probe(self, target: Update) -> None:
        settings, late = self._settings, self.local_health + 1
        seq = self._next_seq()
        over_us = self._now_us + settings.probe_period_us * late
        self._probes[seq] = Probe(
            target.name, target.address, over_us, self._now_us + settings.ack_timeout_us * late
        )
        self._send(
            target.address,
            Ping(seq, target.name, self.own_update.address, self._updates_to_piggyback(target.address)),
        )

    def _start_indirect_probe(self, message: AskFor) -> None:
        """Another asks this one to ask; without an answer in time it is told that, too."""
        seq = self._next_seq()
        over_us = self._now_us + self._settings.ack_timeout_us
        self._probes[seq] = Probe(
            message.target_name, message.target_address, over_us, 0, message.sender_address, message.seq
        )
        self._send(
            message.target_address,
            Ping(
                seq,
                message.target_name,
                self.own_update.address,
                self._updates_to_piggyback(message.target_address),
            ),
        )

    def _handle_ack(self, seq: int) -> None:
        probe = self._probes.pop(seq, None)
        if probe is None:
            return
        if probe.requester_address:
            self._send(
                probe.requester_address,
                Ack(probe.requester_seq, self._updates_to_piggyback(probe.requester_address)),
            )
        else:
            self._adjust_local_health(-1)

    def _check_probes(self) -> None:
        """Others are asked to ask; a probe that nobody answered makes a suspect."""
        for seq, probe in list(self._probes.items()):
            if probe.indirect_at_us and self._now_us >= probe.indirect_at_us:
                probe.indirect_at_us = 0
                self._request_indirect_probes(seq, probe)
            if self._now_us < probe.deadline_us:
                continue
            del self._probes[seq]
            if probe.requester_address:
                self._send(
                    probe.requester_address,
                    Nack(probe.requester_seq, self._updates_to_piggyback(probe.requester_address)),
                )
            else:
                self._handle_probe_failure(probe)

    def _request_indirect_probes(self, seq: int, probe: Probe) -> None:
        for other in self._sample_members(
            self._alive_members, self._settings.indirect_probes, probe.target_name
        ):
            probe.expected_nacks += 1
            ask = AskFor(
                seq,
                probe.target_name,
                probe.target_address,
                self.own_update.address,
                self._updates_to_piggyback(other.address),
            )
            self._send(other.address, ask)

    def _handle_probe_failure(self, probe: Probe) -> None:
        """Nobody had an answer; where those who were asked to ask said nothing, this one may be late."""
        self._adjust_local_health(probe.expected_nacks - probe.received_nacks if probe.expected_nacks else 1)
        held = self.members.get(probe.target_name)
        if held is not None and held.update.state is State.ALIVE:
            self._apply_update(self._with_state(held.update, State.SUSPECT))
        elif held is not None and held.update.state is State.SUSPECT:
            self._confirm_suspicion(held, self.own_update.name)

    def _adjust_local_health(self, by: int) -> None:
        self.local_health = max(0, min(self._settings.max_local_health, self.local_health + by))

    def _with_state(self, update: Update, state: State) -> Update:
        return msgspec.structs.replace(update, state=state, reported_by=self.own_update.name)

    def _ping_failed_member(self) -> None:
        """One that was declared failed: it hears what is held of it, and may refute it."""
        for target in self._sample_members(self._failed_members, 1):
            self._send(
                target.address,
                Ping(self._next_seq(), target.name, self.own_update.address, (target, self.own_update)),
            )

    # Suspicion

    def _suspicion_deadline_us(self, held: MemberRecord) -> int:
        """When a suspicion becomes a failure: sooner, the more confirm it (Lifeguard, 4.2)."""
        settings = self._settings
        least = settings.suspicion_multiplier * self._log_fleet_size() * settings.probe_period_us
        most = settings.max_suspicion_ratio * least
        confirmed = min(len(held.suspected_by) - 1, settings.max_confirmations)
        part = math.log(confirmed + 1) / math.log(settings.max_confirmations + 1)
        if len(self._live_members) <= 2:  # it, and one more
            return held.suspected_since_us + int(least)  # nobody else could confirm it
        return held.suspected_since_us + int(max(least, most - (most - least) * part))

    def _check_suspicions(self) -> None:
        for name in list(self._suspects):
            if self._now_us >= self._suspicion_deadline_us(held := self.members[name]):
                self._apply_update(self._with_state(held.update, State.FAILED))

    def _confirm_suspicion(self, held: MemberRecord, by: str) -> None:
        """One more suspects it; the first few are passed on."""
        if by and by not in held.suspected_by and len(held.suspected_by) <= self._settings.max_confirmations:
            held.suspected_by.add(by)
            self._enqueue_update(msgspec.structs.replace(held.update, reported_by=by))

    # News

    def _apply_update(self, update: Update) -> None:
        """What is said of a member: it counts if it is of a later life, or says more of the same."""
        if update.name == self.own_update.name:
            self._apply_update_of_self(update)
            return
        held = self.members.get(update.name)
        if held is None:
            if update.state in LIVE_STATES and len(self.members) < MAX_MEMBERS:
                self._store_update(update)
            return
        if self._supersedes(update, held.update):
            self._store_update(update)
        elif update.state is State.SUSPECT is held.update.state and update.version == held.update.version:
            self._confirm_suspicion(held, update.reported_by)

    def _supersedes(self, update: Update, held: Update) -> bool:
        """SWIM, 4.2, with generations before numbers; who left is back only by another generation."""
        if update.generation != held.generation:
            return update.generation > held.generation
        if held.state is State.LEFT:
            return False
        if update.state is State.ALIVE:
            return update.incarnation > held.incarnation
        if update.state is State.SUSPECT:
            return update.incarnation > held.incarnation or (
                update.incarnation == held.incarnation and held.state is State.ALIVE
            )
        return update.incarnation >= held.incarnation and (
            held.state in LIVE_STATES or update.state is State.LEFT or update.incarnation > held.incarnation
        )

    def _apply_update_of_self(self, update: Update) -> None:
        """What others hold of this member: refuted by a higher number, unless a later life says it."""
        if update.generation > self.own_update.generation:
            self.replaced = True
            self._outputs.append(Replaced(update))
            return
        held_so = update.generation == self.own_update.generation and update.state is not State.ALIVE
        if (
            held_so
            and update.incarnation >= self.own_update.incarnation
            and self.own_update.state is not State.LEFT
        ):
            self._adjust_local_health(1)
            self._store_update(self._change_own_update(State.ALIVE, update.incarnation + 1))

    def _change_own_update(self, state: State, number: int | None = None) -> Update:
        """This member's own word from now on."""
        changes = {"state": state} | ({} if number is None else {"incarnation": number})
        self.own_update = msgspec.structs.replace(self.own_update, **changes)
        return self.own_update

    def _store_update(self, update: Update) -> None:
        """Hold it from now on, tell it, and pass it on."""
        held = self.members.get(update.name)
        before = held.update.state if held is not None else None
        newer = held is None or held.update.generation != update.generation
        self._index_member(update)
        self.members[update.name] = new = MemberRecord(update, self._now_us)
        if update.state is State.SUSPECT:
            new.suspected_by, new.suspected_since_us = {update.reported_by}, self._now_us
        self._enqueue_update(update)
        if before is not update.state or newer:
            self._outputs.append(StateChanged(update, before))
        if before is None and update.name != self.own_update.name:
            # A new one comes into this round's order at a place that is drawn (SWIM, 4.3).
            self._probe_order.insert(self._random.randint(0, len(self._probe_order)), update.name)

    def _enqueue_update(self, update: Update) -> None:
        self._last_serial += 1
        self._pending_updates[update.name] = QueuedUpdate(update, self._last_serial)
        heapq.heappush(self._update_queue, (0, self._last_serial, update.name))

    def _take_least_sent(self) -> list[QueuedUpdate]:
        """The news for a datagram, taken from the queue."""
        found: list[QueuedUpdate] = []
        while self._update_queue and len(found) < self._settings.max_updates:
            _, serial, name = heapq.heappop(self._update_queue)
            news = self._pending_updates.get(name)
            if news is not None and news.serial == serial:
                found.append(news)
        return found

    def _updates_to_piggyback(self, to: str = "") -> tuple[Update, ...]:
        """News for a datagram: first what its receiver has to refute, then those that were sent least."""
        most = math.ceil(self._settings.retransmit_multiplier * self._log_fleet_size())
        some = self._take_least_sent()
        found = [news.update for news in some]
        for news in some:
            news.times_sent += 1
            if news.times_sent >= most:
                del self._pending_updates[news.update.name]
            else:
                heapq.heappush(self._update_queue, (news.times_sent, news.serial, news.update.name))
        for name in self._names_by_address.get(to, ()):
            if (held := self.members[name]).update.state is not State.ALIVE:
                return (held.update, *(item for item in found if item.name != name))
        return tuple(found)

    def _send_gossip(self) -> None:
        """News alone, to a few."""
        if not self._pending_updates:
            return
        for other in self._sample_members(self._live_members, self._settings.gossip_fanout):
            if updates := self._updates_to_piggyback():
                self._send(other.address, Gossip(updates))

    def _full_view(self) -> tuple[Update, ...]:
        return tuple(held.update for held in self.members.values())

    def _start_exchange(self) -> None:
        """A whole view with one member; while nobody is known with seeds, at growing pauses."""
        self._forget_expired()
        if self._live_members:
            self._next_exchange_us = self._now_us + int(
                self._settings.exchange_interval_us * self._random.uniform(0.7, 1.3)
            )
            some = (
                self._failed_members
                if self._failed_members and self._random.random() < 0.3
                else self._live_members
            )
            for other in self._sample_members(some, 1):
                self._send(other.address, Exchange(self.own_update.address, self._full_view(), True))
            return
        self._next_exchange_us = self._now_us + int(self._join_retry_us * self._random.uniform(0.7, 1.3))
        self._join_retry_us = min(2 * self._join_retry_us, self._settings.exchange_interval_us)
        seeds = [seed for seed in self._seeds if seed != self.own_update.address]
        for seed in self._random.sample(seeds, min(2, len(seeds))):
            self._send(seed, Exchange(self.own_update.address, self._full_view(), True))

    def _forget_expired(self) -> None:
        for name, held in list(self.members.items()):
            over = self._now_us - held.since_us > self._settings.forget_after_us
            if over and held.update.state in (State.FAILED, State.LEFT) and name != self.own_update.name:
                self._unindex_member(name)
                del self.members[name]
                self._pending_updates.pop(name, None)
