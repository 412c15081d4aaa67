"""The relay: feeds ``Relay.step`` with what happens and carries out what it decides.

It owns which message owes which end. It decides nothing that the module can decide: it refuses at the door
what it cannot keep, and while it shuts down it starts no call that could not end.
"""

from __future__ import annotations

import asyncio
import inspect
import logging
import socket
import sys
import time
import zlib
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator, Set
from dataclasses import dataclass
from itertools import islice
from typing import Any

from decisions import Relay as Module
from decisions import interface as api
from decisions import ranked_queue, state
from decisions.interface import Settings
from relay import calls, endpoint_calls, endpoint_list
from relay.calls import Call, Part, PartOutcome
from relay.config import Config
from relay.discovery import ENDPOINTS_PER_PIECE, Notice, NoticeSender, Watch, line_limit_for_memory
from relay.endpoint_calls import CallsHandover, EndpointCalls
from relay.endpoint_list import DirectoryUpdate, ordered_changes, split_changes
from relay.http import Address
from relay.journal import Attempt, Journal, JournalFullError, Recovered
from relay.reasons import RefusalReason

LOG = logging.getLogger(__name__)
STATUS_S = 5.0  # s between log lines on connections
BODIES_SHARE = 0.125  # of the memory: bodies of held messages, which the journal keeps a second time
CROSSING_US = 50_000  # us by which a message's time may be up for its client before it is here
REMEMBERED = 4096  # ids that are over, so that a request that a client repeats is not taken for a new one


class Clock:
    """Wall time that never jumps within one life: deadlines and attempts in the journal go by it."""

    def __init__(self, offset_us: int | None = None) -> None:
        usual_us = (time.time_ns() - time.monotonic_ns()) // 1000
        self.offset_us = usual_us if offset_us is None else offset_us  # given: another's goes on

    def __call__(self) -> int:
        """Microseconds since the epoch."""
        return time.monotonic_ns() // 1000 + self.offset_us


@dataclass(frozen=True, slots=True)
class Handed:
    """A message as a client hands it in; ``deadline_us`` is wall time."""

    id: str
    dest: int
    cls: str
    deadline_us: int
    tenant: str = ""
    order: str = ""
    key: str = ""

    @property
    def fields(self) -> dict[str, str | int]:
        """By name, for the journal; ``asdict`` copies each value deeply and takes ten times as long."""
        return {name: getattr(self, name) for name in self.__slots__}


@dataclass(slots=True)
class Held:
    """A message that owes its end, and how many attempts it had."""

    handed: Handed
    body: bytes
    attempts: int = 0


@dataclass(frozen=True, slots=True)
class Memory:
    """What a process of the same layout takes over beside the journal: nothing of it outlasts both."""

    offset_us: int  # of the clock
    module: Module
    inbox: list[api.Event]
    seq: int  # of the list
    hosts: CallsHandover


@dataclass(frozen=True, slots=True)
class Heard:
    """What a process of any version takes over."""

    over: list[str]
    waits: dict[str, float]
    ever: list[str]


def layout(settings: Settings) -> str:
    """A name for what ``Memory`` holds: the same in two processes only if one can go on with the other's.

    It is the text of every record in it, and of what the module keeps. Decisions may differ.
    """
    texts = [
        inspect.getsource(part)
        for part in (state, ranked_queue, api, endpoint_list, calls, endpoint_calls, Module.__init__, Memory)
    ]
    text = "\0".join([*texts, repr(settings), sys.version]).encode()
    # Against mistakes, not against malice: both are this user's. ``hashlib`` would load all of OpenSSL.
    return f"{len(text)}-{zlib.crc32(text):08x}-{zlib.adler32(text):08x}"


SERVED, REFUSED, FAILED = ENDS = ("served", "refused", "failed")


@dataclass(frozen=True, slots=True)
class Counts:
    """What is counted from the start of a process."""

    ended: Counter[tuple[str, str]]  # messages by class and how they ended
    attempts: int  # messages written whole to endpoints

    def __add__(self, other: Counts) -> Counts:
        return Counts(self.ended + other.ended, self.attempts + other.attempts)


@dataclass(frozen=True, slots=True)
class Figures:
    """What operators read, as it is now."""

    classes: tuple[str, ...]
    counts: Counts
    in_flight: int
    endpoints_known: int
    endpoints_excluded: int


