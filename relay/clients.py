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
from relay.driver import Driver, Handed
from relay.listeners import Listener
from relay.reasons import Parting, Refusal

LOG = logging.getLogger(__name__)
MOST_BODY = 64 * 1024
MOST_COMMAND = MOST_BODY + 4096  # bytes of one request; more without an end is no request
TOKEN = re.compile(rb"[!-~]{1,128}")  # what can stand in a header and in a batch's line
NUMBER = re.compile(rb"[0-9]{1,12}")
UNFINISHED_SHARE = 0.125  # of the memory: requests that are coming in, of all clients together
PATIENCE_S = 2.5  # s for a whole request: a connection without one may go after 2 s, and has to after 3 s
LINGER_S = 0.4  # s of silence after which a connection whose sending was ended is closed
FLOOD_S = 6.0  # s after which it is closed although its peer goes on sending
TURNS = 2  # of the loop, in which what a connection has brought by now is read and answered
PARTING_SHARE = 0.25  # of the bound on clients: connections whose sending was ended, beside the others
TURN_SHARE = 0.125  # of the bound on clients: those accepted in one turn, before any can make room for them
MOST_DEST = 65535  # no list names a destination beyond; a message for one would owe an end and find no host
LONGEST_MS = 24 * 3600 * 1000


class BadRequestError(ValueError):
    """A whole request that cannot be taken on."""


def token(raw: bytes, name: str) -> str:
    """A short printable word."""
    if not TOKEN.fullmatch(raw):
        raise BadRequestError(f"{name} is unreadable")
    return raw.decode("ascii")


def number(pairs: dict[bytes, bytes], name: bytes) -> int:
    """A whole number that has to be there."""
    text = pairs.get(name, b"")
    if not NUMBER.fullmatch(text):
        raise BadRequestError(f"{name.decode()} is no whole number")
    return int(text)


def handed_of(args: list[bytes], now_us: int) -> tuple[Handed, bytes]:
    """The message in an ENQUEUE request; its time counts from ``now_us``."""
    if len(args) != 5:
        raise BadRequestError("ENQUEUE takes a key, an id, a list and a body")
    _, order, ref, names, body = args
    if len(body) > MOST_BODY:
        raise BadRequestError("the body is too long")
    pairs: dict[bytes, bytes] = {}
    for pair in names.split(b","):
        name, sign, value = pair.partition(b"=")
        if not sign:
            raise BadRequestError("the list holds no name=value pair")
        pairs[name.strip()] = value
    if (dest := number(pairs, b"dest")) > MOST_DEST:
        raise BadRequestError("dest is out of range")
    left_ms = min(number(pairs, b"d"), LONGEST_MS)
    handed = Handed(
        id=token(ref, "the id"),
        dest=dest,
        cls=token(pairs.get(b"c", b""), "c"),
        deadline_us=now_us + left_ms * 1000,
        tenant=token(pairs[b"t"], "t") if pairs.get(b"t") else "",
        order="" if not order.strip(b"0") else token(order, "the key"),
        key=token(pairs[b"k"], "k") if pairs.get(b"k") else "",
    )
    return handed, body


