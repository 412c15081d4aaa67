"""Partners: destinations with endpoints that serve calls as the pages on protocol and deployment say.

``Site`` is the pure core of one destination: slots, queue, limit, cold return, keys. Time and random draws
are its arguments. ``Endpoint`` is the shell around it: a listening socket, HTTP, a record of what it saw.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

import msgspec
import numpy as np

from standins import http
from standins.records import Call, Partner, Probed, Ran, Reply, Sink

SINGLE_PATH, BATCH_PATH = "/hook", "/hook/batch"
COLD_SLACK_CALLS = 6  # calls beyond the multiple that a cold destination forgives, for chance
MAX_REMEMBERED_KEYS = 100_000  # that a destination remembers, the oldest goes first


class DestinationSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One destination as a scenario describes it."""

    dest: int
    kind: str = "franchisee"
    zone: str = "salt-lake-dc"
    endpoints: int = 2
    work_ms: float = 90.0  # mean service time of a message
    cv: float = 0.8  # its deviation over its mean; service times are lognormal
    slots: int = 8  # calls that one endpoint serves at once
    queue: int = 24  # calls that wait at one endpoint; beyond: 503
    limit_per_s: float = 0.0  # calls a second of all endpoints together; 0: no limit
    window_ms: int = 1000  # the limit counts in spans of so long
    tells_wait: bool = True  # a call above the limit is told to wait (429); else 503
    refused_count: bool = False  # refused calls use the limit up
    error_share: float = 0.0  # of calls that end with 500
    connections: int = 64  # that one endpoint holds; more get 503 and a close
    keepalive_s: float = 5.0
    batch: int = 1  # messages in a call
    item_cost: float = 0.15  # of a further message in a call, in parts of the first one's work
    cold_from: float = 0.2  # of its capacity after an outage
    warm_s: float = 4.0  # until all of it is back
    fall_multiple: float = 2.0
    fall_s: float = 2.0
    fallen_s: float = 6.0  # how long it stays down when it has fallen over
    key_window_s: float = 7.5

    @property
    def hosts(self) -> list[str]:
        """The names of its endpoints."""
        return [f"d{self.dest}e{number}" for number in range(self.endpoints)]

    @property
    def warm_capacity_per_s(self) -> float:
        """Messages a second that it can serve when warm."""
        capacity = self.endpoints * self.slots * 1000 / self.work_ms
        return min(capacity, self.limit_per_s) if self.limit_per_s else capacity


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """A call that is turned away: it never runs."""

    status: int
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class ScheduledCall:
    """A call that is served for so long from now on."""

    call_number: int
    work_s: float


@dataclass(slots=True)
class EndpointCalls:
    """The calls of one endpoint."""

    in_service: set[int] = field(default_factory=set)
    waiting: deque[ScheduledCall] = field(default_factory=deque)


@dataclass(slots=True)
class EndpointFaults:
    """What faults have made of a destination's endpoint."""

    slowdown: float = 1.0  # times the usual service time
    failure_share: float = 0.0  # share of calls that end with 500
    hang_share: float = 0.0  # share of calls that are taken and never answered


