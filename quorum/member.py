"""A member: agreement, the replicated state, and the leader's clocks and waiters. No I/O."""

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

MAX_LOG_ENTRIES = 4096  # entries in the log before it is compacted
MAX_WAITERS = 4096  # requests that wait for leases
MAX_WATCHERS = 4096  # requests that wait for a change
MAX_WAIT_MS = 600_000


class Read(msgspec.Struct, frozen=True, tag="read"):
    """What a lease and a record are, as of a moment after the request came."""

    lease: str = ""
    key: str = ""


class Wait(msgspec.Struct, frozen=True, tag="wait"):
    """``Acquire``, and where another holds the lease wait in turn for it, at most so long."""

    acquire: Acquire
    wait_ms: int


class Watch(msgspec.Struct, frozen=True, tag="watch"):
    """``Read`` of one lease or one record, answered once it differs from what is known, or after so long."""

    lease: str = ""
    key: str = ""
    token: int = 0  # under which the lease was held when it was last looked at; 0: by nobody
    version: int = 0  # of the record
    wait_ms: int = 0


class Told(msgspec.Struct, frozen=True, tag="told"):
    """The answer to ``Read``; a version of 0 means that there is no such record, a token of 0 no lease."""

    owner: str = ""
    token: int = 0
    left_ms: int = 0
    version: int = 0
    value: bytes = b""


class Elsewhere(msgspec.Struct, frozen=True, tag="elsewhere"):
    """This member does not lead; nothing was done. ``leader`` may be empty."""

    leader: str


class Unknown(msgspec.Struct, frozen=True, tag="unknown"):
    """It may be done or not: ask again with the same session and number."""


