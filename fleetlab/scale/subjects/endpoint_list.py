"""A relay that gets the whole endpoint list: its bytes, the time to take it in, and its memory."""

from __future__ import annotations

import json
from random import Random

from fleetlab.scale.process import processor_seconds, resident_bytes
from fleetlab.scale.records import Reading, Source
from fleetlab.scale.subject import Subject
from mallowlug.discovery import MOST_LINE, read_list
from mossfront.brain import Relay
from mossfront.interface import Effect, MessageClass, Roster, RosterKind, Settings

ZONES = ("east-1", "east-2", "east-3", "west-1", "west-2")
BYTES_PER_ENDPOINT = 20_000  # upper estimate of memory for one endpoint, text and objects together


def list_line(size: int, random: Random) -> bytes:
    """A whole list in discovery's form, as one line of a watch; one endpoint to each destination."""
    hosts = [
        {
            "host": f"s-{random.getrandbits(32):08x}-{number}",
            "dial": f"10.{1 + (number >> 16)}.{(number >> 8) & 255}.{number & 255}:6379",
            "site": ZONES[number % len(ZONES)],
            "class": "franchisee",
            "block": number,
            "health": "SERVING",
            "share": 1.0,
            "born_ms": 0,
        }
        for number in range(size)
    ]
    return json.dumps({"seq": size, "whole": True, "hosts": hosts}, separators=(",", ":")).encode() + b"\n"


def settings() -> Settings:
    """A relay of a fleet of 600 with one class of message."""
    seat_status = MessageClass("seat-status", Effect.SAFE, 1_500_000, 6_000_000)
    return Settings(slots=64, classes=(seat_status,), group_size=600)


def measure(size: int, seed: int) -> list[Reading]:
    """Read a whole list and take it into the module in one step."""
    line = list_line(size, Random(seed))
    relay = Relay(settings(), seed)
    before_bytes, begun_s = resident_bytes(), processor_seconds()
    news = read_list(json.loads(line))
    read_s = processor_seconds() - begun_s
    begun_s = processor_seconds()
    relay.step(0, [Roster(RosterKind.WHOLE, tuple(listed.entry for listed in news.hosts))])
    step_s = processor_seconds() - begun_s
    return [
        Reading("whole_list_bytes", len(line)),
        Reading("fits_one_line", float(len(line) <= MOST_LINE)),
        Reading("endpoints_known", relay.known),
        Reading("read_processor_seconds", read_s, Source.TIMED),
        Reading("longest_step_processor_seconds", step_s, Source.TIMED),
        Reading("resident_bytes", resident_bytes() - before_bytes, Source.TIMED),
    ]


SUBJECT = Subject(
    name="endpoint-list",
    about="a relay takes in the whole endpoint list",
    axis="endpoints in the list",
    sizes=(20, 200, 2_000, 7_000, 15_000, 31_000),
    target=31_000,
    memory_bytes=lambda size: size * BYTES_PER_ENDPOINT,
    measure=measure,
)
