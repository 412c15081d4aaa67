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
from relay.journal import Attempt, Journal, JournalFullError, RecoveredMessage
from relay.reasons import RefusalReason

LOG = logging.getLogger(__name__)
STATUS_LOG_INTERVAL_S = 5.0  # s between log lines on connections
HELD_BODIES_MEMORY_SHARE = (
    0.125  # of the memory: bodies of held messages, which the journal keeps a second time
)
DELIVERY_TRANSIT_MARGIN_US = 50_000  # us by which a message's time may be up for its client before it is here
MAX_FINISHED_IDS = (
    4096  # ids that are over, so that a request that a client repeats is not taken for a new one
)


class Clock:
    """Wall time that never jumps within one life: deadlines and attempts in the journal go by it."""

    def __init__(self, offset_us: int | None = None) -> None:
        usual_us = (time.time_ns() - time.monotonic_ns()) // 1000
        self.offset_us = usual_us if offset_us is None else offset_us  # given: another's goes on

    def __call__(self) -> int:
        """Microseconds since the epoch."""
        return time.monotonic_ns() // 1000 + self.offset_us


@dataclass(frozen=True, slots=True)
class ClientMessage:
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
class HeldMessage:
    """A message that owes its end, and how many attempts it had."""

    message: ClientMessage
    body: bytes
    attempts: int = 0


@dataclass(frozen=True, slots=True)
class SameLayoutState:
    """What a process of the same layout takes over beside the journal: nothing of it outlasts both."""

    clock_offset_us: int  # of the clock
    module: Module
    pending_events: list[api.Event]
    list_version: int  # of the list
    hosts: CallsHandover


@dataclass(frozen=True, slots=True)
class AnyVersionState:
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
        for part in (
            state,
            ranked_queue,
            api,
            endpoint_list,
            calls,
            endpoint_calls,
            Module.__init__,
            SameLayoutState,
        )
    ]
    text = "\0".join([*texts, repr(settings), sys.version]).encode()
    # Against mistakes, not against malice: both are this user's. ``hashlib`` would load all of OpenSSL.
    return f"{len(text)}-{zlib.crc32(text):08x}-{zlib.adler32(text):08x}"


SERVED, REFUSED, FAILED = MESSAGE_RESULTS = ("served", "refused", "failed")


@dataclass(frozen=True, slots=True)
class MessageCounts:
    """What is counted from the start of a process."""

    ended: Counter[tuple[str, str]]  # messages by class and how they ended
    attempts: int  # messages written whole to endpoints

    def __add__(self, other: MessageCounts) -> MessageCounts:
        return MessageCounts(self.ended + other.ended, self.attempts + other.attempts)


@dataclass(frozen=True, slots=True)
class OperatorStats:
    """What operators read, as it is now."""

    classes: tuple[str, ...]
    counts: MessageCounts
    in_flight: int
    endpoints_known: int
    endpoints_excluded: int


