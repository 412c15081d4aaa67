"""One relay with many destinations, some of them down: the cost of its messages and the use of its slots.

Each destination has one endpoint, and messages are spread evenly. Destinations that are down stay down.
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
DOWN_SHARE = 0.022  # of the destinations
# Assigned in turn to the destinations that are down.
MIXED_FAULTS = (Fault.CONNECT_FAILS, Fault.HANGS, Fault.CONNECT_FAILS, Fault.REFUSES)
SIZES = (20, 200, 2_000, 7_000, 31_000)
# Upper estimates of memory.
BYTES_PER_DESTINATION = 40_000
BASE_BYTES = 200 << 20
# Simulated time with full slots: a step costs more the longer the slots are full.
FEW_SLOTS_SECONDS = 8
GROUP_SIZE = 600  # relays in the fleet
HOLD_CAP = 20_000  # messages
MAX_ATTEMPTS = 8
ROUND_US = 5_000


@dataclass(frozen=True, slots=True)
class Scenario:
    """The parameters of a simulated run."""

    slots: int = 128
    may_cancel: bool = True
    faults: tuple[Fault, ...] = MIXED_FAULTS
    down_share: float = DOWN_SHARE
    seconds: int = 12  # simulated

    def down_count(self, size: int) -> int:
        """How many of ``size`` destinations are down, at least one."""
        return max(1, round(self.down_share * size))

    def make_settings(self) -> Settings:
        """The settings of the relay."""
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
    """Destinations whose state never changes; ``faults`` has those that are down, by endpoint."""

    def __init__(self, faults: dict[str, Fault], seed: int) -> None:
        self.faults = faults
        self._random = Random(seed)
        self.failed_calls = Counter[Fault]()

    def answer(self, host: str, _now_us: int, limit_us: int) -> CallEnd:
        """A failure according to the destination's fault if it is down, else a served call."""
        if (fault := self.faults.get(host)) is not None:
            self.failed_calls[fault] += 1
            return failed_call_end(fault, limit_us)
        return served_call_end(self._random, limit_us)

    def is_down(self, host: str, _now_us: int) -> bool:
        """Whether the destination is down."""
        return host in self.faults


@dataclass(slots=True)
class TableAccesses:
    """Accesses to the engine's endpoint and destination tables, and the largest size of its check queues."""

    endpoints: int = 0
    destinations: int = 0
    max_in_step: int = 0  # accesses to both tables in one step
    max_to_check: int = 0  # destinations to check at the next step, after any step
    max_scheduled_checks: int = 0  # entries in the heap of checks due later, after any step


@dataclass(slots=True)
class ScenarioResult:
    """The result of one run of a scenario."""

    counts: Counts
    timing: Timing
    accesses: TableAccesses
    resident_bytes: int  # growth of resident memory when the list was loaded
    open_count: int  # messages without a final result at the end
    wasted_per_destination: dict[Fault, float]  # mean calls to a destination that is down, by its fault


def run_scenario(scenario: Scenario, size: int, seed: int, counted: bool) -> ScenarioResult:
    """Run the scenario once; ``counted`` has the accesses to the engine's tables counted."""
    random, entries = Random(seed), make_entries(size)
    down = random.sample([entry.host for entry in entries], scenario.down_count(size))
    faults = {host: scenario.faults[at % len(scenario.faults)] for at, host in enumerate(down)}
    simulation, engine = Simulation(), DecisionEngine(scenario.make_settings(), seed)
    destinations = FixedDestinations(faults, random.getrandbits(32))
    relay = SimulatedRelay(simulation, engine, destinations)
    before_bytes = resident_bytes()
    relay.load_list(entries)
    loaded_bytes = resident_bytes() - before_bytes
    accesses = TableAccesses()
    if counted:
        count_accesses(relay, accesses)
    MessageSource(simulation, relay, entries, MESSAGES_PER_S, random.getrandbits(32))
    simulation.run(scenario.seconds * SECOND_US)
    relay.count_open_calls()
    by_fault = {
        fault: destinations.failed_calls[fault] / number for fault, number in Counter(faults.values()).items()
    }
    return ScenarioResult(relay.counts, relay.timing, accesses, loaded_bytes, relay.open_count, by_fault)


