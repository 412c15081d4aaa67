"""A trace file with each change of a member's view, which the test lab checks."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from membership.messages import StateChanged

TRACE_FILE = "views.jsonl"


class ViewChange(msgspec.Struct, frozen=True):
    """A change of a view as it stands in the trace; the field names are the record's keys."""

    at_s: float  # monotonic clock, which all processes of a machine share
    generation: int  # of the member that writes the trace
    name: str
    state: str
    by: str  # the member that reported the state


def trace_writer(path: Path, generation: int) -> Callable[[StateChanged], None]:
    """A callback that appends each change of the view to the trace at ``path``."""
    file = path.open("ab", buffering=0)

    def write_change(change: StateChanged) -> None:
        update = change.update
        record = ViewChange(
            time.monotonic(), generation, update.name, update.state.name.lower(), update.reported_by
        )
        file.write(msgspec.json.encode(record) + b"\n")

    return write_change
