"""The real decision module in simulated time, without sockets: simulated calls, and timed steps."""

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

STEP_INTERVAL_US = 20_000  # between steps, except where single events are timed
SERVED_CALL_US = 20_000  # duration of a call that is answered
REFUSED_CALL_US = 1_000  # duration of a call whose connection is refused


class TimedEngine(DecisionEngine):
    """The unchanged engine, with the processor time of its two periodic passes over all held messages."""

    report_s = forget_s = 0.0  # of the latest pass of each kind

    def _log_held(self) -> None:
        begun_s = processor_seconds()
        super()._log_held()
        self.report_s = processor_seconds() - begun_s

    def _forget_stale(self) -> None:
        begun_s = processor_seconds()
        super()._forget_stale()
        self.forget_s = processor_seconds() - begun_s


class SimulatedModule:
    """The decision engine of one relay, the messages it holds, and endpoints that answer or refuse."""

    def __init__(
        self, held: dict[str, HeldMessage], hold_cap: int, seed: int, destinations: int = DESTINATION_COUNT
    ) -> None:
        self.engine, self.held = TimedEngine(make_settings(hold_cap), seed), held
        self.now_us, self.delivered = START_US, 0
        self.down = {host_name(number) for number in range(DOWN_COUNT)}
        self._pending_outcomes: list[tuple[int, int, Outcome]] = []  # heap: time, call, outcome
        self._call_count = 0
        self.step([EndpointUpdate(EndpointUpdateKind.WHOLE, make_entries(destinations))])

    @property
    def next_outcome_us(self) -> int:
        """When the next open call ends; the present time if no call is open."""
        return self._pending_outcomes[0][0] if self._pending_outcomes else self.now_us

    def arrival(self, held: HeldMessage) -> Arrival:
        """Hold a message; return the event that reports its arrival to the engine."""
        message = held.message
        self.held[message.id] = held
        left_us = message.deadline_us - self.now_us
        return Arrival(message.id, message.dest, message.cls, left_us, message.tenant, message.order)

    def take_due_events(self) -> list[Event]:
        """The outcomes of the calls that have ended by now; a delivered message is no longer held."""
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
        """Execute one step of the engine; return the processor seconds it took."""
        begun_s = processor_seconds()
        actions = self.engine.step(self.now_us, events)
        seconds = processor_seconds() - begun_s
        self._execute(actions)
        return seconds

    def advance(self, by_us: int, events: Sequence[Event] = ()) -> float:
        """Let time pass, then execute a step with the due outcomes and ``events``; its processor seconds."""
        self.now_us += by_us
        return self.step([*self.take_due_events(), *events, TimerDue()])

    def advance_to_status(self) -> None:
        """Let time pass until the next step is one with the periodic report and clean-up."""
        while self.now_us + STEP_INTERVAL_US < self.engine.next_status_us:
            self.advance(STEP_INTERVAL_US)

    def leave_room_for_one(self) -> None:
        """Set the hold cap so that the relay can accept exactly one more message."""
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
    """Lines of Python that ``work`` executes, each as often as it runs.

    This measures work without a clock, so it does not depend on the machine.
    """
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
