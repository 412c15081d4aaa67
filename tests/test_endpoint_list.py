"""A long list parsed and applied in pieces has the same effect as at once, and urgent changes come first."""

from __future__ import annotations

import json
from collections.abc import Callable
from itertools import chain
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from decisions import interface as api
from decisions.engine import DecisionEngine
from relay.discovery import LineBuffer, line_limit_for_memory
from relay.endpoint_list import (
    DirectoryUpdate,
    IncrementalListParser,
    ListedEndpoint,
    ordered_changes,
    parse_list,
    split_changes,
)
from tests.support import entry, settings
from tests.test_endpoint_calls import Calls

HEALTH = ("SERVING", "DRAINING", "DELETED")
PORT = 6379


def raw_endpoint(host: str, health: str = "SERVING", block: int = 1) -> dict[str, Any]:
    """An endpoint in the directory's format."""
    dial = f"10.0.0.1:{PORT}"
    return {"host": host, "dial": dial, "site": "a", "class": "plain", "block": block, "health": health}


def listed_endpoint(host: str, listing: api.Listing = api.Listing.READY, dest: int = 1) -> ListedEndpoint:
    """An endpoint as it is listed."""
    return ListedEndpoint(entry(host, dest, listing=listing), ("10.0.0.1", PORT))


def parse_by(line: bytes, max_endpoints: int) -> DirectoryUpdate:
    """Parse a line up to so many endpoints at a time."""
    parser = IncrementalListParser(line)
    while not parser.parse(max_endpoints):
        pass
    return parser.finish()


raw_endpoints = st.lists(
    st.builds(raw_endpoint, st.sampled_from("abcdefgh"), st.sampled_from(HEALTH), st.integers(0, 3)),
    max_size=12,
)
indents = st.sampled_from([None, 0, 1, 4])


@given(raw_endpoints, st.booleans(), st.integers(1, 5), indents, st.permutations(["seq", "whole", "hosts"]))
def test_a_line_read_by_parts_says_the_same(
    endpoints: list[dict[str, Any]], whole: bool, max_endpoints: int, indent: int | None, order: list[str]
) -> None:
    """For any order of its keys, indented or not, with a malformed endpoint in it."""
    values = {"seq": 7, "whole": whole, "hosts": [*endpoints, {"host": "unreadable"}, raw_endpoint("last")]}
    line = json.dumps({key: values[key] for key in order}, indent=indent).encode()
    assert parse_by(line, max_endpoints) == parse_list(json.loads(line))


@pytest.mark.parametrize(
    "text",
    [
        '{"seq":1,"whole":true,"hosts":[]}',
        '{"seq":1,"whole":true,"hosts" : [ ] , "more":{"hosts":[]}}',
        '{"more":{"hosts":[]},"seq":1,"whole":true,"hosts":[]}',
    ],
)
def test_lines_unlike_the_usual_are_read_too(text: str) -> None:
    assert parse_by(text.encode(), 2) == DirectoryUpdate(1, True, ())


def test_hosts_that_are_not_the_lines_own_do_not_count() -> None:
    inner, outer = raw_endpoint("inner"), raw_endpoint("outer")
    raw = {"more": {"hosts": [inner]}, "seq": 1, "whole": True, "hosts": [outer]}
    update = parse_by(json.dumps(raw).encode(), 1)
    assert [endpoint.entry.host for endpoint in update.endpoints] == ["outer"]


@pytest.mark.parametrize(
    "text",
    [
        "",
        "nonsense",
        '{"seq":1,"whole":true}',
        '{"seq":1,"whole":true,"hosts":[',
        '{"seq":1,"whole":true,"hosts":[{"host":"a"} {"host":"b"}]}',
        '{"seq":1,"whole":true,"hosts":[{"host":"a"},]}',
        '{"whole":true,"hosts":[]}',
    ],
)
def test_what_is_no_list_raises(text: str) -> None:
    with pytest.raises(ValueError, match=r"."):
        parse_by(text.encode(), 2)


def test_a_reader_takes_no_more_hosts_at_a_time_than_it_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    line = json.dumps({"seq": 1, "whole": True, "hosts": [raw_endpoint(f"h{n}") for n in range(10)]}).encode()
    parser, rounds = IncrementalListParser(line), 1
    while not parser.parse(3):
        rounds += 1
    assert rounds == 4
    assert len(parser.finish().endpoints) == 10


listed_endpoints = st.builds(
    listed_endpoint, st.sampled_from("abcdefgh"), st.sampled_from(list(api.Listing)), st.integers(0, 3)
)


