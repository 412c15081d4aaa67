"""The operators' address: health, figures and bans over HTTP/1.1, one call per connection.

It makes no decisions and stores nothing. Each caller is answered or disconnected within ``CALL_TIMEOUT_S``,
and callers that never finish a call cannot keep others out.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from urllib.parse import parse_qsl

import h11

from relay.driver import MESSAGE_RESULTS, Driver, MessageCounts, OperatorStats
from relay.fair_queue import FairQueue
from relay.http import MAX_HEAD_BYTES
from relay.journal import JournalFullError
from relay.listeners import Listener

LOG = logging.getLogger(__name__)
CALL_TIMEOUT_S = 5.0  # seconds from the connection to a complete call
LINGER_TIMEOUT_S = 0.4  # seconds that a caller has to close its side after the answer
MAX_CONNECTIONS = 16  # a connection beyond this replaces the least recently active one
MAX_BODY_BYTES = 4096  # of a call's body, which is ignored
MAX_HEAD_LINES = 64  # of a call; each header that has been parsed takes some 200 bytes, however short it is
READ_BUFFER_BYTES = 8 * 1024  # read from one connection in one event loop iteration
MAX_CALL_BYTES = MAX_HEAD_BYTES + 2 * READ_BUFFER_BYTES  # of a call with its body and the framing of that
HEALTH_PATH, STATS_PATH, COST_PATH = "/admin/health", "/admin/stats", "/admin/cost"
CORDON_PATH, UNCORDON_PATH = "/admin/cordon", "/admin/uncordon"
METHOD_BY_PATH = {
    HEALTH_PATH: b"GET",
    STATS_PATH: b"GET",
    COST_PATH: b"GET",
    CORDON_PATH: b"PUT",
    UNCORDON_PATH: b"PUT",
}
FIGURE_PREFIX = "app"
PREDECESSOR_ADDRESS_S = 3.0  # seconds after a takeover in which the previous process's address is answered
NO_COUNTS = MessageCounts(Counter(), 0)


@dataclass(frozen=True, slots=True)
class Answer:
    """HTTP status and plain text body of an answer; ``allow`` is the value of its Allow header, if any."""

    status: int
    text: str
    allow: bytes = b""

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the answer's headers. The connection is closed after each answer."""
        headers = [
            (b"Content-Type", b"text/plain; charset=utf-8"),
            (b"Content-Length", b"%d" % len(self.text.encode())),
            (b"Connection", b"close"),
        ]
        return headers + [(b"Allow", self.allow)] * bool(self.allow)


def render_figures(stats: OperatorStats, predecessor_counts: MessageCounts) -> str:
    """Return the figures in the operators' format, one per line, with a previous process's counts added."""
    counts = predecessor_counts + stats.counts

    def lines() -> Iterator[str]:
        for cls in stats.classes:
            for result in MESSAGE_RESULTS:
                yield f"requests.{cls}.{result}:{counts.ended[cls, result]}|c"
        yield f"attempts:{counts.attempts}|c"
        yield f"in_flight:{stats.in_flight}|g"
        yield f"endpoints_known:{stats.endpoints_known}|g"
        yield f"endpoints_excluded:{stats.endpoints_excluded}|g"

    return "".join(f"{FIGURE_PREFIX}.{line}\n" for line in lines())


def parse_endpoint_id(query: str) -> str | None:
    """Return the value of the query parameter ``who``; None if it is missing, repeated or unreadable."""
    try:
        pairs = parse_qsl(query, strict_parsing=True, errors="strict")
    except ValueError:
        return None
    names = [value for name, value in pairs if name == "who"]
    return names[0] if len(names) == 1 else None


class RequestHandler:
    """Answers complete calls."""

    def __init__(
        self,
        driver: Driver,
        takes_clients: Callable[[], bool],
        on_healthy: Callable[[], None],
        cost_lines: Callable[[], Iterable[str]],
    ) -> None:
        self._driver = driver
        self._takes_clients = takes_clients
        self._on_healthy = on_healthy  # called whenever a health call is answered with 200
        self._cost_lines = cost_lines  # one line for each figure of the process's resource usage

    def answer(self, method: bytes, target: bytes, predecessor_counts: MessageCounts) -> Answer:
        """Return the answer to one call.

        ``predecessor_counts`` are added to the figures: at the address of a previous process these are its
        counts at the takeover.
        """
        path, _, query = target.decode("latin-1").partition("?")
        if (allowed := METHOD_BY_PATH.get(path)) is None:
            return Answer(404, "no such call\n")
        if method != allowed:
            return Answer(405, f"this call is a {allowed.decode()}\n", allowed)
        if path == HEALTH_PATH:
            return self._health()
        if path == STATS_PATH:
            return Answer(200, render_figures(self._driver.stats, predecessor_counts))
        if path == COST_PATH:
            return Answer(200, "".join(f"{FIGURE_PREFIX}.{line}\n" for line in self._cost_lines()))
        return self._ban(parse_endpoint_id(query), path == CORDON_PATH)

    def _health(self) -> Answer:
        if not self._takes_clients():
            return Answer(503, "takes no clients\n")
        self._on_healthy()
        return Answer(200, "takes clients\n")

    def _ban(self, host: str | None, banned: bool) -> Answer:
        """Ban an endpoint, or lift its ban if ``banned`` is false."""
        if not host:
            return Answer(400, "the call names one endpoint as who=ID\n")
        try:
            known = self._driver.set_banned(host, banned)
        except JournalFullError as error:
            LOG.error("operators: a ban was not changed: %s", error)
            return Answer(503, "the ban could not be kept\n")
        if not known:
            return Answer(404, "no such endpoint was ever listed\n")
        return Answer(200, "left out\n" if banned else "in use\n")


