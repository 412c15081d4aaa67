"""Bounds on the source of the decision engine, and the checks of its settings."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from decisions import interface as api
from decisions.engine import MAX_NEW_DESTS, MAX_PAST_EXPIRIES, DecisionEngine
from decisions.state import Destination, Endpoint
from tests.support import SAFE, SECOND, SETTINGS, arrival, ended, endpoint_update, entry, sends, settings

ROOT = Path(__file__).resolve().parent.parent
ENGINE_SOURCE = (ROOT / "decisions" / "engine.py").read_text(encoding="utf-8")


def test_the_module_can_be_read_whole() -> None:
    assert sum(1 for line in ENGINE_SOURCE.splitlines() if line.strip()) < 1200


def test_no_line_is_too_wide() -> None:
    patterns = ("decisions/*.py", "membership/*.py", "relay/*.py", "t*/**/*.py")
    for path in sorted(path for pattern in patterns for path in ROOT.glob(pattern)):
        for line in path.read_text(encoding="utf-8").splitlines():
            assert len(line) <= 110, f"{path.name}: {line}"


def test_the_interface_is_named_at_the_modules_head() -> None:
    assert "decisions/interface.py" in ENGINE_SOURCE.splitlines()[0] + ENGINE_SOURCE.splitlines()[1]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("slots", 0),
        ("group_size", 0),
        ("hold_cap", 0),
        ("max_attempts", 0),
        ("round_us", 0),
        ("fall_us", 0),
        ("warm_within_us", -1),
        ("drain_grace_us", -1),
        ("cold_from", 0.0),
        ("fall_multiple", 0.0),
        ("classes", ()),
    ],
)
def test_settings_that_cannot_work_name_their_field(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        settings(**{field: value})


def test_a_class_with_an_unknown_effect_is_refused() -> None:
    with pytest.raises(ValueError, match="effect"):
        settings(classes=(replace(SAFE, effect="sometimes"),))  # type: ignore[arg-type]


def test_a_kind_with_no_room_in_a_call_is_refused() -> None:
    with pytest.raises(ValueError, match="batch"):
        settings(kinds=(api.DestinationKind("plain", batch_size=0),))


def test_a_full_endpoint_is_not_asked_again_for_each_held_message(monkeypatch: pytest.MonkeyPatch) -> None:
    """With hundreds of messages held, these checks took most of a relay's processor time."""
    relay = DecisionEngine(settings(hold_cap=1000), 1)
    relay.step(0, [endpoint_update(entry("h1"))])
    asked, can_call = [], DecisionEngine._can_call

    def counted(self: DecisionEngine, dest: Destination, endpoint: Endpoint) -> bool:
        asked.append(endpoint.host)
        return can_call(self, dest, endpoint)

    monkeypatch.setattr(DecisionEngine, "_can_call", counted)
    actions = relay.step(5_000, [arrival(f"m{number}") for number in range(500)])
    assert 0 < len(sends(actions)) < 8
    assert len(asked) <= 2 * 8


@pytest.mark.parametrize("slots_taken", [False, True])
def test_messages_for_ever_new_destinations_leave_nothing_behind(slots_taken: bool) -> None:
    """Guards against memory that grows with each destination that a client makes up."""
    engine = DecisionEngine(settings(), 1)
    engine.step(0, [endpoint_update(entry("h1"))])
    if slots_taken:
        engine.step(1, [arrival(f"hangs{number}") for number in range(SETTINGS.slots)])
    for number in range(20_000):
        engine.step(2 + number, [arrival(f"m{number}", dest=2 + number, left_us=1)])
    assert len(engine.dests) <= 2 * MAX_NEW_DESTS
    assert len(engine.dests_to_check) <= len(engine.dests)


def test_messages_that_are_over_long_before_their_time_leave_nothing_behind() -> None:
    """Guards against memory that grows with each message of a client that gives them a day."""
    engine = DecisionEngine(settings(), 1)
    engine.step(0, [endpoint_update(entry("h1"))])
    now_us = 1_000_000
    for number in range(20_000):
        now_us += 6_000
        for send in sends(engine.step(now_us, [arrival(f"m{number}", left_us=86_400 * SECOND)])):
            engine.step(now_us + 1, [ended(send)])
    assert len(engine.expiry_heap) <= 2 * len(engine.messages) + MAX_PAST_EXPIRIES + 1_000
