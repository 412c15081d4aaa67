"""Listening sockets that behave like those of a broken machine."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

FILLERS = 4  # connections, enough to fill a backlog of 0


@dataclass(frozen=True, slots=True)
class FullBacklog:
    """A listening socket whose backlog is full: the kernel drops each further SYN."""

    sock: socket.socket
    fillers: list[socket.socket]

    @property
    def port(self) -> int:
        """The port on 127.0.0.1."""
        return int(self.sock.getsockname()[1])

    def make_room(self) -> None:
        """Let further connections be accepted."""
        for filler in self.fillers:
            filler.close()


@contextmanager
def full_backlog() -> Iterator[FullBacklog]:
    """Listen with a full backlog: connecting hangs, as to a machine that is cut off."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen(0)
        sock.setblocking(False)
        full = FullBacklog(sock, [socket.socket() for _ in range(FILLERS)])
        for filler in full.fillers:
            filler.setblocking(False)
            filler.connect_ex(sock.getsockname())
        try:
            yield full
        finally:
            full.make_room()
