"""Tables of figures: of one revision, or of two revisions in pairs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

from tools.cost.reading import Figures


@dataclass(frozen=True, slots=True)
class Ratio:
    """A figure of this revision divided by that of the base revision, over pairs of runs."""

    base: float  # median
    now: float  # median
    ratio: float  # median of the pairs' ratios
    least: float  # smallest of the pairs' ratios
    most: float  # largest of the pairs' ratios
    pairs: int  # number of pairs

    @property
    def is_clear(self) -> bool:
        """Whether all pairs agree on the direction of the change: all ratios are below 1, or all above."""
        return self.most < 1 or self.least > 1


def compute_ratio(pairs: list[tuple[float, float]]) -> Ratio | None:
    """Return the ratio over pairs of (base, now); None if there is no pair or a base is not positive."""
    if not pairs or any(base <= 0 for base, _ in pairs):
        return None
    ratios = [now / base for base, now in pairs]
    bases, nows = [base for base, _ in pairs], [now for _, now in pairs]
    return Ratio(median(bases), median(nows), median(ratios), min(ratios), max(ratios), len(pairs))


def compare_figures(base: list[Figures], now: list[Figures]) -> dict[str, Ratio]:
    """Return the ratio of each figure that all runs of both revisions have and whose base is positive."""
    names = [name for name in (now[0] if now else ()) if all(name in play for play in (*base, *now))]
    ratios = {
        name: compute_ratio([(b[name], n[name]) for b, n in zip(base, now, strict=True)]) for name in names
    }
    return {name: ratio for name, ratio in ratios.items() if ratio is not None}


def format_number(value: float) -> str:
    """Format a number to three significant digits, or whole from 100; runs are not more precise."""
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def format_columns(rows: Iterable[tuple[str, ...]]) -> str:
    """Format rows as aligned columns: the first two to the left, the others to the right."""
    table = list(rows)
    widths = [max(len(row[column]) for row in table) for column in range(len(table[0]))]

    def align(row: tuple[str, ...]) -> str:
        cells = [cell.rjust(width) for cell, width in zip(row, widths, strict=True)]
        cells[:2] = [cell.ljust(width) for cell, width in zip(row[:2], widths, strict=False)]
        return "  ".join(cells).rstrip()

    return "\n".join(map(align, table))


def format_figures(results: dict[str, Figures]) -> str:
    """Return a table of the figures of each scenario."""
    rows = [("scenario", "figure", "value")]
    rows += [
        (scenario, name, format_number(value))
        for scenario, figures in results.items()
        for name, value in figures.items()
    ]
    return format_columns(rows)


def format_ratios(results: dict[str, dict[str, Ratio]]) -> str:
    """Return a table of ratios, with ``=`` where the pairs do not agree on the direction of the change."""
    rows = [("scenario", "figure", "base", "now", "ratio", "least", "most", "")]
    for scenario, ratios in results.items():
        for name, ratio in ratios.items():
            cells = (
                format_number(ratio.base),
                format_number(ratio.now),
                f"{ratio.ratio:.2f}",
                f"{ratio.least:.2f}",
                f"{ratio.most:.2f}",
            )
            rows.append((scenario, name, *cells, "" if ratio.is_clear else "="))
    return format_columns(rows)
