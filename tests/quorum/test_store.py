"""A member's folder: incomplete records, damage, refused writes, and replacement by a snapshot."""

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


def written_state(folder: Path, writes: list[Persist]) -> RecoveredState:
    """Return the recovered state of a folder after some writes, each made by itself."""
    folder_store = Store(folder)
    for item in writes:
        folder_store.write([item])
    folder_store.close()
    return recovered(folder)


def recovered(folder: Path) -> RecoveredState:
    """Return the recovered state of a folder."""
    folder_store = Store(folder)
    folder_store.close()
    return folder_store.saved


def test_writes_come_back_and_later_ones_replace_what_stood_there(tmp_path: Path) -> None:
    """The recovered term, vote and entries are those of the latest writes."""
    found = written_state(tmp_path / "q", WRITES)
    assert found.hard == HardState(2, "")
    assert found.entries == (Entry(1, 1), Entry(2, 0, b"b"), Entry(2, 0, b"c"), Entry(2, 0, b"d"))


def test_a_log_torn_anywhere_gives_back_the_writes_before(tmp_path: Path) -> None:
    """Cut at any byte, the log gives back its complete records, and later writes follow them."""
    whole = tmp_path / "whole"
    sizes, folder_store = [0], Store(whole)
    for item in WRITES:
        folder_store.write([item])
        sizes.append(folder_store.size_bytes)
    folder_store.close()
    data = (whole / "log").read_bytes()
    lives = (whole / "lives").read_bytes()
    for length in range(len(data)):
        folder = tmp_path / f"torn-{length}"
        folder.mkdir()
        (folder / "log").write_bytes(data[:length])
        (folder / "lives").write_bytes(lives)
        count = sum(size <= length for size in sizes) - 1
        expected = written_state(tmp_path / f"as-{length}", WRITES[:count])
        assert recovered(folder) == expected
        again = [*WRITES[:count], Persist(9, HardState(7, "q1"))]
        assert written_state(folder, again[-1:]) == written_state(tmp_path / f"again-{length}", again)


def test_damage_before_the_end_is_told(tmp_path: Path) -> None:
    """A changed byte in a record that is followed by others is an error; nothing is guessed."""
    written_state(tmp_path / "q", WRITES)
    path = tmp_path / "q" / "log"
    data = bytearray(path.read_bytes())
    data[12] ^= 0xFF
    path.write_bytes(data)
    with pytest.raises(StoreError, match="damaged"):
        Store(tmp_path / "q")


@pytest.mark.parametrize("with_snapshot", [False, True])
def test_a_write_that_the_disk_refuses_leaves_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, with_snapshot: bool
) -> None:
    """A refused write leaves neither a partial record nor a partial file, and it can be repeated."""
    folder_store = Store(tmp_path / "q")
    folder_store.write(WRITES[:2])
    real, refuses = store.write_whole, True
    snapshot = Snapshot(2, 1, ("q0",), b"state") if with_snapshot else None
    last = Persist(5, HardState(3, "q2"), 3, (Entry(3, 0, b"e"),), snapshot)

    def write(handle: int, data: bytes) -> None:
        if refuses:
            real(handle, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "No space left on device")
        real(handle, data)

    monkeypatch.setattr(store, "write_whole", write)
    with pytest.raises(OSError, match="No space"):
        folder_store.write([last])
    assert sorted(path.name for path in (tmp_path / "q").iterdir()) == ["lives", "lock", "log"]
    refuses = False
    folder_store.write([last])
    folder_store.close()
    found = recovered(tmp_path / "q")
    assert found.hard == HardState(3, "q2")
    assert found.entries[-1] == Entry(3, 0, b"e")
    assert found.snapshot.index == (2 if with_snapshot else 0)


def test_a_snapshot_takes_the_place_of_all_before(tmp_path: Path) -> None:
    """It also supersedes earlier writes of the same batch."""
    folder_store = Store(tmp_path / "q")
    for number in range(200):
        folder_store.write([Persist(number + 1, None, number + 1, (Entry(1, 0, bytes(100)),))])
    before = folder_store.size_bytes
    snapshot = Snapshot(150, 1, ("q0", "q1", "q2"), b"state")
    rest = tuple(Entry(1, 0, bytes(100)) for _ in range(50))
    late = Persist(300, None, 201, (Entry(1, 0, b"late"),))
    folder_store.write(
        [Persist(298, HardState(1, "q0")), Persist(299, HardState(1, "q0"), 151, rest, snapshot), late]
    )
    assert folder_store.size_bytes < before / 2
    folder_store.close()
    found = recovered(tmp_path / "q")
    assert found.snapshot == snapshot
    assert len(found.entries) == 51
    assert found.entries[-1] == Entry(1, 0, b"late")
