"""Memory and processor time of the measuring process, and its garbage collector."""

from __future__ import annotations

import gc
import time
from pathlib import Path

from relay.resource_usage import read_memory_bytes

OWN_PROC_FOLDER = Path("/proc/self")


def resident_bytes() -> int:
    """Resident memory of this process, as the kernel counts it."""
    return read_memory_bytes(OWN_PROC_FOLDER)["VmRSS"]


def processor_seconds() -> float:
    """Processor time that this process has used so far, user and system, in seconds."""
    return time.process_time()


def exclude_objects_from_gc() -> None:
    """Exclude all present objects from garbage collection.

    One process holds many simulated parts; a real process of a single part would not traverse the objects of
    all the others in its collections.
    """
    gc.freeze()
