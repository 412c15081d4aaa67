"""What members send in small fleets of several sizes; planted growth is detected."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from fleetlab.scale.fit import growth_exponent
from fleetlab.scale.records import Reading, Source
from fleetlab.scale.subjects import members, members_faults
from fleetlab.sim.members import PeersSim, Plan
from fleetlab.sim.settled import SettledPeers, SettledSim
from membership.core import SECOND_US
from membership.messages import Exchange, Update

SEED = 1
SIZES = (10, 20, 40)
MAX_CONSTANT_EXPONENT = 0.5  # for figures that may not grow with the fleet
MAX_LINEAR_EXPONENT = 1.25  # for figures that may grow linearly
FaultScenario = Callable[[SettledSim], list[Reading]]


class ResendsWholeView(SettledPeers):
    """A planted quadratic cost: each change has the whole view sent again."""

    def _enqueue_update(self, update: Update) -> None:
        super()._enqueue_update(update)
        for held in list(self.members.values()):
            super()._enqueue_update(held.update)


class ExchangesWithAll(SettledPeers):
    """A planted quadratic cost: each exchange goes to all other members in addition to one."""

    def _start_exchange(self) -> None:
        super()._start_exchange()
        for name in self._live_members:
            self._send(name, Exchange(self.own_update.address, self._full_view(), wants_reply=False))


def counts(scenario: FaultScenario, size: int, core: type[SettledPeers] = SettledPeers) -> dict[str, float]:
    """The counts of one scenario in a fleet of ``size`` members."""
    readings = scenario(SettledSim(SEED, size, core))
    return {item.figure: item.value for item in readings if item.source is Source.COUNT}


def growth(scenario: FaultScenario, core: type[SettledPeers] = SettledPeers) -> dict[str, float]:
    """The exponent of each count's growth with the size."""
    by_size = {size: counts(scenario, size, core) for size in SIZES}
    return {
        figure: growth_exponent([(size, found[figure]) for size, found in by_size.items()])
        for figure in by_size[SIZES[0]]
    }


def test_without_events_only_whole_exchanges_grow_with_the_fleet() -> None:
    """Their bytes may grow linearly with the fleet, and no faster."""
    found = growth(members.measure_calm)
    assert found["calm_member_second_datagrams"] < MAX_CONSTANT_EXPONENT
    assert found["calm_member_second_datagram_bytes"] < MAX_CONSTANT_EXPONENT
    assert found["calm_member_second_exchanges"] < MAX_CONSTANT_EXPONENT
    assert found["calm_member_second_exchange_bytes"] < MAX_LINEAR_EXPONENT


def test_the_updates_after_a_loss_do_not_grow_with_the_fleet() -> None:
    found = growth(members_faults.kill_one)
    assert found["killed_member_second_updates"] < MAX_CONSTANT_EXPONENT
    assert found["killed_member_second_changes"] < MAX_CONSTANT_EXPONENT


def test_a_whole_view_that_is_sent_at_each_change_is_detected() -> None:
    assert (
        growth(members_faults.kill_one, ResendsWholeView)["killed_member_second_updates"]
        > MAX_CONSTANT_EXPONENT
    )


def test_whole_exchanges_with_all_members_are_detected() -> None:
    found = growth(members.measure_calm, ExchangesWithAll)
    assert found["calm_member_second_exchanges"] > MAX_CONSTANT_EXPONENT
    assert found["calm_member_second_exchange_bytes"] > MAX_LINEAR_EXPONENT


@pytest.mark.parametrize(
    "scenario",
    [
        members_faults.kill_one,
        members_faults.lose_zone,
        members_faults.cut_regions,
        members_faults.restart_some,
    ],
)
def test_counts_are_derived_from_the_seed_and_all_agree_after_a_fault(scenario: FaultScenario) -> None:
    once, again = counts(scenario, 10), counts(scenario, 10)
    assert once == again
    assert [value for name, value in once.items() if name.endswith("_agreed")] == [1]


def test_a_fleet_that_begins_settled_sends_as_much_as_one_that_started_up() -> None:
    """Over 90 s, the datagrams differ by less than a tenth and the whole exchanges by less than 30%."""

    def sent(sim: PeersSim) -> tuple[int, int]:
        sim.run(60)
        before = sim.sent.copy()
        sim.run(90)
        sent_counts = sim.sent - before
        return sent_counts.total() - sent_counts["Exchange"], sent_counts["Exchange"]

    started_up = PeersSim(SEED, Plan(20))
    started_up.start_all(SECOND_US)
    datagrams, exchanges = sent(started_up)
    settled_datagrams, settled_exchanges = sent(SettledSim(SEED, 20))
    assert 0.9 < settled_datagrams / datagrams < 1.1
    assert 0.7 < settled_exchanges / exchanges < 1.3
