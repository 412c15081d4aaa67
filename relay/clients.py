"""The clients' side: a RESP2 server that takes messages on or says why not; it never stays silent."""

from __future__ import annotations

import asyncio
import logging
import math
import re
import socket
from collections import Counter, OrderedDict
from collections.abc import Iterable
from contextlib import suppress
from typing import Any

from relay import resp
from relay.driver import ClientMessage, Driver
from relay.listeners import Listener
from relay.reasons import EndReason, RefusalReason

LOG = logging.getLogger(__name__)
MAX_BODY_BYTES = 64 * 1024
MAX_REQUEST_BYTES = MAX_BODY_BYTES + 4096  # bytes of one request; more without an end is no request
TOKEN_PATTERN = re.compile(rb"[!-~]{1,128}")  # what can stand in a header and in a batch's line
NUMBER_PATTERN = re.compile(rb"[0-9]{1,12}")
UNFINISHED_MEMORY_SHARE = 0.125  # of the memory: requests that are coming in, of all clients together
REQUEST_TIMEOUT_S = (
    2.5  # s for a whole request: a connection without one may go after 2 s, and has to after 3 s
)
LINGER_TIMEOUT_S = 0.4  # s of silence after which a connection whose sending was ended is closed
MAX_LINGER_S = 6.0  # s after which it is closed although its peer goes on sending
CLOSE_DELAY_ITERATIONS = 2  # of the loop, in which what a connection has brought by now is read and answered
LINGERING_SHARE = 0.25  # of the bound on clients: connections whose sending was ended, beside the others
ACCEPT_BATCH_SHARE = (
    0.125  # of the bound on clients: those accepted in one turn, before any can make room for them
)
MAX_DEST = 65535  # no list names a destination beyond; a message for one would owe an end and find no host
MAX_TIME_LEFT_MS = 24 * 3600 * 1000


class BadRequestError(ValueError):
    """A whole request that cannot be taken on."""


def parse_token(raw: bytes, name: str) -> str:
    """A short printable word."""
    if not TOKEN_PATTERN.fullmatch(raw):
        raise BadRequestError(f"{name} is unreadable")
    return raw.decode("ascii")


def parse_number(pairs: dict[bytes, bytes], name: bytes) -> int:
    """A whole number that has to be there."""
    text = pairs.get(name, b"")
    if not NUMBER_PATTERN.fullmatch(text):
        raise BadRequestError(f"{name.decode()} is no whole number")
    return int(text)


def parse_enqueue(args: list[bytes], now_us: int) -> tuple[ClientMessage, bytes]:
    """The message in an ENQUEUE request; its time counts from ``now_us``."""
    if len(args) != 5:
        raise BadRequestError("ENQUEUE takes a key, an id, a list and a body")
    _, order, ref, names, body = args
    if len(body) > MAX_BODY_BYTES:
        raise BadRequestError("the body is too long")
    pairs: dict[bytes, bytes] = {}
    for pair in names.split(b","):
        name, sign, value = pair.partition(b"=")
        if not sign:
            raise BadRequestError("the list holds no name=value pair")
        pairs[name.strip()] = value
    if (dest := parse_number(pairs, b"dest")) > MAX_DEST:
        raise BadRequestError("dest is out of range")
    left_ms = min(parse_number(pairs, b"d"), MAX_TIME_LEFT_MS)
    handed = ClientMessage(
        id=parse_token(ref, "the id"),
        dest=dest,
        cls=parse_token(pairs.get(b"c", b""), "c"),
        deadline_us=now_us + left_ms * 1000,
        tenant=parse_token(pairs[b"t"], "t") if pairs.get(b"t") else "",
        order="" if not order.strip(b"0") else parse_token(order, "the key"),
        key=parse_token(pairs[b"k"], "k") if pairs.get(b"k") else "",
    )
    return handed, body


