"""Stand-ins for destinations, whose endpoints serve calls as the pages on protocol and deployment describe.

``DestinationModel`` holds the state of one destination without doing I/O: slots, queues, rate limit, cold
return and idempotency keys. The current time and random draws are passed to it. ``Endpoint`` adds the
listening socket, HTTP, and records of what it saw.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from dataclasses import dataclass, field

import msgspec
import numpy as np

from standins import http
from standins.records import Call, Partner, Probed, Ran, Reply, Sink

# Paths of a call with one message, and of a call with a batch of messages.
SINGLE_PATH = "/hook"
BATCH_PATH = "/hook/batch"
# Idempotency keys that a destination remembers; beyond this number the oldest is forgotten first.
MAX_REMEMBERED_KEYS = 100_000
# A good answer whose body goes on in chunks of one byte and never ends.
ENDLESS_ANSWER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 20_000


class DestinationSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One destination as a scenario file describes it."""

    dest: int
    kind: str = "franchisee"
    zone: str = "salt-lake-dc"
    endpoints: int = 2
    work_ms: float = 90.0  # mean service time of a message
    cv: float = 0.8  # coefficient of variation of the service time, which is lognormal
    slots: int = 8  # calls that one endpoint serves concurrently
    queue: int = 24  # calls that wait at one endpoint; a further one gets 503
    limit_per_s: float = 0.0  # calls per second at all endpoints together; 0: no limit
    window_ms: int = 1000  # length of the fixed windows in which the limit is counted
    tells_wait: bool = True  # a call above the limit gets 429 with the time to wait; otherwise 503
    refused_count: bool = False  # refused calls count towards the limit too
    error_share: float = 0.0  # share of calls that are answered with 500
    connections: int = 64  # open connections per endpoint; a further one gets 503 and is closed
    keepalive_s: float = 5.0  # an idle connection is closed after this time
    batch: int = 1  # most messages in a call; a call with more gets 413
    item_cost: float = 0.15  # work of each further message in a call, relative to the first one's
    cold_from: float = 0.2  # share of the capacity that is available right after an outage
    warm_s: float = 4.0  # time after an outage until the whole capacity is available
    # A cold destination collapses when ``fall_multiple`` times its present capacity arrives over ``fall_s``.
    fall_multiple: float = 2.0
    fall_s: float = 2.0
    fallen_s: float = 6.0  # how long an endpoint stays down after a collapse
    cold_slack_calls: float = 6.0  # calls above ``fall_multiple`` that it bears while it is cold
    key_window_s: float = 7.5  # how long a repeat of an idempotency key is recognised

    @property
    def hosts(self) -> list[str]:
        """The ids of its endpoints."""
        return [f"d{self.dest}e{number}" for number in range(self.endpoints)]

    @property
    def warm_capacity_per_s(self) -> float:
        """Messages per second that it can serve when warm."""
        capacity = self.endpoints * self.slots * 1000 / self.work_ms
        return min(capacity, self.limit_per_s) if self.limit_per_s else capacity


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """An answer other than 200; ``wait_ms`` is the time to wait that it states, 0 for none.

    A call that is answered with 500 may have run; with any other status it has not.
    """

    status: int
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class ScheduledCall:
    """A call that was admitted, and how long its service takes once it has a slot."""

    call_number: int
    work_s: float


@dataclass(slots=True)
class EndpointCalls:
    """The calls at one endpoint: the numbers of those in service, and those in the queue."""

    in_service: set[int] = field(default_factory=set)
    waiting: deque[ScheduledCall] = field(default_factory=deque)


@dataclass(slots=True)
class EndpointFaults:
    """The effects of the faults that are active at one endpoint."""

    slowdown: float = 1.0  # factor on the usual service time
    failure_share: float = 0.0  # share of calls that are answered with 500
    hang_share: float = 0.0  # share of calls that are accepted and never answered
    endless_share: float = 0.0  # share of good answers to one message whose body never ends
    shut_until_s: float = 0.0  # until then every call is refused


