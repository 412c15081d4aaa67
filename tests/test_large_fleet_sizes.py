"""A relay among 1,024 others with 1,024 listed endpoints: sizes of lines, files and tables."""

from __future__ import annotations

import asyncio
import pickle
import time
from pathlib import Path
from typing import Any

from decisions import interface as api
from decisions.engine import MAX_GONE_ENDPOINTS, DecisionEngine
from relay.endpoint_list import DirectoryUpdate, ListedEndpoint
from relay.journal import Journal
from standins.scripted import World, with_timeout
from tests.support import KEYED, SECOND, arrival, ended, endpoint_update, entry, sends, settings
from tests.test_endpoint_calls import Calls
from tests.test_handover import upgraded

FLEET_SIZE = 1024


def listed(number: int, dial: str) -> dict[str, Any]:
    """An endpoint as discovery lists it, with names of the greatest length."""
    return {
        "host": f"s-{number:030x}", "dial": dial, "site": f"zone-{number % 8:020}", "class": "lots",
        "block": number % 256, "health": "SERVING", "share": 1.0, "born_ms": 1796172000000 + number,
    }  # fmt: skip


async def test_a_list_of_a_thousand_endpoints_comes_in_one_line_and_from_the_file(world: World) -> None:
    """Configured at the start, received by the watch, handed over: no line, frame or table is too small."""
    host = await world.add_host("h1", block=1)
    dial = f"127.0.0.1:{host.port}"
    for number in range(FLEET_SIZE):
        world.discovery.hosts[f"s-{number:030x}"] = listed(number, dial)
    del world.discovery.hosts["h1"]
    world.known_hosts = [listed(number, dial) for number in range(FLEET_SIZE // 2)]
    world.admin_port = world.free_port()
    world.open_passed_socket()
    client = await world.start_relay()
    assert await client.submit("m1") == b"+OK"
    await host.wait_until(lambda: any("m1" in request.refs for request in host.requests))

    async def known() -> int:
        status, body = await world.operator_call("GET", "stats")
        assert status == 200
        lines = dict(line.rpartition(":")[::2] for line in body.split())
        return int(lines["app.endpoints_known"].partition("|")[0])

    async def until_all_known() -> None:
        while await known() != FLEET_SIZE:
            await asyncio.sleep(0.01)

    await with_timeout(until_all_known())  # a long list is applied in pieces
    await upgraded(world)
    assert await known() == FLEET_SIZE
    assert await client.submit("m2") == b"+OK"
    await host.wait_until(lambda: any("m2" in request.refs for request in host.requests))


def test_a_module_keeps_a_thousand_endpoints_that_left() -> None:
    """They all leave and come back at once: none may be taken for a new endpoint, which would be cold."""
    relay = DecisionEngine(settings(group_size=FLEET_SIZE), 1)
    names = [f"h{number}" for number in range(FLEET_SIZE)]
    relay.step(0, [endpoint_update(*(entry(name, dest=at % 256) for at, name in enumerate(names)))])
    assert relay.listed_count == FLEET_SIZE <= MAX_GONE_ENDPOINTS
    before = dict(relay.endpoints)
    relay.step(6 * SECOND, [endpoint_update()])
    relay.step(12 * SECOND, [api.TimerDue()])
    relay.step(18 * SECOND, [endpoint_update(*(entry(name, dest=at % 256) for at, name in enumerate(names)))])
    assert relay.endpoints == before
    beyond = [entry(f"x{number}") for number in range(MAX_GONE_ENDPOINTS)]
    relay.step(24 * SECOND, [endpoint_update(*beyond)])
    relay.step(30 * SECOND, [endpoint_update(entry("last"))])
    relay.step(36 * SECOND, [api.TimerDue()])
    assert len(relay.endpoints) == MAX_GONE_ENDPOINTS + 1, "beyond the limit the oldest ones are forgotten"
    assert relay.listed_count == 1


def test_a_relay_of_a_thousand_calls_a_thousand_endpoints() -> None:
    """One message for each destination is sent and finished, and the module can be pickled in between."""
    relay = DecisionEngine(settings(group_size=FLEET_SIZE, slots=FLEET_SIZE, hold_cap=2 * FLEET_SIZE), 1)
    events: list[api.Event] = [endpoint_update(*(entry(f"h{n}", dest=n) for n in range(FLEET_SIZE)))]
    events += [arrival(f"m{n}", KEYED, n) for n in range(FLEET_SIZE)]
    out = sends(relay.step(0, events))
    assert {send.host for send in out} == {f"h{n}" for n in range(FLEET_SIZE)}
    other = pickle.loads(pickle.dumps(relay))
    other.resume()
    other.step(SECOND, [ended(send) for send in out])
    assert not other.messages


def test_a_list_received_while_slots_are_full_adds_no_destination_without_messages_to_check() -> None:
    """Each step checks destinations whose messages wait for a slot, and no destination without a message."""
    relay = DecisionEngine(settings(slots=2, may_cancel=False), 1)
    many = [entry(f"h{n}", dest=n) for n in range(FLEET_SIZE)]
    relay.step(0, [endpoint_update(*many[:8])])
    out = sends(relay.step(5_000, [arrival(f"m{n}", KEYED, n) for n in range(4)]))
    assert len(out) == relay.settings.slots
    waiting = {0, 1, 2, 3} - {relay.messages[send.id].dest for send in out}
    relay.step(10_000, [endpoint_update(*many)])
    assert set(relay.dests_to_check) == waiting
    assert len(relay.endpoints) == FLEET_SIZE


def test_a_thousand_bans_are_kept(tmp_path: Path) -> None:
    """Bans of a thousand endpoints survive a restart."""
    journal = Journal(tmp_path, 3_000_000)
    for number in range(FLEET_SIZE):
        journal.set_banned(f"s-{number:030x}", True)
    journal.close()
    again = Journal(tmp_path, 3_000_000)
    assert len(again.banned_hosts) == FLEET_SIZE
    again.close()


async def test_waits_of_a_thousand_routes_are_independent() -> None:
    calls = Calls(1)
    news = tuple(ListedEndpoint(entry(f"h{n}", n, "banks"), ("127.0.0.1", 1)) for n in range(FLEET_SIZE))
    calls.endpoint_calls.apply_update(DirectoryUpdate(1, True, news))
    calls.endpoint_calls.restore_waits({f"h{n}": time.monotonic() + 60 for n in range(FLEET_SIZE)})
    assert all(calls.endpoint_calls.remaining_wait_us(f"h{n}") for n in range(FLEET_SIZE))
    assert len(calls.endpoint_calls.active_waits) == FLEET_SIZE
