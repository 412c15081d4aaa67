"""What a member keeps on its disk: one file that is only ever appended to, and replaced whole by a snapshot.

A record is its length, its checksum, and a ``Persist`` without its number. A crash may tear the last one,
which then never counted: nothing was promised on it. One that is broken before others is damage, and told.
"""

from __future__ import annotations

import os
import struct
import zlib
from pathlib import Path

import msgspec

from mallowquorum.log import Log
from mallowquorum.messages import Entry, Hard, Persist, Saved, Snapshot

HEAD = struct.Struct("<II")  # length and CRC-32 of what follows
MOST_RECORD = 64 * 1024 * 1024  # bytes; a length beyond is none


class StoreError(RuntimeError):
    """The folder cannot be used: what is in it, in one line."""


class Written(msgspec.Struct, frozen=True, array_like=True):
    """One record."""

    hard: Hard | None = None
    first: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


_DECODER = msgspec.msgpack.Decoder(Written)


class Folded:
    """What all writes so far come to."""

    def __init__(self) -> None:
        self._hard, self._log = Hard(), Log(Snapshot(), ())

    def add(self, written: Persist | Written) -> None:
        """One more write."""
        if written.hard is not None:
            self._hard = written.hard
        if written.snapshot is not None:
            self._log.compact(written.snapshot)
        if written.first:
            self._log.replace(written.first, written.entries)

    @property
    def saved(self) -> Saved:
        """What a member starts from."""
        log = self._log
        entries = tuple(log.at(index) for index in range(log.first, log.last + 1))
        return Saved(self._hard, log.snapshot, entries)


def record_of(written: Written) -> bytes:
    """A record as it stands in the file."""
    body = msgspec.msgpack.encode(written)
    return HEAD.pack(len(body), zlib.crc32(body)) + body


def read_records(data: bytes) -> tuple[list[Written], int]:
    """The records of a file and where they end; ``StoreError`` where one is broken before others."""
    found, at = list[Written](), 0
    while at + HEAD.size <= len(data):
        size, checksum = HEAD.unpack_from(data, at)
        body = data[at + HEAD.size : at + HEAD.size + size]
        if size > MOST_RECORD or len(body) < size or zlib.crc32(body) != checksum:
            break
        try:
            found.append(_DECODER.decode(body))
        except msgspec.DecodeError as error:
            raise StoreError(f"a record at byte {at} cannot be read: {error}") from None
        at += HEAD.size + size
    if _whole_behind(data, at):
        raise StoreError(f"the record at byte {at} is damaged, and others stand behind it")
    return found, at


def _whole_behind(data: bytes, at: int) -> bool:
    """Whether a broken record is followed by a whole one, which a torn end is not."""
    if at + HEAD.size > len(data):
        return False
    size = int(HEAD.unpack_from(data, at)[0])
    behind = at + HEAD.size + size
    if size > MOST_RECORD or behind + HEAD.size > len(data):
        return False
    size, checksum = HEAD.unpack_from(data, behind)
    body = data[behind + HEAD.size : behind + HEAD.size + size]
    return bool(size) and len(body) == size and zlib.crc32(body) == int(checksum)


def write_whole(handle: int, data: bytes) -> None:
    """Write all of it and make it durable; ``OSError`` where the disk refuses, perhaps behind a part."""
    while data:
        data = data[os.write(handle, data) :]
    os.fsync(handle)


class Store:
    """The file; its calls block, and whoever runs a loop makes them elsewhere."""

    def __init__(self, folder: Path) -> None:
        """Open a folder; ``StoreError`` where it cannot be used, and where a torn end cannot be cut off."""
        self._path, self._folded = folder / "log", Folded()
        try:
            folder.mkdir(parents=True, exist_ok=True)
            data = self._path.read_bytes() if self._path.exists() else b""
            records, end = read_records(data)
            self._file = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
            if end < len(data):
                os.ftruncate(self._file, end)
                os.fsync(self._file)
            self._sync_folder(folder)
        except OSError as error:
            raise StoreError(f"{self._path}: {error.strerror}") from error
        for record in records:
            self._folded.add(record)

    @property
    def saved(self) -> Saved:
        """What is on the disk."""
        return self._folded.saved

    def write(self, writes: list[Persist]) -> None:
        """Make writes durable, in order; ``OSError`` where the disk refuses, and then none of them counts."""
        for written in writes:
            self._folded.add(written)
        if any(written.snapshot is not None for written in writes):
            self._replace()
            return
        records = [Written(item.hard, item.first, item.entries, item.snapshot) for item in writes]
        size = os.fstat(self._file).st_size
        try:
            write_whole(self._file, b"".join(map(record_of, records)))
        except OSError:
            os.ftruncate(self._file, size)  # half a record before others would be damage
            raise

    def _replace(self) -> None:
        """A new file with all that counts, in place of the old one at once."""
        saved, path = self.saved, self._path.with_suffix(".new")
        new = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        snapshot = saved.snapshot if saved.snapshot.members else None
        whole = Written(saved.hard, saved.snapshot.index + 1, saved.entries, snapshot)
        write_whole(new, record_of(whole))
        os.rename(path, self._path)
        os.close(self._file)
        self._file = new
        self._sync_folder(self._path.parent)

    @staticmethod
    def _sync_folder(folder: Path) -> None:
        handle = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def close(self) -> None:
        """Let go of the file."""
        os.close(self._file)
