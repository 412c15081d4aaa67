"""A leader's clocks: when each lease, and each delay after an unclean end, has had its time. Pure.

A lease's time runs on the leader's monotonic clock from when its grant or renewal is applied, which is later
than the holder counts from. A new leader cannot know how much had passed, so it gives every lease, and every
delay, its full time again (Gray and Cheriton 1989, after a server's restart).
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from quorum.state_machine import Acquire, Answer, Close, Command, Done, Expire, Free, Lease, Renew

RETRY_US = 1_000_000  # until an end that was proposed and not committed is proposed again
SLACK = 64  # due times of clocks that were set anew, beside as many as there are clocks


def touched(command: Command, known: Iterable[str]) -> list[str]:
    """The leases that a command may have changed: the end of a session any of those that are known."""
    if isinstance(command, Close):
        return list(known)
    name = getattr(command, "lease", "")
    return [name] if name else []


@dataclass(frozen=True, slots=True)
class Clock:
    """One that runs."""

    due_us: int
    end: Expire | Free


class LeaseTimers:
    """All of them, by lease; the next that is due is found without a look at the others."""

    def __init__(self) -> None:
        self._running: dict[str, Clock] = {}
        self._due: list[tuple[int, str]] = []  # a heap; what is not as in ``_running`` counts for nothing

    def begin(self, now_us: int, leases: Mapping[str, Lease]) -> None:
        """A leader is new: each has its full time again."""
        for name, lease in leases.items():
            self._start(now_us, name, lease)

    def clear(self) -> None:
        """No leader any more: they mean nothing."""
        self._running.clear()
        self._due.clear()

    def update_after(
        self, now_us: int, command: Command, answer: Answer, leases: Mapping[str, Lease]
    ) -> None:
        """Start, set anew or stop clocks after a command."""
        counts = isinstance(answer, Done) and isinstance(command, Acquire | Renew | Expire | Free)
        for name in touched(command, self._running):
            if name not in leases:
                self._running.pop(name, None)
            elif counts:
                self._start(now_us, name, leases[name])

    def _start(self, now_us: int, name: str, lease: Lease) -> None:
        if lease.session:
            self._set(name, Clock(now_us + lease.ttl_ms * 1000, Expire(name, lease.token, lease.beat)))
        else:
            self._set(name, Clock(now_us + lease.delay_ms * 1000, Free(name, lease.token)))

    def _set(self, name: str, clock: Clock) -> None:
        self._running[name] = clock
        heapq.heappush(self._due, (clock.due_us, name))
        if len(self._due) > 2 * len(self._running) + SLACK:
            self._due = [(item.due_us, other) for other, item in self._running.items()]
            heapq.heapify(self._due)

    def _stale(self, due_us: int, name: str) -> bool:
        clock = self._running.get(name)
        return clock is None or clock.due_us != due_us

    @property
    def due_us(self) -> int | None:
        """When the next is due."""
        while self._due and self._stale(*self._due[0]):
            heapq.heappop(self._due)
        return self._due[0][0] if self._due else None

    def pop_due(self, now_us: int) -> list[Expire | Free]:
        """The ends that are to be proposed now; each again if it does not come to the log for long."""
        found = list[Expire | Free]()
        while (due_us := self.due_us) is not None and due_us <= now_us:
            name = heapq.heappop(self._due)[1]
            clock = self._running[name]
            found.append(clock.end)
            self._set(name, Clock(now_us + RETRY_US, clock.end))
        return found

    def remaining_us(self, now_us: int, name: str) -> int:
        """What a lease or a delay has left; 0 where no clock runs."""
        clock = self._running.get(name)
        return max(0, clock.due_us - now_us) if clock is not None else 0
