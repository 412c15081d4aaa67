"""What one process of a relay hands over to the next, beside clients and descriptors."""

from __future__ import annotations

import inspect
import logging
import sys
import zlib
from dataclasses import dataclass
from typing import Any

from decisions import DecisionEngine, ranked_queue, state
from decisions import interface as api
from decisions.interface import Settings
from relay import calls, endpoint_calls, endpoint_list
from relay.endpoint_calls import CallsHandover
from relay.endpoint_list import DirectoryUpdate, format_list, parse_list

LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class SameLayoutState:
    """State that only a process of the same layout can take over; it is pickled and not in the journal."""

    clock_offset_us: int
    module: DecisionEngine
    pending_events: list[api.Event]  # not yet passed to the module
    list_version: int  # version of the endpoint list, from which the next process watches on
    calls: CallsHandover


@dataclass(frozen=True, slots=True)
class AnyVersionState:
    """State that a process of any version can take over, as JSON; the field names are its keys."""

    over: list[str]  # ids of finished messages, by ``FinishedIds.export``
    waits: dict[str, float]  # by route: monotonic time in s until which an endpoint wants no calls
    ever: list[str]  # hosts that endpoint lists have named, latest last


@dataclass(frozen=True, slots=True)
class PortableState:
    """State for a process of another layout only, as JSON: one of the same layout gets it with the rest."""

    clock_offset_us: int
    endpoints: DirectoryUpdate  # the whole list

    def to_json(self) -> dict[str, Any]:
        """Return what ``from_json`` reads, in this and later versions."""
        formatted = format_list(self.endpoints.version, self.endpoints.endpoints)
        return {"clock_offset_us": self.clock_offset_us, "endpoints": formatted}

    @classmethod
    def from_json(cls, raw: Any) -> PortableState | None:
        """Return the state; None if an earlier version sent none, or, with a log line, if it is malformed."""
        if raw is None:
            return None
        try:
            return cls(int(raw["clock_offset_us"]), parse_list(raw["endpoints"]))
        except (KeyError, TypeError, ValueError) as error:
            LOG.error("handover: the list and the clock cannot be read: %r", error)
            return None


def layout(settings: Settings) -> str:
    """Identify the layout of ``SameLayoutState``: equal only where one process can use the other's state.

    It is a hash over the source text of every class in that state, including what the decision module stores,
    over this module's name, the settings and the Python version. The code that decides is left out and may
    differ.
    """
    texts = [
        inspect.getsource(part)
        for part in (
            state,
            ranked_queue,
            api,
            endpoint_list,
            calls,
            endpoint_calls,
            DecisionEngine.__init__,
            SameLayoutState,
        )
    ]
    text = "\0".join([*texts, __name__, repr(settings), sys.version]).encode()
    # A checksum is enough: both processes belong to the same user, so this guards against mistakes only, and
    # ``hashlib`` would load all of OpenSSL.
    return f"{len(text)}-{zlib.crc32(text):08x}-{zlib.adler32(text):08x}"
