"""Checkers of the attempts to deliver a message: how many, when, where to, and their effects."""

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
    """Never two attempts of a message out together; one is out until its answer or its connection's end.

    A call that a cut held back until after its relay had ended the connection was out in no moment.
    """
    found = []
    for ref, trace in run.traces.items():
        some = [attempt for attempt in trace.attempts if attempt.finished_s > attempt.arrived_s]
        for before, after in pairwise(some):
            if after.arrived_s < before.finished_s:
                found.append(
                    Finding(after.arrived_s, f"{ref} came to {after.host} while it was out at {before.host}")
                )
    return found


def none_out_past_end(run: Run) -> list[Finding]:
    """A message that its relay has ended by a notice is not out any more: handed in again it would be twice.

    A notice and the end of a connection take ways of their own. What a fault may have held up on one of them
    is passed over, and so is what the relay had out in an earlier life.
    """
    found = []
    for ref, trace in run.traces.items():
        for notice in trace.notices[:1]:
            for attempt in trace.attempts:
                past_s = min(attempt.finished_s, run.end_s) - notice.t
                if attempt.arrived_s > notice.t or past_s <= SOCKET_SLACK_S or attempt.relay != notice.relay:
                    continue
                if not was_disturbed(run, notice.relay, attempt.arrived_s, notice.t + SOCKET_SLACK_S):
                    past = f"{past_s * 1000:.0f} ms after {notice.relay} ended it"
                    found.append(Finding(notice.t, f"{ref} was out at {attempt.host} until {past}"))
    return found


def few_attempts(run: Run) -> list[Finding]:
    """A message is called for no more often than the settings allow."""
    most = run.scenario.most_tries
    return [
        Finding(trace.attempts[most].arrived_s, f"{ref} was called for {len(trace.attempts)} times")
        for ref, trace in run.traces.items()
        if len(trace.attempts) > most
    ]


def no_repeat(run: Run) -> list[Finding]:
    """After a call that may have run an unsafe message is not sent again, a keyed one within its window only.

    A bounce by notice says that coming again is harmless: it is none where an unsafe message may have run.
    """
    found = []
    for ref, trace in run.traces.items():
        cls = run.classes[trace.submission.cls]
        if cls.effect == EFFECT_SAFE:
            continue
        first = next((attempt for attempt in trace.attempts if attempt.may_have_run), None)
        if first is None:
            continue
        for attempt in trace.attempts[trace.attempts.index(first) + 1 :]:
            late = attempt.arrived_s > first.arrived_s + cls.window_s + SOCKET_SLACK_S
            if cls.effect == EFFECT_UNSAFE or late:
                found.append(Finding(attempt.arrived_s, f"{ref} ({cls.effect}) came again to {attempt.host}"))
        if cls.effect == EFFECT_UNSAFE:
            found += [
                Finding(notice.t, f"{ref} (unsafe) was bounced and may have run at {first.host}")
                for notice in trace.notices
                if notice.result == "bounced" and notice.t > first.arrived_s
            ]
    return found


def effect_once(run: Run) -> list[Finding]:
    """By the endpoints' own record nothing that must not repeat took effect twice, under any of its ids."""
    messages: dict[int, list[MessageTrace]] = defaultdict(list)
    for trace in run.traces.values():
        messages[trace.submission.message].append(trace)
    found = []
    for message, traces in messages.items():
        times = sorted(ran.t for trace in traces for ran in trace.effects)
        unsafe = run.classes[traces[0].submission.cls].effect != EFFECT_SAFE
        if len(times) > 1 and unsafe and not client_resent(traces):
            found.append(Finding(times[1], f"message {message} took effect {len(times)} times"))
    return found


def client_resent(traces: list[MessageTrace]) -> bool:
    """Whether a client handed a message in again though an earlier id may have been taken on unheard.

    A client that left after 400 ms cannot know; what the relay does under the old id counts for nothing.
    """
    return any(
        trace.client_answer is None or trace.client_answer.answer in ("patience", "closed", "lab")
        for trace in traces
    )


def own_destination(run: Run) -> list[Finding]:
    """A message goes to endpoints of its own destination only, and nothing goes out that nobody handed in."""
    found = [
        Finding(unknown.time_s, f"{unknown.relay} sent {unknown.ref}, which no client handed in")
        for unknown in run.unknown_messages
    ]
    for ref, trace in run.traces.items():
        for attempt in trace.attempts:
            if run.head.endpoints[attempt.host] != trace.submission.dest:
                found.append(
                    Finding(attempt.arrived_s, f"{ref} for {trace.submission.dest} went to {attempt.host}")
                )
    return sorted(found, key=lambda finding: finding.time_s)
