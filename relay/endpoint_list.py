"""The endpoint list in the directory's format: parsed at once, or incrementally if it is long.

A list of 31,000 endpoints takes over a second to parse and to apply. Done in one go, that would stop all
clients and calls for as long. So a long line is parsed a bounded number of endpoints at a time, and its
changes are applied in bounded pieces, the most urgent first. Nothing here does I/O.
"""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

from decisions.interface import Entry, Listing
from relay.http import Address

LOG = logging.getLogger(__name__)
LISTING_BY_HEALTH = {"SERVING": Listing.READY, "DRAINING": Listing.DRAINING, "DELETED": Listing.GONE}
HEALTH_BY_LISTING = {listing: health for health, listing in LISTING_BY_HEALTH.items()}
# The order in which changes are applied: those that stop calls come before those that allow them.
LISTING_PRIORITY = (
    Listing.GONE,
    Listing.DRAINING,
    Listing.READY,
)
HOSTS_ARRAY_START = re.compile(r'"hosts"\s*:\s*\[')
WHITESPACE = re.compile(r"\s*")


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint of the list and the address at which this relay reaches it."""

    entry: Entry
    address: Address


@dataclass(frozen=True, slots=True)
class DirectoryUpdate:
    """One update from the directory: the whole list, or the endpoints that changed."""

    version: int
    whole: bool  # whether endpoints that are not named have left the list
    endpoints: tuple[ListedEndpoint, ...]


def parse_endpoint(raw: Any) -> ListedEndpoint | None:
    """Parse one endpoint; a malformed one is logged and gives None, so that the others still count."""
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
            raise ValueError(f"dial is not HOST:PORT with a port from 1 to 65535: {raw['dial']!r}")
        return ListedEndpoint(entry, (address, int(port)))
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        LOG.warning("discovery: malformed endpoint left out of the list: %r", error)
        return None


def parse_list(raw: Any) -> DirectoryUpdate:
    """Parse a list in the directory's format; raises ``ValueError`` if it is not one."""
    try:
        endpoints = [parse_endpoint(item) for item in raw["hosts"]]
        return DirectoryUpdate(int(raw["seq"]), bool(raw["whole"]), tuple(item for item in endpoints if item))
    except (KeyError, TypeError, OverflowError) as error:
        raise ValueError(f"not a list of hosts: {error!r}") from None


def format_list(version: int, endpoints: Iterable[ListedEndpoint]) -> dict[str, Any]:
    """Return a whole list in the directory's format, for ``parse_list``."""
    hosts = [
        {
            "host": listed.entry.host,
            "dial": f"{listed.address[0]}:{listed.address[1]}",
            "site": listed.entry.zone,
            "class": listed.entry.kind,
            "block": listed.entry.dest,
            "health": HEALTH_BY_LISTING[listed.entry.listing],
            "share": listed.entry.rate_hint,
        }
        for listed in endpoints
    ]
    return {"seq": version, "whole": True, "hosts": hosts}


class IncrementalListParser:
    """Parses one line with a list, a bounded number of endpoints at a time."""

    def __init__(self, line: bytes) -> None:
        """Raises ``ValueError`` if the line is not UTF-8."""
        self._text = line.decode()
        self._decode = json.JSONDecoder().raw_decode
        self._endpoints: list[ListedEndpoint] = []
        found = HOSTS_ARRAY_START.search(self._text)
        self._array_start = found.end() if found else 0
        self._position = self._skip_whitespace(self._array_start)
        self._done = found is None or self._text[self._position : self._position + 1] == "]"

    def parse(self, max_endpoints: int) -> bool:
        """Parse up to so many more endpoints; return whether all are parsed.

        Raises ``ValueError`` if the line is not a list.
        """
        for _ in range(max_endpoints):
            if self._done:
                return True
            raw, end = self._decode(self._text, self._position)
            if (endpoint := parse_endpoint(raw)) is not None:
                self._endpoints.append(endpoint)
            self._skip_separator(end)
        return self._done

    def finish(self) -> DirectoryUpdate:
        """Return the list once all endpoints are parsed; raises ``ValueError`` if the line is not a list.

        The parser starts at the first "hosts" array in the text. If that is not the array of the line's own
        top-level object, the whole line is parsed in one go.
        """
        rest = json.loads(f"{self._text[: self._array_start]}{self._text[self._position :]}")
        if not isinstance(rest, dict) or rest.get("hosts") != []:
            return parse_list(json.loads(self._text))
        return replace(parse_list(rest), endpoints=tuple(self._endpoints))

    def _skip_whitespace(self, position: int) -> int:
        """Return the position of the next character that is not white space."""
        match = WHITESPACE.match(self._text, position)
        return match.end() if match else position

    def _skip_separator(self, position: int) -> None:
        """Move past the separator after an endpoint: to the next one, or to the end of the array."""
        position = self._skip_whitespace(position)
        separator = self._text[position : position + 1]
        if separator == ",":
            self._position = self._skip_whitespace(position + 1)
        elif separator == "]":
            self._position, self._done = position, True
        else:
            raise ValueError(f"not a list of hosts: neither ',' nor ']' but {separator!r} after a host")


def ordered_changes(update: DirectoryUpdate, listed: Mapping[str, ListedEndpoint]) -> list[ListedEndpoint]:
    """Return an update as changes of the list ``listed``, by host, the most urgent first.

    If an endpoint is named twice, its last entry counts, as if the entries were applied in order.
    """
    changes = {endpoint.entry.host: endpoint for endpoint in update.endpoints}
    if update.whole:
        removed = [known for host, known in listed.items() if host not in changes]
        changes |= {known.entry.host: as_gone(known) for known in removed}
    return sorted(changes.values(), key=lambda change: LISTING_PRIORITY.index(change.entry.listing))


def as_gone(listed: ListedEndpoint) -> ListedEndpoint:
    """Return the endpoint as one that has left the list."""
    return replace(listed, entry=replace(listed.entry, listing=Listing.GONE))


def split_changes(changes: list[ListedEndpoint], max_size: int) -> Iterator[tuple[ListedEndpoint, ...]]:
    """Yield the changes in order in pieces of up to ``max_size``; one empty piece if there are none."""
    for start in range(0, max(1, len(changes)), max_size):
        yield tuple(changes[start : start + max_size])
