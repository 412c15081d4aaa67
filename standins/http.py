"""The part of an HTTP/1.1 server that the stand-ins need: one request at a time on a connection, size limits.

The parser follows the protocol's page and shares no code with the relay, so that it detects requests of a
relay that deviate from the page.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

ACCEPT_BACKLOG = 1024  # connections that may wait to be accepted
MAX_HEAD_BYTES = 16 * 1024  # request line and headers of a request
MAX_BODY_BYTES = 512 * 1024
REASONS = {200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 413: "Too Large"}


class BadHttpError(ValueError):
    """The bytes received are not a valid request."""


@dataclass(frozen=True, slots=True)
class Request:
    """One complete request."""

    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    body: bytes
    first_byte_s: float  # when its first byte came, by the event loop's clock


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read the next request; None when the peer closed the connection before it began one.

    Raises ``BadHttpError`` when the request is malformed or too large, and the stream's errors.
    """
    loop = asyncio.get_running_loop()
    first = await reader.read(1)
    if not first:
        return None
    first_byte_s = loop.time()
    head = first + await reader.readuntil(b"\r\n\r\n")
    if len(head) > MAX_HEAD_BYTES:
        raise BadHttpError("the head of a request is longer than MAX_HEAD_BYTES")
    try:
        line, *lines = head[:-4].decode("latin-1").split("\r\n")
        method, target, _ = line.split(" ", 2)
        headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
        size = int(headers.get("content-length", "0"))
    except ValueError as error:
        raise BadHttpError(f"malformed head of a request: {error}") from None
    if not 0 <= size <= MAX_BODY_BYTES:
        raise BadHttpError(f"a body of {size} bytes is not within 0 to MAX_BODY_BYTES")
    body = await reader.readexactly(size) if size else b""
    return Request(method, target, headers, body, first_byte_s)


def encode_response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """The bytes of a complete response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Told')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Abort a connection so that the peer sees a reset instead of an orderly end."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Listener:
    """A server on one address that can be stopped and started again there, and that knows its connections."""

    def __init__(self, host: str, serve: ConnectionHandler) -> None:
        self.host, self.port = host, 0
        self._serve = serve
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    def address(self) -> tuple[str, int]:
        """Its host and port; the port is 0 before the first ``start``."""
        return self.host, self.port

    async def start(self) -> None:
        """Listen, on the same port as before if it has listened already."""
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
            pass  # at the run's end, when nothing waits for this task
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            reset_connection(writer.transport)
