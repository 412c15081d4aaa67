"""Frames between members, and from clients to members: a length, then msgpack; bounded in size and time."""

from __future__ import annotations

import asyncio
import struct
from typing import TypeVar

import msgspec

from mallowquorum.member import Request, Response
from mallowquorum.messages import Message

VERSION = 1
SIZE = struct.Struct(">I")
MOST_FRAME = 16 * 1024 * 1024  # bytes of a member's frame: a whole snapshot
MOST_ASKED = 128 * 1024  # bytes of a client's frame
HELLO_S, FRAME_S = 2.0, 5.0  # s for a first frame, and for a frame once it has begun
T = TypeVar("T")


class WireError(ValueError):
    """What came is no frame of this protocol."""


class Hello(msgspec.Struct, frozen=True):
    """The first frame of a connection; a member names itself, a client does not."""

    version: int
    member: str = ""


class Ask(msgspec.Struct, frozen=True):
    """A client's request; ``number`` joins it to its answer, and counts for this connection alone."""

    number: int
    request: Request


class Status(msgspec.Struct, frozen=True):
    """A client asks a member for itself."""

    number: int


class Told(msgspec.Struct, frozen=True):
    """The answer to ``Ask``."""

    number: int
    response: Response


class Health(msgspec.Struct, frozen=True):
    """What a member knows of itself, and a leader of the others."""

    number: int
    name: str
    role: str
    term: int
    leader: str
    commit: int
    members: tuple[str, ...]
    leases: int
    lag: dict[str, int]  # entries that a follower is behind; of a leader alone
    disk: str  # what its disk refuses; empty: nothing


hello_decoder = msgspec.msgpack.Decoder(Hello)
message_decoder = msgspec.msgpack.Decoder(Message)
ask_decoder = msgspec.msgpack.Decoder(Ask)
status_decoder = msgspec.msgpack.Decoder(Status)
told_decoder = msgspec.msgpack.Decoder(Told)
health_decoder = msgspec.msgpack.Decoder(Health)


def frame(item: msgspec.Struct) -> bytes:
    """Something as a frame."""
    body = msgspec.msgpack.encode(item)
    return SIZE.pack(len(body)) + body


async def read_frame(reader: asyncio.StreamReader, most: int, first_s: float | None = None) -> bytes:
    """The next frame's body; empty where the peer ended between two.

    ``WireError`` for one that is too long or cut off, ``TimeoutError`` where it takes too long.
    """
    try:
        async with asyncio.timeout(first_s):
            head = await reader.readexactly(SIZE.size)
        size = SIZE.unpack(head)[0]
        if not 0 < size <= most:
            raise WireError(f"a frame of {size} bytes")
        async with asyncio.timeout(FRAME_S):
            return await reader.readexactly(size)
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise WireError("a frame was cut off") from None
        return b""


def decoded(decoder: msgspec.msgpack.Decoder[T], body: bytes) -> T:
    """A frame's content; ``WireError`` where it is something else."""
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(f"a frame that cannot be read: {error}") from None
