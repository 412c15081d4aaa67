"""The membership core alone: the sampling pool, the indexes of members, bounds and dissemination."""

from __future__ import annotations

import math
from collections import Counter
from random import Random

from fleetlab.sim.members import PeersSim, Plan
from membership.core import LIVE_STATES, MAX_MEMBERS, SECOND_US, MembershipCore, Settings
from membership.messages import Ack, Exchange, Gossip, Ping, SendMessage, State, Update
from membership.sampling_pool import SamplingPool


def test_a_pool_samples_uniformly_and_never_an_excluded_name() -> None:
    """Also after names were added and removed."""
    random, pool = Random(1), SamplingPool()
    for number in range(40):
        pool.add(f"m{number}")
    for number in range(0, 40, 2):
        pool.discard(f"m{number}")
    pool.discard("m0")
    pool.add("m1")
    assert sorted(pool) == sorted(f"m{number}" for number in range(1, 40, 2))
    drawn = Counter(name for _ in range(4_000) for name in pool.sample(random, 3, "m1", "nobody"))
    assert "m1" not in drawn
    assert len(drawn) == len(pool) - 1
    assert max(drawn.values()) < 1.3 * min(drawn.values())
    assert len(set(pool.sample(random, 100))) == len(pool)
    assert len(pool.sample(random, 100, "m1")) == len(pool) - 1
    assert SamplingPool().sample(random, 3) == []


def member(now_us: int = 0) -> MembershipCore:
    """A member that knows no other."""
    own_update = Update("me", "a:0", "", 1, 0, State.ALIVE)
    return MembershipCore(own_update, ("a:1",), settings=Settings(), random=Random(3), now_us=now_us)


def test_the_indexes_match_the_records_after_any_update() -> None:
    """Random states, generations and addresses, which change and are shared, and forgotten members."""
    core, random = member(), Random(5)
    for step in range(3_000):
        name = f"m{random.randrange(12)}"
        update = Update(
            name, f"a:{random.randrange(6)}", "", random.randrange(3), random.randrange(8),
            random.choice(list(State)), "m1",
        )  # fmt: skip
        core.receive(step * 1_000, Gossip((update,)))
        if step % 50 == 0:
            core.forget(step * 1_000, name)
        updates = {key: item.update for key, item in core.members.items() if key != "me"}
        assert set(core._live_members) == {key for key, item in updates.items() if item.state in LIVE_STATES}
        assert set(core._alive_members) == {key for key, item in updates.items() if item.state is State.ALIVE}
        assert set(core._failed_members) == {
            key for key, item in updates.items() if item.state is State.FAILED
        }
        assert set(core._suspects) == {key for key, item in updates.items() if item.state is State.SUSPECT}
        addresses = {(item.update.address, key) for key, item in core.members.items()}
        assert {
            (address, key) for address, keys in core._names_by_address.items() for key in keys
        } == addresses


def test_a_full_view_takes_in_no_further_member() -> None:
    """The known members stay, and updates about them still count."""
    core = member()
    for number in range(MAX_MEMBERS + 10):
        core.receive(0, Gossip((Update(f"m{number}", f"a:{number}", "", 1, 0, State.ALIVE),)))
    assert len(core.members) == MAX_MEMBERS
    core.receive(0, Gossip((Update("m1", "a:1", "", 2, 0, State.ALIVE),)))
    assert core.members["m1"].update.generation == 2
    assert f"m{MAX_MEMBERS + 1}" not in core.members


def test_a_member_of_a_thousand_probes_each_once_a_round_and_exchanges_its_whole_view() -> None:
    """After 1,024 members joined at once each update is sent the configured number of times and no more."""
    core, now_us = member(), 0
    names = [f"m{number}" for number in range(1024)]
    core.receive(0, Gossip(tuple(Update(name, f"a:{name}", "", 1, 0, State.ALIVE) for name in names)))
    pinged, sent, longest_queue = Counter[str](), Counter[str](), 0
    while sum(pinged.values()) < 1024:
        now_us = core.due_us
        for item in core.wake(now_us):
            if not isinstance(item, SendMessage):
                continue
            sent.update(update.name for update in item.message.updates)
            if isinstance(item.message, Exchange):
                assert len(item.message.updates) == len(core.members) == 1025
                sent.subtract(core.members.keys())
            elif isinstance(item.message, Ping):
                pinged[item.message.target_name] += 1
                core.receive(now_us + 1_000, Ack(item.message.seq))
        longest_queue = max(longest_queue, len(core._update_queue))
    assert pinged == Counter(names)
    assert longest_queue <= 2 * 1025
    assert core._pending_updates == {}, "every update has been sent as often as configured"
    assert {sent[name] for name in names} == {math.ceil(Settings().retransmit_multiplier * math.log10(1025))}
    assert not core._suspects


def test_a_larger_fleet_agrees() -> None:
    """120 members join within a second; none is declared failed."""
    sim = PeersSim(1, Plan(members=120))
    sim.start_all(SECOND_US)
    sim.run(1.0)
    assert sim.until_agreed(40) is not None
    assert sim.false_alarms == []
