"""What a member keeps on its disk: one log that is only ever appended to, and replaced whole by a snapshot.

Beside it stand ``lives`` (whose life was heard last), ``lock`` (held while a process runs on the folder) and
``reserve`` (room that is given up once the disk is full, so that what may not wait is still written).

A record is its length, its checksum, and a ``Persist`` without its number. A crash may tear the last one,
which then never counted: nothing was promised on it. One that is broken before others is damage, and told.
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

RECORD_HEADER = struct.Struct("<II")  # length and CRC-32 of what follows
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)  # what a disk says that is full
MAX_RECORD_BYTES = 64 * 1024 * 1024  # bytes; a length beyond is none


class StoreError(RuntimeError):
    """The folder cannot be used: what is in it, in one line."""


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record."""

    hard: HardState | None = None
    first: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


_RECORD_DECODER = msgspec.msgpack.Decoder(LogRecord)


class KnownIncarnations(msgspec.Struct, frozen=True):
    """The file ``lives``: this folder's name, the starts in it, and the others' lives."""

    folder: str
    start: int
    lives: dict[str, Incarnation]
    shunned: tuple[str, ...] = ()


class LogReplay:
    """What some writes in a row come to."""

    def __init__(self) -> None:
        self._hard, self._log = HardState(), Log(Snapshot(), ())

    def add(self, written: Persist | LogRecord) -> None:
        """One more write."""
        if written.hard is not None:
            self._hard = written.hard
        if written.snapshot is not None:
            self._log.compact(written.snapshot)
        if written.first:
            self._log.replace_from(written.first, written.entries)

    @property
    def saved(self) -> RecoveredState:
        """What a member starts from."""
        log = self._log
        entries = tuple(log.entry_at(index) for index in range(log.first_index, log.last_index + 1))
        return RecoveredState(self._hard, log.snapshot, entries)


def encode_record(written: LogRecord) -> bytes:
    """A record as it stands in the file."""
    body = msgspec.msgpack.encode(written)
    return RECORD_HEADER.pack(len(body), zlib.crc32(body)) + body


def read_records(data: bytes) -> tuple[list[LogRecord], int]:
    """The records of a file and where they end; ``StoreError`` where one is broken before others."""
    found, at = list[LogRecord](), 0
    while at + RECORD_HEADER.size <= len(data):
        size, checksum = RECORD_HEADER.unpack_from(data, at)
        body = data[at + RECORD_HEADER.size : at + RECORD_HEADER.size + size]
        if size > MAX_RECORD_BYTES or len(body) < size or zlib.crc32(body) != checksum:
            break
        try:
            found.append(_RECORD_DECODER.decode(body))
        except msgspec.DecodeError as error:
            raise StoreError(f"a record at byte {at} cannot be read: {error}") from None
        at += RECORD_HEADER.size + size
    if _intact_record_follows(data, at):
        raise StoreError(f"the record at byte {at} is damaged, and others stand behind it")
    return found, at


def _intact_record_follows(data: bytes, at: int) -> bool:
    """Whether a broken record is followed by a whole one, which a torn end is not."""
    if at + RECORD_HEADER.size > len(data):
        return False
    size = int(RECORD_HEADER.unpack_from(data, at)[0])
    behind = at + RECORD_HEADER.size + size
    if size > MAX_RECORD_BYTES or behind + RECORD_HEADER.size > len(data):
        return False
    size, checksum = RECORD_HEADER.unpack_from(data, behind)
    body = data[behind + RECORD_HEADER.size : behind + RECORD_HEADER.size + size]
    return bool(size) and len(body) == size and zlib.crc32(body) == int(checksum)


def write_whole(handle: int, data: bytes) -> None:
    """Write all of it and make it durable; ``OSError`` where the disk refuses, perhaps behind a part."""
    while data:
        data = data[os.write(handle, data) :]
    os.fsync(handle)


