"""The log entries after a snapshot. Indices start at 1; entries covered by the snapshot are not kept."""

from __future__ import annotations

from collections.abc import Iterable

from quorum.messages import Entry, Snapshot

MAX_BATCH_BYTES = 256 * 1024  # of entries in one message, except for a single larger entry


class Log:
    """The latest snapshot and the entries after it, by index."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry]) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)

    @property
    def first_index(self) -> int:
        """The index of the first entry that is kept, or would be."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """The index of the last entry, which may be covered by the snapshot."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def __len__(self) -> int:
        return len(self._entries)

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, or None if the index is outside the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.first_index <= index <= self.last_index:
            return self._entries[index - self.first_index].term
        return None

    def entry_at(self, index: int) -> Entry:
        """Return the entry at ``index``, which has to be after the snapshot."""
        return self._entries[index - self.first_index]

    def entries_from(self, index: int) -> tuple[Entry, ...]:
        """Return the entries from ``index`` on that fit into one message, at least one if there are any."""
        batch, size = list[Entry](), 0
        for entry in self._entries[index - self.first_index :]:
            size += len(entry.data) + 16  # 16 for the entry's other fields
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(entry)
        return tuple(batch)

    def replace_from(self, first: int, entries: Iterable[Entry]) -> None:
        """Store ``entries`` from index ``first`` on, dropping everything at or after it."""
        self._entries[first - self.first_index :] = entries

    def compact(self, snapshot: Snapshot) -> None:
        """Replace entries by a snapshot that covers them.

        If the snapshot goes beyond the log or conflicts with it, all entries are dropped.
        """
        if self.term_at(snapshot.index) == snapshot.term:
            self._entries = self._entries[snapshot.index - self.snapshot.index :]
        else:
            self._entries = []
        self.snapshot = snapshot
