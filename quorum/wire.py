"""Frames between members, and from clients to members: a length, then msgpack; bounded in size and time."""

from __future__ import annotations

import asyncio
import struct
from typing import TypeVar

import msgspec

from quorum.incarnations import Incarnation, StartupClaim
from quorum.member import Request, Response
from quorum.messages import Message, Snapshot

PROTOCOL_VERSION = 1
LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 16 * 1024 * 1024  # bytes of a member's frame: a whole snapshot
MAX_CLIENT_FRAME_BYTES = 128 * 1024  # bytes of a client's frame
HELLO_TIMEOUT_S, FRAME_TIMEOUT_S = 2.0, 5.0  # s for a first frame, and for a frame once it has begun
T = TypeVar("T")


class WireError(ValueError):
    """What came is no frame of this protocol."""


class Hello(msgspec.Struct, frozen=True):
    """The first frame of a connection; a member names itself and its life, a client does not."""

    version: int
    member: str = ""
    life: Incarnation | None = None
    claim: StartupClaim = StartupClaim()


class Turned(msgspec.Struct, frozen=True, tag="turned"):
    """The answer to a ``Hello`` that is not listened to, before the end."""

    why: str


class Ask(msgspec.Struct, frozen=True, tag="ask"):
    """A client's request; ``number`` joins it to its answer, and counts for this connection alone."""

    number: int
    request: Request


class Status(msgspec.Struct, frozen=True, tag="status"):
    """An operator asks a member for itself."""

    number: int


class Leases(msgspec.Struct, frozen=True, tag="leases"):
    """An operator asks a member for all leases that it knows of."""

    number: int


class Copy(msgspec.Struct, frozen=True, tag="copy"):
    """An operator asks a member for a snapshot of what it has applied; it also compacts its log."""

    number: int


class StepDown(msgspec.Struct, frozen=True, tag="step-down"):
    """An operator wants another leader."""

    number: int


class Change(msgspec.Struct, frozen=True, tag="change"):
    """An operator adds a member or takes one out."""

    number: int
    add: str = ""
    remove: str = ""


ClientMessage = Ask | Status | Leases | Copy | StepDown | Change


class Told(msgspec.Struct, frozen=True, tag="told"):
    """The answer to ``Ask``, ``StepDown`` and ``Change``."""

    number: int
    response: Response


class Health(msgspec.Struct, frozen=True, tag="health"):
    """What a member knows of itself, and a leader of the others."""

    number: int
    name: str
    role: str
    term: int
    leader: str
    commit: int
    applied: int
    members: tuple[str, ...]
    lag: dict[str, int]  # entries that a follower is behind; of a leader alone
    leases: int
    sessions: int
    records: int
    waiting: int  # requests that wait for leases or for changes; of a leader alone
    log_entries: int
    log_bytes: int  # of the file
    disk: str  # what its disk refuses; empty: nothing
    full: tuple[str, ...]  # members whose disk takes nothing that can wait, as far as is known here
    turned: dict[str, str]  # members that do not listen to this one, and why

    @property
    def ready(self) -> bool:
        """Whether it takes part: it leads or follows."""
        return bool(self.leader)


class LeaseStatus(msgspec.Struct, frozen=True, array_like=True):
    """One lease; ``left_ms`` is known to a leader alone, and without owner it is its delay that runs."""

    name: str
    owner: str
    token: int
    ttl_ms: int
    left_ms: int
    waiting: int


class Listed(msgspec.Struct, frozen=True, tag="listed"):
    """The answer to ``Leases``."""

    number: int
    leads: bool
    leases: tuple[LeaseStatus, ...]


class Copied(msgspec.Struct, frozen=True, tag="copied"):
    """The answer to ``Copy``."""

    number: int
    snapshot: Snapshot


ServerMessage = Told | Health | Listed | Copied

hello_decoder = msgspec.msgpack.Decoder(Hello)
turned_decoder = msgspec.msgpack.Decoder(Turned)
message_decoder = msgspec.msgpack.Decoder(Message)
client_message_decoder = msgspec.msgpack.Decoder(ClientMessage)
server_message_decoder = msgspec.msgpack.Decoder(ServerMessage)


def encode_frame(item: msgspec.Struct) -> bytes:
    """Something as a frame."""
    body = msgspec.msgpack.encode(item)
    return LENGTH_PREFIX.pack(len(body)) + body


async def read_frame(reader: asyncio.StreamReader, most: int, first_s: float | None = None) -> bytes:
    """The next frame's body; empty where the peer ended between two.

    ``WireError`` for one that is too long, cut off or slow, ``TimeoutError`` where none begins in time.
    """
    try:
        async with asyncio.timeout(first_s):
            first = await reader.readexactly(1)
        try:
            async with asyncio.timeout(FRAME_TIMEOUT_S):
                size = LENGTH_PREFIX.unpack(first + await reader.readexactly(LENGTH_PREFIX.size - 1))[0]
                if not 0 < size <= most:
                    raise WireError(f"a frame of {size} bytes")
                return await reader.readexactly(size)
        except TimeoutError:
            raise WireError(f"a frame that does not end within {FRAME_TIMEOUT_S:g} s") from None
    except asyncio.IncompleteReadError as error:
        if error.partial or error.expected != 1:
            raise WireError("a frame was cut off") from None
        return b""


def decode_body(decoder: msgspec.msgpack.Decoder[T], body: bytes) -> T:
    """A frame's content; ``WireError`` where it is something else."""
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(f"a frame that cannot be read: {error}") from None
