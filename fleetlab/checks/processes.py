"""Checkers of processes: they answer requests, do not crash, and are soon ready after a restart."""

from __future__ import annotations

from fleetlab.checks.faults import was_disturbed
from fleetlab.checks.finding import Finding
from fleetlab.checks.run import Run

# A restarted relay has to be ready within this time (s).
RESTART_READY_S = 10.0
# Figures of a relay: the calls that its network side has open, and those that its decision module knows of.
NETWORK_CALLS_FIGURE = "calls.network"
MODULE_CALLS_FIGURE = "calls.module"
# Faults in which a process ends or is replaced in order, and still serves its clients.
ORDERLY_FAULTS = {"terminate", "replace", "reload"}
# A request and the end of its connection may cross on their way if they are at most this far apart (s).
CROSSING_S = 0.1
# The share of restarts that may take longer than RESTART_READY_S.
MAX_SLOW_RESTART_SHARE = 0.1


def answered(run: Run) -> list[Finding]:
    """Each request is answered, unless a fault disturbed its relay or one of the relay's links meanwhile."""
    findings = []
    for ref, trace in run.traces.items():
        if trace.client_answer is None or trace.client_answer.answer not in ("patience", "closed"):
            continue
        if not was_disturbed(
            run, trace.submission.relay, trace.submission.t - 0.5, trace.client_answer.t + 0.1
        ):
            findings.append(
                Finding(
                    trace.client_answer.t,
                    f"{ref}: {trace.submission.relay} did not answer: {trace.client_answer.answer}",
                )
            )
    return findings


def served_to_the_end(run: Run) -> list[Finding]:
    """A relay that ends or is replaced in order answers each request that it has time to read.

    A request that crosses the end of its connection is excepted: its client sends it again. Nothing is
    checked where another fault had the relay or its links at that time.
    """
    findings = []
    for ref, trace in run.traces.items():
        answer, relay = trace.client_answer, trace.submission.relay
        if answer is None or answer.answer not in ("patience", "closed"):
            continue
        fault_kinds = {
            span.kind
            for span in run.fault_spans
            if span.target == relay
            and span.since_s <= answer.t + 0.1
            and span.until_s >= trace.submission.t - 0.5
        }
        if not fault_kinds or not fault_kinds <= ORDERLY_FAULTS:
            continue
        lives = [
            life
            for life in run.lives.get(relay, [])
            if life.ready_s <= trace.submission.t and life.end_s >= answer.t
        ]
        # Both the request and the end of its connection pass through the lab, which may be late with each.
        crossing_s = CROSSING_S + 2 * run.max_lag_within(
            trace.submission.t - CROSSING_S, answer.t + CROSSING_S
        )
        if lives and answer.t - trace.submission.t > crossing_s:
            findings.append(
                Finding(answer.t, f"{ref}: {relay} did not answer while it ended: {answer.answer}")
            )
    return findings


def calls_let_go(run: Run) -> list[Finding]:
    """At the end of a run a relay has exactly as many calls open as its decision module knows of."""
    findings = []
    for relay in run.scenario.relay_names:
        figures = run.figures_by_process.get(relay, {})
        network_calls, module_calls = (
            figures.get(NETWORK_CALLS_FIGURE, 0.0),
            figures.get(MODULE_CALLS_FIGURE, 0.0),
        )
        if network_calls != module_calls:
            findings.append(
                Finding(
                    run.end_s, f"{relay} has {network_calls:.0f} calls out and knows of {module_calls:.0f}"
                )
            )
    return findings


def no_crash(run: Run) -> list[Finding]:
    """No process ends unless the lab asked for it."""
    return [
        Finding(life.end_s, f"{name} ended by itself with code {life.exit_code}")
        for name, lives in run.lives.items()
        for life in lives
        if life.end_s < float("inf") and not life.end_requested
    ]


def ready_soon(run: Run) -> list[Finding]:
    """Nine in ten restarted relays are ready within 10 s.

    A life that ends before its 10 s are over says nothing.
    """
    restarts = [(name, life) for name in run.scenario.relay_names for life in run.lives.get(name, [])[1:]]
    slow_restarts = [
        restart
        for restart in restarts
        if min(restart[1].ready_s, restart[1].end_s, run.end_s) - restart[1].start_s > RESTART_READY_S
    ]
    if len(slow_restarts) <= MAX_SLOW_RESTART_SHARE * len(restarts):
        return []
    return [
        Finding(life.start_s, f"{name} was not ready {RESTART_READY_S:.0f} s after it")
        for name, life in slow_restarts
    ]
