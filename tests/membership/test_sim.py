"""The core under the simulator: views agree, lost members are detected, live ones are not accused.

Cores with planted bugs show that the tests detect them.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from fleetlab.sim.members import PeersSim, Plan
from fleetlab.sim.world import Weather
from membership.core import SECOND_US, MembershipCore, Settings
from membership.messages import Gossip, Replaced, State, Update

SIZES = (3, 40)
FAST = Settings(
    probe_period_us=SECOND_US // 2,
    ack_timeout_us=150_000,
    exchange_interval_us=5 * SECOND_US,
    failed_probe_interval_us=2 * SECOND_US,
)
FAR = Weather(lost=0.01, least_us=50_000, most_us=130_000)
BAD = Weather(lost=0.3, doubled=0.1, late=0.1, least_us=200, most_us=3_000)


def fleet(seed: int, plan: Plan) -> PeersSim:
    """A simulated fleet that has started and agrees on its members."""
    sim = PeersSim(seed, plan)
    sim.start_all(SECOND_US)
    sim.run(1.0)
    assert sim.until_agreed(30) is not None
    return sim


@pytest.mark.parametrize("members", SIZES)
@pytest.mark.parametrize("seed", range(3))
def test_a_lost_member_is_detected_by_all_and_its_restart_is_a_new_life(members: int, seed: int) -> None:
    """Detected within the longest suspicion and some rounds; no other member is declared failed."""
    sim = fleet(seed, Plan(members=members, settings=FAST))
    sim.kill("m1")
    sim.run(40)
    detected_s = sim.detection_s("m1")
    assert detected_s is not None
    assert detected_s[1] < 25
    assert sim.agreed()
    sim.restart("m1")
    assert sim.until_agreed(20) is not None
    assert sim.false_alarms == []


def test_two_halves_merge_again() -> None:
    """Each half declares the other failed; once they are connected again all members refute that."""
    sim = fleet(1, Plan(members=20, settings=FAST))
    sim.halve()
    sim.run(60)
    assert {len(view) for view in sim.views().values()} == {10}
    sim.heal()
    assert sim.until_agreed(60) is not None
    assert sim.false_alarms == []


def test_most_members_are_lost_at_once_and_return_at_once() -> None:
    """Seven in ten of the members."""
    sim = fleet(2, Plan(members=30, settings=FAST))
    lost = sim.names[3:24]
    sim.kill(*lost)
    sim.run(60)
    assert sim.agreed()
    sim.restart(*lost)
    assert sim.until_agreed(60) is not None
    assert sim.false_alarms == []


def test_rolling_restarts_end_in_agreement() -> None:
    """Each member is down for a moment that is shorter than any suspicion."""
    sim = fleet(3, Plan(members=20, settings=FAST))
    for name in sim.names:
        sim.kill(name)
        sim.run(0.3)
        sim.restart(name)
        sim.run(0.3)
    assert sim.until_agreed(40) is not None
    assert all(node.generation == 2 for node in sim.nodes.values())


def count_false_alarms(plan: Plan, seeds: range, slow: int = 0, seconds: float = 60) -> int:
    """How often a live, reachable and timely member was declared failed, over a run for each seed.

    The first ``slow`` members run only 15 percent of the time.
    """
    count = 0
    for seed in seeds:
        sim = fleet(seed, replace(plan, weather=Plan().weather))
        sim.network.weather = plan.weather
        for name in sim.names[:slow]:
            sim.stop_and_go(name, 0.15, seconds)
        sim.run(seconds)
        count += len(sim.false_alarms)
    return count


def test_lost_datagrams_make_no_member_fail() -> None:
    """Three in ten datagrams are lost, some doubled or late; without indirect probes members are accused."""
    plan = Plan(members=20, settings=FAST, weather=BAD)
    assert count_false_alarms(plan, range(3)) == 0
    hasty = replace(FAST, indirect_probes=0, suspicion_multiplier=1.0, max_suspicion_ratio=1.0)
    assert count_false_alarms(replace(plan, settings=hasty), range(3)) > 0


def test_slow_members_make_no_healthy_one_fail() -> None:
    """A tenth run only at intervals; with short suspicions or without refutation healthy ones are accused."""
    plan = Plan(members=20, settings=FAST, weather=FAR)
    assert count_false_alarms(plan, range(3), slow=2) == 0
    hasty = replace(FAST, suspicion_multiplier=0.5, max_suspicion_ratio=1.0, max_local_health=0)
    assert count_false_alarms(replace(plan, settings=hasty), range(2), slow=2) > 0
    assert count_false_alarms(replace(plan, core=NeverRefutes), range(2), slow=2) > 0


def test_the_load_of_a_member_does_not_grow_with_the_fleet() -> None:
    """Messages per member and second without faults: at 60 members under 1.5 times those at 10."""

    def rate(members: int) -> float:
        sim = fleet(1, Plan(members=members))
        sim.run(20)
        before = sum(sim.sent.values())
        sim.run(30)
        return (sum(sim.sent.values()) - before) / 30 / members

    assert rate(60) < 1.5 * rate(10) < 6


class GenerationIgnored(MembershipCore):
    """Planted bug: updates about an old life count for the new one."""

    def _supersedes(self, update: Update, current: Update) -> bool:
        return update.state > current.state or update.incarnation > current.incarnation


class NumberIgnored(MembershipCore):
    """Planted bug: a suspicion that was refuted counts again."""

    def _supersedes(self, update: Update, current: Update) -> bool:
        if update.generation != current.generation:
            return update.generation > current.generation
        return update.state is not current.state


class NeverRefutes(MembershipCore):
    """Planted bug: a suspected member does not refute."""

    def _apply_update_of_self(self, update: Update) -> None:
        return


def run_with_churn(core: type[MembershipCore], seed: int) -> tuple[bool, int]:
    """Run a fleet with losses, restarts and a cut.

    Returns whether it agrees within a minute after the last fault, and the number of false alarms.
    """
    sim = PeersSim(seed, Plan(members=12, settings=FAST, core=core))
    sim.start_all(SECOND_US)
    sim.run(10)
    sim.network.weather = BAD
    sim.kill("m3", "m4")
    sim.run(15)
    sim.restart("m3")
    ways = {("m5", name) for name in sim.names if name != "m5"}
    sim.cut(ways)  # m5 receives, but nothing that it sends arrives
    sim.run(15)
    sim.restart("m4")
    sim.heal()
    sim.network.weather = Plan().weather
    return sim.until_agreed(60) is not None, len(sim.false_alarms)


def test_a_fleet_agrees_after_churn() -> None:
    """With each seed."""
    assert [run_with_churn(MembershipCore, seed) for seed in range(5)] == [(True, 0)] * 5


@pytest.mark.parametrize("core", [GenerationIgnored, NumberIgnored, NeverRefutes])
def test_a_planted_bug_is_found(core: type[MembershipCore]) -> None:
    """At least one of five schedules fails."""
    assert [run_with_churn(core, seed) for seed in range(5)] != [(True, 0)] * 5


def test_an_old_life_learns_that_it_is_replaced() -> None:
    """And sends nothing from then on."""
    sim = fleet(4, Plan(members=5, settings=FAST))
    core = sim.nodes["m1"].core
    assert core is not None
    later = Update("m1", "m1", "", 7, 0, State.ALIVE)

    outputs = core.receive(sim.nodes["m1"].clock.now_us(), Gossip((later,)))
    assert any(isinstance(item, Replaced) for item in outputs)
    assert core.wake(core.due_us) == []
