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

END_RETRY_US = 1_000_000  # until an end that was proposed and not committed is proposed again
HEAP_SLACK = 64  # due times of clocks that were set anew, beside as many as there are clocks


def affected_leases(command: Command, known: Iterable[str]) -> list[str]:
    """The leases that a command may have changed: the end of a session any of those that are known."""
    if isinstance(command, Close):
        return list(known)
    name = getattr(command, "lease", "")
    return [name] if name else []


@dataclass(frozen=True, slots=True)
class LeaseTimer:
    """One that runs."""

    due_us: int
    end_command: Expire | Free


class LeaseTimers:
    """All of them, by lease; the next that is due is found without a look at the others."""

    def __init__(self) -> None:
        self._timers: dict[str, LeaseTimer] = {}
        self._due_heap: list[tuple[int, str]] = []  # a heap; what is not as in ``_timers`` counts for nothing

    def begin(self, now_us: int, leases: Mapping[str, Lease]) -> None:
        """A leader is new: each has its full time again."""
        for name, lease in leases.items():
            self._start(now_us, name, lease)

    def clear(self) -> None:
        """No leader any more: they mean nothing."""
        self._timers.clear()
        self._due_heap.clear()

    def update_after(
        self, now_us: int, command: Command, answer: Answer, leases: Mapping[str, Lease]
    ) -> None:
        """Start, set anew or stop clocks after a command."""
        counts = isinstance(answer, Done) and isinstance(command, Acquire | Renew | Expire | Free)
        for name in affected_leases(command, self._timers):
            if name not in leases:
                self._timers.pop(name, None)
            elif counts:
                self._start(now_us, name, leases[name])

    def _start(self, now_us: int, name: str, lease: Lease) -> None:
        if lease.session:
            self._set_timer(
                name, LeaseTimer(now_us + lease.ttl_ms * 1000, Expire(name, lease.token, lease.beat))
            )
        else:
            self._set_timer(name, LeaseTimer(now_us + lease.delay_ms * 1000, Free(name, lease.token)))

    def _set_timer(self, name: str, clock: LeaseTimer) -> None:
        self._timers[name] = clock
        heapq.heappush(self._due_heap, (clock.due_us, name))
        if len(self._due_heap) > 2 * len(self._timers) + HEAP_SLACK:
            self._due_heap = [(item.due_us, other) for other, item in self._timers.items()]
            heapq.heapify(self._due_heap)

    def _is_stale(self, due_us: int, name: str) -> bool:
        clock = self._timers.get(name)
        return clock is None or clock.due_us != due_us

    @property
    def due_us(self) -> int | None:
        """When the next is due."""
        while self._due_heap and self._is_stale(*self._due_heap[0]):
            heapq.heappop(self._due_heap)
        return self._due_heap[0][0] if self._due_heap else None

    def pop_due(self, now_us: int) -> list[Expire | Free]:
        """The ends that are to be proposed now; each again if it does not come to the log for long."""
        found = list[Expire | Free]()
        while (due_us := self.due_us) is not None and due_us <= now_us:
            name = heapq.heappop(self._due_heap)[1]
            clock = self._timers[name]
            found.append(clock.end_command)
            self._set_timer(name, LeaseTimer(now_us + END_RETRY_US, clock.end_command))
        return found

    def remaining_us(self, now_us: int, name: str) -> int:
        """What a lease or a delay has left; 0 where no clock runs."""
        clock = self._timers.get(name)
        return max(0, clock.due_us - now_us) if clock is not None else 0
