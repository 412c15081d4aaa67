"""Measures how a relay loads the whole endpoint list: its ``Driver`` in this process, or a relay process.

The list comes over loopback from a simulated directory in a process of its own. Both measurements end after
``LIST_TIMEOUT_S`` if the list does not arrive.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from decisions.engine import DecisionEngine
from decisions.interface import Action, Event
from fleetlab.scale.child import ChildProcess
from fleetlab.scale.directory import BringUp, Counts, HoldAnswers, ReadCounts, start_directory
from fleetlab.scale.event_loop_turns import LoopTimingSelector
from fleetlab.scale.process import resident_bytes
from relay.config import Config, load
from relay.driver import Driver
from relay.journal import Journal
from standins.scripted import Client, World
from tools.cost.reading import taken

LIST_TIMEOUT_S = 12.0  # for the list to arrive: four times what a watch waits for its first line
POLL_S = 0.02  # between checks whether the driver knows all endpoints
FIGURES_POLL_S = 0.1  # between requests to a relay's process for the number of endpoints it knows
CLIENT_PING_INTERVAL_S = 0.02  # from an answer to the client's next ``PING``
GROUP_SIZE = 600  # relays in the fleet
KIB = 1024


@dataclass(frozen=True, slots=True)
class DriverLoad:
    """How a relay's driver loaded the list."""

    known: int  # endpoints known to the decision module at the end
    seconds: float | None  # until all endpoints were known; None if they were not in time
    entries_handed: int  # entries given to the decision module, over all steps
    max_entries_in_one_step: int  # most entries given to it in a single step
    longest_iteration_s: float  # longest iteration of the event loop
    resident_bytes: int  # growth of resident memory meanwhile


@dataclass(frozen=True, slots=True)
class ProcessLoad:
    """How a relay's process loaded the list, and how long a client waited meanwhile."""

    known: int  # endpoints known at the end
    seconds: float | None  # since the directory answered, until all were known; None if not in time
    longest_wait_s: float  # longest wait of the client for an answer
    resident_bytes: int  # resident memory of the process at the end
    peak_resident_bytes: int
    written_bytes: int  # size of the update lines that the directory wrote


class RelayWorld(World):
    """The environment of a relay process, with a directory that another process serves."""

    def __init__(self, folder: Path, directory_port: int) -> None:
        super().__init__(folder)
        self.discovery.port = directory_port
        self.settings["group_size"] = GROUP_SIZE
        self.admin_port = self.free_port()

    async def start(self) -> None:
        """Create the relay's state folder; the directory is already running."""
        self.state_folder.mkdir()


class CountingEngine(DecisionEngine):
    """The decision engine, with counts of the endpoint list entries given to it."""

    entries_taken = 0
    max_entries_in_one_step = 0

    def step(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Count the entries in the events, then execute the step."""
        batch = list(events)
        entries = sum(len(getattr(event, "entries", ())) for event in batch)
        self.entries_taken += entries
        self.max_entries_in_one_step = max(self.max_entries_in_one_step, entries)
        return super().step(now_us, batch)


class CountingDriver(Driver):
    """The relay's driver with a decision engine that counts entries."""

    def __init__(self, config: Config, journal: Journal) -> None:
        super().__init__(config, journal, self._raise_error)
        self.engine = self._module = CountingEngine(config.settings, config.seed)

    @staticmethod
    def _raise_error(error: BaseException) -> None:
        raise error

    async def wait_until_known(self, size: int) -> float | None:
        """Wait for the whole list; the seconds it took, or None after ``LIST_TIMEOUT_S``."""
        begun_s = time.monotonic()
        while (spent_s := time.monotonic() - begun_s) < LIST_TIMEOUT_S:
            if self.engine.entries_taken >= size and self.engine.listed_count == size:
                return spent_s
            await asyncio.sleep(POLL_S)
        return None


def load_into_driver(size: int, seed: int, driver_type: type[CountingDriver] = CountingDriver) -> DriverLoad:
    """Load the list into a real driver from a simulated directory; the event loop's iterations are timed."""
    selector = LoopTimingSelector()
    with (
        start_directory(size, seed) as directory,
        tempfile.TemporaryDirectory(prefix="scale-") as folder,
        asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner,
    ):
        return runner.run(
            _measure_driver(
                RelayWorld(Path(folder), directory.request(ReadCounts()).port), size, selector, driver_type
            )
        )


async def _measure_driver(
    world: RelayWorld, size: int, selector: LoopTimingSelector, driver_type: type[CountingDriver]
) -> DriverLoad:
    await world.start()
    config = load(world.environment())
    journal = Journal(config.state_dir, config.disk_bytes)
    driver = driver_type(config, journal)
    try:
        before_bytes = resident_bytes()
        selector.reset()
        driver.start()
        seconds = await driver.wait_until_known(size)
        return DriverLoad(
            known=driver.engine.listed_count,
            seconds=seconds,
            entries_handed=driver.engine.entries_taken,
            max_entries_in_one_step=driver.engine.max_entries_in_one_step,
            longest_iteration_s=selector.longest_iteration_s,
            resident_bytes=resident_bytes() - before_bytes,
        )
    finally:
        driver.close()
        journal.close()


def load_into_process(size: int, seed: int) -> ProcessLoad:
    """Start a real relay process with a simulated directory, while a client sends ``PING`` to it."""
    with (
        start_directory(size, seed) as directory,
        tempfile.TemporaryDirectory(prefix="scale-") as folder,
    ):
        return asyncio.run(_measure_process(Path(folder), directory, size))


async def _measure_process(folder: Path, directory: ChildProcess[Counts], size: int) -> ProcessLoad:
    world = RelayWorld(folder, directory.request(ReadCounts()).port)
    directory.request(HoldAnswers())  # the list must not arrive before the client sends its first PING
    await world.start()
    try:
        client = await world.start_relay()
        ended = asyncio.Event()
        longest_wait = asyncio.create_task(measure_longest_wait_s(client, ended))
        begun_s = time.monotonic()
        directory.request(BringUp(resumes=True))
        known = 0
        while (spent_s := time.monotonic() - begun_s) < LIST_TIMEOUT_S and known != size:
            await asyncio.sleep(FIGURES_POLL_S)
            known = (await world.read_figures())["endpoints_known"]
        ended.set()
        assert world.process is not None
        usage = taken(world.process.pid)
        return ProcessLoad(
            known=known,
            seconds=spent_s if known == size else None,
            longest_wait_s=await longest_wait,
            resident_bytes=usage.memory_kb * KIB,
            peak_resident_bytes=usage.peak_memory_kb * KIB,
            written_bytes=directory.request(ReadCounts()).line_bytes,
        )
    finally:
        await world.stop()


async def measure_longest_wait_s(client: Client, ended: asyncio.Event) -> float:
    """Send ``PING`` at a steady pace until ``ended`` is set; the longest wait for an answer, in seconds."""
    loop, longest_s = asyncio.get_running_loop(), 0.0
    try:
        while not ended.is_set():
            sent_s = loop.time()
            await client.command(b"PING")
            longest_s = max(longest_s, loop.time() - sent_s)
            await asyncio.sleep(CLIENT_PING_INTERVAL_S)
    finally:
        client.writer.close()
    return longest_s
