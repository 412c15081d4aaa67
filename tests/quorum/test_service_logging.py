"""A log that cannot be written does no harm, and a member reconnects to others with growing pauses."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TextIO, cast

from quorum.service_logging import TolerantStream
from tests.quorum.servers import Quorum


class FullDiskStream:
    """A stream on a full disk."""

    def write(self, text: str) -> int:
        """Fail."""
        raise OSError(28, "No space left on device")

    def flush(self) -> None:
        """Fail."""
        raise OSError(28, "No space left on device")


def test_a_log_on_a_full_disk_is_left_out() -> None:
    """What cannot be written is dropped and counted, and nothing is raised."""
    stream = TolerantStream(cast(TextIO, FullDiskStream()))
    assert stream.write("x") == 0
    stream.flush()
    assert stream.dropped_writes == 2


async def test_who_ends_connections_at_once_is_called_with_pauses(tmp_path: Path) -> None:
    """A listener that accepts and closes at once, as a gateway in front of a dead member does."""
    calls = 0

    async def closed(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal calls
        calls += 1
        writer.close()

    cluster = Quorum(tmp_path, 3)
    server = await asyncio.start_server(closed, *cluster.members["q1"])
    await cluster.start("q0")
    await asyncio.sleep(2.0)
    await cluster.stop("q0")
    server.close()
    assert 2 <= calls <= 12