class Driver:
    """One relay's loop of steps between the sockets and the module."""

    def __init__(self, config: Config, journal: Journal, crashed: Callable[[BaseException], None]) -> None:
        self._set, self._journal, self._crashed = config.settings, journal, crashed
        self._loop = asyncio.get_running_loop()
        self.clock = Clock()
        self._module = Module(config.settings, config.seed)
        self._hosts = EndpointCalls(
            config.settings.kinds,
            config.settings.keepalive_us,
            config.connect_timeout_us,
            config.max_sockets // 4,
            self._settled,
        )
        self._watch = Watch(
            config.discovery,
            config.initial_hosts.version,
            told=self._listed,
            told_in_pieces=self._listed_in_pieces,
            failed=self._unlisted,
            most_line=line_limit_for_memory(config.memory_bytes),
        )
        self._notices = NoticeSender(config.discovery, self._confirmed)
        self._held: dict[str, Held] = {}  # messages that owe their end to the module
        self._bodies_bytes, self._most_bodies_bytes = 0, int(config.memory_bytes * BODIES_SHARE)
        self._over: OrderedDict[str, None] = OrderedDict()
        self._ended: Counter[tuple[str, str]] = Counter()  # messages by class and how they ended
        self.refusals: Counter[RefusalReason] = Counter()  # at the door
        self._inbox: list[api.Event] = []
        self._timer: asyncio.TimerHandle | None = None
        self._steps_awaited: list[asyncio.Future[None]] = []  # of who waits for the next step's end
        self._status: asyncio.TimerHandle | None = None  # of the next status line
        self._next_s = 0.0  # when the next step is allowed
        self._step_us = 0  # when the last step was: what it decided counts from then
        self._stop_s: float | None = None  # once shutting down: when the last call must have ended
        self._put_off: list[api.Send] = []  # calls that were not made for that
        self._classes = {cls.name for cls in config.settings.classes}
        self._known = config.initial_hosts
        self.module_us = 0  # time in the module's steps

    def start(self) -> None:
        """Take up what the last life left, then follow the list; called before clients are answered."""
        self._notices.start()
        self._listed(self._known, api.EndpointUpdateKind.CACHED)
        self._take_up()

    def _take_up(self, known: Set[str] = frozenset()) -> None:
        """The journal's messages and bans, then the first step; the module knows some already."""
        for host in self._journal.banned:
            self._leave_out(host, True)
        now_us = self.clock()
        for message in self._journal.recovered.values():
            self._resume(message, now_us, message.id in known)
        if count := len(self._journal.recovered):
            LOG.info("journal: %d unfinished messages taken up", count)
        self._journal.recovered.clear()
        self._post(api.TimerDue())
        self._step()
        self._report()

    def leave(self, room: int) -> tuple[Heard, Memory, list[int]]:
        """What the next process takes over, and the descriptors of what is out; for this moment alone."""
        left, fds = self._hosts.hand_over(room)
        memory = Memory(self.clock.offset_us, self._module, self._inbox, self._watch.version, left)
        return (
            Heard(list(self._over), self._hosts.active_waits, list(self._hosts.remembered_hosts)),
            memory,
            fds,
        )

    def heed(self, heard: Heard) -> None:
        """Take over from a process of any version, before the start."""
        self._over.update(dict.fromkeys(heard.over))
        self._hosts.restore_waits(heard.waits)
        self._hosts.remembered_hosts.update(dict.fromkeys(heard.ever))

    def go_on(self, memory: Memory, socks: Iterator[socket.socket]) -> None:
        """Start with what a process of the same layout has left, in place of a fresh module."""
        self.clock = Clock(memory.offset_us)
        self._module = memory.module
        self._module.resume()
        self._inbox = memory.inbox
        self._notices.start()
        known = {event.id for event in self._inbox if isinstance(event, api.Arrival)}
        self._hosts.take_over(memory.hosts, socks)
        self._take_up(known | self._module.messages.keys())
        self._watch.resume(memory.seq)

    def _report(self) -> None:
        """A line for the people on call: what became of connections to hosts so far."""
        counts = ", ".join(f"{count} {name}" for name, count in sorted(self._hosts.connection_counts.items()))
        out = len(self._hosts.calls)
        LOG.info("holds %d messages, %d calls out; connections: %s", len(self._held), out, counts)
        self._status = self._loop.call_later(STATUS_S, self._report)

    def shut_down(self, stop_s: float | None) -> None:
        """From now on only calls are started that end by then, the rest stays in the journal; None: go on."""
        self._stop_s = stop_s
        if stop_s is None:  # the module took these for calls out
            put_off, self._put_off = self._put_off, []
            for send in put_off:
                if send.id in self._held:
                    call = Call(send.host, [self._part(send, self.clock())], time.monotonic())
                    self._settled(call, call.parts[0], PartOutcome(api.Verdict.NOT_SENT))

    def follow(self, discovery: Address) -> None:
        """Watch the list at this address from now on, and post notices there."""
        self._watch.move_to(discovery)
        self._notices.move_to(discovery)

    def close(self) -> None:
        """Let go of everything."""
        for timer in (self._timer, self._status):
            if timer is not None:
                timer.cancel()
        self._watch.close()
        self._notices.close()
        self._hosts.close()

    def ban(self, host: str, banned: bool) -> bool:
        """Leave an endpoint out or use it again, also after this life; False where none was ever listed so.

        ``JournalFullError`` where it cannot be kept: nothing has changed then.
        """
        if not self._hosts.is_known(host) and host not in self._journal.banned:
            return False
        self._journal.ban(host, banned)
        self._leave_out(host, banned)
        return True

    def _leave_out(self, host: str, banned: bool) -> None:
        LOG.info("operators: %s is %s", host, "left out" if banned else "in use")
        self._hosts.set_banned(host, banned)
        self._post(api.Ban(host, banned))

    @property
    def figures(self) -> Figures:
        """What operators read."""
        return Figures(
            tuple(cls.name for cls in self._set.classes),
            Counts(self._ended, self._hosts.written_messages),
            len(self._held),
            self._module.listed_count,
            self._module.excluded_count,
        )

    @property
    def calls(self) -> dict[str, int]:
        """Calls out by who counts them; they differ for no longer than a step takes to come."""
        return {"network": len(self._hosts.calls), "module": self._module.calls_out}

    @property
    def descriptors(self) -> dict[str, int]:
        """Open ones by purpose; a connection that is coming up is not counted yet."""
        return {
            "endpoints_idle": self._hosts.idle_count,
            "endpoints_busy": self._hosts.busy_count,
            "discovery": self._watch.open_connections + self._notices.open_connections,
        }

    def refused(self, cls: str, why: RefusalReason) -> None:
        """Count a message that was turned away at the door."""
        self._ended[cls, REFUSED] += 1
        self.refusals[why] += 1

    @property
    def idle(self) -> bool:
        """Whether no call is out and no notice is unconfirmed."""
        return not self._hosts.calls and not self._notices.unconfirmed and not self._inbox

    @property
    def busy_ms(self) -> int:
        """When a refused client is to come back."""
        return self._set.max_retry_after_us // 1000

    def knows_class(self, name: str) -> bool:
        """Whether the settings name the class; the module would drop any other unseen."""
        return name in self._classes

    def accept(self, handed: Handed, body: bytes) -> RefusalReason | None:
        """Take a message on, journaled; why not where there is no room, and nothing was kept.

        An id that is known is the same request once more, on a new connection: it is taken on already.
        """
        if handed.id in self._held or handed.id in self._over:
            return None
        if len(self._held) >= self._set.hold_cap:
            return RefusalReason.HELD_MESSAGES
        if self._bodies_bytes + len(body) > self._most_bodies_bytes:
            LOG.warning("a message was refused: held bodies come to %d bytes", self._bodies_bytes)
            return RefusalReason.HELD_BODIES
        try:
            self._journal.accept(handed.id, handed.fields, body)
        except JournalFullError as error:
            LOG.warning("a message was refused: %s", error)
            return RefusalReason.JOURNAL
        self._hold(handed, body)
        self._post(self._arrival(handed, self.clock()))
        return None

    def _hold(self, handed: Handed, body: bytes, attempts: int = 0) -> None:
        self._held[handed.id] = Held(handed, body, attempts)
        self._bodies_bytes += len(body)

    def _let_go(self, ref: str) -> Held | None:
        """A message that owes nothing more; None where it owed nothing."""
        if (held := self._held.pop(ref, None)) is not None:
            self._bodies_bytes -= len(held.body)
        return held

    def _arrival(self, handed: Handed, now_us: int, **former: Any) -> api.Arrival:
        left_us = handed.deadline_us - now_us
        return api.Arrival(handed.id, handed.dest, handed.cls, left_us, handed.tenant, handed.order, **former)

    def _resume(self, message: Recovered, now_us: int, known: bool) -> None:
        """Give a message of the last life back to the module, or send its notice once more.

        An attempt without a proof that it never ran may have run, also one that was out at the end.
        """
        if message.notice is not None:
            self._notices.send(Notice(message.id, *message.notice))
            return
        try:
            handed = Handed(**message.fields)
        except TypeError as error:
            LOG.error("journal: message %s cannot be read: %s", message.id, error)
            handed = None
        if handed is None or not self.knows_class(handed.cls):  # another version's or another site's
            self._journal.end(message.id, "dead", 0)
            self._notices.send(Notice(message.id, "dead"))
            return
        attempts = 1 + max((a.number for a in message.attempts), default=-1)
        self._hold(handed, message.body, attempts)
        if known:
            return
        former: dict[str, Any] = {"attempts": attempts}
        if risky := [a for a in message.attempts if not a.never_ran]:
            first = min(risky, key=lambda attempt: attempt.at_us)
            former |= {"risky_age_us": max(0, now_us - first.at_us), "risky_zone": first.zone}
        self._inbox.append(self._arrival(handed, now_us, **former))

    def _listed(self, news: DirectoryUpdate, kind: api.EndpointUpdateKind | None = None) -> None:
        """News of the list binds calls at once and the module with its next step."""
        self._hosts.apply_update(news)
        kind = kind or (api.EndpointUpdateKind.WHOLE if news.whole else api.EndpointUpdateKind.CHANGES)
        self._post(api.EndpointUpdate(kind, tuple(listed.entry for listed in news.endpoints)))

    async def _listed_in_pieces(self, news: DirectoryUpdate) -> None:
        """Long news as bounded changes, each one in force before the next, while all else goes on.

        What drains or is gone comes first, as it binds. Should it be cut off in between, what is in force is
        a part of the news, and the version that is watched from is still the old one.
        """
        changes = ordered_changes(news, self._hosts.endpoints)
        for number, piece in enumerate(split_changes(changes, ENDPOINTS_PER_PIECE)):
            self._hosts.apply_update(DirectoryUpdate(news.version, False, piece))
            entries = tuple(listed.entry for listed in piece)
            self._post(api.EndpointUpdate(api.EndpointUpdateKind.CHANGES, entries, continued=number > 0))
            await self._next_step()
        LOG.info("discovery: version %d is in force, %d changes", news.version, len(changes))

    async def _next_step(self) -> None:
        """Wait until the module has taken what is before it."""
        stepped = self._loop.create_future()
        self._steps_awaited.append(stepped)
        await stepped

    def _unlisted(self) -> None:
        self._post(api.EndpointUpdate(api.EndpointUpdateKind.FAILED))

    def _confirmed(self, ref: str) -> None:
        self._journal.over(ref)

    def _settled(self, call: Call, part: Part, told: PartOutcome) -> None:
        """An attempt is over: journal what it proves, then tell the module."""
        complete = told.complete
        if complete:
            self._end(part.id, delivered=told.verdict is api.Verdict.OK)
        elif told.verdict.never_ran:
            self._journal.never_ran(part.id, part.attempt)
        elapsed_us = int((time.monotonic() - call.sent_at_s) * 1e6)
        if told.verdict is not api.Verdict.OK:
            LOG.info(
                "attempt: %s #%d at %s with %d more, connection %s: %s after %d ms, wait %d ms, told %s",
                part.id, part.attempt, call.host, len(call.parts) - 1, call.connection_description,
                told.verdict.value, elapsed_us // 1000, told.wait_us // 1000, told.load_report or "nothing",
            )  # fmt: skip
        self._post(
            api.Outcome(
                part.id,
                part.attempt,
                call.host,
                told.verdict,
                elapsed_us,
                complete,
                told.wait_us,
                told.load_report.get("x0"),
                told.load_report.get("x1"),
                told.connection_limit_reached,
            )
        )
        if complete:  # also for a part whose own time ran out before: the module must not send it again
            self._post(api.Withdrawn(part.id))

    def _end(self, ref: str, delivered: bool) -> None:
        """Nothing more is owed: it was delivered, or its endpoint says that it is over."""
        if (held := self._held.get(ref)) is None:
            return
        late_us = self.clock() - held.handed.deadline_us
        if delivered and late_us > -CROSSING_US:
            # Its time counts from when its client sent it, and a delivery after it ends nothing. Where it did
            # count, the notice does no harm.
            LOG.info("attempt: %s was over %d ms after its time", ref, late_us // 1000)
            self._give_up(Notice(ref, "dead"))
            return
        self._let_go(ref)
        self._ended[held.handed.cls, SERVED] += delivered
        self._journal.over(ref)
        self._remember(ref)

    def _remember(self, ref: str) -> None:
        self._over[ref] = None
        while len(self._over) > REMEMBERED:
            self._over.popitem(last=False)

    def _post(self, event: api.Event) -> None:
        """Put an event before the module at its next step, one round after the last at the earliest."""
        self._inbox.append(event)
        if self._timer is None:
            self._timer = self._loop.call_at(max(self._loop.time(), self._next_s), self._step)

    def _step(self) -> None:
        """One batch through the module; an error here is no single message's and ends the process."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer, self._next_s = None, self._loop.time() + self._set.round_us / 1e6
        events, self._inbox = self._inbox, []
        try:
            begun_ns = time.perf_counter_ns()
            self._step_us = self.clock()
            actions = self._module.step(self._step_us, events)
            self.module_us += (time.perf_counter_ns() - begun_ns) // 1000
            self._carry_out(actions)
            self._tell_stepped()
        except Exception as error:
            LOG.critical("the step loop broke", exc_info=True)
            self._crashed(error)

    def _tell_stepped(self) -> None:
        """Let go on who waited for a step."""
        awaited, self._steps_awaited = self._steps_awaited, []
        for stepped in awaited:
            if not stepped.done():  # else whoever waited was cancelled
                stepped.set_result(None)

    def _carry_out(self, actions: list[api.Action]) -> None:
        sends: dict[str, list[api.Send]] = {}
        for action in actions:
            match action:
                case api.Send():
                    sends.setdefault(action.host, []).append(action)
                case api.Refuse():
                    self._give_up(Notice(action.id, "bounced", action.retry_after_us // 1000))
                case api.Fail():
                    self._give_up(Notice(action.id, "dead"))
                case api.CloseIdle():
                    self._hosts.close_idle(action.host)
                case api.Cancel():
                    self._hosts.cancel(action.id, action.attempt)
                case api.Subscribe():
                    self._watch.subscribe()
                case api.Wake():
                    self._loop.call_later(action.delay_us / 1e6, self._post, api.TimerDue())
                case api.Log():
                    LOG.info("%s", action.line)
                case api.Probe():
                    LOG.error("a probe was asked for; endpoints are not probed")
        for host, batch in sends.items():
            self._send(host, batch)

    def _give_up(self, notice: Notice) -> None:
        """The module's final answer goes out at once, and again until it is confirmed."""
        if (held := self._let_go(notice.ref)) is None:
            return
        handed = held.handed
        LOG.info(
            "ended: %s %s of %s for %d: %s with %d ms left, %d attempts",
            notice.ref, handed.cls, handed.tenant, handed.dest, notice.result,
            (handed.deadline_us - self.clock()) // 1000, held.attempts,
        )  # fmt: skip
        self._ended[handed.cls, REFUSED if notice.result == "bounced" else FAILED] += 1
        self._journal.end(notice.ref, notice.result, notice.wait_ms)
        self._remember(notice.ref)
        self._notices.send(notice)

    def _send(self, host: str, batch: list[api.Send]) -> None:
        """Sends of one step to one host share calls up to the kind's bound, journaled before any byte."""
        rest = iter(batch)
        while chunk := list(islice(rest, self._hosts.max_batch(host))):
            self._put_off += [send for send in chunk if not self._can_end(send)]
            chunk = [send for send in chunk if send.id in self._held and self._can_end(send)]
            parts, tries, now_us = [], [], self.clock()
            for send in chunk:
                parts.append(part := self._part(send, now_us))
                tries.append((send.id, Attempt(part.attempt, host, self._hosts.zone_of(host), now_us)))
            if not parts:
                continue
            call = Call(host, parts, time.monotonic())
            if any(part.attempt for part in parts):
                LOG.info("attempt: %s at %s begins", call.attempts_text, host)
            try:
                self._journal.tries(tries)
            except JournalFullError as error:
                LOG.error("a call was not made: %s", error)
                for part in parts:
                    self._settled(call, part, PartOutcome(api.Verdict.NOT_SENT))
                continue
            self._hosts.send(call)

    def _part(self, send: api.Send, now_us: int) -> Part:
        """The message's next attempt."""
        held = self._held[send.id]
        number, held.attempts = held.attempts, held.attempts + 1
        left_us = held.handed.deadline_us - now_us
        part = Part(send.id, number, held.handed.key, held.body, send.timeout_us, left_us)
        if send.latest_begin_us:
            part.send_by_s = (self._step_us - self.clock.offset_us + send.latest_begin_us) / 1e6
        return part

    def _can_end(self, send: api.Send) -> bool:
        """Whether the process lasts as long as the call may; else the journal keeps it for the next life."""
        return self._stop_s is None or self._loop.time() + send.timeout_us / 1e6 <= self._stop_s
