"""The protocol core on sockets: datagrams and connections of members, bounded in size, number and rate."""

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
from membership.core import LIVE_STATES, MembershipCore
from membership.messages import Exchange, Message, Output, Replaced, SendMessage, State, StateChanged, Update
from membership.view_agreement import FleetTracker
from tomlconfig import Address, parse_address

LOG = logging.getLogger("membership")
MAX_SENDERS = 4096  # addresses whose datagram rates are tracked
MAX_DATAGRAMS_PER_S = 200.0  # of one sender
MAX_DATAGRAM_BURST = 400.0  # datagrams of one sender at once
MAX_OUTGOING_EXCHANGES = 8  # at once; further ones are dropped
MAX_INCOMING_EXCHANGES = 64  # at once; further connections are aborted
EXCHANGE_TIMEOUT_S = 2.0  # for a whole exchange
MAX_HISTORY = 1024  # changes of the view that operators can read


@dataclass(slots=True)
class TokenBucket:
    """The datagrams that one sender may still send."""

    tokens: float
    refilled_s: float  # time of the last refill


class SenderRateLimiter:
    """A token bucket for each sender; beyond ``max_senders`` the least recently heard one is forgotten."""

    def __init__(
        self,
        per_s: float = MAX_DATAGRAMS_PER_S,
        burst: float = MAX_DATAGRAM_BURST,
        max_senders: int = MAX_SENDERS,
    ) -> None:
        self._tokens_per_s = per_s
        self._burst = burst
        self._max_senders = max_senders
        self._buckets: OrderedDict[Address, TokenBucket] = OrderedDict()

    def allow(self, sender: Address, now_s: float) -> bool:
        """Whether one more datagram of a sender is within its rate; counts it if so."""
        bucket = self._buckets.get(sender)
        if bucket is None:
            bucket = self._buckets[sender] = TokenBucket(self._burst, now_s)
            if len(self._buckets) > self._max_senders:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(sender)
        bucket.tokens = min(self._burst, bucket.tokens + (now_s - bucket.refilled_s) * self._tokens_per_s)
        bucket.refilled_s = now_s
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A change of the view as operators read it; the field names are the page's keys."""

    wall_s: float
    name: str
    generation: int
    state: str
    before: str  # the previous state; empty: the member was not known
    by: str  # the member that reported the change


