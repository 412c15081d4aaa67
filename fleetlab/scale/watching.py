"""Hollow watchers, many to a process: the real ``Watch`` of a relay, with nothing behind it.

``python -m fleetlab.scale.watching PORT COUNT VERSION`` starts that many, each at that version of the list,
and takes orders on its standard input (``fleetlab.scale.child``).
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

RECONNECT_S = (
    MIN_ASK_GAP_US / 1e6
)  # s before a broken watch is asked for again: the module's first gap, without its draw
START_BATCH_SIZE = 10  # watchers that come up together at the start
POLL_S = 0.01  # s between looks whether they are up
LOOPBACK = "127.0.0.1"


class CountReached(msgspec.Struct, frozen=True, tag="reached"):
    """An order: tell how many watchers have this version or a newer one."""

    version: int


class Watched(msgspec.Struct, frozen=True):
    """What the watchers of a process have heard so far."""

    reached: int  # watchers that have the version
    last_heard_s: float  # of the machine's monotonic clock: when the last line came to any
    lines: int
    entries: int
    broken: int  # watches that ended, for whatever reason


class Watcher:
    """One watcher; it comes back by itself after its watch broke."""

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

    def _handle_update(self, news: DirectoryUpdate) -> None:
        self.last_update_s = time.monotonic()
        self.lines += 1
        self.entries += len(news.endpoints)

    async def _handle_long_update(self, news: DirectoryUpdate) -> None:
        self._handle_update(news)

    def _handle_failure(self) -> None:
        self.broken += 1
        self._reconnect_timer = asyncio.get_running_loop().call_later(RECONNECT_S, self.watch.subscribe)

    def close(self) -> None:
        """Stop watching."""
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
        self.watch.close()


class WatcherGroup:
    """All watchers of one process."""

    def __init__(self, address: Address, count: int, version: int) -> None:
        self._watchers = [Watcher(address, version) for _ in range(count)]

    async def start(self) -> None:
        """Bring them up some at a time: only a return is to be a rush."""
        for first in range(0, len(self._watchers), START_BATCH_SIZE):
            some = self._watchers[first : first + START_BATCH_SIZE]
            for watcher in some:
                watcher.watch.subscribe()
            while not all(watcher.lines for watcher in some):
                await asyncio.sleep(POLL_S)

    def close(self) -> None:
        """Stop watching."""
        for watcher in self._watchers:
            watcher.close()

    def execute(self, order: CountReached) -> Watched:
        """Tell what was heard."""
        return Watched(
            reached=sum(1 for w in self._watchers if w.lines and w.watch.version >= order.version),
            last_heard_s=max(w.last_update_s for w in self._watchers),
            lines=sum(w.lines for w in self._watchers),
            entries=sum(w.entries for w in self._watchers),
            broken=sum(w.broken for w in self._watchers),
        )


def start_watchers(port: int, count: int, version: int) -> ChildProcess[Watched]:
    """Hollow watchers of a process of their own."""
    return ChildProcess("fleetlab.scale.watching", [str(port), str(count), str(version)], Watched)


async def serve(port: int, count: int, version: int) -> None:
    """Watch and carry out orders until the input ends."""
    watchers = WatcherGroup((LOOPBACK, port), count, version)
    start = asyncio.create_task(watchers.start())
    await serve_commands(CountReached, watchers.execute)
    start.cancel()


if __name__ == "__main__":
    logging.disable(logging.WARNING)  # a watch that ends is expected here, and counted
    asyncio.run(serve(*(int(argument) for argument in sys.argv[1:4])))
