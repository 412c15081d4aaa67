"""A fleet that finds destinations down: what it wastes there, and what comes at their return."""

from __future__ import annotations

import pytest

from decisions.engine import DecisionEngine
from fleetlab.scale.records import Source
from fleetlab.scale.subjects import fleet_outage
from fleetlab.scale.subjects.fleet_outage import MESSAGES_PER_S

SIZES = (5, 60)


def figures(size: int) -> dict[str, float]:
    """The readings by their names."""
    return {reading.figure: reading.value for reading in fleet_outage.measure(size, 1)}


def wasted(found: dict[str, float]) -> list[float]:
    """Calls a second at a destination in the outage, for each fault."""
    return [
        value for name, value in found.items() if name.endswith("wasted_per_destination_and_second_calls")
    ]


def most_over_bearable(found: dict[str, float]) -> float:
    """The worst window after the return, over all faults."""
    return max(value for name, value in found.items() if name.endswith("most_over_bearable_share"))


@pytest.mark.parametrize("size", SIZES)
def test_a_fleet_wastes_no_more_calls_than_there_are_messages_and_spares_what_is_back(size: int) -> None:
    found = figures(size)
    assert max(wasted(found)) <= MESSAGES_PER_S
    assert most_over_bearable(found) <= 1
    ended = sum(found[f"{end}_messages"] for end in ("delivered", "refused", "failed", "open_at_end"))
    assert found["taken_messages"] == ended


def test_relays_that_note_no_failure_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: every message is tried at once, as often as it may be."""
    monkeypatch.setattr(DecisionEngine, "_record_failure", lambda *_: None)
    found = figures(SIZES[-1])
    assert max(wasted(found)) > MESSAGES_PER_S
    assert most_over_bearable(found) > 1


def test_a_seed_gives_the_same_counts() -> None:
    first, second = (fleet_outage.measure(SIZES[0], 1) for _ in range(2))
    assert [one for one in first if one.source is Source.COUNT] == [
        one for one in second if one.source is Source.COUNT
    ]
