"""A long endpoint list over real connections: applied in pieces while the relay continues to serve."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from typing import Any

import pytest

from decisions.engine import DecisionEngine
from decisions.interface import Action, EndpointUpdate, Event, Listing
from relay import discovery
from relay.config import Config, load
from relay.discovery import ENDPOINTS_PER_PIECE, LONG_LINE_BYTES
from relay.driver import Driver
from relay.journal import Journal
from standins.scripted import Request, World, with_timeout
from tests.test_watch import HEAD, UPDATE_DEADLINE_S, chunk

ENDPOINTS = 2_000  # in a long list
ADDRESS = "127.0.0.1:9"  # discard: nothing is sent there


def raw_endpoints(count: int, health: str = "SERVING", name: str = "s") -> list[dict[str, Any]]:
    """Return endpoints in the directory's format, each of its own destination."""
    return [
        {
            "host": f"{name}-{number:08x}", "dial": ADDRESS, "site": "a", "class": "lots",
            "block": 100 + number, "health": health, "share": 1.0, "born_ms": 0,
        }
        for number in range(count)
    ]  # fmt: skip


class CountingModule(DecisionEngine):
    """The module, recording the list entries that each step brought."""

    def __init__(self, config: Config) -> None:
        super().__init__(config.settings, config.seed)
        self.listings: list[list[Listing]] = []  # of each entry, by step with a list update

    def step(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Record the entries, then take the step."""
        batch = list(events)
        news = [event for event in batch if isinstance(event, EndpointUpdate)]
        if news:
            self.listings.append([entry.listing for event in news for entry in event.entries])
        return super().step(now_us, batch)


class FollowingDriver(Driver):
    """A driver whose module records the list entries, and which raises if its loop fails."""

    def __init__(self, config: Config, journal: Journal) -> None:
        super().__init__(config, journal, self._broke)
        self.module = self._module = CountingModule(config)

    @staticmethod
    def _broke(error: BaseException) -> None:
        raise error

    @property
    def version(self) -> int:
        """The version from which the list would be watched again."""
        return self._watch.version

    async def until_known(self, count: int) -> None:
        """Wait until the module knows this number of endpoints."""

        async def known() -> None:
            while self.module.listed_count != count:
                await asyncio.sleep(0.005)

        await with_timeout(known())

    async def until_any_known(self) -> None:
        """Wait until the first piece of the list is in force."""

        async def known() -> None:
            while not self.module.listed_count:
                await asyncio.sleep(0)

        await with_timeout(known())

    async def until_listed(self, host: str, listing: Listing) -> None:
        """Wait until the module has this listing of a host."""

        async def known() -> None:
            while self.module.endpoints[host].listing is not listing:
                await asyncio.sleep(0.005)

        await with_timeout(known())

    async def until_version(self, version: int) -> None:
        """Wait until a version of the list is in force."""

        async def reached() -> None:
            while self.version != version:
                await asyncio.sleep(0.005)

        await with_timeout(reached())


def start_driver(world: World) -> FollowingDriver:
    """Start a driver that watches the list of the world's directory."""
    config = load(world.environment())
    driver = FollowingDriver(config, Journal(config.state_dir, config.disk_bytes))
    driver.start()
    return driver


def set_list(world: World, hosts: list[dict[str, Any]]) -> None:
    """Replace the directory's list, as a new version."""
    world.discovery.seq += 1
    world.discovery.hosts = {host["host"]: host for host in hosts}


async def send_whole_list(world: World, request: Request) -> None:
    """Send the whole list to a watch."""
    world.discovery.send_line(request, True, list(world.discovery.hosts.values()))


async def test_a_long_list_is_in_force_by_bounded_pieces(world: World) -> None:
    set_list(world, raw_endpoints(ENDPOINTS))
    driver = start_driver(world)
    await driver.until_known(ENDPOINTS)
    await driver.until_version(world.discovery.seq)
    assert max(map(len, driver.module.listings)) == ENDPOINTS_PER_PIECE
    assert sum(map(len, driver.module.listings)) == ENDPOINTS
    assert not any(endpoint.joined_late for endpoint in driver.module.endpoints.values()), (
        "all endpoints belong to the first list"
    )
    driver.close()


async def test_a_list_that_shrinks_to_nothing_and_doubles_is_followed(world: World) -> None:
    set_list(world, raw_endpoints(ENDPOINTS))
    driver = start_driver(world)
    await driver.until_known(ENDPOINTS)
    request = await world.discovery.wait_request(0)
    set_list(world, [*raw_endpoints(ENDPOINTS), *raw_endpoints(ENDPOINTS, name="t")])
    await send_whole_list(world, request)
    await driver.until_known(2 * ENDPOINTS)
    set_list(world, raw_endpoints(3, name="u"))
    world.discovery.hosts |= {
        host["host"]: host for host in raw_endpoints(LONG_LINE_BYTES // 100, "DRAINING", "v")
    }
    await send_whole_list(world, request)
    await driver.until_version(world.discovery.seq)
    listed = {host for host, e in driver.module.endpoints.items() if e.listing is Listing.READY}
    assert listed == {host["host"] for host in raw_endpoints(3, name="u")}
    assert max(map(len, driver.module.listings)) == ENDPOINTS_PER_PIECE
    driver.close()


async def test_what_drains_binds_before_the_rest_of_the_list_is_in_force(world: World) -> None:
    """Also an endpoint at the end of the long list."""
    set_list(world, raw_endpoints(ENDPOINTS))
    driver = start_driver(world)
    await driver.until_known(ENDPOINTS)
    first = len(driver.module.listings)
    set_list(world, raw_endpoints(ENDPOINTS))
    last = list(world.discovery.hosts)[-1]
    world.discovery.hosts[last] |= {"health": "DRAINING"}
    await send_whole_list(world, await world.discovery.wait_request(0))
    await driver.until_version(world.discovery.seq)
    pieces = driver.module.listings[first:]
    assert [piece.count(Listing.DRAINING) for piece in pieces[:2]] == [1, 0]
    assert driver.module.endpoints[last].listing is Listing.DRAINING
    driver.close()


async def test_a_change_that_comes_in_the_middle_counts_behind_the_list(world: World) -> None:
    set_list(world, raw_endpoints(ENDPOINTS))
    driver = start_driver(world)
    request = await world.discovery.wait_request(0)
    changed = raw_endpoints(ENDPOINTS)[-1] | {"health": "DRAINING"}
    world.discovery.seq += 1
    world.discovery.send_line(request, False, [changed])
    assert driver.module.listed_count < ENDPOINTS, "the list is not in force yet"
    await driver.until_version(world.discovery.seq)
    await driver.until_listed(changed["host"], Listing.DRAINING)
    assert driver.module.listed_count == ENDPOINTS
    assert [listing for piece in driver.module.listings for listing in piece].count(Listing.DRAINING) == 1
    driver.close()


async def test_a_watch_that_ends_in_the_middle_is_resumed_from_the_old_version(world: World) -> None:
    """The pieces in force by then stay, and the next watch receives the whole list."""
    set_list(world, raw_endpoints(ENDPOINTS))
    driver = start_driver(world)
    await world.discovery.wait_request(0)
    await driver.until_any_known()
    assert driver.module.listed_count < ENDPOINTS
    moved = World(world.folder / "moved")
    world.folder.joinpath("moved").mkdir()
    await moved.start()
    set_list(moved, raw_endpoints(ENDPOINTS + 1))
    moved.discovery.seq = world.discovery.seq + 1
    driver.move_discovery(("127.0.0.1", moved.discovery.port))
    assert "from=0" in (await moved.discovery.wait_request(0)).target
    await driver.until_known(ENDPOINTS + 1)
    driver.close()
    await moved.stop()


async def test_a_list_beyond_the_bound_is_refused_with_a_line_and_the_old_one_stays(
    world: World, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO")
    world.memory_mb = 32
    set_list(world, raw_endpoints(3))
    driver = start_driver(world)
    await driver.until_known(3)
    set_list(world, [host | {"site": "a" * 600} for host in raw_endpoints(ENDPOINTS)])
    await send_whole_list(world, await world.discovery.wait_request(0))
    again = await world.discovery.wait_request(1)
    assert again.received_s - (await world.discovery.wait_request(0)).received_s < UPDATE_DEADLINE_S
    assert "a line of over 1048576 bytes, the bound by this relay's memory" in caplog.text
    assert driver.module.listed_count == 3
    driver.close()


def slowly(line: bytes, part: int, gap_s: float, hang: bool = False) -> Any:
    """Return a reply that writes a line in parts; with ``hang`` the last byte is never written."""

    def reply(request: Request) -> None:
        async def run() -> None:
            request.writer.write(HEAD)
            for at in range(0, len(line) - hang, part):
                request.writer.write(chunk(line[at : min(at + part, len(line) - hang)]))
                await asyncio.sleep(gap_s)

        tasks.append(asyncio.get_running_loop().create_task(run()))

    tasks: list[asyncio.Task[None]] = []
    return reply


def whole_line(hosts: list[dict[str, Any]]) -> bytes:
    """Return the line with a whole list."""
    return json.dumps({"seq": 9, "whole": True, "hosts": hosts}).encode() + b"\n"


async def test_a_long_list_that_comes_steadily_may_take_longer_than_a_short_one(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Longer than a watch's first line may take, and than the module waits before it subscribes again."""
    monkeypatch.setattr(discovery, "FIRST_LIST_TIMEOUT_S", 0.5)
    monkeypatch.setattr(discovery, "SILENCE_TIMEOUT_S", 0.5)
    line = whole_line(raw_endpoints(6 * ENDPOINTS))
    part = 80 * 1024
    world.discovery.script.append(slowly(line, part, 0.3))
    driver = start_driver(world)
    assert len(line) / part * 0.3 > 5, "the module subscribes again after 5 s"
    await driver.until_known(6 * ENDPOINTS)
    assert len(world.discovery.requests) == 1
    driver.close()


async def test_a_long_line_that_stops_coming_is_silence(world: World) -> None:
    world.discovery.script.append(slowly(whole_line(raw_endpoints(ENDPOINTS)), 1 << 20, 0.1, hang=True))
    set_list(world, raw_endpoints(5))
    driver = start_driver(world)
    first, again = await world.discovery.wait_request(0), await world.discovery.wait_request(1)
    assert again.received_s - first.received_s < UPDATE_DEADLINE_S
    await driver.until_known(5)
    driver.close()


async def test_messages_pass_while_a_long_list_is_taken_in(world: World) -> None:
    """In the real process: sent after the list's last byte, delivered to an endpoint known before."""
    host = await world.add_host("h1")
    client = await world.start_relay()
    assert await client.submit("m0") == b"+OK"
    await host.wait_request(0)
    h1 = world.discovery.hosts["h1"]
    set_list(world, [*raw_endpoints(ENDPOINTS), h1])
    await send_whole_list(world, await world.discovery.wait_request(0))
    assert await client.submit("m1") == b"+OK"
    assert (await host.wait_request(1)).refs == ["m1"]


async def test_an_operator_may_name_any_listed_endpoint(world: World) -> None:
    """Even the first of a list with more than the relay remembers of endpoints that left."""
    set_list(world, raw_endpoints(3 * ENDPOINTS))
    driver = start_driver(world)
    await driver.until_known(3 * ENDPOINTS)
    assert driver.set_banned(raw_endpoints(1)[0]["host"], True)
    assert not driver.set_banned("never-listed", True)
    driver.close()
