"""Parting from clients whose frames are broken, with the server in the test's own process."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

import pytest

from mallowlug import clients
from mallowlug.relay import Driver
from tests.world import BOUND_S, soon

BROKEN = b"nonsense\r\n"


async def parted(server: clients.Server) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A connection on which a broken frame was answered and the server has ended its sending."""
    listener = await asyncio.get_running_loop().create_server(lambda: clients.Client(server), "127.0.0.1")
    reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
    listener.close()
    writer.write(BROKEN)
    assert (await soon(reader.read())).startswith(b"-ERR")
    return reader, writer


async def gone(server: clients.Server) -> None:
    """Wait until the server has let go of every connection."""
    async with asyncio.timeout(BOUND_S / 2):
        while server.clients:
            await asyncio.sleep(0)


@pytest.fixture
def server() -> clients.Server:
    """A server whose driver is never asked: no request here can be read."""
    return clients.Server(cast(Driver, None), 10)


async def test_what_comes_behind_a_broken_frame_resets_nothing(
    server: clients.Server, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A reset takes the error line away from a peer that has not read it yet."""
    monkeypatch.setattr(clients, "LINGER_S", BOUND_S)
    _reader, writer = await parted(server)
    writer.write(b"the rest")
    assert writer.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    writer.close()
    await gone(server)  # as soon as the peer closes


async def test_a_peer_that_stays_is_cut_off(server: clients.Server, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "LINGER_S", 0.0)
    _reader, writer = await parted(server)
    await gone(server)
    writer.close()
