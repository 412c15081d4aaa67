"""A long endpoint list with real connections: taken in by pieces while the relay goes on serving."""

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
from standins.scripted import Request, World, soon
from tests.test_watch import HEAD, TOLD_S, chunk

MANY = 2_000
DIAL = "127.0.0.1:9"  # discard: nothing is sent there


def told_hosts(count: int, health: str = "SERVING", name: str = "s") -> list[dict[str, Any]]:
    """Hosts in discovery's form, each of a destination of its own."""
    return [
        {
            "host": f"{name}-{number:08x}", "dial": DIAL, "site": "a", "class": "lots",
            "block": 100 + number, "health": health, "share": 1.0, "born_ms": 0,
        }
        for number in range(count)
    ]  # fmt: skip


class CountingModule(DecisionEngine):
    """The module, with what each step brought of the list."""

    def __init__(self, config: Config) -> None:
        super().__init__(config.settings, config.seed)
        self.taken: list[list[Listing]] = []  # by step with news: how each entry is listed

    def step(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Note, then take the step."""
        batch = list(events)
        news = [event for event in batch if isinstance(event, EndpointUpdate)]
        if news:
            self.taken.append([entry.listing for event in news for entry in event.entries])
        return super().step(now_us, batch)


class Following(Driver):
    """The loop of steps around a module that counts."""

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
        """Wait until the module knows so many endpoints."""

        async def known() -> None:
            while self.module.listed_count != count:
                await asyncio.sleep(0.005)

        await soon(known())

    async def until_any_known(self) -> None:
        """Wait until the first piece is in force."""

        async def known() -> None:
            while not self.module.listed_count:
                await asyncio.sleep(0)

        await soon(known())

    async def until_listed(self, host: str, listing: Listing) -> None:
        """Wait until the module knows a host as listed so."""

        async def known() -> None:
            while self.module.endpoints[host].listing is not listing:
                await asyncio.sleep(0.005)

        await soon(known())

    async def until_version(self, version: int) -> None:
        """Wait until a version is in force."""

        async def reached() -> None:
            while self.version != version:
                await asyncio.sleep(0.005)

        await soon(reached())


def follow(world: World) -> Following:
    """A driver that follows the world's list."""
    config = load(world.environment())
    driver = Following(config, Journal(config.state_dir, config.disk_bytes))
    driver.start()
    return driver


def put(world: World, hosts: list[dict[str, Any]]) -> None:
    """Make these the list, as a new version."""
    world.directory.seq += 1
    world.directory.hosts = {host["host"]: host for host in hosts}


async def tell_all(world: World, request: Request) -> None:
    """Tell a watch the whole list."""
    world.directory.tell(request, True, list(world.directory.hosts.values()))


async def test_a_long_list_is_in_force_by_bounded_pieces(world: World) -> None:
    put(world, told_hosts(MANY))
    driver = follow(world)
    await driver.until_known(MANY)
    await driver.until_version(world.directory.seq)
    assert max(map(len, driver.module.taken)) == ENDPOINTS_PER_PIECE
    assert sum(map(len, driver.module.taken)) == MANY
    assert not any(endpoint.joined_late for endpoint in driver.module.endpoints.values()), "all came at once"
    driver.close()


async def test_a_list_that_shrinks_to_nothing_and_doubles_is_followed(world: World) -> None:
    put(world, told_hosts(MANY))
    driver = follow(world)
    await driver.until_known(MANY)
    request = await world.directory.call(0)
    put(world, [*told_hosts(MANY), *told_hosts(MANY, name="t")])
    await tell_all(world, request)
    await driver.until_known(2 * MANY)
    put(world, told_hosts(3, name="u"))
    world.directory.hosts |= {
        host["host"]: host for host in told_hosts(LONG_LINE_BYTES // 100, "DRAINING", "v")
    }
    await tell_all(world, request)
    await driver.until_version(world.directory.seq)
    listed = {host for host, e in driver.module.endpoints.items() if e.listing is Listing.READY}
    assert listed == {host["host"] for host in told_hosts(3, name="u")}
    assert max(map(len, driver.module.taken)) == ENDPOINTS_PER_PIECE
    driver.close()


async def test_what_drains_binds_before_the_rest_of_the_list_is_in_force(world: World) -> None:
    """A host that the long list lists last."""
    put(world, told_hosts(MANY))
    driver = follow(world)
    await driver.until_known(MANY)
    first = len(driver.module.taken)
    put(world, told_hosts(MANY))
    last = list(world.directory.hosts)[-1]
    world.directory.hosts[last] |= {"health": "DRAINING"}
    await tell_all(world, await world.directory.call(0))
    await driver.until_version(world.directory.seq)
    pieces = driver.module.taken[first:]
    assert [piece.count(Listing.DRAINING) for piece in pieces[:2]] == [1, 0]
    assert driver.module.endpoints[last].listing is Listing.DRAINING
    driver.close()


async def test_a_change_that_comes_in_the_middle_counts_behind_the_list(world: World) -> None:
    put(world, told_hosts(MANY))
    driver = follow(world)
    request = await world.directory.call(0)
    changed = told_hosts(MANY)[-1] | {"health": "DRAINING"}
    world.directory.seq += 1
    world.directory.tell(request, False, [changed])
    assert driver.module.listed_count < MANY, "the list is not in force yet"
    await driver.until_version(world.directory.seq)
    await driver.until_listed(changed["host"], Listing.DRAINING)
    assert driver.module.listed_count == MANY
    assert [listing for piece in driver.module.taken for listing in piece].count(Listing.DRAINING) == 1
    driver.close()


async def test_a_watch_that_ends_in_the_middle_is_resumed_from_the_old_version(world: World) -> None:
    """What was in force by then stays, and the next watch tells all."""
    put(world, told_hosts(MANY))
    driver = follow(world)
    await world.directory.call(0)
    await driver.until_any_known()
    assert driver.module.listed_count < MANY
    moved = World(world.folder / "moved")
    world.folder.joinpath("moved").mkdir()
    await moved.start()
    put(moved, told_hosts(MANY + 1))
    moved.directory.seq = world.directory.seq + 1
    driver.move_discovery(("127.0.0.1", moved.directory.port))
    assert "from=0" in (await moved.directory.call(0)).target
    await driver.until_known(MANY + 1)
    driver.close()
    await moved.stop()


async def test_a_list_beyond_the_bound_is_refused_with_a_line_and_the_old_one_stays(
    world: World, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO")
    world.memory_mb = 32
    put(world, told_hosts(3))
    driver = follow(world)
    await driver.until_known(3)
    put(world, [host | {"site": "a" * 600} for host in told_hosts(MANY)])
    await tell_all(world, await world.directory.call(0))
    again = await world.directory.call(1)
    assert again.at_s - (await world.directory.call(0)).at_s < TOLD_S
    assert "a line of over 1048576 bytes, the bound by this relay's memory" in caplog.text
    assert driver.module.listed_count == 3
    driver.close()


def slowly(line: bytes, part: int, gap_s: float, hang: bool = False) -> Any:
    """A reply that writes a line by parts; where it hangs, the last byte never comes."""

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
    """The line of a whole list."""
    return json.dumps({"seq": 9, "whole": True, "hosts": hosts}).encode() + b"\n"


async def test_a_long_list_that_comes_steadily_may_take_longer_than_a_short_one(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Longer than the first line of a watch may take, and than the module waits until it asks again."""
    monkeypatch.setattr(discovery, "FIRST_LIST_TIMEOUT_S", 0.5)
    monkeypatch.setattr(discovery, "SILENCE_TIMEOUT_S", 0.5)
    line = whole_line(told_hosts(6 * MANY))
    part = 80 * 1024
    world.directory.script.append(slowly(line, part, 0.3))
    driver = follow(world)
    assert len(line) / part * 0.3 > 5, "the module asks again after 5 s"
    await driver.until_known(6 * MANY)
    assert len(world.directory.seen) == 1
    driver.close()


async def test_a_long_line_that_stops_coming_is_silence(world: World) -> None:
    world.directory.script.append(slowly(whole_line(told_hosts(MANY)), 1 << 20, 0.1, hang=True))
    put(world, told_hosts(5))
    driver = follow(world)
    first, again = await world.directory.call(0), await world.directory.call(1)
    assert again.at_s - first.at_s < TOLD_S
    await driver.until_known(5)
    driver.close()


async def test_messages_pass_while_a_long_list_is_taken_in(world: World) -> None:
    """By the real process: handed in behind the list's last byte, delivered by what is known already."""
    host = await world.add("h1")
    client = await world.run()
    assert await client.hand_in("m0") == b"+OK"
    await host.call(0)
    h1 = world.directory.hosts["h1"]
    put(world, [*told_hosts(MANY), h1])
    await tell_all(world, await world.directory.call(0))
    assert await client.hand_in("m1") == b"+OK"
    assert (await host.call(1)).ids == ["m1"]


async def test_an_operator_may_name_any_listed_endpoint(world: World) -> None:
    """Also the first of more than are remembered once they left."""
    put(world, told_hosts(3 * MANY))
    driver = follow(world)
    await driver.until_known(3 * MANY)
    assert driver.set_banned(told_hosts(1)[0]["host"], True)
    assert not driver.set_banned("never-listed", True)
    driver.close()
