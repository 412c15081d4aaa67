"""Which faults and restarts a relay or an endpoint had, and when. Checkers use them as excuses."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import pairwise

from fleetlab.checks.message import MessageTrace
from fleetlab.checks.run import Run

# Clients and endpoints must not notice these faults, so they excuse nothing.
TRANSPARENT_FAULTS = ("replace", "reload")


def was_disturbed(run: Run, relay: str, since_s: float, until_s: float) -> bool:
    """Return whether a fault or a restart of a relay overlaps a time span, transparent faults aside."""
    spans = [span for span in run.fault_spans if span.target == relay and span.kind not in TRANSPARENT_FAULTS]
    if any(span.since_s <= until_s and span.until_s >= since_s for span in spans):
        return True
    return run.restart_ready_s(relay, until_s) is not None or was_restarted(run, relay, since_s, until_s)


def was_restarted(run: Run, relay: str, since_s: float, until_s: float) -> bool:
    """Return whether a life of a relay began within a time span."""
    return any(since_s < life.start_s <= until_s for life in run.lives.get(relay, []))


def platform_cut_spans(run: Run, relay: str) -> list[tuple[float, float]]:
    """Return the time spans in which a cut kept a relay's notices from the platform.

    The agent runs on the relay's host, so nothing but a fault of the lab can separate them.
    """
    return [
        (span.since_s, min(span.until_s, run.end_s))
        for span in run.fault_spans
        if span.kind == "cut"
        and span.target == relay
        and (not span.other_ends or "platform" in span.other_ends)
    ]


def destination_was_down(run: Run, dest: int, since_s: float, until_s: float) -> bool:
    """Return whether an endpoint of a destination refused connections at some time within a time span."""
    down_by_host: dict[str, bool] = {}
    for state in run.partner_states:
        if run.head.endpoints[state.host] != dest or state.t > until_s:
            continue
        if state.t >= since_s and down_by_host.get(state.host):
            return True
        down_by_host[state.host] = state.state in ("down", "fallen")
    return any(down_by_host.values())


def endpoint_went_down(run: Run, host: str, since_s: float, until_s: float) -> bool:
    """Return whether an endpoint went down, and so broke its connections, within a time span."""
    return any(
        state.host == host and state.state == "down" and since_s <= state.t <= until_s
        for state in run.partner_states
    )


@dataclass(frozen=True, slots=True)
class Restart:
    """The end of one life of a process and when the next one was ready, in seconds of the run."""

    end_s: float
    ready_s: float


def first_restart_after_acceptance(run: Run, trace: MessageTrace) -> Restart | None:
    """Return the first restart of a relay after it accepted a message, or None."""
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
