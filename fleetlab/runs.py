"""Runs as folders: play one, check one again, compare two, and shrink one that fails."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from fleetlab import schedule
from fleetlab.checks import Finding, Result, Run, judged
from fleetlab.fleet import FleetError
from fleetlab.lab import Lab
from fleetlab.scenario import Fault, Scenario
from standins import records

HISTORY, RESULT, FAULTS, PLAN = "history.jsonl", "result.json", "faults.json", "scenario.json"
MOST_SHRINK_RUNS = 40
Say = Callable[[str], None]


class RunError(ValueError):
    """A folder that holds no run, or one that is in the way."""


@dataclass(frozen=True, slots=True)
class Plan:
    """All that a run is played by."""

    name: str
    scenario: Scenario
    seed: int
    faults: list[Fault]


def planned(name: str, scenario: Scenario, seed: int) -> Plan:
    """A scenario's run with that seed."""
    return Plan(name, scenario, seed, schedule.planned(scenario, seed))


def play(plan: Plan, out: Path, say: Say) -> Result:
    """Play a run into a folder, which must be new or an earlier run's; its result.

    ``FleetError`` where the fleet does not come up, ``RunError`` where the folder is something else.
    """
    if out.exists():
        if any(out.iterdir()) and not (out / PLAN).exists():
            raise RunError(f"{out}: the folder is there and holds no run")
        shutil.rmtree(out)
    out.mkdir(parents=True)
    plan_raw = {"name": plan.name, "seed": plan.seed, "scenario": plan.scenario}
    (out / PLAN).write_bytes(msgspec.json.format(msgspec.json.encode(plan_raw)))
    (out / FAULTS).write_bytes(msgspec.json.format(msgspec.json.encode(plan.faults)))
    asyncio.run(Lab(plan.scenario, plan.seed, out, plan.faults, say).play())
    return check(out)


class Kept(msgspec.Struct):
    """``scenario.json`` of a run."""

    name: str
    seed: int
    scenario: Scenario


def kept(folder: Path) -> Plan:
    """The plan of a folder's run; ``RunError`` where there is none."""
    try:
        plan = msgspec.json.decode((folder / PLAN).read_bytes(), type=Kept)
        faults = msgspec.json.decode((folder / FAULTS).read_bytes(), type=list[Fault])
    except OSError as error:
        raise RunError(f"{folder}: no run: {error.strerror}: {Path(error.filename).name}") from None
    except msgspec.DecodeError as error:
        raise RunError(f"{folder}: {error}") from None
    return Plan(plan.name, plan.scenario, plan.seed, faults)


def opened(folder: Path) -> Run:
    """A folder's history; ``RunError`` or ``records.HistoryError`` where it cannot be read."""
    return Run(records.read(folder / HISTORY))


def found_in(folder: Path) -> tuple[Run, Result, dict[str, list[Finding]]]:
    """A folder's history with what the checkers say of it."""
    run = opened(folder)
    result, found = judged(run, kept(folder).name)
    return run, result, found


def check(folder: Path) -> Result:
    """Judge a folder's history, and keep the result beside it."""
    _, result, _ = found_in(folder)
    (folder / RESULT).write_bytes(msgspec.json.format(msgspec.json.encode(result)) + b"\n")
    return result


def failed(result: Result) -> frozenset[str]:
    """The names of the checks that do not hold."""
    return frozenset(name for name, item in result.checks.items() if not item.ok)


def shrink(folder: Path, out: Path, say: Say, runs: int = MOST_SHRINK_RUNS) -> tuple[list[Fault], int]:
    """The smallest list of faults found with which one of a run's failed checks still fails, and its runs.

    It leaves halves and then single faults out (delta debugging, Zeller and Hildebrandt 2002), each tried
    once: a failure that comes only now and then may shrink to more than its cause.
    """
    plan, wanted = kept(folder), failed(check(folder))
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
        return bool(failed(result) & wanted)

    found = smallest(plan.faults, fails, lambda: played >= runs)
    final = Plan(plan.name, plan.scenario, plan.seed, found)
    play(final, out, lambda _: None)
    return found, played


def smallest(
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