class Client(asyncio.Protocol):
    """One client's connection: requests in order, one answer each."""

    def __init__(self, server: Server, data: bytes = b"", by_s: float | None = None) -> None:
        self._server = server
        self._data = bytearray(data)  # what came since the last whole request
        self._least = 0  # bytes of it before which no request can be whole
        self._kept = 0  # bytes of it that the server has counted
        self._by_s = by_s  # the loop's time until which one has to come; None: the usual patience
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None  # runs while a request is waited for
        self.ending = False
        self._closing = False  # it will be closed within some turns, if no request begins meanwhile
        self._parted = False  # the sending was ended; what the peer sends on is read and dropped
        self._stirred = False  # whether it sent something since it was looked at last
        self._last_s = math.inf  # the loop's time when it is closed whatever comes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._by_s != math.inf:  # else another process served it, and it stands between its requests
            self._wait()
        self._server.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._rest()
        self._count(0)
        self._server.left(self)

    def pause_writing(self) -> None:
        """A client that does not read its answers is not read either: buffers stay bounded."""
        if self._transport is not None and not self._transport.is_closing() and not self._parted:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Answer every whole request; a broken frame or an error in here ends this connection alone."""
        assert self._transport is not None
        if self._parted:
            self._stirred = True
            return
        self._server.clients.move_to_end(self)
        try:
            self._serve(data)
        except resp.ProtocolError as error:
            LOG.info("clients: a broken frame: %s", error)
            self._part(Parting.BROKEN_REQUEST, b"-ERR Protocol error\r\n")
        except Exception:
            LOG.exception("clients: a connection broke")
            self._part(Parting.INTERNAL_ERROR, b"-ERR internal error\r\n")

    def _serve(self, data: bytes) -> None:
        assert self._transport is not None
        self._data += data
        if len(self._data) >= self._least:
            self._answer(bytes(self._data))
        if len(self._data) > MOST_COMMAND:
            raise resp.ProtocolError("a request without end")
        self._count(len(self._data))
        if self._data and self._server.unfinished_bytes > self._server.most_unfinished_bytes:
            LOG.warning("clients: a request was refused: unfinished ones come to too many bytes")
            self._part(Parting.UNFINISHED_BYTES, self._server.busy)
            return
        if self._data and self._timer is None:
            self._wait()
        if self.ending and not self._data:
            self._close_soon()

    def _count(self, kept: int) -> None:
        """Tell the server how much of an unfinished request is kept here."""
        self._server.unfinished_bytes += kept - self._kept
        self._kept = kept

    def _answer(self, data: bytes) -> None:
        """Answer what is whole, and keep the rest."""
        assert self._transport is not None
        while data and (found := resp.request_at(data, MOST_COMMAND)) is not None:
            words, end = found
            data = data[end:]
            self._rest()
            self._transport.write(self._server.answer(words))
        self._data = bytearray(data)
        self._least = resp.least_size(data) if data else 0

    def _wait(self) -> None:
        """A whole request has to come in time: silent peers and halves of requests hold descriptors."""
        loop = asyncio.get_running_loop()
        by_s, self._by_s = self._by_s or loop.time() + PATIENCE_S, None
        self._timer = loop.call_at(by_s, self._late)

    def left(self) -> tuple[dict[str, Any], int] | None:
        """What another process needs to serve it on, and its descriptor; None where it is being ended."""
        transport = self._transport
        if transport is None or self._parted or transport.is_closing() or transport.get_write_buffer_size():
            return None
        by_s = math.inf if self._timer is None else self._timer.when()
        state = {"data": self._data.decode("latin-1"), "by_s": by_s, "ending": self.ending}
        return state, transport.get_extra_info("socket").fileno()

    def _late(self) -> None:
        # Where no request has begun, a line would be read as the answer to one that crosses it.
        line = b"-ERR no whole request in time\r\n" if self._data else b""
        self._part(Parting.NO_REQUEST_IN_TIME, line)

    def _rest(self) -> None:
        """Nothing is waited for: a served connection may stand idle between its requests."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _part(self, why: Parting, line: bytes = b"") -> None:
        """Tell the peer why and end the sending; what still comes is read and dropped for a moment.

        Closing over bytes that nobody read would reset the connection, and a reset takes what was written
        away from a peer that has not read it yet. One that neither reads nor closes must not hold it open.
        """
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        self._rest()
        self._parted, self._data, self._stirred = True, bytearray(), False
        self._count(0)
        self._server.parts(self, why)
        self._transport.write(line)
        with suppress(OSError):  # its peer has reset it, and the loop has not told so yet
            self._transport.write_eof()
        self._transport.resume_reading()
        self._last_s = loop.time() + FLOOD_S
        self._timer = loop.call_later(LINGER_S, self._linger)

    def _linger(self) -> None:
        """Close once nothing comes any more, and whatever comes after a while."""
        loop = asyncio.get_running_loop()
        if self._stirred and loop.time() < self._last_s:
            self._stirred, self._timer = False, loop.call_later(LINGER_S, self._linger)
        else:
            self.cut()

    def cut(self) -> None:
        """Close at once, whatever is on its way."""
        if self._transport is not None:
            self._transport.abort()

    def _close_soon(self) -> None:
        """End it behind what it has brought by now: a request that lies in the socket is answered first."""
        if not self._closing:
            self._closing = True
            self._turn(TURNS)

    def _turn(self, left: int) -> None:
        if left:
            asyncio.get_running_loop().call_soon(self._turn, left - 1)
            return
        self._closing = False
        over = self._transport is None or self._transport.is_closing() or self._parted
        if not over and not self._data:  # else the answer to what has begun meanwhile ends it
            self._part(Parting.SHUTDOWN)

    def end(self) -> None:
        """End it between requests: now, or once the request that is coming in has its answer."""
        self.ending = True
        if not self._data and not self._parted:
            self._close_soon()

    def give_way(self) -> None:
        """End it for its descriptor: now, and a request that is coming in is refused."""
        if not self._parted:
            self._part(Parting.DESCRIPTOR_WANTED, self._server.busy if self._data else b"")


