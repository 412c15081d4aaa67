"""The calls of all relays of a fleet together to a destination that comes back cold."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from decisions import interface as api
from decisions.engine import DecisionEngine
from tests.cold_fleet import BACK_US, SHORT_CLASSES, Fleet, Peak, Scenario

OUTAGES = ["down", "shut", "fail", "hang"]
UNSAFE_SEEDS = (26, 31, 50, 56, 57, 77)
Classes = tuple[api.MessageClass, ...]


@pytest.mark.parametrize("limit_reported", [True, False], ids=["limit told", "no limit told"])
@pytest.mark.parametrize("outage", OUTAGES)
@pytest.mark.parametrize("size", [2, 20, 30, 100])
def test_a_fleet_spares_a_cold_destination(size: int, outage: str, limit_reported: bool) -> None:
    """With even and uneven traffic; a fifth of the relays restart around the return without their state."""
    for seed in range(2):
        for uneven in (0.0, 1.2):
            peak = Fleet(
                Scenario(outage, size, seed, limit_reported, uneven=uneven, restarts=size // 5)
            ).run()
            assert not peak.breaks_rule, peak


@pytest.mark.parametrize("size", [20, 30])
def test_a_small_destination_or_one_asked_for_too_much_is_spared_too(size: int) -> None:
    for outage in OUTAGES:
        for load, capacity in ((0.8, 5.0), (1.2, 20.0)):
            peak = Fleet(Scenario(outage, size, 3, limit_reported=False, load=load, capacity=capacity)).run()
            assert not peak.breaks_rule, (outage, load, peak)


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
    """Many seeds of the two scenarios that came nearest to the bound; a quarter of the relays restart."""
    peaks = [
        Fleet(Scenario(outage, size, seed, False, capacity, load, 0.0, restarts=size // 4)).run(26)
        for seed in (0, 1, 6, 12, 18, 24, 30, 36, 42, 51, 58, 59)
    ]
    assert not [peak for peak in peaks if peak.breaks_rule]


def test_relays_that_note_no_failure_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted fault: no relay pauses after failures, and so none notices that the destination is back."""
    monkeypatch.setattr(DecisionEngine, "_record_failure", lambda *_: None)
    peaks = [Fleet(Scenario(outage, 30, 1, limit_reported=False)).run() for outage in OUTAGES]
    assert any(peak.breaks_rule for peak in peaks), peaks


def test_each_relay_taking_the_whole_of_what_it_bears_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted fault: each relay takes the whole capacity for its own part."""
    monkeypatch.setattr(DecisionEngine, "_rate_share", lambda *_: 20.0)
    peaks = [Fleet(Scenario(outage, 30, 1, limit_reported=False)).run() for outage in OUTAGES]
    assert any(peak.breaks_rule for peak in peaks), peaks


def broken_peaks(
    outage: str,
    capacity: float,
    seeds: Iterable[int],
    *,
    kill_us: int = 0,
    aware_across_kills: bool = False,
    classes: Classes = SHORT_CLASSES,
) -> list[tuple[str, float, int, Peak]]:
    """The windows that break the rule, of 46 relays with two slots, short deadlines and retries."""
    broken = []
    for seed in seeds:
        scenario = Scenario(
            outage, 46, seed, limit_reported=False, capacity=capacity, load=1.1, uneven=0.7, endpoints=2,
            slots=2, classes=classes, kill_us=kill_us, aware_across_kills=aware_across_kills, retries=2,
            wide_if_few=True,
        )  # fmt: skip
        if (peak := Fleet(scenario).run()).breaks_rule:
            broken.append((outage, capacity, seed, peak))
    return broken


def test_relays_that_were_told_to_wait_do_not_return_together() -> None:
    """A destination that is shut tells each caller to wait until it is back."""
    assert not [peak for capacity in (5.0, 20.0) for peak in broken_peaks("told", capacity, range(10))]


def test_calls_that_hang_past_the_return_are_not_all_repeated_at_once() -> None:
    """Such calls fail only after the return, each as the first failure that its relay sees."""
    outages = ("hang", 5.0), ("hang", 10.0), ("silent", 5.0)
    assert not [peak for outage, capacity in outages for peak in broken_peaks(outage, capacity, range(10))]


def test_failures_at_all_endpoints_of_a_destination_count_together() -> None:
    """A message that may not be repeated shows its relay one failure, at one of the endpoints."""
    unsafe = SHORT_CLASSES[2:]
    assert not [
        p for capacity in (10.0, 20.0) for p in broken_peaks("fail", capacity, UNSAFE_SEEDS, classes=unsafe)
    ]


def test_a_fleet_that_restarts_with_held_messages_spares_a_cold_destination() -> None:
    """All that a journal held arrives in the first step; it was taken on over many seconds."""
    kill_us = BACK_US - 2_600_000
    plays = [(outage, capacity) for outage in (*OUTAGES, "told") for capacity in (5.0, 20.0)]
    assert not [
        p for outage, capacity in plays for p in broken_peaks(outage, capacity, range(4), kill_us=kill_us)
    ]


def test_a_fleet_that_starts_anew_behind_a_return_spares_what_its_former_processes_saw_fail() -> None:
    """Stricter than a rule that counts what a process itself was told: a kill loses that."""
    kill_us = BACK_US - 400_000
    plays = [
        broken_peaks(o, 5.0, range(4), kill_us=kill_us, aware_across_kills=True) for o in ("down", "told")
    ]
    assert plays == [[], []]
