"""The relay's step loop: passes events to ``DecisionEngine.step`` and executes the actions that it returns.

The driver owns the messages that have no final result yet. It leaves every decision that the decision module
can make to that module, with two exceptions: it refuses a message that it cannot store, and during a shutdown
it starts no call that could outlast the process.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterator, Set
from dataclasses import dataclass
from itertools import islice
from typing import Any

from decisions import DecisionEngine
from decisions import interface as api
from decisions.outages import OutageEvent
from relay.calls import Call, Part, PartOutcome
from relay.config import Config
from relay.discovery import ENDPOINTS_PER_PIECE, Notice, NoticeSender, Watch, line_limit_for_memory
from relay.endpoint_calls import EndpointCalls
from relay.endpoint_list import DirectoryUpdate, ordered_changes, split_changes
from relay.finished_ids import FinishedIds
from relay.handover_state import AnyVersionState, PortableState, SameLayoutState
from relay.http import Address
from relay.journal import Attempt, Journal, JournalFullError, RecoveredMessage
from relay.reasons import RefusalReason

LOG = logging.getLogger(__name__)
STATUS_LOG_INTERVAL_S = 5.0  # s between log lines on connections
# Share of the process's memory limit that bodies of held messages may take; the journal stores each a second
# time.
HELD_BODIES_MEMORY_SHARE = 0.125
# us: the deadline counts from when the client sent the message, so by the client's count it passes up to this
# much before the relay's.
DELIVERY_TRANSIT_MARGIN_US = 50_000


class Clock:
    """Wall-clock time that never jumps during one life of the relay; journaled deadlines and attempts use it.

    It is the monotonic clock plus an offset, which is fixed at the start or taken over from another process.
    """

    def __init__(self, offset_us: int | None = None) -> None:
        current_us = (time.time_ns() - time.monotonic_ns()) // 1000
        self.offset_us = current_us if offset_us is None else offset_us

    def __call__(self) -> int:
        """Microseconds since the epoch."""
        return time.monotonic_ns() // 1000 + self.offset_us


@dataclass(frozen=True, slots=True)
class ClientMessage:
    """A message as a client sends it; ``deadline_us`` is wall-clock time in us since the epoch.

    The field names are the keys of a journal record: all versions read them.
    """

    id: str
    dest: int
    cls: str
    deadline_us: int
    tenant: str = ""
    order: str = ""
    key: str = ""

    @property
    def fields(self) -> dict[str, str | int]:
        """The fields by name, for the journal; ``asdict`` makes deep copies and takes ten times as long."""
        return {name: getattr(self, name) for name in self.__slots__}


@dataclass(slots=True)
class HeldMessage:
    """A message without a final result, and how many attempts it had."""

    message: ClientMessage
    body: bytes
    attempts: int = 0


SERVED, REFUSED, FAILED = MESSAGE_RESULTS = ("served", "refused", "failed")


@dataclass(frozen=True, slots=True)
class MessageCounts:
    """Counts since the start of a process."""

    ended: Counter[tuple[str, str]]  # finished messages by class and result
    attempts: int  # messages completely written to endpoints

    def __add__(self, other: MessageCounts) -> MessageCounts:
        return MessageCounts(self.ended + other.ended, self.attempts + other.attempts)


@dataclass(frozen=True, slots=True)
class OperatorStats:
    """The current figures for operators."""

    classes: tuple[str, ...]
    counts: MessageCounts
    in_flight: int
    endpoints_known: int
    endpoints_excluded: int


class Driver:
    """One relay's step loop between the sockets and the decision module."""

    def __init__(self, config: Config, journal: Journal, on_crash: Callable[[BaseException], None]) -> None:
        self._settings = config.settings
        self._journal = journal
        self._on_crash = on_crash  # called when an error ends the step loop
        self._loop = asyncio.get_running_loop()
        self.clock = Clock()
        self._module = DecisionEngine(config.settings, config.seed)
        self._endpoint_calls = EndpointCalls(
            config.settings.kinds,
            config.settings.keepalive_us,
            config.connect_timeout_us,
            config.max_sockets // 4,
            self._attempt_settled,
        )
        self._watch = Watch(
            config.discovery,
            config.initial_hosts.version,
            on_update=self._apply_list,
            on_long_update=self._apply_list_in_pieces,
            on_end=self._list_failed,
            max_line_bytes=line_limit_for_memory(config.memory_bytes),
        )
        self._notices = NoticeSender(config.discovery, self._notice_confirmed, self._discovery_failed)
        # Called when a watch ends or a post of notices fails.
        self.on_discovery_failed: Callable[[], None] = lambda: None
        self._held: dict[str, HeldMessage] = {}  # by id: messages without a final result
        self._held_body_bytes = 0
        self._max_held_body_bytes = int(config.memory_bytes * HELD_BODIES_MEMORY_SHARE)
        self._finished_ids = FinishedIds()
        self._result_counts: Counter[tuple[str, str]] = Counter()  # finished messages by class, result
        self.refusal_counts: Counter[RefusalReason] = Counter()  # messages that were never accepted
        self._pending_events: list[api.Event] = []
        self._step_timer: asyncio.TimerHandle | None = None
        self._step_waiters: list[asyncio.Future[None]] = []  # set at the end of the next step
        self._status_timer: asyncio.TimerHandle | None = None  # for the next status log line
        self._next_step_s = 0.0  # loop time before which no step runs
        self._last_step_us = 0  # clock time of the last step: times in its actions count from then
        # Loop time by which the last call must have ended; None unless the relay is shutting down.
        self._shutdown_deadline_s: float | None = None
        self._postponed_sends: list[api.Send] = []  # calls not made because of that deadline
        self._class_names = {cls.name for cls in config.settings.classes}
        self._configured_hosts = config.initial_hosts
        self.module_us = 0  # us spent in the decision module's steps

    def start(self, former: PortableState | None = None) -> None:
        """Resume the journal's unfinished messages and follow the list; called before clients are served.

        ``former`` is of a process of another layout that was the relay until now.
        """
        endpoints = self._configured_hosts
        if former is not None:
            self.clock = Clock(former.clock_offset_us)
            if former.endpoints.version >= endpoints.version:
                endpoints = former.endpoints
        self._watch.version = endpoints.version
        self._notices.start()
        self._apply_list(endpoints, api.EndpointUpdateKind.CACHED)
        self._resume_from_journal()

    def _resume_from_journal(self, known: Set[str] = frozenset()) -> None:
        """Restore the journal's bans and messages, then run the first step.

        ``known`` holds the ids of messages that the decision module has already.
        """
        for host in self._journal.banned_hosts:
            self._apply_ban(host, True)
        self._finished_ids.restore(self._journal.finished_ids)
        now_us = self.clock()
        for message in self._journal.recovered.values():
            self._resume_message(message, now_us, message.id in known)
        if count := len(self._journal.recovered):
            LOG.info("journal: %d unfinished messages resumed", count)
        self._journal.recovered.clear()
        self._post_event(api.TimerDue())
        self._step()
        self._log_status()

    def export_state(self, room: int) -> tuple[AnyVersionState, SameLayoutState, list[int]]:
        """State for the next process, and the descriptors of calls and of at most ``room`` connections.

        It refers to this driver's own objects, so it is valid only until the next event is handled.
        """
        calls, fds = self._endpoint_calls.hand_over(room)
        same_layout = SameLayoutState(
            self.clock.offset_us, self._module, self._pending_events, self._watch.version, calls
        )
        return (
            AnyVersionState(
                self._finished_ids.export(),
                self._endpoint_calls.active_waits,
                list(self._endpoint_calls.remembered_hosts),
            ),
            same_layout,
            fds,
        )

    def export_portable_state(self) -> PortableState:
        """State for a process of another layout, beside that for any version."""
        endpoints = tuple(self._endpoint_calls.endpoints.values())
        return PortableState(
            self.clock.offset_us, DirectoryUpdate(self._watch.version, whole=True, endpoints=endpoints)
        )

    def import_any_version_state(self, imported: AnyVersionState) -> None:
        """Take over the state of a process of any version; called before the start."""
        self._finished_ids.restore(imported.over)
        self._endpoint_calls.restore_waits(imported.waits)
        self._endpoint_calls.remembered_hosts.update(dict.fromkeys(imported.ever))

    def start_from(self, former: SameLayoutState, sockets: Iterator[socket.socket]) -> None:
        """Start with the state of a process of the same layout instead of a new decision module."""
        self.clock = Clock(former.clock_offset_us)
        self._module = former.module
        self._module.resume()
        self._pending_events = former.pending_events
        self._notices.start()
        known = {event.id for event in self._pending_events if isinstance(event, api.Arrival)}
        self._endpoint_calls.take_over(former.calls, sockets)
        self._resume_from_journal(known | self._module.messages.keys())
        self._watch.resume(former.list_version)

    def _log_status(self) -> None:
        """Log held messages, calls and what became of connections to endpoints so far."""
        counts = ", ".join(
            f"{count} {name}" for name, count in sorted(self._endpoint_calls.connection_counts.items())
        )
        calls_out = len(self._endpoint_calls.calls)
        LOG.info("holds %d messages, %d calls out; connections: %s", len(self._held), calls_out, counts)
        self._status_timer = self._loop.call_later(STATUS_LOG_INTERVAL_S, self._log_status)

    def set_shutdown_deadline(self, deadline_s: float | None) -> None:
        """Start only calls that end by this loop time; other messages stay in the journal.

        None cancels the shutdown: postponed calls are reported to the module as not sent.
        """
        self._shutdown_deadline_s = deadline_s
        if deadline_s is None:  # the module counts the postponed calls as out
            postponed, self._postponed_sends = self._postponed_sends, []
            for send in postponed:
                if send.id in self._held:
                    call = Call(send.host, [self._build_part(send, self.clock())], time.monotonic())
                    self._attempt_settled(call, call.parts[0], PartOutcome(api.Verdict.NOT_SENT))

    def move_discovery(self, discovery: Address) -> None:
        """Watch the endpoint list at a new discovery address, and post notices there."""
        self._watch.move_to(discovery)
        self._notices.move_to(discovery)

    def close(self) -> None:
        """Cancel the timers and close every connection; messages stay in the journal."""
        for timer in (self._step_timer, self._status_timer):
            if timer is not None:
                timer.cancel()
        self._watch.close()
        self._notices.close()
        self._endpoint_calls.close()

    def set_banned(self, host: str, banned: bool) -> bool:
        """Ban an endpoint or lift its ban, also for later lives; False where no list ever named the host.

        Raises ``JournalFullError`` where the ban cannot be stored; nothing has changed then.
        """
        if not self._endpoint_calls.is_known(host) and host not in self._journal.banned_hosts:
            return False
        self._journal.set_banned(host, banned)
        self._apply_ban(host, banned)
        return True

    def _apply_ban(self, host: str, banned: bool) -> None:
        LOG.info("operators: %s is %s", host, "left out" if banned else "in use")
        self._endpoint_calls.set_banned(host, banned)
        self._post_event(api.Ban(host, banned))

    @property
    def stats(self) -> OperatorStats:
        """The current figures for operators."""
        return OperatorStats(
            tuple(cls.name for cls in self._settings.classes),
            MessageCounts(self._result_counts, self._endpoint_calls.written_messages),
            len(self._held),
            self._module.listed_count,
            self._module.excluded_count,
        )

    @property
    def call_counts(self) -> dict[str, int]:
        """Calls out as the network side and the decision module count them; equal after the next step."""
        return {"network": len(self._endpoint_calls.calls), "module": self._module.calls_out}

    @property
    def outage_counts(self) -> dict[str, int]:
        """How often destinations entered and left outages, as the decision module saw it."""
        return {str(event): self._module.outage_counts[event] for event in OutageEvent}

    @property
    def descriptor_counts(self) -> dict[str, int]:
        """Open descriptors by purpose; a connection that is being established is not counted yet."""
        return {
            "endpoints_idle": self._endpoint_calls.idle_count,
            "endpoints_busy": self._endpoint_calls.busy_count,
            "discovery": self._watch.open_connections + self._notices.open_connections,
        }

    def count_refusal(self, cls: str, reason: RefusalReason) -> None:
        """Count a message that was refused before it was accepted."""
        self._result_counts[cls, REFUSED] += 1
        self.refusal_counts[reason] += 1

    @property
    def idle(self) -> bool:
        """Whether no call is out, no notice is unconfirmed and no event waits for a step."""
        return not self._endpoint_calls.calls and not self._notices.unconfirmed and not self._pending_events

    @property
    def busy_retry_ms(self) -> int:
        """Milliseconds after which a refused client is to try again."""
        return self._settings.max_retry_after_us // 1000

    def knows_class(self, name: str) -> bool:
        """Whether the settings define the class; the decision module silently drops any other."""
        return name in self._class_names

    def accept(self, message: ClientMessage, body: bytes) -> RefusalReason | None:
        """Journal and accept a message; where there is no room, store nothing and return the reason.

        A known id is a request that the client repeated on a new connection: it was accepted already.
        """
        if message.id in self._held or message.id in self._finished_ids:
            return None
        if len(self._held) >= self._settings.hold_cap:
            return RefusalReason.HELD_MESSAGES
        if self._held_body_bytes + len(body) > self._max_held_body_bytes:
            LOG.warning("a message was refused: held bodies come to %d bytes", self._held_body_bytes)
            return RefusalReason.HELD_BODIES
        try:
            self._journal.accept(message.id, message.fields, body)
        except JournalFullError as error:
            LOG.warning("a message was refused: %s", error)
            return RefusalReason.JOURNAL
        self._hold(message, body)
        self._post_event(self._arrival_event(message, self.clock()))
        return None

    def _hold(self, message: ClientMessage, body: bytes, attempts: int = 0) -> None:
        self._held[message.id] = HeldMessage(message, body, attempts)
        self._held_body_bytes += len(body)

    def _release(self, ref: str) -> HeldMessage | None:
        """Remove a message that is finished and return it; None where none of this id is held."""
        if (held := self._held.pop(ref, None)) is not None:
            self._held_body_bytes -= len(held.body)
        return held

    def _arrival_event(self, message: ClientMessage, now_us: int, **former: Any) -> api.Arrival:
        time_left_us = message.deadline_us - now_us
        return api.Arrival(
            message.id, message.dest, message.cls, time_left_us, message.tenant, message.order, **former
        )

    def _resume_message(self, recovered: RecoveredMessage, now_us: int, known: bool) -> None:
        """Pass a message of the last life to the decision module, or send its notice again.

        An attempt without proof that it never ran may have run, also one that was out when that life ended.
        ``known``: the module has the message already.
        """
        if recovered.notice is not None:
            self._finished_ids.add(recovered.id, was_sent=bool(recovered.attempts))
            self._notices.send(Notice(recovered.id, *recovered.notice))
            return
        try:
            message = ClientMessage(**recovered.fields)
        except TypeError as error:
            LOG.error("journal: the fields of message %s do not fit this version: %s", recovered.id, error)
            message = None
        if message is None or not self.knows_class(message.cls):  # written by another version or site
            self._journal.record_end(recovered.id, "dead", 0)
            self._notices.send(Notice(recovered.id, "dead"))
            return
        attempts = 1 + max((a.number for a in recovered.attempts), default=-1)
        self._hold(message, recovered.body, attempts)
        if known:
            return
        former: dict[str, Any] = {"attempts": attempts, "restored": True}
        if uncertain := [a for a in recovered.attempts if not a.never_ran]:
            first = min(uncertain, key=lambda attempt: attempt.started_at_us)
            former |= {"uncertain_age_us": max(0, now_us - first.started_at_us), "uncertain_zone": first.zone}
        self._pending_events.append(self._arrival_event(message, now_us, **former))

    def _apply_list(self, update: DirectoryUpdate, kind: api.EndpointUpdateKind | None = None) -> None:
        """Apply an update of the endpoint list to calls at once, and to the module with its next step."""
        self._endpoint_calls.apply_update(update)
        kind = kind or (api.EndpointUpdateKind.WHOLE if update.whole else api.EndpointUpdateKind.CHANGES)
        self._post_event(api.EndpointUpdate(kind, tuple(listed.entry for listed in update.endpoints)))

    async def _apply_list_in_pieces(self, update: DirectoryUpdate) -> None:
        """Apply a long update in pieces of bounded size, one a step, while other work goes on in between.

        Endpoints that drain or are gone come first, because they restrict calls. If it is interrupted, a part
        of the update is in force, and the version from which the list is watched is still the old one.
        """
        changes = ordered_changes(update, self._endpoint_calls.endpoints)
        for number, piece in enumerate(split_changes(changes, ENDPOINTS_PER_PIECE)):
            self._endpoint_calls.apply_update(DirectoryUpdate(update.version, False, piece))
            entries = tuple(listed.entry for listed in piece)
            self._post_event(
                api.EndpointUpdate(api.EndpointUpdateKind.CHANGES, entries, continued=number > 0)
            )
            await self._wait_for_step()
        LOG.info("discovery: version %d is in force, %d changes", update.version, len(changes))

    async def _wait_for_step(self) -> None:
        """Wait until the decision module has processed all pending events."""
        waiter = self._loop.create_future()
        self._step_waiters.append(waiter)
        await waiter

    def _list_failed(self) -> None:
        self._post_event(api.EndpointUpdate(api.EndpointUpdateKind.FAILED))
        self._discovery_failed()

    def _discovery_failed(self) -> None:
        self.on_discovery_failed()

    def _notice_confirmed(self, ref: str) -> None:
        self._journal.record_over(ref)

    def _attempt_settled(self, call: Call, part: Part, outcome: PartOutcome) -> None:
        """Journal what the outcome of an attempt proves, then report it to the decision module."""
        complete = outcome.complete
        if complete:
            self._finish_message(part.id, delivered=outcome.verdict is api.Verdict.OK)
        elif outcome.verdict.never_ran:
            self._journal.record_never_ran(part.id, part.attempt)
        elapsed_us = int((time.monotonic() - call.sent_at_s) * 1e6)
        if outcome.verdict is not api.Verdict.OK:
            LOG.info(
                "attempt: %s #%d at %s with %d more, connection %s: %s after %d ms, wait %d ms, told %s",
                part.id, part.attempt, call.host, len(call.parts) - 1, call.connection_description,
                outcome.verdict.value, elapsed_us // 1000, outcome.wait_us // 1000,
                outcome.load_report or "nothing",
            )  # fmt: skip
        self._post_event(
            api.Outcome(
                part.id,
                part.attempt,
                call.host,
                outcome.verdict,
                elapsed_us,
                complete,
                outcome.wait_us,
                outcome.load_report.get("x0"),
                outcome.load_report.get("x1"),
                outcome.connection_limit_reached,
            )
        )
        if complete:  # also where the part's own time ran out earlier: the module must not repeat it
            self._post_event(api.Withdrawn(part.id))

    def _finish_message(self, ref: str, delivered: bool) -> None:
        """Finish a message that was delivered, or that its endpoint declares over."""
        if (held := self._held.get(ref)) is None:
            return
        late_us = self.clock() - held.message.deadline_us
        if delivered and late_us > -DELIVERY_TRANSIT_MARGIN_US:
            # The deadline counts from when the client sent the message, and a later delivery does not count
            # as the message's end. Where it did count, the notice does no harm.
            LOG.info("attempt: %s was over %d ms after its time", ref, late_us // 1000)
            self._end_with_notice(Notice(ref, "dead"))
            return
        self._release(ref)
        self._result_counts[held.message.cls, SERVED] += delivered
        self._journal.record_over(ref)
        self._finished_ids.add(ref, was_sent=True)

    def _post_event(self, event: api.Event) -> None:
        """Queue an event for the next step, which runs one round after the last step at the earliest."""
        self._pending_events.append(event)
        if self._step_timer is None:
            self._step_timer = self._loop.call_at(max(self._loop.time(), self._next_step_s), self._step)

    def _step(self) -> None:
        """Pass the pending events to the decision module and execute its actions.

        An error here cannot be attributed to a single message, so it ends the process.
        """
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
            LOG.critical("an error in the step loop ends the process", exc_info=True)
            self._on_crash(error)

    def _wake_step_waiters(self) -> None:
        """Resume the tasks that wait for the end of a step."""
        waiters, self._step_waiters = self._step_waiters, []
        for waiter in waiters:
            if not waiter.done():  # a cancelled task leaves a future that is done
                waiter.set_result(None)

    def _execute_actions(self, actions: list[api.Action]) -> None:
        """Execute a step's actions; the sends of a step are grouped by host."""
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
                    self._endpoint_calls.close_idle(action.host)
                case api.Cancel():
                    self._endpoint_calls.cancel(action.id, action.attempt)
                case api.Subscribe():
                    self._watch.subscribe()
                case api.Wake():
                    self._loop.call_later(action.delay_us / 1e6, self._post_event, api.TimerDue())
                case api.Log():
                    LOG.info("%s", action.line)
                case api.Probe():
                    LOG.error(
                        "the decision module asked to probe an endpoint, which the relay does not support"
                    )
        for host, batch in sends.items():
            self._send_batch(host, batch)

    def _end_with_notice(self, notice: Notice) -> None:
        """Finish a message without a delivery; its notice is posted at once and until it is confirmed."""
        if (held := self._release(notice.ref)) is None:
            return
        message = held.message
        LOG.info(
            "ended: %s %s of %s for %d: %s with %d ms left, %d attempts",
            notice.ref, message.cls, message.tenant, message.dest, notice.result,
            (message.deadline_us - self.clock()) // 1000, held.attempts,
        )  # fmt: skip
        self._result_counts[message.cls, REFUSED if notice.result == "bounced" else FAILED] += 1
        self._journal.record_end(notice.ref, notice.result, notice.wait_ms)
        self._finished_ids.add(notice.ref, was_sent=held.attempts > 0)
        self._notices.send(notice)

    def _send_batch(self, host: str, batch: list[api.Send]) -> None:
        """Group one step's sends to a host into calls of at most the kind's batch size, and start them.

        Attempts are journaled before the first byte is written.
        """
        remaining = iter(batch)
        while chunk := list(islice(remaining, self._endpoint_calls.max_batch(host))):
            self._postponed_sends += [send for send in chunk if not self._can_finish_before_shutdown(send)]
            chunk = [
                send for send in chunk if send.id in self._held and self._can_finish_before_shutdown(send)
            ]
            parts, attempts, now_us = [], [], self.clock()
            for send in chunk:
                parts.append(part := self._build_part(send, now_us))
                attempts.append(
                    (send.id, Attempt(part.attempt, host, self._endpoint_calls.zone_of(host), now_us))
                )
            if not parts:
                continue
            call = Call(host, parts, time.monotonic())
            if any(part.attempt for part in parts):
                LOG.info("attempt: %s at %s begins", call.attempts_text, host)
            try:
                self._journal.record_attempts(attempts)
            except JournalFullError as error:
                LOG.error("a call was not made, its attempts could not be journaled: %s", error)
                for part in parts:
                    self._attempt_settled(call, part, PartOutcome(api.Verdict.NOT_SENT))
                continue
            self._endpoint_calls.send(call)

    def _build_part(self, send: api.Send, now_us: int) -> Part:
        """Build the message's next attempt and count it."""
        held = self._held[send.id]
        number, held.attempts = held.attempts, held.attempts + 1
        time_left_us = held.message.deadline_us - now_us
        part = Part(send.id, number, held.message.key, held.body, send.timeout_us, time_left_us)
        if send.latest_begin_us:
            part.send_by_s = (self._last_step_us - self.clock.offset_us + send.latest_begin_us) / 1e6
        return part

    def _can_finish_before_shutdown(self, send: api.Send) -> bool:
        """Whether the call ends before the process does; if not, the journal keeps it for the next life."""
        return (
            self._shutdown_deadline_s is None
            or self._loop.time() + send.timeout_us / 1e6 <= self._shutdown_deadline_s
        )