def count_accesses(relay: SimulatedRelay, accesses: TableAccesses) -> None:
    """Replace the engine's tables by counting ones, whose counts each step adds to ``accesses``."""
    relay.engine.endpoints = endpoints = CountingDict(relay.engine.endpoints)
    relay.engine.dests = destinations = CountingDict(relay.engine.dests)

    def add() -> None:
        accesses.endpoints += endpoints.accesses
        accesses.destinations += destinations.accesses
        accesses.max_in_step = max(accesses.max_in_step, endpoints.accesses + destinations.accesses)
        endpoints.accesses = destinations.accesses = 0
        accesses.max_to_check = max(accesses.max_to_check, len(relay.engine.dests_to_check))
        accesses.max_scheduled_checks = max(accesses.max_scheduled_checks, len(relay.engine.check_heap))

    relay.after_step = add


def measure_scenario(scenario: Scenario, size: int, seed: int) -> list[Reading]:
    """Run the scenario with the unchanged engine for the times, then again with accesses counted."""
    timed, counted = (
        run_scenario(scenario, size, seed, counted=False),
        run_scenario(scenario, size, seed, counted=True),
    )
    differing = [
        f.name for f in fields(Counts) if getattr(timed.counts, f.name) != getattr(counted.counts, f.name)
    ]
    if differing:
        raise AssertionError(f"counting the accesses changed the results of the run: {', '.join(differing)}")
    return count_readings(scenario, size, counted) + time_readings(size, timed)


def count_readings(scenario: Scenario, size: int, result: ScenarioResult) -> list[Reading]:
    """The figures of messages, calls and table accesses."""
    counts, accesses, down = result.counts, result.accesses, scenario.down_count(size)
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
        "down_slot_share": counts.wasted_slot_us / (scenario.slots * scenario.seconds * SECOND_US),
        "most_down_slots": counts.max_wasted_at_once,
        "module_steps": counts.steps,
        "endpoints_per_message_looks": accesses.endpoints / counts.taken,
        "destinations_per_message_looks": accesses.destinations / counts.taken,
        "most_in_one_step_looks": accesses.max_in_step,
        "most_waiting_for_a_look_destinations": accesses.max_to_check,
        "most_due_entries": accesses.max_scheduled_checks,
    }
    for fault in dict.fromkeys(scenario.faults):
        if fault in result.wasted_per_destination:
            figures[f"wasted_per_one_that_{fault.value}_calls"] = result.wasted_per_destination[fault]
    return [Reading(figure, float(value)) for figure, value in figures.items()]


def time_readings(size: int, result: ScenarioResult) -> list[Reading]:
    """Processor time of the engine, and memory of the endpoint list."""
    microseconds = result.timing.seconds * 1e6 / result.counts.taken
    longest = result.timing.longest_step_s * 1e6
    per_endpoint = result.resident_bytes / size
    return [
        Reading("processor_per_message_microseconds", microseconds, Source.TIMED),
        Reading("longest_step_processor_microseconds", longest, Source.TIMED),
        Reading("resident_per_endpoint_bytes", per_endpoint, Source.TIMED),
    ]


def make_subject(name: str, about: str, scenario: Scenario, sizes: tuple[int, ...]) -> Subject:
    """The subject that measures this scenario."""
    return Subject(
        name=name,
        about=about,
        axis="destinations, one endpoint each",
        sizes=sizes,
        target=31_000,
        memory_bytes=lambda size: BASE_BYTES + size * BYTES_PER_DESTINATION,
        measure=lambda size, seed: measure_scenario(scenario, size, seed),
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