def replace_file(path: Path, data: bytes) -> int:
    """A new file in place of an old one at once, durably; its descriptor. ``OSError``: the old one stands."""
    new = path.with_suffix(".new")
    handle = os.open(new, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
    try:
        write_whole(handle, data)
        os.rename(new, path)
        sync_folder(path.parent)
    except OSError:
        os.close(handle)
        with suppress(OSError):
            new.unlink()  # what it took of a full disk comes back
        raise
    return handle


def sync_folder(folder: Path) -> None:
    """Make a folder's own entries durable."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


class Store:
    """The folder; its calls block, and whoever runs a loop makes them elsewhere."""

    def __init__(self, folder: Path, reserve_bytes: int = 0) -> None:
        """Open a folder; ``StoreError`` where it cannot be used, and where a torn end cannot be cut off."""
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
        folded = LogReplay()
        for record in records:
            folded.add(record)
        self.saved = folded.saved  # what a member starts from
        self._size_bytes, self._io_lock, self._closed = end, threading.Lock(), False
        self.reserved = self.allocate_reserve()

    def _start_incarnation(self) -> None:
        path = self._folder / "lives"
        try:
            known = msgspec.json.decode(path.read_bytes(), type=KnownIncarnations)
        except FileNotFoundError:
            if self._log_path.stat().st_size:
                raise StoreError(f"{path}: there is a log and not this") from None
            known = KnownIncarnations(secrets.token_hex(8), 0, {})
        except msgspec.DecodeError as error:
            raise StoreError(f"{path}: {error}") from None
        self.incarnation = Incarnation(known.folder, known.start + 1, secrets.token_hex(8))
        self.save_incarnations(known.lives, known.shunned)

    def save_incarnations(self, lives: dict[str, Incarnation], shunned: tuple[str, ...]) -> None:
        """Make durable whose lives are heard; ``OSError`` where the disk refuses, and the old ones stand."""
        known = KnownIncarnations(self.incarnation.folder, self.incarnation.start, lives, shunned)
        os.close(replace_file(self._folder / "lives", msgspec.json.encode(known)))
        self.incarnations, self.shunned = lives, shunned

    @property
    def size_bytes(self) -> int:
        """The size of the log's file."""
        return self._size_bytes

    def allocate_reserve(self) -> bool:
        """Take room beforehand; whether it is there."""
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
        """Let go of that room; whether there was any."""
        had, self.reserved = getattr(self, "reserved", False) and bool(self._reserve_bytes), False
        with suppress(OSError):
            (self._folder / "reserve").unlink(missing_ok=True)
        return had

    def write(self, writes: list[Persist]) -> None:
        """Make writes durable, in order; ``OSError`` where the disk refuses, and then none of them counts."""
        whole = max((at for at, item in enumerate(writes) if item.snapshot is not None), default=None)
        some = writes[whole:] if whole is not None else writes  # one with a snapshot holds all before it
        data = b"".join(
            encode_record(LogRecord(item.hard, item.first, item.entries, item.snapshot)) for item in some
        )
        with self._io_lock:
            if self._closed:
                raise OSError(errno.EBADF, "closed")
            self._write(data, whole is not None)

    def _write(self, data: bytes, whole: bool) -> None:
        if whole:
            handle = replace_file(self._log_path, data)
            os.close(self._file)
            self._file, self._size_bytes = handle, len(data)
            return
        try:
            write_whole(self._file, data)
        except OSError:
            os.ftruncate(self._file, self._size_bytes)  # half a record before others would be damage
            raise
        self._size_bytes += len(data)

    def close(self) -> None:
        """Let go of the folder, once a write that is under way has ended."""
        with self._io_lock:
            self._closed = True
            os.close(self._file)
            os.close(self._lock_file)


def restore(folder: Path, snapshot: Snapshot) -> None:
    """A new folder that begins from a snapshot; ``StoreError`` where one is there, or the disk refuses."""
    if folder.exists() and any(folder.iterdir()):
        raise StoreError(f"{folder}: the folder is not empty")
    store = Store(folder)
    try:
        store.write([Persist(1, HardState(snapshot.term, ""), snapshot.index + 1, (), snapshot)])
    except OSError as error:
        raise StoreError(f"{folder}: {error.strerror}") from error
    finally:
        store.close()
