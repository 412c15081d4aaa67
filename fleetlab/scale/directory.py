"""A simulated directory in a process of its own: one endpoint list, its watches, and counts of bytes written.

``python -m fleetlab.scale.directory SIZE SEED`` listens on loopback and reads commands from standard input
(``fleetlab.scale.child``). The answer to each command is ``Counts``.

It writes the same lines as ``standins.platform``, but encodes each line once for all watches. Unlike that
stand-in, it answers a watch with the changes after the requested version, as the protocol's page allows.
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
    """Set the health of the endpoint at this index of the list, and write the change to all watches."""

    number: int
    health: str


class TakeDown(msgspec.Struct, frozen=True, tag="down"):
    """Break the open watches, and refuse new ones with status 503 until ``BringUp``."""


class BringUp(msgspec.Struct, frozen=True, tag="up"):
    """Serve watches again, and answer those that ``HoldAnswers`` held back."""

    resumes: bool  # a watch that names a version gets only the changes after it, not the whole list


class HoldAnswers(msgspec.Struct, frozen=True, tag="hold"):
    """Leave new watches without an answer until ``BringUp``."""


class ReadCounts(msgspec.Struct, frozen=True, tag="tell"):
    """Only return the counts."""


Command = SetHealth | TakeDown | BringUp | HoldAnswers | ReadCounts


class Counts(msgspec.Struct):
    """What the directory did since its start; ``port`` is where it listens."""

    port: int = 0
    list_bytes: int = 0  # of the whole list when the directory started, encoded as one line
    watches: int = 0  # answered so far
    open_watches: int = 0  # at present
    lines: int = 0  # update lines written to watches, heartbeats not counted
    line_bytes: int = 0  # size of these lines
    processor_seconds: float = 0.0  # used by the process


class Directory:
    """The endpoint list, its version and the open watches."""

    def __init__(self, size: int, seed: int) -> None:
        self._entries = endpoints.make_entries(size, Random(seed))
        self._version = size
        self._changes: list[tuple[int, EndpointEntry]] = []  # each version and the entry it changed
        self._cached_list_line: bytes | None = None  # of the present version; None: not encoded yet
        self._watches: set[asyncio.StreamWriter] = set()
        self._is_up = True
        self._resumes_by_version = True
        self._may_answer = asyncio.Event()
        self._may_answer.set()
        self._listener = http.Listener(LOOPBACK, self._serve)
        self._counts = Counts(list_bytes=len(self._whole_list_line()))

    async def start(self) -> None:
        """Listen on a free port that the operating system assigns."""
        await self._listener.start()
        self._counts.port = self._listener.port

    def close(self) -> None:
        """Refuse new connections and break the open ones."""
        self._listener.stop()

    async def send_heartbeats(self) -> None:
        """Write an empty line to each open watch at the heartbeat interval, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for writer in self._watches:
                write_chunk(writer, b"\n")

    def execute(self, command: Command) -> Counts:
        """Execute one command; return the counts after it."""
        match command:
            case SetHealth():
                self._set_health(self._entries[command.number], command.health)
            case TakeDown():
                self._is_up = False
                self._break_watches()
            case BringUp():
                self._is_up, self._resumes_by_version = True, command.resumes
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
        if reader.at_eof():  # the watcher closed its connection meanwhile
            return
        writer.write(RESPONSE_HEAD)
        self._write(writer, self._first_line(int(parse_qs(target.query).get("from", ["0"])[0])))
        self._counts.watches += 1
        self._watches.add(writer)
        try:
            await reader.read()  # until the watcher closes the connection
        finally:
            self._watches.discard(writer)

    def _whole_list_line(self) -> bytes:
        """The whole list in its present version, encoded once for all watches."""
        if self._cached_list_line is None:
            self._cached_list_line = endpoints.encode_update(self._version, True, self._entries)
        return self._cached_list_line

    def _first_line(self, version: int) -> bytes:
        """The first line for a watch that asks from this version.

        The whole list, or one line with the entries changed after the version. The list starts at a version
        equal to its length, so a lower one is unknown here.
        """
        if not self._resumes_by_version or version < len(self._entries):
            return self._whole_list_line()
        changed = {entry.host: entry for at_version, entry in self._changes if at_version > version}
        return endpoints.encode_update(self._version, False, list(changed.values()))


def start_directory(size: int, seed: int) -> ChildProcess[Counts]:
    """Start a simulated directory in a process of its own."""
    return ChildProcess("fleetlab.scale.directory", [str(size), str(seed)], Counts)


async def serve(size: int, seed: int) -> None:
    """Serve watches and execute commands until the standard input ends."""
    directory = Directory(size, seed)
    await directory.start()
    heartbeats = asyncio.create_task(directory.send_heartbeats())
    await serve_commands(Command, directory.execute)
    heartbeats.cancel()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), int(sys.argv[2])))
