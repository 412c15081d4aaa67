"""The watch on the endpoint list, with real connections: it must take updates in within 6 s."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from itertools import pairwise

import pytest

from decisions import interface as api
from decisions.engine import DecisionEngine
from relay import discovery
from standins.scripted import Request, World
from tests.support import SECOND, endpoint_update, entry, settings

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UPDATE_DEADLINE_S = 6.0  # after the directory could be reached; from then on its updates bind the relay
GROUP_SIZES = (2, 30, 230)  # relays


def drip(*pieces: bytes, byte: bytes) -> Callable[[Request], None]:
    """Write the pieces, then the byte every 0.2 s, far below the silence that breaks a watch."""

    def reply(request: Request) -> None:
        async def run() -> None:
            for piece in pieces:
                request.writer.write(piece)
            while not request.writer.is_closing():
                request.writer.write(byte)
                await asyncio.sleep(0.2)

        drips.add(task := asyncio.get_running_loop().create_task(run()))
        task.add_done_callback(drips.discard)

    drips = set[asyncio.Task[None]]()
    return reply


def chunk(line: bytes) -> bytes:
    """Return one chunk of a chunked answer."""
    return b"%x\r\n%s\r\n" % (len(line), line)


EMPTY_LIST = chunk(json.dumps({"seq": 1, "whole": True, "hosts": []}).encode() + b"\n")


@pytest.mark.parametrize(
    "broken",
    [
        pytest.param(drip(byte=b"H"), id="in the status line"),
        pytest.param(drip(b"HTTP/1.1 200 OK\r\nX: ", byte=b"y"), id="in a header"),
        pytest.param(drip(HEAD, byte=chunk(b"\n")), id="empty lines and no list"),
        pytest.param(drip(HEAD, byte=chunk(b"{")), id="in the first list"),
        pytest.param(drip(HEAD, EMPTY_LIST, byte=chunk(b" ")), id="in a later line"),
        pytest.param(drip(HEAD, EMPTY_LIST, b"f", byte=b"0"), id="in a chunk's size"),
        pytest.param(lambda request: request.writer.write(HEAD), id="silent behind the head"),
        pytest.param(
            lambda request: request.writer.write(HEAD + EMPTY_LIST), id="silent behind the first list"
        ),
        pytest.param(lambda _request: None, id="silent from the start"),
    ],
)
async def test_a_watch_without_a_whole_line_is_broken_and_opened_anew(
    world: World, broken: Callable[[Request], None]
) -> None:
    world.settings["group_size"] = 230
    world.discovery.script.append(broken)
    await world.start_relay()
    first = await world.discovery.wait_request(0)
    host = await world.add_host("late")
    again = await world.discovery.wait_request(1)
    assert again.received_s - first.received_s < UPDATE_DEADLINE_S
    assert await (await world.connect_client()).submit("m1") == b"+OK"
    assert (await host.wait_request(0)).refs == ["m1"]


@pytest.mark.parametrize("size", GROUP_SIZES)
async def test_a_discovery_that_is_back_is_asked_in_time(world: World, size: int) -> None:
    """It may be back right after a failed attempt, so attempts must be less than the deadline apart."""
    world.settings["group_size"] = size
    world.discovery.is_down = True
    await world.start_relay()
    attempts = [await world.discovery.wait_request(number) for number in range(4)]
    gaps_s = [later.received_s - sooner.received_s for sooner, later in pairwise(attempts)]
    assert all(gap_s < UPDATE_DEADLINE_S for gap_s in gaps_s), gaps_s


@pytest.mark.parametrize("size", GROUP_SIZES)
async def test_an_agent_that_was_silent_is_asked_again_before_its_news_bind(world: World, size: int) -> None:
    """Where lists are pushed, what the agent receives on its return binds at once, a drain 2 s later."""
    world.settings |= {"group_size": size, "discovery": "push"}
    world.discovery.script += [lambda _request: None, lambda request: request.answer(503)]
    await world.start_relay()
    attempts = [await world.discovery.wait_request(number) for number in range(3)]
    assert attempts[1].received_s - attempts[0].received_s < discovery.FIRST_LIST_TIMEOUT_S + 2
    assert attempts[2].received_s - attempts[1].received_s < 2


@pytest.mark.parametrize("size", GROUP_SIZES)
async def test_a_move_between_two_watches_is_followed_at_once(world: World, size: int) -> None:
    """After SIGHUP the list binds 4 s later, but the next attempt at the old address is far off."""
    world.settings["group_size"] = size
    host = await world.add_host("h1")
    world.discovery.is_down = True
    client = await world.start_relay()
    await world.discovery.wait_request(0)
    moved_s = asyncio.get_running_loop().time()
    await world.move_discovery()
    assert (await world.discovery.wait_request(0)).received_s - moved_s < 4
    await client.submit("m1")
    assert (await host.wait_request(0)).refs == ["m1"]


@pytest.mark.parametrize("size", GROUP_SIZES)
@pytest.mark.parametrize("failed_us", [0, SECOND // 10, 3 * SECOND])
def test_asks_that_fail_late_or_at_once_lie_no_farther_apart(size: int, failed_us: int) -> None:
    """The same in the module alone, over a long outage: attempts fail at once, or hang until the time-out."""
    for seed in range(20):
        number = seed * size // 20
        values = settings(group_size=size, number=number, must_ask=True, ask_within_us=10 * SECOND)
        relay = DecisionEngine(values, seed=seed)
        relay.step(0, [endpoint_update(entry("h1"), kind=api.EndpointUpdateKind.CACHED)])
        asked_us, failing = [0], True
        while len(asked_us) < 30:
            now_us = asked_us[-1] + failed_us if failing else relay.next_ask_us
            events = [api.EndpointUpdate(api.EndpointUpdateKind.FAILED)] if failing else [api.TimerDue()]
            if api.Subscribe() in relay.step(now_us, events):
                asked_us.append(now_us)
            failing = not failing
        gaps_us = [later - sooner for sooner, later in pairwise(asked_us)]
        assert max(gaps_us) < UPDATE_DEADLINE_S * SECOND


async def test_an_older_version_behind_a_newer_one_changes_nothing(world: World) -> None:
    """An update may arrive after a newer one: applied then, it would undo a drain."""
    drained, other = await world.add_host("h1"), await world.add_host("h2")
    client = await world.start_relay()
    request = await world.discovery.wait_request(0)
    before = world.discovery.seq
    world.discovery.change_entry("h1", health="DRAINING")
    world.discovery.seq, after = before, world.discovery.seq
    world.discovery.send_line(request, False, [world.discovery.hosts["h1"] | {"health": "SERVING"}])
    world.discovery.seq = after
    marker = await world.add_host("h3", block=2)  # its being in force shows that the older update was read
    assert await client.submit("m0", dest=2) == b"+OK"
    await marker.wait_request(0)
    for number in range(1, 6):
        assert await client.submit(f"m{number}") == b"+OK"
        await other.wait_request(number - 1)
    assert drained.requests == []
