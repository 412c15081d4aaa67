"""The model: every state of some small configurations holds every rule, and planted bugs are found by it."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor

import pytest

from fleetlab.sim.model import SMALL, Explored, Limits, explore
from tests.quorum.planted_bugs import BUGS

# A small configuration in which each bug shows, and the rule that it breaks.
FOUND_IN = {
    "counted from answer": (Limits(requests=(1, 1), tries=1, leaders=0), "overlap"),
    "counted from repeat": (Limits(requests=(1, 1), leaders=0), "overlap"),
    "drift counted once": (Limits(requests=(1, 1), tries=1, leaders=0), "overlap"),
    "late renewal": (Limits(requests=(2, 1), tries=1, leaders=0), "late"),
    "new leader shortens": (Limits(requests=(1, 1), tries=1), "overlap"),
    "no fence": (Limits(requests=(1, 1), tries=1, leaders=0), "fence"),
    "token again": (Limits(requests=(1, 1), tries=1, leaders=0), "token"),
}


@pytest.fixture(scope="module")
def whole() -> list[Explored]:
    """All small configurations, on several processes."""
    with ProcessPoolExecutor(4) as pool:
        return list(pool.map(explore, SMALL))


def test_every_state_holds_every_rule(whole: list[Explored]) -> None:
    """Of each configuration, to the last state."""
    assert [found.rule for found in whole] == [""] * len(SMALL)


def test_the_states_are_many_and_something_happens_in_them(whole: list[Explored]) -> None:
    """Always the same number; leases are held in a good part of them."""
    assert [found.states for found in whole] == [found.states for found in whole if found.held > 5_000]
    assert sum(found.states for found in whole) > 500_000


@pytest.mark.parametrize("name", FOUND_IN)
def test_a_planted_bug_is_found(name: str) -> None:
    """With the steps that lead to it."""
    limits, rule = FOUND_IN[name]
    found = explore(limits, BUGS[name].parts)
    assert found.rule == rule
    assert found.trace
