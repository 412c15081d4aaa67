"""Simulated watchers, many to a process: each is the real ``Watch`` of a relay without the rest of the relay.

``python -m fleetlab.scale.watching PORT COUNT VERSION`` starts ``COUNT`` watchers at this version of the list
and reads commands from its standard input (``fleetlab.scale.child``).
"""

from __future__ import annotations

import asyncio
import logging
import sys
import time

import msgspec

from decisions.engine import MIN_ASK_GAP_US
from fleetlab.scale.child import ChildProcess, serve_commands
from fleetlab.scale.endpoints import RELAY_MEMORY_BYTES
from relay.discovery import Watch, line_limit_for_memory
from relay.endpoint_list import DirectoryUpdate
from relay.http import Address

# Delay before a broken watch is opened again: the decision engine's first delay, without its jitter.
RECONNECT_S = MIN_ASK_GAP_US / 1e6
START_BATCH_SIZE = 10  # watchers that are started together
POLL_S = 0.01  # between checks whether a batch has started
LOOPBACK = "127.0.0.1"


class CountReached(msgspec.Struct, frozen=True, tag="reached"):
    """Return how many watchers have this version or a newer one, among other counts."""

    version: int


class Watched(msgspec.Struct, frozen=True):
    """What the watchers of a process have received so far."""

    reached: int  # watchers that have the version
    last_heard_s: float  # when any of them last received a line, by the machine's monotonic clock
    lines: int  # update lines received
    entries: int  # list entries in these lines
    broken: int  # watches that ended, for any reason


class Watcher:
    """One watcher; after its watch breaks, it opens a new one."""

    def __init__(self, address: Address, version: int) -> None:
        self.watch = Watch(
            address,
            version,
            on_update=self._handle_update,
            on_long_update=self._handle_long_update,
            on_end=self._handle_failure,
            max_line_bytes=line_limit_for_memory(RELAY_MEMORY_BYTES),
        )
        self._reconnect_timer: asyncio.TimerHandle | None = None
        self.last_update_s = 0.0
        self.lines = self.entries = self.broken = 0

    def _handle_update(self, update: DirectoryUpdate) -> None:
        self.last_update_s = time.monotonic()
        self.lines += 1
        self.entries += len(update.endpoints)

    async def _handle_long_update(self, update: DirectoryUpdate) -> None:
        self._handle_update(update)

    def _handle_failure(self) -> None:
        self.broken += 1
        self._reconnect_timer = asyncio.get_running_loop().call_later(RECONNECT_S, self.watch.subscribe)

    def close(self) -> None:
        """Close the watch, and do not open it again."""
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
        self.watch.close()


class WatcherGroup:
    """All watchers of one process."""

    def __init__(self, address: Address, count: int, version: int) -> None:
        self._watchers = [Watcher(address, version) for _ in range(count)]

    async def start(self) -> None:
        """Start the watchers in batches: only their return after an outage shall come all at once."""
        for first in range(0, len(self._watchers), START_BATCH_SIZE):
            batch = self._watchers[first : first + START_BATCH_SIZE]
            for watcher in batch:
                watcher.watch.subscribe()
            while not all(watcher.lines for watcher in batch):
                await asyncio.sleep(POLL_S)

    def close(self) -> None:
        """Close all watches."""
        for watcher in self._watchers:
            watcher.close()

    def execute(self, command: CountReached) -> Watched:
        """Execute one command; return what the watchers have received."""
        return Watched(
            reached=sum(1 for w in self._watchers if w.lines and w.watch.version >= command.version),
            last_heard_s=max(w.last_update_s for w in self._watchers),
            lines=sum(w.lines for w in self._watchers),
            entries=sum(w.entries for w in self._watchers),
            broken=sum(w.broken for w in self._watchers),
        )


def start_watchers(port: int, count: int, version: int) -> ChildProcess[Watched]:
    """Start ``count`` simulated watchers in a process of their own."""
    return ChildProcess("fleetlab.scale.watching", [str(port), str(count), str(version)], Watched)


async def serve(port: int, count: int, version: int) -> None:
    """Run the watchers and execute commands until the standard input ends."""
    watchers = WatcherGroup((LOOPBACK, port), count, version)
    start = asyncio.create_task(watchers.start())
    await serve_commands(CountReached, watchers.execute)
    start.cancel()


if __name__ == "__main__":
    logging.disable(logging.WARNING)  # watches that end are expected here, and counted
    asyncio.run(serve(*(int(argument) for argument in sys.argv[1:4])))
