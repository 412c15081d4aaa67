"""RESP2 requests: where each one ends, and whether it is an array of bulk strings.

Client libraries read answers and trust their server: hiredis takes a bulk string's length on its word,
whatever stands where its end should be, and makes room for an array of any length. Peers get no such trust.
"""

from __future__ import annotations

import re

MAX_VALUES = 16  # values of one request, nested ones counted
MAX_LINE_BYTES = 64  # bytes of a line that tells a length, or of a value that is one line
CRLF = b"\r\n"
LENGTH_PATTERN = re.compile(rb"-?[0-9]{1,9}")


class ProtocolError(ValueError):
    """Bytes that are no RESP2; where the next request starts is unknown."""


def read_line(data: bytes, at: int) -> tuple[bytes, int] | None:
    """The line that starts there and where the next one starts; None while it is not whole."""
    end = data.find(CRLF, at, at + MAX_LINE_BYTES)
    if end < 0:
        if len(data) - at >= MAX_LINE_BYTES:
            raise ProtocolError("a line without end")
        return None
    return data[at:end], end + len(CRLF)


def parse_length(line: bytes) -> int:
    """The length that a line tells; a negative one stands for nothing at all."""
    if not LENGTH_PATTERN.fullmatch(line, 1):
        raise ProtocolError(f"no length: {line!r}")
    return int(line[1:])


def parse_request(data: bytes, most: int) -> tuple[list[bytes] | None, int] | None:
    """The first request's words, or None where it is something else, and its end; None while it is not whole.

    ``most`` bounds a bulk string.
    """
    words: list[bytes] = []
    at, due, parts, proper = 0, 1, 0, data.startswith(b"*")
    while due:
        if at < len(data) and data[at] not in b"*$+-:":
            raise ProtocolError(f"no type of value: {data[at : at + 1]!r}")
        if (found := read_line(data, at)) is None:
            return None
        line, start = found
        due, proper = due - 1, proper and line[:1] in (b"$" if at else b"*")
        at = start
        if line[:1] not in (b"*", b"$"):
            continue
        length = parse_length(line)
        proper = proper and length >= 0
        if line[:1] == b"*":
            due, parts = due + max(0, length), parts + max(0, length)
            if parts > MAX_VALUES:
                raise ProtocolError("too many parts")
        elif length > most:
            raise ProtocolError("a bulk string without end")
        elif length >= 0:
            end = at + length
            if not CRLF.startswith(data[end : end + len(CRLF)]):
                raise ProtocolError("a bulk string of another length than told")
            if len(data) < end + len(CRLF):
                return None
            words.append(data[at:end])
            at = end + len(CRLF)
    return (words if proper and words else None), at


def min_request_size(data: bytes) -> int:
    """How many bytes there are at least once the first request is whole, of which ``data`` is a beginning.

    A peer may send a large value byte by byte. Read from its start with each of them, the request would cost
    the square of its length; with this many it is worth another look, for its end or for a wrong one.
    """
    at = 0
    while (found := read_line(data, at)) is not None:
        line, at = found
        if line[:1] == b"$" and (length := parse_length(line)) >= 0:
            at += length + len(CRLF)
            if at > len(data):
                return max(len(data), at - len(CRLF)) + 1
    return len(data) + 1
