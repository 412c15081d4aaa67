"""Links: every connection and datagram between two processes of a fleet passes through one of these.

A link stands for the network between a caller and one address that it calls. Its two directions are cut,
delayed and throttled on their own; a cut link takes no connection (its caller's SYN finds no room, as when a
machine has vanished) and what is under way stays silent until it heals. All of it is in userspace.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Literal

import numpy as np

from standins.http import reset_connection

MOST_QUEUED = 256 * 1024  # bytes that a direction of one connection holds back before it stops reading
MOST_DATAGRAMS = 4096  # that a direction of a UDP link holds back; more are lost
BACKLOG = 1024
Address = tuple[str, int]
Direction = Literal["forward", "back", "both"]


@dataclass(frozen=True, slots=True)
class Condition:
    """What a fault does to one direction; several add up."""

    cut: bool = False
    delay_s: float = 0.0
    jitter_s: float = 0.0  # mean of an exponential addition
    bytes_per_s: float = 0.0  # 0: unbounded
    lost: float = 0.0  # share of datagrams
    doubled: float = 0.0
    reordered: float = 0.0  # share that is held back behind later ones


class Flow:
    """One direction of a link."""

    def __init__(self, rng: np.random.Generator) -> None:
        self._rng = rng
        self._conditions: dict[int, Condition] = {}
        self.now = Condition()
        self.changed: list[Callable[[], None]] = []

    def apply(self, number: int, condition: Condition) -> None:
        """A fault begins."""
        self._conditions[number] = condition
        self._combine()

    def lift(self, number: int) -> None:
        """A fault ends."""
        if self._conditions.pop(number, None) is not None:
            self._combine()

    def _combine(self) -> None:
        some = list(self._conditions.values())
        rates = [item.bytes_per_s for item in some if item.bytes_per_s]
        self.now = Condition(
            cut=any(item.cut for item in some),
            delay_s=sum(item.delay_s for item in some),
            jitter_s=sum(item.jitter_s for item in some),
            bytes_per_s=min(rates, default=0.0),
            lost=max((item.lost for item in some), default=0.0),
            doubled=max((item.doubled for item in some), default=0.0),
            reordered=max((item.reordered for item in some), default=0.0),
        )
        for told in list(self.changed):
            told()

    def delay_s(self) -> float:
        """How late the next bytes come."""
        if not self.now.jitter_s:
            return self.now.delay_s
        return self.now.delay_s + float(self._rng.exponential(self.now.jitter_s))

    def chance(self, share: float) -> bool:
        """A seeded draw."""
        return share > 0 and bool(self._rng.random() < share)


class End(Enum):
    """What can follow the bytes of one direction."""

    CLEAN = "clean"
    RESET = "reset"


class Pipe(asyncio.Protocol):
    """One side of a connection: what comes in here goes out at ``other``, as late as its flow says."""

    def __init__(self, flow: Flow, ended: Callable[[Pipe], None]) -> None:
        self._flow, self._ended = flow, ended
        self.transport: asyncio.Transport | None = None
        self.other: Pipe | None = None
        self.owner: Connection | None = None
        self._queue: deque[tuple[float, bytes | End]] = deque()  # due time, and bytes or what ends them
        self._queued = 0
        self._last_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._blocked = False  # the other side's writes pile up
        self._heard_end = self._told_end = self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._flow.changed.append(self.pump)

    def data_received(self, data: bytes) -> None:
        self._put(data)

    def eof_received(self) -> bool:
        self._heard_end = True
        self._ended(self)
        self._put(End.CLEAN)
        self._close_whole()
        return True  # the other direction goes on

    def connection_lost(self, exc: Exception | None) -> None:
        clean = exc is None and self._heard_end and self._told_end
        self.lost = True
        self._ended(self)
        if clean:
            self.pump()
            return
        if self._flow.now.cut:  # its system drops what the other side has not confirmed
            self._queue.clear()
            self._queued = 0
        self._put(End.RESET)

    def pause_writing(self) -> None:
        if self.other is not None:
            self.other.block(True)

    def resume_writing(self) -> None:
        if self.other is not None:
            self.other.block(False)

    def block(self, blocked: bool) -> None:
        """The other side takes no more, or takes more again."""
        self._blocked = blocked
        self._throttle()

    def _throttle(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self._blocked or self._queued > MOST_QUEUED:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def tell(self, item: bytes | End) -> None:
        """Write what the other side sent, or end as it did."""
        if self.transport is None or self.transport.is_closing():
            return
        if isinstance(item, bytes):
            self.transport.write(item)
        elif item is End.RESET:
            reset_connection(self.transport)
        else:
            self._told_end = True
            try:
                self.transport.write_eof()
            except OSError:  # its peer has reset it, and the loop has not seen that yet
                reset_connection(self.transport)
                return
            self._close_whole()

    def _close_whole(self) -> None:
        """Both directions have ended: nothing holds the connection open."""
        if self._heard_end and self._told_end and self.transport is not None:
            self.transport.close()

    def _put(self, item: bytes | End) -> None:
        now_s, condition = asyncio.get_running_loop().time(), self._flow.now
        due_s = max(self._last_s, now_s + self._flow.delay_s())
        if isinstance(item, bytes):
            if condition.bytes_per_s:
                due_s = max(self._last_s, now_s) + len(item) / condition.bytes_per_s
            self._queued += len(item)
        self._last_s = due_s
        self._queue.append((due_s, item))
        self.pump()

    def pump(self) -> None:
        """Pass on what is due, unless this direction is cut."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.other is not None and not self._flow.now.cut:
            loop = asyncio.get_running_loop()
            while self._queue:
                due_s, item = self._queue[0]
                if due_s > loop.time():
                    self._timer = loop.call_at(due_s, self.pump)
                    break
                self._queue.popleft()
                self._queued -= len(item) if isinstance(item, bytes) else 0
                self.other.tell(item)
            self._throttle()
        if self.lost and not self._queue and self.pump in self._flow.changed:
            self._flow.changed.remove(self.pump)


