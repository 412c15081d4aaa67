"""All checkers by name, and the result of a history by them."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from fleetlab.checks.attempts import (
    effect_once,
    few_attempts,
    no_repeat,
    none_out_past_end,
    one_out,
    own_destination,
)
from fleetlab.checks.counts import collect_figures, count_outcomes, recover_s, worth_share
from fleetlab.checks.destinations import cold_spared, drained, waits_kept
from fleetlab.checks.endings import ended_once, in_time, untried_kept
from fleetlab.checks.finding import Check, Finding
from fleetlab.checks.leases import one_actor
from fleetlab.checks.members import no_false_failure, views_agree
from fleetlab.checks.processes import answered, calls_let_go, no_crash, ready_soon, served_to_the_end
from fleetlab.checks.run import Run

INVALID_LAG_S = 0.25  # a lab that came later than this may have made what it reports

Checker = Callable[[Run], list[Finding]]

CHECKERS: dict[str, Checker] = {
    "one_actor": one_actor,
    "ended_once": ended_once,
    "in_time": in_time,
    "one_out": one_out,
    "none_out_past_end": none_out_past_end,
    "few_attempts": few_attempts,
    "no_repeat": no_repeat,
    "effect_once": effect_once,
    "own_destination": own_destination,
    "drained": drained,
    "waits_kept": waits_kept,
    "cold_spared": cold_spared,
    "answered": answered,
    "served_to_the_end": served_to_the_end,
    "calls_let_go": calls_let_go,
    "no_crash": no_crash,
    "ready_soon": ready_soon,
    "untried_kept": untried_kept,
    "views_agree": views_agree,
    "no_false_failure": no_false_failure,
}


def run_checkers(run: Run) -> dict[str, list[Finding]]:
    """All that the checkers found, by name."""
    return {name: checker(run) for name, checker in CHECKERS.items()}


def summarize_findings(found: dict[str, list[Finding]]) -> dict[str, Check]:
    """Findings as a result tells them."""
    return {
        name: Check(not some, len(some), f"{some[0].time_s:.3f} s: {some[0].text}" if some else "")
        for name, some in found.items()
    }


class Result(msgspec.Struct, frozen=True):
    """``result.json``: whether all checks hold, and the counts."""

    scenario: str
    seed: int
    ok: bool
    valid: bool
    checks: dict[str, Check]
    counts: dict[str, int]
    seconds: float
    recover_s: float | None
    lab_late_s: float
    lab_cpu_s: float
    relays_cpu_s: float
    relays: int
    worth: float
    figures: dict[str, dict[str, float]] = {}  # what programs measured, and how leases passed over


def judge_run(run: Run, name: str) -> tuple[Result, dict[str, list[Finding]]]:
    """The result of a history."""
    found = run_checkers(run)
    checks = summarize_findings(found)
    relays = [used.cpu_s for key, used in run.usage_by_process.items() if key != "lab"]
    lab = run.usage_by_process.get("lab")
    result = Result(
        scenario=name, seed=run.head.seed, ok=all(check.ok for check in checks.values()),
        valid=run.max_lag_s <= INVALID_LAG_S, checks=checks, counts=count_outcomes(run, found),
        seconds=round(run.end_s, 3), recover_s=recover_s(run), lab_late_s=round(run.max_lag_s, 4),
        lab_cpu_s=lab.cpu_s if lab else 0.0, relays_cpu_s=round(sum(relays), 3),
        relays=len(run.head.relays), worth=round(worth_share(run), 4), figures=collect_figures(run),
    )  # fmt: skip
    return result, found
