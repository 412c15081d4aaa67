"""A call to a host: the messages that travel in it, what is known of it, and its request's bytes."""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import dataclass, field

from decisions.interface import Verdict
from relay.http import Connection, Headers

ONE, MANY = "/hook", "/hook/batch"


@dataclass(slots=True, eq=False)
class Part:
    """One message's attempt within a call."""

    id: str
    attempt: int
    key: str
    body: bytes
    limit_us: int
    left_us: int  # until the message's time is up
    begin_by_s: float = math.inf  # monotonic time by which its last byte has to be out: its key's window
    overdue: bool = False  # its limit has passed
    settled: bool = False
    timer: asyncio.TimerHandle | None = None


@dataclass(frozen=True, slots=True)
class PartOutcome:
    """How a part ended and what the host said beside it."""

    verdict: Verdict
    complete: bool = False
    wait_us: int = 0
    report: dict[str, float] = field(default_factory=dict)
    turned_away: bool = False  # the host answered that it holds no more connections


@dataclass(slots=True, eq=False)
class Call:
    """One call out: a host and the parts that travel together."""

    host: str
    parts: list[Part]
    sent_s: float
    connection: Connection | None = None
    task: asyncio.Task[None] | None = None
    window_timer: asyncio.TimerHandle | None = (
        None  # runs until the first of its messages may no longer begin
    )
    carried: list[Part] = field(default_factory=list)  # what its request carries
    idle_ms: int | None = None  # how long its connection had stood idle; None: it is new
    proved: PartOutcome | None = None  # what the head of its answer tells, while the rest is waited for

    @property
    def connection_was(self) -> str:
        """What its connection was, in words."""
        if self.connection is None:
            return "none"
        age = "new" if self.idle_ms is None else f"{self.idle_ms} ms idle"
        return f"from port {self.connection.own_port}, {age}"

    @property
    def written(self) -> bool:
        """Whether the last byte is out, after which the host may have begun."""
        return self.connection is not None and self.connection.begun and self.connection.unsent == 0

    @property
    def composed(self) -> bool:
        """Whether its request is fixed: what it carries can only be written, or given up, as a whole."""
        return bool(self.carried)

    @property
    def delivered(self) -> bool:
        """Whether its one message is known to be delivered, although no whole answer could be read."""
        return len(self.carried) == 1 and self.connection is not None and self.connection.says_delivered

    @property
    def open(self) -> list[Part]:
        """The parts that have no outcome yet."""
        return [part for part in self.parts if not part.settled]

    @property
    def attempts(self) -> str:
        """Its messages with the numbers of their attempts, for the log."""
        return " ".join(f"{part.id} #{part.attempt}" for part in self.parts)

    @property
    def age_ms(self) -> int:
        """Milliseconds since it was sent."""
        return int((time.monotonic() - self.sent_s) * 1000)


def wait_us_of(parts: list[Part]) -> int:
    """How long a call with these is waited for: to the longest limit, but past no message's time."""
    return min(max(part.limit_us for part in parts), *(part.left_us for part in parts))


def request_of(connection: Connection, parts: list[Part]) -> bytes:
    """The request for one message, or for several that share a call."""
    left = ("X-Remaining", f"{max(1, wait_us_of(parts) // 1000)}m")
    if len(parts) == 1:
        headers: Headers = [("X-Txn", parts[0].id), left]
        if parts[0].key:
            headers.append(("Idempotency-Key", parts[0].key))
        return connection.request("POST", ONE, headers, parts[0].body, brief=True)
    frames = [
        b"%s %s %d\r\n%s\r\n" % (p.id.encode(), (p.key or "-").encode(), len(p.body), p.body) for p in parts
    ]
    return connection.request("POST", MANY, [left], b"".join(frames))
