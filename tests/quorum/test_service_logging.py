"""A log that cannot be written costs nobody anything, and a member that is alone tries others with pauses."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TextIO, cast

from quorum.service_logging import TolerantStream
from tests.quorum.servers import Quorum


class Broken:
    """A stream on a full disk."""

    def write(self, text: str) -> int:
        """Refuse."""
        raise OSError(28, "No space left on device")

    def flush(self) -> None:
        """Refuse."""
        raise OSError(28, "No space left on device")


def test_a_log_on_a_full_disk_is_left_out() -> None:
    """And nothing is raised."""
    lines = TolerantStream(cast(TextIO, Broken()))
    assert lines.write("x") == 0
    lines.flush()
    assert lines.dropped_writes == 2


async def test_who_ends_connections_at_once_is_called_with_pauses(tmp_path: Path) -> None:
    """A listener that accepts and closes, as a gateway before a dead member does."""
    calls = 0

    async def closed(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal calls
        calls += 1
        writer.close()

    some = Quorum(tmp_path, 3)
    server = await asyncio.start_server(closed, *some.members["q1"])
    await some.start("q0")
    await asyncio.sleep(2.0)
    await some.stop("q0")
    server.close()
    assert 2 <= calls <= 12
