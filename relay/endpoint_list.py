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
STATES = {"SERVING": Listing.READY, "DRAINING": Listing.DRAINING, "DELETED": Listing.GONE}
URGENCY = (Listing.GONE, Listing.DRAINING, Listing.READY)  # what stops work comes before what allows it
HOSTS_KEY = re.compile(r'"hosts"\s*:\s*\[')
BLANK = re.compile(r"\s*")


@dataclass(frozen=True, slots=True)
class Listed:
    """A host with the address under which this relay reaches it."""

    entry: Entry
    dial: Address


@dataclass(frozen=True, slots=True)
class HostList:
    """One piece of news: the whole list, or what changed."""

    seq: int
    whole: bool
    hosts: tuple[Listed, ...]


def read_host(raw: Any) -> Listed | None:
    """One host; one that cannot be read is left out, for the others' sake."""
    try:
        address, _, port = str(raw["dial"]).rpartition(":")
        entry = Entry(
            host=str(raw["host"]),
            dest=int(raw["block"]),
            zone=str(raw.get("site", "")),
            kind=str(raw.get("class", "")),
            listing=STATES[raw["health"]],
            rate_hint=float(raw.get("share", 1.0)),
        )
        if not address or not 0 < int(port) < 65536:
            raise ValueError(f"no address: {raw['dial']!r}")
        return Listed(entry, (address, int(port)))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        LOG.warning("discovery: a host that cannot be read was left out: %r", error)
        return None


def read_list(raw: Any) -> HostList:
    """A list in discovery's form; ``ValueError`` where it is none."""
    try:
        hosts = [read_host(item) for item in raw["hosts"]]
        return HostList(int(raw["seq"]), bool(raw["whole"]), tuple(host for host in hosts if host))
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a list of hosts: {error!r}") from None


class ListReader:
    """One line of news, read by so many hosts at a time."""

    def __init__(self, line: bytes) -> None:
        """``ValueError`` where the line is no text."""
        self._text = line.decode()
        self._decode = json.JSONDecoder().raw_decode
        self._hosts: list[Listed] = []
        found = HOSTS_KEY.search(self._text)
        self._array_at = found.end() if found else 0
        self._at = self._after_blank(self._array_at)
        self._done = found is None or self._text[self._at : self._at + 1] == "]"

    def read(self, most: int) -> bool:
        """Read up to so many hosts more; whether all are read. ``ValueError`` where the line is no list."""
        for _ in range(most):
            if self._done:
                return True
            raw, end = self._decode(self._text, self._at)
            if (host := read_host(raw)) is not None:
                self._hosts.append(host)
            self._pass_separator(end)
        return self._done

    def news(self) -> HostList:
        """The list, once all hosts are read; ``ValueError`` where the line is no list.

        Where the hosts that were read are not the line's own, as its text is unlike any list seen so far,
        the line is read in one go.
        """
        rest = json.loads(f"{self._text[: self._array_at]}{self._text[self._at :]}")
        if not isinstance(rest, dict) or rest.get("hosts") != []:
            return read_list(json.loads(self._text))
        return replace(read_list(rest), hosts=tuple(self._hosts))

    def _after_blank(self, at: int) -> int:
        blank = BLANK.match(self._text, at)
        return blank.end() if blank else at

    def _pass_separator(self, at: int) -> None:
        """Go on behind a host: to the next one, or to the end of the array."""
        at = self._after_blank(at)
        separator = self._text[at : at + 1]
        if separator == ",":
            self._at = self._after_blank(at + 1)
        elif separator == "]":
            self._at, self._done = at, True
        else:
            raise ValueError(f"not a list of hosts: {separator!r} behind a host")


def changes_of(news: HostList, listed: Mapping[str, Listed]) -> list[Listed]:
    """What the news comes to as changes of the present list, the most urgent first.

    Of a host that is named twice the last word counts, as it would if they were applied in order.
    """
    changes = {host.entry.host: host for host in news.hosts}
    if news.whole:
        left = [known for name, known in listed.items() if name not in changes]
        changes |= {known.entry.host: gone(known) for known in left}
    return sorted(changes.values(), key=lambda change: URGENCY.index(change.entry.listing))


def gone(listed: Listed) -> Listed:
    """The host as one that left the list."""
    return replace(listed, entry=replace(listed.entry, listing=Listing.GONE))


def pieces(changes: list[Listed], most: int) -> Iterator[tuple[Listed, ...]]:
    """The changes in their order, so many at a time; one empty piece where there are none."""
    for at in range(0, max(1, len(changes)), most):
        yield tuple(changes[at : at + most])
