"""Messages as bytes: a versioned head, the fleet's mark, and MessagePack behind it. Pure.

A datagram stays under 1,400 bytes, so that no path has to cut it; what does not fit of its news goes with a
later one. Bytes that are no message of this fleet and version raise ``WireError``, which says why in a word.
"""

from __future__ import annotations

import struct
import zlib

import msgspec

from membership.messages import Exchange, Message

MAX_DATAGRAM_BYTES = 1_400  # bytes
MAX_FRAME_BYTES = 1 << 20  # bytes of a whole exchange
MAGIC, VERSION = b"mp", 1
HEADER = struct.Struct("!2sBI")  # magic, version, fleet
LENGTH_PREFIX = struct.Struct("!I")
_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


class WireError(ValueError):
    """Bytes that are no message; the first word tells the kind for the counters."""


def hash_fleet_name(fleet: str) -> int:
    """By which members tell another fleet's messages from their own."""
    return zlib.crc32(fleet.encode())


def encode(fleet: int, message: Message) -> bytes:
    """A message's bytes; the last of its news are left out of a datagram that would be too long."""
    while True:
        data = HEADER.pack(MAGIC, VERSION, fleet) + _ENCODER.encode(message)
        if isinstance(message, Exchange) or len(data) <= MAX_DATAGRAM_BYTES:
            return data
        if not message.updates:
            raise WireError(f"long: {len(data)} bytes without any news")
        message = msgspec.structs.replace(message, updates=message.updates[:-1])


def decode(fleet: int, data: bytes) -> Message:
    """The message that bytes are; ``WireError`` where they are none."""
    if len(data) < HEADER.size:
        raise WireError("short")
    magic, version, of = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise WireError("garbage")
    if version != VERSION:
        raise WireError(f"version {version}")
    if of != fleet:
        raise WireError("fleet")
    try:
        return _DECODER.decode(data[HEADER.size :])
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise WireError(f"garbage: {error}") from None
