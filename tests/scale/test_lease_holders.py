"""The cost of renewals for a quorum's leader at small sizes; planted growth is detected."""

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
# Largest exponent of the growth of a renewal's cost with the number of holders that counts as none.
MAX_CONSTANT_EXPONENT = 0.25


class WritesStateEachTime(Member):
    """A planted quadratic cost: each committed entry has the whole state written."""

    def _committed(self, action: Committed) -> None:
        super()._committed(action)
        self._compact()


def counts(size: int, member: type[Member] = Member) -> dict[str, float]:
    """The counts measured with ``size`` holders."""
    quorum = SimulatedQuorum(SEED, member)
    quorum.run(ELECT_S)
    quorum.add_holders(size)
    quorum.run(JOIN_S)
    return {item.figure: item.value for item in measure_renewals(quorum) if item.source is Source.COUNT}


def growth(figure: str, member: type[Member] = Member) -> float:
    """The exponent of a figure's growth for each renewal, by the number of holders."""
    counts_by_size = [(size, counts(size, member)) for size in SIZES]
    return growth_exponent(
        [(size, found[figure] / found["renewals_per_second"]) for size, found in counts_by_size]
    )


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
def test_a_renewal_does_not_cost_more_with_more_holders(figure: str) -> None:
    assert growth(figure) < MAX_CONSTANT_EXPONENT


def test_a_state_that_is_written_at_each_renewal_is_detected() -> None:
    assert growth("leader_log_out_second_bytes", WritesStateEachTime) > MAX_CONSTANT_EXPONENT


def test_a_lease_takes_the_same_share_of_the_state_at_each_size() -> None:
    assert (
        growth_exponent([(size, counts(size)["lease_state_bytes"]) for size in SIZES]) < MAX_CONSTANT_EXPONENT
    )
