"""Folders of runs: play a run into one, check it again, compare two, and shrink one that fails."""

from __future__ import annotations

import asyncio
import shutil
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec
import structlog

from fleetlab import fault_schedule
from fleetlab.checks import Finding, Result, Run, judge_run
from fleetlab.fleet import FleetError
from fleetlab.lab_run import Lab
from fleetlab.report import render_page
from fleetlab.scenario import Fault, Scenario
from standins import records

HISTORY_FILE = "history.jsonl"
RESULT_FILE = "result.json"
FAULTS_FILE = "faults.json"
PLAN_FILE = "scenario.json"
LOG_FILE = "lab.log"
REPORT_FILE = "report.html"
MAX_SHRINK_RUNS = 40  # by default
ProgressCallback = Callable[[str], None]


class RunError(ValueError):
    """A folder that holds no run, or that cannot be used for a new one."""


@dataclass(frozen=True, slots=True)
class Plan:
    """Everything that determines a run; ``name`` is the scenario's."""

    name: str
    scenario: Scenario
    seed: int
    faults: list[Fault]


def make_plan(name: str, scenario: Scenario, seed: int) -> Plan:
    """Return the plan of a scenario's run with a seed, with all faults drawn."""
    return Plan(name, scenario, seed, fault_schedule.schedule_faults(scenario, seed))


def play(plan: Plan, out: Path, report_progress: ProgressCallback) -> Result:
    """Play a run into a folder and return its result.

    The folder must not exist, be empty, or hold an earlier run, which is deleted; or else raise ``RunError``.
    Raise ``FleetError`` if the fleet does not come up.
    """
    if out.exists():
        if any(out.iterdir()) and not (out / PLAN_FILE).exists():
            raise RunError(f"{out}: the folder is there and holds no run")
        shutil.rmtree(out)
    out.mkdir(parents=True)
    plan_raw = {"name": plan.name, "seed": plan.seed, "scenario": plan.scenario}
    (out / PLAN_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(plan_raw)))
    (out / FAULTS_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(plan.faults)))
    with (out / LOG_FILE).open("w", encoding="utf-8") as file:
        log = structlog.wrap_logger(
            structlog.WriteLogger(file),
            processors=[structlog.processors.TimeStamper("iso"), structlog.processors.JSONRenderer()],
        )

        def log_and_report(text: str) -> None:
            log.msg(text)
            report_progress(text)

        asyncio.run(Lab(plan.scenario, plan.seed, out, plan.faults, log_and_report).play())
    return check(out)


def write_report(folder: Path) -> Path:
    """Write the report of a run and return its path."""
    run, result, findings = judge_folder(folder)
    path = folder / REPORT_FILE
    path.write_text(render_page(run, result, findings), encoding="utf-8")
    return path


class PlanFile(msgspec.Struct):
    """Contents of ``scenario.json``."""

    name: str
    seed: int
    scenario: Scenario


def read_plan(folder: Path) -> Plan:
    """Read the plan of a folder's run; raise ``RunError`` if there is none."""
    try:
        plan = msgspec.json.decode((folder / PLAN_FILE).read_bytes(), type=PlanFile)
        faults = msgspec.json.decode((folder / FAULTS_FILE).read_bytes(), type=list[Fault])
    except OSError as error:
        raise RunError(f"{folder}: no run: {error.strerror}: {Path(error.filename).name}") from None
    except msgspec.DecodeError as error:
        raise RunError(f"{folder}: {error}") from None
    return Plan(plan.name, plan.scenario, plan.seed, faults)


def read_run(folder: Path) -> Run:
    """Read a folder's history; raise ``RunError`` or ``records.HistoryError`` if it cannot be read."""
    return Run(records.read_history(folder / HISTORY_FILE))


def judge_folder(folder: Path) -> tuple[Run, Result, dict[str, list[Finding]]]:
    """Read a folder's history and check it; return it with its result and all findings."""
    run = read_run(folder)
    result, findings = judge_run(run, read_plan(folder).name)
    return run, result, findings


def check(folder: Path) -> Result:
    """Check a folder's history again, and write the result to ``result.json``."""
    _, result, _ = judge_folder(folder)
    (folder / RESULT_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(result)) + b"\n")
    return result


def failed_checks(result: Result) -> frozenset[str]:
    """Return the names of the checks that failed."""
    return frozenset(name for name, item in result.checks.items() if not item.ok)


