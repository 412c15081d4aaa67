"""The operators' address of a service: pages by HTTP/1.1, one call a connection, bounded in size and time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

import h11

MOST_CALLERS = 64
CALL_S = 2.0  # s for a whole call
MOST_HEAD = 8 * 1024  # bytes
CHUNK = 16 * 1024
TEXT, JSON, METRICS = "text/plain; charset=utf-8", "application/json", "text/plain; version=0.0.4"


@dataclass(frozen=True, slots=True)
class Page:
    """An answer."""

    status: int
    body: bytes
    kind: str = TEXT


Serve = Callable[[], Page | Awaitable[Page]]


class Pages:
    """A server of pages by path; only ``GET`` is known, whatever changes something has a way of its own."""

    def __init__(self, pages: Mapping[str, Serve]) -> None:
        self._pages = dict(pages)
        self._server: asyncio.Server | None = None
        self._callers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> tuple[str, int]:
        """Listen; where it does. ``OSError`` where that address cannot be had."""
        self._server = await asyncio.start_server(self._connected, host, port, limit=MOST_HEAD)
        name = self._server.sockets[0].getsockname()
        return str(name[0]), int(name[1])

    def stop(self) -> None:
        """End, and break off who is here."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._callers):
            writer.transport.abort()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._callers) >= MOST_CALLERS:
            writer.transport.abort()
            return
        self._callers.add(writer)
        try:
            async with asyncio.timeout(CALL_S):
                await self._call(reader, writer)
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self._callers.discard(writer)
            writer.close()

    async def _call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        try:
            page = await self._page(http, reader)
        except h11.RemoteProtocolError as error:
            page = Page(error.error_status_hint, f"{error}\n".encode())
        if page is None or http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [
            ("content-type", page.kind),
            ("content-length", str(len(page.body))),
            ("connection", "close"),
        ]
        writer.write(http.send(h11.Response(status_code=page.status, headers=headers)) or b"")
        writer.write(http.send(h11.Data(data=page.body)) or b"")
        await writer.drain()

    async def _page(self, http: h11.Connection, reader: asyncio.StreamReader) -> Page | None:
        """The page of the request that comes; None where none does."""
        while (event := http.next_event()) is h11.NEED_DATA:
            http.receive_data(await reader.read(CHUNK))
        if not isinstance(event, h11.Request):
            return None
        path = event.target.decode("ascii", "replace").partition("?")[0]
        if event.method != b"GET":
            return Page(405, b"GET alone\n")
        serve = self._pages.get(path)
        if serve is None:
            return Page(404, f"no such page; there are {', '.join(sorted(self._pages))}\n".encode())
        made = serve()
        return made if isinstance(made, Page) else await made
