"""Messages between members, their persistent state, and the actions that the Raft core returns to its caller.

Names follow Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and Ongaro's
thesis, "Consensus: Bridging Theory and Practice" (2014).
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

# Kinds of log entries, as stored on disk and sent to other members.
COMMAND = 0  # a command of the state machine
NOOP = 1  # the first entry of a leader's term
MEMBERS = 2  # a change of the membership


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A log entry; ``kind`` is COMMAND, NOOP or MEMBERS."""

    term: int
    kind: int
    data: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state machine's state and the membership after the entry at ``index``."""

    index: int = 0
    term: int = 0
    members: tuple[str, ...] = ()
    data: bytes = b""


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """RequestVote; ``pre`` marks a pre-vote, which changes nothing at the receiver (thesis, 9.6)."""

    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False  # the leader asked for this election to transfer leadership (thesis, 3.10)


class VoteResponse(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The answer to ``RequestVote``."""

    term: int
    granted: bool
    pre: bool = False


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """AppendEntries; ``round`` numbers the leader's rounds of messages, which confirm reads (thesis, 6.4)."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class AppendResponse(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The answer to ``AppendEntries`` and ``InstallSnapshot``.

    If ``ok``, the follower's log matches the leader's up to ``match``; otherwise the leader is to retry from
    that index.
    """

    term: int
    ok: bool
    match: int
    round: int
    disk_full: bool = False  # the follower's disk is full or refuses writes


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """InstallSnapshot, sent in one piece because the size of the state is bounded."""

    term: int
    snapshot: Snapshot
    round: int


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """TimeoutNow: tells the receiver to start an election at once."""

    term: int


Message = RequestVote | VoteResponse | AppendEntries | AppendResponse | InstallSnapshot | TimeoutNow


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """The term and vote, which have to survive a crash like the log."""

    term: int = 0
    vote: str = ""


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """Everything that a member recovers from its disk at its start."""

    hard: HardState = field(default_factory=HardState)
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: tuple[Entry, ...] = ()  # after the snapshot


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another member."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Write this to disk in order, make it durable, then report ``number``.

    ``entries`` start at index ``first`` and replace everything written earlier at or after that index.
    """

    number: int
    hard: HardState | None = None
    first: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class Committed:
    """The entry at ``index`` is committed; ``tag`` is set on the member that proposed it."""

    index: int
    entry: Entry
    tag: int | None = None


@dataclass(frozen=True, slots=True)
class SnapshotInstalled:
    """Reset the state machine to this snapshot, which came from the leader."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ReadReady:
    """The read with this tag may be answered from the current state of the state machine."""

    tag: int


@dataclass(frozen=True, slots=True)
class Dropped:
    """A proposal or read that this member cannot complete; if ``unknown``, it may still be committed."""

    tag: int
    unknown: bool


Action = Send | Persist | Committed | SnapshotInstalled | ReadReady | Dropped
