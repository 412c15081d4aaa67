"""The ranked search among held messages against a full scan, and its cost as more are held."""

from __future__ import annotations

import heapq
import random
import sys
from collections.abc import Iterator
from dataclasses import dataclass, replace
from types import FrameType

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from decisions import interface as api
from decisions.engine import REPEAT_RISKS, DecisionEngine
from decisions.ranked_queue import DeadlineQueue, RankedMessage
from decisions.state import Call, Destination, Endpoint, Message
from tests.support import (
    KEYED,
    ORDERED,
    SAFE,
    SECOND,
    UNSAFE,
    ZONED,
    arrival,
    endpoint_update,
    entry,
    sends,
    settings,
)

HALVED = replace(SAFE, name="halved", late_worth=0.25, aim_us=SECOND, deadline_us=8 * SECOND)
WORTHLESS = replace(SAFE, name="worthless", worth=0.0)
LATE_IS_FINE = replace(KEYED, name="fine", late_worth=1.0)
CLASSES = (SAFE, KEYED, ZONED, UNSAFE, ORDERED, HALVED, WORTHLESS, LATE_IS_FINE)


class ScanningEngine(DecisionEngine):
    """The same engine that scans all held messages each time: slow, and easily seen to be right."""

    def _ranked_messages(
        self, dest: Destination, rooms: list[Endpoint], short: bool
    ) -> Iterator[RankedMessage[Message]]:
        ranked = []
        for message in filter(self._key_allows, dest.held.values()):
            slot_us = min(self._slot_time_us(message, dest, e) for e in rooms) if short else 1.0
            ranked.append((-self._score(message) / slot_us, message))
        if any(g.failures_in_row for e in dest.endpoints.values() for g in e.limiters):
            ranked.sort(key=lambda pair: pair[0])
            ranks, messages = [rank for rank, _ in ranked], [message for _, message in ranked]
            messages.sort(key=lambda m: REPEAT_RISKS[m.cls.effect] + m.attempts / self.settings.max_attempts)
            ranked = list(zip(ranks, messages, strict=True))
        ready = [(rank, place, message) for place, (rank, message) in enumerate(ranked)]
        heapq.heapify(ready)
        return iter([heapq.heappop(ready) for _ in range(len(ready))])

    def _held_ending_by(self, dest: Destination, at_us: int) -> list[Message]:
        return [m for m in dest.held.values() if self._answer_by_us(m) <= at_us]

    def _messages_of_call(self, call: Call) -> list[tuple[Message, int]]:
        return [(m, n) for m in self.messages.values() for n, other in m.open_calls.items() if other is call]


def config(halves: bool = False, hold_cap: int = 120) -> api.Settings:
    """Settings with classes of every kind of worth."""
    return settings(classes=CLASSES, late_worth_halves=halves, hold_cap=hold_cap)


def compare_engines(engine_settings: api.Settings, seed: int, steps: int, max_clump: int) -> int:
    """Feed random events to both engines and check that every action is the same.

    Returns how many messages were held at most. Up to ``max_clump`` messages arrive in a step.
    """
    rng, fast, scanning = (
        random.Random(seed),
        DecisionEngine(engine_settings, seed),
        ScanningEngine(engine_settings, seed),
    )
    entries = [entry(f"h{n}", n % 3, "split" if n % 3 == 2 else "plain", zone="ab"[n % 2]) for n in range(6)]
    now_us, serial, max_held = 0, 0, 0
    out: list[tuple[api.Send, int]] = []
    attempts: dict[str, int] = {}
    events: list[api.Event] = [endpoint_update(*entries)]
    for _ in range(steps):
        actions = fast.step(now_us, events)
        assert actions == scanning.step(now_us, events)
        for send in sends(actions):
            out.append((send, attempts.get(send.id, 0)))
            attempts[send.id] = attempts.get(send.id, 0) + 1
        max_held = max(max_held, sum(len(dest.held) for dest in fast.dests.values()))
        now_us += rng.choice([5_000, 20_000, 100_000, 400_000])
        events = [api.TimerDue()]
        for _ in range(rng.choice([0, 1, 2, max_clump])):
            serial += 1
            cls = rng.choice(CLASSES)
            left_us = rng.choice([cls.deadline_us, cls.deadline_us, rng.randrange(1, cls.deadline_us)])
            key = rng.choice("kq") if cls.ordered_by_key else ""
            tenant = rng.choice(["big", "small"])
            events.append(arrival(f"m{serial}", cls, rng.randrange(3), left_us, key, tenant))
        rng.shuffle(out)
        for _ in range(rng.randrange(5)):
            if out:
                send, attempt = out.pop()
                verdict = rng.choice([api.Verdict.OK] * 5 + list(api.Verdict))
                wait_us = rng.choice([0, 0, 300_000, 3_000_000]) if verdict is api.Verdict.FULL else 0
                done = verdict is api.Verdict.OK
                took_us = rng.randrange(1_000, 900_000)
                events.append(api.Outcome(send.id, attempt, send.host, verdict, took_us, done, wait_us))
    return max_held


