"""Checkers: each reads a history alone and says what breaks one rule, so that an old run can be judged again.

The rules are those of the protocol's page, with its slack on sockets. A checker errs on the side of the
relay only where the lab itself cannot know, and says so in its docstring.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import cached_property
from itertools import pairwise
from statistics import median
from typing import Any

import msgspec

from fleetlab.scenario import Scenario
from standins import records
from standins.partner import Spec

SLACK_S = 0.3  # after a message's time, in which an end still counts
TOLD_S = 0.05  # by which every time limit is longer on sockets
WAIT_SLACK_S = 0.1  # after a wait is written, in which calls are let through
READY_SLACK_S = 1.5  # after a relay is ready again, in which no notice is overdue
READY_S, LATE_STARTS = 10.0, 0.1  # for a restarted relay to be ready; share of them that may take longer
SETTLED_S, DOUBT_S = 12.0, 15.0  # after a fault, until members' views agree; in which it may still show
EARLY = 0.9  # of a message's time: one given up before has been given up early
SILENT_S = 6.0  # after which whatever discovery has to tell counts as told
INVALID_LAG_S = 0.25  # a lab that came later than this may have made what it reports
UNDER_WAY_S = 0.25  # that an act may be on its way behind a check which a fault came after
EFFECT_SAFE, EFFECT_KEYED, EFFECT_UNSAFE = "safe", "keyed", "unsafe"


@dataclass(frozen=True, slots=True)
class Finding:
    """One break of a rule."""

    t: float
    text: str


class Check(msgspec.Struct, frozen=True):
    """What a checker found: ``count`` breaks, the ``first`` in words."""

    ok: bool
    count: int
    first: str = ""


@dataclass(slots=True)
class Attempt:
    """One message in one call, as its endpoint saw it."""

    ref: str
    host: str
    relay: str
    conn: str
    begun: float
    came: float
    limit_s: float = 0.0  # that its relay says it waits
    over: float = float("inf")  # its answer was written, or its connection ended
    end: str = ""  # delivered, failed, refused; empty: no answer

    @property
    def may_have_run(self) -> bool:
        """Whether nothing proves that it never ran."""
        return self.end != "refused"


@dataclass(slots=True)
class Story:
    """One message under one id, from its client to its end."""

    handed: records.Handed
    heard: records.Heard | None = None
    attempts: list[Attempt] = field(default_factory=list)
    notices: list[records.Noticed] = field(default_factory=list)
    ran: list[records.Ran] = field(default_factory=list)

    @property
    def taken(self) -> bool:
        """Whether its client heard that it is taken on."""
        return self.heard is not None and self.heard.answer == "ok"

    @property
    def deadline(self) -> float:
        """When its time is up."""
        return self.handed.t + self.handed.left_s

    def at(self, share: float) -> float:
        """When so large a share of its time is over."""
        return self.handed.t + share * self.handed.left_s

    @property
    def delivered(self) -> float | None:
        """When it was first answered as delivered."""
        times = [attempt.over for attempt in self.attempts if attempt.end == "delivered"]
        return min(times, default=None)

    @property
    def took_s(self) -> float | None:
        """From when the message first came up to its delivery; None without one, or if it was not taken."""
        delivered = self.delivered
        return delivered - self.handed.first if self.taken and delivered is not None else None

    @property
    def ended(self) -> float | None:
        """When its first end came, delivery or notice; None: never."""
        times = [notice.t for notice in self.notices]
        delivered = self.delivered
        return min(times + ([delivered] if delivered is not None else []), default=None)


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
        self.stories: dict[str, Story] = {}
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
        self.phases: dict[str, float] = {}
        self.used: dict[str, records.Used] = {}
        self.lag_s = 0.0
        self.strangers: list[tuple[float, str, str]] = []  # calls with ids that no client handed in
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
                self.stories[record.ref] = Story(record)
            case records.Heard():
                if (story := self.stories.get(record.ref)) is not None:
                    story.heard = record
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
                if (story := self.stories.get(record.ref)) is not None:
                    story.ran.append(record)
            case records.Noticed():
                if (story := self.stories.get(record.ref)) is not None:
                    story.notices.append(record)
                else:
                    self.strangers.append((record.t, record.ref, record.relay))
            case records.Process():
                self._processed(record)
            case records.Lag():
                self.lag_s = max(self.lag_s, record.late_s)
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
            if (story := self.stories.get(ref)) is not None:
                story.attempts.append(attempt)
            else:
                self.strangers.append((call.t, ref, call.relay))

    def _replied(self, reply: records.Reply) -> None:
        self.replies.append(reply)
        ends = dict(zip(reply.refs, reply.ends, strict=True))
        for attempt in self._open.pop(reply.conn, []):
            attempt.over, attempt.end = reply.t, ends.get(attempt.ref, "")

    def _processed(self, record: records.Process) -> None:
        lives = self.lives[record.name]
        if record.event == "start":
            lives.append(Life(record.t))
        elif lives and record.event == "ready":
            lives[-1].ready = record.t
        elif lives:
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

    def in_aim(self, story: Story) -> bool:
        """Whether a message was delivered within its class's aim."""
        took_s = story.took_s
        return took_s is not None and took_s <= self.classes[story.handed.cls].aim_s

    def restart_ready(self, relay: str, t: float) -> float | None:
        """Where a relay was down or coming up at a time: when it was ready again; infinite if never."""
        lives = self.lives.get(relay, [])
        for at, life in enumerate(lives):
            following = lives[at + 1].ready if at + 1 < len(lives) else float("inf")
            if life.end <= t and (at + 1 == len(lives) or t < following + READY_SLACK_S):
                return following
        return None

    def told_gone(self, relay: str, host: str) -> list[tuple[float, bool]]:
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


