"""Real relay processes on the simulated directory, to check its counts with simulated watchers.

The steps and the figures are those of ``watchers``. A relay has returned once its watch is answered.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from typing import IO

from fleetlab.scale.directory import BringUp, ReadCounts, start_directory
from fleetlab.scale.list_loading import RelayWorld
from fleetlab.scale.records import Reading, ScaleError, Source
from fleetlab.scale.subject import Subject
from fleetlab.scale.subjects.watchers import (
    CHANGE_COUNT,
    DOWN_S,
    LIST_SIZE,
    POLL_S,
    REACH_TIMEOUT_S,
    ReachCost,
    WatcherFleet,
)
from standins.scripted import ROOT

BYTES_PER_RELAY = 120_000_000  # upper estimate of memory


class RealFleet(WatcherFleet):
    """A simulated directory that real relays watch; only the directory is asked for their progress."""

    def wait_until_reached(self) -> float:
        """Wait until each relay's watch is open; lines written to it are not waited for.

        Returns the monotonic time of that; ``ScaleError`` after ``REACH_TIMEOUT_S``.
        """
        deadline_s = time.monotonic() + REACH_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if (open_watches := self._directory.request(ReadCounts()).open_watches) == self._size:
                return time.monotonic()
            time.sleep(POLL_S)
        raise ScaleError(f"{self._size - open_watches} relays of {self._size} did not watch in time")


class RelayProcess:
    """A real relay's process; leaving the ``with`` block kills it."""

    def __init__(self, folder: Path, directory_port: int, log: IO[bytes]) -> None:
        folder.mkdir()
        world = RelayWorld(folder, directory_port)
        world.state_folder.mkdir()
        command = [sys.executable, "-m", "relay"]
        self._process = subprocess.Popen(command, cwd=ROOT, env=world.environment(), stderr=log)

    def __enter__(self) -> RelayProcess:
        return self

    def __exit__(self, *_: object) -> None:
        self._process.kill()  # it holds no messages, and its folder is deleted too
        self._process.wait()


def measure(
    size: int, seed: int, list_size: int = LIST_SIZE, down_s: float = DOWN_S, whole: bool = True
) -> list[Reading]:
    """Measure changes, and the return of real relays by version; with ``whole`` also by the whole list."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="scale-")))
        log = stack.enter_context((folder / "log").open("wb"))
        directory = stack.enter_context(start_directory(list_size, seed))
        port = directory.request(ReadCounts()).port
        for number in range(size):
            stack.enter_context(RelayProcess(folder / str(number), port, log))
        fleet = RealFleet(directory, [], size, list_size)
        fleet.wait_until_reached()
        changes = [fleet.measure_until_reached(None) for _ in range(CHANGE_COUNT)]
        readings = [
            Reading("real_change_lines", sum(cost.lines for cost in changes) / CHANGE_COUNT),
            Reading("real_change_bytes", sum(cost.line_bytes for cost in changes) / CHANGE_COUNT),
        ]
        fleet.take_directory_down(down_s)
        readings += return_readings("resumed", fleet.measure_until_reached(BringUp(resumes=True)))
        if whole:
            fleet.take_directory_down(down_s)
            readings += return_readings("whole", fleet.measure_until_reached(BringUp(resumes=False)))
        return readings


def return_readings(how: str, cost: ReachCost) -> list[Reading]:
    """The figures of the return of all relays."""
    return [
        Reading(f"real_return_{how}_watches", float(cost.watches)),
        Reading(f"real_return_{how}_lines", float(cost.lines)),
        Reading(f"real_return_{how}_bytes", float(cost.line_bytes)),
        Reading(f"real_return_{how}_seconds", cost.seconds, Source.TIMED),
    ]


SUBJECT = Subject(
    name="real-watchers",
    about=f"real relays watch a list of {LIST_SIZE}, hear changes and return",
    axis="relays",
    sizes=(2, 5, 10, 20),
    target=600,
    memory_bytes=lambda size: size * BYTES_PER_RELAY,
    measure=measure,
)
