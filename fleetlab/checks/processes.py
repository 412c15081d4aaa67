"""Checkers of processes: each answers, none crashes, and restarted ones are soon ready."""

from __future__ import annotations

from fleetlab.checks.faults import disturbed
from fleetlab.checks.finding import Finding
from fleetlab.checks.run import Run

READY_S = 10.0  # for a restarted relay to be ready
LATE_STARTS = 0.1  # share of restarted relays that may take longer


def answered(run: Run) -> list[Finding]:
    """Each request gets its answer, unless a fault had its relay or one of its links just then."""
    found = []
    for ref, trace in run.traces.items():
        if trace.heard is None or trace.heard.answer not in ("patience", "closed"):
            continue
        if not disturbed(run, trace.handed.relay, trace.handed.t - 0.5, trace.heard.t + 0.1):
            found.append(
                Finding(trace.heard.t, f"{ref}: {trace.handed.relay} did not answer: {trace.heard.answer}")
            )
    return found


def no_crash(run: Run) -> list[Finding]:
    """No process ends by itself."""
    return [
        Finding(life.end, f"{name} ended by itself with code {life.code}")
        for name, lives in run.lives.items()
        for life in lives
        if life.end < float("inf") and not life.asked
    ]


def ready_soon(run: Run) -> list[Finding]:
    """Nine in ten relays that are started again are ready within 10 s; one that ends before is no sign."""
    again = [(name, life) for name in run.scenario.relay_names for life in run.lives.get(name, [])[1:]]
    late = [item for item in again if min(item[1].ready, item[1].end, run.over) - item[1].start > READY_S]
    if len(late) <= LATE_STARTS * len(again):
        return []
    return [Finding(life.start, f"{name} was not ready {READY_S:.0f} s after it") for name, life in late]
