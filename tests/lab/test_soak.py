"""The soak: plans are determined by their seeds, and short plays of real relays pass every check."""

from __future__ import annotations

import subprocess
import sys
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from fleetlab import cold_plays, soak
from fleetlab.checks import Run
from fleetlab.scenario import RELAY_FAULTS, Fault
from standins import records
from standins.scripted import ROOT
from tests.lab.test_fleet import processes, wait_until

PLAYED_SEEDS = range(1, 7)  # played with real relays in CI
PLANNED_SEEDS = range(1, 51)  # only planned in CI; real relays are played with them by hand
JOBS = 3
MIN_PLAY_S = 10.0  # shorter than any play
# Of the plays of PLAYED_SEEDS; the others may be invalid because the lab itself was late on a busy machine.
MIN_VALID_PLAYS = 4


def test_a_seed_gives_the_same_play() -> None:
    assert soak.seed_plan(7) == soak.seed_plan(7)
    assert soak.seed_plan(7).faults != soak.seed_plan(8).faults


def test_the_seeds_draw_every_kind_of_fault_and_every_effect() -> None:
    """A fault that no schedule draws would not be tested by any play."""
    plans = [soak.seed_plan(seed) for seed in PLANNED_SEEDS]
    drawn_kinds = Counter(fault.kind for plan in plans for fault in plan.faults)
    adversary = plans[0].scenario.adversary
    assert adversary is not None
    assert set(drawn_kinds) == {*adversary.kinds, *RELAY_FAULTS, "pause", "partner-endless"}
    signals = {tuple(fault.signals) for plan in plans for fault in plan.faults if fault.kind == "terminate"}
    assert {(), ("HUP",), ("TERM", "TERM")} <= signals
    for class_index in range(3):
        assert {plan.scenario.classes[class_index].effect for plan in plans} == set(soak.EFFECTS)
    crowd_plans = [plan for plan in plans if any(fault.kind == "crowd" for fault in plan.faults)]
    assert len(crowd_plans) == len(PLANNED_SEEDS) // soak.CROWD_SEED_PERIOD


def test_real_relays_keep_every_rule_while_they_are_replaced_signalled_and_killed(tmp_path: Path) -> None:
    results = list(soak.play_seeds(PLAYED_SEEDS, tmp_path, JOBS))
    assert [result.summary for result in results if result.valid and not result.ok] == []
    assert sum(result.valid for result in results) >= MIN_VALID_PLAYS
    assert sum(result.replacements for result in results) >= len(PLAYED_SEEDS), "too few relays were replaced"
    assert all(result.counts["taken"] > 500 for result in results)


def test_a_soak_that_is_killed_leaves_no_process_behind(tmp_path: Path) -> None:
    command = [
        sys.executable,
        "-m",
        "fleetlab",
        "soak",
        "--seeds",
        "1-2",
        "--jobs",
        "2",
        "--out",
        str(tmp_path),
    ]
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL) as soak_process:
        wait_until(lambda: len(processes(tmp_path)) >= 2)
        soak_process.kill()
    killed_s = time.monotonic()
    wait_until(lambda: not processes(tmp_path))
    assert time.monotonic() - killed_s < MIN_PLAY_S, "the processes only ended with their plays"


@pytest.mark.parametrize("text", ["", "x", "5-4", "1-x"])
def test_invalid_seeds_are_one_line_and_exit_code_two(text: str) -> None:
    command = [sys.executable, "-m", "fleetlab", "soak", "--seeds", text]
    process = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)
    assert process.returncode == 2
    assert "--seeds" in process.stderr
    assert len(process.stderr.strip().splitlines()) == 1


def test_a_broken_play_is_reported_with_its_first_finding() -> None:
    broken = soak.SeedResult(3, {"one_out": "1.2 s: m1"}, True, {"taken": 9}, Counter(kill=2), 4)
    assert not broken.ok
    assert broken.summary == "seed 3: BREAKS one_out: 1.2 s: m1; 9 taken, 4 replaced; kill 2"
    late = soak.SeedResult(3, {}, False, {"taken": 9}, Counter(), 0)
    assert late.summary.startswith("seed 3: invalid")


def test_only_a_play_that_was_played_in_full_counts_as_held() -> None:
    result = soak.SeedResult(3, {}, True, {"taken": 9}, Counter(), 0)
    assert result.verdict is soak.Verdict.HELD
    missing = replace(result, missing_faults=("kill r1",))
    assert missing.verdict is soak.Verdict.FAULT_MISSING
    assert "(kill r1)" in missing.summary
    assert replace(missing, valid=False).verdict is soak.Verdict.LAB_LATE
    assert replace(result, error="OSError()").verdict is soak.Verdict.LAB_ENDED
    assert replace(missing, broken={"one_out": "m1"}).verdict is soak.Verdict.BROKEN


def process_event(t: float, event: str, life: int) -> records.Process:
    return records.Process(t, "r0", life, event)


def fault_event(number: int, kind: str, t: float, phase: str) -> records.Fault:
    return records.Fault(t, number, kind, phase, ["r0"])


def test_a_kill_of_a_relay_that_is_down_and_a_fault_that_never_began_did_not_happen() -> None:
    plan = soak.seed_plan(1)
    faults = [
        Fault(kind="kill", at_s=2.0, for_s=1.0, on=["r0"]),
        Fault(kind="kill", at_s=2.5, for_s=1.0, on=["r0"]),
        Fault(kind="replace", at_s=5.0, on=["r0"]),
        Fault(kind="cut", at_s=6.0, on=["r0"]),
        Fault(kind="reset", at_s=99.0, on=["r0"]),
    ]
    plan = replace(plan, faults=faults)
    history: list[records.AnyRecord] = [
        records.Head(0.0, "soak", 1, ["r0"], {}, msgspec.to_builtins(plan.scenario)),
        process_event(0.1, "start", 1),
        fault_event(0, "kill", 2.0, "begin"),
        process_event(2.1, "exit", 1),
        fault_event(1, "kill", 2.5, "begin"),
        fault_event(0, "kill", 3.0, "end"),
        fault_event(1, "kill", 3.5, "end"),
        process_event(3.6, "start", 2),
        fault_event(2, "replace", 5.0, "begin"),
        process_event(5.1, "start", 3),
        fault_event(2, "replace", 5.5, "end"),
        fault_event(3, "cut", 6.0, "begin"),
    ]
    assert soak.missing_faults(plan, Run(history)) == ("kill r0", "reset r0")


def test_cold_plays_draw_both_outages_kills_and_crowds_and_a_tolerance_by_the_protocol() -> None:
    plans = [cold_plays.plan(seed) for seed in PLANNED_SEEDS]
    assert plans[7] == cold_plays.plan(8)
    drawn_kinds = Counter(fault.kind for plan in plans for fault in plan.faults)
    assert set(drawn_kinds) == {"partner-shut", "partner-down", "kill", "terminate", "crowd"}
    assert all(24 <= plan.scenario.relays <= 40 for plan in plans)
    assert cold_plays.tolerance(4.0) == 9.0
    assert cold_plays.tolerance(36.0) == 14.0
