"""A quorum member without I/O: Raft, the replicated state, and the leader's timers and wait queues."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from quorum import state_machine
from quorum.lease_timers import LeaseTimers, affected_leases
from quorum.messages import (
    COMMAND,
    MEMBERS,
    Action,
    Committed,
    Dropped,
    Message,
    Persist,
    ReadReady,
    RecoveredState,
    Send,
    SnapshotInstalled,
)
from quorum.raft import DrawInteger, Raft, Role, Timing
from quorum.state_machine import Acquire, Answer, Command, Done, Held, Put, Refused, Shun, StateMachine
from quorum.wait_queue import WaitQueue

MAX_LOG_ENTRIES = 4096  # a longer log is compacted
MAX_WAITERS = 4096  # requests waiting for a lease
MAX_WATCHERS = 4096  # requests waiting for a change
MAX_WAIT_MS = 600_000  # limit of a request's ``wait_ms``


class Read(msgspec.Struct, frozen=True, tag="read"):
    """Read the state of a lease and of a record, no older than the arrival of the request (linearizable)."""

    lease: str = ""
    key: str = ""


class Wait(msgspec.Struct, frozen=True, tag="wait"):
    """``Acquire`` that queues for up to ``wait_ms`` while another session holds the lease."""

    acquire: Acquire
    wait_ms: int


class Watch(msgspec.Struct, frozen=True, tag="watch"):
    """``Read`` of one lease or one record, answered once it differs from the given state or on timeout."""

    lease: str = ""
    key: str = ""
    token: int = 0  # the lease's token as the client last saw it; 0: nobody held it
    version: int = 0  # the record's version as the client last saw it; 0: it did not exist
    wait_ms: int = 0


class Told(msgspec.Struct, frozen=True, tag="told"):
    """The answer to ``Read`` and ``Watch``; version 0 means no such record, token 0 no such lease."""

    owner: str = ""
    token: int = 0
    left_ms: int = 0
    version: int = 0
    value: bytes = b""


class Elsewhere(msgspec.Struct, frozen=True, tag="elsewhere"):
    """This member does not lead and did nothing; ``leader`` is empty if it is not known."""

    leader: str


class Unknown(msgspec.Struct, frozen=True, tag="unknown"):
    """The request may or may not take effect; repeat it with the same session and sequence number."""


class NoRoom(msgspec.Struct, frozen=True, tag="no-room"):
    """This attempt was not accepted; an earlier attempt of the same request may have been."""

    why: str


Request = state_machine.ClientCommand | Read | Wait | Watch
Response = Answer | Told | Elsewhere | Unknown | NoRoom
DISKS_FULL = "the disks of the quorum are full"


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a request."""

    tag: int
    response: Response


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """A committed change of the membership."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FoldersShunned:
    """Folders whose messages are to be rejected from now on, as committed in the log."""

    folders: tuple[str, ...]


Output = Send | Persist | Reply | MembersChanged | FoldersShunned


def ignore_applied(_action: Committed, _machine: StateMachine) -> None:
    """The default ``watch`` callback of ``Member``."""


def validation_error(request: Request) -> str:
    """Describe what makes a request invalid in any state; empty if it is valid."""
    if isinstance(request, Wait | Watch) and not 0 <= request.wait_ms <= MAX_WAIT_MS:
        return f"wait_ms is from 0 to {MAX_WAIT_MS}"
    if isinstance(request, Watch):
        return "" if bool(request.lease) != bool(request.key) else "a watch is for a lease or for a record"
    if isinstance(request, Read):
        return ""
    return state_machine.validation_error(request.acquire if isinstance(request, Wait) else request)


def affected_watches(command: Command, watching: list[str]) -> list[str]:
    """Return the watch keys (see ``watch_key``) of everything that a command may have changed."""
    if isinstance(command, Put):
        return [f"record {command.key}"]
    return (
        affected_leases(command, watching)
        if isinstance(command, state_machine.Close)
        else [f"lease {name}" for name in affected_leases(command, ())]
    )


def watch_key(request: Watch) -> str:
    """Return the key under which a watch waits: its lease or its record."""
    return f"lease {request.lease}" if request.lease else f"record {request.key}"


class Member:
    """One member of a quorum. Each public step returns the outputs that the caller has to carry out."""

    def __init__(
        self,
        name: str,
        members: tuple[str, ...],
        *,
        saved: RecoveredState,
        timing: Timing,
        draw: DrawInteger,
        now_us: int,
        raft: type[Raft] = Raft,
        state: type[StateMachine] = StateMachine,
        clocks: type[LeaseTimers] = LeaseTimers,
        watch: Callable[[Committed, StateMachine], None] = ignore_applied,
    ) -> None:
        """Restore a member from ``saved``; ``watch`` is called with each entry after it is applied."""
        self._on_applied = watch
        self.raft = raft(name, members, saved=saved, timing=timing, draw=draw, now_us=now_us)
        self.machine = state(saved.snapshot.data)
        self.applied = self.raft.commit
        self._now_us = now_us
        self._lease_timers = clocks()
        self._leader_ready = False  # leading, with all entries of earlier terms applied
        self.waiting: WaitQueue[Wait] = WaitQueue(MAX_WAITERS)
        self.watching: WaitQueue[Watch] = WaitQueue(MAX_WATCHERS)
        self._requests: dict[int, Request] = {}  # by tag
        self._last_internal_tag = 0  # the leader's own proposals count down, so their tags are negative
        self._proposals: list[tuple[int, bytes]] = []  # (tag, command) collected in this step
        self._pending_reads: list[int] = []  # tags collected in this step
        self._granting: set[str] = set()  # leases with an uncommitted ``Acquire`` on behalf of a waiter
        self._outputs: list[Output] = []

    # Steps

    @property
    def due_us(self) -> int:
        """The time at which ``wake`` is to be called."""
        times = (self.raft.due_us, self._lease_timers.due_us, self.waiting.due_us, self.watching.due_us)
        return min(time for time in times if time is not None)

    def wake(self, now_us: int) -> list[Output]:
        """Handle whatever is due: Raft's timeouts, ended leases, and requests that waited too long."""
        self._now_us = now_us
        self._process_actions(self.raft.wake(now_us))
        if commands := self._lease_timers.pop_due(now_us):
            self._propose_own(commands)
        self._answer_timed_out()
        return self._take_outputs()

    def receive(self, now_us: int, sender: str, message: Message) -> list[Output]:
        """Handle a message from another member."""
        self._now_us = now_us
        self._process_actions(self.raft.receive(now_us, sender, message))
        return self._take_outputs()

    def synced(self, now_us: int, number: int) -> list[Output]:
        """Handle the report that all writes up to ``number`` are durable."""
        self._now_us = now_us
        self._process_actions(self.raft.synced(now_us, number))
        return self._take_outputs()

    def request(self, now_us: int, tag: int, request: Request) -> list[Output]:
        """Handle a client's request, which gets exactly one ``Reply``, now or in a later step."""
        return self.request_all(now_us, [(tag, request)])

    def request_all(self, now_us: int, requests: list[tuple[int, Request]]) -> list[Output]:
        """Handle several requests with one write and one message to each other member."""
        self._now_us = now_us
        for tag, request in requests:
            self._handle_request(tag, request)
        return self._take_outputs()

    def _handle_request(self, tag: int, request: Request) -> None:
        if error := validation_error(request):
            self._reply(tag, Refused(error))
        elif self.raft.role is not Role.LEADER:
            self._reply(tag, Elsewhere(self.raft.leader))
        elif isinstance(request, Read | Watch):
            self._requests[tag] = request
            self._pending_reads.append(tag)
        elif not (isinstance(request, Wait) and request.wait_ms > 0 and self._enqueue_if_held(tag, request)):
            self._propose(tag, request)

    def cancel(self, tags: list[int]) -> None:
        """Forget requests whose client has disconnected."""
        for tag in tags:
            self.waiting.remove(tag)
            self.watching.remove(tag)
            self._requests.pop(tag, None)

    def change_members(self, now_us: int, tag: int, members: tuple[str, ...]) -> list[Output]:
        """Add or remove one member at an operator's request."""
        self._now_us = now_us
        self._process_actions(self.raft.change_members(now_us, tag, members))
        return self._take_outputs()

    def step_down(self, now_us: int) -> list[Output]:
        """Transfer leadership at an operator's request."""
        self._now_us = now_us
        self._process_actions(self.raft.step_down(now_us))
        return self._take_outputs()

    def set_disk_full(self, now_us: int, full: bool) -> list[Output]:
        """Set whether this member's disk is full, so that it accepts only writes that cannot be deferred."""
        self._now_us = now_us
        self._process_actions(self.raft.set_disk_full(now_us, full))
        return self._take_outputs()

    def shun(self, now_us: int, folder: str) -> list[Output]:
        """As the leader, propose that all members reject a folder that has lost durable state."""
        self._now_us = now_us
        if self.raft.leader_state is not None and folder not in self.machine.state.shunned:
            self._propose_own([Shun(folder)])
        return self._take_outputs()

    def compact(self) -> list[Output]:
        """Replace the applied entries of the log by a snapshot."""
        self._compact()
        return self._take_outputs()

    def _compact(self) -> None:
        self._process_actions(self.raft.compact(self.applied, self.machine.snapshot()))

    def _take_outputs(self) -> list[Output]:
        if self._proposals:
            proposals, self._proposals = self._proposals, []
            self._process_actions(self.raft.propose_all(self._now_us, proposals))
        if self._pending_reads:
            tags, self._pending_reads = self._pending_reads, []
            self._process_actions(self.raft.read(self._now_us, *tags))
        if len(self.raft.log) > MAX_LOG_ENTRIES and self.applied > self.raft.log.snapshot.index:
            self._compact()
        outputs, self._outputs = self._outputs, []
        return outputs

    def _reply(self, tag: int, response: Response) -> None:
        self._requests.pop(tag, None)
        if tag >= 0:
            self._outputs.append(Reply(tag, response))

    def _propose(self, tag: int, request: Request) -> None:
        command = request.acquire if isinstance(request, Wait) else request
        assert not isinstance(command, Read | Watch)
        if state_machine.may_grow_state(command) and not self.raft.majority_has_room:
            self._reply(tag, NoRoom(DISKS_FULL))
            return
        self._requests[tag] = request
        self._proposals.append((tag, msgspec.msgpack.encode(command)))

    def _propose_own(self, commands: Sequence[state_machine.Expire | state_machine.Free | Shun]) -> None:
        for command in commands:
            self._last_internal_tag -= 1
            self._proposals.append((self._last_internal_tag, msgspec.msgpack.encode(command)))

    def _process_actions(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send() | Persist():
                    self._outputs.append(action)
                case Committed():
                    self._committed(action)
                case SnapshotInstalled():
                    self.machine.restore(action.snapshot.data)
                    self.applied = action.snapshot.index
                    self._outputs.append(MembersChanged(action.snapshot.members))
                    self._outputs.append(FoldersShunned(tuple(self.machine.state.shunned)))
                case ReadReady():
                    self._answer_read(action.tag)
                case Dropped():
                    dropped = self._requests.get(action.tag)
                    if isinstance(dropped, Wait | Acquire):
                        acquire = dropped.acquire if isinstance(dropped, Wait) else dropped
                        self._granting.discard(acquire.lease)
                    self._reply(action.tag, Unknown() if action.unknown else Elsewhere(self.raft.leader))
        if self.raft.role is not Role.LEADER and (self._leader_ready or self.waiting or self.watching):
            self._drop_leader_state()

    def _drop_leader_state(self) -> None:
        """Stop the timers after losing leadership, and send the waiting requests to the next leader."""
        self._leader_ready = False
        self._lease_timers.clear()
        self._granting.clear()
        tags = [waiter.tag for waiter in self.waiting.pop_everything()] + [
            waiter.tag for waiter in self.watching.pop_everything()
        ]
        for tag in tags:
            self._reply(tag, Elsewhere(self.raft.leader))

    # Applying

    def _committed(self, action: Committed) -> None:
        self.applied = action.index
        answer: Answer = Done()
        command: Command | None = None
        if action.entry.kind == COMMAND:
            command = state_machine.decode_command(action.entry.data)
            answer = self.machine.apply(action.index, command)
            if isinstance(command, Shun):
                self._outputs.append(FoldersShunned((command.folder,)))
        elif action.entry.kind == MEMBERS:
            self._outputs.append(
                MembersChanged(msgspec.msgpack.decode(action.entry.data, type=tuple[str, ...]))
            )
        self._on_applied(action, self.machine)
        leader_state, leases = self.raft.leader_state, self.machine.state.leases
        if leader_state is not None and not self._leader_ready and action.index >= leader_state.first_index:
            self._leader_ready = True
            self._lease_timers.begin(self._now_us, leases)
        elif self._leader_ready and command is not None:
            self._lease_timers.update_after(self._now_us, command, answer, leases)
        if action.tag is not None:
            self._answer_proposal(action.tag, answer)
        if self._leader_ready and command is not None:
            self._grant_next_waiter(command)
            self._recheck_watches(command)

    def _answer_proposal(self, tag: int, answer: Answer) -> None:
        request = self._requests.get(tag)
        if isinstance(request, Wait) and isinstance(answer, Held) and request.wait_ms > 0:
            self._requests.pop(tag, None)
            if self._enqueue_if_held(tag, request):
                return
        self._reply(tag, answer)

    # Waiting for a lease

    def _enqueue_if_held(self, tag: int, request: Wait) -> bool:
        """Queue a request; returns False if the lease is free and no other request is ahead of it."""
        name = request.acquire.lease
        held = name in self.machine.state.leases
        if not held and name not in self.waiting and name not in self._granting:
            return False
        if not self.waiting.add(tag, name, request, self._now_us + request.wait_ms * 1000):
            self._reply(tag, NoRoom("too many wait"))
        return True

    def _grant_next_waiter(self, command: Command) -> None:
        """Propose a freed lease for the request that has waited longest; the others stay in the queue."""
        if isinstance(command, Acquire):
            self._granting.discard(command.lease)
        for name in affected_leases(command, self.waiting.names):
            while name not in self.machine.state.leases and name not in self._granting:
                waiter = self.waiting.pop(name)
                if waiter is None:
                    break
                self._propose(waiter.tag, waiter.request.acquire)
                if waiter.tag in self._requests:
                    self._granting.add(name)

    def _answer_timed_out(self) -> None:
        """Answer requests whose wait is over: waiters with the current holder, watchers by a fresh read."""
        for waiter in self.waiting.pop_expired(self._now_us):
            lease = self.machine.state.leases.get(waiter.name)
            self._reply(waiter.tag, Held(lease.owner, lease.token) if lease is not None else Held("", 0))
        expired = self.watching.pop_expired(self._now_us)
        for watcher in expired:
            self._requests[watcher.tag] = Read(watcher.request.lease, watcher.request.key)
        self._pending_reads += [watcher.tag for watcher in expired]

    # Reading

    def _recheck_watches(self, command: Command) -> None:
        """Repeat the reads of all watches that a command may have changed, in one round of messages."""
        for key in affected_watches(command, self.watching.names):
            if watchers := self.watching.pop_all(key):
                for watcher in watchers:
                    remaining_ms = max(1, (watcher.deadline_us - self._now_us) // 1000)
                    self._requests[watcher.tag] = msgspec.structs.replace(
                        watcher.request, wait_ms=remaining_ms
                    )
                self._pending_reads += [watcher.tag for watcher in watchers]

    def _answer_read(self, tag: int) -> None:
        request = self._requests.get(tag)
        if isinstance(request, Read):
            self._reply(tag, self._read_state(request.lease, request.key))
        elif isinstance(request, Watch):
            current = self._read_state(request.lease, request.key)
            token = current.token if current.owner else 0
            unchanged = (token, current.version) == (request.token, request.version)
            deadline_us = self._now_us + request.wait_ms * 1000
            if not unchanged or not request.wait_ms:
                self._reply(tag, current)
            elif not self.watching.add(tag, watch_key(request), request, deadline_us):
                self._reply(tag, NoRoom("too many watch"))

    def _read_state(self, lease_name: str, key: str) -> Told:
        lease = self.machine.state.leases.get(lease_name)
        record = self.machine.state.records.get(key)
        return Told(
            lease.owner if lease is not None else "",
            lease.token if lease is not None else 0,
            self.remaining_ms(lease_name),
            record.version if record is not None else 0,
            record.value if record is not None else b"",
        )

    def remaining_ms(self, lease: str) -> int:
        """Return the milliseconds left of a lease, or of its delay, as known to a leader; elsewhere 0."""
        return self._lease_timers.remaining_us(self._now_us, lease) // 1000