class DestinationModel:
    """One destination without I/O: what its endpoints share, and the calls at each of them.

    Times are seconds on the run's clock.
    """

    def __init__(self, spec: DestinationSpec) -> None:
        self.spec = spec
        self.limit_per_s = spec.limit_per_s
        self.calls_by_host = {host: EndpointCalls() for host in spec.hosts}
        self.faults_by_host = {host: EndpointFaults() for host in spec.hosts}
        self._window_number = -1
        self._calls_in_window = 0
        self._cold_since_s: float | None = None
        self._cold_arrivals_s: deque[float] = deque()  # times of calls and probes while it is cold
        self._key_effect_s: dict[str, float] = {}  # when a message with this key last took effect

    def capacity_share(self, now_s: float) -> float:
        """The share of its capacity that is available now, which grows linearly after an outage."""
        if self._cold_since_s is None:
            return 1.0
        progress = (now_s - self._cold_since_s) / self.spec.warm_s
        if progress >= 1.0:
            self._cold_since_s = None
            self._cold_arrivals_s.clear()
            return 1.0
        return self.spec.cold_from + (1.0 - self.spec.cold_from) * max(0.0, progress)

    def start_warmup(self, now_s: float) -> None:
        """Make the destination cold: an outage ends now."""
        self._cold_since_s = now_s
        self._cold_arrivals_s.clear()

    def record_arrival(self, now_s: float) -> bool:
        """Count a call or probe; return whether it overloads a cold destination, which then collapses."""
        share = self.capacity_share(now_s)
        if share >= 1.0:
            return False
        self._cold_arrivals_s.append(now_s)
        while self._cold_arrivals_s and self._cold_arrivals_s[0] < now_s - self.spec.fall_s:
            self._cold_arrivals_s.popleft()
        max_arrivals = (
            self.spec.fall_multiple * share * self.spec.warm_capacity_per_s * self.spec.fall_s
            + self.spec.cold_slack_calls
        )
        return len(self._cold_arrivals_s) > max_arrivals

    def _refuse_while_shut(self, now_s: float, host: str) -> ErrorReply | None:
        """Return the refusal of a call to an endpoint that is shut, with the time until it opens again."""
        left_s = self.faults_by_host[host].shut_until_s - now_s
        if left_s <= 0:
            return None
        return ErrorReply(429, math.ceil(left_s * 1000)) if self.spec.tells_wait else ErrorReply(503)

    def _check_rate_limit(self, now_s: float) -> ErrorReply | None:
        """Count a call in the current window; return a refusal when it is above the limit."""
        if not self.limit_per_s:
            return None
        window_s = self.spec.window_ms / 1000
        window_number = int(now_s / window_s)
        if window_number != self._window_number:
            self._window_number, self._calls_in_window = window_number, 0
        max_calls = max(1.0, self.limit_per_s * window_s * self.capacity_share(now_s))
        if self._calls_in_window + 1 > max_calls:
            self._calls_in_window += self.spec.refused_count
            left_ms = int(((window_number + 1) * window_s - now_s) * 1000) + 1
            return ErrorReply(429, left_ms) if self.spec.tells_wait else ErrorReply(503)
        self._calls_in_window += 1
        return None

    def admit(
        self, now_s: float, host: str, call_number: int, work_s: float
    ) -> ErrorReply | ScheduledCall | None:
        """Take a new call; return a refusal, the call if it gets a slot at once, or None if it is queued."""
        if (refusal := self._refuse_while_shut(now_s, host)) is not None:
            return refusal
        if (refusal := self._check_rate_limit(now_s)) is not None:
            return refusal
        calls = self.calls_by_host[host]
        scheduled = ScheduledCall(
            call_number, work_s * self.faults_by_host[host].slowdown / self.capacity_share(now_s)
        )
        if len(calls.in_service) < self.spec.slots:
            calls.in_service.add(call_number)
            return scheduled
        if len(calls.waiting) >= self.spec.queue:
            return ErrorReply(503)
        calls.waiting.append(scheduled)
        return None

    def release(self, host: str, call_number: int) -> list[ScheduledCall]:
        """Remove a call that was answered or whose connection ended; return the calls that get a slot now."""
        calls = self.calls_by_host[host]
        calls.in_service.discard(call_number)
        calls.waiting = deque(waiting for waiting in calls.waiting if waiting.call_number != call_number)
        started = []
        while calls.waiting and len(calls.in_service) < self.spec.slots:
            started.append(calls.waiting.popleft())
            calls.in_service.add(started[-1].call_number)
        return started

    def record_effect(self, now_s: float, key: str) -> bool:
        """Remember a message's key; return whether the message takes effect.

        A repeat of a key within ``key_window_s`` takes none. A message without a key always does.
        """
        if not key:
            return True
        last_effect_s = self._key_effect_s.get(key)
        if last_effect_s is not None and now_s - last_effect_s <= self.spec.key_window_s:
            return False
        self._key_effect_s[key] = now_s
        while len(self._key_effect_s) > MAX_REMEMBERED_KEYS:
            del self._key_effect_s[next(iter(self._key_effect_s))]
        return True


