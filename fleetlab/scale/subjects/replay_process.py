"""A real relay process that is started from a journal with a backlog."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path
from typing import Any

from fleetlab.scale.held_load import BODY_BYTES, DOWN_COUNT, EVENLY_SPREAD, SEAT_STATUS, make_backlog
from fleetlab.scale.records import Reading, Source
from fleetlab.scale.subject import Subject
from fleetlab.scale.subjects.backlog import accept_all, ample_disk_bytes, required_disk_bytes
from relay.driver import HELD_BODIES_MEMORY_SHARE
from relay.journal import Journal
from relay.resource_usage import read_memory_bytes
from standins.scripted import Client, World, no_answer, settings_json

# Endpoints that are listed and never answer; the other destinations have no endpoint.
SILENT_ENDPOINTS = 20
SLOTS = 64
SPARE_OPEN_MESSAGES = 1_000  # messages that the relay may hold beyond the backlog
MIN_MEMORY_MB = 32  # of a relay without messages
BYTES_PER_MESSAGE = 8_000  # upper estimate of memory: the relay and the process that measures
BYTES_PER_MB = 1_000_000
ANSWER_TIMEOUT_S = 90.0  # for the first answer to a client
POLL_S = 0.01  # between attempts to connect


def class_json() -> dict[str, Any]:
    """The message class of the backlog, in the format of the settings."""
    return {
        "name": SEAT_STATUS.name,
        "effect": SEAT_STATUS.effect.value,
        "key_scope": "all",
        "dedup_window_us": 0,
        "aim_us": SEAT_STATUS.aim_us,
        "deadline_us": SEAT_STATUS.deadline_us,
        "worth": SEAT_STATUS.worth,
        "late_worth": SEAT_STATUS.late_worth,
        "stream": False,
    }


def configure(world: World, messages: int, disk_bytes: int) -> None:
    """Set limits that are hardly larger than the backlog needs."""
    world.settings = settings_json(open_cap=messages + SPARE_OPEN_MESSAGES)
    world.settings["request_classes"] = [class_json()]
    world.settings["domain"] |= {"calls_out": SLOTS}
    world.disk_mb = disk_bytes / BYTES_PER_MB
    world.memory_mb = MIN_MEMORY_MB + int(messages * BODY_BYTES / HELD_BODIES_MEMORY_SHARE / BYTES_PER_MB)
    world.admin_port = world.free_port()


async def wait_for_answer(world: World) -> Client:
    """Connect until the relay answers a ``PING``; return the client."""
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while True:
            try:
                client = Client(*await asyncio.open_connection(world.address, world.port))
            except OSError:
                await asyncio.sleep(POLL_S)
                continue
            if await client.command(b"PING") == b"+PONG":
                return client


async def measure_restart(folder: Path, size: int, seed: int) -> list[Reading]:
    """Write the journal as a relay would, start a relay from it, and read its figures."""
    world = World(folder)
    await world.start()
    try:
        messages = list(make_backlog(size, EVENLY_SPREAD, seed))
        journal = Journal(world.state_folder, ample_disk_bytes(size))
        accept_all(journal, messages)
        journal.close()
        configure(world, size, required_disk_bytes(messages, journal.written_bytes))
        for number in range(SILENT_ENDPOINTS):
            await world.add_host(f"h{number:03d}", no_answer, block=number % DOWN_COUNT)
        begun_s = time.monotonic()
        process = await world.spawn()
        await wait_for_answer(world)
        pong_s = time.monotonic() - begun_s
        held_messages = (await world.read_figures())["in_flight"]
        memory = read_memory_bytes(Path(f"/proc/{process.pid}"))
    finally:
        await world.stop()
    return [
        Reading("real_journal_bytes", journal.written_bytes),
        Reading("real_held_messages", held_messages),
        Reading("real_pong_seconds", pong_s, Source.TIMED),
        Reading("real_peak_bytes", memory["VmHWM"], Source.TIMED),
        Reading("real_resident_bytes", memory["VmRSS"], Source.TIMED),
    ]


def measure(size: int, seed: int) -> list[Reading]:
    """Measure one restart in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix="replay-") as folder:
        return asyncio.run(measure_restart(Path(folder), size, seed))


SUBJECT = Subject(
    name="replay-process",
    about="a real relay process that starts over a journal",
    axis="messages in the journal",
    sizes=(1_000, 10_000, 50_000, 100_000),
    target=12_500_000,
    memory_bytes=lambda size: size * BYTES_PER_MESSAGE,
    measure=measure,
)
