"""Checkers of delivery attempts: how many there were, when, to which endpoint, and with which effects."""

from __future__ import annotations

from collections import defaultdict
from itertools import pairwise

from fleetlab.checks.faults import was_disturbed
from fleetlab.checks.finding import Finding
from fleetlab.checks.limits import SOCKET_SLACK_S
from fleetlab.checks.message import MessageTrace
from fleetlab.checks.run import Run

EFFECT_SAFE = "safe"
EFFECT_UNSAFE = "unsafe"


def one_out(run: Run) -> list[Finding]:
    """Two attempts of one message never overlap.

    An attempt lasts until its answer is written or its connection ends. A call that a cut delayed until after
    its relay had closed the connection lasted no time at all, and is ignored.
    """
    findings = []
    for ref, trace in run.traces.items():
        attempts = [attempt for attempt in trace.attempts if attempt.finished_s > attempt.arrived_s]
        for before, after in pairwise(attempts):
            if after.arrived_s < before.finished_s:
                findings.append(
                    Finding(after.arrived_s, f"{ref} came to {after.host} while it was out at {before.host}")
                )
    return findings


def none_out_past_end(run: Run) -> list[Finding]:
    """No attempt is open after its relay has ended the message by a notice.

    A client may submit such a message again, and it would then be delivered twice. The notice and the end of
    the connection travel over different links: an attempt is ignored where a fault may have delayed one of
    them, and where an earlier life of the relay made it.
    """
    findings = []
    for ref, trace in run.traces.items():
        for notice in trace.notices[:1]:
            for attempt in trace.attempts:
                open_s = min(attempt.finished_s, run.end_s) - notice.t
                if attempt.arrived_s > notice.t or open_s <= SOCKET_SLACK_S or attempt.relay != notice.relay:
                    continue
                if not was_disturbed(run, notice.relay, attempt.arrived_s, notice.t + SOCKET_SLACK_S):
                    duration = f"{open_s * 1000:.0f} ms after {notice.relay} ended it"
                    findings.append(Finding(notice.t, f"{ref} was out at {attempt.host} until {duration}"))
    return findings


def few_attempts(run: Run) -> list[Finding]:
    """No message has more attempts than the settings allow (``most_tries``)."""
    max_attempts = run.scenario.most_tries
    return [
        Finding(trace.attempts[max_attempts].arrived_s, f"{ref} was called for {len(trace.attempts)} times")
        for ref, trace in run.traces.items()
        if len(trace.attempts) > max_attempts
    ]


def no_repeat(run: Run) -> list[Finding]:
    """After a call that may have taken effect, no unsafe message is sent again.

    A keyed message may be sent again within its window. A notice ``bounced`` tells the client that it may
    submit the message again, so it is a violation for an unsafe message that may have taken effect.
    """
    findings = []
    for ref, trace in run.traces.items():
        cls = run.classes[trace.submission.cls]
        if cls.effect == EFFECT_SAFE:
            continue
        first_effect = next((attempt for attempt in trace.attempts if attempt.may_have_run), None)
        if first_effect is None:
            continue
        for attempt in trace.attempts[trace.attempts.index(first_effect) + 1 :]:
            is_after_window = attempt.arrived_s > first_effect.arrived_s + cls.window_s + SOCKET_SLACK_S
            if cls.effect == EFFECT_UNSAFE or is_after_window:
                findings.append(
                    Finding(attempt.arrived_s, f"{ref} ({cls.effect}) came again to {attempt.host}")
                )
        if cls.effect == EFFECT_UNSAFE:
            findings += [
                Finding(notice.t, f"{ref} (unsafe) was bounced and may have run at {first_effect.host}")
                for notice in trace.notices
                if notice.result == "bounced" and notice.t > first_effect.arrived_s
            ]
    return findings


def effect_once(run: Run) -> list[Finding]:
    """By the endpoints' own record, no keyed or unsafe message took effect twice under any of its ids.

    Messages that a client may have submitted again without knowing of the earlier id are ignored.
    """
    messages: dict[int, list[MessageTrace]] = defaultdict(list)
    for trace in run.traces.values():
        messages[trace.submission.message].append(trace)
    findings = []
    for message, traces in messages.items():
        effect_times = sorted(ran.t for trace in traces for ran in trace.effects)
        must_not_repeat = run.classes[traces[0].submission.cls].effect != EFFECT_SAFE
        if len(effect_times) > 1 and must_not_repeat and not client_resent(traces):
            findings.append(
                Finding(effect_times[1], f"message {message} took effect {len(effect_times)} times")
            )
    return findings


def client_resent(traces: list[MessageTrace]) -> bool:
    """Return whether a client resubmitted a message while an earlier id may have been accepted unnoticed.

    A client that stopped waiting after 400 ms cannot know whether the relay accepted the message; the relay
    is not to blame for what then happens under the old id.
    """
    return any(
        trace.client_answer is None or trace.client_answer.answer in ("patience", "closed", "lab")
        for trace in traces
    )


def own_destination(run: Run) -> list[Finding]:
    """Messages are sent to endpoints of their own destination only, and all were submitted by a client."""
    findings = [
        Finding(unknown.time_s, f"{unknown.relay} sent {unknown.ref}, which no client handed in")
        for unknown in run.unknown_messages
    ]
    for ref, trace in run.traces.items():
        for attempt in trace.attempts:
            if run.head.endpoints[attempt.host] != trace.submission.dest:
                findings.append(
                    Finding(attempt.arrived_s, f"{ref} for {trace.submission.dest} went to {attempt.host}")
                )
    return sorted(findings, key=lambda finding: finding.time_s)
