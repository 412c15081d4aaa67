"""Simulation of a destination that goes down and comes back cold, and of all relays of a fleet that call it.

Each relay is a decision engine without sockets; they share nothing but the destination. Time is simulated.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
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
RESTART_US = 600_000  # from a relay's kill to the start of its next process
CLIENT_BACKOFF_US = SECOND  # mean time until a client hands in a refused message again
FEW_CALLS = 30  # the protocol's tolerance is wider for budgets below this
SILENT_CONNECT_US = 1_000_000  # time in which a connection to a vanished machine is given up
# Classes whose deadlines are short against an outage, one of each effect.
SHORT_CLASSES = (
    api.MessageClass("licence", api.Effect.KEYED, 3 * SECOND, 6_900_000, 2.0, 0.5, 6_400_000),
    api.MessageClass("seat", api.Effect.SAFE, 1_500_000, 2_600_000),
    api.MessageClass("fee", api.Effect.UNSAFE, 2 * SECOND, 8_300_000, 4.0, 0.3),
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """The parameters of one simulation."""

    outage: str  # down, silent, shut, told, fail or hang
    size: int  # relays
    seed: int
    limit_reported: bool = True  # whether answers report the limit
    capacity: float = 20.0  # calls/s
    load: float = 0.8  # messages/s, as a share of the limit
    uneven: float = 0.5  # exponent by which the relays' shares of the traffic fall
    restarts: int = 0  # relays that restart around the return, without their state
    endpoints: int = 1
    slots: int = 12  # of each relay
    classes: tuple[api.MessageClass, ...] = (SAFE, KEYED)
    kill_us: int = 0  # when all relays are killed; each starts again with its journal (0: never)
    # Whether a relay counts as aware of the outage also where only its former process had a failed call.
    aware_across_kills: bool = False
    retries: int = 0  # how often a client hands in a message again that was refused
    # Whether the protocol's wider tolerance for small budgets applies, or that for large ones throughout.
    wide_if_few: bool = False


@dataclass(frozen=True, slots=True)
class Peak:
    """The window of FALL_US in which calls exceed most what a cold destination can take."""

    calls: int
    max_calls: float  # see ``tolerated_calls``
    aware_share: float  # share of the calls by relays with a failed call in the outage

    @property
    def breaks_rule(self) -> bool:
        """Whether more calls came than allowed, two thirds of them from relays that had seen the outage."""
        return self.calls > self.max_calls and 3 * self.aware_share >= 2


@dataclass(frozen=True, slots=True)
class CallEnd:
    """How a call ends, after how long, and the wait that the destination asks for."""

    verdict: api.Verdict
    took_us: int
    wait_us: int = 0


def tolerated_calls(budget: float, wide_if_few: bool) -> float:
    """The calls in a window that a budget of so many bears, by the protocol's page."""
    if wide_if_few and budget < FEW_CALLS:
        return budget + 3 * math.sqrt(budget) + 3
    return budget + 2 * math.sqrt(budget) + 2


@dataclass(slots=True)
class JournaledMessage:
    """A message without a final answer, as a relay's journal has it."""

    cls: api.MessageClass
    deadline_us: int
    retry: int  # how often a client handed it in before
    attempts: int = 0
    uncertain_since_us: int = -1  # when the first attempt began that may have run (-1: none may have)

    def arrival(self, name: str, now_us: int, *, restored: bool) -> api.Arrival:
        """The event by which an engine takes it on."""
        age_us = now_us - self.uncertain_since_us if self.uncertain_since_us >= 0 else -1
        left_us = self.deadline_us - now_us
        return api.Arrival(
            name, 1, self.cls.name, left_us, "big", "", self.attempts, age_us, restored=restored
        )


