"""``python -m fleetlab.scale.replay FOLDER DISK_BYTES``: start a relay from a journal, and measure it."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from pathlib import Path

import msgspec

from fleetlab.scale.held_load import DOWN_COUNT, make_settings
from fleetlab.scale.process import resident_bytes
from fleetlab.scale.records import ScaleError
from relay.config import Config
from relay.driver import Driver
from relay.endpoint_list import DirectoryUpdate
from relay.journal import Journal
from relay.resource_usage import read_memory_bytes

# No connection is opened, because the event loop gets no iteration after the start.
UNUSED_ADDRESS = ("127.0.0.1", 9)
SPARE_MESSAGES = 1_000_000  # messages that the relay may hold beyond the recovered ones
TIMEOUT_S = 110.0  # for the process that replays


class Replay(msgspec.Struct, frozen=True):
    """What it took to start a relay from a journal."""

    recovered: int  # messages read from the journal
    held: int  # messages that the relay holds after its start
    journal_seconds: float  # to read the journal
    take_up_seconds: float  # for the driver to restore the messages, in one iteration of the event loop
    before_bytes: int  # resident memory before the journal was opened
    peak_bytes: int  # peak resident memory until the journal was read
    after_bytes: int  # resident memory with all messages restored


def make_config(folder: Path, disk_bytes: int, messages: int) -> Config:
    """Configuration of a relay that may hold all these messages, with an empty endpoint list."""
    return Config(
        name="relay",
        listen=UNUSED_ADDRESS,
        discovery=UNUSED_ADDRESS,
        state_dir=folder,
        seed=1,
        settings=make_settings(hold_cap=messages + SPARE_MESSAGES),
        connect_timeout_us=1_000_000,
        disk_bytes=disk_bytes,
        max_sockets=4 * DOWN_COUNT,
        memory_bytes=1 << 40,
        initial_hosts=DirectoryUpdate(0, True, ()),
    )


async def measure_replay(folder: Path, disk_bytes: int) -> Replay:
    """Start a journal and a driver, and close them before the event loop can make a call."""
    before_bytes, begun_s = resident_bytes(), time.monotonic()
    journal = Journal(folder, disk_bytes)
    journal_s = time.monotonic() - begun_s
    peak_bytes, recovered = read_memory_bytes(Path("/proc/self"))["VmHWM"], len(journal.recovered)
    driver = Driver(make_config(folder, disk_bytes, recovered), journal, _raise_error)
    begun_s = time.monotonic()
    driver.start()
    restore_s = time.monotonic() - begun_s
    held, after_bytes = driver.stats.in_flight, resident_bytes()
    driver.close()
    return Replay(recovered, held, journal_s, restore_s, before_bytes, peak_bytes, after_bytes)


def _raise_error(error: BaseException) -> None:
    raise error


def replay_in_process(folder: Path, disk_bytes: int) -> Replay:
    """``measure_replay`` in a new process, so that its memory is not mixed with this one's.

    Raises ``ScaleError`` if the process fails or exceeds ``TIMEOUT_S``.
    """
    command = [sys.executable, "-m", "fleetlab.scale.replay", str(folder), str(disk_bytes)]
    try:
        done = subprocess.run(command, capture_output=True, timeout=TIMEOUT_S, check=True)
    except (subprocess.TimeoutExpired, subprocess.CalledProcessError) as error:
        raise ScaleError(f"replay of {folder}: {error}") from None
    return msgspec.json.decode(done.stdout, type=Replay)


if __name__ == "__main__":
    print(msgspec.json.encode(asyncio.run(measure_replay(Path(sys.argv[1]), int(sys.argv[2])))).decode())
