"""Real processes of the service on loopback, and what each has used, by the system's accounting."""

from __future__ import annotations

import asyncio
import os
import secrets
import sys
from collections.abc import Sequence
from pathlib import Path

HTTP_TIMEOUT_S = 5.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def random_loopback_prefix() -> str:
    """The first three numbers of an address range on loopback that is drawn, so that two runs do not meet."""
    return ".".join(["127", *(str(secrets.randbelow(250) + 2) for _ in range(2))])


class Programs:
    """Processes of one measurement; leaving the context ends all that it started."""

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
        """A module with a configuration file; the process's id."""
        path = self._folder / f"{name}.toml"
        path.write_text(config, encoding="utf-8")
        with (self._folder / f"{name}.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, str(path), stdout=log, stderr=log
            )
        self._started.append(process)
        return process.pid


def processor_seconds_of(processes: Sequence[int]) -> float:
    """Processor time of some processes so far, in user and system mode, in seconds."""
    return sum(_processor_ticks(number) for number in processes) / TICKS_PER_S


def _processor_ticks(number: int) -> int:
    fields = Path(f"/proc/{number}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def resident_bytes_of(number: int) -> int:
    """Memory that a process holds now."""
    pages = int(Path(f"/proc/{number}/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


async def fetch_page(host: str, port: int, path: str) -> bytes:
    """A page of an operators' address; ``OSError`` or ``TimeoutError`` where there is none."""
    async with asyncio.timeout(HTTP_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            return (await reader.read()).partition(b"\r\n\r\n")[2]
        finally:
            writer.close()


async def fetch_metrics(host: str, port: int) -> dict[str, float]:
    """The figures of ``/metrics``, by name with labels; empty where nobody answers yet."""
    try:
        text = (await fetch_page(host, port, "/metrics")).decode()
    except (OSError, TimeoutError):
        return {}
    pairs = [line.rpartition(" ") for line in text.splitlines() if line and not line.startswith("#")]
    return {name: float(value) for name, _, value in pairs}
