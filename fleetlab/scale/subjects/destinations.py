"""One relay with many destinations, some of them down: what its messages cost, and who gets its slots.

Destinations have one endpoint each and get messages evenly. The destinations that are down stay down.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, fields
from random import Random

from decisions.engine import DecisionEngine
from decisions.interface import Settings
from fleetlab.scale.counting_dict import CountingDict
from fleetlab.scale.process import resident_bytes
from fleetlab.scale.records import Reading, Source
from fleetlab.scale.subject import Subject
from fleetlab.scale.traffic import (
    MESSAGE_CLASSES,
    SECOND_US,
    CallEnd,
    Counts,
    Fault,
    MessageSource,
    SimulatedRelay,
    Simulation,
    Timing,
    failed_call_end,
    make_entries,
    served_call_end,
)

MESSAGES_PER_S = 350.0
DOWN_SHARE = 0.022
MIXED_FAULTS = (Fault.CONNECT_FAILS, Fault.HANGS, Fault.CONNECT_FAILS, Fault.REFUSES)  # in turn
SIZES = (20, 200, 2_000, 7_000, 31_000)
BYTES_PER_DESTINATION, BASE_BYTES = 40_000, 200 << 20  # upper estimates of memory
FEW_SLOTS_SECONDS = 8  # simulated, with slots full: a step costs the more, the longer they are
GROUP_SIZE, HOLD_CAP, MAX_ATTEMPTS, ROUND_US = 600, 20_000, 8, 5_000


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is played."""

    slots: int = 128
    may_cancel: bool = True
    faults: tuple[Fault, ...] = MIXED_FAULTS
    down_share: float = DOWN_SHARE
    seconds: int = 12  # simulated

    def down_count(self, size: int) -> int:
        """How many destinations are down: one at least."""
        return max(1, round(self.down_share * size))

    def make_settings(self) -> Settings:
        """A relay of the fleet."""
        return Settings(
            slots=self.slots,
            classes=MESSAGE_CLASSES,
            group_size=GROUP_SIZE,
            hold_cap=HOLD_CAP,
            max_attempts=MAX_ATTEMPTS,
            round_us=ROUND_US,
            may_cancel=self.may_cancel,
            advise_retry=True,
            max_retry_after_us=3 * SECOND_US,
        )


class FixedDestinations:
    """Destinations that are up or down for good."""

    def __init__(self, faults: dict[str, Fault], seed: int) -> None:
        self.faults, self._random = faults, Random(seed)
        self.failed_calls = Counter[Fault]()

    def answer(self, host: str, _now_us: int, limit_us: int) -> CallEnd:
        """A failure by the fault of a destination that is down, else an answer."""
        if (fault := self.faults.get(host)) is not None:
            self.failed_calls[fault] += 1
            return failed_call_end(fault, limit_us)
        return served_call_end(self._random, limit_us)

    def is_down(self, host: str, _now_us: int) -> bool:
        """Whether the destination is down."""
        return host in self.faults


@dataclass(slots=True)
class TableAccesses:
    """Looks at items of the module's tables of endpoints and destinations, and how long its queues grow."""

    endpoints: int = 0
    destinations: int = 0
    max_in_step: int = 0
    max_to_check: int = 0  # destinations that wait for a look, after a step
    max_scheduled_checks: int = 0  # entries in the queue of destinations to look at later


@dataclass(slots=True)
class ScenarioResult:
    """What one run of a play came to."""

    counts: Counts
    timing: Timing
    accesses: TableAccesses
    resident_bytes: int  # of the list that was taken in
    open_count: int
    wasted_per_destination: dict[Fault, float]  # calls at one that is down, by its fault


def run_scenario(play: Scenario, size: int, seed: int, counted: bool) -> ScenarioResult:
    """Play once, with the looks counted or without that."""
    random, entries = Random(seed), make_entries(size)
    down = random.sample([entry.host for entry in entries], play.down_count(size))
    faults = {host: play.faults[at % len(play.faults)] for at, host in enumerate(down)}
    simulation, module = Simulation(), DecisionEngine(play.make_settings(), seed)
    destinations = FixedDestinations(faults, random.getrandbits(32))
    relay = SimulatedRelay(simulation, module, destinations)
    before_bytes = resident_bytes()
    relay.load_list(entries)
    loaded_bytes = resident_bytes() - before_bytes
    looks = TableAccesses()
    if counted:
        count_accesses(relay, looks)
    MessageSource(simulation, relay, entries, MESSAGES_PER_S, random.getrandbits(32))
    simulation.run(play.seconds * SECOND_US)
    relay.count_open_calls()
    by_fault = {
        fault: destinations.failed_calls[fault] / number for fault, number in Counter(faults.values()).items()
    }
    return ScenarioResult(relay.counts, relay.timing, looks, loaded_bytes, relay.open_count, by_fault)


