"""A member's folder on disk: an append-only log file, which a snapshot replaces as a whole.

Besides ``log`` the folder has ``lives`` (the incarnations that this member accepted last), ``lock`` (locked
while a process runs on the folder) and ``reserve`` (space that is given up once the disk is full, so that
writes which cannot be deferred still succeed).

A log record is its length, its checksum, and a ``Persist`` without its number. A crash may leave the last
record incomplete; it is cut off, as nothing was acknowledged that depends on it. A broken record that is
followed by others is damage, and an error.
"""

from __future__ import annotations

import errno
import fcntl
import os
import secrets
import struct
import threading
import zlib
from contextlib import suppress
from pathlib import Path

import msgspec

from quorum.incarnations import Incarnation
from quorum.log import Log
from quorum.messages import Entry, HardState, Persist, RecoveredState, Snapshot

RECORD_HEADER = struct.Struct("<II")  # length and CRC-32 of the body that follows
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
MAX_RECORD_BYTES = 64 * 1024 * 1024  # a length above this is not a valid header


class StoreError(RuntimeError):
    """The folder cannot be used; the message says why in one line."""


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of the log file: a ``Persist`` without its number."""

    hard: HardState | None = None
    first: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


_RECORD_DECODER = msgspec.msgpack.Decoder(LogRecord)


class KnownIncarnations(msgspec.Struct, frozen=True):
    """The file ``lives``: this folder's name, its number of starts, and the other members' incarnations."""

    folder: str
    start: int
    lives: dict[str, Incarnation]
    shunned: tuple[str, ...] = ()


class LogReplay:
    """The state that results from a sequence of writes."""

    def __init__(self) -> None:
        self._hard, self._log = HardState(), Log(Snapshot(), ())

    def add(self, written: Persist | LogRecord) -> None:
        """Apply the next write."""
        if written.hard is not None:
            self._hard = written.hard
        if written.snapshot is not None:
            self._log.compact(written.snapshot)
        if written.first:
            self._log.replace_from(written.first, written.entries)

    @property
    def saved(self) -> RecoveredState:
        """The resulting state, from which a member starts."""
        log = self._log
        entries = tuple(log.entry_at(index) for index in range(log.first_index, log.last_index + 1))
        return RecoveredState(self._hard, log.snapshot, entries)


def encode_record(written: LogRecord) -> bytes:
    """Encode a record as it is stored in the file."""
    body = msgspec.msgpack.encode(written)
    return RECORD_HEADER.pack(len(body), zlib.crc32(body)) + body


def read_records(data: bytes) -> tuple[list[LogRecord], int]:
    """Return the records of a log file and the offset where they end.

    Raises ``StoreError`` for a broken record that is followed by an intact one, or an undecodable record.
    """
    records, offset = list[LogRecord](), 0
    while offset + RECORD_HEADER.size <= len(data):
        size, checksum = RECORD_HEADER.unpack_from(data, offset)
        body = data[offset + RECORD_HEADER.size : offset + RECORD_HEADER.size + size]
        if size > MAX_RECORD_BYTES or len(body) < size or zlib.crc32(body) != checksum:
            break
        try:
            records.append(_RECORD_DECODER.decode(body))
        except msgspec.DecodeError as error:
            raise StoreError(f"the record at byte {offset} cannot be decoded: {error}") from None
        offset += RECORD_HEADER.size + size
    if _intact_record_follows(data, offset):
        raise StoreError(f"the record at byte {offset} is damaged, and intact records follow it")
    return records, offset


def _intact_record_follows(data: bytes, offset: int) -> bool:
    """Whether the broken record at ``offset`` is followed by an intact one, so that it is no torn end."""
    if offset + RECORD_HEADER.size > len(data):
        return False
    size = int(RECORD_HEADER.unpack_from(data, offset)[0])
    next_offset = offset + RECORD_HEADER.size + size
    if size > MAX_RECORD_BYTES or next_offset + RECORD_HEADER.size > len(data):
        return False
    size, checksum = RECORD_HEADER.unpack_from(data, next_offset)
    body = data[next_offset + RECORD_HEADER.size : next_offset + RECORD_HEADER.size + size]
    return bool(size) and len(body) == size and zlib.crc32(body) == int(checksum)


def write_whole(handle: int, data: bytes) -> None:
    """Write all data and make it durable; raises ``OSError``, possibly after a part was written."""
    while data:
        data = data[os.write(handle, data) :]
    os.fsync(handle)


def replace_file(path: Path, data: bytes) -> int:
    """Replace a file atomically and durably; returns the new file's descriptor.

    Raises ``OSError`` if the disk refuses, and the old file stays.
    """
    new_path = path.with_suffix(".new")
    handle = os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
    try:
        write_whole(handle, data)
        os.rename(new_path, path)
        sync_folder(path.parent)
    except OSError:
        os.close(handle)
        with suppress(OSError):
            new_path.unlink()  # returns its space, which may be what the disk lacks
        raise
    return handle


def sync_folder(folder: Path) -> None:
    """Make a folder's directory entries durable."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


