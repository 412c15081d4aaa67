"""A settled fleet in calm: what each member sends, and what it costs it in processor time and memory."""

from __future__ import annotations

from fleetlab.scale.process import exclude_objects_from_gc, processor_seconds, resident_bytes
from fleetlab.scale.records import Reading, Source
from fleetlab.scale.simulated_load import LoadCounter
from fleetlab.scale.subject import Subject
from fleetlab.sim.settled import SettledSim
from membership.core import MembershipCore
from membership.view_agreement import FleetTracker

SETTLE_S, CALM_S = 15.0, 45.0  # simulated
STANDING_UPDATES = 20
SIZES = (5, 10, 20, 40, 60, 200, 600, 1024)
TARGET = 600
MIB = 1 << 20
BYTES_PER_ENTRY = 3_000  # upper estimate of memory for one member in another's view


def memory_bytes(size: int) -> int:
    """An upper estimate for a simulated fleet: each member holds all."""
    return 64 * MIB + size * size * BYTES_PER_ENTRY


def measure(size: int, seed: int) -> list[Reading]:
    """Let a settled fleet be."""
    before_bytes = resident_bytes()
    sim = SettledSim(seed, size)
    exclude_objects_from_gc()
    sim.run(SETTLE_S)
    held_bytes = (resident_bytes() - before_bytes) / size
    return [
        *measure_calm(sim),
        Reading("member_resident_bytes", held_bytes, Source.TIMED),
        Reading(
            "standing_look_processor_microseconds",
            measure_standing_update_us(sim.live_cores()[0]),
            Source.TIMED,
        ),
    ]


def measure_calm(sim: SettledSim) -> list[Reading]:
    """What is sent while nothing happens."""
    load = LoadCounter(sim)
    sim.run(CALM_S)
    return [
        *load.readings("calm"),
        Reading("false_alarms", len(sim.false_alarms)),
        Reading("agreed_members", len(sim.live_cores()) if sim.is_agreed() else 0),
    ]


def measure_standing_update_us(core: MembershipCore) -> float:
    """What a process spends, at each change of its view, on where it stands in its fleet."""
    fleet = FleetTracker(core.own_update.name, 0)
    begun_s = processor_seconds()
    for number in range(STANDING_UPDATES):
        view = sorted((held.update for held in core.members.values()), key=lambda update: update.name)
        fleet.update(number, view, core.local_health)
    return 1e6 * (processor_seconds() - begun_s) / STANDING_UPDATES


SUBJECT = Subject(
    name="members",
    about="a settled fleet in calm, by the core under the simulator",
    axis="members",
    sizes=SIZES,
    target=TARGET,
    memory_bytes=memory_bytes,
    measure=measure,
)