class Driver:
    """One relay's loop of steps between the sockets and the module."""

    def __init__(self, config: Config, journal: Journal, crashed: Callable[[BaseException], None]) -> None:
        self._settings, self._journal, self._on_crash = config.settings, journal, crashed
        self._loop = asyncio.get_running_loop()
        self.clock = Clock()
        self._module = Module(config.settings, config.seed)
        self._hosts = EndpointCalls(
            config.settings.kinds,
            config.settings.keepalive_us,
            config.connect_timeout_us,
            config.max_sockets // 4,
            self._attempt_settled,
        )
        self._watch = Watch(
            config.discovery,
            config.initial_hosts.version,
            on_update=self._listed,
            on_long_update=self._apply_list_in_pieces,
            on_end=self._list_failed,
            max_line_bytes=line_limit_for_memory(config.memory_bytes),
        )
        self._notices = NoticeSender(config.discovery, self._notice_confirmed)
        self._held: dict[str, HeldMessage] = {}  # messages that owe their end to the module
        self._held_body_bytes, self._max_held_body_bytes = (
            0,
            int(config.memory_bytes * HELD_BODIES_MEMORY_SHARE),
        )
        self._finished_ids: OrderedDict[str, None] = OrderedDict()
        self._result_counts: Counter[tuple[str, str]] = Counter()  # messages by class and how they ended
        self.refusal_counts: Counter[RefusalReason] = Counter()  # at the door
        self._pending_events: list[api.Event] = []
        self._step_timer: asyncio.TimerHandle | None = None
        self._step_waiters: list[asyncio.Future[None]] = []  # of who waits for the next step's end
        self._status_timer: asyncio.TimerHandle | None = None  # of the next status line
        self._next_step_s = 0.0  # when the next step is allowed
        self._last_step_us = 0  # when the last step was: what it decided counts from then
        self._shutdown_deadline_s: float | None = (
            None  # once shutting down: when the last call must have ended
        )
        self._postponed_sends: list[api.Send] = []  # calls that were not made for that
        self._class_names = {cls.name for cls in config.settings.classes}
        self._configured_hosts = config.initial_hosts
        self.module_us = 0  # time in the module's steps

    def start(self) -> None:
        """Take up what the last life left, then follow the list; called before clients are answered."""
        self._notices.start()
        self._listed(self._configured_hosts, api.EndpointUpdateKind.CACHED)
        self._resume_from_journal()

    def _resume_from_journal(self, known: Set[str] = frozenset()) -> None:
        """The journal's messages and bans, then the first step; the module knows some already."""
        for host in self._journal.banned_hosts:
            self._apply_ban(host, True)
        now_us = self.clock()
        for message in self._journal.recovered.values():
            self._resume_message(message, now_us, message.id in known)
        if count := len(self._journal.recovered):
            LOG.info("journal: %d unfinished messages taken up", count)
        self._journal.recovered.clear()
        self._post_event(api.TimerDue())
        self._step()
        self._log_status()

    def export_state(self, room: int) -> tuple[AnyVersionState, SameLayoutState, list[int]]:
        """What the next process takes over, and the descriptors of what is out; for this moment alone."""
        left, fds = self._hosts.hand_over(room)
        memory = SameLayoutState(
            self.clock.offset_us, self._module, self._pending_events, self._watch.version, left
        )
        return (
            AnyVersionState(
                list(self._finished_ids), self._hosts.active_waits, list(self._hosts.remembered_hosts)
            ),
            memory,
            fds,
        )

    def import_any_version_state(self, heard: AnyVersionState) -> None:
        """Take over from a process of any version, before the start."""
        self._finished_ids.update(dict.fromkeys(heard.over))
        self._hosts.restore_waits(heard.waits)
        self._hosts.remembered_hosts.update(dict.fromkeys(heard.ever))

    def start_from(self, memory: SameLayoutState, socks: Iterator[socket.socket]) -> None:
        """Start with what a process of the same layout has left, in place of a fresh module."""
        self.clock = Clock(memory.clock_offset_us)
        self._module = memory.module
        self._module.resume()
        self._pending_events = memory.pending_events
        self._notices.start()
        known = {event.id for event in self._pending_events if isinstance(event, api.Arrival)}
        self._hosts.take_over(memory.hosts, socks)
        self._resume_from_journal(known | self._module.messages.keys())
        self._watch.resume(memory.list_version)

    def _log_status(self) -> None:
        """A line for the people on call: what became of connections to hosts so far."""
        counts = ", ".join(f"{count} {name}" for name, count in sorted(self._hosts.connection_counts.items()))
        out = len(self._hosts.calls)
        LOG.info("holds %d messages, %d calls out; connections: %s", len(self._held), out, counts)
        self._status_timer = self._loop.call_later(STATUS_LOG_INTERVAL_S, self._log_status)

    def shut_down(self, stop_s: float | None) -> None:
        """From now on only calls are started that end by then, the rest stays in the journal; None: go on."""
        self._shutdown_deadline_s = stop_s
        if stop_s is None:  # the module took these for calls out
            put_off, self._postponed_sends = self._postponed_sends, []
            for send in put_off:
                if send.id in self._held:
                    call = Call(send.host, [self._build_part(send, self.clock())], time.monotonic())
                    self._attempt_settled(call, call.parts[0], PartOutcome(api.Verdict.NOT_SENT))

    def move_discovery(self, discovery: Address) -> None:
        """Watch the list at this address from now on, and post notices there."""
        self._watch.move_to(discovery)
        self._notices.move_to(discovery)

    def close(self) -> None:
        """Let go of everything."""
        for timer in (self._step_timer, self._status_timer):
            if timer is not None:
                timer.cancel()
        self._watch.close()
        self._notices.close()
        self._hosts.close()

    def set_banned(self, host: str, banned: bool) -> bool:
        """Leave an endpoint out or use it again, also after this life; False where none was ever listed so.

        ``JournalFullError`` where it cannot be kept: nothing has changed then.
        """
        if not self._hosts.is_known(host) and host not in self._journal.banned_hosts:
            return False
        self._journal.set_banned(host, banned)
        self._apply_ban(host, banned)
        return True

    def _apply_ban(self, host: str, banned: bool) -> None:
        LOG.info("operators: %s is %s", host, "left out" if banned else "in use")
        self._hosts.set_banned(host, banned)
        self._post_event(api.Ban(host, banned))

    @property
    def stats(self) -> OperatorStats:
        """What operators read."""
        return OperatorStats(
            tuple(cls.name for cls in self._settings.classes),
            MessageCounts(self._result_counts, self._hosts.written_messages),
            len(self._held),
            self._module.listed_count,
            self._module.excluded_count,
        )

    @property
    def call_counts(self) -> dict[str, int]:
        """Calls out by who counts them; they differ for no longer than a step takes to come."""
        return {"network": len(self._hosts.calls), "module": self._module.calls_out}

    @property
    def descriptor_counts(self) -> dict[str, int]:
        """Open ones by purpose; a connection that is coming up is not counted yet."""
        return {
            "endpoints_idle": self._hosts.idle_count,
            "endpoints_busy": self._hosts.busy_count,
            "discovery": self._watch.open_connections + self._notices.open_connections,
        }

    def count_refusal(self, cls: str, why: RefusalReason) -> None:
        """Count a message that was turned away at the door."""
        self._result_counts[cls, REFUSED] += 1
        self.refusal_counts[why] += 1

    @property
    def idle(self) -> bool:
        """Whether no call is out and no notice is unconfirmed."""
        return not self._hosts.calls and not self._notices.unconfirmed and not self._pending_events

    @property
    def busy_retry_ms(self) -> int:
        """When a refused client is to come back."""
        return self._settings.max_retry_after_us // 1000

    def knows_class(self, name: str) -> bool:
        """Whether the settings name the class; the module would drop any other unseen."""
        return name in self._class_names

    def accept(self, handed: ClientMessage, body: bytes) -> RefusalReason | None:
        """Take a message on, journaled; why not where there is no room, and nothing was kept.

        An id that is known is the same request once more, on a new connection: it is taken on already.
        """
        if handed.id in self._held or handed.id in self._finished_ids:
            return None
        if len(self._held) >= self._settings.hold_cap:
            return RefusalReason.HELD_MESSAGES
        if self._held_body_bytes + len(body) > self._max_held_body_bytes:
            LOG.warning("a message was refused: held bodies come to %d bytes", self._held_body_bytes)
            return RefusalReason.HELD_BODIES
        try:
            self._journal.accept(handed.id, handed.fields, body)
        except JournalFullError as error:
            LOG.warning("a message was refused: %s", error)
            return RefusalReason.JOURNAL
        self._hold(handed, body)
        self._post_event(self._arrival_event(handed, self.clock()))
        return None

    def _hold(self, handed: ClientMessage, body: bytes, attempts: int = 0) -> None:
        self._held[handed.id] = HeldMessage(handed, body, attempts)
        self._held_body_bytes += len(body)

    def _release(self, ref: str) -> HeldMessage | None:
        """A message that owes nothing more; None where it owed nothing."""
        if (held := self._held.pop(ref, None)) is not None:
            self._held_body_bytes -= len(held.body)
        return held

    def _arrival_event(self, handed: ClientMessage, now_us: int, **former: Any) -> api.Arrival:
        left_us = handed.deadline_us - now_us
        return api.Arrival(handed.id, handed.dest, handed.cls, left_us, handed.tenant, handed.order, **former)

    def _resume_message(self, message: RecoveredMessage, now_us: int, known: bool) -> None:
        """Give a message of the last life back to the module, or send its notice once more.

        An attempt without a proof that it never ran may have run, also one that was out at the end.
        """
        if message.notice is not None:
            self._notices.send(Notice(message.id, *message.notice))
            return
        try:
            handed = ClientMessage(**message.fields)
        except TypeError as error:
            LOG.error("journal: message %s cannot be read: %s", message.id, error)
            handed = None
        if handed is None or not self.knows_class(handed.cls):  # another version's or another site's
            self._journal.record_end(message.id, "dead", 0)
            self._notices.send(Notice(message.id, "dead"))
            return
        attempts = 1 + max((a.number for a in message.attempts), default=-1)
        self._hold(handed, message.body, attempts)
        if known:
            return
        former: dict[str, Any] = {"attempts": attempts}
        if risky := [a for a in message.attempts if not a.never_ran]:
            first = min(risky, key=lambda attempt: attempt.started_at_us)
            former |= {"risky_age_us": max(0, now_us - first.started_at_us), "risky_zone": first.zone}
        self._pending_events.append(self._arrival_event(handed, now_us, **former))

    def _listed(self, news: DirectoryUpdate, kind: api.EndpointUpdateKind | None = None) -> None:
        """News of the list binds calls at once and the module with its next step."""
        self._hosts.apply_update(news)
        kind = kind or (api.EndpointUpdateKind.WHOLE if news.whole else api.EndpointUpdateKind.CHANGES)
        self._post_event(api.EndpointUpdate(kind, tuple(listed.entry for listed in news.endpoints)))

    async def _apply_list_in_pieces(self, news: DirectoryUpdate) -> None:
        """Long news as bounded changes, each one in force before the next, while all else goes on.

        What drains or is gone comes first, as it binds. Should it be cut off in between, what is in force is
        a part of the news, and the version that is watched from is still the old one.
        """
        changes = ordered_changes(news, self._hosts.endpoints)
        for number, piece in enumerate(split_changes(changes, ENDPOINTS_PER_PIECE)):
            self._hosts.apply_update(DirectoryUpdate(news.version, False, piece))
            entries = tuple(listed.entry for listed in piece)
            self._post_event(
                api.EndpointUpdate(api.EndpointUpdateKind.CHANGES, entries, continued=number > 0)
            )
            await self._wait_for_step()
        LOG.info("discovery: version %d is in force, %d changes", news.version, len(changes))

    async def _wait_for_step(self) -> None:
        """Wait until the module has taken what is before it."""
        stepped = self._loop.create_future()
        self._step_waiters.append(stepped)
        await stepped

    def _list_failed(self) -> None:
        self._post_event(api.EndpointUpdate(api.EndpointUpdateKind.FAILED))

    def _notice_confirmed(self, ref: str) -> None:
        self._journal.record_over(ref)

    def _attempt_settled(self, call: Call, part: Part, told: PartOutcome) -> None:
        """An attempt is over: journal what it proves, then tell the module."""
        complete = told.complete
        if complete:
            self._finish_message(part.id, delivered=told.verdict is api.Verdict.OK)
        elif told.verdict.never_ran:
            self._journal.record_never_ran(part.id, part.attempt)
        elapsed_us = int((time.monotonic() - call.sent_at_s) * 1e6)
        if told.verdict is not api.Verdict.OK:
            LOG.info(
                "attempt: %s #%d at %s with %d more, connection %s: %s after %d ms, wait %d ms, told %s",
                part.id, part.attempt, call.host, len(call.parts) - 1, call.connection_description,
                told.verdict.value, elapsed_us // 1000, told.wait_us // 1000, told.load_report or "nothing",
            )  # fmt: skip
        self._post_event(
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
            self._post_event(api.Withdrawn(part.id))

    def _finish_message(self, ref: str, delivered: bool) -> None:
        """Nothing more is owed: it was delivered, or its endpoint says that it is over."""
        if (held := self._held.get(ref)) is None:
            return
        late_us = self.clock() - held.message.deadline_us
        if delivered and late_us > -DELIVERY_TRANSIT_MARGIN_US:
            # Its time counts from when its client sent it, and a delivery after it ends nothing. Where it did
            # count, the notice does no harm.
            LOG.info("attempt: %s was over %d ms after its time", ref, late_us // 1000)
            self._end_with_notice(Notice(ref, "dead"))
            return
        self._release(ref)
        self._result_counts[held.message.cls, SERVED] += delivered
        self._journal.record_over(ref)
        self._remember_finished(ref)

    def _remember_finished(self, ref: str) -> None:
        self._finished_ids[ref] = None
        while len(self._finished_ids) > MAX_FINISHED_IDS:
            self._finished_ids.popitem(last=False)

    def _post_event(self, event: api.Event) -> None:
        """Put an event before the module at its next step, one round after the last at the earliest."""
        self._pending_events.append(event)
        if self._step_timer is None:
            self._step_timer = self._loop.call_at(max(self._loop.time(), self._next_step_s), self._step)

    def _step(self) -> None:
        """One batch through the module; an error here is no single message's and ends the process."""
        if self._step_timer is not None:
            self._step_timer.cancel()
        self._step_timer, self._next_step_s = None, self._loop.time() + self._settings.round_us / 1e6
        events, self._pending_events = self._pending_events, []
        try:
            begun_ns = time.perf_counter_ns()
            self._last_step_us = self.clock()
            actions = self._module.step(self._last_step_us, events)
            self.module_us += (time.perf_counter_ns() - begun_ns) // 1000
            self._execute_actions(actions)
            self._wake_step_waiters()
        except Exception as error:
            LOG.critical("the step loop broke", exc_info=True)
            self._on_crash(error)

    def _wake_step_waiters(self) -> None:
        """Let go on who waited for a step."""
        awaited, self._step_waiters = self._step_waiters, []
        for stepped in awaited:
            if not stepped.done():  # else whoever waited was cancelled
                stepped.set_result(None)

    def _execute_actions(self, actions: list[api.Action]) -> None:
        sends: dict[str, list[api.Send]] = {}
        for action in actions:
            match action:
                case api.Send():
                    sends.setdefault(action.host, []).append(action)
                case api.Refuse():
                    self._end_with_notice(Notice(action.id, "bounced", action.retry_after_us // 1000))
                case api.Fail():
                    self._end_with_notice(Notice(action.id, "dead"))
                case api.CloseIdle():
                    self._hosts.close_idle(action.host)
                case api.Cancel():
                    self._hosts.cancel(action.id, action.attempt)
                case api.Subscribe():
                    self._watch.subscribe()
                case api.Wake():
                    self._loop.call_later(action.delay_us / 1e6, self._post_event, api.TimerDue())
                case api.Log():
                    LOG.info("%s", action.line)
                case api.Probe():
                    LOG.error("a probe was asked for; endpoints are not probed")
        for host, batch in sends.items():
            self._send_batch(host, batch)

    def _end_with_notice(self, notice: Notice) -> None:
        """The module's final answer goes out at once, and again until it is confirmed."""
        if (held := self._release(notice.ref)) is None:
            return
        handed = held.message
        LOG.info(
            "ended: %s %s of %s for %d: %s with %d ms left, %d attempts",
            notice.ref, handed.cls, handed.tenant, handed.dest, notice.result,
            (handed.deadline_us - self.clock()) // 1000, held.attempts,
        )  # fmt: skip
        self._result_counts[handed.cls, REFUSED if notice.result == "bounced" else FAILED] += 1
        self._journal.record_end(notice.ref, notice.result, notice.wait_ms)
        self._remember_finished(notice.ref)
        self._notices.send(notice)

    def _send_batch(self, host: str, batch: list[api.Send]) -> None:
        """Sends of one step to one host share calls up to the kind's bound, journaled before any byte."""
        rest = iter(batch)
        while chunk := list(islice(rest, self._hosts.max_batch(host))):
            self._postponed_sends += [send for send in chunk if not self._can_finish_before_shutdown(send)]
            chunk = [
                send for send in chunk if send.id in self._held and self._can_finish_before_shutdown(send)
            ]
            parts, tries, now_us = [], [], self.clock()
            for send in chunk:
                parts.append(part := self._build_part(send, now_us))
                tries.append((send.id, Attempt(part.attempt, host, self._hosts.zone_of(host), now_us)))
            if not parts:
                continue
            call = Call(host, parts, time.monotonic())
            if any(part.attempt for part in parts):
                LOG.info("attempt: %s at %s begins", call.attempts_text, host)
            try:
                self._journal.record_attempts(tries)
            except JournalFullError as error:
                LOG.error("a call was not made: %s", error)
                for part in parts:
                    self._attempt_settled(call, part, PartOutcome(api.Verdict.NOT_SENT))
                continue
            self._hosts.send(call)

    def _build_part(self, send: api.Send, now_us: int) -> Part:
        """The message's next attempt."""
        held = self._held[send.id]
        number, held.attempts = held.attempts, held.attempts + 1
        left_us = held.message.deadline_us - now_us
        part = Part(send.id, number, held.message.key, held.body, send.timeout_us, left_us)
        if send.latest_begin_us:
            part.send_by_s = (self._last_step_us - self.clock.offset_us + send.latest_begin_us) / 1e6
        return part

    def _can_finish_before_shutdown(self, send: api.Send) -> bool:
        """Whether the process lasts as long as the call may; else the journal keeps it for the next life."""
        return (
            self._shutdown_deadline_s is None
            or self._loop.time() + send.timeout_us / 1e6 <= self._shutdown_deadline_s
        )
