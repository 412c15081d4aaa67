"""Holders that renew a lease each: the traffic at the quorum's leader, and the processor time of its core."""

from __future__ import annotations

from fleetlab.scale.process import processor_seconds, resident_bytes
from fleetlab.scale.records import Reading, Source
from fleetlab.scale.simulated_quorum import SimulatedQuorum
from fleetlab.scale.subject import Subject

# Simulated durations.
ELECT_S = 2.0  # until a leader is elected
JOIN_S = 4.0  # until all holders have their lease
MEASURE_S = 20.0
SIZES = (40, 100, 200, 400, 600)
TARGET = 600
BYTES_PER_HOLDER = 100_000  # upper estimate of memory
MIB = 1 << 20
DIRECTIONS = ("client_in", "client_out", "member_in", "member_out", "log_out")  # of the leader's traffic


def measure(size: int, seed: int) -> list[Reading]:
    """Let a leader be elected and holders join, then measure their renewals."""
    before_bytes = resident_bytes()
    quorum = SimulatedQuorum(seed)
    quorum.run(ELECT_S)
    quorum.add_holders(size)
    quorum.run(JOIN_S)
    return [
        *measure_renewals(quorum),
        Reading("hollow_resident_bytes", resident_bytes() - before_bytes, Source.TIMED),
    ]


def measure_renewals(quorum: SimulatedQuorum) -> list[Reading]:
    """The leader's traffic, state and processor time while leases are renewed."""
    leader, leases = quorum.leader, len(quorum.leader.core.machine.state.leases)
    frames, sent_bytes, renewals = quorum.frames.copy(), quorum.bytes.copy(), quorum.renewals
    used_s, all_used_s = leader.processor_s, processor_seconds()
    quorum.run(MEASURE_S)
    frames, sent_bytes = quorum.frames - frames, quorum.bytes - sent_bytes
    renewals = quorum.renewals - renewals
    state_bytes = quorum.state_bytes()
    return [
        Reading("renewals_per_second", renewals / MEASURE_S),
        *(
            Reading(f"leader_{direction}_second_frames", frames[direction] / MEASURE_S)
            for direction in DIRECTIONS
        ),
        *(
            Reading(f"leader_{direction}_second_bytes", sent_bytes[direction] / MEASURE_S)
            for direction in DIRECTIONS
        ),
        Reading("leader_renewal_bytes", sent_bytes.total() / max(1, renewals)),
        Reading("state_bytes", state_bytes),
        Reading("lease_state_bytes", state_bytes / max(1, leases)),
        Reading("held_leases", len(quorum.leader.core.machine.state.leases)),
        Reading("refused_requests", quorum.refusals),
        Reading(
            "leader_core_second_processor_microseconds",
            1e6 * (leader.processor_s - used_s) / MEASURE_S,
            Source.TIMED,
        ),
        Reading(
            "all_cores_second_processor_microseconds",
            1e6 * (processor_seconds() - all_used_s) / MEASURE_S,
            Source.TIMED,
        ),
    ]


SUBJECT = Subject(
    name="lease-holders",
    about="holders renew a lease each, by the core under simulated time",
    axis="holders",
    sizes=SIZES,
    target=TARGET,
    memory_bytes=lambda size: 64 * MIB + size * BYTES_PER_HOLDER,
    measure=measure,
)