Checker = Callable[[Run], list[Finding]]


def ended_once(run: Run) -> list[Finding]:
    """Each message that was taken on gets an end, and no second end of another kind.

    A notice that says the same once more is a repeat that was not confirmed. A notice beside a delivery is
    one end too many only where the delivery's answer could reach the same life of the relay before.
    """
    found = []
    for ref, story in run.stories.items():
        if not story.taken:
            continue
        if story.ended is None and story.deadline + SLACK_S < run.over:
            found.append(Finding(story.deadline, f"{ref} of {story.handed.relay} was taken and never ended"))
        results = {notice.result for notice in story.notices}
        if (again := ended_again(run, story)) is not None:
            found.append(
                Finding(again, f"{ref} of {story.handed.relay} was delivered, and noticed as dead after it")
            )
        if len(results) > 1:
            found.append(
                Finding(story.notices[-1].t, f"{ref} was noticed as {' and '.join(sorted(results))}")
            )
    return found


def ended_again(run: Run, story: Story) -> float | None:
    """When a notice came for a message whose delivery its relay had been told of, undisturbed in between.

    An answer that is written as the relay's own time for the call, or the message's, is up may cross its
    giving up.
    """
    delivered = story.delivered
    if delivered is not None and delivered >= story.deadline - TOLD_S:
        return None
    for attempt in story.attempts:
        up = attempt.came + attempt.limit_s - TOLD_S
        if attempt.end == "delivered" and attempt.limit_s and attempt.over >= up:
            return None
    later = [notice.t for notice in story.notices if delivered is not None and notice.t > delivered]
    if delivered is None or not later or disturbed(run, story.handed.relay, delivered - 0.5, later[0]):
        return None
    return later[0]


def in_time(run: Run) -> list[Finding]:
    """An end comes within 300 ms of its time, but for a restart of its relay or a cut from the platform."""
    found = []
    for ref, story in run.stories.items():
        ended = story.ended
        if not story.taken or ended is None:
            continue
        late_s = ended - story.deadline
        if late_s > SLACK_S and not excused(run, story, ended):
            found.append(Finding(ended, f"{ref} of {story.handed.relay} ended {late_s * 1000:.0f} ms late"))
    return found


