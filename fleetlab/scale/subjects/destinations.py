"""One relay with many destinations, some of them down: what its messages cost, and who gets its slots.

Destinations have one endpoint each and get messages evenly. The destinations that are down stay down.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, fields
from random import Random

from decisions.engine import DecisionEngine
from decisions.interface import Settings
from fleetlab.scale.counting_dict import CountedDict
from fleetlab.scale.process import resident_bytes
from fleetlab.scale.records import Reading, Source
from fleetlab.scale.subject import Subject
from fleetlab.scale.traffic import (
    CLASSES,
    SECOND_US,
    Answer,
    Counts,
    Fault,
    Feed,
    HollowRelay,
    Simulation,
    Timing,
    entries_of,
    failed_answer,
    served_answer,
)

EVENTS_PER_S = 350.0
DOWN_SHARE = 0.022
MIXED_FAULTS = (Fault.CONNECT_FAILS, Fault.HANGS, Fault.CONNECT_FAILS, Fault.REFUSES)  # in turn
SIZES = (20, 200, 2_000, 7_000, 31_000)
BYTES_PER_DESTINATION, BYTES_PER_PLAY = 40_000, 200 << 20  # upper estimates of memory
FULL_SECONDS = 8  # simulated, with slots full: a step costs the more, the longer they are
GROUP_SIZE, HOLD_CAP, MAX_ATTEMPTS, ROUND_US = 600, 20_000, 8, 5_000


@dataclass(frozen=True, slots=True)
class Play:
    """What is played."""

    slots: int = 128
    may_cancel: bool = True
    faults: tuple[Fault, ...] = MIXED_FAULTS
    down_share: float = DOWN_SHARE
    seconds: int = 12  # simulated

    def down_of(self, size: int) -> int:
        """How many destinations are down: one at least."""
        return max(1, round(self.down_share * size))

    def settings(self) -> Settings:
        """A relay of the fleet."""
        return Settings(
            slots=self.slots,
            classes=CLASSES,
            group_size=GROUP_SIZE,
            hold_cap=HOLD_CAP,
            max_attempts=MAX_ATTEMPTS,
            round_us=ROUND_US,
            may_cancel=self.may_cancel,
            advise_retry=True,
            max_retry_after_us=3 * SECOND_US,
        )


class ManyDestinations:
    """Destinations that are up or down for good."""

    def __init__(self, faults: dict[str, Fault], seed: int) -> None:
        self.faults, self._random = faults, Random(seed)
        self.failed_calls = Counter[Fault]()

    def answer(self, host: str, _now_us: int, limit_us: int) -> Answer:
        """A failure by the fault of a destination that is down, else an answer."""
        if (fault := self.faults.get(host)) is not None:
            self.failed_calls[fault] += 1
            return failed_answer(fault, limit_us)
        return served_answer(self._random, limit_us)

    def is_down(self, host: str, _now_us: int) -> bool:
        """Whether the destination is down."""
        return host in self.faults


@dataclass(slots=True)
class Looks:
    """Looks at items of the module's tables of endpoints and destinations, and how long its queues grow."""

    endpoints: int = 0
    destinations: int = 0
    most_in_step: int = 0
    most_to_look_at: int = 0  # destinations that wait for a look, after a step
    most_due: int = 0  # entries in the queue of destinations to look at later


@dataclass(slots=True)
class Result:
    """What one run of a play came to."""

    counts: Counts
    timing: Timing
    looks: Looks
    resident_bytes: int  # of the list that was taken in
    held: int
    wasted_per_destination: dict[Fault, float]  # calls at one that is down, by its fault


def run(play: Play, size: int, seed: int, counted: bool) -> Result:
    """Play once, with the looks counted or without that."""
    random, entries = Random(seed), entries_of(size)
    down = random.sample([entry.host for entry in entries], play.down_of(size))
    faults = {host: play.faults[at % len(play.faults)] for at, host in enumerate(down)}
    simulation, module = Simulation(), DecisionEngine(play.settings(), seed)
    destinations = ManyDestinations(faults, random.getrandbits(32))
    relay = HollowRelay(simulation, module, destinations)
    before_bytes = resident_bytes()
    relay.load(entries)
    loaded_bytes = resident_bytes() - before_bytes
    looks = Looks()
    if counted:
        count_looks(relay, looks)
    Feed(simulation, relay, entries, EVENTS_PER_S, random.getrandbits(32))
    simulation.run(play.seconds * SECOND_US)
    relay.stop()
    by_fault = {
        fault: destinations.failed_calls[fault] / number for fault, number in Counter(faults.values()).items()
    }
    return Result(relay.counts, relay.timing, looks, loaded_bytes, relay.held, by_fault)


