"""From a scenario and a seed to the very faults of a run: the same seed gives the same list, always."""

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

TIME_DECIMALS = 3  # decimals of drawn times


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault with its number and the things that it meets, each at its time."""

    number: int
    fault: Fault
    target_times: tuple[tuple[str, float], ...]


def schedule_faults(scenario: Scenario, seed: int) -> list[Fault]:
    """The scenario's faults and the adversary's, with every target named."""
    rng = np.random.default_rng([seed, 3])
    faults = list(scenario.fault)
    if scenario.adversary is not None:
        faults += draw_faults(scenario, scenario.adversary, rng)
    return [_with_targets(fault, scenario, rng) for fault in faults]


def _with_targets(fault: Fault, scenario: Scenario, rng: np.random.Generator) -> Fault:
    if fault.on:
        return fault
    among = possible_targets(fault.kind, scenario)
    count = max(1, round(fault.part * len(among))) if fault.part else 1
    some = sorted(int(at) for at in rng.choice(len(among), min(count, len(among)), replace=False))
    return with_changes(fault, on=[among[at] for at in some])


def with_changes(fault: Fault, **changes: object) -> Fault:
    """A fault with some keys changed."""
    values: dict[str, Any] = {name: getattr(fault, name) for name in fault.__struct_fields__} | changes
    return Fault(**values)


def draw_faults(scenario: Scenario, adversary: Adversary, rng: np.random.Generator) -> list[Fault]:
    """The adversary's faults."""
    faults = []
    for _ in range(adversary.faults):
        kind = adversary.kinds[int(rng.integers(len(adversary.kinds)))]
        at_s = round(
            float(rng.uniform(adversary.from_s, max(adversary.from_s, scenario.seconds - 2))), TIME_DECIMALS
        )
        for_s = round(float(rng.uniform(adversary.least_for_s, adversary.most_for_s)), TIME_DECIMALS)
        part = round(float(rng.choice([0.0, 0.0, 0.0, 0.34, 0.7])), 2) if kind in PROCESS_FAULTS else 0.0
        more: dict[str, Any] = {}
        match kind:
            case "slow":
                more = {"share": round(float(rng.uniform(0.1, 0.5)), 2)}
            case "cut":
                more = {"direction": str(rng.choice(["both", "forward", "back"]))}
                more["to"] = [[], ["platform"], ["partners"], ["clients"]][int(rng.integers(4))]
            case "delay":
                more = {"delay_ms": round(float(rng.uniform(5, 150)), 1), "jitter_ms": 20.0}
            case "partner-slow":
                more = {"times": round(float(rng.uniform(2, 8)), 1)}
            case "partner-hang":
                more = {"share": float(rng.choice([0.0, 0.15, 0.3]))}
            case "partner-fail":
                more = {"share": round(float(rng.uniform(0.3, 1.0)), 2)}
            case "limit":
                more = {"descriptors": 40}
            case "terminate":
                more = {
                    "signals": draw_signals(rng),
                    "gap_s": round(float(rng.uniform(0.0, 0.8)), TIME_DECIMALS),
                }
            case "replace" | "reload":
                more = {
                    "repeats": int(rng.integers(1, 4)),
                    "gap_s": round(float(rng.uniform(0.05, 0.9)), TIME_DECIMALS),
                }
            case "crowd":
                more = {"connections": int(rng.integers(scenario.sockets // 4, scenario.sockets))}
            case _:
                pass
        faults.append(Fault(kind=kind, at_s=at_s, for_s=for_s, part=part, **more))
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_signals(rng: np.random.Generator) -> list[str]:
    """Up to three signals that follow a SIGTERM."""
    return [str(name) for name in rng.choice(["HUP", "TERM"], int(rng.integers(0, 4)))]


def number_faults(faults: list[Fault]) -> list[ScheduledFault]:
    """Faults with their numbers and each target's own time."""
    return [
        ScheduledFault(
            number, fault, tuple((name, fault.at_s + at * fault.step_s) for at, name in enumerate(fault.on))
        )
        for number, fault in enumerate(faults)
    ]


def describe_fault(fault: Fault) -> str:
    """A fault in a few words."""
    if fault.kind in PROCESS_FAULTS:
        more = " and loses its folder" if fault.lose_folder else ""
        return f"{fault.kind}{more}" + (f" to {fault.share:.0%}" if fault.kind == "slow" else "")
    if fault.kind in LINK_FAULTS:
        return f"{fault.kind} {fault.direction} to {', '.join(fault.to) or 'all'}"
    if fault.kind in PARTNER_FAULTS and (fault.times != 1.0 or fault.share):
        return f"{fault.kind} {fault.times:g}" if fault.times != 1.0 else f"{fault.kind} {fault.share:.0%}"
    return fault.kind
