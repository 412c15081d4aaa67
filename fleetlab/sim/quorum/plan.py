"""The plan of a schedule, drawn from its seed, the classes under test, and fixed settings."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from quorum.holder import Fence, HeldLease, RequestTiming
from quorum.incarnations import IncarnationRegistry
from quorum.lease_timers import LeaseTimers
from quorum.member import Member
from quorum.raft import Raft, Timing
from quorum.state_machine import StateMachine

SECOND_US = 1_000_000
TIMING = Timing(min_election_us=150_000, max_election_us=300_000, heartbeat_us=40_000)
# Election timeouts of a narrow range, so that several members become candidates at once and split votes.
NARROW_TIMING = Timing(min_election_us=150_000, max_election_us=165_000, heartbeat_us=40_000)
LEASES = ("sweep", "share")
KEYS = ("a", "b")
LEASE_TTL_MS = 900
LEASE_DELAY_MS = 300  # of the lease "share", before another holder gets it after an unclean end
MAX_DRIFT = 0.01  # the bound on the relative error of clock rates that holders assume
USED_DRIFT_SHARE = 0.9  # simulated clocks drift by up to this share of the bound


@dataclass(frozen=True, slots=True)
class Parts:
    """The classes under test; a planted bug is a subclass in the place of one."""

    raft: type[Raft] = Raft
    state_machine: type[StateMachine] = StateMachine
    member: type[Member] = Member
    held_lease: type[HeldLease] = HeldLease
    fence: type[Fence] = Fence
    request_timing: type[RequestTiming] = RequestTiming
    lease_timers: type[LeaseTimers] = LeaseTimers
    registry: type[IncarnationRegistry] = IncarnationRegistry


@dataclass(frozen=True, slots=True)
class Plan:
    """The size, faults and network conditions of a schedule; rates are shares from 0 to 1."""

    members: int = 3
    holders: int = 4
    seconds: int = 12  # during which faults begin
    fault_count: int = 10
    loss_rate: float = 0.02
    duplicate_rate: float = 0.02
    late_rate: float = 0.03
    changes_membership: bool = False
    narrow_elections: bool = False  # use NARROW_TIMING
    fault_kinds: tuple[str, ...] = ()  # empty: all
    # Probability that a machine crashes right after a step that sent something.
    crash_after_step_rate: float = 0.0


def draw_plan(seed: int) -> Plan:
    """Draw the plan of a schedule from its seed."""
    random = Random(seed * 7919)  # another sequence than that of the schedule itself
    return Plan(
        members=random.choice([3, 3, 5]),
        holders=random.choice([3, 4, 6]),
        seconds=random.choice([6, 10]),
        fault_count=random.choice([3, 8, 14]),
        changes_membership=random.random() < 0.3,
        narrow_elections=random.random() < 0.3,
        crash_after_step_rate=random.choice([0.0, 0.0005, 0.003]),
    )
