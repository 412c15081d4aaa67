"""Groups of relays that share nothing: what they send together, and how much one checks in a step."""

from __future__ import annotations

import math
from collections import Counter

import pytest

from decisions import interface as api
from decisions.engine import DecisionEngine
from decisions.outages import OutageEvent
from decisions.state import Destination, Endpoint, LimiterState
from tests.checker import Checker
from tests.support import KEYED, SAFE, SECOND, UNSAFE, arrival, ended, endpoint_update, entry, sends, settings
from tests.test_failures import Feed, drive, steady

DOWN = api.Verdict.CONNECT_FAILED


def feed_once(at_us: int, events: list[api.Event]) -> Feed:
    """These events at that time, and none at any other."""
    return lambda now_us: events if now_us == at_us else []


def group_sends(size: int, relays: int, verdict: api.Verdict) -> list[int]:
    """Times at which relays with one message each for six destinations that are down send to one of them."""
    times: list[int] = []
    for number in range(relays):
        checker = Checker(settings(group_size=size, slots=3, max_attempts=12), seed=number)
        hosts = [entry(f"h{n}", dest=n) for n in range(6)]
        checker.step(0, [endpoint_update(*hosts)])
        feed: list[api.Event] = [arrival(f"m{number}-{n}", KEYED, n) for n in range(6)]
        start_us = 20_000 * (1 + number)
        log = drive(checker, 16 * SECOND, feed_once(start_us, feed), lambda *_: (verdict, 20_000))
        times += [at_us for at_us, send in log if send.host == "h0"]
    return sorted(times)


@pytest.mark.parametrize("size", [40, 300])
def test_the_trials_of_many_sparse_relays_stay_few(size: int) -> None:
    """Two or three trials of each relay in an outage are together more than the destination can take."""
    times = group_sends(size, 40, DOWN)
    late = [at_us for at_us in times if at_us > 8 * SECOND]
    window = max((sum(at <= t < at + 2 * SECOND for t in late) for at in late), default=0)
    assert window <= 12, "40 relays that hold a message: at most a third of them in any window of fall_us"


