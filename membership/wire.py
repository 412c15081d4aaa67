"""The wire format: a header with version and fleet, then the message in MessagePack; without I/O.

A datagram has at most 1,400 bytes, so that no network path fragments it; updates that do not fit go with a
later one. Bytes that are not a message of this fleet and version raise ``WireError``.
"""

from __future__ import annotations

import struct
import zlib

import msgspec

from membership.messages import Exchange, Message

MAX_DATAGRAM_BYTES = 1_400
MAX_FRAME_BYTES = 1 << 20  # of an exchange, which goes by a connection
MAGIC = b"mp"
VERSION = 1
HEADER = struct.Struct("!2sBI")  # magic, version, hash of the fleet's name
LENGTH_PREFIX = struct.Struct("!I")  # of a frame
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


class WireError(ValueError):
    """Bytes that are not a message; the first word of the text becomes part of a counter's name."""


def hash_fleet_name(fleet: str) -> int:
    """The number by which members recognize their own fleet's messages."""
    return zlib.crc32(fleet.encode())


def encode(fleet_hash: int, message: Message) -> bytes:
    """A message's bytes; updates are dropped from the end until a datagram is short enough."""
    while True:
        data = HEADER.pack(MAGIC, VERSION, fleet_hash) + _ENCODER.encode(message)
        if isinstance(message, Exchange) or len(data) <= MAX_DATAGRAM_BYTES:
            return data
        if not message.updates:
            raise WireError(f"long: {len(data)} bytes without any updates")
        message = msgspec.structs.replace(message, updates=message.updates[:-1])


def decode(fleet_hash: int, data: bytes) -> Message:
    """The message in ``data``; ``WireError`` if there is none of this fleet and version."""
    if len(data) < HEADER.size:
        raise WireError("short")
    magic, version, sender_fleet_hash = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise WireError("garbage")
    if version != VERSION:
        raise WireError(f"version {version}")
    if sender_fleet_hash != fleet_hash:
        raise WireError("fleet")
    try:
        return _DECODER.decode(data[HEADER.size :])
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise WireError(f"garbage: {error}") from None
