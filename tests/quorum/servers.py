"""Members in one process, on real sockets and folders, for tests of the shell."""

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
    """A port that nothing uses."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Quorum:
    """Servers by name; each can be ended and started again."""

    def __init__(self, folder: Path, count: int, spare: int = 0) -> None:
        self.folder = folder
        names = [f"q{number}" for number in range(count + spare)]
        self.members = {name: ("127.0.0.1", free_port()) for name in names}
        self.operators = {name: free_port() for name in names}
        self.voters = names[:count]
        self.up: dict[str, Server] = {}

    def config(self, name: str) -> Config:
        """A member's configuration."""
        members = {other: f"{host}:{port}" for other, (host, port) in self.members.items()}
        return Config(
            name=name, listen=members[name], folder=str(self.folder / name), members=members,
            voters=list(self.voters), operators=f"127.0.0.1:{self.operators[name]}", times=TIMES,
            reserve_kb=64,
        )  # fmt: skip

    def written(self, name: str, path: Path) -> Path:
        """A member's configuration as a file."""
        raw = msgspec.to_builtins(self.config(name))
        plain = [f"{key} = {json.dumps(item)}" for key, item in raw.items() if not isinstance(item, dict)]
        for key, item in raw.items():
            if isinstance(item, dict):
                plain += [f"[{key}]", *(f"{name} = {json.dumps(value)}" for name, value in item.items())]
        path.write_text("\n".join(plain), encoding="utf-8")
        return path

    async def start(self, *names: str) -> None:
        """Start some members."""
        for name in names:
            self.up[name] = Server(self.config(name))
            await self.up[name].start()

    async def stop(self, *names: str) -> None:
        """End some members."""
        for name in names:
            await self.up.pop(name).stop()

    def client(self) -> Client:
        """A client of all of them."""
        return Client(self.members, "test")

    async def health(self, name: str) -> Health:
        """How one says that it is."""
        return await member_status(self.members[name])

    async def leader(self) -> str:
        """Who leads, once somebody does."""
        found: list[Address] = []

        async def led() -> bool:
            try:
                found.append(await find_leader({name: self.members[name] for name in self.up}))
            except QuorumError:
                return False
            health = await member_status(found[-1])
            return health.role == "leader" and health.commit > 0

        await until(led)
        return next(name for name, address in self.members.items() if address == found[-1])


async def until(holds: Callable[[], object], within_s: float = 10.0) -> None:
    """Wait until something holds; a function or one that is awaited."""
    async with asyncio.timeout(within_s):
        while True:
            held = holds()
            if await held if asyncio.iscoroutine(held) else held:
                return
            await asyncio.sleep(0.02)


@asynccontextmanager
async def quorum(folder: Path, count: int = 3, spare: int = 0) -> AsyncIterator[Quorum]:
    """Members that run, and are ended whatever happens."""
    some = Quorum(folder, count, spare)
    await some.start(*some.voters)
    try:
        yield some
    finally:
        await some.stop(*list(some.up))


class FullDisks:
    """Folders whose disk is full: nothing is written beside what their reserve made room for."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.full: dict[Path, int] = {}  # folder: bytes that are left once its reserve is given up
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
                os.write(handle, data[: len(data) // 2])  # as a full disk does: a part is there
                raise OSError(errno.ENOSPC, "No space left on device")
            self.full[folder] -= len(data)
        self._write(handle, data)

    def _reserved(self, handle: int, offset: int, size: int) -> None:
        if self._folder(handle) is not None:
            raise OSError(errno.ENOSPC, "No space left on device")
        self._reserve(handle, offset, size)
