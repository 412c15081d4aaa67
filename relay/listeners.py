"""Listening sockets that can be paused, so that another process can accept connections instead."""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import socket
from collections.abc import Callable

from relay.http import RESOURCE_SHORTAGE_ERRNOS, Address

LOG = logging.getLogger(__name__)
BACKLOG = 1024
# Connections accepted in one event loop iteration, so that existing connections are served in between.
MAX_ACCEPTS_PER_ITERATION = 64
ACCEPT_PAUSE_S = 0.1  # seconds without accepting after the process has run out of descriptors
BIND_RETRY_S = 0.05  # seconds between attempts to listen at an address that is in use


def listen_at(address: Address) -> socket.socket:
    """Return a socket that listens at an address; raise ``OSError`` if that is not possible."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    return socket.create_server(address, family=family, backlog=BACKLOG)


async def listen_when_free(address: Address, timeout_s: float) -> socket.socket:
    """Return a socket that listens at an address, as soon as no other socket does.

    Raises ``OSError`` if the address is still in use after ``timeout_s`` seconds, and for any other error.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while True:
        try:
            return listen_at(address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or loop.time() > deadline_s:
                raise
        await asyncio.sleep(BIND_RETRY_S)


def duplicate_socket(fd: int) -> socket.socket:
    """Return a socket on a copy of a descriptor: the platform owns the original and passes it on later."""
    return socket.socket(fileno=os.dup(fd))


class Listener:
    """Accepts connections on one socket until it is paused or closed.

    asyncio's own server is not used. When the process has no free descriptor, it calls accept as many times
    per iteration as its backlog is long, logs a traceback for each call, and the waiting peers learn nothing.
    """

    def __init__(
        self,
        sock: socket.socket,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        free_descriptor: Callable[[], None] = lambda: None,
        accepts_per_iteration: int = MAX_ACCEPTS_PER_ITERATION,
    ) -> None:
        self.sock = sock
        self._protocol_factory = protocol_factory
        self._free_descriptor = free_descriptor  # called when no descriptor is left for a new connection
        self._accepts_per_iteration = min(MAX_ACCEPTS_PER_ITERATION, accepts_per_iteration)
        self._loop = asyncio.get_running_loop()
        self._connecting_tasks: set[asyncio.Task[object]] = set()  # set up accepted connections
        self._timer: asyncio.TimerHandle | None = None
        # A descriptor kept in reserve: without a free one, it is released to accept pending connections and
        # close them. -1: there is none.
        self._reserve_fd = -1

    async def start(self) -> None:
        """Start to accept connections, also after ``pause``."""
        self.sock.setblocking(False)
        self.sock.listen(BACKLOG)
        self._open_reserve_fd()
        self._start_accepting()

    def pause(self) -> None:
        """Stop accepting; connections that are already accepted are set up in the next iterations."""
        if self._timer is not None:
            self._timer.cancel()
        if self.sock.fileno() >= 0:
            self._loop.remove_reader(self.sock.fileno())

    def close(self) -> None:
        """Stop listening."""
        self.pause()
        self.sock.close()
        if self._reserve_fd >= 0:
            os.close(self._reserve_fd)
            self._reserve_fd = -1

    def _start_accepting(self) -> None:
        self._loop.add_reader(self.sock.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(self._accepts_per_iteration):
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in RESOURCE_SHORTAGE_ERRNOS:
                    raise
                self._handle_no_descriptor(error)
                return
            sock.setblocking(False)
            task = self._loop.create_task(self._set_up_connection(sock))
            self._connecting_tasks.add(task)
            task.add_done_callback(self._connecting_tasks.discard)

    async def _set_up_connection(self, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._protocol_factory, sock)
        except OSError as error:
            LOG.info("listen: an accepted connection could not be set up: %r", error)
            sock.close()

    def _handle_no_descriptor(self, error: OSError) -> None:
        """Close the pending connections, so that their peers learn of it, and pause accepting for a while."""
        self.pause()
        if self._reserve_fd >= 0:
            os.close(self._reserve_fd)
            self._reserve_fd = -1
            closed = self._close_pending_connections()
            self._open_reserve_fd()
            LOG.warning("listen: %d connections closed unread: %s", closed, error.strerror)
        self._free_descriptor()
        self._timer = self._loop.call_later(ACCEPT_PAUSE_S, self._start_accepting)

    def _close_pending_connections(self) -> int:
        """Accept and close the connections in the backlog; return their number."""
        for number in range(BACKLOG):
            try:
                self.sock.accept()[0].close()
            except OSError:
                return number
        return BACKLOG

    def _open_reserve_fd(self) -> None:
        if self._reserve_fd < 0:
            try:
                self._reserve_fd = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
            except OSError:
                self._reserve_fd = -1