class DestinationModel:
    """One destination: what its endpoints share, and what each of them serves."""

    def __init__(self, spec: DestinationSpec) -> None:
        self.spec = spec
        self.limit_per_s = spec.limit_per_s
        self.calls_by_host = {host: EndpointCalls() for host in spec.hosts}
        self.faults_by_host = {host: EndpointFaults() for host in spec.hosts}
        self._window_number, self._calls_in_window = -1, 0
        self._cold_since_s: float | None = None
        self._cold_arrivals_s: deque[float] = deque()  # calls and probes while it is cold
        self._key_effect_s: dict[str, float] = {}

    def capacity_share(self, now_s: float) -> float:
        """The part of its capacity that it has now."""
        if self._cold_since_s is None:
            return 1.0
        grown = (now_s - self._cold_since_s) / self.spec.warm_s
        if grown >= 1.0:
            self._cold_since_s = None
            self._cold_arrivals_s.clear()
            return 1.0
        return self.spec.cold_from + (1.0 - self.spec.cold_from) * max(0.0, grown)

    def start_warmup(self, now_s: float) -> None:
        """An outage is over."""
        self._cold_since_s = now_s
        self._cold_arrivals_s.clear()

    def record_arrival(self, now_s: float) -> bool:
        """A call or probe reaches it; whether that makes a cold destination fall over."""
        share = self.capacity_share(now_s)
        if share >= 1.0:
            return False
        self._cold_arrivals_s.append(now_s)
        while self._cold_arrivals_s and self._cold_arrivals_s[0] < now_s - self.spec.fall_s:
            self._cold_arrivals_s.popleft()
        most = (
            self.spec.fall_multiple * share * self.spec.warm_capacity_per_s * self.spec.fall_s
            + COLD_SLACK_CALLS
        )
        return len(self._cold_arrivals_s) > most

    def _check_rate_limit(self, now_s: float) -> ErrorReply | None:
        """The refusal of a call that comes above the limit."""
        if not self.limit_per_s:
            return None
        window_s = self.spec.window_ms / 1000
        span = int(now_s / window_s)
        if span != self._window_number:
            self._window_number, self._calls_in_window = span, 0
        room = max(1.0, self.limit_per_s * window_s * self.capacity_share(now_s))
        if self._calls_in_window + 1 > room:
            self._calls_in_window += self.spec.refused_count
            left_ms = int(((span + 1) * window_s - now_s) * 1000) + 1
            return ErrorReply(429, left_ms) if self.spec.tells_wait else ErrorReply(503)
        self._calls_in_window += 1
        return None

    def admit(self, now_s: float, host: str, call: int, work_s: float) -> ErrorReply | ScheduledCall | None:
        """A call has come; None: it waits in the queue."""
        if (turned := self._check_rate_limit(now_s)) is not None:
            return turned
        serving = self.calls_by_host[host]
        started = ScheduledCall(
            call, work_s * self.faults_by_host[host].slowdown / self.capacity_share(now_s)
        )
        if len(serving.in_service) < self.spec.slots:
            serving.in_service.add(call)
            return started
        if len(serving.waiting) >= self.spec.queue:
            return ErrorReply(503)
        serving.waiting.append(started)
        return None

    def release(self, host: str, call: int) -> list[ScheduledCall]:
        """A call is answered or its connection has ended; those that are served in its place."""
        serving = self.calls_by_host[host]
        serving.in_service.discard(call)
        serving.waiting = deque(item for item in serving.waiting if item.call_number != call)
        begun = []
        while serving.waiting and len(serving.in_service) < self.spec.slots:
            begun.append(serving.waiting.popleft())
            serving.in_service.add(begun[-1].call_number)
        return begun

    def record_effect(self, now_s: float, key: str) -> bool:
        """Whether a message with that key is no repeat; without a key each is its own."""
        if not key:
            return True
        at_s = self._key_effect_s.get(key)
        if at_s is not None and now_s - at_s <= self.spec.key_window_s:
            return False
        self._key_effect_s[key] = now_s
        while len(self._key_effect_s) > MAX_REMEMBERED_KEYS:
            del self._key_effect_s[next(iter(self._key_effect_s))]
        return True


def parse_batch(body: bytes) -> list[tuple[str, str, bytes]]:
    """Id, key and bytes of each message in a batch; ``BadHttpError`` where it cannot be read."""
    found, rest = list[tuple[str, str, bytes]](), body
    while rest:
        line, _, rest = rest.partition(b"\r\n")
        try:
            ref, key, size = line.decode("ascii").split(" ")
            end = int(size)
        except ValueError:
            raise http.BadHttpError("a line of the batch cannot be read") from None
        if end < 0 or rest[end : end + 2] != b"\r\n":
            raise http.BadHttpError("a message of the batch has another length")
        found.append((ref, "" if key == "-" else key, rest[:end]))
        rest = rest[end + 2 :]
    if not found or len({ref for ref, _, _ in found}) < len(found):
        raise http.BadHttpError("the batch is empty or names a message twice")
    return found


@dataclass(frozen=True, slots=True)
class Caller:
    """Who calls: a relay, by name, on a connection."""

    relay: str
    conn: str
    writer: asyncio.StreamWriter


