"""How a relay loads the endpoint list: the counts when it comes in one step, in several, or never."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from decisions.interface import EndpointUpdateKind
from fleetlab.scale import list_loading
from fleetlab.scale.fit import growth_exponent
from fleetlab.scale.list_loading import CountingDriver, load_into_driver, load_into_process
from fleetlab.scale.subjects.endpoint_list import driver_readings, measure_engine
from relay.endpoint_list import DirectoryUpdate

SIZES = (40, 80, 160)
SEED = 1
PIECE_SIZE = 16  # entries
POLL_S = 0.002  # between checks whether the engine has a piece


def check_linear(count_of: Callable[[int], int]) -> None:
    """Assert that a count grows no faster than the list."""
    assert growth_exponent([(size, float(count_of(size))) for size in SIZES]) <= 1.1


class PiecewiseDriver(CountingDriver):
    """Loads a list in pieces, each after the engine has the previous one."""

    pieces: asyncio.Task[None] | None = None

    def _apply_list(self, update: DirectoryUpdate, kind: EndpointUpdateKind | None = None) -> None:
        self.pieces = asyncio.get_running_loop().create_task(self._apply_piecewise(update))

    async def _apply_piecewise(self, update: DirectoryUpdate) -> None:
        for first in range(0, len(update.endpoints), PIECE_SIZE):
            piece = update.endpoints[first : first + PIECE_SIZE]
            super()._apply_list(DirectoryUpdate(update.version, False, piece))
            while self.engine.entries_taken < first + len(piece):
                await asyncio.sleep(POLL_S)


class ResendingDriver(CountingDriver):
    """A planted quadratic cost: with each entry, gives all entries so far to the engine."""

    def _apply_list(self, update: DirectoryUpdate, kind: EndpointUpdateKind | None = None) -> None:
        for end in range(1, len(update.endpoints) + 1):
            super()._apply_list(DirectoryUpdate(update.version, False, update.endpoints[:end]))


class IgnoringDriver(CountingDriver):
    """Never gives a list to the engine."""

    def _apply_list(self, update: DirectoryUpdate, kind: EndpointUpdateKind | None = None) -> None:
        pass


def test_the_driver_gives_each_entry_to_the_engine_once() -> None:
    check_linear(lambda size: load_into_driver(size, SEED).entries_handed)


def test_a_driver_that_resends_the_list_for_each_entry_is_detected() -> None:
    with pytest.raises(AssertionError):
        check_linear(lambda size: load_into_driver(size, SEED, ResendingDriver).entries_handed)


def test_the_line_of_a_whole_list_grows_with_the_list() -> None:
    check_linear(lambda size: int(readings_of(size)["whole_list_bytes"]))


def readings_of(size: int) -> dict[str, float]:
    """The engine's figures by name."""
    return {reading.figure: reading.value for reading in measure_engine(size, SEED)}


def test_a_list_that_fits_one_line_is_known_by_the_driver() -> None:
    load = load_into_driver(40, SEED)
    assert load.known == load.entries_handed == 40
    assert 0 < load.max_entries_in_one_step <= 40
    assert load.seconds is not None


def test_a_list_in_pieces_is_known_after_the_last_piece() -> None:
    load = load_into_driver(3 * PIECE_SIZE, SEED, PiecewiseDriver)
    assert load.known == 3 * PIECE_SIZE
    assert load.max_entries_in_one_step == PIECE_SIZE


def test_a_list_that_never_arrives_is_reported_as_not_known(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(list_loading, "LIST_TIMEOUT_S", 0.3)
    load = load_into_driver(40, SEED, IgnoringDriver)
    assert load.seconds is None
    readings = {reading.figure: reading.value for reading in driver_readings(load)}
    assert readings["list_known"] == 0
    assert readings["most_entries_in_one_step"] == 0
    assert "seconds_until_known" not in readings


def test_a_real_process_knows_the_list_after_one_line_of_it() -> None:
    load = load_into_process(40, SEED)
    assert load.known == 40
    assert load.written_bytes == readings_of(40)["whole_list_bytes"]
