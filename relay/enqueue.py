"""The command that hands in a message: checks its arguments."""

from __future__ import annotations

import re

from relay.driver import ClientMessage

MAX_BODY_BYTES = 64 * 1024
TOKEN_PATTERN = re.compile(rb"[!-~]{1,128}")  # valid in an HTTP header and in a line of a batch
NUMBER_PATTERN = re.compile(rb"[0-9]{1,12}")
# No endpoint list names a higher destination: a message for one would be accepted and never find an endpoint.
MAX_DEST = 65535
MAX_PARAMETER_BYTES = 4096  # of the list of names and values in a request
MAX_TIME_LEFT_MS = 24 * 3600 * 1000  # a message with more time left gets this much


class BadRequestError(ValueError):
    """A complete request whose arguments are invalid. The text is sent to the client."""


def parse_token(raw: bytes, name: str) -> str:
    """Return a word of 1 to 128 printable ASCII characters; raise ``BadRequestError`` for anything else."""
    if not TOKEN_PATTERN.fullmatch(raw):
        raise BadRequestError(f"{name} is unreadable")
    return raw.decode("ascii")


def parse_number(parameters: dict[bytes, bytes], name: bytes) -> int:
    """Return a mandatory whole number of 1 to 12 digits; raise ``BadRequestError`` for anything else."""
    text = parameters.get(name, b"")
    if not NUMBER_PATTERN.fullmatch(text):
        raise BadRequestError(f"{name.decode()} is no whole number")
    return int(text)


def parse_enqueue(args: list[bytes], now_us: int) -> tuple[ClientMessage, bytes]:
    """Return the message and the body of an ENQUEUE request; raise ``BadRequestError`` if it is invalid.

    The request holds the time left in milliseconds; the message's deadline is that long after ``now_us``.
    An ordering key that is empty or consists of zeros means that the message has none.
    """
    if len(args) != 5:
        raise BadRequestError("ENQUEUE takes a key, an id, a list and a body")
    _, order_key, message_id, parameter_list, body = args
    if len(body) > MAX_BODY_BYTES:
        raise BadRequestError("the body is too long")
    if len(parameter_list) > MAX_PARAMETER_BYTES:
        raise BadRequestError("the list is too long")
    parameters: dict[bytes, bytes] = {}
    for pair in parameter_list.split(b","):
        name, separator, value = pair.partition(b"=")
        if not separator:
            raise BadRequestError("the list holds no name=value pair")
        parameters[name.strip()] = value
    if (dest := parse_number(parameters, b"dest")) > MAX_DEST:
        raise BadRequestError("dest is out of range")
    left_ms = min(parse_number(parameters, b"d"), MAX_TIME_LEFT_MS)
    message = ClientMessage(
        id=parse_token(message_id, "the id"),
        dest=dest,
        cls=parse_token(parameters.get(b"c", b""), "c"),
        deadline_us=now_us + left_ms * 1000,
        tenant=parse_token(parameters[b"t"], "t") if parameters.get(b"t") else "",
        order="" if not order_key.strip(b"0") else parse_token(order_key, "the key"),
        key=parse_token(parameters[b"k"], "k") if parameters.get(b"k") else "",
    )
    return message, body
