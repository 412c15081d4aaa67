"""A relay that holds a backlog: its journal, memory, restart, and the decision engine's steps."""

from __future__ import annotations

import gc
import statistics
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random

from decisions.interface import Event
from fleetlab.scale.held_load import (
    DESTINATION_COUNT,
    DOWN_COUNT,
    EVENLY_SPREAD,
    MOSTLY_ONE,
    START_US,
    Placement,
    make_backlog,
    make_message,
    reserved_bytes,
)
from fleetlab.scale.process import processor_seconds, resident_bytes
from fleetlab.scale.records import Reading, Source
from fleetlab.scale.replay import replay_in_process
from fleetlab.scale.simulated_module import STEP_INTERVAL_US, SimulatedModule, count_executed_lines
from fleetlab.scale.subject import Subject
from relay.driver import HeldMessage
from relay.journal import BLOCK_BYTES, Attempt, Journal

BYTES_PER_MESSAGE = 6_000  # upper estimate of memory: this process and the one that replays the journal
LIST_BYTES = 300_000_000  # upper estimate of memory for the engine's 31,000 destinations
CHURN_MESSAGES = 2_000  # messages accepted and delivered while the backlog is held
AMPLE_BYTES_PER_MESSAGE = 4_000  # disk size that never runs short: for each message
AMPLE_BASE_BYTES = 1 << 24  # and in addition to that
ARRIVALS_PER_STEP = 1_000  # while the backlog is built up
ROUND_US = 5_000  # between two steps when single events are timed, as in the settings
TRAFFIC_STEPS = 500  # steps of ordinary traffic that are timed
TRAFFIC_ARRIVALS = 7  # messages in each of these steps: 350 a second
QUIET_STEPS = 10  # enough for all open calls to end
TIMED_EVENTS = 100  # single events that are timed
RECOVERY_STEPS = 300  # steps of the backlog's delivery that are timed
COUNTED_STEPS = 20  # steps of delivery after these, whose executed lines are counted
MICROSECONDS_PER_S = 1e6


class MeasuredJournal(Journal):
    """The unchanged journal; counts its attempted compactions and times the longest one."""

    compactions = 0
    longest_compaction_s = 0.0

    def _compact(self) -> None:
        begun_s = time.perf_counter()
        super()._compact()
        self.compactions += 1
        self.longest_compaction_s = max(self.longest_compaction_s, time.perf_counter() - begun_s)


def required_disk_bytes(messages: list[HeldMessage], record_bytes: int) -> int:
    """The disk size that a relay needs to accept these messages, whose records take ``record_bytes``.

    During a compaction the old and the new log both exist, each with space for the messages' later records.
    """
    return 2 * (record_bytes + sum(map(reserved_bytes, messages)) + BLOCK_BYTES) + 4 * BLOCK_BYTES


def ample_disk_bytes(count: int) -> int:
    """A disk size that ``count`` messages never use up."""
    return AMPLE_BYTES_PER_MESSAGE * count + AMPLE_BASE_BYTES


def accept_all(journal: Journal, messages: list[HeldMessage]) -> float:
    """Record all messages as accepted; return the seconds it took."""
    begun_s = time.perf_counter()
    for held in messages:
        journal.accept(held.message.id, held.message.fields, held.body)
    return time.perf_counter() - begun_s


def run_churn(journal: Journal, random: Random, count: int) -> None:
    """Record ``count`` messages that are accepted, attempted once and over, one after the other."""
    for number in range(count):
        held = make_message(number, DESTINATION_COUNT - 1, START_US, random)
        name = held.message.id
        journal.accept(name, held.message.fields, held.body)
        journal.record_attempts([(name, Attempt(0, "s-30999", "east-1", number))])
        journal.record_over(name)


