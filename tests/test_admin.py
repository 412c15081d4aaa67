"""The operators' address of a real process: health, figures, bans, and callers that are no help."""

from __future__ import annotations

import asyncio

import pytest

from standins.scripted import World, silent, soon

GET = b"GET /admin/health HTTP/1.1\r\nHost: r\r\n\r\n"


@pytest.fixture
def manned(world: World) -> World:
    """A relay that operators may call."""
    world.admin_port = world.free_port()
    return world


async def test_health_says_yes_once_clients_are_taken(manned: World) -> None:
    await manned.run()
    assert (await manned.call("GET", "health"))[0] == 200


async def test_figures_tell_what_became_of_messages(manned: World) -> None:
    """Each message under its class and end, and what is out or listed as it is now."""
    good = await manned.add("h1")
    held = await manned.add("h2", silent, block=2)
    client = await manned.run()
    await client.hand_in("m1")
    await good.call(0)
    good.script.append(lambda request: request.answer(500))
    await client.hand_in("m2", "unsafe")
    await manned.directory.notice("m2")
    await client.hand_in("m3", dest=9, d=30)
    await manned.directory.notice("m3")
    await client.hand_in("m4", "keyed", dest=2)
    await held.call(0)
    await manned.counted("requests.safe.served", 1)
    figures = await manned.figures()
    assert {name: value for name, value in figures.items() if value} == {
        "requests.safe.served": 1,
        "requests.safe.refused": 1,
        "requests.unsafe.failed": 1,
        "attempts": 3,
        "in_flight": 1,
        "endpoints_known": 2,
    }
    assert len(figures) == 3 * 3 + 4


async def test_a_refusal_at_the_door_is_counted(manned: World) -> None:
    manned.settings["allowed"] = manned.settings["allowed"] | {"open_cap": 1}
    client = await manned.run()
    assert await client.hand_in("m1") == b"+OK"
    assert (await client.hand_in("m2")).startswith(b"-BUSY")
    assert (await manned.figures())["requests.safe.refused"] == 1


async def test_a_banned_endpoint_gets_nothing_until_it_is_called_back(manned: World) -> None:
    """Whatever discovery says, and whatever becomes of the process."""
    host = await manned.add("h1")
    client = await manned.run()
    await client.hand_in("m1")
    await host.call(0)
    assert (await manned.call("PUT", "cordon?who=h1"))[0] == 200
    assert (await manned.call("PUT", "cordon?who=h1"))[0] == 200  # once more changes nothing
    await client.hand_in("m2", d=300)
    assert (await manned.directory.notice("m2"))["result"] == "bounced"
    figures = await manned.figures()
    assert (figures["endpoints_known"], figures["endpoints_excluded"]) == (1, 1)
    manned.directory.change("h1", health="DRAINING")
    manned.directory.change("h1", health="SERVING")
    client = await manned.again()
    await client.hand_in("m3", d=300)
    assert (await manned.directory.notice("m3"))["result"] == "bounced"
    assert len(host.seen) == 1
    assert (await manned.call("PUT", "uncordon?who=h1"))[0] == 200
    await client.hand_in("m4")
    assert (await host.call(1)).ids == ["m4"]
    assert (await manned.figures())["endpoints_excluded"] == 0
    client = await manned.again()  # the call back outlives the process as well
    await client.hand_in("m5")
    assert (await host.call(2)).ids == ["m5"]


async def test_an_endpoint_that_left_the_list_can_still_be_banned(manned: World) -> None:
    await manned.add("h1")
    await manned.run()
    await manned.counted("endpoints_known", 1)
    manned.directory.change("h1", health="DELETED")
    await manned.counted("endpoints_known", 0)
    assert (await manned.call("PUT", "cordon?who=h1"))[0] == 200


@pytest.mark.parametrize(
    ("method", "target", "status"),
    [
        ("PUT", "cordon?who=nobody", 404),
        ("PUT", "uncordon?who=nobody", 404),
        ("PUT", "cordon", 400),
        ("PUT", "cordon?who=", 400),
        ("PUT", "cordon?who=h1&who=h2", 400),
        ("PUT", "cordon?who=%FF", 400),
        ("GET", "cordon?who=h1", 405),
        ("PUT", "health", 405),
        ("PUT", "cost", 405),
        ("GET", "cost/more", 404),
        ("GET", "nothing", 404),
    ],
)
async def test_a_bad_call_is_told_so(manned: World, method: str, target: str, status: int) -> None:
    await manned.run()
    assert (await manned.call(method, target))[0] == status
    assert (await manned.call("GET", "health"))[0] == 200


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"GET /admin/health HTTP/1.1\r\n\r\n",  # without a Host
        b"GET //[ HTTP/1.1\r\nHost: r\r\n\r\n",
        b"PUT /admin/cordon HTTP/1.1\r\nHost: r\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000,
        b"GET /" + b"x" * 70_000,
    ],
)
async def test_what_is_no_call_gets_a_no(manned: World, data: bytes) -> None:
    await manned.run()
    assert (await manned.operator(data)).startswith(b"HTTP/1.1 4")
    assert (await manned.call("GET", "health"))[0] == 200


async def test_a_call_may_come_in_pieces_and_with_more_behind_it(manned: World) -> None:
    await manned.run()
    reader, writer = await asyncio.open_connection(manned.address, manned.admin_port)
    for at in range(len(GET)):
        writer.write(GET[at : at + 1])
        await writer.drain()
    writer.write(GET)
    answer = await soon(reader.read())
    assert answer.count(b"HTTP/1.1 200") == 1
    writer.close()


async def test_callers_that_never_finish_keep_nobody_out(manned: World) -> None:
    """More of them than there is room for; those that were silent longest go."""
    await manned.run()
    quiet = [await asyncio.open_connection(manned.address, manned.admin_port) for _ in range(40)]
    for _reader, writer in quiet:
        writer.write(GET[:20])
    assert (await manned.call("GET", "health"))[0] == 200
    for _reader, writer in quiet:
        writer.close()


async def test_without_an_address_nobody_listens(world: World) -> None:
    world.admin_port = world.free_port()
    port, world.admin_port = world.admin_port, 0
    await world.run()
    with pytest.raises(OSError, match=r"refused|Connect"):
        await world.call("GET", "health", port)
