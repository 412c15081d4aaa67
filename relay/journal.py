"""The journal of accepted messages: an append-only log with replay and compaction.

A record is a frame (mark, length, CRC-32) around one JSON line and the message's body. Writes are not synced:
what ``write`` accepted survives the process, and a machine that is lost takes the folder with it anyway.
"""

from __future__ import annotations

import json
import logging
import os
import struct
import zlib
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

LOG = logging.getLogger(__name__)
RECORD_MARK = b"\xa5mlg"
FRAME_HEADER = struct.Struct("<4sII")  # mark, length of the payload in bytes, CRC-32 of the payload
BLOCK_BYTES = 512  # the disk limit counts files in whole blocks
MAX_RECORD_BYTES = 128 * 1024  # a header with a greater length is damaged
# Records that compaction may keep of a message beside its own: the first attempt that may have run, the
# latest attempt, the proof that it never ran, and the end.
MAX_LATER_RECORDS = 4
MAX_LATER_RECORD_BYTES = 112  # of one of them, without the message's id
# Kinds of records that are about endpoints, not messages.
BAN = "ban"
UNBAN = "unban"
# Kind of the record in which a compaction keeps the ids of messages that were sent and are over.
FINISHED = "finished"
MAX_FINISHED_BYTES = 16 * 1024  # of that record
FINISHED_BUDGET_SHARE = 1 / 64  # of the disk budget that the record may take at most
MIN_COMPACTION_GARBAGE_BYTES = 256 * 1024  # garbage in the log that is worth a compaction
# One encoder for all records: ``json.dumps`` with separators creates a new one for each call.
encode_json = json.JSONEncoder(separators=(",", ":")).encode


class JournalFullError(Exception):
    """The record does not fit the disk budget, or the disk did not accept it."""


@dataclass(slots=True)
class Attempt:
    """One attempt, journaled before its first byte is written."""

    number: int  # counted from 0 for each message
    host: str
    zone: str
    started_at_us: int  # wall-clock time
    never_ran: bool = False  # whether it is proved that the endpoint did not run it


@dataclass(slots=True)
class RecoveredMessage:
    """A message that the last life left unfinished, as read from the log."""

    id: str
    fields: dict[str, Any]
    body: bytes
    attempts: list[Attempt] = field(default_factory=list)
    notice: tuple[str, int] | None = None  # its unconfirmed notice: result, and wait in ms


@dataclass(slots=True)
class UnfinishedRecords:
    """The raw records of an unfinished message, as compaction writes them again.

    The next life needs the number of attempts and the time of the first one that may have run. So only that
    attempt and the latest are kept, and repeats do not increase the size of a compacted log.
    """

    accepted: bytes
    first_possible_run: bytes = b""  # the first attempt that may have run, where others followed it
    latest_attempt: bytes = b""
    latest_attempt_number: int = -1
    never_ran_proof: bytes = b""  # for the latest attempt
    end: bytes = b""

    def add_attempt(self, raw: bytes, number: int) -> None:
        """Replace the latest attempt; the one before it is kept where it is the first that may have run."""
        if not self.first_possible_run and not self.never_ran_proof:
            self.first_possible_run = self.latest_attempt
        self.latest_attempt, self.latest_attempt_number, self.never_ran_proof = raw, number, b""

    @property
    def data(self) -> bytes:
        """The records to keep, in the order in which they were written."""
        return b"".join(
            (self.accepted, self.first_possible_run, self.latest_attempt, self.never_ran_proof, self.end)
        )


def later_records_bytes(ref: str) -> int:
    """Bytes to reserve for a message's later records in a compacted log."""
    return MAX_LATER_RECORDS * (MAX_LATER_RECORD_BYTES + len(ref))


def frame_record(head: list[Any], body: bytes = b"") -> bytes:
    """Encode a record: its frame header, one JSON line and the body."""
    payload = encode_json(head).encode() + b"\n" + body
    return FRAME_HEADER.pack(RECORD_MARK, len(payload), zlib.crc32(payload)) + payload


def round_up_to_blocks(size: int) -> int:
    """The size in bytes that the disk limit counts for a file of this size."""
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


def parse_record(data: bytes, at: int) -> tuple[bytes, int] | None:
    """The payload of the record at an offset and the offset behind it; None where it is not whole."""
    if at + FRAME_HEADER.size > len(data):
        return None
    mark, length, crc = FRAME_HEADER.unpack_from(data, at)
    end = at + FRAME_HEADER.size + length
    if mark != RECORD_MARK or length > MAX_RECORD_BYTES or end > len(data):
        return None
    payload = data[at + FRAME_HEADER.size : end]
    return (payload, end) if zlib.crc32(payload) == crc else None


