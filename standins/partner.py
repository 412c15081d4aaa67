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

ONE, MANY = "/hook", "/hook/batch"
COLD_SLACK = 6  # calls beyond the multiple that a cold destination forgives, for chance
MOST_KEYS = 100_000  # that a destination remembers, the oldest goes first


class Spec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
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
    def per_s(self) -> float:
        """Messages a second that it can serve when warm."""
        capacity = self.endpoints * self.slots * 1000 / self.work_ms
        return min(capacity, self.limit_per_s) if self.limit_per_s else capacity


@dataclass(frozen=True, slots=True)
class Turned:
    """A call that is turned away: it never runs."""

    status: int
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class Started:
    """A call that is served for so long from now on."""

    call: int
    work_s: float


@dataclass(slots=True)
class Serving:
    """The calls of one endpoint."""

    busy: set[int] = field(default_factory=set)
    queue: deque[Started] = field(default_factory=deque)


@dataclass(slots=True)
class Trouble:
    """What faults have made of a destination's endpoint."""

    slow: float = 1.0  # times the usual service time
    fails: float = 0.0  # share of calls that end with 500
    hangs: float = 0.0  # share of calls that are taken and never answered


class Site:
    """One destination: what its endpoints share, and what each of them serves."""

    def __init__(self, spec: Spec) -> None:
        self.spec = spec
        self.limit_per_s = spec.limit_per_s
        self.serving = {host: Serving() for host in spec.hosts}
        self.trouble = {host: Trouble() for host in spec.hosts}
        self._span, self._in_span = -1, 0
        self._cold_since_s: float | None = None
        self._arrived: deque[float] = deque()  # calls and probes while it is cold
        self._keys: dict[str, float] = {}

    def share(self, now_s: float) -> float:
        """The part of its capacity that it has now."""
        if self._cold_since_s is None:
            return 1.0
        grown = (now_s - self._cold_since_s) / self.spec.warm_s
        if grown >= 1.0:
            self._cold_since_s = None
            self._arrived.clear()
            return 1.0
        return self.spec.cold_from + (1.0 - self.spec.cold_from) * max(0.0, grown)

    def return_cold(self, now_s: float) -> None:
        """An outage is over."""
        self._cold_since_s = now_s
        self._arrived.clear()

    def push(self, now_s: float) -> bool:
        """A call or probe reaches it; whether that makes a cold destination fall over."""
        share = self.share(now_s)
        if share >= 1.0:
            return False
        self._arrived.append(now_s)
        while self._arrived and self._arrived[0] < now_s - self.spec.fall_s:
            self._arrived.popleft()
        most = self.spec.fall_multiple * share * self.spec.per_s * self.spec.fall_s + COLD_SLACK
        return len(self._arrived) > most

    def _over_limit(self, now_s: float) -> Turned | None:
        """The refusal of a call that comes above the limit."""
        if not self.limit_per_s:
            return None
        window_s = self.spec.window_ms / 1000
        span = int(now_s / window_s)
        if span != self._span:
            self._span, self._in_span = span, 0
        room = max(1.0, self.limit_per_s * window_s * self.share(now_s))
        if self._in_span + 1 > room:
            self._in_span += self.spec.refused_count
            left_ms = int(((span + 1) * window_s - now_s) * 1000) + 1
            return Turned(429, left_ms) if self.spec.tells_wait else Turned(503)
        self._in_span += 1
        return None

    def offer(self, now_s: float, host: str, call: int, work_s: float) -> Turned | Started | None:
        """A call has come; None: it waits in the queue."""
        if (turned := self._over_limit(now_s)) is not None:
            return turned
        serving = self.serving[host]
        started = Started(call, work_s * self.trouble[host].slow / self.share(now_s))
        if len(serving.busy) < self.spec.slots:
            serving.busy.add(call)
            return started
        if len(serving.queue) >= self.spec.queue:
            return Turned(503)
        serving.queue.append(started)
        return None

    def release(self, host: str, call: int) -> list[Started]:
        """A call is answered or its connection has ended; those that are served in its place."""
        serving = self.serving[host]
        serving.busy.discard(call)
        serving.queue = deque(item for item in serving.queue if item.call != call)
        begun = []
        while serving.queue and len(serving.busy) < self.spec.slots:
            begun.append(serving.queue.popleft())
            serving.busy.add(begun[-1].call)
        return begun

    def takes_effect(self, now_s: float, key: str) -> bool:
        """Whether a message with that key is no repeat; without a key each is its own."""
        if not key:
            return True
        at_s = self._keys.get(key)
        if at_s is not None and now_s - at_s <= self.spec.key_window_s:
            return False
        self._keys[key] = now_s
        while len(self._keys) > MOST_KEYS:
            del self._keys[next(iter(self._keys))]
        return True