def parse_batch(body: bytes) -> list[tuple[str, str, bytes]]:
    """The id, key and body of each message of a batch.

    Raises ``BadHttpError`` when the batch is malformed, is empty, or holds an id twice.
    """
    messages, rest = list[tuple[str, str, bytes]](), body
    while rest:
        line, _, rest = rest.partition(b"\r\n")
        try:
            ref, key, size = line.decode("ascii").split(" ")
            end = int(size)
        except ValueError:
            raise http.BadHttpError("a line of the batch is not: id, key or '-', size in bytes") from None
        if end < 0 or rest[end : end + 2] != b"\r\n":
            raise http.BadHttpError("a message of the batch has not the size that its line states")
        messages.append((ref, "" if key == "-" else key, rest[:end]))
        rest = rest[end + 2 :]
    if not messages or len({ref for ref, _, _ in messages}) < len(messages):
        raise http.BadHttpError("the batch is empty or holds a message id twice")
    return messages


@dataclass(frozen=True, slots=True)
class Caller:
    """Who calls: the relay's name, the name of its connection, and where answers are written."""

    relay: str
    conn: str
    writer: asyncio.StreamWriter


class Endpoint:
    """One endpoint: its listening socket, and the calls that it serves."""

    def __init__(
        self, destination: DestinationModel, host: str, *, address: str, sink: Sink, clock: Clock, seed: int
    ) -> None:
        self.destination, self.host = destination, host
        self._sink, self._clock = sink, clock
        self._rng = np.random.default_rng(seed)
        self.listener = http.Listener(address, self._serve_connection)
        # By call number, of calls that waited in the queue: set once there is a slot, and the work then due.
        self._start_events: dict[int, asyncio.Event] = {}
        self._dequeued_work_s: dict[int, float] = {}
        self._last_call_number = 0
        self._tasks: set[asyncio.Task[None]] = set()
        # Parameters of the lognormal distribution with the mean ``work_ms`` and the variation ``cv``.
        log_variance = float(np.log1p(destination.spec.cv**2))
        self._log_mean = float(np.log(destination.spec.work_ms / 1000) - log_variance / 2)
        self._log_deviation = float(np.sqrt(log_variance))

    async def start(self) -> None:
        """Listen for connections; after ``go_down``, ``come_back`` does so."""
        await self.listener.start()

    def go_down(self) -> None:
        """Begin an outage: reset all connections and refuse new ones."""
        self.listener.stop()
        self._sink(Partner(self._clock.now(), self.host, "down", self.destination.spec.warm_capacity_per_s))

    async def come_back(self) -> None:
        """End an outage: the destination is cold, and the endpoint listens again."""
        self._start_warmup()
        await self.listener.start()

    def shut(self, until_s: float) -> None:
        """Begin an outage in which calls are refused with the time to wait until ``until_s``."""
        self.destination.faults_by_host[self.host].shut_until_s = until_s
        self._sink(Partner(self._clock.now(), self.host, "down", self.destination.spec.warm_capacity_per_s))

    def reopen(self) -> None:
        """End such an outage: the destination is cold."""
        self.destination.faults_by_host[self.host].shut_until_s = 0.0
        self._start_warmup()

    def _start_warmup(self) -> None:
        now_s = self._clock.now()
        self.destination.start_warmup(now_s)
        share = self.destination.capacity_share(now_s)
        self._sink(Partner(now_s, self.host, "cold", self.destination.spec.warm_capacity_per_s, share))

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        caller = Caller(*self._clock.caller(writer.get_extra_info("peername")), writer)
        over_connection_limit = len(self.listener.writers) > self.destination.spec.connections
        while True:
            try:
                async with asyncio.timeout(self.destination.spec.keepalive_s):
                    request = await http.read_request(reader)
            except TimeoutError:
                return
            if request is None:
                return
            if over_connection_limit:
                self._write_reply(caller, request_refs(request), ErrorReply(503), {"Connection": "close"})
                return
            if request.method == "GET":
                self._serve_probe(caller, request)
            elif not await self._serve_call(reader, caller, request):
                return

    def _serve_probe(self, caller: Caller, request: http.Request) -> None:
        now_s = self._clock.now()
        status = 200 if request.target in ("/alive", "/metrics/load") else 404
        if self.destination.record_arrival(now_s):
            self._collapse()
            return
        caller.writer.write(
            http.encode_response(status, self._pressure_report().encode() if status == 200 else b"")
        )
        self._sink(Probed(now_s, caller.relay, self.host, status))

    def _pressure_report(self) -> str:
        """The value of ``X-Pressure``: x0 is the share of free slots, x1 the present limit in calls per s."""
        free_share = (
            1.0 - len(self.destination.calls_by_host[self.host].in_service) / self.destination.spec.slots
        )
        return (
            f"x0={free_share:.3f},"
            f"x1={self.destination.limit_per_s * self.destination.capacity_share(self._clock.now()):.3f}"
        )

    def _collapse(self) -> None:
        """Take the endpoint of an overloaded cold destination down for ``fallen_s``; it comes back cold."""
        self._sink(Partner(self._clock.now(), self.host, "fallen", self.destination.spec.warm_capacity_per_s))
        self.listener.stop()
        task = asyncio.get_running_loop().create_task(self._come_back_later())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _come_back_later(self) -> None:
        await asyncio.sleep(self.destination.spec.fallen_s)
        await self.come_back()

    async def _serve_call(self, reader: asyncio.StreamReader, caller: Caller, request: http.Request) -> bool:
        """Serve one call from its last byte to its answer; return whether the connection stays open."""
        now_s = self._clock.now()
        first_byte_s = now_s - (asyncio.get_running_loop().time() - request.first_byte_s)
        try:
            messages = parse_call_messages(request)
        except http.BadHttpError:
            caller.writer.write(http.encode_response(400))
            return False
        refs = [ref for ref, _, _ in messages]
        limit_s = parse_time_limit_s(request.headers.get("x-remaining", ""))
        self._sink(Call(now_s, caller.conn, caller.relay, self.host, refs, first_byte_s, limit_s))
        if len(messages) > self.destination.spec.batch:
            self._write_reply(caller, refs, ErrorReply(413))
            return True
        if self.destination.record_arrival(now_s):
            self._collapse()
            return False
        self._last_call_number += 1
        call_number, spec = self._last_call_number, self.destination.spec
        work_s = float(self._rng.lognormal(self._log_mean, self._log_deviation)) * (
            1 + spec.item_cost * (len(messages) - 1)
        )
        fails = self._rng.random() < max(
            spec.error_share, self.destination.faults_by_host[self.host].failure_share
        )
        # Half of the calls that are answered with 500 have taken effect all the same.
        runs = not fails or self._rng.random() < 0.5
        admitted = self.destination.admit(now_s, self.host, call_number, work_s)
        if isinstance(admitted, ErrorReply):
            self._write_reply(caller, refs, admitted)
            return True
        peer_end = asyncio.ensure_future(wait_for_peer_end(reader))
        try:
            if not await self._wait_until_served(call_number, admitted, peer_end):
                return False
            if runs:
                done_s = self._clock.now()
                for ref, key, _ in messages:
                    if self.destination.record_effect(done_s, key):
                        self._sink(Ran(done_s, ref, self.host))
            self._write_reply(caller, refs, ErrorReply(500) if fails else None)
        finally:
            peer_end.cancel()
            for started in self.destination.release(self.host, call_number):
                self._start_events.setdefault(started.call_number, asyncio.Event()).set()
                self._dequeued_work_s[started.call_number] = started.work_s
        return True

    async def _wait_until_served(
        self, call_number: int, admitted: ScheduledCall | None, peer_end: asyncio.Future[None]
    ) -> bool:
        """Wait while the call is queued and served; return False when the peer ended the connection first."""
        work = asyncio.ensure_future(self._queue_and_work(call_number, admitted))
        try:
            await asyncio.wait({work, peer_end}, return_when=asyncio.FIRST_COMPLETED)
            return work.done()
        finally:
            work.cancel()
            self._start_events.pop(call_number, None)
            self._dequeued_work_s.pop(call_number, None)

    async def _queue_and_work(self, call_number: int, admitted: ScheduledCall | None) -> None:
        if admitted is None:
            await self._start_events.setdefault(call_number, asyncio.Event()).wait()
            work_s = self._dequeued_work_s[call_number]
        else:
            work_s = admitted.work_s
        hang_share = self.destination.faults_by_host[self.host].hang_share
        if hang_share >= 1 or (hang_share and self._rng.random() < hang_share):
            await asyncio.get_running_loop().create_future()  # never completes: the call hangs
        await asyncio.sleep(work_s)

    def _write_reply(
        self,
        caller: Caller,
        refs: list[str],
        error: ErrorReply | None,
        extra_headers: dict[str, str] | None = None,
    ) -> None:
        """Write the answer to a call, 200 without ``error``, and record it."""
        headers = {"X-Pressure": self._pressure_report(), **(extra_headers or {})}
        if error is None:
            status, verdict, wait_ms = 200, "delivered", 0
        else:
            status, wait_ms = error.status, error.wait_ms
            verdict = "failed" if status == 500 else "refused"
        if wait_ms:
            headers["X-Retry-In-Ms"] = str(wait_ms)
        lists_verdicts = status == 200 and len(refs) > 1
        body = "".join(f"{ref} {verdict}\r\n" for ref in refs).encode() if lists_verdicts else b""
        # Recorded before the bytes can be read: otherwise a fast relay would seem to act before the answer.
        now_s = self._clock.now()
        verdicts = [verdict] * len(refs)
        self._sink(Reply(now_s, caller.conn, caller.relay, self.host, status, refs, verdicts, wait_ms))
        endless_share = self.destination.faults_by_host[self.host].endless_share
        if status == 200 and len(refs) == 1 and endless_share and self._rng.random() < endless_share:
            caller.writer.write(ENDLESS_ANSWER)
        else:
            caller.writer.write(http.encode_response(status, body, headers))

    def stop(self) -> None:
        """Close the socket and all connections for good."""
        for task in self._tasks:
            task.cancel()
        self.listener.stop()


