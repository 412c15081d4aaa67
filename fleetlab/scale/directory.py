"""A hollow directory in a process of its own: one list, watches on it, and counts of what it wrote.

``python -m fleetlab.scale.directory SIZE SEED`` listens on loopback and takes orders as JSON lines on its
standard input. It answers each with its counts as one JSON line, and ends with its input.

It tells the same lines as ``standins.platform``, each encoded once for all watches. Unlike that stand-in it
answers a watch by the changes after the version asked for, as the protocol's page allows.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
from random import Random
from types import TracebackType
from urllib.parse import parse_qs, urlsplit

import msgspec

from fleetlab.scale import endpoints
from fleetlab.scale.records import ScaleError
from standins import http
from standins.platform import BEAT_S, Entry, chunk

LOOPBACK = "127.0.0.1"
STOP_S = 5.0  # s for the process to end by itself
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HOSTS = "/discovery/hosts"


class Change(msgspec.Struct, frozen=True, tag="change"):
    """An order: one endpoint has another health now, and all watches are told."""

    number: int
    health: str


class Down(msgspec.Struct, frozen=True, tag="down"):
    """An order: open watches end, and new ones are refused until ``Up``."""


class Up(msgspec.Struct, frozen=True, tag="up"):
    """An order: serve watches again; ``resumes``: those that name a version get what changed after it."""

    resumes: bool


class Tell(msgspec.Struct, frozen=True, tag="tell"):
    """An order: do nothing but tell the counts."""


Order = Change | Down | Up | Tell


class Counts(msgspec.Struct):
    """What the directory did since its start."""

    port: int = 0
    list_bytes: int = 0  # of the whole list, as one line
    watches: int = 0  # that were answered
    open_watches: int = 0  # now
    lines: int = 0  # of news, written to watches
    line_bytes: int = 0  # of these lines


ORDERS = msgspec.json.Decoder(Order)
COUNTS = msgspec.json.Decoder(Counts)
ENCODE = msgspec.json.Encoder().encode


class Directory:
    """The list, its versions and the open watches."""

    def __init__(self, size: int, seed: int) -> None:
        self._entries = endpoints.entries(size, Random(seed))
        self._seq = size
        self._changes: list[tuple[int, Entry]] = []  # version and what changed with it
        self._whole = endpoints.news_line(self._seq, True, self._entries)
        self._watches: set[asyncio.StreamWriter] = set()
        self._up, self._resumes = True, True
        self._listener = http.Listener(LOOPBACK, self._serve)
        self._counts = Counts(list_bytes=len(self._whole))

    async def start(self) -> None:
        """Listen on a port of the system's choice."""
        await self._listener.start()
        self._counts.port = self._listener.port

    async def beat(self) -> None:
        """Keep watches from falling silent, for good."""
        while True:
            await asyncio.sleep(BEAT_S)
            for writer in self._watches:
                chunk(writer, b"\n")

    def obey(self, order: Order) -> Counts:
        """Carry out one order."""
        match order:
            case Change():
                self._change(self._entries[order.number], order.health)
            case Down():
                self._up = False
                self._end_watches()
            case Up():
                self._up, self._resumes = True, order.resumes
            case Tell():
                pass
        self._counts.open_watches = len(self._watches)
        return self._counts

    def _change(self, entry: Entry, health: str) -> None:
        entry.health = health
        self._seq += 1
        self._changes.append((self._seq, entry))
        line = endpoints.news_line(self._seq, False, [entry])
        for writer in self._watches:
            self._write(writer, line)
        self._whole = endpoints.news_line(self._seq, True, self._entries)

    def _end_watches(self) -> None:
        for writer in self._watches:
            http.reset(writer.transport)
        self._watches.clear()

    def _write(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        self._counts.lines += 1
        self._counts.line_bytes += len(line)
        chunk(writer, line)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await http.read_request(reader)
        if request is None:
            return
        target = urlsplit(request.target)
        if target.path != HOSTS or not self._up:
            writer.write(http.answer(404 if self._up else 503))
            return
        writer.write(HEAD)
        self._write(writer, self._first_line(int(parse_qs(target.query).get("from", ["0"])[0])))
        self._counts.watches += 1
        self._watches.add(writer)
        try:
            await reader.read()  # until the watcher ends it
        finally:
            self._watches.discard(writer)

    def _first_line(self, version: int) -> bytes:
        """What a watch from this version is told first."""
        if not self._resumes or version < len(self._entries):
            return self._whole
        changed = {entry.host: entry for seq, entry in self._changes if seq > version}
        return endpoints.news_line(self._seq, False, list(changed.values()))


class DirectoryProcess:
    """A hollow directory's process, as seen by who measures; it ends with the ``with`` block."""

    def __init__(self, size: int, seed: int) -> None:
        command = [sys.executable, "-m", "fleetlab.scale.directory", str(size), str(seed)]
        self._process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)

    def __enter__(self) -> DirectoryProcess:
        self.port = self.order(Tell()).port
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.close()
        try:
            self._process.wait(STOP_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._process.stdout.close()

    def order(self, order: Order) -> Counts:
        """Have an order carried out; the counts after it, or ``ScaleError`` where the process is gone."""
        assert self._process.stdin is not None and self._process.stdout is not None
        try:
            self._process.stdin.write(ENCODE(order) + b"\n")
            self._process.stdin.flush()
            return COUNTS.decode(self._process.stdout.readline())
        except (OSError, msgspec.DecodeError) as error:
            raise ScaleError(f"the hollow directory does not answer: {error}") from None


async def serve(size: int, seed: int) -> None:
    """Serve watches and orders until the input ends."""
    directory = Directory(size, seed)
    await directory.start()
    beat = asyncio.create_task(directory.beat())
    orders = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(orders), sys.stdin)
    while line := await orders.readline():
        print(ENCODE(directory.obey(ORDERS.decode(line))).decode(), flush=True)
    beat.cancel()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), int(sys.argv[2])))
