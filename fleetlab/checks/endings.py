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

EARLY_SHARE = 0.9  # of a message's time: one given up before has been given up early


def ended_once(run: Run) -> list[Finding]:
    """Each message that was taken on gets an end, and no second end of another kind.

    A notice that says the same once more is a repeat that was not confirmed. A notice beside a delivery is
    one end too many only where the delivery's answer could reach the same life of the relay before.
    """
    found = []
    for ref, trace in run.traces.items():
        if not trace.accepted:
            continue
        if trace.ended_s is None and trace.deadline_s + END_SLACK_S < run.end_s:
            found.append(
                Finding(trace.deadline_s, f"{ref} of {trace.submission.relay} was taken and never ended")
            )
        results = {notice.result for notice in trace.notices}
        if (again := notice_after_delivery_s(run, trace)) is not None:
            found.append(
                Finding(
                    again, f"{ref} of {trace.submission.relay} was delivered, and noticed as dead after it"
                )
            )
        if len(results) > 1:
            found.append(
                Finding(trace.notices[-1].t, f"{ref} was noticed as {' and '.join(sorted(results))}")
            )
    return found


def notice_after_delivery_s(run: Run, trace: MessageTrace) -> float | None:
    """When a notice came for a message whose delivery its relay had been told of, undisturbed in between.

    An answer that is written as the relay's own time for the call, or the message's, is up may cross its
    giving up. One that is written right before its endpoint goes down goes with the connection.
    """
    delivered = trace.delivered_s
    if delivered is not None and delivered >= trace.deadline_s - SOCKET_SLACK_S:
        return None
    for attempt in trace.attempts:
        up = attempt.arrived_s + attempt.relay_timeout_s - SOCKET_SLACK_S
        if attempt.outcome == "delivered" and attempt.relay_timeout_s and attempt.finished_s >= up:
            return None
        if attempt.outcome == "delivered" and endpoint_went_down(
            run, attempt.host, attempt.finished_s, attempt.finished_s + SOCKET_SLACK_S
        ):
            return None
    later = [notice.t for notice in trace.notices if delivered is not None and notice.t > delivered]
    if (
        delivered is None
        or not later
        or was_disturbed(run, trace.submission.relay, delivered - 0.5, later[0])
    ):
        return None
    return later[0]


def in_time(run: Run) -> list[Finding]:
    """An end comes within 300 ms of its time, but for a restart of its relay or a cut from the platform."""
    found = []
    for ref, trace in run.traces.items():
        ended = trace.ended_s
        if not trace.accepted or ended is None:
            continue
        late_s = ended - trace.deadline_s
        if late_s > END_SLACK_S and not is_lateness_excused(run, trace, ended):
            found.append(
                Finding(ended, f"{ref} of {trace.submission.relay} ended {late_s * 1000:.0f} ms late")
            )
    return found


def is_lateness_excused(run: Run, trace: MessageTrace, ended: float) -> bool:
    """Whether it ended soon after its relay was ready again, or reached the platform again.

    What puts the end off may be followed at once by more of the kind, as a restart by a kill or a cut.
    """
    due, relay = trace.deadline_s + END_SLACK_S, trace.submission.relay
    while ended > due:
        ready = run.restart_ready_s(relay, due)
        put_off = [] if ready is None else [ready]
        put_off += [until for since, until in platform_cut_spans(run, relay) if since <= due]
        later = max(put_off, default=0.0) + RESTART_SLACK_S
        if later <= due:
            return False
        due = later
    return True


def untried_at_restart(run: Run) -> list[MessageTrace]:
    """What restarts found untried, with half of its time left.

    A refused connection is a try that no endpoint sees: messages for a partner that was down do not count.
    """
    found = []
    for trace in run.traces.values():
        restart, ended, half_s = (
            first_restart_after_acceptance(run, trace),
            trace.ended_s,
            trace.time_at_share(0.5),
        )
        if restart is None or restart.ready_s > half_s or (ended is not None and ended < restart.end_s):
            continue
        tried = any(attempt.arrived_s < restart.end_s for attempt in trace.attempts)
        until = min(trace.time_at_share(EARLY_SHARE), ended or half_s)
        if not tried and not destination_was_down(run, trace.submission.dest, trace.submission.t, until):
            found.append(trace)
    return found


def untried_kept(run: Run) -> list[Finding]:
    """What restarts find untried, with half of its time left, is not mostly given up early with no call."""
    found = untried_at_restart(run)
    given_up = [
        Finding(ended, f"{trace.submission.ref} of {trace.submission.relay} was found untried and given up")
        for trace in found
        if (ended := trace.ended_s) is not None
        and ended < trace.time_at_share(EARLY_SHARE)
        and not trace.attempts
    ]
    return given_up if 2 * len(given_up) > len(found) else []
