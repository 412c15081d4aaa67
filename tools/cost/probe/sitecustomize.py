"""Counts inside of the measured process, told on SIGUSR1: one line of JSON into ``$COST_PROBE``.

Between an odd signal and the next one calls of functions are counted too; their profile is left beside it.

Python loads this file at its start because the tool puts this folder on ``PYTHONPATH``. The relay's own files
stay as they are, so any revision can be measured alike. Tracing memory slows a process down: a play with this
probe gives counts and bytes, never times.
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
_profiles: list[cProfile.Profile] = []  # the one that runs, or none


def _counting_write(fd: int, data: Any) -> int:
    """The system's ``write``, counted where the journal's code asks for it."""
    written = _write(fd, data)
    if os.path.basename(sys._getframe(1).f_code.co_filename) == "journal.py":
        _journal["writes"] += 1
        _journal["bytes"] += written
    return written


def _report(_number: int, _frame: Any) -> None:
    calls = 0
    if _profiles:
        profile = _profiles.pop()
        profile.disable()
        calls = sum(entry.callcount for entry in profile.getstats())
        profile.dump_stats(os.environ["COST_PROBE"] + ".profile")
    traced, peak = tracemalloc.get_traced_memory()
    told = {
        "journal_writes": _journal["writes"],
        "journal_bytes": _journal["bytes"],
        "python_bytes": traced,
        "python_peak_bytes": peak,
        "python_calls": calls,
        "python_blocks": sys.getallocatedblocks(),
    }
    with open(os.environ["COST_PROBE"], "a", encoding="utf-8") as file:
        file.write(json.dumps(told) + "\n")
    tracemalloc.reset_peak()
    if calls == 0:
        _profiles.append(cProfile.Profile())
        _profiles[0].enable()


if "COST_PROBE" in os.environ:
    os.write = _counting_write
    tracemalloc.start()
    signal.signal(signal.SIGUSR1, _report)
