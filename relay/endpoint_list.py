"""The list of hosts in discovery's form: read whole, or piece by piece where it is long.

A list of 31,000 hosts takes over a second to read and to apply. Done at once, that would hold every client
and every call for as long. So a long line is read by a bounded number of hosts at a time, and what it says is
told as bounded pieces, those first that must bind first. Nothing here does I/O.
"""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

from decisions.interface import Entry, Listing
from relay.http import Address

LOG = logging.getLogger(__name__)
LISTING_BY_HEALTH = {"SERVING": Listing.READY, "DRAINING": Listing.DRAINING, "DELETED": Listing.GONE}
LISTING_PRIORITY = (
    Listing.GONE,
    Listing.DRAINING,
    Listing.READY,
)  # what stops work comes before what allows it
HOSTS_ARRAY_START = re.compile(r'"hosts"\s*:\s*\[')
WHITESPACE = re.compile(r"\s*")


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """A host with the address under which this relay reaches it."""

    entry: Entry
    address: Address


@dataclass(frozen=True, slots=True)
class DirectoryUpdate:
    """One piece of news: the whole list, or what changed."""

    version: int
    whole: bool
    endpoints: tuple[ListedEndpoint, ...]


def parse_endpoint(raw: Any) -> ListedEndpoint | None:
    """One host; one that cannot be read is left out, for the others' sake."""
    try:
        address, _, port = str(raw["dial"]).rpartition(":")
        entry = Entry(
            host=str(raw["host"]),
            dest=int(raw["block"]),
            zone=str(raw.get("site", "")),
            kind=str(raw.get("class", "")),
            listing=LISTING_BY_HEALTH[raw["health"]],
            rate_hint=float(raw.get("share", 1.0)),
        )
        if not address or not 0 < int(port) < 65536:
            raise ValueError(f"no address: {raw['dial']!r}")
        return ListedEndpoint(entry, (address, int(port)))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        LOG.warning("discovery: a host that cannot be read was left out: %r", error)
        return None


def parse_list(raw: Any) -> DirectoryUpdate:
    """A list in discovery's form; ``ValueError`` where it is none."""
    try:
        hosts = [parse_endpoint(item) for item in raw["hosts"]]
        return DirectoryUpdate(int(raw["seq"]), bool(raw["whole"]), tuple(host for host in hosts if host))
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a list of hosts: {error!r}") from None


class IncrementalListParser:
    """One line of news, read by so many hosts at a time."""

    def __init__(self, line: bytes) -> None:
        """``ValueError`` where the line is no text."""
        self._text = line.decode()
        self._decode = json.JSONDecoder().raw_decode
        self._endpoints: list[ListedEndpoint] = []
        found = HOSTS_ARRAY_START.search(self._text)
        self._array_start = found.end() if found else 0
        self._position = self._skip_whitespace(self._array_start)
        self._done = found is None or self._text[self._position : self._position + 1] == "]"

    def parse(self, most: int) -> bool:
        """Read up to so many hosts more; whether all are read. ``ValueError`` where the line is no list."""
        for _ in range(most):
            if self._done:
                return True
            raw, end = self._decode(self._text, self._position)
            if (host := parse_endpoint(raw)) is not None:
                self._endpoints.append(host)
            self._skip_separator(end)
        return self._done

    def finish(self) -> DirectoryUpdate:
        """The list, once all hosts are read; ``ValueError`` where the line is no list.

        Where the hosts that were read are not the line's own, as its text is unlike any list seen so far,
        the line is read in one go.
        """
        rest = json.loads(f"{self._text[: self._array_start]}{self._text[self._position :]}")
        if not isinstance(rest, dict) or rest.get("hosts") != []:
            return parse_list(json.loads(self._text))
        return replace(parse_list(rest), endpoints=tuple(self._endpoints))

    def _skip_whitespace(self, at: int) -> int:
        blank = WHITESPACE.match(self._text, at)
        return blank.end() if blank else at

    def _skip_separator(self, at: int) -> None:
        """Go on behind a host: to the next one, or to the end of the array."""
        at = self._skip_whitespace(at)
        separator = self._text[at : at + 1]
        if separator == ",":
            self._position = self._skip_whitespace(at + 1)
        elif separator == "]":
            self._position, self._done = at, True
        else:
            raise ValueError(f"not a list of hosts: {separator!r} behind a host")


def ordered_changes(news: DirectoryUpdate, listed: Mapping[str, ListedEndpoint]) -> list[ListedEndpoint]:
    """What the news comes to as changes of the present list, the most urgent first.

    Of a host that is named twice the last word counts, as it would if they were applied in order.
    """
    changes = {host.entry.host: host for host in news.endpoints}
    if news.whole:
        left = [known for name, known in listed.items() if name not in changes]
        changes |= {known.entry.host: as_gone(known) for known in left}
    return sorted(changes.values(), key=lambda change: LISTING_PRIORITY.index(change.entry.listing))


def as_gone(listed: ListedEndpoint) -> ListedEndpoint:
    """The host as one that left the list."""
    return replace(listed, entry=replace(listed.entry, listing=Listing.GONE))


def split_changes(changes: list[ListedEndpoint], most: int) -> Iterator[tuple[ListedEndpoint, ...]]:
    """The changes in their order, so many at a time; one empty piece where there are none."""
    for at in range(0, max(1, len(changes)), most):
        yield tuple(changes[at : at + most])
