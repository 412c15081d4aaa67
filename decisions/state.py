"""The state that a relay keeps. ``decisions/engine.py`` fills and evaluates it; nothing is decided here."""

from __future__ import annotations

import math

from decisions.interface import Arrival, DestinationKind, Entry, Listing, MessageClass
from decisions.ranked_queue import DeadlineQueue

MIN_RATE_SPAN_US = 1_000_000  # us: a rate is computed over at least this span, however young the counter is


class DecayingCounter:
    """Counts events and hits among them; both decay with a time constant and, if asked for, with each event.

    ``decay_us`` is the time in us in which counts fall to 1/e. ``keep_per_event`` is the factor by which
    earlier counts are multiplied at each event; 1.0 leaves them to time alone.
    """

    def __init__(self, decay_us: int, keep_per_event: float = 1.0) -> None:
        self.decay_us = decay_us
        self.keep_per_event = keep_per_event
        self.hits = 0.0
        self.total = 0.0
        self.updated_us = 0  # when the counts were brought up to date last

    def add(self, hit: bool, now_us: int, weight: float = 1.0) -> None:
        """Count an event that counts ``weight`` in the total; earlier counts decay."""
        decay = self.keep_per_event * math.exp((self.updated_us - now_us) / self.decay_us)
        self.hits, self.total, self.updated_us = self.hits * decay + hit, self.total * decay + weight, now_us

    def hit_ratio(self, now_us: int) -> float:
        """Hits as a share of all events, with one event without a hit assumed beside those counted."""
        decay = math.exp((self.updated_us - now_us) / self.decay_us)
        return self.hits * decay / (self.total * decay + 1)

    def rate_per_s(self, now_us: int, since_us: int) -> float:
        """Events a second, for a ``keep_per_event`` of 1; right in the sum over relays, however few one sees.

        ``since_us`` is when counting began: a counter younger than its time constant holds fewer events than
        the rate implies, and the result is corrected for that.
        """
        filled = 1 - math.exp(-max(MIN_RATE_SPAN_US, now_us - since_us) / self.decay_us)
        return (
            self.total * math.exp((self.updated_us - now_us) / self.decay_us) * 1e6 / (self.decay_us * filled)
        )


class CallStats:
    """Call latency and failures of one message class, at one endpoint or over all endpoints."""

    def __init__(self, guess_us: float, failures: DecayingCounter) -> None:
        self.mean_us = guess_us
        self.deviation_us = guess_us  # mean absolute deviation
        self.failures = failures

    def update_latency(self, took_us: float, weight: float) -> None:
        """Move mean and deviation towards the newest latency by ``weight``, a share from 0 to 1."""
        self.deviation_us += weight * (abs(took_us - self.mean_us) - self.deviation_us)
        self.mean_us += weight * (took_us - self.mean_us)


class LimiterState:
    """What limits calls to one endpoint, or to all endpoints that share a rate limit.

    That is failures in a row, pauses, the allowed rate, and the warm-up after an outage. Rates are in
    calls a second.
    """

    def __init__(self, decay_us: int) -> None:
        self.failures_in_row = 0
        self.failing_since_us = 0  # when the first failure in the row was counted
        self.last_failure_us = 0  # when a failure was counted in the row last
        self.last_failure_was_refusal = False
        # Whether all failures in the row are refusals above a limit that was used up.
        self.only_limit_refusals = False
        # Whether the last calls were refused with a wait and not by a limit; it holds until a success.
        self.is_shut = False
        self.last_success_us = -(1 << 60)  # long ago: none yet
        self.cold_since_us = -1  # when the warm-up after an outage began (-1: warm)
        self.told_wait_until_us = 0  # the server asked for no calls before this time
        self.pause_until_us = 0  # this relay's own pause
        self.advertised_rate = 0.0  # limit for all relays together, as reported (0: not reported)
        self.allowed_rate = math.inf  # limit for this relay, at the time below
        self.allowed_rate_at_us = 0
        # Average of the allowed rates that were refused, of which the latest weighs half (inf: none was).
        self.rate_at_last_refusal = math.inf
        self.last_refusal_us = 0
        self.share_left_at_us = -1  # when the share left of the limit was reported last (-1: never)
        self.demand = DecayingCounter(decay_us)  # messages for it that arrived at this relay
        self.served = DecayingCounter(decay_us)  # this relay's successful calls


