"""Many relays that share nothing: what the group sends together, and what one relay looks at in a step."""

from __future__ import annotations

import math

import pytest

from decisions import interface as api
from decisions.engine import DecisionEngine
from decisions.state import Destination, Endpoint, LimiterState
from tests.checker import Checker
from tests.support import KEYED, SAFE, SECOND, arrival, ended, endpoint_update, entry, sends, settings
from tests.test_failures import Feed, drive, steady

DOWN = api.Verdict.CONNECT_FAILED


def once(at_us: int, events: list[api.Event]) -> Feed:
    """These events at one time and nothing else."""
    return lambda now_us: events if now_us == at_us else []


def group_sends(size: int, relays: int, verdict: api.Verdict) -> list[int]:
    """Times at which relays that each hold one message, and saw four trials fail, send to one destination."""
    times: list[int] = []
    for number in range(relays):
        checker = Checker(settings(group_size=size, slots=3, max_attempts=12), seed=number)
        hosts = [entry(f"h{n}", dest=n) for n in range(6)]
        checker.step(0, [endpoint_update(*hosts)])
        feed: list[api.Event] = [arrival(f"m{number}-{n}", KEYED, n) for n in range(6)]
        start_us = 20_000 * (1 + number)
        log = drive(checker, 16 * SECOND, once(start_us, feed), lambda *_: (verdict, 20_000))
        times += [at_us for at_us, send in log if send.host == "h0"]
    return sorted(times)


@pytest.mark.parametrize("size", [40, 300])
def test_the_trials_of_many_sparse_relays_stay_few(size: int) -> None:
    """Relays with one message each made two or three trials in an outage: together they push it over."""
    times = group_sends(size, 40, DOWN)
    late = [at_us for at_us in times if at_us > 8 * SECOND]
    window = max((sum(at <= t < at + 2 * SECOND for t in late) for at in late), default=0)
    assert window <= 12, "40 relays that hold a message: at most a third of them in any window of fall_us"


