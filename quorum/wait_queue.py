"""A bounded set of first-in, first-out queues of requests by name, each request with a deadline. No I/O."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True)
class Waiter(Generic[T]):
    """A waiting request; ``tag`` identifies it to whoever answers it, ``deadline_us`` ends its wait."""

    tag: int
    name: str
    request: T
    deadline_us: int


class WaitQueue(Generic[T]):
    """Waiting requests by name, in order of arrival.

    A request is removed by its tag alone; its places in the queues and in the heap of deadlines become stale
    and are dropped when they come up.
    """

    def __init__(self, max_waiters: int) -> None:
        self._max_waiters = max_waiters
        self._by_tag: dict[int, Waiter[T]] = {}
        self._queues: dict[str, deque[Waiter[T]]] = {}  # stale where the tag is not in ``_by_tag``
        self._deadlines: list[tuple[int, int]] = []  # a heap of (deadline_us, tag), likewise stale

    def __len__(self) -> int:
        return len(self._by_tag)

    def __contains__(self, name: str) -> bool:
        return self._first_waiter(name) is not None

    def count(self, name: str) -> int:
        """Return how many requests wait for ``name``."""
        return sum(waiter.tag in self._by_tag for waiter in self._queues.get(name, ()))

    @property
    def names(self) -> list[str]:
        """The names for which requests may be waiting."""
        return list(self._queues)

    def add(self, tag: int, name: str, request: T, deadline_us: int) -> bool:
        """Add a request at the end of its queue; returns False if there is no room."""
        if len(self._by_tag) >= self._max_waiters:
            return False
        waiter = self._by_tag[tag] = Waiter(tag, name, request, deadline_us)
        self._queues.setdefault(name, deque()).append(waiter)
        heapq.heappush(self._deadlines, (deadline_us, tag))
        return True

    def remove(self, tag: int) -> None:
        """Remove a request if it is still waiting."""
        waiter = self._by_tag.pop(tag, None)
        if waiter is not None:
            self._first_waiter(waiter.name)
            if 2 * len(self._by_tag) < len(self._deadlines):  # mostly stale: rebuild, which bounds the memory
                self._deadlines = [(waiting.deadline_us, waiting.tag) for waiting in self._by_tag.values()]
                heapq.heapify(self._deadlines)
                self._queues = {
                    name: remaining
                    for name, queue in self._queues.items()
                    if (remaining := deque(waiting for waiting in queue if waiting.tag in self._by_tag))
                }

    def _first_waiter(self, name: str) -> Waiter[T] | None:
        queue = self._queues.get(name)
        while queue and queue[0].tag not in self._by_tag:
            queue.popleft()
        if not queue:
            self._queues.pop(name, None)
            return None
        return queue[0]

    def pop(self, name: str) -> Waiter[T] | None:
        """Remove and return the request that has waited longest for ``name``, if any."""
        waiter = self._first_waiter(name)
        if waiter is not None:
            self.remove(waiter.tag)
        return waiter

    def pop_all(self, name: str) -> list[Waiter[T]]:
        """Remove and return all requests that wait for ``name``, in order."""
        waiters = list[Waiter[T]]()
        while (waiter := self.pop(name)) is not None:
            waiters.append(waiter)
        return waiters

    @property
    def due_us(self) -> int | None:
        """The earliest deadline; None if no request waits."""
        while self._deadlines and self._deadlines[0][1] not in self._by_tag:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def pop_expired(self, now_us: int) -> list[Waiter[T]]:
        """Remove and return the requests whose deadline has passed."""
        expired = list[Waiter[T]]()
        while (due_us := self.due_us) is not None and due_us <= now_us:
            expired.append(self._by_tag[self._deadlines[0][1]])
            self.remove(expired[-1].tag)
        return expired

    def pop_everything(self) -> list[Waiter[T]]:
        """Remove and return all requests, in order of arrival."""
        waiters = list(self._by_tag.values())
        self._by_tag.clear()
        self._queues.clear()
        self._deadlines.clear()
        return waiters
