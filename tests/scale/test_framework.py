"""The scale command itself: fits, limits of sizes, reports, and the exponent of growth."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from fleetlab.scale import machine
from fleetlab.scale.command import parse_sizes
from fleetlab.scale.fit import fit_line, growth_exponent
from fleetlab.scale.records import ScaleError, Source
from fleetlab.scale.registry import SUBJECTS, find_subject
from standins.scripted import ROOT

GIB = 1 << 30
SIZES = (100, 200, 400, 800)


def scale(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the scale command."""
    command = [sys.executable, "-m", "fleetlab", "scale", *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False, timeout=60)


def test_a_line_is_fitted_with_its_error_and_its_value_at_the_target() -> None:
    points = [(size, 7.0 + 3.0 * size) for size in SIZES]
    fit = fit_line("some_bytes", Source.COUNT, points, target=8000)
    assert fit.slope == pytest.approx(3)
    assert fit.intercept == pytest.approx(7)
    assert fit.at_target == pytest.approx(24_007)
    assert fit.extrapolated_by == 10
    assert fit.error < 1e-9


def test_a_reading_at_the_target_is_used_in_place_of_the_fit() -> None:
    fit = fit_line("some_bytes", Source.COUNT, [(10, 10.0), (20, 20.0), (30, 99.0)], target=30)
    assert fit.at_target == 99
    assert fit.extrapolated_by == 1


@pytest.mark.parametrize("power", [0, 1, 2])
def test_the_exponent_of_growth_is_found_despite_a_constant_part(power: int) -> None:
    """Quadratic growth cannot be taken for linear growth."""
    points = [(size, 5.0 + float(size**power)) for size in SIZES]
    assert growth_exponent(points) == pytest.approx(power, abs=0.1)


def test_a_figure_that_is_always_zero_has_exponent_0() -> None:
    assert growth_exponent([(size, 0.0) for size in SIZES]) == 0


@pytest.mark.parametrize(
    ("size", "reason"),
    [(0, "must be at least 1"), (-5, "must be at least 1"), (10**9, "over half of this machine's memory")],
)
def test_a_size_that_cannot_be_measured_is_refused(size: int, reason: str) -> None:
    with pytest.raises(ScaleError, match=reason):
        machine.check_size(find_subject("endpoint-list"), size, 8 * GIB)


def test_every_subject_may_be_measured_at_its_own_sizes_on_a_machine_of_16_gib() -> None:
    for subject in SUBJECTS.values():
        assert len(subject.sizes) >= 4, subject.name
        for size in subject.sizes:
            machine.check_size(subject, size, 16 * GIB)


@pytest.mark.parametrize(
    ("text", "reason"),
    [("many", "not whole numbers"), ("", "not whole numbers"), (",".join(map(str, range(1, 18))), "at most")],
)
def test_sizes_that_cannot_be_read_are_refused(text: str, reason: str) -> None:
    with pytest.raises(ScaleError, match=reason):
        parse_sizes(text, find_subject("endpoint-list"))


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        (["nothing"], "no subject is called 'nothing'"),
        (["endpoint-list", "--sizes", "0"], "size 0: must be at least 1"),
        (["endpoint-list", "--sizes", "20,-1"], "size -1: must be at least 1"),
        (["endpoint-list", "--against", "/nowhere"], "--against: /nowhere"),
    ],
)
def test_wrong_usage_prints_one_line_and_exits_with_2(arguments: list[str], reason: str) -> None:
    done = scale(*arguments)
    assert done.returncode == 2
    assert reason in done.stderr
    assert len(done.stderr.strip().splitlines()) == 1
    assert done.stdout == ""


def test_a_report_is_written_as_json_and_plot_and_can_be_compared(tmp_path: Path) -> None:
    done = scale("endpoint-list", "--sizes", "20,40", "--json", "--plot", str(tmp_path / "growth.png"))
    report = json.loads(done.stdout)
    assert done.returncode == 0
    assert [sample["size"] for sample in report["samples"]] == [20, 40]
    counts = [reading for reading in report["samples"][0]["readings"] if reading["source"] == "count"]
    assert {"figure": "endpoints_known", "value": 20.0, "source": "count"} in counts
    assert (tmp_path / "growth.png").read_bytes().startswith(b"\x89PNG")
    earlier = tmp_path / "earlier.json"
    earlier.write_text(done.stdout, encoding="utf-8")
    again = scale("endpoint-list", "--sizes", "20,40", "--against", str(earlier))
    assert again.returncode == 0
    assert "before and after" in again.stdout
