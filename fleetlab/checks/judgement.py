"""The table of all checkers by name, and the result of a run."""

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
from fleetlab.checks.counts import collect_figures, count_outcomes, recovery_time_s, worth_share
from fleetlab.checks.destinations import cold_spared, drained, waits_kept
from fleetlab.checks.endings import ended_once, in_time, untried_kept
from fleetlab.checks.finding import Check, Finding
from fleetlab.checks.leases import one_actor
from fleetlab.checks.members import no_false_failure, views_agree
from fleetlab.checks.processes import answered, calls_let_go, no_crash, ready_soon, served_to_the_end
from fleetlab.checks.run import Run

# If the lab's own event loop was later than this (s), it may itself have caused what the checkers report.
INVALID_LAG_S = 0.25

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
    """Run all checkers and return their findings by name."""
    return {name: checker(run) for name, checker in CHECKERS.items()}


def summarize_findings(findings_by_check: dict[str, list[Finding]]) -> dict[str, Check]:
    """Summarize findings for a result."""
    return {
        name: Check(
            not findings, len(findings), f"{findings[0].time_s:.3f} s: {findings[0].text}" if findings else ""
        )
        for name, findings in findings_by_check.items()
    }


class Result(msgspec.Struct, frozen=True):
    """Contents of ``result.json``.

    ``valid`` is false if the lab itself was too late for its findings to count. ``worth`` is the share of the
    worth that was delivered within the aim. Times are in seconds; ``recovery_time_s`` gives ``recover_s``.
    """

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
    figures: dict[str, dict[str, float]] = {}  # by process, see collect_figures


def judge_run(run: Run, name: str) -> tuple[Result, dict[str, list[Finding]]]:
    """Check a run and return its result and all findings; ``name`` is the scenario's name."""
    findings = run_checkers(run)
    checks = summarize_findings(findings)
    relay_cpu_s = [used.cpu_s for key, used in run.usage_by_process.items() if key != "lab"]
    lab_usage = run.usage_by_process.get("lab")
    result = Result(
        scenario=name, seed=run.head.seed, ok=all(check.ok for check in checks.values()),
        valid=run.max_lag_s <= INVALID_LAG_S, checks=checks, counts=count_outcomes(run, findings),
        seconds=round(run.end_s, 3), recover_s=recovery_time_s(run), lab_late_s=round(run.max_lag_s, 4),
        lab_cpu_s=lab_usage.cpu_s if lab_usage else 0.0, relays_cpu_s=round(sum(relay_cpu_s), 3),
        relays=len(run.head.relays), worth=round(worth_share(run), 4), figures=collect_figures(run),
    )  # fmt: skip
    return result, findings