class ClientConnection(asyncio.Protocol):
    """One client's connection: requests in order, one answer each."""

    def __init__(self, server: Server, data: bytes = b"", by_s: float | None = None) -> None:
        self._server = server
        self._buffer = bytearray(data)  # what came since the last whole request
        self._min_request_bytes = 0  # bytes of it before which no request can be whole
        self._counted_bytes = 0  # bytes of it that the server has counted
        self._request_due_s = by_s  # the loop's time until which one has to come; None: the usual patience
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None  # runs while a request is waited for
        self.close_requested = False
        self._close_scheduled = False  # it will be closed within some turns, if no request begins meanwhile
        self._write_closed = False  # the sending was ended; what the peer sends on is read and dropped
        self._received_since_check = False  # whether it sent something since it was looked at last
        self._linger_deadline_s = math.inf  # the loop's time when it is closed whatever comes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if (
            self._request_due_s != math.inf
        ):  # else another process served it, and it stands between its requests
            self._start_request_timer()
        self._server.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_timer()
        self._update_unfinished_bytes(0)
        self._server.remove_connection(self)

    def pause_writing(self) -> None:
        """A client that does not read its answers is not read either: buffers stay bounded."""
        if self._transport is not None and not self._transport.is_closing() and not self._write_closed:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Answer every whole request; a broken frame or an error in here ends this connection alone."""
        assert self._transport is not None
        if self._write_closed:
            self._received_since_check = True
            return
        self._server.clients.move_to_end(self)
        try:
            self._handle_data(data)
        except resp.ProtocolError as error:
            LOG.info("clients: a broken frame: %s", error)
            self._close_writing(EndReason.BROKEN_REQUEST, b"-ERR Protocol error\r\n")
        except Exception:
            LOG.exception("clients: a connection broke")
            self._close_writing(EndReason.INTERNAL_ERROR, b"-ERR internal error\r\n")

    def _handle_data(self, data: bytes) -> None:
        assert self._transport is not None
        self._buffer += data
        if len(self._buffer) >= self._min_request_bytes:
            self._answer_whole_requests(bytes(self._buffer))
        if len(self._buffer) > MAX_REQUEST_BYTES:
            raise resp.ProtocolError("a request without end")
        self._update_unfinished_bytes(len(self._buffer))
        if self._buffer and self._server.unfinished_bytes > self._server.max_unfinished_bytes:
            LOG.warning("clients: a request was refused: unfinished ones come to too many bytes")
            self._close_writing(EndReason.UNFINISHED_BYTES, self._server.busy_reply)
            return
        if self._buffer and self._timer is None:
            self._start_request_timer()
        if self.close_requested and not self._buffer:
            self._schedule_close()

    def _update_unfinished_bytes(self, kept: int) -> None:
        """Tell the server how much of an unfinished request is kept here."""
        self._server.unfinished_bytes += kept - self._counted_bytes
        self._counted_bytes = kept

    def _answer_whole_requests(self, data: bytes) -> None:
        """Answer what is whole, and keep the rest."""
        assert self._transport is not None
        while data and (found := resp.parse_request(data, MAX_REQUEST_BYTES)) is not None:
            words, end = found
            data = data[end:]
            self._cancel_timer()
            self._transport.write(self._server.answer(words))
        self._buffer = bytearray(data)
        self._min_request_bytes = resp.min_request_size(data) if data else 0

    def _start_request_timer(self) -> None:
        """A whole request has to come in time: silent peers and halves of requests hold descriptors."""
        loop = asyncio.get_running_loop()
        by_s, self._request_due_s = self._request_due_s or loop.time() + REQUEST_TIMEOUT_S, None
        self._timer = loop.call_at(by_s, self._request_timed_out)

    def handover_state(self) -> tuple[dict[str, Any], int] | None:
        """What another process needs to serve it on, and its descriptor; None where it is being ended."""
        transport = self._transport
        if (
            transport is None
            or self._write_closed
            or transport.is_closing()
            or transport.get_write_buffer_size()
        ):
            return None
        by_s = math.inf if self._timer is None else self._timer.when()
        state = {"data": self._buffer.decode("latin-1"), "by_s": by_s, "ending": self.close_requested}
        return state, transport.get_extra_info("socket").fileno()

    def _request_timed_out(self) -> None:
        # Where no request has begun, a line would be read as the answer to one that crosses it.
        line = b"-ERR no whole request in time\r\n" if self._buffer else b""
        self._close_writing(EndReason.NO_REQUEST_IN_TIME, line)

    def _cancel_timer(self) -> None:
        """Nothing is waited for: a served connection may stand idle between its requests."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_writing(self, why: EndReason, line: bytes = b"") -> None:
        """Tell the peer why and end the sending; what still comes is read and dropped for a moment.

        Closing over bytes that nobody read would reset the connection, and a reset takes what was written
        away from a peer that has not read it yet. One that neither reads nor closes must not hold it open.
        """
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        self._cancel_timer()
        self._write_closed, self._buffer, self._received_since_check = True, bytearray(), False
        self._update_unfinished_bytes(0)
        self._server.move_to_lingering(self, why)
        self._transport.write(line)
        with suppress(OSError):  # its peer has reset it, and the loop has not told so yet
            self._transport.write_eof()
        self._transport.resume_reading()
        self._linger_deadline_s = loop.time() + MAX_LINGER_S
        self._timer = loop.call_later(LINGER_TIMEOUT_S, self._check_linger)

    def _check_linger(self) -> None:
        """Close once nothing comes any more, and whatever comes after a while."""
        loop = asyncio.get_running_loop()
        if self._received_since_check and loop.time() < self._linger_deadline_s:
            self._received_since_check, self._timer = (
                False,
                loop.call_later(LINGER_TIMEOUT_S, self._check_linger),
            )
        else:
            self.abort()

    def abort(self) -> None:
        """Close at once, whatever is on its way."""
        if self._transport is not None:
            self._transport.abort()

    def _schedule_close(self) -> None:
        """End it behind what it has brought by now: a request that lies in the socket is answered first."""
        if not self._close_scheduled:
            self._close_scheduled = True
            self._close_after_iterations(CLOSE_DELAY_ITERATIONS)

    def _close_after_iterations(self, left: int) -> None:
        if left:
            asyncio.get_running_loop().call_soon(self._close_after_iterations, left - 1)
            return
        self._close_scheduled = False
        over = self._transport is None or self._transport.is_closing() or self._write_closed
        if not over and not self._buffer:  # else the answer to what has begun meanwhile ends it
            self._close_writing(EndReason.SHUTDOWN)

    def close_between_requests(self) -> None:
        """End it between requests: now, or once the request that is coming in has its answer."""
        self.close_requested = True
        if not self._buffer and not self._write_closed:
            self._schedule_close()

    def close_for_descriptor(self) -> None:
        """End it for its descriptor: now, and a request that is coming in is refused."""
        if not self._write_closed:
            self._close_writing(EndReason.DESCRIPTOR_WANTED, self._server.busy_reply if self._buffer else b"")


