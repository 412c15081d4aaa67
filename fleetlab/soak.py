"""A soak: many short runs with faults drawn by seed, and a summary line for each."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from multiprocessing import get_context
from pathlib import Path

import msgspec
import numpy as np

from fleetlab import cold_plays, fault_schedule, run_folders, scenario
from fleetlab.checks import Run
from fleetlab.fleet import FleetError, deploy_command, die_with_parent
from fleetlab.scenario import Adversary, Fault, Scenario

SCENARIO_NAME = "soak"
CROWD_SEED_PERIOD = 4  # one in so many seeds has a crowd of idle clients
CROWD_S = 5.0  # how long a crowd stays
FLOOD_SEED_REST = 1  # of a seed by that period: it has clients that flood a relay, and answers without end
FLOOD_CONNECTIONS = 6
ENDLESS_SHARE = 0.5
CROWD_SHARE = 0.9  # of a relay's descriptors are taken by a crowd
STALL_COUNT = 6  # pauses of relays in each run
STALL_S = 0.15  # duration of such a pause; the acceptance page asks relays to bear it
STALL_RNG_STREAM = 7  # separates these draws from others with the same seed
EFFECTS = ("keyed", "safe", "unsafe")
# By kind of fault on a process: the event of the process that shows that it happened.
EVENT_OF_FAULT = {"kill": "exit", "terminate": "exit", "replace": "start"}


class PlayKind(StrEnum):
    """What a soak plays."""

    MIXED = "mixed"  # a few relays under faults of all kinds
    COLD = "cold"  # a fleet, and a destination that comes back cold


class Verdict(StrEnum):
    """What a play shows."""

    HELD = "holds"
    BROKEN = "BREAKS"
    LAB_LATE = "invalid, the lab itself was late"
    LAB_ENDED = "ended by the lab"
    FAULT_MISSING = "incomplete, drawn faults did not happen"


@dataclass(frozen=True, slots=True)
class SeedResult:
    """The outcome of one seed's run."""

    seed: int
    broken: dict[str, str]  # by violated check: its first finding
    valid: bool
    counts: dict[str, int]
    faults: Counter[str]  # how many began, by kind
    replacements: int  # processes that were replaced
    error: str = ""  # why the fleet did not come up, or what ended the play
    missing_faults: tuple[str, ...] = ()  # drawn faults that did not happen, each with its target

    @property
    def ok(self) -> bool:
        """Whether the run was played and all checks hold."""
        return not self.broken and not self.error

    @property
    def verdict(self) -> Verdict:
        """What the play shows; only one that was played in full counts as held."""
        if self.error:
            return Verdict.LAB_ENDED
        if not self.valid:
            return Verdict.LAB_LATE
        if self.broken:
            return Verdict.BROKEN
        return Verdict.FAULT_MISSING if self.missing_faults else Verdict.HELD

    @property
    def summary(self) -> str:
        """The outcome in one line."""
        if self.error:
            return f"seed {self.seed}: {self.verdict}: {self.error}"
        faults = " ".join(f"{kind} {count}" for kind, count in sorted(self.faults.items()))
        totals = f"{self.counts['taken']} taken, {self.replacements} replaced; {faults}"
        findings = "; ".join(f"{check}: {finding}" for check, finding in self.broken.items())
        missing = ", ".join(self.missing_faults)
        verdict = " ".join(filter(None, (self.verdict, findings, f"({missing})" * bool(missing))))
        return f"seed {self.seed}: {verdict}; {totals}"


def seed_plan(seed: int) -> run_folders.Plan:
    """Return the run of a seed: effects of the classes, faults, pauses, and a crowd for every fourth seed."""
    soak_scenario = scenario.load_scenario(SCENARIO_NAME)
    classes = [
        msgspec.structs.replace(cls, effect=EFFECTS[(at + seed) % len(EFFECTS)])
        for at, cls in enumerate(soak_scenario.classes)
    ]
    soak_scenario = msgspec.structs.replace(soak_scenario, classes=classes)
    adversary = soak_scenario.adversary or Adversary()
    faults = fault_schedule.schedule_faults(soak_scenario, seed)
    faults += stall_faults(soak_scenario, seed)
    if seed % CROWD_SEED_PERIOD == 0:
        faults.append(crowd_fault(soak_scenario, seed, adversary.from_s))
    if seed % CROWD_SEED_PERIOD == FLOOD_SEED_REST:
        faults += flood_faults(soak_scenario, seed, adversary.from_s)
    return run_folders.Plan(SCENARIO_NAME, soak_scenario, seed, faults)


