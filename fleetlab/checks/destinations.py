"""Checkers of how relays treat destinations that drain, ask callers to wait, or come back cold."""

from __future__ import annotations

import bisect
from collections import defaultdict

from fleetlab.checks.faults import was_restarted
from fleetlab.checks.finding import Finding
from fleetlab.checks.limits import SOCKET_SLACK_S
from fleetlab.checks.run import Run
from standins.partner import DestinationSpec

# A call that begins within this time (s) after an endpoint wrote a wait may have been sent before it came.
WAIT_SLACK_S = 0.1


def drained(run: Run) -> list[Finding]:
    """No call to an endpoint begins later than the grace after its relay was told that the endpoint drains.

    A relay also counts as told some time after the change, see ``SILENCE_COUNTS_AS_TOLD_S``.
    """
    grace_s, findings = run.scenario.drain_grace_s + SOCKET_SLACK_S, []
    updates_by_relay_and_host = {
        (relay, host): run.serving_updates(relay, host)
        for relay in run.head.relays
        for host in {host for change in run.list_changes for host in change.hosts}
    }
    for attempt in run.attempts:
        updates = updates_by_relay_and_host.get((attempt.relay, attempt.host))
        if not updates:
            continue
        count = bisect.bisect([t for t, _ in updates], attempt.started_s)
        drained_since_s = None
        for t, serving in updates[:count]:
            drained_since_s = None if serving else (t if drained_since_s is None else drained_since_s)
        if drained_since_s is not None and attempt.started_s > drained_since_s + grace_s:
            late_s = attempt.started_s - drained_since_s
            findings.append(
                Finding(
                    attempt.started_s, f"{attempt.ref} to {attempt.host} {late_s:.2f} s after it was told"
                )
            )
    return findings


def waits_kept(run: Run) -> list[Finding]:
    """A relay that was told to wait sends nothing to that destination before the wait ends.

    A restart of the relay ends the wait.
    """
    findings = []
    waits: dict[tuple[str, int], list[tuple[float, float]]] = defaultdict(list)
    for reply in run.replies:
        if reply.wait_ms:
            waits[reply.relay, run.head.endpoints[reply.host]].append(
                (reply.t, reply.t + reply.wait_ms / 1000)
            )
    for attempt in run.attempts:
        for told_s, until_s in waits.get((attempt.relay, run.head.endpoints[attempt.host]), ()):
            if told_s + WAIT_SLACK_S < attempt.started_s < until_s - 0.001 and not was_restarted(
                run, attempt.relay, told_s, attempt.started_s
            ):
                left_ms = (until_s - attempt.started_s) * 1000
                findings.append(
                    Finding(
                        attempt.started_s, f"{attempt.relay} called {attempt.host} {left_ms:.0f} ms too early"
                    )
                )
                break
    return findings


def cold_spared(run: Run) -> list[Finding]:
    """A partner that comes back cold is not overloaded by relays that knew of its outage.

    As the protocol's page says, the rule is broken if two thirds of the calls and probes that overloaded it
    came from relays to which a call or probe there had failed or been refused during the outage.
    """
    findings = []
    for state in run.partner_states:
        if state.state != "fallen":
            continue
        dest = run.head.endpoints[state.host]
        window_s = (state.t - destination_spec(run, dest).fall_s, state.t)
        callers = [
            a.relay
            for a in run.attempts
            if run.head.endpoints[a.host] == dest and window_s[0] <= a.arrived_s <= window_s[1]
        ]
        callers += [
            p.relay
            for p in run.probes
            if run.head.endpoints[p.host] == dest and window_s[0] <= p.t <= window_s[1]
        ]
        relays_that_knew = relays_told_of_outage(run, dest, state.t)
        calls_that_knew = sum(relay in relays_that_knew for relay in callers)
        if callers and calls_that_knew * 3 >= len(callers) * 2:
            findings.append(
                Finding(
                    state.t,
                    f"{state.host} fell over: {calls_that_knew} of {len(callers)} by relays that knew",
                )
            )
    return findings


def destination_spec(run: Run, dest: int) -> DestinationSpec:
    """Return the specification of a destination."""
    return next(partner for partner in run.scenario.partners if partner.dest == dest)


def relays_told_of_outage(run: Run, dest: int, t: float) -> set[str]:
    """Return the relays that had a call to a destination that ended without delivery since it last went down.

    That includes calls that were open when it went down. ``t`` is the time (s) up to which calls count.
    """
    down_times = [
        s.t
        for s in run.partner_states
        if s.state in ("down", "fallen") and s.t < t and run.head.endpoints[s.host] == dest
    ]
    if not down_times:
        return set()
    return {
        attempt.relay
        for attempt in run.attempts
        if run.head.endpoints[attempt.host] == dest and down_times[-1] <= min(attempt.finished_s, t)
        and attempt.arrived_s < t and attempt.outcome != "delivered"
    }  # fmt: skip
