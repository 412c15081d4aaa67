"""``python -m fleetlab.scale.replay FOLDER DISK_BYTES``: a start over a journal, in its own process."""

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

UNUSED_ADDRESS = ("127.0.0.1", 9)  # nobody is called: the loop does not turn
SPARE_MESSAGES = 1_000_000  # messages more than recovered, which a relay may hold
TIMEOUT_S = 110.0


class Replay(msgspec.Struct, frozen=True):
    """What a start over a journal took."""

    recovered: int  # messages in the journal
    held: int  # messages that the relay holds after its start
    journal_seconds: float  # to read the journal
    take_up_seconds: float  # to give its messages to the relay and the module, in one turn of the loop
    before_bytes: int  # resident, before the journal was opened
    peak_bytes: int  # the most that was resident, until the journal was read
    after_bytes: int  # resident, with all taken up


def make_config(folder: Path, disk_bytes: int, messages: int) -> Config:
    """A relay that may hold them all, with no endpoint listed."""
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
    """Start the relay's own parts; they are closed before the loop turns, so nobody is called."""
    before_bytes, begun_s = resident_bytes(), time.monotonic()
    journal = Journal(folder, disk_bytes)
    journal_s = time.monotonic() - begun_s
    peak_bytes, recovered = read_memory_bytes(Path("/proc/self"))["VmHWM"], len(journal.recovered)
    driver = Driver(make_config(folder, disk_bytes, recovered), journal, _raise_error)
    begun_s = time.monotonic()
    driver.start()
    take_up_s = time.monotonic() - begun_s
    held, after_bytes = driver.stats.in_flight, resident_bytes()
    driver.close()
    return Replay(recovered, held, journal_s, take_up_s, before_bytes, peak_bytes, after_bytes)


def _raise_error(error: BaseException) -> None:
    raise error


def replay_in_process(folder: Path, disk_bytes: int) -> Replay:
    """The same in a fresh process, whose memory is its own; ``ScaleError`` where it fails."""
    command = [sys.executable, "-m", "fleetlab.scale.replay", str(folder), str(disk_bytes)]
    try:
        done = subprocess.run(command, capture_output=True, timeout=TIMEOUT_S, check=True)
    except (subprocess.TimeoutExpired, subprocess.CalledProcessError) as error:
        raise ScaleError(f"replay of {folder}: {error}") from None
    return msgspec.json.decode(done.stdout, type=Replay)


if __name__ == "__main__":
    print(msgspec.json.encode(asyncio.run(measure_replay(Path(sys.argv[1]), int(sys.argv[2])))).decode())
