"""The operators' address of a real process: health, figures, bans and misbehaving callers."""

from __future__ import annotations

import asyncio

import pytest

from standins.scripted import World, no_answer, with_timeout

GET = b"GET /admin/health HTTP/1.1\r\nHost: r\r\n\r\n"


@pytest.fixture
def admin_world(world: World) -> World:
    """A relay with an operators' address."""
    world.admin_port = world.free_port()
    return world


async def test_health_is_ok_once_clients_are_accepted(admin_world: World) -> None:
    await admin_world.start_relay()
    assert (await admin_world.operator_call("GET", "health"))[0] == 200


async def test_figures_count_messages_by_class_and_result(admin_world: World) -> None:
    """They also hold the current number of messages in flight and of listed endpoints."""
    good = await admin_world.add_host("h1")
    held = await admin_world.add_host("h2", no_answer, block=2)
    client = await admin_world.start_relay()
    await client.submit("m1")
    await good.wait_request(0)
    good.script.append(lambda request: request.answer(500))
    await client.submit("m2", "unsafe")
    await admin_world.discovery.wait_notice("m2")
    await client.submit("m3", dest=9, d=30)
    await admin_world.discovery.wait_notice("m3")
    await client.submit("m4", "keyed", dest=2)
    await held.wait_request(0)
    await admin_world.wait_figure("requests.safe.served", 1)
    figures = await admin_world.read_figures()
    assert {name: value for name, value in figures.items() if value} == {
        "requests.safe.served": 1,
        "requests.safe.refused": 1,
        "requests.unsafe.failed": 1,
        "attempts": 3,
        "in_flight": 1,
        "endpoints_known": 2,
    }
    assert len(figures) == 3 * 3 + 4


async def test_a_message_refused_on_arrival_is_counted(admin_world: World) -> None:
    admin_world.settings["allowed"] = admin_world.settings["allowed"] | {"open_cap": 1}
    client = await admin_world.start_relay()
    assert await client.submit("m1") == b"+OK"
    assert (await client.submit("m2")).startswith(b"-BUSY")
    assert (await admin_world.read_figures())["requests.safe.refused"] == 1


async def test_a_banned_endpoint_gets_no_message_until_the_ban_is_lifted(admin_world: World) -> None:
    """The ban outlasts changes of the endpoint list and restarts of the relay."""
    host = await admin_world.add_host("h1")
    client = await admin_world.start_relay()
    await client.submit("m1")
    await host.wait_request(0)
    assert (await admin_world.operator_call("PUT", "cordon?who=h1"))[0] == 200
    assert (await admin_world.operator_call("PUT", "cordon?who=h1"))[0] == 200  # a second ban changes nothing
    await client.submit("m2", d=300)
    assert (await admin_world.discovery.wait_notice("m2"))["result"] == "bounced"
    figures = await admin_world.read_figures()
    assert (figures["endpoints_known"], figures["endpoints_excluded"]) == (1, 1)
    admin_world.discovery.change_entry("h1", health="DRAINING")
    admin_world.discovery.change_entry("h1", health="SERVING")
    client = await admin_world.kill_and_restart()
    await client.submit("m3", d=300)
    assert (await admin_world.discovery.wait_notice("m3"))["result"] == "bounced"
    assert len(host.requests) == 1
    assert (await admin_world.operator_call("PUT", "uncordon?who=h1"))[0] == 200
    await client.submit("m4")
    assert (await host.wait_request(1)).refs == ["m4"]
    assert (await admin_world.read_figures())["endpoints_excluded"] == 0
    client = await admin_world.kill_and_restart()  # the end of the ban outlasts a restart as well
    await client.submit("m5")
    assert (await host.wait_request(2)).refs == ["m5"]


async def test_an_endpoint_that_left_the_list_can_still_be_banned(admin_world: World) -> None:
    await admin_world.add_host("h1")
    await admin_world.start_relay()
    await admin_world.wait_figure("endpoints_known", 1)
    admin_world.discovery.change_entry("h1", health="DELETED")
    await admin_world.wait_figure("endpoints_known", 0)
    assert (await admin_world.operator_call("PUT", "cordon?who=h1"))[0] == 200


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
async def test_an_invalid_call_gets_an_error_status(
    admin_world: World, method: str, target: str, status: int
) -> None:
    await admin_world.start_relay()
    assert (await admin_world.operator_call(method, target))[0] == status
    assert (await admin_world.operator_call("GET", "health"))[0] == 200


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
async def test_bytes_that_are_not_a_valid_call_get_an_error_status(admin_world: World, data: bytes) -> None:
    await admin_world.start_relay()
    assert (await admin_world.operator_request(data)).startswith(b"HTTP/1.1 4")
    assert (await admin_world.operator_call("GET", "health"))[0] == 200


async def test_a_call_may_arrive_in_pieces_and_be_followed_by_more_data(admin_world: World) -> None:
    await admin_world.start_relay()
    reader, writer = await asyncio.open_connection(admin_world.address, admin_world.admin_port)
    for at in range(len(GET)):
        writer.write(GET[at : at + 1])
        await writer.drain()
    writer.write(GET)
    answer = await with_timeout(reader.read())
    assert answer.count(b"HTTP/1.1 200") == 1
    writer.close()


async def test_callers_that_never_finish_do_not_keep_others_out(admin_world: World) -> None:
    """Above the limit on connections the least recently active ones are closed."""
    await admin_world.start_relay()
    stalled = [await asyncio.open_connection(admin_world.address, admin_world.admin_port) for _ in range(40)]
    for _reader, writer in stalled:
        writer.write(GET[:20])
    assert (await admin_world.operator_call("GET", "health"))[0] == 200
    for _reader, writer in stalled:
        writer.close()


async def test_without_an_address_nobody_listens(world: World) -> None:
    world.admin_port = world.free_port()
    port, world.admin_port = world.admin_port, 0
    await world.start_relay()
    with pytest.raises(OSError, match=r"refused|Connect"):
        await world.operator_call("GET", "health", port)