class Clock:
    """The run's clock, which also names callers by their address.

    Names are addresses here; the lab's subclass gives the relays' names.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.start_s = self._loop.time()  # on the machine's monotonic clock

    def now(self) -> float:
        """Seconds since the run's start."""
        return self._loop.time() - self.start_s

    def restart(self) -> None:
        """Let the run start now; what was recorded before then has negative times."""
        self.start_s = self._loop.time()  # on the machine's monotonic clock

    def caller(self, peer: tuple[str, int]) -> tuple[str, str]:
        """The name of the relay that calls from this address and port, and a name for the connection."""
        return peer[0], f"{peer[0]}:{peer[1]}"


def parse_time_limit_s(text: str) -> float:
    """The seconds in a value of ``X-Remaining``, how long a relay waits for the answer.

    The value is an integer with ``m`` for milliseconds or ``u`` for microseconds; anything else gives 0.
    """
    units_per_s = {"m": 1e3, "u": 1e6}
    return (
        int(text[:-1]) / units_per_s[text[-1]] if text[:-1].isdecimal() and text[-1] in units_per_s else 0.0
    )


def parse_call_messages(request: http.Request) -> list[tuple[str, str, bytes]]:
    """The id, key and body of each message of a call; raises ``BadHttpError`` for any other request."""
    if request.method == "POST" and request.target == SINGLE_PATH and "x-txn" in request.headers:
        headers = request.headers
        return [(headers["x-txn"], headers.get("idempotency-key", ""), request.body)]
    if request.method == "POST" and request.target == BATCH_PATH:
        return parse_batch(request.body)
    raise http.BadHttpError(f"not a call: {request.method} {request.target}")


def request_refs(request: http.Request) -> list[str]:
    """The ids of the messages in a request, none when it is not a well-formed call."""
    try:
        return [ref for ref, _, _ in parse_call_messages(request)]
    except http.BadHttpError:
        return []


async def wait_for_peer_end(reader: asyncio.StreamReader) -> None:
    """Wait until the peer stops sending or the connection breaks, without consuming what it sends."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)
