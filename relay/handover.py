"""Handover: replaces the relay's process with another one without losing its state.

The process that holds the lock file is the relay. On request it sends all its state within one callback of
its event loop, so that nothing changes meanwhile. Until it has sent the last word, ``YOURS``, it can continue
as if nothing had been requested. The new process uses what it received only after that word and once it holds
the lock; otherwise it starts from the journal.
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import logging
import os
import resource
import signal
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

LOG = logging.getLogger(__name__)
LOCK_POLL_S = 0.01  # s between attempts to take the lock or to ask its holder
REQUEST_TIMEOUT_S = 1.0  # s from connecting until the new process must have sent its request
TRANSFER_TIMEOUT_S = 1.0  # s for each message of the transfer, during which this process does nothing else
FIRST_ANSWER_TIMEOUT_S = 10.0  # s for the holder's first message; before that it may let its calls end
EXIT_TIMEOUT_S = 30.0  # s that a process without state waits for the end of its successor's connection
CHUNK_BYTES = 32 * 1024  # state bytes in one message of the transfer
MAX_FDS_PER_MESSAGE = 200
MAX_SOCKET_PATH_BYTES = 107  # longest address of a Unix socket
TAKEN = b"taken"  # the new process has received everything
YOURS = b"yours"  # the old process will not act any more
FIRST_NON_STANDARD_FD = 3  # after stdin, stdout and stderr
PEER_CREDENTIALS = struct.Struct("3i")  # pid, uid, gid


@dataclass(slots=True)
class HandoverPayload:
    """Everything that one process sends to the next."""

    any_version_state: dict[str, Any]  # JSON that any version can read
    pickled_state: bytes  # readable only by a process of the same layout; empty for any other
    fds: list[int]


@dataclass(slots=True)
class ReceivedHandover:
    """A payload as it was received; the old process exits once ``sender`` is closed."""

    any_version_state: dict[str, Any]
    pickled_state: bytes
    sockets: list[socket.socket]
    sender: socket.socket


class RelayLock:
    """The file lock whose holder is the relay; the system releases it when the holding process ends."""

    def __init__(self, folder: Path) -> None:
        self._fd = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        # Whether this process is or becomes the relay: it holds the lock, or only waits for its release.
        self.claimed = False

    @property
    def fd(self) -> int:
        """The descriptor of the lock file."""
        return self._fd

    def try_acquire(self) -> bool:
        """Take the lock; False while another process holds it."""
        try:
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        self.claimed = True
        return True

    def close(self) -> None:
        """Release the lock."""
        os.close(self._fd)


@contextmanager
def address_of_path(path: Path) -> Iterator[str]:
    """Yield a name for a socket's path that fits a Unix socket address, however long the path is."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield str(path)
        return
    fd = os.open(path.parent, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{fd}/{path.name}"
    finally:
        os.close(fd)


def is_same_user(sock: socket.socket) -> bool:
    """Whether the peer runs as the same user; required because its pickled data is loaded."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    return bool(PEER_CREDENTIALS.unpack(raw)[1] == os.getuid())


def receive_chunk(sock: socket.socket, max_bytes: int = CHUNK_BYTES) -> bytes:
    """Receive one message; raises ``ConnectionResetError`` at the end of the connection."""
    if not (data := sock.recv(max_bytes)):
        raise ConnectionResetError("the other process closed the connection")
    return data


def send_payload(sock: socket.socket, payload: HandoverPayload) -> None:
    """Send everything; raises ``OSError`` where the other process did not take it: nothing changed then."""
    sock.settimeout(TRANSFER_TIMEOUT_S)
    state = json.dumps(payload.any_version_state).encode()
    sizes = {"told": len(state), "memory": len(payload.pickled_state), "fds": len(payload.fds)}
    sock.send(json.dumps(sizes).encode())
    data = state + payload.pickled_state
    for at in range(0, len(data), CHUNK_BYTES):
        sock.send(data[at : at + CHUNK_BYTES])
    for at in range(0, len(payload.fds), MAX_FDS_PER_MESSAGE):
        socket.send_fds(sock, [b"f"], payload.fds[at : at + MAX_FDS_PER_MESSAGE])
    if receive_chunk(sock) != TAKEN:
        raise ConnectionResetError("the other process did not confirm the transfer")
    sock.send(YOURS)


def receive_payload(sock: socket.socket, sizes: dict[str, int]) -> ReceivedHandover:
    """Receive everything up to the last word; raises ``OSError`` where the other process stays the relay."""
    sock.settimeout(TRANSFER_TIMEOUT_S)
    data, sockets = bytearray(), list[socket.socket]()
    try:
        while len(data) < sizes["told"] + sizes["memory"]:
            data += receive_chunk(sock)
        while len(sockets) < sizes["fds"]:
            word, fds, _, _ = socket.recv_fds(sock, 1, MAX_FDS_PER_MESSAGE)
            sockets += [socket.socket(fileno=fd) for fd in fds]
            if not word or not fds:
                raise ConnectionResetError("the other process sent fewer descriptors than announced")
        sock.send(TAKEN)
        if receive_chunk(sock) != YOURS:
            raise ConnectionResetError("the other process did not end the transfer with its last word")
    except OSError:
        for received in sockets:
            received.close()
        raise
    state = json.loads(bytes(data[: sizes["told"]]))
    return ReceivedHandover(state, bytes(data[sizes["told"] :]), sockets, sock)


async def request_handover(path: Path, layout: str) -> ReceivedHandover | None:
    """Ask the lock's holder for its state; None where there is no holder or it does not send it."""
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.setblocking(False)
        with address_of_path(path) as name:
            await loop.sock_connect(sock, name)
        if not is_same_user(sock):
            raise PermissionError("the other process runs as another user")
        await loop.sock_sendall(sock, json.dumps({"layout": layout}).encode())
        async with asyncio.timeout(FIRST_ANSWER_TIMEOUT_S):
            first = await loop.sock_recv(sock, CHUNK_BYTES)
        if not first:
            raise ConnectionResetError("the other process closed the connection")
        return receive_payload(sock, json.loads(first))
    except (OSError, TimeoutError, ValueError, KeyError) as error:
        LOG.info("handover: nothing was given: %r", error)
        sock.close()
        return None


async def become_relay(lock: RelayLock, path: Path, layout: str) -> ReceivedHandover | None:
    """Wait until this process is the relay; the state it was sent, or None where only the journal is left."""
    while not lock.try_acquire():
        if (received := await request_handover(path, layout)) is not None:
            lock.claimed = True
            while not lock.try_acquire():  # the old process releases it right after its last word
                await asyncio.sleep(0)
            return received
        await asyncio.sleep(LOCK_POLL_S)
    return None


class HandoverServer:
    """The relay's side: sends its state to a process that requests it at the socket.

    ``quiesce`` stops accepting connections and, for a process of another layout, waits for calls to end;
    ``export_payload`` returns the state; both are told whether the layout is the same. ``resume_serving``
    undoes ``quiesce`` after a failed transfer.
    """

    def __init__(
        self,
        path: Path,
        layout: str,
        lock: RelayLock,
        *,
        quiesce: Callable[[bool], Awaitable[None]],
        export_payload: Callable[[bool], HandoverPayload],
        resume_serving: Callable[[], Awaitable[None]],
    ) -> None:
        self._path, self._layout, self._lock = path, layout, lock
        self._quiesce, self._export_payload, self._resume_serving = quiesce, export_payload, resume_serving
        self._sock: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Listen; a socket file found there has no owner any more, because this process holds the lock."""
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self._sock.setblocking(False)
        try:
            self._path.unlink(missing_ok=True)
            with address_of_path(self._path) as name:
                self._sock.bind(name)
            self._sock.listen(4)
        except OSError as error:
            LOG.error("handover: the process cannot be replaced while it serves: %s", error)
            return
        self._task = asyncio.create_task(self._run(self._sock))

    def close(self) -> None:
        """Accept no more requests."""
        if self._task is not None:
            self._task.cancel()
        if self._sock is not None:
            self._sock.close()

    async def _run(self, listening: socket.socket) -> None:
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(listening)
            try:
                await self._handle_request(sock)
            except Exception:
                LOG.exception("handover: a request from another process failed")
            finally:
                sock.close()

    async def _handle_request(self, sock: socket.socket) -> None:
        """Send all state and end this process, or continue as before."""
        loop = asyncio.get_running_loop()
        if not is_same_user(sock):
            return
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            request = json.loads(await loop.sock_recv(sock, CHUNK_BYTES) or b"{}")
        if "layout" not in request:
            return
        same_layout = request["layout"] == self._layout
        LOG.info("handover: asked for by a process of %s layout", "the same" if same_layout else "another")
        await self._quiesce(same_layout)
        start_s = loop.time()
        try:
            # From here on nothing else runs in this process, until the transfer fails or the process ends.
            payload = self._export_payload(same_layout)
            send_payload(sock, payload)
        except Exception as error:
            LOG.error("handover: not taken in %.0f ms, serving on: %r", 1e3 * (loop.time() - start_s), error)
            await self._resume_serving()
            return
        LOG.info("handover: %d sockets given in %.0f ms", len(payload.fds), 1e3 * (loop.time() - start_s))
        close_all_and_exit(sock, self._lock)


def close_fds_except(kept: list[int]) -> None:
    """Close every descriptor except the standard streams and the given ones."""
    first = FIRST_NON_STANDARD_FD
    for descriptor in sorted(kept):
        os.closerange(first, descriptor)
        first = descriptor + 1
    os.closerange(first, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def close_all_and_exit(sock: socket.socket, lock: RelayLock) -> None:
    """Close every descriptor, then the lock; exit once the other process closes the connection or at SIGTERM.

    The lock comes last: once the other process has it, it closes calls, and a copy of their sockets here
    would keep them open.
    """
    signal.set_wakeup_fd(-1)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    close_fds_except([sock.fileno(), lock.fd])
    lock.close()
    sock.settimeout(EXIT_TIMEOUT_S)
    with suppress(OSError):
        sock.recv(1)
    os._exit(0)
