"""Replacing the process: who is the relay, and how it passes to the next process whole.

Whoever holds the lock is the relay. It gives everything away within one callback of its loop, so that
nothing changes meanwhile, and until its last word, ``YOURS``, it can go on as if nobody had asked. The other
uses what it got only after that word and with the lock in its hands; without it, it takes up the journal.
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
LOCK_POLL_S = 0.01  # s between looks whether the lock is free or its holder can be asked
REQUEST_TIMEOUT_S = 1.0  # s in which the one that asks has to say what it can take
TRANSFER_TIMEOUT_S = 1.0  # s in which the other has to take each piece while this process stands still
FIRST_ANSWER_TIMEOUT_S = 10.0  # s for the first word of the holder, which may let its calls end before
EXIT_TIMEOUT_S = 30.0  # s that a process which gave everything away waits for its end
CHUNK_BYTES, MAX_FDS_PER_MESSAGE = 32 * 1024, 200  # bytes in a message; descriptors in one
MAX_SOCKET_PATH_BYTES = 107  # bytes of a Unix socket's address
TAKEN, YOURS = b"taken", b"yours"
FIRST_NON_STANDARD_FD = 3  # behind the standard streams
PEER_CREDENTIALS = struct.Struct("3i")


@dataclass(slots=True)
class HandoverPayload:
    """Everything that one process gives to the next."""

    any_version_state: dict[str, Any]  # what any version can read
    pickled_state: bytes  # what only the same layout can read; empty between others
    fds: list[int]


@dataclass(slots=True)
class ReceivedHandover:
    """An estate as it arrived; the giver waits at ``giver`` until that is closed."""

    any_version_state: dict[str, Any]
    pickled_state: bytes
    sockets: list[socket.socket]
    sender: socket.socket


class RelayLock:
    """The one thing that makes a process the relay; it goes with the process that holds it."""

    def __init__(self, folder: Path) -> None:
        self._fd = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        # Whether this process is the relay from now on: it holds the lock, or waits for nothing else.
        self.claimed = False

    @property
    def fd(self) -> int:
        """The open file that holds it."""
        return self._fd

    def try_acquire(self) -> bool:
        """Take it; False while another process holds it."""
        try:
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        self.claimed = True
        return True

    def close(self) -> None:
        """Let go of it."""
        os.close(self._fd)


@contextmanager
def address_of_path(path: Path) -> Iterator[str]:
    """A name for a socket's path that fits an address, however deep its folder lies."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield str(path)
        return
    fd = os.open(path.parent, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{fd}/{path.name}"
    finally:
        os.close(fd)


def is_same_user(sock: socket.socket) -> bool:
    """Whether the other side runs as the same user: what it sends is taken for one's own memory."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    return bool(PEER_CREDENTIALS.unpack(raw)[1] == os.getuid())


def receive_chunk(sock: socket.socket, most: int = CHUNK_BYTES) -> bytes:
    """One message; an end in its place raises."""
    if not (data := sock.recv(most)):
        raise ConnectionResetError("the other process ended")
    return data


def send_payload(sock: socket.socket, estate: HandoverPayload) -> None:
    """Give everything away; ``OSError`` where the other did not take it, and nothing has changed then."""
    sock.settimeout(TRANSFER_TIMEOUT_S)
    told = json.dumps(estate.any_version_state).encode()
    sizes = {"told": len(told), "memory": len(estate.pickled_state), "fds": len(estate.fds)}
    sock.send(json.dumps(sizes).encode())
    data = told + estate.pickled_state
    for at in range(0, len(data), CHUNK_BYTES):
        sock.send(data[at : at + CHUNK_BYTES])
    for at in range(0, len(estate.fds), MAX_FDS_PER_MESSAGE):
        socket.send_fds(sock, [b"f"], estate.fds[at : at + MAX_FDS_PER_MESSAGE])
    if receive_chunk(sock) != TAKEN:
        raise ConnectionResetError("the other process did not take it")
    sock.send(YOURS)


def receive_payload(sock: socket.socket, sizes: dict[str, int]) -> ReceivedHandover:
    """Everything that the other gives, up to its last word; ``OSError`` where it remains the relay."""
    sock.settimeout(TRANSFER_TIMEOUT_S)
    data, socks = bytearray(), list[socket.socket]()
    try:
        while len(data) < sizes["told"] + sizes["memory"]:
            data += receive_chunk(sock)
        while len(socks) < sizes["fds"]:
            word, fds, _, _ = socket.recv_fds(sock, 1, MAX_FDS_PER_MESSAGE)
            socks += [socket.socket(fileno=fd) for fd in fds]
            if not word or not fds:
                raise ConnectionResetError("descriptors are missing")
        sock.send(TAKEN)
        if receive_chunk(sock) != YOURS:
            raise ConnectionResetError("no last word")
    except OSError:
        for passed in socks:
            passed.close()
        raise
    told = json.loads(bytes(data[: sizes["told"]]))
    return ReceivedHandover(told, bytes(data[sizes["told"] :]), socks, sock)


async def request_handover(path: Path, layout: str) -> ReceivedHandover | None:
    """Ask the holder of the lock for everything; None where nobody gives it."""
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.setblocking(False)
        with address_of_path(path) as name:
            await loop.sock_connect(sock, name)
        if not is_same_user(sock):
            raise PermissionError("another user's process")
        await loop.sock_sendall(sock, json.dumps({"layout": layout}).encode())
        async with asyncio.timeout(FIRST_ANSWER_TIMEOUT_S):
            first = await loop.sock_recv(sock, CHUNK_BYTES)
        if not first:
            raise ConnectionResetError("the other process ended")
        return receive_payload(sock, json.loads(first))
    except (OSError, TimeoutError, ValueError, KeyError) as error:
        LOG.info("handover: nothing was given: %r", error)
        sock.close()
        return None


async def become_relay(lock: RelayLock, path: Path, layout: str) -> ReceivedHandover | None:
    """Become the relay: with what its process gives, or with the journal alone (None) once that is gone."""
    while not lock.try_acquire():
        if (given := await request_handover(path, layout)) is not None:
            lock.claimed = True
            while not lock.try_acquire():  # the giver lets go of it right behind its last word
                await asyncio.sleep(0)
            return given
        await asyncio.sleep(LOCK_POLL_S)
    return None


class HandoverServer:
    """The relay's side: whoever asks at the socket and can take the relay over gets it."""

    def __init__(
        self,
        path: Path,
        layout: str,
        lock: RelayLock,
        *,
        still: Callable[[bool], Awaitable[None]],
        estate: Callable[[bool], HandoverPayload],
        go_on: Callable[[], Awaitable[None]],
    ) -> None:
        self._path, self._layout, self._lock = path, layout, lock
        self._quiesce, self._export_payload, self._resume_serving = still, estate, go_on
        self._sock: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Listen; what an earlier process left there is dead, for the lock is held."""
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
        """Give nothing any more."""
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
                LOG.exception("handover: a process that asked broke off")
            finally:
                sock.close()

    async def _handle_request(self, sock: socket.socket) -> None:
        """Give everything away and act no more, or go on as before."""
        loop = asyncio.get_running_loop()
        if not is_same_user(sock):
            return
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            asked = json.loads(await loop.sock_recv(sock, CHUNK_BYTES) or b"{}")
        if "layout" not in asked:
            return
        same = asked["layout"] == self._layout
        LOG.info("handover: asked for by a process of %s layout", "the same" if same else "another")
        await self._quiesce(same)
        start_s = loop.time()
        try:
            # From here to the end nothing else runs in this process.
            estate = self._export_payload(same)
            send_payload(sock, estate)
        except Exception as error:
            LOG.error("handover: not taken in %.0f ms, serving on: %r", 1e3 * (loop.time() - start_s), error)
            await self._resume_serving()
            return
        LOG.info("handover: %d sockets given in %.0f ms", len(estate.fds), 1e3 * (loop.time() - start_s))
        close_all_and_exit(sock, self._lock)


def close_fds_except(kept: list[int]) -> None:
    """Close every descriptor but the standard streams and these."""
    first = FIRST_NON_STANDARD_FD
    for descriptor in sorted(kept):
        os.closerange(first, descriptor)
        first = descriptor + 1
    os.closerange(first, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def close_all_and_exit(sock: socket.socket, lock: RelayLock) -> None:
    """Let go of every descriptor, then of the lock; end once the other process says so, or SIGTERM.

    With the lock the other process acts: a call that it ends must not be kept open by a copy here.
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
