"""A directory and its watchers: the cost of a change, and of their return after the directory was down.

The size is the number of watchers; the list's length is constant. A list of 31,000 is a subject of its own,
without a return by the whole list: that line is longer than a watch accepts (``endpoint-list`` measures it).
"""

from __future__ import annotations

import time
from contextlib import ExitStack
from dataclasses import dataclass
from functools import partial

from fleetlab.scale.child import ChildProcess
from fleetlab.scale.directory import (
    BringUp,
    Command,
    Counts,
    ReadCounts,
    SetHealth,
    TakeDown,
    start_directory,
)
from fleetlab.scale.records import Reading, ScaleError, Source
from fleetlab.scale.subject import Subject
from fleetlab.scale.watching import CountReached, Watched, start_watchers

LIST_SIZE = 2_000  # endpoints on the list
LONG_LIST_SIZE = 31_000  # endpoints on the long list
CHANGE_COUNT = 10  # changes made one after the other; the figures of a change are their means
MISSED_CHANGES = 3  # changes while the directory is down
DOWN_S = 8.0  # for which the directory is down
MAX_PROCESSES = 6  # that the watchers are divided among
POLL_S = 0.02  # between checks whether all watchers have a version
REACH_TIMEOUT_S = 30.0  # for all watchers to have it
BYTES_PER_WATCHER = 4_000_000  # upper estimate of memory, with a whole list in transit
BASE_BYTES = 500_000_000  # upper estimate of memory of the processes themselves
HEALTHS = ("DRAINING", "SERVING")


@dataclass(frozen=True, slots=True)
class ReachCost:
    """What it took until all watchers had a version."""

    seconds: float  # until the last watcher received it
    lines: int  # written by the directory
    line_bytes: int  # size of these lines
    watches: int  # answered by the directory
    directory_seconds: float  # processor time of the directory


class WatcherFleet:
    """A simulated directory and the processes of its watchers."""

    def __init__(
        self,
        directory: ChildProcess[Counts],
        watcher_processes: list[ChildProcess[Watched]],
        size: int,
        list_size: int,
    ):
        self._directory = directory
        self._watcher_processes = watcher_processes
        self._size = size
        self._version = list_size
        self._list_size = list_size

    def change_endpoint(self) -> None:
        """Change the health of one endpoint."""
        self._version += 1
        number = self._version - self._list_size
        self._directory.request(SetHealth(number % self._list_size, HEALTHS[number % 2]))

    def take_directory_down(self, down_s: float) -> None:
        """Take the directory down for ``down_s`` seconds, with ``MISSED_CHANGES`` changes meanwhile."""
        self._directory.request(TakeDown())
        for _ in range(MISSED_CHANGES):
            self.change_endpoint()
        time.sleep(down_s)

    def measure_until_reached(self, command: Command | None) -> ReachCost:
        """Execute a command, or without one a change, and wait until all watchers have the newest version."""
        before = self._directory.request(ReadCounts())
        begun_s = time.monotonic()
        if command is None:
            self.change_endpoint()
        else:
            self._directory.request(command)
        last_s = self.wait_until_reached()
        counts = self._directory.request(ReadCounts())
        return ReachCost(
            seconds=last_s - begun_s,
            lines=counts.lines - before.lines,
            line_bytes=counts.line_bytes - before.line_bytes,
            watches=counts.watches - before.watches,
            directory_seconds=counts.processor_seconds - before.processor_seconds,
        )

    def wait_until_reached(self) -> float:
        """Wait until all watchers have the version; ``ScaleError`` after ``REACH_TIMEOUT_S``.

        Returns the monotonic time at which the last of them received a line.
        """
        deadline_s = time.monotonic() + REACH_TIMEOUT_S
        while time.monotonic() < deadline_s:
            watched = [child.request(CountReached(self._version)) for child in self._watcher_processes]
            if sum(each.reached for each in watched) == self._size:
                return max(each.last_heard_s for each in watched)
            time.sleep(POLL_S)
        missing = self._size - sum(each.reached for each in watched)
        raise ScaleError(f"{missing} watchers of {self._size} had no version {self._version} in time")


def measure(
    size: int, seed: int, list_size: int = LIST_SIZE, down_s: float = DOWN_S, whole: bool = True
) -> list[Reading]:
    """Measure changes, and the watchers' return by their version; with ``whole`` also by the whole list.

    Without ``whole``, the watchers start at the list's version, like a relay that has kept the list.
    """
    with ExitStack() as stack:
        directory = stack.enter_context(start_directory(list_size, seed))
        port = directory.request(ReadCounts()).port
        watcher_processes = [
            stack.enter_context(start_watchers(port, count, 0 if whole else list_size))
            for count in split_evenly(size, min(size, MAX_PROCESSES))
        ]
        fleet = WatcherFleet(directory, watcher_processes, size, list_size)
        fleet.wait_until_reached()
        readings = change_readings([fleet.measure_until_reached(None) for _ in range(CHANGE_COUNT)])
        fleet.take_directory_down(down_s)
        readings += return_readings("resumed", fleet.measure_until_reached(BringUp(resumes=True)), size)
        if whole:
            fleet.take_directory_down(down_s)
            readings += return_readings("whole", fleet.measure_until_reached(BringUp(resumes=False)), size)
        return readings


def split_evenly(size: int, parts: int) -> list[int]:
    """Divide ``size`` into ``parts`` numbers that differ by at most 1."""
    return [size // parts + (part < size % parts) for part in range(parts)]


def change_readings(costs: list[ReachCost]) -> list[Reading]:
    """The mean figures of a change, and the time of the slowest."""
    count = len(costs)
    processor_s = sum(cost.directory_seconds for cost in costs) / count
    return [
        Reading("change_lines", sum(cost.lines for cost in costs) / count),
        Reading("change_bytes", sum(cost.line_bytes for cost in costs) / count),
        Reading("change_slowest_seconds", max(cost.seconds for cost in costs), Source.TIMED),
        Reading("change_directory_processor_seconds", processor_s, Source.TIMED),
    ]


def return_readings(how: str, cost: ReachCost, size: int) -> list[Reading]:
    """The figures of the return of all watchers.

    If a watch had to be opened twice, the counts depend on timing and are marked so.
    """
    source = Source.COUNT if cost.watches == size else Source.TIMED
    return [
        Reading(f"return_{how}_watches", float(cost.watches), source),
        Reading(f"return_{how}_lines", float(cost.lines), source),
        Reading(f"return_{how}_bytes", float(cost.line_bytes), source),
        Reading(f"return_{how}_watch_bytes", cost.line_bytes / cost.watches),
        Reading(f"return_{how}_seconds", cost.seconds, Source.TIMED),
        Reading(f"return_{how}_directory_processor_seconds", cost.directory_seconds, Source.TIMED),
    ]


SUBJECT = Subject(
    name="watchers",
    about=f"watchers of a list of {LIST_SIZE} hear changes, and return",
    axis="watchers",
    sizes=(5, 20, 60, 200, 600),
    target=600,
    memory_bytes=lambda size: BASE_BYTES + size * BYTES_PER_WATCHER,
    measure=measure,
)
LONG_LIST_SUBJECT = Subject(
    name="watchers-long-list",
    about=f"watchers of a list of {LONG_LIST_SIZE} hear changes, and return by their version",
    axis="watchers",
    sizes=(5, 20, 60, 200, 600),
    target=600,
    memory_bytes=lambda size: BASE_BYTES + size * BYTES_PER_WATCHER,
    measure=partial(measure, list_size=LONG_LIST_SIZE, whole=False),
)
