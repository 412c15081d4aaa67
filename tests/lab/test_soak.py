"""The soak: plans are determined by their seeds, and short plays of real relays pass every check."""

from __future__ import annotations

import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import pytest

from fleetlab import soak
from fleetlab.scenario import RELAY_FAULTS
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
    assert set(drawn_kinds) == {*adversary.kinds, *RELAY_FAULTS, "pause"}
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
