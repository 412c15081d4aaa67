"""A relay that gets the whole endpoint list: whether and when it is known, and what waits for it."""

from __future__ import annotations

import json
from random import Random

from decisions.engine import DecisionEngine
from decisions.interface import Effect, EndpointUpdate, EndpointUpdateKind, MessageClass, Settings
from fleetlab.scale import endpoints
from fleetlab.scale.list_loading import (
    GROUP_SIZE,
    DriverLoad,
    ProcessLoad,
    load_into_driver,
    load_into_process,
)
from fleetlab.scale.process import processor_seconds
from fleetlab.scale.records import Reading, Source
from fleetlab.scale.subject import Subject
from relay.discovery import line_limit_for_memory
from relay.endpoint_list import parse_list


def make_settings() -> Settings:
    """A relay of a fleet of 600 with one class of message."""
    seat_status = MessageClass("seat-status", Effect.SAFE, 1_500_000, 6_000_000)
    return Settings(slots=64, classes=(seat_status,), group_size=GROUP_SIZE)


def measure(size: int, seed: int) -> list[Reading]:
    """Take the list in by the driver, by a relay's process and by the module alone.

    The driver comes first: its memory is read in a process that has held no list before.
    """
    return [
        *driver_readings(load_into_driver(size, seed)),
        *process_readings(load_into_process(size, seed)),
        *measure_engine(size, seed),
    ]


def driver_readings(intake: DriverLoad) -> list[Reading]:
    """What the real driver's loop told; the time is left out where the list never came."""
    known = [] if intake.seconds is None else [timed_reading("seconds_until_known", intake.seconds)]
    return [
        Reading("list_known", float(intake.known)),
        Reading("entries_handed", float(intake.entries_handed)),
        Reading("most_entries_in_one_step", float(intake.max_entries_in_one_step)),
        timed_reading("longest_loop_hold_seconds", intake.longest_iteration_s),
        *known,
        timed_reading("resident_bytes", float(intake.resident_bytes)),
    ]


def process_readings(intake: ProcessLoad) -> list[Reading]:
    """What the real process and its client told."""
    known = [] if intake.seconds is None else [timed_reading("real_seconds_until_known", intake.seconds)]
    return [
        Reading("real_list_known", float(intake.known)),
        *known,
        timed_reading("real_written_bytes", float(intake.written_bytes)),
        timed_reading("longest_client_wait_seconds", intake.longest_wait_s),
        timed_reading("real_resident_bytes", float(intake.resident_bytes)),
        timed_reading("real_peak_resident_bytes", float(intake.peak_resident_bytes)),
    ]


def measure_engine(size: int, seed: int) -> list[Reading]:
    """Read a whole list and hand it to the module in one step, with no sockets."""
    line = endpoints.encode_update(size, True, endpoints.make_entries(size, Random(seed)))
    relay = DecisionEngine(make_settings(), seed)
    begun_s = processor_seconds()
    news = parse_list(json.loads(line))
    read_s = processor_seconds() - begun_s
    begun_s = processor_seconds()
    relay.step(
        0, [EndpointUpdate(EndpointUpdateKind.WHOLE, tuple(listed.entry for listed in news.endpoints))]
    )
    step_s = processor_seconds() - begun_s
    return [
        Reading("whole_list_bytes", float(len(line))),
        Reading("fits_one_line", float(len(line) <= line_limit_for_memory(endpoints.RELAY_MEMORY_BYTES))),
        Reading("endpoints_known", float(relay.listed_count)),
        timed_reading("read_processor_seconds", read_s),
        timed_reading("longest_step_processor_seconds", step_s),
    ]


def timed_reading(figure: str, value: float) -> Reading:
    """A reading that depends on the machine."""
    return Reading(figure, value, Source.TIMED)


SUBJECT = Subject(
    name="endpoint-list",
    about="a relay takes in the whole endpoint list",
    axis="endpoints in the list",
    sizes=(20, 200, 2_000, 7_000, 15_000, 31_000),
    target=31_000,
    memory_bytes=endpoints.estimate_memory_bytes,
    measure=measure,
)
