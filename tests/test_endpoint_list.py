"""A long list read and told by pieces: it comes to the same as in one go, and what binds comes first."""

from __future__ import annotations

import json
from collections.abc import Callable
from itertools import chain
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from decisions import interface as api
from decisions.engine import Relay
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


def told_host(name: str, health: str = "SERVING", block: int = 1) -> dict[str, Any]:
    """A host in discovery's form."""
    dial = f"10.0.0.1:{PORT}"
    return {"host": name, "dial": dial, "site": "a", "class": "plain", "block": block, "health": health}


def listed(name: str, listing: api.Listing = api.Listing.READY, dest: int = 1) -> ListedEndpoint:
    """A host as it is listed."""
    return ListedEndpoint(entry(name, dest, listing=listing), ("10.0.0.1", PORT))


def read_by(line: bytes, most: int) -> DirectoryUpdate:
    """A line read by so many hosts at a time."""
    reader = IncrementalListParser(line)
    while not reader.parse(most):
        pass
    return reader.finish()


hosts = st.lists(
    st.builds(told_host, st.sampled_from("abcdefgh"), st.sampled_from(HEALTH), st.integers(0, 3)), max_size=12
)
indents = st.sampled_from([None, 0, 1, 4])


@given(hosts, st.booleans(), st.integers(1, 5), indents, st.permutations(["seq", "whole", "hosts"]))
def test_a_line_read_by_parts_says_the_same(
    some: list[dict[str, Any]], whole: bool, most: int, indent: int | None, order: list[str]
) -> None:
    """Whatever the order of its keys, indented or not, with a host that cannot be read."""
    values = {"seq": 7, "whole": whole, "hosts": [*some, {"host": "unreadable"}, told_host("last")]}
    line = json.dumps({key: values[key] for key in order}, indent=indent).encode()
    assert read_by(line, most) == parse_list(json.loads(line))


@pytest.mark.parametrize(
    "text",
    [
        '{"seq":1,"whole":true,"hosts":[]}',
        '{"seq":1,"whole":true,"hosts" : [ ] , "more":{"hosts":[]}}',
        '{"more":{"hosts":[]},"seq":1,"whole":true,"hosts":[]}',
    ],
)
def test_lines_unlike_the_usual_are_read_too(text: str) -> None:
    assert read_by(text.encode(), 2) == DirectoryUpdate(1, True, ())


def test_hosts_that_are_not_the_lines_own_do_not_count() -> None:
    inner, outer = told_host("inner"), told_host("outer")
    raw = {"more": {"hosts": [inner]}, "seq": 1, "whole": True, "hosts": [outer]}
    found = read_by(json.dumps(raw).encode(), 1)
    assert [host.entry.host for host in found.endpoints] == ["outer"]


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
        read_by(text.encode(), 2)


def test_a_reader_takes_no_more_hosts_at_a_time_than_it_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    line = json.dumps({"seq": 1, "whole": True, "hosts": [told_host(f"h{n}") for n in range(10)]}).encode()
    reader, turns = IncrementalListParser(line), 1
    while not reader.parse(3):
        turns += 1
    assert turns == 4
    assert len(reader.finish().endpoints) == 10


listings = st.builds(
    listed, st.sampled_from("abcdefgh"), st.sampled_from(list(api.Listing)), st.integers(0, 3)
)


def follow(
    feed: Callable[[Calls, Relay], None], known: list[ListedEndpoint]
) -> tuple[dict[str, ListedEndpoint], Any]:
    """What the network code and the module hold after some news, with what they knew before."""
    calls, module = Calls(1), Relay(settings(), 1)
    if known:
        calls.endpoint_calls.apply_update(DirectoryUpdate(1, True, tuple(known)))
        module.step(
            0, [api.EndpointUpdate(api.EndpointUpdateKind.CACHED, tuple(item.entry for item in known))]
        )
    feed(calls, module)
    ready = {
        host: (endpoint.listing, endpoint.dest, endpoint.joined_late, endpoint.quota)
        for host, endpoint in module.endpoints.items()
        if endpoint.listing is not api.Listing.GONE
    }
    return calls.endpoint_calls.endpoints, ready


@given(st.lists(listings, max_size=8), st.lists(listings, max_size=8), st.booleans(), st.integers(1, 3))
async def test_pieces_come_to_the_same_as_the_news_at_once(
    known: list[ListedEndpoint], hosts: list[ListedEndpoint], whole: bool, most: int
) -> None:
    """For the network code and for the module, also where nothing was known or nothing is left."""
    known = [item for item in known if item.entry.listing is not api.Listing.GONE]
    news = DirectoryUpdate(2, whole, tuple(hosts))

    def at_once(calls: Calls, module: Relay) -> None:
        changes = {item.entry.host: item for item in hosts}  # of a host that is named twice the last counts
        entries = tuple(item.entry for item in changes.values())
        calls.endpoint_calls.apply_update(news)
        kind = api.EndpointUpdateKind.WHOLE if whole else api.EndpointUpdateKind.CHANGES
        module.step(5_000, [api.EndpointUpdate(kind, entries)])

    def by_pieces(calls: Calls, module: Relay) -> None:
        for number, piece in enumerate(
            split_changes(ordered_changes(news, calls.endpoint_calls.endpoints), most)
        ):
            assert len(piece) <= most
            calls.endpoint_calls.apply_update(DirectoryUpdate(2, False, piece))
            entries = tuple(item.entry for item in piece)
            module.step(
                5_000 * (number + 1),
                [api.EndpointUpdate(api.EndpointUpdateKind.CHANGES, entries, number > 0)],
            )

    assert follow(by_pieces, known) == follow(at_once, known)


@given(st.lists(listings, max_size=12), st.lists(listings, max_size=12))
def test_what_goes_or_drains_comes_before_what_serves(
    known: list[ListedEndpoint], hosts: list[ListedEndpoint]
) -> None:
    before = {item.entry.host: item for item in known if item.entry.listing is not api.Listing.GONE}
    changes = ordered_changes(DirectoryUpdate(2, True, tuple(hosts)), before)
    order = [item.entry.listing for item in changes]
    urgency = [api.Listing.GONE, api.Listing.DRAINING, api.Listing.READY]
    assert order == sorted(order, key=urgency.index)
    gone = {item.entry.host for item in changes if item.entry.listing is api.Listing.GONE}
    assert before.keys() - {item.entry.host for item in hosts} <= gone


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
