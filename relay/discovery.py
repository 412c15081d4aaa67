"""The platform's side of the relay: the watch on the endpoint list, and the notices that end messages."""

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
HOSTS_PATH = "/discovery/hosts"
NOTICES_PATH = "/v1/notices"
# For a watch to connect and deliver its first list. Parts of an answer or empty lines do not count.
FIRST_LIST_TIMEOUT_S = 3.0
# Without a complete line, after which a watch is broken off: a cut network is silent, and the directory owes
# a line every 2 s.
SILENCE_TIMEOUT_S = 3.0
DEFAULT_MAX_LINE_BYTES = 1 << 20  # of one line of a watch, allowed however small the memory limit is
# Share of the memory limit that one line may take. A parsed endpoint takes up to 21 times the bytes of its
# entry in the line.
LINE_MEMORY_SHARE = 1 / 40
LONG_LINE_BYTES = 64 * 1024  # a longer line is parsed and applied piece by piece
MIN_PROGRESS_BYTES = 64 * 1024  # of a long line that have to arrive within SILENCE_TIMEOUT_S
ENDPOINTS_PER_PIECE = 256  # parsed, or applied, before other tasks run
# For the answer to a post of notices, which the platform gives at once. It doubles with each failure.
FIRST_POST_TIMEOUT_S = 0.25
MAX_POST_TIMEOUT_S = 1.0
MAX_POST_ANSWER_BYTES = 64 * 1024
NOTICE_WORKERS = 3  # concurrent posts, so that one that hangs does not delay the others
MAX_NOTICES_PER_POST = 64
# Before a failed post is repeated. It doubles with each failure. The first time-out and the first delay
# together stay under 300 ms, after which the platform takes a notice for overdue.
FIRST_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.5


UpdateCallback = Callable[[DirectoryUpdate], None]
# Lets other tasks run in between, and returns once the whole update is in force.
PiecewiseUpdateCallback = Callable[[DirectoryUpdate], Awaitable[None]]


def line_limit_for_memory(memory_bytes: int) -> int:
    """Return the maximum length in bytes of a watch's line for a relay with this memory limit."""
    return max(DEFAULT_MAX_LINE_BYTES, int(memory_bytes * LINE_MEMORY_SHARE))


