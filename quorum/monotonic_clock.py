"""The clock of the network services; the cores without I/O get times as arguments."""

from __future__ import annotations

import time


def now_us() -> int:
    """Return the monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000
