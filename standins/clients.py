"""Stand-ins for clients: a load drawn from a seed, submitted over RESP2 as the protocol's page describes.

``draw_messages`` is a pure function: the same plan and seed give the same messages. ``Clients`` submits them,
submits them again after refusals and lost connections, each time under a new id, and records the answers.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import numpy as np

from standins.partner import Clock
from standins.records import Handed, Heard, Sink, Unsent
from standins.scripted import encode_command

ANSWER_TIMEOUT_S = 0.4  # a client that has no answer by then closes its connection
CONNECT_TIMEOUT_S = 0.4
MAX_IDLE_CONNECTIONS = 8  # kept open for reuse, for each relay
MIN_TIME_LEFT_S = 0.2  # a message with less time until its deadline is not submitted


class ClassSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A class of messages."""

    name: str
    effect: str  # safe, keyed, unsafe
    aim_s: float
    deadline_s: float
    share: float  # of the load, relative to the other classes' shares
    worth: float = 1.0
    late_worth: float = 0.5
    window_s: float = 0.0


class TenantSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A tenant and its share of the load."""

    name: str
    share: float  # relative to the other tenants' shares
    quota_per_s: float = 10.0


class LoadSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The rate and distribution of messages, and how clients behave."""

    per_s: float = 20.0  # messages per second at all relays together
    zipf: float = 0.8  # exponent of the Zipf distribution of messages over destinations
    uneven: float = 0.3  # coefficient of variation of the relays' shares of the load
    body_bytes: int = 300  # mean size of a body
    tries: int = 3  # most submissions of one message
    again_s: float = 0.7  # mean pause before a message is submitted again
    honours: float = 0.8  # share of clients that wait as long as a relay tells them to
    front_learns_s: float = 2.0  # time until the load balancer stops using a relay that died


@dataclass(frozen=True, slots=True)
class Message:
    """A message that a client wants delivered."""

    number: int
    at_s: float  # when it is first due to be submitted, on the run's clock
    cls: str
    dest: int
    tenant: str
    relay_draw: float  # uniform from 0 to 1; selects the relay in proportion to the relays' shares
    key: str  # idempotency key, empty for none
    body: bytes
    retry_pauses_s: tuple[float, ...]  # before each further submission, at least
    honours_wait: bool  # its client waits as long as a refusal or bounce tells it to


@dataclass(frozen=True, slots=True)
class AcceptedMessage:
    """A message that a relay has accepted, or whose submission is not answered yet."""

    message: Message
    first_due_s: float  # when it was first due to be submitted, on the run's clock
    submissions: int  # so far
    deadline_s: float  # on the run's clock


def draw_messages(
    load: LoadSpec,
    classes: list[ClassSpec],
    tenants: list[TenantSpec],
    dests: list[int],
    *,
    seconds: float,
    seed: int,
) -> list[Message]:
    """The messages of a run of so many seconds, in order of time.

    Arrivals are a Poisson process. Class and tenant are drawn by their shares, the destination by a Zipf
    distribution over ``dests`` in their order.
    """
    rng = np.random.default_rng([seed, 1])
    count = int(rng.poisson(load.per_s * seconds))
    times_s = np.sort(rng.uniform(0.0, seconds, count))
    weights = 1.0 / np.arange(1, len(dests) + 1) ** load.zipf
    dest_indexes = rng.choice(len(dests), count, p=weights / weights.sum())
    class_shares = np.array([cls.share for cls in classes])
    class_indexes = rng.choice(len(classes), count, p=class_shares / class_shares.sum())
    tenant_shares = np.array([tenant.share for tenant in tenants])
    tenant_indexes = rng.choice(len(tenants), count, p=tenant_shares / tenant_shares.sum())
    relay_draws = rng.uniform(0.0, 1.0, count)
    pauses_s = rng.exponential(load.again_s, (count, max(1, load.tries)))
    honours_wait = rng.uniform(0.0, 1.0, count) < load.honours
    sizes = np.maximum(1, rng.exponential(load.body_bytes, count)).astype(int)
    messages = []
    for number in range(count):
        cls = classes[int(class_indexes[number])]
        key = f"k{seed:x}-{number}" if cls.effect == "keyed" else ""
        messages.append(
            Message(
                number, float(times_s[number]), cls.name, dests[int(dest_indexes[number])],
                tenants[int(tenant_indexes[number])].name, float(relay_draws[number]), key,
                b"x" * min(60_000, int(sizes[number])),
                tuple(0.05 + float(pause_s) for pause_s in pauses_s[number]), bool(honours_wait[number]),
            )
        )  # fmt: skip
    return messages