def count_accesses(relay: SimulatedRelay, looks: TableAccesses) -> None:
    """Put counting tables into the module; each step adds to the sums."""
    relay.engine.endpoints = endpoints = CountingDict(relay.engine.endpoints)
    relay.engine.dests = destinations = CountingDict(relay.engine.dests)

    def add() -> None:
        looks.endpoints += endpoints.accesses
        looks.destinations += destinations.accesses
        looks.max_in_step = max(looks.max_in_step, endpoints.accesses + destinations.accesses)
        endpoints.accesses = destinations.accesses = 0
        looks.max_to_check = max(looks.max_to_check, len(relay.engine.dests_to_check))
        looks.max_scheduled_checks = max(looks.max_scheduled_checks, len(relay.engine.check_heap))

    relay.after_step = add


def measure_scenario(play: Scenario, size: int, seed: int) -> list[Reading]:
    """Time it first, with the module as it is; then play the same again and count the looks."""
    timed, counted = (
        run_scenario(play, size, seed, counted=False),
        run_scenario(play, size, seed, counted=True),
    )
    differing = [
        f.name for f in fields(Counts) if getattr(timed.counts, f.name) != getattr(counted.counts, f.name)
    ]
    if differing:
        raise AssertionError(f"to count the looks changed the play: {', '.join(differing)}")
    return count_readings(play, size, counted) + time_readings(size, timed)


def count_readings(play: Scenario, size: int, result: ScenarioResult) -> list[Reading]:
    """Messages, calls and looks."""
    counts, looks, down = result.counts, result.accesses, play.down_count(size)
    figures: dict[str, float] = {
        "down_destinations": down,
        "taken_messages": counts.taken,
        "taken_for_down_destinations_messages": counts.taken_for_down,
        "delivered_messages": counts.delivered,
        "refused_messages": counts.refused,
        "failed_messages": counts.failed,
        "open_at_end_messages": result.open_count,
        "healthy_on_time_share": counts.on_time / max(1, counts.due_healthy),
        "sent_calls": counts.calls,
        "wasted_calls": counts.wasted_calls,
        "wasted_per_message_for_down_calls": counts.wasted_calls / max(1, counts.taken_for_down),
        "wasted_per_down_destination_calls": counts.wasted_calls / down,
        "cancelled_calls": counts.cancels,
        "down_slot_share": counts.wasted_slot_us / (play.slots * play.seconds * SECOND_US),
        "most_down_slots": counts.max_wasted_at_once,
        "module_steps": counts.steps,
        "endpoints_per_message_looks": looks.endpoints / counts.taken,
        "destinations_per_message_looks": looks.destinations / counts.taken,
        "most_in_one_step_looks": looks.max_in_step,
        "most_waiting_for_a_look_destinations": looks.max_to_check,
        "most_due_entries": looks.max_scheduled_checks,
    }
    for fault in dict.fromkeys(play.faults):
        if fault in result.wasted_per_destination:
            figures[f"wasted_per_one_that_{fault.value}_calls"] = result.wasted_per_destination[fault]
    return [Reading(figure, float(value)) for figure, value in figures.items()]


def time_readings(size: int, result: ScenarioResult) -> list[Reading]:
    """Processor time in the module, and the memory of the list."""
    microseconds = result.timing.seconds * 1e6 / result.counts.taken
    longest = result.timing.longest_step_s * 1e6
    per_endpoint = result.resident_bytes / size
    return [
        Reading("processor_per_message_microseconds", microseconds, Source.TIMED),
        Reading("longest_step_processor_microseconds", longest, Source.TIMED),
        Reading("resident_per_endpoint_bytes", per_endpoint, Source.TIMED),
    ]


def make_subject(name: str, about: str, play: Scenario, sizes: tuple[int, ...]) -> Subject:
    """The subject that measures this play."""
    return Subject(
        name=name,
        about=about,
        axis="destinations, one endpoint each",
        sizes=sizes,
        target=31_000,
        memory_bytes=lambda size: BASE_BYTES + size * BYTES_PER_DESTINATION,
        measure=lambda size, seed: measure_scenario(play, size, seed),
    )


SUBJECT = make_subject("destinations", "a relay with 2.2% of its destinations down", Scenario(), SIZES)
WITHOUT_CANCEL = make_subject(
    "destinations-without-cancel",
    "the same, where calls may not be cancelled",
    Scenario(may_cancel=False),
    SIZES,
)
FEW_SLOTS = make_subject(
    "destinations-few-slots",
    "the same with fewer slots than destinations that hang, from 7,000 destinations on",
    Scenario(slots=96, faults=(Fault.HANGS,), seconds=FEW_SLOTS_SECONDS),
    (2_000, 7_000, 15_000, 31_000),
)
