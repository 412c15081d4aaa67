"""Calls of an operator to a relay's address: health, and what its process costs."""

from __future__ import annotations

import asyncio
from contextlib import suppress

CALL_TIMEOUT_S = 1.0  # s that a call waits
COST_PREFIX = "app.cost."


async def http_get(address: str, port: int, path: str) -> tuple[int, str]:
    """One call's status and body; ``OSError``, ``ValueError`` or ``TimeoutError`` where none comes."""
    async with asyncio.timeout(CALL_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(address, port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: relay\r\n\r\n".encode())
            head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        finally:
            writer.close()
    words = head.split(b" ", 2)
    if len(words) < 2:
        raise ValueError(f"no answer but {head!r}")
    return int(words[1]), body.decode()


async def is_healthy(address: str, port: int) -> bool:
    """Whether a relay's health call is answered with 2xx."""
    with suppress(OSError, TimeoutError, ValueError):
        status, _ = await http_get(address, port, "/admin/health")
        return 200 <= status < 300
    return False


async def read_costs(address: str, port: int) -> dict[str, float]:
    """The figures of a relay's ledger by name; none where it does not answer, as one without a ledger."""
    with suppress(OSError, TimeoutError, ValueError):
        status, body = await http_get(address, port, "/admin/cost")
        if status == 200:
            lines = (line.removeprefix(COST_PREFIX).partition(":") for line in body.splitlines())
            return {name: float(value.partition("|")[0]) for name, _, value in lines}
    return {}
