"""Every decision of the relay. Its types, events and actions are in ``decisions/interface.py``, and what it
remembers in ``decisions/state.py``.

The ordinary path is fetches-per-server of the FRNOG 25 BIND9 notes: each endpoint has a quota of calls in
flight that shrinks while its failure ratio is high and regrows while it is low; a message over quota is held.
A step takes in a batch, answers what is out of time, then dispatches once, at destinations touched or due.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterable, Iterator
from dataclasses import replace
from itertools import islice

from decisions.interface import (
    Action,
    Arrival,
    Ban,
    Cancel,
    CloseIdle,
    Effect,
    Event,
    Fail,
    Kind,
    Listing,
    Log,
    MessageClass,
    Outcome,
    Refuse,
    Roster,
    RosterKind,
    Send,
    Settings,
    Subscribe,
    Verdict,
    Wake,
    Withdrawn,
)
from decisions.ranked_queue import Lane, Ranked
from decisions.state import Call, Destination, Endpoint, Guard, Message, Record, Tally

CAP_SHARE, SICK_SHARE = 0.75, 0.5  # of slots: calls to one healthy, one failing or slow destination
FLOOR_SHARE = 0.02  # of the starting quota: what a server that never answers keeps (the notes' 2%)
WEIGHT = 0.15  # of the newest call in ratios and latencies: about seven calls of memory
MEMORY_US = 10_000_000  # us in which evidence fades to a third: ratios, own demand, a slowed pace
HIGH_MARK, LOW_MARK = 0.3, 0.1  # failure ratio: above, the quota steps down; below, it steps up
STEP_DOWN, STEP_UP = 0.7, 0.1  # quota factor for a step down; share of the start for a step up
OUTAGE_MARK = 0.5  # failure ratio above which an endpoint that does not only refuse is in an outage
SECOND_US = 1_000_000  # us: news of a limit counts for no longer
GAP_US = 2_000_000  # us with failures and no success after which a return is taken for a cold one
RETRY_US, RETRY_MAX_US = 200_000, 3_000_000  # us between trials where this relay's part is large
CROWD_US = 1_000_000  # us until one connection more is tried where one was turned away
BURST_US = 400_000  # us of its rate that a paced limit may take at once
LATE_SPREADS = 4.0  # spreads over the mean: a call older than this is overdue (about 1 in 50 if exponential)
LIMIT_OVERDUES = 2.5  # time-out of a call that may be repeated, in times of the overdue age
LAST_OVERDUES = 10.0  # time-out of one that may not, likewise; its aim at least
ALONE_OVERDUES, ALONE_LAST_OVERDUES = 2.0, 4.0  # with slots short, the same where later calls were answered
ROOM = 2.0  # the pace is the whole told rate while more than one in so many of it is left
PACE_DOWN, PACE_UP = 0.8, 1.03  # pace factors: refused above a limit, and served
FEW = 4  # relays of which each still sees by itself what all take together of a limit
TOLD_DOWN, LEAST_PART = 0.6, 0.5  # the same where what is left is told; the least pace then, in equal parts
ASK_US, LIST_US = 500_000, 125_000  # us before a broken watch is asked for again; of a list in a queue of all
PUSHED_US = 250_000  # us before an agent is asked again that has the list at once when it is back
TOLD_US = 5_500_000  # us between asks at most: news counts as told 6 s after the directory could be reached
EASE, EASE_DOWN = 0.6, 0.5  # where less of a limit is left the pace eases off, by up to so much in a second
KNEE = 0.7  # share of a refused pace that is soon taken up again
RECOVER_US, KNEE_US = 4_000_000, 60_000_000  # us for e-fold growth up to there, and above
LEAST_RATE, MOST_RATE = 0.1, 100_000.0  # calls/s that a told rate may mean
LEAP = 4.0  # factor by which one report changes a told rate at most
LOWERED = 0.75  # a told rate under so much of the last one is a lowered limit, and no noise
STALE_DOWN, STALE_UP = 0.5, 1.005  # factors of the trusted idle age: a reused connection cut; any other end
STATUS_US = 5_000_000  # us between log lines on destinations that hold messages
MOST_GONE = 1024  # endpoints that left the list and are still known
RISKS = {effect: float(number) for number, effect in enumerate(Effect)}  # the less a repeat does, the sooner
URGENCY_US, KEEP_WORTH = 1_500_000, 0.2  # us ahead in which waiting loses worth; weight of the worth beside


class Relay:
    """One sender. Feed it batches of events in order of time; carry out what it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.set, self.rng, self.now, self.actions = settings, random.Random(seed), 0, list[Action]()
        self.many = settings.group_size > FEW
        self.classes = {cls.name: cls for cls in settings.classes}
        self.kinds = {kind.name: kind for kind in settings.kinds}
        self.messages, self.endpoints = dict[str, Message](), dict[str, Endpoint]()
        self.busy = dict[str, Endpoint]()  # those with calls out, by host
        self.dests, self.banned = dict[int, Destination](), set[str]()  # banned: by operators, listed or not
        self.turns = dict[str, list[Message]]()  # by key: messages in order of arrival
        self.rests = dict[str, int]()  # by key: when an attempt that may still run has died down
        self.norms: dict[str, Record] = {}  # by class: latency over all endpoints
        self.shares = {t.name: (t.quota_per_s, Tally(MEMORY_US)) for t in settings.tenants}
        self.quotas, self.arrivals = sum(t.quota_per_s for t in settings.tenants), Tally(MEMORY_US)
        # The idle age that is trusted; the oldest from which a connection lately served, and when.
        self.stale_us, self.sound_us, self.sound_at_us = float(settings.keepalive_us), 0.0, 0
        self.crowds: dict[str, Tally] = {}  # by kind of destination: calls that found no connection
        self.trials = (Tally(MEMORY_US, 1 - WEIGHT), Tally(MEMORY_US, 1 - WEIGHT))  # failed, refused again
        self.open, self.calls_out, self.wake_us, self.serial, self.came = 0, 0, -1, 0, 0
        self.begun_us = -1  # when this life's first step was
        # The next ask, and the gap before one after that: the first of a life often comes with all others'.
        self.ask_us, self.ask_gap_us = (0 if settings.must_ask else -1), max(ASK_US, self._turn_us)
        self.asked_us = 0  # the last ask
        self.list_later = False  # whether the latest news of the list came when others were known
        self.status_us = 0  # when destinations that hold messages are logged next
        self.look: dict[int, None] = {}  # destinations that an event or a due time touched
        self.due: list[tuple[int, int]] = []  # heap: when to look at a destination again
        self.ends: list[tuple[int, int, str]] = []  # heap: when to answer a held message

    def resume(self) -> None:
        """Go on in another process: the wake-up that was asked for went with the old one."""
        self.wake_us = -1

    def step(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Take in every event of the batch, then answer and dispatch once."""
        self.now, self.actions = now_us, []
        self.begun_us = now_us if self.begun_us < 0 else self.begun_us
        for event in events:
            if isinstance(event, Roster):
                self._roster(event)
            elif isinstance(event, Arrival):
                self._arrive(event)
            elif isinstance(event, Outcome):
                self._outcome(event)
            elif isinstance(event, Ban):
                self._ban(event)
            elif isinstance(event, Withdrawn) and event.id in self.messages:
                self._close(self.messages[event.id])
        while self.due and self.due[0][0] <= now_us:
            if (number := heapq.heappop(self.due)[1]) in self.dests:
                self._touch(number)
        self._expire()
        if self.set.may_cancel and self._short():
            self._cut_short()
        if self.calls_out < self.set.slots:  # else what is held is looked at when a slot is free
            self._dispatch()
        if now_us >= self.status_us:
            self.status_us = now_us + STATUS_US
            self._report()
            self._forget()
        if 0 <= self.ask_us <= now_us:  # a directory that only answers; an unanswered ask is made again
            self.actions.append(Subscribe())
            self.asked_us = now_us
            self.ask_us = now_us + min(TOLD_US, max(2_000_000, self.set.ask_within_us // 2))
        times = [heap[0][0] for heap in (self.due, self.ends) if heap] + [self.ask_us] * (self.ask_us >= 0)
        if times and (self.wake_us <= now_us or min(times) < self.wake_us):
            self.wake_us = max(min(times), now_us + self.set.round_us)
            self.actions.append(Wake(self.wake_us - now_us))
        return self.actions

    def _forget(self) -> None:
        """Let go of what a long life would pile up: rests that are over, endpoints and partners that left.

        An endpoint that comes back after so many others is taken for a new one, and so for a cold one.
        """
        self.rests = {key: until_us for key, until_us in self.rests.items() if until_us > self.now}
        gone = [e for e in self.endpoints.values() if e.listing is Listing.GONE and not e.calls]
        for endpoint in gone[: max(0, len(gone) - MOST_GONE)]:
            del self.endpoints[endpoint.host], self.dests[endpoint.dest].endpoints[endpoint.host]
        wanted = self.look.keys() | {message.dest for message in self.messages.values()}
        for number in [n for n, dest in self.dests.items() if not dest.endpoints and n not in wanted]:
            del self.dests[number]

    def _report(self) -> None:
        """A line for the people on call about each destination that holds messages: what holds them up."""
        for number, dest in self.dests.items():
            if dest.held and (ready := dest.ready()):
                out = f"{self.calls_out} of {self.set.slots} slots out"
                bears = "; ".join(map(self._bears, ready))
                self.actions.append(Log(f"dest {number} holds {len(dest.held)}, {out}; {bears}"))

    def _bears(self, endpoint: Endpoint) -> str:
        """What bounds calls to the endpoint now, in words."""
        guards, limit, failing = endpoint.guards, endpoint.limit, endpoint.ratio.share(self.now)
        pause_us = max(max(guard.wait_us, guard.next_us) for guard in guards) - self.now
        took = "/".join(f"{record.mean_us / 1000:.0f}" for record in endpoint.records.values()) or "?"
        most = min(endpoint.quota, self._links(endpoint))
        return (
            f"{endpoint.host} {len(endpoint.calls)} calls of quota {most:.1f}, took {took} ms, "
            f"failing {failing:.2f}, strikes {max(guard.strikes for guard in guards)}, "
            f"pause {max(0, pause_us) // 1000} ms, pace {limit.pace:.1f} of {limit.rate:.1f}/s, "
            f"demand {limit.demand.rate(self.now, self.begun_us):.1f}/s, "
            f"suspect {self._suspect(endpoint)}, cold {any(guard.cold_us >= 0 for guard in guards)}"
        )

    @property
    def _turn_us(self) -> int:
        """Time in which each relay of the group can ask the directory once."""
        return LIST_US * self.set.group_size

    def _ask_again_us(self) -> int:
        """When to ask again after an ask that failed or a watch that broke.

        The directory may be back right behind the ask that failed, and what it has counts from then. So no
        two asks lie farther apart than that; a group that cannot wait for its turns asks in a fixed order.
        Where the list is pushed what the agent has counts at once, and whoever asks it asks nobody else.
        """
        if self.set.pushed:
            return self.now + int(PUSHED_US * self.rng.uniform(0.2, 1.8))
        gap_us, spent_us = self.ask_gap_us * self.rng.uniform(0.2, 1.8), self.now - self.asked_us
        if spent_us > TOLD_US - 2 * ASK_US:  # a watch that served for long
            return self.now + int(min(gap_us, 2 * ASK_US))
        if self.ask_gap_us <= (left_us := TOLD_US - spent_us):
            return self.now + int(min(gap_us, left_us))
        place_us = TOLD_US * self.set.number // self.set.group_size
        turn_us = (place_us - self.asked_us) % TOLD_US or TOLD_US
        return self.now + (turn_us - spent_us if turn_us > spent_us else left_us * turn_us // spent_us)

    def _roster(self, event: Roster) -> None:
        """Follow the directory; where it must be asked, a failed or broken watch is asked for again."""
        if event.kind is RosterKind.FAILED:
            if self.set.must_ask:
                self.ask_us = self._ask_again_us()
                longest_us = max(ASK_US, self.set.ask_within_us // 4, 2 * self._turn_us)
                self.ask_gap_us = min(max(2 * self.ask_gap_us, self._turn_us), longest_us)
            return
        if event.kind is not RosterKind.CACHED:
            self.ask_us, self.ask_gap_us = -1, ASK_US
        named = {entry.host for entry in event.entries}
        for host, endpoint in self.endpoints.items() if event.kind is not RosterKind.CHANGES else ():
            endpoint.listing = endpoint.listing if host in named else Listing.GONE
        start = max(1, int(CAP_SHARE * self.set.slots))
        later = self.list_later if event.continued else bool(self.endpoints)
        self.list_later = later
        for entry in event.entries:
            dest = self.dests.setdefault(entry.dest, Destination(Guard(MEMORY_US)))
            known, kind = self.endpoints.get(entry.host), self.kinds.get(entry.kind, Kind(entry.kind))
            if known is None or (known.dest, known.kind) != (entry.dest, kind):
                if known is not None:  # the host moved: calls out are settled with the old endpoint
                    del self.dests[known.dest].endpoints[entry.host]
                    self.busy.pop(entry.host, None)
                # One that comes later may be new and cold: its quota grows from one call with its successes.
                known = Endpoint(entry, kind, dest.limit, Guard(MEMORY_US), Tally(MEMORY_US, 1 - WEIGHT))
                known.start, known.quota, known.later = start, 1 if later else start, later
                self.endpoints[entry.host] = dest.endpoints[entry.host] = known
            known.listing, known.banned = entry.listing, entry.host in self.banned
            self._touch(entry.dest)
            if self.set.rates_told and entry.listing is Listing.READY:
                self._told(known.limit, entry.rate_hint / (1.5 if self.set.rates_rough else 1.0))

    def _ban(self, event: Ban) -> None:
        """Leave an endpoint out, or use it again: it was restarted meanwhile and comes back cold."""
        (self.banned.add if event.banned else self.banned.discard)(event.host)
        if (endpoint := self.endpoints.get(event.host)) is None or endpoint.banned == event.banned:
            return
        endpoint.banned = event.banned
        self._touch(endpoint.dest)
        if not event.banned:
            endpoint.quota, endpoint.later, endpoint.own.cold_us = 1, True, self.now
            self._space(endpoint, endpoint.own, self.rng.random())

    @property
    def known(self) -> int:
        """Endpoints on the list."""
        return sum(e.listing is not Listing.GONE for e in self.endpoints.values())

    @property
    def excluded(self) -> int:
        """Listed endpoints that get no ordinary traffic now: banned, draining, or failing."""
        listed = [e for e in self.endpoints.values() if e.listing is not Listing.GONE]
        return sum(e.banned or e.listing is Listing.DRAINING or self._ill(e) for e in listed)

    def _told(self, limit: Guard, rate: float | None, left: float | None = None) -> None:
        """A rate told for all relays bounds the pace; the share of it that is left shows what others use.

        A rate that no partner can mean counts as not told, and one far from the last counts in steps: taken
        at its word, a single absurd report would end all calls for good, or open the pace without bound.
        """
        if rate and LEAST_RATE <= rate <= MOST_RATE:
            if limit.rate:
                rate = min(max(rate, limit.rate / LEAP), limit.rate * LEAP)
            if not limit.rate:  # a first guess: what the group's equal parts leave to one that is busy
                limit.pace, limit.pace_us = rate * min(1.0, 2 / self.set.group_size**0.5), self.now
            elif self.many:
                if rate < LOWERED * limit.rate:  # the pace may lie far above what it was used for
                    limit.pace = min(limit.pace, self._own(limit))
                limit.pace, limit.knee = limit.pace * rate / limit.rate, limit.knee * rate / limit.rate
            limit.rate = rate
            if left is not None and 0 <= left <= 1:
                self._pace_by(limit, left)

    def _eased(self, limit: Guard) -> bool:
        """Whether the pace is one of many that share what is told to be left of a limit."""
        return self.many and limit.told_us >= 0

    def _pace_by(self, limit: Guard, left: float) -> None:
        """Ease off where little is left of a limit, and take no more of the rest than many can take together.

        All relays read the same news, and calls that are refused use the limit up too. So with many no more
        than an equal part comes back at once; the rest grows with time. A few see soon what they take.
        """
        equal, bound = limit.rate / self.set.group_size, min(1.0, ROOM * left) * limit.rate
        since_us = min(SECOND_US, self.now - limit.told_us) if limit.told_us >= 0 else 0
        pace = self._pace(limit)
        if left < EASE and self.many:
            ease = EASE_DOWN * (1 - left / EASE) * since_us / SECOND_US
            pace = min(pace, ROOM * self._own(limit)) * (1 - ease)
        if not limit.strikes:
            pace = max(pace, bound / self.set.group_size if self.many else bound)
        limit.pace, limit.told_us = min(pace, max(equal, bound)), self.now

    def _lower(self, limit: Guard) -> None:
        """Refused above a limit: fall under the pace that was too much, and remember that one.

        A told rate may hold no more, or others use it up. With many the equal part is the only floor:
        what each was served before a limit fell comes in the sum to more than it bears now.
        """
        knee = min(self._pace(limit), self._own(limit))
        if self._eased(limit):
            limit.pace = max(TOLD_DOWN * knee, LEAST_PART * limit.rate / self.set.group_size)
        else:
            served = limit.served.rate(self.now, self.begun_us)
            limit.pace = max(PACE_DOWN * knee, 0.5 * served, 1e6 / RETRY_MAX_US)
        limit.knee = knee if limit.knee == math.inf else (knee + limit.knee) / 2
        limit.knee_us = self.now

    def _arrive(self, event: Arrival) -> None:
        if (cls := self.classes.get(event.cls)) is None or event.id in self.messages:
            return
        worth = cls.worth
        self.arrivals.add(False, self.now)
        if event.tenant in self.shares:  # beyond its part of this relay's own traffic it is worth little
            quota, own = self.shares[event.tenant]
            own.add(False, self.now)
            part = self.arrivals.rate(self.now, self.begun_us) * quota / max(quota, self.quotas)
            part = max(part, quota / self.set.group_size)
            if self.rng.random() * own.rate(self.now, self.begun_us) > part + 2e6 / MEMORY_US:
                worth *= self.set.over_share_worth
        message = self.messages[event.id] = Message(event, cls, self.now, worth)
        self.open, self.came = self.open + 1, self.came + 1
        message.serial = self.came
        dest = self.dests.setdefault(event.dest, Destination(Guard(MEMORY_US)))
        for limit in (limits := {id(e.limit): e.limit for e in dest.ready()}).values():
            limit.demand.add(False, self.now, 1 / len(limits))
        if message.key:
            self.turns.setdefault(message.key, []).append(message)
            if message.risky_us >= 0:  # a try of a former life may still run
                self.rests[message.key] = self.now + self.set.order_pause_us
        self._hold(message)

    def _hold(self, message: Message) -> None:
        """Keep it for the dispatch, and note when it has to be answered."""
        self.serial += 1
        self.dests[message.dest].hold(message, self.serial)
        self.look[message.dest] = None
        heapq.heappush(self.ends, (self._end_us(message), self.serial, message.id))

    def _end_us(self, message: Message) -> int:
        """When its time or window covers no further call."""
        cls, risky = message.cls, message.risky_us >= 0
        if message.attempts >= self.set.max_attempts or (risky and cls.effect is Effect.UNSAFE):
            return self.now
        end = message.deadline_us - self._margin_us(cls)
        return min(end, self._window_us(message)) if risky and cls.effect is Effect.KEYED else end

    def _window_us(self, message: Message) -> int:
        """When a keyed message that may have run may no longer be repeated."""
        return message.risky_us + message.cls.window_us - self.set.round_us

    def _margin_us(self, cls: MessageClass) -> int:
        """Time that a further call takes at least."""
        return int(max(4 * self.set.round_us, self._usual(cls).mean_us / 2))

    def _short(self) -> bool:
        """Whether slots are short."""
        return self.calls_out >= SICK_SHARE * self.set.slots

    def _cut_short(self) -> None:
        """Give up calls that hang alone: overdue, while the endpoint has answered what was sent later.

        A connection that fell quiet says nothing of the endpoint, and others wait for the slot. A call ends
        whole, since a message is out as long as its call is.
        """
        for endpoint in self.busy.values():
            for call in endpoint.calls:
                age_us = self.now - call.sent_us
                passed = call.sent_us < endpoint.answered_us and age_us > ALONE_OVERDUES * call.overdue_us
                if call.hung or not passed:
                    continue
                out = self._carried(call)
                last = any(m.cls.effect is Effect.UNSAFE for m, _ in out)
                call.hung = not last or age_us > ALONE_LAST_OVERDUES * call.overdue_us
                if call.hung:
                    self.actions += [Cancel(message.id, attempt) for message, attempt in out]

    def _carried(self, call: Call) -> list[tuple[Message, int]]:
        """The messages that are out with a call, in the order in which they came."""
        known = [(self.messages[name], n) for name, n in call.carries.items() if name in self.messages]
        return sorted((pair for pair in known if pair[0].out.get(pair[1]) is call), key=lambda p: p[0].serial)

    def _outcome(self, event: Outcome) -> None:
        """Settle one attempt: its call, the endpoint's figures, then the message."""
        message = self.messages.get(event.id)
        if message is None or (call := message.out.pop(event.attempt, None)) is None:
            return
        if call.hung and event.verdict is Verdict.CANCELLED:
            event = replace(event, verdict=Verdict.TIMEOUT)  # its time-out come early
        endpoint, verdict = call.endpoint, event.verdict
        self._touch(message.dest)
        endpoint.limit.wait_us = max(endpoint.limit.wait_us, self.now + event.wait_us * (event.wait_us > 0))
        call.open -= 1
        if call.open == 0:
            endpoint.calls.remove(call)
            if not endpoint.calls and self.busy.get(endpoint.host) is endpoint:
                del self.busy[endpoint.host]
            endpoint.used_us = self.now
            self.calls_out -= 1
            self._told(endpoint.limit, event.limit_per_s, event.limit_left)
            if verdict not in (Verdict.CANCELLED, Verdict.NOT_SENT):
                self._learn(call, message, event)
            # Many relays' idle connections fill a small table: close one that will hardly serve again.
            # Who holds one is seldom turned away: the more relays, the rarer the sign that each of them gets.
            crowd = self.crowds.setdefault(endpoint.kind.name, Tally(MEMORY_US))
            crowd.add(verdict is Verdict.CONNECT_FAILED, self.now)
            rare = self._part(endpoint, endpoint.own) * self.set.keepalive_us < 1e6
            if not endpoint.calls and (rare or crowd.share(self.now) > LOW_MARK / self.set.group_size):
                self.actions.append(CloseIdle(endpoint.host))
                endpoint.used_us = 0
        if not verdict.never_ran and verdict is not Verdict.OK:
            if message.risky_us < 0 or call.sent_us < message.risky_us:
                message.risky_us, message.risky_zone = call.sent_us, endpoint.zone
            message.timeouts += verdict is Verdict.TIMEOUT
            if message.key and verdict is not Verdict.ERROR:
                self.rests[message.key] = self.now + self.set.order_pause_us
        if event.complete or message.done:
            self._close(message)
        elif not message.out:  # held again; what may not be repeated is answered after the whole batch
            self._hold(message)

    def _learn(self, call: Call, message: Message, event: Outcome) -> None:
        """What the end of a call says of its connection, its class there, its endpoint and its limit."""
        endpoint, verdict, name = call.endpoint, event.verdict, message.cls.name
        usual_us, failed = self._record(message, endpoint).mean_us, verdict is not Verdict.OK
        lost = verdict in (Verdict.RESET, Verdict.TIMEOUT)
        self.stale_us = min(STALE_UP * self.stale_us, self.set.keepalive_us)
        if self._cut(call, lost):
            self.stale_us = max(STALE_DOWN * self.stale_us, min(self.stale_us, 0.8 * call.idle_us))
            if verdict is Verdict.RESET and event.elapsed_us < usual_us / 2:
                return  # no failure of the endpoint
        for table in (endpoint.records, self.norms) if not failed else (endpoint.records,):
            record = table.setdefault(name, self._fresh(usual_us if failed else event.elapsed_us))
            if not failed:
                record.learn(event.elapsed_us, WEIGHT)
        self._judge(endpoint, failed)
        if verdict is not Verdict.FULL:
            endpoint.records[name].bad.add(failed, self.now)
        if failed:
            guard = endpoint.limit if verdict is Verdict.FULL else endpoint.own
            self._fail(call, guard, event)
            return
        endpoint.answered_us, endpoint.turned = max(endpoint.answered_us, call.sent_us), 0
        trials = [g for g in endpoint.guards if g.strikes]
        few = 1 if self.many else 2  # failures in a row that are an outage: a relay of many sees fewer of it
        outage = any(g.strikes > few or self.trials[g.refused].share(self.now) > OUTAGE_MARK for g in trials)
        for guard in trials:
            self.trials[guard.refused].add(False, self.now)
        for guard in endpoint.guards:
            if outage and self.now - guard.ok_us > GAP_US:
                guard.cold_us = self.now  # back from an outage: from now its part of what a cold server bears
                self._space(endpoint, guard, self.rng.random())
            guard.ok_us, guard.strikes = self.now, 0
            if self.now - guard.cold_us > self.set.warm_within_us:
                guard.cold_us = -1
        endpoint.limit.served.add(False, self.now)
        if not self._eased(endpoint.limit):
            endpoint.limit.pace = self._pace(endpoint.limit) * PACE_UP

    def _cut(self, call: Call, lost: bool) -> bool:
        """Whether idleness may have cut the call's connection: none that was idle as long served lately.

        A call that is lost on a connection idle for less than another that served was lost for another cause;
        to close idle connections for it only costs new ones, and hosts hold only so many.
        """
        sound_us = self.sound_us * math.exp((self.sound_at_us - self.now) / MEMORY_US)
        if not lost:
            self.sound_us, self.sound_at_us = max(sound_us, call.idle_us), self.now
        return lost and call.idle_us > sound_us

    def _judge(self, endpoint: Endpoint, failed: bool) -> None:
        """The notes' rule: average the failure ratio and step the quota by its marks."""
        endpoint.ratio.add(failed, self.now)
        if failed and endpoint.ratio.share(self.now) > HIGH_MARK:
            endpoint.quota = max(FLOOR_SHARE * endpoint.start, endpoint.quota * STEP_DOWN)
        elif not failed or endpoint.ratio.share(self.now) < LOW_MARK:
            endpoint.quota = min(endpoint.start, endpoint.quota + STEP_UP * endpoint.start)

    def _suspect(self, endpoint: Endpoint) -> bool:
        """Whether a call is overdue and no answer came since: a hang, seen before its time-outs."""
        if not endpoint.calls:
            return False
        ok_us = endpoint.limit.ok_us
        return any(self.now - c.sent_us > c.overdue_us >= ok_us - c.sent_us for c in endpoint.calls)

    def _ill(self, endpoint: Endpoint) -> bool:
        for guard in endpoint.guards:  # mostly without a strike, and asked for often
            if guard.strikes > 1:
                return True
            if guard.strikes and self.trials[guard.refused].share(self.now) > OUTAGE_MARK:
                return True
        return False

    def _fail(self, call: Call, guard: Guard, event: Outcome) -> None:
        """A strike, and a pause before the next trial that grows with the outage's age.

        A refusal that tells of a limit with little left is no sign of an outage, however often it comes: a
        relay of many has few successes between them. It slows the pace, and counts as one strike at most.
        """
        endpoint, sent_us, verdict = call.endpoint, call.sent_us, event.verdict
        refused, beside = verdict is Verdict.FULL, self.now - guard.ok_us < GAP_US
        if event.turned_away or (beside and verdict is Verdict.CONNECT_FAILED):
            # A connection limit, by the endpoint's word or by what else serves there: fewer calls, no strike.
            endpoint.links, endpoint.links_us = min(self._links(endpoint), max(1, call.beside)), self.now
            if guard.ok_us < sent_us:  # nothing shows yet that other connections serve meanwhile
                pause_us = RETRY_US
                if event.turned_away:
                    usual_us = min(RETRY_US * 2.0 ** min(endpoint.turned, 10), RETRY_MAX_US)
                    pause_us = int(usual_us * self.rng.uniform(0.5, 1.5))
                    endpoint.turned += 1
                guard.next_us = max(guard.next_us, self.now + pause_us)
            return
        if not refused and endpoint.ratio.share(self.now) > OUTAGE_MARK:  # most calls failing: an outage too
            guard.cold_us = self.now
        used_up = refused and self.many and bool(event.limit_per_s) and ROOM * (event.limit_left or 0.0) < 1
        if guard.strikes and sent_us > guard.strike_us and not used_up:
            self.trials[refused].add(True, self.now)
        if sent_us > guard.strike_us or not guard.strikes:
            strikes = max(1, guard.strikes) if used_up else guard.strikes + 1
            guard.strikes, guard.strike_us, guard.refused = strikes, self.now, refused
            if refused:
                self._lower(guard)
            if guard.strikes == 3:
                self.actions.append(Log(f"{endpoint.host} failing: {verdict.value}, paced"))
        # While most trials fail, this is an outage, and the group's trials together have to fit what a cold
        # server bears: each relay pauses by its part. A refusal beside other failures is the outage's own.
        gap_us = min(RETRY_US * 2.0 ** min(guard.strikes - 1, 10), RETRY_MAX_US)
        sore = any(g.cold_us >= 0 or (g.strikes and not g.refused) for g in endpoint.guards)
        again = guard.cold_us >= 0 or (guard.strikes > 1 and not beside)
        if again or self.trials[refused and not sore].share(self.now) > OUTAGE_MARK:
            bears = self.set.fall_multiple * self.set.cold_from * self._part(endpoint, guard)
            gap_us = max(gap_us, 1e6 / bears)
        start_us = max(self.now, guard.wait_us)
        if used_up:
            guard.next_us = max(guard.next_us, start_us + int(1e6 / guard.pace * self.rng.uniform(0.3, 1.3)))
        elif sore or guard.strikes > 1 or not beside:
            guard.next_us = max(guard.next_us, start_us + int(gap_us * self.rng.uniform(0.3, 1.3)))
        else:  # all that were told to wait would come back at once
            guard.next_us = max(guard.next_us, start_us + int((start_us - self.now) * self.rng.random()))

    def _links(self, endpoint: Endpoint) -> float:
        """Calls at once for which it has connections, by what it turned away; in time it may have more."""
        return endpoint.links + (self.now - endpoint.links_us) / CROWD_US

    def _pace(self, limit: Guard) -> float:
        """This relay's pace at a limit; it grows with time, and slowly near a pace that was refused."""
        eased = self._eased(limit)
        e_fold_us = RECOVER_US if eased else MEMORY_US
        grown = limit.pace * math.exp(min(50.0, (self.now - limit.pace_us) / e_fold_us))
        if eased and limit.knee < math.inf:
            knee = KNEE * limit.knee * math.exp(min(50.0, (self.now - limit.knee_us) / KNEE_US))
            grown = min(grown, max(limit.pace, knee))
        limit.pace, limit.pace_us = min(grown, limit.rate or math.inf), self.now
        return limit.pace

    def _part(self, endpoint: Endpoint, guard: Guard) -> float:
        """This relay's part of the calls a second there, of all endpoints or of one."""
        limit = endpoint.limit
        return self._own(limit) / (1 if guard is limit else max(1, len(self.dests[endpoint.dest].ready())))

    def _own(self, limit: Guard) -> float:
        """This relay's part of the calls a second within a limit: an equal one, or by its own demand."""
        return max(limit.rate / self.set.group_size, limit.demand.rate(self.now, self.begun_us), 1e-3)

    def _space(self, endpoint: Endpoint, guard: Guard, part: float = 1.0) -> None:
        """A cold server gets this relay's part of what it bears, spread over its time to warm."""
        warm_us = max(1, self.set.warm_within_us)
        cold = max(0.0, 1 - (self.now - guard.cold_us) / warm_us)
        bears, growth = 1 - (1 - self.set.cold_from) * cold, (1 - self.set.cold_from) / warm_us
        call_us = 1e6 / (self.set.fall_multiple * self._part(endpoint, guard))
        # The rate grows while it waits: gap x (bears + growth x gap / 2) = call, solved for the gap.
        gap_us = 2 * call_us / (bears + math.sqrt(bears * bears + 2 * growth * call_us))
        gap_us = part * min(gap_us, max(RETRY_US, cold * warm_us))
        guard.next_us = max(guard.next_us, self.now + int(gap_us))

    def _give_up(self, message: Message) -> None:
        """Answer for good: a refusal where a retry is harmless, else a failure."""
        keyed_anywhere = message.cls.effect is Effect.KEYED and not message.cls.scope_is_zone
        harmless = message.cls.effect is Effect.SAFE or message.risky_us < 0 or keyed_anywhere
        wait_us = self.set.max_retry_after_us * self.set.advise_retry
        self.actions.append(Refuse(message.id, wait_us) if harmless else Fail(message.id))
        self._close(message)

    def _close(self, message: Message) -> None:
        """The message is over; it stays known while attempts are out."""
        self.open -= not message.done
        message.done = True
        self.dests[message.dest].release(message)
        if message.out:
            return
        self.messages.pop(message.id, None)
        if queue := self.turns.get(message.key):
            queue.remove(message)
            for other in queue[:1]:
                self._touch(other.dest)
            if not queue:
                del self.turns[message.key]

    def _record(self, message: Message, endpoint: Endpoint | None = None) -> Record:
        """What a call takes there, else anywhere, else a guess: a quarter of the aim, spread as wide."""
        return (endpoint.records.get(message.cls.name) if endpoint else None) or self._usual(message.cls)

    def _usual(self, cls: MessageClass) -> Record:
        """The same for a class, wherever."""
        return self.norms.get(cls.name) or self._fresh(cls.aim_us / 4)

    _fresh = staticmethod(lambda guess_us: Record(guess_us, Tally(MEMORY_US, 1 - WEIGHT)))

    def _expire(self) -> None:
        """Answer held messages whose time or window covers no call, and the least worthy over the bound."""
        while self.ends and self.ends[0][0] <= self.now:
            message = self.messages.get(heapq.heappop(self.ends)[2])
            if message is not None and message.order:  # what a call takes may have changed since
                (self._hold if self._end_us(message) > self.now else self._give_up)(message)
        for dest in [self.dests[number] for number in self.look]:
            start = min((e.limit.wait_us for e in dest.ready()), default=0)
            if start > self.now:  # told to wait past the message's time: answer now
                for message in self._ended_by(dest, start):
                    self._give_up(message)
        if (over := self.open - max(1, self.set.hold_cap - 1)) > 0:
            held = [m for m in self.messages.values() if not m.done and not m.out]
            for message in sorted(held, key=self._score)[:over]:
                self._give_up(message)

    def _ended_by(self, dest: Destination, at_us: int) -> list[Message]:
        """The held messages that have to be answered by then, in the order of the line."""
        found: list[Message] = []
        for (name, _, attempts), lane in dest.lanes.items():
            # Of those that were never tried the end follows from the deadline alone.
            most_us = math.inf if attempts else at_us + self._margin_us(self.classes[name])
            found += [m for m in lane.until(most_us) if self._end_us(m) <= at_us]
        return sorted(found, key=lambda message: message.order)

    def _worth(self, message: Message, at_us: float) -> float:
        """What the message earns if delivered at that time."""
        cls, late_us = message.cls, at_us - message.aim_us
        if at_us >= message.deadline_us:
            return 0.0
        if late_us <= 0:
            return message.worth
        if self.set.halves:
            return message.worth * max(cls.late_worth, math.pow(0.5, late_us / max(1, cls.aim_us)))
        return message.worth * (1 - (1 - cls.late_worth) * late_us / max(1, cls.deadline_us - cls.aim_us))

    def _score(self, message: Message) -> float:
        """Worth lost by waiting a while longer, and a part of the worth itself."""
        at_us = self.now + self._record(message).mean_us
        now = self._worth(message, at_us)
        return now - self._worth(message, at_us + URGENCY_US) + KEEP_WORTH * now

    def _dispatch(self) -> None:
        """One pass over what is held at the destinations to look at, best first, while any has room.

        Room only shrinks within a pass. So a destination that had none for one message is left out from
        then on: asked again for each of hundreds that are held, it took most of a relay's processor. For the
        same reason each destination's messages are ranked as far as they are asked for.
        """
        short, looked, roomy = self._short(), list(self.look), set[int]()
        ready: list[tuple[float, int, int, Message, Iterator[Ranked[Message]]]] = []
        for at, number in enumerate(looked):
            dest = self.dests[number]
            if dest.held and (rooms := [e for e in dest.ready() if self._room(dest, e)]):
                roomy.add(number)
                rest = self._ranked(dest, rooms, short)
                ready += [(rank, at, place, message, rest) for rank, place, message in islice(rest, 1)]
        heapq.heapify(ready)
        opened: dict[str, Call] = {}
        while ready and roomy:
            _, at, _, message, rest = ready[0]
            if message.dest not in roomy:
                heapq.heappop(ready)
                continue
            if (after := next(rest, None)) is not None:
                heapq.heapreplace(ready, (after[0], at, after[1], after[2], rest))
            else:
                heapq.heappop(ready)
            dest = self.dests[message.dest]
            bound = message.cls.effect is Effect.KEYED and message.risky_us >= 0 and message.cls.scope_is_zone
            spots = [e for e in dest.ready() if not bound or e.zone == message.risky_zone]
            shared = [e for e in spots if e.host in opened and opened[e.host].messages < e.kind.batch]
            if rooms := shared or [e for e in spots if self._room(dest, e)]:
                best = rooms[0] if len(rooms) == 1 else min(rooms, key=lambda e: self._cost(message, e))
                self._send(message, best, opened)
            elif not bound:
                roomy.remove(message.dest)
        self.look = {}
        if self.calls_out >= self.set.slots:  # what is held waits for a slot and is looked at again
            for number in looked:
                self._touch(number)
        for number in looked:
            if (dest := self.dests[number]).held:
                times = [max(max(g.wait_us, g.next_us) for g in e.guards) for e in dest.ready()]
                if self.turns:
                    times += [self.rests.get(m.key, 0) for m in dest.held.values() if m.key]
                if later := [at_us for at_us in times if at_us > self.now]:
                    self._look_at(dest, number, min(later))

    def _look_at(self, dest: Destination, number: int, at_us: int) -> None:
        """Look at a destination again then, unless a look that comes sooner is due already."""
        if not self.now < dest.due_us <= at_us:
            dest.due_us = at_us
            heapq.heappush(self.due, (at_us, number))

    def _touch(self, number: int) -> None:
        """Look at a destination with the next dispatch, where it holds anything."""
        if self.dests[number].held:
            self.look[number] = None

    def _ranked(self, dest: Destination, rooms: list[Endpoint], short: bool) -> Iterator[Ranked[Message]]:
        """The messages of a destination that may go, each with its rank among all: the least goes first.

        With slots short, worth counts by time in a slot, or crawling destinations take them all; those that
        can share a call share its slot. Trials of what fails cost least with what may be repeated, and take
        turns: that settles which of a destination's messages goes first, not when the destination's turn is.
        """

        def line(lanes: Iterable[Lane[Message]]) -> Iterator[Ranked[Message]]:
            parts = [self._lined(dest, lane, rooms, short) for lane in lanes]
            ranked = parts[0] if len(parts) == 1 else heapq.merge(*parts)
            return (item for item in ranked if self._has_turn(item[2])) if self.turns else ranked

        if not any(g.strikes for e in dest.endpoints.values() for g in e.guards):
            return line(dest.lanes.values())
        risks: dict[float, list[Lane[Message]]] = {}
        for (name, _, attempts), lane in dest.lanes.items():
            risk = RISKS[self.classes[name].effect] + attempts / self.set.max_attempts
            risks.setdefault(risk, []).append(lane)
        messages = (item[2] for risk in sorted(risks) for item in line(risks[risk]))
        ranks = (item[0] for item in line(dest.lanes.values()))
        pairs = zip(ranks, messages, strict=True)
        return ((rank, place, message) for place, (rank, message) in enumerate(pairs))

    def _lined(
        self, dest: Destination, lane: Lane[Message], rooms: list[Endpoint], short: bool
    ) -> Iterator[Ranked[Message]]:
        """A lane's messages by rank: all have the same class, and so the same time in a slot."""
        some = lane.some()
        slot_us = min(self._slot_us(some, dest, e) for e in rooms) if short else 1.0
        if len(lane) == 1:
            return iter([(-self._score(some) / slot_us, some.order, some)])
        return lane.ranked(self._cuts(some.cls), lambda message: -self._score(message) / slot_us)

    def _cuts(self, cls: MessageClass) -> list[float]:
        """The deadlines between which a score of the class only rises or only falls, now."""
        at_us, late_us = self.now + self._usual(cls).mean_us, cls.deadline_us - cls.aim_us
        cuts = [at_us, at_us + late_us]
        if self.set.halves and 0 < cls.late_worth < 1:  # where worth has come down to the least
            cuts.append(at_us + late_us + max(1, cls.aim_us) * math.log2(cls.late_worth))
        return cuts + [cut + URGENCY_US for cut in cuts]

    def _slot_us(self, message: Message, dest: Destination, endpoint: Endpoint) -> float:
        """Slot time that the message costs there, with as many beside it as a call takes and are held."""
        return self._record(message, endpoint).mean_us / min(endpoint.kind.batch, len(dest.held))

    def _has_turn(self, message: Message) -> bool:
        """Whether order by key lets the message go now; the one that has the turn may be repeated at once."""
        first = not message.key or self.turns[message.key][0] is message
        return first and (message.attempts > 0 or self.now >= self.rests.get(message.key, 0))

    def _room(self, dest: Destination, endpoint: Endpoint) -> bool:
        """Whether one more call to the endpoint is within slots, cap, quota, wait, pace and suspicion."""
        others = dest.endpoints.values()
        most = max(1, int(min(endpoint.quota, self._links(endpoint))))
        full = self.calls_out >= self.set.slots or len(endpoint.calls) >= most
        if full or any(self.now < max(guard.wait_us, guard.next_us) for guard in endpoint.guards):
            return False
        if self._suspect(endpoint) or (self._ill(endpoint) and any(e.calls for e in others if self._ill(e))):
            return False
        out = sum(len(e.calls) for e in others)
        if out < max(1, int(SICK_SHARE * self.set.slots)):  # sick or not
            return True
        if out >= max(1, int(CAP_SHARE * self.set.slots)):
            return False
        return not any(
            e.ratio.share(self.now) > HIGH_MARK or self._ill(e) or self._suspect(e) for e in others
        )

    def _cost(self, message: Message, endpoint: Endpoint) -> float:
        """Time to be served there, with its failures and its fee turned into time."""
        record, fee = self._record(message, endpoint), self.set.zone_fees.get(endpoint.zone, 0.0)
        bad = max(record.bad.share(self.now), endpoint.ratio.share(self.now))
        return record.mean_us * (len(endpoint.calls) + 1) / max(0.1, 1 - bad) + fee * message.cls.deadline_us

    def _send(self, message: Message, endpoint: Endpoint, opened: dict[str, Call]) -> None:
        record, limit_us = self._record(message, endpoint), message.deadline_us - self.now
        overdue = record.mean_us + LATE_SPREADS * max(record.spread_us, record.mean_us / 2)
        if message.cls.effect is not Effect.UNSAFE:
            # What others take tells little of one that came later and answered nothing yet: it may be cold.
            least_us = message.cls.aim_us if endpoint.later and endpoint.own.ok_us < 0 else 0
            usual_us = int(LIMIT_OVERDUES * overdue) << min(message.timeouts, 8)
            limit_us = min(limit_us, max(least_us, usual_us))
        else:  # one that times out is lost; but one that hangs keeps a slot and a connection from others
            limit_us = min(limit_us, max(message.cls.aim_us, int(LAST_OVERDUES * overdue)))
        if (call := opened.get(endpoint.host)) is None or call.messages >= endpoint.kind.batch:
            if (idle_us := self.now - (endpoint.used_us or self.now)) > self.stale_us:
                self.actions.append(CloseIdle(endpoint.host))
                idle_us = 0
            call = opened[endpoint.host] = Call(endpoint, self.now, overdue, idle_us)
            endpoint.calls.append(call)
            self.busy[endpoint.host] = endpoint
            self.calls_out += 1
            if (pace := self._pace(limit := endpoint.limit)) < math.inf:
                gap_us = int(1e6 / pace * self.rng.uniform(0.5, 1.5))  # not back together
                limit.next_us = max(limit.next_us, self.now - BURST_US) + gap_us
            for guard in (g for g in endpoint.guards if g.cold_us >= 0):
                self._space(endpoint, guard)
        self.dests[message.dest].release(message)  # before its attempts change, by which its lane is known
        call.messages, call.open = call.messages + 1, call.open + 1
        call.carries[message.id] = message.attempts
        message.out[message.attempts], message.attempts = call, message.attempts + 1
        begin_us = 0
        if message.cls.effect is Effect.KEYED and message.risky_us >= 0:
            begin_us = max(1, self._window_us(message) - self.now)
        self.actions.append(Send(message.id, endpoint.host, max(1, limit_us), begin_us))