def excused(run: Run, story: Story, ended: float) -> bool:
    """Whether its relay was down when its time was up, and it ended soon after that was ready again."""
    due, relay = story.deadline + SLACK_S, story.handed.relay
    ready = run.restart_ready(relay, due)
    if ready is not None and ended <= ready + READY_SLACK_S:
        return True
    return any(
        since <= due and ended <= until + READY_SLACK_S for since, until in cut_from_platform(run, relay)
    )


def cut_from_platform(run: Run, relay: str) -> list[tuple[float, float]]:
    """The spans in which a relay's notices could not come: the agent is beside it, so the lab did this."""
    return [
        (span.since, min(span.until, run.over))
        for span in run.spans
        if span.kind == "cut" and span.on == relay and (not span.to or "platform" in span.to)
    ]


def one_out(run: Run) -> list[Finding]:
    """Never two attempts of a message out together; one is out until its answer or its connection's end."""
    found = []
    for ref, story in run.stories.items():
        for before, after in zip(story.attempts, story.attempts[1:], strict=False):
            if after.came < before.over:
                found.append(
                    Finding(after.came, f"{ref} came to {after.host} while it was out at {before.host}")
                )
    return found


def none_out_past_end(run: Run) -> list[Finding]:
    """A message that its relay has ended by a notice is not out any more: handed in again it would be twice.

    A notice and the end of a connection take ways of their own. What a fault may have held up on one of them
    is passed over, and so is what the relay had out in an earlier life.
    """
    found = []
    for ref, story in run.stories.items():
        for notice in story.notices[:1]:
            for attempt in story.attempts:
                past_s = min(attempt.over, run.over) - notice.t
                if attempt.came > notice.t or past_s <= TOLD_S or attempt.relay != notice.relay:
                    continue
                if not disturbed(run, notice.relay, attempt.came, notice.t + TOLD_S):
                    past = f"{past_s * 1000:.0f} ms after {notice.relay} ended it"
                    found.append(Finding(notice.t, f"{ref} was out at {attempt.host} until {past}"))
    return found


def few_attempts(run: Run) -> list[Finding]:
    """A message is called for no more often than the settings allow."""
    most = run.scenario.most_tries
    return [
        Finding(story.attempts[most].came, f"{ref} was called for {len(story.attempts)} times")
        for ref, story in run.stories.items()
        if len(story.attempts) > most
    ]


def no_repeat(run: Run) -> list[Finding]:
    """After a call that may have run an unsafe message is not sent again, a keyed one within its window only.

    A bounce by notice says that coming again is harmless: it is none where an unsafe message may have run.
    """
    found = []
    for ref, story in run.stories.items():
        cls = run.classes[story.handed.cls]
        if cls.effect == EFFECT_SAFE:
            continue
        first = next((attempt for attempt in story.attempts if attempt.may_have_run), None)
        if first is None:
            continue
        for attempt in story.attempts[story.attempts.index(first) + 1 :]:
            late = attempt.came > first.came + cls.window_s + TOLD_S
            if cls.effect == EFFECT_UNSAFE or late:
                found.append(Finding(attempt.came, f"{ref} ({cls.effect}) came again to {attempt.host}"))
        if cls.effect == EFFECT_UNSAFE:
            found += [
                Finding(notice.t, f"{ref} (unsafe) was bounced and may have run at {first.host}")
                for notice in story.notices
                if notice.result == "bounced" and notice.t > first.came
            ]
    return found


