"""The window of a key with the real process: no repeat is sent that could run after the window."""

from __future__ import annotations

import asyncio

from decisions import interface as api
from decisions.engine import DecisionEngine
from standins.scripted import Request, World
from tests.sockets import full_backlog
from tests.support import KEYED, SECOND, arrival, ended, endpoint_update, entry, sends, settings

WINDOW_S = 1.0


def shorten_windows(world: World) -> None:
    """Set the window of all keys to a second."""
    window = {"dedup_window_us": int(WINDOW_S * SECOND), "key_scope": "all"}
    world.settings["request_classes"] = [cls | window for cls in world.settings["request_classes"]]


async def test_a_connection_that_comes_up_after_the_window_carries_no_repeat(world: World) -> None:
    """The first call is reset and may have run; the next connection is set up only after the key's window."""
    shorten_windows(world)
    loop, received = asyncio.get_running_loop(), bytearray()
    with full_backlog() as full:
        host = await world.add_host("h1")
        client = await world.start_relay()

        def reset(request: Request) -> None:
            world.discovery.change_entry("h1", dial=f"127.0.0.1:{full.port}")
            request.reset()

        host.script.append(reset)
        assert await client.submit("m1", "keyed", d=8000) == b"+OK"
        first = await host.wait_request(0)

        async def accept() -> None:
            while loop.time() < first.received_s + WINDOW_S:
                await asyncio.sleep(0.01)
            while True:
                peer, _ = await loop.sock_accept(full.sock)
                while data := await loop.sock_recv(peer, 65536):
                    received.extend(data)
                peer.close()

        full.make_room()
        accepting = asyncio.create_task(accept())
        assert (await world.discovery.wait_notice("m1"))["result"] == "bounced"
        accepting.cancel()
    assert not received
    assert len(host.requests) == 1


async def test_a_window_that_passes_while_the_process_is_down_is_over(world: World) -> None:
    """The next life counts from the first attempt that may have run, by wall-clock time."""
    shorten_windows(world)
    host = await world.add_host("h1", lambda _request: None)
    client = await world.start_relay()
    assert await client.submit("m1", "keyed") == b"+OK"
    first = await host.wait_request(0)
    await world.kill()
    while asyncio.get_running_loop().time() < first.received_s + WINDOW_S:
        await asyncio.sleep(0.01)
    await world.start_relay()
    assert (await world.discovery.wait_notice("m1"))["result"] == "bounced"
    assert len(host.requests) == 1


def test_a_repeat_carries_the_time_by_which_it_must_begin() -> None:
    relay = DecisionEngine(settings(), seed=1)
    [first] = sends(relay.step(0, [endpoint_update(entry("h1")), arrival("m1", KEYED)]))
    assert first.latest_begin_us == 0
    relay.step(SECOND, [ended(first, api.Verdict.RESET)])
    again = [
        send for at in range(1, 40) for send in sends(relay.step(SECOND + at * 100_000, [api.TimerDue()]))
    ]
    assert again, "it is repeated within the window"
    assert 0 < again[0].latest_begin_us <= KEYED.key_window_us - SECOND - settings().round_us