class Endpoint:
    """One endpoint: its socket, and the calls on it."""

    def __init__(
        self, site: DestinationModel, host: str, *, address: str, sink: Sink, clock: Clock, seed: int
    ) -> None:
        self.destination, self.host = site, host
        self._sink, self._clock = sink, clock
        self._rng = np.random.default_rng(seed)
        self.listener = http.Listener(address, self._serve_connection)
        self._start_events: dict[int, asyncio.Event] = {}
        self._dequeued_work_s: dict[int, float] = {}
        self._last_call_number = 0
        self._tasks: set[asyncio.Task[None]] = set()
        sigma2 = float(np.log1p(site.spec.cv**2))
        self._log_mean, self._log_deviation = (
            float(np.log(site.spec.work_ms / 1000) - sigma2 / 2),
            float(np.sqrt(sigma2)),
        )

    async def start(self) -> None:
        """Listen; after ``down`` it comes back cold."""
        await self.listener.start()

    def go_down(self) -> None:
        """It is gone: connections are reset and new ones refused."""
        self.listener.stop()
        self._sink(Partner(self._clock.now(), self.host, "down", self.destination.spec.warm_capacity_per_s))

    async def come_back(self) -> None:
        """It is back, cold."""
        now_s = self._clock.now()
        self.destination.start_warmup(now_s)
        await self.listener.start()
        share = self.destination.capacity_share(now_s)
        self._sink(Partner(now_s, self.host, "cold", self.destination.spec.warm_capacity_per_s, share))

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Caller(*self._clock.caller(writer.get_extra_info("peername")), writer)
        crowded = len(self.listener.writers) > self.destination.spec.connections
        while True:
            try:
                async with asyncio.timeout(self.destination.spec.keepalive_s):
                    request = await http.read_request(reader)
            except TimeoutError:
                return
            if request is None:
                return
            if crowded:
                self._write_reply(peer, request_refs(request), ErrorReply(503), {"Connection": "close"})
                return
            if request.method == "GET":
                self._serve_probe(peer, request)
            elif not await self._serve_call(reader, peer, request):
                return

    def _serve_probe(self, peer: Caller, request: http.Request) -> None:
        now_s = self._clock.now()
        status = 200 if request.target in ("/alive", "/metrics/load") else 404
        if self.destination.record_arrival(now_s):
            self._collapse()
            return
        peer.writer.write(
            http.encode_response(status, self._pressure_report().encode() if status == 200 else b"")
        )
        self._sink(Probed(now_s, peer.relay, self.host, status))

    def _pressure_report(self) -> str:
        left = 1.0 - len(self.destination.calls_by_host[self.host].in_service) / self.destination.spec.slots
        return f"x0={left:.3f},x1={self.destination.limit_per_s * self.destination.capacity_share(self._clock.now()):.3f}"

    def _collapse(self) -> None:
        """A cold destination that is pushed over is down for a while, then cold again."""
        self._sink(Partner(self._clock.now(), self.host, "fallen", self.destination.spec.warm_capacity_per_s))
        self.listener.stop()
        task = asyncio.get_running_loop().create_task(self._come_back_later())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _come_back_later(self) -> None:
        await asyncio.sleep(self.destination.spec.fallen_s)
        await self.come_back()

    async def _serve_call(self, reader: asyncio.StreamReader, peer: Caller, request: http.Request) -> bool:
        """One call from its last byte to its answer; whether the connection serves on."""
        now_s = self._clock.now()
        begun_s = now_s - (asyncio.get_running_loop().time() - request.first_byte_s)
        try:
            items = parse_call_messages(request)
        except http.BadHttpError:
            peer.writer.write(http.encode_response(400))
            return False
        refs = [ref for ref, _, _ in items]
        limit_s = parse_time_limit_s(request.headers.get("x-remaining", ""))
        self._sink(Call(now_s, peer.conn, peer.relay, self.host, refs, begun_s, limit_s))
        if len(items) > self.destination.spec.batch:
            self._write_reply(peer, refs, ErrorReply(413))
            return True
        if self.destination.record_arrival(now_s):
            self._collapse()
            return False
        self._last_call_number += 1
        call, spec = self._last_call_number, self.destination.spec
        work_s = float(self._rng.lognormal(self._log_mean, self._log_deviation)) * (
            1 + spec.item_cost * (len(items) - 1)
        )
        fails = self._rng.random() < max(
            spec.error_share, self.destination.faults_by_host[self.host].failure_share
        )
        ran = not fails or self._rng.random() < 0.5
        offered = self.destination.admit(now_s, self.host, call, work_s)
        if isinstance(offered, ErrorReply):
            self._write_reply(peer, refs, offered)
            return True
        ended = asyncio.ensure_future(wait_for_peer_end(reader))
        try:
            if not await self._wait_until_served(call, offered, ended):
                return False
            if ran:
                at_s = self._clock.now()
                for ref, key, _ in items:
                    if self.destination.record_effect(at_s, key):
                        self._sink(Ran(at_s, ref, self.host))
            self._write_reply(peer, refs, ErrorReply(500) if fails else None)
        finally:
            ended.cancel()
            for item in self.destination.release(self.host, call):
                self._start_events.setdefault(item.call_number, asyncio.Event()).set()
                self._dequeued_work_s[item.call_number] = item.work_s
        return True

    async def _wait_until_served(
        self, call: int, offered: ScheduledCall | None, ended: asyncio.Future[None]
    ) -> bool:
        """Queue and service; False where the connection ended before."""
        work = asyncio.ensure_future(self._queue_and_work(call, offered))
        try:
            await asyncio.wait({work, ended}, return_when=asyncio.FIRST_COMPLETED)
            return work.done()
        finally:
            work.cancel()
            self._start_events.pop(call, None)
            self._dequeued_work_s.pop(call, None)

    async def _queue_and_work(self, call: int, offered: ScheduledCall | None) -> None:
        if offered is None:
            await self._start_events.setdefault(call, asyncio.Event()).wait()
            work_s = self._dequeued_work_s[call]
        else:
            work_s = offered.work_s
        hangs = self.destination.faults_by_host[self.host].hang_share
        if hangs >= 1 or (hangs and self._rng.random() < hangs):
            await asyncio.get_running_loop().create_future()
        await asyncio.sleep(work_s)

    def _write_reply(
        self, peer: Caller, refs: list[str], turned: ErrorReply | None, more: dict[str, str] | None = None
    ) -> None:
        """Write an answer and note it."""
        headers = {"X-Pressure": self._pressure_report(), **(more or {})}
        if turned is None:
            status, end, wait_ms = 200, "delivered", 0
        else:
            status, wait_ms = turned.status, turned.wait_ms
            end = "failed" if status == 500 else "refused"
        if wait_ms:
            headers["X-Retry-In-Ms"] = str(wait_ms)
        each = status == 200 and len(refs) > 1
        body = "".join(f"{ref} {end}\r\n" for ref in refs).encode() if each else b""
        # Noted before the bytes can be read: a relay that is quicker than this line must not look early.
        now_s = self._clock.now()
        ends = [end] * len(refs)
        self._sink(Reply(now_s, peer.conn, peer.relay, self.host, status, refs, ends, wait_ms))
        peer.writer.write(http.encode_response(status, body, headers))

    def stop(self) -> None:
        """End it for good."""
        for task in self._tasks:
            task.cancel()
        self.listener.stop()


