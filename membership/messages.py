"""The messages between members, and the outputs of the core to the service around it.

Messages are encoded as arrays: the order of fields and the tags are the wire format.

Names follow Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol" (2002), and Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More
Accurate Failure Detection" (2018).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import msgspec


class State(IntEnum):
    """A member's state; pages and traces show the names in lower case."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class Update(msgspec.Struct, frozen=True, array_like=True):
    """The state of a member's life: the unit of dissemination."""

    name: str
    address: str
    zone: str
    generation: int  # of the life: a restart has a higher one
    incarnation: int  # raised by the member itself only, to refute a suspicion or failure
    state: State
    reported_by: str = ""  # name of the member that suspects it, or declared it failed

    @property
    def version(self) -> tuple[int, int]:
        """The order of updates about one member: generation first, then incarnation."""
        return self.generation, self.incarnation


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Ask a member for an ack, which goes to the sender's address."""

    seq: int
    target_name: str
    sender_address: str
    updates: tuple[Update, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The answer to a ping, or to a ping-req whose target has answered."""

    seq: int
    updates: tuple[Update, ...] = ()


class AskFor(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """SWIM's ping-req: ping the target for the sender; answer ``Ack``, or ``Nack`` if none comes in time."""

    seq: int
    target_name: str
    target_address: str
    sender_address: str
    updates: tuple[Update, ...] = ()


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Lifeguard's nack to a ping-req: the target did not answer, but the member that was asked did."""

    seq: int
    updates: tuple[Update, ...] = ()


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Updates that are not piggybacked on another message."""

    updates: tuple[Update, ...]


class Exchange(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Anti-entropy: the sender's whole view, by a connection; ``wants_reply`` asks for the receiver's."""

    sender_address: str
    updates: tuple[Update, ...]
    wants_reply: bool


Message = Ping | Ack | AskFor | Nack | Gossip | Exchange


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message; an ``Exchange`` goes by a connection, all others by datagrams."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class StateChanged:
    """A member's state or life has changed in this member's view; these come in the order of the changes."""

    update: Update
    previous_state: State | None  # None: the member was not known


@dataclass(frozen=True, slots=True)
class Replaced:
    """A later life runs under this member's name; this one sends nothing from now on."""

    update: Update


Output = SendMessage | StateChanged | Replaced
