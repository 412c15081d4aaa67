"""Runs of many schedules in one or several processes, and of one schedule with its history in a file."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from fleetlab.sim.quorum.judge import BrokenError
from fleetlab.sim.quorum.plan import Parts, draw_plan
from fleetlab.sim.quorum.simulation import QuorumSim
from standins import records

SCHEDULES_PER_TASK = 25  # that a worker process runs for one task


@dataclass(slots=True)
class CampaignResult:
    """The results of several schedules."""

    schedules: int = 0  # number that were run
    counts: Counter[str] = field(default_factory=Counter)
    failures: list[tuple[int, str, str]] = field(default_factory=list)  # seed, rule, text


def run_campaign(seeds: range, jobs: int) -> CampaignResult:
    """Run the schedules of some seeds in several processes."""
    total = CampaignResult()
    chunks = [seeds[start : start + SCHEDULES_PER_TASK] for start in range(0, len(seeds), SCHEDULES_PER_TASK)]
    with ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(run_schedules, chunks):
            total.schedules += result.schedules
            total.failures += result.failures
            for name, count in result.counts.items():
                total.counts[name] += count
    return total


def run_schedules(seeds: range, parts: Parts | None = None, stop: bool = False) -> CampaignResult:
    """Run the schedules of some seeds; with ``stop`` only up to the first that breaks a rule."""
    result = CampaignResult()
    for seed in seeds:
        result.schedules += 1
        try:
            for name, count in QuorumSim(seed, draw_plan(seed), parts).run().items():
                result.counts[name] += count
        except BrokenError as error:
            result.failures.append((seed, error.rule, str(error)))
            if stop:
                break
    return result


def record_schedule(seed: int, path: Path, parts: Parts | None = None) -> str:
    """Run one schedule and write its history in the proving ground's format.

    Returns the text of the rule that broke, or an empty text.
    """
    sim, failure = QuorumSim(seed, draw_plan(seed), parts), ""
    try:
        sim.run()
    except BrokenError as error:
        failure = str(error)
    path.write_bytes(b"".join(records.encode_line(record) for record in sim.history.records))
    return failure
