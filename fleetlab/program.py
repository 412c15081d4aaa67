"""What the lab's own small programs share: their start from a configuration file, and calls to others."""

from __future__ import annotations

import asyncio
import sys
import tomllib
from collections.abc import Callable, Coroutine
from typing import Any

PROGRAM_PORT = 7000  # where each listens, at its own address


def run_program(run: Callable[[dict[str, Any]], Coroutine[Any, Any, None]]) -> int:
    """Run a program with the TOML file that its command names."""
    with open(sys.argv[1], "rb") as file:
        config = tomllib.load(file)
    asyncio.run(run(config))
    return 0


async def connect_to(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A connection to ``host:port``."""
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port))
