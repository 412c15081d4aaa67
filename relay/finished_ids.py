"""Ids of messages that are over, so that a request that a client repeats is not taken for a new message."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

MAX_IDS_OF_A_KIND = 4096


class FinishedIds:
    """The latest finished messages; those that were never sent do not crowd out those that were.

    A client can have thousands of messages refused in a second. Sent ones are as few as the endpoints take.
    """

    def __init__(self) -> None:
        self._sent: OrderedDict[str, None] = OrderedDict()  # oldest first, as in ``_unsent``
        self._unsent: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, ref: str) -> bool:
        return ref in self._sent or ref in self._unsent

    def add(self, ref: str, was_sent: bool) -> None:
        """Remember a message; the oldest one of its kind is forgotten where there are too many."""
        ids = self._sent if was_sent else self._unsent
        ids[ref] = None
        if len(ids) > MAX_IDS_OF_A_KIND:
            ids.popitem(last=False)

    def export(self) -> list[str]:
        """Return all ids, those of messages that were sent last: an importer may keep the last ones alone."""
        return [*self._unsent, *self._sent]

    def restore(self, refs: Iterable[str]) -> None:
        """Remember what another process exported."""
        refs = list(refs)
        for number, ref in enumerate(refs):
            self.add(ref, was_sent=len(refs) - number <= MAX_IDS_OF_A_KIND)