@dataclass(slots=True)
class SimulatedRelay:
    """One relay; its journal outlives its processes."""

    engine: DecisionEngine | None  # None while it is down
    process: int = 0  # counts its processes
    journal: dict[str, JournaledMessage] = field(default_factory=dict)


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
        self._entries = tuple(
            api.Entry(f"h{number}", 1, "a", "plain", api.Listing.READY, 1.0)
            for number in range(1, scenario.endpoints + 1)
        )
        self._relays = [SimulatedRelay(self._new_engine(number)) for number in range(scenario.size)]
        self._busy_until_us = 0.0  # when the destination has served all accepted calls
        self.aware: set[int] = set()  # relays with a call that began in the outage and failed
        self.calls: list[tuple[int, bool]] = []  # since the return: when, and whether by an aware relay
        self.served = 0  # messages delivered since the return

    def _new_engine(self, number: int) -> DecisionEngine:
        relay_settings = settings(
            slots=self.scenario.slots, group_size=self.scenario.size, number=number, fall_multiple=MULTIPLE,
            fall_us=FALL_US, cold_from=COLD_FROM, warm_within_us=WARM_US, hold_cap=200, max_attempts=8,
            classes=self.scenario.classes,
        )  # fmt: skip
        return DecisionEngine(relay_settings, self.rng.getrandbits(60))

    def run(self, seconds: int = 30) -> Peak:
        """Simulate this many seconds and return the worst window."""
        for number in range(self.scenario.size):
            self._step(number, api.EndpointUpdate(api.EndpointUpdateKind.CACHED, self._entries))
            self._schedule_message(number)
        for _ in range(self.scenario.restarts):
            at_us = BACK_US - 2 * SECOND + int(self.rng.random() * 6 * SECOND)
            self._schedule(at_us, self._lose_state, self.rng.randrange(self.scenario.size))
        if self.scenario.kill_us:
            for number in range(self.scenario.size):
                self._schedule(self.scenario.kill_us, self._kill, number)
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
                max_calls = tolerated_calls(borne, self.scenario.wide_if_few)
                peaks.append(Peak(len(window), max_calls, sum(window) / len(window)))
        return max(peaks, key=lambda peak: (peak.breaks_rule, peak.calls / peak.max_calls))

    def _schedule(self, at_us: int, act: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._event_heap, (at_us, next(self._event_numbers), act, args))

    def _capacity(self, at_us: float) -> float:
        coldness = max(0.0, 1 - (at_us - BACK_US) / WARM_US) if at_us >= BACK_US else 0.0
        return self.scenario.capacity * (1 - (1 - COLD_FROM) * coldness)

    def _step(self, number: int, *events: api.Event) -> None:
        relay = self._relays[number]
        assert relay.engine is not None
        for action in relay.engine.step(self.now_us, events):
            if isinstance(action, api.Send):
                self._call(number, action)
            elif isinstance(action, api.Wake):
                self._schedule(self.now_us + action.delay_us, self._wake, number, relay.process)
            elif isinstance(action, api.Refuse | api.Fail):
                self._end_message(number, action)

    def _end_message(self, number: int, action: api.Refuse | api.Fail) -> None:
        message = self._relays[number].journal.pop(action.id)
        if isinstance(action, api.Refuse) and message.retry < self.scenario.retries:
            delay_us = int(CLIENT_BACKOFF_US * self.rng.uniform(0.5, 1.5))
            self._schedule(self.now_us + delay_us, self._hand_in, number, message.cls, message.retry + 1)

    def _wake(self, number: int, process: int) -> None:
        if process == self._relays[number].process:
            self._step(number, api.TimerDue())

    def _schedule_message(self, number: int) -> None:
        self._schedule(
            self.now_us + 1 + int(self.rng.expovariate(self._rates[number]) * SECOND),
            self._send_message,
            number,
        )

    def _send_message(self, number: int) -> None:
        self._hand_in(number, self.rng.choice(self.scenario.classes), 0)
        self._schedule_message(number)

    def _hand_in(self, number: int, cls: api.MessageClass, retry: int) -> None:
        relay = self._relays[number]
        if relay.engine is None:  # the client comes again once the relay is back
            self._schedule(self.now_us + RESTART_US, self._hand_in, number, cls, retry)
            return
        name = f"m{next(self._event_numbers)}"
        message = relay.journal[name] = JournaledMessage(cls, self.now_us + cls.deadline_us, retry)
        self._step(number, message.arrival(name, self.now_us, restored=False))

    def _lose_state(self, number: int) -> None:
        """Restart a relay at once, with no journal."""
        self._kill(number)
        self._relays[number].journal.clear()
        self._start(number, self._relays[number].process)

    def _kill(self, number: int) -> None:
        """End a relay's process; the next one starts with the journal."""
        relay = self._relays[number]
        relay.engine, relay.process = None, relay.process + 1
        if not self.scenario.aware_across_kills:
            self.aware.discard(number)
        self._schedule(self.now_us + RESTART_US, self._start, number, relay.process)

    def _start(self, number: int, process: int) -> None:
        relay = self._relays[number]
        if relay.engine is not None or process != relay.process:
            return
        relay.engine = self._new_engine(number)
        restored = [
            message.arrival(name, self.now_us, restored=True) for name, message in relay.journal.items()
        ]
        self._step(number, api.EndpointUpdate(api.EndpointUpdateKind.CACHED, self._entries), *restored)

    def _call(self, number: int, send: api.Send) -> None:
        relay = self._relays[number]
        message = relay.journal[send.id]
        attempt, message.attempts = message.attempts, message.attempts + 1
        down = DOWN_US <= self.now_us < BACK_US
        outcome = self._answer_while_down(send) if down else self._answer_while_up(number)
        if outcome.took_us > send.timeout_us:
            outcome = CallEnd(api.Verdict.TIMEOUT, send.timeout_us)
        if not outcome.verdict.never_ran and message.uncertain_since_us < 0:
            message.uncertain_since_us = self.now_us
        self._schedule(
            self.now_us + outcome.took_us, self._finish_call, number, relay.process, send, attempt, outcome
        )

    def _answer_while_down(self, send: api.Send) -> CallEnd:
        match self.scenario.outage:
            case "down":
                return CallEnd(api.Verdict.CONNECT_FAILED, 20_000)
            case "silent":
                return CallEnd(api.Verdict.CONNECT_FAILED, SILENT_CONNECT_US)
            case "shut":
                return CallEnd(api.Verdict.FULL, 30_000)
            case "told":  # refused with the wait until the return
                return CallEnd(api.Verdict.FULL, 30_000, BACK_US - self.now_us - 30_000)
            case "fail" if self.rng.random() < 0.9:
                return CallEnd(api.Verdict.ERROR, 80_000)
            case "fail":
                return CallEnd(api.Verdict.OK, 80_000)
            case _:
                return CallEnd(api.Verdict.TIMEOUT, send.timeout_us)

    def _answer_while_up(self, number: int) -> CallEnd:
        if self.now_us >= BACK_US:
            self.calls.append((self.now_us, number in self.aware))
        each_us = SECOND / self._capacity(self.now_us)
        if (wait_us := max(0.0, self._busy_until_us - self.now_us)) > QUEUE_US:
            return CallEnd(api.Verdict.FULL, 20_000)
        self._busy_until_us = self.now_us + wait_us + each_us
        return CallEnd(api.Verdict.OK, int(wait_us + max(each_us, SERVICE_US * self.rng.uniform(0.6, 1.6))))

    def _finish_call(self, number: int, process: int, send: api.Send, attempt: int, end: CallEnd) -> None:
        relay = self._relays[number]
        if process != relay.process:
            return
        served = end.verdict is api.Verdict.OK
        if served:
            relay.journal.pop(send.id, None)
            self.served += self.now_us >= BACK_US
        elif DOWN_US <= self.now_us - end.took_us < BACK_US:
            self.aware.add(number)
        outcome = api.Outcome(
            send.id, attempt, send.host, end.verdict, end.took_us, served, max(0, end.wait_us),
            self._share_left(end), self._limit if self.scenario.limit_reported else None,
        )  # fmt: skip
        self._step(number, outcome)

    def _share_left(self, end: CallEnd) -> float | None:
        """The reported share of the limit that is left: all of it where the destination is shut."""
        if not self.scenario.limit_reported:
            return None
        if end.verdict is api.Verdict.OK:
            return 1 - self.scenario.load
        return 1.0 if self.scenario.outage == "told" and end.wait_us else None
