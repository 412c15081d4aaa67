"""A member: agreement, the replicated state, and the leader's clocks and waiters. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from quorum import state_machine
from quorum.lease_timers import LeaseTimers, touched
from quorum.messages import (
    COMMAND,
    MEMBERS,
    Action,
    Committed,
    Dropped,
    Message,
    Persist,
    Readable,
    RecoveredState,
    Restored,
    Send,
)
from quorum.raft import Draw, Raft, Role, Timing
from quorum.state_machine import Acquire, Answer, Command, Done, Held, Put, Refused, Shun, StateMachine
from quorum.wait_queue import Waiting

COMPACT_AT = 4096  # entries in the log before it is compacted
MOST_WAITERS = 4096  # requests that wait for leases
MOST_WATCHERS = 4096  # requests that wait for a change
MOST_WAIT_MS = 600_000


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


Request = state_machine.Asked | Read | Wait | Watch
Response = Answer | Told | Elsewhere | Unknown | NoRoom
FULL = "the disks of the quorum are full"


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a request."""

    tag: int
    response: Response


@dataclass(frozen=True, slots=True)
class Together:
    """The members are these now, as all agree."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FoldersShunned:
    """These folders are not to be heard, as all agree."""

    folders: tuple[str, ...]


Output = Send | Persist | Reply | Together | FoldersShunned


def unwatched(_action: Committed, _machine: StateMachine) -> None:
    """Nobody wants to know."""


def fault_of(request: Request) -> str:
    """What makes a request impossible whatever the state; empty where nothing does."""
    if isinstance(request, Wait | Watch) and not 0 <= request.wait_ms <= MOST_WAIT_MS:
        return f"wait_ms is from 0 to {MOST_WAIT_MS}"
    if isinstance(request, Watch):
        return "" if bool(request.lease) != bool(request.key) else "a watch is for a lease or for a record"
    if isinstance(request, Read):
        return ""
    return state_machine.fault_of(request.acquire if isinstance(request, Wait) else request)


def watched(command: Command, watching: list[str]) -> list[str]:
    """What is waited for that a command may have changed, by the names of ``place_of``."""
    if isinstance(command, Put):
        return [f"record {command.key}"]
    return (
        touched(command, watching)
        if isinstance(command, state_machine.Close)
        else [f"lease {name}" for name in touched(command, ())]
    )


def place_of(request: Watch) -> str:
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
        draw: Draw,
        now_us: int,
        raft: type[Raft] = Raft,
        state: type[StateMachine] = StateMachine,
        clocks: type[LeaseTimers] = LeaseTimers,
        watch: Callable[[Committed, StateMachine], None] = unwatched,
    ) -> None:
        """Go on from what the disk gave back; ``watch`` is told of each entry once it is applied."""
        self._watch = watch
        self.raft = raft(name, members, saved=saved, timing=timing, draw=draw, now_us=now_us)
        self.machine = state(saved.snapshot.data)
        self.applied = self.raft.commit
        self._now_us = now_us
        self._clocks = clocks()
        self._ready = False  # a leader that has applied all of its predecessors
        self.waiting: Waiting[Wait] = Waiting(MOST_WAITERS)
        self.watching: Waiting[Watch] = Waiting(MOST_WATCHERS)
        self._asked: dict[int, Request] = {}  # by tag
        self._inner = 0  # tags of the leader's own proposals are negative
        self._proposals: list[tuple[int, bytes]] = []  # of this step, by tag
        self._reads: list[int] = []  # of this step
        self._granting: set[str] = set()  # leases for which a waiter's turn is being decided
        self._out: list[Output] = []

    # Steps

    @property
    def due_us(self) -> int:
        """When ``wake`` is due."""
        times = (self.raft.due_us, self._clocks.due_us, self.waiting.due_us, self.watching.due_us)
        return min(time for time in times if time is not None)

    def wake(self, now_us: int) -> list[Output]:
        """Time has passed."""
        self._now_us = now_us
        self._carry(self.raft.wake(now_us))
        if ends := self._clocks.pop_due(now_us):
            self._propose_own(ends)
        self._give_up()
        return self._taken()

    def receive(self, now_us: int, sender: str, message: Message) -> list[Output]:
        """A message of another member."""
        self._now_us = now_us
        self._carry(self.raft.receive(now_us, sender, message))
        return self._taken()

    def synced(self, now_us: int, number: int) -> list[Output]:
        """The disk is done with all writes up to that number."""
        self._now_us = now_us
        self._carry(self.raft.synced(now_us, number))
        return self._taken()

    def request(self, now_us: int, tag: int, request: Request) -> list[Output]:
        """A client's request; it is answered once, now or later."""
        return self.request_all(now_us, [(tag, request)])

    def request_all(self, now_us: int, some: list[tuple[int, Request]]) -> list[Output]:
        """Requests that came together: one write, and one message to each other member, for all of them."""
        self._now_us = now_us
        for tag, request in some:
            self._request(tag, request)
        return self._taken()

    def _request(self, tag: int, request: Request) -> None:
        if fault := fault_of(request):
            self._reply(tag, Refused(fault))
        elif self.raft.role is not Role.LEADER:
            self._reply(tag, Elsewhere(self.raft.leader))
        elif isinstance(request, Read | Watch):
            self._asked[tag] = request
            self._reads.append(tag)
        elif not (isinstance(request, Wait) and request.wait_ms > 0 and self._queued(tag, request)):
            self._propose(tag, request)

    def gone(self, tags: list[int]) -> None:
        """Who asked these hears no answer any more: they wait for nothing."""
        for tag in tags:
            self.waiting.drop(tag)
            self.watching.drop(tag)
            self._asked.pop(tag, None)

    def change_members(self, now_us: int, tag: int, members: tuple[str, ...]) -> list[Output]:
        """An operator adds or removes one member."""
        self._now_us = now_us
        self._carry(self.raft.change(now_us, tag, members))
        return self._taken()

    def step_down(self, now_us: int) -> list[Output]:
        """An operator wants another leader."""
        self._now_us = now_us
        self._carry(self.raft.step_down(now_us))
        return self._taken()

    def set_disk_full(self, now_us: int, full: bool) -> list[Output]:
        """The disk takes nothing that can wait, or does again."""
        self._now_us = now_us
        self._carry(self.raft.disk(now_us, full))
        return self._taken()

    def shun(self, now_us: int, folder: str) -> list[Output]:
        """A folder was found to have forgotten a promise: a leader has all members know."""
        self._now_us = now_us
        if self.raft.leader_state is not None and folder not in self.machine.state.shunned:
            self._propose_own([Shun(folder)])
        return self._taken()

    def compact(self) -> list[Output]:
        """Put what is applied into a snapshot."""
        self._compact()
        return self._taken()

    def _compact(self) -> None:
        self._carry(self.raft.compact(self.applied, self.machine.snapshot()))

    def _taken(self) -> list[Output]:
        if self._proposals:
            some, self._proposals = self._proposals, []
            self._carry(self.raft.propose_all(self._now_us, some))
        if self._reads:
            tags, self._reads = self._reads, []
            self._carry(self.raft.read(self._now_us, *tags))
        if len(self.raft.log) > COMPACT_AT and self.applied > self.raft.log.snapshot.index:
            self._compact()
        out, self._out = self._out, []
        return out

    def _reply(self, tag: int, response: Response) -> None:
        self._asked.pop(tag, None)
        if tag >= 0:
            self._out.append(Reply(tag, response))

    def _propose(self, tag: int, request: Request) -> None:
        command = request.acquire if isinstance(request, Wait) else request
        assert not isinstance(command, Read | Watch)
        if state_machine.may_grow_state(command) and not self.raft.roomy:
            self._reply(tag, NoRoom(FULL))
            return
        self._asked[tag] = request
        self._proposals.append((tag, msgspec.msgpack.encode(command)))

    def _propose_own(self, commands: Sequence[state_machine.Expire | state_machine.Free | Shun]) -> None:
        for command in commands:
            self._inner -= 1
            self._proposals.append((self._inner, msgspec.msgpack.encode(command)))

    def _carry(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send() | Persist():
                    self._out.append(action)
                case Committed():
                    self._committed(action)
                case Restored():
                    self.machine.restore(action.snapshot.data)
                    self.applied = action.snapshot.index
                    self._out.append(Together(action.snapshot.members))
                    self._out.append(FoldersShunned(tuple(self.machine.state.shunned)))
                case Readable():
                    self._readable(action.tag)
                case Dropped():
                    dropped = self._asked.get(action.tag)
                    if isinstance(dropped, Wait | Acquire):
                        acquire = dropped.acquire if isinstance(dropped, Wait) else dropped
                        self._granting.discard(acquire.lease)
                    self._reply(action.tag, Unknown() if action.unknown else Elsewhere(self.raft.leader))
        if self.raft.role is not Role.LEADER and (self._ready or self.waiting or self.watching):
            self._follow()

    def _follow(self) -> None:
        """No leader any more: its clocks mean nothing, and who waits has to ask the next one."""
        self._ready = False
        self._clocks.clear()
        self._granting.clear()
        tags = [item.tag for item in self.waiting.drain()] + [item.tag for item in self.watching.drain()]
        for tag in tags:
            self._reply(tag, Elsewhere(self.raft.leader))

    # Applying

    def _committed(self, action: Committed) -> None:
        self.applied = action.index
        answer: Answer = Done()
        command: Command | None = None
        if action.entry.kind == COMMAND:
            command = state_machine.command_of(action.entry.data)
            answer = self.machine.apply(action.index, command)
            if isinstance(command, Shun):
                self._out.append(FoldersShunned((command.folder,)))
        elif action.entry.kind == MEMBERS:
            self._out.append(Together(msgspec.msgpack.decode(action.entry.data, type=tuple[str, ...])))
        self._watch(action, self.machine)
        leading, leases = self.raft.leader_state, self.machine.state.leases
        if leading is not None and not self._ready and action.index >= leading.first:
            self._ready = True
            self._clocks.begin(self._now_us, leases)
        elif self._ready and command is not None:
            self._clocks.update_after(self._now_us, command, answer, leases)
        if action.tag is not None:
            self._answered(action.tag, answer)
        if self._ready and command is not None:
            self._next_waiter(command)
            self._look_again(command)

    def _answered(self, tag: int, answer: Answer) -> None:
        request = self._asked.get(tag)
        if isinstance(request, Wait) and isinstance(answer, Held) and request.wait_ms > 0:
            self._asked.pop(tag, None)
            if self._queued(tag, request):
                return
        self._reply(tag, answer)

    # Waiting in turn

    def _queued(self, tag: int, request: Wait) -> bool:
        """Whether the request waits now; False where the lease is free and nobody is before it."""
        name = request.acquire.lease
        held = name in self.machine.state.leases
        if not held and name not in self.waiting and name not in self._granting:
            return False
        if not self.waiting.add(tag, name, request, self._now_us + request.wait_ms * 1000):
            self._reply(tag, NoRoom("too many wait"))
        return True

    def _next_waiter(self, command: Command) -> None:
        """A lease that came free goes to the one that waits longest; the others are not stirred."""
        if isinstance(command, Acquire):
            self._granting.discard(command.lease)
        for name in touched(command, self.waiting.names):
            while name not in self.machine.state.leases and name not in self._granting:
                waiter = self.waiting.pop(name)
                if waiter is None:
                    break
                self._propose(waiter.tag, waiter.request.acquire)
                if waiter.tag in self._asked:
                    self._granting.add(name)

    def _give_up(self) -> None:
        """Waiters whose time is up are told who holds the lease; watchers, how things are."""
        for waiter in self.waiting.over(self._now_us):
            lease = self.machine.state.leases.get(waiter.name)
            self._reply(waiter.tag, Held(lease.owner, lease.token) if lease is not None else Held("", 0))
        over = self.watching.over(self._now_us)
        for item in over:
            self._asked[item.tag] = Read(item.request.lease, item.request.key)
        self._reads += [item.tag for item in over]

    # Reading

    def _look_again(self, command: Command) -> None:
        """Those who watch what a command may have changed read it anew, all in one round."""
        for place in watched(command, self.watching.names):
            if some := self.watching.pop_all(place):
                for item in some:
                    left_ms = max(1, (item.until_us - self._now_us) // 1000)
                    self._asked[item.tag] = msgspec.structs.replace(item.request, wait_ms=left_ms)
                self._reads += [item.tag for item in some]

    def _readable(self, tag: int) -> None:
        request = self._asked.get(tag)
        if isinstance(request, Read):
            self._reply(tag, self._told(request.lease, request.key))
        elif isinstance(request, Watch):
            told = self._told(request.lease, request.key)
            token = told.token if told.owner else 0
            same = (token, told.version) == (request.token, request.version)
            until_us = self._now_us + request.wait_ms * 1000
            if not same or not request.wait_ms:
                self._reply(tag, told)
            elif not self.watching.add(tag, place_of(request), request, until_us):
                self._reply(tag, NoRoom("too many watch"))

    def _told(self, lease_name: str, key: str) -> Told:
        lease = self.machine.state.leases.get(lease_name)
        item = self.machine.state.records.get(key)
        return Told(
            lease.owner if lease is not None else "",
            lease.token if lease is not None else 0,
            self.left_ms(lease_name),
            item.version if item is not None else 0,
            item.value if item is not None else b"",
        )

    def left_ms(self, lease: str) -> int:
        """What a lease or its delay has left, as a leader knows; elsewhere 0."""
        return self._clocks.remaining_us(self._now_us, lease) // 1000
