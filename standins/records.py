"""What stand-ins, links and faults saw: one typed record a line, all on one clock.

``t`` is seconds since the run's start on the monotonic clock of the process that holds all stand-ins. A
history is a file of such lines; a checker reads nothing else.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec


class HistoryError(ValueError):
    """A history that cannot be read: names the file and the line."""


class Record(msgspec.Struct, frozen=True, tag_field="what", omit_defaults=True):
    """Something that was seen at a time."""

    t: float


class Head(Record, frozen=True, tag="head"):
    """The first line: what was played. ``plan`` is the scenario with all its defaults filled in."""

    scenario: str
    seed: int
    relays: list[str]
    endpoints: dict[str, int]  # each endpoint's destination
    plan: dict[str, Any]


class Handed(Record, frozen=True, tag="handed"):
    """A client has written the last byte of a request; ``first`` is when its message first came up."""

    ref: str
    message: int  # the same for all its handings-in
    relay: str
    cls: str
    dest: int
    tenant: str
    left_s: float  # until its time is up, from ``t``
    first: float
    key: str = ""


class Heard(Record, frozen=True, tag="heard"):
    """How the request ended for its client: ``ok``, ``busy``, ``error``, or with no answer.

    Without one it is ``patience`` (the client left), ``closed`` (the connection ended) or ``lab`` (the
    run was over).
    """

    ref: str
    answer: str
    wait_ms: int = 0


class Unsent(Record, frozen=True, tag="unsent"):
    """A client could not hand a message in: no connection to a relay, which never had it."""

    message: int
    relay: str
    cls: str
    why: str


class Call(Record, frozen=True, tag="call"):
    """The last byte of a call has come to an endpoint; ``begun`` is when its first byte came.

    ``limit_s`` is how long its relay says that it waits (0: not said).
    """

    conn: str
    relay: str
    host: str
    refs: list[str]
    begun: float
    limit_s: float = 0.0


class Ran(Record, frozen=True, tag="ran"):
    """A message takes effect at an endpoint; a repeat within its key's window takes none: no record."""

    ref: str
    host: str


class Reply(Record, frozen=True, tag="reply"):
    """An endpoint has written its answer; ``ends`` tells for each message what it proves."""

    conn: str
    relay: str
    host: str
    status: int
    refs: list[str]
    ends: list[str]  # delivered, failed (may have run), refused (never ran)
    wait_ms: int = 0


class Opened(Record, frozen=True, tag="opened"):
    """A connection of a relay to an endpoint has come up; its name may have been another's before."""

    conn: str


class Gone(Record, frozen=True, tag="gone"):
    """A connection of a relay to an endpoint has ended on the relay's side."""

    conn: str


class Probed(Record, frozen=True, tag="probed"):
    """A relay has asked an endpoint without a message."""

    relay: str
    host: str
    status: int


class Told(Record, frozen=True, tag="told"):
    """The list, or what changed in it, has been written to a relay: host to health."""

    relay: str
    seq: int
    hosts: dict[str, str]
    whole: bool = False


class Changed(Record, frozen=True, tag="changed"):
    """The platform's list has changed: host to health."""

    seq: int
    hosts: dict[str, str]


class Noticed(Record, frozen=True, tag="noticed"):
    """A relay's notice that ends a message: ``dead`` or ``bounced``."""

    relay: str
    ref: str
    result: str
    wait_ms: int = 0


class Partner(Record, frozen=True, tag="partner"):
    """An endpoint's state: ``down``, ``cold`` (back, at ``share`` of its capacity), ``fallen``, ``warm``."""

    host: str
    state: str
    per_s: float = 0.0  # messages a second that its whole destination can serve when warm
    share: float = 1.0


class Fault(Record, frozen=True, tag="fault"):
    """A fault begins or ends; ``number`` joins the two."""

    number: int
    kind: str
    phase: str  # begin, end
    on: list[str]
    note: str = ""
    to: list[str] = []  # links: their other ends; none named: all


class Process(Record, frozen=True, tag="process"):
    """A process of the fleet: ``start``, ``ready``, ``exit`` (``asked``: by a fault or the run's end)."""

    name: str
    life: int
    event: str
    code: int = 0
    asked: bool = True


class Acted(Record, frozen=True, tag="acted"):
    """An act under a lease has come to a resource, by the resource's own record."""

    resource: str  # fenced, unfenced
    lease: str
    holder: str
    token: int
    admitted: bool


class Viewed(Record, frozen=True, tag="viewed"):
    """What a member holds of another has changed, by its own record."""

    member: str
    life: int  # of the member's lives, by its own number
    name: str
    state: str  # alive, suspect, failed, left
    by: str = ""


class Measured(Record, frozen=True, tag="measured"):
    """What a program of the run has measured by itself, by the name of the figure and with its unit in it."""

    name: str
    figures: dict[str, float]


class Phase(Record, frozen=True, tag="phase"):
    """The run itself: ``load`` begins, ``rest`` (nothing new is handed in), ``over``."""

    name: str


class Lag(Record, frozen=True, tag="lag"):
    """The lab's own loop came so late, in seconds, to what was due."""

    late_s: float


class Used(Record, frozen=True, tag="used"):
    """Processor seconds and memory that a process used in all; ``lab`` is the lab itself."""

    name: str
    cpu_s: float
    peak_mb: float


AnyRecord = (
    Head | Handed | Heard | Unsent | Call | Ran | Reply | Opened | Gone | Probed | Told | Changed | Noticed
    | Partner | Fault | Acted | Viewed | Measured | Process | Phase | Lag | Used
)  # fmt: skip
Sink = Callable[[AnyRecord], None]
_ENCODER, _DECODER = msgspec.json.Encoder(), msgspec.json.Decoder(AnyRecord)


def encode_line(record: AnyRecord) -> bytes:
    """A record as it stands in a history."""
    return _ENCODER.encode(record) + b"\n"


def read_history(path: Path) -> Iterator[AnyRecord]:
    """The records of a history file; ``HistoryError`` names the first line that is none."""
    try:
        with path.open("rb") as lines:
            for number, line in enumerate(lines, 1):
                try:
                    yield _DECODER.decode(line)
                except msgspec.DecodeError as error:
                    raise HistoryError(f"{path}:{number}: {error}") from error
    except OSError as error:
        raise HistoryError(f"{path}: {error.strerror}") from error