def effect_once(run: Run) -> list[Finding]:
    """By the endpoints' own record nothing that must not repeat took effect twice, under any of its ids."""
    messages: dict[int, list[Story]] = defaultdict(list)
    for story in run.stories.values():
        messages[story.handed.message].append(story)
    found = []
    for message, stories in messages.items():
        times = sorted(ran.t for story in stories for ran in story.ran)
        unsafe = run.classes[stories[0].handed.cls].effect != EFFECT_SAFE
        if len(times) > 1 and unsafe and not client_repeated(stories):
            found.append(Finding(times[1], f"message {message} took effect {len(times)} times"))
    return found


def client_repeated(stories: list[Story]) -> bool:
    """Whether a client handed a message in again though an earlier id may have been taken on unheard.

    A client that left after 400 ms cannot know; what the relay does under the old id counts for nothing.
    """
    return any(
        story.heard is None or story.heard.answer in ("patience", "closed", "lab") for story in stories
    )


def own_destination(run: Run) -> list[Finding]:
    """A message goes to endpoints of its own destination only, and nothing goes out that nobody handed in."""
    found = [Finding(t, f"{relay} sent {ref}, which no client handed in") for t, ref, relay in run.strangers]
    for ref, story in run.stories.items():
        for attempt in story.attempts:
            if run.head.endpoints[attempt.host] != story.handed.dest:
                found.append(Finding(attempt.came, f"{ref} for {story.handed.dest} went to {attempt.host}"))
    return sorted(found, key=lambda finding: finding.t)


def drained(run: Run) -> list[Finding]:
    """No new work to an endpoint later than the grace after it was told, or counts as told, to drain."""
    grace_s, found = run.scenario.drain_grace_s + TOLD_S, []
    lists = {
        (relay, host): run.told_gone(relay, host)
        for relay in run.head.relays
        for host in {host for change in run.changed for host in change.hosts}
    }
    for attempt in run.attempts:
        told = lists.get((attempt.relay, attempt.host))
        if not told:
            continue
        at = bisect.bisect([t for t, _ in told], attempt.begun)
        since = None
        for t, serving in told[:at]:
            since = None if serving else (t if since is None else since)
        if since is not None and attempt.begun > since + grace_s:
            late_s = attempt.begun - since
            found.append(
                Finding(attempt.begun, f"{attempt.ref} to {attempt.host} {late_s:.2f} s after it was told")
            )
    return found


def waits_kept(run: Run) -> list[Finding]:
    """Told to wait, a relay sends nothing to that destination until then; a restart ends the wait."""
    found = []
    waits: dict[tuple[str, int], list[tuple[float, float]]] = defaultdict(list)
    for reply in run.replies:
        if reply.wait_ms:
            waits[reply.relay, run.head.endpoints[reply.host]].append(
                (reply.t, reply.t + reply.wait_ms / 1000)
            )
    for attempt in run.attempts:
        for told, until in waits.get((attempt.relay, run.head.endpoints[attempt.host]), ()):
            if told + WAIT_SLACK_S < attempt.begun < until - 0.001 and not restarted(
                run, attempt.relay, told, attempt.begun
            ):
                left_ms = (until - attempt.begun) * 1000
                found.append(
                    Finding(
                        attempt.begun, f"{attempt.relay} called {attempt.host} {left_ms:.0f} ms too early"
                    )
                )
                break
    return found


def restarted(run: Run, relay: str, since: float, until: float) -> bool:
    """Whether a life of a relay began between two times."""
    return any(since < life.start <= until for life in run.lives.get(relay, []))


def cold_spared(run: Run) -> list[Finding]:
    """A partner that comes back cold does not fall over under relays that had been told of its outage.

    As the page says, the rule is broken if two thirds of the pushes came from relays to which a call or
    probe there had failed or been refused during the outage.
    """
    found = []
    for state in run.partners:
        if state.state != "fallen":
            continue
        dest = run.head.endpoints[state.host]
        span = (state.t - partner_of(run, dest).fall_s, state.t)
        pushes = [
            a.relay
            for a in run.attempts
            if run.head.endpoints[a.host] == dest and span[0] <= a.came <= span[1]
        ]
        pushes += [
            p.relay for p in run.probes if run.head.endpoints[p.host] == dest and span[0] <= p.t <= span[1]
        ]
        known = told_of_outage(run, dest, state.t)
        told = sum(relay in known for relay in pushes)
        if pushes and told * 3 >= len(pushes) * 2:
            found.append(
                Finding(state.t, f"{state.host} fell over: {told} of {len(pushes)} by relays that knew")
            )
    return found


