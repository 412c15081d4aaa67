"""Clients: a load drawn from a seed, handed in over RESP2 as the protocol's page says.

``draw`` is pure: the same plan and seed give the same messages. ``Clients`` hands them in, comes again
after refusals and lost connections, each time under a new id, and notes what it heard.
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

ANSWER_TIMEOUT_S = 0.4  # s that a client waits for its answer
CONNECT_TIMEOUT_S = 0.4  # s for a connection to come up
MAX_IDLE_CONNECTIONS = 8  # connections kept for each relay
MIN_TIME_LEFT_S = 0.2  # s of a message's time below which it is not handed in again


class ClassSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A class of messages."""

    name: str
    effect: str  # safe, keyed, unsafe
    aim_s: float
    deadline_s: float
    share: float
    worth: float = 1.0
    late_worth: float = 0.5
    window_s: float = 0.0


class TenantSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A tenant and its part of the load."""

    name: str
    share: float
    quota_per_s: float = 10.0


class LoadSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How messages come."""

    per_s: float = 20.0  # over all relays
    zipf: float = 0.8  # how unevenly destinations are asked for
    uneven: float = 0.3  # deviation of the relays' parts over their mean
    body_bytes: int = 300
    tries: int = 3  # handings-in of one message at most
    again_s: float = 0.7  # mean pause before it is handed in again
    honours: float = 0.8  # share of clients that come again when they are told to
    front_learns_s: float = 2.0  # until the front sends nobody to a relay that died


@dataclass(frozen=True, slots=True)
class Message:
    """A message that somebody wants delivered."""

    number: int
    at_s: float
    cls: str
    dest: int
    tenant: str
    relay_draw: float  # from 0 to 1: where among the relays it comes in
    key: str
    body: bytes
    retry_pauses_s: tuple[float, ...]  # before it is handed in again
    honours_wait: bool


@dataclass(frozen=True, slots=True)
class AcceptedMessage:
    """A message that a relay has, or is about to have."""

    message: Message
    first_due_s: float
    submissions: int
    deadline_s: float


def draw_messages(
    load: LoadSpec,
    classes: list[ClassSpec],
    tenants: list[TenantSpec],
    dests: list[int],
    *,
    seconds: float,
    seed: int,
) -> list[Message]:
    """The messages of a run in order of time: a Poisson process; class, tenant, destination by share."""
    rng = np.random.default_rng([seed, 1])
    count = int(rng.poisson(load.per_s * seconds))
    times = np.sort(rng.uniform(0.0, seconds, count))
    weights = 1.0 / np.arange(1, len(dests) + 1) ** load.zipf
    some = rng.choice(len(dests), count, p=weights / weights.sum())
    shares = np.array([cls.share for cls in classes])
    kinds = rng.choice(len(classes), count, p=shares / shares.sum())
    parts = np.array([tenant.share for tenant in tenants])
    owners = rng.choice(len(tenants), count, p=parts / parts.sum())
    places = rng.uniform(0.0, 1.0, count)
    pauses = rng.exponential(load.again_s, (count, max(1, load.tries)))
    honours = rng.uniform(0.0, 1.0, count) < load.honours
    sizes = np.maximum(1, rng.exponential(load.body_bytes, count)).astype(int)
    found = []
    for at in range(count):
        cls = classes[int(kinds[at])]
        key = f"k{seed:x}-{at}" if cls.effect == "keyed" else ""
        found.append(
            Message(
                at, float(times[at]), cls.name, dests[int(some[at])], tenants[int(owners[at])].name,
                float(places[at]), key, b"x" * min(60_000, int(sizes[at])),
                tuple(0.05 + float(pause) for pause in pauses[at]), bool(honours[at]),
            )
        )  # fmt: skip
    return found


def draw_relay_shares(count: int, uneven: float, seed: int) -> list[float]:
    """The relays' parts of the load, which come to 1."""
    drawn = np.random.default_rng([seed, 2]).gamma(1 / max(uneven, 1e-3) ** 2, 1.0, count)
    return [float(part) for part in drawn / drawn.sum()]


class LoadBalancer:
    """Deals messages out: to the relay of their place, or past those that it knows as gone."""

    def __init__(self, relays: dict[str, float], learns_s: float) -> None:
        self._share_by_relay, self._detection_delay_s = relays, learns_s
        self._excluded_from_s: dict[str, float] = {}

    def mark_lost(self, relay: str, now_s: float) -> None:
        """A relay has died; noticed some seconds later."""
        self._excluded_from_s[relay] = now_s + self._detection_delay_s

    def mark_ready(self, relay: str) -> None:
        """A relay answers again."""
        self._excluded_from_s.pop(relay, None)

    def choose_relay(self, place: float, now_s: float) -> str:
        """Where a message goes; with nobody left, to where it would have gone."""
        gone = {name for name, since_s in self._excluded_from_s.items() if since_s <= now_s}
        known = {name: part for name, part in self._share_by_relay.items() if name not in gone}
        parts = known or self._share_by_relay
        at, rest = list(parts.items()), place * sum(parts.values())
        for name, part in at:
            rest -= part
            if rest <= 0:
                return name
        return at[-1][0]


