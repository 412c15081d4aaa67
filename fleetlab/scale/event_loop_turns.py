"""Times the iterations of an event loop: the longest one is how long the loop was blocked at most."""

from __future__ import annotations

import selectors
import time


class LoopTimingSelector(selectors.DefaultSelector):
    """A selector that times how long its event loop runs callbacks between two calls of ``select``."""

    def __init__(self) -> None:
        super().__init__()
        self._begun_s = time.perf_counter()
        self.longest_iteration_s = 0.0  # real time of the longest iteration

    def reset(self) -> None:
        """Forget the iterations so far; the current one is timed from now."""
        self._begun_s, self.longest_iteration_s = time.perf_counter(), 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """End the current iteration, wait for events, and begin the next iteration."""
        self.longest_iteration_s = max(self.longest_iteration_s, time.perf_counter() - self._begun_s)
        ready = super().select(timeout)
        self._begun_s = time.perf_counter()
        return ready
