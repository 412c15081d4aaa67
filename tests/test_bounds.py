"""Tables that could grow in a long-lived process stay within their bounds."""

from __future__ import annotations

import heapq

from decisions import interface as api
from decisions.engine import MAX_GONE_ENDPOINTS, DecisionEngine
from relay import endpoint_calls
from relay.endpoint_list import DirectoryUpdate, ListedEndpoint
from tests.support import ORDERED, SAFE, SECOND, arrival, endpoint_update, entry, sends, settings
from tests.test_endpoint_calls import Calls


def sizes(relay: DecisionEngine) -> dict[str, int]:
    """Number of entries by table of the engine, with those of its endpoints and destinations summed."""
    tables = (
        "messages endpoints dests banned key_queues key_cooldown_until_us baseline_stats"
        " connect_failures_by_kind dests_to_check check_heap expiry_heap"
    )
    counts = {name: len(getattr(relay, name)) for name in tables.split()}
    counts["stats by class"] = sum(len(e.stats_by_class) for e in relay.endpoints.values())
    counts["held"] = sum(len(dest.held) for dest in relay.dests.values())
    counts["queues"] = sum(len(dest.queues) for dest in relay.dests.values())
    counts["of dests"] = sum(len(dest.endpoints) for dest in relay.dests.values())
    counts["calls"] = sum(len(e.calls) for e in relay.endpoints.values())
    return counts


def test_a_hundred_thousand_messages_leave_no_more_than_ten_thousand() -> None:
    """Ordering keys that are used once each, and destinations that no list names, could pile up."""
    relay = DecisionEngine(settings(hold_cap=200), 1)
    relay.step(0, [endpoint_update(*(entry(f"h{n}", n % 4) for n in range(8)))])
    now_us, known = 0, dict[int, dict[str, int]]()
    done: list[tuple[int, int, api.Send]] = []
    for number in range(100_000):
        now_us += 10_000  # a hundred a second
        cls = ORDERED if number % 2 else SAFE
        events: list[api.Event] = [arrival(f"m{number}", cls, number % 5, 2 * SECOND, f"k{number}")]
        if number % 500 == 0:
            events.append(arrival(f"n{number}", SAFE, 1000 + number, SECOND))
        while done and done[0][0] <= now_us:
            send = heapq.heappop(done)[2]
            events.append(api.Outcome(send.id, 0, send.host, api.Verdict.OK, 30_000, True))
        for at, send in enumerate(sends(relay.step(now_us, events))):
            heapq.heappush(done, (now_us + 30_000, 10 * number + at, send))
        if number + 1 in (10_000, 100_000):
            known[number + 1] = sizes(relay)
    early, late = known[10_000], known[100_000]
    assert sum(late.values()) <= sum(early.values()) + 50, (early, late)
    assert late["expiry_heap"] < 1_000
    assert late["key_cooldown_until_us"] + late["key_queues"] + late["dests"] < 700


def test_endpoints_that_left_are_forgotten_but_for_the_latest() -> None:
    """Listed endpoints stay, and so do those with a call out, however many others are replaced."""
    relay = DecisionEngine(settings(), 1)
    relay.step(0, [endpoint_update(entry("stays"), entry("h0"))])
    relay.step(5_000, [arrival("m1"), arrival("m2")])
    busy = {call.endpoint.host for e in relay.endpoints.values() for call in e.calls}
    for number in range(1, 2_000):
        gone = entry(f"h{number - 1}", listing=api.Listing.GONE)
        relay.step(
            number * SECOND, [endpoint_update(gone, entry(f"h{number}"), kind=api.EndpointUpdateKind.CHANGES)]
        )
    assert len(relay.endpoints) <= MAX_GONE_ENDPOINTS + 8
    assert {"stays", "h1999", *busy} <= relay.endpoints.keys()
    assert relay.listed_count == 2
    assert relay.dests[1].endpoints == relay.endpoints


async def test_hosts_remember_so_many_names_and_waits() -> None:
    calls = Calls(1)
    for number in range(2 * endpoint_calls.MAX_REMEMBERED_HOSTS):
        gone = entry(f"x{number}", listing=api.Listing.GONE)
        calls.endpoint_calls.apply_update(
            DirectoryUpdate(2, False, (ListedEndpoint(gone, ("127.0.0.1", 1)),))
        )
    calls.set_listing(1)
    assert len(calls.endpoint_calls.remembered_hosts) == endpoint_calls.MAX_REMEMBERED_HOSTS
    assert "h1" in calls.endpoint_calls.remembered_hosts
    assert "x0" not in calls.endpoint_calls.remembered_hosts


def test_a_partner_without_endpoints_is_kept_as_long_as_a_message_is_out() -> None:
    """Its endpoint moved to another destination during a call; the call's outcome is still processed."""
    relay = DecisionEngine(settings(), 1)
    relay.step(0, [endpoint_update(entry("h1"))])
    send = sends(relay.step(5_000, [arrival("m1")]))[0]
    relay.step(10_000, [endpoint_update(entry("h1", dest=2))])
    for second in (6, 12):
        relay.step(second * SECOND, [api.TimerDue()])
    assert 1 in relay.dests
    relay.step(13 * SECOND, [api.Outcome(send.id, 0, send.host, api.Verdict.RESET, SECOND)])
    relay.step(19 * SECOND, [api.TimerDue()])
    relay.step(25 * SECOND, [api.TimerDue()])
    assert 1 not in relay.dests