@pytest.mark.parametrize("halves", [False, True])
@pytest.mark.parametrize("seed", range(12))
def test_the_ranked_search_decides_as_the_scan(seed: int, halves: bool) -> None:
    """With failures, refusals, waits, trials, batches, keys and a full queue."""
    assert compare_engines(config(halves), seed, 250, 12) > 30


@profile(max_examples=40, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 1 << 32), st.booleans(), st.integers(1, 30))
def test_the_ranked_search_decides_as_the_scan_on_random_events(
    seed: int, halves: bool, max_clump: int
) -> None:
    compare_engines(config(halves, 60), seed, 60, max_clump)


@dataclass
class Item:
    """A message as a ``DeadlineQueue`` needs it."""

    queue_position: int
    value: float


@profile(max_examples=200, deadline=None, derandomize=True, database=None)
@given(st.lists(st.tuples(st.integers(0, 20), st.integers(0, 4)), min_size=1, max_size=40), st.data())
def test_a_queue_yields_the_remaining_messages_by_rank(
    parts: list[tuple[int, int]], data: st.DataObject
) -> None:
    """For a rank that rises, stays and falls; equal ranks by queue position."""

    def rank(deadline: int) -> float:
        return float(min(deadline, 7)) if deadline <= 14 else float(21 - deadline)

    queue, items = DeadlineQueue[Item](), list[Item]()
    for position, (deadline, _) in enumerate(parts, 1):
        items.append(Item(position, rank(deadline)))
        queue.add(deadline, items[-1])
    for item in data.draw(st.lists(st.sampled_from(items), unique_by=lambda item: item.queue_position)):
        item.queue_position = 0
        queue.mark_removed()
    remaining = sorted(
        (item for item in items if item.queue_position), key=lambda item: (item.value, item.queue_position)
    )
    assert len(queue) == len(remaining)
    if remaining:
        assert [item for _, _, item in queue.ranked([7, 14], lambda item: item.value)] == remaining


def function_calls(held: int, hosts: int = 1) -> int:
    """Python function calls in one step that sends one message, with so many held and hosts listed."""
    relay = DecisionEngine(settings(hold_cap=100_000, slots=2), 1)
    relay.step(0, [endpoint_update(*(entry(f"h{n}", 1 + n // 2) for n in range(hosts)))])
    actions = relay.step(
        5_000, [arrival(f"m{number}", SAFE if number % 2 else KEYED) for number in range(held)]
    )
    count = [0]

    def profile_call(_frame: FrameType, event: str, _arg: object) -> None:
        count[0] += event == "call"

    send = sends(actions)[0]
    done = api.Outcome(send.id, 0, send.host, api.Verdict.OK, 40_000, True)
    sys.setprofile(profile_call)
    actions = relay.step(45_000, [done])
    sys.setprofile(None)
    assert len(sends(actions)) == 1
    return count[0]


def test_the_work_for_an_event_does_not_grow_with_what_is_held() -> None:
    """A full scan made 8 function calls for each held message."""
    assert function_calls(5_000) <= function_calls(500) + 10
    assert function_calls(500) < 400


def test_the_work_for_an_event_does_not_grow_with_the_list() -> None:
    assert function_calls(50, hosts=200) <= function_calls(50, hosts=20) + 10
