"""A member's standing while views disagree: at most one majority, and shares that never exceed the limit."""

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
    """A view with these members alive, and others in the given states."""
    assert isinstance(alive, list)
    states = dict.fromkeys(alive, State.ALIVE) | others
    return [Update(name, f"{name}:1", "", 1, 0, state) for name, state in states.items()]


def settled(names: list[str], me: str = "m00") -> tuple[FleetTracker, int]:
    """A tracker whose fleet has settled, and the time at which it did."""
    tracker = FleetTracker(me, 0)
    tracker.update(0, view(names), 0)
    assert tracker.update(SETTLE_US, view(names), 0) is Standing.SETTLED
    assert tracker.settled == set(names)
    return tracker, SETTLE_US


def failed(names: list[str]) -> dict[str, State]:
    """These members as failed."""
    return dict.fromkeys(names, State.FAILED)


def test_each_standing_is_reached() -> None:
    tracker, now_us = settled(NAMES)
    assert tracker.update(now_us, view(NAMES, m03=State.SUSPECT), 0) is Standing.CHANGING
    assert tracker.update(now_us, view([*NAMES, "new"]), 0) is Standing.CHANGING
    assert tracker.update(now_us, view(NAMES[:6], **failed(NAMES[6:])), 0) is Standing.MAJORITY
    assert tracker.update(now_us, view(NAMES[:4], **failed(NAMES[4:])), 0) is Standing.MINORITY
    assert tracker.update(now_us, view(NAMES[:1], **failed(NAMES[1:])), 0) is Standing.ISOLATED
    assert tracker.update(now_us, view(NAMES), 4) is Standing.POOR_LOCAL_HEALTH
    assert tracker.update(now_us, view(NAMES), 0) is Standing.SETTLED


def test_clients_are_served_in_every_standing() -> None:
    assert set(PERMISSIONS) == set(Standing)
    assert all(allowed.serve_clients and allowed.accept_messages for allowed in PERMISSIONS.values())
    for standing in (Standing.MINORITY, Standing.ISOLATED, Standing.POOR_LOCAL_HEALTH):
        assert not (PERMISSIONS[standing].start_task or PERMISSIONS[standing].take_over_work)


def test_a_minority_never_settles_and_a_majority_does() -> None:
    for part, standing in ((NAMES[:4], Standing.MINORITY), (NAMES[:6], Standing.SETTLED)):
        tracker, now_us = settled(NAMES)
        rest = failed([name for name in NAMES if name not in part])
        for seconds in range(0, 200, 5):
            current = tracker.update(now_us + seconds * SECOND_US, view(part, **rest), 0)
        assert current is standing


def test_members_that_leave_in_order_make_no_minority() -> None:
    tracker, now_us = settled(NAMES)
    for number in range(8, 1, -1):
        gone = dict.fromkeys(NAMES[number:], State.LEFT)
        now_us += SETTLE_US
        assert tracker.update(now_us, view(NAMES[:number], **gone), 0) in (
            Standing.SETTLED,
            Standing.CHANGING,
        )


@given(st.sets(st.sampled_from(NAMES), min_size=1), st.data())
def test_of_disjoint_parts_at_most_one_is_a_majority(fleet: set[str], data: st.DataObject) -> None:
    """Also if the fleet is split into equal halves."""
    part = data.draw(st.sets(st.sampled_from(sorted(fleet))))
    assert is_majority(part, fleet) + is_majority(fleet - part, fleet) == 1
    part_count = data.draw(st.integers(1, 3))
    parts: list[set[str]] = [set() for _ in range(part_count)]
    for name in sorted(fleet):
        parts[data.draw(st.integers(0, part_count - 1))].add(name)
    assert sum(is_majority(names, fleet) for names in parts) <= 1


@given(st.integers(0, 9), st.lists(st.integers(1, 4000), min_size=1, max_size=30))
def test_the_shares_of_both_parts_never_exceed_the_limit(cut: int, waits_ms: list[int]) -> None:
    """Each relay's share is one over its share count: until a part has settled anew the sum is at most one.

    Then the majority approaches its own number in steps while the shares of the minority fade: the sum
    exceeds one by a tenth at most.
    """
    trackers = {name: settled(NAMES, name)[0] for name in NAMES}
    for name, tracker in trackers.items():
        assert tracker.share_count(SETTLE_US) == len(NAMES), name
    now_us, parts = SETTLE_US, (NAMES[:cut], NAMES[cut:])
    for wait_ms in waits_ms:
        now_us += wait_ms * 1000
        for part in parts:
            rest = failed([name for name in NAMES if name not in part])
            for name in part:
                trackers[name].update(now_us, view(part, **rest), 0)
        max_sum = 1 + 1e-9 if now_us < 2 * SETTLE_US else 1.1
        assert sum(1 / tracker.share_count(now_us) for tracker in trackers.values()) <= max_sum


def test_the_share_count_falls_in_steps_and_rises_at_once() -> None:
    """Without steps a majority would take all of the minority's shares at the moment when it settles."""
    tracker, now_us = settled(NAMES)
    assert tracker.share_count(now_us) == 9
    part = view(NAMES[:5], **failed(NAMES[5:]))
    tracker.update(now_us, part, 0)
    assert tracker.update(now_us + SETTLE_US, part, 0) is Standing.SETTLED
    share_counts = [tracker.share_count(now_us + SETTLE_US + seconds * SECOND_US) for seconds in range(60)]
    assert share_counts[-1] == 5
    assert all(
        before / after <= MAX_SHARE_STEP ** (2.1 * SECOND_US / SHARE_STEP_US)
        for before, after in itertools.pairwise(share_counts)
    )
    tracker.update(now_us + 2 * SETTLE_US, view(NAMES), 0)
    assert tracker.share_count(now_us + 2 * SETTLE_US) == 9
