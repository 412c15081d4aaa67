"""Fair queueing of input: the peers of this process share the event loop in turns of bounded time.

A peer decides how much work its bytes cost: 256 KiB may hold one request or 87,000. So no reader works
through what it has received in one go. It asks here before each unit of work (one request, one part of an
answer). As long as all of them together use little time, a unit is done at once. Beyond that the peers wait
in line, and each gets a short quantum in turn, while everything else in the event loop runs in between.

Work counts by its processor time: the time in which this process waits for the processor is nobody's work.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import ClassVar, TypeVar

FREE_SLICE_S = 0.005  # processor time for input that need not wait in line, in each period
PERIOD_S = 0.02
LINE_SLICE_S = 0.002  # processor time for input that waits in line, in one iteration of the event loop
QUANTUM_S = 0.0002  # processor time of one peer until the next one has its turn

Result = TypeVar("Result")
# Does one unit of work; returns whether there is more that can be done at once.
Work = Callable[[], bool]


class FairQueue:
    """The line of peers whose input waits for its turn; a unit of work is never interrupted."""

    _latest: ClassVar[FairQueue | None] = None

    @classmethod
    def of_running_loop(cls) -> FairQueue:
        """Return the queue of the running event loop, which all its readers of input share."""
        if cls._latest is None or cls._latest._loop is not asyncio.get_running_loop():
            cls._latest = cls()
        return cls._latest

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[Work | asyncio.Future[None]] = deque()
        self._scheduled = False  # whether the next iteration serves the line
        self._used_s = 0.0  # of the slice of the current period or iteration
        self._period_end_s = 0.0  # event loop time
        self._holder: object | None = None  # the task's owner that had the last turn
        self._holder_used_s = 0.0
        self.deferred_count = 0  # how often a peer had to wait in line

    def run(self, work: Work) -> None:
        """Do a peer's work unit by unit until none is left, now or when its turn comes."""
        if not self._has_slice() or self._work_for_quantum(work):
            self._append(work)

    def has_turn(self, owner: object) -> bool:
        """Return whether the task of ``owner`` may do a unit of work now; else it has to ``join``."""
        if owner is self._holder:
            if self._holder_used_s < QUANTUM_S:
                return True
            self._holder = None
        return self._has_slice()

    def join(self, owner: object) -> asyncio.Future[None]:
        """Return a future that is done when the owner's turn comes; anyone may resolve it earlier."""
        turn = self._loop.create_future()
        turn.add_done_callback(lambda _turn: self._give_turn(owner))
        self._append(turn)
        return turn

    def work_for(self, owner: object, unit: Callable[[], Result]) -> Result:
        """Do a unit of work in the task of ``owner``, count its time, and return its result."""
        begun_s = time.thread_time()
        try:
            return unit()
        finally:
            used_s = time.thread_time() - begun_s
            self._used_s += used_s
            if owner is self._holder:
                self._holder_used_s += used_s

    def _give_turn(self, owner: object) -> None:
        self._holder, self._holder_used_s = owner, 0.0

    def _has_slice(self) -> bool:
        """Return whether nobody waits in line and the free slice of this period is not used up."""
        if self._waiting:
            return False
        if (now_s := self._loop.time()) >= self._period_end_s:
            self._begin_period(now_s)
        return self._used_s < FREE_SLICE_S

    def _begin_period(self, now_s: float) -> None:
        self._used_s, self._period_end_s = 0.0, now_s + PERIOD_S

    def _append(self, entry: Work | asyncio.Future[None]) -> None:
        self.deferred_count += 1
        self._waiting.append(entry)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._serve_line)

    def _serve_line(self) -> None:
        """Serve peers in turn until the slice of this iteration is used up, but at least one."""
        self._scheduled = False
        self._begin_period(self._loop.time())
        while self._waiting and self._serve(self._waiting.popleft()) and self._used_s < LINE_SLICE_S:
            pass
        if self._waiting:
            self._schedule()

    def _serve(self, entry: Work | asyncio.Future[None]) -> bool:
        """Give one peer its turn; return whether the next one may have its turn in this iteration."""
        if not isinstance(entry, asyncio.Future):
            if self._work_for_quantum(entry):
                self._waiting.append(entry)
        elif not entry.done():
            entry.set_result(None)
            return False  # its task works in the next iteration
        return True

    def _work_for_quantum(self, work: Work) -> bool:
        """Do units of one peer's work for a quantum; return whether there is more."""
        begun_s = time.thread_time()
        while (more := work()) and time.thread_time() - begun_s < QUANTUM_S:
            pass
        self._used_s += time.thread_time() - begun_s
        return more
