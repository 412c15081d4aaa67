"""Checkers of how messages end: once, in time, and not given up early after a restart."""

from __future__ import annotations

from fleetlab.checks.faults import (
    destination_was_down,
    endpoint_went_down,
    first_restart_after_acceptance,
    platform_cut_spans,
    was_disturbed,
)
from fleetlab.checks.finding import Finding
from fleetlab.checks.limits import END_SLACK_S, SOCKET_SLACK_S
from fleetlab.checks.message import MessageTrace
from fleetlab.checks.run import RESTART_SLACK_S, Run

# A message that is ended before this share of its time is over was given up early.
EARLY_SHARE = 0.9


def ended_once(run: Run) -> list[Finding]:
    """Each accepted message ends, and ends in one way only.

    A second notice with the same result is allowed: the relay repeats a notice that was not confirmed. A
    notice for a delivered message is a violation only where the answer of the delivery could reach the same
    life of the relay before.
    """
    findings = []
    for ref, trace in run.traces.items():
        if not trace.accepted:
            continue
        if trace.ended_s is None and trace.deadline_s + END_SLACK_S < run.end_s:
            findings.append(
                Finding(trace.deadline_s, f"{ref} of {trace.submission.relay} was taken and never ended")
            )
        results = {notice.result for notice in trace.notices}
        if (notice_s := notice_after_delivery_s(run, trace)) is not None:
            findings.append(
                Finding(
                    notice_s, f"{ref} of {trace.submission.relay} was delivered, and noticed as dead after it"
                )
            )
        if len(results) > 1:
            findings.append(
                Finding(trace.notices[-1].t, f"{ref} was noticed as {' and '.join(sorted(results))}")
            )
    return findings


def notice_after_delivery_s(run: Run, trace: MessageTrace) -> float | None:
    """Return when a notice came for a message although its relay had the answer of a delivery, or None.

    The answer may not have reached the relay, and None is returned, if it was written when the relay's time
    limit for the call or the message's deadline was up (the relay may have given up meanwhile), if its
    endpoint went down right after it, or if a fault disturbed the relay between answer and notice.
    """
    delivered_s = trace.delivered_s
    if delivered_s is not None and delivered_s >= trace.deadline_s - SOCKET_SLACK_S:
        return None
    for attempt in trace.attempts:
        time_up_s = attempt.arrived_s + attempt.relay_timeout_s - SOCKET_SLACK_S
        if attempt.outcome == "delivered" and attempt.relay_timeout_s and attempt.finished_s >= time_up_s:
            return None
        if attempt.outcome == "delivered" and endpoint_went_down(
            run, attempt.host, attempt.finished_s, attempt.finished_s + SOCKET_SLACK_S
        ):
            return None
    later_notices = [
        notice.t for notice in trace.notices if delivered_s is not None and notice.t > delivered_s
    ]
    if (
        delivered_s is None
        or not later_notices
        or was_disturbed(run, trace.submission.relay, delivered_s - 0.5, later_notices[0])
    ):
        return None
    return later_notices[0]


def in_time(run: Run) -> list[Finding]:
    """Accepted messages end within 300 ms of their deadline.

    Excepted is what a restart of the relay, or a cut between it and the platform, delays.
    """
    findings = []
    for ref, trace in run.traces.items():
        ended_s = trace.ended_s
        if not trace.accepted or ended_s is None:
            continue
        late_s = ended_s - trace.deadline_s
        if late_s > END_SLACK_S and not is_lateness_excused(run, trace, ended_s):
            findings.append(
                Finding(ended_s, f"{ref} of {trace.submission.relay} ended {late_s * 1000:.0f} ms late")
            )
    return findings


def is_lateness_excused(run: Run, trace: MessageTrace, ended_s: float) -> bool:
    """Return whether a message ended soon after its relay was ready again, or reached the platform again.

    Such delays may follow each other without a gap, for example a restart that a kill or a cut follows.
    """
    due_s, relay = trace.deadline_s + END_SLACK_S, trace.submission.relay
    while ended_s > due_s:
        ready = run.restart_ready_s(relay, due_s)
        delayed_until = [] if ready is None else [ready]
        delayed_until += [until for since, until in platform_cut_spans(run, relay) if since <= due_s]
        next_due_s = max(delayed_until, default=0.0) + RESTART_SLACK_S
        if next_due_s <= due_s:
            return False
        due_s = next_due_s
    return True


def untried_at_restart(run: Run) -> list[MessageTrace]:
    """Return the messages that no call was made for before a restart, and that had half of their time left.

    Messages for a destination that was down do not count: a refused connection is an attempt that no endpoint
    sees.
    """
    untried = []
    for trace in run.traces.values():
        restart, ended_s, half_s = (
            first_restart_after_acceptance(run, trace),
            trace.ended_s,
            trace.time_at_share(0.5),
        )
        if restart is None or restart.ready_s > half_s or (ended_s is not None and ended_s < restart.end_s):
            continue
        tried = any(attempt.arrived_s < restart.end_s for attempt in trace.attempts)
        until_s = min(trace.time_at_share(EARLY_SHARE), ended_s or half_s)
        if not tried and not destination_was_down(run, trace.submission.dest, trace.submission.t, until_s):
            untried.append(trace)
    return untried


def untried_kept(run: Run) -> list[Finding]:
    """Of the messages that a restart finds untried, at most half are given up early without a call.

    See ``untried_at_restart`` for which messages these are.
    """
    untried = untried_at_restart(run)
    given_up = [
        Finding(ended_s, f"{trace.submission.ref} of {trace.submission.relay} was found untried and given up")
        for trace in untried
        if (ended_s := trace.ended_s) is not None
        and ended_s < trace.time_at_share(EARLY_SHARE)
        and not trace.attempts
    ]
    return given_up if 2 * len(given_up) > len(untried) else []
