"""The checker that one holder of a lease acts at a time, and how long handovers of leases take."""

from __future__ import annotations

from statistics import median

from fleetlab.checks.faults import was_disturbed
from fleetlab.checks.finding import Finding
from fleetlab.checks.run import Run
from standins import records

# An act may reach the resource this long (s) after its holder checked the lease; a fault may come in between.
IN_FLIGHT_S = 0.25


def one_actor(run: Run) -> list[Finding]:
    """By the resource's record, no act with an older token is admitted after one with a newer token.

    The unfenced resource also admits an act that a holder began before a fault stopped it, and sent after
    that. No lease can prevent this, so there it is a violation only if no fault disturbed the holder.
    """
    findings = []
    newest: dict[tuple[str, str], records.Acted] = {}
    for act in sorted(run.acts, key=lambda item: item.t):
        last = newest.setdefault((act.resource, act.lease), act)
        if act.admitted and act.token < last.token:
            is_excused = act.resource == "unfenced" and was_disturbed(
                run, act.holder, act.t - IN_FLIGHT_S, act.t
            )
            if not is_excused:
                text = (
                    f"{act.holder} acted on {act.resource} {act.lease} under {act.token} after {last.token}"
                )
                findings.append(Finding(act.t, text))
        elif act.token > last.token:
            newest[act.resource, act.lease] = act
        if act.token == last.token and act.holder != last.holder:
            findings.append(Finding(act.t, f"{act.holder} and {last.holder} both have token {act.token}"))
    return findings


def handover_figures(run: Run) -> dict[str, float]:
    """Return the number of handovers of leases, and the median and maximum of their durations in ms.

    By the fenced resource's record a handover lasts from the last act with a token to the first act with the
    next one. Return nothing if there was none.
    """
    gaps_ms, newest = list[float](), dict[str, records.Acted]()
    for act in sorted(
        (act for act in run.acts if act.resource == "fenced" and act.admitted), key=lambda a: a.t
    ):
        last = newest.get(act.lease)
        if last is not None and act.token > last.token:
            gaps_ms.append((act.t - last.t) * 1000)
        newest[act.lease] = act
    if not gaps_ms:
        return {}
    return {
        "handovers": len(gaps_ms), "handover_ms_median": round(median(gaps_ms), 1),
        "handover_ms_most": round(max(gaps_ms), 1),
    }  # fmt: skip
