"""What members send by the size of their fleet, at small sizes; planted growth is found."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from fleetlab.scale.fit import growth_exponent
from fleetlab.scale.records import Reading, Source
from fleetlab.scale.subjects import members, members_faults
from fleetlab.sim.members import MembershipSim, Plan
from fleetlab.sim.settled import SettledMember, SettledSim
from membership.core import SECOND_US
from membership.messages import Exchange, Update

SEED = 1
SIZES = (10, 20, 40)
CONSTANT, LINEAR = 0.5, 1.25  # most exponents of what may not grow with the fleet, and of what may in line
Play = Callable[[SettledSim], list[Reading]]


class ResendsWholeView(SettledMember):
    """A planted quadratic: each change has the whole view told again."""

    def _enqueue_update(self, update: Update) -> None:
        super()._enqueue_update(update)
        for held in list(self.members.values()):
            super()._enqueue_update(held.update)


class ExchangesWithAll(SettledMember):
    """A planted quadratic: whole views go to all others in place of one."""

    def _start_exchange(self) -> None:
        super()._start_exchange()
        for name in self._live_members:
            self._send(name, Exchange(self.own_update.address, self._full_view(), wants_reply=False))


def counts(play: Play, size: int, core: type[SettledMember] = SettledMember) -> dict[str, float]:
    """The counts of one phase in a fleet of that size."""
    readings = play(SettledSim(SEED, size, core))
    return {item.figure: item.value for item in readings if item.source is Source.COUNT}


def growth(play: Play, core: type[SettledMember] = SettledMember) -> dict[str, float]:
    """The power of the size by which each count grows."""
    by_size = {size: counts(play, size, core) for size in SIZES}
    return {
        figure: growth_exponent([(size, found[figure]) for size, found in by_size.items()])
        for figure in by_size[SIZES[0]]
    }


def test_what_a_member_sends_in_calm_grows_by_whole_exchanges_alone() -> None:
    """And these no faster than the fleet."""
    found = growth(members.measure_calm)
    assert found["calm_member_second_datagrams"] < CONSTANT
    assert found["calm_member_second_datagram_bytes"] < CONSTANT
    assert found["calm_member_second_exchanges"] < CONSTANT
    assert found["calm_member_second_exchange_bytes"] < LINEAR


def test_what_a_member_sends_and_learns_of_a_loss_does_not_grow_with_its_fleet() -> None:
    found = growth(members_faults.kill_one)
    assert found["killed_member_second_updates"] < CONSTANT
    assert found["killed_member_second_changes"] < CONSTANT


def test_a_whole_view_that_is_told_at_each_change_is_found() -> None:
    assert growth(members_faults.kill_one, ResendsWholeView)["killed_member_second_updates"] > CONSTANT


def test_whole_exchanges_with_all_are_found() -> None:
    found = growth(members.measure_calm, ExchangesWithAll)
    assert found["calm_member_second_exchanges"] > CONSTANT
    assert found["calm_member_second_exchange_bytes"] > LINEAR


@pytest.mark.parametrize(
    "play",
    [
        members_faults.kill_one,
        members_faults.lose_zone,
        members_faults.cut_regions,
        members_faults.restart_some,
    ],
)
def test_counts_follow_from_the_seed_and_all_agree_after_a_fault(play: Play) -> None:
    once, again = counts(play, 10), counts(play, 10)
    assert once == again
    assert [value for name, value in once.items() if name.endswith("_agreed")] == [1]


def test_a_fleet_that_begins_settled_sends_what_one_that_came_up_sends() -> None:
    """Datagrams and whole exchanges over a minute and a half, within a tenth and a third."""

    def sent(sim: MembershipSim) -> tuple[int, int]:
        sim.run(60)
        before = sim.sent.copy()
        sim.run(90)
        new = sim.sent - before
        return new.total() - new["Exchange"], new["Exchange"]

    came_up = MembershipSim(SEED, Plan(20))
    came_up.start_all(SECOND_US)
    datagrams, exchanges = sent(came_up)
    settled_datagrams, settled_exchanges = sent(SettledSim(SEED, 20))
    assert 0.9 < settled_datagrams / datagrams < 1.1
    assert 0.7 < settled_exchanges / exchanges < 1.3
