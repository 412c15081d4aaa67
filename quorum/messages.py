"""What members say to each other, what they keep, and what the core asks of its shell.

Names follow Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and Ongaro's
thesis, "Consensus: Bridging Theory and Practice" (2014).
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

COMMAND, NOOP, MEMBERS = 0, 1, 2  # kinds of entries


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log."""

    term: int
    kind: int
    data: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state machine after the entry at ``index``, and who was a member then."""

    index: int = 0
    term: int = 0
    members: tuple[str, ...] = ()
    data: bytes = b""


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """RequestVote; ``pre`` asks whether a vote would be given, and changes nothing (thesis, 9.6)."""

    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False  # the leader itself wants it (thesis, 3.10)


class VoteResponse(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The answer to ``RequestVote``."""

    term: int
    granted: bool
    pre: bool = False


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """AppendEntries; ``round`` counts a leader's rounds, by which reads are confirmed (thesis, 6.4)."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class AppendResponse(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The answer: the log agrees up to ``match``, or the leader is to try again from there."""

    term: int
    ok: bool
    match: int
    round: int
    full: bool = False  # its disk is full, or refuses


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """InstallSnapshot, in one piece: the state is bounded."""

    term: int
    snapshot: Snapshot
    round: int


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """TimeoutNow: the receiver is to stand for election at once."""

    term: int


Message = RequestVote | VoteResponse | AppendEntries | AppendResponse | InstallSnapshot | TimeoutNow


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """What has to outlast a crash beside the log."""

    term: int = 0
    vote: str = ""


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """All that a member's disk gave back at its start."""

    hard: HardState = field(default_factory=HardState)
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: tuple[Entry, ...] = ()  # those after the snapshot


@dataclass(frozen=True, slots=True)
class Send:
    """A message to another member."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Write this, make it durable, then report ``number``; writes are in order.

    ``entries`` stand from ``first`` on, and nothing that was written at or behind that index counts any more.
    """

    number: int
    hard: HardState | None = None
    first: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class Committed:
    """An entry that every member will have at that index; ``tag`` is of the proposal that made it here."""

    index: int
    entry: Entry
    tag: int | None = None


@dataclass(frozen=True, slots=True)
class SnapshotInstalled:
    """The state machine is to start anew from here."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ReadReady:
    """A read may be answered from the state machine as it stands now."""

    tag: int


@dataclass(frozen=True, slots=True)
class Dropped:
    """A proposal or read that this member cannot see through; ``unknown``: it may still be committed."""

    tag: int
    unknown: bool


Action = Send | Persist | Committed | SnapshotInstalled | ReadReady | Dropped
