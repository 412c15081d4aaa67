"""The RESP2 parser: which bytes are a request, and where it ends."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from relay.resp import ProtocolError, min_request_size, parse_request
from standins.scripted import encode_command

MAX_BULK_BYTES = 1000


@given(st.lists(st.binary(max_size=40), min_size=1, max_size=16), st.binary(max_size=20))
def test_a_request_is_parsed_only_when_complete_and_not_beyond_its_end(
    words: list[bytes], rest: bytes
) -> None:
    data = encode_command(*words)
    assert parse_request(data + rest, MAX_BULK_BYTES) == (words, len(data))
    assert all(parse_request(data[:size], MAX_BULK_BYTES) is None for size in range(len(data)))


@pytest.mark.parametrize(
    "data",
    [
        b"*1\r\n$4\r\nabcdefgh\r\n",
        b"*1\r\n$4\r\nabcdX",
        b"*1\r\n$4\r\nabcd\rX",
        b"*1\r\n$4\r\nabcdXX*1\r\n$4\r\nPING\r\n",
        b"*1\r\n$1001\r\n",
        b"*1\r\n$x\r\n",
        b"*17\r\n",
        b"*1\r\n*1000000000\r\n",
        b"*2\r\n$1\r\na\r\n*999999999\r\n",
        b"*1\r\n" * 17,
        b"nonsense",
        b"#f\r\n",
        b"+" + b"y" * 64,
    ],
)
def test_bytes_that_are_not_resp2_raise_a_protocol_error(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        parse_request(data, MAX_BULK_BYTES)


@pytest.mark.parametrize(
    "data",
    [
        b"+word\r\n",
        b":1\r\n",
        b"$1\r\na\r\n",
        b"$-1\r\n",
        b"*0\r\n",
        b"*-3\r\n",
        b"*2\r\n:1\r\n:2\r\n",
        b"*1\r\n$-1\r\n",
        b"*2\r\n*1\r\n$1\r\na\r\n$1\r\nb\r\n",
    ],
)
def test_other_values_are_not_requests_but_their_end_is_found(data: bytes) -> None:
    assert parse_request(data + b"*1\r\n", MAX_BULK_BYTES) == (None, len(data))


@profile(deadline=None, derandomize=True, database=None)
@given(st.lists(st.binary(max_size=200), min_size=1, max_size=6))
def test_parsing_only_from_the_minimum_size_on_finds_the_same_end(words: list[bytes]) -> None:
    """The data grows byte by byte; no byte inside a value may cause another attempt to parse."""
    data = encode_command(*words)
    attempts = 0
    min_size = 0
    for size in range(1, len(data) + 1):
        if size < min_size:
            continue
        attempts += 1
        if parse_request(data[:size], MAX_BULK_BYTES) is not None:
            assert size == len(data)
            break
        min_size = min_request_size(data[:size])
        assert min_size > size
    else:
        raise AssertionError("the request was not found")
    assert attempts <= len(data) - sum(map(len, words))


def test_a_value_with_a_wrong_end_is_rejected_at_the_first_wrong_byte() -> None:
    beginning = b"*1\r\n$500\r\n" + bytes(400)
    min_size = min_request_size(beginning)
    with pytest.raises(ProtocolError):
        parse_request(beginning + bytes(min_size - len(beginning)), MAX_BULK_BYTES)
