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
from fleetlab.scale.child import Child
from fleetlab.scale.directory import Counts, Hold, Tell, Up, directory_process
from fleetlab.scale.event_loop_turns import TurnSelector
from fleetlab.scale.process import resident_bytes
from relay.config import Config, load
from relay.driver import Driver
from relay.journal import Journal
from standins.scripted import Client, World
from tools.cost.reading import taken

PATIENCE_S = 12.0  # s for the list to arrive: four times what a watch waits for its first line
LOOK_S = 0.02  # s between looks whether all endpoints are known
ASK_S = 0.1  # s between questions to a relay's process how many it knows
CLIENT_S = 0.02  # s between the questions of a client
GROUP = 600  # relays of the fleet
KIB = 1024


@dataclass(frozen=True, slots=True)
class Intake:
    """How a relay's event loop took in the list."""

    known: int  # endpoints known to the module at the end
    seconds: float | None  # until all were known; None: never
    entries_handed: int  # to the module, in all steps
    most_entries_in_one_step: int  # of the module
    longest_hold_s: float  # of the event loop
    resident_bytes: int  # grown meanwhile


@dataclass(frozen=True, slots=True)
class ProcessIntake:
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
        self.settings["group_size"] = GROUP
        self.admin_port = self.free_port()

    async def start(self) -> None:
        """Make the relay's folder; the directory serves already."""
        self.state_folder.mkdir()


class CountingModule(DecisionEngine):
    """The module, with the entries of the list that each step brought."""

    entries_taken = 0
    most_entries_in_one_step = 0

    def step(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Count, then take the step."""
        batch = list(events)
        entries = sum(len(getattr(event, "entries", ())) for event in batch)
        self.entries_taken += entries
        self.most_entries_in_one_step = max(self.most_entries_in_one_step, entries)
        return super().step(now_us, batch)


class CountingDriver(Driver):
    """The relay's loop of steps around a module that counts."""

    def __init__(self, config: Config, journal: Journal) -> None:
        super().__init__(config, journal, self._broke)
        self.module = self._module = CountingModule(config.settings, config.seed)

    @staticmethod
    def _broke(error: BaseException) -> None:
        raise error

    async def until_known(self, size: int) -> float | None:
        """Wait for the whole list; the seconds that it took, None where it did not come within the bound."""
        begun_s = time.monotonic()
        while (spent_s := time.monotonic() - begun_s) < PATIENCE_S:
            if self.module.entries_taken >= size and self.module.listed_count == size:
                return spent_s
            await asyncio.sleep(LOOK_S)
        return None


def driver_intake(size: int, seed: int, driver_type: type[CountingDriver] = CountingDriver) -> Intake:
    """Have the real driver fetch the list from a hollow directory, in a loop whose turns are timed."""
    turns = TurnSelector()
    with (
        directory_process(size, seed) as directory,
        tempfile.TemporaryDirectory(prefix="scale-") as folder,
        asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(turns)) as runner,
    ):
        return runner.run(
            _drive(RelayWorld(Path(folder), directory.order(Tell()).port), size, turns, driver_type)
        )


async def _drive(
    world: RelayWorld, size: int, turns: TurnSelector, driver_type: type[CountingDriver]
) -> Intake:
    await world.start()
    config = load(world.environment())
    journal = Journal(config.state_dir, config.disk_bytes)
    driver = driver_type(config, journal)
    try:
        before_bytes = resident_bytes()
        turns.restart()
        driver.start()
        seconds = await driver.until_known(size)
        return Intake(
            known=driver.module.listed_count,
            seconds=seconds,
            entries_handed=driver.module.entries_taken,
            most_entries_in_one_step=driver.module.most_entries_in_one_step,
            longest_hold_s=turns.longest_s,
            resident_bytes=resident_bytes() - before_bytes,
        )
    finally:
        driver.close()
        journal.close()


def process_intake(size: int, seed: int) -> ProcessIntake:
    """Start a real relay beside a hollow directory, and ask it as a client all the while."""
    with (
        directory_process(size, seed) as directory,
        tempfile.TemporaryDirectory(prefix="scale-") as folder,
    ):
        return asyncio.run(_attend(Path(folder), directory, size))


async def _attend(folder: Path, directory: Child[Counts], size: int) -> ProcessIntake:
    world = RelayWorld(folder, directory.order(Tell()).port)
    directory.order(Hold())  # the list is to come only once the client asks
    await world.start()
    try:
        client = await world.start_relay()
        ended = asyncio.Event()
        questions = asyncio.create_task(longest_wait_s(client, ended))
        begun_s = time.monotonic()
        directory.order(Up(resumes=True))
        known = 0
        while (spent_s := time.monotonic() - begun_s) < PATIENCE_S and known != size:
            await asyncio.sleep(ASK_S)
            known = (await world.read_figures())["endpoints_known"]
        ended.set()
        assert world.process is not None
        used = taken(world.process.pid)
        return ProcessIntake(
            known=known,
            seconds=spent_s if known == size else None,
            longest_wait_s=await questions,
            resident_bytes=used.memory_kb * KIB,
            peak_resident_bytes=used.peak_memory_kb * KIB,
            written_bytes=directory.order(Tell()).line_bytes,
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
            await asyncio.sleep(CLIENT_S)
    finally:
        client.writer.close()
    return longest_s
