"""The watch on the list with real connections: news counts as told 6 s after discovery could be reached."""

from __future__ import annotations

from itertools import pairwise

import pytest

from mossfront import interface as api
from mossfront.brain import Relay
from standins.scripted import World
from tests.support import SECOND, entry, roster, settings

TOLD_S = 6.0  # what discovery has counts as told so long after it could be reached
SIZES = (2, 30, 230)  # relays in the group


@pytest.mark.parametrize("size", SIZES)
async def test_a_discovery_that_is_back_is_asked_in_time(world: World, size: int) -> None:
    """It may be back right behind each ask that failed: no two asks lie farther apart than the news may."""
    world.settings["group_size"] = size
    world.directory.down = True
    await world.run()
    asks = [await world.directory.call(number) for number in range(4)]
    gaps_s = [later.at_s - sooner.at_s for sooner, later in pairwise(asks)]
    assert all(gap_s < TOLD_S for gap_s in gaps_s), gaps_s


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("failed_us", [0, SECOND // 10, 3 * SECOND])
def test_asks_that_fail_late_or_at_once_lie_no_farther_apart(size: int, failed_us: int) -> None:
    """The same in the module alone, over a long outage: refused at once, and hung for as long as may be."""
    for seed in range(20):
        number = seed * size // 20
        told = settings(group_size=size, number=number, must_ask=True, ask_within_us=10 * SECOND)
        relay = Relay(told, seed=seed)
        relay.step(0, [roster(entry("h1"), kind=api.RosterKind.CACHED)])
        asked_us, failing = [0], True
        while len(asked_us) < 30:
            now_us = asked_us[-1] + failed_us if failing else relay.ask_us
            events = [api.Roster(api.RosterKind.FAILED)] if failing else [api.TimerDue()]
            if api.Subscribe() in relay.step(now_us, events):
                asked_us.append(now_us)
            failing = not failing
        gaps_us = [later - sooner for sooner, later in pairwise(asked_us)]
        assert max(gaps_us) < TOLD_S * SECOND
