"""Records of a run's history: what stand-ins, links and faults saw, one JSON object a line, on one clock.

``t`` is in seconds since the run's start, negative before it, on the monotonic clock of the process that runs
all stand-ins. A history is a file of such lines. Checkers read nothing else.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec


class HistoryError(ValueError):
    """A history cannot be read; the text names the file, and the line where there is one."""


class Record(msgspec.Struct, frozen=True, tag_field="what", omit_defaults=True):
    """Something that was seen at the time ``t``; the field ``what`` of its line is the record's tag."""

    t: float


class Head(Record, frozen=True, tag="head"):
    """The first line: the scenario of the run. ``plan`` holds it with all defaults filled in."""

    scenario: str
    seed: int
    relays: list[str]
    endpoints: dict[str, int]  # host to number of its destination
    plan: dict[str, Any]


class Handed(Record, frozen=True, tag="handed"):
    """A client has written the last byte of a request that submits a message under the id ``ref``.

    ``first`` is when the message was first due to be submitted.
    """

    ref: str
    message: int  # number of the message, the same for all its submissions
    relay: str
    cls: str
    dest: int
    tenant: str
    left_s: float  # from ``t`` until its deadline
    first: float
    key: str = ""


class Heard(Record, frozen=True, tag="heard"):
    """How a submission ended for its client: ``ok``, ``busy``, ``error``, or without an answer.

    Without an answer it is ``patience`` (the client's time-out), ``closed`` (the connection ended) or ``lab``
    (the run ended).
    """

    ref: str
    answer: str
    wait_ms: int = 0  # that the relay told the client to wait; 0: not stated


class Unsent(Record, frozen=True, tag="unsent"):
    """A client could not submit a message for want of a connection; the relay never had the message."""

    message: int
    relay: str
    cls: str
    why: str


class Call(Record, frozen=True, tag="call"):
    """The last byte of a call has reached an endpoint; ``begun`` is when its first byte did.

    ``limit_s`` is how long its relay waits for the answer by the call's header, 0 if it does not state it.
    """

    conn: str
    relay: str
    host: str
    refs: list[str]
    begun: float
    limit_s: float = 0.0


class Ran(Record, frozen=True, tag="ran"):
    """A message takes effect at an endpoint; a repeat within its key's window has no effect and no record."""

    ref: str
    host: str


class Reply(Record, frozen=True, tag="reply"):
    """An endpoint has written its answer to a call; ``ends`` are the verdicts on the messages of ``refs``."""

    conn: str
    relay: str
    host: str
    status: int
    refs: list[str]
    ends: list[str]  # delivered, failed (may have run), refused (never ran)
    wait_ms: int = 0


class Opened(Record, frozen=True, tag="opened"):
    """A relay's connection to an endpoint is open; an earlier connection may have had the same name."""

    conn: str


class Gone(Record, frozen=True, tag="gone"):
    """The relay has ended its connection to an endpoint."""

    conn: str


class Probed(Record, frozen=True, tag="probed"):
    """A relay has probed an endpoint: a request without a message."""

    relay: str
    host: str
    status: int


class Told(Record, frozen=True, tag="told"):
    """A relay has been sent the list, or the entries that changed in it, as health by host."""

    relay: str
    seq: int
    hosts: dict[str, str]
    whole: bool = False  # the whole list


class Changed(Record, frozen=True, tag="changed"):
    """Entries of the platform's list have changed; ``hosts`` is health by host."""

    seq: int
    hosts: dict[str, str]


class Noticed(Record, frozen=True, tag="noticed"):
    """The platform has got a relay's notice that ends a message: ``dead`` or ``bounced``."""

    relay: str
    ref: str
    result: str
    wait_ms: int = 0


class Partner(Record, frozen=True, tag="partner"):
    """An endpoint's state: ``down``, ``cold`` (back with ``share`` of its capacity), ``fallen``, ``warm``."""

    host: str
    state: str
    per_s: float = 0.0  # messages per second that its whole destination can serve when warm
    share: float = 1.0


class Fault(Record, frozen=True, tag="fault"):
    """A fault begins or ends; both records have the same ``number``."""

    number: int
    kind: str
    phase: str  # begin, end
    on: list[str]
    note: str = ""
    to: list[str] = []  # of faults of links: what is at their other ends; empty: all


class Process(Record, frozen=True, tag="process"):
    """A process of the fleet: ``start``, ``ready``, ``terminate`` (it was sent SIGTERM) or ``exit``.

    ``asked`` is true for an exit that a fault or the run's end caused.
    """

    name: str
    life: int
    event: str
    code: int = 0
    asked: bool = True


class Acted(Record, frozen=True, tag="acted"):
    """A request under a lease has reached a resource, by the resource's own record."""

    resource: str  # fenced, unfenced
    lease: str
    holder: str
    token: int
    admitted: bool


class Viewed(Record, frozen=True, tag="viewed"):
    """A member's state for another member has changed, by the record of the former."""

    member: str
    life: int  # the member's own count of its lives
    name: str
    state: str  # alive, suspect, failed, left
    by: str = ""


class Measured(Record, frozen=True, tag="measured"):
    """Figures that a program of the run has measured itself; their names contain the unit."""

    name: str
    figures: dict[str, float]


class Phase(Record, frozen=True, tag="phase"):
    """A phase of the run begins: ``load``, ``rest`` (no new messages are submitted) or ``over``."""

    name: str


class Lag(Record, frozen=True, tag="lag"):
    """The lab's event loop was late for something that was due at a known time."""

    late_s: float


class Used(Record, frozen=True, tag="used"):
    """Total processor time and peak memory of a process; the name ``lab`` is the lab itself."""

    name: str
    cpu_s: float
    peak_mb: float


AnyRecord = (
    Head | Handed | Heard | Unsent | Call | Ran | Reply | Opened | Gone | Probed | Told | Changed | Noticed
    | Partner | Fault | Acted | Viewed | Measured | Process | Phase | Lag | Used
)  # fmt: skip
Sink = Callable[[AnyRecord], None]
_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(AnyRecord)


def encode_line(record: AnyRecord) -> bytes:
    """A record as a line of a history."""
    return _ENCODER.encode(record) + b"\n"


def read_history(path: Path) -> Iterator[AnyRecord]:
    """The records of a history file; raises ``HistoryError`` at the first line that is not one."""
    try:
        with path.open("rb") as lines:
            for number, line in enumerate(lines, 1):
                try:
                    yield _DECODER.decode(line)
                except msgspec.DecodeError as error:
                    raise HistoryError(f"{path}:{number}: {error}") from error
    except OSError as error:
        raise HistoryError(f"{path}: {error.strerror}") from error
