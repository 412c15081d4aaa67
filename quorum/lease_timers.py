"""The leader's timers for leases and for the delays after their expiry. No I/O.

A lease's time runs on the leader's monotonic clock from when its grant or renewal is applied, which is later
than the time from which the holder counts. A new leader cannot know how much time had passed, so it restarts
every lease and every delay with its full time (Gray and Cheriton 1989, after a server's restart).
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from quorum.state_machine import Acquire, Answer, Close, Command, Done, Expire, Free, Lease, Renew

END_RETRY_US = 1_000_000  # after which a proposed end that was not committed is proposed again
HEAP_SLACK = 64  # the heap is rebuilt once its stale items outnumber the timers by this many


def affected_leases(command: Command, known: Iterable[str]) -> list[str]:
    """Return the leases that a command may have changed; for the end of a session, all ``known`` ones."""
    if isinstance(command, Close):
        return list(known)
    name = getattr(command, "lease", "")
    return [name] if name else []


@dataclass(frozen=True, slots=True)
class LeaseTimer:
    """A running timer and the command to propose when it is due."""

    due_us: int
    end_command: Expire | Free


class LeaseTimers:
    """All timers by lease name; a heap gives the next one due without a scan."""

    def __init__(self) -> None:
        self._timers: dict[str, LeaseTimer] = {}
        self._due_heap: list[tuple[int, str]] = []  # (due_us, lease); stale unless ``_timers`` agrees

    def begin(self, now_us: int, leases: Mapping[str, Lease]) -> None:
        """Start a timer with the full time for each lease, as a new leader."""
        for name, lease in leases.items():
            self._start(now_us, name, lease)

    def clear(self) -> None:
        """Stop all timers, as this member no longer leads."""
        self._timers.clear()
        self._due_heap.clear()

    def update_after(
        self, now_us: int, command: Command, answer: Answer, leases: Mapping[str, Lease]
    ) -> None:
        """Start, restart or stop timers after a command was applied."""
        restarts = isinstance(answer, Done) and isinstance(command, Acquire | Renew | Expire | Free)
        for name in affected_leases(command, self._timers):
            if name not in leases:
                self._timers.pop(name, None)
            elif restarts:
                self._start(now_us, name, leases[name])

    def _start(self, now_us: int, name: str, lease: Lease) -> None:
        if lease.session:
            self._set_timer(
                name, LeaseTimer(now_us + lease.ttl_ms * 1000, Expire(name, lease.token, lease.beat))
            )
        else:
            self._set_timer(name, LeaseTimer(now_us + lease.delay_ms * 1000, Free(name, lease.token)))

    def _set_timer(self, name: str, timer: LeaseTimer) -> None:
        self._timers[name] = timer
        heapq.heappush(self._due_heap, (timer.due_us, name))
        if len(self._due_heap) > 2 * len(self._timers) + HEAP_SLACK:
            self._due_heap = [(running.due_us, other) for other, running in self._timers.items()]
            heapq.heapify(self._due_heap)

    def _is_stale(self, due_us: int, name: str) -> bool:
        timer = self._timers.get(name)
        return timer is None or timer.due_us != due_us

    @property
    def due_us(self) -> int | None:
        """When the next timer is due; None if none runs."""
        while self._due_heap and self._is_stale(*self._due_heap[0]):
            heapq.heappop(self._due_heap)
        return self._due_heap[0][0] if self._due_heap else None

    def pop_due(self, now_us: int) -> list[Expire | Free]:
        """Return the commands that are due, each again every ``END_RETRY_US`` until it is committed."""
        commands = list[Expire | Free]()
        while (due_us := self.due_us) is not None and due_us <= now_us:
            name = heapq.heappop(self._due_heap)[1]
            timer = self._timers[name]
            commands.append(timer.end_command)
            self._set_timer(name, LeaseTimer(now_us + END_RETRY_US, timer.end_command))
        return commands

    def remaining_us(self, now_us: int, name: str) -> int:
        """Return the microseconds left of a lease or its delay; 0 if no timer runs."""
        timer = self._timers.get(name)
        return max(0, timer.due_us - now_us) if timer is not None else 0
