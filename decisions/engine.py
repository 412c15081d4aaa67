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
    DestinationKind,
    Effect,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Fail,
    Listing,
    Log,
    MessageClass,
    Outcome,
    Refuse,
    Send,
    Settings,
    Subscribe,
    Verdict,
    Wake,
    Withdrawn,
)
from decisions.ranked_queue import DeadlineQueue, RankedMessage
from decisions.state import Call, CallStats, DecayingCounter, Destination, Endpoint, LimiterState, Message

HEALTHY_SLOT_SHARE, FAILING_SLOT_SHARE = (
    0.75,
    0.5,
)  # of slots: calls to one healthy, one failing or slow destination
MIN_QUOTA_SHARE = 0.02  # of the starting quota: what a server that never answers keeps (the notes' 2%)
NEWEST_CALL_WEIGHT = 0.15  # of the newest call in ratios and latencies: about seven calls of memory
EVIDENCE_DECAY_US = 10_000_000  # us in which evidence fades to a third: ratios, own demand, a slowed pace
QUOTA_DOWN_FAILURE_RATIO, QUOTA_UP_FAILURE_RATIO = (
    0.3,
    0.1,
)  # failure ratio: above, the quota steps down; below, it steps up
QUOTA_DOWN_FACTOR, QUOTA_UP_SHARE = 0.7, 0.1  # quota factor for a step down; share of the start for a step up
OUTAGE_FAILURE_RATIO = 0.5  # failure ratio above which an endpoint that does not only refuse is in an outage
MAX_LIMIT_REPORT_AGE_US = 1_000_000  # us: news of a limit counts for no longer
COLD_RETURN_GAP_US = 2_000_000  # us with failures and no success after which a return is taken for a cold one
MIN_TRIAL_GAP_US, MAX_TRIAL_GAP_US = 200_000, 3_000_000  # us between trials where this relay's part is large
CONNECTION_CAP_GROWTH_US = 1_000_000  # us until one connection more is tried where one was turned away
MAX_BURST_US = 400_000  # us of its rate that a paced limit may take at once
OVERDUE_DEVIATIONS = (
    4.0  # spreads over the mean: a call older than this is overdue (about 1 in 50 if exponential)
)
REPEATABLE_TIMEOUT_OVERDUES = 2.5  # time-out of a call that may be repeated, in times of the overdue age
UNSAFE_TIMEOUT_OVERDUES = 10.0  # time-out of one that may not, likewise; its aim at least
LONE_HANG_OVERDUES, LONE_HANG_UNSAFE_OVERDUES = (
    2.0,
    4.0,
)  # with slots short, the same where later calls were answered
SHARE_LEFT_FACTOR = 2.0  # the pace is the whole told rate while more than one in so many of it is left
REFUSED_RATE_FACTOR, SERVED_RATE_FACTOR = 0.8, 1.03  # pace factors: refused above a limit, and served
MAX_SMALL_GROUP = 4  # relays of which each still sees by itself what all take together of a limit
REPORTED_LIMIT_REFUSED_FACTOR, MIN_EQUAL_SHARE = (
    0.6,
    0.5,
)  # the same where what is left is told; the least pace then, in equal parts
MIN_ASK_GAP_US, LIST_QUEUE_US = (
    500_000,
    125_000,
)  # us before a broken watch is asked for again; of a list in a queue of all
AGENT_ASK_GAP_US = 250_000  # us before an agent is asked again that has the list at once when it is back
MAX_ASK_GAP_US = (
    5_500_000  # us between asks at most: news counts as told 6 s after the directory could be reached
)
EASE_OFF_SHARE_LEFT, MAX_EASE_OFF_PER_S = (
    0.6,
    0.5,
)  # where less of a limit is left the pace eases off, by up to so much in a second
FAST_GROWTH_SHARE = 0.7  # share of a refused pace that is soon taken up again
FAST_GROWTH_US, SLOW_GROWTH_US = 4_000_000, 60_000_000  # us for e-fold growth up to there, and above
MIN_ADVERTISED_RATE, MAX_ADVERTISED_RATE = 0.1, 100_000.0  # calls/s that a told rate may mean
MAX_RATE_CHANGE_FACTOR = 4.0  # factor by which one report changes a told rate at most
LOWERED_LIMIT_RATIO = 0.75  # a told rate under so much of the last one is a lowered limit, and no noise
TRUSTED_IDLE_DOWN_FACTOR, TRUSTED_IDLE_UP_FACTOR = (
    0.5,
    1.005,
)  # factors of the trusted idle age: a reused connection cut; any other end
STATUS_LOG_INTERVAL_US = 5_000_000  # us between log lines on destinations that hold messages
MAX_GONE_ENDPOINTS = 1024  # endpoints that left the list and are still known
REPEAT_RISKS = {
    effect: float(number) for number, effect in enumerate(Effect)
}  # the less a repeat does, the sooner
URGENCY_HORIZON_US, WORTH_SCORE_WEIGHT = (
    1_500_000,
    0.2,
)  # us ahead in which waiting loses worth; weight of the worth beside


