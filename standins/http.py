"""HTTP/1.1 as the stand-ins serve it: one request at a time on a connection, bounded, no more than is needed.

It reads the way the protocol's page writes, so that what a relay sends is judged by that and not by the
relay's own reader.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

ACCEPT_BACKLOG = 1024  # connections that wait to be accepted
MAX_HEAD_BYTES, MAX_BODY_BYTES = 16 * 1024, 512 * 1024  # bytes of a request
REASONS = {200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 413: "Too Large"}


class BadHttpError(ValueError):
    """What came is no request."""


@dataclass(frozen=True, slots=True)
class Request:
    """One request, whole."""

    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    body: bytes
    first_byte_s: float  # the loop's time of its first byte


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """The next request; None where the peer ended the connection between two."""
    loop = asyncio.get_running_loop()
    first = await reader.read(1)
    if not first:
        return None
    begun_s = loop.time()
    head = first + await reader.readuntil(b"\r\n\r\n")
    if len(head) > MAX_HEAD_BYTES:
        raise BadHttpError("a head without end")
    try:
        line, *lines = head[:-4].decode("latin-1").split("\r\n")
        method, target, _ = line.split(" ", 2)
        headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
        size = int(headers.get("content-length", "0"))
    except ValueError as error:
        raise BadHttpError(f"no request: {error}") from None
    if not 0 <= size <= MAX_BODY_BYTES:
        raise BadHttpError(f"a body of {size} bytes")
    body = await reader.readexactly(size) if size else b""
    return Request(method, target, headers, body, begun_s)


def encode_response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """A whole answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Told')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Break a connection the hard way: the peer sees a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Listener:
    """A server on one address that can be ended and come back there; it knows its connections."""

    def __init__(self, host: str, serve: ConnectionHandler) -> None:
        self.host, self.port = host, 0
        self._serve = serve
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    def address(self) -> tuple[str, int]:
        """Its address, once it listens."""
        return self.host, self.port

    async def start(self) -> None:
        """Listen, on the same port as before where there was one."""
        self._server = await asyncio.start_server(
            self._handle_connection, self.host, self.port, backlog=ACCEPT_BACKLOG, limit=MAX_HEAD_BYTES
        )
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, BadHttpError):
            pass
        except asyncio.CancelledError:
            pass  # the run is over; nobody waits for this task
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Refuse new connections and break the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            reset_connection(writer.transport)
