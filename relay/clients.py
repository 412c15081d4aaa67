"""RESP2 server for clients: accepts messages or refuses them, and leaves no request unanswered."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any

from relay import resp
from relay.driver import Driver
from relay.enqueue import MAX_BODY_BYTES, BadRequestError, parse_enqueue
from relay.fair_queue import FairQueue
from relay.listeners import Listener
from relay.reasons import EndReason, RefusalReason
from relay.tcp_state import peer_has_closed

LOG = logging.getLogger(__name__)
# Of one request, with 4096 for all but the body. An unfinished request that is longer is a protocol error.
MAX_REQUEST_BYTES = MAX_BODY_BYTES + 4096
# Shares of the memory limit: all that has been read of clients and not been answered, beyond which only
# ``MIN_READ_BYTES`` are read at once, and of it unfinished requests, beyond which one is refused.
BUFFERED_MEMORY_SHARE = 0.09375
UNFINISHED_MEMORY_SHARE = 0.0625
# Seconds for a whole request: a connection without one may be closed after 2 s and must be closed by 3 s.
REQUEST_TIMEOUT_S = 2.5
LINGER_TIMEOUT_S = 0.4  # a connection whose write side is closed is closed after this long without data
MAX_LINGER_S = 6.0  # and after this long even if its peer keeps sending
# Event loop iterations before a scheduled close, in which data that has already arrived is read and answered.
CLOSE_DELAY_ITERATIONS = 2
# Connections whose write side is closed, allowed on top of the limit on clients, as a share of that limit.
LINGERING_SHARE = 0.25
# Connections accepted in one event loop iteration, as a share of the limit on clients. Older connections can
# make room for new ones only between iterations.
ACCEPT_BATCH_SHARE = 0.125
READ_BUFFER_BYTES = 16 * 1024  # read from one connection in one event loop iteration
MIN_READ_BYTES = 256  # the same, where the buffers of all clients have reached their share of the memory
MAX_UNREAD_REPLY_BYTES = 4096  # replies that a client has not read, beyond which it is not read either
UNREAD_REPLY_TIMEOUT_S = 2.5  # a client that goes on for so long without reading its replies is closed
MAX_OTHER_VALUES = 32  # RESP values in a row that are not requests, after which a connection is closed


class ClientConnection(asyncio.BufferedProtocol):
    """Connection of one client, whose requests are answered in order, with one reply each.

    Requests that have arrived are answered when the connection has its turn in the fair queue; until then at
    most one more read is added to them. A connection is closed in two steps: the relay closes its write side
    and then lingers, that is, reads and drops what the peer still sends, until the peer closes, stops sending
    or takes too long.
    """

    def __init__(self, server: Server, data: bytes = b"", request_due_s: float | None = None) -> None:
        self._server = server
        self._queue = FairQueue.of_running_loop()
        self._buffer = bytearray(data)  # received after the last request that was answered
        self._min_request_bytes = 0  # the buffer cannot hold a complete request before it has this size
        self._counted_bytes = 0  # this connection's part of the server's buffered_bytes
        self._unfinished_bytes = 0  # this connection's part of the server's unfinished_bytes
        self._read_view = server.read_buffer  # into which the next bytes are read
        # Event loop time at which the first request must be complete. None: the usual timeout applies.
        # math.inf: another process has already served this client, and no request is being received.
        self._request_due_s = request_due_s
        self._transport: asyncio.Transport | None = None
        # Runs while a request is awaited, while replies are not read, and while lingering.
        self._timer: asyncio.TimerHandle | None = None
        self.has_queued_requests = False  # requests that have arrived may wait for their turn
        self._write_paused = False  # the client does not read its replies
        self._other_values = 0  # RESP values since the last request
        self.close_requested = False  # to be closed as soon as no request is being received
        self._close_scheduled = False  # closed within a few iterations unless a request begins until then
        self._write_closed = False  # the connection lingers: received data is dropped
        self._more_unread = False  # whether the system may hold more data than the last read took
        self._received_since_check = False  # whether the peer sent data since the last check while lingering
        self._linger_deadline_s = math.inf  # event loop time at which lingering ends in any case

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(MAX_UNREAD_REPLY_BYTES)
        if self._request_due_s != math.inf:
            self._start_request_timer()
        self._server.add_connection(self)
        self._update_buffered_bytes()
        if self._buffer:  # another process has read it
            self._answer_requests()

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_timer()
        self._clear_buffer()
        self._server.remove_connection(self)

    def pause_writing(self) -> None:
        """Stop serving a client that does not read its replies, so that buffers stay bounded."""
        self._write_paused = True
        if not self._write_closed:
            self._cancel_timer()
            self._timer = asyncio.get_running_loop().call_later(
                UNREAD_REPLY_TIMEOUT_S, self._close_writing, EndReason.REPLIES_NOT_READ
            )
            self._update_reading()

    def resume_writing(self) -> None:
        self._write_paused = False
        if not self._write_closed:
            self._cancel_timer()
            if not self.has_queued_requests:
                self._answer_requests()

    def _update_reading(self) -> None:
        """Stop reading a client that sends more while requests wait, so that its buffer stays bounded.

        Few do, and to stop and resume takes two system calls.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if (self.has_queued_requests or self._write_paused) and not self._write_closed:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the next bytes are read; all connections share it."""
        self._read_view = self._server.next_read_buffer()
        return self._read_view

    def buffer_updated(self, nbytes: int) -> None:
        self._more_unread = nbytes == len(self._read_view)
        self.data_received(self._read_view[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Answer every complete request, at once or when the connection has its turn."""
        if self._write_closed:
            self._received_since_check = True
            return
        self._server.clients.move_to_end(self)
        self._buffer += data
        self._update_buffered_bytes()
        if len(self._buffer) < self._min_request_bytes:
            self._answer_next()  # there is no complete request, so this takes no turn
        elif self.has_queued_requests:
            self._update_reading()
        else:
            self._answer_requests()

    def _answer_requests(self) -> None:
        """Answer the complete requests in the buffer, and look after what is left once they are answered."""
        self.has_queued_requests = True
        self._queue.run(self._answer_next)

    def _answer_next(self) -> bool:
        """Answer one request; return whether there may be another one.

        A protocol error or an exception closes only this connection.
        """
        try:
            if self._answer_complete_request():
                return True
            self.has_queued_requests = False
            self._check_unfinished_request()
        except resp.ProtocolError as error:
            LOG.info("clients: connection closed after a protocol error: %s", error)
            self._close_writing(EndReason.BROKEN_REQUEST, b"-ERR Protocol error\r\n")
        except Exception:
            LOG.exception("clients: connection closed after an internal error")
            self._close_writing(EndReason.INTERNAL_ERROR, b"-ERR internal error\r\n")
        self.has_queued_requests = False
        self._update_reading()
        return False

    def _answer_complete_request(self) -> bool:
        """Answer the request at the start of the buffer; return False if it is not complete."""
        assert self._transport is not None
        if self._write_paused or self._transport.is_closing():
            return False
        if not self._buffer or len(self._buffer) < self._min_request_bytes:
            return False
        if (found := resp.parse_request(self._buffer, MAX_REQUEST_BYTES)) is None:
            self._min_request_bytes = resp.min_request_size(self._buffer)
            return False
        words, end = found
        del self._buffer[:end]
        self._update_buffered_bytes()
        self._min_request_bytes = 0
        self._cancel_timer()
        self._transport.write(self._server.answer(words, self._peer_has_closed))
        self._other_values = self._other_values + 1 if words is None else 0
        if self._other_values >= MAX_OTHER_VALUES:
            self._close_writing(EndReason.NO_REQUESTS)
        return not self._write_closed

    def _peer_has_closed(self) -> bool:
        assert self._transport is not None
        return peer_has_closed(self._transport.get_extra_info("socket"))

    def _check_unfinished_request(self) -> None:
        """Limit the size of an unfinished request and the time it takes; close if a close was requested."""
        assert self._transport is not None
        if self._write_closed or self._write_paused or self._transport.is_closing():
            return
        if len(self._buffer) > MAX_REQUEST_BYTES:
            raise resp.ProtocolError("a request is too long")
        self._update_unfinished_bytes(len(self._buffer))
        if self._buffer and self._server.unfinished_bytes > self._server.max_unfinished_bytes:
            LOG.warning("clients: a request was refused: unfinished ones come to too many bytes")
            self._close_writing(EndReason.UNFINISHED_BYTES, self._server.busy_reply)
            return
        if self._buffer and self._timer is None:
            self._start_request_timer()
        if self.close_requested and not self._buffer:
            self._schedule_close()

    def _answer_buffered(self) -> bool:
        """Answer all complete requests in the buffer before a close; return whether there were any."""
        found_any = False
        while self.has_queued_requests and self._answer_next():
            found_any = True
        return found_any

    def _clear_buffer(self) -> None:
        self._buffer.clear()
        self._update_buffered_bytes()
        self._update_unfinished_bytes(0)

    def _update_buffered_bytes(self) -> None:
        """Correct the server's total for the bytes that are buffered here now."""
        self._server.buffered_bytes += len(self._buffer) - self._counted_bytes
        self._counted_bytes = len(self._buffer)

    def _update_unfinished_bytes(self, size: int) -> None:
        """Correct the server's total for the bytes of an unfinished request that are buffered here now."""
        self._server.unfinished_bytes += size - self._unfinished_bytes
        self._unfinished_bytes = size

    def _start_request_timer(self) -> None:
        """Limit the wait for a complete request: silent peers and partial requests occupy descriptors."""
        loop, due_s = asyncio.get_running_loop(), self._request_due_s
        if due_s is None or due_s == math.inf:
            due_s = loop.time() + REQUEST_TIMEOUT_S
        self._request_due_s = None
        self._timer = loop.call_at(due_s, self._request_timed_out)

    def handover_state(self) -> tuple[dict[str, Any], int] | None:
        """Return the state with which another process can go on serving this client, and its descriptor.

        None if the connection is being closed or has replies that are not written yet.
        """
        transport = self._transport
        if (
            transport is None
            or self._write_closed
            or transport.is_closing()
            or transport.get_write_buffer_size()
        ):
            return None
        due_s = math.inf if self._timer is None else self._timer.when()
        state = {"data": self._buffer.decode("latin-1"), "by_s": due_s, "ending": self.close_requested}
        return state, transport.get_extra_info("socket").fileno()

    def _request_timed_out(self) -> None:
        if self._answer_buffered() or self._write_closed:  # it arrived in time and waited for its turn
            return
        # If no request has begun, the client may be sending one at this moment and would take an error line
        # for the reply to it.
        line = b"-ERR no whole request in time\r\n" if self._buffer else b""
        self._close_writing(EndReason.NO_REQUEST_IN_TIME, line)

    def _cancel_timer(self) -> None:
        """Stop the request timer: a client that has been served may stay idle between its requests."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_writing(self, reason: EndReason, line: bytes = b"") -> None:
        """Send a last line, close the write side and linger for a while.

        Closing a socket with unread data resets the connection, and a reset discards the last line if the
        peer has not read it yet. A peer that neither reads nor closes must not keep the connection open.
        """
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        self._cancel_timer()
        self._write_closed, self.has_queued_requests = True, False
        self._clear_buffer()
        self._received_since_check = False
        self._server.move_to_lingering(self, reason)
        self._transport.write(line)
        with suppress(OSError):  # the peer has reset the connection, and the loop has not reported it yet
            self._transport.write_eof()
        self._update_reading()
        self._linger_deadline_s = loop.time() + MAX_LINGER_S
        self._timer = loop.call_later(LINGER_TIMEOUT_S, self._check_linger)

    def _check_linger(self) -> None:
        """Close the connection if the peer has stopped sending, or if it has lingered for too long."""
        loop = asyncio.get_running_loop()
        if self._received_since_check and loop.time() < self._linger_deadline_s:
            self._received_since_check, self._timer = (
                False,
                loop.call_later(LINGER_TIMEOUT_S, self._check_linger),
            )
        else:
            self.abort()

    def abort(self) -> None:
        """Close immediately and discard data in either direction."""
        if self._transport is not None:
            self._transport.abort()

    def _schedule_close(self) -> None:
        """Close after a few event loop iterations, so that a request that has already arrived is answered."""
        if not self._close_scheduled:
            self._close_scheduled = True
            self._close_after_iterations(CLOSE_DELAY_ITERATIONS)

    def _close_after_iterations(self, count: int) -> None:
        if count:
            asyncio.get_running_loop().call_soon(self._close_after_iterations, count - 1)
            return
        self._close_scheduled = False
        closed = self._transport is None or self._transport.is_closing() or self._write_closed
        if closed or self._buffer:  # a request that has begun meanwhile is answered before the close
            return
        if self._more_unread:
            self._more_unread = False
            self._schedule_close()
        else:
            self._close_writing(EndReason.SHUTDOWN)

    def close_between_requests(self) -> None:
        """Close now, or after the reply to the request that is being received."""
        self.close_requested = True
        if not self._buffer and not self._write_closed:
            self._schedule_close()

    def close_for_descriptor(self) -> None:
        """Close now to free the descriptor, and refuse a request that is being received."""
        self._answer_buffered()
        if not self._write_closed:
            self._close_writing(EndReason.DESCRIPTOR_WANTED, self._server.busy_reply if self._buffer else b"")


class Server:
    """Listens for clients and answers their requests."""

    def __init__(self, driver: Driver, max_clients: int, memory_bytes: int) -> None:
        self._driver = driver
        self.max_clients = max_clients
        # What clients have sent is limited together: a burst of large requests could fill the memory.
        self.buffered_bytes = 0  # of requests that wait for their turn, and of unfinished ones
        self.max_buffered_bytes = int(memory_bytes * BUFFERED_MEMORY_SHARE)
        self.unfinished_bytes = 0
        self.max_unfinished_bytes = int(memory_bytes * UNFINISHED_MEMORY_SHARE)
        self.clients: OrderedDict[ClientConnection, None] = OrderedDict()  # least recently active first
        self.lingering: OrderedDict[ClientConnection, None] = OrderedDict()  # write side closed, oldest first
        self.ended_counts: Counter[EndReason] = Counter()  # connections that the relay closed
        # Shared by all connections: what is read into it is taken over before the next read.
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.listener: Listener | None = None
        self.shutting_down = False

    async def start(self, sock: socket.socket) -> None:
        """Start to accept clients. The journal must have been replayed before."""
        accepts_per_iteration = max(1, int(self.max_clients * ACCEPT_BATCH_SHARE))
        self.listener = Listener(
            sock, lambda: ClientConnection(self), self._free_descriptor, accepts_per_iteration
        )
        await self.listener.start()

    def next_read_buffer(self) -> memoryview:
        """Return the part of the shared buffer that the next read may fill: no more than there is room."""
        room = self.max_buffered_bytes - self.buffered_bytes
        return self.read_buffer[: max(MIN_READ_BYTES, room)]

    def export_clients(self) -> tuple[list[dict[str, Any]], list[int]]:
        """Return the handover state of each client that another process can serve, and the descriptors."""
        exported = [found for client in self.clients if (found := client.handover_state()) is not None]
        return [state for state, _ in exported], [fd for _, fd in exported]

    async def restore_clients(self, states: list[dict[str, Any]], socks: Iterable[socket.socket]) -> None:
        """Go on serving the clients that another process exported."""
        loop = asyncio.get_running_loop()
        for state, sock in zip(states, socks, strict=True):
            client = ClientConnection(self, state["data"].encode("latin-1"), state["by_s"])
            client.close_requested = state["ending"]
            await loop.connect_accepted_socket(lambda client=client: client, sock)  # type: ignore[misc]
            if client.close_requested:
                client.close_between_requests()

    @property
    def serving(self) -> bool:
        """Whether the relay accepts clients and their messages."""
        return self.listener is not None and not self.shutting_down

    def add_connection(self, client: ClientConnection) -> None:
        """Register a new connection; above the limit, close the least recently active client.

        Descriptors are limited. The new client is not the one to be closed: its first request may be on its
        way and would be lost.
        """
        self.clients[client] = None
        if len(self.clients) > self.max_clients:
            next(iter(self.clients)).close_for_descriptor()
        if self.shutting_down:
            client.close_requested = True

    def move_to_lingering(self, client: ClientConnection, reason: EndReason) -> None:
        """Register that a connection lingers; if there are too many, abort the oldest lingering one."""
        self.ended_counts[reason] += 1
        self.clients.pop(client, None)
        self.lingering[client] = None
        if len(self.clients) + len(self.lingering) > self.max_clients * (1 + LINGERING_SHARE):
            self.lingering.popitem(last=False)[0].abort()

    def remove_connection(self, client: ClientConnection) -> None:
        """Forget a closed connection."""
        self.clients.pop(client, None)
        self.lingering.pop(client, None)

    @property
    def has_queued_requests(self) -> bool:
        """Whether requests that have arrived wait for their turn to be answered."""
        return any(client.has_queued_requests for client in self.clients)

    @property
    def connection_count(self) -> int:
        """Number of open connections with clients, lingering ones included."""
        return len(self.clients) + len(self.lingering)

    def _free_descriptor(self) -> None:
        """Close the oldest lingering connection, or else the least recently active client."""
        if self.lingering:
            self.lingering.popitem(last=False)[0].abort()
        elif self.clients:
            next(iter(self.clients)).close_for_descriptor()

    def close_clients(self) -> None:
        """Refuse messages from now on, and close each connection between its requests.

        Connections accepted from now on are closed after their first reply.
        """
        self.shutting_down = True
        for client in list(self.clients):
            client.close_between_requests()

    def close(self) -> None:
        """Stop listening."""
        if self.listener is not None:
            self.listener.close()

    def answer(self, request: list[bytes] | None, client_has_left: Callable[[], bool]) -> bytes:
        """Return the reply to one complete request; None is a RESP value that is not a request.

        No message is taken on of a client that has closed its side: it got no reply, and hands the message in
        again. One that still reads is told so by the refusal.
        """
        if request is None:
            return b"-ERR a request is an array of bulk strings\r\n"
        command = request[0].upper()
        if command == b"PING":
            return b"+PONG\r\n"
        if command != b"ENQUEUE":
            return b"-ERR unknown command\r\n"
        try:
            message, body = parse_enqueue(request, self._driver.clock())
        except BadRequestError as error:
            return b"-ERR %s\r\n" % str(error).encode()
        if not self._driver.knows_class(message.cls):
            return b"-ERR unknown class\r\n"
        if self.shutting_down:
            refusal: RefusalReason | None = RefusalReason.SHUTDOWN
        elif client_has_left():
            refusal = RefusalReason.CLIENT_LEFT
        else:
            refusal = self._driver.accept(message, body)
        if refusal is not None:
            self._driver.count_refusal(message.cls, refusal)
            return self.busy_reply
        return b"+OK\r\n"

    @property
    def busy_reply(self) -> bytes:
        """The reply that refuses a message, with the milliseconds after which the client may retry."""
        return b"-BUSY %d\r\n" % self._driver.busy_retry_ms
