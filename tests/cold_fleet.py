"""Simulation of a destination that goes down and comes back cold, and of all relays of a fleet that call it.

Each relay is a decision engine without sockets; they share nothing but the destination. Time is simulated.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from decisions import interface as api
from decisions.engine import DecisionEngine
from tests.support import KEYED, SAFE, SECOND, settings

DOWN_US = 10 * SECOND  # when the outage begins
BACK_US = 18 * SECOND  # when the destination is back, cold
WARM_US = 10 * SECOND  # time in which it warms up
FALL_US = 2 * SECOND  # window over which an overload of a cold destination counts
MULTIPLE = 2.0  # times its capacity that a destination stands in such a window
COLD_FROM = 0.2  # capacity of a cold destination, as a share of the warm one
SPARE = 1.4  # capacity over the reported limit
SERVICE_US = 50_000  # mean time to serve a call
QUEUE_US = 1_500_000  # waiting time beyond which the destination refuses
ENTRIES = (api.Entry("h1", 1, "a", "plain", api.Listing.READY, 1.0),)


@dataclass(frozen=True, slots=True)
class Scenario:
    """The parameters of one simulation."""

    outage: str  # down, shut, fail or hang
    size: int  # relays
    seed: int
    limit_reported: bool = True  # whether answers report the limit
    capacity: float = 20.0  # calls/s
    load: float = 0.8  # messages/s, as a share of the limit
    uneven: float = 0.5  # exponent by which the relays' shares of the traffic fall
    restarts: int = 0  # relays that restart around the return, without their state


@dataclass(frozen=True, slots=True)
class Peak:
    """The window of FALL_US in which calls exceed most what a cold destination can take."""

    calls: int
    max_calls: float  # N + 2 x root(N) + 2, where N calls are MULTIPLE times the capacity
    aware_share: float  # share of the calls by relays whose calls had failed in the outage

    @property
    def breaks_rule(self) -> bool:
        """Whether more calls came than allowed, two thirds of them from relays that had seen the outage."""
        return self.calls > self.max_calls and 3 * self.aware_share >= 2


class Fleet:
    """One simulation run."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.now_us = 0
        self._event_heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._event_numbers = itertools.count()
        self._limit = scenario.capacity / SPARE
        weights = [1 / (number + 1) ** scenario.uneven for number in range(scenario.size)]
        self._rates = [scenario.load * self._limit * weight / sum(weights) for weight in weights]
        self.incarnations = [0] * scenario.size
        self._relays = [self._new_relay(number) for number in range(scenario.size)]
        self._attempts: list[dict[str, int]] = [{} for _ in range(scenario.size)]
        self._busy_until_us = 0.0  # when the destination has served all accepted calls
        self.aware: set[int] = set()  # relays with a call that failed in the outage
        self.calls: list[tuple[int, bool]] = []  # since the return: when, and whether by an aware relay

    def _new_relay(self, number: int) -> DecisionEngine:
        relay_settings = settings(
            slots=12, group_size=self.scenario.size, number=number, fall_multiple=MULTIPLE, fall_us=FALL_US,
            cold_from=COLD_FROM, warm_within_us=WARM_US, hold_cap=200, max_attempts=8,
        )  # fmt: skip
        return DecisionEngine(relay_settings, self.rng.getrandbits(60))

    def run(self, seconds: int = 30) -> Peak:
        """Simulate this many seconds and return the worst window."""
        for number in range(self.scenario.size):
            self._step(number, api.EndpointUpdate(api.EndpointUpdateKind.CACHED, ENTRIES))
            self._schedule_message(number)
        for _ in range(self.scenario.restarts):
            at_us = BACK_US - 2 * SECOND + int(self.rng.random() * 6 * SECOND)
            self._schedule(at_us, self._restart, self.rng.randrange(self.scenario.size))
        while self._event_heap and self._event_heap[0][0] < seconds * SECOND:
            self.now_us, _, act, args = heapq.heappop(self._event_heap)
            act(*args)
        return self._worst_window()

    def _worst_window(self) -> Peak:
        peaks = []
        for at_us, _ in self.calls:
            if at_us < BACK_US + WARM_US:
                window = [aware for t, aware in self.calls if at_us - FALL_US < t <= at_us]
                borne = MULTIPLE * self._capacity(max(BACK_US, at_us - FALL_US // 2)) * FALL_US / SECOND
                max_calls = borne + 2 * math.sqrt(borne) + 2
                peaks.append(Peak(len(window), max_calls, sum(window) / len(window)))
        return max(peaks, key=lambda peak: peak.calls / peak.max_calls)

    def _schedule(self, at_us: int, act: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._event_heap, (at_us, next(self._event_numbers), act, args))

    def _capacity(self, at_us: float) -> float:
        coldness = max(0.0, 1 - (at_us - BACK_US) / WARM_US) if at_us >= BACK_US else 0.0
        return self.scenario.capacity * (1 - (1 - COLD_FROM) * coldness)

    def _step(self, number: int, event: api.Event) -> None:
        for action in self._relays[number].step(self.now_us, [event]):
            if isinstance(action, api.Send):
                self._call(number, action)
            elif isinstance(action, api.Wake):
                self._schedule(self.now_us + action.delay_us, self._wake, number, self.incarnations[number])

    def _wake(self, number: int, incarnation: int) -> None:
        if incarnation == self.incarnations[number]:
            self._step(number, api.TimerDue())

    def _schedule_message(self, number: int) -> None:
        self._schedule(
            self.now_us + 1 + int(self.rng.expovariate(self._rates[number]) * SECOND),
            self._send_message,
            number,
        )

    def _send_message(self, number: int) -> None:
        cls = self.rng.choice([SAFE, KEYED])
        name = f"m{next(self._event_numbers)}"
        self._step(number, api.Arrival(name, 1, cls.name, cls.deadline_us, "big"))
        self._schedule_message(number)

    def _restart(self, number: int) -> None:
        self.incarnations[number] += 1
        self.aware.discard(number)
        self._relays[number], self._attempts[number] = self._new_relay(number), {}
        self._step(number, api.EndpointUpdate(api.EndpointUpdateKind.CACHED, ENTRIES))

    def _call(self, number: int, send: api.Send) -> None:
        attempt = self._attempts[number].get(send.id, 0)
        self._attempts[number][send.id] = attempt + 1
        down = DOWN_US <= self.now_us < BACK_US
        verdict, took_us = self._answer_while_down(send) if down else self._answer_while_up(number)
        if took_us > send.timeout_us:
            verdict, took_us = api.Verdict.TIMEOUT, send.timeout_us
        self._schedule(
            self.now_us + took_us,
            self._finish_call,
            number,
            self.incarnations[number],
            send,
            attempt,
            verdict,
            took_us,
        )

    def _answer_while_down(self, send: api.Send) -> tuple[api.Verdict, int]:
        match self.scenario.outage:
            case "down":
                return api.Verdict.CONNECT_FAILED, 20_000
            case "shut":
                return api.Verdict.FULL, 30_000
            case "fail" if self.rng.random() < 0.9:
                return api.Verdict.ERROR, 80_000
            case "fail":
                return api.Verdict.OK, 80_000
            case _:
                return api.Verdict.TIMEOUT, send.timeout_us

    def _answer_while_up(self, number: int) -> tuple[api.Verdict, int]:
        if self.now_us >= BACK_US:
            self.calls.append((self.now_us, number in self.aware))
        each_us = SECOND / self._capacity(self.now_us)
        if (wait_us := max(0.0, self._busy_until_us - self.now_us)) > QUEUE_US:
            return api.Verdict.FULL, 20_000
        self._busy_until_us = self.now_us + wait_us + each_us
        return api.Verdict.OK, int(wait_us + max(each_us, SERVICE_US * self.rng.uniform(0.6, 1.6)))

    def _finish_call(
        self, number: int, incarnation: int, send: api.Send, attempt: int, verdict: api.Verdict, took_us: int
    ) -> None:
        if incarnation != self.incarnations[number]:
            return
        served = verdict is api.Verdict.OK
        if not served and DOWN_US <= self.now_us < BACK_US:
            self.aware.add(number)
        share_left = 1 - self.scenario.load if self.scenario.limit_reported and served else None
        rate = self._limit if self.scenario.limit_reported else None
        outcome = api.Outcome(send.id, attempt, send.host, verdict, took_us, served, 0, share_left, rate)
        self._step(number, outcome)
