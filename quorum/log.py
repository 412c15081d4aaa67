"""The log behind a snapshot: indices start at 1, and what the snapshot holds is gone."""

from __future__ import annotations

from collections.abc import Iterable

from quorum.messages import Entry, Snapshot

MAX_BATCH_BYTES = 256 * 1024  # of entries in one message


class Log:
    """Entries by index."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry]) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)

    @property
    def first_index(self) -> int:
        """The index of the first entry that is kept."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """The index of the last entry, also where only the snapshot holds it."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def __len__(self) -> int:
        return len(self._entries)

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it is not known here."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.first_index <= index <= self.last_index:
            return self._entries[index - self.first_index].term
        return None

    def entry_at(self, index: int) -> Entry:
        """The entry of that index, which is kept."""
        return self._entries[index - self.first_index]

    def entries_from(self, index: int) -> tuple[Entry, ...]:
        """Entries from an index on, as many as one message takes, at least one."""
        found, size = list[Entry](), 0
        for entry in self._entries[index - self.first_index :]:
            size += len(entry.data) + 16
            if found and size > MAX_BATCH_BYTES:
                break
            found.append(entry)
        return tuple(found)

    def replace_from(self, first: int, entries: Iterable[Entry]) -> None:
        """Entries from ``first`` on; what stood at or behind it goes."""
        self._entries[first - self.first_index :] = entries

    def compact(self, snapshot: Snapshot) -> None:
        """Drop what a snapshot holds; where it goes past the log or disagrees with it, drop all."""
        if self.term_at(snapshot.index) == snapshot.term:
            self._entries = self._entries[snapshot.index - self.snapshot.index :]
        else:
            self._entries = []
        self.snapshot = snapshot
