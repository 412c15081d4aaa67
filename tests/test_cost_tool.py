"""tools/cost, which measures the cost of a request: readings, comparisons and errors on bad input."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import pytest

from standins.scripted import ROOT
from tools.cost import table
from tools.cost.__main__ import main
from tools.cost.play import Checkout, Play, checkout, played
from tools.cost.reading import CostError, calls_of, status_of, taken
from tools.cost.scenarios import SCENARIOS, ready

HERE = Checkout("here", ROOT, f"exec {sys.executable} -m relay")
STRACE = """% time     seconds  usecs/call     calls syscall
------ ----------- ----------- --------- ----------------
 60.10    0.003000           3      1000 recvfrom
 39.90    0.002000           4       500 getpid
------ ----------- ----------- --------- ----------------
100.00    0.005000           3      1500 total
"""


def children() -> set[str]:
    """Return the ids of this process's child processes that still exist."""
    tasks = Path("/proc/self/task").iterdir()
    return {pid for task in tasks for pid in (task / "children").read_text().split()}


@pytest.mark.parametrize(
    ("arguments", "word"),
    [
        (["nonsense"], "nonsense"),
        (["start", "--against", "no-such-revision"], "no-such-revision"),
        (["start", "--pairs", "0"], "--pairs"),
        (["start", "--pairs", "many"], "--pairs"),
        (["--nonsense"], "--nonsense"),
        (["start", "--json", "/no/such/folder/file"], "--json"),
        (["start", "--profile", "/no/such/folder"], "--profile"),
    ],
)
def test_bad_input_ends_with_one_line(
    arguments: list[str], word: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(arguments) != 0
    out, err = capsys.readouterr()
    assert out == ""
    assert len(err.splitlines()) == 1
    assert word in err


def test_a_folder_without_a_build_is_an_error(tmp_path: Path) -> None:
    with pytest.raises(CostError, match="no build"):
        checkout("empty", tmp_path)


async def test_a_relay_that_does_not_start_is_reported_with_its_last_line() -> None:
    """And no process is left behind."""
    before = children()
    broken = Checkout("broken", ROOT, "echo first >&2; echo 'the last word' >&2; exit 3")
    with pytest.raises(CostError, match="broken: the relay does not start: the last word"):
        await played(broken, SCENARIOS["start"], False)
    assert children() == before


async def test_a_scenario_that_fails_leaves_no_process() -> None:
    before, seen = children(), list[int]()

    async def fails(play: Play) -> None:
        await ready(play, 1)
        seen.append(play.pid)
        raise CostError("enough")

    with pytest.raises(CostError, match="enough"):
        await played(HERE, fails, False)
    assert children() == before
    with pytest.raises(ProcessLookupError):
        os.kill(seen[0], 0)


async def test_a_run_reports_what_the_relay_used() -> None:
    """The figures of a short run are checked against what was done in it."""

    async def ten_messages(play: Play) -> None:
        await ready(play, 2)
        ids = [f"m{number}" for number in range(10)]
        await play.begin()
        await play.hand_in(ids, 0.0)
        await play.all_over(ids)
        await play.end(10)

    plain = await played(HERE, ten_messages, False)
    assert plain["cpu_us_per_message"] > 0
    assert plain["peak_memory_kb"] > 1000
    assert plain["descriptors"] > 5
    counted = await played(HERE, ten_messages, True)
    assert 1 <= counted["journal_writes_per_message"] <= 3
    assert counted["journal_bytes_per_message"] > 100
    assert counted["python_calls_per_message"] > 100
    assert not any(name.startswith("cpu") for name in counted)  # the times of a traced process mean nothing


def test_a_process_that_is_gone_cannot_be_read() -> None:
    with pytest.raises(CostError):
        taken(2**22 + 1)


def test_readings_of_this_process_agree_with_the_system() -> None:
    """Differences over some work are compared: only the system's total includes threads that have ended."""
    before, before_s = taken(os.getpid()), sum(os.times()[:2])
    while sum(os.times()[:2]) < before_s + 0.3:
        pass
    used, used_s = taken(os.getpid()), sum(os.times()[:2])
    assert abs((used.cpu_us - before.cpu_us) / 1e6 - (used_s - before_s)) < 0.1
    assert used.descriptors >= 3


def test_the_tables_of_strace_and_proc_are_parsed() -> None:
    assert calls_of(STRACE) == {"recvfrom": 1000, "getpid": 500}
    assert status_of("Name:\tx\nVmRSS:\t  120 kB\nSigQ:\t1/2\n") == {"VmRSS": 120}


def test_a_ratio_has_its_spread_and_whether_the_pairs_agree() -> None:
    base = [{"cpu": 100.0, "only": 1.0, "none": 0.0}, {"cpu": 200.0, "none": 0.0}, {"cpu": 50.0, "none": 0.0}]
    now = [{"cpu": 50.0, "none": 0.0}, {"cpu": 120.0, "none": 0.0}, {"cpu": 45.0, "none": 0.0}]
    ratios = table.compared(base, now)
    assert set(ratios) == {"cpu"}  # a figure that one side lacks, or that was zero before, has no ratio
    assert (ratios["cpu"].ratio, ratios["cpu"].least, ratios["cpu"].most) == (0.6, 0.5, 0.9)
    assert ratios["cpu"].clear
    mixed = table.compared([{"cpu": 1.0}, {"cpu": 1.0}], [{"cpu": 0.9}, {"cpu": 1.1}])
    assert not mixed["cpu"].clear
    assert table.double({"s": mixed}).splitlines()[1].endswith("=")
