"""Answers that never end or come in very many pieces: they cost no other call its time."""

from __future__ import annotations

import asyncio
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import h11
import pytest

from decisions.interface import Verdict
from relay import endpoint_calls
from tests.loop_iterations import nobody_held_up
from tests.test_endpoint_calls import Calls

CALLS = 20
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"1\r\nx\r\n"
EVENTS_PER_MESSAGE = 300  # pieces of an answer, each of which costs some 14 us


@contextmanager
def endless(head: bytes, unit: bytes) -> Iterator[int]:
    """Serve calls, each in a thread, by a head and then units as fast as they are taken; yield the port."""

    def serve(sock: socket.socket) -> None:
        data = head + unit * (65536 // len(unit))
        with sock, suppress(OSError):
            sock.recv(65536)
            while True:
                sock.sendall(data)
                data = unit * (65536 // len(unit))

    def accept(listener: socket.socket) -> None:
        with suppress(OSError):
            while True:
                sock, _ = listener.accept()
                threading.Thread(target=serve, args=(sock,), daemon=True).start()

    with socket.create_server(("127.0.0.1", 0), backlog=CALLS) as listener:
        threading.Thread(target=accept, args=(listener,), daemon=True).start()
        yield listener.getsockname()[1]
        listener.shutdown(socket.SHUT_RDWR)


@pytest.mark.parametrize(
    ("refs", "head", "unit", "verdict"),
    [
        (["m"], CHUNKED, CHUNK, Verdict.OK),
        (["m"], b"HTTP/1.1 410 Gone\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK, Verdict.ERROR),
        (["m"], b"HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK, Verdict.ERROR),
        (["m", "n"], CHUNKED, CHUNK, Verdict.ERROR),
        (["m"], b"", b"HTTP/1.1 100\r\n\r\n", Verdict.ERROR),
        (["m"], b"HTTP/1.1 500 Error\r\n", b"a:\r\n", Verdict.ERROR),
    ],
    ids=["delivered", "over", "failed", "batch", "interim answers", "headers"],
)
async def test_answers_without_end_hold_up_nobody_and_cost_little(
    monkeypatch: pytest.MonkeyPatch, refs: list[str], head: bytes, unit: bytes, verdict: Verdict
) -> None:
    """Guards against processing all that was read in one go, and against bounds in bytes for many pieces."""
    events, next_event = [0], h11.Connection.next_event

    def counted(connection: h11.Connection) -> object:
        events[0] += 1
        return next_event(connection)

    monkeypatch.setattr(h11.Connection, "next_event", counted)
    with endless(head, unit) as port:
        all_calls = [Calls(port) for _ in range(CALLS)]
        async with nobody_held_up():
            for calls in all_calls:
                calls.send(*refs)
            outcomes = [(await calls.outcome(ref)).verdict for calls in all_calls for ref in refs]
            while any(calls.endpoint_calls.calls for calls in all_calls):
                await asyncio.sleep(0.01)
    assert outcomes == [verdict] * CALLS * len(refs)
    assert events[0] <= CALLS * EVENTS_PER_MESSAGE * len(refs)


async def test_an_answer_waits_for_its_turn_among_others_that_never_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a reader that keeps the loop as long as its peer sends."""
    monkeypatch.setattr(endpoint_calls, "MAX_RESULT_LINE_BYTES", 1_000_000)
    with endless(CHUNKED, CHUNK) as port:
        endless_calls = [Calls(port) for _ in range(CALLS)]
        for calls in endless_calls:
            calls.send("m", "n")
        async with nobody_held_up():
            await asyncio.sleep(0.5)
        for calls in endless_calls:
            calls.endpoint_calls.close()
