"""Links, which carry every connection and datagram between two processes of a fleet and can impair them.

A link is a userspace proxy between a caller and one address that it calls. Each of its two directions can be
cut, delayed and throttled. A cut link accepts no connection: the kernel drops the caller's SYN, as if the
called machine were gone. What is under way on a cut link is held back until the cut ends.
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

MAX_QUEUED_BYTES = 256 * 1024  # per direction of a connection; with more queued it stops reading
MAX_DELAYED_DATAGRAMS = 4096  # per UDP link; further ones are lost
LISTEN_BACKLOG = 1024
Address = tuple[str, int]
Direction = Literal["forward", "back", "both"]


@dataclass(frozen=True, slots=True)
class Impairment:
    """What a fault does to one direction of a link."""

    cut: bool = False
    delay_s: float = 0.0
    jitter_s: float = 0.0  # mean of an exponentially distributed extra delay
    bytes_per_s: float = 0.0  # 0: no limit
    lost: float = 0.0  # share of datagrams
    doubled: float = 0.0  # share of datagrams
    reordered: float = 0.0  # share of datagrams that are delayed behind later ones


class Flow:
    """One direction of a link, with the combined impairment of all faults on it.

    ``change_listeners`` are called after each change of the impairment.
    """

    def __init__(self, rng: np.random.Generator) -> None:
        self._rng = rng
        self._impairments: dict[int, Impairment] = {}
        self.impairment = Impairment()
        self.change_listeners: list[Callable[[], None]] = []

    def apply(self, number: int, impairment: Impairment) -> None:
        """Add the impairment of a fault; ``number`` identifies the fault."""
        self._impairments[number] = impairment
        self._combine_impairments()

    def remove(self, number: int) -> None:
        """Remove the impairment of a fault."""
        if self._impairments.pop(number, None) is not None:
            self._combine_impairments()

    def _combine_impairments(self) -> None:
        """Combine all impairments: delays add up, and otherwise the strongest counts."""
        impairments = list(self._impairments.values())
        rates = [item.bytes_per_s for item in impairments if item.bytes_per_s]
        self.impairment = Impairment(
            cut=any(item.cut for item in impairments),
            delay_s=sum(item.delay_s for item in impairments),
            jitter_s=sum(item.jitter_s for item in impairments),
            bytes_per_s=min(rates, default=0.0),
            lost=max((item.lost for item in impairments), default=0.0),
            doubled=max((item.doubled for item in impairments), default=0.0),
            reordered=max((item.reordered for item in impairments), default=0.0),
        )
        for listener in list(self.change_listeners):
            listener()

    def draw_delay_s(self) -> float:
        """Draw the delay of the next bytes in seconds."""
        if not self.impairment.jitter_s:
            return self.impairment.delay_s
        return self.impairment.delay_s + float(self._rng.exponential(self.impairment.jitter_s))

    def draw_event(self, share: float) -> bool:
        """Draw whether an event with the given probability occurs."""
        return share > 0 and bool(self._rng.random() < share)


class StreamEnd(Enum):
    """How one direction of a connection can end."""

    CLEAN = "clean"
    RESET = "reset"


class Pipe(asyncio.Protocol):
    """One side of a proxied connection.

    What arrives here is written at ``opposite``, the other side, as late as the flow says.
    """

    def __init__(self, flow: Flow, ended: Callable[[Pipe], None]) -> None:
        self._flow, self._ended = flow, ended
        self.transport: asyncio.Transport | None = None
        self.opposite: Pipe | None = None
        self.connection: Connection | None = None
        self._queue: deque[tuple[float, bytes | StreamEnd]] = deque()  # due time, and bytes or the end
        self._queued_bytes = 0
        self._last_due_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._opposite_blocked = False  # the write buffer of the other side is full
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
        return True  # keeps the transport open for the other direction

    def connection_lost(self, exc: Exception | None) -> None:
        is_clean = exc is None and self._received_eof and self._sent_eof
        self.is_lost = True
        self._ended(self)
        if is_clean:
            self.deliver_due()
            return
        if self._flow.impairment.cut:  # the kernel drops bytes that were not acknowledged
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
        """Note whether the write buffer of the other side is full."""
        self._opposite_blocked = blocked
        self._update_reading()

    def _update_reading(self) -> None:
        """Read no more while too much is queued, or the other side's write buffer is full."""
        if self.transport is None or self.transport.is_closing():
            return
        if self._opposite_blocked or self._queued_bytes > MAX_QUEUED_BYTES:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def write_item(self, item: bytes | StreamEnd) -> None:
        """Write bytes from the other side, or end this side as the other one ended."""
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
            except OSError:  # the peer has reset the connection, and the event loop does not know yet
                reset_connection(self.transport)
                return
            self._close_if_both_ended()

    def _close_if_both_ended(self) -> None:
        """Close the transport once both directions have ended."""
        if self._received_eof and self._sent_eof and self.transport is not None:
            self.transport.close()

    def _enqueue(self, item: bytes | StreamEnd) -> None:
        """Queue bytes or an end for the time at which the flow lets them through."""
        now_s, impairment = asyncio.get_running_loop().time(), self._flow.impairment
        due_s = max(self._last_due_s, now_s + self._flow.draw_delay_s())
        if isinstance(item, bytes):
            if impairment.bytes_per_s:
                due_s = max(self._last_due_s, now_s) + len(item) / impairment.bytes_per_s
            self._queued_bytes += len(item)
        self._last_due_s = due_s
        self._queue.append((due_s, item))
        self.deliver_due()

    def deliver_due(self) -> None:
        """Write what is due at the other side, unless this direction is cut."""
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
    """A connection through a link; ``name`` is the name under which the called side records it."""

    caller_side: Pipe
    called_side: Pipe | None = None
    name: str = ""
    is_ended: bool = False