@dataclass(slots=True, eq=False)
class Connection:
    """A connection through a link; ``name`` is how the called side knows it."""

    near: Pipe  # towards the caller
    far: Pipe | None = None
    name: str = ""
    over: bool = False


Gone = Callable[[str], None]  # told the name of a connection


class TcpLink:
    """The way from one caller to one address."""

    def __init__(
        self,
        caller: str,
        called: str,
        target: Callable[[], Address],
        *,
        near: str,
        source: str,
        seed: int,
        gone: Gone | None = None,
        came: Gone | None = None,
    ) -> None:
        """``near`` is the address that the caller calls, ``source`` the one that the called side sees."""
        self.caller, self.called = caller, called
        self._target, self._source, self._gone, self._came = target, source, gone, came
        self.forward = Flow(np.random.default_rng([seed, 0]))
        self.back = Flow(np.random.default_rng([seed, 1]))
        self._near, self.port = near, 0
        self._sock: socket.socket | None = None
        self._fill: list[socket.socket] = []
        self._connections: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        for flow in (self.forward, self.back):
            flow.changed.append(self._changed)

    @property
    def address(self) -> Address:
        """Where the caller calls."""
        return self._near, self.port

    @property
    def cut(self) -> bool:
        """Whether no new connection can come up: it takes both directions."""
        return self.forward.now.cut or self.back.now.cut

    def open(self) -> None:
        """Listen, on the same port as before where there was one; the called side is there."""
        if self._sock is not None:
            return
        self._sock = socket.create_server((self._near, self.port), backlog=BACKLOG)
        self._sock.setblocking(False)
        self.port = int(self._sock.getsockname()[1])
        asyncio.get_running_loop().add_reader(self._sock, self._accept)
        self._changed()

    def close(self) -> None:
        """Refuse new connections: nobody is there."""
        self._unfill()
        if self._sock is not None:
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()
            self._sock = None

    def stop(self) -> None:
        """End everything."""
        self.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self) -> None:
        """Reset every open connection, on both sides."""
        for connection in list(self._connections):
            for pipe in (connection.near, connection.far):
                if pipe is not None and pipe.transport is not None:
                    reset_connection(pipe.transport)

    def apply(self, number: int, condition: Condition, direction: Direction) -> None:
        """A fault begins."""
        for flow in self._flows(direction):
            flow.apply(number, condition)

    def lift(self, number: int) -> None:
        """A fault ends."""
        self.forward.lift(number)
        self.back.lift(number)

    def _flows(self, direction: Direction) -> list[Flow]:
        return {"forward": [self.forward], "back": [self.back], "both": [self.forward, self.back]}[direction]

    def _changed(self) -> None:
        """While it is cut the backlog stays full, so that the kernel drops each SYN."""
        if self._sock is None:
            return
        loop = asyncio.get_running_loop()
        if self.cut and not self._fill:
            loop.remove_reader(self._sock)
            self._sock.listen(0)
            for _ in range(2):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(self.address)
                self._fill.append(sock)
        elif not self.cut and self._fill:
            self._unfill()
            self._sock.listen(BACKLOG)
            loop.add_reader(self._sock, self._accept)

    def _unfill(self) -> None:
        for sock in self._fill:
            sock.close()
        self._fill.clear()

    def _accept(self) -> None:
        assert self._sock is not None
        try:
            sock, _ = self._sock.accept()
        except (BlockingIOError, ConnectionError):
            return
        task = asyncio.get_running_loop().create_task(self._join(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _join(self, sock: socket.socket) -> None:
        """Connect to the called side; where nobody is there the caller sees a reset."""
        loop = asyncio.get_running_loop()
        sock.setblocking(False)
        near = Pipe(self.forward, self._ended)
        connection = near.owner = Connection(near)
        await loop.connect_accepted_socket(lambda: near, sock)
        far = Pipe(self.back, self._ended)
        try:
            await loop.create_connection(lambda: far, *self._target(), local_addr=(self._source, 0))
        except OSError:
            if near.transport is not None:
                reset_connection(near.transport)
            return
        assert far.transport is not None
        connection.far = far
        far.owner = connection
        connection.name = f"{self.caller}:{far.transport.get_extra_info('sockname')[1]}"
        if self._came is not None:
            self._came(connection.name)
        if connection.over and self._gone is not None:  # its caller ended before it had a name
            self._gone(connection.name)
        near.other, far.other = far, near
        self._connections.add(connection)
        near.pump()  # what came before the called side was there

    def _ended(self, pipe: Pipe) -> None:
        """The caller has ended its sending, or one side is gone; told once for the caller's side."""
        connection = pipe.owner
        if connection is None:
            return
        if pipe is connection.near and not connection.over:
            connection.over = True
            if self._gone is not None and connection.name:
                self._gone(connection.name)
        if pipe.lost:
            self._connections.discard(connection)


class UdpLink:
    """Datagrams from one caller to one address, and its answers back."""

    def __init__(
        self, caller: str, called: str, target: Callable[[], Address], *, near: str, source: str, seed: int
    ) -> None:
        self.caller, self.called = caller, called
        self._target, self._near, self._source = target, near, source
        self.forward = Flow(np.random.default_rng([seed, 0]))
        self.back = Flow(np.random.default_rng([seed, 1]))
        self.port = 0
        self._in: asyncio.DatagramTransport | None = None
        self._out: asyncio.DatagramTransport | None = None
        self._peer: Address | None = None
        self._waiting = 0
        self.counts = {"passed": 0, "lost": 0, "doubled": 0, "reordered": 0}

    @property
    def address(self) -> Address:
        """Where the caller sends."""
        return self._near, self.port

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._in, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._came), local_addr=(self._near, self.port)
        )
        self._out, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._answered), local_addr=(self._source, 0)
        )
        self.port = int(self._in.get_extra_info("sockname")[1])

    def stop(self) -> None:
        """End it."""
        for transport in (self._in, self._out):
            if transport is not None:
                transport.close()

    def apply(self, number: int, condition: Condition, direction: Direction) -> None:
        """A fault begins."""
        for name, flow in (("forward", self.forward), ("back", self.back)):
            if direction in (name, "both"):
                flow.apply(number, condition)

    def lift(self, number: int) -> None:
        """A fault ends."""
        self.forward.lift(number)
        self.back.lift(number)

    def _came(self, data: bytes, peer: Address) -> None:
        self._peer = peer
        self._pass(self.forward, data, lambda item: self._send(self._out, item, self._target()))

    def _answered(self, data: bytes, _peer: Address) -> None:
        if self._peer is not None:
            peer = self._peer
            self._pass(self.back, data, lambda item: self._send(self._in, item, peer))

    @staticmethod
    def _send(transport: asyncio.DatagramTransport | None, data: bytes, to: Address) -> None:
        if transport is not None and not transport.is_closing():
            transport.sendto(data, to)

    def _pass(self, flow: Flow, data: bytes, send: Callable[[bytes], None]) -> None:
        """One datagram on its way: lost, doubled, held back, late, or as it came."""
        if flow.now.cut or flow.chance(flow.now.lost) or self._waiting >= MOST_DATAGRAMS:
            self.counts["lost"] += 1
            return
        copies = 1
        if flow.chance(flow.now.doubled):
            self.counts["doubled"] += 1
            copies = 2
        for _ in range(copies):
            delay_s = flow.delay_s()
            if flow.chance(flow.now.reordered):
                self.counts["reordered"] += 1
                delay_s += 0.02 + delay_s
            self.counts["passed"] += 1
            if delay_s <= 0:
                send(data)
                continue
            self._waiting += 1
            asyncio.get_running_loop().call_later(delay_s, self._late, send, data)

    def _late(self, send: Callable[[bytes], None], data: bytes) -> None:
        self._waiting -= 1
        send(data)


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, came: Callable[[bytes, Address], None]) -> None:
        self._came = came

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._came(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Nobody listens at the other end: a datagram is lost, as any may be."""
