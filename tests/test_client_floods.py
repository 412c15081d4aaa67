"""Clients that send more than they are entitled to: they neither hold up the rest nor fill the memory."""

from __future__ import annotations

import asyncio
import re
import socket
import threading
import time
from contextlib import suppress
from types import SimpleNamespace
from typing import cast

import pytest

from relay import admin, clients, fair_queue
from relay.driver import Driver
from relay.reasons import EndReason
from standins.scripted import MAX_WAIT_S, Request, World, encode_command, with_timeout
from tests.loop_iterations import nobody_held_up
from tests.test_client_memory import peak_memory_bytes

PING = encode_command(b"PING")
PONG = b"+PONG\r\n"
UNKNOWN = encode_command(b"UNKNWN")  # an unknown command of 16 bytes
FLOODERS = 6
FLOOD_BYTES = 1_000_000


@pytest.fixture
def server() -> clients.Server:
    """A server whose driver only tells the time: no request of these tests is valid."""
    return clients.Server(cast(Driver, SimpleNamespace(clock=lambda: 0)), 100, 32_000_000)


async def connect(server: clients.Server) -> tuple[clients.ClientConnection, socket.socket]:
    """Return a client as the server holds it, and its peer's blocking socket."""
    client = clients.ClientConnection(server)
    return client, await connect_peer(client)


async def connect_peer(client: asyncio.BaseProtocol) -> socket.socket:
    """Connect a client as a server holds it to a peer, and return the peer's socket."""
    left, right = socket.socketpair()
    left.setblocking(False)
    right.settimeout(MAX_WAIT_S)
    await asyncio.get_running_loop().connect_accepted_socket(lambda: client, left)
    return right


def read_all(peer: socket.socket) -> None:
    """Read until the connection ends."""
    with suppress(OSError):
        while peer.recv(1 << 20):
            pass


def send_and_read(peer: socket.socket, data: bytes, reads: bool = True) -> list[threading.Thread]:
    """Start threads that send all the data, and that read what comes back."""

    def send() -> None:
        with suppress(OSError):
            peer.sendall(data)
            peer.shutdown(socket.SHUT_WR)

    def read() -> None:
        if reads:
            read_all(peer)

    threads = [threading.Thread(target=target, daemon=True) for target in (send, read)]
    for thread in threads:
        thread.start()
    return threads


