"""The journal on real files: incomplete and damaged logs, compaction and the disk budget."""

from __future__ import annotations

import errno
import json
import os
from dataclasses import asdict
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from relay.driver import ClientMessage
from relay.journal import (
    FINISHED_BUDGET_SHARE,
    MIN_COMPACTION_GARBAGE_BYTES,
    RECORD_MARK,
    Attempt,
    Journal,
    JournalFullError,
    round_up_to_blocks,
)

DISK_BYTES = 3_000_000


def reopened(folder: Path, disk_bytes: int = DISK_BYTES) -> Journal:
    """The journal as the next life opens it."""
    return Journal(folder, disk_bytes)


def accept(journal: Journal, *refs: str, size: int = 10) -> None:
    """Accept messages; ``size`` is how often the id is repeated in the body."""
    for ref in refs:
        journal.accept(ref, {"id": ref, "dest": 1}, ref.encode() * size)


def test_every_record_is_read_back(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK_BYTES)
    accept(journal, "a", "b", "c", "d")
    journal.record_attempts([("a", Attempt(0, "h1", "z", 5)), ("b", Attempt(0, "h2", "y", 6))])
    journal.record_never_ran("a", 0)
    journal.record_end("c", "bounced", 500)
    journal.record_over("d")
    journal.close()
    found = reopened(tmp_path).recovered
    assert list(found) == ["a", "b", "c"]
    assert (found["a"].fields, found["a"].body) == ({"id": "a", "dest": 1}, b"a" * 10)
    assert found["a"].attempts == [Attempt(0, "h1", "z", 5, never_ran=True)]
    assert found["b"].attempts == [Attempt(0, "h2", "y", 6)]
    assert found["c"].notice == ("bounced", 500)


def test_sent_messages_that_are_over_are_known_by_the_next_life_behind_compactions(tmp_path: Path) -> None:
    """Guards against a second run of an id that comes again behind a restart."""
    journal = Journal(tmp_path, DISK_BYTES)
    for number in range(3_000):
        ref = f"m{number}"
        accept(journal, ref, size=50)
        if number % 2:
            journal.record_attempts([(ref, Attempt(0, "h1", "z", 5))])
        journal.record_over(ref)
    journal.close()
    assert (tmp_path / "journal").stat().st_size < 3_000 * 250  # it was compacted
    for _ in range(2):
        journal = reopened(tmp_path)
        assert journal.finished_ids[-1_500:] == [f"m{number}" for number in range(3_000) if number % 2]
        journal._compact()
        journal.close()


def test_the_ids_of_messages_that_are_over_take_a_bounded_share_of_the_disk(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 64_000)
    for number in range(2_000):
        accept(journal, ref := f"m{number}")
        journal.record_attempts([(ref, Attempt(0, "h1", "z", 5))])
        journal.record_over(ref)
    assert len(" ".join(journal.finished_ids)) <= 64_000 * FINISHED_BUDGET_SHARE
    assert journal.finished_ids[-1] == "m1999"
    assert (tmp_path / "journal").stat().st_size <= 64_000


def test_a_tail_torn_anywhere_is_cut_off_before_appending(tmp_path: Path) -> None:
    """SIGKILL may interrupt a write; a record appended behind half a record would be lost."""
    journal = Journal(tmp_path, DISK_BYTES)
    accept(journal, "a")
    whole = (tmp_path / "journal").stat().st_size
    accept(journal, "b")
    data = (tmp_path / "journal").read_bytes()
    for end in range(whole, len(data)):
        (tmp_path / "journal").write_bytes(data[:end])
        accept(reopened(tmp_path), "c")
        assert list(reopened(tmp_path).recovered) == ["a", "c"]


@pytest.mark.parametrize("at", [0, 5, 9, 20])
def test_a_damaged_record_is_skipped_and_the_rest_kept(
    tmp_path: Path, at: int, caplog: pytest.LogCaptureFixture
) -> None:
    journal = Journal(tmp_path, DISK_BYTES)
    accept(journal, "a")
    start = (tmp_path / "journal").stat().st_size
    accept(journal, "b", "c")
    data = bytearray((tmp_path / "journal").read_bytes())
    data[start + at] ^= 0xFF
    (tmp_path / "journal").write_bytes(data)
    assert list(reopened(tmp_path).recovered) == ["a", "c"]
    assert "damaged" in caplog.text


