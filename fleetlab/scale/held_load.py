"""The messages that a relay holds in a backlog: derived from a seed, for destinations that are down."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from decisions.interface import Effect, Entry, Listing, MessageClass, Settings
from fleetlab.scale.endpoints import ZONES
from relay.driver import ClientMessage, HeldMessage
from relay.journal import later_records_bytes

DESTINATION_COUNT = 31_000
DOWN_COUNT = 682  # of them, 2.2%
BODY_BYTES = 200
DESTINATION_KIND = "franchisee"
HOUR_US = 3_600_000_000
START_US = 4_000_000_000_000_000  # simulated time begins in the distant future: a real clock is before it
MIN_TIME_LEFT_US, MAX_TIME_LEFT_US = 12 * HOUR_US, 24 * HOUR_US  # until a message's time is up
SEAT_STATUS = MessageClass("seat-status", Effect.SAFE, 1_500_000, MAX_TIME_LEFT_US, late_worth=0.5)


@dataclass(frozen=True, slots=True)
class Placement:
    """Which destinations hold the backlog."""

    mostly_one: bool  # the others that are down hold one message each

    def choose_destination(self, number: int, random: Random) -> int:
        """Where the message of that number goes; destinations 0 to ``DOWN - 1`` are down."""
        if not self.mostly_one:
            return random.randrange(DOWN_COUNT)
        return number if number < DOWN_COUNT else 0


EVENLY_SPREAD, MOSTLY_ONE = Placement(mostly_one=False), Placement(mostly_one=True)


def make_message(number: int, destination: int, now_us: int, random: Random) -> HeldMessage:
    """One message as a relay holds it; its identifier is as long as a client's."""
    name = f"{random.getrandbits(64):016x}-{number:09d}"
    deadline_us = now_us + random.randrange(MIN_TIME_LEFT_US, MAX_TIME_LEFT_US)
    handed = ClientMessage(name, destination, SEAT_STATUS.name, deadline_us, "tenant-1", "", f"key-{name}")
    return HeldMessage(handed, random.randbytes(BODY_BYTES))


def make_backlog(count: int, placement: Placement, seed: int) -> Iterator[HeldMessage]:
    """The messages of a backlog, in the order of their arrival."""
    random = Random(seed)
    for number in range(count):
        yield make_message(number, placement.choose_destination(number, random), START_US, random)


def host_name(destination: int) -> str:
    """The one endpoint of a destination."""
    return f"s-{destination:05d}"


def make_entries(count: int = DESTINATION_COUNT) -> tuple[Entry, ...]:
    """The endpoint list; down or not, each destination is listed as ready."""
    numbers = range(count)
    return tuple(
        Entry(host_name(n), n, ZONES[n % len(ZONES)], DESTINATION_KIND, Listing.READY) for n in numbers
    )


def make_settings(hold_cap: int) -> Settings:
    """A relay of a fleet of 600 that may hold so many messages."""
    return Settings(
        slots=64,
        classes=(SEAT_STATUS,),
        group_size=600,
        hold_cap=hold_cap,
        max_attempts=1_000,  # a backlog outlasts its trials
        round_us=5_000,
        may_cancel=True,
    )


def reserved_bytes(held: HeldMessage) -> int:
    """Room that the journal keeps free for what may still be said of the message."""
    return later_records_bytes(held.message.id)
