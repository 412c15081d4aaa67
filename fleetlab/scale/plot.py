"""Plots a report: each figure over size, on logarithmic axes, with its fit."""

from __future__ import annotations

from pathlib import Path

import matplotlib as mpl
import numpy as np
from matplotlib.figure import Figure

from fleetlab.scale.records import ScaleReport, Slope

COLUMNS = 3
WIDTH_INCHES = 4.2  # of one plot
HEIGHT_INCHES = 3.2  # of one plot
# Points that a fit is drawn with: a straight line with an intercept is curved on logarithmic axes.
POINTS_PER_FIT = 60


def write_plot(report: ScaleReport, path: Path) -> None:
    """Write an image with one plot for each figure; a dashed line marks the target size."""
    mpl.use("Agg")
    rows = max(1, -(-len(report.slopes) // COLUMNS))
    figure = Figure(figsize=(COLUMNS * WIDTH_INCHES, rows * HEIGHT_INCHES), layout="constrained")
    figure.suptitle(f"{report.subject}: {report.about}")
    for place, slope in enumerate(report.slopes):
        _draw(figure, (rows, COLUMNS, place + 1), report, slope)
    figure.savefig(path)


def _draw(figure: Figure, place: tuple[int, int, int], report: ScaleReport, slope: Slope) -> None:
    axes = figure.add_subplot(*place)
    points = [
        (sample.size, reading.value)
        for sample in report.samples
        for reading in sample.readings
        if reading.figure == slope.figure
    ]
    axes.plot([size for size, _ in points], [value for _, value in points], "o")
    sizes = np.geomspace(min(slope.sizes), max(*slope.sizes, slope.target), POINTS_PER_FIT)
    axes.plot(sizes, slope.intercept + slope.slope * sizes, "-", linewidth=1)
    axes.axvline(slope.target, linestyle="--", linewidth=1, color="#999999")
    axes.set_xscale("log")
    if all(value > 0 for _, value in points):
        axes.set_yscale("log")
    axes.set_title(f"{slope.figure} (exponent {slope.exponent:.2f})", fontsize=9)
    axes.set_xlabel(report.axis, fontsize=8)
