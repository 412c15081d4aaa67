"""How the decision engine treats a message that a previous process of its relay had attempted."""

from __future__ import annotations

from dataclasses import replace

from decisions import interface as api
from decisions.engine import DecisionEngine
from tests.support import ORDERED, SECOND, UNSAFE, ZONED, ended, endpoint_update, entry, sends, settings


def restored(cls: api.MessageClass, age_us: int = 1000, zone: str = "a", key: str = "") -> api.Arrival:
    """A message with one earlier attempt, ``age_us`` ago, that may have been executed."""
    return api.Arrival("m1", 1, cls.name, 10 * SECOND, "", key, 1, age_us, zone)


def test_a_keyed_one_goes_only_to_the_zone_of_its_first_attempt() -> None:
    relay = DecisionEngine(settings(zone_fees={"a": 0.5, "b": 0.0}), 1)
    hosts = endpoint_update(entry("h1", zone="a"), entry("h2", zone="b"))
    assert [s.host for s in sends(relay.step(0, [hosts, restored(ZONED)]))] == ["h1"]


def test_a_keyed_one_is_failed_once_its_window_is_over() -> None:
    relay = DecisionEngine(settings(), 1)
    actions = relay.step(20 * SECOND, [endpoint_update(entry("h1")), restored(ZONED, ZONED.key_window_us)])
    assert api.Fail("m1") in actions
    assert sends(actions) == []


def test_an_unsafe_one_is_failed() -> None:
    actions = DecisionEngine(settings(), 1).step(0, [endpoint_update(entry("h1")), restored(UNSAFE)])
    assert api.Fail("m1") in actions
    assert sends(actions) == []


def test_all_attempts_used_up_are_not_exceeded() -> None:
    event = api.Arrival("m1", 1, UNSAFE.name, SECOND, attempts=settings().max_attempts)
    actions = DecisionEngine(settings(), 1).step(0, [endpoint_update(entry("h1")), event])
    assert [type(action) for action in actions if not isinstance(action, api.Wake)] == [api.Refuse]


def test_the_next_of_a_key_waits_for_an_attempt_of_the_previous_process() -> None:
    """That attempt may still run at its host when the new process starts."""
    relay, pause_us = DecisionEngine(settings(), 1), settings().order_pause_us
    later = api.Arrival("m2", 1, ORDERED.name, 10 * SECOND, "", "k")
    first = sends(relay.step(0, [endpoint_update(entry("h1")), restored(ORDERED, key="k"), later]))
    assert [send.id for send in first] == ["m1"]
    assert sends(relay.step(100_000, [ended(first[0], attempt=1)])) == []
    assert sends(relay.step(pause_us - 1, [api.TimerDue()])) == []
    assert [send.id for send in sends(relay.step(pause_us, [api.TimerDue()]))] == ["m2"]


def test_what_a_journal_held_is_not_taken_for_the_demand_of_the_first_second() -> None:
    """Its share of a cold server came out several times too high for a relay that had held messages."""
    held = [api.Arrival(f"m{number}", 1, UNSAFE.name, 9 * SECOND, restored=True) for number in range(3)]
    relay = DecisionEngine(settings(), 1)
    relay.step(0, [endpoint_update(entry("h1")), *held])
    limiter = relay.endpoints["h1"].rate_limiter
    max_age_s = max(cls.deadline_us for cls in settings().classes) / SECOND
    assert relay._limit_share(limiter) <= 2 * 3 / max_age_s
    fresh = DecisionEngine(settings(), 1)
    fresh.step(0, [endpoint_update(entry("h1")), *(replace(event, restored=False) for event in held)])
    assert fresh._limit_share(fresh.endpoints["h1"].rate_limiter) > 2.0, "three in the first second"
