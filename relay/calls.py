"""A call to a host: the messages that travel in it, what is known of it, and its request's bytes."""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import dataclass, field

from decisions.interface import Verdict
from relay.http import Connection, Headers

SINGLE_PATH, BATCH_PATH = "/hook", "/hook/batch"


@dataclass(slots=True, eq=False)
class Part:
    """One message's attempt within a call."""

    id: str
    attempt: int
    key: str
    body: bytes
    limit_us: int
    time_left_us: int  # until the message's time is up
    send_by_s: float = math.inf  # monotonic time by which its last byte has to be out: its key's window
    overdue: bool = False  # its limit has passed
    settled: bool = False
    timer: asyncio.TimerHandle | None = None


@dataclass(frozen=True, slots=True)
class PartOutcome:
    """How a part ended and what the host said beside it."""

    verdict: Verdict
    complete: bool = False
    wait_us: int = 0
    load_report: dict[str, float] = field(default_factory=dict)
    connection_limit_reached: bool = False  # the host answered that it holds no more connections


@dataclass(slots=True, eq=False)
class Call:
    """One call out: a host and the parts that travel together."""

    host: str
    parts: list[Part]
    sent_at_s: float
    connection: Connection | None = None
    task: asyncio.Task[None] | None = None
    window_timer: asyncio.TimerHandle | None = (
        None  # runs until the first of its messages may no longer begin
    )
    request_parts: list[Part] = field(default_factory=list)  # what its request carries
    connection_idle_ms: int | None = None  # how long its connection had stood idle; None: it is new
    head_outcome: PartOutcome | None = None  # what the head of its answer tells, while the rest is waited for

    @property
    def connection_description(self) -> str:
        """What its connection was, in words."""
        if self.connection is None:
            return "none"
        age = "new" if self.connection_idle_ms is None else f"{self.connection_idle_ms} ms idle"
        return f"from port {self.connection.local_port}, {age}"

    @property
    def fully_written(self) -> bool:
        """Whether the last byte is out, after which the host may have begun."""
        return (
            self.connection is not None
            and self.connection.request_begun
            and self.connection.unsent_bytes == 0
        )

    @property
    def request_fixed(self) -> bool:
        """Whether its request is fixed: what it carries can only be written, or given up, as a whole."""
        return bool(self.request_parts)

    @property
    def known_delivered(self) -> bool:
        """Whether its one message is known to be delivered, although no whole answer could be read."""
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
    def attempts_text(self) -> str:
        """Its messages with the numbers of their attempts, for the log."""
        return " ".join(f"{part.id} #{part.attempt}" for part in self.parts)

    @property
    def age_ms(self) -> int:
        """Milliseconds since it was sent."""
        return int((time.monotonic() - self.sent_at_s) * 1000)


def call_timeout_us(parts: list[Part]) -> int:
    """How long a call with these is waited for: to the longest limit, but past no message's time."""
    return min(max(part.limit_us for part in parts), *(part.time_left_us for part in parts))


def build_call_request(connection: Connection, parts: list[Part]) -> bytes:
    """The request for one message, or for several that share a call."""
    left = ("X-Remaining", f"{max(1, call_timeout_us(parts) // 1000)}m")
    if len(parts) == 1:
        headers: Headers = [("X-Txn", parts[0].id), left]
        if parts[0].key:
            headers.append(("Idempotency-Key", parts[0].key))
        return connection.build_request("POST", SINGLE_PATH, headers, parts[0].body, status_suffices=True)
    frames = [
        b"%s %s %d\r\n%s\r\n" % (p.id.encode(), (p.key or "-").encode(), len(p.body), p.body) for p in parts
    ]
    return connection.build_request("POST", BATCH_PATH, [left], b"".join(frames))
