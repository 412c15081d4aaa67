"""The clock that the service's shells read; its cores get times as arguments."""

from __future__ import annotations

import time


def now_us() -> int:
    """Microseconds on the monotonic clock."""
    return time.monotonic_ns() // 1000
