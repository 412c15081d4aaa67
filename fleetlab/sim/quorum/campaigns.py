"""Campaigns: many schedules in a row or on several processes, and one whose history is kept."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from fleetlab.sim.quorum.judge import BrokenError
from fleetlab.sim.quorum.plan import Parts, plan_of
from fleetlab.sim.quorum.simulation import QuorumSim
from standins import records

CHUNK = 25  # schedules that a process plays at a time


@dataclass(slots=True)
class Campaign:
    """Schedules in a row."""

    played: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    broken: list[tuple[int, str, str]] = field(default_factory=list)  # seed, rule, text


def campaign(seeds: range, jobs: int) -> Campaign:
    """Play schedules on several processes."""
    whole = Campaign()
    parts = [seeds[at : at + CHUNK] for at in range(0, len(seeds), CHUNK)]
    with ProcessPoolExecutor(jobs) as pool:
        for part in pool.map(played, parts):
            whole.played += part.played
            whole.broken += part.broken
            for name, count in part.counts.items():
                whole.counts[name] += count
    return whole


def played(seeds: range, parts: Parts | None = None, stop: bool = False) -> Campaign:
    """Play schedules; with ``stop`` up to the first that breaks a rule."""
    campaign = Campaign()
    for seed in seeds:
        campaign.played += 1
        try:
            for name, count in QuorumSim(seed, plan_of(seed), parts).run().items():
                campaign.counts[name] += count
        except BrokenError as error:
            campaign.broken.append((seed, error.rule, str(error)))
            if stop:
                break
    return campaign


def kept(seed: int, path: Path, parts: Parts | None = None) -> str:
    """Play one schedule and keep its history as the lab writes them; what broke, or nothing."""
    sim, broken = QuorumSim(seed, plan_of(seed), parts), ""
    try:
        sim.run()
    except BrokenError as error:
        broken = str(error)
    path.write_bytes(b"".join(records.encode_line(record) for record in sim.history.records))
    return broken
