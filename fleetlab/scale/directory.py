"""A hollow directory in a process of its own: one list, watches on it, and counts of what it wrote.

``python -m fleetlab.scale.directory SIZE SEED`` listens on loopback and takes orders on its standard input
(``fleetlab.scale.child``); the answer to each is its counts.

It tells the same lines as ``standins.platform``, each encoded once for all watches. Unlike that stand-in it
answers a watch by the changes after the version asked for, as the protocol's page allows.
"""

from __future__ import annotations

import asyncio
import sys
from random import Random
from urllib.parse import parse_qs, urlsplit

import msgspec

from fleetlab.scale import endpoints
from fleetlab.scale.child import ChildProcess, serve_commands
from fleetlab.scale.process import processor_seconds
from standins import http
from standins.platform import HEARTBEAT_S, EndpointEntry, write_chunk

LOOPBACK = "127.0.0.1"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HOSTS_PATH = "/discovery/hosts"


class SetHealth(msgspec.Struct, frozen=True, tag="change"):
    """An order: one endpoint has another health now, and all watches are told."""

    number: int
    health: str


class TakeDown(msgspec.Struct, frozen=True, tag="down"):
    """An order: open watches end, and new ones are refused until ``Up``."""


class BringUp(msgspec.Struct, frozen=True, tag="up"):
    """An order: serve watches again; ``resumes``: those that name a version get what changed after it."""

    resumes: bool


class HoldAnswers(msgspec.Struct, frozen=True, tag="hold"):
    """An order: leave new watches without an answer until ``Up``."""


class ReadCounts(msgspec.Struct, frozen=True, tag="tell"):
    """An order: do nothing but tell the counts."""


Command = SetHealth | TakeDown | BringUp | HoldAnswers | ReadCounts


class Counts(msgspec.Struct):
    """What the directory did since its start."""

    port: int = 0
    list_bytes: int = 0  # of the whole list, as one line
    watches: int = 0  # that were answered
    open_watches: int = 0  # now
    lines: int = 0  # of news, written to watches
    line_bytes: int = 0  # of these lines
    processor_seconds: float = 0.0  # that the process used


class Directory:
    """The list, its versions and the open watches."""

    def __init__(self, size: int, seed: int) -> None:
        self._entries = endpoints.make_entries(size, Random(seed))
        self._version = size
        self._changes: list[tuple[int, EndpointEntry]] = []  # version and what changed with it
        self._cached_list_line: bytes | None = None  # of the present version, once a watch asked for it
        self._watches: set[asyncio.StreamWriter] = set()
        self._is_up, self._resumes_by_version = True, True
        self._may_answer = asyncio.Event()
        self._may_answer.set()
        self._listener = http.Listener(LOOPBACK, self._serve)
        self._counts = Counts(list_bytes=len(self._whole_list_line()))

    async def start(self) -> None:
        """Listen on a port of the system's choice."""
        await self._listener.start()
        self._counts.port = self._listener.port

    def close(self) -> None:
        """Refuse new connections and break the open ones."""
        self._listener.stop()

    async def send_heartbeats(self) -> None:
        """Keep watches from falling silent, for good."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for writer in self._watches:
                write_chunk(writer, b"\n")

    def execute(self, order: Command) -> Counts:
        """Carry out one order."""
        match order:
            case SetHealth():
                self._set_health(self._entries[order.number], order.health)
            case TakeDown():
                self._is_up = False
                self._break_watches()
            case BringUp():
                self._is_up, self._resumes_by_version = True, order.resumes
                self._may_answer.set()
            case HoldAnswers():
                self._may_answer.clear()
            case ReadCounts():
                pass
        self._counts.open_watches = len(self._watches)
        self._counts.processor_seconds = processor_seconds()
        return self._counts

    def _set_health(self, entry: EndpointEntry, health: str) -> None:
        entry.health = health
        self._version += 1
        self._changes.append((self._version, entry))
        line = endpoints.encode_update(self._version, False, [entry])
        for writer in self._watches:
            self._write(writer, line)
        self._cached_list_line = None

    def _break_watches(self) -> None:
        for writer in self._watches:
            http.reset_connection(writer.transport)
        self._watches.clear()

    def _write(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        self._counts.lines += 1
        self._counts.line_bytes += len(line)
        write_chunk(writer, line)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await http.read_request(reader)
        if request is None:
            return
        target = urlsplit(request.target)
        if target.path != HOSTS_PATH or not self._is_up:
            writer.write(http.encode_response(404 if self._is_up else 503))
            return
        await self._may_answer.wait()
        if reader.at_eof():  # it did not wait
            return
        writer.write(RESPONSE_HEAD)
        self._write(writer, self._first_line(int(parse_qs(target.query).get("from", ["0"])[0])))
        self._counts.watches += 1
        self._watches.add(writer)
        try:
            await reader.read()  # until the watcher ends it
        finally:
            self._watches.discard(writer)

    def _whole_list_line(self) -> bytes:
        """The whole list in its present version, encoded once for all watches."""
        if self._cached_list_line is None:
            self._cached_list_line = endpoints.encode_update(self._version, True, self._entries)
        return self._cached_list_line

    def _first_line(self, version: int) -> bytes:
        """What a watch from this version is told first."""
        if not self._resumes_by_version or version < len(self._entries):
            return self._whole_list_line()
        changed = {entry.host: entry for seq, entry in self._changes if seq > version}
        return endpoints.encode_update(self._version, False, list(changed.values()))


def start_directory(size: int, seed: int) -> ChildProcess[Counts]:
    """A hollow directory of its own process."""
    return ChildProcess("fleetlab.scale.directory", [str(size), str(seed)], Counts)


async def serve(size: int, seed: int) -> None:
    """Serve watches and orders until the input ends."""
    directory = Directory(size, seed)
    await directory.start()
    beat = asyncio.create_task(directory.send_heartbeats())
    await serve_commands(Command, directory.execute)
    beat.cancel()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), int(sys.argv[2])))
