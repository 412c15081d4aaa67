"""The real decision module in simulated time, without sockets: calls end by a rule, and steps are timed."""

from __future__ import annotations

import heapq
import sys
from collections.abc import Callable, Sequence
from dataclasses import replace
from types import FrameType
from typing import Any

from decisions.engine import DecisionEngine
from decisions.interface import (
    Action,
    Arrival,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Fail,
    Outcome,
    Refuse,
    Send,
    TimerDue,
    Verdict,
    Withdrawn,
)
from fleetlab.scale.held_load import DESTINATIONS, DOWN, START_US, entries, host_of, settings
from fleetlab.scale.process import processor_seconds
from relay.driver import HeldMessage

STEP_US = 20_000  # between steps while nothing is looked at
SERVED_US, REFUSED_US = 20_000, 1_000  # until a call is answered, or its connection is refused


class TimedRelay(DecisionEngine):
    """The module as it is, with the processor seconds of its work for every held message."""

    report_s = forget_s = 0.0  # of the latest one

    def _log_held(self) -> None:
        begun_s = processor_seconds()
        super()._log_held()
        self.report_s = processor_seconds() - begun_s

    def _forget_stale(self) -> None:
        begun_s = processor_seconds()
        super()._forget_stale()
        self.forget_s = processor_seconds() - begun_s


class HollowModule:
    """One relay's module, the messages that it holds, and endpoints that answer or refuse at once."""

    def __init__(
        self, held: dict[str, HeldMessage], hold_cap: int, seed: int, destinations: int = DESTINATIONS
    ) -> None:
        self.relay, self.held = TimedRelay(settings(hold_cap), seed), held
        self.now_us, self.delivered = START_US, 0
        self.down = {host_of(number) for number in range(DOWN)}
        self._coming: list[tuple[int, int, Outcome]] = []  # heap: what calls will end in
        self._calls = 0
        self.step([EndpointUpdate(EndpointUpdateKind.WHOLE, entries(destinations))])

    @property
    def next_us(self) -> int:
        """When the next call ends; now where none is out."""
        return self._coming[0][0] if self._coming else self.now_us

    def arrival(self, held: HeldMessage) -> Arrival:
        """Take a message on."""
        handed = held.message
        self.held[handed.id] = held
        left_us = handed.deadline_us - self.now_us
        return Arrival(handed.id, handed.dest, handed.cls, left_us, handed.tenant, handed.order)

    def due(self) -> list[Event]:
        """What calls have ended in by now."""
        events: list[Event] = []
        while self._coming and self._coming[0][0] <= self.now_us:
            outcome = heapq.heappop(self._coming)[2]
            events.append(outcome)
            if outcome.complete:
                self.held.pop(outcome.id)
                self.delivered += 1
                events.append(Withdrawn(outcome.id))
        return events

    def step(self, events: Sequence[Event]) -> float:
        """One step, and the processor seconds that it took."""
        begun_s = processor_seconds()
        actions = self.relay.step(self.now_us, events)
        seconds = processor_seconds() - begun_s
        self._carry_out(actions)
        return seconds

    def advance(self, by_us: int, events: Sequence[Event] = ()) -> float:
        """Let time pass, then one step with what came meanwhile; its seconds."""
        self.now_us += by_us
        return self.step([*self.due(), *events, TimerDue()])

    def wait_for_status(self) -> None:
        """Let time pass until the next step is one that reports and forgets."""
        while self.now_us + STEP_US < self.relay.next_status_us:
            self.advance(STEP_US)

    def fill_up(self) -> None:
        """From now on the relay may hold one message more than it does: the next one is the last."""
        self.relay.settings = replace(self.relay.settings, hold_cap=self.relay.open_messages + 1)

    def _carry_out(self, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._call(action)
            elif isinstance(action, (Refuse, Fail)):
                self.held.pop(action.id)

    def _call(self, send: Send) -> None:
        held = self.held[send.id]
        number, held.attempts = held.attempts, held.attempts + 1
        served = send.host not in self.down
        verdict = Verdict.OK if served else Verdict.CONNECT_FAILED
        took_us = SERVED_US if served else REFUSED_US
        outcome = Outcome(send.id, number, send.host, verdict, took_us, complete=served)
        self._calls += 1
        heapq.heappush(self._coming, (self.now_us + took_us, self._calls, outcome))


def lines_run(work: Callable[[], Any]) -> int:
    """Lines of Python that the work runs, each turn of a loop anew: a measure of work that is no time."""
    count = 0

    def trace(_frame: FrameType, event: str, _argument: Any) -> Any:
        nonlocal count
        count += event == "line"
        return trace

    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(None)
    return count
