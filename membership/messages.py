"""What members say to each other, and what the core asks of its shell.

Names follow Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol" (2002), and Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More
Accurate Failure Detection" (2018).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import msgspec


class State(IntEnum):
    """What is held of a member."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class Update(msgspec.Struct, frozen=True, array_like=True):
    """What is said of a member's life; ``generation`` is of the life, ``number`` grows by its own word."""

    name: str
    address: str
    zone: str
    generation: int
    incarnation: int
    state: State
    reported_by: str = ""  # who suspects it

    @property
    def version(self) -> tuple[int, int]:
        """By which what is said of one member is ordered."""
        return self.generation, self.incarnation


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Is that life there? ``sender`` is the asker's address, to which the answer goes."""

    seq: int
    target_name: str
    sender_address: str
    updates: tuple[Update, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """It is."""

    seq: int
    updates: tuple[Update, ...] = ()


class AskFor(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Ping-req: ask that member in the sender's place; ``Ack``, or ``Nack`` where it does not answer."""

    seq: int
    target_name: str
    target_address: str
    sender_address: str
    updates: tuple[Update, ...] = ()


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The one that was asked for does not answer here either; but who was asked to ask is there."""

    seq: int
    updates: tuple[Update, ...] = ()


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """News alone."""

    updates: tuple[Update, ...]


class Exchange(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """All that is held, by a connection; ``answer`` asks for the same in return."""

    sender_address: str
    updates: tuple[Update, ...]
    wants_reply: bool


Message = Ping | Ack | AskFor | Nack | Gossip | Exchange


@dataclass(frozen=True, slots=True)
class SendMessage:
    """A message for an address; ``Exchange`` goes by a connection, all others by datagrams."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class StateChanged:
    """An event: what is held of a member is another now. Events are in order."""

    update: Update
    previous_state: State | None  # None: it was not known


@dataclass(frozen=True, slots=True)
class Replaced:
    """An event: a later life goes under this one's name, which says nothing from now on."""

    update: Update


Output = SendMessage | StateChanged | Replaced
