"""A destination that goes down and comes back cold, and all relays of a fleet that call it, without sockets.

Each relay is the decision module on its own; they share nothing but the destination. Time is simulated.
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

DOWN_US, BACK_US, WARM_US, FALL_US = 10 * SECOND, 18 * SECOND, 10 * SECOND, 2 * SECOND
MULTIPLE, COLD_FROM, SPARE = 2.0, 0.2, 1.4  # capacity over the told limit
SERVICE_US, QUEUE_US = 50_000, 1_500_000  # us of service; of waiting, beyond which it refuses
ENTRIES = (api.Entry("h1", 1, "a", "plain", api.Listing.READY, 1.0),)


@dataclass(frozen=True, slots=True)
class Day:
    """What a play is made of."""

    outage: str  # down, shut, fail or hang
    size: int  # relays
    seed: int
    told: bool = True  # whether answers tell the limit
    capacity: float = 20.0  # calls/s
    load: float = 0.8  # of the limit
    uneven: float = 0.5  # exponent by which the relays' shares of the traffic fall
    restarts: int = 0  # relays that start anew around the return, with no memory


@dataclass(frozen=True, slots=True)
class Peak:
    """The window in which the calls exceed what a cold destination bears by most."""

    calls: int
    bears: float  # N + 2 x root(N) + 2
    knew: float  # share of the calls by relays whose call had failed in the outage

    @property
    def breaks(self) -> bool:
        """Whether the rule on cold destinations is broken."""
        return self.calls > self.bears and 3 * self.knew >= 2


class Fleet:
    """One play."""

    def __init__(self, day: Day) -> None:
        self.day, self.rng, self.now = day, random.Random(day.seed), 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._serial = itertools.count()
        self._limit = day.capacity / SPARE
        weights = [1 / (number + 1) ** day.uneven for number in range(day.size)]
        self._rates = [day.load * self._limit * weight / sum(weights) for weight in weights]
        self.lives = [0] * day.size
        self._relays = [self._relay(number) for number in range(day.size)]
        self._attempts: list[dict[str, int]] = [{} for _ in range(day.size)]
        self._busy_us = 0.0  # until when the destination has work
        self.knew: set[int] = set()
        self.calls: list[tuple[int, bool]] = []  # since the return: when, and by a relay that knew

    def _relay(self, number: int) -> DecisionEngine:
        told = settings(
            slots=12, group_size=self.day.size, number=number, fall_multiple=MULTIPLE, fall_us=FALL_US,
            cold_from=COLD_FROM, warm_within_us=WARM_US, hold_cap=200, max_attempts=8,
        )  # fmt: skip
        return DecisionEngine(told, self.rng.getrandbits(60))

    def play(self, seconds: int = 30) -> Peak:
        """The whole day, and its worst window."""
        for number in range(self.day.size):
            self._step(number, api.EndpointUpdate(api.EndpointUpdateKind.CACHED, ENTRIES))
            self._next_message(number)
        for _ in range(self.day.restarts):
            at_us = BACK_US - 2 * SECOND + int(self.rng.random() * 6 * SECOND)
            self._at(at_us, self._restart, self.rng.randrange(self.day.size))
        while self._heap and self._heap[0][0] < seconds * SECOND:
            self.now, _, act, args = heapq.heappop(self._heap)
            act(*args)
        return self._peak()

    def _peak(self) -> Peak:
        peaks = []
        for at_us, _ in self.calls:
            if at_us < BACK_US + WARM_US:
                some = [knew for t, knew in self.calls if at_us - FALL_US < t <= at_us]
                most = MULTIPLE * self._capacity(max(BACK_US, at_us - FALL_US // 2)) * FALL_US / SECOND
                bears = most + 2 * math.sqrt(most) + 2
                peaks.append(Peak(len(some), bears, sum(some) / len(some)))
        return max(peaks, key=lambda peak: peak.calls / peak.bears)

    def _at(self, at_us: int, act: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._heap, (at_us, next(self._serial), act, args))

    def _capacity(self, at_us: float) -> float:
        cold = max(0.0, 1 - (at_us - BACK_US) / WARM_US) if at_us >= BACK_US else 0.0
        return self.day.capacity * (1 - (1 - COLD_FROM) * cold)

    def _step(self, number: int, event: api.Event) -> None:
        for action in self._relays[number].step(self.now, [event]):
            if isinstance(action, api.Send):
                self._call(number, action)
            elif isinstance(action, api.Wake):
                self._at(self.now + action.delay_us, self._wake, number, self.lives[number])

    def _wake(self, number: int, life: int) -> None:
        if life == self.lives[number]:
            self._step(number, api.TimerDue())

    def _next_message(self, number: int) -> None:
        self._at(
            self.now + 1 + int(self.rng.expovariate(self._rates[number]) * SECOND), self._message, number
        )

    def _message(self, number: int) -> None:
        cls = self.rng.choice([SAFE, KEYED])
        name = f"m{next(self._serial)}"
        self._step(number, api.Arrival(name, 1, cls.name, cls.deadline_us, "big"))
        self._next_message(number)

    def _restart(self, number: int) -> None:
        self.lives[number] += 1
        self.knew.discard(number)
        self._relays[number], self._attempts[number] = self._relay(number), {}
        self._step(number, api.EndpointUpdate(api.EndpointUpdateKind.CACHED, ENTRIES))

    def _call(self, number: int, send: api.Send) -> None:
        attempt = self._attempts[number].get(send.id, 0)
        self._attempts[number][send.id] = attempt + 1
        down = DOWN_US <= self.now < BACK_US
        verdict, took_us = self._gone(send) if down else self._served(number)
        if took_us > send.timeout_us:
            verdict, took_us = api.Verdict.TIMEOUT, send.timeout_us
        self._at(self.now + took_us, self._ended, number, self.lives[number], send, attempt, verdict, took_us)

    def _gone(self, send: api.Send) -> tuple[api.Verdict, int]:
        match self.day.outage:
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

    def _served(self, number: int) -> tuple[api.Verdict, int]:
        if self.now >= BACK_US:
            self.calls.append((self.now, number in self.knew))
        each_us = SECOND / self._capacity(self.now)
        if (wait_us := max(0.0, self._busy_us - self.now)) > QUEUE_US:
            return api.Verdict.FULL, 20_000
        self._busy_us = self.now + wait_us + each_us
        return api.Verdict.OK, int(wait_us + max(each_us, SERVICE_US * self.rng.uniform(0.6, 1.6)))

    def _ended(
        self, number: int, life: int, send: api.Send, attempt: int, verdict: api.Verdict, took_us: int
    ) -> None:
        if life != self.lives[number]:
            return
        served = verdict is api.Verdict.OK
        if not served and DOWN_US <= self.now < BACK_US:
            self.knew.add(number)
        left = 1 - self.day.load if self.day.told and served else None
        rate = self._limit if self.day.told else None
        told = api.Outcome(send.id, attempt, send.host, verdict, took_us, served, 0, left, rate)
        self._step(number, told)
