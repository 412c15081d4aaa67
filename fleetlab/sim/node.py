"""A simulated process around a core that takes time and messages and hands back what is to be done."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial
from typing import Any, Generic, Protocol, TypeVar

from fleetlab.sim.world import SimClock, World

MAX_CLOCK_OFFSET_US = 10**9  # at the most, at which a monotonic clock begins


class Core(Protocol):
    """A core that runs by itself: when it wants to be woken, and what it does then."""

    @property
    def due_us(self) -> int:
        """When it is to be woken, by its own clock."""

    def wake(self, now_us: int) -> list[Any]:
        """What it does at that time."""


CoreT = TypeVar("CoreT", bound=Core)


class SimNode(ABC, Generic[CoreT]):
    """One process after another under one name: started anew, woken when due, stalled, or ended."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.core: CoreT | None = None
        self.generation = 0  # of starts, from 1
        self.stalled_until_us = 0
        self._scheduled_wake_us = -1  # by its clock, at which it will be woken; none is set below 0

    @abstractmethod
    def draw_clock_rate(self) -> float:
        """How fast the clock of a new life goes; 1 is true time."""

    @abstractmethod
    def create_core(self) -> CoreT:
        """The core of a new life, whose clock is set."""

    @abstractmethod
    def execute_actions(self, actions: list[Any]) -> None:
        """Do what the core asked for after a step; it may end this life."""

    def start(self) -> None:
        """A new life, unless one is on. Its clock is another one: monotonic time may begin anew."""
        if self.core is not None:
            return
        self.generation += 1
        self.clock = SimClock(
            self.world, self.draw_clock_rate(), self.world.random.randint(0, MAX_CLOCK_OFFSET_US)
        )
        self.core = self.create_core()
        self._schedule_wake(self.core)

    def run_step(self, step: Callable[[CoreT, int], list[Any]]) -> None:
        """One step of the core and what follows from it; while stalled, what comes waits in its sockets."""
        if self.core is None:
            return
        if self.stalled_until_us > self.world.now_us:
            self.world.call_at(self.stalled_until_us, partial(self._run_step_in, self.generation, step))
            return
        self.execute_actions(step(self.core, self.clock.now_us()))
        if self.core is not None:
            self._schedule_wake(self.core)

    def _run_step_in(self, generation: int, step: Callable[[CoreT, int], list[Any]]) -> None:
        """A step that only the given life takes."""
        if generation == self.generation:
            self.run_step(step)

    def _schedule_wake(self, core: CoreT) -> None:
        due_us = core.due_us
        if due_us != self._scheduled_wake_us:
            self._scheduled_wake_us = due_us
            self.world.call_at(self.clock.true_time_us(due_us), partial(self._wake, self.generation, due_us))

    def _wake(self, generation: int, due_us: int) -> None:
        if self.core is not None and generation == self.generation and due_us == self._scheduled_wake_us:
            self._scheduled_wake_us = -1
            self.run_step(lambda core, now_us: core.wake(now_us))
