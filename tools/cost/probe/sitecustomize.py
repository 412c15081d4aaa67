"""Counts inside the measured process. On SIGUSR1 it appends a line of JSON to the file ``$COST_PROBE``.

From the first signal to the second, the third to the fourth and so on, function calls are profiled too; the
profile is written to ``$COST_PROBE.profile``.

Python loads this file when it starts because the tool puts this folder on ``PYTHONPATH``. The relay's files
are not changed, so every revision is measured in the same way. Tracing memory slows a process down: runs with
this probe give counts and bytes, but no times.
"""

import cProfile
import json
import os
import signal
import sys
import tracemalloc
from typing import Any

_write = os.write
_journal = {"writes": 0, "bytes": 0}
_profiles: list[cProfile.Profile] = []  # the running profile, if any


def _counting_write(fd: int, data: Any) -> int:
    """Replaces ``os.write``; counts the calls from the journal's module."""
    written = _write(fd, data)
    if os.path.basename(sys._getframe(1).f_code.co_filename) == "journal.py":
        _journal["writes"] += 1
        _journal["bytes"] += written
    return written


def _report(_number: int, _frame: Any) -> None:
    """Write the counts, and start or stop profiling; the handler of SIGUSR1."""
    calls = 0
    if _profiles:
        profile = _profiles.pop()
        profile.disable()
        calls = sum(entry.callcount for entry in profile.getstats())
        profile.dump_stats(os.environ["COST_PROBE"] + ".profile")
    traced, peak = tracemalloc.get_traced_memory()
    counts = {
        "journal_writes": _journal["writes"],
        "journal_bytes": _journal["bytes"],
        "python_bytes": traced,
        "python_peak_bytes": peak,
        "python_calls": calls,
        "python_blocks": sys.getallocatedblocks(),
    }
    with open(os.environ["COST_PROBE"], "a", encoding="utf-8") as file:
        file.write(json.dumps(counts) + "\n")
    tracemalloc.reset_peak()
    if calls == 0:
        _profiles.append(cProfile.Profile())
        _profiles[0].enable()


if "COST_PROBE" in os.environ:
    os.write = _counting_write
    tracemalloc.start()
    signal.signal(signal.SIGUSR1, _report)
