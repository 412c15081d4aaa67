"""A link between a relay and one endpoint that can be cut.

While it is cut, what either side sends is held back and comes once the cut is over, open connections stay open and
silent, and new ones do not come up.
"""

from __future__ import annotations

import asyncio
import socket
import struct

MAX_READ = 1 << 16


class Link:
    """Listens on an address of its own and passes connections on to an endpoint."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self.is_cut = False
        self._open = asyncio.Event()
        self._open.set()
        self.port = 0
        self.connections = 0

    async def start(self) -> None:
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(128)
        self.port = self._sock.getsockname()[1]
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop.add_reader(self._sock.fileno(), self._accept)

    def _accept(self) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        sock.setblocking(False)
        task = self._loop.create_task(self._pass_on(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cut(self) -> None:
        """Cut the link: a full queue of connections makes the system ignore new ones."""
        self.is_cut = True
        self._open.clear()
        self._loop.remove_reader(self._sock.fileno())
        self._sock.listen(0)
        self._fillers = []
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            try:
                filler.connect(("127.0.0.1", self.port))
            except BlockingIOError:
                pass
            self._fillers.append(filler)

    def heal(self) -> None:
        for filler in self._fillers:
            filler.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            filler.close()
        self._sock.listen(128)
        self._loop.add_reader(self._sock.fileno(), self._accept)
        self.is_cut = False
        self._open.set()

    async def _pass_on(self, relay: socket.socket) -> None:
        endpoint = socket.socket()
        endpoint.setblocking(False)
        self.connections += 1
        try:
            await self._open.wait()
            await self._loop.sock_connect(endpoint, self._target)
            copies = [asyncio.create_task(self._copy(relay, endpoint)), asyncio.create_task(self._copy(endpoint, relay))]
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            for copy in copies:
                copy.cancel()
        except OSError:
            pass
        finally:
            self.connections -= 1
            for sock in (relay, endpoint):  # a reset, as the only ends here are resets and closes between calls
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()

    async def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        """Copy bytes until the source ends; what a reset overtakes while the link is cut is gone."""
        while True:
            # Bytes stay with the source while the link is cut: a reset by the source discards them, as its system would.
            await self._open.wait()
            await self._readable(source)
            if not self._open.is_set():
                continue
            if source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):  # reset: its system has dropped what was held back
                return
            try:
                data = source.recv(MAX_READ)
            except BlockingIOError:
                continue
            except OSError:
                return
            if not data:
                return
            await self._loop.sock_sendall(sink, data)

    async def _readable(self, sock: socket.socket) -> None:
        ready = self._loop.create_future()
        descriptor = sock.fileno()
        self._loop.add_reader(descriptor, lambda: ready.done() or ready.set_result(None))
        try:
            await ready
        finally:
            self._loop.remove_reader(descriptor)
