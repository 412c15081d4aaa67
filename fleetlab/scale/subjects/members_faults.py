"""A settled fleet that loses one member, a zone, the way between its regions, or restarts some together."""

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
SETTLE_S = 5.0  # simulated, as all times here
FAULT_TIMEOUT_S = 120.0  # at most, until all agree
CUT_S, HEAL_TIMEOUT_S = 90.0, 180.0
DOWN_S = 3.0  # of a member that is restarted
AFTERMATH_S = 20.0  # once all agree again, while news are still told
MAX_RESTARTS, MEMBERS_PER_RESTART = 30, 10  # together: so many, or one in so many
STEP_S = 0.5
ALL_SIZES = (20, 40, 60, 200, 600, 1024)
ZONE_SIZES = (20, 40, 60, 200, 400, 500)  # at 600 not within the time that a measurement may take
CUT_SIZES = (20, 40, 60, 100, 200, 250)  # likewise


def measure_agreement(sim: SettledSim, phase: str, most_s: float) -> list[Reading]:
    """Seconds until all agree; the reading is missing where they do not in time."""
    seconds = sim.run_until_agreed(most_s, STEP_S)
    found = [Reading(f"{phase}_agreed", float(seconds is not None))]
    return found if seconds is None else [*found, Reading(f"{phase}_until_agreed_seconds", seconds)]


def detection_readings(sim: SettledSim, phase: str, *names: str) -> list[Reading]:
    """When the first and the last member held one of those lost failed; missing where not all do."""
    times = [found for name in names if (found := sim.detection_times_s(name)) is not None]
    if len(times) < len(names):
        return []
    return [
        Reading(f"{phase}_first_detected_seconds", min(first for first, _ in times)),
        Reading(f"{phase}_last_detected_seconds", max(last for _, last in times)),
    ]


def kill_one(sim: SettledSim) -> list[Reading]:
    """One member goes without a word."""
    lost, load = sim.names[-1], LoadCounter(sim)
    sim.kill(lost)
    found = measure_agreement(sim, "killed", FAULT_TIMEOUT_S)
    return [*load.readings("killed"), *found, *detection_readings(sim, "killed", lost)]


def lose_zone(sim: SettledSim) -> list[Reading]:
    """A fifth of the members go at once."""
    lost, load = [name for name, node in sim.nodes.items() if node.zone == ZONES[-1]], LoadCounter(sim)
    sim.kill(*lost)
    found = measure_agreement(sim, "zone", FAULT_TIMEOUT_S)
    return [*load.readings("zone"), *found, *detection_readings(sim, "zone", *lost)]


def cut_regions(sim: SettledSim) -> list[Reading]:
    """Two halves that do not reach each other for a while; its load is until each holds the other failed."""
    load, begun_us = LoadCounter(sim), sim.world.now_us
    sim.partition()
    halved = _run_until_halved(sim)
    cut = [Reading("cut_halved", float(halved)), *load.readings("cut")]
    sim.run(max(0.0, CUT_S - (sim.world.now_us - begun_us) / SECOND_US))
    load = LoadCounter(sim)
    sim.heal()
    found = measure_agreement(sim, "healed", HEAL_TIMEOUT_S)
    return [*cut, *load.readings("healed"), *found]


def _run_until_halved(sim: SettledSim) -> bool:
    """Run until each member holds its half alone to live, or the cut's time is over; whether they do."""
    half = len(sim.names) // 2
    for _ in range(int(CUT_S / STEP_S)):
        sim.run(STEP_S)
        if all(len(core.live_updates()) in (half, len(sim.names) - half) for core in sim.live_cores()):
            return True
    return False


def restart_some(sim: SettledSim) -> list[Reading]:
    """Some end without a word, and begin new lives together a little later."""
    count = min(MAX_RESTARTS, max(1, len(sim.names) // MEMBERS_PER_RESTART))
    names, load = sim.names[-count:], LoadCounter(sim)
    sim.kill(*names)
    sim.run(DOWN_S)
    sim.restart(*names)
    found = [*measure_agreement(sim, "restarts", FAULT_TIMEOUT_S), *load.readings("restarts")]
    load = LoadCounter(sim)
    sim.run(AFTERMATH_S)
    return [Reading("restarted_members", count), *found, *load.readings("after")]


def make_subject(name: str, about: str, play: FaultScenario, sizes: tuple[int, ...]) -> Subject:
    """A subject for one fault."""

    def measure(size: int, seed: int) -> list[Reading]:
        sim = SettledSim(seed, size)
        exclude_objects_from_gc()
        sim.run(SETTLE_S)
        return [*play(sim), Reading("false_alarms", len(sim.false_alarms))]

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
