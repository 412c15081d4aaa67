"""Plans of short plays in which a destination comes back cold to a fleet of relays, drawn by seed."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import numpy as np

from fleetlab import run_folders, scenario
from fleetlab.scenario import Fault, FaultKind, Scenario
from standins.partner import DestinationSpec

SCENARIO_NAME = "cold-shut"  # its outage, sizes and rates are drawn anew
PLAY_NAME = "cold-soak"
COLD_RNG_STREAM = 11  # separates these draws from others with the same seed
EFFECTS = ("keyed", "unsafe", "safe")
FIRST_DEST_SHARE = 1 / sum(1 / number for number in range(1, 6))  # of the load, with five partners and zipf 1
FEW_CALLS = 30  # the protocol tolerates relatively more above a budget below this
RESTART_S = 0.6  # from a kill to the start of the next process
CROWD_SHARE = 0.9  # of a relay's descriptors are taken by a crowd
CROWD_SEED_PERIOD = 4  # one in so many seeds has a crowd of idle clients


def plan(seed: int) -> run_folders.Plan:
    """Return the play of a seed: an outage of the first destination, and what else happens beside it."""
    rng = np.random.default_rng([seed, COLD_RNG_STREAM])
    base = scenario.load_scenario(SCENARIO_NAME)
    partner = draw_destination(base.partners[0], rng)
    load_share = float(rng.uniform(0.5, 0.9))
    play_scenario = msgspec.structs.replace(
        base,
        about="a destination comes back cold to a fleet of relays",
        relays=int(rng.integers(24, 41)),
        sockets=256,
        partners=[partner, *base.partners[1:]],
        load=msgspec.structs.replace(
            base.load, per_s=round(load_share * partner.warm_capacity_per_s / FIRST_DEST_SHARE, 2)
        ),
        classes=[
            msgspec.structs.replace(cls, effect=EFFECTS[(at + seed) % len(EFFECTS)])
            for at, cls in enumerate(base.classes)
        ],
    )
    return run_folders.Plan(PLAY_NAME, play_scenario, seed, draw_faults(play_scenario, seed, rng))


def draw_destination(base: DestinationSpec, rng: np.random.Generator) -> DestinationSpec:
    """Draw the capacity of a destination; cold, it bears what the protocol's page tolerates."""
    work_ms = float(rng.choice([100.0, 200.0, 400.0, 800.0]))
    drawn = msgspec.structs.replace(base, work_ms=work_ms, cold_from=float(rng.choice([0.15, 0.2, 0.3])))
    budget = drawn.fall_multiple * drawn.cold_from * drawn.warm_capacity_per_s * drawn.fall_s
    return msgspec.structs.replace(drawn, cold_slack_calls=round(tolerance(budget), 2))


def tolerance(budget: float) -> float:
    """The calls above a budget that a cold destination tolerates, by the protocol's page."""
    return 3 * math.sqrt(budget) + 3 if budget < FEW_CALLS else 2 * math.sqrt(budget) + 2


def draw_faults(play_scenario: Scenario, seed: int, rng: np.random.Generator) -> list[Fault]:
    """Draw the outage, kills and ends of relays in it, and a crowd."""
    at_s, for_s = float(rng.uniform(2.5, 5.0)), float(rng.uniform(4.0, 8.0))
    outage: dict[str, Any] = {"at_s": round(at_s, 3), "for_s": round(for_s, 3)}
    kind: FaultKind = "partner-shut" if rng.random() < 0.5 else "partner-down"
    faults = [Fault(kind=kind, on=play_scenario.partners[0].hosts, **outage)]
    names = [str(name) for name in rng.permutation(play_scenario.relay_names)]
    killed = names[: int(float(rng.choice([0.0, 0.5, 0.9])) * len(names))]
    if killed:
        before_return_s = float(rng.uniform(RESTART_S + 0.2, min(4.0, for_s)))
        kill_s = round(at_s + for_s - before_return_s, 3)
        faults.append(Fault(kind="kill", at_s=kill_s, for_s=RESTART_S, on=killed))
    for name in names[-2:]:
        signals = [str(signal) for signal in rng.choice(["HUP", "TERM"], int(rng.integers(0, 4)))]
        end_s = round(float(rng.uniform(at_s, at_s + for_s)), 3)
        gap_s = round(float(rng.uniform(0.0, 0.8)), 3)
        faults.append(
            Fault(kind="terminate", at_s=end_s, for_s=RESTART_S, on=[name], signals=signals, gap_s=gap_s)  # type: ignore[arg-type]
        )
    if seed % CROWD_SEED_PERIOD == 0:
        connections = int(CROWD_SHARE * play_scenario.sockets)
        faults.append(
            Fault(kind="crowd", at_s=round(at_s, 3), for_s=for_s, on=[names[-3]], connections=connections)
        )
    return faults
