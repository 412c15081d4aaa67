"""Checkers of membership: views converge after faults, and no healthy member is declared failed."""

from __future__ import annotations

from fleetlab.checks.finding import Finding
from fleetlab.checks.run import Run

SETTLED_S = 12.0  # after a fault, until members' views agree
DOUBT_S = 15.0  # after a fault, in which it may still show


def members_of(run: Run) -> list[str]:
    """The processes that hold views of each other."""
    return sorted({seen.member for seen in run.views})


def views_agree(run: Run) -> list[Finding]:
    """Once faults have been over for a while, each living member holds just the living ones as alive.

    Nothing is said where a fault on a member, or the start or end of one, came in the run's last seconds.
    """
    names = set(members_of(run))
    if not settled(run, names):
        return []
    living = {name for name in names if run.lives[name] and run.lives[name][-1].end >= run.over}
    found = []
    for name in sorted(living):
        alive = held_alive(run, name)
        if alive != living:
            wrong = ", ".join(sorted(alive ^ living))
            found.append(Finding(run.over, f"{name} holds {len(alive)} of {len(living)} as alive: {wrong}"))
    return found


def settled(run: Run, names: set[str]) -> bool:
    """Whether the last fault, start or end of a member lies ``SETTLED_S`` before the end of the run."""
    disturbed_s = [t for name in names for life in run.lives[name] for t in (life.start, life.end)]
    disturbed_s += [span.until for span in run.spans if span.on in names]
    if run.over - max((t for t in disturbed_s if t < run.over), default=run.over) < SETTLED_S:
        return False
    return not any(span.on in names and span.until >= run.over for span in run.spans)


def held_alive(run: Run, name: str) -> set[str]:
    """The members, itself included, that a member holds as alive in its last life."""
    mine = [seen for seen in run.views if seen.member == name]
    last = max(seen.life for seen in mine)
    held = {seen.name: seen.state for seen in mine if seen.life == last}
    return {other for other, state in held.items() if state == "alive"} | {name}


def no_false_failure(run: Run) -> list[Finding]:
    """No member is declared failed that lived, was reached and was in time; the one who says so neither."""
    names, found = set(members_of(run)), []
    for seen in run.views:
        if seen.state != "failed":
            continue
        since = seen.t - DOUBT_S
        concerned = {seen.member, seen.name, seen.by} & names
        if any(member_disturbed(run, name, since, seen.t) for name in concerned):
            continue
        found.append(Finding(seen.t, f"{seen.member} holds {seen.name} as failed by the word of {seen.by}"))
    return found


def member_disturbed(run: Run, name: str, since: float, until: float) -> bool:
    """Whether a member was down, started or met by a fault within a span."""
    if any(span.on == name and span.since <= until and span.until >= since for span in run.spans):
        return True
    return not any(life.start <= since and life.end >= until for life in run.lives[name])
