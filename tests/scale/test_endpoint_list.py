"""A relay's intake of the endpoint list: what the counts say, in one step, in several, and never."""

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
PIECE = 16  # entries
LOOK_S = 0.002  # s between looks whether a piece is taken


def check_linear(count_of: Callable[[int], int]) -> None:
    """A count that grows no faster than the list."""
    assert growth_exponent([(size, float(count_of(size))) for size in SIZES]) <= 1.1


class PiecewiseDriver(CountingDriver):
    """Takes a list in pieces, each once the module has the one before."""

    pieces: asyncio.Task[None] | None = None

    def _apply_list(self, news: DirectoryUpdate, kind: EndpointUpdateKind | None = None) -> None:
        self.pieces = asyncio.get_running_loop().create_task(self._hand_in(news))

    async def _hand_in(self, news: DirectoryUpdate) -> None:
        for first in range(0, len(news.endpoints), PIECE):
            piece = news.endpoints[first : first + PIECE]
            super()._apply_list(DirectoryUpdate(news.version, False, piece))
            while self.engine.entries_taken < first + len(piece):
                await asyncio.sleep(LOOK_S)


class ResendingDriver(CountingDriver):
    """Hands all entries so far to the module with each entry: a planted quadratic."""

    def _apply_list(self, news: DirectoryUpdate, kind: EndpointUpdateKind | None = None) -> None:
        for end in range(1, len(news.endpoints) + 1):
            super()._apply_list(DirectoryUpdate(news.version, False, news.endpoints[:end]))


class DeafDriver(CountingDriver):
    """Never hands a list in."""

    def _apply_list(self, news: DirectoryUpdate, kind: EndpointUpdateKind | None = None) -> None:
        pass


def test_the_driver_hands_each_entry_to_the_module_once() -> None:
    check_linear(lambda size: load_into_driver(size, SEED).entries_handed)


def test_a_driver_that_hands_in_the_whole_view_for_each_entry_is_found() -> None:
    with pytest.raises(AssertionError):
        check_linear(lambda size: load_into_driver(size, SEED, ResendingDriver).entries_handed)


def test_the_line_of_a_whole_list_grows_with_the_list() -> None:
    check_linear(lambda size: int(readings_of(size)["whole_list_bytes"]))


def readings_of(size: int) -> dict[str, float]:
    """The direct figures by name."""
    return {reading.figure: reading.value for reading in measure_engine(size, SEED)}


def test_a_list_that_fits_is_known_by_the_driver_with_each_entry_in_a_step() -> None:
    taken_in = load_into_driver(40, SEED)
    assert taken_in.known == taken_in.entries_handed == 40
    assert 0 < taken_in.max_entries_in_one_step <= 40
    assert taken_in.seconds is not None


def test_a_list_in_pieces_is_known_once_the_last_has_come() -> None:
    taken_in = load_into_driver(3 * PIECE, SEED, PiecewiseDriver)
    assert taken_in.known == 3 * PIECE
    assert taken_in.max_entries_in_one_step == PIECE


def test_a_list_that_never_comes_ends_as_known_to_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(list_loading, "LIST_TIMEOUT_S", 0.3)
    taken_in = load_into_driver(40, SEED, DeafDriver)
    assert taken_in.seconds is None
    readings = {reading.figure: reading.value for reading in driver_readings(taken_in)}
    assert readings["list_known"] == 0
    assert readings["most_entries_in_one_step"] == 0
    assert "seconds_until_known" not in readings


def test_a_real_process_knows_the_list_after_one_line_of_it() -> None:
    taken_in = load_into_process(40, SEED)
    assert taken_in.known == 40
    assert taken_in.written_bytes == readings_of(40)["whole_list_bytes"]
