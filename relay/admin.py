"""The operators' address: health, figures and bans over HTTP/1.1, one call to a connection.

It decides nothing and keeps nothing. Whoever connects is answered or cut off within ``PATIENCE_S``, and
callers that never finish a call keep nobody else out.
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
from relay.http import MAX_HEAD_BYTES
from relay.journal import JournalFullError
from relay.listeners import Listener

LOG = logging.getLogger(__name__)
CALL_TIMEOUT_S = 5.0  # s for a whole call
LINGER_TIMEOUT_S = 0.4  # s that a caller may take to close behind its answer
MAX_CONNECTIONS = 16  # connections at once; the one that was silent longest goes before a new one is kept out
MAX_BODY_BYTES = 4096  # bytes of a call's body, which means nothing
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
PREDECESSOR_ADDRESS_S = 3.0  # s in which the address of the process before is answered too
NO_COUNTS = MessageCounts(Counter(), 0)


@dataclass(frozen=True, slots=True)
class Answer:
    """A status and a line or more of plain text."""

    status: int
    text: str
    allow: bytes = b""

    def headers(self) -> list[tuple[bytes, bytes]]:
        """The headers of the answer, behind which the connection ends."""
        told = [
            (b"Content-Type", b"text/plain; charset=utf-8"),
            (b"Content-Length", b"%d" % len(self.text.encode())),
            (b"Connection", b"close"),
        ]
        return told + [(b"Allow", self.allow)] * bool(self.allow)


def render_figures(figures: OperatorStats, former: MessageCounts) -> str:
    """The figures in the operators' form, one a line; those of a process before are counted on."""
    counts = former + figures.counts

    def lines() -> Iterator[str]:
        for cls in figures.classes:
            for end in MESSAGE_RESULTS:
                yield f"requests.{cls}.{end}:{counts.ended[cls, end]}|c"
        yield f"attempts:{counts.attempts}|c"
        yield f"in_flight:{figures.in_flight}|g"
        yield f"endpoints_known:{figures.endpoints_known}|g"
        yield f"endpoints_excluded:{figures.endpoints_excluded}|g"

    return "".join(f"{FIGURE_PREFIX}.{line}\n" for line in lines())


def parse_endpoint_id(query: str) -> str | None:
    """The one endpoint that a call names; None where it names none, or several."""
    try:
        pairs = parse_qsl(query, strict_parsing=True, errors="strict")
    except ValueError:
        return None
    names = [value for name, value in pairs if name == "who"]
    return names[0] if len(names) == 1 else None


class RequestHandler:
    """Answers whole calls."""

    def __init__(
        self,
        driver: Driver,
        takes_clients: Callable[[], bool],
        said_yes: Callable[[], None],
        costs: Callable[[], Iterable[str]],
    ) -> None:
        self._driver, self._takes_clients, self._on_healthy = driver, takes_clients, said_yes
        self._cost_lines = costs  # a line for each figure of what the process uses

    def answer(self, method: bytes, target: bytes, former: MessageCounts) -> Answer:
        """The answer to one call, at the address of a process that counted so much before."""
        path, _, query = target.decode("latin-1").partition("?")
        if (allowed := METHOD_BY_PATH.get(path)) is None:
            return Answer(404, "no such call\n")
        if method != allowed:
            return Answer(405, f"this call is a {allowed.decode()}\n", allowed)
        if path == HEALTH_PATH:
            return self._health()
        if path == STATS_PATH:
            return Answer(200, render_figures(self._driver.stats, former))
        if path == COST_PATH:
            return Answer(200, "".join(f"{FIGURE_PREFIX}.{line}\n" for line in self._cost_lines()))
        return self._ban(parse_endpoint_id(query), path == CORDON_PATH)

    def _health(self) -> Answer:
        if not self._takes_clients():
            return Answer(503, "takes no clients\n")
        self._on_healthy()
        return Answer(200, "takes clients\n")

    def _ban(self, host: str | None, banned: bool) -> Answer:
        if not host:
            return Answer(400, "the call names one endpoint as who=ID\n")
        try:
            known = self._driver.set_banned(host, banned)
        except JournalFullError as error:
            LOG.error("operators: a ban was not kept: %s", error)
            return Answer(503, "the ban could not be kept\n")
        if not known:
            return Answer(404, "no such endpoint was ever listed\n")
        return Answer(200, "left out\n" if banned else "in use\n")