def calls_at_return(verdict: api.Verdict, seed: int, size: int = 20) -> list[int]:
    """Times of a relay's first call behind two failures, and of those in the tenth of a second after it.

    Nine messages are served one by one; then one meets the outage, and five come in the pause behind that.
    """
    checker = Checker(settings(group_size=size, max_attempts=12), seed=seed)
    checker.step(0, [endpoint_update(entry("h1"))])
    down_us = 5 * SECOND
    failed_us: list[int] = []
    messages = dict.fromkeys(range(SECOND // 10, SECOND, SECOND // 10), 1)
    messages |= {down_us: 1, down_us + 600_000: 5}

    def feed(now_us: int) -> list[api.Event]:
        return [arrival(f"m{now_us}-{number}", KEYED) for number in range(messages.get(now_us, 0))]

    def answer(now_us: int, _send: api.Send, _attempt: int) -> tuple[api.Verdict, int]:
        if now_us < down_us or len(failed_us) == 2:
            return api.Verdict.OK, 20_000
        failed_us.append(now_us)
        return verdict, 20_000

    log = drive(checker, 14 * SECOND, feed, answer)
    later_us = [at_us for at_us, _ in log if at_us > failed_us[1]]
    return [at_us for at_us in later_us if at_us <= later_us[0] + SECOND // 10]


@pytest.mark.parametrize("verdict", [DOWN, api.Verdict.ERROR])
def test_a_return_after_two_failures_in_a_row_is_a_cold_one(verdict: api.Verdict) -> None:
    """A sparse relay of a large group sees no more of an outage; what it holds must not go out at once."""
    for seed in range(10):
        assert len(calls_at_return(verdict, seed)) == 1, seed


@pytest.mark.parametrize("size", [1, 4])
def test_two_failures_in_a_row_are_no_outage_where_a_relay_sees_enough_by_itself(size: int) -> None:
    """Of few relays each sees a third failure soon, and two may come by chance: what is held goes on."""
    for seed in range(10):
        assert len(calls_at_return(api.Verdict.ERROR, seed, size)) > 1, seed


@pytest.mark.parametrize("calls_per_s", [0.25, 1.0, 5.0])
def test_a_cold_server_gets_the_whole_of_a_part_as_it_warms(calls_per_s: float) -> None:
    """The sum of the spaced calls is the area under the growing rate, whatever the part."""
    limits = settings(group_size=20, warm_within_us=10 * SECOND, cold_from=0.2, fall_multiple=2.0)
    relay = DecisionEngine(limits, seed=1)
    relay.step(0, [endpoint_update(entry("h1"))])
    endpoint = relay.endpoints["h1"]
    endpoint.rate_limiter.advertised_rate = 20 * calls_per_s
    endpoint.own_limiter.cold_since_us = 0
    calls = 0
    while relay.now_us < 9 * SECOND:
        relay._space_cold_calls(endpoint, endpoint.own_limiter)
        relay.now_us, calls = endpoint.own_limiter.pause_until_us, calls + 1
    borne = 2.0 * calls_per_s * (0.2 * relay.now_us + 0.8 * relay.now_us**2 / (20 * SECOND)) / SECOND
    assert calls == pytest.approx(borne, rel=0.02)


def test_no_room_left_slows_down_and_room_speeds_up() -> None:
    def pace(left: float | None) -> float:
        relay = DecisionEngine(settings(group_size=40), seed=1)
        [send] = sends(relay.step(0, [endpoint_update(entry("h1")), arrival("m1")]))
        told = api.Outcome("m1", 0, send.host, api.Verdict.OK, 1000, True, 0, left, 20.0)
        relay.step(1000, [told])
        return relay.endpoints["h1"].rate_limiter.allowed_rate

    assert pace(0.01) < 1.0 < pace(0.3) < pace(0.9)
    assert pace(7.0) == pace(-1.0) == pace(None), "a share out of range counts as not told"


def paces(size: int, *told: tuple[api.Verdict, float], every_us: int = 10 * SECOND) -> list[float]:
    """A relay's pace at a limit of 20 a second after each of these answers."""
    relay = DecisionEngine(settings(group_size=size, may_cancel=False), seed=1)
    relay.step(0, [endpoint_update(entry("h1"))])
    found = []
    for number, (verdict, left) in enumerate(told):
        now_us = (1 + number) * every_us
        [send] = sends(relay.step(now_us, [arrival(f"m{number}")]))
        ok = verdict is api.Verdict.OK
        outcome = api.Outcome(send.id, 0, send.host, verdict, 1000, ok, 0, left, 20.0)
        relay.step(now_us + 1000, [outcome, api.Withdrawn(send.id)])
        found.append(relay.endpoints["h1"].rate_limiter.allowed_rate)
    return found


def test_after_a_refusal_each_of_many_takes_only_its_part_of_what_is_left() -> None:
    """join+vast: one success after a refusal gave each of 40 relays the whole limit again."""
    answers = (api.Verdict.OK, 0.9), (api.Verdict.FULL, 0.0), (api.Verdict.OK, 0.9), (api.Verdict.OK, 0.9)
    _, refused, *later = paces(40, *answers)
    assert refused < 20.0 / 40 * 1.5
    assert all(refused <= pace <= refused + 2 * 20.0 / 40 for pace in later)
    assert later[1] > later[0], "it grows into what is left"
    for few in (1, 4):
        assert paces(few, *answers)[3] >= 20.0, "a few have it whole with the next success"


@pytest.mark.parametrize(("left", "cold"), [(0.0, False), (0.9, True)])
def test_refusals_above_a_limit_are_no_outage(left: float, cold: bool) -> None:
    """join+vast: a relay that meets a destination seldom took three refusals in a row for an outage."""
    relay = DecisionEngine(settings(group_size=40), seed=1)
    relay.step(0, [endpoint_update(entry("h1"))])
    verdicts = [api.Verdict.OK] + [api.Verdict.FULL] * 4 + [api.Verdict.OK]
    for number, verdict in enumerate(verdicts):
        now_us = (1 + number) * 20 * SECOND
        [send] = sends(relay.step(now_us, [arrival(f"m{number}")]))
        outcome = api.Outcome(send.id, 0, send.host, verdict, 1000, verdict is api.Verdict.OK, 0, left, 20.0)
        relay.step(now_us + 1000, [outcome, api.Withdrawn(send.id)])
    assert (relay.endpoints["h1"].rate_limiter.cold_since_us >= 0) is cold


def turned_away(told: bool, count: int) -> DecisionEngine:
    """A relay that had so many connections turned away in a row, long after the last that served."""
    relay = DecisionEngine(settings(group_size=40), seed=1)
    relay.step(0, [endpoint_update(entry("h1"))])
    for number in range(count):
        now_us = (1 + number) * 60 * SECOND
        [send] = sends(relay.step(now_us, [arrival(f"m{number}")]))
        outcome = api.Outcome(send.id, 0, send.host, DOWN, 40_000, connections_full=told)
        relay.step(now_us + 40_000, [outcome, api.Withdrawn(send.id)])
    return relay


def test_connections_turned_away_are_no_outage_but_are_asked_for_less_and_less() -> None:
    """join+vast: an endpoint out of connections was taken for one that is down by relays that call seldom."""
    assert turned_away(False, 3).endpoints["h1"].own_limiter.failures_in_row == 3
    relays = [turned_away(True, count) for count in (1, 5)]
    assert all(relay.endpoints["h1"].own_limiter.failures_in_row == 0 for relay in relays)
    first_us, fifth_us = (relay.endpoints["h1"].own_limiter.pause_until_us - relay.now_us for relay in relays)
    assert 0 < first_us < 400_000 < fifth_us < 6 * SECOND


def closes_idle(size: int, kind: str) -> bool:
    """Whether a relay closes its connection to "h1", after one call of 20 elsewhere was turned away."""
    relay = DecisionEngine(settings(group_size=size, rate_hints_given=True, keepalive_us=5 * SECOND), seed=1)
    others = entry("h2", dest=2, kind=kind, rate=1000.0)
    relay.step(0, [endpoint_update(entry("h1", rate=1000.0), others)])
    closed = False
    for number in range(21):
        at_us, dest = (1 + number) * 300_000, 1 if number == 20 else 2
        verdict = DOWN if number == 10 else api.Verdict.OK
        [send] = sends(relay.step(at_us, [arrival(f"m{number}", dest=dest)]))
        told = api.Outcome(send.id, 0, send.host, verdict, 1000, True, connections_full=verdict is DOWN)
        closed = api.CloseIdle("h1") in relay.step(at_us + 1000, [told])
    return closed


def test_many_relays_close_idle_connections_to_a_kind_that_turned_one_away() -> None:
    """join+vast: those who held connections were not turned away and kept them, and others found no room."""
    assert closes_idle(40, "plain")
    assert not closes_idle(1, "plain"), "a relay alone meets its own connections only"
    assert not closes_idle(40, "split"), "another kind's tables say nothing of this one's"


def test_little_left_slows_each_of_many_before_any_is_refused() -> None:
    """join+vast: a limit of which little is left was overrun, and refusals then used up all of it."""
    start, *later = paces(40, (api.Verdict.OK, 0.9), *[(api.Verdict.OK, 0.1)] * 3, every_us=SECOND)
    assert start > later[0] > later[1] > later[2] > 0.0
    half = [(api.Verdict.OK, 0.5)] * 3
    assert min(paces(4, *half, every_us=SECOND)) >= 20.0, "a few need not yet"
    assert paces(40, *half, every_us=SECOND)[0] < 20.0


def limited(busy: int) -> tuple[DecisionEngine, LimiterState]:
    """One of 40 relays that had so many calls a second, for ten seconds, served within a limit of 20."""
    relay = DecisionEngine(settings(group_size=40, slots=50), seed=1)
    relay.step(0, [endpoint_update(entry("h1"))])
    for number in range(10 * busy):
        now_us = (1 + number) * SECOND // busy
        for send in sends(relay.step(now_us, [arrival(f"m{number}")])):
            told = api.Outcome(send.id, 0, send.host, api.Verdict.OK, 9, True, 0, 0.8, 20.0)
            relay.step(now_us, [told])
    return relay, relay.endpoints["h1"].rate_limiter


def test_a_refused_pace_is_soon_neared_again_and_passed_slowly() -> None:
    """join+vast: 40 paces that grew evenly ran a limit over every six seconds and used it by half between."""
    relay, limit = limited(busy=2)
    refused = min(limit.allowed_rate, relay._limit_share(limit))
    relay._lower_allowed_rate(limit)
    assert limit.allowed_rate < 0.7 * refused
    at_us, shares = relay.now_us, []
    for after_us in (2 * SECOND, 4 * SECOND, 8 * SECOND):
        relay.now_us = at_us + after_us
        shares.append(relay._grown_allowed_rate(limit) / refused)
    assert 0.7 < shares[0] < shares[1] < shares[2] < 0.85, "small limits were run over every six seconds"


def test_what_was_served_before_a_limit_fell_is_no_floor_under_the_pace() -> None:
    """join+vast: half of what 40 relays were served in ten seconds was still more than the lowered limit."""
    relay, limit = limited(busy=2)
    for refusals in range(1, 4):
        relay._lower_allowed_rate(limit)
        assert limit.allowed_rate < 2.2 * 0.6**refusals


def test_a_lowered_limit_lowers_what_is_used_and_not_only_what_was_allowed() -> None:
    """join+vast: paces of ten times the use were halved with the limit, and the use went on until refused."""
    relay, limit = limited(busy=2)
    assert limit.allowed_rate > 4
    relay._apply_advertised_rate(limit, 10.0, 0.8)
    assert limit.allowed_rate < 1.2


def test_a_class_that_fails_at_one_endpoint_goes_to_its_sibling() -> None:
    checker = Checker(settings(hold_cap=500))
    checker.step(0, [endpoint_update(entry("h1"), entry("h2"))])

    def answer(_now_us: int, send: api.Send, _attempt: int) -> tuple[api.Verdict, int]:
        failing = send.host == "h1" and checker.cases[send.id].cls is KEYED
        return (api.Verdict.ERROR if failing else api.Verdict.OK), 80_000

    both = (steady(100_000, KEYED), steady(100_000, SAFE))
    log = drive(checker, 12 * SECOND, lambda now_us: both[0](now_us) + both[1](now_us), answer)
    late = [send for at_us, send in log if at_us > 4 * SECOND]
    keyed = [send.host for send in late if checker.cases[send.id].cls is KEYED]
    assert keyed.count("h1") <= 0.1 * len(keyed)
    assert any(send.host == "h1" for send in late if checker.cases[send.id].cls is SAFE)


def test_a_busy_relay_in_a_large_group_is_not_held_to_an_equal_part() -> None:
    checker = Checker(settings(group_size=300, rate_hints_given=True, hold_cap=500))
    checker.step(0, [endpoint_update(entry("h1", rate=20.0))])
    log = drive(checker, 10 * SECOND, steady(200_000), lambda *_: (api.Verdict.OK, 80_000))
    assert len(log) >= 45, "five a second, where an equal part were one in fifteen seconds"


def visits(dests: int) -> int:
    """Destinations looked at for one message while the others are idle."""
    relay = DecisionEngine(settings(), seed=1)
    relay.step(0, [endpoint_update(*(entry(f"h{n}", dest=n) for n in range(dests)))])
    seen: list[str] = []
    room = relay._can_call

    def counted(dest: Destination, endpoint: Endpoint) -> bool:
        seen.append(endpoint.host)
        return room(dest, endpoint)

    relay._can_call = counted  # type: ignore[method-assign]
    [send] = sends(relay.step(20_000, [arrival("m1", dest=1)]))
    relay.step(120_000, [ended(send)])
    return len(seen)


def test_work_follows_what_is_touched_not_the_fleet() -> None:
    assert visits(400) == visits(4) > 0


@pytest.mark.parametrize("size", [1, 40])
@pytest.mark.parametrize("absurd", [1e-9, 1e-300, 0.0, -3.0, 1e15, 1e300, math.inf, math.nan, 900.0, 0.2])
def test_an_absurd_report_neither_ends_the_calls_nor_opens_the_pace(size: int, absurd: float) -> None:
    """A told limit of 1e-9 calls a second put off every later call, and with it every better report."""
    checker = Checker(settings(group_size=size, hold_cap=500))
    checker.step(0, [endpoint_update(entry("h1"))])
    relay, paces_seen, calls = checker.relay, list[float](), 0
    for number in range(60):
        now_us = (1 + number) * 500_000
        for send in sends(checker.step(now_us, [api.TimerDue(), arrival(f"m{number}")])):
            attempt = len(checker.cases[send.id].attempts) - 1
            rate = absurd if number == 10 else 20.0
            told = api.Outcome(send.id, attempt, send.host, api.Verdict.OK, 9, True, 0, 0.8, rate)
            checker.step(now_us + 10_000, [told])
            calls += number > 20
        paces_seen.append(relay.endpoints["h1"].rate_limiter.allowed_rate)
    assert calls > 30
    assert max(paces_seen[5:]) <= 4 * 20.0 * 1.03


def ask_times(size: int, number: int) -> list[int]:
    """When a relay asks for the list, if each answer to it comes 2 s later and turns it away."""
    told = settings(group_size=size, number=number % size, must_ask=True, ask_within_us=10 * SECOND)
    checker = Checker(told, seed=number)
    now_us, failed_us, asked = 0, -1, list[int]()
    while now_us < 30 * SECOND:
        failed = [api.EndpointUpdate(api.EndpointUpdateKind.FAILED)] if now_us == failed_us else []
        actions = checker.step(now_us, [api.TimerDue(), *failed])
        if any(isinstance(action, api.Subscribe) for action in actions):
            asked.append(now_us)
            failed_us = now_us + 2 * SECOND
        now_us += 100_000
    return asked


def test_many_relays_that_discovery_turns_away_ask_it_in_turns() -> None:
    """herd+vast: 28 relays, asking every four seconds, kept its queue so full that none was served."""
    times = [at_us for number in range(40) for at_us in ask_times(40, number)[1:]]
    busiest = max(sum(at <= t < at + 2 * SECOND for t in times) for at in range(0, 28 * SECOND, SECOND))
    assert busiest <= 24, "twelve a second of forty"
    assert len(ask_times(3, 1)) >= 5, "a few ask often"


def test_a_watch_that_breaks_is_asked_for_again_soon_also_by_one_of_many() -> None:
    relay = DecisionEngine(settings(group_size=40, must_ask=True, ask_within_us=10 * SECOND), seed=1)
    relay.step(0, [endpoint_update(entry("h1"))])
    relay.step(SECOND, [api.EndpointUpdate(api.EndpointUpdateKind.FAILED)])
    assert relay.next_ask_us - relay.now_us < SECOND
    relay.step(2 * SECOND, [api.EndpointUpdate(api.EndpointUpdateKind.FAILED)])
    assert relay.next_ask_us - relay.now_us >= SECOND
