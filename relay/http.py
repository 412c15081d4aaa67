"""One HTTP/1.1 client connection on a plain socket: it counts its bytes and repeats nothing by itself."""

from __future__ import annotations

import asyncio
import errno
import math
import re
import socket
import struct
from collections.abc import Callable
from contextlib import suppress

import h11

Address = tuple[str, int]
Headers = list[tuple[str, str]]
MAX_HEAD_BYTES = 16 * 1024  # bytes of a status line and headers
MAX_KEPT_ANSWER_BYTES = (
    96 * 1024
)  # bytes of an answer that are kept, for its first line and for a process that reads on
OK_STATUS_LINE = re.compile(rb"HTTP/1\.[01] 200(?: [^\r\n]*)?\r?\n")
MAX_READ_BYTES = 64 * 1024
RESOURCE_SHORTAGE_ERRNOS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)  # faults of this machine, not of a peer
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # of SO_LINGER: on, for no time
ANSWER_REST_TIMEOUT_S = 0.1  # s for the rest of an answer whose first line has said all that matters


def local_port_of(sock: socket.socket) -> int:
    """The port of this side; 0 where the system does not tell it."""
    try:
        return int(sock.getsockname()[1])
    except OSError:
        return 0


class Connection:
    """A connection whose owner knows exactly how many bytes of its request are still here."""

    def __init__(self, sock: socket.socket, address: Address) -> None:
        self.sock, self.unsent_bytes, self._address = sock, 0, address
        self.local_port = 0  # by which the other side's records name it; 0: not known
        # Whether another process may hold it too: one that was to take over. Its copy would outlive a close.
        self.shared_with_successor = False
        self.request_begun = False  # whether a byte of the present request has gone out
        self.idle_since_s = 0.0  # monotonic time since which it stands idle; 0 until its first call is over
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.received = bytearray()  # the present answer so far
        self._status_suffices, self._read_deadline_s = (
            False,
            math.inf,
        )  # whether 200 says all; the loop's time to wait until then
        self._loop = asyncio.get_running_loop()
        self._reader_added = False  # whether the loop looks for bytes; it goes on between calls
        self._writer_added = False  # whether it looks for room to write
        self._read_waiter: asyncio.Future[None] | None = None  # of an answer's next bytes
        self.on_unexpected_data: Callable[[], None] | None = (
            None  # told of bytes or an end that nobody waits for
        )

    @classmethod
    async def open(cls, address: Address) -> Connection:
        """Connect; ``OSError`` where the other side refuses."""
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await asyncio.get_running_loop().sock_connect(sock, address)
        except BaseException:
            sock.close()
            raise
        connection = cls(sock, address)
        connection.local_port = local_port_of(sock)
        return connection

    def build_request(
        self, method: str, target: str, headers: Headers, body: bytes = b"", brief: bool = False
    ) -> bytes:
        """A request's bytes; where ``brief``, a 200 says all, and the rest is waited for only shortly."""
        self.received, self._status_suffices, self._read_deadline_s = bytearray(), brief, math.inf
        headers = [("Host", f"{self._address[0]}:{self._address[1]}"), *headers]
        if method != "GET":
            headers.append(("Content-Length", str(len(body))))
        parts = [
            self._http.send(h11.Request(method=method, target=target, headers=headers)),
            self._http.send(h11.Data(data=body)) if body else b"",
            self._http.send(h11.EndOfMessage()),
        ]
        return b"".join(part or b"" for part in parts)

    async def send(self, data: bytes, by_s: float = math.inf) -> None:
        """Hand every byte to the kernel; ``unsent`` is exact at every moment, also when this is cancelled.

        None is handed over after ``by_s``, a time of the loop: ``TimeoutError``, and the last one stays here.

        ``loop.sock_sendall`` will not do: cancelled after its last byte it looks as if it had not ended,
        and a call that may have run would be taken for one that never did.
        """
        view = memoryview(data)
        self.unsent_bytes, self.request_begun = len(view), False
        while view:
            if by_s < math.inf and self._loop.time() >= by_s:
                raise TimeoutError("too late for the rest of a request")
            try:
                sent = self.sock.send(view)
            except (BlockingIOError, InterruptedError):
                await self._wait_until_writable()
                continue
            view, self.request_begun = view[sent:], True
            self.unsent_bytes = len(view)

    async def _wait_until_writable(self) -> None:
        ready = asyncio.Event()
        self._loop.add_writer(self.sock.fileno(), ready.set)
        self._writer_added = True
        try:
            await ready.wait()
        finally:
            self._stop_writing()

    def _stop_writing(self) -> None:
        if self._writer_added:
            self._loop.remove_writer(self.sock.fileno())
            self._writer_added = False

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """The next part of the answer; a broken or ended connection raises."""
        while (event := self._http.next_event()) is h11.NEED_DATA:
            await self._wait_for_data()
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError("closed before an answer")
        return event  # type: ignore[return-value]

    def _receive(self, data: bytes) -> None:
        self.received += data[: MAX_KEPT_ANSWER_BYTES - len(self.received)]
        self._http.receive_data(data)

    def resume_answer(self, came: bytes) -> None:
        """Go on with an answer that another process began to read; the request is out, whole."""
        self.request_begun = True
        if came:
            self._receive(came)

    async def _wait_for_data(self) -> None:
        """Wait for more of the answer.

        Some hosts stop behind the first line. Waited for until the message's time is up, they would hold a
        slot for nothing, and the end that is known would come too late.
        """
        if self._status_suffices and self.has_ok_status_line:
            self._read_deadline_s = min(self._read_deadline_s, self._loop.time() + ANSWER_REST_TIMEOUT_S)
        self.watch()
        waiter = self._read_waiter = self._loop.create_future()
        timer = (
            None
            if self._read_deadline_s == math.inf
            else self._loop.call_at(self._read_deadline_s, self._time_out, waiter)
        )
        try:
            await waiter
        finally:
            self._read_waiter = None
            if timer is not None:
                timer.cancel()

    @staticmethod
    def _time_out(waiter: asyncio.Future[None]) -> None:
        if not waiter.done():
            waiter.set_exception(TimeoutError())

    def watch(self) -> None:
        """Have the loop look for bytes, until there are some that nobody waits for.

        Asked for anew with each read, as by ``loop.sock_recv``, that costs four system calls a call. A number
        is given and not the socket: the loop writes out what it does not know yet, and a socket's text asks
        the system twice.
        """
        if not self._reader_added:
            self._loop.add_reader(self.sock.fileno(), self._on_readable)
            self._reader_added = True

    def _on_readable(self) -> None:
        """Take what came at once: left for later, the loop would tell of it a second time."""
        waiter = self._read_waiter
        if waiter is None:
            self._unwatch()
            if self.on_unexpected_data is not None:
                self.on_unexpected_data()
        elif not waiter.done():
            try:
                self._read()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._unwatch()
                waiter.set_exception(error)
            else:
                waiter.set_result(None)

    def _read(self) -> None:
        data = self.sock.recv(MAX_READ_BYTES)
        if not data:
            self._unwatch()
            if not self.received:
                raise ConnectionResetError("ended without an answer")
        self._receive(data)

    def _unwatch(self) -> None:
        if self._reader_added:
            self._loop.remove_reader(self.sock.fileno())
            self._reader_added = False

    def read_pending(self) -> bool:
        """Take in what has come; whether there is something that its reader has not looked at yet."""
        if self._read_waiter is None:
            return self._read_ahead()
        if not self._read_waiter.done():
            self._on_readable()
        return self._read_waiter.done()

    def _read_ahead(self) -> bool:
        """The same before the reader of an answer has had its first turn; an end is left for it to find."""
        if not self.request_begun or self.unsent_bytes:
            return False
        with suppress(OSError):
            self._read()
        return bool(self.received)

    @property
    def has_ok_status_line(self) -> bool:
        """Whether a first line with 200 has come, which is true even where the rest cannot be read."""
        return OK_STATUS_LINE.match(self.received) is not None

    async def read_response(self) -> h11.Response:
        """Status and headers of the final answer."""
        while not isinstance(event := await self.next_event(), h11.Response):
            if not isinstance(event, h11.InformationalResponse):
                raise h11.RemoteProtocolError(f"no answer but {event!r}")
        return event

    async def read_body(self, most: int) -> bytes:
        """The rest of the answer, of which ``most`` bytes are bearable."""
        data = bytearray()
        while isinstance(event := await self.next_event(), h11.Data):
            data += event.data
            if len(data) > most:
                raise h11.RemoteProtocolError("the answer is too long")
        return bytes(data)

    def skip_rest(self) -> bool:
        """Whether the rest of the answer has come with its head, as it mostly does; it is passed over."""
        while (event := self._http.next_event()) is not h11.NEED_DATA:
            if not isinstance(event, h11.Data):
                return isinstance(event, h11.EndOfMessage)
        return False

    def prepare_reuse(self) -> bool:
        """Whether both sides are done with the last call and keep the connection, by what was read of it.

        What comes from now on is told as ``unasked``, or found by ``quiet`` when it is taken up again.
        """
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self.request_begun = False
        idle = self._http.our_state is h11.IDLE and self._http.their_state is h11.IDLE
        return idle and not self._http.trailing_data[0]

    def is_quiet(self) -> bool:
        """Whether nothing came unasked: neither bytes nor the other side's end."""
        if self._http.trailing_data[0]:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Give the connection up, and with it a call that is out on it; once more changes nothing."""
        self._unwatch()
        self._stop_writing()
        if self.shared_with_successor:
            with suppress(OSError):  # it is closed, or its peer has reset it
                self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def abort(self) -> None:
        """The same with a reset: the system sends no byte any more that the other side has not got yet.

        Behind a cut it would go on to try, and the call would arrive when it is long over here.
        """
        with suppress(OSError):  # it is closed
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()


CONNECTION_ERRORS = (OSError, h11.RemoteProtocolError)
