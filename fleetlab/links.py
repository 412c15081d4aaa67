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

MAX_QUEUED_BYTES = 256 * 1024  # bytes that a direction of one connection holds back before it stops reading
MAX_DELAYED_DATAGRAMS = 4096  # that a direction of a UDP link holds back; more are lost
LISTEN_BACKLOG = 1024
Address = tuple[str, int]
Direction = Literal["forward", "back", "both"]


@dataclass(frozen=True, slots=True)
class Impairment:
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
        self._impairments: dict[int, Impairment] = {}
        self.impairment = Impairment()
        self.change_listeners: list[Callable[[], None]] = []

    def apply(self, number: int, condition: Impairment) -> None:
        """A fault begins."""
        self._impairments[number] = condition
        self._combine_impairments()

    def remove(self, number: int) -> None:
        """A fault ends."""
        if self._impairments.pop(number, None) is not None:
            self._combine_impairments()

    def _combine_impairments(self) -> None:
        some = list(self._impairments.values())
        rates = [item.bytes_per_s for item in some if item.bytes_per_s]
        self.impairment = Impairment(
            cut=any(item.cut for item in some),
            delay_s=sum(item.delay_s for item in some),
            jitter_s=sum(item.jitter_s for item in some),
            bytes_per_s=min(rates, default=0.0),
            lost=max((item.lost for item in some), default=0.0),
            doubled=max((item.doubled for item in some), default=0.0),
            reordered=max((item.reordered for item in some), default=0.0),
        )
        for told in list(self.change_listeners):
            told()

    def draw_delay_s(self) -> float:
        """How late the next bytes come."""
        if not self.impairment.jitter_s:
            return self.impairment.delay_s
        return self.impairment.delay_s + float(self._rng.exponential(self.impairment.jitter_s))

    def draw_event(self, share: float) -> bool:
        """A seeded draw."""
        return share > 0 and bool(self._rng.random() < share)


class StreamEnd(Enum):
    """What can follow the bytes of one direction."""

    CLEAN = "clean"
    RESET = "reset"


