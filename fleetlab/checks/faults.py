"""What faults and restarts met a relay or an endpoint, and when: what excuses a checker's finding."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import pairwise

from fleetlab.checks.message import MessageTrace
from fleetlab.checks.run import Run

TRANSPARENT_FAULTS = ("replace", "reload")  # faults that nobody outside may notice


def was_disturbed(run: Run, relay: str, since: float, until: float) -> bool:
    """Whether a fault on a relay, or its end, lay within a span; a replacement or a reload is none."""
    spans = [span for span in run.fault_spans if span.target == relay and span.kind not in TRANSPARENT_FAULTS]
    if any(span.since_s <= until and span.until_s >= since for span in spans):
        return True
    return run.restart_ready_s(relay, until) is not None or was_restarted(run, relay, since, until)


def was_restarted(run: Run, relay: str, since: float, until: float) -> bool:
    """Whether a life of a relay began between two times."""
    return any(since < life.start_s <= until for life in run.lives.get(relay, []))


def platform_cut_spans(run: Run, relay: str) -> list[tuple[float, float]]:
    """The spans in which a relay's notices could not come: the agent is beside it, so the lab did this."""
    return [
        (span.since_s, min(span.until_s, run.end_s))
        for span in run.fault_spans
        if span.kind == "cut"
        and span.target == relay
        and (not span.other_ends or "platform" in span.other_ends)
    ]


def destination_was_down(run: Run, dest: int, since: float, until: float) -> bool:
    """Whether an endpoint of a destination refused connections at some time in between."""
    down: dict[str, bool] = {}
    for state in run.partner_states:
        if run.head.endpoints[state.host] != dest or state.t > until:
            continue
        if state.t >= since and down.get(state.host):
            return True
        down[state.host] = state.state in ("down", "fallen")
    return any(down.values())


def endpoint_went_down(run: Run, host: str, since: float, until: float) -> bool:
    """Whether an endpoint went down, and broke its connections, within a span."""
    return any(
        state.host == host and state.state == "down" and since <= state.t <= until
        for state in run.partner_states
    )


@dataclass(frozen=True, slots=True)
class Restart:
    """The end of one life and when the next one was ready."""

    end_s: float
    ready_s: float


def first_restart_after_acceptance(run: Run, trace: MessageTrace) -> Restart | None:
    """The first restart of a message's relay after that took it on; None where there was none."""
    if trace.client_answer is None or not trace.accepted:
        return None
    lives = run.lives.get(trace.submission.relay, [])
    return next(
        (
            Restart(life.end_s, after.ready_s)
            for life, after in pairwise(lives)
            if life.end_s > trace.client_answer.t
        ),
        None,
    )
