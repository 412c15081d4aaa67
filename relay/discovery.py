"""The platform's side: the list of hosts, its watch, and the notices that end messages."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import h11

from relay.endpoint_list import DirectoryUpdate, IncrementalListParser, parse_list
from relay.http import CONNECTION_ERRORS, Address, Connection

LOG = logging.getLogger(__name__)
HOSTS_PATH, NOTICES_PATH = "/discovery/hosts", "/v1/notices"
FIRST_LIST_TIMEOUT_S = (
    3.0  # s for a watch to come up and tell its first list; pieces of an answer or empty lines are none
)
SILENCE_TIMEOUT_S = (
    3.0  # s without a whole line that break a watch: a cut network is silent, and one is due every 2 s
)
DEFAULT_MAX_LINE_BYTES = 1 << 20  # bytes of one line of a watch, however little memory there is
LINE_MEMORY_SHARE = 1 / 40  # of the memory: a line; read, a host takes up to 21 times the bytes of its entry
LONG_LINE_BYTES = 64 * 1024  # bytes of a line that is read and told piece by piece
MIN_PROGRESS_BYTES = 64 * 1024  # bytes of a long line that have to come within ``QUIET_S``
ENDPOINTS_PER_PIECE = 256  # hosts that are read, or told, without letting others run
POST_S = (0.25, 1.0)  # s for the answer to a notice, which is given at once: at first, and at most
NOTICE_WORKERS, MAX_NOTICES_PER_POST = (
    3,
    64,
)  # posts out at once, so that a hanging one delays no other; lines in a post
AGAIN_S = (0.02, 0.5)  # s before a post is repeated: at first, and at most


UpdateCallback = Callable[[DirectoryUpdate], None]
PiecewiseUpdateCallback = Callable[
    [DirectoryUpdate], Awaitable[None]
]  # lets others run in between; over once all is in force


def line_limit_for_memory(memory_bytes: int) -> int:
    """The longest line of a watch that a relay with so much memory takes."""
    return max(DEFAULT_MAX_LINE_BYTES, int(memory_bytes * LINE_MEMORY_SHARE))


class LineBuffer:
    """Bytes of a stream as whole lines; a line may come in any number of parts."""

    def __init__(self, most: int) -> None:
        self._max_line_bytes, self._partial_line = most, bytearray()

    def __len__(self) -> int:
        """Bytes of the line that is still coming."""
        return len(self._partial_line)

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that end here; ``ValueError`` where one is longer than is taken."""
        *lines, rest = data.split(b"\n")
        if lines:
            lines[0] = bytes(self._partial_line) + lines[0]
            self._partial_line.clear()
        self._partial_line += rest
        if max(len(self._partial_line), *map(len, lines), 0) > self._max_line_bytes:
            raise ValueError(f"a line of over {self._max_line_bytes} bytes, the bound by this relay's memory")
        return lines


class Watch:
    """One watch on the list at a time; it tells its end once and comes back only when asked to."""

    def __init__(
        self,
        address: Address,
        seq: int,
        *,
        told: UpdateCallback,
        told_in_pieces: PiecewiseUpdateCallback,
        failed: Callable[[], None],
        most_line: int = DEFAULT_MAX_LINE_BYTES,
    ) -> None:
        self._address, self.version, self._on_update, self._on_end = address, seq, told, failed
        self._on_long_update, self._max_line_bytes = told_in_pieces, most_line
        self._task: asyncio.Task[None] | None = None
        self._is_working = False  # whether it has told a list, or a long one is coming
        self.open_connections = 0  # open ones

    def subscribe(self) -> None:
        """Start a watch; one that never answered is given up for it, one that works is kept."""
        if self._task is not None and not self._task.done():
            if self._is_working:
                return
            self._task.cancel()
        self._start()

    def resume(self, seq: int) -> None:
        """Watch on from the version that another process had."""
        self.version = seq
        self.subscribe()

    def move_to(self, address: Address) -> None:
        """Watch at another address; the old one tells nothing new and will soon end its watch."""
        if address == self._address:
            return
        self._address = address
        if self._task is not None:  # also between two watches: the new address need not wait for that
            self._task.cancel()
            self._start()

    def _start(self) -> None:
        self._is_working = False
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        connection: Connection | None = None
        first_s = asyncio.get_running_loop().time() + FIRST_LIST_TIMEOUT_S
        try:
            async with asyncio.timeout_at(first_s):
                connection = await Connection.open(self._address)
                self.open_connections += 1
                target = f"{HOSTS_PATH}?watch=1&from={self.version}"
                await connection.send(connection.build_request("GET", target, []))
                answer = await connection.read_response()
            if answer.status_code != 200:
                raise ConnectionError(f"status {answer.status_code}")
            LOG.info("discovery: watch answered, from version %d", self.version)
            await self._read_lines(connection, first_s)
        except (*CONNECTION_ERRORS, TimeoutError, ValueError) as error:
            LOG.info("discovery: watch ended: %r", error)
        except Exception:
            LOG.exception("discovery: watch broke")
        finally:
            if connection is not None:
                self.open_connections -= 1
                connection.close()
        self._on_end()

    async def _read_lines(self, connection: Connection, by_s: float) -> None:
        """Tell each line in order until the watch ends, falls silent or makes no sense.

        Bytes that come one by one are silence until they make a line: whoever sends them tells nothing. Of a
        line that takes longer, ``LEAST_PROGRESS`` bytes have to come each time.
        """
        loop, buffer, counted = asyncio.get_running_loop(), LineBuffer(self._max_line_bytes), 0
        while True:
            async with asyncio.timeout_at(by_s):
                event = await connection.next_event()
            if not isinstance(event, h11.Data):
                raise ConnectionResetError("the watch was ended")
            lines = buffer.feed(bytes(event.data))
            for line in lines:
                if line.strip():
                    await self._handle_line(line)
            counted = 0 if lines else counted
            if progress := len(buffer) >= counted + MIN_PROGRESS_BYTES:
                counted, self._is_working = len(buffer), True
            if self._is_working and (lines or progress):
                by_s = loop.time() + SILENCE_TIMEOUT_S

    async def _handle_line(self, line: bytes) -> None:
        """Read one line and tell it: a short one at once, a long one so that others run in between."""
        if len(line) <= LONG_LINE_BYTES:
            news = self._unless_stale(parse_list(json.loads(line)))
            self.version = news.version
            self._on_update(news)
            return
        self._is_working = True
        reader = IncrementalListParser(line)
        while not reader.parse(ENDPOINTS_PER_PIECE):
            await asyncio.sleep(0)
        news = self._unless_stale(reader.finish())
        await self._on_long_update(news)
        self.version = (
            news.version
        )  # not before all is in force: a watch that ends in the middle asks for it again

    def _unless_stale(self, news: DirectoryUpdate) -> DirectoryUpdate:
        """The news, or none where they are older than what is held: applied, they would undo a drain."""
        self._is_working = True
        if news.version >= self.version:
            return news
        LOG.warning("discovery: version %d after %d left out", news.version, self.version)
        return DirectoryUpdate(self.version, False, ())


