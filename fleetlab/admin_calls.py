"""Requests to a relay's operator address: its health, and what its process costs."""

from __future__ import annotations

import asyncio
from contextlib import suppress

CALL_TIMEOUT_S = 1.0  # s for a whole request
COST_PREFIX = "app.cost."


async def http_get(address: str, port: int, path: str) -> tuple[int, str]:
    """Return the status and body of a GET request.

    Raise ``OSError``, ``ValueError`` or ``TimeoutError`` if no valid response comes.
    """
    async with asyncio.timeout(CALL_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(address, port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: relay\r\n\r\n".encode())
            head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        finally:
            writer.close()
    words = head.split(b" ", 2)
    if len(words) < 2:
        raise ValueError(f"not an HTTP response: {head!r}")
    return int(words[1]), body.decode()


async def is_healthy(address: str, port: int) -> bool:
    """Return whether a relay answers its health request with 2xx."""
    with suppress(OSError, TimeoutError, ValueError):
        status, _ = await http_get(address, port, "/admin/health")
        return 200 <= status < 300
    return False


async def read_costs(address: str, port: int) -> dict[str, float]:
    """Return the figures of a relay's cost page by name.

    Return none if the relay does not answer or has no such page.
    """
    with suppress(OSError, TimeoutError, ValueError):
        status, body = await http_get(address, port, "/admin/cost")
        if status == 200:
            lines = (line.removeprefix(COST_PREFIX).partition(":") for line in body.splitlines())
            return {name: float(value.partition("|")[0]) for name, _, value in lines}
    return {}
