"""The turns of an event loop: how many there were, and how long the longest kept all others waiting."""

from __future__ import annotations

import selectors
import time


class LoopTimingSelector(selectors.DefaultSelector):
    """A selector that times what its loop does between two looks at the sockets."""

    def __init__(self) -> None:
        super().__init__()
        self._begun_s = time.perf_counter()
        self.longest_iteration_s = 0.0  # of one turn, in real time

    def reset(self) -> None:
        """Forget the turns so far; the present one counts from now."""
        self._begun_s, self.longest_iteration_s = time.perf_counter(), 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """End a turn, wait for what comes, and begin the next turn."""
        self.longest_iteration_s = max(self.longest_iteration_s, time.perf_counter() - self._begun_s)
        ready = super().select(timeout)
        self._begun_s = time.perf_counter()
        return ready