def shrink(
    folder: Path, out: Path, report_progress: ProgressCallback, runs: int = MAX_SHRINK_RUNS
) -> tuple[list[Fault], int]:
    """Search for a minimal list of faults with which one of a run's failed checks still fails.

    Return the faults and how many runs the search took, and leave a run with them in ``out``. The search
    leaves out halves and then ever smaller parts (delta debugging, Zeller and Hildebrandt 2002). Each list is
    tried once, so that a failure that occurs only sometimes may shrink to more than its cause.
    """
    plan, failed_before = read_plan(folder), failed_checks(check(folder))
    if not failed_before:
        raise RunError(f"{folder}: nothing failed there")
    played = 0

    def fails(faults: Sequence[Fault]) -> bool:
        nonlocal played
        played += 1
        report_progress(f"run {played}: {len(faults)} faults")
        try:
            result = play(Plan(plan.name, plan.scenario, plan.seed, list(faults)), out, lambda _: None)
        except FleetError as error:
            report_progress(f"run {played} did not come up: {error}")
            return False
        return bool(failed_checks(result) & failed_before)

    smallest = minimize_faults(plan.faults, fails, lambda: played >= runs)
    final = Plan(plan.name, plan.scenario, plan.seed, smallest)
    play(final, out, lambda _: None)
    return smallest, played


def minimize_faults(
    faults: list[Fault], fails: Callable[[Sequence[Fault]], bool], should_stop: Callable[[], bool]
) -> list[Fault]:
    """Return a list of faults that still fails, and from which no tried part can be left out.

    ``should_stop`` tells when to stop searching.
    """
    remaining, pieces = list(faults), 2
    if remaining and fails([]):
        return []
    while len(remaining) >= 2 and not should_stop():
        size = -(-len(remaining) // pieces)
        for at in range(0, len(remaining), size):
            without = remaining[:at] + remaining[at + size :]
            if should_stop():
                return remaining
            if fails(without):
                remaining, pieces = without, max(pieces - 1, 2)
                break
        else:
            if size == 1:
                break
            pieces = min(len(remaining), pieces * 2)
    return remaining


def compare_figures(first: Path, second: Path) -> list[tuple[str, float, float]]:
    """Return the figures of two runs by name; a figure that one of them lacks is 0."""
    first_figures, second_figures = run_figures(first), run_figures(second)
    return [
        (name, first_figures.get(name, 0.0), second_figures.get(name, 0.0))
        for name in dict.fromkeys([*first_figures, *second_figures])
    ]


def run_figures(folder: Path) -> dict[str, float]:
    """Return a run's figures by name: counts, worth, latencies of delivered messages, and cost."""
    run, result, _ = judge_folder(folder)
    latencies_ms = sorted(
        latency_s * 1000 for trace in run.traces.values() if (latency_s := trace.latency_s) is not None
    )
    figures: dict[str, float] = dict(result.counts)
    figures["broken checks"] = len(failed_checks(result))
    figures["worth in aim"] = result.worth
    for share in (0.5, 0.9, 0.99):
        figures[f"latency {share:.0%} ms"] = (
            round(latencies_ms[int(share * (len(latencies_ms) - 1))]) if latencies_ms else 0
        )
    taken = max(1, result.counts["taken"])
    figures["relays' cpu ms a message"] = round(result.relays_cpu_s * 1000 / taken, 2)
    figures["lab's cpu ms a message"] = round(result.lab_cpu_s * 1000 / taken, 2)
    return figures


TABLE_HEADING = (
    "| scenario | relays | messages | taken | lost | late | twice | unsure | in aim | recover s | breaks |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


def table_row(results: list[Result]) -> str:
    """Return a row of the table: sums of counts, ranges of other figures, and violations, over all seeds."""
    sum_by_count = {name: sum(result.counts[name] for result in results) for name in results[0].counts}
    worth = [result.worth for result in results]
    recovery_s = [result.recover_s for result in results if result.recover_s is not None]
    broken: Counter[str] = Counter()
    for result in results:
        broken.update({name: check.count for name, check in result.checks.items() if not check.ok})
    verdicts = [f"{name} {count}" for name, count in sorted(broken.items())]
    verdicts += ["invalid"] * sum(not result.valid for result in results)
    cells = [
        results[0].scenario, results[0].relays, *(sum_by_count[name] for name in TABLE_COUNTS),
        format_range(worth, 2), format_range(recovery_s, 1) if recovery_s else "-",
        ", ".join(verdicts) or "hold",
    ]  # fmt: skip
    return f"| {' | '.join(map(str, cells))} |"


TABLE_COUNTS = ("messages", "taken", "lost", "late", "twice", "uncertain")


def format_range(values: list[float], decimals: int) -> str:
    """Format the minimum and maximum of values, or the value if they are the same."""
    low, high = f"{min(values):.{decimals}f}", f"{max(values):.{decimals}f}"
    return low if low == high else f"{low} to {high}"
