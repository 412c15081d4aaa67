"""A recorded history put in order: messages, process lifetimes and faults, for checkers and reports."""

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

RESTART_SLACK_S = 1.5  # after a relay is ready again, in which no notice is overdue
SILENCE_COUNTS_AS_TOLD_S = 6.0  # after which whatever discovery has to tell counts as told


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """A fault on one of its targets, from its beginning to its end; infinite where it lasted the run."""

    kind: str
    target: str
    since_s: float
    until_s: float
    other_ends: list[str]


@dataclass(slots=True)
class Life:
    """One life of a process."""

    start_s: float
    ready_s: float = float("inf")
    end_s: float = float("inf")
    end_requested: bool = True
    exit_code: int = 0


@dataclass(frozen=True, slots=True)
class UnknownMessage:
    """A call or a notice with an id that no client handed in."""

    time_s: float
    ref: str
    relay: str


class Run:
    """A history put in order, for the checkers and the report."""

    def __init__(self, history: Iterable[records.AnyRecord]) -> None:
        """Read a history; ``records.HistoryError`` where it does not begin as one."""
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
        self.figures_by_process: dict[str, dict[str, float]] = {}  # by program; of its last life
        self.list_updates: dict[str, list[records.Told]] = defaultdict(list)
        self.list_changes: list[records.Changed] = []
        self.lives: dict[str, list[Life]] = defaultdict(list)
        self.replacement_times: dict[str, list[float]] = defaultdict(
            list
        )  # by process: when the next one was started
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
            case _ if (kept := self._list_by_record_type.get(type(record))) is not None:
                kept.append(record)
            case _:
                raise records.HistoryError("a second head within a history")

    def _add_call(self, call: records.Call) -> None:
        """A call; one that was under way when its relay ended the connection is out no longer."""
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
        """A process that is started beside another replaces it: to everybody outside one life goes on."""
        lives = self.lives[record.name]
        if record.event == "start":
            self._last_started_life[record.name] = record.life
            if lives and lives[-1].end_s == float("inf"):
                self.replacement_times[record.name].append(record.t)
            else:
                lives.append(Life(record.t))
        elif lives and record.event == "ready":
            lives[-1].ready_s = min(lives[-1].ready_s, record.t)
        elif lives and record.life == self._last_started_life[record.name]:
            lives[-1].end_s, lives[-1].end_requested, lives[-1].exit_code = (
                record.t,
                record.asked,
                record.code,
            )

    @property
    def end_s(self) -> float:
        """When the run ended; an earlier end of the file counts where it broke off."""
        return self.phase_times.get("over", self.records[-1].t)

    @cached_property
    def fault_spans(self) -> list[FaultSpan]:
        """Every fault on each of its targets: those that ended in that order, then those that lasted."""
        begun: dict[tuple[int, str], records.Fault] = {}
        spans = []
        for fault in self.faults:
            for name in fault.on:
                if fault.phase == "begin":
                    begun[fault.number, name] = fault
                elif (start := begun.pop((fault.number, name), None)) is not None:
                    spans.append(FaultSpan(fault.kind, name, start.t, fault.t, fault.to))
        lasted = [
            FaultSpan(some.kind, name, some.t, float("inf"), some.to) for (_, name), some in begun.items()
        ]
        return spans + lasted

    def max_lag_within(self, since: float, until: float) -> float:
        """How late the lab itself came at most within a span."""
        return max((lag.late_s for lag in self.lags if since <= lag.t <= until), default=0.0)

    def is_within_aim(self, trace: MessageTrace) -> bool:
        """Whether a message was delivered within its class's aim."""
        took_s = trace.latency_s
        return took_s is not None and took_s <= self.classes[trace.submission.cls].aim_s

    def restart_ready_s(self, relay: str, t: float) -> float | None:
        """Where a relay was down or coming up at a time: when it was ready again; infinite if never.

        Of several restarts in a row the last one counts, whose end came before the first was over.
        """
        lives, found = self.lives.get(relay, []), None
        for at, life in enumerate(lives):
            following = lives[at + 1].ready_s if at + 1 < len(lives) else float("inf")
            if life.end_s <= t and (at + 1 == len(lives) or t < following + RESTART_SLACK_S):
                found = following
        return found

    def serving_updates(self, relay: str, host: str) -> list[tuple[float, bool]]:
        """When a relay learnt whether it may use an endpoint, in order of time: told or counted as told.

        What counts as told after silence says nothing to a relay that has heard of a later version by then.
        """
        found = [
            (told.t, told.seq, told.hosts.get(host, "DELETED") == "SERVING")
            for told in self.list_updates[relay]
            if host in told.hosts or told.whole
        ]
        for change in self.list_changes:
            if host in change.hosts:
                found.append(
                    (change.t + SILENCE_COUNTS_AS_TOLD_S, change.seq, change.hosts[host] == "SERVING")
                )
        heard, latest = list[tuple[float, bool]](), -1
        for t, seq, serving in sorted(found):
            if seq >= latest:
                latest = seq
                heard.append((t, serving))
        return heard
