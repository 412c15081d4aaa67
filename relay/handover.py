"""Handover: replaces the relay's process with another one without losing its state.

The process that holds the lock file is the relay. On request it sends all its state within one callback of
its event loop, so that nothing changes meanwhile. Until it has sent the final message, ``YOURS``, it can
continue as if nothing had been requested. The new process uses what it received only after that message and
once it holds the lock; otherwise it starts from the journal.
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
RELOAD = b"reload"  # the old process has received SIGHUP since then
# Signals that the relay handles. While the state is sent they are held back: what they ask for must be done
# either by this process, if it stays the relay, or by the next one.
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
# Iterations of the event loop in which the handlers of signals that came earlier run, and what they resume.
SIGNAL_HANDLER_TURNS = 5
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
    """A payload as it was received, and the connection to the old process (see ``Predecessor``)."""

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
    """Send everything; raises ``OSError`` where the other process did not take it; nothing changed then."""
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
    """Receive all up to the final message; raises ``OSError`` where the other process stays the relay."""
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
            raise ConnectionResetError("the other process did not send the final message of the transfer")
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
            while not lock.try_acquire():  # the old process releases it right after its final message
                await asyncio.sleep(0)
            return received
        await asyncio.sleep(LOCK_POLL_S)
    return None


class Predecessor:
    """The process that handed its state over, until it has exited.

    It may receive SIGHUP until then, and passes it on: ``on_reload`` is called for each, and once more when
    it has exited.
    """

    def __init__(self, sock: socket.socket, on_reload: Callable[[], None]) -> None:
        self._sock = sock
        self._on_reload = on_reload
        self._loop = asyncio.get_running_loop()
        sock.setblocking(False)
        self._loop.add_reader(sock.fileno(), self._on_readable)

    def release(self) -> None:
        """Let the process exit; may be called again."""
        with suppress(OSError):  # it has exited already
            self._sock.shutdown(socket.SHUT_WR)

    def _on_readable(self) -> None:
        try:
            message = self._sock.recv(CHUNK_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            message = b""
        if not message:
            self.close()
        self._on_reload()

    def close(self) -> None:
        """Close the connection, so that the process exits, and listen to it no more."""
        if self._sock.fileno() >= 0:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()


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

    async def stop(self) -> None:
        """Accept no more requests, and give up one that is being handled; this process stays the relay."""
        self.close()
        if self._task is not None:
            with suppress(asyncio.CancelledError):
                await self._task

    def close(self) -> None:
        """Do the same without waiting for its end."""
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
        try:
            await self._quiesce(same_layout)
            await self._send_and_exit(sock, same_layout)
        except asyncio.CancelledError:
            await self._resume_serving()
            raise
        except Exception as error:
            LOG.error("handover: not taken, serving on: %r", error)
            await self._resume_serving()

    async def _send_and_exit(self, sock: socket.socket, same_layout: bool) -> None:
        """Send all state, then end this process; raises where the other process did not take it."""
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
        try:
            for _ in range(SIGNAL_HANDLER_TURNS):  # one of those signals may end this process
                await asyncio.sleep(0)
            start_s = asyncio.get_running_loop().time()
            # From here on nothing else runs in this process, until the transfer fails or the process ends.
            payload = self._export_payload(same_layout)
            send_payload(sock, payload)
            duration_ms = 1e3 * (asyncio.get_running_loop().time() - start_s)
            LOG.info("handover: %d sockets given in %.0f ms", len(payload.fds), duration_ms)
            close_all_and_exit(sock, self._lock)
        finally:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def close_fds_except(kept: list[int]) -> None:
    """Close every descriptor except the standard streams and the given ones."""
    first = FIRST_NON_STANDARD_FD
    for descriptor in sorted(kept):
        os.closerange(first, descriptor)
        first = descriptor + 1
    os.closerange(first, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def close_all_and_exit(sock: socket.socket, lock: RelayLock) -> None:
    """Close every descriptor, then the lock; exit once the other process lets this one go, or at SIGTERM.

    The lock comes last: once the other process has it, it closes calls, and a copy of their sockets here
    would keep them open. SIGHUP is passed on to the other process.
    """
    try:
        signal.set_wakeup_fd(-1)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: os._exit(0))
        signal.signal(signal.SIGHUP, lambda *_: pass_reload_on(sock))
        close_fds_except([sock.fileno(), lock.fd])
        lock.close()
        sock.settimeout(EXIT_TIMEOUT_S)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        with suppress(OSError):
            sock.recv(1)
    finally:
        os._exit(0)  # whatever failed: this process is not the relay any more


def pass_reload_on(sock: socket.socket) -> None:
    """Tell the process that has taken over that SIGHUP came here."""
    with suppress(OSError):  # it has ended
        sock.send(RELOAD)
