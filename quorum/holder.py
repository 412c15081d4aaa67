"""The holder's view of a lease, and the fence of a resource that does not rely on it. No I/O.

The holder counts its lease on its own monotonic clock from before its request was sent, and shortens it by a
stated bound on how far two clocks may drift apart. So it ends before the leader's own count, which begins
later (Gray and Cheriton 1989). The fence protects the resource where even that fails (Chubby, Burrows 2006,
2.4: sequencers).
"""

from __future__ import annotations

from dataclasses import dataclass

# Fraction of a lease's time after which it is renewed, so that two lost renewals leave time for a third.
RENEW_FRACTION = 1 / 3


@dataclass(frozen=True, slots=True)
class TimingBounds:
    """Assumptions and margins for a holder's clock."""

    max_drift: float = 0.01  # greatest relative error of this clock's rate, and of the leader's
    stop_notice_us: int = 50_000  # how long before the end of the lease a task is told to stop


class RequestTiming:
    """The sending time of a request that may be repeated under one sequence number.

    A lease counts from the first attempt: it may have been the one that took effect while its answer was
    lost, and a repeat only brings the same answer again.
    """

    def __init__(self) -> None:
        self._first_sent_us: int | None = None

    def record_sent(self, now_us: int) -> None:
        """Note that the request is sent, for the first time or again."""
        if self._first_sent_us is None:
            self._first_sent_us = now_us

    @property
    def lease_start_us(self) -> int:
        """The time from which a lease that the request brings has to be counted."""
        assert self._first_sent_us is not None
        return self._first_sent_us


class HeldLease:
    """One lease as its holder counts it. All times are on the holder's own clock."""

    def __init__(self, ttl_us: int, bounds: TimingBounds) -> None:
        self._ttl_us, self._bounds = ttl_us, bounds
        self.token = 0
        self._end_us = 0
        self._ended = True

    def _lease_end_us(self, sent_us: int, heard_us: int) -> int:
        """Return when a lease ends that was granted or renewed by a request sent at ``sent_us``.

        It counts from the sending, because when the leader applied the request is not known. The drift counts
        twice, for the holder's clock and for the leader's.
        """
        return sent_us + int(self._ttl_us * (1 - 2 * self._bounds.max_drift))

    def granted(self, sent_us: int, heard_us: int, token: int) -> bool:
        """Start a granted lease; returns False if no time is left to act under it."""
        end_us = self._lease_end_us(sent_us, heard_us)
        if heard_us >= end_us - self._bounds.stop_notice_us:
            return False
        self.token, self._end_us, self._ended = token, end_us, False
        return True

    def renewed(self, sent_us: int, heard_us: int, token: int) -> bool:
        """Extend the lease; returns False, changing nothing, if the answer comes after the lease's end."""
        if self._is_late(heard_us) or token != self.token:
            return False
        self._end_us = max(self._end_us, self._lease_end_us(sent_us, heard_us))
        return True

    def _is_late(self, now_us: int) -> bool:
        return not self.may_act(now_us)

    def lost(self) -> None:
        """End the lease because it was released or is held by another."""
        self._ended = True

    @property
    def end_us(self) -> int:
        """The time from which the task must not act any more."""
        return self._end_us

    @property
    def stop_us(self) -> int:
        """The time at which the task is told to stop."""
        return self._end_us - self._bounds.stop_notice_us

    @property
    def renew_us(self) -> int:
        """The time at which the lease is to be renewed."""
        return self._end_us - int(self._ttl_us * (1 - RENEW_FRACTION))

    def may_act(self, now_us: int) -> bool:
        """Whether the task may begin an action now."""
        if not self._ended and now_us >= self._end_us:
            self._ended = True  # for good: a process that was paused past the end must not resume the lease
        return not self._ended


class Fence:
    """The check of a fenced resource: it rejects tokens below the highest one seen."""

    def __init__(self, highest: int = 0) -> None:
        self.highest = highest

    def admits(self, token: int) -> bool:
        """Whether an action under ``token`` is admitted; from then on all lower tokens are rejected."""
        if token < self.highest:
            return False
        self.highest = token
        return True
