"""Calls to an endpoint, one connection at a time: which outcome each way to end proves."""

from __future__ import annotations

import asyncio
import math
import os
import pickle
import socket
import struct
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress

import h11
import pytest

from decisions.interface import DestinationKind, Entry, Listing, Verdict
from relay.answers import parse_load_report, parse_wait_us, verdict_of
from relay.calls import Call, Part, PartOutcome
from relay.endpoint_calls import CallsHandover, EndpointCalls
from relay.endpoint_list import DirectoryUpdate, ListedEndpoint
from relay.http import Connection
from standins.scripted import HttpServer, Request, deliver_all, no_answer, with_timeout
from tests.sockets import full_backlog

KIND = DestinationKind("banks", limit_per_endpoint=True, batch_size=10)


class Calls:
    """EndpointCalls with one listed endpoint, h1, and the outcomes by message id."""

    def __init__(self, port: int, connect_timeout_us: int = 10_000_000) -> None:
        self.outcomes: dict[str, PartOutcome] = {}
        self.outcome_added = asyncio.Event()
        self._connect_timeout_us = connect_timeout_us
        self.endpoint_calls = self.new_endpoint_calls()
        self.set_listing(port)

    def new_endpoint_calls(self) -> EndpointCalls:
        """Return those of a process that has not sent anything."""
        return EndpointCalls([KIND], 15_000_000, self._connect_timeout_us, 10, self._settled)

    def set_listing(self, port: int, listing: Listing = Listing.READY) -> None:
        """List the endpoint at a port of 127.0.0.1."""
        entry = Entry("h1", 1, "a", "banks", listing)
        self.endpoint_calls.apply_update(
            DirectoryUpdate(1, False, (ListedEndpoint(entry, ("127.0.0.1", port)),))
        )

    def _settled(self, _call: Call, part: Part, outcome: PartOutcome) -> None:
        self.outcomes[part.id] = outcome
        self.outcome_added.set()

    def send(
        self,
        *refs: str,
        limit_us: int = 20_000_000,
        body: bytes = b"x",
        send_by_s: dict[str, float] | None = None,
    ) -> Call:
        """Send one call with a part per id; ``send_by_s``: monotonic ends of windows, by id."""
        parts = [Part(ref, 0, "", body, limit_us, 60_000_000) for ref in refs]
        for part in parts:
            part.send_by_s = (send_by_s or {}).get(part.id, math.inf)
        call = Call("h1", parts, time.monotonic())
        self.endpoint_calls.send(call)
        return call

    async def outcome(self, ref: str) -> PartOutcome:
        """Wait for the outcome of a message's attempt."""
        while ref not in self.outcomes:
            self.outcome_added.clear()
            await with_timeout(self.outcome_added.wait())
        return self.outcomes[ref]


async def serving(reply: object = deliver_all) -> HttpServer:
    """Start an endpoint that answers each request by ``reply``."""
    host = HttpServer(reply)  # type: ignore[arg-type]
    await host.start()
    return host


async def test_a_drain_between_decision_and_write_binds_the_write() -> None:
    """The directory may announce a drain while the connection is set up: the call must not be sent then."""
    host = await serving()
    calls = Calls(host.port)
    calls.send("m1")
    calls.set_listing(host.port, Listing.DRAINING)
    assert await calls.outcome("m1") == PartOutcome(Verdict.NOT_SENT)
    assert host.requests == []
    host.stop()


async def test_a_wait_between_decision_and_write_binds_the_write() -> None:
    host = await serving(lambda request: request.answer(429, X_Retry_In_Ms="60000"))
    calls = Calls(host.port)
    calls.send("m1")
    await calls.outcome("m1")
    calls.send("m2")
    outcome = await calls.outcome("m2")
    assert outcome.verdict is Verdict.NOT_SENT
    assert 0 < outcome.wait_us <= 60_000_000
    assert len(host.requests) == 1
    host.stop()


async def test_a_refused_connection_never_ran() -> None:
    with socket.socket() as sock:  # bound and not listening
        sock.bind(("127.0.0.1", 0))
        calls = Calls(sock.getsockname()[1])
        calls.send("m1")
        assert (await calls.outcome("m1")).verdict is Verdict.CONNECT_FAILED


async def test_a_connection_that_never_comes_up_never_ran() -> None:
    """A full backlog accepts no further connection, like a machine that is cut off."""
    with full_backlog() as full:
        calls = Calls(full.port, connect_timeout_us=300_000)
        calls.send("m1")
        assert (await calls.outcome("m1")).verdict is Verdict.CONNECT_FAILED


