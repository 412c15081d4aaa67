"""What a relay remembers: plain records that ``decisions/engine.py`` fills and judges; it decides nothing."""

from __future__ import annotations

import math

from decisions.interface import Arrival, DestinationKind, Entry, Listing, MessageClass
from decisions.ranked_queue import DeadlineQueue

MIN_RATE_SPAN_US = 1_000_000  # us of events at least, before their number tells a rate


class DecayingCounter:
    """Events and how many of them count; they fade over ``memory_us`` and, by ``keep``, with each event."""

    def __init__(self, memory_us: int, keep: float = 1.0) -> None:
        self.decay_us, self.keep_per_event = memory_us, keep
        self.hits, self.total, self.updated_us = 0.0, 0.0, 0

    def add(self, hit: bool, now_us: int, weight: float = 1.0) -> None:
        """Take in an event; what came before fades."""
        fade = self.keep_per_event * math.exp((self.updated_us - now_us) / self.decay_us)
        self.hits, self.total, self.updated_us = self.hits * fade + hit, self.total * fade + weight, now_us

    def hit_ratio(self, now_us: int) -> float:
        """The share that counts; one event that does not is taken as known from the start."""
        fade = math.exp((self.updated_us - now_us) / self.decay_us)
        return self.hits * fade / (self.total * fade + 1)

    def rate_per_s(self, now_us: int, since_us: int) -> float:
        """Events a second, where all are kept: right in the sum over relays, however few each one sees.

        Counted since then: a memory that has not filled yet holds less than its length of events.
        """
        filled = 1 - math.exp(-max(MIN_RATE_SPAN_US, now_us - since_us) / self.decay_us)
        return (
            self.total * math.exp((self.updated_us - now_us) / self.decay_us) * 1e6 / (self.decay_us * filled)
        )


class CallStats:
    """How a class of message fares, at an endpoint or anywhere: answer times, and failures of its own."""

    def __init__(self, guess_us: float, bad: DecayingCounter) -> None:
        self.mean_us, self.deviation_us, self.failures = guess_us, guess_us, bad

    def update_latency(self, took_us: float, weight: float) -> None:
        """Move mean and spread towards the newest answer."""
        self.deviation_us += weight * (abs(took_us - self.mean_us) - self.deviation_us)
        self.mean_us += weight * (took_us - self.mean_us)


class LimiterState:
    """What bounds calls to an endpoint, or to all that share a limit: failures, pauses, pace, cold return."""

    def __init__(self, memory_us: int) -> None:
        self.failures_in_row, self.last_failure_us, self.last_failure_was_refusal = (
            0,
            0,
            False,
        )  # failures in a row; of the last
        self.last_success_us, self.cold_since_us = (
            -(1 << 60),
            -1,
        )  # last success; when a cold return began (-1: warm)
        self.told_wait_until_us, self.pause_until_us = 0, 0  # told to wait until; own pause until
        self.advertised_rate, self.allowed_rate, self.allowed_rate_at_us = (
            0.0,
            math.inf,
            0,
        )  # calls/s: told for all (0: not); own pace
        self.rate_at_last_refusal, self.last_refusal_us = math.inf, 0  # the pace that was refused last; when
        self.share_left_at_us = -1  # when the share of the limit that is left was told last (-1: never)
        self.demand, self.served = (
            DecayingCounter(memory_us),
            DecayingCounter(memory_us),
        )  # own messages that came, own successes


