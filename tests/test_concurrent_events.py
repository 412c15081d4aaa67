"""Two events that come up in one turn of the loop, with real connections and the loop held still before."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from decisions.interface import Verdict
from relay import config
from relay.calls import PartOutcome
from relay.driver import ClientMessage, Driver
from relay.journal import Journal
from standins.scripted import Request, World, delivered, silent
from tests.test_endpoint_calls import Calls, serving


def hold_until(monotonic_s: float) -> None:
    """Hold this process's loop still: what comes meanwhile and what is due by then meet in its next turn."""
    time.sleep(max(0.0, monotonic_s - time.monotonic()))


@pytest_asyncio.fixture
async def driver(world: World) -> AsyncIterator[Driver]:
    """A relay without clients in the test's own process."""
    cfg = config.load(world.environment())
    driver = Driver(cfg, Journal(cfg.state_dir, cfg.disk_bytes), lambda error: pytest.fail(repr(error)))
    driver.start()
    yield driver
    driver.close()


def handed(driver: Driver, ref: str, cls: str, left_s: float) -> ClientMessage:
    """A message with so much time left."""
    return ClientMessage(ref, 1, cls, driver.clock() + int(left_s * 1e6))


async def test_a_delivery_that_crosses_the_end_of_its_time_is_told_by_a_notice_too(
    world: World, driver: Driver
) -> None:
    """Whether it counted is the platform's to know: an answer after the message's time ends nothing."""
    host = await world.add("h1", silent)
    begun_s = time.monotonic()
    assert driver.accept(handed(driver, "m1", "unsafe", 1.0), b"x") is None
    delivered(await host.call(0))
    hold_until(begun_s + 1.01)
    assert await world.directory.notice("m1") == {"ref": "m1", "result": "dead"}
    assert driver.stats.in_flight == 0
    assert len(host.seen) == 1


async def test_a_delivery_before_the_end_of_its_time_is_its_only_end(world: World, driver: Driver) -> None:
    host = await world.add("h1")
    assert driver.accept(handed(driver, "m1", "unsafe", 5.0), b"x") is None
    assert driver.accept(handed(driver, "m2", "unsafe", 0.3), b"x") is None
    host.script += [delivered, silent]
    await world.directory.notice("m2")
    assert [notice["ref"] for notice in world.directory.notices] == ["m2"]


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
        calls.endpoint_calls.cancel("m1", 0)
        calls.endpoint_calls.cancel("m2", 0)
    else:
        hold_until(begun_s + 0.51)
    assert await calls.outcome("m1") == PartOutcome(Verdict.OK, complete=True)
    assert await calls.outcome("m2") == PartOutcome(Verdict.FULL)
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
    assert calls.endpoint_calls.outcome_if_blocked("h1") is not None
    host.stop()


async def test_an_answer_that_goes_on_for_ever_holds_its_call_up_once() -> None:
    """Bytes that come in every turn of the loop put the end of a call off by one turn, and no more."""
    host = await serving(silent)
    calls = Calls(host.port)
    call = calls.send("m1", "m2", limit_us=300_000)
    request = await host.call(0)
    request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n")
    while call.open_parts:
        request.writer.write(b"m")
        await asyncio.sleep(0)
    assert {told.verdict for told in calls.outcomes.values()} == {Verdict.TIMEOUT}
    host.stop()
