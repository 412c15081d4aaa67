"""Listening sockets that can be held still, so that another process may accept in one's place."""

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
MAX_ACCEPTS_PER_ITERATION = (
    64  # connections accepted in one turn of the loop at most: what is there already is served between
)
ACCEPT_PAUSE_S = 0.1  # s without accepting once no descriptor is left
BIND_RETRY_S = 0.05  # s between looks whether an address is free


def listen_at(address: Address) -> socket.socket:
    """A socket that listens at an address."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    return socket.create_server(address, family=family, backlog=BACKLOG)


async def listen_when_free(address: Address, within_s: float) -> socket.socket:
    """The same, once whoever listens there has let go; ``OSError`` where that takes too long."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + within_s
    while True:
        try:
            return listen_at(address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or loop.time() > until_s:
                raise
        await asyncio.sleep(BIND_RETRY_S)


def duplicate_socket(fd: int) -> socket.socket:
    """A copy of a descriptor that is the platform's and stays open for whoever comes next."""
    return socket.socket(fileno=os.dup(fd))


class Listener:
    """Accepts at one socket until it is held still or closed.

    asyncio's own server will not do: with no descriptor left it asks again as many times in a turn as its
    backlog holds, with a traceback in the log for each, and whoever waits learns nothing.
    """

    def __init__(
        self,
        sock: socket.socket,
        factory: Callable[[], asyncio.Protocol],
        full: Callable[[], None] = lambda: None,
        a_turn: int = MAX_ACCEPTS_PER_ITERATION,
    ) -> None:
        self.sock, self._protocol_factory, self._free_descriptor, self._accepts_per_iteration = (
            sock,
            factory,
            full,
            min(MAX_ACCEPTS_PER_ITERATION, a_turn),
        )
        self._loop = asyncio.get_running_loop()
        self._connecting_tasks: set[asyncio.Task[object]] = set()  # connections that are coming up
        self._timer: asyncio.TimerHandle | None = None
        self._reserve_fd = -1  # a descriptor kept back for closing whom there is no other for; -1: none

    async def start(self) -> None:
        """Accept, also again after ``pause``."""
        self.sock.setblocking(False)
        self.sock.listen(BACKLOG)
        self._open_reserve_fd()
        self._start_accepting()

    def pause(self) -> None:
        """Accept nobody; what is accepted already comes up with the loop's next turns."""
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
            LOG.info("listen: a connection did not come up: %r", error)
            sock.close()

    def _handle_no_descriptor(self, error: OSError) -> None:
        """No descriptor is left: tell whoever waits by closing, and rest instead of asking again at once."""
        self.pause()
        if self._reserve_fd >= 0:
            os.close(self._reserve_fd)
            self._reserve_fd = -1
            away = self._close_pending_connections()
            self._open_reserve_fd()
            LOG.warning("listen: %d connections closed unread: %s", away, error.strerror)
        self._free_descriptor()
        self._timer = self._loop.call_later(ACCEPT_PAUSE_S, self._start_accepting)

    def _close_pending_connections(self) -> int:
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