class OperatorConnection(asyncio.BufferedProtocol):
    """Connection of one operator, with its one call."""

    def __init__(self, admin: AdminServer, predecessor_counts: MessageCounts) -> None:
        self._admin = admin
        self._predecessor_counts = predecessor_counts
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._queue = FairQueue.of_running_loop()
        self._queued = False  # what has arrived waits for its turn
        self._received_bytes = 0
        self._head_lines = 0  # received so far
        self._head_received = False  # whether an empty line has been seen
        self._body_bytes = 0  # processed so far
        self._answered = False
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._timer = asyncio.get_running_loop().call_later(CALL_TIMEOUT_S, self._call_timed_out)
        self._admin.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._admin.connections.pop(self, None)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the next bytes are read; all connections share it."""
        return self._admin.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._admin.connections.move_to_end(self)
        self._receive(bytes(self._admin.read_buffer[:nbytes]))

    def eof_received(self) -> bool:
        """Answer a caller that closes its write side before its call is complete with an error."""
        self._receive(b"")
        return self._queued  # what it has sent before has not been processed yet

    def _receive(self, data: bytes) -> None:
        """Process what has arrived as soon as it is this connection's turn."""
        if self._answered:  # data after the call is read and dropped
            return
        self._received_bytes += len(data)
        if self._received_bytes > MAX_CALL_BYTES:
            self._send_answer(Answer(413, "the call is too long\n"))
            return
        if not self._head_received:
            head, end, _ = data.partition(b"\r\n\r\n")
            self._head_lines += head.count(b"\n")
            self._head_received = bool(end)
        if self._head_lines > MAX_HEAD_LINES:
            self._send_answer(Answer(431, "the call has too many headers\n"))
            return
        self._http.receive_data(data)
        if not self._queued:
            self._queued = True
            self._queue.run(self._process_next)

    def _process_next(self) -> bool:
        """Process one part of the call; return whether there may be more.

        An exception closes only this connection.
        """
        more = False
        try:
            more = not self._answered and self._process_event()
        except h11.RemoteProtocolError as error:
            self._send_answer(Answer(error.error_status_hint, "the call cannot be read\n"))
        except Exception:
            LOG.exception("operators: a call failed with an internal error")
            self._send_answer(Answer(500, "internal error\n"))
        self._queued = more
        return more

    def _process_event(self) -> bool:
        """Answer once the call is complete; return whether more of it may have arrived."""
        event = self._http.next_event()
        if isinstance(event, h11.Request):
            self._request = event
        elif isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
        elif not isinstance(event, h11.EndOfMessage):
            return False  # nothing has arrived, or the caller has closed the connection
        if self._body_bytes > MAX_BODY_BYTES:
            self._send_answer(Answer(413, "the body is too long\n"))
        elif self._request and (
            isinstance(event, h11.EndOfMessage) or self._http.they_are_waiting_for_100_continue
        ):
            self._send_answer(self._admin.answer(self._request, self._predecessor_counts))
        return not self._answered

    def _call_timed_out(self) -> None:
        self._send_answer(Answer(408, "no whole call in time\n"))

    def _send_answer(self, answer: Answer) -> None:
        """Send the answer and close the write side; the connection is aborted soon after.

        It is not closed at once: closing a socket with unread data resets the connection, and the caller
        would lose the answer.
        """
        assert self._transport is not None
        self._answered = True
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S, self._transport.abort)
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return self._transport.abort()
        head = h11.Response(status_code=answer.status, headers=answer.headers())
        without_body = self._request is not None and self._request.method == b"HEAD"
        for event in (head, h11.Data(data=b"" if without_body else answer.text.encode()), h11.EndOfMessage()):
            self._transport.write(self._http.send(event) or b"")
        self._transport.write_eof()

    def abort(self) -> None:
        """Close the connection immediately, answered or not."""
        if self._transport is not None:
            self._transport.abort()


class AdminServer:
    """Listens for operators."""

    def __init__(self) -> None:
        # None until the relay is ready: calls are answered with 503.
        self.handler: RequestHandler | None = None
        # Least recently active first.
        self.connections: OrderedDict[OperatorConnection, None] = OrderedDict()
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.listeners: list[Listener] = []  # this process's own address first

    async def start(self, sock: socket.socket, predecessor_counts: MessageCounts = NO_COUNTS) -> None:
        """Start to answer calls on a listening socket."""
        self.listeners.append(Listener(sock, lambda: OperatorConnection(self, predecessor_counts)))
        await self.listeners[-1].start()

    async def take_over(self, sock: socket.socket, predecessor_counts: MessageCounts) -> None:
        """Answer for a limited time at the previous process's address, and add its counts to the figures."""
        await self.start(sock, predecessor_counts)
        asyncio.get_running_loop().call_later(PREDECESSOR_ADDRESS_S, self.listeners[-1].close)

    def answer(self, request: h11.Request, predecessor_counts: MessageCounts) -> Answer:
        """Return the answer to one call."""
        if self.handler is None:
            return Answer(503, "starting\n")
        return self.handler.answer(request.method, request.target, predecessor_counts)

    def add_connection(self, connection: OperatorConnection) -> None:
        """Register a new connection; above the limit, abort the least recently active one."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            next(iter(self.connections)).abort()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        for listener in self.listeners:
            listener.close()
        for connection in list(self.connections):
            connection.abort()
