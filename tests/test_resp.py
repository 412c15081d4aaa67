"""Requests as bytes: what is one, what is none, and where it ends."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from relay.resp import ProtocolError, min_request_size, parse_request
from standins.scripted import packed

MOST = 1000


@given(st.lists(st.binary(max_size=40), min_size=1, max_size=16), st.binary(max_size=20))
def test_a_request_is_read_whole_and_no_further(words: list[bytes], rest: bytes) -> None:
    data = packed(*words)
    assert parse_request(data + rest, MOST) == (words, len(data))
    assert all(parse_request(data[:size], MOST) is None for size in range(len(data)))


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
def test_bytes_that_are_no_resp_are_told(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        parse_request(data, MOST)


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
def test_other_values_are_no_requests_and_have_an_end(data: bytes) -> None:
    assert parse_request(data + b"*1\r\n", MOST) == (None, len(data))


@profile(deadline=None, derandomize=True, database=None)
@given(st.lists(st.binary(max_size=200), min_size=1, max_size=6))
def test_looking_only_at_the_sizes_that_are_told_misses_nothing(words: list[bytes]) -> None:
    """Byte by byte: found with the same byte as before, and nothing is looked at for the bytes of a value."""
    data = packed(*words)
    looks, least = 0, 0
    for size in range(1, len(data) + 1):
        if size < least:
            continue
        looks += 1
        if parse_request(data[:size], MOST) is not None:
            assert size == len(data)
            break
        least = min_request_size(data[:size])
        assert least > size
    else:
        raise AssertionError("missed")
    assert looks <= len(data) - sum(map(len, words))


def test_a_wrong_end_is_found_with_its_first_byte() -> None:
    begun = b"*1\r\n$500\r\n" + bytes(400)
    least = min_request_size(begun)
    with pytest.raises(ProtocolError):
        parse_request(begun + bytes(least - len(begun)), MOST)
