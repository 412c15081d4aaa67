"""One HTTP/1.1 client connection on a plain socket, with an exact count of the bytes that are not yet sent.

Nothing is repeated here: whether a request may be sent again is for the caller to decide.
"""

from __future__ import annotations

import asyncio
import errno
import math
import re
import socket
import struct
from collections.abc import Callable
from contextlib import suppress

import h11

from relay.fair_queue import FairQueue

Address = tuple[str, int]
Headers = list[tuple[str, str]]
MAX_HEAD_BYTES = 8 * 1024  # status line and headers together
MAX_INTERIM_ANSWERS = 64  # 1xx answers before the final one
MAX_BODY_PARTS = 128  # pieces in which a body may come that is not needed
# How much of an answer is kept: enough for its status line and for a process that takes the call over.
MAX_KEPT_ANSWER_BYTES = 96 * 1024
OK_STATUS_LINE = re.compile(rb"HTTP/1\.[01] 200(?: [^\r\n]*)?\r?\n")
MAX_READ_BYTES = 8 * 1024  # per recv
# Errors for a lack of resources on this machine; they say nothing about the peer.
RESOURCE_SHORTAGE_ERRNOS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: enabled, with a linger time of 0 s
USUAL_CLOSE = struct.pack("ii", 0, 0)  # struct linger: disabled
ANSWER_REST_TIMEOUT_S = 0.1  # for the rest of an answer whose head already decides the outcome


def local_port_of(sock: socket.socket) -> int:
    """Return the local port of a socket, or 0 if the system does not report it."""
    try:
        return int(sock.getsockname()[1])
    except OSError:
        return 0