class LineBuffer:
    """Splits a stream of bytes into lines; a line may arrive in any number of parts."""

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._partial_line = bytearray()

    def __len__(self) -> int:
        """Return the number of bytes of the incomplete line."""
        return len(self._partial_line)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that these bytes complete; raises ``ValueError`` if one is over the limit."""
        *lines, rest = data.split(b"\n")
        if lines:
            lines[0] = bytes(self._partial_line) + lines[0]
            self._partial_line.clear()
        self._partial_line += rest
        if max(len(self._partial_line), *map(len, lines), 0) > self._max_line_bytes:
            raise ValueError(f"a line of over {self._max_line_bytes} bytes, the bound by this relay's memory")
        return lines


class Watch:
    """One watch on the endpoint list at a time.

    The end of a watch is reported once; another one starts only when ``subscribe`` is called.
    """

    def __init__(
        self,
        address: Address,
        version: int,
        *,
        on_update: UpdateCallback,
        on_long_update: PiecewiseUpdateCallback,
        on_end: Callable[[], None],
        max_line_bytes: int = DEFAULT_MAX_LINE_BYTES,
    ) -> None:
        self._address = address
        self.version = version  # of the list that is in force
        self._on_update = on_update
        self._on_end = on_end
        self._on_long_update = on_long_update
        self._max_line_bytes = max_line_bytes
        self._task: asyncio.Task[None] | None = None
        self._is_working = False  # whether a list has arrived, or a long one is arriving
        self.open_connections = 0

    def subscribe(self) -> None:
        """Start a watch; it replaces one that has delivered nothing, and one that works is kept."""
        if self._task is not None and not self._task.done():
            if self._is_working:
                return
            self._task.cancel()
        self._start()

    def resume(self, version: int) -> None:
        """Start a watch from the version that another process had."""
        self.version = version
        self.subscribe()

    def move_to(self, address: Address) -> None:
        """Watch at another address; the old one sends no more updates and will soon end its watch."""
        if address == self._address:
            return
        self._address = address
        if self._task is not None:  # also between two watches: no need to wait for the next at a new address
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
        deadline_s = asyncio.get_running_loop().time() + FIRST_LIST_TIMEOUT_S
        try:
            async with asyncio.timeout_at(deadline_s):
                connection = await Connection.open(self._address)
                self.open_connections += 1
                target = f"{HOSTS_PATH}?watch=1&from={self.version}"
                await connection.send(connection.build_request("GET", target, []))
                answer = await connection.read_response()
            if answer.status_code != 200:
                raise ConnectionError(f"the directory answered with status {answer.status_code}")
            LOG.info("discovery: watch answered, from version %d", self.version)
            await self._read_lines(connection, deadline_s)
        except (*CONNECTION_ERRORS, TimeoutError, ValueError) as error:
            LOG.info("discovery: watch ended: %r", error)
        except Exception:
            LOG.exception("discovery: watch failed with an unexpected error")
        finally:
            if connection is not None:
                self.open_connections -= 1
                connection.close()
        self._on_end()

    async def _read_lines(self, connection: Connection, deadline_s: float) -> None:
        """Apply each line in order until the watch ends, falls silent or sends something malformed.

        Bytes that trickle in without completing a line count as silence, as they carry no update. A line that
        takes longer has to grow by ``MIN_PROGRESS_BYTES`` within each ``SILENCE_TIMEOUT_S``.
        """
        loop, buffer, counted_bytes = asyncio.get_running_loop(), LineBuffer(self._max_line_bytes), 0
        while True:
            async with asyncio.timeout_at(deadline_s):
                event = await connection.next_event()
            if not isinstance(event, h11.Data):
                raise ConnectionResetError("the directory ended the watch")
            lines = buffer.feed(bytes(event.data))
            for line in lines:
                if line.strip():
                    await self._handle_line(line)
            counted_bytes = 0 if lines else counted_bytes
            if progress := len(buffer) >= counted_bytes + MIN_PROGRESS_BYTES:
                counted_bytes, self._is_working = len(buffer), True
            if self._is_working and (lines or progress):
                deadline_s = loop.time() + SILENCE_TIMEOUT_S

    async def _handle_line(self, line: bytes) -> None:
        """Parse and apply one line: a short one at once, a long one in pieces with other tasks in between."""
        if len(line) <= LONG_LINE_BYTES:
            update = self._unless_stale(parse_list(json.loads(line)))
            self.version = update.version
            self._on_update(update)
            return
        self._is_working = True
        parser = IncrementalListParser(line)
        while not parser.parse(ENDPOINTS_PER_PIECE):
            await asyncio.sleep(0)
        update = self._unless_stale(parser.finish())
        await self._on_long_update(update)
        # Only now is all of it in force: after a watch that ends in the middle, the next asks for it again.
        self.version = update.version

    def _unless_stale(self, update: DirectoryUpdate) -> DirectoryUpdate:
        """Return the update, or an empty one if it is older than the list in force: it could undo a drain."""
        self._is_working = True
        if update.version >= self.version:
            return update
        LOG.warning("discovery: version %d ignored, version %d is in force", update.version, self.version)
        return DirectoryUpdate(self.version, False, ())


@dataclass(frozen=True, slots=True)
class Notice:
    """Tells the platform how a message ended that was not delivered."""

    ref: str
    result: str
    wait_ms: int = 0

    def encode(self) -> bytes:
        """Return the notice as a line of JSON, as the platform expects it."""
        fields: dict[str, str | int] = {"ref": self.ref, "result": self.result}
        if self.wait_ms > 0:
            fields["wait_ms"] = self.wait_ms
        return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


class NoticeSender:
    """Posts each notice until the platform confirms it, which it does also while discovery is down."""

    def __init__(
        self,
        address: Address,
        on_confirmed: Callable[[str], None],
        on_failed: Callable[[], None] = lambda: None,
    ) -> None:
        self._address = address
        self._on_confirmed = on_confirmed
        self._on_failed = on_failed  # called when a post got no answer
        self._queue: asyncio.Queue[Notice] = asyncio.Queue()
        self._tasks: list[asyncio.Task[None]] = []
        self.unconfirmed = 0
        self.open_connections = 0

    def start(self) -> None:
        """Start the workers that post."""
        self._tasks = [asyncio.create_task(self._post_until_confirmed()) for _ in range(NOTICE_WORKERS)]

    def send(self, notice: Notice) -> None:
        """Queue a notice for the next free worker."""
        self.unconfirmed += 1
        self._queue.put_nowait(notice)

    def move_to(self, address: Address) -> None:
        """Post to another address from now on, including notices that are being retried."""
        self._address = address

    def close(self) -> None:
        """Stop; notices that are not confirmed stay in the journal."""
        for task in self._tasks:
            task.cancel()

    def _close_connection(self, connection: Connection | None) -> None:
        """Close a connection if there is one."""
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
            retry_delay_s, timeout_s = FIRST_RETRY_DELAY_S, FIRST_POST_TIMEOUT_S
            while batch:
                if address != self._address:
                    self._close_connection(connection)
                    connection, address = None, self._address
                connection, status = await self._post(connection, batch, timeout_s)
                if status == 204:
                    self._confirm(batch)
                    batch = []
                elif status == 400 and len(batch) > 1:  # one malformed line must not hold up the others
                    for notice in batch[1:]:
                        self._queue.put_nowait(notice)
                    batch = batch[:1]
                else:
                    if status == 400:
                        LOG.error(
                            "notices: the platform rejected the notice for %s with status 400", batch[0].ref
                        )
                    if not status:
                        self._on_failed()
                    await asyncio.sleep(retry_delay_s)
                    retry_delay_s, timeout_s = (
                        min(2 * retry_delay_s, MAX_RETRY_DELAY_S),
                        min(2 * timeout_s, MAX_POST_TIMEOUT_S),
                    )

    def _confirm(self, batch: list[Notice]) -> None:
        for notice in batch:
            self.unconfirmed -= 1
            self._on_confirmed(notice.ref)

    async def _post(
        self, connection: Connection | None, batch: list[Notice], timeout_s: float
    ) -> tuple[Connection | None, int]:
        """Post once; return the connection if it can be reused, and the status (0 without an answer)."""
        try:
            async with asyncio.timeout(timeout_s):
                if connection is None or not connection.is_quiet():
                    self._close_connection(connection)
                    connection = None
                    connection = await Connection.open(self._address)
                    self.open_connections += 1
                body = b"".join(notice.encode() for notice in batch)
                await connection.send(connection.build_request("POST", NOTICES_PATH, [], body))
                status = (await connection.read_response()).status_code
                await connection.read_body(MAX_POST_ANSWER_BYTES)
            if connection.prepare_reuse():
                return connection, status
        except (*CONNECTION_ERRORS, TimeoutError) as error:
            LOG.info("notices: post of %d notices failed: %r", len(batch), error)
            status = 0
        except Exception:  # a worker that dies would hold back later notices
            LOG.exception("notices: post failed with an unexpected error")
            status = 0
        self._close_connection(connection)
        return None, status
