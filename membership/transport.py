"""The core on sockets: datagrams and connections between members, bounded in size, number and rate."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import Any

from membership import wire
from membership.config import Config
from membership.core import LIVE, Peers
from membership.messages import Changed, Exchange, Message, Out, Replaced, Say, State, Update
from membership.view_agreement import Fleet
from tomlconfig import Address, address_of

LOG = logging.getLogger("membership")
MOST_SENDERS = 4096  # whose rates are known
RATE_PER_S, BURST = 200.0, 400.0  # datagrams of one sender
MOST_CALLS, MOST_CALLERS = 8, 64  # exchanges that go out, and that come in, at once
CALL_S = 2.0  # s for a whole exchange
MOST_HISTORY = 1024  # changes that operators can read


@dataclass(slots=True)
class Bucket:
    """What one sender may still send."""

    left: float
    at_s: float


class Rates:
    """Datagrams that are taken, by sender; the one heard of longest ago is forgotten for a new one."""

    def __init__(self, per_s: float = RATE_PER_S, burst: float = BURST, most: int = MOST_SENDERS) -> None:
        self._per_s, self._burst, self._most = per_s, burst, most
        self._buckets: OrderedDict[Address, Bucket] = OrderedDict()

    def take(self, sender: Address, now_s: float) -> bool:
        """Whether one more of this sender is within its rate."""
        bucket = self._buckets.get(sender)
        if bucket is None:
            bucket = self._buckets[sender] = Bucket(self._burst, now_s)
            if len(self._buckets) > self._most:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(sender)
        bucket.left = min(self._burst, bucket.left + (now_s - bucket.at_s) * self._per_s)
        bucket.at_s = now_s
        if bucket.left < 1:
            return False
        bucket.left -= 1
        return True


@dataclass(frozen=True, slots=True)
class Happened:
    """A change of the view, as operators read it."""

    wall_s: float
    name: str
    generation: int
    state: str
    before: str
    by: str


class Shell(asyncio.DatagramProtocol):
    """One member in one process."""

    def __init__(
        self, config: Config, generation: int, changed: Callable[[Changed], None] = lambda _: None
    ) -> None:
        """``changed`` is told of each change of the view, in order."""
        self._config, self._changed = config, changed
        self._fleet = wire.mark(config.fleet)
        me = Update(config.name, config.listen, config.zone, generation, 0, State.ALIVE)
        self._loop = asyncio.get_running_loop()
        self.core = Peers(
            me, tuple(config.seeds), settings=config.settings, random=Random(), now_us=self.now_us()
        )
        self._rates = Rates()
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._callers: set[asyncio.StreamWriter] = set()
        self.history: deque[Happened] = deque(maxlen=MOST_HISTORY)
        self.counts: Counter[str] = Counter()
        self._standing = Fleet(config.name, self.now_us())
        self.replaced: asyncio.Future[Update] = self._loop.create_future()  # by a later life of the same name

    @staticmethod
    def now_us() -> int:
        """The core's clock."""
        return time.monotonic_ns() // 1000

    async def start(self) -> None:
        """Listen for datagrams and connections; ``OSError`` where the address cannot be had."""
        host, port = address_of(self._config.listen)
        self._server = await asyncio.start_server(self._connected, host, port)
        try:
            self._transport, _ = await self._loop.create_datagram_endpoint(
                lambda: self, local_addr=(host, port)
            )
        except OSError:
            self._server.close()
            raise
        self._wake()

    async def stop(self) -> None:
        """Leave in order: some hear of it at once."""
        if not self.replaced.done():
            self._perform(self.core.leave(self.now_us()))
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._calls):
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._callers):
            writer.transport.abort()
        if self._transport is not None:
            self._transport.close()

    # The core

    def _wake(self) -> None:
        self._perform(self.core.wake(self.now_us()))

    def _heard(self, message: Message) -> None:
        self._perform(self.core.receive(self.now_us(), message))

    def _perform(self, outs: list[Out]) -> None:
        """Carry out what the core wants, and ask for its next turn."""
        for out in outs:
            match out:
                case Say(to, Exchange() as message):
                    self._call(to, message)
                case Say(to, message):
                    self._send(to, message)
                case Changed():
                    self._note(out)
                case Replaced():
                    if not self.replaced.done():
                        self.replaced.set_result(out.update)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(max(0, self.core.due_us - self.now_us()) / 1e6, self._wake)

    def _note(self, change: Changed) -> None:
        update, before = change.update, change.before
        was = "" if before is None else before.name.lower()
        self.history.append(
            Happened(time.time(), update.name, update.generation, update.state.name.lower(), was, update.by)
        )
        by = f" by the word of {update.by}" if update.by else ""
        self.stands()
        LOG.info("%s is %s%s, was %s", update.name, update.state.name.lower(), by, was or "unknown")
        self._changed(change)

    def _reached(self, told: str) -> Address:
        """Where a member's address is reached from here."""
        return address_of(self._config.reach.get(told, told))

    # Datagrams

    def _send(self, to: str, message: Message) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._transport.sendto(wire.encode(self._fleet, message), self._reached(to))
            self.counts["datagrams_sent"] += 1
        except (OSError, ValueError) as error:
            self.counts["datagrams_not_sent"] += 1
            LOG.debug("nothing was sent to %s: %r", to, error)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """What cannot be read is counted, never answered, and changes nothing."""
        if not self._rates.take((str(addr[0]), int(addr[1])), self._loop.time()):
            self.counts["datagrams_over_rate"] += 1
            return
        self._read(data, "datagrams")

    def _read(self, data: bytes, what: str) -> None:
        try:
            message = wire.decode(self._fleet, data)
        except wire.WireError as error:
            self.counts[f"{what}_unreadable_{str(error).split()[0].strip(':')}"] += 1
            return
        self.counts[f"{what}_taken"] += 1
        self._heard(message)

    def error_received(self, exc: Exception) -> None:
        """An address that refuses: the probe's own time tells."""
        self.counts["datagrams_refused"] += 1

    # Exchanges

    def _call(self, to: str, message: Exchange) -> None:
        if len(self._calls) >= MOST_CALLS:
            self.counts["exchanges_not_sent"] += 1
            return
        self._calls.add(task := self._loop.create_task(self._exchange(to, message)))
        task.add_done_callback(self._calls.discard)

    async def _exchange(self, to: str, message: Exchange) -> None:
        """One whole view to one member, on a connection of its own."""
        data = wire.encode(self._fleet, message)
        try:
            async with asyncio.timeout(CALL_S):
                _, writer = await asyncio.open_connection(*self._reached(to))
                try:
                    writer.write(wire.LENGTH.pack(len(data)) + data)
                    await writer.drain()
                finally:
                    writer.close()
                    with suppress(OSError):
                        await writer.wait_closed()
            self.counts["exchanges_sent"] += 1
        except (OSError, TimeoutError, ValueError) as error:
            self.counts["exchanges_not_sent"] += 1
            LOG.debug("no exchange with %s: %r", to, error)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._callers) >= MOST_CALLERS:
            self.counts["exchanges_over_bound"] += 1
            writer.transport.abort()
            return
        self._callers.add(writer)
        try:
            async with asyncio.timeout(CALL_S):
                (length,) = wire.LENGTH.unpack(await reader.readexactly(wire.LENGTH.size))
                if length > wire.MOST_FRAME:
                    raise ValueError(f"{length} bytes")
                data = await reader.readexactly(length)
            self._read(data, "exchanges")
        except (OSError, TimeoutError, ValueError, EOFError):
            self.counts["exchanges_unreadable"] += 1
        finally:
            self._callers.discard(writer)
            writer.close()

    # What operators read

    def view(self) -> list[Update]:
        """Everybody that is held, by name."""
        return sorted((held.update for held in self.core.held.values()), key=lambda update: update.name)

    def stands(self) -> Fleet:
        """Where this member stands in its fleet now."""
        self._standing.look(self.now_us(), self.view(), self.core.health)
        return self._standing

    @property
    def living(self) -> int:
        """Members that are alive or suspect, this one included."""
        return sum(update.state in LIVE for update in self.view())
