"""How long single iterations of the event loop take."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

MAX_HELD_UP_S = 0.15  # the longest time for which a relay may be held up


@asynccontextmanager
async def nobody_held_up() -> AsyncIterator[None]:
    """Fail if an iteration of the loop meanwhile takes ``MAX_HELD_UP_S`` of processor time or more.

    The processor time of other processes and threads does not count.
    """
    longest_s = 0.0

    async def watch() -> None:
        nonlocal longest_s
        while True:
            begun_s = time.thread_time()
            await asyncio.sleep(0)
            longest_s = max(longest_s, time.thread_time() - begun_s)

    watching = asyncio.create_task(watch())
    try:
        yield
        await asyncio.sleep(0)
    finally:
        watching.cancel()
    assert longest_s < MAX_HELD_UP_S
