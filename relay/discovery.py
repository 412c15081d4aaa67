"""The platform's side: the list of hosts, its watch, and the notices that end messages."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import h11

from relay.endpoint_list import HostList, ListReader, read_list
from relay.http import FAULTS, Address, Connection

LOG = logging.getLogger(__name__)
HOSTS, NOTICES = "/discovery/hosts", "/v1/notices"
FIRST_S = 3.0  # s for a watch to come up and tell its first list; pieces of an answer or empty lines are none
QUIET_S = 3.0  # s without a whole line that break a watch: a cut network is silent, and one is due every 2 s
MOST_LINE = 1 << 20  # bytes of one line of a watch, however little memory there is
LINE_SHARE = 1 / 40  # of the memory: a line; read, a host takes up to 21 times the bytes of its entry
LONG_LINE = 64 * 1024  # bytes of a line that is read and told piece by piece
LEAST_PROGRESS = 64 * 1024  # bytes of a long line that have to come within ``QUIET_S``
PIECE = 256  # hosts that are read, or told, without letting others run
POST_S = (0.25, 1.0)  # s for the answer to a notice, which is given at once: at first, and at most
WORKERS, MOST_NOTICES = 3, 64  # posts out at once, so that a hanging one delays no other; lines in a post
AGAIN_S = (0.02, 0.5)  # s before a post is repeated: at first, and at most


Told = Callable[[HostList], None]
ToldInPieces = Callable[[HostList], Awaitable[None]]  # lets others run in between; over once all is in force


def most_line_bytes(memory_bytes: int) -> int:
    """The longest line of a watch that a relay with so much memory takes."""
    return max(MOST_LINE, int(memory_bytes * LINE_SHARE))


class LineBuffer:
    """Bytes of a stream as whole lines; a line may come in any number of parts."""

    def __init__(self, most: int) -> None:
        self._most, self._rest = most, bytearray()

    def __len__(self) -> int:
        """Bytes of the line that is still coming."""
        return len(self._rest)

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that end here; ``ValueError`` where one is longer than is taken."""
        *lines, rest = data.split(b"\n")
        if lines:
            lines[0] = bytes(self._rest) + lines[0]
            self._rest.clear()
        self._rest += rest
        if max(len(self._rest), *map(len, lines), 0) > self._most:
            raise ValueError(f"a line of over {self._most} bytes, the bound by this relay's memory")
        return lines


class Watch:
    """One watch on the list at a time; it tells its end once and comes back only when asked to."""

    def __init__(
        self,
        address: Address,
        seq: int,
        *,
        told: Told,
        told_in_pieces: ToldInPieces,
        failed: Callable[[], None],
        most_line: int = MOST_LINE,
    ) -> None:
        self._address, self.seq, self._told, self._failed = address, seq, told, failed
        self._told_in_pieces, self._most_line = told_in_pieces, most_line
        self._task: asyncio.Task[None] | None = None
        self._works = False  # whether it has told a list, or a long one is coming
        self.connections = 0  # open ones

    def subscribe(self) -> None:
        """Start a watch; one that never answered is given up for it, one that works is kept."""
        if self._task is not None and not self._task.done():
            if self._works:
                return
            self._task.cancel()
        self._start()

    def resume(self, seq: int) -> None:
        """Watch on from the version that another process had."""
        self.seq = seq
        self.subscribe()

    def move(self, address: Address) -> None:
        """Watch at another address; the old one tells nothing new and will soon end its watch."""
        if address == self._address:
            return
        self._address = address
        if self._task is not None:  # also between two watches: the new address need not wait for that
            self._task.cancel()
            self._start()

    def _start(self) -> None:
        self._works = False
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        connection: Connection | None = None
        first_s = asyncio.get_running_loop().time() + FIRST_S
        try:
            async with asyncio.timeout_at(first_s):
                connection = await Connection.open(self._address)
                self.connections += 1
                target = f"{HOSTS}?watch=1&from={self.seq}"
                await connection.send(connection.request("GET", target, []))
                answer = await connection.response()
            if answer.status_code != 200:
                raise ConnectionError(f"status {answer.status_code}")
            LOG.info("discovery: watch answered, from version %d", self.seq)
            await self._lines(connection, first_s)
        except (*FAULTS, TimeoutError, ValueError) as error:
            LOG.info("discovery: watch ended: %r", error)
        except Exception:
            LOG.exception("discovery: watch broke")
        finally:
            if connection is not None:
                self.connections -= 1
                connection.close()
        self._failed()

    async def _lines(self, connection: Connection, by_s: float) -> None:
        """Tell each line in order until the watch ends, falls silent or makes no sense.

        Bytes that come one by one are silence until they make a line: whoever sends them tells nothing. Of a
        line that takes longer, ``LEAST_PROGRESS`` bytes have to come each time.
        """
        loop, buffer, counted = asyncio.get_running_loop(), LineBuffer(self._most_line), 0
        while True:
            async with asyncio.timeout_at(by_s):
                event = await connection.event()
            if not isinstance(event, h11.Data):
                raise ConnectionResetError("the watch was ended")
            lines = buffer.feed(bytes(event.data))
            for line in lines:
                if line.strip():
                    await self._line(line)
            counted = 0 if lines else counted
            if progress := len(buffer) >= counted + LEAST_PROGRESS:
                counted, self._works = len(buffer), True
            if self._works and (lines or progress):
                by_s = loop.time() + QUIET_S

    async def _line(self, line: bytes) -> None:
        """Read one line and tell it: a short one at once, a long one so that others run in between."""
        if len(line) <= LONG_LINE:
            news = self._newer(read_list(json.loads(line)))
            self.seq = news.seq
            self._told(news)
            return
        self._works = True
        reader = ListReader(line)
        while not reader.read(PIECE):
            await asyncio.sleep(0)
        news = self._newer(reader.news())
        await self._told_in_pieces(news)
        self.seq = news.seq  # not before all is in force: a watch that ends in the middle asks for it again

    def _newer(self, news: HostList) -> HostList:
        """The news, or none where they are older than what is held: applied, they would undo a drain."""
        self._works = True
        if news.seq >= self.seq:
            return news
        LOG.warning("discovery: version %d after %d left out", news.seq, self.seq)
        return HostList(self.seq, False, ())


