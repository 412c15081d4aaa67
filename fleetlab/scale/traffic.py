"""Simulated relays: the real decision engine in simulated time, with simulated destinations, without sockets.

As in the service, a relay's events are collected and given to the engine once a round.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Protocol

from decisions.engine import DecisionEngine
from decisions.interface import (
    Action,
    Arrival,
    Cancel,
    Effect,
    EndpointUpdate,
    EndpointUpdateKind,
    Entry,
    Event,
    Fail,
    Listing,
    MessageClass,
    Outcome,
    Refuse,
    Send,
    TimerDue,
    Verdict,
    Wake,
)
from fleetlab.scale.endpoints import ZONES
from fleetlab.scale.process import processor_seconds

SECOND_US = 1_000_000
CONNECT_FAILURE_US = 20_000  # duration of a call whose connection fails
REFUSAL_US = 30_000  # duration of a call that is refused
# Calls that are served have a log-normal duration with this median; the mean is 204 ms.
MEDIAN_LATENCY_US = 180_000
LATENCY_LOG_DEVIATION = 0.5  # standard deviation of the duration's logarithm
STATUS = MessageClass("status", Effect.SAFE, 1_500_000, 6_000_000)
ORDER = MessageClass("order", Effect.KEYED, 3_000_000, 16_000_000, 2.0, 0.5, key_window_us=15_000_000)
PAYMENT = MessageClass("payment", Effect.UNSAFE, 2_000_000, 28_000_000, 4.0, 0.3)
MESSAGE_CLASSES = (STATUS, ORDER, PAYMENT)
CLASS_WEIGHTS = (6, 3, 1)  # relative frequency of each class among the messages


class Fault(Enum):
    """How calls to a destination that is down fail."""

    CONNECT_FAILS = "connect_fails"
    HANGS = "hangs"
    REFUSES = "refuses"


@dataclass(frozen=True, slots=True)
class CallEnd:
    """How a call ends, and how long it takes."""

    verdict: Verdict
    took_us: int


class Destinations(Protocol):
    """The destinations that simulated relays call."""

    def answer(self, host: str, now_us: int, limit_us: int) -> CallEnd:
        """How a call that begins now will end; it times out after ``limit_us``."""

    def is_down(self, host: str, now_us: int) -> bool:
        """Whether the destination is down, so that a call that begins now is wasted."""


class Simulation:
    """A simulated clock with a queue of scheduled callbacks."""

    def __init__(self) -> None:
        self.now_us = 0
        self._sequence = itertools.count()
        self._scheduled: list[tuple[int, int, Callable[[], None]]] = []

    def schedule(self, at_us: int, act: Callable[[], None]) -> None:
        """Call ``act`` at ``at_us``; callbacks for the same time run in the order of scheduling."""
        heapq.heappush(self._scheduled, (at_us, next(self._sequence), act))

    def run(self, until_us: int) -> None:
        """Run the callbacks due before ``until_us``, and set the clock to it."""
        while self._scheduled and self._scheduled[0][0] < until_us:
            self.now_us, _, act = heapq.heappop(self._scheduled)
            act()
        self.now_us = until_us


@dataclass(slots=True)
class OpenMessage:
    """A message that a relay accepted and that has no final result."""

    cls: MessageClass
    host: str
    at_us: int  # when it was accepted
    attempts: int = 0


@dataclass(slots=True)
class Counts:
    """Results of a relay's messages and calls."""

    taken: int = 0  # messages accepted
    taken_for_down: int = 0  # of these, for a destination that was down at the time
    delivered: int = 0
    refused: int = 0
    failed: int = 0
    calls: int = 0
    wasted_calls: int = 0  # of these, to destinations that were down
    wasted_slot_us: int = 0  # time for which wasted calls held a slot, summed up
    max_wasted_at_once: int = 0  # most wasted calls open at the same time
    cancels: int = 0
    due_healthy: int = 0  # messages for healthy destinations whose aim has passed
    on_time: int = 0  # of these, delivered within their aim
    steps: int = 0


