"""Running out of descriptors, and thousands of misbehaving connections."""

from __future__ import annotations

import asyncio
import errno
import os
import resource
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from decisions.interface import Verdict
from relay import listeners
from relay.http import Connection
from relay.listeners import Listener
from standins.scripted import World, encode_command, enqueue_words, with_timeout
from tests.test_endpoint_calls import Calls, serving

BAD_CONNECTIONS = 1000  # of each kind
AT_ONCE = 100  # of them open at the same time


def open_now(pid: int) -> set[int]:
    """Return the open descriptors of a process."""
    return {int(name) for name in os.listdir(f"/proc/{pid}/fd")}


@asynccontextmanager
async def no_descriptor_left(pid: int) -> AsyncIterator[None]:
    """Lower the process's limit so that it cannot open another descriptor."""
    before = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    free = next(number for number in range(4096) if number not in open_now(pid))
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (free, before[1]))
    try:
        yield
    finally:
        resource.prlimit(pid, resource.RLIMIT_NOFILE, before)


async def test_without_descriptors_clients_are_served_new_ones_closed_and_it_recovers(world: World) -> None:
    host = await world.add_host("h1")
    client = await world.start_relay()
    await client.submit("m1")
    await host.wait_request(0)
    assert world.process is not None
    async with no_descriptor_left(world.process.pid):
        newcomers = [await asyncio.open_connection(world.address, world.port) for _ in range(20)]
        for reader, writer in newcomers:
            assert await with_timeout(reader.read()) == b""  # closed at once, without reading a request
            writer.close()
    client = await world.connect_client()
    assert await client.submit("m2") == b"+OK"
    assert (await host.wait_request(1)).refs == ["m2"]


async def test_without_descriptors_the_least_recently_active_client_is_closed(world: World) -> None:
    oldest = await world.start_relay()
    second = await world.connect_client()
    assert await second.command(b"PING") == b"+PONG"
    assert world.process is not None
    async with no_descriptor_left(world.process.pid):
        _reader, writer = await asyncio.open_connection(world.address, world.port)
        assert await with_timeout(oldest.reader.read()) == b""
        assert await second.command(b"PING") == b"+PONG"
        writer.close()


async def test_a_listener_without_descriptors_does_not_spin(monkeypatch: pytest.MonkeyPatch) -> None:
    """After one failed accept and one more to close what is pending, it pauses.

    asyncio's own server would call accept 512 times in each event loop iteration.
    """
    tries, freed = [0], list[str]()

    class Full(socket.socket):
        def accept(self) -> Any:
            tries[0] += 1
            raise OSError(errno.EMFILE, "none left")

    monkeypatch.setattr(listeners, "ACCEPT_PAUSE_S", 3600.0)
    sock = Full()
    sock.bind(("127.0.0.1", 0))
    listener = Listener(sock, asyncio.Protocol, lambda: freed.append("called"))
    await listener.start()
    with socket.create_connection(sock.getsockname()):
        for _ in range(200):
            await asyncio.sleep(0)
        assert tries[0] == 2
        assert freed == ["called"]
    listener.close()


async def test_a_call_without_a_descriptor_closes_an_idle_connection_for_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    host = await serving()
    calls = Calls(host.port)
    calls.send("m1")
    await calls.outcome("m1")
    assert calls.endpoint_calls.idle_count == 1
    opened, failures = Connection.open, [OSError(errno.EMFILE, "none left")]

    async def short(address: tuple[str, int]) -> Connection:
        if failures:
            raise failures.pop()
        return await opened(address)

    monkeypatch.setattr(Connection, "open", short)
    # As if the idle connection were another host's.
    monkeypatch.setattr(calls.endpoint_calls._idle_pool, "take", lambda _host: None)
    calls.send("m2")
    assert (await calls.outcome("m2")).verdict is Verdict.OK
    assert calls.endpoint_calls.connection_counts["gave way"] == 1
    host.stop()


async def test_a_call_without_a_descriptor_is_not_held_against_its_host(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Reported as a failed connect, it would slow down calls to healthy hosts."""

    async def short(_address: tuple[str, int]) -> Connection:
        raise OSError(errno.EMFILE, "none left")

    monkeypatch.setattr(Connection, "open", short)
    calls = Calls(1)
    calls.send("m1")
    outcome = await calls.outcome("m1")
    assert outcome.verdict is Verdict.NOT_SENT
    assert outcome.wait_us > 0


async def silent_close(world: World) -> None:
    """Connect and close without sending anything."""
    _reader, writer = await asyncio.open_connection(world.address, world.port)
    writer.close()
    await writer.wait_closed()


async def half_request(world: World) -> None:
    """Send half a request, then close the write side."""
    reader, writer = await asyncio.open_connection(world.address, world.port)
    writer.write(encode_command(*enqueue_words("half"))[:40])
    writer.write_eof()
    await with_timeout(reader.read())
    writer.close()


async def invalid_request(world: World) -> None:
    """Send bytes that are not RESP2: the relay answers with an error and closes."""
    reader, writer = await asyncio.open_connection(world.address, world.port)
    writer.write(b"nonsense\r\n")
    assert (await with_timeout(reader.read())).startswith(b"-ERR")
    writer.close()


async def reset(world: World) -> None:
    """Reset the connection in the middle of a request."""
    _reader, writer = await asyncio.open_connection(world.address, world.port)
    writer.write(encode_command(*enqueue_words("half"))[:40])
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@pytest.mark.parametrize("kind", [silent_close, half_request, invalid_request, reset])
async def test_a_thousand_bad_connections_leave_no_descriptor(
    world: World, kind: Callable[[World], Awaitable[None]]
) -> None:
    client = await world.start_relay()
    assert world.process is not None
    pid = world.process.pid
    await asyncio.sleep(0)
    before = len(open_now(pid))
    for _ in range(BAD_CONNECTIONS // AT_ONCE):
        await asyncio.gather(*(kind(world) for _ in range(AT_ONCE)))

    async def descriptors_released() -> None:
        while len(open_now(pid)) > before:
            await asyncio.sleep(0.02)

    await with_timeout(descriptors_released())
    assert await client.command(b"PING") == b"+PONG"
    assert Path(f"/proc/{pid}").exists()
