"""The whole endpoint list on its way into one relay: the real ``Driver`` here, and the real process.

The list comes over loopback from a hollow directory in a process of its own. Both end after a bound, also
where the list never arrives.
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
from tools.cost.reading import read_usage

PATIENCE_S = 12.0  # s for the list to arrive: four times what a watch waits for its first line
POLL_S = 0.02  # s between looks whether all endpoints are known
FIGURES_POLL_S = 0.1  # s between questions to a relay's process how many it knows
CLIENT_PING_INTERVAL_S = 0.02  # s between the questions of a client
GROUP_SIZE = 600  # relays of the fleet
KIB = 1024


@dataclass(frozen=True, slots=True)
class DriverLoad:
    """How a relay's event loop took in the list."""

    known: int  # endpoints known to the module at the end
    seconds: float | None  # until all were known; None: never
    entries_handed: int  # to the module, in all steps
    max_entries_in_one_step: int  # of the module
    longest_iteration_s: float  # of the event loop
    resident_bytes: int  # grown meanwhile


@dataclass(frozen=True, slots=True)
class ProcessLoad:
    """How a relay's process took in the list, as a client saw it."""

    known: int
    seconds: float | None  # since the directory answered; None: never
    longest_wait_s: float  # of a client for its answer
    resident_bytes: int  # of the whole process at the end
    peak_resident_bytes: int
    written_bytes: int  # lines of news that the directory wrote for it


class RelayWorld(World):
    """A relay's surroundings beside a directory that another process serves."""

    def __init__(self, folder: Path, directory_port: int) -> None:
        super().__init__(folder)
        self.discovery.port = directory_port
        self.settings["group_size"] = GROUP_SIZE
        self.admin_port = self.free_port()

    async def start(self) -> None:
        """Make the relay's folder; the directory serves already."""
        self.state_folder.mkdir()


class CountingEngine(DecisionEngine):
    """The module, with the entries of the list that each step brought."""

    entries_taken = 0
    max_entries_in_one_step = 0

    def step(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Count, then take the step."""
        batch = list(events)
        entries = sum(len(getattr(event, "entries", ())) for event in batch)
        self.entries_taken += entries
        self.max_entries_in_one_step = max(self.max_entries_in_one_step, entries)
        return super().step(now_us, batch)


class CountingDriver(Driver):
    """The relay's loop of steps around a module that counts."""

    def __init__(self, config: Config, journal: Journal) -> None:
        super().__init__(config, journal, self._raise_error)
        self.engine = self._module = CountingEngine(config.settings, config.seed)

    @staticmethod
    def _raise_error(error: BaseException) -> None:
        raise error

    async def wait_until_known(self, size: int) -> float | None:
        """Wait for the whole list; the seconds that it took, None where it did not come within the bound."""
        begun_s = time.monotonic()
        while (spent_s := time.monotonic() - begun_s) < PATIENCE_S:
            if self.engine.entries_taken >= size and self.engine.listed_count == size:
                return spent_s
            await asyncio.sleep(POLL_S)
        return None


def load_into_driver(size: int, seed: int, driver_type: type[CountingDriver] = CountingDriver) -> DriverLoad:
    """Have the real driver fetch the list from a hollow directory, in a loop whose turns are timed."""
    turns = LoopTimingSelector()
    with (
        start_directory(size, seed) as directory,
        tempfile.TemporaryDirectory(prefix="scale-") as folder,
        asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(turns)) as runner,
    ):
        return runner.run(
            _measure_driver(
                RelayWorld(Path(folder), directory.request(ReadCounts()).port), size, turns, driver_type
            )
        )


async def _measure_driver(
    world: RelayWorld, size: int, turns: LoopTimingSelector, driver_type: type[CountingDriver]
) -> DriverLoad:
    await world.start()
    config = load(world.environment())
    journal = Journal(config.state_dir, config.disk_bytes)
    driver = driver_type(config, journal)
    try:
        before_bytes = resident_bytes()
        turns.reset()
        driver.start()
        seconds = await driver.wait_until_known(size)
        return DriverLoad(
            known=driver.engine.listed_count,
            seconds=seconds,
            entries_handed=driver.engine.entries_taken,
            max_entries_in_one_step=driver.engine.max_entries_in_one_step,
            longest_iteration_s=turns.longest_iteration_s,
            resident_bytes=resident_bytes() - before_bytes,
        )
    finally:
        driver.close()
        journal.close()


def load_into_process(size: int, seed: int) -> ProcessLoad:
    """Start a real relay beside a hollow directory, and ask it as a client all the while."""
    with (
        start_directory(size, seed) as directory,
        tempfile.TemporaryDirectory(prefix="scale-") as folder,
    ):
        return asyncio.run(_measure_process(Path(folder), directory, size))


async def _measure_process(folder: Path, directory: ChildProcess[Counts], size: int) -> ProcessLoad:
    world = RelayWorld(folder, directory.request(ReadCounts()).port)
    directory.request(HoldAnswers())  # the list is to come only once the client asks
    await world.start()
    try:
        client = await world.start_relay()
        ended = asyncio.Event()
        questions = asyncio.create_task(longest_wait_s(client, ended))
        begun_s = time.monotonic()
        directory.request(BringUp(resumes=True))
        known = 0
        while (spent_s := time.monotonic() - begun_s) < PATIENCE_S and known != size:
            await asyncio.sleep(FIGURES_POLL_S)
            known = (await world.read_figures())["endpoints_known"]
        ended.set()
        assert world.process is not None
        used = read_usage(world.process.pid)
        return ProcessLoad(
            known=known,
            seconds=spent_s if known == size else None,
            longest_wait_s=await questions,
            resident_bytes=used.memory_kb * KIB,
            peak_resident_bytes=used.peak_memory_kb * KIB,
            written_bytes=directory.request(ReadCounts()).line_bytes,
        )
    finally:
        await world.stop()


async def longest_wait_s(client: Client, ended: asyncio.Event) -> float:
    """Ask at an even pace until told to end; the longest wait for an answer."""
    loop, longest_s = asyncio.get_running_loop(), 0.0
    try:
        while not ended.is_set():
            asked_s = loop.time()
            await client.command(b"PING")
            longest_s = max(longest_s, loop.time() - asked_s)
            await asyncio.sleep(CLIENT_PING_INTERVAL_S)
    finally:
        client.writer.close()
    return longest_s