@dataclass(frozen=True, slots=True)
class Notice:
    """The end of a message that was not delivered."""

    ref: str
    result: str
    wait_ms: int = 0

    def line(self) -> bytes:
        """The notice as the platform reads it."""
        told: dict[str, str | int] = {"ref": self.ref, "result": self.result}
        if self.wait_ms > 0:
            told["wait_ms"] = self.wait_ms
        return json.dumps(told, separators=(",", ":")).encode() + b"\n"


class Notices:
    """Posts each notice until the platform confirms it; it is answered also while discovery is down."""

    def __init__(self, address: Address, confirmed: Callable[[str], None]) -> None:
        self._address, self._confirmed = address, confirmed
        self._queue: asyncio.Queue[Notice] = asyncio.Queue()
        self._tasks: list[asyncio.Task[None]] = []
        self.owed = 0
        self.connections = 0  # open ones

    def start(self) -> None:
        """Begin to post."""
        self._tasks = [asyncio.create_task(self._work()) for _ in range(WORKERS)]

    def send(self, notice: Notice) -> None:
        """Post it as soon as may be."""
        self.owed += 1
        self._queue.put_nowait(notice)

    def move(self, address: Address) -> None:
        """Post to another address from now on, also what is being tried again."""
        self._address = address

    def close(self) -> None:
        """Stop; what is not confirmed stays in the journal."""
        for task in self._tasks:
            task.cancel()

    def _drop(self, connection: Connection | None) -> None:
        """Close a connection, where there is one."""
        if connection is not None:
            self.connections -= 1
            connection.close()

    async def _work(self) -> None:
        connection: Connection | None = None
        address = self._address
        while True:
            batch = [await self._queue.get()]
            with suppress(asyncio.QueueEmpty):
                while len(batch) < MOST_NOTICES:
                    batch.append(self._queue.get_nowait())
            again_s, post_s = AGAIN_S[0], POST_S[0]
            while batch:
                if address != self._address:
                    self._drop(connection)
                    connection, address = None, self._address
                connection, status = await self._post(connection, batch, post_s)
                if status == 204:
                    self._done(batch)
                    batch = []
                elif status == 400 and len(batch) > 1:  # one bad line must not hold up the others
                    for notice in batch[1:]:
                        self._queue.put_nowait(notice)
                    batch = batch[:1]
                else:
                    if status == 400:
                        LOG.error("notice for %s was not understood", batch[0].ref)
                    await asyncio.sleep(again_s)
                    again_s, post_s = min(2 * again_s, AGAIN_S[1]), min(2 * post_s, POST_S[1])

    def _done(self, batch: list[Notice]) -> None:
        for notice in batch:
            self.owed -= 1
            self._confirmed(notice.ref)

    async def _post(
        self, connection: Connection | None, batch: list[Notice], post_s: float
    ) -> tuple[Connection | None, int]:
        """One post; the connection if it can serve again, and the status (0: none came)."""
        try:
            async with asyncio.timeout(post_s):
                if connection is None or not connection.quiet():
                    self._drop(connection)
                    connection = None
                    connection = await Connection.open(self._address)
                    self.connections += 1
                body = b"".join(notice.line() for notice in batch)
                await connection.send(connection.request("POST", NOTICES, [], body))
                status = (await connection.response()).status_code
                await connection.body(MOST_LINE)
            if connection.reusable():
                return connection, status
        except (*FAULTS, TimeoutError) as error:
            LOG.info("notices: post of %d failed: %r", len(batch), error)
            status = 0
        except Exception:  # a worker that dies would hold back every later notice
            LOG.exception("notices: post broke")
            status = 0
        self._drop(connection)
        return None, status