class Store:
    """A member's folder. Its methods block, so an event loop has to call them in a thread."""

    def __init__(self, folder: Path, reserve_bytes: int = 0) -> None:
        """Open or create a folder, cut off an incomplete last record, and begin a new incarnation.

        Raises ``StoreError`` if the folder is in use by another process, damaged, or cannot be written.
        """
        self._folder, self._log_path, self._reserve_bytes = folder, folder / "log", reserve_bytes
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock_file = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
            fcntl.flock(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            data = self._log_path.read_bytes() if self._log_path.exists() else b""
            records, end = read_records(data)
            self._file = os.open(self._log_path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
            if end < len(data):
                os.ftruncate(self._file, end)
                os.fsync(self._file)
            self._start_incarnation()
            sync_folder(folder)
        except BlockingIOError:
            raise StoreError(f"{folder}: another process runs on this folder") from None
        except OSError as error:
            raise StoreError(f"{self._log_path}: {error.strerror}") from error
        replay = LogReplay()
        for record in records:
            replay.add(record)
        self.saved = replay.saved  # the state from which a member starts
        self._size_bytes, self._io_lock, self._closed = end, threading.Lock(), False
        self.reserved = self.allocate_reserve()

    def _start_incarnation(self) -> None:
        path = self._folder / "lives"
        try:
            known = msgspec.json.decode(path.read_bytes(), type=KnownIncarnations)
        except FileNotFoundError:
            if self._log_path.stat().st_size:
                raise StoreError(f"{path}: the file is missing although there is a log") from None
            known = KnownIncarnations(secrets.token_hex(8), 0, {})
        except msgspec.DecodeError as error:
            raise StoreError(f"{path}: {error}") from None
        self.incarnation = Incarnation(known.folder, known.start + 1, secrets.token_hex(8))
        self.save_incarnations(known.lives, known.shunned)

    def save_incarnations(self, lives: dict[str, Incarnation], shunned: tuple[str, ...]) -> None:
        """Make the accepted incarnations durable; on ``OSError`` the previous ones stay in force."""
        known = KnownIncarnations(self.incarnation.folder, self.incarnation.start, lives, shunned)
        os.close(replace_file(self._folder / "lives", msgspec.json.encode(known)))
        self.incarnations, self.shunned = lives, shunned

    @property
    def size_bytes(self) -> int:
        """The size of the log file."""
        return self._size_bytes

    def allocate_reserve(self) -> bool:
        """Allocate the reserve; returns whether it is there, which is also so if none is configured."""
        if not self._reserve_bytes:
            return True
        try:
            handle = os.open(self._folder / "reserve", os.O_RDWR | os.O_CREAT, 0o600)
            try:
                os.posix_fallocate(handle, 0, self._reserve_bytes)
            finally:
                os.close(handle)
        except OSError:
            self.release_reserve()
            return False
        self.reserved = True
        return True

    def release_reserve(self) -> bool:
        """Free the reserve; returns whether there was one."""
        had, self.reserved = getattr(self, "reserved", False) and bool(self._reserve_bytes), False
        with suppress(OSError):
            (self._folder / "reserve").unlink(missing_ok=True)
        return had

    def write(self, writes: list[Persist]) -> None:
        """Make writes durable, in order; raises ``OSError`` if the disk refuses, and none takes effect."""
        last_snapshot = max(
            (position for position, write in enumerate(writes) if write.snapshot is not None), default=None
        )
        # A write with a snapshot holds the complete state, so it supersedes the writes before it.
        needed = writes[last_snapshot:] if last_snapshot is not None else writes
        data = b"".join(
            encode_record(LogRecord(write.hard, write.first, write.entries, write.snapshot))
            for write in needed
        )
        with self._io_lock:
            if self._closed:
                raise OSError(errno.EBADF, "closed")
            self._write(data, last_snapshot is not None)

    def _write(self, data: bytes, replace: bool) -> None:
        if replace:
            handle = replace_file(self._log_path, data)
            os.close(self._file)
            self._file, self._size_bytes = handle, len(data)
            return
        try:
            write_whole(self._file, data)
        except OSError:
            # A partial record would count as damage once another record follows it.
            os.ftruncate(self._file, self._size_bytes)
            raise
        self._size_bytes += len(data)

    def close(self) -> None:
        """Close the folder's files and release its lock, after any write that is under way."""
        with self._io_lock:
            self._closed = True
            os.close(self._file)
            os.close(self._lock_file)


def restore(folder: Path, snapshot: Snapshot) -> None:
    """Create a folder that starts from a snapshot.

    Raises ``StoreError`` if the folder is not empty or the disk refuses.
    """
    if folder.exists() and any(folder.iterdir()):
        raise StoreError(f"{folder}: the folder is not empty")
    store = Store(folder)
    try:
        store.write([Persist(1, HardState(snapshot.term, ""), snapshot.index + 1, (), snapshot)])
    except OSError as error:
        raise StoreError(f"{folder}: {error.strerror}") from error
    finally:
        store.close()
