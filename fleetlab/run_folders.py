"""Runs as folders: play one, check one again, compare two, and shrink one that fails."""

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

HISTORY_FILE, RESULT_FILE, FAULTS_FILE, PLAN_FILE = (
    "history.jsonl",
    "result.json",
    "faults.json",
    "scenario.json",
)
LOG_FILE, REPORT_FILE = "lab.log", "report.html"
MAX_SHRINK_RUNS = 40
ProgressCallback = Callable[[str], None]


class RunError(ValueError):
    """A folder that holds no run, or one that is in the way."""


@dataclass(frozen=True, slots=True)
class Plan:
    """All that a run is played by."""

    name: str
    scenario: Scenario
    seed: int
    faults: list[Fault]


def make_plan(name: str, scenario: Scenario, seed: int) -> Plan:
    """A scenario's run with that seed."""
    return Plan(name, scenario, seed, fault_schedule.schedule_faults(scenario, seed))


def play(plan: Plan, out: Path, say: ProgressCallback) -> Result:
    """Play a run into a folder, which must be new or an earlier run's; its result.

    ``FleetError`` where the fleet does not come up, ``RunError`` where the folder is something else.
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

        def both(text: str) -> None:
            log.msg(text)
            say(text)

        asyncio.run(Lab(plan.scenario, plan.seed, out, plan.faults, both).play())
    return check(out)


def write_report(folder: Path) -> Path:
    """Write a run's page, and tell where it is."""
    run, result, found = judge_folder(folder)
    path = folder / REPORT_FILE
    path.write_text(render_page(run, result, found), encoding="utf-8")
    return path


class PlanFile(msgspec.Struct):
    """``scenario.json`` of a run."""

    name: str
    seed: int
    scenario: Scenario


def read_plan(folder: Path) -> Plan:
    """The plan of a folder's run; ``RunError`` where there is none."""
    try:
        plan = msgspec.json.decode((folder / PLAN_FILE).read_bytes(), type=PlanFile)
        faults = msgspec.json.decode((folder / FAULTS_FILE).read_bytes(), type=list[Fault])
    except OSError as error:
        raise RunError(f"{folder}: no run: {error.strerror}: {Path(error.filename).name}") from None
    except msgspec.DecodeError as error:
        raise RunError(f"{folder}: {error}") from None
    return Plan(plan.name, plan.scenario, plan.seed, faults)


def read_run(folder: Path) -> Run:
    """A folder's history; ``RunError`` or ``records.HistoryError`` where it cannot be read."""
    return Run(records.read_history(folder / HISTORY_FILE))


def judge_folder(folder: Path) -> tuple[Run, Result, dict[str, list[Finding]]]:
    """A folder's history with what the checkers say of it."""
    run = read_run(folder)
    result, found = judge_run(run, read_plan(folder).name)
    return run, result, found


def check(folder: Path) -> Result:
    """Judge a folder's history, and keep the result beside it."""
    _, result, _ = judge_folder(folder)
    (folder / RESULT_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(result)) + b"\n")
    return result


def failed_checks(result: Result) -> frozenset[str]:
    """The names of the checks that do not hold."""
    return frozenset(name for name, item in result.checks.items() if not item.ok)


def shrink(
    folder: Path, out: Path, say: ProgressCallback, runs: int = MAX_SHRINK_RUNS
) -> tuple[list[Fault], int]:
    """The smallest list of faults found with which one of a run's failed checks still fails, and its runs.

    It leaves halves and then single faults out (delta debugging, Zeller and Hildebrandt 2002), each tried
    once: a failure that comes only now and then may shrink to more than its cause.
    """
    plan, wanted = read_plan(folder), failed_checks(check(folder))
    if not wanted:
        raise RunError(f"{folder}: nothing failed there")
    played = 0

    def fails(faults: Sequence[Fault]) -> bool:
        nonlocal played
        played += 1
        say(f"run {played}: {len(faults)} faults")
        try:
            result = play(Plan(plan.name, plan.scenario, plan.seed, list(faults)), out, lambda _: None)
        except FleetError as error:
            say(f"run {played} did not come up: {error}")
            return False
        return bool(failed_checks(result) & wanted)

    found = minimize_faults(plan.faults, fails, lambda: played >= runs)
    final = Plan(plan.name, plan.scenario, plan.seed, found)
    play(final, out, lambda _: None)
    return found, played


def minimize_faults(
    faults: list[Fault], fails: Callable[[Sequence[Fault]], bool], enough: Callable[[], bool]
) -> list[Fault]:
    """A list from which no tried part can be left out without the failure going away."""
    rest, pieces = list(faults), 2
    if rest and fails([]):
        return []
    while len(rest) >= 2 and not enough():
        size = -(-len(rest) // pieces)
        for at in range(0, len(rest), size):
            without = rest[:at] + rest[at + size :]
            if enough():
                return rest
            if fails(without):
                rest, pieces = without, max(pieces - 1, 2)
                break
        else:
            if size == 1:
                break
            pieces = min(len(rest), pieces * 2)
    return rest


def compare_figures(first: Path, second: Path) -> list[tuple[str, float, float]]:
    """Two runs' figures by name: counts, worth, latency of what was delivered, and cost."""
    one, other = run_figures(first), run_figures(second)
    return [(name, one.get(name, 0.0), other.get(name, 0.0)) for name in dict.fromkeys([*one, *other])]


def run_figures(folder: Path) -> dict[str, float]:
    """What a run comes to, in numbers."""
    run, result, _ = judge_folder(folder)
    took_ms = sorted(
        took_s * 1000 for trace in run.traces.values() if (took_s := trace.latency_s) is not None
    )
    found: dict[str, float] = dict(result.counts)
    found["broken checks"] = len(failed_checks(result))
    found["worth in aim"] = result.worth
    for share in (0.5, 0.9, 0.99):
        found[f"latency {share:.0%} ms"] = round(took_ms[int(share * (len(took_ms) - 1))]) if took_ms else 0
    taken = max(1, result.counts["taken"])
    found["relays' cpu ms a message"] = round(result.relays_cpu_s * 1000 / taken, 2)
    found["lab's cpu ms a message"] = round(result.lab_cpu_s * 1000 / taken, 2)
    return found


TABLE_HEADING = (
    "| scenario | relays | messages | taken | lost | late | twice | unsure | in aim | recover s | breaks |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


def table_row(results: list[Result]) -> str:
    """A line of the table: counts summed over all seeds, the spread of the rest, what did not hold."""
    sums = {name: sum(item.counts[name] for item in results) for name in results[0].counts}
    worth = [item.worth for item in results]
    recover = [item.recover_s for item in results if item.recover_s is not None]
    broken: Counter[str] = Counter()
    for item in results:
        broken.update({name: check.count for name, check in item.checks.items() if not check.ok})
    said = [f"{name} {count}" for name, count in sorted(broken.items())]
    said += ["invalid"] * sum(not item.valid for item in results)
    cells = [
        results[0].scenario, results[0].relays, *(sums[name] for name in TABLE_COUNTS),
        format_range(worth, 2), format_range(recover, 1) if recover else "-", ", ".join(said) or "hold",
    ]  # fmt: skip
    return f"| {' | '.join(map(str, cells))} |"


TABLE_COUNTS = ("messages", "taken", "lost", "late", "twice", "uncertain")


def format_range(values: list[float], decimals: int) -> str:
    """Least and most."""
    low, high = f"{min(values):.{decimals}f}", f"{max(values):.{decimals}f}"
    return low if low == high else f"{low} to {high}"
