"""What a schedule is drawn from: its shape by seed, the classes under test, and the fixed figures."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from quorum.holder import Fence, HeldLease, RequestTiming
from quorum.incarnations import IncarnationRegistry
from quorum.lease_timers import LeaseTimers
from quorum.member import Member
from quorum.raft import Raft, Timing
from quorum.state_machine import StateMachine

SECOND = 1_000_000
TIMING = Timing(min_election_us=150_000, max_election_us=300_000, heartbeat_us=40_000)
NARROW = Timing(min_election_us=150_000, max_election_us=165_000, heartbeat_us=40_000)
LEASES = ("sweep", "share")
KEYS = ("a", "b")
TTL_MS = 900
DELAY_MS = 300
DRIFT = 0.01  # the stated bound of clocks
DRIFT_USED = 0.9  # the share of that bound which clocks here take up


@dataclass(frozen=True, slots=True)
class Parts:
    """The classes under test; a planted bug is another class in the place of one."""

    raft: type[Raft] = Raft
    machine: type[StateMachine] = StateMachine
    member: type[Member] = Member
    holding: type[HeldLease] = HeldLease
    fence: type[Fence] = Fence
    asking: type[RequestTiming] = RequestTiming
    clocks: type[LeaseTimers] = LeaseTimers
    lives: type[IncarnationRegistry] = IncarnationRegistry


@dataclass(frozen=True, slots=True)
class Plan:
    """What a schedule is drawn from."""

    members: int = 3
    holders: int = 4
    seconds: int = 12
    faults: int = 10
    lost: float = 0.02
    doubled: float = 0.02
    late: float = 0.03
    membership: bool = False
    narrow: bool = False  # election times hardly differ, so that votes are split often
    kinds: tuple[str, ...] = ()  # of faults; empty: all
    sudden: float = 0.0  # chance that a machine goes down right after a step in which it promised something


def plan_of(seed: int) -> Plan:
    """A schedule's shape, drawn from its seed too."""
    random = Random(seed * 7919)
    return Plan(
        members=random.choice([3, 3, 5]),
        holders=random.choice([3, 4, 6]),
        seconds=random.choice([6, 10]),
        faults=random.choice([3, 8, 14]),
        membership=random.random() < 0.3,
        narrow=random.random() < 0.3,
        sudden=random.choice([0.0, 0.0005, 0.003]),
    )
