"""A fleet that finds destinations down: the calls it wastes there, and the load at their return."""

from __future__ import annotations

import pytest

from decisions.engine import DecisionEngine
from fleetlab.scale.records import Source
from fleetlab.scale.subjects import fleet_outage
from fleetlab.scale.subjects.fleet_outage import MESSAGES_PER_S

SIZES = (5, 60)


def figures(size: int) -> dict[str, float]:
    """The readings by figure name."""
    return {reading.figure: reading.value for reading in fleet_outage.measure(size, 1)}


def wasted_calls_per_s(readings: dict[str, float]) -> list[float]:
    """Calls per second to a destination in the outage, for each fault."""
    return [
        value for name, value in readings.items() if name.endswith("wasted_per_destination_and_second_calls")
    ]


def max_load_ratio(readings: dict[str, float]) -> float:
    """The load ratio of the worst window after the return, over all faults."""
    return max(value for name, value in readings.items() if name.endswith("most_over_bearable_share"))


@pytest.mark.parametrize("size", SIZES)
def test_a_fleet_wastes_no_more_calls_than_messages_and_does_not_overload_what_returns(size: int) -> None:
    readings = figures(size)
    assert max(wasted_calls_per_s(readings)) <= MESSAGES_PER_S
    assert max_load_ratio(readings) <= 1
    ended = sum(readings[f"{end}_messages"] for end in ("delivered", "refused", "failed", "open_at_end"))
    assert readings["taken_messages"] == ended


def test_relays_that_record_no_failure_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: every message is attempted at once, up to the limit of attempts."""
    monkeypatch.setattr(DecisionEngine, "_record_failure", lambda *_: None)
    readings = figures(SIZES[-1])
    assert max(wasted_calls_per_s(readings)) > MESSAGES_PER_S
    assert max_load_ratio(readings) > 1


def test_a_seed_gives_the_same_counts() -> None:
    first, second = (fleet_outage.measure(SIZES[0], 1) for _ in range(2))
    assert [one for one in first if one.source is Source.COUNT] == [
        one for one in second if one.source is Source.COUNT
    ]