class Clock:
    """The run's clock, and who stands behind an address; the lab gives one with names."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.start_s = self._loop.time()  # on the machine's monotonic clock

    def now(self) -> float:
        """Seconds since the run's start."""
        return self._loop.time() - self.start_s

    def restart(self) -> None:
        """The run starts now; what was before stands at negative times from here on."""
        self.start_s = self._loop.time()  # on the machine's monotonic clock

    def caller(self, peer: tuple[str, int]) -> tuple[str, str]:
        """The relay that calls from there, and a name for the connection."""
        return peer[0], f"{peer[0]}:{peer[1]}"


def parse_time_limit_s(text: str) -> float:
    """How long a relay says that it waits, in seconds: a number with ``m`` or ``u``; 0 for anything else."""
    parts = {"m": 1e3, "u": 1e6}
    return int(text[:-1]) / parts[text[-1]] if text[:-1].isdecimal() and text[-1] in parts else 0.0


def parse_call_messages(request: http.Request) -> list[tuple[str, str, bytes]]:
    """The messages of a call: id, key, bytes."""
    if request.method == "POST" and request.target == SINGLE_PATH and "x-txn" in request.headers:
        headers = request.headers
        return [(headers["x-txn"], headers.get("idempotency-key", ""), request.body)]
    if request.method == "POST" and request.target == BATCH_PATH:
        return parse_batch(request.body)
    raise http.BadHttpError(f"no call: {request.method} {request.target}")


def request_refs(request: http.Request) -> list[str]:
    """The messages that a request names, none where it cannot be read."""
    try:
        return [ref for ref, _, _ in parse_call_messages(request)]
    except http.BadHttpError:
        return []


async def wait_for_peer_end(reader: asyncio.StreamReader) -> None:
    """Wait until the peer ends its sending or the connection breaks, reading nothing that it sends."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)
