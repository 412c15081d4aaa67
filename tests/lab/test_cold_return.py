"""Fleets of real relays and a partner that comes back cold."""

from __future__ import annotations

from pathlib import Path

import pytest

from fleetlab import run_folders, scenario
from fleetlab.checks import Result

SEED = 1


def play(name: str, folder: Path) -> Result:
    """Play a scenario of this project."""
    plan = run_folders.make_plan(name, scenario.load_scenario(name), SEED)
    return run_folders.play(plan, folder, lambda _: None)


@pytest.mark.parametrize("name", ["cold-shut", "cold-restart"])
def test_a_fleet_spares_a_partner_that_comes_back_cold(name: str, tmp_path: Path) -> None:
    """All were told to wait until the return, or all restart shortly before it with messages held."""
    result = play(name, tmp_path / name)
    assert result.valid, "the lab itself was late"
    assert not {check: judged.first for check, judged in result.checks.items() if not judged.ok}