class Connection:
    """A client connection whose owner knows exactly how many bytes of the request are still unsent."""

    def __init__(self, sock: socket.socket, address: Address) -> None:
        self.sock = sock
        self.unsent_bytes = 0
        self._address = address
        self.local_port = 0  # identifies the connection in the endpoint's records; 0: unknown
        # Whether another process, one that was to take over, may hold a copy of the descriptor. The copy
        # keeps the connection open after a plain close.
        self.shared_with_successor = False
        self.request_begun = False  # whether a byte of the current request has been sent
        self.idle_since_s = 0.0  # monotonic time; 0 until the first call on the connection is over
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.received = bytearray()  # the current answer so far, up to MAX_KEPT_ANSWER_BYTES
        self._status_suffices = False  # whether a status of 200 decides the outcome without the rest
        self._read_deadline_s = math.inf  # the loop's time until which the answer is waited for
        self._loop = asyncio.get_running_loop()
        self._queue = FairQueue.of_running_loop()
        self._turn: asyncio.Future[None] | None = None  # waits until the answer may be processed further
        self._processes_at_once = False  # the answer has to be processed without waiting for a turn
        self._read_count = 0
        self._reader_added = False  # whether the loop watches for incoming bytes; stays so between calls
        self._writer_added = False  # whether the loop watches for room to write
        self._read_waiter: asyncio.Future[None] | None = None  # waits for the next bytes of the answer
        # Called for bytes, or an end of the connection, that nobody waits for.
        self.on_unexpected_data: Callable[[], None] | None = None

    @classmethod
    async def open(cls, address: Address) -> Connection:
        """Connect to an address; raises ``OSError`` if that fails."""
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await asyncio.get_running_loop().sock_connect(sock, address)
        except BaseException:
            sock.close()
            raise
        connection = cls(sock, address)
        connection.local_port = local_port_of(sock)
        return connection

    def build_request(
        self, method: str, target: str, headers: Headers, body: bytes = b"", status_suffices: bool = False
    ) -> bytes:
        """Return the bytes of a request and prepare to read its answer.

        With ``status_suffices`` a status of 200 decides the outcome, and the rest of the answer is waited
        for only ``ANSWER_REST_TIMEOUT_S``.
        """
        self.received, self._status_suffices, self._read_deadline_s = bytearray(), status_suffices, math.inf
        self._processes_at_once = False
        headers = [("Host", f"{self._address[0]}:{self._address[1]}"), *headers]
        if method != "GET":
            headers.append(("Content-Length", str(len(body))))
        parts = [
            self._http.send(h11.Request(method=method, target=target, headers=headers)),
            self._http.send(h11.Data(data=body)) if body else b"",
            self._http.send(h11.EndOfMessage()),
        ]
        return b"".join(part or b"" for part in parts)

    async def send(self, data: bytes, deadline_s: float = math.inf) -> None:
        """Hand all bytes to the kernel; ``unsent_bytes`` is exact at any moment, also after a cancellation.

        Nothing is handed over after ``deadline_s``, a time of the loop: ``TimeoutError`` is raised, and at
        least the last byte is not sent.

        ``loop.sock_sendall`` is not used: if it is cancelled after the last byte, the write looks unfinished,
        and a call that may have run would be taken for one that never ran.
        """
        view = memoryview(data)
        self.unsent_bytes, self.request_begun = len(view), False
        while view:
            if deadline_s < math.inf and self._loop.time() >= deadline_s:
                raise TimeoutError("write deadline passed before the last byte of the request was sent")
            try:
                sent = self.sock.send(view)
            except (BlockingIOError, InterruptedError):
                await self._wait_until_writable()
                continue
            view, self.request_begun = view[sent:], True
            self.unsent_bytes = len(view)

    async def _wait_until_writable(self) -> None:
        ready = asyncio.Event()
        self._loop.add_writer(self.sock.fileno(), ready.set)
        self._writer_added = True
        try:
            await ready.wait()
        finally:
            self._stop_writing()

    def _stop_writing(self) -> None:
        if self._writer_added:
            self._loop.remove_writer(self.sock.fileno())
            self._writer_added = False

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next h11 event of the answer; raises if the connection breaks or ends."""
        while (event := await self._process_received()) is h11.NEED_DATA:
            await self._wait_for_data()
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError("connection closed before an answer")
        return event  # type: ignore[return-value]

    async def _process_received(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event in what has been received, once it is this connection's turn."""
        if not self._processes_at_once and not self._queue.has_turn(self):
            self._turn = self._queue.join(self)
            try:
                await self._turn
            finally:
                self._turn = None
        return self._next_event()

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event in what has been received."""
        return self._queue.work_for(self, self._http.next_event)

    def _receive(self, data: bytes) -> None:
        self.received += data[: MAX_KEPT_ANSWER_BYTES - len(self.received)]
        self._http.receive_data(data)

    def resume_answer(self, received: bytes) -> None:
        """Continue an answer of which another process has read the start; the request is fully written."""
        self.request_begun = True
        if received:
            self._receive(received)

    async def _wait_for_data(self) -> None:
        """Wait for more of the answer.

        Some endpoints stop after the status line. If the rest were waited for until the message's deadline,
        it would occupy a slot for nothing, and the known outcome would be reported too late.
        """
        if self._status_suffices and self.has_ok_status_line:
            self._read_deadline_s = min(self._read_deadline_s, self._loop.time() + ANSWER_REST_TIMEOUT_S)
        self.watch()
        waiter = self._read_waiter = self._loop.create_future()
        timer = (
            None
            if self._read_deadline_s == math.inf
            else self._loop.call_at(self._read_deadline_s, self._time_out, waiter)
        )
        try:
            await waiter
        finally:
            self._read_waiter = None
            if timer is not None:
                timer.cancel()

    @staticmethod
    def _time_out(waiter: asyncio.Future[None]) -> None:
        if not waiter.done():
            waiter.set_exception(TimeoutError())

    def watch(self) -> None:
        """Have the loop watch for incoming bytes, until some arrive that nobody waits for.

        Registering anew for each read, as ``loop.sock_recv`` does, costs four system calls per call. The
        descriptor is passed rather than the socket: the loop formats an unknown file object as text, and
        formatting a socket makes two system calls.
        """
        if not self._reader_added:
            self._loop.add_reader(self.sock.fileno(), self._on_readable)
            self._reader_added = True

    def _on_readable(self) -> None:
        """Read at once what has arrived: if it were left for later, the loop would report it again."""
        waiter = self._read_waiter
        if waiter is None:
            self._unwatch()
            if self.on_unexpected_data is not None:
                self.on_unexpected_data()
        elif not waiter.done():
            try:
                self._read()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._unwatch()
                waiter.set_exception(error)
            else:
                waiter.set_result(None)

    def _read(self) -> None:
        data = self.sock.recv(MAX_READ_BYTES)
        self._read_count += 1
        if not data:
            self._unwatch()
            if not self.received:
                raise ConnectionResetError("connection ended without an answer")
        self._receive(data)

    def _unwatch(self) -> None:
        if self._reader_added:
            self._loop.remove_reader(self.sock.fileno())
            self._reader_added = False

    def read_pending(self) -> bool:
        """Read what has arrived; return whether there is something that the reader has not processed yet.

        The reader processes it in the next iteration of the loop.
        """
        self._processes_at_once = True
        if self._turn is not None:
            if not self._turn.done():
                self._turn.set_result(None)
            return True
        if self._read_waiter is None:
            return self._read_ahead()
        if not self._read_waiter.done():
            self._on_readable()
        return self._read_waiter.done()

    def _read_ahead(self) -> bool:
        """Do the same before the answer's reader has run at all; errors and ends are left for it to find."""
        if not self.request_begun or self.unsent_bytes:
            return False
        with suppress(OSError):
            self._read()
        return bool(self.received)

    @property
    def has_ok_status_line(self) -> bool:
        """Whether a status line with 200 has arrived; it holds even if the rest cannot be parsed."""
        return OK_STATUS_LINE.match(self.received) is not None

    async def read_response(self) -> h11.Response:
        """Return status and headers of the final answer; interim (1xx) answers are skipped.

        Raises ``RemoteProtocolError`` for anything else and for too many interim answers.
        """
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            if isinstance(event := await self.next_event(), h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise h11.RemoteProtocolError(f"expected the head of an answer, got {event!r}")
        raise h11.RemoteProtocolError("too many interim answers")

    async def read_body(self, max_bytes: int, max_parts: int = MAX_BODY_PARTS) -> bytes:
        """Return the body of the answer.

        Raises ``RemoteProtocolError`` if it is over ``max_bytes``, or in over ``max_parts`` pieces beyond one
        for each read: the work depends on the pieces, which may be as small as a byte.
        """
        data, parts, reads_before = bytearray(), 0, self._read_count
        while isinstance(event := await self.next_event(), h11.Data):
            data += event.data
            parts += 1
            if len(data) > max_bytes or parts - (self._read_count - reads_before) > max_parts:
                raise h11.RemoteProtocolError("the body of the answer is too long, or in too many pieces")
        return bytes(data)

    def skip_rest(self) -> bool:
        """Discard what has arrived of the body; return whether the answer is complete, as it usually is.

        Raises ``RemoteProtocolError`` if the body comes in more than ``MAX_BODY_PARTS`` pieces.
        """
        for _ in range(MAX_BODY_PARTS + 1):
            event = self._next_event()
            if not isinstance(event, h11.Data):
                return isinstance(event, h11.EndOfMessage)
        raise h11.RemoteProtocolError("the body of the answer comes in too many pieces")

    @property
    def has_excess_bytes(self) -> bool:
        """Whether bytes have arrived behind the end of the answer."""
        return bool(self._http.trailing_data[0])

    def prepare_reuse(self) -> bool:
        """Make ready for the next request; return whether both sides are done and keep the connection.

        This goes by what has been read. Bytes that arrive later are reported to ``on_unexpected_data``, or
        found by ``is_quiet`` when the connection is used again.
        """
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self.request_begun = False
        idle = self._http.our_state is h11.IDLE and self._http.their_state is h11.IDLE
        return idle and not self.has_excess_bytes

    def is_quiet(self) -> bool:
        """Return whether nothing has arrived unasked: neither bytes nor the peer's end."""
        if self.has_excess_bytes:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    def reset_if_killed(self) -> None:
        """Have the system reset the connection where the process ends without closing it.

        Otherwise a call that a network cut holds back would arrive although the process is gone, even after
        the next process has given it up.
        """
        self._set_linger(RESET_ON_CLOSE)

    def _set_linger(self, value: bytes) -> None:
        with suppress(OSError):  # already closed
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def close(self) -> None:
        """Close the connection, and with it any call in progress on it; may be called again."""
        self._set_linger(USUAL_CLOSE)
        self._close()

    def _close(self) -> None:
        self._unwatch()
        self._stop_writing()
        if self.shared_with_successor:
            with suppress(OSError):  # already closed, or reset by the peer
                self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def abort(self) -> None:
        """Close with a reset, so that the system discards the bytes that the peer has not received.

        After a network cut it would otherwise retransmit them, and the call would arrive long after it was
        given up here.
        """
        self._set_linger(RESET_ON_CLOSE)
        self._close()


CONNECTION_ERRORS = (OSError, h11.RemoteProtocolError)
