"""Readings of a running process from outside: by the system, by strace, and by the probe.

A source that the machine lacks gives no figures; they are left out and not reported as zero.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
from dataclasses import dataclass
from pathlib import Path

TICK_S = 1 / os.sysconf("SC_CLK_TCK")
POLL_INTERVAL_S = 0.01  # between checks for what the relay or the probe has done
Figures = dict[str, float]


class CostError(Exception):
    """A measurement cannot be made; the text is one line."""


@dataclass(frozen=True, slots=True)
class Usage:
    """Resources that a process had used, or uses, when it was read."""

    cpu_us: float  # processor time of all threads
    system_us: float  # its part in the kernel, which the system counts in whole ticks
    sleeps: int  # voluntary context switches
    memory_kb: int  # resident
    peak_memory_kb: int  # resident
    descriptors: int  # open


def parse_status(text: str) -> dict[str, int]:
    """Return the fields of ``/proc/PID/status`` that begin with a number."""
    pairs = (line.split(":", 1) for line in text.splitlines() if ":" in line)
    return {name: int(words[0]) for name, rest in pairs if (words := rest.split()) and words[0].isdecimal()}


def read_usage(pid: int) -> Usage:
    """Read a process's usage; raises ``CostError`` if it is gone."""
    folder = Path(f"/proc/{pid}")
    try:
        cpu_ns = [int((task / "schedstat").read_text().split()[0]) for task in (folder / "task").iterdir()]
        status = parse_status((folder / "status").read_text())
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        descriptors = len(list((folder / "fd").iterdir()))
    except (OSError, IndexError) as error:
        raise CostError(f"the relay cannot be read: {error}") from error
    return Usage(
        cpu_us=sum(cpu_ns) / 1000,
        system_us=int(fields[12]) * TICK_S * 1e6,
        sleeps=status["voluntary_ctxt_switches"],
        memory_kb=status.get("VmRSS", 0),
        peak_memory_kb=status.get("VmHWM", 0),
        descriptors=descriptors,
    )


def parse_strace_summary(summary: str) -> dict[str, int]:
    """Return the number of system calls by name from the table of ``strace -c``."""
    calls: dict[str, int] = {}
    for line in summary.splitlines():
        words = line.split()
        if len(words) >= 5 and words[0].replace(".", "").isdecimal() and words[-1] != "total":
            calls[words[-1]] = int(words[3])
    return calls


class Probe:
    """Reads counts from inside the process, which it writes to a file when it gets a signal."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.profile = path.with_name(path.name + ".profile")

    @property
    def environment(self) -> dict[str, str]:
        """The variables that make a Python process load the probe."""
        folder = str(Path(__file__).resolve().parent / "probe")
        return {"COST_PROBE": str(self.path), "PYTHONPATH": folder}

    async def read(self, pid: int) -> Figures:
        """Signal the process, and wait for the line that it writes."""
        before = self._lines()
        os.kill(pid, signal.SIGUSR1)
        while len(lines := self._lines()) == len(before):
            await asyncio.sleep(POLL_INTERVAL_S)
        return {name: float(value) for name, value in json.loads(lines[-1]).items()}

    def _lines(self) -> list[str]:
        text = self.path.read_text(encoding="utf-8") if self.path.exists() else ""
        return text[: text.rfind("\n") + 1].splitlines()


class Strace:
    """Counts the system calls of a process; gives none if ``strace`` is not installed."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, pid: int) -> None:
        """Attach to the process and wait until strace has done so."""
        program = shutil.which("strace")
        if program is None:
            return
        self._process = await asyncio.create_subprocess_exec(
            program,
            *("-c", "-f", "-U", "time-percent,total-time,avg-time,calls,name", "-o", str(self._path)),
            *("-p", str(pid)),
            stderr=asyncio.subprocess.PIPE,
        )
        assert self._process.stderr is not None
        await self._process.stderr.readline()  # reports that it is attached, or why not

    async def stop(self) -> dict[str, int]:
        """Detach; returns the number of calls by name, empty if they could not be counted."""
        if self._process is None:
            return {}
        if self._process.returncode is None:
            self._process.send_signal(signal.SIGINT)
        await self._process.wait()
        return parse_strace_summary(self._path.read_text()) if self._path.exists() else {}