def draw_relay_shares(count: int, uneven: float, seed: int) -> list[float]:
    """The relays' shares of the load, which add up to 1; ``uneven`` is their coefficient of variation."""
    drawn = np.random.default_rng([seed, 2]).gamma(1 / max(uneven, 1e-3) ** 2, 1.0, count)
    return [float(share) for share in drawn / drawn.sum()]


class LoadBalancer:
    """Distributes messages over the relays by their shares, without the relays that it knows to be down."""

    def __init__(self, share_by_relay: dict[str, float], detection_delay_s: float) -> None:
        self._share_by_relay, self._detection_delay_s = share_by_relay, detection_delay_s
        self._excluded_from_s: dict[str, float] = {}  # since when a relay that died is not used

    def mark_lost(self, relay: str, now_s: float) -> None:
        """Note that a relay has died; it is used until ``detection_delay_s`` from now."""
        self._excluded_from_s[relay] = now_s + self._detection_delay_s

    def mark_ready(self, relay: str) -> None:
        """Use a relay again, which answers now."""
        self._excluded_from_s.pop(relay, None)

    def choose_relay(self, relay_draw: float, now_s: float) -> str:
        """The relay for a message; when all are excluded, as if none were."""
        excluded = {name for name, from_s in self._excluded_from_s.items() if from_s <= now_s}
        usable = {name: share for name, share in self._share_by_relay.items() if name not in excluded}
        shares = usable or self._share_by_relay
        pairs, rest = list(shares.items()), relay_draw * sum(shares.values())
        for name, share in pairs:
            rest -= share
            if rest <= 0:
                return name
        return pairs[-1][0]


