"""How the decision engine treats a message that a previous process of its relay had attempted."""

from __future__ import annotations

from decisions import interface as api
from decisions.engine import DecisionEngine
from tests.support import ORDERED, SECOND, UNSAFE, ZONED, ended, endpoint_update, entry, sends, settings


def tried_before(cls: api.MessageClass, age_us: int = 1000, zone: str = "a", key: str = "") -> api.Arrival:
    """A message with one earlier attempt, ``age_us`` ago, that may have been executed."""
    return api.Arrival("m1", 1, cls.name, 10 * SECOND, "", key, 1, age_us, zone)


def test_a_keyed_one_goes_only_to_the_zone_of_its_first_attempt() -> None:
    relay = DecisionEngine(settings(zone_fees={"a": 0.5, "b": 0.0}), 1)
    hosts = endpoint_update(entry("h1", zone="a"), entry("h2", zone="b"))
    assert [s.host for s in sends(relay.step(0, [hosts, tried_before(ZONED)]))] == ["h1"]


def test_a_keyed_one_is_failed_once_its_window_is_over() -> None:
    relay = DecisionEngine(settings(), 1)
    actions = relay.step(
        20 * SECOND, [endpoint_update(entry("h1")), tried_before(ZONED, ZONED.key_window_us)]
    )
    assert api.Fail("m1") in actions
    assert sends(actions) == []


def test_an_unsafe_one_is_failed() -> None:
    actions = DecisionEngine(settings(), 1).step(0, [endpoint_update(entry("h1")), tried_before(UNSAFE)])
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
    first = sends(relay.step(0, [endpoint_update(entry("h1")), tried_before(ORDERED, key="k"), later]))
    assert [send.id for send in first] == ["m1"]
    assert sends(relay.step(100_000, [ended(first[0], attempt=1)])) == []
    assert sends(relay.step(pause_us - 1, [api.TimerDue()])) == []
    assert [send.id for send in sends(relay.step(pause_us, [api.TimerDue()]))] == ["m2"]


def first_step_share(*, restored: bool) -> float:
    """A relay's share in calls a second after three messages in its first step."""
    held = [api.Arrival(f"m{number}", 1, UNSAFE.name, 9 * SECOND, restored=restored) for number in range(3)]
    relay = DecisionEngine(settings(), 1)
    relay.step(0, [endpoint_update(entry("h1")), *held])
    return relay._limit_share(relay.endpoints["h1"].rate_limiter)


def test_what_a_journal_held_is_not_taken_for_the_demand_of_the_first_second() -> None:
    """Its share of a cold server came out several times too high for a relay that had held messages."""
    assert first_step_share(restored=False) > 3.0
    assert first_step_share(restored=True) < 0.5, "three within the longest deadline of 20 s"
