"""An independent check of the delivery rules on the events and actions of a decision engine.

It keeps its own records and reads no state of the engine. ``Checker.step`` passes a batch to the engine and
raises ``AssertionError`` with the rule's name at the first action that breaks a rule.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from decisions import DecisionEngine
from decisions import interface as api


@dataclass
class Attempt:
    """One send as recorded by the checker."""

    host: str
    sent_us: int
    expires_us: int
    open: bool = True
    may_run: bool = True


@dataclass
class MessageRecord:
    """One message as recorded by the checker."""

    event: api.Arrival
    cls: api.MessageClass
    deadline_us: int
    number: int
    attempts: list[Attempt] = field(default_factory=list)
    over: bool = False
    answers: int = 0

    def uncertain_attempts(self) -> list[Attempt]:
        """Attempts that are out or may have been executed."""
        return [a for a in self.attempts if a.open or a.may_run]


class Checker:
    """Runs a decision engine and checks each of its actions."""

    def __init__(self, settings: api.Settings, seed: int = 1) -> None:
        """Start a decision engine with these settings."""
        self.settings = settings
        self.relay = DecisionEngine(settings, seed)
        self.now_us = 0
        self.classes = {cls.name: cls for cls in settings.classes}
        self.limit_per_endpoint = {kind.name: kind.limit_per_endpoint for kind in settings.kinds}
        self.batch_size = {kind.name: kind.batch_size for kind in settings.kinds}
        self.cases: dict[str, MessageRecord] = {}
        self.entries: dict[str, api.Entry] = {}
        self.listed: dict[str, tuple[api.Listing, int]] = {}  # by host: how, and since when
        self.wait_until_us: dict[str, int] = {}  # by host or destination that was told to wait
        self.key_cooldown_until_us: dict[str, int] = {}
        self.calls: list[tuple[str, list[Attempt]]] = []
        self.trace: list[api.Action] = []

    def wait_scope(self, host: str) -> str:
        """The name of what is told to wait together with this host: its destination, or itself."""
        entry = self.entries[host]
        return host if self.limit_per_endpoint.get(entry.kind, False) else f"dest {entry.dest}"

    def step(self, now_us: int, events: Sequence[api.Event] = ()) -> list[api.Action]:
        """Pass one batch to the engine and check its actions."""
        assert now_us >= self.now_us, "the clock only advances"
        self.now_us = now_us
        for event in events:
            self._record_event(event)
        actions = self.relay.step(now_us, events)
        opened: dict[str, list[Attempt]] = {}  # calls of this step by host
        for action in actions:
            self._check_action(action, opened)
        self.calls = [(h, parts) for h, parts in self.calls if any(a.open for a in parts)]
        assert len(self.calls) <= self.settings.slots, "slots: more calls out than slots"
        for case in self.cases.values():
            slack = self.settings.answer_slack_us + self.settings.round_us
            assert case.over or now_us <= case.deadline_us + slack, f"lost message: {case.event.id}"
        self.trace += actions
        return actions

    def _record_event(self, event: api.Event) -> None:
        if isinstance(event, api.EndpointUpdate) and event.kind is not api.EndpointUpdateKind.FAILED:
            named = {entry.host for entry in event.entries}
            if event.kind is not api.EndpointUpdateKind.CHANGES:
                for host in self.listed:
                    if host not in named and self.listed[host][0] is not api.Listing.GONE:
                        self.listed[host] = (api.Listing.GONE, self.now_us)
            for entry in event.entries:
                self.entries[entry.host] = entry
                if self.listed.get(entry.host, (None, 0))[0] is not entry.listing:
                    self.listed[entry.host] = (entry.listing, self.now_us)
        elif isinstance(event, api.Arrival):
            self.cases[event.id] = MessageRecord(
                event, self.classes[event.cls], self.now_us + event.time_left_us, len(self.cases)
            )
        elif isinstance(event, api.Withdrawn) and event.id in self.cases:
            self.cases[event.id].over = True
        elif isinstance(event, api.Outcome):
            self._record_outcome(event)

    def _record_outcome(self, event: api.Outcome) -> None:
        case = self.cases[event.id]
        attempt = case.attempts[event.attempt]
        attempt.open, attempt.may_run = False, not event.verdict.never_ran
        if event.complete:
            case.over = True
        if event.wait_us:
            scope = self.wait_scope(event.host)
            self.wait_until_us[scope] = max(self.wait_until_us.get(scope, 0), self.now_us + event.wait_us)
        unsettled = (api.Verdict.TIMEOUT, api.Verdict.RESET, api.Verdict.CANCELLED)
        if case.cls.ordered_by_key and case.event.key and event.verdict in unsettled:
            self.key_cooldown_until_us[case.event.key] = self.now_us + self.settings.order_pause_us

    def _check_action(self, action: api.Action, opened: dict[str, list[Attempt]]) -> None:
        if isinstance(action, api.Send):
            self._check_send(self.cases[action.id], action, opened)
        elif isinstance(action, api.Refuse | api.Fail):
            case = self.cases[action.id]
            assert not case.over, f"answered twice: {action.id}"
            case.over, case.answers = True, case.answers + 1
            if isinstance(action, api.Refuse) and case.uncertain_attempts():
                keyed_all = case.cls.effect is api.Effect.KEYED and not case.cls.key_scope_is_zone
                assert case.cls.effect is api.Effect.SAFE or keyed_all, "refused what may have run"
        elif isinstance(action, api.Cancel):
            assert self.settings.may_cancel, "cancel is not allowed here"
            assert action.attempt < len(self.cases[action.id].attempts), "cancelled an attempt never made"
        elif isinstance(action, api.Probe):
            assert self.settings.may_probe, "probes are not allowed here"
        elif isinstance(action, api.Subscribe):
            assert self.settings.must_ask, "asked for a list that is pushed"
        elif isinstance(action, api.Wake):
            assert action.delay_us >= self.settings.round_us, "wake-up asked for within the round"

    def _check_send(self, case: MessageRecord, action: api.Send, opened: dict[str, list[Attempt]]) -> None:
        cls, entry = case.cls, self.entries[action.host]
        assert not case.over, f"sent after its end: {action.id}"
        assert entry.dest == case.event.dest, "sent to another destination"
        assert len(case.attempts) < self.settings.max_attempts, "too many attempts"
        assert 0 < action.timeout_us <= case.deadline_us - self.now_us, "time-out past the message's time"
        if not self.settings.may_duplicate:
            assert not any(a.open for a in case.attempts), "two attempts side by side"
        uncertain = case.uncertain_attempts()
        if uncertain and cls.effect is api.Effect.UNSAFE:
            raise AssertionError("double effect: an unsafe message sent again")
        if uncertain and cls.effect is api.Effect.KEYED:
            assert self.now_us - min(a.sent_us for a in uncertain) <= cls.key_window_us, (
                "double effect: too late"
            )
            if cls.key_scope_is_zone:
                zones = {self.entries[a.host].zone for a in uncertain}
                assert zones == {entry.zone}, "double effect: outside the key's zone"
        listing, since_us = self.listed[action.host]
        if listing is not api.Listing.READY:
            assert self.now_us <= since_us + self.settings.drain_grace_us, "drain: sent past the grace"
        assert self.now_us >= self.wait_until_us.get(self.wait_scope(action.host), 0), (
            "wait: sent before its end"
        )
        self._check_key_order(case)
        attempt = Attempt(action.host, self.now_us, self.now_us + action.timeout_us)
        case.attempts.append(attempt)
        parts = opened.get(action.host)
        if parts is None or len(parts) >= self.batch_size.get(entry.kind, 1):
            parts = opened[action.host] = []
            self.calls.append((action.host, parts))
        parts.append(attempt)

    def _check_key_order(self, case: MessageRecord) -> None:
        key = case.event.key
        if not (case.cls.ordered_by_key and key):
            return
        for other in self.cases.values():
            if other.number < case.number and other.cls.ordered_by_key and other.event.key == key:
                assert other.over, "order: an earlier message is unfinished"
                assert not any(a.open for a in other.attempts), "order: an earlier attempt is out"
        if not case.attempts:
            assert self.now_us >= self.key_cooldown_until_us.get(key, 0), (
                "order: the key is still in its cooldown"
            )
