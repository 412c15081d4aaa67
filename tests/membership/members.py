"""A fleet of real members on loopback, each in a process of its own, with faults between them."""

from __future__ import annotations

import asyncio
import json
import secrets
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from standins.scripted import ROOT

WAIT_TIMEOUT_S = 60.0  # a longer wait is a failure, even on a slow machine
PORT = 7000  # for datagrams and exchanges
OPERATORS_PORT = 7001  # for the pages
TIMES = {"period_ms": 300, "ack_ms": 120, "gossip_ms": 100, "exchange_ms": 2_000, "again_ms": 1_000}


class Members:
    """The members of one fleet, by name; each has a loopback address of its own."""

    def __init__(self, folder: Path, count: int) -> None:
        self.folder = folder
        self.names = [f"m{number}" for number in range(count)]
        subnet = ".".join(str(secrets.randbelow(250) + 2) for _ in range(2))
        self.addresses = {name: f"127.{subnet}.{number + 1}" for number, name in enumerate(self.names)}
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    def config(self, name: str, **changes: Any) -> Path:
        """Write a member's configuration file, with some keys changed, and return its path."""
        address = self.addresses[name]
        options = {
            "name": name,
            "fleet": "test",
            "listen": f"{address}:{PORT}",
            "folder": str(self.folder / name),
            "seeds": [f"{self.addresses[seed]}:{PORT}" for seed in self.names[:2]],
            "operators": f"{address}:{OPERATORS_PORT}",
        } | changes
        lines = [f"{key} = {json.dumps(value)}" for key, value in options.items()]
        lines += ["[times]", *(f"{key} = {value}" for key, value in TIMES.items())]
        path = self.folder / f"{name}-{len(list(self.folder.glob('*.toml')))}.toml"
        path.write_text("\n".join(lines), encoding="utf-8")
        return path

    async def start(self, *names: str) -> None:
        """Start a new life of each, in addition to any that runs."""
        for name in names:
            with (self.folder / f"{name}.log").open("ab") as log:
                self.processes[name] = await asyncio.create_subprocess_exec(
                    *(sys.executable, "-m", "membership", str(self.config(name))), cwd=ROOT, stderr=log
                )

    async def kill(self, *names: str) -> None:
        """Kill each with SIGKILL, and wait until it has ended."""
        for name in names:
            self.processes[name].kill()
        for name in names:
            await self.processes.pop(name).wait()

    def signal(self, number: signal.Signals, *names: str) -> None:
        """Send a signal to each."""
        for name in names:
            self.processes[name].send_signal(number)

    async def stop(self) -> None:
        """Kill all processes that still run."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def page(self, name: str, path: str) -> bytes:
        """The body of a member's page; empty if it does not answer."""
        try:
            async with asyncio.timeout(5):
                reader, writer = await asyncio.open_connection(self.addresses[name], OPERATORS_PORT)
                try:
                    writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                    return (await reader.read()).partition(b"\r\n\r\n")[2]
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return b""

    async def view(self, name: str) -> dict[str, Any]:
        """A member's view; empty if it does not answer."""
        return json.loads(await self.page(name, "/view") or b"{}")  # type: ignore[no-any-return]

    async def counts(self, name: str) -> dict[str, int]:
        """A member's metrics by name."""
        lines = (await self.page(name, "/metrics")).decode().splitlines()
        return {key: int(value) for key, value in (line.split() for line in lines)}

    async def until(
        self, names: list[str], condition: Callable[[dict[str, Any]], bool]
    ) -> list[dict[str, Any]]:
        """Wait until the view of each of them meets a condition, and return their views."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                views = [await self.view(name) for name in names]
                if all(view and condition(view) for view in views):
                    return views
                await asyncio.sleep(0.1)

    async def agreed(self, *living: str) -> str:
        """Wait until exactly these are alive in the views of all of them; returns their common digest."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                views = await self.until(list(living), lambda view: states(view, "alive") == set(living))
                if len({view["digest"] for view in views}) == 1:
                    return str(views[0]["digest"])

    async def states_seen(self, name: str) -> set[tuple[str, str]]:
        """The names and states of all changes in a member's history."""
        lines = (await self.page(name, "/history")).splitlines()
        return {(item["name"], item["state"]) for item in map(json.loads, lines)}


def states(view: dict[str, Any], *wanted: str) -> set[str]:
    """The names of the members that are in one of these states in a view."""
    return {item["name"] for item in view["members"] if item["state"] in wanted}
