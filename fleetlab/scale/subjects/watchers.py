"""A directory and its watchers: what a change costs, and their return after the directory was down.

The list's length stays the same while the watchers become more. A list of 31,000 is a subject of its own,
without the whole list asked anew: that line is longer than a watch takes (``endpoint-list`` measures it).
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

LIST_SIZE, LONG_LIST_SIZE = 2_000, 31_000  # endpoints on the list
CHANGE_COUNT = 10  # that are told one after the other, of which the figures of a change are the mean
MISSED_CHANGES = 3  # changes while the directory is down
DOWN_S = 8.0  # s that the directory is down
MAX_PROCESSES = 6  # of watchers, at most
POLL_S = 0.02  # s between looks whether all watchers have a version
REACH_TIMEOUT_S = 30.0  # s for all watchers to have it
BYTES_PER_WATCHER = 4_000_000  # upper estimate of memory, with a whole list under way
BASE_BYTES = 500_000_000  # upper estimate for the processes themselves
HEALTHS = ("DRAINING", "SERVING")


@dataclass(frozen=True, slots=True)
class ReachCost:
    """What it took until all watchers had a version."""

    seconds: float  # until the last of them heard it
    lines: int  # that the directory wrote
    line_bytes: int
    watches: int  # that it answered
    directory_seconds: float  # of its processor


class WatcherFleet:
    """A hollow directory and the processes of its watchers."""

    def __init__(
        self, directory: ChildProcess[Counts], watching: list[ChildProcess[Watched]], size: int, listed: int
    ):
        self._directory, self._watching, self._size = directory, watching, size
        self._version, self._listed = listed, listed

    def change_endpoint(self) -> None:
        """Have one endpoint change."""
        self._version += 1
        number = self._version - self._listed
        self._directory.request(SetHealth(number % self._listed, HEALTHS[number % 2]))

    def take_directory_down(self, down_s: float) -> None:
        """Take the directory down for a while, in which the list changes."""
        self._directory.request(TakeDown())
        for _ in range(MISSED_CHANGES):
            self.change_endpoint()
        time.sleep(down_s)

    def measure_until_reached(self, act: Command | None) -> ReachCost:
        """Carry out an order, or else tell a change, and wait until all watchers have the newest version."""
        before = self._directory.request(ReadCounts())
        begun_s = time.monotonic()
        if act is None:
            self.change_endpoint()
        else:
            self._directory.request(act)
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
        """Wait for all watchers; when the last of them heard a line, or ``ScaleError`` after a bound."""
        by_s = time.monotonic() + REACH_TIMEOUT_S
        while time.monotonic() < by_s:
            watched = [child.request(CountReached(self._version)) for child in self._watching]
            if sum(each.reached for each in watched) == self._size:
                return max(each.last_heard_s for each in watched)
            time.sleep(POLL_S)
        missing = self._size - sum(each.reached for each in watched)
        raise ScaleError(f"{missing} watchers of {self._size} had no version {self._version} in time")


def measure(
    size: int, seed: int, listed: int = LIST_SIZE, down_s: float = DOWN_S, whole: bool = True
) -> list[Reading]:
    """Tell changes, then have all watchers return by their version, and where ``whole`` by the whole list.

    Where not ``whole``, they start at the list's version, as a relay does that has kept the list.
    """
    with ExitStack() as stack:
        directory = stack.enter_context(start_directory(listed, seed))
        port = directory.request(ReadCounts()).port
        watching = [
            stack.enter_context(start_watchers(port, count, 0 if whole else listed))
            for count in split_evenly(size, min(size, MAX_PROCESSES))
        ]
        fleet = WatcherFleet(directory, watching, size, listed)
        fleet.wait_until_reached()
        readings = change_readings([fleet.measure_until_reached(None) for _ in range(CHANGE_COUNT)])
        fleet.take_directory_down(down_s)
        readings += return_readings("resumed", fleet.measure_until_reached(BringUp(resumes=True)), size)
        if whole:
            fleet.take_directory_down(down_s)
            readings += return_readings("whole", fleet.measure_until_reached(BringUp(resumes=False)), size)
        return readings


def split_evenly(size: int, parts: int) -> list[int]:
    """A number in almost equal parts."""
    return [size // parts + (part < size % parts) for part in range(parts)]


def change_readings(reaches: list[ReachCost]) -> list[Reading]:
    """The figures of one change, and the slowest."""
    count = len(reaches)
    processor_s = sum(reach.directory_seconds for reach in reaches) / count
    return [
        Reading("change_lines", sum(reach.lines for reach in reaches) / count),
        Reading("change_bytes", sum(reach.line_bytes for reach in reaches) / count),
        Reading("change_slowest_seconds", max(reach.seconds for reach in reaches), Source.TIMED),
        Reading("change_directory_processor_seconds", processor_s, Source.TIMED),
    ]


def return_readings(how: str, reach: ReachCost, size: int) -> list[Reading]:
    """The figures of a return of all; watches that had to be asked for twice make its counts timed ones."""
    source = Source.COUNT if reach.watches == size else Source.TIMED
    return [
        Reading(f"return_{how}_watches", float(reach.watches), source),
        Reading(f"return_{how}_lines", float(reach.lines), source),
        Reading(f"return_{how}_bytes", float(reach.line_bytes), source),
        Reading(f"return_{how}_watch_bytes", reach.line_bytes / reach.watches),
        Reading(f"return_{how}_seconds", reach.seconds, Source.TIMED),
        Reading(f"return_{how}_directory_processor_seconds", reach.directory_seconds, Source.TIMED),
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
    measure=partial(measure, listed=LONG_LIST_SIZE, whole=False),
)