def apply_to_both(
    apply: Callable[[Calls, DecisionEngine], None], known: list[ListedEndpoint]
) -> tuple[dict[str, ListedEndpoint], Any]:
    """Return the endpoints that EndpointCalls and the module hold after an update of those known before."""
    calls, module = Calls(1), DecisionEngine(settings(), 1)
    if known:
        calls.endpoint_calls.apply_update(DirectoryUpdate(1, True, tuple(known)))
        module.step(
            0, [api.EndpointUpdate(api.EndpointUpdateKind.CACHED, tuple(item.entry for item in known))]
        )
    apply(calls, module)
    ready = {
        host: (endpoint.listing, endpoint.dest, endpoint.joined_late, endpoint.quota)
        for host, endpoint in module.endpoints.items()
        if endpoint.listing is not api.Listing.GONE
    }
    return calls.endpoint_calls.endpoints, ready


@given(
    st.lists(listed_endpoints, max_size=8),
    st.lists(listed_endpoints, max_size=8),
    st.booleans(),
    st.integers(1, 3),
)
async def test_pieces_come_to_the_same_as_the_news_at_once(
    known: list[ListedEndpoint], endpoints: list[ListedEndpoint], whole: bool, max_size: int
) -> None:
    """In EndpointCalls and in the module, also where nothing was known or nothing is left."""
    known = [item for item in known if item.entry.listing is not api.Listing.GONE]
    update = DirectoryUpdate(2, whole, tuple(endpoints))

    def at_once(calls: Calls, module: DecisionEngine) -> None:
        # If an endpoint is named twice, its last entry counts.
        changes = {item.entry.host: item for item in endpoints}
        entries = tuple(item.entry for item in changes.values())
        calls.endpoint_calls.apply_update(update)
        kind = api.EndpointUpdateKind.WHOLE if whole else api.EndpointUpdateKind.CHANGES
        module.step(5_000, [api.EndpointUpdate(kind, entries)])

    def by_pieces(calls: Calls, module: DecisionEngine) -> None:
        for number, piece in enumerate(
            split_changes(ordered_changes(update, calls.endpoint_calls.endpoints), max_size)
        ):
            assert len(piece) <= max_size
            calls.endpoint_calls.apply_update(DirectoryUpdate(2, False, piece))
            entries = tuple(item.entry for item in piece)
            module.step(
                5_000 * (number + 1),
                [api.EndpointUpdate(api.EndpointUpdateKind.CHANGES, entries, number > 0)],
            )

    assert apply_to_both(by_pieces, known) == apply_to_both(at_once, known)


@given(st.lists(listed_endpoints, max_size=12), st.lists(listed_endpoints, max_size=12))
def test_what_goes_or_drains_comes_before_what_serves(
    known: list[ListedEndpoint], endpoints: list[ListedEndpoint]
) -> None:
    before = {item.entry.host: item for item in known if item.entry.listing is not api.Listing.GONE}
    changes = ordered_changes(DirectoryUpdate(2, True, tuple(endpoints)), before)
    order = [item.entry.listing for item in changes]
    priority = [api.Listing.GONE, api.Listing.DRAINING, api.Listing.READY]
    assert order == sorted(order, key=priority.index)
    gone = {item.entry.host for item in changes if item.entry.listing is api.Listing.GONE}
    assert before.keys() - {item.entry.host for item in endpoints} <= gone


def test_news_without_a_change_is_one_empty_piece() -> None:
    assert list(split_changes([], 5)) == [()]


@given(st.lists(st.binary(max_size=6), max_size=12))
def test_lines_are_the_same_however_their_bytes_are_cut(parts: list[bytes]) -> None:
    buffer = LineBuffer(1000)
    found = list(chain.from_iterable(buffer.feed(part) for part in parts))
    *lines, rest = b"".join(parts).split(b"\n")
    assert found == lines
    assert len(buffer) == len(rest)


@pytest.mark.parametrize(
    "parts", [[b"x" * 11], [b"x" * 6, b"x" * 5], [b"x" * 11 + b"\n"], [b"x" * 6, b"xxxxx\n"]]
)
def test_a_line_beyond_the_bound_is_refused(parts: list[bytes]) -> None:
    buffer = LineBuffer(10)
    with pytest.raises(ValueError, match="a line of over 10 bytes"):
        for part in parts:
            buffer.feed(part)


def test_the_bound_on_a_line_follows_the_memory() -> None:
    assert line_limit_for_memory(32_000_000) == 1 << 20
    assert line_limit_for_memory(400_000_000) == 10_000_000