class MembershipService(asyncio.DatagramProtocol):
    """One member of the fleet in one process."""

    def __init__(
        self, config: Config, generation: int, on_change: Callable[[StateChanged], None] = lambda _: None
    ) -> None:
        """``on_change`` is called for each change of the view, in order."""
        self._config = config
        self._on_change = on_change
        self._fleet_hash = wire.hash_fleet_name(config.fleet)
        own_update = Update(config.name, config.listen, config.zone, generation, 0, State.ALIVE)
        self._loop = asyncio.get_running_loop()
        self.core = MembershipCore(
            own_update, tuple(config.seeds), settings=config.settings, random=Random(), now_us=self.now_us()
        )
        self._rate_limiter = SenderRateLimiter()
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._outgoing_exchanges: set[asyncio.Task[None]] = set()
        self._incoming_connections: set[asyncio.StreamWriter] = set()
        self.history: deque[HistoryEntry] = deque(maxlen=MAX_HISTORY)
        self.counts: Counter[str] = Counter()
        self._fleet_tracker = FleetTracker(config.name, self.now_us())
        # Done once a later life of the same name is known; the result is the update about it.
        self.replaced: asyncio.Future[Update] = self._loop.create_future()

    @staticmethod
    def now_us() -> int:
        """The core's clock: monotonic microseconds."""
        return time.monotonic_ns() // 1000

    async def start(self) -> None:
        """Listen for datagrams and connections; ``OSError`` if the address cannot be bound."""
        host, port = parse_address(self._config.listen)
        self._server = await asyncio.start_server(self._handle_connection, host, port)
        try:
            self._transport, _ = await self._loop.create_datagram_endpoint(
                lambda: self, local_addr=(host, port)
            )
        except OSError:
            self._server.close()
            raise
        self._wake()

    async def stop(self) -> None:
        """Leave the fleet in order, unless a later life has replaced this one, and close all sockets."""
        if not self.replaced.done():
            self._perform(self.core.leave(self.now_us()))
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._outgoing_exchanges):
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._incoming_connections):
            writer.transport.abort()
        if self._transport is not None:
            self._transport.close()

    # The core

    def _wake(self) -> None:
        self._perform(self.core.wake(self.now_us()))

    def _receive(self, message: Message) -> None:
        self._perform(self.core.receive(self.now_us(), message))

    def _perform(self, outputs: list[Output]) -> None:
        """Carry out the core's outputs, and set the timer for its next wake-up."""
        for output in outputs:
            match output:
                case SendMessage(address, Exchange() as message):
                    self._start_exchange(address, message)
                case SendMessage(address, message):
                    self._send(address, message)
                case StateChanged():
                    self._record_change(output)
                case Replaced():
                    if not self.replaced.done():
                        self.replaced.set_result(output.update)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(max(0, self.core.due_us - self.now_us()) / 1e6, self._wake)

    def _record_change(self, change: StateChanged) -> None:
        update, previous_state = change.update, change.previous_state
        previous_name = "" if previous_state is None else previous_state.name.lower()
        self.history.append(
            HistoryEntry(
                time.time(),
                update.name,
                update.generation,
                update.state.name.lower(),
                previous_name,
                update.reported_by,
            )
        )
        reporter = f" as reported by {update.reported_by}" if update.reported_by else ""
        self.update_fleet_tracker()
        LOG.info(
            "member %s is %s%s, was %s",
            update.name,
            update.state.name.lower(),
            reporter,
            previous_name or "unknown",
        )
        self._on_change(change)

    def _reachable_address(self, listed_address: str) -> Address:
        """The address to use from here for one that a member lists; they differ where ``reach`` has it."""
        return parse_address(self._config.reach.get(listed_address, listed_address))

    # Datagrams

    def _send(self, address: str, message: Message) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._transport.sendto(wire.encode(self._fleet_hash, message), self._reachable_address(address))
            self.counts["datagrams_sent"] += 1
        except (OSError, ValueError) as error:
            self.counts["datagrams_not_sent"] += 1
            LOG.debug("sending a datagram to %s failed: %r", address, error)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram to the core; one that cannot be read is counted and neither answered nor used."""
        if not self._rate_limiter.allow((str(addr[0]), int(addr[1])), self._loop.time()):
            self.counts["datagrams_over_rate"] += 1
            return
        self._receive_bytes(data, "datagrams")

    def _receive_bytes(self, data: bytes, count_prefix: str) -> None:
        try:
            message = wire.decode(self._fleet_hash, data)
        except wire.WireError as error:
            self.counts[f"{count_prefix}_unreadable_{str(error).split()[0].strip(':')}"] += 1
            return
        self.counts[f"{count_prefix}_taken"] += 1
        self._receive(message)

    def error_received(self, exc: Exception) -> None:
        """Count an ICMP error, such as a refusing address; the probe's timeout shows the failure anyway."""
        self.counts["datagrams_refused"] += 1

    # Exchanges

    def _start_exchange(self, address: str, message: Exchange) -> None:
        if len(self._outgoing_exchanges) >= MAX_OUTGOING_EXCHANGES:
            self.counts["exchanges_not_sent"] += 1
            return
        self._outgoing_exchanges.add(task := self._loop.create_task(self._send_exchange(address, message)))
        task.add_done_callback(self._outgoing_exchanges.discard)

    async def _send_exchange(self, address: str, message: Exchange) -> None:
        """Send one whole view to one member, on a connection of its own."""
        data = wire.encode(self._fleet_hash, message)
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*self._reachable_address(address))
                try:
                    writer.write(wire.LENGTH_PREFIX.pack(len(data)) + data)
                    await writer.drain()
                finally:
                    writer.close()
                    with suppress(OSError):
                        await writer.wait_closed()
            self.counts["exchanges_sent"] += 1
        except (OSError, TimeoutError, ValueError) as error:
            self.counts["exchanges_not_sent"] += 1
            LOG.debug("sending an exchange to %s failed: %r", address, error)

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._incoming_connections) >= MAX_INCOMING_EXCHANGES:
            self.counts["exchanges_over_bound"] += 1
            writer.transport.abort()
            return
        self._incoming_connections.add(writer)
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                (length,) = wire.LENGTH_PREFIX.unpack(await reader.readexactly(wire.LENGTH_PREFIX.size))
                if length > wire.MAX_FRAME_BYTES:
                    raise ValueError(f"{length} bytes")
                data = await reader.readexactly(length)
            self._receive_bytes(data, "exchanges")
        except (OSError, TimeoutError, ValueError, EOFError):
            self.counts["exchanges_unreadable"] += 1
        finally:
            self._incoming_connections.discard(writer)
            writer.close()

    # What operators read

    def view(self) -> list[Update]:
        """The updates about all known members, by name."""
        return sorted(
            (record.update for record in self.core.members.values()), key=lambda update: update.name
        )

    def update_fleet_tracker(self) -> FleetTracker:
        """The fleet tracker, brought up to date with the view."""
        self._fleet_tracker.update(self.now_us(), self.view(), self.core.local_health)
        return self._fleet_tracker

    @property
    def live_count(self) -> int:
        """The number of members that are alive or suspect, this one included."""
        return sum(update.state in LIVE_STATES for update in self.view())
