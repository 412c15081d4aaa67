"""The soak: plans that follow from their seeds, and short plays of real relays that keep every rule."""

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
from tests.lab.test_fleet import processes, until

SEEDS = range(1, 7)  # played in CI
MANY = range(1, 51)  # played by hand
JOBS = 3
PLAY_S = 10.0  # under the length of any play
LEAST_VALID = 4  # of the plays in CI; in others the lab itself came late, on a machine that is busy


def test_a_seed_gives_the_same_play() -> None:
    assert soak.seed_plan(7) == soak.seed_plan(7)
    assert soak.seed_plan(7).faults != soak.seed_plan(8).faults


def test_the_seeds_meet_relays_with_every_kind_of_fault_and_every_effect() -> None:
    """What a schedule never draws is not shown by any play."""
    plans = [soak.seed_plan(seed) for seed in MANY]
    drawn = Counter(fault.kind for plan in plans for fault in plan.faults)
    adversary = plans[0].scenario.adversary
    assert adversary is not None
    assert set(drawn) == {*adversary.kinds, *RELAY_FAULTS, "pause"}
    signals = {tuple(fault.signals) for plan in plans for fault in plan.faults if fault.kind == "terminate"}
    assert {(), ("HUP",), ("TERM", "TERM")} <= signals
    for at in range(3):
        assert {plan.scenario.classes[at].effect for plan in plans} == set(soak.EFFECTS)
    crowds = [plan for plan in plans if any(fault.kind == "crowd" for fault in plan.faults)]
    assert len(crowds) == len(MANY) // soak.CROWD_SEED_PERIOD


def test_real_relays_keep_every_rule_while_they_are_replaced_signalled_and_killed(tmp_path: Path) -> None:
    played = list(soak.play_seeds(SEEDS, tmp_path, JOBS))
    assert [item.summary for item in played if item.valid and not item.ok] == []
    assert sum(item.valid for item in played) >= LEAST_VALID
    assert sum(item.replacements for item in played) >= len(SEEDS), "a run with no replacement shows little"
    assert all(item.counts["taken"] > 500 for item in played)


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
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL) as playing:
        until(lambda: len(processes(tmp_path)) >= 2)
        playing.kill()
    killed_s = time.monotonic()
    until(lambda: not processes(tmp_path))
    assert time.monotonic() - killed_s < PLAY_S, "they had only come to the end of their plays"


@pytest.mark.parametrize("text", ["", "x", "5-4", "1-x"])
def test_seeds_that_are_none_are_one_line_and_two(text: str) -> None:
    command = [sys.executable, "-m", "fleetlab", "soak", "--seeds", text]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)
    assert done.returncode == 2
    assert "--seeds" in done.stderr
    assert len(done.stderr.strip().splitlines()) == 1


def test_a_broken_play_is_told_with_its_first_finding() -> None:
    broken = soak.SeedResult(3, {"one_out": "1.2 s: m1"}, True, {"taken": 9}, Counter(kill=2), 4)
    assert not broken.ok
    assert broken.summary == "seed 3: BREAKS one_out: 1.2 s: m1; 9 taken, 4 replaced; kill 2"
    late = soak.SeedResult(3, {}, False, {"taken": 9}, Counter(), 0)
    assert late.summary.startswith("seed 3: invalid")