def count_looks(relay: HollowRelay, looks: Looks) -> None:
    """Put counting tables into the module; each step adds to the sums."""
    relay.module.endpoints = endpoints = CountedDict(relay.module.endpoints)
    relay.module.dests = destinations = CountedDict(relay.module.dests)

    def add() -> None:
        looks.endpoints += endpoints.looks
        looks.destinations += destinations.looks
        looks.most_in_step = max(looks.most_in_step, endpoints.looks + destinations.looks)
        endpoints.looks = destinations.looks = 0
        looks.most_to_look_at = max(looks.most_to_look_at, len(relay.module.dests_to_check))
        looks.most_due = max(looks.most_due, len(relay.module.check_heap))

    relay.on_step = add


def measure_play(play: Play, size: int, seed: int) -> list[Reading]:
    """Time it first, with the module as it is; then play the same again and count the looks."""
    timed, counted = run(play, size, seed, counted=False), run(play, size, seed, counted=True)
    differing = [
        f.name for f in fields(Counts) if getattr(timed.counts, f.name) != getattr(counted.counts, f.name)
    ]
    if differing:
        raise AssertionError(f"to count the looks changed the play: {', '.join(differing)}")
    return count_readings(play, size, counted) + time_readings(size, timed)


def count_readings(play: Play, size: int, result: Result) -> list[Reading]:
    """Messages, calls and looks."""
    counts, looks, down = result.counts, result.looks, play.down_of(size)
    figures: dict[str, float] = {
        "down_destinations": down,
        "taken_messages": counts.taken,
        "taken_for_down_destinations_messages": counts.taken_down,
        "delivered_messages": counts.delivered,
        "refused_messages": counts.refused,
        "failed_messages": counts.failed,
        "open_at_end_messages": result.held,
        "healthy_on_time_share": counts.on_time / max(1, counts.due_healthy),
        "sent_calls": counts.calls,
        "wasted_calls": counts.wasted_calls,
        "wasted_per_message_for_down_calls": counts.wasted_calls / max(1, counts.taken_down),
        "wasted_per_down_destination_calls": counts.wasted_calls / down,
        "cancelled_calls": counts.cancels,
        "down_slot_share": counts.wasted_slot_us / (play.slots * play.seconds * SECOND_US),
        "most_down_slots": counts.most_wasted,
        "module_steps": counts.steps,
        "endpoints_per_message_looks": looks.endpoints / counts.taken,
        "destinations_per_message_looks": looks.destinations / counts.taken,
        "most_in_one_step_looks": looks.most_in_step,
        "most_waiting_for_a_look_destinations": looks.most_to_look_at,
        "most_due_entries": looks.most_due,
    }
    for fault in dict.fromkeys(play.faults):
        if fault in result.wasted_per_destination:
            figures[f"wasted_per_one_that_{fault.value}_calls"] = result.wasted_per_destination[fault]
    return [Reading(figure, float(value)) for figure, value in figures.items()]


def time_readings(size: int, result: Result) -> list[Reading]:
    """Processor time in the module, and the memory of the list."""
    microseconds = result.timing.seconds * 1e6 / result.counts.taken
    longest = result.timing.longest_step_s * 1e6
    per_endpoint = result.resident_bytes / size
    return [
        Reading("processor_per_message_microseconds", microseconds, Source.TIMED),
        Reading("longest_step_processor_microseconds", longest, Source.TIMED),
        Reading("resident_per_endpoint_bytes", per_endpoint, Source.TIMED),
    ]


def subject(name: str, about: str, play: Play, sizes: tuple[int, ...]) -> Subject:
    """The subject that measures this play."""
    return Subject(
        name=name,
        about=about,
        axis="destinations, one endpoint each",
        sizes=sizes,
        target=31_000,
        memory_bytes=lambda size: BYTES_PER_PLAY + size * BYTES_PER_DESTINATION,
        measure=lambda size, seed: measure_play(play, size, seed),
    )


SUBJECT = subject("destinations", "a relay with 2.2% of its destinations down", Play(), SIZES)
WITHOUT_CANCEL = subject(
    "destinations-without-cancel",
    "the same, where calls may not be cancelled",
    Play(may_cancel=False),
    SIZES,
)
FEW_SLOTS = subject(
    "destinations-few-slots",
    "the same with fewer slots than destinations that hang, from 7,000 destinations on",
    Play(slots=96, faults=(Fault.HANGS,), seconds=FULL_SECONDS),
    (2_000, 7_000, 15_000, 31_000),
)