def partner_of(run: Run, dest: int) -> Spec:
    """A destination's figures."""
    return next(partner for partner in run.scenario.partners if partner.dest == dest)


def told_of_outage(run: Run, dest: int, t: float) -> set[str]:
    """Relays whose call there was out when it went down, failed or was refused since."""
    downs = [
        s.t
        for s in run.partners
        if s.state in ("down", "fallen") and s.t < t and run.head.endpoints[s.host] == dest
    ]
    if not downs:
        return set()
    return {
        attempt.relay
        for attempt in run.attempts
        if run.head.endpoints[attempt.host] == dest and downs[-1] <= min(attempt.over, t) and attempt.came < t
        and attempt.end != "delivered"
    }  # fmt: skip


def answered(run: Run) -> list[Finding]:
    """Each request gets its answer, unless a fault had its relay or one of its links just then."""
    found = []
    for ref, story in run.stories.items():
        if story.heard is None or story.heard.answer not in ("patience", "closed"):
            continue
        if not disturbed(run, story.handed.relay, story.handed.t - 0.5, story.heard.t + 0.1):
            found.append(
                Finding(story.heard.t, f"{ref}: {story.handed.relay} did not answer: {story.heard.answer}")
            )
    return found


def disturbed(run: Run, relay: str, since: float, until: float) -> bool:
    """Whether a fault on a relay, or its end, lay within a span."""
    if any(span.on == relay and span.since <= until and span.until >= since for span in run.spans):
        return True
    return run.restart_ready(relay, until) is not None or restarted(run, relay, since, until)


def no_crash(run: Run) -> list[Finding]:
    """No process ends by itself."""
    return [
        Finding(life.end, f"{name} ended by itself with code {life.code}")
        for name, lives in run.lives.items()
        for life in lives
        if life.end < float("inf") and not life.asked
    ]


def ready_soon(run: Run) -> list[Finding]:
    """Nine in ten relays that are started again are ready within 10 s; one that ends before is no sign."""
    again = [(name, life) for name in run.scenario.relay_names for life in run.lives.get(name, [])[1:]]
    late = [item for item in again if min(item[1].ready, item[1].end, run.over) - item[1].start > READY_S]
    if len(late) <= LATE_STARTS * len(again):
        return []
    return [Finding(life.start, f"{name} was not ready {READY_S:.0f} s after it") for name, life in late]


def untried(run: Run) -> list[Story]:
    """What restarts found untried, with half of its time left.

    A refused connection is a try that no endpoint sees: messages for a partner that was down do not count.
    """
    found = []
    for story in run.stories.values():
        restart, ended, half_s = restart_with(run, story), story.ended, story.at(0.5)
        if restart is None or restart.ready > half_s or (ended is not None and ended < restart.end):
            continue
        tried = any(attempt.came < restart.end for attempt in story.attempts)
        until = min(story.at(EARLY), ended or half_s)
        if not tried and not was_down(run, story.handed.dest, story.handed.t, until):
            found.append(story)
    return found


def untried_kept(run: Run) -> list[Finding]:
    """What restarts find untried, with half of its time left, is not mostly given up early with no call."""
    found = untried(run)
    given_up = [
        Finding(ended, f"{story.handed.ref} of {story.handed.relay} was found untried and given up")
        for story in found
        if (ended := story.ended) is not None and ended < story.at(EARLY) and not story.attempts
    ]
    return given_up if 2 * len(given_up) > len(found) else []