def calls_at_return(verdict: api.Verdict, seed: int, size: int = 20) -> list[int]:
    """Times of a relay's first call after two failures, and of its calls in the tenth of a second after that.

    Nine messages are served one by one; then one fails twice, and five arrive in the pause after that.
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
    """A relay with few calls in a large group sees no more of an outage; held messages must not burst out."""
    for seed in range(10):
        assert len(calls_at_return(verdict, seed)) == 1, seed


def answered(relay: DecisionEngine, now_us: int, name: str, verdict: api.Verdict) -> api.Send:
    """Hand in a message that may not be repeated, answer its call, and return the call."""
    [send] = sends(relay.step(now_us, [arrival(name, UNSAFE)]))
    relay.step(now_us + 50_000, [ended(send, verdict), api.Withdrawn(name)])
    return send


def calls_after_one_failure(size: int, hosts: tuple[str, ...]) -> int:
    """How many of six messages go out at once behind the first success 20 s after a single failure."""
    relay = DecisionEngine(settings(group_size=size), seed=1)
    relay.step(0, [endpoint_update(*(entry(host) for host in hosts))])
    for number in range(8):
        answered(relay, (1 + number) * 3 * SECOND, f"served{number}", api.Verdict.OK)
    failed = answered(relay, 40 * SECOND, "failed", api.Verdict.ERROR)
    now_us = 60 * SECOND
    first = answered(relay, now_us, "first", api.Verdict.OK)
    assert len(hosts) == 1 or first.host != failed.host
    return len(sends(relay.step(now_us + 100_000, [arrival(f"held{number}") for number in range(6)])))


@pytest.mark.parametrize("hosts", [("h1",), ("h1", "h2")], ids=["same endpoint", "other endpoint"])
def test_a_return_after_one_failure_is_a_cold_one_in_a_large_group(hosts: tuple[str, ...]) -> None:
    """A message that may not be repeated shows its relay one failure of an outage."""
    assert calls_after_one_failure(40, hosts) == 0
    assert calls_after_one_failure(2, hosts) > 0


def test_an_endpoint_that_is_down_alone_does_not_make_its_sibling_cold_again_and_again() -> None:
    """Trials of the endpoint that is down go on failing while its sibling serves."""
    checker = Checker(settings(group_size=40, max_attempts=12), seed=1)
    checker.step(0, [endpoint_update(entry("h1"), entry("h2"))])
    drive(
        checker,
        200 * SECOND,
        steady(4 * SECOND, KEYED),
        lambda _, send, __: (DOWN if send.host == "h1" else api.Verdict.OK, 50_000),
    )
    assert checker.relay.outage_counts[OutageEvent.COLD_RETURN] <= 2


def test_failures_at_two_endpoints_of_a_destination_pace_like_two_at_one() -> None:
    """Each relay of a fleet tried each endpoint twice within half a second."""
    for seed in range(10):
        checker = Checker(settings(group_size=40, max_attempts=12), seed=seed)
        checker.step(0, [endpoint_update(entry("h1"), entry("h2"))])
        feed = feed_once(5 * SECOND, [arrival("m1", KEYED)])
        log = drive(checker, 7 * SECOND, feed, lambda *_: (DOWN, 20_000))
        assert len(log) == 2, seed


def first_call_after_wait(verdict: api.Verdict, wait_us: int, size: int, seed: int) -> int:
    """The us from the end of a told wait to a relay's next call; before, it is served every 4 s."""
    checker = Checker(settings(group_size=size, max_attempts=12), seed=seed)
    checker.step(0, [endpoint_update(entry("h1"))])
    now_us = 0
    for number in range(5):
        now_us += 4 * SECOND
        [send] = sends(checker.step(now_us, [arrival(f"m{number}", KEYED)]))
        served = number < 4
        outcome = ended(send, api.Verdict.OK if served else verdict, wait_us=0 if served else wait_us)
        checker.step(now_us + 1000, [outcome])
    end_us = now_us + 1000 + wait_us
    while not sends(checker.step(now_us := now_us + 20_000, [api.TimerDue()])):
        checker.step(now_us, [arrival(f"later{now_us}", KEYED)] if now_us % SECOND == 0 else [])
    return now_us - end_us