def measure_journal(
    journal: MeasuredJournal,
    folder: Path,
    messages: list[HeldMessage],
    seed: int,
    churned: int = CHURN_MESSAGES,
) -> list[Reading]:
    """Measure the real journal: accepting the backlog, replaying it, and other messages beside it."""
    before_bytes = resident_bytes()
    accept_s = accept_all(journal, messages)
    record_bytes, writes = journal.written_bytes, journal.write_count
    kept_bytes = resident_bytes() - before_bytes
    restart = replay_in_process(folder, ample_disk_bytes(len(messages)))
    run_churn(journal, Random(seed + 1), churned)
    churn_bytes = journal.written_bytes - record_bytes
    compactions, longest_compaction_s = journal.compactions, journal.longest_compaction_s
    return [
        Reading("journal_bytes", record_bytes),
        Reading("journal_writes", writes),
        Reading("disk_needed_bytes", required_disk_bytes(messages, record_bytes)),
        Reading("recovered_messages", restart.recovered),
        Reading("held_after_restart_messages", restart.held),
        Reading("churn_compactions", compactions),
        Reading("churn_per_message_bytes", churn_bytes / churned),
        Reading("accept_microseconds", accept_s / len(messages) * MICROSECONDS_PER_S, Source.TIMED),
        Reading("journal_resident_bytes", kept_bytes, Source.TIMED),
        Reading("compaction_seconds", longest_compaction_s, Source.TIMED),
        Reading("replay_seconds", restart.journal_seconds, Source.TIMED),
        Reading("take_up_seconds", restart.take_up_seconds, Source.TIMED),
        Reading("restart_seconds", restart.journal_seconds + restart.take_up_seconds, Source.TIMED),
        Reading("replay_peak_bytes", restart.peak_bytes - restart.before_bytes, Source.TIMED),
        Reading("restarted_resident_bytes", restart.after_bytes, Source.TIMED),
    ]


def add_backlog(module: SimulatedModule, messages: list[HeldMessage]) -> None:
    """Give the backlog to the engine, ``ARRIVALS_PER_STEP`` messages in each step."""
    for start in range(0, len(messages), ARRIVALS_PER_STEP):
        module.advance(
            ROUND_US, [module.arrival(held) for held in messages[start : start + ARRIVALS_PER_STEP]]
        )


def make_traffic(module: SimulatedModule, random: Random) -> Callable[[], list[Event]]:
    """A function that creates the arrivals of one step of ordinary traffic."""

    def next_arrivals() -> list[Event]:
        numbers = range(TRAFFIC_ARRIVALS)
        messages = (
            make_message(n, random.randrange(DESTINATION_COUNT), module.now_us, random) for n in numbers
        )
        return [module.arrival(held) for held in messages]

    return next_arrivals


def run_traffic(module: SimulatedModule, random: Random) -> list[float]:
    """Run ordinary traffic to all destinations; the processor seconds of each step."""
    next_arrivals = make_traffic(module, random)
    return [module.advance(STEP_INTERVAL_US, next_arrivals()) for _ in range(TRAFFIC_STEPS)]


def measure_full_step(module: SimulatedModule, random: Random) -> tuple[float, int]:
    """Processor seconds of the step whose arrival reaches the hold cap, and the messages it gave up."""
    for _ in range(QUIET_STEPS):
        module.advance(STEP_INTERVAL_US)  # otherwise open calls that get an answer would free space
    module.leave_room_for_one()
    before, last = len(module.held), make_message(0, DESTINATION_COUNT - 1, module.now_us, random)
    seconds = module.advance(ROUND_US, [module.arrival(last)])
    return seconds, before + 1 - len(module.held)


def measure_single_events(module: SimulatedModule, random: Random, destination: int) -> tuple[float, float]:
    """Median processor seconds of a step with one arrival, and of a step with one call outcome."""
    arrivals, ends = [], []
    for number in range(TIMED_EVENTS):
        held = make_message(number, destination, module.now_us, random)
        arrivals.append(module.advance(ROUND_US, [module.arrival(held)]))
        ends.append(module.advance(max(ROUND_US, module.next_outcome_us - module.now_us)))
    return statistics.median(arrivals), statistics.median(ends)


