"""A settled fleet that loses one member, a zone or the link between its halves, or restarts some members."""

from __future__ import annotations

from collections.abc import Callable

from fleetlab.scale.process import exclude_objects_from_gc
from fleetlab.scale.records import Reading
from fleetlab.scale.simulated_load import LoadCounter
from fleetlab.scale.subject import Subject
from fleetlab.scale.subjects.members import TARGET, memory_bytes
from fleetlab.sim.settled import ZONES, SettledSim
from membership.core import SECOND_US

FaultScenario = Callable[[SettledSim], list[Reading]]
# All times are simulated.
SETTLE_S = 5.0  # before the fault
FAULT_TIMEOUT_S = 120.0  # for all members to agree after a fault
CUT_S = 90.0  # for which the halves do not reach each other
HEAL_TIMEOUT_S = 180.0  # for all members to agree after that
DOWN_S = 3.0  # between the end and the restart of a member
AFTERMATH_S = 20.0  # measured after all agree again, while updates are still sent
# One in ten members is restarted, 30 at most.
MAX_RESTARTS = 30
MEMBERS_PER_RESTART = 10
STEP_S = 0.5  # between checks whether all agree
ALL_SIZES = (20, 40, 60, 200, 600, 1024)
ZONE_SIZES = (20, 40, 60, 200, 400, 500)  # 600 exceeds the time that a measurement may take
CUT_SIZES = (20, 40, 60, 100, 200, 250)  # larger sizes exceed that time too


def measure_agreement(sim: SettledSim, phase: str, timeout_s: float) -> list[Reading]:
    """Whether all members agree within ``timeout_s``, and if so after how many seconds."""
    seconds = sim.until_agreed(timeout_s, STEP_S)
    agreed = [Reading(f"{phase}_agreed", float(seconds is not None))]
    return agreed if seconds is None else [*agreed, Reading(f"{phase}_until_agreed_seconds", seconds)]


def detection_readings(sim: SettledSim, phase: str, *names: str) -> list[Reading]:
    """When the first and the last member considered a lost one failed; empty if a loss was not detected."""
    times = [found for name in names if (found := sim.detection_s(name)) is not None]
    if len(times) < len(names):
        return []
    return [
        Reading(f"{phase}_first_detected_seconds", min(first for first, _ in times)),
        Reading(f"{phase}_last_detected_seconds", max(last for _, last in times)),
    ]


def kill_one(sim: SettledSim) -> list[Reading]:
    """One member ends without announcing it."""
    lost, load = sim.names[-1], LoadCounter(sim)
    sim.kill(lost)
    agreement = measure_agreement(sim, "killed", FAULT_TIMEOUT_S)
    return [*load.readings("killed"), *agreement, *detection_readings(sim, "killed", lost)]


def lose_zone(sim: SettledSim) -> list[Reading]:
    """All members of a zone, a fifth of the fleet, end at once."""
    lost, load = [name for name, node in sim.nodes.items() if node.zone == ZONES[-1]], LoadCounter(sim)
    sim.kill(*lost)
    agreement = measure_agreement(sim, "zone", FAULT_TIMEOUT_S)
    return [*load.readings("zone"), *agreement, *detection_readings(sim, "zone", *lost)]


def cut_regions(sim: SettledSim) -> list[Reading]:
    """Two halves do not reach each other for a while.

    The load of the cut is measured until each half considers the other failed.
    """
    load, begun_us = LoadCounter(sim), sim.world.now_us
    sim.halve()
    halved = _run_until_halved(sim)
    cut = [Reading("cut_halved", float(halved)), *load.readings("cut")]
    sim.run(max(0.0, CUT_S - (sim.world.now_us - begun_us) / SECOND_US))
    load = LoadCounter(sim)
    sim.heal()
    agreement = measure_agreement(sim, "healed", HEAL_TIMEOUT_S)
    return [*cut, *load.readings("healed"), *agreement]


def _run_until_halved(sim: SettledSim) -> bool:
    """Run until each member considers only its half live, or for ``CUT_S``; whether all do."""
    half = len(sim.names) // 2
    for _ in range(int(CUT_S / STEP_S)):
        sim.run(STEP_S)
        if all(len(core.live_updates()) in (half, len(sim.names) - half) for core in sim.cores()):
            return True
    return False


def restart_some(sim: SettledSim) -> list[Reading]:
    """Some members end without announcing it, and start new lives together after ``DOWN_S``."""
    count = min(MAX_RESTARTS, max(1, len(sim.names) // MEMBERS_PER_RESTART))
    names, load = sim.names[-count:], LoadCounter(sim)
    sim.kill(*names)
    sim.run(DOWN_S)
    sim.restart(*names)
    agreement = [*measure_agreement(sim, "restarts", FAULT_TIMEOUT_S), *load.readings("restarts")]
    load = LoadCounter(sim)
    sim.run(AFTERMATH_S)
    return [Reading("restarted_members", count), *agreement, *load.readings("after")]


def make_subject(name: str, about: str, scenario: FaultScenario, sizes: tuple[int, ...]) -> Subject:
    """A subject that measures one fault scenario."""

    def measure(size: int, seed: int) -> list[Reading]:
        sim = SettledSim(seed, size)
        exclude_objects_from_gc()
        sim.run(SETTLE_S)
        return [*scenario(sim), Reading("false_alarms", len(sim.false_alarms))]

    return Subject(
        name=name,
        about=about,
        axis="members",
        sizes=sizes,
        target=TARGET,
        memory_bytes=memory_bytes,
        measure=measure,
    )


SUBJECTS = (
    make_subject("members-killed", "one member of a fleet is lost", kill_one, ALL_SIZES),
    make_subject("members-zone", "a zone, a fifth of the members, is lost at once", lose_zone, ZONE_SIZES),
    make_subject(
        "members-cut", "two halves lose each other, and find together again", cut_regions, CUT_SIZES
    ),
    make_subject(
        "members-restarts", "30 members, or a tenth, are restarted together", restart_some, ALL_SIZES
    ),
)
