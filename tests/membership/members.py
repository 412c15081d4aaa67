"""Real members on loopback: each a process of its own, with faults between them."""

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

BOUND_S = 60.0  # a wait that takes longer has failed, however slow the machine
PORT, OPERATORS = 7000, 7001
TIMES = {"period_ms": 300, "ack_ms": 120, "gossip_ms": 100, "exchange_ms": 2_000, "again_ms": 1_000}


class Members:
    """Some members of one fleet, by name; each has an address of its own."""

    def __init__(self, folder: Path, count: int) -> None:
        self.folder = folder
        self.names = [f"m{number}" for number in range(count)]
        net = ".".join(str(secrets.randbelow(250) + 2) for _ in range(2))
        self.addresses = {name: f"127.{net}.{number + 1}" for number, name in enumerate(self.names)}
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    def config(self, name: str, **changes: Any) -> Path:
        """A member's file, with some keys changed."""
        address = self.addresses[name]
        told = {
            "name": name,
            "fleet": "test",
            "listen": f"{address}:{PORT}",
            "folder": str(self.folder / name),
            "seeds": [f"{self.addresses[seed]}:{PORT}" for seed in self.names[:2]],
            "operators": f"{address}:{OPERATORS}",
        } | changes
        lines = [f"{key} = {json.dumps(value)}" for key, value in told.items()]
        lines += ["[times]", *(f"{key} = {value}" for key, value in TIMES.items())]
        path = self.folder / f"{name}-{len(list(self.folder.glob('*.toml')))}.toml"
        path.write_text("\n".join(lines), encoding="utf-8")
        return path

    async def start(self, *names: str) -> None:
        """One more life of each, beside whatever runs."""
        for name in names:
            with (self.folder / f"{name}.log").open("ab") as log:
                self.processes[name] = await asyncio.create_subprocess_exec(
                    *(sys.executable, "-m", "membership", str(self.config(name))), cwd=ROOT, stderr=log
                )

    async def kill(self, *names: str) -> None:
        """SIGKILL."""
        for name in names:
            self.processes[name].kill()
        for name in names:
            await self.processes.pop(name).wait()

    def signal(self, number: signal.Signals, *names: str) -> None:
        """A signal to each."""
        for name in names:
            self.processes[name].send_signal(number)

    async def stop(self) -> None:
        """End everything."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def page(self, name: str, path: str) -> bytes:
        """A page of a member; empty where it does not answer."""
        try:
            async with asyncio.timeout(5):
                reader, writer = await asyncio.open_connection(self.addresses[name], OPERATORS)
                try:
                    writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                    return (await reader.read()).partition(b"\r\n\r\n")[2]
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return b""

    async def view(self, name: str) -> dict[str, Any]:
        """What a member holds; empty where it does not answer."""
        return json.loads(await self.page(name, "/view") or b"{}")  # type: ignore[no-any-return]

    async def counts(self, name: str) -> dict[str, int]:
        """A member's counts."""
        lines = (await self.page(name, "/metrics")).decode().splitlines()
        return {key: int(value) for key, value in (line.split() for line in lines)}

    async def until(self, names: list[str], holds: Callable[[dict[str, Any]], bool]) -> list[dict[str, Any]]:
        """Wait until the view of each of them is so; their views."""
        async with asyncio.timeout(BOUND_S):
            while True:
                views = [await self.view(name) for name in names]
                if all(view and holds(view) for view in views):
                    return views
                await asyncio.sleep(0.1)

    async def agreed(self, *living: str) -> str:
        """Wait until just these are held as living, by all of them alike; the digest of that."""
        async with asyncio.timeout(BOUND_S):
            while True:
                views = await self.until(list(living), lambda view: states(view, "alive") == set(living))
                if len({view["digest"] for view in views}) == 1:
                    return str(views[0]["digest"])

    async def states_seen(self, name: str) -> set[tuple[str, str]]:
        """Names and states of all changes that a member has noted."""
        lines = (await self.page(name, "/history")).splitlines()
        return {(item["name"], item["state"]) for item in map(json.loads, lines)}


def states(view: dict[str, Any], *wanted: str) -> set[str]:
    """The members that a view has in one of these states."""
    return {item["name"] for item in view["members"] if item["state"] in wanted}
