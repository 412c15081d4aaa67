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

READY_SLACK_S = 1.5  # after a relay is ready again, in which no notice is overdue
SILENT_S = 6.0  # after which whatever discovery has to tell counts as told


@dataclass(frozen=True, slots=True)
class Span:
    """A fault on one of its targets, from its beginning to its end; infinite where it lasted the run."""

    kind: str
    on: str
    since: float
    until: float
    to: list[str]


@dataclass(slots=True)
class Life:
    """One life of a process."""

    start: float
    ready: float = float("inf")
    end: float = float("inf")
    asked: bool = True
    code: int = 0


@dataclass(frozen=True, slots=True)
class UnknownMessage:
    """A call or a notice with an id that no client handed in."""

    t: float
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
        self.partners: list[records.Partner] = []
        self.probes: list[records.Probed] = []
        self.unsent: list[records.Unsent] = []
        self.acts: list[records.Acted] = []
        self.views: list[records.Viewed] = []
        self.measured: dict[str, dict[str, float]] = {}  # by program; of its last life
        self.told: dict[str, list[records.Told]] = defaultdict(list)
        self.changed: list[records.Changed] = []
        self.lives: dict[str, list[Life]] = defaultdict(list)
        self.replaced: dict[str, list[float]] = defaultdict(list)  # by process: when the next one was started
        self._serving: dict[str, int] = {}  # by process: the number of the one started last
        self.phases: dict[str, float] = {}
        self.used: dict[str, records.Used] = {}
        self.lag_s = 0.0
        self.lags: list[records.Lag] = []
        self.unknown_messages: list[UnknownMessage] = []
        self._open: dict[str, list[Attempt]] = {}  # by connection
        self._ended: set[str] = set()  # connections that their relay has ended
        self._kept: dict[type, list[Any]] = {  # records that are kept as they come
            records.Acted: self.acts, records.Viewed: self.views, records.Changed: self.changed,
            records.Fault: self.faults, records.Partner: self.partners, records.Probed: self.probes,
            records.Unsent: self.unsent,
        }  # fmt: skip
        for record in self.records[1:]:
            self._add(record)

    def _add(self, record: records.AnyRecord) -> None:
        match record:
            case records.Handed():
                self.traces[record.ref] = MessageTrace(record)
            case records.Heard():
                if (trace := self.traces.get(record.ref)) is not None:
                    trace.heard = record
            case records.Call():
                self._called(record)
            case records.Reply():
                self._replied(record)
            case records.Opened():
                self._ended.discard(record.conn)
            case records.Gone():
                self._ended.add(record.conn)
                for attempt in self._open.pop(record.conn, []):
                    attempt.over = record.t
            case records.Ran():
                if (trace := self.traces.get(record.ref)) is not None:
                    trace.ran.append(record)
            case records.Noticed():
                if (trace := self.traces.get(record.ref)) is not None:
                    trace.notices.append(record)
                else:
                    self.unknown_messages.append(UnknownMessage(record.t, record.ref, record.relay))
            case records.Process():
                self._processed(record)
            case records.Lag():
                self.lag_s = max(self.lag_s, record.late_s)
                self.lags.append(record)
            case records.Told():
                self.told[record.relay].append(record)
            case records.Phase():
                self.phases[record.name] = record.t
            case records.Used():
                self.used[record.name] = record
            case records.Measured():
                self.measured[record.name] = record.figures
            case _ if (kept := self._kept.get(type(record))) is not None:
                kept.append(record)
            case _:
                raise records.HistoryError("a second head within a history")

    def _called(self, call: records.Call) -> None:
        """A call; one that was under way when its relay ended the connection is out no longer."""
        for ref in call.refs:
            attempt = Attempt(ref, call.host, call.relay, call.conn, call.begun, call.t, call.limit_s)
            self.attempts.append(attempt)
            if call.conn in self._ended:
                attempt.over = call.t
            else:
                self._open.setdefault(call.conn, []).append(attempt)
            if (trace := self.traces.get(ref)) is not None:
                trace.attempts.append(attempt)
            else:
                self.unknown_messages.append(UnknownMessage(call.t, ref, call.relay))

    def _replied(self, reply: records.Reply) -> None:
        self.replies.append(reply)
        ends = dict(zip(reply.refs, reply.ends, strict=True))
        for attempt in self._open.pop(reply.conn, []):
            attempt.over, attempt.end = reply.t, ends.get(attempt.ref, "")

    def _processed(self, record: records.Process) -> None:
        """A process that is started beside another replaces it: to everybody outside one life goes on."""
        lives = self.lives[record.name]
        if record.event == "start":
            self._serving[record.name] = record.life
            if lives and lives[-1].end == float("inf"):
                self.replaced[record.name].append(record.t)
            else:
                lives.append(Life(record.t))
        elif lives and record.event == "ready":
            lives[-1].ready = min(lives[-1].ready, record.t)
        elif lives and record.life == self._serving[record.name]:
            lives[-1].end, lives[-1].asked, lives[-1].code = record.t, record.asked, record.code

    @property
    def over(self) -> float:
        """When the run ended; an earlier end of the file counts where it broke off."""
        return self.phases.get("over", self.records[-1].t)

    @cached_property
    def spans(self) -> list[Span]:
        """Every fault on each of its targets: those that ended in that order, then those that lasted."""
        begun: dict[tuple[int, str], records.Fault] = {}
        spans = []
        for fault in self.faults:
            for name in fault.on:
                if fault.phase == "begin":
                    begun[fault.number, name] = fault
                elif (start := begun.pop((fault.number, name), None)) is not None:
                    spans.append(Span(fault.kind, name, start.t, fault.t, fault.to))
        lasted = [Span(some.kind, name, some.t, float("inf"), some.to) for (_, name), some in begun.items()]
        return spans + lasted

    def lag_within(self, since: float, until: float) -> float:
        """How late the lab itself came at most within a span."""
        return max((lag.late_s for lag in self.lags if since <= lag.t <= until), default=0.0)

    def in_aim(self, trace: MessageTrace) -> bool:
        """Whether a message was delivered within its class's aim."""
        took_s = trace.took_s
        return took_s is not None and took_s <= self.classes[trace.handed.cls].aim_s

    def restart_ready(self, relay: str, t: float) -> float | None:
        """Where a relay was down or coming up at a time: when it was ready again; infinite if never.

        Of several restarts in a row the last one counts, whose end came before the first was over.
        """
        lives, found = self.lives.get(relay, []), None
        for at, life in enumerate(lives):
            following = lives[at + 1].ready if at + 1 < len(lives) else float("inf")
            if life.end <= t and (at + 1 == len(lives) or t < following + READY_SLACK_S):
                found = following
        return found

    def serving_updates(self, relay: str, host: str) -> list[tuple[float, bool]]:
        """When a relay learnt whether it may use an endpoint, in order of time: told or counted as told.

        What counts as told after silence says nothing to a relay that has heard of a later version by then.
        """
        found = [
            (told.t, told.seq, told.hosts.get(host, "DELETED") == "SERVING")
            for told in self.told[relay]
            if host in told.hosts or told.whole
        ]
        for change in self.changed:
            if host in change.hosts:
                found.append((change.t + SILENT_S, change.seq, change.hosts[host] == "SERVING"))
        heard, latest = list[tuple[float, bool]](), -1
        for t, seq, serving in sorted(found):
            if seq >= latest:
                latest = seq
                heard.append((t, serving))
        return heard