def scan_records(data: bytes) -> Iterator[tuple[bytes, int]]:
    """Yield each whole record's payload and end offset; damaged bytes up to the next one are skipped."""
    at = 0
    while at < len(data):
        found = parse_record(data, at)
        if found is None:
            start = at
            while (at := data.find(RECORD_MARK, at + 1)) >= 0 and (found := parse_record(data, at)) is None:
                pass
            if found is None:
                return  # a torn tail
            LOG.error("journal: %d damaged bytes at byte %d skipped", at - start, start)
        yield found
        at = found[1]


class Journal:
    """The log of one relay; ``recovered`` holds the messages that the last life left unfinished, by id."""

    def __init__(self, folder: Path, disk_bytes: int) -> None:
        self._path = folder / "journal"
        self._compaction_path = folder / "journal.new"
        self._budget_bytes = disk_bytes - 4 * BLOCK_BYTES
        self._unfinished: dict[str, UnfinishedRecords] = {}  # by message id
        self._compacted_bytes = 0  # size of the log if it were compacted now
        self._reserved_bytes = 0  # for later records of the unfinished messages, in a compacted log
        self._bans: dict[str, bytes] = {}  # by host: the raw record of its ban
        # Ids of messages that were sent and are over, oldest first, as far as they fit a compaction's record.
        self._finished_ids: OrderedDict[str, None] = OrderedDict()
        self._finished_bytes = 0  # of them in the record, with a blank behind each
        self._max_finished_bytes = min(MAX_FINISHED_BYTES, int(self._budget_bytes * FINISHED_BUDGET_SHARE))
        self.recovered: dict[str, RecoveredMessage] = {}
        self.write_count = 0  # writes of this process, as ``written_bytes``
        self.written_bytes = 0
        # Left by a compaction that was interrupted: the old log is the valid one.
        self._compaction_path.unlink(missing_ok=True)
        self._fd = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self._size_bytes = self._replay(self._path.read_bytes())
        # A record appended behind a torn tail would be hidden by it at the next replay.
        os.ftruncate(self._fd, self._size_bytes)

    def close(self) -> None:
        """Close the file."""
        os.close(self._fd)

    def _replay(self, data: bytes) -> int:
        """Read the log and return the end offset of its last whole record."""
        end = 0
        for payload, next_at in scan_records(data):
            raw = data[next_at - FRAME_HEADER.size - len(payload) : next_at]
            end = next_at
            try:
                line, _, body = payload.partition(b"\n")
                head = json.loads(line)
                self._apply_recovered(head, body)
                self._track_record(head, raw)
            except (ValueError, TypeError, KeyError, IndexError) as error:
                LOG.error("journal: unreadable record that ends at byte %d skipped: %r", next_at, error)
        if end < len(data):
            LOG.warning("journal: incomplete record of %d bytes at the end cut off", len(data) - end)
        return end

    def _apply_recovered(self, head: list[Any], body: bytes) -> None:
        """Apply one record of the last life to ``recovered``."""
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
        """Apply a record to what compaction would write."""
        kind, ref = head[0], head[1]
        if kind in (BAN, UNBAN):
            self._compacted_bytes -= len(self._bans.pop(ref, b""))
            if kind == BAN:
                self._bans[ref] = raw
                self._compacted_bytes += len(raw)
            return
        if kind == FINISHED:
            for finished_ref in ref.split():
                self._remember_finished(finished_ref)
            return
        if (records := self._unfinished.get(ref)) is not None:
            self._compacted_bytes -= len(records.data)
        if kind == "in":
            self._reserved_bytes += later_records_bytes(ref) * (records is None)
            records = self._unfinished[ref] = UnfinishedRecords(raw)
        elif records is None:
            return
        elif kind == "over":
            del self._unfinished[ref]
            self._reserved_bytes -= later_records_bytes(ref)
            if records.latest_attempt:
                self._remember_finished(ref)
            return
        elif kind == "try":
            records.add_attempt(raw, int(head[2]))
        elif kind == "not" and head[2] == records.latest_attempt_number:
            records.never_ran_proof = raw
        elif kind == "end":
            records.end = raw
        self._compacted_bytes += len(records.data)

    def _remember_finished(self, ref: str) -> None:
        """Keep an id for the next compaction, and drop the oldest ones that do not fit beside it."""
        if ref in self._finished_ids:
            return
        self._finished_ids[ref] = None
        self._finished_bytes += len(ref) + 1
        while self._finished_bytes > self._max_finished_bytes:
            dropped, _ = self._finished_ids.popitem(last=False)
            self._finished_bytes -= len(dropped) + 1

    @property
    def finished_ids(self) -> list[str]:
        """The latest messages that were sent and are over, oldest first."""
        return list(self._finished_ids)

    @property
    def banned_hosts(self) -> list[str]:
        """The endpoints that operators have banned."""
        return list(self._bans)

    def set_banned(self, host: str, banned: bool) -> None:
        """Store a ban or its end; raises ``JournalFullError`` where that is not possible."""
        if banned != (host in self._bans):
            head = [BAN if banned else UNBAN, host]
            self._append([(head, frame_record(head))])

    def accept(self, ref: str, fields: dict[str, Any], body: bytes) -> None:
        """Store a message and reserve room for its later records; raises ``JournalFullError``."""
        head = ["in", ref, fields]
        raw = frame_record(head, body)
        compacted_bytes = self._compacted_bytes + len(raw) + self._reserved_bytes + later_records_bytes(ref)
        # During a compaction the old and the new log exist side by side.
        if 2 * round_up_to_blocks(compacted_bytes + self._finished_bytes) > self._budget_bytes:
            raise JournalFullError("unfinished messages take up the journal's disk budget")
        self._append([(head, raw)])

    def record_attempts(self, attempts: list[tuple[str, Attempt]]) -> None:
        """Store attempts that are about to be made, in one write; raises ``JournalFullError``."""
        heads = [["try", ref, a.number, a.host, a.zone, a.started_at_us] for ref, a in attempts]
        self._append([(head, frame_record(head)) for head in heads])

    def record_never_ran(self, ref: str, number: int) -> None:
        """Store the proof that an attempt did not run."""
        self._append_or_log(["not", ref, number])

    def record_end(self, ref: str, result: str, wait_ms: int) -> None:
        """Store the end of an undelivered message; its notice is due until ``record_over``."""
        self._append_or_log(["end", ref, result, wait_ms])

    def record_over(self, ref: str) -> None:
        """Store that a message is finished, and its notice confirmed where it had one."""
        self._append_or_log(["over", ref])

    def _append_or_log(self, head: list[Any]) -> None:
        """Append a record, or log that it was not stored.

        Without such a record a restart only repeats some work, so a failure must not stop the relay.
        """
        try:
            self._append([(head, frame_record(head))])
        except JournalFullError as error:
            LOG.error("journal: record '%s' of %s not stored: %s", head[0], head[1], error)

    def _append(self, records: list[tuple[list[Any], bytes]]) -> None:
        """Write records, each given as its head and its bytes, after a compaction where one is due.

        Raises ``JournalFullError`` where they do not fit the budget or the disk did not take them whole.
        """
        data = b"".join(raw for _, raw in records)
        compacted_bytes = self._compacted_bytes + self._finished_bytes
        if self._size_bytes + len(data) + compacted_bytes > min(
            self._budget_bytes - round_up_to_blocks(len(data)),
            2 * compacted_bytes + MIN_COMPACTION_GARBAGE_BYTES,
        ):
            self._compact()
        if round_up_to_blocks(self._size_bytes + len(data)) > self._budget_bytes:
            raise JournalFullError("the log has reached its disk budget")
        try:
            written = os.write(self._fd, data)
        except OSError as error:
            raise JournalFullError(str(error)) from error
        if written < len(data):
            os.ftruncate(self._fd, self._size_bytes)
            raise JournalFullError("the disk took only a part of the record")
        self._size_bytes += written
        self.write_count, self.written_bytes = self.write_count + 1, self.written_bytes + written
        for head, raw in records:
            self._track_record(head, raw)

    def _compact(self) -> None:
        """Write bans, finished ids and unfinished messages to a new log and replace the old one with it.

        Does nothing where that frees no space or both logs exceed the budget; a failure keeps the old log.
        """
        finished = [FINISHED, " ".join(self._finished_ids)]
        data = b"".join(
            (
                *self._bans.values(),
                frame_record(finished) if self._finished_ids else b"",
                *(records.data for records in self._unfinished.values()),
            )
        )
        if (
            len(data) >= self._size_bytes
            or round_up_to_blocks(self._size_bytes) + round_up_to_blocks(len(data)) > self._budget_bytes
        ):
            return
        try:
            fd = os.open(self._compaction_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        except OSError as error:
            LOG.error("journal: compaction failed, the old log is kept: %s", error)
            return
        try:
            whole = os.write(fd, data) == len(data)
            if whole:
                os.replace(self._compaction_path, self._path)
        except OSError as error:
            LOG.error("journal: compaction failed, the old log is kept: %s", error)
            whole = False
        if not whole:
            os.close(fd)
            self._compaction_path.unlink(missing_ok=True)
            return
        os.close(self._fd)
        self._fd, self._size_bytes = fd, len(data)
        self.write_count, self.written_bytes = self.write_count + 1, self.written_bytes + len(data)
