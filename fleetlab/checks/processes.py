"""Checkers of processes: each answers, none crashes, and restarted ones are soon ready."""

from __future__ import annotations

from fleetlab.checks.faults import was_disturbed
from fleetlab.checks.finding import Finding
from fleetlab.checks.run import Run

RESTART_READY_S = 10.0  # for a restarted relay to be ready
NETWORK_CALLS_FIGURE, MODULE_CALLS_FIGURE = "calls.network", "calls.module"  # figures of a relay's calls out
ORDERLY_FAULTS = {"terminate", "replace", "reload"}
CROSSING_S = 0.1  # between a request's last byte and the end of its connection, within which they may cross
MAX_SLOW_RESTART_SHARE = 0.1  # share of restarted relays that may take longer


def answered(run: Run) -> list[Finding]:
    """Each request gets its answer, unless a fault had its relay or one of its links just then."""
    found = []
    for ref, trace in run.traces.items():
        if trace.client_answer is None or trace.client_answer.answer not in ("patience", "closed"):
            continue
        if not was_disturbed(
            run, trace.submission.relay, trace.submission.t - 0.5, trace.client_answer.t + 0.1
        ):
            found.append(
                Finding(
                    trace.client_answer.t,
                    f"{ref}: {trace.submission.relay} did not answer: {trace.client_answer.answer}",
                )
            )
    return found


def served_to_the_end(run: Run) -> list[Finding]:
    """A process that ends or is replaced in order answers each request that it has time to read.

    One that crosses the end of its connection is sent again by its client. Where another fault had the relay
    or its links just then, nothing is told.
    """
    found = []
    for ref, trace in run.traces.items():
        heard, relay = trace.client_answer, trace.submission.relay
        if heard is None or heard.answer not in ("patience", "closed"):
            continue
        met = {
            span.kind
            for span in run.fault_spans
            if span.target == relay
            and span.since_s <= heard.t + 0.1
            and span.until_s >= trace.submission.t - 0.5
        }
        if not met or not met <= ORDERLY_FAULTS:
            continue
        lives = [
            life
            for life in run.lives.get(relay, [])
            if life.ready_s <= trace.submission.t and life.end_s >= heard.t
        ]
        # A request and the end of its connection each pass the lab, which may come late to them.
        crossing_s = CROSSING_S + 2 * run.max_lag_within(
            trace.submission.t - CROSSING_S, heard.t + CROSSING_S
        )
        if lives and heard.t - trace.submission.t > crossing_s:
            found.append(Finding(heard.t, f"{ref}: {relay} did not answer while it ended: {heard.answer}"))
    return found


def calls_let_go(run: Run) -> list[Finding]:
    """At the end of a run a relay holds no connection for a call that is over."""
    found = []
    for relay in run.scenario.relay_names:
        figures = run.figures_by_process.get(relay, {})
        network, module = figures.get(NETWORK_CALLS_FIGURE, 0.0), figures.get(MODULE_CALLS_FIGURE, 0.0)
        if network != module:
            found.append(Finding(run.end_s, f"{relay} has {network:.0f} calls out and knows of {module:.0f}"))
    return found


def no_crash(run: Run) -> list[Finding]:
    """No process ends by itself."""
    return [
        Finding(life.end_s, f"{name} ended by itself with code {life.exit_code}")
        for name, lives in run.lives.items()
        for life in lives
        if life.end_s < float("inf") and not life.end_requested
    ]


def ready_soon(run: Run) -> list[Finding]:
    """Nine in ten relays that are started again are ready within 10 s; one that ends before is no sign."""
    again = [(name, life) for name in run.scenario.relay_names for life in run.lives.get(name, [])[1:]]
    late = [
        item
        for item in again
        if min(item[1].ready_s, item[1].end_s, run.end_s) - item[1].start_s > RESTART_READY_S
    ]
    if len(late) <= MAX_SLOW_RESTART_SHARE * len(again):
        return []
    return [
        Finding(life.start_s, f"{name} was not ready {RESTART_READY_S:.0f} s after it") for name, life in late
    ]
