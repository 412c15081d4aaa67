"""Model checking: every state of some small configurations keeps every rule; planted bugs are found."""

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
def explored() -> list[Explored]:
    """Explore all small configurations in several processes."""
    with ProcessPoolExecutor(4) as pool:
        return list(pool.map(explore, SMALL))


def test_every_state_holds_every_rule(explored: list[Explored]) -> None:
    """No state of any of the small configurations breaks a rule."""
    assert [found.rule for found in explored] == [""] * len(SMALL)


def test_the_states_are_many_and_something_happens_in_them(explored: list[Explored]) -> None:
    """The exploration is not vacuous: there are many states, and leases are held in many of them."""
    assert [found.states for found in explored] == [found.states for found in explored if found.held > 5_000]
    assert sum(found.states for found in explored) > 500_000


@pytest.mark.parametrize("name", FOUND_IN)
def test_a_planted_bug_is_found(name: str) -> None:
    """The broken rule is the expected one, and the steps that lead to it are reported."""
    limits, rule = FOUND_IN[name]
    found = explore(limits, BUGS[name].parts)
    assert found.rule == rule
    assert found.trace
