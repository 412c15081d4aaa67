"""A member's folder: torn ends, damage, writes that the disk refuses, and whole replacements."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from quorum import store
from quorum.messages import Entry, HardState, Persist, RecoveredState, Snapshot
from quorum.store import Store, StoreError

WRITES = [
    Persist(1, HardState(1, "q0")),
    Persist(2, None, 1, (Entry(1, 1), Entry(1, 0, b"a" * 40))),
    Persist(3, HardState(2, ""), 2, (Entry(2, 0, b"b"),)),
    Persist(4, None, 3, (Entry(2, 0, b"c"), Entry(2, 0, b"d"))),
]


def written(folder: Path, writes: list[Persist]) -> RecoveredState:
    """What a folder gives back after some writes, each by itself."""
    some = Store(folder)
    for item in writes:
        some.write([item])
    some.close()
    return saved(folder)


def saved(folder: Path) -> RecoveredState:
    """What a folder gives back."""
    some = Store(folder)
    some.close()
    return some.saved


def test_writes_come_back_and_later_ones_replace_what_stood_there(tmp_path: Path) -> None:
    """Term, vote and entries."""
    found = written(tmp_path / "q", WRITES)
    assert found.hard == HardState(2, "")
    assert found.entries == (Entry(1, 1), Entry(2, 0, b"b"), Entry(2, 0, b"c"), Entry(2, 0, b"d"))


def test_a_log_torn_anywhere_gives_back_the_writes_before(tmp_path: Path) -> None:
    """And goes on from there: what comes next is read again."""
    whole = tmp_path / "whole"
    sizes, some = [0], Store(whole)
    for item in WRITES:
        some.write([item])
        sizes.append(some.size_bytes)
    some.close()
    data = (whole / "log").read_bytes()
    lives = (whole / "lives").read_bytes()
    for at in range(len(data)):
        folder = tmp_path / f"torn-{at}"
        folder.mkdir()
        (folder / "log").write_bytes(data[:at])
        (folder / "lives").write_bytes(lives)
        count = sum(size <= at for size in sizes) - 1
        expected = written(tmp_path / f"as-{at}", WRITES[:count])
        assert saved(folder) == expected
        again = [*WRITES[:count], Persist(9, HardState(7, "q1"))]
        assert written(folder, again[-1:]) == written(tmp_path / f"again-{at}", again)


def test_damage_before_the_end_is_told(tmp_path: Path) -> None:
    """A byte that changed in a record with others behind it: nothing is guessed."""
    written(tmp_path / "q", WRITES)
    path = tmp_path / "q" / "log"
    data = bytearray(path.read_bytes())
    data[12] ^= 0xFF
    path.write_bytes(data)
    with pytest.raises(StoreError, match="damaged"):
        Store(tmp_path / "q")


@pytest.mark.parametrize("whole", [False, True])
def test_a_write_that_the_disk_refuses_leaves_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, whole: bool
) -> None:
    """Not half a record, not half a file; the next try counts as if there had been none."""
    some = Store(tmp_path / "q")
    some.write(WRITES[:2])
    real, refuses = store.write_whole, True
    snapshot = Snapshot(2, 1, ("q0",), b"state") if whole else None
    last = Persist(5, HardState(3, "q2"), 3, (Entry(3, 0, b"e"),), snapshot)

    def write(handle: int, data: bytes) -> None:
        if refuses:
            real(handle, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "No space left on device")
        real(handle, data)

    monkeypatch.setattr(store, "write_whole", write)
    with pytest.raises(OSError, match="No space"):
        some.write([last])
    assert sorted(path.name for path in (tmp_path / "q").iterdir()) == ["lives", "lock", "log"]
    refuses = False
    some.write([last])
    some.close()
    found = saved(tmp_path / "q")
    assert found.hard == HardState(3, "q2")
    assert found.entries[-1] == Entry(3, 0, b"e")
    assert found.snapshot.index == (2 if whole else 0)


def test_a_snapshot_takes_the_place_of_all_before(tmp_path: Path) -> None:
    """Also of writes that pile up with it."""
    some = Store(tmp_path / "q")
    for number in range(200):
        some.write([Persist(number + 1, None, number + 1, (Entry(1, 0, bytes(100)),))])
    before = some.size_bytes
    snapshot = Snapshot(150, 1, ("q0", "q1", "q2"), b"state")
    rest = tuple(Entry(1, 0, bytes(100)) for _ in range(50))
    late = Persist(300, None, 201, (Entry(1, 0, b"late"),))
    some.write(
        [Persist(298, HardState(1, "q0")), Persist(299, HardState(1, "q0"), 151, rest, snapshot), late]
    )
    assert some.size_bytes < before / 2
    some.close()
    found = saved(tmp_path / "q")
    assert found.snapshot == snapshot
    assert len(found.entries) == 51
    assert found.entries[-1] == Entry(1, 0, b"late")
