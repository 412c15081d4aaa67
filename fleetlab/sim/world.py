"""Simulated time, clocks that drift, a network that misbehaves, and disks that lose what was not synced.

Everything follows from one seed; nothing here knows what runs on it.
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
    """True time, in microseconds, and what is to happen in it."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now_us = 0
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence_numbers = count()
        self.events_run = 0

    def call_at(self, time_us: int, work: Callable[[], None]) -> None:
        """Something that happens then, or now where that has passed."""
        heapq.heappush(self._queue, (max(self.now_us, time_us), next(self._sequence_numbers), work))

    def call_later(self, delay_us: int, work: Callable[[], None]) -> None:
        """Something that happens so much later."""
        self.call_at(self.now_us + delay_us, work)

    def run_until(self, until_us: int) -> None:
        """Let all happen up to a time."""
        while self._queue and self._queue[0][0] <= until_us:
            self.now_us, _, work = heapq.heappop(self._queue)
            self.events_run += 1
            work()
        self.now_us = until_us


@dataclass(frozen=True, slots=True)
class SimClock:
    """A monotonic clock: begins anywhere, and goes a little too fast or too slow."""

    world: World
    rate: float
    offset_us: int

    def now_us(self) -> int:
        """What it shows."""
        return self.offset_us + int(self.world.now_us * self.rate)

    def true_time_us(self, shown_us: int) -> int:
        """When it shows that."""
        return int((shown_us - self.offset_us) / self.rate) + 1


@dataclass(slots=True)
class NetworkConditions:
    """How the network is."""

    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    late_rate: float = 0.0  # share of messages that come much later, behind others
    min_delay_us: int = 200
    max_delay_us: int = 3_000
    max_extra_delay_us: int = 400_000


class Network(Generic[T]):
    """Messages between names: lost, doubled, late, or kept from passing in one direction."""

    def __init__(self, world: World, deliver: Callable[[str, str, T], None]) -> None:
        self._world, self._deliver = world, deliver
        self.conditions = NetworkConditions()
        self.cut_links: set[tuple[str, str]] = set()

    def send(self, sender: str, to: str, message: T) -> None:
        """A message on its way."""
        random, weather = self._world.random, self.conditions
        if (sender, to) in self.cut_links or random.random() < weather.loss_rate:
            return
        for _ in range(2 if random.random() < weather.duplicate_rate else 1):
            delay_us = random.randint(weather.min_delay_us, weather.max_delay_us)
            if random.random() < weather.late_rate:
                delay_us += random.randint(0, weather.max_extra_delay_us)
            self._world.call_later(delay_us, lambda: self._deliver_unless_cut(sender, to, message))

    def _deliver_unless_cut(self, sender: str, to: str, message: T) -> None:
        if (sender, to) not in self.cut_links:
            self._deliver(sender, to, message)


@dataclass(slots=True)
class SimDisk(Generic[T]):
    """Writes in order: durable ones, and ones that a crash of the machine may lose from some point on."""

    durable: list[T] = field(default_factory=list)
    pending: list[T] = field(default_factory=list)

    def write(self, item: T) -> None:
        """A write that is not durable yet."""
        self.pending.append(item)

    def mark_durable(self, upto: Callable[[T], bool]) -> None:
        """Writes at the front that a sync covers become durable."""
        while self.pending and upto(self.pending[0]):
            self.durable.append(self.pending.pop(0))

    def crash(self, random: Random) -> None:
        """The machine goes down: some of what was not synced is there all the same, the rest is gone."""
        kept = random.randint(0, len(self.pending))
        self.durable += self.pending[:kept]
        self.pending.clear()
