"""Checkers of how relays treat destinations that drain, ask to wait or come back cold."""

from __future__ import annotations

import bisect
from collections import defaultdict

from fleetlab.checks.faults import was_restarted
from fleetlab.checks.finding import Finding
from fleetlab.checks.limits import SOCKET_SLACK_S
from fleetlab.checks.run import Run
from standins.partner import DestinationSpec

WAIT_SLACK_S = 0.1  # after a wait is written, in which calls are let through


def drained(run: Run) -> list[Finding]:
    """No new work to an endpoint later than the grace after it was told, or counts as told, to drain."""
    grace_s, found = run.scenario.drain_grace_s + SOCKET_SLACK_S, []
    lists = {
        (relay, host): run.serving_updates(relay, host)
        for relay in run.head.relays
        for host in {host for change in run.list_changes for host in change.hosts}
    }
    for attempt in run.attempts:
        told = lists.get((attempt.relay, attempt.host))
        if not told:
            continue
        at = bisect.bisect([t for t, _ in told], attempt.started_s)
        since = None
        for t, serving in told[:at]:
            since = None if serving else (t if since is None else since)
        if since is not None and attempt.started_s > since + grace_s:
            late_s = attempt.started_s - since
            found.append(
                Finding(
                    attempt.started_s, f"{attempt.ref} to {attempt.host} {late_s:.2f} s after it was told"
                )
            )
    return found


def waits_kept(run: Run) -> list[Finding]:
    """Told to wait, a relay sends nothing to that destination until then; a restart ends the wait."""
    found = []
    waits: dict[tuple[str, int], list[tuple[float, float]]] = defaultdict(list)
    for reply in run.replies:
        if reply.wait_ms:
            waits[reply.relay, run.head.endpoints[reply.host]].append(
                (reply.t, reply.t + reply.wait_ms / 1000)
            )
    for attempt in run.attempts:
        for told, until in waits.get((attempt.relay, run.head.endpoints[attempt.host]), ()):
            if told + WAIT_SLACK_S < attempt.started_s < until - 0.001 and not was_restarted(
                run, attempt.relay, told, attempt.started_s
            ):
                left_ms = (until - attempt.started_s) * 1000
                found.append(
                    Finding(
                        attempt.started_s, f"{attempt.relay} called {attempt.host} {left_ms:.0f} ms too early"
                    )
                )
                break
    return found


def cold_spared(run: Run) -> list[Finding]:
    """A partner that comes back cold does not fall over under relays that had been told of its outage.

    As the page says, the rule is broken if two thirds of the pushes came from relays to which a call or
    probe there had failed or been refused during the outage.
    """
    found = []
    for state in run.partner_states:
        if state.state != "fallen":
            continue
        dest = run.head.endpoints[state.host]
        span = (state.t - destination_spec(run, dest).fall_s, state.t)
        pushes = [
            a.relay
            for a in run.attempts
            if run.head.endpoints[a.host] == dest and span[0] <= a.arrived_s <= span[1]
        ]
        pushes += [
            p.relay for p in run.probes if run.head.endpoints[p.host] == dest and span[0] <= p.t <= span[1]
        ]
        known = relays_told_of_outage(run, dest, state.t)
        told = sum(relay in known for relay in pushes)
        if pushes and told * 3 >= len(pushes) * 2:
            found.append(
                Finding(state.t, f"{state.host} fell over: {told} of {len(pushes)} by relays that knew")
            )
    return found


def destination_spec(run: Run, dest: int) -> DestinationSpec:
    """A destination's figures."""
    return next(partner for partner in run.scenario.partners if partner.dest == dest)


def relays_told_of_outage(run: Run, dest: int, t: float) -> set[str]:
    """Relays whose call there was out when it went down, failed or was refused since."""
    downs = [
        s.t
        for s in run.partner_states
        if s.state in ("down", "fallen") and s.t < t and run.head.endpoints[s.host] == dest
    ]
    if not downs:
        return set()
    return {
        attempt.relay
        for attempt in run.attempts
        if run.head.endpoints[attempt.host] == dest and downs[-1] <= min(attempt.finished_s, t) and attempt.arrived_s < t
        and attempt.outcome != "delivered"
    }  # fmt: skip