def was_down(run: Run, dest: int, since: float, until: float) -> bool:
    """Whether an endpoint of a destination refused connections at some time in between."""
    down: dict[str, bool] = {}
    for state in run.partners:
        if run.head.endpoints[state.host] != dest or state.t > until:
            continue
        if state.t >= since and down.get(state.host):
            return True
        down[state.host] = state.state in ("down", "fallen")
    return any(down.values())


@dataclass(frozen=True, slots=True)
class Restart:
    """The end of one life and when the next one was ready."""

    end: float
    ready: float


def restart_with(run: Run, story: Story) -> Restart | None:
    """The first restart of a message's relay after that took it on; None where there was none."""
    if story.heard is None or not story.taken:
        return None
    lives = run.lives.get(story.handed.relay, [])
    return next(
        (Restart(life.end, after.ready) for life, after in pairwise(lives) if life.end > story.heard.t), None
    )


def members_of(run: Run) -> list[str]:
    """The processes that hold views of each other."""
    return sorted({seen.member for seen in run.views})


def views_agree(run: Run) -> list[Finding]:
    """Once faults have been over for a while, each living member holds just the living ones as alive.

    Nothing is said where a fault on a member, or the start or end of one, came in the run's last seconds.
    """
    names = set(members_of(run))
    disturbed_s = [t for name in names for life in run.lives[name] for t in (life.start, life.end)]
    disturbed_s += [span.until for span in run.spans if span.on in names]
    if run.over - max((t for t in disturbed_s if t < run.over), default=run.over) < SETTLED_S:
        return []
    if any(span.on in names and span.until >= run.over for span in run.spans):
        return []
    living = {name for name in names if run.lives[name] and run.lives[name][-1].end >= run.over}
    found = []
    for name in sorted(living):
        mine = [seen for seen in run.views if seen.member == name]
        last = max(seen.life for seen in mine)
        held = {seen.name: seen.state for seen in mine if seen.life == last}
        alive = {other for other, state in held.items() if state == "alive"} | {name}
        if alive != living:
            wrong = ", ".join(sorted(alive ^ living))
            found.append(Finding(run.over, f"{name} holds {len(alive)} of {len(living)} as alive: {wrong}"))
    return found


def no_false_failure(run: Run) -> list[Finding]:
    """No member is declared failed that lived, was reached and was in time; the one who says so neither."""
    names, found = set(members_of(run)), []
    for seen in run.views:
        if seen.state != "failed":
            continue
        since = seen.t - DOUBT_S
        concerned = {seen.member, seen.name, seen.by} & names
        if any(member_disturbed(run, name, since, seen.t) for name in concerned):
            continue
        found.append(Finding(seen.t, f"{seen.member} holds {seen.name} as failed by the word of {seen.by}"))
    return found


def member_disturbed(run: Run, name: str, since: float, until: float) -> bool:
    """Whether a member was down, started or met by a fault within a span."""
    if any(span.on == name and span.since <= until and span.until >= since for span in run.spans):
        return True
    return not any(life.start <= since and life.end >= until for life in run.lives[name])


def one_actor(run: Run) -> list[Finding]:
    """By the resource's record: after an act under a newer token none under an older one is let in.

    The unfenced resource lets in what a holder began before it was stopped and sent after: that much no lease
    can prevent, and it is a finding only where no fault had the holder.
    """
    found = []
    newest: dict[tuple[str, str], records.Acted] = {}
    for act in sorted(run.acts, key=lambda item: item.t):
        last = newest.setdefault((act.resource, act.lease), act)
        if act.admitted and act.token < last.token:
            excused = act.resource == "unfenced" and disturbed(run, act.holder, act.t - UNDER_WAY_S, act.t)
            if not excused:
                text = (
                    f"{act.holder} acted on {act.resource} {act.lease} under {act.token} after {last.token}"
                )
                found.append(Finding(act.t, text))
        elif act.token > last.token:
            newest[act.resource, act.lease] = act
        if act.token == last.token and act.holder != last.holder:
            found.append(Finding(act.t, f"{act.holder} and {last.holder} both have token {act.token}"))
    return found


