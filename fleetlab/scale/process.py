"""What the process that measures has used so far."""

from __future__ import annotations

import gc
import time
from pathlib import Path

from relay.resource_usage import read_memory_bytes

OWN_PROC_FOLDER = Path("/proc/self")


def resident_bytes() -> int:
    """Memory that this process holds now, by the system's accounting."""
    return read_memory_bytes(OWN_PROC_FOLDER)["VmRSS"]


def processor_seconds() -> float:
    """Processor time that this process used, in user and system mode."""
    return time.process_time()


def exclude_objects_from_gc() -> None:
    """Spare what there is now from collections of garbage.

    Many hollow parts stand in one process; a process of one part would not look through all others' objects.
    """
    gc.freeze()