class Server:
    """Listens for clients and answers their requests."""

    def __init__(self, driver: Driver, most: int, memory_bytes: int) -> None:
        self._driver, self.most = driver, most
        # A burst of large requests is refused as it comes in: held together they could fill the memory.
        self.unfinished_bytes, self.most_unfinished_bytes = 0, int(memory_bytes * UNFINISHED_SHARE)
        self.clients: OrderedDict[Client, None] = OrderedDict()  # the one heard of last stands last
        self.parting: OrderedDict[Client, None] = OrderedDict()  # those whose sending was ended, in turn
        self.partings: Counter[Parting] = Counter()  # connections that were ended from here
        self.listener: Listener | None = None
        self.refusing = False

    async def start(self, sock: socket.socket) -> None:
        """Begin to accept; the journal must have been replayed by then."""
        a_turn = max(1, int(self.most * TURN_SHARE))
        self.listener = Listener(sock, lambda: Client(self), self._make_room, a_turn)
        await self.listener.start()

    def leave(self) -> tuple[list[dict[str, Any]], list[int]]:
        """What another process needs of each client, and their descriptors."""
        left = [found for client in self.clients if (found := client.left()) is not None]
        return [state for state, _ in left], [fd for _, fd in left]

    async def take(self, left: list[dict[str, Any]], socks: Iterable[socket.socket]) -> None:
        """Serve the clients of another process on."""
        loop = asyncio.get_running_loop()
        for state, sock in zip(left, socks, strict=True):
            client = Client(self, state["data"].encode("latin-1"), state["by_s"])
            client.ending = state["ending"]
            await loop.connect_accepted_socket(lambda client=client: client, sock)  # type: ignore[misc]
            if client.ending:
                client.end()

    @property
    def serving(self) -> bool:
        """Whether clients are taken."""
        return self.listener is not None and not self.refusing

    def joined(self, client: Client) -> None:
        """A new connection; over the bound the one that was silent longest goes, between its requests.

        Descriptors are bounded, and a client that is turned away with a request on its way would lose it.
        """
        self.clients[client] = None
        if len(self.clients) > self.most:
            next(iter(self.clients)).give_way()
        if self.refusing:
            client.ending = True

    def parts(self, client: Client, why: Parting) -> None:
        """The sending to a client was ended; of too many such, the first one is closed at once."""
        self.partings[why] += 1
        self.clients.pop(client, None)
        self.parting[client] = None
        if len(self.clients) + len(self.parting) > self.most * (1 + PARTING_SHARE):
            self.parting.popitem(last=False)[0].cut()

    def left(self, client: Client) -> None:
        """A connection is over."""
        self.clients.pop(client, None)
        self.parting.pop(client, None)

    @property
    def connections(self) -> int:
        """Those with clients that are open."""
        return len(self.clients) + len(self.parting)

    def _make_room(self) -> None:
        """No descriptor is left for a new one: one that is ending, or else that was silent longest, goes."""
        if self.parting:
            self.parting.popitem(last=False)[0].cut()
        elif self.clients:
            next(iter(self.clients)).give_way()

    def end_clients(self) -> None:
        """Close every connection between requests; new ones get answers and are closed behind them."""
        self.refusing = True
        for client in list(self.clients):
            client.end()

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
            handed, body = handed_of(request, self._driver.clock())
        except BadRequestError as error:
            return b"-ERR %s\r\n" % str(error).encode()
        if not self._driver.knows_class(handed.cls):
            return b"-ERR unknown class\r\n"
        refusal = Refusal.SHUTDOWN if self.refusing else self._driver.accept(handed, body)
        if refusal is not None:
            self._driver.refused(handed.cls, refusal)
            return self.busy
        return b"+OK\r\n"

    @property
    def busy(self) -> bytes:
        """The refusal that tells when to come again."""
        return b"-BUSY %d\r\n" % self._driver.busy_ms
