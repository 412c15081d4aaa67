"""A relay that loads the whole endpoint list: whether and when it knows it, and how long others wait."""

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
    """Settings of a relay in a fleet of 600, with one message class."""
    seat_status = MessageClass("seat-status", Effect.SAFE, 1_500_000, 6_000_000)
    return Settings(slots=64, classes=(seat_status,), group_size=GROUP_SIZE)


def measure(size: int, seed: int) -> list[Reading]:
    """Load the list into the driver, into a relay process, and into the engine alone.

    The driver comes first, because its memory must be read in a process that has held no list before.
    """
    return [
        *driver_readings(load_into_driver(size, seed)),
        *process_readings(load_into_process(size, seed)),
        *measure_engine(size, seed),
    ]


def driver_readings(load: DriverLoad) -> list[Reading]:
    """The figures of the real driver; without the time until known if the list did not arrive."""
    known = [] if load.seconds is None else [timed_reading("seconds_until_known", load.seconds)]
    return [
        Reading("list_known", float(load.known)),
        Reading("entries_handed", float(load.entries_handed)),
        Reading("most_entries_in_one_step", float(load.max_entries_in_one_step)),
        timed_reading("longest_loop_hold_seconds", load.longest_iteration_s),
        *known,
        timed_reading("resident_bytes", float(load.resident_bytes)),
    ]


def process_readings(load: ProcessLoad) -> list[Reading]:
    """The figures of the real process and its client."""
    known = [] if load.seconds is None else [timed_reading("real_seconds_until_known", load.seconds)]
    return [
        Reading("real_list_known", float(load.known)),
        *known,
        timed_reading("real_written_bytes", float(load.written_bytes)),
        timed_reading("longest_client_wait_seconds", load.longest_wait_s),
        timed_reading("real_resident_bytes", float(load.resident_bytes)),
        timed_reading("real_peak_resident_bytes", float(load.peak_resident_bytes)),
    ]


def measure_engine(size: int, seed: int) -> list[Reading]:
    """Parse a whole list and give it to a decision engine in one step, without sockets."""
    line = endpoints.encode_update(size, True, endpoints.make_entries(size, Random(seed)))
    engine = DecisionEngine(make_settings(), seed)
    begun_s = processor_seconds()
    update = parse_list(json.loads(line))
    parse_s = processor_seconds() - begun_s
    begun_s = processor_seconds()
    engine.step(
        0, [EndpointUpdate(EndpointUpdateKind.WHOLE, tuple(listed.entry for listed in update.endpoints))]
    )
    step_s = processor_seconds() - begun_s
    return [
        Reading("whole_list_bytes", float(len(line))),
        Reading("fits_one_line", float(len(line) <= line_limit_for_memory(endpoints.RELAY_MEMORY_BYTES))),
        Reading("endpoints_known", float(engine.listed_count)),
        timed_reading("read_processor_seconds", parse_s),
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
