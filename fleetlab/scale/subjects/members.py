"""A settled fleet without events: what each member sends, and its processor time and memory."""

from __future__ import annotations

from fleetlab.scale.process import exclude_objects_from_gc, processor_seconds, resident_bytes
from fleetlab.scale.records import Reading, Source
from fleetlab.scale.simulated_load import LoadCounter
from fleetlab.scale.subject import Subject
from fleetlab.sim.settled import SettledSim
from membership.core import MembershipCore
from membership.view_agreement import FleetTracker

SETTLE_S = 15.0  # simulated, before the measurement
CALM_S = 45.0  # simulated, of the measurement
STANDING_UPDATES = 20  # repetitions that are timed
SIZES = (5, 10, 20, 40, 60, 200, 600, 1024)
TARGET = 600
MIB = 1 << 20
BYTES_PER_ENTRY = 3_000  # upper estimate of memory for one member's entry in the view of another


def memory_bytes(size: int) -> int:
    """Upper estimate of memory for a simulated fleet, in which each member has an entry for all."""
    return 64 * MIB + size * size * BYTES_PER_ENTRY


def measure(size: int, seed: int) -> list[Reading]:
    """Measure a settled fleet without events."""
    before_bytes = resident_bytes()
    sim = SettledSim(seed, size)
    exclude_objects_from_gc()
    sim.run(SETTLE_S)
    held_bytes = (resident_bytes() - before_bytes) / size
    return [
        *measure_calm(sim),
        Reading("member_resident_bytes", held_bytes, Source.TIMED),
        Reading(
            "standing_look_processor_microseconds", measure_standing_update_us(sim.cores()[0]), Source.TIMED
        ),
    ]


def measure_calm(sim: SettledSim) -> list[Reading]:
    """Measure what is sent while nothing happens."""
    load = LoadCounter(sim)
    sim.run(CALM_S)
    return [
        *load.readings("calm"),
        Reading("false_alarms", len(sim.false_alarms)),
        Reading("agreed_members", len(sim.cores()) if sim.agreed() else 0),
    ]


def measure_standing_update_us(core: MembershipCore) -> float:
    """Processor time of a member to recompute its standing in its fleet, as at each change of its view."""
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
