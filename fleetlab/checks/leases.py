"""Leases: the checker that one holder acts at a time, and how long a lease takes to pass over."""

from __future__ import annotations

from statistics import median

from fleetlab.checks.faults import was_disturbed
from fleetlab.checks.finding import Finding
from fleetlab.checks.run import Run
from standins import records

IN_FLIGHT_S = 0.25  # that an act may be on its way behind a check which a fault came after


def one_actor(run: Run) -> list[Finding]:
    """By the resource's record: after an act under a newer token none under an older one is let in.

    The unfenced resource lets in what a holder began before it was stopped and sent after: that much no lease
    can prevent, and it is a finding only where no fault had the holder.
    """
    found = []
    newest: dict[tuple[str, str], records.Acted] = {}
    for act in sorted(run.acts, key=lambda item: item.t):
        last = newest.setdefault((act.resource, act.lease), act)
        if act.admitted and act.token < last.token:
            excused = act.resource == "unfenced" and was_disturbed(
                run, act.holder, act.t - IN_FLIGHT_S, act.t
            )
            if not excused:
                text = (
                    f"{act.holder} acted on {act.resource} {act.lease} under {act.token} after {last.token}"
                )
                found.append(Finding(act.t, text))
        elif act.token > last.token:
            newest[act.resource, act.lease] = act
        if act.token == last.token and act.holder != last.holder:
            found.append(Finding(act.t, f"{act.holder} and {last.holder} both have token {act.token}"))
    return found


def handover_figures(run: Run) -> dict[str, float]:
    """By the fenced resource's record: from the last act under a token to the first under the next, in ms."""
    gaps, newest = list[float](), dict[str, records.Acted]()
    for act in sorted(
        (act for act in run.acts if act.resource == "fenced" and act.admitted), key=lambda a: a.t
    ):
        last = newest.get(act.lease)
        if last is not None and act.token > last.token:
            gaps.append((act.t - last.t) * 1000)
        newest[act.lease] = act
    if not gaps:
        return {}
    return {
        "handovers": len(gaps), "handover_ms_median": round(median(gaps), 1),
        "handover_ms_most": round(max(gaps), 1),
    }  # fmt: skip