class Server:
    """Listens for clients and answers their requests."""

    def __init__(self, driver: Driver, most: int, memory_bytes: int) -> None:
        self._driver, self.max_clients = driver, most
        # A burst of large requests is refused as it comes in: held together they could fill the memory.
        self.unfinished_bytes, self.max_unfinished_bytes = 0, int(memory_bytes * UNFINISHED_MEMORY_SHARE)
        self.clients: OrderedDict[ClientConnection, None] = OrderedDict()  # the one heard of last stands last
        self.lingering: OrderedDict[ClientConnection, None] = (
            OrderedDict()
        )  # those whose sending was ended, in turn
        self.ended_counts: Counter[EndReason] = Counter()  # connections that were ended from here
        self.listener: Listener | None = None
        self.shutting_down = False

    async def start(self, sock: socket.socket) -> None:
        """Begin to accept; the journal must have been replayed by then."""
        a_turn = max(1, int(self.max_clients * ACCEPT_BATCH_SHARE))
        self.listener = Listener(sock, lambda: ClientConnection(self), self._free_descriptor, a_turn)
        await self.listener.start()

    def export_clients(self) -> tuple[list[dict[str, Any]], list[int]]:
        """What another process needs of each client, and their descriptors."""
        left = [found for client in self.clients if (found := client.handover_state()) is not None]
        return [state for state, _ in left], [fd for _, fd in left]

    async def restore_clients(self, left: list[dict[str, Any]], socks: Iterable[socket.socket]) -> None:
        """Serve the clients of another process on."""
        loop = asyncio.get_running_loop()
        for state, sock in zip(left, socks, strict=True):
            client = ClientConnection(self, state["data"].encode("latin-1"), state["by_s"])
            client.close_requested = state["ending"]
            await loop.connect_accepted_socket(lambda client=client: client, sock)  # type: ignore[misc]
            if client.close_requested:
                client.close_between_requests()

    @property
    def serving(self) -> bool:
        """Whether clients are taken."""
        return self.listener is not None and not self.shutting_down

    def add_connection(self, client: ClientConnection) -> None:
        """A new connection; over the bound the one that was silent longest goes, between its requests.

        Descriptors are bounded, and a client that is turned away with a request on its way would lose it.
        """
        self.clients[client] = None
        if len(self.clients) > self.max_clients:
            next(iter(self.clients)).close_for_descriptor()
        if self.shutting_down:
            client.close_requested = True

    def move_to_lingering(self, client: ClientConnection, why: EndReason) -> None:
        """The sending to a client was ended; of too many such, the first one is closed at once."""
        self.ended_counts[why] += 1
        self.clients.pop(client, None)
        self.lingering[client] = None
        if len(self.clients) + len(self.lingering) > self.max_clients * (1 + LINGERING_SHARE):
            self.lingering.popitem(last=False)[0].abort()

    def remove_connection(self, client: ClientConnection) -> None:
        """A connection is over."""
        self.clients.pop(client, None)
        self.lingering.pop(client, None)

    @property
    def connection_count(self) -> int:
        """Those with clients that are open."""
        return len(self.clients) + len(self.lingering)

    def _free_descriptor(self) -> None:
        """No descriptor is left for a new one: one that is ending, or else that was silent longest, goes."""
        if self.lingering:
            self.lingering.popitem(last=False)[0].abort()
        elif self.clients:
            next(iter(self.clients)).close_for_descriptor()

    def close_clients(self) -> None:
        """Close every connection between requests; new ones get answers and are closed behind them."""
        self.shutting_down = True
        for client in list(self.clients):
            client.close_between_requests()

    def close(self) -> None:
        """Stop listening."""
        if self.listener is not None:
            self.listener.close()

    def answer(self, request: list[bytes] | None) -> bytes:
        """The answer to one whole request; None is one that is something else."""
        if request is None:
            return b"-ERR a request is an array of bulk strings\r\n"
        command = request[0].upper()
        if command == b"PING":
            return b"+PONG\r\n"
        if command != b"ENQUEUE":
            return b"-ERR unknown command\r\n"
        try:
            handed, body = parse_enqueue(request, self._driver.clock())
        except BadRequestError as error:
            return b"-ERR %s\r\n" % str(error).encode()
        if not self._driver.knows_class(handed.cls):
            return b"-ERR unknown class\r\n"
        refusal = RefusalReason.SHUTDOWN if self.shutting_down else self._driver.accept(handed, body)
        if refusal is not None:
            self._driver.count_refusal(handed.cls, refusal)
            return self.busy_reply
        return b"+OK\r\n"

    @property
    def busy_reply(self) -> bytes:
        """The refusal that tells when to come again."""
        return b"-BUSY %d\r\n" % self._driver.busy_retry_ms
