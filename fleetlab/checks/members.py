"""Checkers of membership: views converge after faults, and no healthy member is declared failed."""

from __future__ import annotations

from fleetlab.checks.finding import Finding
from fleetlab.checks.run import Run

CONVERGENCE_S = 12.0  # after a fault, until members' views agree
SUSPICION_S = 15.0  # after a fault, in which it may still show


def member_names(run: Run) -> list[str]:
    """The processes that hold views of each other."""
    return sorted({seen.member for seen in run.views})


def views_agree(run: Run) -> list[Finding]:
    """Once faults have been over for a while, each living member holds just the living ones as alive.

    Nothing is said where a fault on a member, or the start or end of one, came in the run's last seconds.
    """
    names = set(member_names(run))
    if not is_settled(run, names):
        return []
    living = {name for name in names if run.lives[name] and run.lives[name][-1].end_s >= run.end_s}
    found = []
    for name in sorted(living):
        alive = members_seen_alive(run, name)
        if alive != living:
            wrong = ", ".join(sorted(alive ^ living))
            found.append(Finding(run.end_s, f"{name} holds {len(alive)} of {len(living)} as alive: {wrong}"))
    return found


def is_settled(run: Run, names: set[str]) -> bool:
    """Whether the last fault, start or end of a member lies ``SETTLED_S`` before the end of the run."""
    disturbed_s = [t for name in names for life in run.lives[name] for t in (life.start_s, life.end_s)]
    disturbed_s += [span.until_s for span in run.fault_spans if span.target in names]
    if run.end_s - max((t for t in disturbed_s if t < run.end_s), default=run.end_s) < CONVERGENCE_S:
        return False
    return not any(span.target in names and span.until_s >= run.end_s for span in run.fault_spans)


def members_seen_alive(run: Run, name: str) -> set[str]:
    """The members, itself included, that a member holds as alive in its last life."""
    mine = [seen for seen in run.views if seen.member == name]
    last = max(seen.life for seen in mine)
    held = {seen.name: seen.state for seen in mine if seen.life == last}
    return {other for other, state in held.items() if state == "alive"} | {name}


def no_false_failure(run: Run) -> list[Finding]:
    """No member is declared failed that lived, was reached and was in time; the one who says so neither."""
    names, found = set(member_names(run)), []
    for seen in run.views:
        if seen.state != "failed":
            continue
        since = seen.t - SUSPICION_S
        concerned = {seen.member, seen.name, seen.by} & names
        if any(was_member_disturbed(run, name, since, seen.t) for name in concerned):
            continue
        found.append(Finding(seen.t, f"{seen.member} holds {seen.name} as failed by the word of {seen.by}"))
    return found


def was_member_disturbed(run: Run, name: str, since: float, until: float) -> bool:
    """Whether a member was down, started or met by a fault within a span."""
    if any(
        span.target == name and span.since_s <= until and span.until_s >= since for span in run.fault_spans
    ):
        return True
    return not any(life.start_s <= since and life.end_s >= until for life in run.lives[name])
