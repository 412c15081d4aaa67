"""Held messages by what ranks them alike, so that the best one is found without a look at each.

Messages of one class, worth and number of attempts differ in their deadlines alone. What one of them scores
at a moment rises or falls with its deadline between a few deadlines at which the formula changes. So a sorted
list needs a look at both ends of each such stretch, however many messages there are. The formula is the
business of ``decisions/engine.py``.
"""

from __future__ import annotations

import heapq
import math
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterable, Iterator
from itertools import pairwise
from operator import itemgetter
from typing import Generic, Protocol, TypeVar

COMPACTION_DIVISOR = 4  # a list is cleared once more than one in so many of its entries is over


class QueuedMessage(Protocol):
    """A message as a lane sees it."""

    order: int  # the place in the line of those held; 0 while it is not held


M = TypeVar("M", bound=QueuedMessage)
RankedMessage = tuple[float, int, M]  # rank, place in the line, message: the least goes first


class DeadlineQueue(Generic[M]):
    """Messages that differ in their deadlines alone; what left the line stays in the list for a while."""

    def __init__(self) -> None:
        self._entries: list[tuple[int, int, M]] = []  # by deadline, then place in the line
        self._stale_count = 0  # of them, those whose message has left

    def __len__(self) -> int:
        return len(self._entries) - self._stale_count

    def add(self, deadline_us: int, message: M) -> None:
        """Take in a message that has its place in the line."""
        insort(self._entries, (deadline_us, message.order, message))

    def mark_removed(self) -> None:
        """One of the messages has left the line; it lost its place."""
        self._stale_count += 1
        if COMPACTION_DIVISOR * self._stale_count > len(self._entries):
            self._compact()

    def _compact(self) -> None:
        if self._stale_count:
            self._entries = [entry for entry in self._entries if entry[2].order == entry[1]]
            self._stale_count = 0

    def any_message(self) -> M:
        """Any of the messages, for what they share."""
        return next(message for _, order, message in self._entries if message.order == order)

    def due_by(self, deadline_us: float) -> list[M]:
        """The messages with a deadline by then."""
        entries = self._entries[: bisect_right(self._entries, (deadline_us, math.inf))]
        return [message for _, order, message in entries if message.order == order]

    def ranked(self, cuts: Iterable[float], rank: Callable[[M], float]) -> Iterator[RankedMessage[M]]:
        """Every message, the least rank first; of those that rank alike the first in the line.

        ``cuts`` are the deadlines between which ``rank`` only rises, only falls, or stays. It tells the line
        as it is now: what is added or leaves while it is read does not show.
        """
        self._compact()
        entries = self._entries
        edges = {0, len(entries)}
        for cut in cuts:
            edges |= {bisect_left(entries, (cut,)), bisect_right(entries, (cut, math.inf))}
        stretches = [entries[start:stop] for start, stop in pairwise(sorted(edges))]
        return heapq.merge(*(self._ranked_segment(stretch, rank) for stretch in stretches))

    def _ranked_segment(
        self, entries: list[tuple[int, int, M]], rank: Callable[[M], float]
    ) -> Iterator[RankedMessage[M]]:
        first, last = rank(entries[0][2]), rank(entries[-1][2])
        if first == last:
            ordered: Iterable[tuple[int, int, M]] = sorted(entries, key=itemgetter(1))
        elif first < last:
            ordered = entries
        else:  # of equal deadlines the first in the line is still the first
            ordered = sorted(entries, key=itemgetter(0), reverse=True)
        for _, order, message in ordered:
            yield rank(message), order, message
