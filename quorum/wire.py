"""The wire protocol between members and with clients.

A frame is its body's length as 4 bytes in network order, then the body in msgpack. Frames are bounded in size
and in the time that they may take to arrive.
"""

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
MAX_FRAME_BYTES = 16 * 1024 * 1024  # from a member, whose frame may hold a whole snapshot
MAX_CLIENT_FRAME_BYTES = 128 * 1024
HELLO_TIMEOUT_S = 2.0  # for the first frame of a connection to begin
FRAME_TIMEOUT_S = 5.0  # for a frame to arrive completely once it has begun
T = TypeVar("T")


class WireError(ValueError):
    """The peer sent something that violates the protocol."""


class Hello(msgspec.Struct, frozen=True):
    """The first frame of a connection; a client sends only the version, a member also who it is."""

    version: int
    member: str = ""
    life: Incarnation | None = None
    claim: StartupClaim = StartupClaim()


class Turned(msgspec.Struct, frozen=True, tag="turned"):
    """The answer to a member's ``Hello`` that is rejected; then the connection is closed."""

    why: str


class Ask(msgspec.Struct, frozen=True, tag="ask"):
    """A client's request; ``number`` joins it to its answer and is unique within the connection."""

    number: int
    request: Request


class Status(msgspec.Struct, frozen=True, tag="status"):
    """An operator's request for a member's status."""

    number: int


class Leases(msgspec.Struct, frozen=True, tag="leases"):
    """An operator's request for all leases that a member knows of."""

    number: int


class Copy(msgspec.Struct, frozen=True, tag="copy"):
    """An operator's request for a snapshot of what a member has applied, which also compacts its log."""

    number: int


class StepDown(msgspec.Struct, frozen=True, tag="step-down"):
    """An operator's request that the leader transfers its leadership."""

    number: int


class Change(msgspec.Struct, frozen=True, tag="change"):
    """An operator's request to add or remove one member."""

    number: int
    add: str = ""
    remove: str = ""


ClientMessage = Ask | Status | Leases | Copy | StepDown | Change


class Told(msgspec.Struct, frozen=True, tag="told"):
    """The answer to ``Ask``, ``StepDown`` and ``Change``."""

    number: int
    response: Response


class Health(msgspec.Struct, frozen=True, tag="health"):
    """A member's status; some fields are known only to the leader."""

    number: int
    name: str
    role: str
    term: int
    leader: str
    commit: int
    applied: int
    members: tuple[str, ...]
    lag: dict[str, int]  # entries that each follower is behind; only at the leader
    leases: int
    sessions: int
    records: int
    waiting: int  # requests that wait for leases or for changes; only at the leader
    log_entries: int
    log_bytes: int  # size of the log file
    disk: str  # the error with which the disk refuses writes; empty: none
    full: tuple[str, ...]  # members whose disk is known here to accept only writes that cannot be deferred
    turned: dict[str, str]  # members that reject this one's connection, and why

    @property
    def ready(self) -> bool:
        """Whether the member leads or knows a leader."""
        return bool(self.leader)


class LeaseStatus(msgspec.Struct, frozen=True, array_like=True):
    """One lease, in its delay if there is no ``owner``; ``left_ms`` is known only to a leader."""

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
    """Encode a message as a frame."""
    body = msgspec.msgpack.encode(item)
    return LENGTH_PREFIX.pack(len(body)) + body


async def read_frame(reader: asyncio.StreamReader, max_bytes: int, first_s: float | None = None) -> bytes:
    """Return the next frame's body, or nothing if the peer closed the connection between two frames.

    Raises ``WireError`` for a frame that is over ``max_bytes``, cut off or slow, and ``TimeoutError`` if none
    begins within ``first_s`` seconds.
    """
    try:
        async with asyncio.timeout(first_s):
            first = await reader.readexactly(1)
        try:
            async with asyncio.timeout(FRAME_TIMEOUT_S):
                size = LENGTH_PREFIX.unpack(first + await reader.readexactly(LENGTH_PREFIX.size - 1))[0]
                if not 0 < size <= max_bytes:
                    raise WireError(f"a frame of {size} bytes")
                return await reader.readexactly(size)
        except TimeoutError:
            raise WireError(f"a frame did not end within {FRAME_TIMEOUT_S:g} s") from None
    except asyncio.IncompleteReadError as error:
        if error.partial or error.expected != 1:
            raise WireError("a frame was cut off") from None
        return b""


def decode_body(decoder: msgspec.msgpack.Decoder[T], body: bytes) -> T:
    """Decode a frame's body; raises ``WireError`` if it is not of the decoder's type."""
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(f"a frame cannot be decoded: {error}") from None
