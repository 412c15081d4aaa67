"""Simulated time, drifting clocks, an unreliable network, and disks that lose unsynced writes in a crash.

All randomness comes from one seed. This module does not depend on the services that run on it.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Generic, TypeVar

T = TypeVar("T")


class World:
    """The simulation's true time in µs, random generator and event queue."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now_us = 0
        # Heap of time in µs, sequence number, event; events of the same time run in the order of scheduling.
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence_numbers = count()
        self.events_run = 0

    def call_at(self, time_us: int, work: Callable[[], None]) -> None:
        """Schedule an event at a true time in µs; one in the past runs at the current time."""
        heapq.heappush(self._queue, (max(self.now_us, time_us), next(self._sequence_numbers), work))

    def call_later(self, delay_us: int, work: Callable[[], None]) -> None:
        """Schedule an event ``delay_us`` from now."""
        self.call_at(self.now_us + delay_us, work)

    def run_until(self, until_us: int) -> None:
        """Run all events up to and including a true time in µs, and advance the time to it."""
        while self._queue and self._queue[0][0] <= until_us:
            self.now_us, _, work = heapq.heappop(self._queue)
            self.events_run += 1
            work()
        self.now_us = until_us


@dataclass(frozen=True, slots=True)
class SimClock:
    """A monotonic clock with an arbitrary start value and a rate that differs from true time."""

    world: World
    rate: float  # clock seconds per true second
    offset_us: int  # reading at true time 0

    def now_us(self) -> int:
        """Return the clock's current reading in µs."""
        return self.offset_us + int(self.world.now_us * self.rate)

    def true_time_us(self, reading_us: int) -> int:
        """Return the first true time in µs at which the clock has reached a reading."""
        return int((reading_us - self.offset_us) / self.rate) + 1


@dataclass(slots=True)
class NetworkConditions:
    """Loss, duplication and delay of messages; rates are shares of messages, from 0 to 1."""

    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    late_rate: float = 0.0  # messages that are delayed so much that later ones overtake them
    min_delay_us: int = 200
    max_delay_us: int = 3_000
    max_extra_delay_us: int = 400_000  # added to the delay of a late message, at most


class Network(Generic[T]):
    """Delivers messages between names; they can be lost, duplicated, delayed, or cut off in one direction."""

    def __init__(self, world: World, deliver: Callable[[str, str, T], None]) -> None:
        self._world, self._deliver = world, deliver
        self.conditions = NetworkConditions()
        self.cut_links: set[tuple[str, str]] = set()  # sender and receiver; each cuts one direction

    def send(self, sender: str, to: str, message: T) -> None:
        """Send a message; one on its way when its link is cut is lost as well."""
        random, conditions = self._world.random, self.conditions
        if (sender, to) in self.cut_links or random.random() < conditions.loss_rate:
            return
        for _ in range(2 if random.random() < conditions.duplicate_rate else 1):
            delay_us = random.randint(conditions.min_delay_us, conditions.max_delay_us)
            if random.random() < conditions.late_rate:
                delay_us += random.randint(0, conditions.max_extra_delay_us)
            self._world.call_later(delay_us, lambda: self._deliver_unless_cut(sender, to, message))

    def _deliver_unless_cut(self, sender: str, to: str, message: T) -> None:
        if (sender, to) not in self.cut_links:
            self._deliver(sender, to, message)


@dataclass(slots=True)
class SimDisk(Generic[T]):
    """Ordered writes: durable ones, then pending ones, of which a machine crash may lose any suffix."""

    durable: list[T] = field(default_factory=list)
    pending: list[T] = field(default_factory=list)

    def write(self, item: T) -> None:
        """Add a write, which is not durable yet."""
        self.pending.append(item)

    def mark_durable(self, is_covered: Callable[[T], bool]) -> None:
        """Make pending writes durable, from the oldest up to the first that the sync does not cover."""
        while self.pending and is_covered(self.pending[0]):
            self.durable.append(self.pending.pop(0))

    def crash(self, random: Random) -> None:
        """Crash the machine: a random number of the oldest pending writes survive, the rest are lost."""
        survivors = random.randint(0, len(self.pending))
        self.durable += self.pending[:survivors]
        self.pending.clear()