class Pipe(asyncio.Protocol):
    """One side of a connection: what comes in here goes out at ``other``, as late as its flow says."""

    def __init__(self, flow: Flow, ended: Callable[[Pipe], None]) -> None:
        self._flow, self._ended = flow, ended
        self.transport: asyncio.Transport | None = None
        self.opposite: Pipe | None = None
        self.connection: Connection | None = None
        self._queue: deque[tuple[float, bytes | StreamEnd]] = deque()  # due time, and bytes or what ends them
        self._queued_bytes = 0
        self._last_due_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._opposite_blocked = False  # the other side's writes pile up
        self._received_eof = self._sent_eof = self.is_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._flow.change_listeners.append(self.deliver_due)

    def data_received(self, data: bytes) -> None:
        self._enqueue(data)

    def eof_received(self) -> bool:
        self._received_eof = True
        self._ended(self)
        self._enqueue(StreamEnd.CLEAN)
        self._close_if_both_ended()
        return True  # the other direction goes on

    def connection_lost(self, exc: Exception | None) -> None:
        clean = exc is None and self._received_eof and self._sent_eof
        self.is_lost = True
        self._ended(self)
        if clean:
            self.deliver_due()
            return
        if self._flow.impairment.cut:  # its system drops what the other side has not confirmed
            self._queue.clear()
            self._queued_bytes = 0
        self._enqueue(StreamEnd.RESET)

    def pause_writing(self) -> None:
        if self.opposite is not None:
            self.opposite.set_opposite_blocked(True)

    def resume_writing(self) -> None:
        if self.opposite is not None:
            self.opposite.set_opposite_blocked(False)

    def set_opposite_blocked(self, blocked: bool) -> None:
        """The other side takes no more, or takes more again."""
        self._opposite_blocked = blocked
        self._update_reading()

    def _update_reading(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self._opposite_blocked or self._queued_bytes > MAX_QUEUED_BYTES:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def write_item(self, item: bytes | StreamEnd) -> None:
        """Write what the other side sent, or end as it did."""
        if self.transport is None or self.transport.is_closing():
            return
        if isinstance(item, bytes):
            self.transport.write(item)
        elif item is StreamEnd.RESET:
            reset_connection(self.transport)
        else:
            self._sent_eof = True
            try:
                self.transport.write_eof()
            except OSError:  # its peer has reset it, and the loop has not seen that yet
                reset_connection(self.transport)
                return
            self._close_if_both_ended()

    def _close_if_both_ended(self) -> None:
        """Both directions have ended: nothing holds the connection open."""
        if self._received_eof and self._sent_eof and self.transport is not None:
            self.transport.close()

    def _enqueue(self, item: bytes | StreamEnd) -> None:
        now_s, condition = asyncio.get_running_loop().time(), self._flow.impairment
        due_s = max(self._last_due_s, now_s + self._flow.draw_delay_s())
        if isinstance(item, bytes):
            if condition.bytes_per_s:
                due_s = max(self._last_due_s, now_s) + len(item) / condition.bytes_per_s
            self._queued_bytes += len(item)
        self._last_due_s = due_s
        self._queue.append((due_s, item))
        self.deliver_due()

    def deliver_due(self) -> None:
        """Pass on what is due, unless this direction is cut."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.opposite is not None and not self._flow.impairment.cut:
            loop = asyncio.get_running_loop()
            while self._queue:
                due_s, item = self._queue[0]
                if due_s > loop.time():
                    self._timer = loop.call_at(due_s, self.deliver_due)
                    break
                self._queue.popleft()
                self._queued_bytes -= len(item) if isinstance(item, bytes) else 0
                self.opposite.write_item(item)
            self._update_reading()
        if self.is_lost and not self._queue and self.deliver_due in self._flow.change_listeners:
            self._flow.change_listeners.remove(self.deliver_due)


@dataclass(slots=True, eq=False)
class Connection:
    """A connection through a link; ``name`` is how the called side knows it."""

    caller_side: Pipe  # towards the caller
    called_side: Pipe | None = None
    name: str = ""
    is_ended: bool = False


ConnectionCallback = Callable[[str], None]  # told the name of a connection


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
        gone: ConnectionCallback | None = None,
        came: ConnectionCallback | None = None,
    ) -> None:
        """``near`` is the address that the caller calls, ``source`` the one that the called side sees."""
        self.caller, self.called = caller, called
        self._target_address, self._source_host, self._on_closed, self._on_opened = target, source, gone, came
        self.forward = Flow(np.random.default_rng([seed, 0]))
        self.back = Flow(np.random.default_rng([seed, 1]))
        self._listen_host, self.port = near, 0
        self._listener: socket.socket | None = None
        self._backlog_fillers: list[socket.socket] = []
        self._connections: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        for flow in (self.forward, self.back):
            flow.change_listeners.append(self._update_backlog)

    @property
    def address(self) -> Address:
        """Where the caller calls."""
        return self._listen_host, self.port

    @property
    def is_cut(self) -> bool:
        """Whether no new connection can come up: it takes both directions."""
        return self.forward.impairment.cut or self.back.impairment.cut

    def open(self) -> None:
        """Listen, on the same port as before where there was one; the called side is there."""
        if self._listener is not None:
            return
        self._listener = socket.create_server((self._listen_host, self.port), backlog=LISTEN_BACKLOG)
        self._listener.setblocking(False)
        self.port = int(self._listener.getsockname()[1])
        asyncio.get_running_loop().add_reader(self._listener, self._accept)
        self._update_backlog()

    def close(self) -> None:
        """Refuse new connections: nobody is there."""
        self._close_fillers()
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def stop(self) -> None:
        """End everything."""
        self.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self) -> None:
        """Reset every open connection, on both sides."""
        for connection in list(self._connections):
            for pipe in (connection.caller_side, connection.called_side):
                if pipe is not None and pipe.transport is not None:
                    reset_connection(pipe.transport)

    def apply(self, number: int, condition: Impairment, direction: Direction) -> None:
        """A fault begins."""
        for flow in self._flows(direction):
            flow.apply(number, condition)

    def remove(self, number: int) -> None:
        """A fault ends."""
        self.forward.remove(number)
        self.back.remove(number)

    def _flows(self, direction: Direction) -> list[Flow]:
        return {"forward": [self.forward], "back": [self.back], "both": [self.forward, self.back]}[direction]

    def _update_backlog(self) -> None:
        """While it is cut the backlog stays full, so that the kernel drops each SYN."""
        if self._listener is None:
            return
        loop = asyncio.get_running_loop()
        if self.is_cut and not self._backlog_fillers:
            loop.remove_reader(self._listener)
            self._listener.listen(0)
            for _ in range(2):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(self.address)
                self._backlog_fillers.append(sock)
        elif not self.is_cut and self._backlog_fillers:
            self._close_fillers()
            self._listener.listen(LISTEN_BACKLOG)
            loop.add_reader(self._listener, self._accept)

    def _close_fillers(self) -> None:
        for sock in self._backlog_fillers:
            sock.close()
        self._backlog_fillers.clear()

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            sock, _ = self._listener.accept()
        except (BlockingIOError, ConnectionError):
            return
        task = asyncio.get_running_loop().create_task(self._connect_sides(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect_sides(self, sock: socket.socket) -> None:
        """Connect to the called side; where nobody is there the caller sees a reset."""
        loop = asyncio.get_running_loop()
        sock.setblocking(False)
        near = Pipe(self.forward, self._side_ended)
        connection = near.connection = Connection(near)
        await loop.connect_accepted_socket(lambda: near, sock)
        far = Pipe(self.back, self._side_ended)
        try:
            await loop.create_connection(
                lambda: far, *self._target_address(), local_addr=(self._source_host, 0)
            )
        except OSError:
            if near.transport is not None:
                reset_connection(near.transport)
            return
        assert far.transport is not None
        connection.called_side = far
        far.connection = connection
        connection.name = f"{self.caller}:{far.transport.get_extra_info('sockname')[1]}"
        if self._on_opened is not None:
            self._on_opened(connection.name)
        if connection.is_ended and self._on_closed is not None:  # its caller ended before it had a name
            self._on_closed(connection.name)
        near.opposite, far.opposite = far, near
        self._connections.add(connection)
        near.deliver_due()  # what came before the called side was there

    def _side_ended(self, pipe: Pipe) -> None:
        """The caller has ended its sending, or one side is gone; told once for the caller's side."""
        connection = pipe.connection
        if connection is None:
            return
        if pipe is connection.caller_side and not connection.is_ended:
            connection.is_ended = True
            if self._on_closed is not None and connection.name:
                self._on_closed(connection.name)
        if pipe.is_lost:
            self._connections.discard(connection)


class UdpLink:
    """Datagrams from one caller to one address, and its answers back."""

    def __init__(
        self, caller: str, called: str, target: Callable[[], Address], *, near: str, source: str, seed: int
    ) -> None:
        self.caller, self.called = caller, called
        self._target_address, self._listen_host, self._source_host = target, near, source
        self.forward = Flow(np.random.default_rng([seed, 0]))
        self.back = Flow(np.random.default_rng([seed, 1]))
        self.port = 0
        self._caller_transport: asyncio.DatagramTransport | None = None
        self._called_transport: asyncio.DatagramTransport | None = None
        self._caller_address: Address | None = None
        self._delayed_count = 0
        self.counts = {"passed": 0, "lost": 0, "doubled": 0, "reordered": 0}

    @property
    def address(self) -> Address:
        """Where the caller sends."""
        return self._listen_host, self.port

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._caller_transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self._from_caller), local_addr=(self._listen_host, self.port)
        )
        self._called_transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self._from_called), local_addr=(self._source_host, 0)
        )
        self.port = int(self._caller_transport.get_extra_info("sockname")[1])

    def stop(self) -> None:
        """End it."""
        for transport in (self._caller_transport, self._called_transport):
            if transport is not None:
                transport.close()

    def apply(self, number: int, condition: Impairment, direction: Direction) -> None:
        """A fault begins."""
        for name, flow in (("forward", self.forward), ("back", self.back)):
            if direction in (name, "both"):
                flow.apply(number, condition)

    def remove(self, number: int) -> None:
        """A fault ends."""
        self.forward.remove(number)
        self.back.remove(number)

    def _from_caller(self, data: bytes, peer: Address) -> None:
        self._caller_address = peer
        self._transmit(
            self.forward, data, lambda item: self._send(self._called_transport, item, self._target_address())
        )

    def _from_called(self, data: bytes, _peer: Address) -> None:
        if self._caller_address is not None:
            peer = self._caller_address
            self._transmit(self.back, data, lambda item: self._send(self._caller_transport, item, peer))

    @staticmethod
    def _send(transport: asyncio.DatagramTransport | None, data: bytes, to: Address) -> None:
        if transport is not None and not transport.is_closing():
            transport.sendto(data, to)

    def _transmit(self, flow: Flow, data: bytes, send: Callable[[bytes], None]) -> None:
        """One datagram on its way: lost, doubled, held back, late, or as it came."""
        if (
            flow.impairment.cut
            or flow.draw_event(flow.impairment.lost)
            or self._delayed_count >= MAX_DELAYED_DATAGRAMS
        ):
            self.counts["lost"] += 1
            return
        copies = 1
        if flow.draw_event(flow.impairment.doubled):
            self.counts["doubled"] += 1
            copies = 2
        for _ in range(copies):
            delay_s = flow.draw_delay_s()
            if flow.draw_event(flow.impairment.reordered):
                self.counts["reordered"] += 1
                delay_s += 0.02 + delay_s
            self.counts["passed"] += 1
            if delay_s <= 0:
                send(data)
                continue
            self._delayed_count += 1
            asyncio.get_running_loop().call_later(delay_s, self._send_late, send, data)

    def _send_late(self, send: Callable[[bytes], None], data: bytes) -> None:
        self._delayed_count -= 1
        send(data)


class _DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, came: Callable[[bytes, Address], None]) -> None:
        self._on_datagram = came

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._on_datagram(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Nobody listens at the other end: a datagram is lost, as any may be."""
