"""Where a member stands while views disagree: only one part goes on, and shares never add up to more."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from membership.core import SECOND_US
from membership.messages import State, Update
from membership.view_agreement import (
    MAX_SHARE_STEP,
    PERMISSIONS,
    SETTLE_US,
    SHARE_STEP_US,
    FleetTracker,
    Standing,
    is_majority,
)

NAMES = [f"m{number:02}" for number in range(9)]


def view(alive: object, **others: State) -> list[Update]:
    """Who lives, and who is in another state."""
    assert isinstance(alive, list)
    states = dict.fromkeys(alive, State.ALIVE) | others
    return [Update(name, f"{name}:1", "", 1, 0, state) for name, state in states.items()]


def settled(names: list[str], me: str = "m00") -> tuple[FleetTracker, int]:
    """A fleet that has settled, and the time."""
    fleet = FleetTracker(me, 0)
    fleet.update(0, view(names), 0)
    assert fleet.update(SETTLE_US, view(names), 0) is Standing.SETTLED
    assert fleet.settled == set(names)
    return fleet, SETTLE_US


def failed(names: list[str]) -> dict[str, State]:
    """These as failed."""
    return dict.fromkeys(names, State.FAILED)


def test_each_state_is_met() -> None:
    fleet, now_us = settled(NAMES)
    assert fleet.update(now_us, view(NAMES, m03=State.SUSPECT), 0) is Standing.CHANGING
    assert fleet.update(now_us, view([*NAMES, "new"]), 0) is Standing.CHANGING
    assert fleet.update(now_us, view(NAMES[:6], **failed(NAMES[6:])), 0) is Standing.MAJORITY
    assert fleet.update(now_us, view(NAMES[:4], **failed(NAMES[4:])), 0) is Standing.MINORITY
    assert fleet.update(now_us, view(NAMES[:1], **failed(NAMES[1:])), 0) is Standing.ISOLATED
    assert fleet.update(now_us, view(NAMES), 4) is Standing.POOR_LOCAL_HEALTH
    assert fleet.update(now_us, view(NAMES), 0) is Standing.SETTLED


def test_clients_are_served_in_every_state() -> None:
    assert set(PERMISSIONS) == set(Standing)
    assert all(allowed.serve_clients and allowed.accept_messages for allowed in PERMISSIONS.values())
    for standing in (Standing.MINORITY, Standing.ISOLATED, Standing.POOR_LOCAL_HEALTH):
        assert not (PERMISSIONS[standing].start_task or PERMISSIONS[standing].take_over_work)


def test_a_smaller_part_never_settles_and_a_larger_one_does() -> None:
    for part, standing in ((NAMES[:4], Standing.MINORITY), (NAMES[:6], Standing.SETTLED)):
        fleet, now_us = settled(NAMES)
        rest = failed([name for name in NAMES if name not in part])
        for seconds in range(0, 200, 5):
            now = fleet.update(now_us + seconds * SECOND_US, view(part, **rest), 0)
        assert now is standing


def test_who_leaves_in_order_makes_nobody_the_smaller_part() -> None:
    fleet, now_us = settled(NAMES)
    for number in range(8, 1, -1):
        gone = dict.fromkeys(NAMES[number:], State.LEFT)
        now_us += SETTLE_US
        assert fleet.update(now_us, view(NAMES[:number], **gone), 0) in (Standing.SETTLED, Standing.CHANGING)


@given(st.sets(st.sampled_from(NAMES), min_size=1), st.data())
def test_of_two_parts_one_goes_on_at_most(fleet: set[str], data: st.DataObject) -> None:
    """Also of a fleet that is halved exactly."""
    part = data.draw(st.sets(st.sampled_from(sorted(fleet))))
    assert is_majority(part, fleet) + is_majority(fleet - part, fleet) == 1
    more = data.draw(st.integers(1, 3))
    parts: list[set[str]] = [set() for _ in range(more)]
    for name in sorted(fleet):
        parts[data.draw(st.integers(0, more - 1))].add(name)
    assert sum(is_majority(one, fleet) for one in parts) <= 1


@given(st.integers(0, 9), st.lists(st.integers(1, 4000), min_size=1, max_size=30))
def test_the_shares_of_both_parts_never_add_up_to_more(cut: int, waits_ms: list[int]) -> None:
    """Each takes one part in so many as it goes by: while no part has settled anew the sum is one at most.

    Then the larger part goes by its own number in steps, and the other's shares fade: a tenth more at most.
    """
    fleets = {name: settled(NAMES, name)[0] for name in NAMES}
    for name, fleet in fleets.items():
        assert fleet.share_count(SETTLE_US) == len(NAMES), name
    now_us, parts = SETTLE_US, (NAMES[:cut], NAMES[cut:])
    for wait_ms in waits_ms:
        now_us += wait_ms * 1000
        for part in parts:
            rest = failed([name for name in NAMES if name not in part])
            for name in part:
                fleets[name].update(now_us, view(part, **rest), 0)
        most = 1 + 1e-9 if now_us < 2 * SETTLE_US else 1.1
        assert sum(1 / fleet.share_count(now_us) for fleet in fleets.values()) <= most


def test_fewer_count_in_steps_and_more_at_once() -> None:
    """Planted: without steps a larger part that settles takes all of the others' shares at one moment."""
    fleet, now_us = settled(NAMES)
    assert fleet.share_count(now_us) == 9
    part = view(NAMES[:5], **failed(NAMES[5:]))
    fleet.update(now_us, part, 0)
    assert fleet.update(now_us + SETTLE_US, part, 0) is Standing.SETTLED
    sizes = [fleet.share_count(now_us + SETTLE_US + at * SECOND_US) for at in range(60)]
    assert sizes[-1] == 5
    assert all(
        before / after <= MAX_SHARE_STEP ** (2.1 * SECOND_US / SHARE_STEP_US)
        for before, after in itertools.pairwise(sizes)
    )
    fleet.update(now_us + 2 * SETTLE_US, view(NAMES), 0)
    assert fleet.share_count(now_us + 2 * SETTLE_US) == 9
