"""Turns a scenario and a seed into the faults of a run; the same seed always gives the same list."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np

from fleetlab.scenario import (
    LINK_FAULTS,
    PARTNER_FAULTS,
    PROCESS_FAULTS,
    Adversary,
    Fault,
    Scenario,
    possible_targets,
)

TIME_DECIMALS = 3  # drawn times are rounded to milliseconds


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault with its number, and its targets with the time in seconds at which it begins on each."""

    number: int
    fault: Fault
    target_times: tuple[tuple[str, float], ...]


def schedule_faults(scenario: Scenario, seed: int) -> list[Fault]:
    """Return the faults of the scenario and of its adversary, with targets drawn for those that name none."""
    rng = np.random.default_rng([seed, 3])
    faults = list(scenario.fault)
    if scenario.adversary is not None:
        faults += draw_faults(scenario, scenario.adversary, rng)
    return [_with_targets(fault, scenario, rng) for fault in faults]


def _with_targets(fault: Fault, scenario: Scenario, rng: np.random.Generator) -> Fault:
    """Draw the targets of a fault that names none: ``part`` of all that it may have, at least one."""
    if fault.on:
        return fault
    candidates = possible_targets(fault.kind, scenario)
    count = max(1, round(fault.part * len(candidates))) if fault.part else 1
    chosen = sorted(int(at) for at in rng.choice(len(candidates), min(count, len(candidates)), replace=False))
    return with_changes(fault, on=[candidates[at] for at in chosen])


def with_changes(fault: Fault, **changes: object) -> Fault:
    """Return a copy of a fault with some keys changed."""
    values: dict[str, Any] = {name: getattr(fault, name) for name in fault.__struct_fields__} | changes
    return Fault(**values)


def draw_faults(scenario: Scenario, adversary: Adversary, rng: np.random.Generator) -> list[Fault]:
    """Draw the adversary's faults, in order of time. Runs repeat only if the order of the draws stays."""
    faults = []
    for _ in range(adversary.faults):
        kind = adversary.kinds[int(rng.integers(len(adversary.kinds)))]
        at_s = round(
            float(rng.uniform(adversary.from_s, max(adversary.from_s, scenario.seconds - 2))), TIME_DECIMALS
        )
        for_s = round(float(rng.uniform(adversary.least_for_s, adversary.most_for_s)), TIME_DECIMALS)
        part = round(float(rng.choice([0.0, 0.0, 0.0, 0.34, 0.7])), 2) if kind in PROCESS_FAULTS else 0.0
        parameters: dict[str, Any] = {}
        match kind:
            case "slow":
                parameters = {"share": round(float(rng.uniform(0.1, 0.5)), 2)}
            case "cut":
                parameters = {"direction": str(rng.choice(["both", "forward", "back"]))}
                parameters["to"] = [[], ["platform"], ["partners"], ["clients"]][int(rng.integers(4))]
            case "delay":
                parameters = {"delay_ms": round(float(rng.uniform(5, 150)), 1), "jitter_ms": 20.0}
            case "partner-slow":
                parameters = {"times": round(float(rng.uniform(2, 8)), 1)}
            case "partner-hang":
                parameters = {"share": float(rng.choice([0.0, 0.15, 0.3]))}
            case "partner-fail":
                parameters = {"share": round(float(rng.uniform(0.3, 1.0)), 2)}
            case "limit":
                parameters = {"descriptors": 40}
            case "terminate":
                parameters = {
                    "signals": draw_signals(rng),
                    "gap_s": round(float(rng.uniform(0.0, 0.8)), TIME_DECIMALS),
                }
            case "replace" | "reload":
                parameters = {
                    "repeats": int(rng.integers(1, 4)),
                    "gap_s": round(float(rng.uniform(0.05, 0.9)), TIME_DECIMALS),
                }
            case "crowd":
                parameters = {"connections": int(rng.integers(scenario.sockets // 4, scenario.sockets))}
            case _:
                pass
        faults.append(Fault(kind=kind, at_s=at_s, for_s=for_s, part=part, **parameters))
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_signals(rng: np.random.Generator) -> list[str]:
    """Draw up to three signals that follow a SIGTERM."""
    return [str(name) for name in rng.choice(["HUP", "TERM"], int(rng.integers(0, 4)))]


def number_faults(faults: list[Fault]) -> list[ScheduledFault]:
    """Number the faults, and give each target the time at which the fault begins on it."""
    return [
        ScheduledFault(
            number, fault, tuple((name, fault.at_s + at * fault.step_s) for at, name in enumerate(fault.on))
        )
        for number, fault in enumerate(faults)
    ]


def describe_fault(fault: Fault) -> str:
    """Describe a fault in a few words."""
    if fault.kind in PROCESS_FAULTS:
        loss = " and loses its folder" if fault.lose_folder else ""
        return f"{fault.kind}{loss}" + (f" to {fault.share:.0%}" if fault.kind == "slow" else "")
    if fault.kind in LINK_FAULTS:
        return f"{fault.kind} {fault.direction} to {', '.join(fault.to) or 'all'}"
    if fault.kind in PARTNER_FAULTS and (fault.times != 1.0 or fault.share):
        return f"{fault.kind} {fault.times:g}" if fault.times != 1.0 else f"{fault.kind} {fault.share:.0%}"
    return fault.kind
