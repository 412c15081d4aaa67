"""The cost of a backlog in counts: how they grow with its size, and that planted faults are detected."""

from __future__ import annotations

import statistics
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest

from decisions.engine import DecisionEngine
from fleetlab.scale.fit import growth_exponent
from fleetlab.scale.held_load import (
    BODY_BYTES,
    DOWN_COUNT,
    EVENLY_SPREAD,
    START_US,
    make_backlog,
    make_message,
    reserved_bytes,
)
from fleetlab.scale.replay import replay_in_process
from fleetlab.scale.simulated_module import STEP_INTERVAL_US, SimulatedModule, count_executed_lines
from fleetlab.scale.subjects.backlog import (
    MeasuredJournal,
    accept_all,
    add_backlog,
    ample_disk_bytes,
    measure_journal,
    required_disk_bytes,
    run_churn,
)
from fleetlab.scale.subjects.replay_process import measure as measure_process
from relay.driver import HeldMessage
from relay.journal import Journal, JournalFullError

SIZES = (100, 200, 400, 800)
MODULE_SIZES = (1_000, 2_000, 4_000, 8_000)
CHURN = 50  # messages: too little garbage for a compaction
SEED = 5
MAX_COMPACTIONS = 2  # while 1,000 messages come and go
LINEAR = pytest.approx(1, abs=0.05)
STEPS = 20  # whose executed lines are counted at each size

Points = list[tuple[int, float]]  # size and value
JournalFactory = Callable[[Path, int], MeasuredJournal]


class CompactsAlways(MeasuredJournal):
    """A planted quadratic cost: each record has the whole log written again."""

    def _append(self, records: list[tuple[list[Any], bytes]]) -> None:
        super()._append(records)
        self._size_bytes += 1  # a log without garbage would not be compacted
        self._compact()


def make_messages(size: int) -> list[HeldMessage]:
    """The messages of a backlog."""
    return list(make_backlog(size, EVENLY_SPREAD, SEED))


def written_bytes_by_size(folder: Path, journal_factory: JournalFactory) -> Points:
    """Bytes that a journal writes to accept backlogs of several sizes."""
    points = []
    for size in SIZES:
        (journal_folder := folder / str(size)).mkdir()
        journal = journal_factory(journal_folder, ample_disk_bytes(size))
        accept_all(journal, make_messages(size))
        journal.close()
        points.append((size, float(journal.written_bytes)))
    return points


def test_each_message_of_a_backlog_is_one_write_of_the_same_size(tmp_path: Path) -> None:
    for size in SIZES:
        (folder := tmp_path / str(size)).mkdir()
        journal = MeasuredJournal(folder, ample_disk_bytes(size))
        figures = {
            r.figure: r.value for r in measure_journal(journal, folder, make_messages(size), SEED, CHURN)
        }
        journal.close()
        assert figures["journal_writes"] == size
        assert figures["recovered_messages"] == size
        assert figures["held_after_restart_messages"] == size
        assert figures["churn_compactions"] == 0
        assert 2 * BODY_BYTES < figures["journal_bytes"] / size < 2.2 * BODY_BYTES


def test_journal_bytes_grow_with_the_messages(tmp_path: Path) -> None:
    assert growth_exponent(written_bytes_by_size(tmp_path, MeasuredJournal)) == LINEAR


def test_a_compaction_at_each_append_is_detected(tmp_path: Path) -> None:
    points = written_bytes_by_size(tmp_path, CompactsAlways)
    assert growth_exponent(points) != LINEAR
    assert growth_exponent(points) > 1.8


def test_a_compaction_writes_a_backlog_no_more_than_once(tmp_path: Path) -> None:
    """Messages that come and go leave the same garbage, so the compactions are as many for any backlog."""
    points = []
    for size in SIZES:
        (folder := tmp_path / str(size)).mkdir()
        journal = MeasuredJournal(folder, ample_disk_bytes(size))
        accept_all(journal, make_messages(size))
        before_bytes = journal.written_bytes
        run_churn(journal, Random(SEED), 1_000)
        journal.close()
        assert journal.compactions <= MAX_COMPACTIONS
        points.append((size, float(journal.written_bytes - before_bytes)))
    growth = (points[-1][1] - points[0][1]) / (SIZES[-1] - SIZES[0])
    assert growth <= MAX_COMPACTIONS * 2.2 * BODY_BYTES


def test_the_required_disk_is_enough_and_hardly_more(tmp_path: Path) -> None:
    messages = make_messages(400)
    probe = Journal(tmp_path, ample_disk_bytes(400))
    accept_all(probe, messages)
    probe.close()
    (folder := tmp_path / "exact").mkdir()
    journal = Journal(folder, required_disk_bytes(messages, probe.written_bytes))
    accept_all(journal, messages)
    more = [make_message(number, 0, START_US, Random(number)) for number in range(3)]
    with pytest.raises(JournalFullError, match="budget"):
        accept_all(journal, more)
    journal.close()
    assert replay_in_process(folder, ample_disk_bytes(400)).recovered >= 400
    assert reserved_bytes(messages[0]) > BODY_BYTES


def step_lines_by_size() -> Points:
    """Median executed lines of a step with one arrival, by the size of a backlog for another destination."""
    points = []
    for size in MODULE_SIZES:
        random = Random(SEED)
        messages = [make_message(number, 0, START_US, random) for number in range(size)]
        module = SimulatedModule({held.message.id: held for held in messages}, 100_000, SEED, DOWN_COUNT + 1)
        add_backlog(module, messages)
        assert module.engine.open_messages == size
        points.append((size, statistics.median(arrival_lines(module, random) for _ in range(STEPS))))
    return points


def arrival_lines(module: SimulatedModule, random: Random) -> int:
    """Executed lines of one step with a message for a destination that is up."""
    arrival = module.arrival(make_message(0, DOWN_COUNT, module.now_us, random))
    return count_executed_lines(lambda: module.advance(STEP_INTERVAL_US, [arrival]))


def test_an_arrival_does_not_cost_more_with_a_larger_backlog() -> None:
    assert growth_exponent(step_lines_by_size()) < 0.1


def test_a_scan_of_the_backlog_in_each_step_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    expire = DecisionEngine._expire

    def scan(relay: DecisionEngine) -> None:
        for held in relay.messages.values():
            assert not held.done
        expire(relay)

    monkeypatch.setattr(DecisionEngine, "_expire", scan)
    assert growth_exponent(step_lines_by_size()) > 0.9


def test_the_real_process_holds_what_the_journal_holds() -> None:
    size = 300
    figures = {reading.figure: reading.value for reading in measure_process(size, SEED)}
    assert figures["real_held_messages"] == size
    assert 2 * BODY_BYTES < figures["real_journal_bytes"] / size < 2.2 * BODY_BYTES