@dataclass(frozen=True, slots=True)
class Notice:
    """The end of a message that was not delivered."""

    ref: str
    result: str
    wait_ms: int = 0

    def encode(self) -> bytes:
        """The notice as the platform reads it."""
        told: dict[str, str | int] = {"ref": self.ref, "result": self.result}
        if self.wait_ms > 0:
            told["wait_ms"] = self.wait_ms
        return json.dumps(told, separators=(",", ":")).encode() + b"\n"


class NoticeSender:
    """Posts each notice until the platform confirms it; it is answered also while discovery is down."""

    def __init__(self, address: Address, confirmed: Callable[[str], None]) -> None:
        self._address, self._on_confirmed = address, confirmed
        self._queue: asyncio.Queue[Notice] = asyncio.Queue()
        self._tasks: list[asyncio.Task[None]] = []
        self.unconfirmed = 0
        self.open_connections = 0  # open ones

    def start(self) -> None:
        """Begin to post."""
        self._tasks = [asyncio.create_task(self._post_until_confirmed()) for _ in range(NOTICE_WORKERS)]

    def send(self, notice: Notice) -> None:
        """Post it as soon as may be."""
        self.unconfirmed += 1
        self._queue.put_nowait(notice)

    def move_to(self, address: Address) -> None:
        """Post to another address from now on, also what is being tried again."""
        self._address = address

    def close(self) -> None:
        """Stop; what is not confirmed stays in the journal."""
        for task in self._tasks:
            task.cancel()

    def _close_connection(self, connection: Connection | None) -> None:
        """Close a connection, where there is one."""
        if connection is not None:
            self.open_connections -= 1
            connection.close()

    async def _post_until_confirmed(self) -> None:
        connection: Connection | None = None
        address = self._address
        while True:
            batch = [await self._queue.get()]
            with suppress(asyncio.QueueEmpty):
                while len(batch) < MAX_NOTICES_PER_POST:
                    batch.append(self._queue.get_nowait())
            again_s, post_s = AGAIN_S[0], POST_S[0]
            while batch:
                if address != self._address:
                    self._close_connection(connection)
                    connection, address = None, self._address
                connection, status = await self._post(connection, batch, post_s)
                if status == 204:
                    self._confirm(batch)
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

    def _confirm(self, batch: list[Notice]) -> None:
        for notice in batch:
            self.unconfirmed -= 1
            self._on_confirmed(notice.ref)

    async def _post(
        self, connection: Connection | None, batch: list[Notice], post_s: float
    ) -> tuple[Connection | None, int]:
        """One post; the connection if it can serve again, and the status (0: none came)."""
        try:
            async with asyncio.timeout(post_s):
                if connection is None or not connection.is_quiet():
                    self._close_connection(connection)
                    connection = None
                    connection = await Connection.open(self._address)
                    self.open_connections += 1
                body = b"".join(notice.encode() for notice in batch)
                await connection.send(connection.build_request("POST", NOTICES_PATH, [], body))
                status = (await connection.read_response()).status_code
                await connection.read_body(DEFAULT_MAX_LINE_BYTES)
            if connection.prepare_reuse():
                return connection, status
        except (*CONNECTION_ERRORS, TimeoutError) as error:
            LOG.info("notices: post of %d failed: %r", len(batch), error)
            status = 0
        except Exception:  # a worker that dies would hold back every later notice
            LOG.exception("notices: post broke")
            status = 0
        self._close_connection(connection)
        return None, status
