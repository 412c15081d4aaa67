"""A queue of held messages that yields them by rank without computing the rank of each.

Messages of one class, worth and number of attempts differ in their deadlines alone. At any moment their score
rises or falls with the deadline between a few deadlines at which the formula changes. So of a list sorted by
deadline only both ends of each such range must be looked at, however many messages there are. The formula
itself is in ``decisions/engine.py``.
"""

from __future__ import annotations

import heapq
import math
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterable, Iterator
from itertools import pairwise
from operator import itemgetter
from typing import Generic, Protocol, TypeVar

COMPACTION_DIVISOR = 4  # a list is compacted once more than one in so many of its entries is stale


class QueuedMessage(Protocol):
    """What a queue needs to know of a message."""

    queue_position: int  # place among the held messages; 0 while it is not held


MessageT = TypeVar("MessageT", bound=QueuedMessage)
RankedMessage = tuple[float, int, MessageT]  # rank, queue position, message: the lowest goes first


class DeadlineQueue(Generic[MessageT]):
    """Messages that differ in their deadlines alone; entries of removed messages are dropped lazily."""

    def __init__(self) -> None:
        self._entries: list[tuple[int, int, MessageT]] = []  # sorted by deadline, then queue position
        self._stale_count = 0  # entries whose message was removed

    def __len__(self) -> int:
        return len(self._entries) - self._stale_count

    def add(self, deadline_us: int, message: MessageT) -> None:
        """Add a message that has been given its queue position."""
        insort(self._entries, (deadline_us, message.queue_position, message))

    def mark_removed(self) -> None:
        """Note that one of the messages was removed; its queue position has been reset to 0 before."""
        self._stale_count += 1
        if COMPACTION_DIVISOR * self._stale_count > len(self._entries):
            self._compact()

    def _compact(self) -> None:
        if self._stale_count:
            self._entries = [entry for entry in self._entries if entry[2].queue_position == entry[1]]
            self._stale_count = 0

    def any_message(self) -> MessageT:
        """One of the messages, for what all of them share."""
        return next(message for _, position, message in self._entries if message.queue_position == position)

    def due_by(self, deadline_us: float) -> list[MessageT]:
        """The messages with a deadline up to and including this one."""
        entries = self._entries[: bisect_right(self._entries, (deadline_us, math.inf))]
        return [message for _, position, message in entries if message.queue_position == position]

    def ranked(
        self, breakpoints: Iterable[float], rank: Callable[[MessageT], float]
    ) -> Iterator[RankedMessage[MessageT]]:
        """Every message, the lowest rank first; among equal ranks the first queue position first.

        ``breakpoints`` are the deadlines between which ``rank`` only rises, only falls, or stays the same.
        The iterator shows the queue as it is now: later additions and removals do not appear in it.
        """
        self._compact()
        entries = self._entries
        edges = {0, len(entries)}
        for deadline_us in breakpoints:
            edges |= {bisect_left(entries, (deadline_us,)), bisect_right(entries, (deadline_us, math.inf))}
        segments = [entries[start:stop] for start, stop in pairwise(sorted(edges))]
        return heapq.merge(*(self._ranked_segment(segment, rank) for segment in segments))

    def _ranked_segment(
        self, entries: list[tuple[int, int, MessageT]], rank: Callable[[MessageT], float]
    ) -> Iterator[RankedMessage[MessageT]]:
        """The entries between two breakpoints by rank."""
        first, last = rank(entries[0][2]), rank(entries[-1][2])
        if first == last:
            ordered: Iterable[tuple[int, int, MessageT]] = sorted(entries, key=itemgetter(1))
        elif first < last:
            ordered = entries
        else:  # the sort is stable: among equal deadlines the first queue position stays first
            ordered = sorted(entries, key=itemgetter(0), reverse=True)
        for _, position, message in ordered:
            yield rank(message), position, message