@dataclass(slots=True)
class Timing:
    """Processor time in the engine, without that for loading the first list."""

    seconds: float = 0.0  # of all steps
    longest_step_s: float = 0.0


class SimulatedRelay:
    """The decision engine with its timers, messages and calls, without a network."""

    def __init__(self, simulation: Simulation, engine: DecisionEngine, destinations: Destinations) -> None:
        self.engine = engine
        self.counts = Counts()
        self.timing = Timing()
        self.after_step: Callable[[], None] = lambda: None  # called after each step
        self._simulation, self._destinations = simulation, destinations
        self._open_messages: dict[str, OpenMessage] = {}
        self._call_starts_us: dict[tuple[str, int], int] = {}  # of open calls, by message and attempt
        self._open_wasted_calls = 0
        self._delivered_in_aim: set[str] = set()  # delivered messages whose aim has not passed yet
        self._waiting_events: list[Event] = []
        self._next_step_us = 0  # earliest time of the next step
        self._step_scheduled = False

    @property
    def open_count(self) -> int:
        """Number of messages without a final result."""
        return len(self._open_messages)

    def load_list(self, entries: tuple[Entry, ...]) -> None:
        """Give the whole endpoint list to the engine in one step."""
        self._execute(
            self.engine.step(self._simulation.now_us, [EndpointUpdate(EndpointUpdateKind.WHOLE, entries)])
        )

    def accept_message(self, name: str, entry: Entry, cls: MessageClass) -> None:
        """Accept a message: its arrival is an event of the next step."""
        now_us = self._simulation.now_us
        self._open_messages[name] = OpenMessage(cls, entry.host, now_us)
        self.counts.taken += 1
        if self._destinations.is_down(entry.host, now_us):
            self.counts.taken_for_down += 1
        else:
            self._simulation.schedule(now_us + cls.aim_us, lambda: self._check_aim(name))
        self._queue_event(Arrival(name, entry.dest, cls.name, cls.deadline_us))

    def count_open_calls(self) -> None:
        """Add the slot time of wasted calls that are still open, at the end of a run."""
        now_us = self._simulation.now_us
        for (name, _), begun_us in self._call_starts_us.items():
            if name in self._open_messages and self._destinations.is_down(
                self._open_messages[name].host, begun_us
            ):
                self.counts.wasted_slot_us += now_us - begun_us

    def _check_aim(self, name: str) -> None:
        self.counts.due_healthy += 1
        if name in self._delivered_in_aim:
            self._delivered_in_aim.remove(name)
            self.counts.on_time += 1

    def _queue_event(self, event: Event) -> None:
        """Give an event to the engine at its next step, at the earliest one round after the previous step."""
        self._waiting_events.append(event)
        if not self._step_scheduled:
            self._step_scheduled = True
            self._simulation.schedule(max(self._simulation.now_us, self._next_step_us), self._step)

    def _step(self) -> None:
        now_us = self._simulation.now_us
        self._step_scheduled, self._next_step_us = False, now_us + self.engine.settings.round_us
        events, self._waiting_events = self._waiting_events, []
        begun_s = processor_seconds()
        actions = self.engine.step(now_us, events)
        took_s = processor_seconds() - begun_s
        self.timing.seconds += took_s
        self.timing.longest_step_s = max(self.timing.longest_step_s, took_s)
        self.counts.steps += 1
        self._execute(actions)
        self.after_step()

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._start_call(action)
                case Wake():
                    due_us = self._simulation.now_us + action.delay_us
                    self._simulation.schedule(due_us, lambda: self._queue_event(TimerDue()))
                case Cancel():
                    self._cancel_call(action)
                case Refuse():
                    self.counts.refused += self._open_messages.pop(action.id, None) is not None
                case Fail():
                    self.counts.failed += self._open_messages.pop(action.id, None) is not None

    def _start_call(self, send: Send) -> None:
        now_us, message = self._simulation.now_us, self._open_messages[send.id]
        attempt, message.attempts = message.attempts, message.attempts + 1
        self._call_starts_us[send.id, attempt] = now_us
        self.counts.calls += 1
        if self._destinations.is_down(send.host, now_us):
            self.counts.wasted_calls += 1
            self._open_wasted_calls += 1
            self.counts.max_wasted_at_once = max(self.counts.max_wasted_at_once, self._open_wasted_calls)
        call_end = self._destinations.answer(send.host, now_us, send.timeout_us)
        end_us = now_us + call_end.took_us
        self._simulation.schedule(
            end_us, lambda: self._end_call(send.id, attempt, send.host, call_end.verdict)
        )

    def _cancel_call(self, action: Cancel) -> None:
        self.counts.cancels += 1
        host = self._open_messages[action.id].host
        self._end_call(action.id, action.attempt, host, Verdict.CANCELLED)

    def _end_call(self, name: str, attempt: int, host: str, verdict: Verdict) -> None:
        # A call that was cancelled before has ended already.
        if (begun_us := self._call_starts_us.pop((name, attempt), None)) is None:
            return
        now_us, served = self._simulation.now_us, verdict is Verdict.OK
        if self._destinations.is_down(host, begun_us):
            self.counts.wasted_slot_us += now_us - begun_us
            self._open_wasted_calls -= 1
        if served and (message := self._open_messages.pop(name, None)) is not None:
            self.counts.delivered += 1
            healthy = not self._destinations.is_down(host, message.at_us)
            if healthy and now_us <= message.at_us + message.cls.aim_us:
                self._delivered_in_aim.add(name)
        self._queue_event(Outcome(name, attempt, host, verdict, now_us - begun_us, served))


