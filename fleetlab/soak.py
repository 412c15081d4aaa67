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
from fleetlab.fleet import FleetError, deploy_run, die_with
from fleetlab.scenario import Adversary, Fault, Scenario

NAME = "soak"
CROWD_EVERY = 4  # seeds, of which one has a crowd of idle clients
CROWD_S = 5.0
CROWD_SHARE = 0.9  # of a relay's descriptors, as connections of a crowd
STALLS, STALL_S = 6, 0.15
STALLS_STREAM = 7  # of a seed's random numbers
EFFECTS = ("keyed", "safe", "unsafe")


@dataclass(frozen=True, slots=True)
class Played:
    """What came of one seed."""

    seed: int
    broken: dict[str, str]  # by check: its first finding
    valid: bool
    counts: dict[str, int]
    faults: Counter[str]  # begun, by kind
    replaced: int  # processes that were replaced
    error: str = ""  # why the fleet did not come up

    @property
    def ok(self) -> bool:
        """Whether nothing broke."""
        return not self.broken and not self.error

    @property
    def line(self) -> str:
        """The seed in one line, with the command that repeats it where something broke."""
        if self.error:
            return f"seed {self.seed}: did not come up: {self.error}"
        faults = " ".join(f"{kind} {count}" for kind, count in sorted(self.faults.items()))
        told = f"{self.counts['taken']} taken, {self.replaced} replaced; {faults}"
        word = "holds" if self.ok else "BREAKS " + "; ".join(f"{k}: {v}" for k, v in self.broken.items())
        if not self.valid:
            word = f"invalid, the lab itself was late; {word}"
        return f"seed {self.seed}: {word}; {told}"


def plan_of(seed: int) -> run_folders.Plan:
    """A seed's play: its effects of classes, its faults, and a crowd with every fourth one."""
    played = scenario.load(NAME)
    classes = [
        msgspec.structs.replace(cls, effect=EFFECTS[(at + seed) % len(EFFECTS)])
        for at, cls in enumerate(played.classes)
    ]
    played = msgspec.structs.replace(played, classes=classes)
    adversary = played.adversary or Adversary()
    faults = fault_schedule.planned(played, seed)
    faults += stalls(played, seed)
    if seed % CROWD_EVERY == 0:
        faults.append(crowd(played, seed, adversary.from_s))
    return run_folders.Plan(NAME, played, seed, faults)


def stalls(played: Scenario, seed: int) -> list[Fault]:
    """Moments in which a relay stands still, as long as the acceptance page asks it to bear."""
    rng = np.random.default_rng([seed, STALLS_STREAM])
    return [
        Fault(
            kind="pause", at_s=float(rng.uniform(1.0, played.seconds - 1.0)), for_s=STALL_S,
            on=[str(rng.choice(played.relay_names))],
        )
        for _ in range(STALLS)
    ]  # fmt: skip


def crowd(played: Scenario, seed: int, from_s: float) -> Fault:
    """Idle clients that take up nearly all descriptors of a relay."""
    relay = played.relay_names[seed // CROWD_EVERY % played.relays]
    connections = int(CROWD_SHARE * played.sockets)
    return Fault(kind="crowd", at_s=from_s, for_s=CROWD_S, on=[relay], connections=connections)


def play(seed: int, out: Path) -> Played:
    """Play one seed into a folder of its own."""
    folder = out / f"{NAME}-{seed}"
    try:
        result = run_folders.play(plan_of(seed), folder, lambda _: None)
    except FleetError as error:
        return Played(seed, {}, True, {}, Counter(), 0, str(error))
    run = run_folders.opened(folder)
    return Played(
        seed,
        {name: check.first for name, check in result.checks.items() if not check.ok},
        result.valid,
        result.counts,
        Counter(fault.kind for fault in run.faults if fault.phase == "begin"),
        sum(len(times) for times in run.replaced.values()),
    )


def campaign(seeds: Iterable[int], out: Path, jobs: int) -> Iterator[Played]:
    """Play seeds, some at once; each as it comes to its end, in the order of the seeds."""
    deploy_run()  # built once, and not by all at once
    with ProcessPoolExecutor(
        jobs, mp_context=get_context("spawn"), initializer=die_with, initargs=(os.getpid(),)
    ) as pool:
        yield from pool.map(play, seeds, iter(lambda: out, None))
