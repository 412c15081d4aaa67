"""Campaigns: many schedules in a row or on several processes, and one whose history is kept."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from fleetlab.sim.quorum.judge import BrokenError
from fleetlab.sim.quorum.plan import Parts, draw_plan
from fleetlab.sim.quorum.simulation import QuorumSim
from standins import records

SCHEDULES_PER_TASK = 25  # schedules that a process plays at a time


@dataclass(slots=True)
class CampaignResult:
    """Schedules in a row."""

    schedules: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    failures: list[tuple[int, str, str]] = field(default_factory=list)  # seed, rule, text


def run_campaign(seeds: range, jobs: int) -> CampaignResult:
    """Play schedules on several processes."""
    whole = CampaignResult()
    parts = [seeds[at : at + SCHEDULES_PER_TASK] for at in range(0, len(seeds), SCHEDULES_PER_TASK)]
    with ProcessPoolExecutor(jobs) as pool:
        for part in pool.map(run_schedules, parts):
            whole.schedules += part.schedules
            whole.failures += part.failures
            for name, count in part.counts.items():
                whole.counts[name] += count
    return whole


def run_schedules(seeds: range, parts: Parts | None = None, stop: bool = False) -> CampaignResult:
    """Play schedules; with ``stop`` up to the first that breaks a rule."""
    campaign = CampaignResult()
    for seed in seeds:
        campaign.schedules += 1
        try:
            for name, count in QuorumSim(seed, draw_plan(seed), parts).run().items():
                campaign.counts[name] += count
        except BrokenError as error:
            campaign.failures.append((seed, error.rule, str(error)))
            if stop:
                break
    return campaign


def record_schedule(seed: int, path: Path, parts: Parts | None = None) -> str:
    """Play one schedule and keep its history as the lab writes them; what broke, or nothing."""
    sim, broken = QuorumSim(seed, draw_plan(seed), parts), ""
    try:
        sim.run()
    except BrokenError as error:
        broken = str(error)
    path.write_bytes(b"".join(records.encode_line(record) for record in sim.history.records))
    return broken
