"""The lasting record of accepted work: an append-only log with replay and compaction.

A record is a frame (mark, length, CRC-32) around one JSON line and the message's body. Nothing is synced:
what ``write`` has taken outlasts the process, and a machine that is lost takes the folder with it.
"""

from __future__ import annotations

import json
import logging
import os
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

LOG = logging.getLogger(__name__)
RECORD_MARK = b"\xa5mlg"
FRAME_HEADER = struct.Struct("<4sII")
BLOCK_BYTES = 512  # files count in whole blocks
MAX_RECORD_BYTES = 128 * 1024  # bytes; a longer length can only be damage
MAX_LATER_RECORDS, MAX_LATER_RECORD_BYTES = (
    4,
    112,
)  # records that compaction may keep of a message beside its own; bytes, without id
BAN, UNBAN = "ban", "unban"  # records of endpoints, not of messages
MIN_COMPACTION_GARBAGE_BYTES = 256 * 1024  # garbage that is worth a compaction
# One encoder for all records: ``json.dumps`` with separators makes a new one for each.
encode_json = json.JSONEncoder(separators=(",", ":")).encode


class JournalFullError(Exception):
    """The record would not fit the budget, or the disk would not take it."""


@dataclass(slots=True)
class Attempt:
    """One try as it was journaled before its first byte."""

    number: int
    host: str
    zone: str
    started_at_us: int
    never_ran: bool = False


@dataclass(slots=True)
class RecoveredMessage:
    """A message that is not over, as the log tells it."""

    id: str
    fields: dict[str, Any]
    body: bytes
    attempts: list[Attempt] = field(default_factory=list)
    notice: tuple[str, int] | None = None  # its end, not yet confirmed: result and wait


@dataclass(slots=True)
class UnfinishedRecords:
    """The raw records of a message that is not over, as compaction writes them again.

    The next life asks how many attempts there were and when the first was made that may have run. So that
    one and the latest stand for all, and a message takes no more room however often it is tried.
    """

    accepted: bytes
    first_possible_run: bytes = b""  # the first attempt that may have run, where others followed it
    latest_attempt: bytes = b""
    latest_attempt_number: int = -1
    never_ran_proof: bytes = b""  # the proof for the latest attempt
    end: bytes = b""

    def add_attempt(self, raw: bytes, number: int) -> None:
        """One more attempt."""
        if not self.first_possible_run and not self.never_ran_proof:
            self.first_possible_run = self.latest_attempt
        self.latest_attempt, self.latest_attempt_number, self.never_ran_proof = raw, number, b""

    @property
    def data(self) -> bytes:
        """Everything that counts, in the order of its writing."""
        return b"".join(
            (self.accepted, self.first_possible_run, self.latest_attempt, self.never_ran_proof, self.end)
        )


def later_records_bytes(ref: str) -> int:
    """Bytes that a message's later records may take in a compacted log."""
    return MAX_LATER_RECORDS * (MAX_LATER_RECORD_BYTES + len(ref))


def frame_record(head: list[Any], body: bytes = b"") -> bytes:
    """One record's bytes."""
    payload = encode_json(head).encode() + b"\n" + body
    return FRAME_HEADER.pack(RECORD_MARK, len(payload), zlib.crc32(payload)) + payload


def round_up_to_blocks(size: int) -> int:
    """A file's size as the deployment counts it."""
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


def parse_record(data: bytes, at: int) -> tuple[bytes, int] | None:
    """The payload of the whole record that starts there, and where the next one starts."""
    if at + FRAME_HEADER.size > len(data):
        return None
    mark, length, crc = FRAME_HEADER.unpack_from(data, at)
    end = at + FRAME_HEADER.size + length
    if mark != RECORD_MARK or length > MAX_RECORD_BYTES or end > len(data):
        return None
    payload = data[at + FRAME_HEADER.size : end]
    return (payload, end) if zlib.crc32(payload) == crc else None


