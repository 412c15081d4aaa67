"""A program whose wall clock steps by hours, ``python -m fleetlab.stepped_clock CONFIG``.

The first line of the configuration names the program: ``# runs: MODULE``. Its monotonic clock stays as it is.
"""

from __future__ import annotations

import datetime
import runpy
import sys
import time
from pathlib import Path

STEP_PERIOD_S, STEP_S = 0.7, 5 * 3600.0
_real_time, _real_time_ns = time.time, time.time_ns


def offset_s() -> float:
    """Forth and back by hours, again and again."""
    return STEP_S * (int(time.monotonic() / STEP_PERIOD_S) % 3 - 1)


def run_with_stepped_clock(module: str) -> None:
    """Run a module in this process, with a wall clock that steps."""

    def seconds() -> float:
        return _real_time() + offset_s()

    def nanoseconds() -> int:
        return _real_time_ns() + int(offset_s() * 1e9)

    class Stepped(datetime.datetime):
        """Dates by the same clock."""

        @classmethod
        def now(cls, tz: datetime.tzinfo | None = None) -> Stepped:
            """As it shows now."""
            return cls.fromtimestamp(seconds(), tz)

    time.time, time.time_ns = seconds, nanoseconds
    vars(datetime)["datetime"] = Stepped
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    line = Path(sys.argv[1]).read_text(encoding="utf-8").partition("\n")[0]
    run_with_stepped_clock(line.removeprefix("# runs: "))
