"""The counts and figures of a run: outcomes of messages, worth delivered, time to recover."""

from __future__ import annotations

from collections import defaultdict

from fleetlab.checks.endings import untried_at_restart
from fleetlab.checks.finding import Finding
from fleetlab.checks.leases import handover_figures
from fleetlab.checks.message import MessageTrace
from fleetlab.checks.run import Run


def count_outcomes(run: Run, found: dict[str, list[Finding]]) -> dict[str, int]:
    """The counts of a run; a message is counted once, by the best that became of any of its ids."""
    taken = [trace for trace in run.traces.values() if trace.accepted]
    ends: dict[int, str] = {}
    for trace in run.traces.values():
        outcome = outcome_of(trace)
        if OUTCOME_RANK[outcome] > OUTCOME_RANK.get(ends.get(trace.submission.message, ""), -1):
            ends[trace.submission.message] = outcome
    outcomes = list(ends.values())
    return {
        "handed_in": len(run.traces),
        "messages": len(set(ends) | {item.message for item in run.unsent}),
        "taken": len(taken),
        "delivered": outcomes.count("delivered"),
        "refused": outcomes.count("refused"),
        "failed": outcomes.count("failed"),
        "unanswered": outcomes.count("unanswered"),
        "unsent": len({item.message for item in run.unsent} - set(ends)),
        "lost": sum("never ended" in finding.text for finding in found["ended_once"]),
        "late": len(found["in_time"]),
        "twice": len(found["effect_once"]),
        "uncertain": sum(
            any(n.result == "dead" for n in trace.notices) and any(a.may_have_run for a in trace.attempts)
            for trace in taken
        ),
        "ran_unheard": sum(
            any(n.result == "dead" for n in trace.notices)
            and bool(trace.effects)
            and trace.delivered_s is None
            for trace in taken
        ),
        "untried": len(untried_at_restart(run)),
        "calls": len(run.attempts),
    }


OUTCOME_RANK = {"": -1, "unanswered": 0, "refused": 1, "lost": 2, "failed": 3, "delivered": 4}


def outcome_of(trace: MessageTrace) -> str:
    """What became of a message under one id."""
    if trace.delivered_s is not None and trace.accepted:
        return "delivered"
    if not trace.accepted:
        answer = trace.client_answer.answer if trace.client_answer is not None else "lab"
        return {"busy": "refused", "error": "failed"}.get(answer, "unanswered")
    if trace.notices:
        return "failed" if trace.notices[0].result == "dead" else "refused"
    return "lost"


def collect_figures(run: Run) -> dict[str, dict[str, float]]:
    """What programs measured, what further processes used, and how leases passed over."""
    found = {name: dict(figures) for name, figures in run.figures_by_process.items()}
    for name, used in run.usage_by_process.items():
        if name not in run.head.relays and name != "lab":
            found.setdefault(name, {}).update(cpu_s=used.cpu_s, peak_mb=used.peak_mb)
    if passed := handover_figures(run):
        found["leases"] = passed
    return found


def worth_share(run: Run) -> float:
    """Worth delivered within the aim over worth asked for, from 0 to 1."""
    asked: dict[int, float] = {item.message: run.classes[item.cls].worth for item in run.unsent}
    got: dict[int, float] = {}
    for trace in run.traces.values():
        cls = run.classes[trace.submission.cls]
        asked[trace.submission.message] = cls.worth
        if run.is_within_aim(trace):
            got[trace.submission.message] = cls.worth
    return sum(got.values()) / max(1e-9, sum(asked.values()))


def recover_s(run: Run) -> float | None:
    """Seconds from the end of the last fault until messages are served in their aim as before the first.

    The last second of load, from that end on, in which under 90% of the share before were so; None without
    a fault that ended, and 0 where none was missed.
    """
    ends = [fault.t for fault in run.faults if fault.phase == "end"]
    begins = [fault.t for fault in run.faults if fault.phase == "begin"]
    if not ends or len(ends) < len(begins):
        return None
    seconds = aim_counts_by_second(run)
    before = [good / asked for at, (good, asked) in seconds.items() if at < min(begins) - 1 and asked]
    usual = sum(before) / len(before) if before else 1.0
    bad = [
        at + 1 - max(ends)
        for at, (good, asked) in seconds.items()
        if at + 1 > max(ends) and asked and good / asked < 0.9 * usual
    ]
    return round(max(0.0, max(bad, default=0.0)), 1)


def aim_counts_by_second(run: Run) -> dict[int, tuple[int, int]]:
    """By the second in which a message first came up: how many were served in their aim, of how many."""
    first: dict[int, float] = {item.message: item.t for item in run.unsent}
    good: set[int] = set()
    for trace in run.traces.values():
        first[trace.submission.message] = min(
            first.get(trace.submission.message, float("inf")), trace.submission.first
        )
        if run.is_within_aim(trace):
            good.add(trace.submission.message)
    seconds: dict[int, tuple[int, int]] = defaultdict(lambda: (0, 0))
    for message, t in first.items():
        served, asked = seconds[int(t)]
        seconds[int(t)] = (served + (message in good), asked + 1)
    return dict(sorted(seconds.items()))