def test_compaction_keeps_unfinished_messages_and_bounds_the_log(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK_BYTES)
    accept(journal, "kept")
    journal.record_attempts([("kept", Attempt(0, "h", "z", 1))])
    for number in range(3000):
        accept(journal, f"m{number}", size=50)
        journal.record_over(f"m{number}")
    assert (tmp_path / "journal").stat().st_size < 2 * MIN_COMPACTION_GARBAGE_BYTES
    found = reopened(tmp_path).recovered
    assert list(found) == ["kept"]
    assert found["kept"].attempts == [Attempt(0, "h", "z", 1)]


def test_bans_outlast_compaction_until_they_are_lifted(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK_BYTES)
    for host in ("h1", "h2", "h1"):
        journal.set_banned(host, True)
    for number in range(2 * MIN_COMPACTION_GARBAGE_BYTES // 400):
        accept(journal, f"m{number}", size=100)
        journal.record_over(f"m{number}")
    assert (tmp_path / "journal").stat().st_size < 2 * MIN_COMPACTION_GARBAGE_BYTES
    journal.set_banned("h2", False)
    journal.close()
    assert reopened(tmp_path).banned_hosts == ["h1"]


def test_a_compaction_that_did_not_end_is_cleared_away(tmp_path: Path) -> None:
    accept(Journal(tmp_path, DISK_BYTES), "a")
    (tmp_path / "journal.new").write_bytes(b"half")
    assert list(reopened(tmp_path).recovered) == ["a"]
    assert not (tmp_path / "journal.new").exists()


def test_a_full_budget_refuses_messages_and_keeps_room_for_unfinished_ones(tmp_path: Path) -> None:
    disk_bytes = 200_000
    journal, refs = Journal(tmp_path, disk_bytes), []
    with pytest.raises(JournalFullError):
        for number in range(1000):
            accept(journal, f"m{number}", size=500)
            refs.append(f"m{number}")
    assert refs
    for ref in refs:  # all their later records fit
        for number in range(6):
            journal.record_attempts([(ref, Attempt(number, "s-0123456789", "floor-2", 1 << 50))])
            journal.record_never_ran(ref, number)
        journal.record_end(ref, "bounced", 2000)
        assert sum(round_up_to_blocks(path.stat().st_size) for path in tmp_path.iterdir()) <= disk_bytes
    assert {r.notice for r in reopened(tmp_path, disk_bytes).recovered.values()} == {("bounced", 2000)}
    for ref in refs:
        journal.record_over(ref)
    accept(journal, "again")


def test_a_thousand_open_messages_fit_the_usual_disk(tmp_path: Path) -> None:
    """If they were refused, clients would repeat them while the relay had free slots."""
    journal = Journal(tmp_path, DISK_BYTES)
    for number in range(1000):
        accept(journal, f"{number:016x}", size=40)  # bodies of 640 bytes
    assert len(reopened(tmp_path).recovered) == 1000


def test_compaction_keeps_the_first_uncertain_attempt_and_the_latest(tmp_path: Path) -> None:
    """The window of a key and the limit on attempts count from these, also in the next life."""
    journal = Journal(tmp_path, DISK_BYTES)
    accept(journal, "kept")
    for number in range(7):
        journal.record_attempts([("kept", Attempt(number, f"h{number}", "z", 10 + number))])
        if number in (0, 1, 4, 6):
            journal.record_never_ran("kept", number)
    for number in range(600):
        accept(journal, f"m{number}", size=200)
        journal.record_over(f"m{number}")
    assert reopened(tmp_path).recovered["kept"].attempts == [
        Attempt(2, "h2", "z", 12),
        Attempt(6, "h6", "z", 16, never_ran=True),
    ]


def test_a_disk_that_fails_every_write_refuses_messages(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK_BYTES)
    journal.close()  # writes fail from here on
    with pytest.raises(JournalFullError):
        accept(journal, "a")
    journal.record_over("a")  # logged, not raised: it must not stop the relay


STEPS = st.lists(
    st.tuples(st.sampled_from(["in", "try", "not", "end", "over"]), st.integers(0, 5)), max_size=40
)


@settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(steps=STEPS, bodies=st.lists(st.binary(max_size=40), min_size=6, max_size=6), cut=st.integers(0, 60))
def test_any_history_is_told_again_up_to_its_torn_tail(
    tmp_path_factory: pytest.TempPathFactory, steps: list[tuple[str, int]], bodies: list[bytes], cut: int
) -> None:
    folder = tmp_path_factory.mktemp("journal")
    journal, path = Journal(folder, DISK_BYTES), folder / "journal"
    states: list[tuple[int, dict[str, tuple[bytes, int, object]]]] = [(0, {})]
    current: dict[str, tuple[bytes, int, object]] = {}
    for kind, number in steps:
        ref, body = f"m{number}", bodies[number]
        if (kind == "in") == (ref in current):
            continue
        if kind == "in":
            journal.accept(ref, {}, body)
            current[ref] = (body, 0, None)
        elif kind == "over":
            journal.record_over(ref)
            del current[ref]
        else:
            _, attempts, notice = current[ref]
            if kind == "try":
                journal.record_attempts([(ref, Attempt(attempts, "h", "z", 1))])
                current[ref] = (body, attempts + 1, notice)
            elif kind == "end":
                journal.record_end(ref, "dead", 0)
                current[ref] = (body, attempts, ("dead", 0))
            else:
                journal.record_never_ran(ref, 0)
        states.append((path.stat().st_size, dict(current)))
    journal.close()
    end = max(0, path.stat().st_size - cut)
    path.write_bytes(path.read_bytes()[:end])
    expected = [state for size, state in states if size <= end][-1]
    found = reopened(folder).recovered
    assert {ref: (m.body, len(m.attempts), m.notice) for ref, m in found.items()} == expected


def test_a_message_is_journaled_field_by_field() -> None:
    """``fields`` returns what ``asdict`` would, without its deep copies."""
    message = ClientMessage("m1", 3, "keyed", 123, "t", "", "k")
    assert message.fields == asdict(message)
    assert ClientMessage(**json.loads(json.dumps(message.fields))) == message


def test_a_compaction_without_a_free_descriptor_is_repeated_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old log stays in use, no accepted message is lost, and the next compaction succeeds."""
    journal, real_open, opened = Journal(tmp_path, DISK_BYTES), os.open, list[str]()

    def open_fails(path: Path, *args: int) -> int:
        opened.append(str(path))
        raise OSError(errno.EMFILE, "none left")

    monkeypatch.setattr(os, "open", open_fails)
    accept(journal, "kept")
    for number in range(200):
        accept(journal, f"m{number}", size=500)
        journal.record_over(f"m{number}")
    assert any(name.endswith("journal.new") for name in opened)
    grown_bytes = (tmp_path / "journal").stat().st_size
    monkeypatch.setattr(os, "open", real_open)
    accept(journal, "last", size=500)
    assert (tmp_path / "journal").stat().st_size < grown_bytes
    journal.close()
    assert set(reopened(tmp_path).recovered) == {"kept", "last"}


def test_a_replay_that_is_cut_off_is_made_again(tmp_path: Path) -> None:
    """A second kill during the replay: the next life reads the same, also from an incomplete tail."""
    journal = Journal(tmp_path, DISK_BYTES)
    for name in ("a", "b"):
        journal.accept(name, {"id": name}, b"x")
    journal.record_attempts([("a", Attempt(0, "h1", "z", 5))])
    journal.close()
    with (tmp_path / "journal").open("ab") as log:
        log.write(RECORD_MARK + b"half a record")
    lives = [Journal(tmp_path, DISK_BYTES) for _ in range(3)]  # none of them is closed before the next
    assert all(life.recovered == lives[0].recovered for life in lives)
    assert [len(message.attempts) for message in lives[0].recovered.values()] == [1, 0]
    for life in lives:
        life.close()