class DecisionEngine:
    """One sender. Feed it batches of events in order of time; carry out what it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng, self.now_us, self.actions = settings, random.Random(seed), 0, list[Action]()
        self.large_group = settings.group_size > MAX_SMALL_GROUP
        self.classes = {cls.name: cls for cls in settings.classes}
        self.kinds = {kind.name: kind for kind in settings.kinds}
        self.messages, self.endpoints = dict[str, Message](), dict[str, Endpoint]()
        self.busy_endpoints = dict[str, Endpoint]()  # those with calls out, by host
        self.dests, self.banned = dict[int, Destination](), set[str]()  # banned: by operators, listed or not
        self.key_queues = dict[str, list[Message]]()  # by key: messages in order of arrival
        self.key_cooldown_until_us = dict[
            str, int
        ]()  # by key: when an attempt that may still run has died down
        self.baseline_stats: dict[str, CallStats] = {}  # by class: latency over all endpoints
        self.tenant_arrivals = {
            t.name: (t.quota_per_s, DecayingCounter(EVIDENCE_DECAY_US)) for t in settings.tenants
        }
        self.total_quota_per_s, self.arrivals = (
            sum(t.quota_per_s for t in settings.tenants),
            DecayingCounter(EVIDENCE_DECAY_US),
        )
        # The idle age that is trusted; the oldest from which a connection lately served, and when.
        self.trusted_idle_us, self.served_idle_us, self.served_idle_at_us = (
            float(settings.keepalive_us),
            0.0,
            0,
        )
        self.connect_failures_by_kind: dict[
            str, DecayingCounter
        ] = {}  # by kind of destination: calls that found no connection
        self.trial_failures = (
            DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT),
            DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT),
        )  # failed, refused again
        self.open_messages, self.calls_out, self.next_wake_us, self.hold_count, self.arrival_count = (
            0,
            0,
            -1,
            0,
            0,
        )
        self.first_step_us = -1  # when this life's first step was
        # The next ask, and the gap before one after that: the first of a life often comes with all others'.
        self.next_ask_us, self.ask_gap_us = (
            (0 if settings.must_ask else -1),
            max(MIN_ASK_GAP_US, self._ask_round_us),
        )
        self.last_ask_us = 0  # the last ask
        self.update_joins_late = False  # whether the latest news of the list came when others were known
        self.next_status_us = 0  # when destinations that hold messages are logged next
        self.dests_to_check: dict[int, None] = {}  # destinations that an event or a due time touched
        self.check_heap: list[tuple[int, int]] = []  # heap: when to look at a destination again
        self.expiry_heap: list[tuple[int, int, str]] = []  # heap: when to answer a held message

    def resume(self) -> None:
        """Go on in another process: the wake-up that was asked for went with the old one."""
        self.next_wake_us = -1

    def step(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Take in every event of the batch, then answer and dispatch once."""
        self.now_us, self.actions = now_us, []
        self.first_step_us = now_us if self.first_step_us < 0 else self.first_step_us
        for event in events:
            if isinstance(event, EndpointUpdate):
                self._apply_endpoint_update(event)
            elif isinstance(event, Arrival):
                self._accept(event)
            elif isinstance(event, Outcome):
                self._apply_outcome(event)
            elif isinstance(event, Ban):
                self._apply_ban(event)
            elif isinstance(event, Withdrawn) and event.id in self.messages:
                self._close(self.messages[event.id])
        while self.check_heap and self.check_heap[0][0] <= now_us:
            if (number := heapq.heappop(self.check_heap)[1]) in self.dests:
                self._mark_for_check(number)
        self._expire()
        if self.settings.may_cancel and self._slots_short():
            self._cancel_lone_hangs()
        if self.calls_out < self.settings.slots:  # else what is held is looked at when a slot is free
            self._dispatch()
        if now_us >= self.next_status_us:
            self.next_status_us = now_us + STATUS_LOG_INTERVAL_US
            self._log_held()
            self._forget_stale()
        if 0 <= self.next_ask_us <= now_us:  # a directory that only answers; an unanswered ask is made again
            self.actions.append(Subscribe())
            self.last_ask_us = now_us
            self.next_ask_us = now_us + min(MAX_ASK_GAP_US, max(2_000_000, self.settings.ask_within_us // 2))
        times = [heap[0][0] for heap in (self.check_heap, self.expiry_heap) if heap] + [self.next_ask_us] * (
            self.next_ask_us >= 0
        )
        if times and (self.next_wake_us <= now_us or min(times) < self.next_wake_us):
            self.next_wake_us = max(min(times), now_us + self.settings.round_us)
            self.actions.append(Wake(self.next_wake_us - now_us))
        return self.actions

    def _forget_stale(self) -> None:
        """Let go of what a long life would pile up: rests that are over, endpoints and partners that left.

        An endpoint that comes back after so many others is taken for a new one, and so for a cold one.
        """
        self.key_cooldown_until_us = {
            key: until_us for key, until_us in self.key_cooldown_until_us.items() if until_us > self.now_us
        }
        gone = [e for e in self.endpoints.values() if e.listing is Listing.GONE and not e.calls]
        for endpoint in gone[: max(0, len(gone) - MAX_GONE_ENDPOINTS)]:
            del self.endpoints[endpoint.host], self.dests[endpoint.dest].endpoints[endpoint.host]
        wanted = self.dests_to_check.keys() | {message.dest for message in self.messages.values()}
        for number in [n for n, dest in self.dests.items() if not dest.endpoints and n not in wanted]:
            del self.dests[number]

    def _log_held(self) -> None:
        """A line for the people on call about each destination that holds messages: what holds them up."""
        for number, dest in self.dests.items():
            if dest.held and (ready := dest.usable_endpoints()):
                out = f"{self.calls_out} of {self.settings.slots} slots out"
                bears = "; ".join(map(self._describe_limits, ready))
                self.actions.append(Log(f"dest {number} holds {len(dest.held)}, {out}; {bears}"))

    def _describe_limits(self, endpoint: Endpoint) -> str:
        """What bounds calls to the endpoint now, in words."""
        guards, limit, failing = (
            endpoint.limiters,
            endpoint.rate_limiter,
            endpoint.failures.hit_ratio(self.now_us),
        )
        pause_us = max(max(guard.told_wait_until_us, guard.pause_until_us) for guard in guards) - self.now_us
        took = "/".join(f"{record.mean_us / 1000:.0f}" for record in endpoint.stats_by_class.values()) or "?"
        most = min(endpoint.quota, self._max_connections(endpoint))
        return (
            f"{endpoint.host} {len(endpoint.calls)} calls of quota {most:.1f}, took {took} ms, "
            f"failing {failing:.2f}, strikes {max(guard.failures_in_row for guard in guards)}, "
            f"pause {max(0, pause_us) // 1000} ms, pace {limit.allowed_rate:.1f} of {limit.advertised_rate:.1f}/s, "
            f"demand {limit.demand.rate_per_s(self.now_us, self.first_step_us):.1f}/s, "
            f"suspect {self._has_overdue_call(endpoint)}, cold {any(guard.cold_since_us >= 0 for guard in guards)}"
        )

    @property
    def _ask_round_us(self) -> int:
        """Time in which each relay of the group can ask the directory once."""
        return LIST_QUEUE_US * self.settings.group_size

    def _retry_ask_at_us(self) -> int:
        """When to ask again after an ask that failed or a watch that broke.

        The directory may be back right behind the ask that failed, and what it has counts from then. So no
        two asks lie farther apart than that; a group that cannot wait for its turns asks in a fixed order.
        Where the list is pushed what the agent has counts at once, and whoever asks it asks nobody else.
        """
        if self.settings.list_pushed:
            return self.now_us + int(AGENT_ASK_GAP_US * self.rng.uniform(0.2, 1.8))
        gap_us, spent_us = self.ask_gap_us * self.rng.uniform(0.2, 1.8), self.now_us - self.last_ask_us
        if spent_us > MAX_ASK_GAP_US - 2 * MIN_ASK_GAP_US:  # a watch that served for long
            return self.now_us + int(min(gap_us, 2 * MIN_ASK_GAP_US))
        if self.ask_gap_us <= (left_us := MAX_ASK_GAP_US - spent_us):
            return self.now_us + int(min(gap_us, left_us))
        place_us = MAX_ASK_GAP_US * self.settings.number // self.settings.group_size
        turn_us = (place_us - self.last_ask_us) % MAX_ASK_GAP_US or MAX_ASK_GAP_US
        return self.now_us + (turn_us - spent_us if turn_us > spent_us else left_us * turn_us // spent_us)

    def _apply_endpoint_update(self, event: EndpointUpdate) -> None:
        """Follow the directory; where it must be asked, a failed or broken watch is asked for again."""
        if event.kind is EndpointUpdateKind.FAILED:
            if self.settings.must_ask:
                self.next_ask_us = self._retry_ask_at_us()
                longest_us = max(MIN_ASK_GAP_US, self.settings.ask_within_us // 4, 2 * self._ask_round_us)
                self.ask_gap_us = min(max(2 * self.ask_gap_us, self._ask_round_us), longest_us)
            return
        if event.kind is not EndpointUpdateKind.CACHED:
            self.next_ask_us, self.ask_gap_us = -1, MIN_ASK_GAP_US
        named = {entry.host for entry in event.entries}
        for host, endpoint in self.endpoints.items() if event.kind is not EndpointUpdateKind.CHANGES else ():
            endpoint.listing = endpoint.listing if host in named else Listing.GONE
        start = max(1, int(HEALTHY_SLOT_SHARE * self.settings.slots))
        later = self.update_joins_late if event.continued else bool(self.endpoints)
        self.update_joins_late = later
        for entry in event.entries:
            dest = self.dests.setdefault(entry.dest, Destination(LimiterState(EVIDENCE_DECAY_US)))
            known, kind = (
                self.endpoints.get(entry.host),
                self.kinds.get(entry.kind, DestinationKind(entry.kind)),
            )
            if known is None or (known.dest, known.kind) != (entry.dest, kind):
                if known is not None:  # the host moved: calls out are settled with the old endpoint
                    del self.dests[known.dest].endpoints[entry.host]
                    self.busy_endpoints.pop(entry.host, None)
                # One that comes later may be new and cold: its quota grows from one call with its successes.
                known = Endpoint(
                    entry,
                    kind,
                    dest.rate_limiter,
                    LimiterState(EVIDENCE_DECAY_US),
                    DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT),
                )
                known.full_quota, known.quota, known.joined_late = start, 1 if later else start, later
                self.endpoints[entry.host] = dest.endpoints[entry.host] = known
            known.listing, known.banned = entry.listing, entry.host in self.banned
            self._mark_for_check(entry.dest)
            if self.settings.rate_hints_given and entry.listing is Listing.READY:
                self._apply_advertised_rate(
                    known.rate_limiter, entry.rate_hint / (1.5 if self.settings.rate_hints_rough else 1.0)
                )

    def _apply_ban(self, event: Ban) -> None:
        """Leave an endpoint out, or use it again: it was restarted meanwhile and comes back cold."""
        (self.banned.add if event.banned else self.banned.discard)(event.host)
        if (endpoint := self.endpoints.get(event.host)) is None or endpoint.banned == event.banned:
            return
        endpoint.banned = event.banned
        self._mark_for_check(endpoint.dest)
        if not event.banned:
            endpoint.quota, endpoint.joined_late, endpoint.own_limiter.cold_since_us = 1, True, self.now_us
            self._space_cold_calls(endpoint, endpoint.own_limiter, self.rng.random())

    @property
    def listed_count(self) -> int:
        """Endpoints on the list."""
        return sum(e.listing is not Listing.GONE for e in self.endpoints.values())

    @property
    def excluded_count(self) -> int:
        """Listed endpoints that get no ordinary traffic now: banned, draining, or failing."""
        listed = [e for e in self.endpoints.values() if e.listing is not Listing.GONE]
        return sum(e.banned or e.listing is Listing.DRAINING or self._is_failing(e) for e in listed)

    def _apply_advertised_rate(
        self, limit: LimiterState, rate: float | None, left: float | None = None
    ) -> None:
        """A rate told for all relays bounds the pace; the share of it that is left shows what others use.

        A rate that no partner can mean counts as not told, and one far from the last counts in steps: taken
        at its word, a single absurd report would end all calls for good, or open the pace without bound.
        """
        if rate and MIN_ADVERTISED_RATE <= rate <= MAX_ADVERTISED_RATE:
            if limit.advertised_rate:
                rate = min(
                    max(rate, limit.advertised_rate / MAX_RATE_CHANGE_FACTOR),
                    limit.advertised_rate * MAX_RATE_CHANGE_FACTOR,
                )
            if (
                not limit.advertised_rate
            ):  # a first guess: what the group's equal parts leave to one that is busy
                limit.allowed_rate, limit.allowed_rate_at_us = (
                    rate * min(1.0, 2 / self.settings.group_size**0.5),
                    self.now_us,
                )
            elif self.large_group:
                if (
                    rate < LOWERED_LIMIT_RATIO * limit.advertised_rate
                ):  # the pace may lie far above what it was used for
                    limit.allowed_rate = min(limit.allowed_rate, self._limit_share(limit))
                limit.allowed_rate, limit.rate_at_last_refusal = (
                    limit.allowed_rate * rate / limit.advertised_rate,
                    limit.rate_at_last_refusal * rate / limit.advertised_rate,
                )
            limit.advertised_rate = rate
            if left is not None and 0 <= left <= 1:
                self._adjust_to_share_left(limit, left)

    def _shares_reported_limit(self, limit: LimiterState) -> bool:
        """Whether the pace is one of many that share what is told to be left of a limit."""
        return self.large_group and limit.share_left_at_us >= 0

    def _adjust_to_share_left(self, limit: LimiterState, left: float) -> None:
        """Ease off where little is left of a limit, and take no more of the rest than many can take together.

        All relays read the same news, and calls that are refused use the limit up too. So with many no more
        than an equal part comes back at once; the rest grows with time. A few see soon what they take.
        """
        equal, bound = (
            limit.advertised_rate / self.settings.group_size,
            min(1.0, SHARE_LEFT_FACTOR * left) * limit.advertised_rate,
        )
        since_us = (
            min(MAX_LIMIT_REPORT_AGE_US, self.now_us - limit.share_left_at_us)
            if limit.share_left_at_us >= 0
            else 0
        )
        pace = self._grown_allowed_rate(limit)
        if left < EASE_OFF_SHARE_LEFT and self.large_group:
            ease = MAX_EASE_OFF_PER_S * (1 - left / EASE_OFF_SHARE_LEFT) * since_us / MAX_LIMIT_REPORT_AGE_US
            pace = min(pace, SHARE_LEFT_FACTOR * self._limit_share(limit)) * (1 - ease)
        if not limit.failures_in_row:
            pace = max(pace, bound / self.settings.group_size if self.large_group else bound)
        limit.allowed_rate, limit.share_left_at_us = min(pace, max(equal, bound)), self.now_us

    def _lower_allowed_rate(self, limit: LimiterState) -> None:
        """Refused above a limit: fall under the pace that was too much, and remember that one.

        A told rate may hold no more, or others use it up. With many the equal part is the only floor:
        what each was served before a limit fell comes in the sum to more than it bears now.
        """
        knee = min(self._grown_allowed_rate(limit), self._limit_share(limit))
        if self._shares_reported_limit(limit):
            limit.allowed_rate = max(
                REPORTED_LIMIT_REFUSED_FACTOR * knee,
                MIN_EQUAL_SHARE * limit.advertised_rate / self.settings.group_size,
            )
        else:
            served = limit.served.rate_per_s(self.now_us, self.first_step_us)
            limit.allowed_rate = max(REFUSED_RATE_FACTOR * knee, 0.5 * served, 1e6 / MAX_TRIAL_GAP_US)
        limit.rate_at_last_refusal = (
            knee if limit.rate_at_last_refusal == math.inf else (knee + limit.rate_at_last_refusal) / 2
        )
        limit.last_refusal_us = self.now_us

    def _accept(self, event: Arrival) -> None:
        if (cls := self.classes.get(event.cls)) is None or event.id in self.messages:
            return
        worth = cls.worth
        self.arrivals.add(False, self.now_us)
        if (
            event.tenant in self.tenant_arrivals
        ):  # beyond its part of this relay's own traffic it is worth little
            quota, own = self.tenant_arrivals[event.tenant]
            own.add(False, self.now_us)
            part = (
                self.arrivals.rate_per_s(self.now_us, self.first_step_us)
                * quota
                / max(quota, self.total_quota_per_s)
            )
            part = max(part, quota / self.settings.group_size)
            if (
                self.rng.random() * own.rate_per_s(self.now_us, self.first_step_us)
                > part + 2e6 / EVIDENCE_DECAY_US
            ):
                worth *= self.settings.over_share_worth
        message = self.messages[event.id] = Message(event, cls, self.now_us, worth)
        self.open_messages, self.arrival_count = self.open_messages + 1, self.arrival_count + 1
        message.arrival_number = self.arrival_count
        dest = self.dests.setdefault(event.dest, Destination(LimiterState(EVIDENCE_DECAY_US)))
        for limit in (
            limits := {id(e.rate_limiter): e.rate_limiter for e in dest.usable_endpoints()}
        ).values():
            limit.demand.add(False, self.now_us, 1 / len(limits))
        if message.key:
            self.key_queues.setdefault(message.key, []).append(message)
            if message.uncertain_since_us >= 0:  # a try of a former life may still run
                self.key_cooldown_until_us[message.key] = self.now_us + self.settings.order_pause_us
        self._hold(message)

    def _hold(self, message: Message) -> None:
        """Keep it for the dispatch, and note when it has to be answered."""
        self.hold_count += 1
        self.dests[message.dest].hold(message, self.hold_count)
        self.dests_to_check[message.dest] = None
        heapq.heappush(self.expiry_heap, (self._answer_by_us(message), self.hold_count, message.id))

    def _answer_by_us(self, message: Message) -> int:
        """When its time or window covers no further call."""
        cls, risky = message.cls, message.uncertain_since_us >= 0
        if message.attempts >= self.settings.max_attempts or (risky and cls.effect is Effect.UNSAFE):
            return self.now_us
        end = message.deadline_us - self._min_call_us(cls)
        return min(end, self._key_window_end_us(message)) if risky and cls.effect is Effect.KEYED else end

    def _key_window_end_us(self, message: Message) -> int:
        """When a keyed message that may have run may no longer be repeated."""
        return message.uncertain_since_us + message.cls.key_window_us - self.settings.round_us

    def _min_call_us(self, cls: MessageClass) -> int:
        """Time that a further call takes at least."""
        return int(max(4 * self.settings.round_us, self._class_stats(cls).mean_us / 2))

    def _slots_short(self) -> bool:
        """Whether slots are short."""
        return self.calls_out >= FAILING_SLOT_SHARE * self.settings.slots

    def _cancel_lone_hangs(self) -> None:
        """Give up calls that hang alone: overdue, while the endpoint has answered what was sent later.

        A connection that fell quiet says nothing of the endpoint, and others wait for the slot. A call ends
        whole, since a message is out as long as its call is.
        """
        for endpoint in self.busy_endpoints.values():
            for call in endpoint.calls:
                age_us = self.now_us - call.sent_us
                passed = (
                    call.sent_us < endpoint.latest_answered_send_us
                    and age_us > LONE_HANG_OVERDUES * call.overdue_after_us
                )
                if call.given_up or not passed:
                    continue
                out = self._messages_of_call(call)
                last = any(m.cls.effect is Effect.UNSAFE for m, _ in out)
                call.given_up = not last or age_us > LONE_HANG_UNSAFE_OVERDUES * call.overdue_after_us
                if call.given_up:
                    self.actions += [Cancel(message.id, attempt) for message, attempt in out]

    def _messages_of_call(self, call: Call) -> list[tuple[Message, int]]:
        """The messages that are out with a call, in the order in which they came."""
        known = [
            (self.messages[name], n) for name, n in call.attempt_by_message.items() if name in self.messages
        ]
        return sorted(
            (pair for pair in known if pair[0].open_calls.get(pair[1]) is call),
            key=lambda p: p[0].arrival_number,
        )

    def _apply_outcome(self, event: Outcome) -> None:
        """Settle one attempt: its call, the endpoint's figures, then the message."""
        message = self.messages.get(event.id)
        if message is None or (call := message.open_calls.pop(event.attempt, None)) is None:
            return
        if call.given_up and event.verdict is Verdict.CANCELLED:
            event = replace(event, verdict=Verdict.TIMEOUT)  # its time-out come early
        endpoint, verdict = call.endpoint, event.verdict
        self._mark_for_check(message.dest)
        endpoint.rate_limiter.told_wait_until_us = max(
            endpoint.rate_limiter.told_wait_until_us, self.now_us + event.wait_us * (event.wait_us > 0)
        )
        call.open_attempts -= 1
        if call.open_attempts == 0:
            endpoint.calls.remove(call)
            if not endpoint.calls and self.busy_endpoints.get(endpoint.host) is endpoint:
                del self.busy_endpoints[endpoint.host]
            endpoint.last_call_end_us = self.now_us
            self.calls_out -= 1
            self._apply_advertised_rate(endpoint.rate_limiter, event.limit_per_s, event.limit_share_left)
            if verdict not in (Verdict.CANCELLED, Verdict.NOT_SENT):
                self._update_statistics(call, message, event)
            # Many relays' idle connections fill a small table: close one that will hardly serve again.
            # Who holds one is seldom turned away: the more relays, the rarer the sign that each of them gets.
            crowd = self.connect_failures_by_kind.setdefault(
                endpoint.kind.name, DecayingCounter(EVIDENCE_DECAY_US)
            )
            crowd.add(verdict is Verdict.CONNECT_FAILED, self.now_us)
            rare = self._rate_share(endpoint, endpoint.own_limiter) * self.settings.keepalive_us < 1e6
            if not endpoint.calls and (
                rare or crowd.hit_ratio(self.now_us) > QUOTA_UP_FAILURE_RATIO / self.settings.group_size
            ):
                self.actions.append(CloseIdle(endpoint.host))
                endpoint.last_call_end_us = 0
        if not verdict.never_ran and verdict is not Verdict.OK:
            if message.uncertain_since_us < 0 or call.sent_us < message.uncertain_since_us:
                message.uncertain_since_us, message.uncertain_zone = call.sent_us, endpoint.zone
            message.timeouts += verdict is Verdict.TIMEOUT
            if message.key and verdict is not Verdict.ERROR:
                self.key_cooldown_until_us[message.key] = self.now_us + self.settings.order_pause_us
        if event.complete or message.done:
            self._close(message)
        elif not message.open_calls:  # held again; what may not be repeated is answered after the whole batch
            self._hold(message)

    def _update_statistics(self, call: Call, message: Message, event: Outcome) -> None:
        """What the end of a call says of its connection, its class there, its endpoint and its limit."""
        endpoint, verdict, name = call.endpoint, event.verdict, message.cls.name
        usual_us, failed = self._call_stats(message, endpoint).mean_us, verdict is not Verdict.OK
        lost = verdict in (Verdict.RESET, Verdict.TIMEOUT)
        self.trusted_idle_us = min(TRUSTED_IDLE_UP_FACTOR * self.trusted_idle_us, self.settings.keepalive_us)
        if self._is_idle_cut(call, lost):
            self.trusted_idle_us = max(
                TRUSTED_IDLE_DOWN_FACTOR * self.trusted_idle_us,
                min(self.trusted_idle_us, 0.8 * call.connection_idle_us),
            )
            if verdict is Verdict.RESET and event.elapsed_us < usual_us / 2:
                return  # no failure of the endpoint
        for table in (
            (endpoint.stats_by_class, self.baseline_stats) if not failed else (endpoint.stats_by_class,)
        ):
            record = table.setdefault(name, self._initial_stats(usual_us if failed else event.elapsed_us))
            if not failed:
                record.update_latency(event.elapsed_us, NEWEST_CALL_WEIGHT)
        self._update_quota(endpoint, failed)
        if verdict is not Verdict.FULL:
            endpoint.stats_by_class[name].failures.add(failed, self.now_us)
        if failed:
            guard = endpoint.rate_limiter if verdict is Verdict.FULL else endpoint.own_limiter
            self._record_failure(call, guard, event)
            return
        endpoint.latest_answered_send_us, endpoint.connection_rejections = (
            max(endpoint.latest_answered_send_us, call.sent_us),
            0,
        )
        trials = [g for g in endpoint.limiters if g.failures_in_row]
        few = (
            1 if self.large_group else 2
        )  # failures in a row that are an outage: a relay of many sees fewer of it
        outage = any(
            g.failures_in_row > few
            or self.trial_failures[g.last_failure_was_refusal].hit_ratio(self.now_us) > OUTAGE_FAILURE_RATIO
            for g in trials
        )
        for guard in trials:
            self.trial_failures[guard.last_failure_was_refusal].add(False, self.now_us)
        for guard in endpoint.limiters:
            if outage and self.now_us - guard.last_success_us > COLD_RETURN_GAP_US:
                guard.cold_since_us = (
                    self.now_us
                )  # back from an outage: from now its part of what a cold server bears
                self._space_cold_calls(endpoint, guard, self.rng.random())
            guard.last_success_us, guard.failures_in_row = self.now_us, 0
            if self.now_us - guard.cold_since_us > self.settings.warm_within_us:
                guard.cold_since_us = -1
        endpoint.rate_limiter.served.add(False, self.now_us)
        if not self._shares_reported_limit(endpoint.rate_limiter):
            endpoint.rate_limiter.allowed_rate = (
                self._grown_allowed_rate(endpoint.rate_limiter) * SERVED_RATE_FACTOR
            )

    def _is_idle_cut(self, call: Call, lost: bool) -> bool:
        """Whether idleness may have cut the call's connection: none that was idle as long served lately.

        A call that is lost on a connection idle for less than another that served was lost for another cause;
        to close idle connections for it only costs new ones, and hosts hold only so many.
        """
        sound_us = self.served_idle_us * math.exp((self.served_idle_at_us - self.now_us) / EVIDENCE_DECAY_US)
        if not lost:
            self.served_idle_us, self.served_idle_at_us = max(sound_us, call.connection_idle_us), self.now_us
        return lost and call.connection_idle_us > sound_us

    def _update_quota(self, endpoint: Endpoint, failed: bool) -> None:
        """The notes' rule: average the failure ratio and step the quota by its marks."""
        endpoint.failures.add(failed, self.now_us)
        if failed and endpoint.failures.hit_ratio(self.now_us) > QUOTA_DOWN_FAILURE_RATIO:
            endpoint.quota = max(MIN_QUOTA_SHARE * endpoint.full_quota, endpoint.quota * QUOTA_DOWN_FACTOR)
        elif not failed or endpoint.failures.hit_ratio(self.now_us) < QUOTA_UP_FAILURE_RATIO:
            endpoint.quota = min(endpoint.full_quota, endpoint.quota + QUOTA_UP_SHARE * endpoint.full_quota)

    def _has_overdue_call(self, endpoint: Endpoint) -> bool:
        """Whether a call is overdue and no answer came since: a hang, seen before its time-outs."""
        if not endpoint.calls:
            return False
        ok_us = endpoint.rate_limiter.last_success_us
        return any(self.now_us - c.sent_us > c.overdue_after_us >= ok_us - c.sent_us for c in endpoint.calls)

    def _is_failing(self, endpoint: Endpoint) -> bool:
        for guard in endpoint.limiters:  # mostly without a strike, and asked for often
            if guard.failures_in_row > 1:
                return True
            if (
                guard.failures_in_row
                and self.trial_failures[guard.last_failure_was_refusal].hit_ratio(self.now_us)
                > OUTAGE_FAILURE_RATIO
            ):
                return True
        return False

    def _record_failure(self, call: Call, guard: LimiterState, event: Outcome) -> None:
        """A strike, and a pause before the next trial that grows with the outage's age.

        A refusal that tells of a limit with little left is no sign of an outage, however often it comes: a
        relay of many has few successes between them. It slows the pace, and counts as one strike at most.
        """
        endpoint, sent_us, verdict = call.endpoint, call.sent_us, event.verdict
        refused, beside = verdict is Verdict.FULL, self.now_us - guard.last_success_us < COLD_RETURN_GAP_US
        if event.connections_full or (beside and verdict is Verdict.CONNECT_FAILED):
            # A connection limit, by the endpoint's word or by what else serves there: fewer calls, no strike.
            endpoint.connection_cap, endpoint.connection_cap_at_us = (
                min(self._max_connections(endpoint), max(1, call.calls_beside)),
                self.now_us,
            )
            if guard.last_success_us < sent_us:  # nothing shows yet that other connections serve meanwhile
                pause_us = MIN_TRIAL_GAP_US
                if event.connections_full:
                    usual_us = min(
                        MIN_TRIAL_GAP_US * 2.0 ** min(endpoint.connection_rejections, 10), MAX_TRIAL_GAP_US
                    )
                    pause_us = int(usual_us * self.rng.uniform(0.5, 1.5))
                    endpoint.connection_rejections += 1
                guard.pause_until_us = max(guard.pause_until_us, self.now_us + pause_us)
            return
        if (
            not refused and endpoint.failures.hit_ratio(self.now_us) > OUTAGE_FAILURE_RATIO
        ):  # most calls failing: an outage too
            guard.cold_since_us = self.now_us
        used_up = (
            refused
            and self.large_group
            and bool(event.limit_per_s)
            and SHARE_LEFT_FACTOR * (event.limit_share_left or 0.0) < 1
        )
        if guard.failures_in_row and sent_us > guard.last_failure_us and not used_up:
            self.trial_failures[refused].add(True, self.now_us)
        if sent_us > guard.last_failure_us or not guard.failures_in_row:
            strikes = max(1, guard.failures_in_row) if used_up else guard.failures_in_row + 1
            guard.failures_in_row, guard.last_failure_us, guard.last_failure_was_refusal = (
                strikes,
                self.now_us,
                refused,
            )
            if refused:
                self._lower_allowed_rate(guard)
            if guard.failures_in_row == 3:
                self.actions.append(Log(f"{endpoint.host} failing: {verdict.value}, paced"))
        # While most trials fail, this is an outage, and the group's trials together have to fit what a cold
        # server bears: each relay pauses by its part. A refusal beside other failures is the outage's own.
        gap_us = min(MIN_TRIAL_GAP_US * 2.0 ** min(guard.failures_in_row - 1, 10), MAX_TRIAL_GAP_US)
        sore = any(
            g.cold_since_us >= 0 or (g.failures_in_row and not g.last_failure_was_refusal)
            for g in endpoint.limiters
        )
        again = guard.cold_since_us >= 0 or (guard.failures_in_row > 1 and not beside)
        if again or self.trial_failures[refused and not sore].hit_ratio(self.now_us) > OUTAGE_FAILURE_RATIO:
            bears = self.settings.fall_multiple * self.settings.cold_from * self._rate_share(endpoint, guard)
            gap_us = max(gap_us, 1e6 / bears)
        start_us = max(self.now_us, guard.told_wait_until_us)
        if used_up:
            guard.pause_until_us = max(
                guard.pause_until_us, start_us + int(1e6 / guard.allowed_rate * self.rng.uniform(0.3, 1.3))
            )
        elif sore or guard.failures_in_row > 1 or not beside:
            guard.pause_until_us = max(
                guard.pause_until_us, start_us + int(gap_us * self.rng.uniform(0.3, 1.3))
            )
        else:  # all that were told to wait would come back at once
            guard.pause_until_us = max(
                guard.pause_until_us, start_us + int((start_us - self.now_us) * self.rng.random())
            )

    def _max_connections(self, endpoint: Endpoint) -> float:
        """Calls at once for which it has connections, by what it turned away; in time it may have more."""
        return (
            endpoint.connection_cap + (self.now_us - endpoint.connection_cap_at_us) / CONNECTION_CAP_GROWTH_US
        )

    def _grown_allowed_rate(self, limit: LimiterState) -> float:
        """This relay's pace at a limit; it grows with time, and slowly near a pace that was refused."""
        eased = self._shares_reported_limit(limit)
        e_fold_us = FAST_GROWTH_US if eased else EVIDENCE_DECAY_US
        grown = limit.allowed_rate * math.exp(min(50.0, (self.now_us - limit.allowed_rate_at_us) / e_fold_us))
        if eased and limit.rate_at_last_refusal < math.inf:
            knee = (
                FAST_GROWTH_SHARE
                * limit.rate_at_last_refusal
                * math.exp(min(50.0, (self.now_us - limit.last_refusal_us) / SLOW_GROWTH_US))
            )
            grown = min(grown, max(limit.allowed_rate, knee))
        limit.allowed_rate, limit.allowed_rate_at_us = (
            min(grown, limit.advertised_rate or math.inf),
            self.now_us,
        )
        return limit.allowed_rate

    def _rate_share(self, endpoint: Endpoint, guard: LimiterState) -> float:
        """This relay's part of the calls a second there, of all endpoints or of one."""
        limit = endpoint.rate_limiter
        return self._limit_share(limit) / (
            1 if guard is limit else max(1, len(self.dests[endpoint.dest].usable_endpoints()))
        )

    def _limit_share(self, limit: LimiterState) -> float:
        """This relay's part of the calls a second within a limit: an equal one, or by its own demand."""
        return max(
            limit.advertised_rate / self.settings.group_size,
            limit.demand.rate_per_s(self.now_us, self.first_step_us),
            1e-3,
        )

    def _space_cold_calls(self, endpoint: Endpoint, guard: LimiterState, part: float = 1.0) -> None:
        """A cold server gets this relay's part of what it bears, spread over its time to warm."""
        warm_us = max(1, self.settings.warm_within_us)
        cold = max(0.0, 1 - (self.now_us - guard.cold_since_us) / warm_us)
        bears, growth = 1 - (1 - self.settings.cold_from) * cold, (1 - self.settings.cold_from) / warm_us
        call_us = 1e6 / (self.settings.fall_multiple * self._rate_share(endpoint, guard))
        # The rate grows while it waits: gap x (bears + growth x gap / 2) = call, solved for the gap.
        gap_us = 2 * call_us / (bears + math.sqrt(bears * bears + 2 * growth * call_us))
        gap_us = part * min(gap_us, max(MIN_TRIAL_GAP_US, cold * warm_us))
        guard.pause_until_us = max(guard.pause_until_us, self.now_us + int(gap_us))

    def _give_up(self, message: Message) -> None:
        """Answer for good: a refusal where a retry is harmless, else a failure."""
        keyed_anywhere = message.cls.effect is Effect.KEYED and not message.cls.key_scope_is_zone
        harmless = message.cls.effect is Effect.SAFE or message.uncertain_since_us < 0 or keyed_anywhere
        wait_us = self.settings.max_retry_after_us * self.settings.advise_retry
        self.actions.append(Refuse(message.id, wait_us) if harmless else Fail(message.id))
        self._close(message)

    def _close(self, message: Message) -> None:
        """The message is over; it stays known while attempts are out."""
        self.open_messages -= not message.done
        message.done = True
        self.dests[message.dest].release(message)
        if message.open_calls:
            return
        self.messages.pop(message.id, None)
        if queue := self.key_queues.get(message.key):
            queue.remove(message)
            for other in queue[:1]:
                self._mark_for_check(other.dest)
            if not queue:
                del self.key_queues[message.key]

    def _call_stats(self, message: Message, endpoint: Endpoint | None = None) -> CallStats:
        """What a call takes there, else anywhere, else a guess: a quarter of the aim, spread as wide."""
        return (endpoint.stats_by_class.get(message.cls.name) if endpoint else None) or self._class_stats(
            message.cls
        )

    def _class_stats(self, cls: MessageClass) -> CallStats:
        """The same for a class, wherever."""
        return self.baseline_stats.get(cls.name) or self._initial_stats(cls.aim_us / 4)

    _initial_stats = staticmethod(
        lambda guess_us: CallStats(guess_us, DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT))
    )

    def _expire(self) -> None:
        """Answer held messages whose time or window covers no call, and the least worthy over the bound."""
        while self.expiry_heap and self.expiry_heap[0][0] <= self.now_us:
            message = self.messages.get(heapq.heappop(self.expiry_heap)[2])
            if message is not None and message.order:  # what a call takes may have changed since
                (self._hold if self._answer_by_us(message) > self.now_us else self._give_up)(message)
        for dest in [self.dests[number] for number in self.dests_to_check]:
            start = min((e.rate_limiter.told_wait_until_us for e in dest.usable_endpoints()), default=0)
            if start > self.now_us:  # told to wait past the message's time: answer now
                for message in self._held_ending_by(dest, start):
                    self._give_up(message)
        if (over := self.open_messages - max(1, self.settings.hold_cap - 1)) > 0:
            held = [m for m in self.messages.values() if not m.done and not m.open_calls]
            for message in sorted(held, key=self._score)[:over]:
                self._give_up(message)

    def _held_ending_by(self, dest: Destination, at_us: int) -> list[Message]:
        """The held messages that have to be answered by then, in the order of the line."""
        found: list[Message] = []
        for (name, _, attempts), lane in dest.queues.items():
            # Of those that were never tried the end follows from the deadline alone.
            most_us = math.inf if attempts else at_us + self._min_call_us(self.classes[name])
            found += [m for m in lane.due_by(most_us) if self._answer_by_us(m) <= at_us]
        return sorted(found, key=lambda message: message.order)

    def _worth_at(self, message: Message, at_us: float) -> float:
        """What the message earns if delivered at that time."""
        cls, late_us = message.cls, at_us - message.aim_us
        if at_us >= message.deadline_us:
            return 0.0
        if late_us <= 0:
            return message.worth
        if self.settings.late_worth_halves:
            return message.worth * max(cls.late_worth, math.pow(0.5, late_us / max(1, cls.aim_us)))
        return message.worth * (1 - (1 - cls.late_worth) * late_us / max(1, cls.deadline_us - cls.aim_us))

    def _score(self, message: Message) -> float:
        """Worth lost by waiting a while longer, and a part of the worth itself."""
        at_us = self.now_us + self._call_stats(message).mean_us
        now = self._worth_at(message, at_us)
        return now - self._worth_at(message, at_us + URGENCY_HORIZON_US) + WORTH_SCORE_WEIGHT * now

    def _dispatch(self) -> None:
        """One pass over what is held at the destinations to look at, best first, while any has room.

        Room only shrinks within a pass. So a destination that had none for one message is left out from
        then on: asked again for each of hundreds that are held, it took most of a relay's processor. For the
        same reason each destination's messages are ranked as far as they are asked for.
        """
        short, looked, roomy = self._slots_short(), list(self.dests_to_check), set[int]()
        ready: list[tuple[float, int, int, Message, Iterator[RankedMessage[Message]]]] = []
        for at, number in enumerate(looked):
            dest = self.dests[number]
            if dest.held and (rooms := [e for e in dest.usable_endpoints() if self._can_call(dest, e)]):
                roomy.add(number)
                rest = self._ranked_messages(dest, rooms, short)
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
            bound = (
                message.cls.effect is Effect.KEYED
                and message.uncertain_since_us >= 0
                and message.cls.key_scope_is_zone
            )
            spots = [e for e in dest.usable_endpoints() if not bound or e.zone == message.uncertain_zone]
            shared = [
                e for e in spots if e.host in opened and opened[e.host].message_count < e.kind.batch_size
            ]
            if rooms := shared or [e for e in spots if self._can_call(dest, e)]:
                best = (
                    rooms[0]
                    if len(rooms) == 1
                    else min(rooms, key=lambda e: self._expected_cost_us(message, e))
                )
                self._send(message, best, opened)
            elif not bound:
                roomy.remove(message.dest)
        self.dests_to_check = {}
        if self.calls_out >= self.settings.slots:  # what is held waits for a slot and is looked at again
            for number in looked:
                self._mark_for_check(number)
        for number in looked:
            if (dest := self.dests[number]).held:
                times = [
                    max(max(g.told_wait_until_us, g.pause_until_us) for g in e.limiters)
                    for e in dest.usable_endpoints()
                ]
                if self.key_queues:
                    times += [self.key_cooldown_until_us.get(m.key, 0) for m in dest.held.values() if m.key]
                if later := [at_us for at_us in times if at_us > self.now_us]:
                    self._schedule_check(dest, number, min(later))

    def _schedule_check(self, dest: Destination, number: int, at_us: int) -> None:
        """Look at a destination again then, unless a look that comes sooner is due already."""
        if not self.now_us < dest.next_check_us <= at_us:
            dest.next_check_us = at_us
            heapq.heappush(self.check_heap, (at_us, number))

    def _mark_for_check(self, number: int) -> None:
        """Look at a destination with the next dispatch, where it holds anything."""
        if self.dests[number].held:
            self.dests_to_check[number] = None

    def _ranked_messages(
        self, dest: Destination, rooms: list[Endpoint], short: bool
    ) -> Iterator[RankedMessage[Message]]:
        """The messages of a destination that may go, each with its rank among all: the least goes first.

        With slots short, worth counts by time in a slot, or crawling destinations take them all; those that
        can share a call share its slot. Trials of what fails cost least with what may be repeated, and take
        turns: that settles which of a destination's messages goes first, not when the destination's turn is.
        """

        def line(lanes: Iterable[DeadlineQueue[Message]]) -> Iterator[RankedMessage[Message]]:
            parts = [self._ranked_in_queue(dest, lane, rooms, short) for lane in lanes]
            ranked = parts[0] if len(parts) == 1 else heapq.merge(*parts)
            return (item for item in ranked if self._key_allows(item[2])) if self.key_queues else ranked

        if not any(g.failures_in_row for e in dest.endpoints.values() for g in e.limiters):
            return line(dest.queues.values())
        risks: dict[float, list[DeadlineQueue[Message]]] = {}
        for (name, _, attempts), lane in dest.queues.items():
            risk = REPEAT_RISKS[self.classes[name].effect] + attempts / self.settings.max_attempts
            risks.setdefault(risk, []).append(lane)
        messages = (item[2] for risk in sorted(risks) for item in line(risks[risk]))
        ranks = (item[0] for item in line(dest.queues.values()))
        pairs = zip(ranks, messages, strict=True)
        return ((rank, place, message) for place, (rank, message) in enumerate(pairs))

    def _ranked_in_queue(
        self, dest: Destination, lane: DeadlineQueue[Message], rooms: list[Endpoint], short: bool
    ) -> Iterator[RankedMessage[Message]]:
        """A lane's messages by rank: all have the same class, and so the same time in a slot."""
        some = lane.any_message()
        slot_us = min(self._slot_time_us(some, dest, e) for e in rooms) if short else 1.0
        if len(lane) == 1:
            return iter([(-self._score(some) / slot_us, some.order, some)])
        return lane.ranked(self._score_breakpoints(some.cls), lambda message: -self._score(message) / slot_us)

    def _score_breakpoints(self, cls: MessageClass) -> list[float]:
        """The deadlines between which a score of the class only rises or only falls, now."""
        at_us, late_us = self.now_us + self._class_stats(cls).mean_us, cls.deadline_us - cls.aim_us
        cuts = [at_us, at_us + late_us]
        if (
            self.settings.late_worth_halves and 0 < cls.late_worth < 1
        ):  # where worth has come down to the least
            cuts.append(at_us + late_us + max(1, cls.aim_us) * math.log2(cls.late_worth))
        return cuts + [cut + URGENCY_HORIZON_US for cut in cuts]

    def _slot_time_us(self, message: Message, dest: Destination, endpoint: Endpoint) -> float:
        """Slot time that the message costs there, with as many beside it as a call takes and are held."""
        return self._call_stats(message, endpoint).mean_us / min(endpoint.kind.batch_size, len(dest.held))

    def _key_allows(self, message: Message) -> bool:
        """Whether order by key lets the message go now; the one that has the turn may be repeated at once."""
        first = not message.key or self.key_queues[message.key][0] is message
        return first and (
            message.attempts > 0 or self.now_us >= self.key_cooldown_until_us.get(message.key, 0)
        )

    def _can_call(self, dest: Destination, endpoint: Endpoint) -> bool:
        """Whether one more call to the endpoint is within slots, cap, quota, wait, pace and suspicion."""
        others = dest.endpoints.values()
        most = max(1, int(min(endpoint.quota, self._max_connections(endpoint))))
        full = self.calls_out >= self.settings.slots or len(endpoint.calls) >= most
        if full or any(
            self.now_us < max(guard.told_wait_until_us, guard.pause_until_us) for guard in endpoint.limiters
        ):
            return False
        if self._has_overdue_call(endpoint) or (
            self._is_failing(endpoint) and any(e.calls for e in others if self._is_failing(e))
        ):
            return False
        out = sum(len(e.calls) for e in others)
        if out < max(1, int(FAILING_SLOT_SHARE * self.settings.slots)):  # sick or not
            return True
        if out >= max(1, int(HEALTHY_SLOT_SHARE * self.settings.slots)):
            return False
        return not any(
            e.failures.hit_ratio(self.now_us) > QUOTA_DOWN_FAILURE_RATIO
            or self._is_failing(e)
            or self._has_overdue_call(e)
            for e in others
        )

    def _expected_cost_us(self, message: Message, endpoint: Endpoint) -> float:
        """Time to be served there, with its failures and its fee turned into time."""
        record, fee = self._call_stats(message, endpoint), self.settings.zone_fees.get(endpoint.zone, 0.0)
        bad = max(record.failures.hit_ratio(self.now_us), endpoint.failures.hit_ratio(self.now_us))
        return record.mean_us * (len(endpoint.calls) + 1) / max(0.1, 1 - bad) + fee * message.cls.deadline_us

    def _send(self, message: Message, endpoint: Endpoint, opened: dict[str, Call]) -> None:
        record, limit_us = self._call_stats(message, endpoint), message.deadline_us - self.now_us
        overdue = record.mean_us + OVERDUE_DEVIATIONS * max(record.deviation_us, record.mean_us / 2)
        if message.cls.effect is not Effect.UNSAFE:
            # What others take tells little of one that came later and answered nothing yet: it may be cold.
            least_us = (
                message.cls.aim_us if endpoint.joined_late and endpoint.own_limiter.last_success_us < 0 else 0
            )
            usual_us = int(REPEATABLE_TIMEOUT_OVERDUES * overdue) << min(message.timeouts, 8)
            limit_us = min(limit_us, max(least_us, usual_us))
        else:  # one that times out is lost; but one that hangs keeps a slot and a connection from others
            limit_us = min(limit_us, max(message.cls.aim_us, int(UNSAFE_TIMEOUT_OVERDUES * overdue)))
        if (call := opened.get(endpoint.host)) is None or call.message_count >= endpoint.kind.batch_size:
            if (idle_us := self.now_us - (endpoint.last_call_end_us or self.now_us)) > self.trusted_idle_us:
                self.actions.append(CloseIdle(endpoint.host))
                idle_us = 0
            call = opened[endpoint.host] = Call(endpoint, self.now_us, overdue, idle_us)
            endpoint.calls.append(call)
            self.busy_endpoints[endpoint.host] = endpoint
            self.calls_out += 1
            if (pace := self._grown_allowed_rate(limit := endpoint.rate_limiter)) < math.inf:
                gap_us = int(1e6 / pace * self.rng.uniform(0.5, 1.5))  # not back together
                limit.pause_until_us = max(limit.pause_until_us, self.now_us - MAX_BURST_US) + gap_us
            for guard in (g for g in endpoint.limiters if g.cold_since_us >= 0):
                self._space_cold_calls(endpoint, guard)
        self.dests[message.dest].release(message)  # before its attempts change, by which its lane is known
        call.message_count, call.open_attempts = call.message_count + 1, call.open_attempts + 1
        call.attempt_by_message[message.id] = message.attempts
        message.open_calls[message.attempts], message.attempts = call, message.attempts + 1
        begin_us = 0
        if message.cls.effect is Effect.KEYED and message.uncertain_since_us >= 0:
            begin_us = max(1, self._key_window_end_us(message) - self.now_us)
        self.actions.append(Send(message.id, endpoint.host, max(1, limit_us), begin_us))
