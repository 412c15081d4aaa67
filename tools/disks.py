"""What a durable write costs a quorum's member: its log file against sqlite3, ``python -m tools.disks``.

Both write the same entries and are synced before a write counts: the file by fsync, sqlite3 by a transaction
with ``synchronous=FULL`` on a write-ahead log. They take turns, so that both meet the same disk.
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

ROUNDS, WRITES_PER_ROUND = 5, 60  # turns of each, and writes in a turn
BATCH_SIZES = (1, 8, 64)  # entries in a write
ENTRY = Entry(3, 0, bytes(80))  # the size of a renewal


def file_writer(folder: Path) -> Callable[[int, int], None]:
    """The member's own store."""
    store = Store(folder)

    def write(first: int, count: int) -> None:
        store.write([Persist(first, None, first, (ENTRY,) * count)])

    return write


def sqlite_writer(folder: Path) -> Callable[[int, int], None]:
    """A table of entries."""
    folder.mkdir()
    database = sqlite3.connect(folder / "log.db", isolation_level=None)
    database.execute("PRAGMA journal_mode=WAL")
    database.execute("PRAGMA synchronous=FULL")
    database.execute("CREATE TABLE log (at INTEGER PRIMARY KEY, term INTEGER, kind INTEGER, data BLOB)")

    def write(first: int, count: int) -> None:
        database.execute("BEGIN IMMEDIATE")
        database.execute("DELETE FROM log WHERE at >= ?", (first,))
        rows = [(first + at, ENTRY.term, ENTRY.kind, ENTRY.data) for at in range(count)]
        database.executemany("INSERT INTO log VALUES (?, ?, ?, ?)", rows)
        database.execute("COMMIT")

    return write


def measure_writes(write: Callable[[int, int], None], first: int, count: int) -> tuple[int, list[float]]:
    """One turn: the next index, and each write's time in ms."""
    times = []
    for _ in range(WRITES_PER_ROUND):
        begun_s = time.perf_counter()
        write(first, count)
        times.append((time.perf_counter() - begun_s) * 1000)
        first += count
    return first, times


def main() -> None:
    """A line for each batch size."""
    for count in BATCH_SIZES:
        with tempfile.TemporaryDirectory(dir=".") as folder:
            ways = {
                "file": file_writer(Path(folder) / "file"),
                "sqlite3": sqlite_writer(Path(folder) / "sqlite"),
            }
            at, times = dict.fromkeys(ways, 1), {name: list[float]() for name in ways}
            for _ in range(ROUNDS):
                for name, write in ways.items():
                    at[name], more = measure_writes(write, at[name], count)
                    times[name] += more
        told = ", ".join(
            f"{name} {median(some):.2f} ms (p99 {quantiles(some, n=100)[98]:.2f})"
            for name, some in times.items()
        )
        print(f"{count:3} entries a write: {told}")


if __name__ == "__main__":
    main()