CHECKERS: dict[str, Checker] = {
    "one_actor": one_actor,
    "ended_once": ended_once,
    "in_time": in_time,
    "one_out": one_out,
    "none_out_past_end": none_out_past_end,
    "few_attempts": few_attempts,
    "no_repeat": no_repeat,
    "effect_once": effect_once,
    "own_destination": own_destination,
    "drained": drained,
    "waits_kept": waits_kept,
    "cold_spared": cold_spared,
    "answered": answered,
    "no_crash": no_crash,
    "ready_soon": ready_soon,
    "untried_kept": untried_kept,
    "views_agree": views_agree,
    "no_false_failure": no_false_failure,
}


def findings(run: Run) -> dict[str, list[Finding]]:
    """All that the checkers found, by name."""
    return {name: checker(run) for name, checker in CHECKERS.items()}


def checked(found: dict[str, list[Finding]]) -> dict[str, Check]:
    """Findings as a result tells them."""
    return {
        name: Check(not some, len(some), f"{some[0].t:.3f} s: {some[0].text}" if some else "")
        for name, some in found.items()
    }


class Result(msgspec.Struct, frozen=True):
    """``result.json``: whether all checks hold, and the counts."""

    scenario: str
    seed: int
    ok: bool
    valid: bool
    checks: dict[str, Check]
    counts: dict[str, int]
    seconds: float
    recover_s: float | None
    lab_late_s: float
    lab_cpu_s: float
    relays_cpu_s: float
    relays: int
    worth: float
    figures: dict[str, dict[str, float]] = {}  # what programs measured, and how leases passed over


def handovers(run: Run) -> dict[str, float]:
    """By the fenced resource's record: from the last act under a token to the first under the next, in ms."""
    gaps, newest = list[float](), dict[str, records.Acted]()
    for act in sorted(
        (act for act in run.acts if act.resource == "fenced" and act.admitted), key=lambda a: a.t
    ):
        last = newest.get(act.lease)
        if last is not None and act.token > last.token:
            gaps.append((act.t - last.t) * 1000)
        newest[act.lease] = act
    if not gaps:
        return {}
    return {
        "handovers": len(gaps), "handover_ms_median": round(median(gaps), 1),
        "handover_ms_most": round(max(gaps), 1),
    }  # fmt: skip


def figures_of(run: Run) -> dict[str, dict[str, float]]:
    """What programs measured, what further processes used, and how leases passed over."""
    found = {name: dict(figures) for name, figures in run.measured.items()}
    for name, used in run.used.items():
        if name not in run.head.relays and name != "lab":
            found.setdefault(name, {}).update(cpu_s=used.cpu_s, peak_mb=used.peak_mb)
    if passed := handovers(run):
        found["leases"] = passed
    return found


def counts_of(run: Run, found: dict[str, list[Finding]]) -> dict[str, int]:
    """The counts of a run; a message is counted once, by the best that became of any of its ids."""
    taken = [story for story in run.stories.values() if story.taken]
    ends: dict[int, str] = {}
    for story in run.stories.values():
        word = became(story)
        if RANK[word] > RANK.get(ends.get(story.handed.message, ""), -1):
            ends[story.handed.message] = word
    words = list(ends.values())
    return {
        "handed_in": len(run.stories),
        "messages": len(set(ends) | {item.message for item in run.unsent}),
        "taken": len(taken),
        "delivered": words.count("delivered"),
        "refused": words.count("refused"),
        "failed": words.count("failed"),
        "unanswered": words.count("unanswered"),
        "unsent": len({item.message for item in run.unsent} - set(ends)),
        "lost": sum("never ended" in finding.text for finding in found["ended_once"]),
        "late": len(found["in_time"]),
        "twice": len(found["effect_once"]),
        "uncertain": sum(
            any(n.result == "dead" for n in story.notices) and any(a.may_have_run for a in story.attempts)
            for story in taken
        ),
        "ran_unheard": sum(
            any(n.result == "dead" for n in story.notices) and bool(story.ran) and story.delivered is None
            for story in taken
        ),
        "untried": len(untried(run)),
        "calls": len(run.attempts),
    }