@pytest.mark.parametrize(
    ("verdict", "wait_us", "size"),
    [
        pytest.param(api.Verdict.FULL, 5 * SECOND, 40, id="refused"),
        pytest.param(api.Verdict.FULL, SECOND // 2, 40, id="refused with a short wait, in a large group"),
        pytest.param(api.Verdict.FULL, 5 * SECOND, 2, id="refused, in a small group"),
        pytest.param(api.Verdict.NOT_SENT, 5 * SECOND, 40, id="known from the process before"),
    ],
)
def test_calls_after_a_told_wait_are_spread_over_the_time_between_trials(
    verdict: api.Verdict, wait_us: int, size: int
) -> None:
    """A server that was shut is cold at the end of the wait that it told all relays."""
    delays_us = [first_call_after_wait(verdict, wait_us, size, seed) for seed in range(12)]
    assert min(delays_us) >= 0
    assert sum(delay_us > 2 * SECOND for delay_us in delays_us) >= 4


def test_an_outage_is_logged_and_counted_from_its_failures_to_the_end_of_the_warm_up() -> None:
    relay = DecisionEngine(settings(group_size=20, warm_within_us=5 * SECOND), seed=1)
    relay.step(0, [endpoint_update(entry("h1"))])
    lines: list[str] = []
    for number, verdict in enumerate([DOWN, DOWN, api.Verdict.OK, api.Verdict.OK]):
        now_us = (1 + number) * 1000 * SECOND
        [send] = sends(relay.step(now_us, [arrival(f"m{number}")]))
        actions = relay.step(now_us + 1000, [ended(send, verdict), api.Withdrawn(send.id)])
        lines += [action.line for action in actions if isinstance(action, api.Log)]
    outage_lines = [line for line in lines if line.startswith("outage: dest 1 at h1: ")]
    events = [line.removeprefix("outage: dest 1 at h1: ").partition(",")[0] for line in outage_lines]
    assert list(dict.fromkeys(events)) == [str(event) for event in OutageEvent]
    assert relay.outage_counts == Counter(events)
    assert "connect_failed #m1; 2 failures in a row, told to wait 0 ms, next call in" in outage_lines[0]


@pytest.mark.parametrize("size", [1, 4])
def test_two_failures_in_a_row_are_no_outage_where_a_relay_sees_enough_by_itself(size: int) -> None:
    """In a small group each relay sees a third failure soon, and two may be chance: held messages go out."""
    for seed in range(10):
        assert len(calls_at_return(api.Verdict.ERROR, seed, size)) > 1, seed


@pytest.mark.parametrize("calls_per_s", [0.25, 1.0, 5.0])
def test_a_cold_server_gets_the_whole_of_a_part_as_it_warms(calls_per_s: float) -> None:
    """The number of spaced calls is the integral of the growing capacity, whatever the relay's share."""
    config = settings(group_size=20, warm_within_us=10 * SECOND, cold_from=0.2, fall_multiple=2.0)
    relay = DecisionEngine(config, seed=1)
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
    def rate_after(share_left: float | None) -> float:
        relay = DecisionEngine(settings(group_size=40), seed=1)
        [send] = sends(relay.step(0, [endpoint_update(entry("h1")), arrival("m1")]))
        outcome = api.Outcome("m1", 0, send.host, api.Verdict.OK, 1000, True, 0, share_left, 20.0)
        relay.step(1000, [outcome])
        return relay.endpoints["h1"].rate_limiter.allowed_rate

    assert rate_after(0.01) < 1.0 < rate_after(0.3) < rate_after(0.9)
    assert rate_after(7.0) == rate_after(-1.0) == rate_after(None), "a share out of range is ignored"


def allowed_rates(size: int, *answers: tuple[api.Verdict, float], every_us: int = 10 * SECOND) -> list[float]:
    """A relay's allowed rate at a limit of 20 calls/s after each of these verdicts and shares left."""
    relay = DecisionEngine(settings(group_size=size, may_cancel=False), seed=1)
    relay.step(0, [endpoint_update(entry("h1"))])
    rates = []
    for number, (verdict, share_left) in enumerate(answers):
        now_us = (1 + number) * every_us
        [send] = sends(relay.step(now_us, [arrival(f"m{number}")]))
        ok = verdict is api.Verdict.OK
        outcome = api.Outcome(send.id, 0, send.host, verdict, 1000, ok, 0, share_left, 20.0)
        relay.step(now_us + 1000, [outcome, api.Withdrawn(send.id)])
        rates.append(relay.endpoints["h1"].rate_limiter.allowed_rate)
    return rates


def test_after_a_refusal_each_of_many_takes_only_its_part_of_what_is_left() -> None:
    """One success after a refusal gave each of 40 relays the whole limit again."""
    answers = (api.Verdict.OK, 0.9), (api.Verdict.FULL, 0.0), (api.Verdict.OK, 0.9), (api.Verdict.OK, 0.9)
    _, refused, *later = allowed_rates(40, *answers)
    assert refused < 20.0 / 40 * 1.5
    assert all(refused <= rate <= refused + 2 * 20.0 / 40 for rate in later)
    assert later[1] > later[0], "the rate grows into what is left"
    for few in (1, 4):
        assert allowed_rates(few, *answers)[3] >= 20.0, (
            "a small group may use all of it after the next success"
        )


@pytest.mark.parametrize(("share_left", "cold"), [(0.0, False), (0.9, True)])
def test_refusals_above_a_limit_are_no_outage(share_left: float, cold: bool) -> None:
    """A relay with few calls to a destination took three refusals in a row for an outage."""
    relay = DecisionEngine(settings(group_size=40), seed=1)
    relay.step(0, [endpoint_update(entry("h1"))])
    verdicts = [api.Verdict.OK] + [api.Verdict.FULL] * 4 + [api.Verdict.OK]
    for number, verdict in enumerate(verdicts):
        now_us = (1 + number) * 20 * SECOND
        [send] = sends(relay.step(now_us, [arrival(f"m{number}")]))
        outcome = api.Outcome(
            send.id, 0, send.host, verdict, 1000, verdict is api.Verdict.OK, 0, share_left, 20.0
        )
        relay.step(now_us + 1000, [outcome, api.Withdrawn(send.id)])
    assert (relay.endpoints["h1"].rate_limiter.cold_since_us >= 0) is cold


def turned_away(reported: bool, count: int) -> DecisionEngine:
    """A relay that had so many connections fail in a row, each a minute after the one before.

    With ``reported`` the endpoint answered that it accepts no further connection.
    """
    relay = DecisionEngine(settings(group_size=40), seed=1)
    relay.step(0, [endpoint_update(entry("h1"))])
    for number in range(count):
        now_us = (1 + number) * 60 * SECOND
        [send] = sends(relay.step(now_us, [arrival(f"m{number}")]))
        outcome = api.Outcome(send.id, 0, send.host, DOWN, 40_000, connections_full=reported)
        relay.step(now_us + 40_000, [outcome, api.Withdrawn(send.id)])
    return relay


def test_connections_turned_away_are_no_outage_but_are_asked_for_less_and_less() -> None:
    """Relays with few calls took an endpoint that was out of connections for one that is down."""
    assert turned_away(False, 3).endpoints["h1"].own_limiter.failures_in_row == 3
    relays = [turned_away(True, count) for count in (1, 5)]
    assert all(relay.endpoints["h1"].own_limiter.failures_in_row == 0 for relay in relays)
    first_us, fifth_us = (relay.endpoints["h1"].own_limiter.pause_until_us - relay.now_us for relay in relays)
    assert 0 < first_us < 400_000 < fifth_us < 6 * SECOND


def closes_idle(size: int, kind: str) -> bool:
    """Whether a relay closes its idle connection to "h1" after one of 20 calls to "h2" was turned away.

    ``kind`` is the kind of the destination of "h2".
    """
    relay = DecisionEngine(settings(group_size=size, rate_hints_given=True, keepalive_us=5 * SECOND), seed=1)
    other = entry("h2", dest=2, kind=kind, rate=1000.0)
    relay.step(0, [endpoint_update(entry("h1", rate=1000.0), other)])
    closed = False
    for number in range(21):
        at_us, dest = (1 + number) * 300_000, 1 if number == 20 else 2
        verdict = DOWN if number == 10 else api.Verdict.OK
        [send] = sends(relay.step(at_us, [arrival(f"m{number}", dest=dest)]))
        outcome = api.Outcome(send.id, 0, send.host, verdict, 1000, True, connections_full=verdict is DOWN)
        closed = api.CloseIdle("h1") in relay.step(at_us + 1000, [outcome])
    return closed


def test_many_relays_close_idle_connections_to_a_kind_that_turned_one_away() -> None:
    """Relays that held connections were not turned away and kept them, while others could not connect."""
    assert closes_idle(40, "plain")
    assert not closes_idle(1, "plain"), "a single relay competes with none but its own connections"
    assert not closes_idle(40, "split"), "other kinds of destination have connection tables of their own"


def test_little_left_slows_each_of_many_before_any_is_refused() -> None:
    """With little left a limit was exceeded, and the refused calls then used up all of it."""
    start, *later = allowed_rates(40, (api.Verdict.OK, 0.9), *[(api.Verdict.OK, 0.1)] * 3, every_us=SECOND)
    assert start > later[0] > later[1] > later[2] > 0.0
    half = [(api.Verdict.OK, 0.5)] * 3
    assert min(allowed_rates(4, *half, every_us=SECOND)) >= 20.0, "a small group need not slow down yet"
    assert allowed_rates(40, *half, every_us=SECOND)[0] < 20.0


def limited(calls_per_s: int) -> tuple[DecisionEngine, LimiterState]:
    """One of 40 relays that had so many calls a second served for ten seconds, at a limit of 20 calls/s."""
    relay = DecisionEngine(settings(group_size=40, slots=50), seed=1)
    relay.step(0, [endpoint_update(entry("h1"))])
    for number in range(10 * calls_per_s):
        now_us = (1 + number) * SECOND // calls_per_s
        for send in sends(relay.step(now_us, [arrival(f"m{number}")])):
            outcome = api.Outcome(send.id, 0, send.host, api.Verdict.OK, 9, True, 0, 0.8, 20.0)
            relay.step(now_us, [outcome])
    return relay, relay.endpoints["h1"].rate_limiter


def test_a_refused_pace_is_soon_neared_again_and_passed_slowly() -> None:
    """With even growth, 40 relays exceeded a limit every six seconds and used half of it in between."""
    relay, limiter = limited(calls_per_s=2)
    refused = min(limiter.allowed_rate, relay._limit_share(limiter))
    relay._lower_allowed_rate(limiter)
    assert limiter.allowed_rate < 0.7 * refused
    at_us, shares = relay.now_us, []
    for after_us in (2 * SECOND, 4 * SECOND, 8 * SECOND):
        relay.now_us = at_us + after_us
        shares.append(relay._grown_allowed_rate(limiter) / refused)
    assert 0.7 < shares[0] < shares[1] < shares[2] < 0.85, "small limits were exceeded every six seconds"


def test_what_was_served_before_a_limit_fell_is_no_floor_under_the_pace() -> None:
    """Half of what 40 relays were served in ten seconds was still more than the lowered limit."""
    relay, limiter = limited(calls_per_s=2)
    for refusals in range(1, 4):
        relay._lower_allowed_rate(limiter)
        assert limiter.allowed_rate < 2.2 * 0.6**refusals


def test_a_lowered_limit_lowers_what_is_used_and_not_only_what_was_allowed() -> None:
    """Allowed rates of ten times the use were halved with the limit, and the use went on until refused."""
    relay, limiter = limited(calls_per_s=2)
    assert limiter.allowed_rate > 4
    relay._apply_advertised_rate(limiter, 10.0, 0.8)
    assert limiter.allowed_rate < 1.2


def test_a_class_that_fails_at_one_endpoint_goes_to_its_sibling() -> None:
    checker = Checker(settings(hold_cap=500))
    checker.step(0, [endpoint_update(entry("h1"), entry("h2"))])

    def answer(_now_us: int, send: api.Send, _attempt: int) -> tuple[api.Verdict, int]:
        failing = send.host == "h1" and checker.cases[send.id].cls is KEYED
        return (api.Verdict.ERROR if failing else api.Verdict.OK), 80_000

    feeds = (steady(100_000, KEYED), steady(100_000, SAFE))
    log = drive(checker, 12 * SECOND, lambda now_us: feeds[0](now_us) + feeds[1](now_us), answer)
    late = [send for at_us, send in log if at_us > 4 * SECOND]
    keyed = [send.host for send in late if checker.cases[send.id].cls is KEYED]
    assert keyed.count("h1") <= 0.1 * len(keyed)
    assert any(send.host == "h1" for send in late if checker.cases[send.id].cls is SAFE)


def test_a_busy_relay_in_a_large_group_is_not_held_to_an_equal_part() -> None:
    checker = Checker(settings(group_size=300, rate_hints_given=True, hold_cap=500))
    checker.step(0, [endpoint_update(entry("h1", rate=20.0))])
    log = drive(checker, 10 * SECOND, steady(200_000), lambda *_: (api.Verdict.OK, 80_000))
    assert len(log) >= 45, "five a second, where an equal part would be one in fifteen seconds"


def checks(dests: int) -> int:
    """Number of endpoints checked for one message while the other destinations are idle."""
    relay = DecisionEngine(settings(), seed=1)
    relay.step(0, [endpoint_update(*(entry(f"h{n}", dest=n) for n in range(dests)))])
    checked: list[str] = []
    can_call = relay._can_call

    def counted(dest: Destination, endpoint: Endpoint) -> bool:
        checked.append(endpoint.host)
        return can_call(dest, endpoint)

    relay._can_call = counted  # type: ignore[method-assign]
    [send] = sends(relay.step(20_000, [arrival("m1", dest=1)]))
    relay.step(120_000, [ended(send)])
    return len(checked)


def test_work_follows_what_is_touched_not_the_fleet() -> None:
    assert checks(400) == checks(4) > 0


@pytest.mark.parametrize("size", [1, 40])
@pytest.mark.parametrize("absurd", [1e-9, 1e-300, 0.0, -3.0, 1e15, 1e300, math.inf, math.nan, 900.0, 0.2])
def test_an_absurd_report_neither_ends_the_calls_nor_opens_the_pace(size: int, absurd: float) -> None:
    """A reported limit of 1e-9 calls/s delayed every later call, and with it every better report."""
    checker = Checker(settings(group_size=size, hold_cap=500))
    checker.step(0, [endpoint_update(entry("h1"))])
    relay, rates, calls = checker.relay, list[float](), 0
    for number in range(60):
        now_us = (1 + number) * 500_000
        for send in sends(checker.step(now_us, [api.TimerDue(), arrival(f"m{number}")])):
            attempt = len(checker.cases[send.id].attempts) - 1
            rate = absurd if number == 10 else 20.0
            outcome = api.Outcome(send.id, attempt, send.host, api.Verdict.OK, 9, True, 0, 0.8, rate)
            checker.step(now_us + 10_000, [outcome])
            calls += number > 20
        rates.append(relay.endpoints["h1"].rate_limiter.allowed_rate)
    assert calls > 30
    assert max(rates[5:]) <= 4 * 20.0 * 1.03


def ask_times(size: int, number: int) -> list[int]:
    """Times at which a relay asks for the list if each ask fails after 2 s."""
    config = settings(group_size=size, number=number % size, must_ask=True, ask_within_us=10 * SECOND)
    checker = Checker(config, seed=number)
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
    """28 relays that asked every four seconds kept the directory's queue so full that none was served."""
    times = [at_us for number in range(40) for at_us in ask_times(40, number)[1:]]
    busiest = max(sum(at <= t < at + 2 * SECOND for t in times) for at in range(0, 28 * SECOND, SECOND))
    assert busiest <= 24, "twelve a second from forty relays"
    assert len(ask_times(3, 1)) >= 5, "a small group asks often"


def test_a_watch_that_breaks_is_asked_for_again_soon_also_by_one_of_many() -> None:
    relay = DecisionEngine(settings(group_size=40, must_ask=True, ask_within_us=10 * SECOND), seed=1)
    relay.step(0, [endpoint_update(entry("h1"))])
    relay.step(SECOND, [api.EndpointUpdate(api.EndpointUpdateKind.FAILED)])
    assert relay.next_ask_us - relay.now_us < SECOND
    relay.step(2 * SECOND, [api.EndpointUpdate(api.EndpointUpdateKind.FAILED)])
    assert relay.next_ask_us - relay.now_us >= SECOND


def test_a_shut_destination_that_tells_no_more_wait_is_tried_no_sooner_than_one_that_fails() -> None:
    """The whole time between trials is drawn from for a told wait only, as all relays know its end."""
    gaps_us = []
    for seed in range(30):
        relay = DecisionEngine(settings(group_size=40, max_attempts=12), seed)
        relay.step(0, [endpoint_update(entry("h1"))])
        for number, wait_us in enumerate((5 * SECOND, 0)):
            now_us = (1 + number) * 200 * SECOND
            [send] = sends(relay.step(now_us, [arrival(f"m{number}")]))
            relay.step(
                now_us + 1000, [ended(send, api.Verdict.FULL, wait_us=wait_us), api.Withdrawn(send.id)]
            )
        limiter = relay.endpoints["h1"].rate_limiter
        gaps_us.append(
            (limiter.pause_until_us - relay.now_us) / relay._trial_gap_us(relay.endpoints["h1"], limiter)
        )
    assert min(gaps_us) >= 0.3
