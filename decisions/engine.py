"""The decision engine of a relay. Its types, events and actions are in ``decisions/interface.py``, and the
state that it keeps is in ``decisions/state.py``.

Calls are limited by fetches-per-server of the FRNOG 25 BIND9 notes: each endpoint has a quota of calls in
flight that shrinks while its failure ratio is high and grows back while it is low; a message over quota is
held. A step takes in a batch of events, answers the messages that are out of time, then dispatches once, at
the destinations that an event or a due time concerns.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
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
from decisions.outages import Failure, OutageEvent
from decisions.ranked_queue import DeadlineQueue, RankedMessage
from decisions.state import (
    Call,
    CallStats,
    DecayingCounter,
    Destination,
    Endpoint,
    LimiterState,
    Message,
)

HEALTHY_SLOT_SHARE = 0.75  # share of the slots that calls to one healthy destination may take
# Share of the slots that calls to one failing or slow destination may take. From this share on slots count
# as short.
FAILING_SLOT_SHARE = 0.5
MIN_QUOTA_SHARE = 0.02  # share of its full quota that a server which never answers keeps (the notes' 2%)
NEWEST_CALL_WEIGHT = 0.15  # of the newest call in ratios and latencies: about seven calls of memory
# us in which evidence fades to a third: ratios, own demand, an allowed rate that was lowered
EVIDENCE_DECAY_US = 10_000_000
# Failure ratio above which a failure lowers the quota, and the destination keeps to FAILING_SLOT_SHARE.
QUOTA_DOWN_FAILURE_RATIO = 0.3
# Failure ratio below which the quota grows even with a failure. Divided by the group's size also the share of
# failed connects above which idle connections are closed.
QUOTA_UP_FAILURE_RATIO = 0.1
QUOTA_DOWN_FACTOR = 0.7  # factor of the quota for a step down
QUOTA_UP_SHARE = 0.1  # share of the full quota that a step up adds
# Failure ratio above which an endpoint that does not only refuse is in an outage; for trials likewise.
OUTAGE_FAILURE_RATIO = 0.5
# us: the time since the last report of a limit counts for no longer than this
MAX_LIMIT_REPORT_AGE_US = 1_000_000
COLD_RETURN_GAP_US = 2_000_000  # us with failures and no success after which a return is taken for a cold one
MIN_TRIAL_GAP_US = 200_000  # us until the first trial after a failure, where this relay's share is large
MAX_TRIAL_GAP_US = 3_000_000  # us between trials at most, likewise
CONNECTION_CAP_GROWTH_US = 1_000_000  # us until one connection more is tried where one was turned away
MAX_BURST_US = 400_000  # us: a limited rate may send the calls of so much time at once
# A call older than the mean and so many deviations is overdue (about 1 in 50 if latency is exponential).
OVERDUE_DEVIATIONS = 4.0
REPEATABLE_TIMEOUT_OVERDUES = 2.5  # time-out of a call that may be repeated, in times of the overdue age
UNSAFE_TIMEOUT_OVERDUES = 10.0  # time-out of a call that may not be repeated, likewise; at least its aim
# With slots short, a call is given up at so many times the overdue age if the endpoint answered later calls.
LONE_HANG_OVERDUES = 2.0
LONE_HANG_UNSAFE_OVERDUES = 4.0  # the same for a call that may not be repeated
# The whole advertised rate is allowed while the share left of the limit is more than one part in so many.
SHARE_LEFT_FACTOR = 2.0
REFUSED_RATE_FACTOR = 0.8  # factor of the allowed rate after a refusal above a limit
SERVED_RATE_FACTOR = 1.03  # factor of the allowed rate after a success
MAX_SMALL_GROUP = 4  # relays; in a group up to this size each sees by itself what all take of a limit
# Replaces REFUSED_RATE_FACTOR in a large group where the share left of a limit is reported.
REPORTED_LIMIT_REFUSED_FACTOR = 0.6
MIN_EQUAL_SHARE = 0.5  # lowest allowed rate in that case, as a share of the relay's equal part of the limit
MIN_ASK_GAP_US = 500_000  # us before a watch that broke is asked for again
LIST_QUEUE_US = 125_000  # us that one endpoint list takes where all relays queue for it
AGENT_ASK_GAP_US = 250_000  # us before an agent is asked again that has the list at once when it is back
# us between asks at most: news counts as known 6 s after the directory could be reached
MAX_ASK_GAP_US = 5_500_000
EASE_OFF_SHARE_LEFT = 0.6  # share left of a limit below which the allowed rate is reduced
MAX_EASE_OFF_PER_S = 0.5  # share of the allowed rate that is taken off in a second where nothing is left
FAST_GROWTH_SHARE = 0.7  # share of the rate at the last refusal up to which the allowed rate grows fast
FAST_GROWTH_US = 4_000_000  # us for e-fold growth up to there
SLOW_GROWTH_US = 60_000_000  # us for e-fold growth above
MIN_ADVERTISED_RATE = 0.1  # calls/s: an advertised rate below it is not believed
MAX_ADVERTISED_RATE = 100_000.0  # calls/s: an advertised rate above it is not believed
MAX_RATE_CHANGE_FACTOR = 4.0  # factor by which one report changes an advertised rate at most
# An advertised rate below this share of the last one is a lowered limit, and no noise.
LOWERED_LIMIT_RATIO = 0.75
TRUSTED_IDLE_DOWN_FACTOR = 0.5  # factor of the trusted idle age when a reused connection was cut
TRUSTED_IDLE_UP_FACTOR = 1.005  # factor of the trusted idle age at any other end of a call
MAX_NEW_DESTS = 256  # destinations beyond twice those kept, above which those without endpoints are dropped
MAX_PAST_EXPIRIES = 4096  # entries of the expiry heap whose messages are over
STATUS_LOG_INTERVAL_US = 5_000_000  # us between log lines on destinations that hold messages
MAX_GONE_ENDPOINTS = 1024  # endpoints that left the list and are still remembered
# By effect, in the order of Effect: the less harm a repeat does, the sooner the message goes in a trial.
REPEAT_RISKS = {effect: float(number) for number, effect in enumerate(Effect)}
URGENCY_HORIZON_US = 1_500_000  # us ahead: a message's urgency is the worth that it loses by waiting so long
WORTH_SCORE_WEIGHT = 0.2  # weight of the worth itself beside the urgency


class DecisionEngine:
    """The decisions of one relay. Pass it batches of events in order of time; carry out what it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.now_us = 0
        self.actions = list[Action]()
        self.large_group = settings.group_size > MAX_SMALL_GROUP
        self.classes = {cls.name: cls for cls in settings.classes}
        self.kinds = {kind.name: kind for kind in settings.kinds}
        self.messages = dict[str, Message]()  # by id
        self.endpoints = dict[str, Endpoint]()  # by host
        self.busy_endpoints = dict[str, Endpoint]()  # those with calls out, by host
        self.dests = dict[int, Destination]()
        self.kept_dests = 0  # destinations that were left when others were last dropped
        self.banned = set[str]()  # hosts banned by operators, listed or not
        self.key_queues = dict[str, list[Message]]()  # by key: messages in order of arrival
        # By key: until when an attempt that may still run is given time to end.
        self.key_cooldown_until_us = dict[str, int]()
        self.baseline_stats: dict[str, CallStats] = {}  # by class, over all endpoints
        # By tenant: its quota in messages/s across all relays, and its own arrivals here.
        self.tenant_arrivals = {
            t.name: (t.quota_per_s, DecayingCounter(EVIDENCE_DECAY_US)) for t in settings.tenants
        }
        self.total_quota_per_s = sum(t.quota_per_s for t in settings.tenants)
        self.arrivals = DecayingCounter(EVIDENCE_DECAY_US)
        # Idle connections up to this age are reused; it is lowered when one turns out to be cut.
        self.trusted_idle_us = float(settings.keepalive_us)
        self.served_idle_us = 0.0  # the oldest idle age from which a connection lately served
        self.served_idle_at_us = 0  # when it did
        # By kind of destination: calls, and those of them that got no connection.
        self.connect_failures_by_kind: dict[str, DecayingCounter] = {}
        # Trials of failing endpoints that failed again: after failures other than refusals, after refusals.
        self.trial_failures = (
            DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT),
            DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT),
        )
        self.open_messages = 0  # messages that still need an answer
        self.calls_out = 0
        self.outage_counts = Counter[OutageEvent]()
        self.next_wake_us = -1  # the wake-up asked for last
        self.hold_count = 0  # numbers the places in the queue of held messages
        self.arrival_count = 0
        self.first_step_us = -1  # time of the first step of this engine (-1: none yet)
        # From when on arrivals are counted as demand: earlier than the first step where it restores messages.
        self.demand_since_us = -1
        # When to ask for the list next (-1: never). The first ask is at once.
        self.next_ask_us = 0 if settings.must_ask else -1
        # us from a failed ask to the one after it. It starts at a whole round of the group, since relays are
        # often started together and then all ask at the same time.
        self.ask_gap_us = max(MIN_ASK_GAP_US, self._ask_round_us)
        self.last_ask_us = 0
        # Whether the last endpoint update came when endpoints were already known.
        self.update_joins_late = False
        self.next_status_us = 0  # when destinations that hold messages are logged next
        self.dests_to_check: dict[int, None] = {}  # destinations that an event or a due time concerns
        self.check_heap: list[tuple[int, int]] = []  # heap of (us, destination): when to check it again
        # Heap of (us, place, id): when to answer a held message.
        self.expiry_heap: list[tuple[int, int, str]] = []

    def resume(self) -> None:
        """Continue in another process: the wake-up asked for is lost with the old one."""
        self.next_wake_us = -1

    def step(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Take in every event of the batch, then answer and dispatch once."""
        self.now_us, self.actions = now_us, []
        if self.first_step_us < 0:
            self.first_step_us = self.demand_since_us = now_us
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
        if self.calls_out < self.settings.slots:  # else held messages are checked when a slot is free
            self._dispatch()
        if now_us >= self.next_status_us:
            self.next_status_us = now_us + STATUS_LOG_INTERVAL_US
            self._log_held()
            self._forget_stale()
        elif len(self.dests) > 2 * self.kept_dests + MAX_NEW_DESTS:
            self._forget_stale()
        # Asks a directory that does not push the list; one without an answer is repeated.
        if 0 <= self.next_ask_us <= now_us:
            self.actions.append(Subscribe())
            self.last_ask_us = now_us
            self.next_ask_us = now_us + min(MAX_ASK_GAP_US, max(2_000_000, self.settings.ask_within_us // 2))
        due_times = [heap[0][0] for heap in (self.check_heap, self.expiry_heap) if heap] + [
            self.next_ask_us
        ] * (self.next_ask_us >= 0)
        if due_times and (self.next_wake_us <= now_us or min(due_times) < self.next_wake_us):
            self.next_wake_us = max(min(due_times), now_us + self.settings.round_us)
            self.actions.append(Wake(self.next_wake_us - now_us))
        return self.actions

    def _forget_stale(self) -> None:
        """Drop cooldowns that are over, what is not listed any more, and expiries of messages that are over.

        They would pile up in a long-lived process. Of the endpoints that left, the latest MAX_GONE_ENDPOINTS
        are kept. One that comes back after more than that is taken for a new one, and so for a cold one.
        """
        self.key_cooldown_until_us = {
            key: until_us for key, until_us in self.key_cooldown_until_us.items() if until_us > self.now_us
        }
        gone = [e for e in self.endpoints.values() if e.listing is Listing.GONE and not e.calls]
        for endpoint in gone[: max(0, len(gone) - MAX_GONE_ENDPOINTS)]:
            del self.endpoints[endpoint.host], self.dests[endpoint.dest].endpoints[endpoint.host]
        needed = {message.dest for message in self.messages.values()}
        for number in [n for n, dest in self.dests.items() if not dest.endpoints and n not in needed]:
            del self.dests[number]
            self.dests_to_check.pop(number, None)
        self.kept_dests = len(self.dests)
        if len(self.expiry_heap) > 2 * len(self.messages) + MAX_PAST_EXPIRIES:
            self.expiry_heap = [entry for entry in self.expiry_heap if entry[2] in self.messages]
            heapq.heapify(self.expiry_heap)

    def _log_held(self) -> None:
        """Log for each destination that holds messages what limits its calls."""
        for number, dest in self.dests.items():
            if dest.held and (usable := dest.usable_endpoints()):
                slots_out = f"{self.calls_out} of {self.settings.slots} slots out"
                limits = "; ".join(map(self._describe_limits, usable))
                self.actions.append(Log(f"dest {number} holds {len(dest.held)}, {slots_out}; {limits}"))

    def _describe_limits(self, endpoint: Endpoint) -> str:
        """What limits calls to the endpoint now, as text for the log."""
        limiters, rate_limiter, failure_ratio = (
            endpoint.limiters,
            endpoint.rate_limiter,
            endpoint.failures.hit_ratio(self.now_us),
        )
        pause_us = (
            max(max(limiter.told_wait_until_us, limiter.pause_until_us) for limiter in limiters) - self.now_us
        )
        latencies = (
            "/".join(f"{stats.mean_us / 1000:.0f}" for stats in endpoint.stats_by_class.values()) or "?"
        )
        max_calls = min(endpoint.quota, self._max_connections(endpoint))
        return (
            f"{endpoint.host} {len(endpoint.calls)} calls of quota {max_calls:.1f}, took {latencies} ms, "
            f"failing {failure_ratio:.2f}, strikes {max(limiter.failures_in_row for limiter in limiters)}, "
            f"pause {max(0, pause_us) // 1000} ms, "
            f"pace {rate_limiter.allowed_rate:.1f} of {rate_limiter.advertised_rate:.1f}/s, "
            f"demand {rate_limiter.demand.rate_per_s(self.now_us, self.first_step_us):.1f}/s, "
            f"suspect {self._has_overdue_call(endpoint)}, "
            f"cold {any(limiter.cold_since_us >= 0 for limiter in limiters)}"
        )

    @property
    def _ask_round_us(self) -> int:
        """Time in us in which each relay of the group can ask the directory once."""
        return LIST_QUEUE_US * self.settings.group_size

    def _retry_ask_at_us(self) -> int:
        """When to ask again after an ask that failed or a watch that broke.

        The directory may become reachable right after the failed ask, and its news counts from then. So two
        asks are never more than MAX_ASK_GAP_US apart, and a group too large to take turns within that time
        asks in a fixed order by relay number. Where the list is pushed to an agent, what the agent has counts
        at once, and asking the agent takes no turn from other relays.
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
        """Apply news of the endpoint list; where the list must be asked for, schedule the next ask."""
        if event.kind is EndpointUpdateKind.FAILED:
            if self.settings.must_ask:
                self.next_ask_us = self._retry_ask_at_us()
                max_gap_us = max(MIN_ASK_GAP_US, self.settings.ask_within_us // 4, 2 * self._ask_round_us)
                self.ask_gap_us = min(max(2 * self.ask_gap_us, self._ask_round_us), max_gap_us)
            return
        if event.kind is not EndpointUpdateKind.CACHED:
            self.next_ask_us, self.ask_gap_us = -1, MIN_ASK_GAP_US
        listed_hosts = {entry.host for entry in event.entries}
        for host, endpoint in self.endpoints.items() if event.kind is not EndpointUpdateKind.CHANGES else ():
            endpoint.listing = endpoint.listing if host in listed_hosts else Listing.GONE
        full_quota = max(1, int(HEALTHY_SLOT_SHARE * self.settings.slots))
        joins_late = self.update_joins_late if event.continued else bool(self.endpoints)
        self.update_joins_late = joins_late
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
                # One that joins late may be new and cold: its quota grows from one call with its successes.
                known = Endpoint(
                    entry,
                    kind,
                    dest.rate_limiter,
                    LimiterState(EVIDENCE_DECAY_US),
                    DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT),
                )
                known.full_quota, known.quota, known.joined_late = (
                    full_quota,
                    1 if joins_late else full_quota,
                    joins_late,
                )
                self.endpoints[entry.host] = dest.endpoints[entry.host] = known
            known.listing, known.banned = entry.listing, entry.host in self.banned
            self._mark_for_check(entry.dest)
            if self.settings.rate_hints_given and entry.listing is Listing.READY:
                self._apply_advertised_rate(
                    known.rate_limiter, entry.rate_hint / (1.5 if self.settings.rate_hints_rough else 1.0)
                )

    def _apply_ban(self, event: Ban) -> None:
        """Exclude an endpoint, or use it again: it was restarted meanwhile and comes back cold."""
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
        """Number of endpoints on the list."""
        return sum(e.listing is not Listing.GONE for e in self.endpoints.values())

    @property
    def excluded_count(self) -> int:
        """Number of listed endpoints that get no ordinary traffic now: banned, draining, or failing."""
        listed = [e for e in self.endpoints.values() if e.listing is not Listing.GONE]
        return sum(e.banned or e.listing is Listing.DRAINING or self._is_failing(e) for e in listed)

    def _apply_advertised_rate(
        self, limiter: LimiterState, rate: float | None, share_left: float | None = None
    ) -> None:
        """Apply a reported limit in calls/s for all relays, and the share of it that is left (0 to 1).

        The limit bounds the allowed rate; the share left shows what other relays use. A rate outside
        MIN_ADVERTISED_RATE to MAX_ADVERTISED_RATE counts as not reported, and one far from the last is
        approached in steps: taken literally, a single absurd report would end all calls for good, or raise
        the allowed rate without bound.
        """
        if rate and MIN_ADVERTISED_RATE <= rate <= MAX_ADVERTISED_RATE:
            if limiter.advertised_rate:
                rate = min(
                    max(rate, limiter.advertised_rate / MAX_RATE_CHANGE_FACTOR),
                    limiter.advertised_rate * MAX_RATE_CHANGE_FACTOR,
                )
            # A first guess: a busy relay may use what the others leave of their equal parts.
            if not limiter.advertised_rate:
                limiter.allowed_rate, limiter.allowed_rate_at_us = (
                    rate * min(1.0, 2 / self.settings.group_size**0.5),
                    self.now_us,
                )
            elif self.large_group:
                # The allowed rate may lie far above what was used of it; a lowered limit lowers the use too.
                if rate < LOWERED_LIMIT_RATIO * limiter.advertised_rate:
                    limiter.allowed_rate = min(limiter.allowed_rate, self._limit_share(limiter))
                limiter.allowed_rate, limiter.rate_at_last_refusal = (
                    limiter.allowed_rate * rate / limiter.advertised_rate,
                    limiter.rate_at_last_refusal * rate / limiter.advertised_rate,
                )
            limiter.advertised_rate = rate
            if share_left is not None and 0 <= share_left <= 1:
                self._adjust_to_share_left(limiter, share_left)

    def _shares_reported_limit(self, limiter: LimiterState) -> bool:
        """Whether a large group shares the limit and the share left of it has been reported."""
        return self.large_group and limiter.share_left_at_us >= 0

    def _adjust_to_share_left(self, limiter: LimiterState, share_left: float) -> None:
        """Lower the allowed rate where little is left of a limit, and raise it no more than all relays can.

        All relays read the same report, and refused calls use the limit up too. So in a large group only an
        equal part of what is left is taken at once, and the rest grows with time. A small group sees the
        effect of its calls soon, and each of its relays may take all that is left.
        """
        equal_rate, max_rate = (
            limiter.advertised_rate / self.settings.group_size,
            min(1.0, SHARE_LEFT_FACTOR * share_left) * limiter.advertised_rate,
        )
        since_us = (
            min(MAX_LIMIT_REPORT_AGE_US, self.now_us - limiter.share_left_at_us)
            if limiter.share_left_at_us >= 0
            else 0
        )
        rate = self._grown_allowed_rate(limiter)
        if share_left < EASE_OFF_SHARE_LEFT and self.large_group:
            reduction = (
                MAX_EASE_OFF_PER_S
                * (1 - share_left / EASE_OFF_SHARE_LEFT)
                * since_us
                / MAX_LIMIT_REPORT_AGE_US
            )
            rate = min(rate, SHARE_LEFT_FACTOR * self._limit_share(limiter)) * (1 - reduction)
        if not limiter.failures_in_row:
            rate = max(rate, max_rate / self.settings.group_size if self.large_group else max_rate)
        limiter.allowed_rate, limiter.share_left_at_us = min(rate, max(equal_rate, max_rate)), self.now_us

    def _lower_allowed_rate(self, limiter: LimiterState) -> None:
        """After a refusal above a limit, go below the rate that was too much, and remember that rate.

        The advertised rate may no longer hold, or other relays use it up. In a large group the equal part is
        the only floor: what each relay was served before a limit fell adds up to more than it allows now.
        """
        refused_rate = min(self._grown_allowed_rate(limiter), self._limit_share(limiter))
        if self._shares_reported_limit(limiter):
            limiter.allowed_rate = max(
                REPORTED_LIMIT_REFUSED_FACTOR * refused_rate,
                MIN_EQUAL_SHARE * limiter.advertised_rate / self.settings.group_size,
            )
        else:
            served_rate = limiter.served.rate_per_s(self.now_us, self.first_step_us)
            limiter.allowed_rate = max(
                REFUSED_RATE_FACTOR * refused_rate, 0.5 * served_rate, 1e6 / MAX_TRIAL_GAP_US
            )
        limiter.rate_at_last_refusal = (
            refused_rate
            if limiter.rate_at_last_refusal == math.inf
            else (refused_rate + limiter.rate_at_last_refusal) / 2
        )
        limiter.last_refusal_us = self.now_us

    def _accept(self, event: Arrival) -> None:
        """Take on a message and hold it; one of an unknown class or with a known id is ignored."""
        if (cls := self.classes.get(event.cls)) is None or event.id in self.messages:
            return
        worth = cls.worth
        self.arrivals.add(False, self.now_us)
        # Messages beyond the tenant's share of this relay's traffic are worth only over_share_worth of it.
        if event.tenant in self.tenant_arrivals:
            quota_per_s, tenant_counter = self.tenant_arrivals[event.tenant]
            tenant_counter.add(False, self.now_us)
            share_per_s = (
                self.arrivals.rate_per_s(self.now_us, self.first_step_us)
                * quota_per_s
                / max(quota_per_s, self.total_quota_per_s)
            )
            share_per_s = max(share_per_s, quota_per_s / self.settings.group_size)
            if (
                self.rng.random() * tenant_counter.rate_per_s(self.now_us, self.first_step_us)
                > share_per_s + 2e6 / EVIDENCE_DECAY_US
            ):
                worth *= self.settings.over_share_worth
        message = self.messages[event.id] = Message(event, cls, self.now_us, worth)
        if event.restored:
            self._extend_demand_period()
        self.open_messages, self.arrival_count = self.open_messages + 1, self.arrival_count + 1
        message.arrival_number = self.arrival_count
        dest = self.dests.setdefault(event.dest, Destination(LimiterState(EVIDENCE_DECAY_US)))
        for limiter in (
            limiters := {id(e.rate_limiter): e.rate_limiter for e in dest.usable_endpoints()}
        ).values():
            limiter.demand.add(False, self.now_us, 1 / len(limiters))
        if message.key:
            self.key_queues.setdefault(message.key, []).append(message)
            if message.uncertain_since_us >= 0:  # an attempt of this relay's previous process may still run
                self.key_cooldown_until_us[message.key] = self.now_us + self.settings.order_pause_us
        self._hold(message)

    def _extend_demand_period(self) -> None:
        """Count restored messages as arrived over the time that a message may be held, not all at once.

        Otherwise what the previous process held seems to be the demand of the first second, and this relay's
        share of a cold server comes out several times too high.
        """
        max_age_us = max(cls.deadline_us for cls in self.settings.classes)
        self.demand_since_us = min(self.demand_since_us, self.first_step_us - max_age_us)

    def _hold(self, message: Message) -> None:
        """Keep a message for the dispatch, and note when it has to be answered."""
        self.hold_count += 1
        self.dests[message.dest].hold(message, self.hold_count)
        self.dests_to_check[message.dest] = None
        heapq.heappush(self.expiry_heap, (self._answer_by_us(message), self.hold_count, message.id))

    def _answer_by_us(self, message: Message) -> int:
        """From when on the message's remaining time or its key's window allows no further call."""
        cls, uncertain = message.cls, message.uncertain_since_us >= 0
        if message.attempts >= self.settings.max_attempts or (uncertain and cls.effect is Effect.UNSAFE):
            return self.now_us
        end_us = message.deadline_us - self._min_call_us(cls)
        return (
            min(end_us, self._key_window_end_us(message))
            if uncertain and cls.effect is Effect.KEYED
            else end_us
        )

    def _key_window_end_us(self, message: Message) -> int:
        """When a keyed message that may have run may no longer be repeated."""
        return message.uncertain_since_us + message.cls.key_window_us - self.settings.round_us

    def _min_call_us(self, cls: MessageClass) -> int:
        """Time in us that a further call takes at least."""
        return int(max(4 * self.settings.round_us, self._class_stats(cls).mean_us / 2))

    def _slots_short(self) -> bool:
        """Whether slots are short."""
        return self.calls_out >= FAILING_SLOT_SHARE * self.settings.slots

    def _cancel_lone_hangs(self) -> None:
        """Give up overdue calls at endpoints that have answered calls sent later.

        Such a hang is a fault of the connection and says nothing about the endpoint, while other messages
        wait for the slot. All messages of a call are cancelled together, since each is out as long as its
        call is.
        """
        for endpoint in self.busy_endpoints.values():
            for call in endpoint.calls:
                age_us = self.now_us - call.sent_us
                hangs_alone = (
                    call.sent_us < endpoint.latest_answered_send_us
                    and age_us > LONE_HANG_OVERDUES * call.overdue_after_us
                )
                if call.given_up or not hangs_alone:
                    continue
                attempts = self._messages_of_call(call)
                unsafe = any(m.cls.effect is Effect.UNSAFE for m, _ in attempts)
                call.given_up = not unsafe or age_us > LONE_HANG_UNSAFE_OVERDUES * call.overdue_after_us
                if call.given_up:
                    self.actions += [Cancel(message.id, attempt) for message, attempt in attempts]

    def _messages_of_call(self, call: Call) -> list[tuple[Message, int]]:
        """The messages that are out with a call and their attempt numbers, in order of arrival."""
        known = [
            (self.messages[name], n) for name, n in call.attempt_by_message.items() if name in self.messages
        ]
        return sorted(
            (pair for pair in known if pair[0].open_calls.get(pair[1]) is call),
            key=lambda p: p[0].arrival_number,
        )

    def _apply_outcome(self, event: Outcome) -> None:
        """Settle one attempt: its call, the endpoint's statistics, then the message."""
        message = self.messages.get(event.id)
        if message is None or (call := message.open_calls.pop(event.attempt, None)) is None:
            return
        if call.given_up and event.verdict is Verdict.CANCELLED:
            # Cancelled for hanging: counts as an early time-out.
            event = replace(event, verdict=Verdict.TIMEOUT)
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
            if verdict is Verdict.NOT_SENT and event.wait_us >= COLD_RETURN_GAP_US:
                self._spread_after_wait(endpoint)
            if verdict not in (Verdict.CANCELLED, Verdict.NOT_SENT):
                self._update_statistics(call, message, event)
            # Many relays' idle connections fill a server's small connection table, so one that will hardly
            # be used again is closed. A relay that holds a connection is seldom turned away: the more relays,
            # the rarer is that sign for each of them, so the threshold falls with the group's size.
            connect_failures = self.connect_failures_by_kind.setdefault(
                endpoint.kind.name, DecayingCounter(EVIDENCE_DECAY_US)
            )
            connect_failures.add(verdict is Verdict.CONNECT_FAILED, self.now_us)
            rarely_used = self._rate_share(endpoint, endpoint.own_limiter) * self.settings.keepalive_us < 1e6
            if not endpoint.calls and (
                rarely_used
                or connect_failures.hit_ratio(self.now_us) > QUOTA_UP_FAILURE_RATIO / self.settings.group_size
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
        elif not message.open_calls:
            # Held again; a message that may not be repeated is answered after the whole batch.
            self._hold(message)

    def _update_statistics(self, call: Call, message: Message, event: Outcome) -> None:
        """Update connection, class, endpoint and limiter state from the end of a call."""
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
            stats = table.setdefault(name, self._initial_stats(usual_us if failed else event.elapsed_us))
            if not failed:
                stats.update_latency(event.elapsed_us, NEWEST_CALL_WEIGHT)
        self._update_quota(endpoint, failed)
        if verdict is not Verdict.FULL:
            endpoint.stats_by_class[name].failures.add(failed, self.now_us)
        if failed:
            limiter = endpoint.rate_limiter if verdict is Verdict.FULL else endpoint.own_limiter
            self._record_failure(call, limiter, event)
            return
        endpoint.latest_answered_send_us, endpoint.connection_rejections = (
            max(endpoint.latest_answered_send_us, call.sent_us),
            0,
        )
        tried = [limiter for limiter in endpoint.limiters if limiter.failures_in_row]
        outage = self._failed_elsewhere(endpoint, endpoint.own_limiter) or any(
            self._was_out(limiter)
            or self.trial_failures[limiter.last_failure_was_refusal].hit_ratio(self.now_us)
            > OUTAGE_FAILURE_RATIO
            for limiter in tried
        )
        for limiter in tried:
            self.trial_failures[limiter.last_failure_was_refusal].add(False, self.now_us)
        for limiter in endpoint.limiters:
            if outage and self.now_us - limiter.last_success_us > COLD_RETURN_GAP_US:
                # Back from an outage: calls now keep to this relay's part of what a cold server takes.
                limiter.cold_since_us = self.now_us
                self._space_cold_calls(endpoint, limiter, self.rng.random())
                self._log_outage(OutageEvent.COLD_RETURN, endpoint, limiter, f"#{event.id} served")
            limiter.last_success_us, limiter.failures_in_row = self.now_us, 0
            limiter.is_shut = limiter.only_limit_refusals = False
            if 0 <= limiter.cold_since_us < self.now_us - self.settings.warm_within_us:
                limiter.cold_since_us = -1
                self._log_outage(OutageEvent.WARM, endpoint, limiter, "warm-up over")
        endpoint.rate_limiter.served.add(False, self.now_us)
        if not self._shares_reported_limit(endpoint.rate_limiter):
            endpoint.rate_limiter.allowed_rate = (
                self._grown_allowed_rate(endpoint.rate_limiter) * SERVED_RATE_FACTOR
            )

    def _was_out(self, limiter: LimiterState) -> bool:
        """Whether the failures before a success were an outage; in a large group any but those of a limit."""
        max_failures = 0 if self.large_group else 2
        return limiter.is_shut or (limiter.failures_in_row > max_failures and not limiter.only_limit_refusals)

    def _failed_elsewhere(self, endpoint: Endpoint, limiter: LimiterState) -> bool:
        """Whether calls under other limiters of the destination failed, and none was served there since.

        Outages mostly take all endpoints of a destination. A relay of a large group sees few calls, and each
        endpoint may show it one failure; a small group judges each endpoint by itself.
        """
        if not self.large_group or endpoint.kind.limit_per_endpoint:
            return False
        shared = endpoint.rate_limiter
        siblings = self.dests[endpoint.dest].endpoints.values()
        return any(
            other is not limiter
            and other.failures_in_row > 0
            and not other.only_limit_refusals
            and other.failing_since_us > shared.last_success_us
            for other in (shared, *(sibling.own_limiter for sibling in siblings))
        )

    def _is_idle_cut(self, call: Call, lost: bool) -> bool:
        """Whether the call may be lost because its connection was cut while idle.

        That is so if no connection that was idle as long has served lately. A call lost on a connection that
        was idle for less has another cause; closing idle connections for it would only cost new ones, and
        hosts accept a limited number.
        """
        served_idle_us = self.served_idle_us * math.exp(
            (self.served_idle_at_us - self.now_us) / EVIDENCE_DECAY_US
        )
        if not lost:
            self.served_idle_us, self.served_idle_at_us = (
                max(served_idle_us, call.connection_idle_us),
                self.now_us,
            )
        return lost and call.connection_idle_us > served_idle_us

    def _update_quota(self, endpoint: Endpoint, failed: bool) -> None:
        """Average the failure ratio and step the quota down or up by it (the rule of the BIND9 notes)."""
        endpoint.failures.add(failed, self.now_us)
        if failed and endpoint.failures.hit_ratio(self.now_us) > QUOTA_DOWN_FAILURE_RATIO:
            endpoint.quota = max(MIN_QUOTA_SHARE * endpoint.full_quota, endpoint.quota * QUOTA_DOWN_FACTOR)
        elif not failed or endpoint.failures.hit_ratio(self.now_us) < QUOTA_UP_FAILURE_RATIO:
            endpoint.quota = min(endpoint.full_quota, endpoint.quota + QUOTA_UP_SHARE * endpoint.full_quota)

    def _has_overdue_call(self, endpoint: Endpoint) -> bool:
        """Whether a call is overdue and no success came since: detects a hang before its calls time out."""
        if not endpoint.calls:
            return False
        last_success_us = endpoint.rate_limiter.last_success_us
        return any(
            self.now_us - c.sent_us > c.overdue_after_us >= last_success_us - c.sent_us
            for c in endpoint.calls
        )

    def _is_failing(self, endpoint: Endpoint) -> bool:
        """Whether calls there failed twice in a row, or once while most trials fail."""
        # A plain loop: this is called often, and mostly without a failure to look at.
        for limiter in endpoint.limiters:
            if limiter.failures_in_row > 1:
                return True
            if (
                limiter.failures_in_row
                and self.trial_failures[limiter.last_failure_was_refusal].hit_ratio(self.now_us)
                > OUTAGE_FAILURE_RATIO
            ):
                return True
        return False

    def _record_failure(self, call: Call, limiter: LimiterState, event: Outcome) -> None:
        """Count a failure, and pause until the next trial; pauses grow with the age of an outage."""
        served_lately = self.now_us - limiter.last_success_us < COLD_RETURN_GAP_US
        if event.connections_full or (served_lately and event.verdict is Verdict.CONNECT_FAILED):
            self._record_connection_limit(call, limiter, event.connections_full)
            return
        refused = event.verdict is Verdict.FULL
        limit_used_up = refused and self._limit_used_up(event)
        failure = Failure(
            reason=f"{event.verdict.value} #{event.id}",
            refused=refused,
            limit_used_up=limit_used_up,
            served_lately=served_lately,
            failed_elsewhere=not limit_used_up and self._failed_elsewhere(call.endpoint, limiter),
        )
        # Where most calls fail this is an outage too, even if some are served.
        if not refused and call.endpoint.failures.hit_ratio(self.now_us) > OUTAGE_FAILURE_RATIO:
            limiter.cold_since_us = self.now_us
        if refused and self._tells_outage(event.wait_us, limit_used_up or served_lately):
            limiter.is_shut = True
        self._count_failure(call, limiter, failure)
        self._pause_after_failure(call.endpoint, limiter, failure)

    def _record_connection_limit(self, call: Call, limiter: LimiterState, is_reported: bool) -> None:
        """Allow fewer calls at once where an endpoint has no connection left; this counts as no failure.

        That is so if the endpoint says so (``is_reported``), or if other calls are served there.
        """
        endpoint = call.endpoint
        endpoint.connection_cap = min(self._max_connections(endpoint), max(1, call.calls_beside))
        endpoint.connection_cap_at_us = self.now_us
        if limiter.last_success_us >= call.sent_us:  # other connections serve meanwhile
            return
        pause_us = MIN_TRIAL_GAP_US
        if is_reported:
            mean_pause_us = min(
                MIN_TRIAL_GAP_US * 2.0 ** min(endpoint.connection_rejections, 10), MAX_TRIAL_GAP_US
            )
            pause_us = int(mean_pause_us * self.rng.uniform(0.5, 1.5))
            endpoint.connection_rejections += 1
        limiter.pause_until_us = max(limiter.pause_until_us, self.now_us + pause_us)

    def _limit_used_up(self, event: Outcome) -> bool:
        """Whether a refusal reports a limit with little left, which is no sign of an outage.

        However often it comes: a relay of a large group has few successes in between.
        """
        share_left = event.limit_share_left or 0.0
        return self.large_group and bool(event.limit_per_s) and SHARE_LEFT_FACTOR * share_left < 1

    def _count_failure(self, call: Call, limiter: LimiterState, failure: Failure) -> None:
        """Count a failure in the row; refusals above a used-up limit count as one at most."""
        is_new = call.sent_us > limiter.last_failure_us
        if limiter.failures_in_row and is_new and not failure.limit_used_up:
            self.trial_failures[failure.refused].add(True, self.now_us)
        if not limiter.failures_in_row:
            limiter.failing_since_us = self.now_us
            limiter.only_limit_refusals = failure.limit_used_up
        elif not failure.limit_used_up:
            limiter.only_limit_refusals = False
        if not is_new and limiter.failures_in_row:
            return
        limiter.failures_in_row = (
            max(1, limiter.failures_in_row) if failure.limit_used_up else limiter.failures_in_row + 1
        )
        limiter.last_failure_us = self.now_us
        limiter.last_failure_was_refusal = failure.refused
        if failure.refused:
            self._lower_allowed_rate(limiter)
        if limiter.failures_in_row == 3:
            verdict = failure.reason.partition(" ")[0]
            self.actions.append(Log(f"{call.endpoint.host} failing: {verdict}, paced"))

    def _pause_after_failure(self, endpoint: Endpoint, limiter: LimiterState, failure: Failure) -> None:
        """Pause until the next trial.

        While most trials fail, this is an outage, and the trials of all relays together must not exceed what
        a cold server takes: each relay pauses according to its share. A refusal while other calls fail
        belongs to that outage.
        """
        other_failures = any(
            each.cold_since_us >= 0 or (each.failures_in_row and not each.last_failure_was_refusal)
            for each in endpoint.limiters
        )
        failed_before = limiter.failures_in_row > 1 or failure.failed_elsewhere
        trial_failures = self.trial_failures[failure.refused and not other_failures]
        paced = (
            limiter.is_shut
            or limiter.cold_since_us >= 0
            or (failed_before and not failure.served_lately)
            or trial_failures.hit_ratio(self.now_us) > OUTAGE_FAILURE_RATIO
        )
        gap_us = min(MIN_TRIAL_GAP_US * 2.0 ** min(limiter.failures_in_row - 1, 10), MAX_TRIAL_GAP_US)
        if paced:
            gap_us = max(gap_us, self._trial_gap_us(endpoint, limiter))
        start_us = max(self.now_us, limiter.told_wait_until_us)
        if limiter.is_shut and start_us > self.now_us:  # all relays were told the same end of the wait
            delay_us = gap_us * self.rng.random()
        elif failure.limit_used_up:
            delay_us = 1e6 / limiter.allowed_rate * self.rng.uniform(0.3, 1.3)
        elif other_failures or limiter.failures_in_row > 1 or not failure.served_lately:
            delay_us = gap_us * self.rng.uniform(0.3, 1.3)
        else:  # spread over time, or else all relays that were told to wait come back at once
            delay_us = (start_us - self.now_us) * self.rng.random()
        limiter.pause_until_us = max(limiter.pause_until_us, start_us + int(delay_us))
        if failure.failed_elsewhere and not failure.refused and not failure.served_lately:
            self._pause_destination(endpoint, start_us)
        if paced:
            self._log_outage(OutageEvent.PACED_FAILURE, endpoint, limiter, failure.reason)

    def _pause_destination(self, endpoint: Endpoint, start_us: int) -> None:
        """Pause all endpoints of a destination that is out until this relay's next trial."""
        shared = endpoint.rate_limiter
        delay_us = self._trial_gap_us(endpoint, shared) * self.rng.uniform(0.3, 1.3)
        shared.pause_until_us = max(shared.pause_until_us, start_us + int(delay_us))

    def _trial_gap_us(self, endpoint: Endpoint, limiter: LimiterState) -> float:
        """The time between trials at which those of all relays together are what a cold server takes."""
        share_per_s = self._rate_share(endpoint, limiter)
        return 1e6 / (self.settings.fall_multiple * self.settings.cold_from * share_per_s)

    def _spread_after_wait(self, endpoint: Endpoint) -> None:
        """Note that a destination is shut, and spread the relays' first calls after the wait that it told."""
        limiter = endpoint.rate_limiter
        limiter.is_shut = True
        limiter.failures_in_row = max(1, limiter.failures_in_row)
        delay_us = int(self._trial_gap_us(endpoint, limiter) * self.rng.random())
        limiter.pause_until_us = max(limiter.pause_until_us, limiter.told_wait_until_us + delay_us)

    def _tells_outage(self, wait_us: int, limit_refuses: bool) -> bool:
        """Whether a wait told with a refusal shows an outage, at whose end the server is cold.

        Nobody is served during the wait, so a long one is an outage whatever refused the call. In a large
        group a relay sees few calls, and any wait shows one unless the limit is used up or calls are served.
        """
        return wait_us >= COLD_RETURN_GAP_US or (self.large_group and wait_us > 0 and not limit_refuses)

    def _log_outage(self, event: OutageEvent, endpoint: Endpoint, limiter: LimiterState, reason: str) -> None:
        """Count and log what an outage does to the calls to a destination."""
        self.outage_counts[event] += 1
        pause_us = max(0, limiter.pause_until_us - self.now_us)
        wait_us = max(0, endpoint.rate_limiter.told_wait_until_us - self.now_us)
        share_per_s = self._rate_share(endpoint, limiter)
        self.actions.append(
            Log(
                f"outage: dest {endpoint.dest} at {endpoint.host}: {event.value}, {reason}; "
                f"{limiter.failures_in_row} failures in a row, told to wait {wait_us // 1000} ms, "
                f"next call in {pause_us // 1000} ms, share {share_per_s:.3f}/s"
            )
        )

    def _max_connections(self, endpoint: Endpoint) -> float:
        """Calls at once for which the endpoint has connections, by what it turned away; grows with time."""
        return (
            endpoint.connection_cap + (self.now_us - endpoint.connection_cap_at_us) / CONNECTION_CAP_GROWTH_US
        )

    def _grown_allowed_rate(self, limiter: LimiterState) -> float:
        """Update and return the allowed rate in calls/s; it grows with time, slowly near a refused rate."""
        shared = self._shares_reported_limit(limiter)
        e_fold_us = FAST_GROWTH_US if shared else EVIDENCE_DECAY_US
        grown = limiter.allowed_rate * math.exp(
            min(50.0, (self.now_us - limiter.allowed_rate_at_us) / e_fold_us)
        )
        if shared and limiter.rate_at_last_refusal < math.inf:
            slow_bound = (
                FAST_GROWTH_SHARE
                * limiter.rate_at_last_refusal
                * math.exp(min(50.0, (self.now_us - limiter.last_refusal_us) / SLOW_GROWTH_US))
            )
            grown = min(grown, max(limiter.allowed_rate, slow_bound))
        limiter.allowed_rate, limiter.allowed_rate_at_us = (
            min(grown, limiter.advertised_rate or math.inf),
            self.now_us,
        )
        return limiter.allowed_rate

    def _rate_share(self, endpoint: Endpoint, limiter: LimiterState) -> float:
        """This relay's part in calls/s of what all endpoints under a limiter, or this one, are sent."""
        rate_limiter = endpoint.rate_limiter
        return self._limit_share(rate_limiter) / (
            1 if limiter is rate_limiter else max(1, len(self.dests[endpoint.dest].usable_endpoints()))
        )

    def _limit_share(self, limiter: LimiterState) -> float:
        """This relay's part of a limit in calls/s: an equal one, or its own demand if that is more."""
        return max(
            limiter.advertised_rate / self.settings.group_size,
            limiter.demand.rate_per_s(self.now_us, self.demand_since_us),
            1e-3,
        )

    def _space_cold_calls(self, endpoint: Endpoint, limiter: LimiterState, gap_share: float = 1.0) -> None:
        """Pause so that a cold server gets this relay's part of what it takes, spread over its warm-up.

        ``gap_share`` is the share of the gap between calls to wait; a random one spreads the relays.
        """
        warm_us = max(1, self.settings.warm_within_us)
        coldness = max(0.0, 1 - (self.now_us - limiter.cold_since_us) / warm_us)
        # Share of the warm capacity that the server has now, and its growth per us.
        capacity, growth = (
            1 - (1 - self.settings.cold_from) * coldness,
            (1 - self.settings.cold_from) / warm_us,
        )
        warm_gap_us = 1e6 / (self.settings.fall_multiple * self._rate_share(endpoint, limiter))
        # Capacity grows during the gap: gap x (capacity + growth x gap / 2) = warm gap, solved for the gap.
        gap_us = 2 * warm_gap_us / (capacity + math.sqrt(capacity * capacity + 2 * growth * warm_gap_us))
        gap_us = gap_share * min(gap_us, max(MIN_TRIAL_GAP_US, coldness * warm_us))
        limiter.pause_until_us = max(limiter.pause_until_us, self.now_us + int(gap_us))

    def _give_up(self, message: Message) -> None:
        """Answer for good: a refusal where a retry by the client is harmless, else a failure."""
        keyed_anywhere = message.cls.effect is Effect.KEYED and not message.cls.key_scope_is_zone
        harmless = message.cls.effect is Effect.SAFE or message.uncertain_since_us < 0 or keyed_anywhere
        wait_us = self.settings.max_retry_after_us * self.settings.advise_retry
        self.actions.append(Refuse(message.id, wait_us) if harmless else Fail(message.id))
        self._close(message)

    def _close(self, message: Message) -> None:
        """Mark a message as over; it stays known while attempts are out."""
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
        """What a call of the message's class takes there; if unknown, at any endpoint, or else a guess."""
        return (endpoint.stats_by_class.get(message.cls.name) if endpoint else None) or self._class_stats(
            message.cls
        )

    def _class_stats(self, cls: MessageClass) -> CallStats:
        """What a call of the class takes at any endpoint; if unknown, a guess: a quarter of its aim."""
        return self.baseline_stats.get(cls.name) or self._initial_stats(cls.aim_us / 4)

    _initial_stats = staticmethod(
        lambda guess_us: CallStats(guess_us, DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT))
    )

    def _expire(self) -> None:
        """Answer held messages whose time or key window allows no call, and the worst ones over the cap."""
        while self.expiry_heap and self.expiry_heap[0][0] <= self.now_us:
            message = self.messages.get(heapq.heappop(self.expiry_heap)[2])
            if message is not None and message.queue_position:  # what a call takes may have changed since
                (self._hold if self._answer_by_us(message) > self.now_us else self._give_up)(message)
        for dest in [self.dests[number] for number in self.dests_to_check]:
            start_us = min((e.rate_limiter.told_wait_until_us for e in dest.usable_endpoints()), default=0)
            if start_us > self.now_us:  # told to wait past the message's time: answer now
                for message in self._held_ending_by(dest, start_us):
                    self._give_up(message)
        if (excess := self.open_messages - max(1, self.settings.hold_cap - 1)) > 0:
            held = [m for m in self.messages.values() if not m.done and not m.open_calls]
            for message in sorted(held, key=self._score)[:excess]:
                self._give_up(message)

    def _held_ending_by(self, dest: Destination, at_us: int) -> list[Message]:
        """The held messages that have to be answered by then, in the order in which they were held."""
        found: list[Message] = []
        for (name, _, attempts), queue in dest.queues.items():
            # For messages that were never tried the end follows from the deadline alone.
            max_deadline_us = math.inf if attempts else at_us + self._min_call_us(self.classes[name])
            found += [m for m in queue.due_by(max_deadline_us) if self._answer_by_us(m) <= at_us]
        return sorted(found, key=lambda message: message.queue_position)

    def _worth_at(self, message: Message, at_us: float) -> float:
        """What the message is worth if it is delivered at that time."""
        cls, late_us = message.cls, at_us - message.aim_us
        if at_us >= message.deadline_us:
            return 0.0
        if late_us <= 0:
            return message.worth
        if self.settings.late_worth_halves:
            return message.worth * max(cls.late_worth, math.pow(0.5, late_us / max(1, cls.aim_us)))
        return message.worth * (1 - (1 - cls.late_worth) * late_us / max(1, cls.deadline_us - cls.aim_us))

    def _score(self, message: Message) -> float:
        """Worth lost by waiting URGENCY_HORIZON_US longer, plus a part of the worth itself."""
        at_us = self.now_us + self._call_stats(message).mean_us
        worth = self._worth_at(message, at_us)
        return worth - self._worth_at(message, at_us + URGENCY_HORIZON_US) + WORTH_SCORE_WEIGHT * worth

    def _dispatch(self) -> None:
        """Send held messages of the destinations to check, best first, while any of these accepts calls.

        Within a pass endpoints only become less able to take calls. So a destination that had no place for
        one message is left out from then on: checked again for each of hundreds of held messages, it took
        most of a relay's processor time. For the same reason each destination's messages are ranked lazily.
        """
        slots_short, checked, accepting = self._slots_short(), list(self.dests_to_check), set[int]()
        ready: list[tuple[float, int, int, Message, Iterator[RankedMessage[Message]]]] = []
        for index, number in enumerate(checked):
            dest = self.dests[number]
            if dest.held and (reachable := [e for e in dest.usable_endpoints() if self._can_call(dest, e)]):
                accepting.add(number)
                remaining = self._ranked_messages(dest, reachable, slots_short)
                ready += [
                    (rank, index, place, message, remaining) for rank, place, message in islice(remaining, 1)
                ]
        heapq.heapify(ready)
        opened: dict[str, Call] = {}  # calls of this pass by host, which further messages may share
        while ready and accepting:
            _, index, _, message, remaining = ready[0]
            if message.dest not in accepting:
                heapq.heappop(ready)
                continue
            if (following := next(remaining, None)) is not None:
                heapq.heapreplace(ready, (following[0], index, following[1], following[2], remaining))
            else:
                heapq.heappop(ready)
            dest = self.dests[message.dest]
            zone_bound = (
                message.cls.effect is Effect.KEYED
                and message.uncertain_since_us >= 0
                and message.cls.key_scope_is_zone
            )
            allowed = [
                e for e in dest.usable_endpoints() if not zone_bound or e.zone == message.uncertain_zone
            ]
            shareable = [
                e for e in allowed if e.host in opened and opened[e.host].message_count < e.kind.batch_size
            ]
            if candidates := shareable or [e for e in allowed if self._can_call(dest, e)]:
                best = (
                    candidates[0]
                    if len(candidates) == 1
                    else min(candidates, key=lambda e: self._expected_cost_us(message, e))
                )
                self._send(message, best, opened)
            elif not zone_bound:
                accepting.remove(message.dest)
        self.dests_to_check = {}
        if self.calls_out >= self.settings.slots:  # held messages wait for a slot and are checked again
            for number in checked:
                self._mark_for_check(number)
        for number in checked:
            if (dest := self.dests[number]).held:
                times_us = [
                    max(max(limiter.told_wait_until_us, limiter.pause_until_us) for limiter in e.limiters)
                    for e in dest.usable_endpoints()
                ]
                if self.key_queues:
                    times_us += [
                        self.key_cooldown_until_us.get(m.key, 0) for m in dest.held.values() if m.key
                    ]
                if future_us := [at_us for at_us in times_us if at_us > self.now_us]:
                    self._schedule_check(dest, number, min(future_us))

    def _schedule_check(self, dest: Destination, number: int, at_us: int) -> None:
        """Check a destination again at that time, unless an earlier check is already due."""
        if not self.now_us < dest.next_check_us <= at_us:
            dest.next_check_us = at_us
            heapq.heappush(self.check_heap, (at_us, number))

    def _mark_for_check(self, number: int) -> None:
        """Check a destination with the next dispatch, if it holds anything."""
        if self.dests[number].held:
            self.dests_to_check[number] = None

    def _ranked_messages(
        self, dest: Destination, endpoints: list[Endpoint], slots_short: bool
    ) -> Iterator[RankedMessage[Message]]:
        """The messages of a destination that may go, each with its rank among all: the lowest goes first.

        With slots short, worth counts per time in a slot, or else slow destinations take all slots; messages
        that can share a call share its slot. While the destination fails, messages are tried in order of the
        harm of a repeat and of their attempts. That settles which of its messages goes first, but not when
        the destination's turn comes.
        """

        def ranked_in(queues: Iterable[DeadlineQueue[Message]]) -> Iterator[RankedMessage[Message]]:
            parts = [self._ranked_in_queue(dest, queue, endpoints, slots_short) for queue in queues]
            ranked = parts[0] if len(parts) == 1 else heapq.merge(*parts)
            return (item for item in ranked if self._key_allows(item[2])) if self.key_queues else ranked

        if not any(limiter.failures_in_row for e in dest.endpoints.values() for limiter in e.limiters):
            return ranked_in(dest.queues.values())
        queues_by_risk: dict[float, list[DeadlineQueue[Message]]] = {}
        for (name, _, attempts), queue in dest.queues.items():
            risk = REPEAT_RISKS[self.classes[name].effect] + attempts / self.settings.max_attempts
            queues_by_risk.setdefault(risk, []).append(queue)
        messages = (item[2] for risk in sorted(queues_by_risk) for item in ranked_in(queues_by_risk[risk]))
        ranks = (item[0] for item in ranked_in(dest.queues.values()))
        pairs = zip(ranks, messages, strict=True)
        return ((rank, place, message) for place, (rank, message) in enumerate(pairs))

    def _ranked_in_queue(
        self, dest: Destination, queue: DeadlineQueue[Message], endpoints: list[Endpoint], slots_short: bool
    ) -> Iterator[RankedMessage[Message]]:
        """A queue's messages by rank: all have the same class, and so the same time in a slot."""
        sample = queue.any_message()
        slot_us = min(self._slot_time_us(sample, dest, e) for e in endpoints) if slots_short else 1.0
        if len(queue) == 1:
            return iter([(-self._score(sample) / slot_us, sample.queue_position, sample)])
        return queue.ranked(
            self._score_breakpoints(sample.cls), lambda message: -self._score(message) / slot_us
        )

    def _score_breakpoints(self, cls: MessageClass) -> list[float]:
        """The deadlines (us) between which a score of the class only rises or only falls, now."""
        at_us, late_us = self.now_us + self._class_stats(cls).mean_us, cls.deadline_us - cls.aim_us
        breakpoints = [at_us, at_us + late_us]
        if self.settings.late_worth_halves and 0 < cls.late_worth < 1:
            # Where worth has come down to the minimum.
            breakpoints.append(at_us + late_us + max(1, cls.aim_us) * math.log2(cls.late_worth))
        return breakpoints + [at + URGENCY_HORIZON_US for at in breakpoints]

    def _slot_time_us(self, message: Message, dest: Destination, endpoint: Endpoint) -> float:
        """Slot time that the message costs there, shared with as many as a call takes and are held."""
        return self._call_stats(message, endpoint).mean_us / min(endpoint.kind.batch_size, len(dest.held))

    def _key_allows(self, message: Message) -> bool:
        """Whether order by key lets the message go now; the first of its key may be repeated at once."""
        first = not message.key or self.key_queues[message.key][0] is message
        return first and (
            message.attempts > 0 or self.now_us >= self.key_cooldown_until_us.get(message.key, 0)
        )

    def _can_call(self, dest: Destination, endpoint: Endpoint) -> bool:
        """Whether slots, quota, connections, pauses, failures and overdue calls allow one call more there."""
        siblings = dest.endpoints.values()
        max_calls = max(1, int(min(endpoint.quota, self._max_connections(endpoint))))
        full = self.calls_out >= self.settings.slots or len(endpoint.calls) >= max_calls
        if full or any(
            self.now_us < max(limiter.told_wait_until_us, limiter.pause_until_us)
            for limiter in endpoint.limiters
        ):
            return False
        # Of all failing endpoints of a destination only one is called at a time.
        if self._has_overdue_call(endpoint) or (
            self._is_failing(endpoint) and any(e.calls for e in siblings if self._is_failing(e))
        ):
            return False
        calls_out = sum(len(e.calls) for e in siblings)
        if calls_out < max(1, int(FAILING_SLOT_SHARE * self.settings.slots)):  # allowed even if it fails
            return True
        if calls_out >= max(1, int(HEALTHY_SLOT_SHARE * self.settings.slots)):
            return False
        return not any(
            e.failures.hit_ratio(self.now_us) > QUOTA_DOWN_FAILURE_RATIO
            or self._is_failing(e)
            or self._has_overdue_call(e)
            for e in siblings
        )

    def _expected_cost_us(self, message: Message, endpoint: Endpoint) -> float:
        """Expected time to be served there, with its failures and its zone's fee converted into time."""
        stats, fee = self._call_stats(message, endpoint), self.settings.zone_fees.get(endpoint.zone, 0.0)
        failure_ratio = max(stats.failures.hit_ratio(self.now_us), endpoint.failures.hit_ratio(self.now_us))
        return (
            stats.mean_us * (len(endpoint.calls) + 1) / max(0.1, 1 - failure_ratio)
            + fee * message.cls.deadline_us
        )

    def _send(self, message: Message, endpoint: Endpoint, opened: dict[str, Call]) -> None:
        """Send a message with a call that this pass opened to the endpoint, or with a new call."""
        stats, timeout_us = self._call_stats(message, endpoint), message.deadline_us - self.now_us
        overdue_us = stats.mean_us + OVERDUE_DEVIATIONS * max(stats.deviation_us, stats.mean_us / 2)
        if message.cls.effect is not Effect.UNSAFE:
            # An endpoint that joined late and has answered nothing yet may be cold: the latency of other
            # endpoints says little about it.
            min_us = (
                message.cls.aim_us if endpoint.joined_late and endpoint.own_limiter.last_success_us < 0 else 0
            )
            usual_us = int(REPEATABLE_TIMEOUT_OVERDUES * overdue_us) << min(message.timeouts, 8)
            timeout_us = min(timeout_us, max(min_us, usual_us))
        else:  # a message that times out is lost; but one that hangs keeps a slot and a connection
            timeout_us = min(timeout_us, max(message.cls.aim_us, int(UNSAFE_TIMEOUT_OVERDUES * overdue_us)))
        if (call := opened.get(endpoint.host)) is None or call.message_count >= endpoint.kind.batch_size:
            if (idle_us := self.now_us - (endpoint.last_call_end_us or self.now_us)) > self.trusted_idle_us:
                self.actions.append(CloseIdle(endpoint.host))
                idle_us = 0
            call = opened[endpoint.host] = Call(endpoint, self.now_us, overdue_us, idle_us)
            endpoint.calls.append(call)
            self.busy_endpoints[endpoint.host] = endpoint
            self.calls_out += 1
            if (rate := self._grown_allowed_rate(rate_limiter := endpoint.rate_limiter)) < math.inf:
                # Random, so that the relays do not call together.
                gap_us = int(1e6 / rate * self.rng.uniform(0.5, 1.5))
                rate_limiter.pause_until_us = (
                    max(rate_limiter.pause_until_us, self.now_us - MAX_BURST_US) + gap_us
                )
            for limiter in (each for each in endpoint.limiters if each.cold_since_us >= 0):
                self._space_cold_calls(endpoint, limiter)
        # Released before its attempts change, since they are part of its queue's key.
        self.dests[message.dest].release(message)
        call.message_count, call.open_attempts = call.message_count + 1, call.open_attempts + 1
        call.attempt_by_message[message.id] = message.attempts
        message.open_calls[message.attempts], message.attempts = call, message.attempts + 1
        latest_begin_us = 0
        if message.cls.effect is Effect.KEYED and message.uncertain_since_us >= 0:
            latest_begin_us = max(1, self._key_window_end_us(message) - self.now_us)
        self.actions.append(Send(message.id, endpoint.host, max(1, timeout_us), latest_begin_us))
