"""Compares durable writes of a quorum member's log file and of sqlite3: ``python -m tools.disks``.

Both write the same entries and sync each write: the file by fsync, sqlite3 by a transaction with
``synchronous=FULL`` on a write-ahead log. They run in turns, so that both meet the same state of the disk.
"""

from __future__ import annotations

import sqlite3
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from statistics import median, quantiles

from quorum.messages import Entry, Persist
from quorum.store import Store

ROUNDS = 5
WRITES_PER_ROUND = 60  # of each of the two
BATCH_SIZES = (1, 8, 64)  # entries in a write
ENTRY = Entry(3, 0, bytes(80))  # as large as the entry of a lease's renewal


def file_writer(folder: Path) -> Callable[[int, int], None]:
    """Return a function that writes entries to a member's own store.

    It takes the index of the first entry and the number of entries.
    """
    store = Store(folder)

    def write(first: int, count: int) -> None:
        store.write([Persist(first, None, first, (ENTRY,) * count)])

    return write


def sqlite_writer(folder: Path) -> Callable[[int, int], None]:
    """Return a function that writes entries to a table of sqlite3; it takes the same arguments."""
    folder.mkdir()
    database = sqlite3.connect(folder / "log.db", isolation_level=None)
    database.execute("PRAGMA journal_mode=WAL")
    database.execute("PRAGMA synchronous=FULL")
    database.execute("CREATE TABLE log (at INTEGER PRIMARY KEY, term INTEGER, kind INTEGER, data BLOB)")

    def write(first: int, count: int) -> None:
        database.execute("BEGIN IMMEDIATE")
        database.execute("DELETE FROM log WHERE at >= ?", (first,))
        rows = [(first + offset, ENTRY.term, ENTRY.kind, ENTRY.data) for offset in range(count)]
        database.executemany("INSERT INTO log VALUES (?, ?, ?, ?)", rows)
        database.execute("COMMIT")

    return write


def measure_writes(write: Callable[[int, int], None], first: int, count: int) -> tuple[int, list[float]]:
    """Run one round of writes; returns the next free index, and the time of each write in ms."""
    times_ms = []
    for _ in range(WRITES_PER_ROUND):
        start_s = time.perf_counter()
        write(first, count)
        times_ms.append((time.perf_counter() - start_s) * 1000)
        first += count
    return first, times_ms


def main() -> None:
    """Measure each batch size and print a line for it."""
    for count in BATCH_SIZES:
        with tempfile.TemporaryDirectory(dir=".") as folder:
            writers = {
                "file": file_writer(Path(folder) / "file"),
                "sqlite3": sqlite_writer(Path(folder) / "sqlite"),
            }
            next_index, times_ms = dict.fromkeys(writers, 1), {name: list[float]() for name in writers}
            for _ in range(ROUNDS):
                for name, write in writers.items():
                    next_index[name], round_times_ms = measure_writes(write, next_index[name], count)
                    times_ms[name] += round_times_ms
        results = ", ".join(
            f"{name} {median(times):.2f} ms (p99 {quantiles(times, n=100)[98]:.2f})"
            for name, times in times_ms.items()
        )
        print(f"{count:3} entries a write: {results}")


if __name__ == "__main__":
    main()
