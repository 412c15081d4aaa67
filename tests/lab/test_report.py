"""The results of runs: the report's page, the comparison, the table, shrinking, and the README's demo."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest

from fleetlab import run_folders, scenario
from fleetlab.checks import judge_run
from fleetlab.report import latency_rows, render_page
from tests.lab.test_planted_bugs import run_lab

SCENARIO = """
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
def run_folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The folder of a finished run."""
    parent = tmp_path_factory.mktemp("report")
    (parent / "day.toml").write_text(SCENARIO)
    process = run_lab("run", str(parent / "day.toml"), "--out", str(parent / "run"))
    assert process.returncode in (0, 1), process.stderr
    assert "what became of messages" in process.stdout
    return parent / "run"


def test_the_page_is_self_contained_and_shows_the_run(run_folder: Path) -> None:
    """The page loads nothing, escapes the scenario's text, and shows the counts of the result."""
    process = run_lab("report", str(run_folder))
    assert process.returncode == 0
    text = Path(process.stdout.strip()).read_text()
    assert not re.findall(r"(?:src|href)=\"(?!data:)", text)
    assert "a plain day &lt;of&gt; a few seconds" in text
    counts = json.loads((run_folder / "result.json").read_text())["counts"]
    assert f"<td>taken</td><td>{counts['taken']}</td>" in text
    assert text.count("<td>r1</td>") == 1
    assert "kill" in text


def test_latencies_are_those_of_the_history(run_folder: Path) -> None:
    """Counts and percentiles agree with a plain sort within the histogram's three digits."""
    run, result, findings = run_folders.judge_folder(run_folder)
    assert "<h1>" in render_page(run, result, findings)
    for name, count, median_ms, *_, highest_ms in latency_rows(run):
        latencies_ms = sorted(
            (delivered_s - trace.submission.first) * 1000
            for trace in run.traces.values()
            if trace.submission.cls == name
            and trace.accepted
            and (delivered_s := trace.delivered_s) is not None
        )
        assert int(count) == len(latencies_ms)
        assert int(median_ms) == pytest.approx(latencies_ms[(len(latencies_ms) - 1) // 2], abs=2, rel=0.01)
        assert int(highest_ms) == pytest.approx(latencies_ms[-1], abs=2, rel=0.01)


def test_a_run_compared_with_itself_differs_in_nothing(run_folder: Path) -> None:
    """All figures are equal; a folder that does not exist gives exit code 2."""
    process = run_lab("compare", str(run_folder), str(run_folder), "--json")
    pairs = json.loads(process.stdout)
    assert pairs["taken"][0] > 0
    assert all(before == after for before, after in pairs.values())
    assert run_lab("compare", str(run_folder), "/nowhere").returncode == 2


def test_a_row_of_the_table_adds_up_its_seeds(run_folder: Path) -> None:
    """Counts are summed, and checks that fail are named with the number of their findings."""
    run, result, _ = run_folders.judge_folder(run_folder)
    _, findings = judge_run(run, result.scenario)
    row = run_folders.table_row([result, result])
    cells = [cell.strip() for cell in row.strip("|").split("|")]
    assert len(cells) == run_folders.TABLE_HEADING.split("\n")[0].count("|") - 1
    assert cells[:4] == ["day", "2", str(2 * result.counts["messages"]), str(2 * result.counts["taken"])]
    failed = {name: 2 * len(found) for name, found in findings.items() if found}
    assert cells[-1] == (", ".join(f"{name} {count}" for name, count in sorted(failed.items())) or "hold")


def test_a_failing_run_is_shrunk_to_the_fault_that_matters(tmp_path: Path) -> None:
    """Faults that the failure does not need are removed; the relay's bug here needs none."""
    text = SCENARIO.replace('relay = "plain"\n', 'relay = "plain"\nbug = "forget"\n')
    plan = run_folders.make_plan("day", scenario.parse_scenario(text, "day"), 1)
    assert run_folders.failed_checks(run_folders.play(plan, tmp_path / "run", lambda _: None))
    faults, played = run_folders.shrink(tmp_path / "run", tmp_path / "small", lambda _: None, 3)
    assert (faults, played) == ([], 1)  # the bug loses messages without any fault
    assert run_folders.read_plan(tmp_path / "small").faults == []


def test_the_projects_demo_is_the_first_thing_that_the_readme_says() -> None:
    """Its command comes before every other."""
    readme = (scenario.SCENARIO_FOLDER.parent.parent / "README.md").read_text()
    commands = re.findall(r"^    (?!\s)(.+)$", readme, re.MULTILINE)
    assert commands[0].startswith("bash demo.sh")