@pytest.mark.parametrize(
    "value",
    [b"+\r\n", b"*0\r\n", PING, encode_command(b"x"), encode_command(b"ENQUEUE", b"", b"", b"", b"")],
    ids=["simple strings", "empty arrays", "pings", "unknown commands", "incomplete messages"],
)
async def test_many_small_values_of_some_peers_hold_up_nobody_else(
    server: clients.Server, value: bytes
) -> None:
    """Guards against answering all values that one read brought before anything else runs."""
    _, other = await connect(server)
    flooders = [await connect(server) for _ in range(FLOODERS)]
    data = value * (FLOOD_BYTES // len(value))
    async with nobody_held_up():
        threads = [thread for _, peer in flooders for thread in send_and_read(peer, data)]
        for _ in range(20):
            await asyncio.to_thread(other.sendall, PING)
            assert await asyncio.to_thread(other.recv, 100) == PONG
        for client in [*server.clients, *server.lingering]:
            client.abort()
        other.close()
        for thread in threads:
            await asyncio.to_thread(thread.join)


@pytest.mark.parametrize(
    "data",
    [
        b"PUT /admin/cordon HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"1\r\nx\r\n" * 20_000,
        b"GET /admin/health HTTP/1.1\r\n" + b"a:\r\n" * 40_000,
    ],
    ids=["body in small chunks", "many headers"],
)
async def test_calls_of_operators_in_many_pieces_hold_up_nobody(data: bytes) -> None:
    """Guards against processing a call in one go, whose work does not follow from its length."""
    server = admin.AdminServer()
    peers = [await connect_peer(admin.OperatorConnection(server, admin.NO_COUNTS)) for _ in range(16)]
    async with nobody_held_up(), asyncio.timeout(MAX_WAIT_S):
        threads = [thread for peer in peers for thread in send_and_read(peer, data)]
        while server.connections:
            await asyncio.sleep(0.01)
    for thread in threads:
        await asyncio.to_thread(thread.join)


async def test_a_client_waits_for_one_quantum_of_each_other_at_most(
    server: clients.Server, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a turn that lasts until a peer has nothing left, or that skips those behind it."""
    monkeypatch.setattr(fair_queue, "QUANTUM_S", 0.0)
    monkeypatch.setattr(fair_queue, "FREE_SLICE_S", 0.0)
    monkeypatch.setattr(fair_queue, "LINE_SLICE_S", 0.0)
    connections = [await connect(server) for _ in range(20)]
    for client, _ in connections:
        client.data_received(PING * 100)
    for _ in range(3 * len(connections)):
        await asyncio.sleep(0)
    answers = [peer.recv(1000, socket.MSG_DONTWAIT) for _, peer in connections]
    assert all(1 <= len(answer) // len(PONG) <= 4 for answer in answers), "each has had its share"
    for client, peer in connections:
        client.abort()
        peer.close()


async def test_values_that_are_no_requests_end_their_connection(server: clients.Server) -> None:
    """Guards against error lines without end for a peer that never sends a request."""
    client, peer = await connect(server)
    client.data_received(b"+\r\n" * 1000)
    answer = bytearray()
    while data := await asyncio.to_thread(peer.recv, 1 << 20):
        answer += data
    assert answer.count(b"-ERR") == clients.MAX_OTHER_VALUES
    assert server.ended_counts == {EndReason.NO_REQUESTS: 1}
    peer.close()


async def test_replies_that_are_not_read_stop_their_client_and_end_its_connection(
    server: clients.Server, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against replies that pile up in the memory for peers that only send."""
    monkeypatch.setattr(clients, "UNREAD_REPLY_TIMEOUT_S", 0.1)
    client, peer = await connect(server)
    [sender, _] = send_and_read(peer, PING * 1_000_000, reads=False)
    most_bytes = 0

    async def until_ended() -> None:
        nonlocal most_bytes
        while server.connection_count:
            if client._transport is not None:
                most_bytes = max(most_bytes, client._transport.get_write_buffer_size())
            await asyncio.sleep(0.001)

    await with_timeout(until_ended())
    await asyncio.to_thread(sender.join)
    peer.close()
    assert most_bytes <= clients.MAX_UNREAD_REPLY_BYTES + len(PONG)
    assert server.ended_counts == {EndReason.REPLIES_NOT_READ: 1}


@pytest.fixture
def blocked_line(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let nobody have a turn: what has arrived waits in line."""
    monkeypatch.setattr(fair_queue.FairQueue, "run", lambda _queue, _work: None)


@pytest.mark.usefixtures("blocked_line")
async def test_a_client_whose_requests_wait_is_read_once_more_and_no_further(server: clients.Server) -> None:
    """Guards against a buffer that grows while its requests wait, and against a stop of every read."""
    client, peer = await connect(server)
    transport = client._transport
    assert transport is not None
    client.data_received(PING)
    assert transport.is_reading()
    client.data_received(PING)
    assert not transport.is_reading()
    while client._answer_next():
        pass
    assert transport.is_reading()
    client.abort()
    peer.close()


@pytest.mark.usefixtures("blocked_line")
@pytest.mark.parametrize("how", ["descriptor", "timeout"])
async def test_requests_that_wait_for_their_turn_are_answered_before_a_close(
    server: clients.Server, how: str
) -> None:
    """Guards against closing a connection over a request that was read and not answered, which loses it."""
    client, peer = await connect(server)
    client.data_received(PING * 3)
    assert server.has_queued_requests
    client.close_for_descriptor() if how == "descriptor" else client._request_timed_out()
    assert await asyncio.to_thread(peer.recv, 1000) == PONG * 3
    if how == "descriptor":
        assert await asyncio.to_thread(peer.recv, 1) == b""
    client.abort()
    peer.close()


async def test_requests_that_another_process_has_read_are_answered(server: clients.Server) -> None:
    """Guards against requests that wait for their turn during a handover and are then forgotten."""
    client = clients.ClientConnection(server, PING * 2 + PING[:5], float("inf"))
    peer = await connect_peer(client)
    assert await asyncio.to_thread(peer.recv, 1000) == PONG * 2
    client.abort()
    peer.close()


async def test_a_client_from_another_process_that_stops_in_a_request_is_told(
    server: clients.Server, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a client without a request that takes its missing time limit along into the next one."""
    monkeypatch.setattr(clients, "REQUEST_TIMEOUT_S", 0.1)
    client = clients.ClientConnection(server, b"", float("inf"))
    peer = await connect_peer(client)
    peer.send(PING[:5])
    assert (await asyncio.to_thread(peer.recv, 1000)).startswith(b"-ERR no whole request")
    client.abort()
    peer.close()


@pytest.mark.parametrize("count", [3 * 1024, 3 * 1024 + 1], ids=["whole buffers", "and a part"])
async def test_many_requests_that_have_arrived_are_answered_before_a_shutdown_closes(
    server: clients.Server, count: int
) -> None:
    """Guards against closing after a few reads, each of which takes only a part of what has arrived."""
    client, peer = await connect(server)
    assert 1024 * len(UNKNOWN) == clients.READ_BUFFER_BYTES
    peer.sendall(UNKNOWN * count)
    server.close_clients()
    received = bytearray()
    while data := await asyncio.to_thread(peer.recv, 1 << 20):
        received += data
    assert received.count(b"-ERR") == count
    client.abort()
    peer.close()


FULL_SPEED_S = 5.0
ANSWER_WITHIN_S = 0.4  # PROTOCOL: how long a client waits
NOTICE_WITHIN_S = 0.3  # PROTOCOL: behind the end of a message's time
OWN_MESSAGE_MS = 500
OWN_REF = re.compile(rb'"(own[0-9]+)"')
MEMORY_MB = 32  # TERMS: the smallest limit


def unsound_message(number: int, **fields: str) -> bytes:
    """Return a message without time left."""
    values = {"c": "safe", "t": "acme_corp", "d": "0", "k": "k", "dest": "2"} | fields
    listed = ",".join(f"{name}={value}" for name, value in values.items())
    return encode_command(b"ENQUEUE", b"o%d" % number, b"f%d" % number, listed.encode(), b"")


def send_at_full_speed(world: World, requests: list[bytes], until_s: float) -> None:
    """Send requests on one connection, with all answers read, and then the same again."""
    with socket.create_connection((world.address, world.port)) as peer:
        peer.settimeout(MAX_WAIT_S)
        reader = threading.Thread(target=read_all, args=(peer,), daemon=True)
        reader.start()
        with suppress(OSError):
            while time.monotonic() < until_s:
                for at in range(0, len(requests), 100):
                    peer.sendall(b"".join(requests[at : at + 100]))
                    if time.monotonic() >= until_s:
                        break
            peer.shutdown(socket.SHUT_RDWR)
        reader.join()


@pytest.mark.parametrize(
    "requests",
    [
        [PING] * 10_000,
        [encode_command(b"C%d" % number) for number in range(50_000)],
        [unsound_message(number, c=f"c{number}") for number in range(50_000)],
        [unsound_message(number, d="soon") for number in range(50_000)],
        [unsound_message(number, t=f"t{number}", k=f"k{number}") for number in range(50_000)],
        [unsound_message(number, dest=str(2 + number), t=f"t{number}") for number in range(50_000)],
    ],
    ids=["pings", "commands", "classes", "unsound lists", "tenants", "destinations"],
)
async def test_one_client_at_full_speed_neither_delays_others_nor_fills_the_memory(
    world: World, requests: list[bytes]
) -> None:
    """Guards against work and memory that one connection can take, also under ever new names."""
    world.memory_mb = MEMORY_MB
    await world.add_host("h1")
    client = await world.start_relay()
    loop = asyncio.get_running_loop()
    due_s = dict[str, float]()
    ended_s = dict[str, float]()
    reply = world.discovery.default_reply

    def timed_reply(request: Request) -> None:
        # A notice may come before the client's reply has been read, so it is timed whatever its message.
        for ref in OWN_REF.findall(request.body):
            ended_s[ref.decode()] = loop.time()
        reply(request)

    world.discovery.default_reply = timed_reply
    until_s = time.monotonic() + FULL_SPEED_S
    flood = asyncio.create_task(asyncio.to_thread(send_at_full_speed, world, requests, until_s))
    slowest_s = 0.0
    while time.monotonic() < until_s:
        sent_s, ref = loop.time(), f"own{len(due_s)}"
        answer = await client.submit(ref, d=OWN_MESSAGE_MS, dest=65_000)
        slowest_s = max(slowest_s, loop.time() - sent_s)
        if answer == b"+OK":
            due_s[ref] = sent_s + OWN_MESSAGE_MS / 1000
        await asyncio.sleep(0.05)
    await flood
    await asyncio.sleep(OWN_MESSAGE_MS / 1000 + NOTICE_WITHIN_S)
    assert slowest_s < ANSWER_WITHIN_S
    assert len(due_s) > 10
    late_by_s = {ref: ended_s.get(ref, float("inf")) - due_s[ref] for ref in due_s}
    assert max(late_by_s.values()) < NOTICE_WITHIN_S
    assert peak_memory_bytes(world) < MEMORY_MB * 1_000_000
