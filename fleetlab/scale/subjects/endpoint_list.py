"""A relay that gets the whole endpoint list: whether and when it is known, and what waits for it."""

from __future__ import annotations

import json
from random import Random

from decisions.engine import DecisionEngine
from decisions.interface import Effect, EndpointUpdate, EndpointUpdateKind, MessageClass, Settings
from fleetlab.scale import endpoints
from fleetlab.scale.list_loading import GROUP, Intake, ProcessIntake, driver_intake, process_intake
from fleetlab.scale.process import processor_seconds
from fleetlab.scale.records import Reading, Source
from fleetlab.scale.subject import Subject
from relay.discovery import line_limit_for_memory
from relay.endpoint_list import parse_list


def settings() -> Settings:
    """A relay of a fleet of 600 with one class of message."""
    seat_status = MessageClass("seat-status", Effect.SAFE, 1_500_000, 6_000_000)
    return Settings(slots=64, classes=(seat_status,), group_size=GROUP)


def measure(size: int, seed: int) -> list[Reading]:
    """Take the list in by the driver, by a relay's process and by the module alone.

    The driver comes first: its memory is read in a process that has held no list before.
    """
    return [
        *driver_readings(driver_intake(size, seed)),
        *process_readings(process_intake(size, seed)),
        *direct_readings(size, seed),
    ]


def driver_readings(intake: Intake) -> list[Reading]:
    """What the real driver's loop told; the time is left out where the list never came."""
    known = [] if intake.seconds is None else [timed("seconds_until_known", intake.seconds)]
    return [
        Reading("list_known", float(intake.known)),
        Reading("entries_handed", float(intake.entries_handed)),
        Reading("most_entries_in_one_step", float(intake.most_entries_in_one_step)),
        timed("longest_loop_hold_seconds", intake.longest_hold_s),
        *known,
        timed("resident_bytes", float(intake.resident_bytes)),
    ]


def process_readings(intake: ProcessIntake) -> list[Reading]:
    """What the real process and its client told."""
    known = [] if intake.seconds is None else [timed("real_seconds_until_known", intake.seconds)]
    return [
        Reading("real_list_known", float(intake.known)),
        *known,
        timed("real_written_bytes", float(intake.written_bytes)),
        timed("longest_client_wait_seconds", intake.longest_wait_s),
        timed("real_resident_bytes", float(intake.resident_bytes)),
        timed("real_peak_resident_bytes", float(intake.peak_resident_bytes)),
    ]


def direct_readings(size: int, seed: int) -> list[Reading]:
    """Read a whole list and hand it to the module in one step, with no sockets."""
    line = endpoints.news_line(size, True, endpoints.entries(size, Random(seed)))
    relay = DecisionEngine(settings(), seed)
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
        timed("read_processor_seconds", read_s),
        timed("longest_step_processor_seconds", step_s),
    ]


def timed(figure: str, value: float) -> Reading:
    """A reading that depends on the machine."""
    return Reading(figure, value, Source.TIMED)


SUBJECT = Subject(
    name="endpoint-list",
    about="a relay takes in the whole endpoint list",
    axis="endpoints in the list",
    sizes=(20, 200, 2_000, 7_000, 15_000, 31_000),
    target=31_000,
    memory_bytes=endpoints.memory_bytes,
    measure=measure,
)
