"""Requests that wait for something by name, in turn, each until its time; bounded, and pure."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True)
class Waiter(Generic[T]):
    """One request; ``tag`` is what it is answered by."""

    tag: int
    name: str
    request: T
    deadline_us: int


class WaitQueue(Generic[T]):
    """All of them."""

    def __init__(self, most: int) -> None:
        self._max_waiters = most
        self._by_tag: dict[int, Waiter[T]] = {}
        self._queues: dict[str, deque[Waiter[T]]] = {}  # those whose tag is gone count for nothing
        self._deadlines: list[tuple[int, int]] = []  # a heap of time and tag, likewise

    def __len__(self) -> int:
        return len(self._by_tag)

    def __contains__(self, name: str) -> bool:
        return self._first_waiter(name) is not None

    def count(self, name: str) -> int:
        """How many wait for that name."""
        return sum(item.tag in self._by_tag for item in self._queues.get(name, ()))

    @property
    def names(self) -> list[str]:
        """What is waited for."""
        return list(self._queues)

    def add(self, tag: int, name: str, request: T, deadline_us: int) -> bool:
        """One more, behind all others; False where there are too many."""
        if len(self._by_tag) >= self._max_waiters:
            return False
        waiter = self._by_tag[tag] = Waiter(tag, name, request, deadline_us)
        self._queues.setdefault(name, deque()).append(waiter)
        heapq.heappush(self._deadlines, (deadline_us, tag))
        return True

    def remove(self, tag: int) -> None:
        """Its asker has gone."""
        waiter = self._by_tag.pop(tag, None)
        if waiter is not None:
            self._first_waiter(waiter.name)
            if 2 * len(self._by_tag) < len(self._deadlines):
                self._deadlines = [(item.deadline_us, item.tag) for item in self._by_tag.values()]
                heapq.heapify(self._deadlines)
                self._queues = {
                    name: kept
                    for name, queue in self._queues.items()
                    if (kept := deque(item for item in queue if item.tag in self._by_tag))
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
        """The one that has waited longest for that name."""
        waiter = self._first_waiter(name)
        if waiter is not None:
            self.remove(waiter.tag)
        return waiter

    def pop_all(self, name: str) -> list[Waiter[T]]:
        """All that wait for that name."""
        found = list[Waiter[T]]()
        while (waiter := self.pop(name)) is not None:
            found.append(waiter)
        return found

    @property
    def due_us(self) -> int | None:
        """When the next one's time is up."""
        while self._deadlines and self._deadlines[0][1] not in self._by_tag:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def pop_expired(self, now_us: int) -> list[Waiter[T]]:
        """Those whose time is up."""
        found = list[Waiter[T]]()
        while (due_us := self.due_us) is not None and due_us <= now_us:
            found.append(self._by_tag[self._deadlines[0][1]])
            self.remove(found[-1].tag)
        return found

    def pop_everything(self) -> list[Waiter[T]]:
        """All of them, in the order in which they came."""
        found = list(self._by_tag.values())
        self._by_tag.clear()
        self._queues.clear()
        self._deadlines.clear()
        return found