@dataclass(slots=True)
class Connection:
    """A client's connection to a relay."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def close(self) -> None:
        """End it."""
        self.writer.close()

    @property
    def is_usable(self) -> bool:
        """Whether the relay has not ended it."""
        return not self.reader.at_eof() and not self.writer.is_closing() and self.reader.exception() is None


class Clients:
    """Everybody who hands messages in."""

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
        self._load, self._balancer, self._relay_address, self._sink, self._clock = (
            load,
            front,
            reach,
            sink,
            clock,
        )
        self._classes = {cls.name: cls for cls in classes}
        self._ref_prefix = prefix
        self._idle_connections: dict[str, deque[Connection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_ref_number = 0
        self.accepted: dict[
            str, AcceptedMessage
        ] = {}  # by ref: what a relay took on and nobody has seen ended

    async def submit_all(self, messages: list[Message]) -> None:
        """Hand every message in at its time."""
        for message in messages:
            pause_s = message.at_s - self._clock.now()
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            self._start_submitting(message, self._clock.now(), 0, 0.0)

    def message_ended(self, ref: str, result: str, wait_ms: int = 0) -> None:
        """A message that was taken on is ``delivered``, ``dead`` or ``bounced``, which may come again."""
        taken = self.accepted.pop(ref, None)
        if taken is None or result != "bounced" or taken.submissions >= self._load.tries:
            return
        pause_s = self._retry_pause_s(taken.message, taken.submissions - 1, wait_ms)
        self._start_submitting(taken.message, taken.first_due_s, taken.submissions, pause_s)

    def _start_submitting(self, message: Message, first_s: float, tries: int, pause_s: float) -> None:
        task = asyncio.get_running_loop().create_task(
            self._submit_with_retries(message, first_s, tries, pause_s)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @staticmethod
    def _retry_pause_s(message: Message, tries: int, wait_ms: int) -> float:
        told_s = wait_ms / 1000 if message.honours_wait else 0.0
        return max(message.retry_pauses_s[tries], told_s)

    async def _submit_with_retries(
        self, message: Message, first_s: float, tries: int, pause_s: float
    ) -> None:
        """One message until it is taken, given up, or out of tries."""
        deadline_s = first_s + self._classes[message.cls].deadline_s
        while tries < self._load.tries:
            await asyncio.sleep(pause_s)
            if deadline_s - self._clock.now() < MIN_TIME_LEFT_S:
                return
            answer, wait_ms = await self._submit_once(message, first_s, deadline_s, tries + 1)
            if answer in ("ok", "error"):
                return
            pause_s = self._retry_pause_s(message, tries, wait_ms)
            tries += 1

    async def _submit_once(
        self, message: Message, first_s: float, deadline_s: float, tries: int
    ) -> tuple[str, int]:
        """One handing-in, on a kept connection or a new one; its answer and wait."""
        relay = self._balancer.choose_relay(message.relay_draw, self._clock.now())
        connection = await self._acquire_connection(relay)
        if connection is None:
            self._sink(Unsent(self._clock.now(), message.number, relay, message.cls, "no connection"))
            return "unsent", 0
        left_s = int((deadline_s - self._clock.now()) * 1000) / 1000
        self._last_ref_number += 1
        ref = f"{self._ref_prefix}{self._last_ref_number:08x}"
        names = f"c={message.cls},t={message.tenant},d={round(left_s * 1000)},dest={message.dest}"
        names += f",k={message.key}" if message.key else ""
        words = (b"ENQUEUE", b"0" * 16, ref.encode(), names.encode(), message.body)
        connection.writer.write(encode_command(*words))
        self._sink(
            Handed(
                self._clock.now(), ref, message.number, relay, message.cls, message.dest, message.tenant,
                left_s, first_s, message.key,
            )
        )  # fmt: skip
        self.accepted[ref] = AcceptedMessage(message, first_s, tries, deadline_s)
        answer, wait_ms = "lab", 0
        try:
            answer, wait_ms = await self._read_answer(connection, relay)
        finally:
            if answer != "ok":
                self.accepted.pop(ref, None)
            self._sink(Heard(self._clock.now(), ref, answer, wait_ms))
        return answer, wait_ms

    async def _read_answer(self, connection: Connection, relay: str) -> tuple[str, int]:
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
        """A kept connection or a new one; None where none comes up."""
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
        """Whether messages are still being handed in."""
        return bool(self._tasks)

    def stop(self) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        for idle in self._idle_connections.values():
            for connection in idle:
                connection.close()
