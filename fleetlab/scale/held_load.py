"""A backlog of messages that a relay holds for destinations that are down, derived from a seed."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from decisions.interface import Effect, Entry, Listing, MessageClass, Settings
from fleetlab.scale.endpoints import ZONES
from relay.driver import ClientMessage, HeldMessage
from relay.journal import later_records_bytes

DESTINATION_COUNT = 31_000
# Destinations that are down: 2.2% of all. They have the numbers 0 to ``DOWN_COUNT - 1``.
DOWN_COUNT = 682
BODY_BYTES = 200
DESTINATION_KIND = "franchisee"
HOUR_US = 3_600_000_000
# Simulated time begins far in the future, so that no deadline of the backlog has passed by a real clock.
START_US = 4_000_000_000_000_000
# Range of the time from a message's arrival to its deadline.
MIN_TIME_LEFT_US = 12 * HOUR_US
MAX_TIME_LEFT_US = 24 * HOUR_US
SEAT_STATUS = MessageClass("seat-status", Effect.SAFE, 1_500_000, MAX_TIME_LEFT_US, late_worth=0.5)


@dataclass(frozen=True, slots=True)
class Placement:
    """How the backlog is distributed over the destinations that are down."""

    # Destination 0 has all messages but one for each other destination; otherwise they are drawn evenly.
    mostly_one: bool

    def choose_destination(self, number: int, random: Random) -> int:
        """The destination, one that is down, of message ``number``."""
        if not self.mostly_one:
            return random.randrange(DOWN_COUNT)
        return number if number < DOWN_COUNT else 0


EVENLY_SPREAD = Placement(mostly_one=False)
MOSTLY_ONE = Placement(mostly_one=True)


def make_message(number: int, destination: int, now_us: int, random: Random) -> HeldMessage:
    """One message as a relay holds it, with an identifier of the same length as a client's."""
    name = f"{random.getrandbits(64):016x}-{number:09d}"
    deadline_us = now_us + random.randrange(MIN_TIME_LEFT_US, MAX_TIME_LEFT_US)
    client_message = ClientMessage(
        name, destination, SEAT_STATUS.name, deadline_us, "tenant-1", "", f"key-{name}"
    )
    return HeldMessage(client_message, random.randbytes(BODY_BYTES))


def make_backlog(count: int, placement: Placement, seed: int) -> Iterator[HeldMessage]:
    """``count`` messages of a backlog, in the order of their arrival at ``START_US``."""
    random = Random(seed)
    for number in range(count):
        yield make_message(number, placement.choose_destination(number, random), START_US, random)


def host_name(destination: int) -> str:
    """The name of the only endpoint of a destination."""
    return f"s-{destination:05d}"


def make_entries(count: int = DESTINATION_COUNT) -> tuple[Entry, ...]:
    """The endpoint list; each destination is listed as ready, also one that is down."""
    numbers = range(count)
    return tuple(
        Entry(host_name(n), n, ZONES[n % len(ZONES)], DESTINATION_KIND, Listing.READY) for n in numbers
    )


def make_settings(hold_cap: int) -> Settings:
    """Settings of a relay in a fleet of 600 that may hold ``hold_cap`` messages."""
    return Settings(
        slots=64,
        classes=(SEAT_STATUS,),
        group_size=600,
        hold_cap=hold_cap,
        max_attempts=1_000,  # so many that no message of the backlog runs out of attempts
        round_us=5_000,
        may_cancel=True,
    )


def reserved_bytes(held: HeldMessage) -> int:
    """Bytes that the journal reserves for the later records of the message."""
    return later_records_bytes(held.message.id)
