"""Two events that fall into one iteration of the loop, with real connections and a loop blocked before."""

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
from standins.scripted import Request, World, deliver_all, no_answer
from tests.test_endpoint_calls import Calls, serving


def block_until(monotonic_s: float) -> None:
    """Block the loop, so that what arrives or is due meanwhile falls into its next iteration."""
    time.sleep(max(0.0, monotonic_s - time.monotonic()))


@pytest_asyncio.fixture
async def driver(world: World) -> AsyncIterator[Driver]:
    """Start a relay without clients in the test's own process."""
    cfg = config.load(world.environment())
    driver = Driver(cfg, Journal(cfg.state_dir, cfg.disk_bytes), lambda error: pytest.fail(repr(error)))
    driver.start()
    yield driver
    driver.close()


def client_message(driver: Driver, ref: str, cls: str, left_s: float) -> ClientMessage:
    """Return a message whose deadline is in ``left_s`` seconds."""
    return ClientMessage(ref, 1, cls, driver.clock() + int(left_s * 1e6))


async def test_a_delivery_that_crosses_the_end_of_its_time_is_told_by_a_notice_too(
    world: World, driver: Driver
) -> None:
    """An answer after the message's deadline does not end it: only the platform knows whether it counted."""
    host = await world.add_host("h1", no_answer)
    start_s = time.monotonic()
    assert driver.accept(client_message(driver, "m1", "unsafe", 1.0), b"x") is None
    deliver_all(await host.wait_request(0))
    block_until(start_s + 1.01)
    assert await world.discovery.wait_notice("m1") == {"ref": "m1", "result": "dead"}
    assert driver.stats.in_flight == 0
    assert len(host.requests) == 1


async def test_a_delivery_before_the_end_of_its_time_is_its_only_end(world: World, driver: Driver) -> None:
    host = await world.add_host("h1")
    assert driver.accept(client_message(driver, "m1", "unsafe", 5.0), b"x") is None
    assert driver.accept(client_message(driver, "m2", "unsafe", 0.3), b"x") is None
    host.script += [deliver_all, no_answer]
    await world.discovery.wait_notice("m2")
    assert [notice["ref"] for notice in world.discovery.notices] == ["m2"]


def answer_batch(request: Request) -> None:
    """Answer a batch completely."""
    request.answer(200, "m1 delivered\r\nm2 refused\r\n")


def refuse_with_wait(request: Request) -> None:
    """Refuse the message and ask for a wait of 60 s."""
    request.answer(429, X_Retry_In_Ms="60000")


@pytest.mark.parametrize("cancelled", [False, True], ids=["its limit ends", "it is called off"])
async def test_an_answer_that_has_come_is_read_before_its_call_is_given_up(cancelled: bool) -> None:
    """Reported as timed out, a delivered message is sent again, or fails if it may not be."""
    host = await serving(no_answer)
    calls = Calls(host.port)
    start_s = time.monotonic()
    calls.send("m1", "m2", limit_us=500_000)
    answer_batch(await host.wait_request(0))
    if cancelled:
        calls.endpoint_calls.cancel("m1", 0)
        calls.endpoint_calls.cancel("m2", 0)
    else:
        block_until(start_s + 0.51)
    assert await calls.outcome("m1") == PartOutcome(Verdict.OK, complete=True)
    assert await calls.outcome("m2") == PartOutcome(Verdict.FULL)
    host.stop()


async def test_a_wait_that_has_come_is_kept_although_its_call_is_given_up() -> None:
    host = await serving(no_answer)
    calls = Calls(host.port)
    start_s = time.monotonic()
    calls.send("m1", limit_us=500_000)
    refuse_with_wait(await host.wait_request(0))
    block_until(start_s + 0.51)
    outcome = await calls.outcome("m1")
    assert outcome.verdict is Verdict.FULL
    assert outcome.wait_us == 60_000_000
    assert calls.endpoint_calls.outcome_if_blocked("h1") is not None
    host.stop()


async def test_an_answer_that_goes_on_for_ever_holds_its_call_up_once() -> None:
    """Bytes that arrive in every iteration of the loop delay the end of a call by one iteration only."""
    host = await serving(no_answer)
    calls = Calls(host.port)
    call = calls.send("m1", "m2", limit_us=300_000)
    request = await host.wait_request(0)
    request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n")
    while call.open_parts:
        request.writer.write(b"m")
        await asyncio.sleep(0)
    assert {outcome.verdict for outcome in calls.outcomes.values()} == {Verdict.TIMEOUT}
    host.stop()
