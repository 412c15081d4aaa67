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
from fleetlab.scale.held_load import (
    DESTINATION_COUNT,
    DOWN_COUNT,
    START_US,
    host_name,
    make_entries,
    make_settings,
)
from fleetlab.scale.process import processor_seconds
from relay.driver import HeldMessage

STEP_INTERVAL_US = 20_000  # between steps while nothing is looked at
SERVED_CALL_US, REFUSED_CALL_US = 20_000, 1_000  # until a call is answered, or its connection is refused


class TimedEngine(DecisionEngine):
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


class SimulatedModule:
    """One relay's module, the messages that it holds, and endpoints that answer or refuse at once."""

    def __init__(
        self, held: dict[str, HeldMessage], hold_cap: int, seed: int, destinations: int = DESTINATION_COUNT
    ) -> None:
        self.engine, self.held = TimedEngine(make_settings(hold_cap), seed), held
        self.now_us, self.delivered = START_US, 0
        self.down = {host_name(number) for number in range(DOWN_COUNT)}
        self._pending_outcomes: list[tuple[int, int, Outcome]] = []  # heap: what calls will end in
        self._call_count = 0
        self.step([EndpointUpdate(EndpointUpdateKind.WHOLE, make_entries(destinations))])

    @property
    def next_outcome_us(self) -> int:
        """When the next call ends; now where none is out."""
        return self._pending_outcomes[0][0] if self._pending_outcomes else self.now_us

    def arrival(self, held: HeldMessage) -> Arrival:
        """Take a message on."""
        handed = held.message
        self.held[handed.id] = held
        left_us = handed.deadline_us - self.now_us
        return Arrival(handed.id, handed.dest, handed.cls, left_us, handed.tenant, handed.order)

    def take_due_events(self) -> list[Event]:
        """What calls have ended in by now."""
        events: list[Event] = []
        while self._pending_outcomes and self._pending_outcomes[0][0] <= self.now_us:
            outcome = heapq.heappop(self._pending_outcomes)[2]
            events.append(outcome)
            if outcome.complete:
                self.held.pop(outcome.id)
                self.delivered += 1
                events.append(Withdrawn(outcome.id))
        return events

    def step(self, events: Sequence[Event]) -> float:
        """One step, and the processor seconds that it took."""
        begun_s = processor_seconds()
        actions = self.engine.step(self.now_us, events)
        seconds = processor_seconds() - begun_s
        self._execute(actions)
        return seconds

    def advance(self, by_us: int, events: Sequence[Event] = ()) -> float:
        """Let time pass, then one step with what came meanwhile; its seconds."""
        self.now_us += by_us
        return self.step([*self.take_due_events(), *events, TimerDue()])

    def advance_to_status(self) -> None:
        """Let time pass until the next step is one that reports and forgets."""
        while self.now_us + STEP_INTERVAL_US < self.engine.next_status_us:
            self.advance(STEP_INTERVAL_US)

    def leave_room_for_one(self) -> None:
        """From now on the relay may hold one message more than it does: the next one is the last."""
        self.engine.settings = replace(self.engine.settings, hold_cap=self.engine.open_messages + 1)

    def _execute(self, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._start_call(action)
            elif isinstance(action, (Refuse, Fail)):
                self.held.pop(action.id)

    def _start_call(self, send: Send) -> None:
        held = self.held[send.id]
        number, held.attempts = held.attempts, held.attempts + 1
        served = send.host not in self.down
        verdict = Verdict.OK if served else Verdict.CONNECT_FAILED
        took_us = SERVED_CALL_US if served else REFUSED_CALL_US
        outcome = Outcome(send.id, number, send.host, verdict, took_us, complete=served)
        self._call_count += 1
        heapq.heappush(self._pending_outcomes, (self.now_us + took_us, self._call_count, outcome))


def count_executed_lines(work: Callable[[], Any]) -> int:
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
