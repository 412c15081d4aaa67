"""An index of a recorded history: messages, lives of processes and faults, for checkers and reports.

All times are in seconds of the run; those before the load are negative.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property
from typing import Any

import msgspec

from fleetlab.checks.message import Attempt, MessageTrace
from fleetlab.scenario import Scenario
from standins import records

# No notice of a relay is overdue until this long (s) after it is ready again.
RESTART_SLACK_S = 1.5
# A change of the endpoint list counts as told to every relay this long (s) after it was made.
SILENCE_COUNTS_AS_TOLD_S = 6.0


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """A fault on one of its targets; ``until_s`` is infinite if it lasted until the end of the run."""

    kind: str
    target: str
    since_s: float
    until_s: float
    other_ends: list[str]


@dataclass(slots=True)
class Life:
    """One life of a process; times that never came are infinite."""

    start_s: float
    ready_s: float = float("inf")
    terminated_s: float = float("inf")  # when it was sent SIGTERM
    end_s: float = float("inf")
    end_requested: bool = True
    exit_code: int = 0

    @property
    def restart_begin_s(self) -> float:
        """When the restart that ends this life began: at SIGTERM, or at its end if there was none."""
        return min(self.terminated_s, self.end_s)


@dataclass(frozen=True, slots=True)
class UnknownMessage:
    """A call or a notice with an id that no client submitted."""

    time_s: float
    ref: str
    relay: str


class Run:
    """An index of a history for the checkers and the report."""

    def __init__(self, history: Iterable[records.AnyRecord]) -> None:
        """Index a history; raise ``records.HistoryError`` if it does not begin with its head record."""
        self.records = list(history)
        if not self.records or not isinstance(self.records[0], records.Head):
            raise records.HistoryError("a history begins with its head")
        self.head = self.records[0]
        self.scenario = msgspec.convert(self.head.plan, Scenario)
        self.classes = {cls.name: cls for cls in self.scenario.classes}
        self.traces: dict[str, MessageTrace] = {}
        self.attempts: list[Attempt] = []
        self.replies: list[records.Reply] = []
        self.faults: list[records.Fault] = []
        self.partner_states: list[records.Partner] = []
        self.probes: list[records.Probed] = []
        self.unsent: list[records.Unsent] = []
        self.acts: list[records.Acted] = []
        self.views: list[records.Viewed] = []
        self.figures_by_process: dict[str, dict[str, float]] = {}  # the last ones of each process
        self.list_updates: dict[str, list[records.Told]] = defaultdict(list)
        self.list_changes: list[records.Changed] = []
        self.lives: dict[str, list[Life]] = defaultdict(list)
        self.process_events: dict[str, list[records.Process]] = defaultdict(list)
        # by process: when a replacement was started
        self.replacement_times: dict[str, list[float]] = defaultdict(list)
        self._last_started_life: dict[str, int] = {}  # by process: the number of the one started last
        self.phase_times: dict[str, float] = {}
        self.usage_by_process: dict[str, records.Used] = {}
        self.max_lag_s = 0.0
        self.lags: list[records.Lag] = []
        self.unknown_messages: list[UnknownMessage] = []
        self._open_attempts: dict[str, list[Attempt]] = {}  # by connection
        self._closed_connections: set[str] = set()  # connections that their relay has ended
        self._list_by_record_type: dict[type, list[Any]] = {  # records that are kept as they come
            records.Acted: self.acts, records.Viewed: self.views, records.Changed: self.list_changes,
            records.Fault: self.faults, records.Partner: self.partner_states, records.Probed: self.probes,
            records.Unsent: self.unsent,
        }  # fmt: skip
        for record in self.records[1:]:
            self._add_record(record)

    def _add_record(self, record: records.AnyRecord) -> None:
        match record:
            case records.Handed():
                self.traces[record.ref] = MessageTrace(record)
            case records.Heard():
                if (trace := self.traces.get(record.ref)) is not None:
                    trace.client_answer = record
            case records.Call():
                self._add_call(record)
            case records.Reply():
                self._add_reply(record)
            case records.Opened():
                self._closed_connections.discard(record.conn)
            case records.Gone():
                self._closed_connections.add(record.conn)
                for attempt in self._open_attempts.pop(record.conn, []):
                    attempt.finished_s = record.t
            case records.Ran():
                if (trace := self.traces.get(record.ref)) is not None:
                    trace.effects.append(record)
            case records.Noticed():
                if (trace := self.traces.get(record.ref)) is not None:
                    trace.notices.append(record)
                else:
                    self.unknown_messages.append(UnknownMessage(record.t, record.ref, record.relay))
            case records.Process():
                self._add_process_event(record)
            case records.Lag():
                self.max_lag_s = max(self.max_lag_s, record.late_s)
                self.lags.append(record)
            case records.Told():
                self.list_updates[record.relay].append(record)
            case records.Phase():
                self.phase_times[record.name] = record.t
            case records.Used():
                self.usage_by_process[record.name] = record
            case records.Measured():
                self.figures_by_process[record.name] = record.figures
            case _ if (records_of_type := self._list_by_record_type.get(type(record))) is not None:
                records_of_type.append(record)
            case _:
                raise records.HistoryError("a second head within a history")

    def _add_call(self, call: records.Call) -> None:
        """Add an attempt for each message of a call.

        One that arrives after its relay has closed the connection ends when it arrives.
        """
        for ref in call.refs:
            attempt = Attempt(ref, call.host, call.relay, call.conn, call.begun, call.t, call.limit_s)
            self.attempts.append(attempt)
            if call.conn in self._closed_connections:
                attempt.finished_s = call.t
            else:
                self._open_attempts.setdefault(call.conn, []).append(attempt)
            if (trace := self.traces.get(ref)) is not None:
                trace.attempts.append(attempt)
            else:
                self.unknown_messages.append(UnknownMessage(call.t, ref, call.relay))

    def _add_reply(self, reply: records.Reply) -> None:
        self.replies.append(reply)
        ends = dict(zip(reply.refs, reply.ends, strict=True))
        for attempt in self._open_attempts.pop(reply.conn, []):
            attempt.finished_s, attempt.outcome = reply.t, ends.get(attempt.ref, "")

    def _add_process_event(self, record: records.Process) -> None:
        """Add a start, an end or the readiness of a process.

        A process that is started while the one before it still runs replaces that one. Seen from outside this
        is the same life.
        """
        lives = self.lives[record.name]
        self.process_events[record.name].append(record)
        if record.event == "start":
            self._last_started_life[record.name] = record.life
            if lives and lives[-1].end_s == float("inf"):
                self.replacement_times[record.name].append(record.t)
            else:
                lives.append(Life(record.t))
        elif lives and record.event == "ready":
            lives[-1].ready_s = min(lives[-1].ready_s, record.t)
        elif lives and record.event == "terminate":
            lives[-1].terminated_s = min(lives[-1].terminated_s, record.t)
        elif lives and record.life == self._last_started_life[record.name]:
            lives[-1].end_s, lives[-1].end_requested, lives[-1].exit_code = (
                record.t,
                record.asked,
                record.code,
            )

    @property
    def end_s(self) -> float:
        """When the run ended; the time of the last record if the run broke off."""
        return self.phase_times.get("over", self.records[-1].t)

    @cached_property
    def fault_spans(self) -> list[FaultSpan]:
        """Every fault on each of its targets.

        First come those that ended, in the order of their ends, then those that lasted.
        """
        begun: dict[tuple[int, str], records.Fault] = {}
        spans = []
        for fault in self.faults:
            for name in fault.on:
                if fault.phase == "begin":
                    begun[fault.number, name] = fault
                elif (start := begun.pop((fault.number, name), None)) is not None:
                    spans.append(FaultSpan(fault.kind, name, start.t, fault.t, fault.to))
        not_ended = [
            FaultSpan(start.kind, name, start.t, float("inf"), start.to) for (_, name), start in begun.items()
        ]
        return spans + not_ended

    def max_lag_within(self, since_s: float, until_s: float) -> float:
        """Return the maximal delay of the lab's own event loop in seconds within a time span."""
        return max((lag.late_s for lag in self.lags if since_s <= lag.t <= until_s), default=0.0)

    def is_within_aim(self, trace: MessageTrace) -> bool:
        """Return whether a message was delivered within the aim of its class."""
        latency_s = trace.latency_s
        return latency_s is not None and latency_s <= self.classes[trace.submission.cls].aim_s

    def restart_ready_s(self, relay: str, t: float) -> float | None:
        """Return when a relay that was ending, down or starting at time ``t`` was ready again.

        A restart begins at SIGTERM, or at the end of the process if there was none. Return infinity if the
        relay never was ready again, and None if it was not restarting at ``t``. Of several restarts that
        follow each other without a gap the last one counts.
        """
        lives, ready_s = self.lives.get(relay, []), None
        for at, life in enumerate(lives):
            next_ready_s = lives[at + 1].ready_s if at + 1 < len(lives) else float("inf")
            if life.restart_begin_s <= t and (at + 1 == len(lives) or t < next_ready_s + RESTART_SLACK_S):
                ready_s = next_ready_s
        return ready_s

    def serving_updates(self, relay: str, host: str) -> list[tuple[float, bool]]:
        """Return, in order of time, when a relay learned whether an endpoint serves, and whether it does.

        The relay learns it from discovery, or counts as told some time after the change. A change that counts
        as told is ignored if the relay has been told of a later version of the list by then.
        """
        updates = [
            (update.t, update.seq, update.hosts.get(host, "DELETED") == "SERVING")
            for update in self.list_updates[relay]
            if host in update.hosts or update.whole
        ]
        for change in self.list_changes:
            if host in change.hosts:
                updates.append(
                    (change.t + SILENCE_COUNTS_AS_TOLD_S, change.seq, change.hosts[host] == "SERVING")
                )
        received, latest_seq = list[tuple[float, bool]](), -1
        for t, seq, serving in sorted(updates):
            if seq >= latest_seq:
                latest_seq = seq
                received.append((t, serving))
        return received