class NoRoom(msgspec.Struct, frozen=True, tag="no-room"):
    """It was not taken on, now and here; an earlier try of the same request may have been."""

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
    """The members are these now, as all agree."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FoldersShunned:
    """These folders are not to be heard, as all agree."""

    folders: tuple[str, ...]


Output = Send | Persist | Reply | MembersChanged | FoldersShunned


def ignore_applied(_action: Committed, _machine: StateMachine) -> None:
    """Nobody wants to know."""


def validation_error(request: Request) -> str:
    """What makes a request impossible whatever the state; empty where nothing does."""
    if isinstance(request, Wait | Watch) and not 0 <= request.wait_ms <= MAX_WAIT_MS:
        return f"wait_ms is from 0 to {MAX_WAIT_MS}"
    if isinstance(request, Watch):
        return "" if bool(request.lease) != bool(request.key) else "a watch is for a lease or for a record"
    if isinstance(request, Read):
        return ""
    return state_machine.validation_error(request.acquire if isinstance(request, Wait) else request)


def affected_watches(command: Command, watching: list[str]) -> list[str]:
    """What is waited for that a command may have changed, by the names of ``watch_key``."""
    if isinstance(command, Put):
        return [f"record {command.key}"]
    return (
        affected_leases(command, watching)
        if isinstance(command, state_machine.Close)
        else [f"lease {name}" for name in affected_leases(command, ())]
    )


def watch_key(request: Watch) -> str:
    """What a watch is for."""
    return f"lease {request.lease}" if request.lease else f"record {request.key}"


class Member:
    """One member of a quorum."""

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
        """Go on from what the disk gave back; ``watch`` is told of each entry once it is applied."""
        self._on_applied = watch
        self.raft = raft(name, members, saved=saved, timing=timing, draw=draw, now_us=now_us)
        self.machine = state(saved.snapshot.data)
        self.applied = self.raft.commit
        self._now_us = now_us
        self._lease_timers = clocks()
        self._leader_ready = False  # a leader that has applied all of its predecessors
        self.waiting: WaitQueue[Wait] = WaitQueue(MAX_WAITERS)
        self.watching: WaitQueue[Watch] = WaitQueue(MAX_WATCHERS)
        self._requests: dict[int, Request] = {}  # by tag
        self._last_internal_tag = 0  # tags of the leader's own proposals are negative
        self._proposals: list[tuple[int, bytes]] = []  # of this step, by tag
        self._pending_reads: list[int] = []  # of this step
        self._granting: set[str] = set()  # leases for which a waiter's turn is being decided
        self._outputs: list[Output] = []

    # Steps

    @property
    def due_us(self) -> int:
        """When ``wake`` is due."""
        times = (self.raft.due_us, self._lease_timers.due_us, self.waiting.due_us, self.watching.due_us)
        return min(time for time in times if time is not None)

    def wake(self, now_us: int) -> list[Output]:
        """Time has passed."""
        self._now_us = now_us
        self._process_actions(self.raft.wake(now_us))
        if ends := self._lease_timers.pop_due(now_us):
            self._propose_own(ends)
        self._answer_timed_out()
        return self._take_outputs()

    def receive(self, now_us: int, sender: str, message: Message) -> list[Output]:
        """A message of another member."""
        self._now_us = now_us
        self._process_actions(self.raft.receive(now_us, sender, message))
        return self._take_outputs()

    def synced(self, now_us: int, number: int) -> list[Output]:
        """The disk is done with all writes up to that number."""
        self._now_us = now_us
        self._process_actions(self.raft.synced(now_us, number))
        return self._take_outputs()

    def request(self, now_us: int, tag: int, request: Request) -> list[Output]:
        """A client's request; it is answered once, now or later."""
        return self.request_all(now_us, [(tag, request)])

    def request_all(self, now_us: int, some: list[tuple[int, Request]]) -> list[Output]:
        """Requests that came together: one write, and one message to each other member, for all of them."""
        self._now_us = now_us
        for tag, request in some:
            self._handle_request(tag, request)
        return self._take_outputs()

    def _handle_request(self, tag: int, request: Request) -> None:
        if fault := validation_error(request):
            self._reply(tag, Refused(fault))
        elif self.raft.role is not Role.LEADER:
            self._reply(tag, Elsewhere(self.raft.leader))
        elif isinstance(request, Read | Watch):
            self._requests[tag] = request
            self._pending_reads.append(tag)
        elif not (isinstance(request, Wait) and request.wait_ms > 0 and self._enqueue_if_held(tag, request)):
            self._propose(tag, request)

    def cancel(self, tags: list[int]) -> None:
        """Who asked these hears no answer any more: they wait for nothing."""
        for tag in tags:
            self.waiting.remove(tag)
            self.watching.remove(tag)
            self._requests.pop(tag, None)

    def change_members(self, now_us: int, tag: int, members: tuple[str, ...]) -> list[Output]:
        """An operator adds or removes one member."""
        self._now_us = now_us
        self._process_actions(self.raft.change_members(now_us, tag, members))
        return self._take_outputs()

    def step_down(self, now_us: int) -> list[Output]:
        """An operator wants another leader."""
        self._now_us = now_us
        self._process_actions(self.raft.step_down(now_us))
        return self._take_outputs()

    def set_disk_full(self, now_us: int, full: bool) -> list[Output]:
        """The disk takes nothing that can wait, or does again."""
        self._now_us = now_us
        self._process_actions(self.raft.set_disk_full(now_us, full))
        return self._take_outputs()

    def shun(self, now_us: int, folder: str) -> list[Output]:
        """A folder was found to have forgotten a promise: a leader has all members know."""
        self._now_us = now_us
        if self.raft.leader_state is not None and folder not in self.machine.state.shunned:
            self._propose_own([Shun(folder)])
        return self._take_outputs()

    def compact(self) -> list[Output]:
        """Put what is applied into a snapshot."""
        self._compact()
        return self._take_outputs()

    def _compact(self) -> None:
        self._process_actions(self.raft.compact(self.applied, self.machine.snapshot()))

    def _take_outputs(self) -> list[Output]:
        if self._proposals:
            some, self._proposals = self._proposals, []
            self._process_actions(self.raft.propose_all(self._now_us, some))
        if self._pending_reads:
            tags, self._pending_reads = self._pending_reads, []
            self._process_actions(self.raft.read(self._now_us, *tags))
        if len(self.raft.log) > MAX_LOG_ENTRIES and self.applied > self.raft.log.snapshot.index:
            self._compact()
        out, self._outputs = self._outputs, []
        return out

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
        """No leader any more: its clocks mean nothing, and who waits has to ask the next one."""
        self._leader_ready = False
        self._lease_timers.clear()
        self._granting.clear()
        tags = [item.tag for item in self.waiting.pop_everything()] + [
            item.tag for item in self.watching.pop_everything()
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

    # WaitQueue in turn

    def _enqueue_if_held(self, tag: int, request: Wait) -> bool:
        """Whether the request waits now; False where the lease is free and nobody is before it."""
        name = request.acquire.lease
        held = name in self.machine.state.leases
        if not held and name not in self.waiting and name not in self._granting:
            return False
        if not self.waiting.add(tag, name, request, self._now_us + request.wait_ms * 1000):
            self._reply(tag, NoRoom("too many wait"))
        return True

    def _grant_next_waiter(self, command: Command) -> None:
        """A lease that came free goes to the one that waits longest; the others are not stirred."""
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
        """Waiters whose time is up are told who holds the lease; watchers, how things are."""
        for waiter in self.waiting.pop_expired(self._now_us):
            lease = self.machine.state.leases.get(waiter.name)
            self._reply(waiter.tag, Held(lease.owner, lease.token) if lease is not None else Held("", 0))
        over = self.watching.pop_expired(self._now_us)
        for item in over:
            self._requests[item.tag] = Read(item.request.lease, item.request.key)
        self._pending_reads += [item.tag for item in over]

    # Reading

    def _recheck_watches(self, command: Command) -> None:
        """Those who watch what a command may have changed read it anew, all in one round."""
        for place in affected_watches(command, self.watching.names):
            if some := self.watching.pop_all(place):
                for item in some:
                    left_ms = max(1, (item.deadline_us - self._now_us) // 1000)
                    self._requests[item.tag] = msgspec.structs.replace(item.request, wait_ms=left_ms)
                self._pending_reads += [item.tag for item in some]

    def _answer_read(self, tag: int) -> None:
        request = self._requests.get(tag)
        if isinstance(request, Read):
            self._reply(tag, self._read_state(request.lease, request.key))
        elif isinstance(request, Watch):
            told = self._read_state(request.lease, request.key)
            token = told.token if told.owner else 0
            same = (token, told.version) == (request.token, request.version)
            until_us = self._now_us + request.wait_ms * 1000
            if not same or not request.wait_ms:
                self._reply(tag, told)
            elif not self.watching.add(tag, watch_key(request), request, until_us):
                self._reply(tag, NoRoom("too many watch"))

    def _read_state(self, lease_name: str, key: str) -> Told:
        lease = self.machine.state.leases.get(lease_name)
        item = self.machine.state.records.get(key)
        return Told(
            lease.owner if lease is not None else "",
            lease.token if lease is not None else 0,
            self.remaining_ms(lease_name),
            item.version if item is not None else 0,
            item.value if item is not None else b"",
        )

    def remaining_ms(self, lease: str) -> int:
        """What a lease or its delay has left, as a leader knows; elsewhere 0."""
        return self._lease_timers.remaining_us(self._now_us, lease) // 1000
