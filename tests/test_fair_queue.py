"""The fair queue: whose time counts as work."""

from __future__ import annotations

import time

import pytest

from relay.fair_queue import FREE_SLICE_S, FairQueue

UNIT_S = 2 * FREE_SLICE_S


def wait_for_the_processor() -> bool:
    """Do nothing for as long as the process of a busy machine may have to wait."""
    time.sleep(UNIT_S)
    return False


def use_the_processor() -> bool:
    begun_s = time.thread_time()
    while time.thread_time() - begun_s < UNIT_S:
        pass
    return False


@pytest.mark.parametrize("as_task", [False, True], ids=["client", "answer"])
@pytest.mark.parametrize(
    ("unit", "has_slice"), [(wait_for_the_processor, True), (use_the_processor, False)], ids=["wait", "use"]
)
async def test_only_processor_time_uses_up_the_slice(as_task: bool, unit: object, has_slice: bool) -> None:
    """Guards against peers that wait in line because other processes had the processor."""
    queue = FairQueue()
    assert callable(unit)
    assert queue.has_turn(unit)
    queue.work_for(unit, unit) if as_task else queue.run(unit)
    queue._period_end_s = float("inf")
    assert queue.has_turn(unit) == has_slice
