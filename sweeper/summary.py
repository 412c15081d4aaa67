"""The fleet's summary, and how a relay's figures are added to it; without I/O.

A relay's counters start at zero in each of its processes. A counter below its last reading shows that a new
process has started: the last reading is then added to what earlier processes counted, so that the fleet's
sums only grow.
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Iterable

import msgspec

# That many relays, with names that long, fit one record of the quorum.
MAX_RELAYS_PER_RECORD = 200
MAX_NAME_BYTES = 24  # of a relay's name
SLICE_COUNT = 16  # records of a fleet that does not fit one record; each is kept by a task of its own
MAX_RELAYS = 2_048  # 128 in each slice on average
MAX_FIGURES = 14  # of a relay: those of the classes and some of its own; further ones are ignored
MAX_WHY_CHARS = 60  # of the reason why a reading failed


class FiguresError(ValueError):
    """A relay's answer is not a list of figures."""


class RelayReading(msgspec.Struct, array_like=True):
    """The last reading of one relay, and the counts of its earlier processes.

    The record has the fields in this order, without their names.
    """

    at_s: float = 0.0  # wall clock time of the last reading that succeeded; 0: none yet
    why: str = ""  # why the last reading failed; empty: it succeeded
    now: list[int] = []  # values in the order of the summary's ``names``
    before: list[int] = []  # the counts of earlier processes, in the same order


class Summary(msgspec.Struct):
    """All relays of a slice; the task's state, from which the next sweeper continues."""

    rounds: int = 0  # completed
    position: str = ""  # the relay that was read last in this round
    readings: int = 0
    names: list[str] = []  # of figures: counters end with |c, gauges with |g
    relays: dict[str, RelayReading] = {}


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Summary)


def encode_summary(summary: Summary) -> bytes:
    """The record of a summary."""
    return _ENCODER.encode(summary)


def decode_summary(data: bytes) -> Summary:
    """The summary in a record; an empty one if there is no record or it cannot be read."""
    try:
        return _DECODER.decode(data) if data else Summary()
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Summary()


def parse_figures(body: bytes) -> dict[str, int]:
    """A relay's figures by name and kind (``requests.x.served|c``); ``FiguresError`` if a line is not one.

    The figures of ``app.cost.`` are left out.
    """
    figures = dict[str, int]()
    for line in body.decode("ascii", "replace").split():
        name, _, rest = line.rpartition(":")
        value, separator, kind = rest.partition("|")
        if not name or not separator or kind not in ("c", "g") or not value.isdecimal():
            raise FiguresError(f"not a figure: {line[:40]!r}")
        if "app.cost." not in name:
            figures[f"{name.removeprefix('app.')}|{kind}"] = int(value)
    if not figures:
        raise FiguresError("no figures")
    return figures


def split_into_slices(relays: Iterable[str]) -> list[list[str]]:
    """The relays of each record: all in one if they fit, else ``SLICE_COUNT`` of them.

    The slice is a hash of the relay's name, so that no relay moves when others are added.
    """
    names = sorted(relays)
    if len(names) <= MAX_RELAYS_PER_RECORD:
        return [names]
    slices: list[list[str]] = [[] for _ in range(SLICE_COUNT)]
    for name in names:
        slices[zlib.crc32(name.encode()) % SLICE_COUNT].append(name)
    return slices


def next_relays(summary: Summary, relays: list[str], limit: int) -> tuple[list[str], bool]:
    """Up to ``limit`` next relays to read, in the order of their names, and whether they end the round."""
    names = sorted(relays)
    remaining = [name for name in names if name > summary.position]
    selected = remaining[:limit]
    return selected, len(selected) == len(remaining)


def record_reading(
    summary: Summary, name: str, at_s: float, figures: dict[str, int] | None, why: str = ""
) -> None:
    """Add one reading of a relay to the summary; if it failed ``figures`` is None and ``why`` the reason."""
    summary.readings += 1
    reading = summary.relays.setdefault(name, RelayReading())
    if figures is None:
        reading.why = why[:MAX_WHY_CHARS] or "no answer"
        return
    for figure in figures:
        if figure not in summary.names and len(summary.names) < MAX_FIGURES:
            summary.names.append(figure)
    width = len(summary.names)
    last, before = (
        reading.now + [0] * (width - len(reading.now)),
        reading.before + [0] * (width - len(reading.before)),
    )
    now = [figures.get(figure, 0) for figure in summary.names]
    counters = [index for index, figure in enumerate(summary.names) if figure.endswith("|c")]
    if any(now[index] < last[index] for index in counters):
        for index in counters:
            before[index] += last[index]
    reading.at_s, reading.why, reading.now, reading.before = at_s, "", now, before


def sum_figures(slices: Iterable[Summary]) -> dict[str, int]:
    """The fleet's sums: counters over all processes ever read, gauges over the relays that answer."""
    sums = Counter[str]()
    for summary in slices:
        for index, figure in enumerate(summary.names):
            is_counter = figure.endswith("|c")
            sums[figure.partition("|")[0]] += sum(
                (reading.now[index] if index < len(reading.now) else 0) * (is_counter or not reading.why)
                + (reading.before[index] if is_counter and index < len(reading.before) else 0)
                for reading in summary.relays.values()
            )
    return dict(sums)
