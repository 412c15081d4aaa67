"""Straight-line fits of readings over sizes, and the exponent of their growth. No I/O, no state."""

from __future__ import annotations

import math
from collections.abc import Sequence

import numpy as np

from fleetlab.scale.records import Sample, Slope, Source


def fit_figures(samples: Sequence[Sample], target: int) -> tuple[Slope, ...]:
    """A fit for each figure with readings at two or more sizes, in the order of the first reading."""
    points: dict[str, list[tuple[int, float]]] = {}
    sources: dict[str, Source] = {}
    for sample in sorted(samples, key=lambda sample: sample.size):
        for reading in sample.readings:
            points.setdefault(reading.figure, []).append((sample.size, reading.value))
            sources[reading.figure] = reading.source
    return tuple(
        fit_line(figure, sources[figure], figure_points, target)
        for figure, figure_points in points.items()
        if len({size for size, _ in figure_points}) > 1
    )


def fit_line(figure: str, source: Source, points: Sequence[tuple[int, float]], target: int) -> Slope:
    """The least-squares line through the points, and the value at the target size.

    Where the target was measured, the mean of its readings is used in place of the line's value.
    """
    sizes = np.array([size for size, _ in points], dtype=float)
    values = np.array([value for _, value in points], dtype=float)
    slope, intercept = (float(part) for part in np.polyfit(sizes, values, 1))
    deviation = float(np.max(np.abs(values - (intercept + slope * sizes))))
    largest = float(np.max(np.abs(values)))
    measured = [value for size, value in points if size == target]
    return Slope(
        figure=figure,
        source=source,
        sizes=tuple(int(size) for size in sizes),
        slope=slope,
        intercept=intercept,
        exponent=growth_exponent(points),
        error=deviation / largest if largest else 0.0,
        target=target,
        at_target=sum(measured) / len(measured) if measured else intercept + slope * target,
        extrapolated_by=1.0 if measured else target / max(size for size, _ in points),
    )


def growth_exponent(points: Sequence[tuple[int, float]]) -> float:
    """The exponent p for which the figure grows as ``size ** p``, fitted over the upper half of the sizes.

    Constant costs hide growth at small sizes, so only the upper half predicts larger ones. 0 if fewer than
    two sizes have a value above 0.
    """
    positive = [(math.log(size), math.log(value)) for size, value in points if value > 0]
    upper = positive[-max(2, (len(positive) + 1) // 2) :]
    if len({size for size, _ in upper}) < 2:
        return 0.0
    slope, _ = np.polyfit([size for size, _ in upper], [value for _, value in upper], 1)
    return float(slope)
