"""A call to an endpoint: the messages that share it, what is known about it, and the bytes of its request."""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import dataclass, field

from decisions.interface import Verdict
from relay.http import Connection, Headers

SINGLE_PATH = "/hook"  # for a call that carries one message
BATCH_PATH = "/hook/batch"  # for a call that carries several


@dataclass(slots=True, eq=False)
class Part:
    """One message's attempt within a call."""

    id: str
    attempt: int
    key: str
    body: bytes
    limit_us: int  # how long this attempt may take
    time_left_us: int  # until the message's deadline
    # Monotonic time by which the endpoint must have the whole request: the end of its key's window.
    send_by_s: float = math.inf
    overdue: bool = False  # whether limit_us has passed
    settled: bool = False  # whether the outcome has been reported
    timer: asyncio.TimerHandle | None = None


@dataclass(frozen=True, slots=True)
class PartOutcome:
    """How a part ended, and what the endpoint reported along with it."""

    verdict: Verdict
    complete: bool = False
    wait_us: int = 0
    load_report: dict[str, float] = field(default_factory=dict)
    connection_limit_reached: bool = False  # the endpoint answered that it accepts no more connections


@dataclass(slots=True, eq=False)
class Call:
    """One outgoing call: an endpoint's host and the parts that share the call."""

    host: str
    parts: list[Part]
    sent_at_s: float  # monotonic
    connection: Connection | None = None
    task: asyncio.Task[None] | None = None
    # Fires when the first of the messages may no longer begin.
    window_timer: asyncio.TimerHandle | None = None
    request_parts: list[Part] = field(default_factory=list)  # what the request carries, once it is composed
    connection_idle_ms: int | None = None  # how long the connection was idle before the call; None: it is new

    @property
    def connection_description(self) -> str:
        """The connection's local port and age in words, for the log."""
        if self.connection is None:
            return "none"
        age = "new" if self.connection_idle_ms is None else f"{self.connection_idle_ms} ms idle"
        return f"from port {self.connection.local_port}, {age}"

    @property
    def fully_written(self) -> bool:
        """Whether the last byte of the request has been sent, after which the endpoint may have begun."""
        return (
            self.connection is not None
            and self.connection.request_begun
            and self.connection.unsent_bytes == 0
        )

    @property
    def request_fixed(self) -> bool:
        """Whether the request is composed: its messages can only be written, or given up, all together."""
        return bool(self.request_parts)

    @property
    def known_delivered(self) -> bool:
        """Whether its only message is known to be delivered although no complete answer could be read."""
        return (
            len(self.request_parts) == 1
            and self.connection is not None
            and self.connection.has_ok_status_line
        )

    @property
    def open_parts(self) -> list[Part]:
        """The parts that have no outcome yet."""
        return [part for part in self.parts if not part.settled]

    @property
    def window_end_s(self) -> float:
        """Monotonic time after which the first of its messages may no longer begin; ``math.inf`` for none.

        A message that was cancelled in the meantime is still in the request, and would begin with it.
        """
        return min((part.send_by_s for part in self.request_parts or self.open_parts), default=math.inf)

    @property
    def attempts_text(self) -> str:
        """The message ids with the numbers of their attempts, for the log."""
        return " ".join(f"{part.id} #{part.attempt}" for part in self.parts)

    @property
    def age_ms(self) -> int:
        """Milliseconds since the call was sent."""
        return int((time.monotonic() - self.sent_at_s) * 1000)


def call_timeout_us(parts: list[Part]) -> int:
    """Return how long to wait for a call: the longest limit of its parts, but past no message's deadline."""
    return min(max(part.limit_us for part in parts), *(part.time_left_us for part in parts))


def build_call_request(connection: Connection, parts: list[Part]) -> bytes:
    """Return the request for one message, or for several that share a call."""
    remaining = ("X-Remaining", f"{max(1, call_timeout_us(parts) // 1000)}m")
    if len(parts) == 1:
        headers: Headers = [("X-Txn", parts[0].id), remaining]
        if parts[0].key:
            headers.append(("Idempotency-Key", parts[0].key))
        return connection.build_request("POST", SINGLE_PATH, headers, parts[0].body, status_suffices=True)
    frames = [
        b"%s %s %d\r\n%s\r\n" % (p.id.encode(), (p.key or "-").encode(), len(p.body), p.body) for p in parts
    ]
    return connection.build_request("POST", BATCH_PATH, [remaining], b"".join(frames))
