"""Members in one process, on real sockets and folders, for tests of the network service."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec
import pytest

from quorum import store
from quorum.client import Client, QuorumError, find_leader, member_status
from quorum.config import Config, Times
from quorum.server import Server
from quorum.wire import Health
from tomlconfig import Address

TIMES = Times(least_election_ms=150, most_election_ms=300, heartbeat_ms=40)


def free_port() -> int:
    """Return a port that is not in use."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Quorum:
    """Servers by name; each can be stopped and started again."""

    def __init__(self, folder: Path, count: int, spare: int = 0) -> None:
        self.folder = folder
        names = [f"q{number}" for number in range(count + spare)]
        self.members = {name: ("127.0.0.1", free_port()) for name in names}
        self.operators = {name: free_port() for name in names}
        self.voters = names[:count]
        self.running: dict[str, Server] = {}

    def config(self, name: str) -> Config:
        """Return a member's configuration."""
        members = {other: f"{host}:{port}" for other, (host, port) in self.members.items()}
        return Config(
            name=name, listen=members[name], folder=str(self.folder / name), members=members,
            voters=list(self.voters), operators=f"127.0.0.1:{self.operators[name]}", times=TIMES,
            reserve_kb=64,
        )  # fmt: skip

    def written(self, name: str, path: Path) -> Path:
        """Write a member's configuration as a TOML file."""
        raw = msgspec.to_builtins(self.config(name))
        lines = [f"{key} = {json.dumps(item)}" for key, item in raw.items() if not isinstance(item, dict)]
        for key, item in raw.items():
            if isinstance(item, dict):
                lines += [f"[{key}]", *(f"{name} = {json.dumps(value)}" for name, value in item.items())]
        path.write_text("\n".join(lines), encoding="utf-8")
        return path

    async def start(self, *names: str) -> None:
        """Start some members."""
        for name in names:
            self.running[name] = Server(self.config(name))
            await self.running[name].start()

    async def stop(self, *names: str) -> None:
        """Stop some members."""
        for name in names:
            await self.running.pop(name).stop()

    def client(self) -> Client:
        """Return a client of all members."""
        return Client(self.members, "test")

    async def health(self, name: str) -> Health:
        """Ask a member for its status."""
        return await member_status(self.members[name])

    async def leader(self) -> str:
        """Return the leader's name, once there is one that has committed an entry."""
        leaders: list[Address] = []

        async def has_leader() -> bool:
            try:
                leaders.append(await find_leader({name: self.members[name] for name in self.running}))
            except QuorumError:
                return False
            health = await member_status(leaders[-1])
            return health.role == "leader" and health.commit > 0

        await until(has_leader)
        return next(name for name, address in self.members.items() if address == leaders[-1])


async def until(condition: Callable[[], object], within_s: float = 10.0) -> None:
    """Wait until a condition holds, given as a function or a coroutine function."""
    async with asyncio.timeout(within_s):
        while True:
            result = condition()
            if await result if asyncio.iscoroutine(result) else result:
                return
            await asyncio.sleep(0.02)


@asynccontextmanager
async def quorum(folder: Path, count: int = 3, spare: int = 0) -> AsyncIterator[Quorum]:
    """Run members and stop them at the end, whatever happens."""
    cluster = Quorum(folder, count, spare)
    await cluster.start(*cluster.voters)
    try:
        yield cluster
    finally:
        await cluster.stop(*list(cluster.running))


class FullDisks:
    """Simulates full disks of some folders: only the space of a reserve that was given up can be written."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.full: dict[Path, int] = {}  # bytes that can be written once the reserve is given up, by folder
        self._write, self._reserve = store.write_whole, os.posix_fallocate
        patch.setattr(store, "write_whole", self._written)
        patch.setattr(os, "posix_fallocate", self._reserved)

    def _folder(self, handle: int) -> Path | None:
        path = Path(os.readlink(f"/proc/self/fd/{handle}"))
        return next((folder for folder in self.full if folder in path.parents), None)

    def _written(self, handle: int, data: bytes) -> None:
        folder = self._folder(handle)
        if folder is not None:
            if (folder / "reserve").exists() or self.full[folder] < len(data):
                os.write(handle, data[: len(data) // 2])  # a full disk may take a part
                raise OSError(errno.ENOSPC, "No space left on device")
            self.full[folder] -= len(data)
        self._write(handle, data)

    def _reserved(self, handle: int, offset: int, size: int) -> None:
        if self._folder(handle) is not None:
            raise OSError(errno.ENOSPC, "No space left on device")
        self._reserve(handle, offset, size)
