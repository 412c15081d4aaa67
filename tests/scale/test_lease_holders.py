"""What renewals cost a quorum's leader by the number of holders, at small sizes; planted growth is found."""

from __future__ import annotations

import pytest

from fleetlab.scale.fit import growth_exponent
from fleetlab.scale.records import Source
from fleetlab.scale.simulated_quorum import RENEWALS_PER_TTL, TTL_MS, SimulatedQuorum
from fleetlab.scale.subjects.lease_holders import ELECT_S, JOIN_S, measure_renewals
from quorum.member import Member
from quorum.messages import Committed

SEED = 1
SIZES = (10, 20, 40, 60)
CONSTANT = 0.25  # most exponent of what a renewal may cost, by the number of holders


class WritesStateEachTime(Member):
    """A planted quadratic: the whole state is written at each entry."""

    def _committed(self, action: Committed) -> None:
        super()._committed(action)
        self._compact()


def counts(size: int, member: type[Member] = Member) -> dict[str, float]:
    """The counts of so many holders."""
    quorum = SimulatedQuorum(SEED, member)
    quorum.run(ELECT_S)
    quorum.add_holders(size)
    quorum.run(JOIN_S)
    return {item.figure: item.value for item in measure_renewals(quorum) if item.source is Source.COUNT}


def growth(figure: str, member: type[Member] = Member) -> float:
    """The power of the number of holders by which a figure grows for each renewal."""
    found = [(size, counts(size, member)) for size in SIZES]
    return growth_exponent([(size, some[figure] / some["renewals_per_second"]) for size, some in found])


@pytest.mark.parametrize("size", [SIZES[0], SIZES[-1]])
def test_every_holder_renews_three_times_in_its_lease_and_keeps_it(size: int) -> None:
    found = counts(size)
    assert found["held_leases"] == size
    assert found["refused_requests"] == 0
    assert found["renewals_per_second"] == pytest.approx(size * RENEWALS_PER_TTL / (TTL_MS / 1000), rel=0.05)
    assert found == counts(size)


@pytest.mark.parametrize(
    "figure",
    [
        "leader_client_in_second_bytes",
        "leader_client_out_second_bytes",
        "leader_member_out_second_bytes",
        "leader_log_out_second_bytes",
        "leader_log_out_second_frames",
    ],
)
def test_a_renewal_does_not_cost_more_where_there_are_more_holders(figure: str) -> None:
    assert growth(figure) < CONSTANT


def test_a_state_that_is_written_at_each_renewal_is_found() -> None:
    assert growth("leader_log_out_second_bytes", WritesStateEachTime) > CONSTANT


def test_a_lease_takes_as_much_of_the_state_at_each_size() -> None:
    assert growth_exponent([(size, counts(size)["lease_state_bytes"]) for size in SIZES]) < CONSTANT
