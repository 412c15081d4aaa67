"""Each change of a member's view, written down for a proving ground."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from membership.messages import StateChanged

TRACE_FILE = "views.jsonl"


class ViewChange(msgspec.Struct, frozen=True):
    """A change of a view as it is written down; all processes of a machine share the clock."""

    at_s: float
    generation: int  # of the member that holds it
    name: str
    state: str
    by: str


def trace_writer(path: Path, generation: int) -> Callable[[StateChanged], None]:
    """Write each change of the view behind the others."""
    file = path.open("ab", buffering=0)

    def changed(change: StateChanged) -> None:
        update = change.update
        seen = ViewChange(
            time.monotonic(), generation, update.name, update.state.name.lower(), update.reported_by
        )
        file.write(msgspec.json.encode(seen) + b"\n")

    return changed
