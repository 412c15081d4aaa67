"""A relay process is replaced by the next one: how long a client waits, by the length of the list."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
from pathlib import Path

from fleetlab.scale import endpoints
from fleetlab.scale.child import ChildProcess
from fleetlab.scale.directory import Counts, ReadCounts, start_directory
from fleetlab.scale.list_loading import FIGURES_POLL_S, LIST_TIMEOUT_S, RelayWorld, measure_longest_wait_s
from fleetlab.scale.records import Reading, ScaleError, Source
from fleetlab.scale.subject import Subject

REPLACE_TIMEOUT_S = 30.0  # for the next process to serve and the old one to exit
POLL_S = 0.02  # between checks whether the next process serves


def measure(size: int, seed: int) -> list[Reading]:
    """Replace a real process that knows the whole list while a client sends a ``PING`` every 20 ms."""
    with (
        start_directory(size, seed) as directory,
        tempfile.TemporaryDirectory(prefix="scale-") as folder,
    ):
        return asyncio.run(_measure(Path(folder), directory, size))


async def _measure(folder: Path, directory: ChildProcess[Counts], size: int) -> list[Reading]:
    world = RelayWorld(folder, directory.request(ReadCounts()).port)
    await world.start()
    world.open_passed_socket()
    try:
        client = await world.start_relay()
        await _wait_until_known(world, size)
        ended = asyncio.Event()
        longest_wait = asyncio.create_task(measure_longest_wait_s(client, ended))
        begun_s = time.monotonic()
        await _replace_process(world)
        replaced_s = time.monotonic() - begun_s
        ended.set()
        longest_wait_s = await longest_wait
        known = (await world.read_figures())["endpoints_known"]
        return [
            Reading("real_known_after_endpoints", float(known)),
            Reading("real_replaced_seconds", replaced_s, Source.TIMED),
            Reading("real_longest_client_wait_seconds", longest_wait_s, Source.TIMED),
        ]
    finally:
        await world.stop()


async def _wait_until_known(world: RelayWorld, size: int) -> None:
    """Wait for the whole list; ``ScaleError`` after ``LIST_TIMEOUT_S``."""
    deadline_s = time.monotonic() + LIST_TIMEOUT_S
    while (await world.read_figures())["endpoints_known"] != size:
        if time.monotonic() > deadline_s:
            raise ScaleError(f"the list of {size} endpoints did not come within {LIST_TIMEOUT_S:.0f} s")
        await asyncio.sleep(FIGURES_POLL_S)


async def _replace_process(world: RelayWorld) -> None:
    """Start the next process, and wait until it serves and the old one has exited."""
    old, world.admin_port = world.process, world.free_port()
    assert old is not None
    async with asyncio.timeout(REPLACE_TIMEOUT_S):
        await world.spawn()
        while not await _is_serving(world):
            await asyncio.sleep(POLL_S)
        await old.wait()


async def _is_serving(world: RelayWorld) -> bool:
    """Whether the current process answers operators and accepts clients."""
    with contextlib.suppress(OSError):
        return (await world.operator_call("GET", "health"))[0] == 200
    return False


SUBJECT = Subject(
    name="replacement",
    about="a real relay process is replaced while a client asks",
    axis="endpoints in the list",
    sizes=(20, 200, 2_000, 7_000, 15_000, 31_000),
    target=31_000,
    memory_bytes=endpoints.estimate_memory_bytes,
    measure=measure,
)
