"""A service's pages for operators by HTTP/1.1: one request a connection, bounded in size and time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

import h11

MAX_CONNECTIONS = 64  # at once; further ones are aborted
CALL_TIMEOUT_S = 2.0  # for a whole request and its response
MAX_HEAD_BYTES = 8 * 1024  # of a request line and headers
READ_CHUNK_BYTES = 16 * 1024  # read from a connection at once
TEXT_TYPE = "text/plain; charset=utf-8"
JSON_TYPE = "application/json"
METRICS_TYPE = "text/plain; version=0.0.4"  # Prometheus' text format


@dataclass(frozen=True, slots=True)
class Page:
    """A response."""

    status: int
    body: bytes
    content_type: str = TEXT_TYPE


PageHandler = Callable[[], Page | Awaitable[Page]]


class PageServer:
    """Serves pages by path. Only ``GET`` is allowed: the pages change nothing."""

    def __init__(self, pages: Mapping[str, PageHandler]) -> None:
        self._pages = dict(pages)
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> tuple[str, int]:
        """Listen, and return the bound host and port; ``OSError`` if the address cannot be bound."""
        self._server = await asyncio.start_server(self._handle_connection, host, port, limit=MAX_HEAD_BYTES)
        name = self._server.sockets[0].getsockname()
        return str(name[0]), int(name[1])

    def stop(self) -> None:
        """Close the server, and abort the open connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self._connections.add(writer)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await self._answer_request(reader, writer)
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        try:
            page = await self._read_request(http, reader)
        except h11.RemoteProtocolError as error:
            page = Page(error.error_status_hint, f"{error}\n".encode())
        if page is None or http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [
            ("content-type", page.content_type),
            ("content-length", str(len(page.body))),
            ("connection", "close"),
        ]
        writer.write(http.send(h11.Response(status_code=page.status, headers=headers)) or b"")
        writer.write(http.send(h11.Data(data=page.body)) or b"")
        await writer.drain()

    async def _read_request(self, http: h11.Connection, reader: asyncio.StreamReader) -> Page | None:
        """Read a request, and return its page; None if the client ends without one."""
        while (event := http.next_event()) is h11.NEED_DATA:
            http.receive_data(await reader.read(READ_CHUNK_BYTES))
        if not isinstance(event, h11.Request):
            return None
        path = event.target.decode("ascii", "replace").partition("?")[0]
        if event.method != b"GET":
            return Page(405, b"GET alone\n")
        handler = self._pages.get(path)
        if handler is None:
            return Page(404, f"no such page; there are {', '.join(sorted(self._pages))}\n".encode())
        page = handler()
        return page if isinstance(page, Page) else await page