class Endpoint:
    """One address: its calls in flight, quota, failure ratio and records by class."""

    def __init__(
        self,
        entry: Entry,
        kind: DestinationKind,
        shared: LimiterState,
        own: LimiterState,
        ratio: DecayingCounter,
    ) -> None:
        self.host, self.dest, self.zone, self.kind = entry.host, entry.dest, entry.zone, kind
        self.listing, self.failures, self.own_limiter = entry.listing, ratio, own
        self.rate_limiter = own if kind.limit_per_endpoint else shared
        self.limiters = (own,) if kind.limit_per_endpoint else (own, shared)
        self.calls: list[Call] = []
        self.stats_by_class: dict[str, CallStats] = {}
        self.quota, self.full_quota = 0.0, 0.0  # calls in flight allowed now, and at most
        self.joined_late = False  # whether it joined others on the list
        self.latest_answered_send_us = -1  # when the latest call was sent that was answered
        self.banned = False  # whether an operator leaves it out
        self.last_call_end_us = 0  # when a call last ended (0: no connection is left)
        self.connection_rejections = 0  # connections turned away since one served
        self.connection_cap, self.connection_cap_at_us = (
            math.inf,
            0,
        )  # own calls beside which a connection was turned away; when


class Call:
    """One call out: a slot, an endpoint and the messages that share its fate."""

    def __init__(self, endpoint: Endpoint, now_us: int, overdue_us: float, idle_us: int) -> None:
        self.endpoint, self.sent_us, self.overdue_after_us, self.connection_idle_us = (
            endpoint,
            now_us,
            overdue_us,
            idle_us,
        )
        self.calls_beside = len(endpoint.calls)  # calls that were out there when it was sent
        self.message_count, self.open_attempts = 0, 0
        self.attempt_by_message: dict[
            str, int
        ] = {}  # its messages' ids, with the number of each one's attempt
        self.given_up = False  # whether it was given up for hanging alone


class Message:
    """A message taken in and what is known of its attempts."""

    def __init__(self, event: Arrival, cls: MessageClass, now_us: int, worth: float) -> None:
        self.id, self.dest, self.cls, self.worth = event.id, event.dest, cls, worth
        self.key, self.deadline_us = event.key if cls.ordered_by_key else "", now_us + event.time_left_us
        self.aim_us = self.deadline_us - cls.deadline_us + cls.aim_us
        self.open_calls: dict[int, Call] = {}
        self.arrival_number, self.order = (
            0,
            0,
        )  # its place among all that came; among those held (0: it is not)
        self.attempts, self.timeouts, self.done = event.attempts, 0, False
        self.uncertain_since_us, self.uncertain_zone = (
            -1,
            "",
        )  # first attempt that may have run: when sent, and its zone
        if event.uncertain_age_us >= 0:  # made in a former life of this relay
            self.uncertain_since_us, self.uncertain_zone = (
                max(0, now_us - event.uncertain_age_us),
                event.uncertain_zone,
            )


class Destination:
    """A partner: its endpoints, the messages held for it, and the limit that its endpoints share."""

    def __init__(self, limit: LimiterState) -> None:
        self.rate_limiter = limit
        self.endpoints: dict[str, Endpoint] = {}
        self.next_check_us = 0  # the next look that is due; past where none is
        self.held: dict[str, Message] = {}  # in the order of ``Message.order``
        self.queues: dict[
            tuple[str, float, int], DeadlineQueue[Message]
        ] = {}  # the same, by what ranks them alike

    def hold(self, message: Message, order: int) -> None:
        """Take a message in line; one that is there keeps its place."""
        if message.order:
            return
        message.order, self.held[message.id] = order, message
        self.queues.setdefault(self._queue_key(message), DeadlineQueue()).add(message.deadline_us, message)

    def release(self, message: Message) -> None:
        """Take a message out of the line, where it is in it."""
        if not message.order:
            return
        message.order = 0
        del self.held[message.id]
        lane = self.queues[name := self._queue_key(message)]
        lane.mark_removed()
        if not lane:
            del self.queues[name]

    @staticmethod
    def _queue_key(message: Message) -> tuple[str, float, int]:
        return message.cls.name, message.worth, message.attempts

    def usable_endpoints(self) -> list[Endpoint]:
        """Endpoints that the directory lists as ready and no operator leaves out."""
        return [e for e in self.endpoints.values() if e.listing is Listing.READY and not e.banned]
