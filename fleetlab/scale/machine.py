"""Checks that a measurement's size is positive and that its memory fits this machine."""

from __future__ import annotations

import os

from fleetlab.scale.records import ScaleError
from fleetlab.scale.subject import Subject

MAX_MEMORY_SHARE = 0.5  # of the machine's memory that one measurement may need
MIB = 1 << 20


def memory_bytes() -> int:
    """The machine's physical memory."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def check_size(subject: Subject, size: int, machine_bytes: int) -> None:
    """Raise ``ScaleError`` if the size is below 1 or needs more than half of the machine's memory."""
    if size < 1:
        raise ScaleError(f"{subject.name}: size {size}: must be at least 1")
    needed = subject.memory_bytes(size)
    allowed = int(MAX_MEMORY_SHARE * machine_bytes)
    if needed > allowed:
        raise ScaleError(
            f"{subject.name}: size {size}: needs about {needed // MIB} MiB, "
            f"over half of this machine's memory ({allowed // MIB} MiB)"
        )
