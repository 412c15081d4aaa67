"""Figures as text: one play, or two revisions in pairs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

from tools.cost.reading import Figures


@dataclass(frozen=True, slots=True)
class Ratio:
    """A figure of one revision over the same of another: the median of the pairs, and how far they spread."""

    base: float
    now: float
    ratio: float
    least: float
    most: float
    pairs: int

    @property
    def is_clear(self) -> bool:
        """Whether every pair says the same: all below or all above one."""
        return self.most < 1 or self.least > 1


def compute_ratio(pairs: list[tuple[float, float]]) -> Ratio | None:
    """The ratio over pairs of (base, now); None where the base was nothing and there is no ratio."""
    if not pairs or any(base <= 0 for base, _ in pairs):
        return None
    ratios = [now / base for base, now in pairs]
    bases, nows = [base for base, _ in pairs], [now for _, now in pairs]
    return Ratio(median(bases), median(nows), median(ratios), min(ratios), max(ratios), len(pairs))


def compare_figures(base: list[Figures], now: list[Figures]) -> dict[str, Ratio]:
    """Each figure that both revisions tell in every pair."""
    names = [name for name in (now[0] if now else ()) if all(name in play for play in (*base, *now))]
    found = {
        name: compute_ratio([(b[name], n[name]) for b, n in zip(base, now, strict=True)]) for name in names
    }
    return {name: ratio for name, ratio in found.items() if ratio is not None}


def format_number(value: float) -> str:
    """Short, without a show of precision that a play does not have."""
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def format_columns(rows: Iterable[tuple[str, ...]]) -> str:
    """Text in columns: names to the left, numbers to the right."""
    lines = list(rows)
    widths = [max(len(line[at]) for line in lines) for at in range(len(lines[0]))]

    def aligned(line: tuple[str, ...]) -> str:
        cells = [cell.rjust(width) for cell, width in zip(line, widths, strict=True)]
        cells[:2] = [cell.ljust(width) for cell, width in zip(line[:2], widths, strict=False)]
        return "  ".join(cells).rstrip()

    return "\n".join(map(aligned, lines))


def format_figures(results: dict[str, Figures]) -> str:
    """A table of the figures of each scenario."""
    rows = [("scenario", "figure", "value")]
    rows += [
        (scenario, name, format_number(value))
        for scenario, plays in results.items()
        for name, value in plays.items()
    ]
    return format_columns(rows)


def format_ratios(results: dict[str, dict[str, Ratio]]) -> str:
    """A table of ratios; ``=`` where the pairs do not agree on the sign of a change."""
    rows = [("scenario", "figure", "base", "now", "ratio", "least", "most", "")]
    for scenario, ratios in results.items():
        for name, r in ratios.items():
            told = (
                format_number(r.base),
                format_number(r.now),
                f"{r.ratio:.2f}",
                f"{r.least:.2f}",
                f"{r.most:.2f}",
            )
            rows.append((scenario, name, *told, "" if r.is_clear else "="))
    return format_columns(rows)
