"""A directory and its watchers: lines and bytes of a change and of a return, by watchers and list length."""

from __future__ import annotations

import asyncio
import functools

import pytest

from fleetlab.scale.directory import LOOPBACK, Counts, Directory, ReadCounts, SetHealth
from fleetlab.scale.fit import growth_exponent
from fleetlab.scale.records import Reading, Source
from fleetlab.scale.subjects import real_watchers, watchers
from fleetlab.scale.watching import CountReached, WatcherGroup
from standins.platform import EndpointEntry
from standins.scripted import with_timeout

SIZES = (5, 10, 20)
SEED = 1
DOWN_S = 0.1  # for which the directory is down
POLL_S = 0.005  # between checks whether all watchers have a version


class WholeListDirectory(Directory):
    """Writes the whole list with each change: a quadratic cost in a fleet whose list grows with it."""

    def _set_health(self, entry: EndpointEntry, health: str) -> None:
        super()._set_health(entry, health)
        for writer in self._watches:
            self._write(writer, self._whole_list_line())


async def change_counts(size: int, list_size: int, directory_type: type[Directory] = Directory) -> Counts:
    """The lines and bytes that a directory writes to ``size`` watchers for one change."""
    directory = directory_type(list_size, SEED)
    await directory.start()
    group = WatcherGroup((LOOPBACK, directory.execute(ReadCounts()).port), size, 0)
    await with_timeout(group.start())
    before = directory.execute(ReadCounts())
    lines, line_bytes = before.lines, before.line_bytes
    after = directory.execute(SetHealth(0, "DRAINING"))
    await with_timeout(wait_until_reached(group, size, list_size + 1))
    group.close()
    directory.close()
    return Counts(lines=after.lines - lines, line_bytes=after.line_bytes - line_bytes)


async def wait_until_reached(group: WatcherGroup, size: int, version: int) -> None:
    """Wait until all ``size`` watchers have a version."""
    while group.execute(CountReached(version)).reached < size:
        await asyncio.sleep(POLL_S)


async def check_change_is_linear(directory_type: type[Directory]) -> None:
    """Assert that the bytes of a change grow no faster than a fleet with as many endpoints as watchers."""
    points = [(size, float((await change_counts(size, size, directory_type)).line_bytes)) for size in SIZES]
    assert growth_exponent(points) <= 1.1


async def test_the_bytes_of_a_change_grow_with_the_fleet() -> None:
    await check_change_is_linear(Directory)


async def test_a_directory_that_writes_the_whole_list_with_each_change_is_detected() -> None:
    with pytest.raises(AssertionError):
        await check_change_is_linear(WholeListDirectory)


async def test_a_change_is_one_line_to_each_watcher_for_any_list_length() -> None:
    short, long = await change_counts(5, 20), await change_counts(5, 400)
    assert short.lines == long.lines == 5
    assert long.line_bytes < 1.1 * short.line_bytes


@pytest.fixture(autouse=True)
def one_process(monkeypatch: pytest.MonkeyPatch) -> None:
    """Use one process: it is enough for a few watchers, and each process takes time to start."""
    monkeypatch.setattr(watchers, "MAX_PROCESSES", 1)


@functools.cache
def measure_by_figure(size: int, list_size: int, whole: bool = True) -> dict[str, Reading]:
    """The subject's readings by figure."""
    readings = watchers.measure(size, SEED, list_size, DOWN_S, whole)
    return {reading.figure: reading for reading in readings}


def test_watchers_in_processes_return_by_version_and_by_the_whole_list() -> None:
    short, long = measure_by_figure(4, 20), measure_by_figure(8, 40)
    assert short["change_lines"].value == 4
    assert long["change_lines"].value == 8
    for how in ("resumed", "whole"):
        assert short[f"return_{how}_watches"].value == short[f"return_{how}_lines"].value == 4
        assert short[f"return_{how}_bytes"].source is Source.COUNT
    twice = 2 * short["return_resumed_bytes"].value
    assert twice * 0.95 < long["return_resumed_bytes"].value < twice * 1.1
    assert long["return_whole_bytes"].value > 3.5 * short["return_whole_bytes"].value


def test_watchers_that_start_at_a_version_never_ask_for_the_whole_list() -> None:
    readings = measure_by_figure(3, 400, whole=False)
    assert readings["return_resumed_watches"].value == 3
    assert readings["return_resumed_bytes"].value < 3 * 1000
    assert "return_whole_bytes" not in readings


def test_real_relays_are_written_the_same_as_simulated_watchers() -> None:
    simulated = measure_by_figure(4, 20)
    for reading in real_watchers.measure(4, SEED, 20, DOWN_S, whole=False):
        if reading.source is Source.COUNT:
            assert reading.value == simulated[reading.figure.removeprefix("real_")].value, reading.figure