async def test_a_break_before_the_last_byte_never_ran() -> None:
    """An endpoint that stops reading and resets cannot have begun, however much of the request it has."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", 0))
        sock.listen(1)
        sock.setblocking(False)
        calls = Calls(sock.getsockname()[1])
        call = calls.send(*(f"m{n}" for n in range(64)), body=bytes(65536))
        loop = asyncio.get_running_loop()
        peer, _ = await with_timeout(loop.sock_accept(sock))
        while call.connection is None or not call.connection.request_begun:
            await asyncio.sleep(0.01)
        assert not call.fully_written
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
        assert (await calls.outcome("m0")).verdict is Verdict.CONNECT_FAILED


async def test_a_limit_before_the_last_byte_never_ran() -> None:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", 0))
        sock.listen(1)
        calls = Calls(sock.getsockname()[1])
        call = calls.send("m1", limit_us=200_000, body=bytes(16 << 20))
        assert (await calls.outcome("m1")).verdict is Verdict.CONNECT_FAILED
        assert call.connection is not None
        assert call.connection.request_begun


@asynccontextmanager
async def held_up(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[asyncio.Event]:
    """Delay the set-up of connections until the event is set."""
    gate, opened = asyncio.Event(), Connection.open

    async def open_late(address: tuple[str, int]) -> Connection:
        await with_timeout(gate.wait())
        return await opened(address)

    monkeypatch.setattr(Connection, "open", open_late)
    yield gate
    gate.set()


async def test_a_window_that_ends_while_a_connection_comes_up_bars_the_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A repeat after its key's window would take effect twice; the other message is sent alone."""
    host = await serving()
    calls = Calls(host.port)
    async with held_up(monkeypatch) as gate:
        call = calls.send("m1", "m2", send_by_s={"m1": time.monotonic() + 0.05})
        assert await calls.outcome("m1") == PartOutcome(Verdict.NOT_SENT)
        assert call.connection is None
        gate.set()
        assert (await calls.outcome("m2")).verdict is Verdict.OK
    assert [request.refs for request in host.requests] == [["m2"]]
    host.stop()


async def test_a_window_that_ended_unseen_bars_the_write(monkeypatch: pytest.MonkeyPatch) -> None:
    """The loop may be late: the connection is set up before the timer for the window's end has run."""
    host = await serving()
    calls = Calls(host.port)
    monkeypatch.setattr(EndpointCalls, "_schedule_window_end", lambda _hosts, _call: None)
    async with held_up(monkeypatch) as gate:
        window_end_s = time.monotonic() + 0.05
        calls.send("m1", send_by_s={"m1": window_end_s})
        while time.monotonic() < window_end_s:
            await asyncio.sleep(0.01)
        gate.set()
        assert await calls.outcome("m1") == PartOutcome(Verdict.NOT_SENT)
    assert calls.endpoint_calls.idle_count == 1, "the connection serves the next call"
    assert host.requests == []
    host.stop()


@pytest.mark.parametrize("timed", [True, False])
async def test_a_window_that_ends_under_a_partly_written_call_keeps_its_last_byte_back(
    monkeypatch: pytest.MonkeyPatch, timed: bool
) -> None:
    """Then no message of the call runs; with the last byte all would run, one after its window."""
    if not timed:  # the peer continues to read just as the window ends
        monkeypatch.setattr(EndpointCalls, "_schedule_window_end", lambda _hosts, _call: None)
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", 0))
        sock.listen(1)
        sock.setblocking(False)
        calls, window_end_s = Calls(sock.getsockname()[1]), time.monotonic() + 1.0
        names = [f"m{n}" for n in range(64)]
        call = calls.send(*names, body=bytes(65536), send_by_s={"m0": window_end_s})
        loop = asyncio.get_running_loop()
        peer, _ = await with_timeout(loop.sock_accept(sock))
        while call.connection is None or not call.connection.request_begun:
            await asyncio.sleep(0.01)
        while time.monotonic() < window_end_s:
            await asyncio.sleep(0.01)
        received_bytes = 0
        with suppress(ConnectionResetError):  # a call that is given up is reset
            while data := await with_timeout(loop.sock_recv(peer, 1 << 20)):
                received_bytes += len(data)
        assert received_bytes < 64 * 65536
        for name in names:
            assert (await calls.outcome(name)).verdict.never_ran
        peer.close()


async def test_a_limit_after_the_last_byte_may_have_run_and_closes() -> None:
    host = await serving(no_answer)
    calls = Calls(host.port)
    calls.send("m1", limit_us=300_000)
    assert (await calls.outcome("m1")).verdict is Verdict.TIMEOUT
    while host.writers:
        await asyncio.sleep(0.01)
    assert calls.endpoint_calls.calls == set()
    host.stop()


def writes(answer: bytes) -> Callable[[Request], None]:
    """Return a reply that writes exactly these bytes."""
    return lambda request: request.writer.write(answer)


OK_LINE = b"HTTP/1.1 200 OK\r\n"
BROKEN_HEADS = [b"no colon here\r\n\r\n", b"Content-Length: many\r\n\r\n", b"X-Long: " + bytes(20_000)]


@pytest.mark.parametrize("head", BROKEN_HEADS)
async def test_a_first_line_with_200_is_true_for_one_message(head: bytes) -> None:
    """If it counted as a failure, a delivered message would be sent again or given up."""
    host = await serving(writes(OK_LINE + head))
    calls = Calls(host.port)
    calls.send("m1")
    assert await calls.outcome("m1") == PartOutcome(Verdict.OK, complete=True)
    host.stop()


