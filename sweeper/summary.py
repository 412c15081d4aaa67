"""The fleet's summary, and how a relay's figures come into it. Pure.

A relay's counts begin anew with each of its processes. A count that is smaller than the last one read is of a
new process: what the one before had counted is kept, so that the fleet's sums only grow.
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Iterable

import msgspec

MAX_RELAYS_PER_RECORD, MAX_NAME_BYTES = (
    200,
    24,
)  # so many relays, with names so long, fit one record of the quorum
SLICE_COUNT = 16  # records of a fleet that one does not hold, each kept by a task of its own
MAX_RELAYS = 2_048  # of which a slice gets 128 in the mean
MAX_FIGURES = 14  # of a relay: the classes' and some of its own
MAX_WHY_CHARS = 60  # characters


class FiguresError(ValueError):
    """What a relay answered are no figures."""


class RelayReading(msgspec.Struct, array_like=True):
    """One relay, as it was read last."""

    at_s: float = 0.0  # wall clock, of the last reading that brought figures; 0: none yet
    why: str = ""  # the last reading brought none; empty: it did
    now: list[int] = []  # by the summary's names
    before: list[int] = []  # what earlier processes had counted


class Summary(msgspec.Struct):
    """All relays; the state that the next sweeper goes on from."""

    rounds: int = 0  # that are complete
    position: str = ""  # the relay that was read last in this round
    readings: int = 0
    names: list[str] = []  # of figures; counts end with |c, others with |g
    relays: dict[str, RelayReading] = {}


_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Summary)


def encode_summary(summary: Summary) -> bytes:
    """As it stands in the record."""
    return _ENCODER.encode(summary)


def decode_summary(data: bytes) -> Summary:
    """From the record; a first one where there is none or it cannot be read."""
    try:
        return _DECODER.decode(data) if data else Summary()
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Summary()


def parse_figures(body: bytes) -> dict[str, int]:
    """A relay's figures by name and kind; ``FiguresError`` where they are none."""
    found = dict[str, int]()
    for line in body.decode("ascii", "replace").split():
        name, _, rest = line.rpartition(":")
        value, sign, kind = rest.partition("|")
        if not name or not sign or kind not in ("c", "g") or not value.isdecimal():
            raise FiguresError(f"not a figure: {line[:40]!r}")
        if "app.cost." not in name:
            found[f"{name.removeprefix('app.')}|{kind}"] = int(value)
    if not found:
        raise FiguresError("no figures")
    return found


def split_into_slices(relays: Iterable[str]) -> list[list[str]]:
    """The relays of each record: all in one, or by their names, so that none moves when others come."""
    names = sorted(relays)
    if len(names) <= MAX_RELAYS_PER_RECORD:
        return [names]
    slices: list[list[str]] = [[] for _ in range(SLICE_COUNT)]
    for name in names:
        slices[zlib.crc32(name.encode()) % SLICE_COUNT].append(name)
    return slices


def next_relays(summary: Summary, relays: list[str], most: int) -> tuple[list[str], bool]:
    """The next relays to be read, in the order of their names, and whether they end a round."""
    names = sorted(relays)
    rest = [name for name in names if name > summary.position]
    some = rest[:most]
    return some, len(some) == len(rest)


def record_reading(
    summary: Summary, name: str, at_s: float, figures: dict[str, int] | None, why: str = ""
) -> None:
    """One reading of a relay."""
    summary.readings += 1
    seen = summary.relays.setdefault(name, RelayReading())
    if figures is None:
        seen.why = why[:MAX_WHY_CHARS] or "no answer"
        return
    for figure in figures:
        if figure not in summary.names and len(summary.names) < MAX_FIGURES:
            summary.names.append(figure)
    width = len(summary.names)
    last, before = seen.now + [0] * (width - len(seen.now)), seen.before + [0] * (width - len(seen.before))
    now = [figures.get(figure, 0) for figure in summary.names]
    counts = [at for at, figure in enumerate(summary.names) if figure.endswith("|c")]
    if any(now[at] < last[at] for at in counts):
        for at in counts:
            before[at] += last[at]
    seen.at_s, seen.why, seen.now, seen.before = at_s, "", now, before


def sum_figures(slices: Iterable[Summary]) -> dict[str, int]:
    """Sums over the fleet: of counts over all processes ever read, of others over the relays that answer."""
    found = Counter[str]()
    for summary in slices:
        for at, figure in enumerate(summary.names):
            count = figure.endswith("|c")
            found[figure.partition("|")[0]] += sum(
                (seen.now[at] if at < len(seen.now) else 0) * (count or not seen.why)
                + (seen.before[at] if count and at < len(seen.before) else 0)
                for seen in summary.relays.values()
            )
    return dict(found)