def stall_faults(soak_scenario: Scenario, seed: int) -> list[Fault]:
    """Draw short pauses of relays, as long as the acceptance page asks them to bear."""
    rng = np.random.default_rng([seed, STALL_RNG_STREAM])
    return [
        Fault(
            kind="pause", at_s=float(rng.uniform(1.0, soak_scenario.seconds - 1.0)), for_s=STALL_S,
            on=[str(rng.choice(soak_scenario.relay_names))],
        )
        for _ in range(STALL_COUNT)
    ]  # fmt: skip


def crowd_fault(soak_scenario: Scenario, seed: int, from_s: float) -> Fault:
    """Return a crowd of idle clients that takes up most descriptors of one relay."""
    relay = soak_scenario.relay_names[seed // CROWD_SEED_PERIOD % soak_scenario.relays]
    connections = int(CROWD_SHARE * soak_scenario.sockets)
    return Fault(kind="crowd", at_s=from_s, for_s=CROWD_S, on=[relay], connections=connections)


def flood_faults(soak_scenario: Scenario, seed: int, from_s: float) -> list[Fault]:
    """Return clients that flood one relay, and a partner of whose answers half never end."""
    relay = soak_scenario.relay_names[seed // CROWD_SEED_PERIOD % soak_scenario.relays]
    partner = soak_scenario.partners[seed // CROWD_SEED_PERIOD % len(soak_scenario.partners)]
    return [
        Fault(kind="flood", at_s=from_s, for_s=CROWD_S, on=[relay], connections=FLOOD_CONNECTIONS),
        Fault(kind="partner-endless", at_s=from_s, for_s=CROWD_S, on=partner.hosts, share=ENDLESS_SHARE),
    ]


def missing_faults(plan: run_folders.Plan, run: Run) -> tuple[str, ...]:
    """Return the plan's faults that did not happen, each with its kind and target.

    A relay that is down cannot be killed or replaced: such a fault begins and ends without an effect.
    """
    missing = []
    for scheduled in fault_schedule.number_faults(plan.faults):
        for target, _ in scheduled.target_times:
            times = {f.phase: f.t for f in run.faults if f.number == scheduled.number and target in f.on}
            if not had_effect(run, scheduled.fault.kind, target, times):
                missing.append(f"{scheduled.fault.kind} {target}")
    return tuple(missing)


def had_effect(run: Run, kind: str, target: str, times: dict[str, float]) -> bool:
    """Return whether a fault that began and ended at ``times`` happened to its target."""
    if "begin" not in times:
        return False
    if kind not in EVENT_OF_FAULT:
        return True
    events = run.process_events[target]
    return any(
        event.event == EVENT_OF_FAULT[kind] and times["begin"] <= event.t <= times.get("end", run.end_s)
        for event in events
    )


def play_seed(seed: int, out: Path, kind: PlayKind = PlayKind.MIXED) -> SeedResult:
    """Play and check the run of one seed in a folder of its own; the result tells errors of the lab too."""
    plan = cold_plays.plan(seed) if kind is PlayKind.COLD else seed_plan(seed)
    folder = out / f"{plan.name}-{seed}"
    try:
        result = run_folders.play(plan, folder, lambda _: None)
        run = run_folders.read_run(folder)
    except FleetError as error:
        return SeedResult(seed, {}, True, {}, Counter(), 0, f"the fleet did not come up: {error}")
    except (ExceptionGroup, OSError, ValueError) as error:
        return SeedResult(seed, {}, True, {}, Counter(), 0, repr(error))
    return SeedResult(
        seed,
        {name: check.first for name, check in result.checks.items() if not check.ok},
        result.valid,
        result.counts,
        Counter(fault.kind for fault in run.faults if fault.phase == "begin"),
        sum(len(times) for times in run.replacement_times.values()),
        missing_faults=missing_faults(plan, run),
    )


def play_seeds(
    seeds: Iterable[int], out: Path, jobs: int, kind: PlayKind = PlayKind.MIXED
) -> Iterator[SeedResult]:
    """Play the runs of seeds, ``jobs`` at once, and yield their results in the order of the seeds."""
    deploy_command()  # builds once, before processes would do so at the same time
    with ProcessPoolExecutor(
        jobs, mp_context=get_context("spawn"), initializer=die_with_parent, initargs=(os.getpid(),)
    ) as pool:
        yield from pool.map(partial(play_seed, out=out, kind=kind), seeds)