@pytest.mark.parametrize(
    ("answer", "verdict", "kept"),
    [
        (b"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n", Verdict.OK, 1),
        (b"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", Verdict.FULL, 1),
        (b"HTTP/1.1 200 X\r\nHTTP/1.1 200 X\r\n\r\n", Verdict.OK, 0),
        (b"HTTP/1.1 500 X\r\nHTTP/1.1 200 X\r\n\r\n", Verdict.ERROR, 0),
        (b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nand more", Verdict.OK, 0),
        (b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 X\r\n\r\n", Verdict.ERROR, 0),
        (b"HTTP/1.1 410 X\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 500 X\r\n\r\n", Verdict.ERROR, 0),
    ],
)
async def test_of_an_answer_beside_others_the_final_one_counts(
    answer: bytes, verdict: Verdict, kept: int
) -> None:
    """Interim and repeated status lines, and more bytes than Content-Length says."""
    host = await serving(lambda request: request.writer.write(answer))
    calls = Calls(host.port)
    calls.send("m1")
    assert (await calls.outcome("m1")).verdict is verdict
    while calls.endpoint_calls.calls:
        await asyncio.sleep(0)
    assert calls.endpoint_calls.idle_count == kept
    host.stop()


async def test_a_first_line_with_200_ends_a_call_long_before_its_limit() -> None:
    """The rest of the answer may never arrive: until the message's deadline it would occupy a slot."""
    host = await serving(lambda request: request.writer.write(OK_LINE + b"Content-"))
    calls = Calls(host.port)
    calls.send("m1", limit_us=600_000_000)
    assert await calls.outcome("m1") == PartOutcome(Verdict.OK, complete=True)
    while host.writers:  # the endpoint sees the end of the call too
        await asyncio.sleep(0.01)
    host.stop()


async def test_a_first_line_with_200_is_true_when_the_rest_never_comes() -> None:
    host = await serving(writes(OK_LINE + b"X-Slow: "))
    calls = Calls(host.port)
    calls.send("m1", limit_us=300_000)
    assert await calls.outcome("m1") == PartOutcome(Verdict.OK, complete=True)
    host.stop()


@pytest.mark.parametrize("head", BROKEN_HEADS)
async def test_a_first_line_with_200_proves_nothing_for_several(head: bytes) -> None:
    host = await serving(writes(OK_LINE + head))
    calls = Calls(host.port)
    calls.send("m1", "m2")
    assert [await calls.outcome(ref) for ref in ("m1", "m2")] == 2 * [PartOutcome(Verdict.ERROR)]
    host.stop()


@pytest.mark.parametrize(
    "answer",
    [b"HTTP/1.1 2x0 OK\r\n\r\n", b"ICY 200 OK\r\n\r\n", b"HTTP/1.1 2000 X\r\n\r\n", b"\x00" * 99],
)
async def test_an_answer_that_cannot_be_read_is_the_hosts_error(answer: bytes) -> None:
    """The connection works. Reported as a reset, the module would take idle connections for broken."""
    host = await serving(writes(answer))
    calls = Calls(host.port)
    calls.send("m1")
    assert await calls.outcome("m1") == PartOutcome(Verdict.ERROR)
    host.stop()


async def test_a_connection_that_ends_without_an_answer_is_a_reset() -> None:
    host = await serving(lambda request: request.writer.close())
    calls = Calls(host.port)
    calls.send("m1")
    assert await calls.outcome("m1") == PartOutcome(Verdict.RESET)
    host.stop()


async def test_a_cancelled_call_is_told_and_closed() -> None:
    host = await serving(no_answer)
    calls = Calls(host.port)
    calls.send("m1")
    await host.wait_request(0)
    calls.endpoint_calls.cancel("m1", 0)
    assert (await calls.outcome("m1")).verdict is Verdict.CANCELLED
    while host.writers:
        await asyncio.sleep(0.01)
    host.stop()


async def test_a_message_delivered_after_its_own_limit_is_over() -> None:
    """The other message's longer limit keeps the shared call open: its answer still ends the message."""
    host = await serving(no_answer)
    calls = Calls(host.port)
    call = calls.send("m1", "m2")
    request = await host.wait_request(0)
    calls.endpoint_calls._end_part(call, call.parts[0], Verdict.TIMEOUT)
    assert calls.outcomes["m1"] == PartOutcome(Verdict.TIMEOUT)
    deliver_all(request)
    assert (await calls.outcome("m2")).verdict is Verdict.OK
    assert calls.outcomes["m1"] == PartOutcome(Verdict.OK, complete=True)
    host.stop()


async def test_a_message_past_its_limit_is_out_as_long_as_the_call_it_shares() -> None:
    """Incident inc327: reported as timed out while another kept the call open, it was sent in parallel."""
    host = await serving(no_answer)
    calls = Calls(host.port)
    limits_us = {"m1": 1_000_000, "m2": 20_000_000}
    parts = [Part(ref, 0, "", b"x", limit_us, 60_000_000) for ref, limit_us in limits_us.items()]
    call = Call("h1", parts, time.monotonic())
    calls.endpoint_calls.send(call)
    await host.wait_request(0)
    while not (parts[0].overdue or calls.outcomes):
        await asyncio.sleep(0.01)
    assert calls.outcomes == {}
    calls.endpoint_calls._on_limit_passed(call, parts[1])
    assert calls.outcomes == {ref: PartOutcome(Verdict.TIMEOUT) for ref in ("m1", "m2")}
    while host.writers:
        await asyncio.sleep(0.01)
    host.stop()


async def test_a_message_whose_time_is_up_ends_the_call_that_carries_it() -> None:
    """Ended alone, it would still be in progress, and the answers for the others would be lost."""
    host = await serving(no_answer)
    calls = Calls(host.port)
    parts = [Part("m1", 0, "", b"x", 300_000, 300_000), Part("m2", 0, "", b"x", 20_000_000, 60_000_000)]
    calls.endpoint_calls.send(Call("h1", parts, time.monotonic()))
    request = await host.wait_request(0)
    assert request.headers["x-remaining"] == "300m", "no longer than the message has left"
    assert await calls.outcome("m1") == PartOutcome(Verdict.TIMEOUT)
    assert calls.outcomes == {ref: PartOutcome(Verdict.TIMEOUT) for ref in ("m1", "m2")}
    while host.writers:
        await asyncio.sleep(0.01)
    assert not calls.endpoint_calls.calls
    host.stop()


async def test_a_call_given_up_before_its_last_byte_never_ran_for_any_of_its_messages() -> None:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", 0))
        sock.listen(1)
        calls = Calls(sock.getsockname()[1])
        parts = [Part("m1", 0, "", bytes(16 << 20), 200_000, 200_000)]
        parts += [Part("m2", 0, "", b"x", 20_000_000, 60_000_000)]
        calls.endpoint_calls.send(Call("h1", parts, time.monotonic()))
        for ref in ("m1", "m2"):
            assert await calls.outcome(ref) == PartOutcome(Verdict.CONNECT_FAILED)


async def test_idle_connections_are_closed_on_demand_and_by_age() -> None:
    host = await serving()
    calls = Calls(host.port)
    calls.send("m1")
    await calls.outcome("m1")
    while host.writers:
        calls.endpoint_calls.close_idle("h1")
        await asyncio.sleep(0.01)
    calls.endpoint_calls._idle_pool._max_idle_s = 0.05
    calls.send("m2")
    await calls.outcome("m2")
    while host.writers:
        await asyncio.sleep(0.01)
    assert host.connection_count == 2
    host.stop()


def pass_on(giver: Calls, max_descriptors: int) -> tuple[Calls, CallsHandover]:
    """Hand over to another process's calls, by pickled bytes and copies of the descriptors."""
    handover, fds = giver.endpoint_calls.hand_over(max_descriptors)
    handover = pickle.loads(pickle.dumps(handover))
    taker = Calls(1)
    taker.endpoint_calls.take_over(handover, iter([socket.socket(fileno=os.dup(fd)) for fd in fds]))
    return taker, handover


async def test_a_call_that_was_not_written_never_ran_for_the_process_that_takes_it() -> None:
    """No process completes its connection. Reported as lost, an unsafe message would fail."""
    giver = Calls(1)
    giver.send("m1")
    taker, _ = pass_on(giver, 100)
    assert (await taker.outcome("m1")).verdict is Verdict.NOT_SENT
    assert not taker.endpoint_calls.calls
    giver.endpoint_calls.close()


async def test_a_limit_goes_on_from_when_the_call_was_sent() -> None:
    host = await serving(no_answer)
    giver = Calls(host.port)
    call = giver.send("m1", limit_us=60_000_000)
    await host.wait_request(0)
    call.sent_at_s -= 59.9  # as if it had been sent so long ago
    taker, _ = pass_on(giver, 100)
    assert (await taker.outcome("m1")).verdict is Verdict.TIMEOUT
    giver.endpoint_calls.close()
    host.stop()


async def test_idle_connections_go_over_as_far_as_there_is_room() -> None:
    host = await serving(no_answer)
    giver = Calls(host.port)
    giver.send("m1")
    giver.send("m2")
    for number in range(2):
        (await host.wait_request(number)).answer()
    for ref in ("m1", "m2"):
        await giver.outcome(ref)
    taker, handover = pass_on(giver, 1)
    assert len(handover.idle_connections) == 1
    giver.endpoint_calls.close()
    taker.set_listing(host.port)
    taker.send("m3")
    call = await host.wait_request(2)
    assert host.connection_count == 2, "the connection that was handed over is used"
    call.answer()
    assert (await taker.outcome("m3")).verdict is Verdict.OK
    host.stop()


async def test_a_new_connection_that_is_turned_away_is_told_apart_from_a_full_limit() -> None:
    """Reported as a limit, it would slow the pace to a destination that has capacity."""

    def turned_away(request: Request) -> None:
        request.answer(503, Connection="close")

    host = await serving(turned_away)
    calls = Calls(host.port)
    calls.send("m1")
    assert await calls.outcome("m1") == PartOutcome(Verdict.CONNECT_FAILED, connection_limit_reached=True)
    host.default_reply = deliver_all
    calls.send("m2")
    await calls.outcome("m2")
    host.default_reply = turned_away
    calls.send("m3")  # on the connection that served m2, which is not new to the endpoint
    assert await calls.outcome("m3") == PartOutcome(Verdict.FULL)
    host.default_reply = lambda request: request.answer(503)
    calls.send("m4")
    assert await calls.outcome("m4") == PartOutcome(Verdict.FULL)
    host.stop()


async def test_a_connection_can_serve_again_when_its_answer_is_told() -> None:
    """The next message often goes to the same host at once, and needs no connection of its own then."""
    host = await serving()
    calls = Calls(host.port)
    idle_counts: list[int] = []

    def settled(_call: Call, _part: Part, _outcome: PartOutcome) -> None:
        idle_counts.append(calls.endpoint_calls.idle_count)
        calls.outcome_added.set()

    calls.endpoint_calls._on_settled = settled
    calls.send("m1")
    await with_timeout(calls.outcome_added.wait())
    assert idle_counts == [1]
    host.stop()


async def test_unsent_bytes_are_exact_when_a_write_is_cancelled() -> None:
    near, far = socket.socketpair()
    near.setblocking(False)
    connection = Connection(near, ("127.0.0.1", 1))
    task = asyncio.create_task(connection.send(bytes(8 << 20)))
    while not connection.request_begun:
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait([task])
    far.setblocking(False)
    received = 0
    near.shutdown(socket.SHUT_WR)
    while data := await with_timeout(asyncio.get_running_loop().sock_recv(far, 1 << 20)):
        received += len(data)
    assert received + connection.unsent_bytes == 8 << 20
    near.close()
    far.close()


async def test_a_connection_is_watched_once_for_all_its_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    """Registering for each call costs four system calls; a socket instead of its descriptor, four more."""
    host, loop = await serving(), asyncio.get_running_loop()
    calls, registered, add_reader = Calls(host.port), list[object](), loop.add_reader

    def counted(fd: int, callback: Callable[..., object], *args: object) -> object:
        registered.append(fd)
        return add_reader(fd, callback, *args)

    monkeypatch.setattr(loop, "add_reader", counted)
    for number in range(10):
        calls.send(f"m{number}")
        assert (await calls.outcome(f"m{number}")).verdict is Verdict.OK
    assert host.connection_count == 1
    assert len(registered) == 1
    assert isinstance(registered[0], int)
    host.stop()


async def test_an_idle_connection_that_the_host_ends_is_dropped_and_watched_no_more() -> None:
    host = await serving()
    calls = Calls(host.port)
    calls.send("m1")
    await calls.outcome("m1")
    host.stop()
    while not calls.endpoint_calls.connection_counts["ended by host"]:
        await asyncio.sleep(0)
    assert not calls.endpoint_calls.idle_count


async def test_an_early_answer_to_a_request_that_is_still_written_does_not_spin(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The loop reports bytes that nobody waits for yet once; they are read when the request is sent."""
    near, far = socket.socketpair()
    near.setblocking(False)
    connection, unwatched = Connection(near, ("127.0.0.1", 1)), [0]
    connection.watch()
    unwatch = connection._unwatch

    def counted() -> None:
        unwatched[0] += 1
        unwatch()

    monkeypatch.setattr(connection, "_unwatch", counted)
    far.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    for _ in range(20):
        await asyncio.sleep(0)
    assert unwatched == [1]
    connection.build_request("POST", "/", [], b"x")
    assert (await with_timeout(connection.read_response())).status_code == 200
    connection.close()
    far.close()


@pytest.mark.parametrize(
    ("status", "headers", "verdict"),
    [
        (200, [], Verdict.OK),
        (429, [("X-Retry-In-Ms", "5")], Verdict.FULL),
        (429, [("X-Retry-In-Ms", "5 ms")], Verdict.ERROR),  # no number
        (503, [("X-Retry-In-Ms", "5"), ("X-Retry-In-Ms", "soon")], Verdict.ERROR),
        (200, [("X-Retry-In-Ms", "soon")], Verdict.OK),  # true by its first line
        (503, [], Verdict.FULL),
        (503, [("X-No-Slot", "1")], Verdict.NOT_SENT),
        (504, [], Verdict.NOT_SENT),
        (410, [], Verdict.NOT_SENT),
        (413, [], Verdict.NOT_SENT),
        (400, [], Verdict.NOT_SENT),
        (404, [], Verdict.ERROR),  # outside the protocol: the message may have run
        (431, [], Verdict.ERROR),
        (500, [], Verdict.ERROR),
        (302, [], Verdict.ERROR),
    ],
)
def test_what_each_status_proves(status: int, headers: list[tuple[str, str]], verdict: Verdict) -> None:
    assert verdict_of(h11.Response(status_code=status, headers=headers)) is verdict


@pytest.mark.parametrize(
    ("wait", "pressure", "wait_us", "report"),
    [
        ("250", "x0=0.4,x1=25", 250_000, {"x0": 0.4, "x1": 25.0}),
        ("soon", "x0=much, x1=2", 0, {"x1": 2.0}),
        ("-5", "", 0, {}),
        ("inf", "=", 0, {}),
    ],
)
def test_waits_and_reports(wait: str, pressure: str, wait_us: int, report: dict[str, float]) -> None:
    answer = h11.Response(status_code=200, headers=[("X-Retry-In-Ms", wait), ("X-Pressure", pressure)])
    assert (parse_wait_us(answer), parse_load_report(answer)) == (wait_us, report)


async def test_a_call_that_goes_to_another_process_is_logged_on_both_sides(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """With the local port, by which the endpoint's records identify the connection."""
    caplog.set_level("INFO", "relay.endpoint_calls")
    host = await serving(no_answer)
    calls = Calls(host.port)
    call = calls.send("m1")
    await host.wait_request(0)
    assert call.connection is not None
    port = call.connection.local_port
    handover, fds = calls.endpoint_calls.hand_over(10)
    after = Calls(host.port)
    after.endpoint_calls.take_over(handover, iter([socket.socket(fileno=os.dup(fd)) for fd in fds]))
    lines = [line for line in caplog.messages if line.startswith("handover: call to h1 with m1 #0")]
    assert ["given after" in line for line in lines] == [True, False]
    assert ["taken over after" in line for line in lines] == [False, True]
    assert all(f"connection from port {port}, new" in line for line in lines)
    after.endpoint_calls.cancel("m1", 0)
    assert any(line.startswith("attempt: m1 #0 at h1 is called off") for line in caplog.messages)
    host.stop()


@pytest.mark.parametrize("started", [True, False])
async def test_a_connection_is_closed_before_its_call_is_told_as_over(started: bool) -> None:
    """Also where the task that reads its answer has not run yet, as right after a handover."""
    host = await serving(no_answer)
    calls = Calls(host.port)
    calls.send("m1")
    await host.wait_request(0)
    if not started:
        handover, fds = calls.endpoint_calls.hand_over(10)
        given = [socket.socket(fileno=os.dup(fd)) for fd in fds]
        calls.endpoint_calls.close()
        calls = Calls(host.port)
        calls.endpoint_calls.take_over(handover, iter(given))
    open_when_settled = list[bool]()

    def settled(call: Call, _part: Part, _outcome: PartOutcome) -> None:
        assert call.connection is not None
        open_when_settled.append(call.connection.sock.fileno() >= 0)

    calls.endpoint_calls._on_settled = settled
    calls.endpoint_calls.cancel("m1", 0)
    assert open_when_settled == [False]
    assert calls.endpoint_calls.calls == set()
    await asyncio.sleep(0)
    host.stop()


async def test_a_call_that_ends_while_it_waits_for_room_to_write_leaves_no_writer_behind() -> None:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", 0))
        sock.listen(1)
        calls = Calls(sock.getsockname()[1])
        call = calls.send("m1", body=bytes(16 << 20))
        while call.connection is None or not call.connection._writer_added:
            await asyncio.sleep(0.01)
        descriptor, task = call.connection.sock.fileno(), call.task
        calls.endpoint_calls.cancel("m1", 0)
        assert calls.outcomes["m1"].verdict is Verdict.CONNECT_FAILED
        assert not asyncio.get_running_loop().remove_writer(descriptor)
        assert task is not None
        with pytest.raises(asyncio.CancelledError):
            await task


async def test_an_answer_that_came_with_its_connection_is_read_before_the_call_is_called_off() -> None:
    """Right after a handover nobody reads yet; the wait in the answer binds all the same."""
    host = await serving(no_answer)
    calls = Calls(host.port)
    calls.send("m1")
    request = await host.wait_request(0)
    handover, fds = calls.endpoint_calls.hand_over(10)
    request.answer(429, X_Retry_In_Ms="60000")
    await request.writer.drain()
    after = Calls(host.port)
    after.endpoint_calls.take_over(handover, iter([socket.socket(fileno=os.dup(fd)) for fd in fds]))
    after.endpoint_calls.cancel("m1", 0)
    assert (await after.outcome("m1")).verdict is Verdict.FULL
    assert after.endpoint_calls.remaining_wait_us("h1") > 0
    host.stop()


def fill(sock: socket.socket) -> None:
    """Write until the kernel accepts no more bytes."""
    try:
        while True:
            sock.send(bytes(1 << 16))
    except BlockingIOError:
        return


async def test_a_limit_that_ends_before_the_first_byte_of_a_shared_call_waits_for_the_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its bytes are in the blocked request: reported as not sent, it would run beside its repeat."""
    opened = Connection.open

    async def full(address: tuple[str, int]) -> Connection:
        connection = await opened(address)
        fill(connection.sock)
        return connection

    monkeypatch.setattr(Connection, "open", full)
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", 0))
        sock.listen(1)
        calls = Calls(sock.getsockname()[1])
        parts = [Part("m1", 0, "", b"x", 50_000, 60_000_000), Part("m2", 0, "", b"x", 20_000_000, 60_000_000)]
        call = Call("h1", parts, time.monotonic())
        calls.endpoint_calls.send(call)
        while not parts[0].overdue:
            await asyncio.sleep(0.01)
        assert call.connection is not None
        assert not call.connection.request_begun
        assert calls.outcomes == {}
        calls.endpoint_calls.cancel("m2", 0)
        calls.endpoint_calls.cancel("m1", 0)
        assert [calls.outcomes[ref].verdict for ref in ("m2", "m1")] == [
            Verdict.CANCELLED,
            Verdict.CONNECT_FAILED,
        ]
        assert call.connection.sock.fileno() < 0
        calls.endpoint_calls.close()


@pytest.mark.parametrize("status", [400, 410, 413, 429, 500, 503, 504])
@pytest.mark.parametrize("rest", ["stops", "is cut", "never ends", "cannot be read"])
async def test_an_answer_without_its_end_is_told_once_its_connection_is_closed(
    status: int, rest: str
) -> None:
    """Until the answer or its connection ends, the call is in progress and a repeat would run in parallel.

    Guards against a second run: whatever the status, an answer that cannot be read may have run. A wait in
    it is heeded.
    """
    head = f"HTTP/1.1 {status} X\r\nX-Retry-In-Ms: 5\r\nTransfer-Encoding: chunked\r\n\r\n".encode()

    def answer_without_end(request: Request) -> None:
        request.writer.write(head + (b"x\r\n" if rest == "cannot be read" else b""))
        if rest == "never ends":
            dripping.append(asyncio.create_task(drip(request.writer)))
        if rest == "is cut":
            request.writer.close()

    async def drip(writer: asyncio.StreamWriter) -> None:
        while not writer.is_closing():
            writer.write(b"1\r\nx\r\n")
            await asyncio.sleep(0.01)

    dripping = list[asyncio.Task[None]]()
    host = await serving(answer_without_end)
    calls = Calls(host.port)
    open_when_settled = dict[str, bool]()
    record = calls.endpoint_calls._on_settled

    def settled(call: Call, part: Part, outcome: PartOutcome) -> None:
        assert call.connection is not None
        open_when_settled[part.id] = call.connection.sock.fileno() >= 0
        record(call, part, outcome)

    calls.endpoint_calls._on_settled = settled
    calls.send("m1", "m2")
    expected = PartOutcome(Verdict.ERROR, wait_us=5_000)
    assert [await calls.outcome(ref) for ref in ("m1", "m2")] == 2 * [expected]
    assert open_when_settled == {"m1": False, "m2": False}
    while host.writers:
        await asyncio.sleep(0.01)
    await asyncio.gather(*dripping)
    host.stop()


async def wait_for_head(call: Call) -> None:
    """Wait until the head of the call's answer has arrived."""
    while call.connection is None or not call.connection.received:
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("status", [410, 503, 504])
async def test_a_call_called_off_while_the_rest_of_its_answer_is_waited_for_may_have_run(status: int) -> None:
    """Guards against a second run: what has not been read whole proves nothing."""
    host = await serving(writes(b"HTTP/1.1 %d X\r\nContent-Length: 9\r\n\r\n" % status))
    calls = Calls(host.port)
    call = calls.send("m1")
    await wait_for_head(call)
    calls.endpoint_calls.cancel("m1", 0)
    assert (await calls.outcome("m1")) == PartOutcome(Verdict.CANCELLED)
    assert calls.endpoint_calls.calls == set()
    host.stop()


async def test_a_limit_that_ends_while_the_rest_of_an_answer_is_waited_for_may_have_run() -> None:
    """The same for a time-out."""
    host = await serving(writes(b"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\n"))
    calls = Calls(host.port)
    call = calls.send("m1")
    await wait_for_head(call)
    calls.endpoint_calls._on_limit_passed(call, call.parts[0])
    assert (await calls.outcome("m1")).verdict is Verdict.TIMEOUT
    host.stop()


async def test_the_rest_of_an_answer_may_come_a_little_later() -> None:
    """A refusal that is read whole still never ran."""
    host = await serving(no_answer)
    calls = Calls(host.port)
    call = calls.send("m1")
    request = await host.wait_request(0)
    request.writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\n")
    await wait_for_head(call)
    request.writer.write(b"too much.")
    assert (await calls.outcome("m1")) == PartOutcome(Verdict.FULL)
    assert calls.endpoint_calls.idle_count == 1
    host.stop()


@pytest.mark.parametrize(
    ("body", "verdicts"),
    [
        (b"m1 refused\r\nm2 delivered\r\nm1 delivered\r\n", [Verdict.ERROR, Verdict.OK]),
        (b"m1 refused\r\nm2 \x9f\x03\r\n", [Verdict.ERROR, Verdict.ERROR]),
        (b"m1 refused\r\nm2 spen\r\n", [Verdict.FULL, Verdict.ERROR]),
    ],
    ids=["contradicts itself", "no text", "unknown word"],
)
async def test_a_batch_answer_that_cannot_be_read_may_have_run(body: bytes, verdicts: list[Verdict]) -> None:
    """Guards against a second run by a line of an answer that is spoilt."""
    host = await serving(writes(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body))
    calls = Calls(host.port)
    calls.send("m1", "m2")
    assert [(await calls.outcome(ref)).verdict for ref in ("m1", "m2")] == verdicts
    host.stop()


async def test_a_call_that_is_given_up_is_reset_so_that_nothing_of_it_arrives_later() -> None:
    """After a cut the kernel would retransmit a closed connection's bytes, even past a key's window."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as sock:
        sock.setblocking(False)
        calls = Calls(sock.getsockname()[1])
        calls.send("m1", limit_us=100_000)
        peer, _ = await with_timeout(loop.sock_accept(sock))
        assert b"m1" in await with_timeout(loop.sock_recv(peer, 4096))
        assert (await calls.outcome("m1")).verdict is Verdict.TIMEOUT
        with pytest.raises(ConnectionResetError):
            await with_timeout(loop.sock_recv(peer, 4096))
        peer.close()


@asynccontextmanager
async def accepted_call(
    *refs: str, send_by_s: dict[str, float]
) -> AsyncIterator[tuple[Calls, Call, socket.socket]]:
    """Yield a call whose request has arrived, and the endpoint's side of its connection."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as sock:
        sock.setblocking(False)
        calls = Calls(sock.getsockname()[1])
        call = calls.send(*refs, send_by_s=send_by_s)
        peer, _ = await with_timeout(loop.sock_accept(sock))
        assert refs[-1].encode() in await with_timeout(loop.sock_recv(peer, 4096))
        yield calls, call, peer
        peer.close()


@pytest.mark.parametrize("how", ["sent", "taken over", "beside another", "cancelled beside another"])
async def test_a_call_without_a_byte_of_its_answer_is_reset_at_the_end_of_its_window(how: str) -> None:
    """Guards against a request that a cut holds back in the system: it would run after the window."""
    window_end_s = time.monotonic() + 0.3
    refs = ["m1", "m2"] if "another" in how else ["m1"]
    async with accepted_call(*refs, send_by_s={"m1": window_end_s}) as (calls, call, peer):
        if how == "taken over":
            given, descriptors = calls.endpoint_calls.hand_over(0)
            sockets = [socket.socket(fileno=os.dup(descriptor)) for descriptor in descriptors]
            assert call.connection is not None
            os.close(call.connection.sock.detach())  # the first process ends
            calls.endpoint_calls = calls.new_endpoint_calls()
            calls.endpoint_calls.take_over(pickle.loads(pickle.dumps(given)), iter(sockets))
        if how == "cancelled beside another":
            calls.endpoint_calls.cancel("m1", 0)
        outcomes = [await calls.outcome(ref) for ref in refs]
        assert window_end_s <= time.monotonic() < window_end_s + 1.0
        assert [outcome.verdict.never_ran for outcome in outcomes] == [False] * len(refs)
        assert outcomes[-1].verdict is Verdict.TIMEOUT
        with pytest.raises(ConnectionResetError):
            await with_timeout(asyncio.get_running_loop().sock_recv(peer, 4096))


async def test_a_call_of_a_process_that_is_killed_is_reset() -> None:
    """Guards against a call that a cut holds back and that arrives although its process has ended."""
    async with accepted_call("m1", send_by_s={}) as (_calls, call, peer):
        assert call.connection is not None
        os.close(call.connection.sock.detach())  # as the system does it for a killed process
        with pytest.raises(ConnectionResetError):
            await with_timeout(asyncio.get_running_loop().sock_recv(peer, 4096))


async def test_an_idle_connection_is_closed_in_the_usual_way() -> None:
    async with accepted_call("m1", send_by_s={}) as (calls, _call, peer):
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert (await calls.outcome("m1")).verdict is Verdict.OK
        calls.endpoint_calls.close()
        assert await with_timeout(asyncio.get_running_loop().sock_recv(peer, 4096)) == b""


async def test_a_call_that_the_endpoint_answers_goes_on_past_the_end_of_its_window() -> None:
    """The first byte of an answer shows that the request has arrived, so nothing of it can begin later."""
    window_end_s = time.monotonic() + 0.3
    async with accepted_call("m1", send_by_s={"m1": window_end_s}) as (calls, _call, peer):
        peer.send(b"H")
        while time.monotonic() < window_end_s + 0.1:
            await asyncio.sleep(0.01)
        assert not calls.outcomes
        peer.send(b"TTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert (await calls.outcome("m1")).verdict is Verdict.OK


async def test_messages_of_one_call_are_told_as_called_off_once_it_is_closed() -> None:
    """Right after a handover, with part of the answer read: ended one by one, one would be sent too early."""
    host = await serving(no_answer)
    calls = Calls(host.port)
    calls.send("m1", "m2")
    request = await host.wait_request(0)
    handover, fds = calls.endpoint_calls.hand_over(10)
    request.writer.write(b"HTTP/1.1 200 OK\r\nContent-")
    await request.writer.drain()
    after = Calls(host.port)
    open_when_settled = dict[str, bool]()

    def settled(call: Call, part: Part, _outcome: PartOutcome) -> None:
        assert call.connection is not None
        open_when_settled[part.id] = call.connection.sock.fileno() >= 0

    after.endpoint_calls._on_settled = settled
    after.endpoint_calls.take_over(handover, iter([socket.socket(fileno=os.dup(fd)) for fd in fds]))
    for ref in ("m1", "m2"):
        after.endpoint_calls.cancel(ref, 0)
    while len(open_when_settled) < 2:
        await asyncio.sleep(0)
    assert open_when_settled["m2"] is False
    assert after.endpoint_calls.calls == set()
    host.stop()


@pytest.mark.parametrize("how", ["called off", "timed out", "answered without an end"])
async def test_a_call_ends_although_another_process_holds_a_copy_of_its_connection(how: str) -> None:
    """A successor that is stuck has the descriptors already, while this process goes on as the relay."""
    incomplete = b"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\n"
    host = await serving(writes(incomplete) if how == "answered without an end" else no_answer)
    calls = Calls(host.port)
    call = calls.send("m1", limit_us=300_000 if how == "timed out" else 20_000_000)
    request = await host.wait_request(0)
    assert call.connection is not None
    _, fds = calls.endpoint_calls.hand_over(10)
    copy = os.dup(fds[0])
    if how == "called off":
        calls.endpoint_calls.cancel("m1", 0)
    await calls.outcome("m1")
    async with asyncio.timeout(5):
        while request.writer in host.writers:
            await asyncio.sleep(0.01)
    os.close(copy)
    host.stop()