ConnectionCallback = Callable[[str], None]  # gets the name of a connection


class TcpLink:
    """A proxy for TCP connections from one caller to one address."""

    def __init__(
        self,
        caller: str,
        called: str,
        target_address: Callable[[], Address],
        *,
        listen_host: str,
        source_host: str,
        seed: int,
        on_closed: ConnectionCallback | None = None,
        on_opened: ConnectionCallback | None = None,
    ) -> None:
        """Create a link, which does not listen yet.

        The caller connects to ``listen_host``; the called side, at ``target_address``, sees ``source_host``.
        ``on_opened`` is called once a connection to the called side is up, and ``on_closed`` once its caller
        has ended it. ``seed`` determines the delays.
        """
        self.caller, self.called = caller, called
        self._target_address = target_address
        self._source_host = source_host
        self._on_closed = on_closed
        self._on_opened = on_opened
        self.forward = Flow(np.random.default_rng([seed, 0]))
        self.back = Flow(np.random.default_rng([seed, 1]))
        self._listen_host, self.port = listen_host, 0
        self._listener: socket.socket | None = None
        self._backlog_fillers: list[socket.socket] = []
        self._connections: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        for flow in (self.forward, self.back):
            flow.change_listeners.append(self._update_backlog)

    @property
    def address(self) -> Address:
        """Where the caller connects."""
        return self._listen_host, self.port

    @property
    def is_cut(self) -> bool:
        """Whether no new connection can be made, because at least one direction is cut."""
        return self.forward.impairment.cut or self.back.impairment.cut

    def open(self) -> None:
        """Listen, on the same port as before if there was one."""
        if self._listener is not None:
            return
        self._listener = socket.create_server((self._listen_host, self.port), backlog=LISTEN_BACKLOG)
        self._listener.setblocking(False)
        self.port = int(self._listener.getsockname()[1])
        asyncio.get_running_loop().add_reader(self._listener, self._accept)
        self._update_backlog()

    def close(self) -> None:
        """Stop listening, so that new connections are refused."""
        self._close_fillers()
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def stop(self) -> None:
        """Stop listening and reset all connections."""
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

    def apply(self, number: int, impairment: Impairment, direction: Direction) -> None:
        """Begin a fault on one or both directions; ``number`` identifies it."""
        for flow in self._flows(direction):
            flow.apply(number, impairment)

    def remove(self, number: int) -> None:
        """End a fault."""
        self.forward.remove(number)
        self.back.remove(number)

    def _flows(self, direction: Direction) -> list[Flow]:
        return {"forward": [self.forward], "back": [self.back], "both": [self.forward, self.back]}[direction]

    def _update_backlog(self) -> None:
        """While the link is cut keep its listen backlog full, so that the kernel drops each SYN."""
        if self._listener is None:
            return
        loop = asyncio.get_running_loop()
        if self.is_cut and not self._backlog_fillers:
            loop.remove_reader(self._listener)
            self._listener.listen(0)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.address)
                self._backlog_fillers.append(filler)
        elif not self.is_cut and self._backlog_fillers:
            self._close_fillers()
            self._listener.listen(LISTEN_BACKLOG)
            loop.add_reader(self._listener, self._accept)

    def _close_fillers(self) -> None:
        for filler in self._backlog_fillers:
            filler.close()
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

    async def _connect_sides(self, caller_socket: socket.socket) -> None:
        """Connect to the called side; if it refuses, reset the caller's connection."""
        loop = asyncio.get_running_loop()
        caller_socket.setblocking(False)
        caller_side = Pipe(self.forward, self._side_ended)
        connection = caller_side.connection = Connection(caller_side)
        await loop.connect_accepted_socket(lambda: caller_side, caller_socket)
        called_side = Pipe(self.back, self._side_ended)
        try:
            await loop.create_connection(
                lambda: called_side, *self._target_address(), local_addr=(self._source_host, 0)
            )
        except OSError:
            if caller_side.transport is not None:
                reset_connection(caller_side.transport)
            return
        assert called_side.transport is not None
        connection.called_side = called_side
        called_side.connection = connection
        connection.name = f"{self.caller}:{called_side.transport.get_extra_info('sockname')[1]}"
        if self._on_opened is not None:
            self._on_opened(connection.name)
        if connection.is_ended and self._on_closed is not None:  # the caller ended it before it had a name
            self._on_closed(connection.name)
        caller_side.opposite, called_side.opposite = called_side, caller_side
        self._connections.add(connection)
        caller_side.deliver_due()  # bytes that arrived before the called side was connected

    def _side_ended(self, pipe: Pipe) -> None:
        """Handle the end of a side's stream or its loss; report the end of the caller's side once."""
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
    """A proxy for datagrams from one caller to one address, and for the answers."""

    def __init__(
        self,
        caller: str,
        called: str,
        target_address: Callable[[], Address],
        *,
        listen_host: str,
        source_host: str,
        seed: int,
    ) -> None:
        """Create a link that is not bound yet; see ``TcpLink`` for the arguments."""
        self.caller, self.called = caller, called
        self._target_address = target_address
        self._listen_host = listen_host
        self._source_host = source_host
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
        """Where the caller sends datagrams."""
        return self._listen_host, self.port

    async def start(self) -> None:
        """Bind both sockets."""
        loop = asyncio.get_running_loop()
        self._caller_transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self._from_caller), local_addr=(self._listen_host, self.port)
        )
        self._called_transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self._from_called), local_addr=(self._source_host, 0)
        )
        self.port = int(self._caller_transport.get_extra_info("sockname")[1])

    def stop(self) -> None:
        """Close both sockets."""
        for transport in (self._caller_transport, self._called_transport):
            if transport is not None:
                transport.close()

    def apply(self, number: int, impairment: Impairment, direction: Direction) -> None:
        """Begin a fault on one or both directions; ``number`` identifies it."""
        for name, flow in (("forward", self.forward), ("back", self.back)):
            if direction in (name, "both"):
                flow.apply(number, impairment)

    def remove(self, number: int) -> None:
        """End a fault."""
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
        """Lose, double, reorder, delay or pass on a datagram, as the flow's impairment says."""
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
    def __init__(self, on_datagram: Callable[[bytes, Address], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._on_datagram(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore that nobody listens at the other end: the datagram is lost, as any may be."""