def read_batch(body: bytes) -> list[tuple[str, str, bytes]]:
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
class Peer:
    """Who calls: a relay, by name, on a connection."""

    relay: str
    conn: str
    writer: asyncio.StreamWriter


class Endpoint:
    """One endpoint: its socket, and the calls on it."""

    def __init__(self, site: Site, host: str, *, address: str, sink: Sink, clock: Clock, seed: int) -> None:
        self.site, self.host = site, host
        self._sink, self._clock = sink, clock
        self._rng = np.random.default_rng(seed)
        self.listener = http.Listener(address, self._serve)
        self._begun: dict[int, asyncio.Event] = {}
        self._work_s: dict[int, float] = {}
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()
        sigma2 = float(np.log1p(site.spec.cv**2))
        self._mu, self._sigma = float(np.log(site.spec.work_ms / 1000) - sigma2 / 2), float(np.sqrt(sigma2))

    async def start(self) -> None:
        """Listen; after ``down`` it comes back cold."""
        await self.listener.start()

    def down(self) -> None:
        """It is gone: connections are reset and new ones refused."""
        self.listener.stop()
        self._sink(Partner(self._clock.now(), self.host, "down", self.site.spec.per_s))

    async def up(self) -> None:
        """It is back, cold."""
        now_s = self._clock.now()
        self.site.return_cold(now_s)
        await self.listener.start()
        share = self.site.share(now_s)
        self._sink(Partner(now_s, self.host, "cold", self.site.spec.per_s, share))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(*self._clock.caller(writer.get_extra_info("peername")), writer)
        crowded = len(self.listener.writers) > self.site.spec.connections
        while True:
            try:
                async with asyncio.timeout(self.site.spec.keepalive_s):
                    request = await http.read_request(reader)
            except TimeoutError:
                return
            if request is None:
                return
            if crowded:
                self._reply(peer, request_refs(request), Turned(503), {"Connection": "close"})
                return
            if request.method == "GET":
                self._probed(peer, request)
            elif not await self._called(reader, peer, request):
                return

    def _probed(self, peer: Peer, request: http.Request) -> None:
        now_s = self._clock.now()
        status = 200 if request.target in ("/alive", "/metrics/load") else 404
        if self.site.push(now_s):
            self._fall()
            return
        peer.writer.write(http.answer(status, self._report().encode() if status == 200 else b""))
        self._sink(Probed(now_s, peer.relay, self.host, status))

    def _report(self) -> str:
        left = 1.0 - len(self.site.serving[self.host].busy) / self.site.spec.slots
        return f"x0={left:.3f},x1={self.site.limit_per_s * self.site.share(self._clock.now()):.3f}"

    def _fall(self) -> None:
        """A cold destination that is pushed over is down for a while, then cold again."""
        self._sink(Partner(self._clock.now(), self.host, "fallen", self.site.spec.per_s))
        self.listener.stop()
        task = asyncio.get_running_loop().create_task(self._rise())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _rise(self) -> None:
        await asyncio.sleep(self.site.spec.fallen_s)
        await self.up()

    async def _called(self, reader: asyncio.StreamReader, peer: Peer, request: http.Request) -> bool:
        """One call from its last byte to its answer; whether the connection serves on."""
        now_s = self._clock.now()
        begun_s = now_s - (asyncio.get_running_loop().time() - request.begun_s)
        try:
            items = items_of(request)
        except http.BadHttpError:
            peer.writer.write(http.answer(400))
            return False
        refs = [ref for ref, _, _ in items]
        limit_s = limit_of(request.headers.get("x-remaining", ""))
        self._sink(Call(now_s, peer.conn, peer.relay, self.host, refs, begun_s, limit_s))
        if len(items) > self.site.spec.batch:
            self._reply(peer, refs, Turned(413))
            return True
        if self.site.push(now_s):
            self._fall()
            return False
        self._number += 1
        call, spec = self._number, self.site.spec
        work_s = float(self._rng.lognormal(self._mu, self._sigma)) * (1 + spec.item_cost * (len(items) - 1))
        fails = self._rng.random() < max(spec.error_share, self.site.trouble[self.host].fails)
        ran = not fails or self._rng.random() < 0.5
        offered = self.site.offer(now_s, self.host, call, work_s)
        if isinstance(offered, Turned):
            self._reply(peer, refs, offered)
            return True
        ended = asyncio.ensure_future(peer_ended(reader))
        try:
            if not await self._served(call, offered, ended):
                return False
            if ran:
                at_s = self._clock.now()
                for ref, key, _ in items:
                    if self.site.takes_effect(at_s, key):
                        self._sink(Ran(at_s, ref, self.host))
            self._reply(peer, refs, Turned(500) if fails else None)
        finally:
            ended.cancel()
            for item in self.site.release(self.host, call):
                self._begun.setdefault(item.call, asyncio.Event()).set()
                self._work_s[item.call] = item.work_s
        return True

    async def _served(self, call: int, offered: Started | None, ended: asyncio.Future[None]) -> bool:
        """Queue and service; False where the connection ended before."""
        work = asyncio.ensure_future(self._work(call, offered))
        try:
            await asyncio.wait({work, ended}, return_when=asyncio.FIRST_COMPLETED)
            return work.done()
        finally:
            work.cancel()
            self._begun.pop(call, None)
            self._work_s.pop(call, None)

    async def _work(self, call: int, offered: Started | None) -> None:
        if offered is None:
            await self._begun.setdefault(call, asyncio.Event()).wait()
            work_s = self._work_s[call]
        else:
            work_s = offered.work_s
        hangs = self.site.trouble[self.host].hangs
        if hangs >= 1 or (hangs and self._rng.random() < hangs):
            await asyncio.get_running_loop().create_future()
        await asyncio.sleep(work_s)

    def _reply(
        self, peer: Peer, refs: list[str], turned: Turned | None, more: dict[str, str] | None = None
    ) -> None:
        """Write an answer and note it."""
        headers = {"X-Pressure": self._report(), **(more or {})}
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
        peer.writer.write(http.answer(status, body, headers))

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


def limit_of(text: str) -> float:
    """How long a relay says that it waits, in seconds: a number with ``m`` or ``u``; 0 for anything else."""
    parts = {"m": 1e3, "u": 1e6}
    return int(text[:-1]) / parts[text[-1]] if text[:-1].isdecimal() and text[-1] in parts else 0.0


def items_of(request: http.Request) -> list[tuple[str, str, bytes]]:
    """The messages of a call: id, key, bytes."""
    if request.method == "POST" and request.target == ONE and "x-txn" in request.headers:
        headers = request.headers
        return [(headers["x-txn"], headers.get("idempotency-key", ""), request.body)]
    if request.method == "POST" and request.target == MANY:
        return read_batch(request.body)
    raise http.BadHttpError(f"no call: {request.method} {request.target}")


def request_refs(request: http.Request) -> list[str]:
    """The messages that a request names, none where it cannot be read."""
    try:
        return [ref for ref, _, _ in items_of(request)]
    except http.BadHttpError:
        return []


async def peer_ended(reader: asyncio.StreamReader) -> None:
    """Wait until the peer ends its sending or the connection breaks, reading nothing that it sends."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)
