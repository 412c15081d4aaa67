"""``python -m fleetlab scale``: measure how cost grows with size, fit the growth, compare reports."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from fleetlab.scale import machine
from fleetlab.scale.fit import fit_figures
from fleetlab.scale.records import Sample, ScaleError, ScaleReport
from fleetlab.scale.registry import SUBJECTS
from fleetlab.scale.subject import Subject
from fleetlab.scale.worker import measure_in_process

MAX_SIZES = 16


def parse_sizes(text: str | None, subject: Subject) -> tuple[int, ...]:
    """The sizes in a comma-separated text, ascending; the subject's own without a text.

    Raises ``ScaleError`` for anything but whole numbers, and for more than ``MAX_SIZES`` sizes.
    """
    if text is None:
        return subject.sizes
    try:
        sizes = tuple(sorted({int(item) for item in text.split(",")}))
    except ValueError:
        raise ScaleError(f"--sizes: not whole numbers between commas: {text!r}") from None
    if len(sizes) > MAX_SIZES:
        raise ScaleError(f"--sizes: {len(sizes)} sizes, {MAX_SIZES} at most")
    return sizes


def measure_sizes(
    subject: Subject, sizes: Sequence[int], seed: int, say: Callable[[str], None]
) -> ScaleReport:
    """Measure each size in turn, each in a process of its own.

    All sizes are checked before the first runs (``ScaleError``). A size whose measurement fails or times out
    is listed in the report's ``left_out`` with the reason.
    """
    machine_bytes = machine.memory_bytes()
    for size in sizes:
        machine.check_size(subject, size, machine_bytes)
    samples: list[Sample] = []
    left_out: list[str] = []
    for size in sizes:
        say(f"{subject.name}: {size} {subject.axis}")
        try:
            samples.append(measure_in_process(subject, size, seed))
        except ScaleError as error:
            left_out.append(str(error))
            say(str(error))
    fits = fit_figures(samples, subject.target)
    return ScaleReport(subject.name, subject.about, subject.axis, tuple(samples), fits, tuple(left_out))


def print_report(report: ScaleReport, console: Console) -> None:
    """Print the readings by size, the fit of each figure, and the sizes left out."""
    console.print(readings_table(report))
    console.print(fits_table(report))
    for reason in report.left_out:
        console.print(f"left out: {reason}", soft_wrap=True)


def readings_table(report: ScaleReport) -> Table:
    """A row for each figure, a column for each size."""
    table = Table(title=f"{report.subject}: {report.about}")
    table.add_column(report.axis, no_wrap=True)
    for sample in report.samples:
        table.add_column(str(sample.size), justify="right", no_wrap=True)
    by_size = [{r.figure: f"{r.value:.4g}" for r in sample.readings} for sample in report.samples]
    for name in dict.fromkeys(name for values in by_size for name in values):
        table.add_row(name, *(values.get(name, "") for values in by_size))
    return table


def fits_table(report: ScaleReport) -> Table:
    """A row for each figure: how it grows with size, and its value at the target size."""
    table = Table(title="fits")
    table.add_column("figure", no_wrap=True)
    for name in ("slope", "exponent", "error", "at target", "extrapolated by"):
        table.add_column(name, justify="right", no_wrap=True)
    for fit in report.slopes:
        table.add_row(
            fit.figure,
            f"{fit.slope:.4g}",
            f"{fit.exponent:.2f}",
            f"{fit.error:.0%}",
            f"{fit.at_target:.4g}",
            f"{fit.extrapolated_by:.3g}",
        )
    return table


def print_comparison(before: ScaleReport, after: ScaleReport, console: Console) -> None:
    """Print the readings of two reports side by side; ``ScaleError`` if their subjects differ."""
    if before.subject != after.subject:
        raise ScaleError(f"--against: a report on {before.subject}, not on {after.subject}")
    earlier = {(s.size, r.figure): r.value for s in before.samples for r in s.readings}
    table = Table(title=f"{after.subject}: before and after")
    for name in ("size", "figure", "before", "after", "ratio"):
        table.add_column(name, justify="left" if name == "figure" else "right")
    for sample in after.samples:
        for reading in sample.readings:
            earlier_value = earlier.get((sample.size, reading.figure))
            ratio = f"{reading.value / earlier_value:.3g}" if earlier_value else ""
            earlier_text = "" if earlier_value is None else f"{earlier_value:g}"
            table.add_row(str(sample.size), reading.figure, earlier_text, f"{reading.value:g}", ratio)
    console.print(table)


def load_report(path: Path) -> ScaleReport:
    """Read an earlier report; ``ScaleError`` if the file cannot be read or decoded."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=ScaleReport)
    except (OSError, msgspec.DecodeError) as error:
        raise ScaleError(f"--against: {path}: {error}") from None


def list_subjects(console: Console) -> None:
    """Print each subject with its description, its axis and its default sizes."""
    for subject in SUBJECTS.values():
        sizes = ", ".join(str(size) for size in subject.sizes)
        console.print(f"{subject.name:16} {subject.about}; {subject.axis}: {sizes}", soft_wrap=True)