def scan_records(data: bytes) -> Iterator[tuple[bytes, int]]:
    """Every whole record and its end; damage is skipped up to the next whole record."""
    at = 0
    while at < len(data):
        found = parse_record(data, at)
        if found is None:
            start = at
            while (at := data.find(RECORD_MARK, at + 1)) >= 0 and (found := parse_record(data, at)) is None:
                pass
            if found is None:
                return  # a torn tail
            LOG.error("journal: %d damaged bytes at %d skipped", at - start, start)
        yield found
        at = found[1]


class Journal:
    """The log of one relay; ``recovered`` holds what the last life left unfinished."""

    def __init__(self, folder: Path, disk_bytes: int) -> None:
        self._path, self._compaction_path = folder / "journal", folder / "journal.new"
        self._budget_bytes = disk_bytes - 4 * BLOCK_BYTES
        self._unfinished: dict[str, UnfinishedRecords] = {}  # each message that is not over
        self._compacted_bytes, self._reserved_bytes = (
            0,
            0,
        )  # what a compacted log takes now, and what it may on top
        self._bans: dict[str, bytes] = {}  # the raw record of each endpoint that operators leave out
        self.recovered: dict[str, RecoveredMessage] = {}
        self.write_count, self.written_bytes = 0, 0  # of this process
        self._compaction_path.unlink(
            missing_ok=True
        )  # a compaction that did not end: the old log still counts
        self._fd = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self._size_bytes = self._replay(self._path.read_bytes())
        # Appending behind a torn tail would hide the new record behind the damage at the next replay.
        os.ftruncate(self._fd, self._size_bytes)

    def close(self) -> None:
        """Let go of the file."""
        os.close(self._fd)

    def _replay(self, data: bytes) -> int:
        """Read the log; the end of its last whole record."""
        end = 0
        for payload, after in scan_records(data):
            raw = data[after - FRAME_HEADER.size - len(payload) : after]
            end = after
            try:
                line, _, body = payload.partition(b"\n")
                head = json.loads(line)
                self._apply_recovered(head, body)
                self._track_record(head, raw)
            except (ValueError, TypeError, KeyError, IndexError) as error:
                LOG.error("journal: unreadable record before %d left out: %r", after, error)
        if end < len(data):
            LOG.warning("journal: torn tail of %d bytes cut off", len(data) - end)
        return end

    def _apply_recovered(self, head: list[Any], body: bytes) -> None:
        """Apply one record of the last life."""
        kind, ref = head[0], head[1]
        if kind == "in":
            self.recovered[ref] = RecoveredMessage(ref, dict(head[2]), body)
            return
        message = self.recovered.get(ref)
        if message is None:
            return
        if kind == "try":
            message.attempts.append(Attempt(int(head[2]), str(head[3]), str(head[4]), int(head[5])))
        elif kind == "not":
            for attempt in message.attempts:
                attempt.never_ran |= attempt.number == head[2]
        elif kind == "end":
            message.notice = str(head[2]), int(head[3])
        elif kind == "over":
            del self.recovered[ref]

    def _track_record(self, head: list[Any], raw: bytes) -> None:
        """Remember what compaction has to write again."""
        kind, ref = head[0], head[1]
        if kind in (BAN, UNBAN):
            self._compacted_bytes -= len(self._bans.pop(ref, b""))
            if kind == BAN:
                self._bans[ref] = raw
                self._compacted_bytes += len(raw)
            return
        if (live := self._unfinished.get(ref)) is not None:
            self._compacted_bytes -= len(live.data)
        if kind == "in":
            self._reserved_bytes += later_records_bytes(ref) * (live is None)
            live = self._unfinished[ref] = UnfinishedRecords(raw)
        elif live is None:
            return
        elif kind == "over":
            del self._unfinished[ref]
            self._reserved_bytes -= later_records_bytes(ref)
            return
        elif kind == "try":
            live.add_attempt(raw, int(head[2]))
        elif kind == "not" and head[2] == live.latest_attempt_number:
            live.never_ran_proof = raw
        elif kind == "end":
            live.end = raw
        self._compacted_bytes += len(live.data)

    @property
    def banned_hosts(self) -> list[str]:
        """The endpoints that operators leave out."""
        return list(self._bans)

    def set_banned(self, host: str, banned: bool) -> None:
        """Keep an operator's word; ``JournalFullError`` where that cannot be promised."""
        if banned != (host in self._bans):
            head = [BAN if banned else UNBAN, host]
            self._append([(head, frame_record(head))])

    def accept(self, ref: str, fields: dict[str, Any], body: bytes) -> None:
        """Take a message on, with room left for everything that may still be said of it."""
        head = ["in", ref, fields]
        raw = frame_record(head, body)
        after = self._compacted_bytes + len(raw) + self._reserved_bytes + later_records_bytes(ref)
        if (
            2 * round_up_to_blocks(after) > self._budget_bytes
        ):  # old and new log stand side by side during compaction
            raise JournalFullError("the budget is used up by open messages")
        self._append([(head, raw)])

    def record_attempts(self, tries: list[tuple[str, Attempt]]) -> None:
        """Attempts that are about to be made, in one write."""
        heads = [["try", ref, a.number, a.host, a.zone, a.started_at_us] for ref, a in tries]
        self._append([(head, frame_record(head)) for head in heads])

    def record_never_ran(self, ref: str, number: int) -> None:
        """An attempt is proved not to have run."""
        self._append_or_log(["not", ref, number])

    def record_end(self, ref: str, result: str, wait_ms: int) -> None:
        """The message is given up; its notice is owed until ``over``."""
        self._append_or_log(["end", ref, result, wait_ms])

    def record_over(self, ref: str) -> None:
        """Nothing more is owed."""
        self._append_or_log(["over", ref])

    def _append_or_log(self, head: list[Any]) -> None:
        """A record without which a restart only does some work again; losing it must not stop the relay."""
        try:
            self._append([(head, frame_record(head))])
        except JournalFullError as error:
            LOG.error("journal: %s of %s not kept: %s", head[0], head[1], error)

    def _append(self, records: list[tuple[list[Any], bytes]]) -> None:
        data = b"".join(raw for _, raw in records)
        if self._size_bytes + len(data) + self._compacted_bytes > min(
            self._budget_bytes - round_up_to_blocks(len(data)),
            2 * self._compacted_bytes + MIN_COMPACTION_GARBAGE_BYTES,
        ):
            self._compact()
        if round_up_to_blocks(self._size_bytes + len(data)) > self._budget_bytes:
            raise JournalFullError("the log has reached its budget")
        try:
            written = os.write(self._fd, data)
        except OSError as error:
            raise JournalFullError(str(error)) from error
        if written < len(data):
            os.ftruncate(self._fd, self._size_bytes)
            raise JournalFullError("short write")
        self._size_bytes += written
        self.write_count, self.written_bytes = self.write_count + 1, self.written_bytes + written
        for head, raw in records:
            self._track_record(head, raw)

    def _compact(self) -> None:
        """Write what is not over to a new log and put it in the old one's place."""
        data = b"".join((*self._bans.values(), *(live.data for live in self._unfinished.values())))
        if (
            len(data) >= self._size_bytes
            or round_up_to_blocks(self._size_bytes) + round_up_to_blocks(len(data)) > self._budget_bytes
        ):
            return
        try:
            fd = os.open(self._compaction_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        except OSError as error:
            LOG.error("journal: no compaction: %s", error)
            return
        try:
            whole = os.write(fd, data) == len(data)
            if whole:
                os.replace(self._compaction_path, self._path)
        except OSError as error:
            LOG.error("journal: no compaction: %s", error)
            whole = False
        if not whole:
            os.close(fd)
            self._compaction_path.unlink(missing_ok=True)
            return
        os.close(self._fd)
        self._fd, self._size_bytes = fd, len(data)
        self.write_count, self.written_bytes = self.write_count + 1, self.written_bytes + len(data)
