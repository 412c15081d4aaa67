"""The holder's side of a lease, and the fenced resource that does not trust it. Pure: time is an argument.

The holder counts its lease from before its request was sent, on its own monotonic clock, less a stated bound
on how far two clocks may drift apart: so it always ends before the leader's own count, which begins later
(Gray and Cheriton 1989). The fence holds where even that fails (Chubby, Burrows 2006, 2.4: sequencers).
"""

from __future__ import annotations

from dataclasses import dataclass

RENEW_FRACTION = 1 / 3  # of the time: when a lease is renewed, so that two losses leave room for a third try


@dataclass(frozen=True, slots=True)
class TimingBounds:
    """What a holder relies on."""

    max_drift: float = 0.01  # by which a second here may be longer or shorter than one at a leader
    stop_notice_us: int = 50_000  # that a task is told before it must have stopped


class RequestTiming:
    """One request with all its repeats, as a session sends them under one number.

    A lease counts from the first of them: whichever was done, its answer may be the one that was lost, and a
    repeat only brings that same answer again.
    """

    def __init__(self) -> None:
        self._first_sent_us: int | None = None

    def record_sent(self, now_us: int) -> None:
        """It is sent, once more or for the first time."""
        if self._first_sent_us is None:
            self._first_sent_us = now_us

    @property
    def lease_start_us(self) -> int:
        """From when on what it brings may be counted."""
        assert self._first_sent_us is not None
        return self._first_sent_us


class HeldLease:
    """One lease as its holder sees it."""

    def __init__(self, ttl_us: int, bounds: TimingBounds) -> None:
        self._ttl_us, self._bounds = ttl_us, bounds
        self.token = 0
        self._end_us = 0
        self._ended = True

    def _lease_end_us(self, sent_us: int, heard_us: int) -> int:
        """Until when an answer to a request of then lets act: nothing after the sending is known."""
        return sent_us + int(self._ttl_us * (1 - 2 * self._bounds.max_drift))

    def granted(self, sent_us: int, heard_us: int, token: int) -> bool:
        """A grant to a request that was sent at a time; whether there is time left to act in."""
        until_us = self._lease_end_us(sent_us, heard_us)
        if heard_us >= until_us - self._bounds.stop_notice_us:
            return False
        self.token, self._end_us, self._ended = token, until_us, False
        return True

    def renewed(self, sent_us: int, heard_us: int, token: int) -> bool:
        """A renewal; one that comes after the lease was to end here changes nothing, whatever it says."""
        if self._is_late(heard_us) or token != self.token:
            return False
        self._end_us = max(self._end_us, self._lease_end_us(sent_us, heard_us))
        return True

    def _is_late(self, now_us: int) -> bool:
        return not self.may_act(now_us)

    def lost(self) -> None:
        """The lease has passed on, or was given back."""
        self._ended = True

    @property
    def end_us(self) -> int:
        """When nothing may be done any more."""
        return self._end_us

    @property
    def stop_us(self) -> int:
        """When the task is told to stop."""
        return self._end_us - self._bounds.stop_notice_us

    @property
    def renew_us(self) -> int:
        """When to renew."""
        return self._end_us - int(self._ttl_us * (1 - RENEW_FRACTION))

    def may_act(self, now_us: int) -> bool:
        """Whether an act that is begun now is covered."""
        if not self._ended and now_us >= self._end_us:
            self._ended = True  # and stays so: what was paused past its end does not come back to life
        return not self._ended


class Fence:
    """The rule of a fenced resource: no token below the highest that was seen."""

    def __init__(self, highest: int = 0) -> None:
        self.highest = highest

    def admits(self, token: int) -> bool:
        """Whether an act under that token is let through; it shuts out all older ones."""
        if token < self.highest:
            return False
        self.highest = token
        return True
