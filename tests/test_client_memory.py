"""Hundreds of connected clients: a real relay stays within the smallest memory limit of any deployment."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Iterable
from pathlib import Path

import pytest

from relay import admin
from relay.resource_usage import read_memory_bytes
from standins.scripted import World, encode_command, enqueue_words

MEMORY_MB = 32  # TERMS: between 32 and 192
SOCKETS = 1024
CLIENTS = 450  # the relay serves half as many clients as it has descriptors
PLAY_S = 4.0
PAUSE_S = 0.02  # s between the pieces that each client sends
LARGE = encode_command(*enqueue_words("large", body=bytes(65_000)))
MANY_FIELDS = ",".join(f"a{number}=" for number in range(500)).encode()
FIELDS = encode_command(b"ENQUEUE", b"0", b"m1", MANY_FIELDS, bytes(60_000))
SHORT_WORDS = b"*16\r\n" + b"$1\r\na\r\n" * 14 + b"$60000\r\n" + bytes(59_000)


def peak_memory_bytes(world: World) -> int:
    """Return the most memory that the relay's process has taken so far."""
    assert world.process is not None
    return read_memory_bytes(Path(f"/proc/{world.process.pid}"))["VmHWM"]


def connect_all(world: World, port: int, count: int) -> list[socket.socket]:
    """Return connected sockets that do not block."""
    peers = [socket.create_connection((world.address, port), timeout=10) for _ in range(count)]
    for peer in peers:
        peer.setblocking(False)
    return peers


def send_piecewise(peers: Iterable[socket.socket], data: bytes, piece_bytes: int, until_s: float) -> None:
    """Send the data again and again in pieces, without reading, to each peer that still takes them."""
    positions = dict.fromkeys(peers, 0)
    while positions and time.monotonic() < until_s:
        for peer, at in list(positions.items()):
            try:
                positions[peer] = (at + peer.send(data[at : at + piece_bytes])) % len(data)
            except BlockingIOError:
                continue
            except OSError:
                del positions[peer]
        time.sleep(PAUSE_S)


def play(world: World, data: bytes, piece_bytes: int, port: int) -> None:
    """Connect all clients twice in a row, and let them send."""
    for _ in range(2):
        peers = connect_all(world, port, CLIENTS)
        send_piecewise(peers, data, piece_bytes, time.monotonic() + PLAY_S / 2)
        for peer in peers:
            peer.close()


@pytest.mark.parametrize(
    ("data", "piece_bytes"),
    [
        (LARGE[:-1], 2048),
        (LARGE[:33_000], 33_000),
        (FIELDS[:-1], 2048),
        (SHORT_WORDS, 4096),
        (encode_command(b"PING") * 4000, 56_000),
    ],
    ids=["written slowly", "stopped half way", "many fields", "many words", "replies unread"],
)
async def test_hundreds_of_clients_stay_within_the_memory_limit(
    world: World, data: bytes, piece_bytes: int
) -> None:
    """Guards against input that waits for its turn and is counted nowhere: the process passed its limit."""
    world.memory_mb, world.sockets = MEMORY_MB, SOCKETS
    await world.add_host("h1")
    await world.start_relay()
    await asyncio.to_thread(play, world, data, piece_bytes, world.port)
    assert peak_memory_bytes(world) < MEMORY_MB * 1_000_000
    assert await (await world.connect_client()).submit("m1") == b"+OK"


async def test_operators_calls_with_very_many_headers_take_little_memory(world: World) -> None:
    """Guards against parsing them: each header takes some 45 times its bytes."""
    world.memory_mb, world.sockets, world.admin_port = MEMORY_MB, SOCKETS, world.free_port()
    await world.start_relay()
    before_bytes = peak_memory_bytes(world)
    head = b"GET /admin/health HTTP/1.1\r\n" + b"a:b\r\n" * 1_400
    for _ in range(3):
        await asyncio.to_thread(play, world, head, len(head), world.admin_port)
    assert peak_memory_bytes(world) - before_bytes < MEMORY_MB * 1_000_000 / 8
    few = b"GET /admin/health HTTP/1.1\r\nHost: r\r\n" + b"a:b\r\n" * (admin.MAX_HEAD_LINES - 2) + b"\r\n"
    assert b" 200 " in (await world.operator_request(few)).splitlines()[0]
    many = few[:-2] + b"a:b\r\n" * 2 + b"\r\n"
    assert b" 431 " in (await world.operator_request(many)).splitlines()[0]
