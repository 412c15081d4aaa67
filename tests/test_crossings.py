"""Two events that come up in one turn of the loop, with real connections and the loop held still before it."""

from __future__ import annotations

import asyncio
import time

import pytest

from mallowlug.hosts import Told
from mossfront.interface import Verdict
from standins.scripted import Request, silent
from tests.test_hosts import Calls, serving


def hold_until(monotonic_s: float) -> None:
    """Hold this process's loop still: what comes meanwhile and what is due by then meet in its next turn."""
    time.sleep(max(0.0, monotonic_s - time.monotonic()))


def whole(request: Request) -> None:
    """The whole answer to a call for several."""
    request.answer(200, "m1 delivered\r\nm2 refused\r\n")


def turned_away(request: Request) -> None:
    """Told to wait."""
    request.answer(429, X_Retry_In_Ms="60000")


@pytest.mark.parametrize("cancelled", [False, True], ids=["its limit ends", "it is called off"])
async def test_an_answer_that_has_come_is_read_before_its_call_is_given_up(cancelled: bool) -> None:
    """Told as timed out, what was delivered is sent again, or failed where it may not be."""
    host = await serving(silent)
    calls = Calls(host.port)
    begun_s = time.monotonic()
    calls.send("m1", "m2", limit_us=500_000)
    whole(await host.call(0))
    if cancelled:
        calls.hosts.cancel("m1", 0)
        calls.hosts.cancel("m2", 0)
    else:
        hold_until(begun_s + 0.51)
    assert await calls.outcome("m1") == Told(Verdict.OK, complete=True)
    assert await calls.outcome("m2") == Told(Verdict.FULL)
    host.stop()


async def test_a_wait_that_has_come_is_kept_although_its_call_is_given_up() -> None:
    host = await serving(silent)
    calls = Calls(host.port)
    begun_s = time.monotonic()
    calls.send("m1", limit_us=500_000)
    turned_away(await host.call(0))
    hold_until(begun_s + 0.51)
    told = await calls.outcome("m1")
    assert told.verdict is Verdict.FULL
    assert told.wait_us == 60_000_000
    assert calls.hosts.barred("h1") is not None
    host.stop()


async def test_an_answer_that_goes_on_for_ever_holds_its_call_up_once() -> None:
    """Bytes that come in every turn of the loop put the end of a call off by one turn, and no more."""
    host = await serving(silent)
    calls = Calls(host.port)
    call = calls.send("m1", "m2", limit_us=300_000)
    request = await host.call(0)
    request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n")
    while call.open:
        request.writer.write(b"m")
        await asyncio.sleep(0)
    assert {told.verdict for told in calls.told.values()} == {Verdict.TIMEOUT}
    host.stop()
