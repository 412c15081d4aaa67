"""A simulated process that runs the steps of a service's core and executes the actions that they return."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial
from typing import Any, Generic, Protocol, TypeVar

from fleetlab.sim.world import SimClock, World

MAX_CLOCK_OFFSET_US = 10**9  # largest initial reading of a monotonic clock, about 17 minutes


class Core(Protocol):
    """What a simulated process needs of a core: when to wake it, and its step at that time."""

    @property
    def due_us(self) -> int:
        """The time at which it wants to be woken, on its own clock."""

    def wake(self, now_us: int) -> list[Any]:
        """Run the steps that are due; returns the actions to execute."""


CoreT = TypeVar("CoreT", bound=Core)


class SimNode(ABC, Generic[CoreT]):
    """Successive processes of one name: each can be started, woken when due, stalled, and ended."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.core: CoreT | None = None
        self.generation = 0  # number of the current process; the first is 1
        self.stalled_until_us = 0  # true time; until then steps are delayed
        self._scheduled_wake_us = -1  # next wake-up on the process's clock; negative: none

    @abstractmethod
    def draw_clock_rate(self) -> float:
        """Return the clock rate of a new process; 1 is that of true time."""

    @abstractmethod
    def create_core(self) -> CoreT:
        """Return the core of a new process; ``self.clock`` is already set."""

    @abstractmethod
    def execute_actions(self, actions: list[Any]) -> None:
        """Execute the actions that a step returned; this may end the process."""

    def start(self) -> None:
        """Start a process unless one runs. It has a new clock, as monotonic time may start from any value."""
        if self.core is not None:
            return
        self.generation += 1
        self.clock = SimClock(
            self.world, self.draw_clock_rate(), self.world.random.randint(0, MAX_CLOCK_OFFSET_US)
        )
        self.core = self.create_core()
        self._schedule_wake(self.core)

    def run_step(self, step: Callable[[CoreT, int], list[Any]]) -> None:
        """Run one step of the core and execute its actions.

        While the process is stalled the step is delayed, as input would wait in the process's sockets.
        """
        if self.core is None:
            return
        if self.stalled_until_us > self.world.now_us:
            self.world.call_at(self.stalled_until_us, partial(self._run_step_in, self.generation, step))
            return
        self.execute_actions(step(self.core, self.clock.now_us()))
        if self.core is not None:
            self._schedule_wake(self.core)

    def _run_step_in(self, generation: int, step: Callable[[CoreT, int], list[Any]]) -> None:
        """Run a delayed step unless the process that it was meant for has ended."""
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
