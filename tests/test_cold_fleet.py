"""What all relays of a fleet send together to a destination that comes back cold."""

from __future__ import annotations

import pytest

from decisions.engine import DecisionEngine
from tests.cold_fleet import Day, Fleet

OUTAGES = ["down", "shut", "fail", "hang"]


@pytest.mark.parametrize("told", [True, False], ids=["limit told", "no limit told"])
@pytest.mark.parametrize("outage", OUTAGES)
@pytest.mark.parametrize("size", [2, 20, 30, 100])
def test_a_fleet_spares_a_cold_destination(size: int, outage: str, told: bool) -> None:
    """Uneven traffic, and a fifth of the relays start anew around the return with no memory of the outage."""
    for seed in range(2):
        for uneven in (0.0, 1.2):
            peak = Fleet(Day(outage, size, seed, told, uneven=uneven, restarts=size // 5)).play()
            assert not peak.breaks, peak


@pytest.mark.parametrize("size", [20, 30])
def test_a_small_destination_or_one_asked_for_too_much_is_spared_too(size: int) -> None:
    for outage in OUTAGES:
        for load, capacity in ((0.8, 5.0), (1.2, 20.0)):
            peak = Fleet(Day(outage, size, 3, told=False, load=load, capacity=capacity)).play()
            assert not peak.breaks, (outage, load, peak)


@pytest.mark.parametrize(
    ("outage", "size", "load", "capacity"),
    [
        pytest.param("fail", 30, 1.2, 20.0, id="asked for more than its limit"),
        pytest.param("down", 20, 0.8, 5.0, id="of five calls a second"),
    ],
)
def test_a_cold_destination_is_spared_whatever_is_drawn(
    outage: str, size: int, load: float, capacity: float
) -> None:
    """Many draws of the two days that came nearest to the bound; a quarter of the relays start anew."""
    peaks = [
        Fleet(Day(outage, size, seed, False, capacity, load, 0.0, restarts=size // 4)).play(26)
        for seed in (0, 1, 6, 12, 18, 24, 30, 36, 42, 51, 58, 59)
    ]
    assert not [peak for peak in peaks if peak.breaks]


def test_relays_that_note_no_failure_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: nobody pauses for what failed, and so nobody knows of a return."""
    monkeypatch.setattr(DecisionEngine, "_record_failure", lambda *_: None)
    peaks = [Fleet(Day(outage, 30, 1, told=False)).play() for outage in OUTAGES]
    assert any(peak.breaks for peak in peaks), peaks


def test_each_relay_taking_the_whole_of_what_it_bears_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: a relay's part is all of it."""
    monkeypatch.setattr(DecisionEngine, "_rate_share", lambda *_: 20.0)
    peaks = [Fleet(Day(outage, 30, 1, told=False)).play() for outage in OUTAGES]
    assert any(peak.breaks for peak in peaks), peaks