class Endpoint:
    """One address of a destination: its calls in flight, quota, failure ratio and statistics by class."""

    def __init__(
        self,
        entry: Entry,
        kind: DestinationKind,
        shared_limiter: LimiterState,
        own_limiter: LimiterState,
        failures: DecayingCounter,
    ) -> None:
        self.host = entry.host
        self.dest = entry.dest
        self.zone = entry.zone
        self.kind = kind
        self.listing = entry.listing
        self.failures = failures
        self.own_limiter = own_limiter
        self.rate_limiter = own_limiter if kind.limit_per_endpoint else shared_limiter
        self.limiters = (own_limiter,) if kind.limit_per_endpoint else (own_limiter, shared_limiter)
        self.calls: list[Call] = []
        self.stats_by_class: dict[str, CallStats] = {}
        self.quota = 0.0  # calls in flight that are allowed now
        self.full_quota = 0.0  # calls in flight that are allowed at most
        self.joined_late = False  # whether it was listed when other endpoints were already known
        self.latest_answered_send_us = -1  # send time of the latest call that was answered with success
        self.banned = False  # whether an operator has excluded it
        self.last_call_end_us = 0  # when a call ended last (0: no connection is left)
        self.connection_rejections = 0  # connections turned away since the last success
        # Own calls in flight when a connection was turned away, at the time below.
        self.connection_cap = math.inf
        self.connection_cap_at_us = 0


class Call:
    """One call that is out: it takes a slot, and the messages that share it end with it."""

    def __init__(
        self, endpoint: Endpoint, now_us: int, overdue_after_us: float, connection_idle_us: int
    ) -> None:
        self.endpoint = endpoint
        self.sent_us = now_us
        self.overdue_after_us = overdue_after_us  # age from which it is overdue
        # Time since the last call there ended (0: its connection is new).
        self.connection_idle_us = connection_idle_us
        self.calls_beside = len(endpoint.calls)  # calls that were out there when it was sent
        self.message_count = 0
        self.open_attempts = 0  # messages of it without an outcome
        self.attempt_by_message: dict[str, int] = {}  # attempt number by message id
        self.given_up = False  # whether it was cancelled for hanging while later calls were answered


class Message:
    """A message taken on and what is known of its attempts."""

    def __init__(self, event: Arrival, cls: MessageClass, now_us: int, worth: float) -> None:
        self.id = event.id
        self.dest = event.dest
        self.cls = cls
        self.worth = worth
        self.key = event.key if cls.ordered_by_key else ""
        self.deadline_us = now_us + event.time_left_us
        self.aim_us = self.deadline_us - cls.deadline_us + cls.aim_us
        self.open_calls: dict[int, Call] = {}  # by attempt number
        self.arrival_number = 0  # counts all arrivals from 1
        self.queue_position = 0  # place among the held messages (0: not held)
        self.attempts = event.attempts
        self.timeouts = 0
        self.done = False
        self.uncertain_since_us = -1  # when the first attempt that may have run was sent (-1: none may have)
        self.uncertain_zone = ""  # zone of that attempt
        if event.uncertain_age_us >= 0:  # it was made by a previous process of this relay
            self.uncertain_since_us = max(0, now_us - event.uncertain_age_us)
            self.uncertain_zone = event.uncertain_zone


class Destination:
    """A partner: its endpoints, the messages held for it, and the limiter that its endpoints share."""

    def __init__(self, rate_limiter: LimiterState) -> None:
        self.rate_limiter = rate_limiter
        self.endpoints: dict[str, Endpoint] = {}
        self.next_check_us = 0  # when it is checked next; a time in the past where no check is due
        self.held: dict[str, Message] = {}  # by id, in order of ``Message.queue_position``
        # The same messages by class, worth and attempts, which their rank depends on beside the deadline.
        self.queues: dict[tuple[str, float, int], DeadlineQueue[Message]] = {}

    def hold(self, message: Message, position: int) -> None:
        """Queue a message; one that is held already keeps its position."""
        if message.queue_position:
            return
        message.queue_position, self.held[message.id] = position, message
        self.queues.setdefault(self._queue_key(message), DeadlineQueue()).add(message.deadline_us, message)

    def release(self, message: Message) -> None:
        """Remove a message from the queue if it is held."""
        if not message.queue_position:
            return
        message.queue_position = 0
        del self.held[message.id]
        queue = self.queues[key := self._queue_key(message)]
        queue.mark_removed()
        if not queue:
            del self.queues[key]

    @staticmethod
    def _queue_key(message: Message) -> tuple[str, float, int]:
        return message.cls.name, message.worth, message.attempts

    def usable_endpoints(self) -> list[Endpoint]:
        """Endpoints that the directory lists as ready and no operator has banned."""
        return [e for e in self.endpoints.values() if e.listing is Listing.READY and not e.banned]
