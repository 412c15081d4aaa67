"""What the lab's own small programs share: starting from a configuration file, and connecting to others."""

from __future__ import annotations

import asyncio
import sys
import tomllib
from collections.abc import Callable, Coroutine
from typing import Any

PROGRAM_PORT = 7000  # where each program listens, at its own address


def run_program(run: Callable[[dict[str, Any]], Coroutine[Any, Any, None]]) -> int:
    """Run a program with the TOML file that the first argument names; return the exit code."""
    with open(sys.argv[1], "rb") as file:
        config = tomllib.load(file)
    asyncio.run(run(config))
    return 0


async def connect_to(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to ``host:port``."""
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port))
