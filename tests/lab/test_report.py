"""What is made of runs: the page, the comparison, the table, and the demo from a fresh start."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest

from fleetlab import run_folders, scenario
from fleetlab.checks import judge_run
from fleetlab.report import latency_rows, render_page
from tests.lab.test_planted_bugs import lab

DAY = """
about = "a plain day <of> a few seconds"
seconds = 3
relays = 2
relay = "plain"
[load]
per_s = 30
[[classes]]
name = "seat-status"
effect = "safe"
aim_s = 0.7
deadline_s = 2.0
share = 1.0
[[fault]]
kind = "kill"
at_s = 1.5
for_s = 0.5
on = ["r1"]
"""


@pytest.fixture(scope="module")
def folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """A run that is over."""
    where = tmp_path_factory.mktemp("report")
    (where / "day.toml").write_text(DAY)
    ended = lab("run", str(where / "day.toml"), "--out", str(where / "run"))
    assert ended.returncode in (0, 1), ended.stderr
    assert "what became of messages" in ended.stdout
    return where / "run"


def test_the_page_needs_nothing_else_and_tells_the_run(folder: Path) -> None:
    """No address in it leads anywhere, what a scenario says is text, and its counts are the result's."""
    ended = lab("report", str(folder))
    assert ended.returncode == 0
    text = Path(ended.stdout.strip()).read_text()
    assert not re.findall(r"(?:src|href)=\"(?!data:)", text)
    assert "a plain day &lt;of&gt; a few seconds" in text
    counts = json.loads((folder / "result.json").read_text())["counts"]
    assert f"<td>taken</td><td>{counts['taken']}</td>" in text
    assert text.count("<td>r1</td>") == 1
    assert "kill" in text


def test_latencies_are_those_of_the_history(folder: Path) -> None:
    """Counted and ranked by the histogram as by a plain sort, to its three digits."""
    run, result, found = run_folders.judge_folder(folder)
    assert "<h1>" in render_page(run, result, found)
    for name, count, half, *_, most in latency_rows(run):
        took = sorted(
            (delivered - trace.submission.first) * 1000
            for trace in run.traces.values()
            if trace.submission.cls == name
            and trace.accepted
            and (delivered := trace.delivered_s) is not None
        )
        assert int(count) == len(took)
        assert int(half) == pytest.approx(took[(len(took) - 1) // 2], abs=2, rel=0.01)
        assert int(most) == pytest.approx(took[-1], abs=2, rel=0.01)


def test_a_run_compared_with_itself_differs_in_nothing(folder: Path) -> None:
    """And the names of both sides are the same."""
    ended = lab("compare", str(folder), str(folder), "--json")
    pairs = json.loads(ended.stdout)
    assert pairs["taken"][0] > 0
    assert all(one == other for one, other in pairs.values())
    assert lab("compare", str(folder), "/nowhere").returncode == 2


def test_a_row_of_the_table_adds_up_its_seeds(folder: Path) -> None:
    """Counts are summed, what does not hold is named with its count."""
    run, result, _ = run_folders.judge_folder(folder)
    _, twice = judge_run(run, result.scenario)
    line = run_folders.table_row([result, result])
    cells = [cell.strip() for cell in line.strip("|").split("|")]
    assert len(cells) == run_folders.TABLE_HEADING.split("\n")[0].count("|") - 1
    assert cells[:4] == ["day", "2", str(2 * result.counts["messages"]), str(2 * result.counts["taken"])]
    broken = {name: 2 * len(some) for name, some in twice.items() if some}
    assert cells[-1] == (", ".join(f"{name} {count}" for name, count in sorted(broken.items())) or "hold")


def test_a_failing_run_is_shrunk_to_the_fault_that_matters(tmp_path: Path) -> None:
    """A lost folder loses messages, a delay of the list does not."""
    text = DAY.replace('relay = "plain"\n', 'relay = "plain"\nbug = "forget"\n')
    plan = run_folders.make_plan("day", scenario.parse_scenario(text, "day"), 1)
    assert run_folders.failed_checks(run_folders.play(plan, tmp_path / "run", lambda _: None))
    faults, played = run_folders.shrink(tmp_path / "run", tmp_path / "small", lambda _: None, 3)
    assert (faults, played) == ([], 1)  # the bug needs no fault at all
    assert run_folders.read_plan(tmp_path / "small").faults == []


def test_the_projects_demo_is_the_first_thing_that_the_readme_says() -> None:
    """Its command stands before every other."""
    readme = (scenario.SCENARIO_FOLDER.parent.parent / "README.md").read_text()
    commands = re.findall(r"^    (?!\s)(.+)$", readme, re.MULTILINE)
    assert commands[0].startswith("bash demo.sh")
