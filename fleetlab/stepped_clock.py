"""Runs a program with a wall clock that steps by hours, ``python -m fleetlab.stepped_clock CONFIG``.

The first line of the configuration names the program: ``# runs: MODULE``. The monotonic clock is not changed.
"""

from __future__ import annotations

import datetime
import runpy
import sys
import time
from pathlib import Path

STEP_PERIOD_S = 0.7  # between two steps
STEP_S = 5 * 3600.0
_real_time = time.time
_real_time_ns = time.time_ns


def offset_s() -> float:
    """Return the present offset of the wall clock: -5 h, 0 or +5 h, in turn."""
    return STEP_S * (int(time.monotonic() / STEP_PERIOD_S) % 3 - 1)


def run_with_stepped_clock(module: str) -> None:
    """Run a module as the main program of this process with a stepped wall clock."""

    def seconds() -> float:
        return _real_time() + offset_s()

    def nanoseconds() -> int:
        return _real_time_ns() + int(offset_s() * 1e9)

    class Stepped(datetime.datetime):
        """``datetime.datetime`` by the stepped clock."""

        @classmethod
        def now(cls, tz: datetime.tzinfo | None = None) -> Stepped:
            """Return the stepped time."""
            return cls.fromtimestamp(seconds(), tz)

    time.time, time.time_ns = seconds, nanoseconds
    vars(datetime)["datetime"] = Stepped
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    line = Path(sys.argv[1]).read_text(encoding="utf-8").partition("\n")[0]
    run_with_stepped_clock(line.removeprefix("# runs: "))
