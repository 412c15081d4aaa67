"""A soak: many short plays with faults drawn by seed, and one line for each that tells what came of it."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path

import msgspec
import numpy as np

from fleetlab import fault_schedule, run_folders, scenario
from fleetlab.fleet import FleetError, deploy_command, die_with_parent
from fleetlab.scenario import Adversary, Fault, Scenario

SCENARIO_NAME = "soak"
CROWD_SEED_PERIOD = 4  # seeds, of which one has a crowd of idle clients
CROWD_S = 5.0
CROWD_SHARE = 0.9  # of a relay's descriptors, as connections of a crowd
STALL_COUNT, STALL_S = 6, 0.15
STALL_RNG_STREAM = 7  # of a seed's random numbers
EFFECTS = ("keyed", "safe", "unsafe")


@dataclass(frozen=True, slots=True)
class SeedResult:
    """What came of one seed."""

    seed: int
    broken: dict[str, str]  # by check: its first finding
    valid: bool
    counts: dict[str, int]
    faults: Counter[str]  # begun, by kind
    replacements: int  # processes that were replaced
    error: str = ""  # why the fleet did not come up

    @property
    def ok(self) -> bool:
        """Whether nothing broke."""
        return not self.broken and not self.error

    @property
    def summary(self) -> str:
        """The seed in one line, with the command that repeats it where something broke."""
        if self.error:
            return f"seed {self.seed}: did not come up: {self.error}"
        faults = " ".join(f"{kind} {count}" for kind, count in sorted(self.faults.items()))
        told = f"{self.counts['taken']} taken, {self.replacements} replaced; {faults}"
        word = "holds" if self.ok else "BREAKS " + "; ".join(f"{k}: {v}" for k, v in self.broken.items())
        if not self.valid:
            word = f"invalid, the lab itself was late; {word}"
        return f"seed {self.seed}: {word}; {told}"


def seed_plan(seed: int) -> run_folders.Plan:
    """A seed's play: its effects of classes, its faults, and a crowd with every fourth one."""
    played = scenario.load(SCENARIO_NAME)
    classes = [
        msgspec.structs.replace(cls, effect=EFFECTS[(at + seed) % len(EFFECTS)])
        for at, cls in enumerate(played.classes)
    ]
    played = msgspec.structs.replace(played, classes=classes)
    adversary = played.adversary or Adversary()
    faults = fault_schedule.schedule_faults(played, seed)
    faults += stall_faults(played, seed)
    if seed % CROWD_SEED_PERIOD == 0:
        faults.append(crowd_fault(played, seed, adversary.from_s))
    return run_folders.Plan(SCENARIO_NAME, played, seed, faults)


def stall_faults(played: Scenario, seed: int) -> list[Fault]:
    """Moments in which a relay stands still, as long as the acceptance page asks it to bear."""
    rng = np.random.default_rng([seed, STALL_RNG_STREAM])
    return [
        Fault(
            kind="pause", at_s=float(rng.uniform(1.0, played.seconds - 1.0)), for_s=STALL_S,
            on=[str(rng.choice(played.relay_names))],
        )
        for _ in range(STALL_COUNT)
    ]  # fmt: skip


def crowd_fault(played: Scenario, seed: int, from_s: float) -> Fault:
    """Idle clients that take up nearly all descriptors of a relay."""
    relay = played.relay_names[seed // CROWD_SEED_PERIOD % played.relays]
    connections = int(CROWD_SHARE * played.sockets)
    return Fault(kind="crowd", at_s=from_s, for_s=CROWD_S, on=[relay], connections=connections)


def play_seed(seed: int, out: Path) -> SeedResult:
    """Play one seed into a folder of its own."""
    folder = out / f"{SCENARIO_NAME}-{seed}"
    try:
        result = run_folders.play(seed_plan(seed), folder, lambda _: None)
    except FleetError as error:
        return SeedResult(seed, {}, True, {}, Counter(), 0, str(error))
    run = run_folders.read_run(folder)
    return SeedResult(
        seed,
        {name: check.first for name, check in result.checks.items() if not check.ok},
        result.valid,
        result.counts,
        Counter(fault.kind for fault in run.faults if fault.phase == "begin"),
        sum(len(times) for times in run.replacement_times.values()),
    )


def play_seeds(seeds: Iterable[int], out: Path, jobs: int) -> Iterator[SeedResult]:
    """Play seeds, some at once; each as it comes to its end, in the order of the seeds."""
    deploy_command()  # built once, and not by all at once
    with ProcessPoolExecutor(
        jobs, mp_context=get_context("spawn"), initializer=die_with_parent, initargs=(os.getpid(),)
    ) as pool:
        yield from pool.map(play_seed, seeds, iter(lambda: out, None))
