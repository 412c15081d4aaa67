"""Counts and figures of a run: outcomes of messages, delivered worth, and recovery time."""

from __future__ import annotations

from collections import defaultdict

from fleetlab.checks.endings import untried_at_restart
from fleetlab.checks.finding import Finding
from fleetlab.checks.leases import handover_figures
from fleetlab.checks.message import MessageTrace
from fleetlab.checks.run import Run


def count_outcomes(run: Run, findings: dict[str, list[Finding]]) -> dict[str, int]:
    """Return the counts of ``result.json`` by name.

    A message that was submitted under several ids counts once, by its best outcome.
    """
    accepted = [trace for trace in run.traces.values() if trace.accepted]
    outcome_by_message: dict[int, str] = {}
    for trace in run.traces.values():
        outcome = outcome_of(trace)
        if OUTCOME_RANK[outcome] > OUTCOME_RANK.get(outcome_by_message.get(trace.submission.message, ""), -1):
            outcome_by_message[trace.submission.message] = outcome
    outcomes = list(outcome_by_message.values())
    return {
        "handed_in": len(run.traces),
        "messages": len(set(outcome_by_message) | {item.message for item in run.unsent}),
        "taken": len(accepted),
        "delivered": outcomes.count("delivered"),
        "refused": outcomes.count("refused"),
        "failed": outcomes.count("failed"),
        "unanswered": outcomes.count("unanswered"),
        "unsent": len({item.message for item in run.unsent} - set(outcome_by_message)),
        "lost": sum("never ended" in finding.text for finding in findings["ended_once"]),
        "late": len(findings["in_time"]),
        "twice": len(findings["effect_once"]),
        "uncertain": sum(
            any(n.result == "dead" for n in trace.notices) and any(a.may_have_run for a in trace.attempts)
            for trace in accepted
        ),
        "ran_unheard": sum(
            any(n.result == "dead" for n in trace.notices)
            and bool(trace.effects)
            and trace.delivered_s is None
            for trace in accepted
        ),
        "untried": len(untried_at_restart(run)),
        "calls": len(run.attempts),
    }


OUTCOME_RANK = {"": -1, "unanswered": 0, "refused": 1, "lost": 2, "failed": 3, "delivered": 4}


def outcome_of(trace: MessageTrace) -> str:
    """Return the outcome of a message under one id, a key of ``OUTCOME_RANK``."""
    if trace.delivered_s is not None and trace.accepted:
        return "delivered"
    if not trace.accepted:
        answer = trace.client_answer.answer if trace.client_answer is not None else "lab"
        return {"busy": "refused", "error": "failed"}.get(answer, "unanswered")
    if trace.notices:
        return "failed" if trace.notices[0].result == "dead" else "refused"
    return "lost"


def collect_figures(run: Run) -> dict[str, dict[str, float]]:
    """Return the figures of ``result.json`` by process.

    They are what programs measured themselves, the processor time and memory of further processes, and under
    ``leases`` the handovers.
    """
    figures_by_name = {name: dict(figures) for name, figures in run.figures_by_process.items()}
    for name, used in run.usage_by_process.items():
        if name not in run.head.relays and name != "lab":
            figures_by_name.setdefault(name, {}).update(cpu_s=used.cpu_s, peak_mb=used.peak_mb)
    if handovers := handover_figures(run):
        figures_by_name["leases"] = handovers
    return figures_by_name


def worth_share(run: Run) -> float:
    """Return the worth delivered within the aim as a share, from 0 to 1, of the worth of all messages."""
    worth_by_message: dict[int, float] = {item.message: run.classes[item.cls].worth for item in run.unsent}
    delivered_worth: dict[int, float] = {}
    for trace in run.traces.values():
        cls = run.classes[trace.submission.cls]
        worth_by_message[trace.submission.message] = cls.worth
        if run.is_within_aim(trace):
            delivered_worth[trace.submission.message] = cls.worth
    return sum(delivered_worth.values()) / max(1e-9, sum(worth_by_message.values()))


def recovery_time_s(run: Run) -> float | None:
    """Return the seconds from the end of the last fault until service is as good as before the first fault.

    Service is the share of messages delivered within their aim, by the second in which they first came up.
    Recovery ends with the last second in which it is below 90% of its mean before the faults. Return 0 if no
    second is below that, and None if there was no fault or one lasted until the end of the run.
    """
    ends = [fault.t for fault in run.faults if fault.phase == "end"]
    begins = [fault.t for fault in run.faults if fault.phase == "begin"]
    if not ends or len(ends) < len(begins):
        return None
    seconds = aim_counts_by_second(run)
    shares_before = [good / asked for at, (good, asked) in seconds.items() if at < min(begins) - 1 and asked]
    share_before = sum(shares_before) / len(shares_before) if shares_before else 1.0
    bad_seconds_after = [
        at + 1 - max(ends)
        for at, (good, asked) in seconds.items()
        if at + 1 > max(ends) and asked and good / asked < 0.9 * share_before
    ]
    return round(max(0.0, max(bad_seconds_after, default=0.0)), 1)


def aim_counts_by_second(run: Run) -> dict[int, tuple[int, int]]:
    """Return how many messages met their aim, of how many, by the second in which they first came up."""
    first_s: dict[int, float] = {item.message: item.t for item in run.unsent}
    within_aim: set[int] = set()
    for trace in run.traces.values():
        first_s[trace.submission.message] = min(
            first_s.get(trace.submission.message, float("inf")), trace.submission.first
        )
        if run.is_within_aim(trace):
            within_aim.add(trace.submission.message)
    seconds: dict[int, tuple[int, int]] = defaultdict(lambda: (0, 0))
    for message, t in first_s.items():
        met, asked = seconds[int(t)]
        seconds[int(t)] = (met + (message in within_aim), asked + 1)
    return dict(sorted(seconds.items()))