@dataclass(slots=True)
class Connection:
    """An open connection from a client to a relay."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def close(self) -> None:
        """Close the connection without waiting for it."""
        self.writer.close()

    @property
    def is_usable(self) -> bool:
        """Whether neither side has closed it and it has not failed."""
        return not self.reader.at_eof() and not self.writer.is_closing() and self.reader.exception() is None


class Clients:
    """All clients of a run, which submit its messages and record the answers.

    ``reach`` gives the address for a relay's name. The ids of submissions are ``prefix`` and a number.
    """

    def __init__(
        self,
        load: LoadSpec,
        classes: list[ClassSpec],
        *,
        front: LoadBalancer,
        reach: Callable[[str], tuple[str, int]],
        sink: Sink,
        clock: Clock,
        prefix: str,
    ) -> None:
        self._load = load
        self._balancer = front
        self._relay_address = reach
        self._sink = sink
        self._clock = clock
        self._classes = {cls.name: cls for cls in classes}
        self._ref_prefix = prefix
        self._idle_connections: dict[str, deque[Connection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_ref_number = 0
        # By submission id: accepted by a relay, or not answered yet, and not known to have ended.
        self.accepted: dict[str, AcceptedMessage] = {}

    async def submit_all(self, messages: list[Message]) -> None:
        """Start to submit each message when it is due; returns after the last one was started."""
        for message in messages:
            pause_s = message.at_s - self._clock.now()
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            self._start_submitting(message, self._clock.now(), 0, 0.0)

    def message_ended(self, ref: str, result: str, wait_ms: int = 0) -> None:
        """Note the end of an accepted message: ``delivered``, ``dead`` or ``bounced``.

        A message that bounced is submitted again unless it has used up its submissions.
        """
        accepted = self.accepted.pop(ref, None)
        if accepted is None or result != "bounced" or accepted.submissions >= self._load.tries:
            return
        pause_s = self._retry_pause_s(accepted.message, accepted.submissions - 1, wait_ms)
        self._start_submitting(accepted.message, accepted.first_due_s, accepted.submissions, pause_s)

    def _start_submitting(
        self, message: Message, first_due_s: float, submissions: int, pause_s: float
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._submit_with_retries(message, first_due_s, submissions, pause_s)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @staticmethod
    def _retry_pause_s(message: Message, submissions: int, wait_ms: int) -> float:
        stated_wait_s = wait_ms / 1000 if message.honours_wait else 0.0
        return max(message.retry_pauses_s[submissions], stated_wait_s)

    async def _submit_with_retries(
        self, message: Message, first_due_s: float, submissions: int, pause_s: float
    ) -> None:
        """Submit a message until a relay accepts it or replies with an error.

        It is given up when its deadline is near or its submissions are used up; ``submissions`` counts those
        before.
        """
        deadline_s = first_due_s + self._classes[message.cls].deadline_s
        while submissions < self._load.tries:
            await asyncio.sleep(pause_s)
            if deadline_s - self._clock.now() < MIN_TIME_LEFT_S:
                return
            answer, wait_ms = await self._submit_once(message, first_due_s, deadline_s, submissions + 1)
            if answer in ("ok", "error"):
                return
            pause_s = self._retry_pause_s(message, submissions, wait_ms)
            submissions += 1

    async def _submit_once(
        self, message: Message, first_due_s: float, deadline_s: float, submissions: int
    ) -> tuple[str, int]:
        """Submit a message on an idle or a new connection.

        Returns the answer, as ``Heard`` lists them or ``unsent``, and the wait that a refusal states in ms.
        ``submissions`` includes this one.
        """
        relay = self._balancer.choose_relay(message.relay_draw, self._clock.now())
        connection = await self._acquire_connection(relay)
        if connection is None:
            self._sink(Unsent(self._clock.now(), message.number, relay, message.cls, "no connection"))
            return "unsent", 0
        left_s = int((deadline_s - self._clock.now()) * 1000) / 1000
        self._last_ref_number += 1
        ref = f"{self._ref_prefix}{self._last_ref_number:08x}"
        fields = f"c={message.cls},t={message.tenant},d={round(left_s * 1000)},dest={message.dest}"
        fields += f",k={message.key}" if message.key else ""
        words = (b"ENQUEUE", b"0" * 16, ref.encode(), fields.encode(), message.body)
        connection.writer.write(encode_command(*words))
        self._sink(
            Handed(
                self._clock.now(), ref, message.number, relay, message.cls, message.dest, message.tenant,
                left_s, first_due_s, message.key,
            )
        )  # fmt: skip
        self.accepted[ref] = AcceptedMessage(message, first_due_s, submissions, deadline_s)
        answer, wait_ms = "lab", 0  # what is recorded when the run's end cancels this task
        try:
            answer, wait_ms = await self._read_answer(connection, relay)
        finally:
            if answer != "ok":
                self.accepted.pop(ref, None)
            self._sink(Heard(self._clock.now(), ref, answer, wait_ms))
        return answer, wait_ms

    async def _read_answer(self, connection: Connection, relay: str) -> tuple[str, int]:
        """The answer to a submission and the wait that a refusal states in ms."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                line = await connection.reader.readline()
        except TimeoutError:
            connection.close()
            return "patience", 0
        except (ConnectionError, ValueError, asyncio.LimitOverrunError):
            connection.close()
            return "closed", 0
        if not line.endswith(b"\r\n"):
            connection.close()
            return "closed", 0
        self._return_connection(relay, connection)
        words = line.split()
        if line[:1] in b"+$":
            return "ok", 0
        if words[0] == b"-BUSY":
            return "busy", int(words[1]) if len(words) > 1 and words[1].isdigit() else 0
        return "error", 0

    async def _acquire_connection(self, relay: str) -> Connection | None:
        """An idle connection or a new one; None when none can be opened in time."""
        idle = self._idle_connections.setdefault(relay, deque())
        while idle:
            connection = idle.pop()
            if connection.is_usable:
                return connection
            connection.close()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return Connection(*await asyncio.open_connection(*self._relay_address(relay)))
        except (OSError, TimeoutError):
            return None

    def _return_connection(self, relay: str, connection: Connection) -> None:
        idle = self._idle_connections.setdefault(relay, deque())
        idle.append(connection)
        while len(idle) > MAX_IDLE_CONNECTIONS:
            idle.popleft().close()

    @property
    def is_submitting(self) -> bool:
        """Whether messages are still being submitted or wait to be submitted again."""
        return bool(self._tasks)

    def stop(self) -> None:
        """Cancel all submissions and close the idle connections."""
        for task in self._tasks:
            task.cancel()
        for idle in self._idle_connections.values():
            for connection in idle:
                connection.close()