def measure_module(held: dict[str, HeldMessage], seed: int) -> list[Reading]:
    """Measure the decision engine with this backlog: its memory and the cost of its steps."""
    random = Random(seed + 2)
    messages = list(held.values())
    module = SimulatedModule(held, hold_cap=2 * len(messages) + 1_000_000, seed=seed)
    before_bytes = resident_bytes()
    add_backlog(module, messages)
    kept_bytes = resident_bytes() - before_bytes
    step_times_s = run_traffic(module, random)
    arrival_s, outcome_s = measure_single_events(module, random, DESTINATION_COUNT - 1)
    held_s, _ = measure_single_events(module, random, 0)
    next_arrivals = make_traffic(module, random)
    lines = count_executed_lines(
        lambda: [module.advance(STEP_INTERVAL_US, next_arrivals()) for _ in range(TIMED_EVENTS)]
    )
    module.advance_to_status()
    status_lines = count_executed_lines(lambda: module.advance(STEP_INTERVAL_US))
    module.advance_to_status()
    module.advance(STEP_INTERVAL_US)
    open_messages = module.engine.open_messages
    full_s, given_up = measure_full_step(module, random)
    recovery = measure_recovery(module)
    begun_s = processor_seconds()
    gc.collect()
    collection_s = processor_seconds() - begun_s
    return [
        Reading("module_open_messages", open_messages),
        Reading("traffic_step_lines", lines / TIMED_EVENTS),
        Reading("given_up_at_hold_cap_messages", given_up),
        Reading("status_step_lines", status_lines),
        Reading("module_resident_bytes", kept_bytes, Source.TIMED),
        Reading("arrival_step_processor_microseconds", arrival_s * MICROSECONDS_PER_S, Source.TIMED),
        Reading("outcome_step_processor_microseconds", outcome_s * MICROSECONDS_PER_S, Source.TIMED),
        Reading("held_arrival_step_processor_microseconds", held_s * MICROSECONDS_PER_S, Source.TIMED),
        Reading(
            "mean_step_processor_microseconds",
            statistics.mean(step_times_s) * MICROSECONDS_PER_S,
            Source.TIMED,
        ),
        Reading("longest_step_processor_seconds", max(step_times_s), Source.TIMED),
        Reading("report_processor_seconds", module.engine.report_s, Source.TIMED),
        Reading("forget_processor_seconds", module.engine.forget_s, Source.TIMED),
        Reading("arrival_at_hold_cap_processor_seconds", full_s, Source.TIMED),
        Reading("full_collection_processor_seconds", collection_s, Source.TIMED),
        *recovery,
    ]


def measure_recovery(module: SimulatedModule) -> list[Reading]:
    """Bring all destinations up; measure the cost of delivering the backlog."""
    module.down.clear()
    before = module.delivered
    step_times_s = [module.advance(STEP_INTERVAL_US) for _ in range(RECOVERY_STEPS)]
    message_us = sum(step_times_s) / max(1, module.delivered - before) * MICROSECONDS_PER_S
    before = module.delivered
    lines = count_executed_lines(lambda: [module.advance(STEP_INTERVAL_US) for _ in range(COUNTED_STEPS)])
    return [
        Reading("recovery_message_lines", lines / max(1, module.delivered - before)),
        Reading("recovery_message_processor_microseconds", message_us, Source.TIMED),
        Reading("recovery_longest_step_processor_seconds", max(step_times_s), Source.TIMED),
    ]


def measure(placement: Placement, size: int, seed: int) -> list[Reading]:
    """Measure in stages, so that the memory of each stage can be told apart."""
    before_bytes = resident_bytes()
    held = {held.message.id: held for held in make_backlog(size, placement, seed)}
    held_bytes = resident_bytes() - before_bytes
    with tempfile.TemporaryDirectory(prefix="backlog-") as folder:
        journal = MeasuredJournal(Path(folder), ample_disk_bytes(size))
        readings = measure_journal(journal, Path(folder), list(held.values()), seed)
        readings.append(Reading("held_resident_bytes", held_bytes, Source.TIMED))
        # The journal stays open: if its memory were freed, the engine would reuse it and seem to need none.
        readings += measure_module(held, seed)
        journal.close()
    return readings


def make_subject(name: str, about: str, placement: Placement) -> Subject:
    """A subject that measures a backlog with this placement."""
    return Subject(
        name=name,
        about=about,
        axis="held messages",
        sizes=(1_000, 10_000, 100_000, 300_000),
        target=12_500_000,
        memory_bytes=lambda size: size * BYTES_PER_MESSAGE + LIST_BYTES,
        measure=partial(measure, placement),
    )


SUBJECT = make_subject(
    "backlog", f"a relay that holds a backlog for {DOWN_COUNT} destinations", EVENLY_SPREAD
)
MOSTLY_ONE_SUBJECT = make_subject(
    "backlog-one", "the same, with nearly all of it for one destination", MOSTLY_ONE
)