RANK = {"": -1, "unanswered": 0, "refused": 1, "lost": 2, "failed": 3, "delivered": 4}


def became(story: Story) -> str:
    """What became of a message under one id."""
    if story.delivered is not None and story.taken:
        return "delivered"
    if not story.taken:
        answer = story.heard.answer if story.heard is not None else "lab"
        return {"busy": "refused", "error": "failed"}.get(answer, "unanswered")
    if story.notices:
        return "failed" if story.notices[0].result == "dead" else "refused"
    return "lost"


def worth_of(run: Run) -> float:
    """Worth delivered within the aim over worth asked for, from 0 to 1."""
    asked: dict[int, float] = {item.message: run.classes[item.cls].worth for item in run.unsent}
    got: dict[int, float] = {}
    for story in run.stories.values():
        cls = run.classes[story.handed.cls]
        asked[story.handed.message] = cls.worth
        if run.in_aim(story):
            got[story.handed.message] = cls.worth
    return sum(got.values()) / max(1e-9, sum(asked.values()))


def recover_s(run: Run) -> float | None:
    """Seconds from the end of the last fault until messages are served in their aim as before the first.

    The last second of load, from that end on, in which under 90% of the share before were so; None without
    a fault that ended, and 0 where none was missed.
    """
    ends = [fault.t for fault in run.faults if fault.phase == "end"]
    begins = [fault.t for fault in run.faults if fault.phase == "begin"]
    if not ends or len(ends) < len(begins):
        return None
    seconds = in_aim_by_second(run)
    before = [good / asked for at, (good, asked) in seconds.items() if at < min(begins) - 1 and asked]
    usual = sum(before) / len(before) if before else 1.0
    bad = [
        at + 1 - max(ends)
        for at, (good, asked) in seconds.items()
        if at + 1 > max(ends) and asked and good / asked < 0.9 * usual
    ]
    return round(max(0.0, max(bad, default=0.0)), 1)


def in_aim_by_second(run: Run) -> dict[int, tuple[int, int]]:
    """By the second in which a message first came up: how many were served in their aim, of how many."""
    first: dict[int, float] = {item.message: item.t for item in run.unsent}
    good: set[int] = set()
    for story in run.stories.values():
        first[story.handed.message] = min(first.get(story.handed.message, float("inf")), story.handed.first)
        if run.in_aim(story):
            good.add(story.handed.message)
    seconds: dict[int, tuple[int, int]] = defaultdict(lambda: (0, 0))
    for message, t in first.items():
        served, asked = seconds[int(t)]
        seconds[int(t)] = (served + (message in good), asked + 1)
    return dict(sorted(seconds.items()))


def judged(run: Run, name: str) -> tuple[Result, dict[str, list[Finding]]]:
    """The result of a history."""
    found = findings(run)
    checks = checked(found)
    relays = [used.cpu_s for key, used in run.used.items() if key != "lab"]
    lab = run.used.get("lab")
    result = Result(
        scenario=name, seed=run.head.seed, ok=all(check.ok for check in checks.values()),
        valid=run.lag_s <= INVALID_LAG_S, checks=checks, counts=counts_of(run, found),
        seconds=round(run.over, 3), recover_s=recover_s(run), lab_late_s=round(run.lag_s, 4),
        lab_cpu_s=lab.cpu_s if lab else 0.0, relays_cpu_s=round(sum(relays), 3),
        relays=len(run.head.relays), worth=round(worth_of(run), 4), figures=figures_of(run),
    )  # fmt: skip
    return result, found
