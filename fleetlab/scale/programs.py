"""Real service processes on loopback, and the processor time and memory that each has used."""

from __future__ import annotations

import asyncio
import os
import secrets
import sys
from collections.abc import Sequence
from pathlib import Path

HTTP_TIMEOUT_S = 5.0  # for a page of a process
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def random_loopback_prefix() -> str:
    """The first three numbers of a loopback address range, random so that two runs do not collide."""
    return ".".join(["127", *(str(secrets.randbelow(250) + 2) for _ in range(2))])


class Programs:
    """The processes of one measurement; leaving the context kills all that it started."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._started: list[asyncio.subprocess.Process] = []

    async def __aenter__(self) -> Programs:
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self._started:
            if process.returncode is None:
                process.kill()
        for process in self._started:
            await process.wait()

    async def start(self, name: str, module: str, config: str) -> int:
        """Start a module with this text as its configuration file; return the process id."""
        path = self._folder / f"{name}.toml"
        path.write_text(config, encoding="utf-8")
        with (self._folder / f"{name}.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, str(path), stdout=log, stderr=log
            )
        self._started.append(process)
        return process.pid


def processor_seconds_of(process_ids: Sequence[int]) -> float:
    """Processor time that these process ids have used so far, user and system, in seconds."""
    return sum(_processor_ticks(process_id) for process_id in process_ids) / TICKS_PER_S


def _processor_ticks(process_id: int) -> int:
    fields = Path(f"/proc/{process_id}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def resident_bytes_of(process_id: int) -> int:
    """Resident memory of a process."""
    pages = int(Path(f"/proc/{process_id}/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


async def fetch_page(host: str, port: int, path: str) -> bytes:
    """The body of a page at an operators' address.

    Raises ``OSError`` or ``TimeoutError`` if the process does not answer.
    """
    async with asyncio.timeout(HTTP_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            return (await reader.read()).partition(b"\r\n\r\n")[2]
        finally:
            writer.close()


async def fetch_metrics(host: str, port: int) -> dict[str, float]:
    """The values of ``/metrics`` by name with labels; empty if the process does not answer yet."""
    try:
        text = (await fetch_page(host, port, "/metrics")).decode()
    except (OSError, TimeoutError):
        return {}
    pairs = [line.rpartition(" ") for line in text.splitlines() if line and not line.startswith("#")]
    return {name: float(value) for name, _, value in pairs}