class OperatorConnection(asyncio.Protocol):
    """One operator's connection and its one call."""

    def __init__(self, admin: AdminServer, former: MessageCounts) -> None:
        self._admin, self._predecessor_counts = admin, former
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._body_bytes = 0  # bytes of its body that came
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

    def data_received(self, data: bytes) -> None:
        self._admin.connections.move_to_end(self)
        self._receive(data)

    def eof_received(self) -> None:
        """A caller that ends its sending before its call is whole is told so."""
        self._receive(b"")

    def _receive(self, data: bytes) -> None:
        """Answer once the call is whole; an error in here ends this connection alone."""
        if self._answered:  # what comes behind the call is read and dropped
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._send_answer(Answer(error.error_status_hint, "the call cannot be read\n"))
        except Exception:
            LOG.exception("operators: a call broke")
            self._send_answer(Answer(500, "internal error\n"))

    def _read_events(self) -> None:
        while (event := self._http.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Request):
                self._request = event
            elif isinstance(event, h11.Data):
                self._body_bytes += len(event.data)
            elif not isinstance(event, h11.EndOfMessage):
                return  # the caller left
            if self._body_bytes > MAX_BODY_BYTES:
                return self._send_answer(Answer(413, "the body is too long\n"))
            if self._request and (
                isinstance(event, h11.EndOfMessage) or self._http.they_are_waiting_for_100_continue
            ):
                return self._send_answer(self._admin.answer(self._request, self._predecessor_counts))

    def _call_timed_out(self) -> None:
        self._send_answer(Answer(408, "no whole call in time\n"))

    def _send_answer(self, answer: Answer) -> None:
        """Answer and end the sending; a close over unread bytes would reset, and take the answer away."""
        assert self._transport is not None
        self._answered = True
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S, self._transport.abort)
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return self._transport.abort()
        head = h11.Response(status_code=answer.status, headers=answer.headers())
        bare = self._request is not None and self._request.method == b"HEAD"
        for event in (head, h11.Data(data=b"" if bare else answer.text.encode()), h11.EndOfMessage()):
            self._transport.write(self._http.send(event) or b"")
        self._transport.write_eof()

    def abort(self) -> None:
        """Cut the caller off."""
        if self._transport is not None:
            self._transport.abort()


class AdminServer:
    """Listens for operators."""

    def __init__(self) -> None:
        self.handler: RequestHandler | None = None  # until the relay is there every call gets a no
        self.connections: OrderedDict[OperatorConnection, None] = (
            OrderedDict()
        )  # the one heard of last stands last
        self.listeners: list[Listener] = []  # the own one first

    async def start(self, sock: socket.socket, former: MessageCounts = NO_COUNTS) -> None:
        """Begin to answer."""
        self.listeners.append(Listener(sock, lambda: OperatorConnection(self, former)))
        await self.listeners[-1].start()

    async def take_over(self, sock: socket.socket, former: MessageCounts) -> None:
        """Answer for a while at the address of the process before, as it would have."""
        await self.start(sock, former)
        asyncio.get_running_loop().call_later(PREDECESSOR_ADDRESS_S, self.listeners[-1].close)

    def answer(self, request: h11.Request, former: MessageCounts) -> Answer:
        """The answer to one call."""
        if self.handler is None:
            return Answer(503, "starting\n")
        return self.handler.answer(request.method, request.target, former)

    def add_connection(self, caller: OperatorConnection) -> None:
        """A new connection."""
        self.connections[caller] = None
        if len(self.connections) > MAX_CONNECTIONS:
            next(iter(self.connections)).abort()

    def close(self) -> None:
        """Stop listening and cut off whoever is there."""
        for listener in self.listeners:
            listener.close()
        for caller in list(self.connections):
            caller.abort()