class MessageSource:
    """Submits messages to a relay at random times, to destinations drawn evenly from the list."""

    def __init__(
        self,
        simulation: Simulation,
        relay: SimulatedRelay,
        entries: tuple[Entry, ...],
        per_s: float,
        seed: int,
    ) -> None:
        self._simulation, self._relay, self._entries = simulation, relay, entries
        self._per_s, self._random, self._sequence = per_s, Random(seed), itertools.count()
        self._schedule_next()

    def _schedule_next(self) -> None:
        gap_us = 1 + int(self._random.expovariate(self._per_s) * SECOND_US)
        self._simulation.schedule(self._simulation.now_us + gap_us, self._submit_message)

    def _submit_message(self) -> None:
        cls = self._random.choices(MESSAGE_CLASSES, CLASS_WEIGHTS)[0]
        self._relay.accept_message(f"m{next(self._sequence)}", self._random.choice(self._entries), cls)
        self._schedule_next()


def make_entries(size: int) -> tuple[Entry, ...]:
    """A list of ``size`` destinations with one endpoint each."""
    return tuple(
        Entry(f"host-{number}", number, ZONES[number % len(ZONES)], "plain", Listing.READY)
        for number in range(size)
    )


def failed_call_end(fault: Fault, limit_us: int) -> CallEnd:
    """How a call to a destination with this fault ends."""
    if fault is Fault.CONNECT_FAILS:
        return CallEnd(Verdict.CONNECT_FAILED, min(limit_us, CONNECT_FAILURE_US))
    if fault is Fault.REFUSES:
        return CallEnd(Verdict.FULL, min(limit_us, REFUSAL_US))
    return CallEnd(Verdict.TIMEOUT, limit_us)


def served_call_end(random: Random, limit_us: int) -> CallEnd:
    """How a call to a healthy destination ends."""
    took_us = int(random.lognormvariate(math.log(MEDIAN_LATENCY_US), LATENCY_LOG_DEVIATION))
    return CallEnd(Verdict.OK, took_us) if took_us <= limit_us else CallEnd(Verdict.TIMEOUT, limit_us)
