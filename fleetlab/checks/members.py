"""Checkers of membership: views converge after faults, and no healthy member is declared failed."""

from __future__ import annotations

from fleetlab.checks.finding import Finding
from fleetlab.checks.run import Run

# The views of all members agree at the latest this long (s) after the last fault.
CONVERGENCE_S = 12.0
# A fault may cause a member to be declared failed up to this long (s) after it.
SUSPICION_S = 15.0


def member_names(run: Run) -> list[str]:
    """Return the names of the processes that recorded views of each other."""
    return sorted({seen.member for seen in run.views})


def views_agree(run: Run) -> list[Finding]:
    """At the end of the run each living member holds exactly the living members as alive.

    Nothing is checked if a fault on a member, or a start or end of one, came within ``CONVERGENCE_S`` of the
    end of the run.
    """
    names = set(member_names(run))
    if not is_settled(run, names):
        return []
    living = {name for name in names if run.lives[name] and run.lives[name][-1].end_s >= run.end_s}
    findings = []
    for name in sorted(living):
        alive = members_seen_alive(run, name)
        if alive != living:
            wrong = ", ".join(sorted(alive ^ living))
            findings.append(
                Finding(run.end_s, f"{name} holds {len(alive)} of {len(living)} as alive: {wrong}")
            )
    return findings


def is_settled(run: Run, names: set[str]) -> bool:
    """Return whether members had no fault, start or end within ``CONVERGENCE_S`` of the run's end."""
    event_times = [t for name in names for life in run.lives[name] for t in (life.start_s, life.end_s)]
    event_times += [span.until_s for span in run.fault_spans if span.target in names]
    if run.end_s - max((t for t in event_times if t < run.end_s), default=run.end_s) < CONVERGENCE_S:
        return False
    return not any(span.target in names and span.until_s >= run.end_s for span in run.fault_spans)


def members_seen_alive(run: Run, name: str) -> set[str]:
    """Return the members, itself included, that a member held as alive at the end of its last life."""
    views = [seen for seen in run.views if seen.member == name]
    last_life = max(seen.life for seen in views)
    state_by_member = {seen.name: seen.state for seen in views if seen.life == last_life}
    return {other for other, state in state_by_member.items() if state == "alive"} | {name}


def no_false_failure(run: Run) -> list[Finding]:
    """No member is declared failed without a cause.

    A cause is a fault, start or end, within ``SUSPICION_S`` before, of the member that holds the view, of the
    one it declares failed, or of the one that first said so.
    """
    names, findings = set(member_names(run)), []
    for seen in run.views:
        if seen.state != "failed":
            continue
        since_s = seen.t - SUSPICION_S
        concerned = {seen.member, seen.name, seen.by} & names
        if any(was_member_disturbed(run, name, since_s, seen.t) for name in concerned):
            continue
        findings.append(
            Finding(seen.t, f"{seen.member} holds {seen.name} as failed by the word of {seen.by}")
        )
    return findings


def was_member_disturbed(run: Run, name: str, since_s: float, until_s: float) -> bool:
    """Return whether a member was down, started or had a fault within a time span."""
    if any(
        span.target == name and span.since_s <= until_s and span.until_s >= since_s
        for span in run.fault_spans
    ):
        return True
    return not any(life.start_s <= since_s and life.end_s >= until_s for life in run.lives[name])
