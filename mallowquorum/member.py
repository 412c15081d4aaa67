"""A member: agreement, the replicated state, and the leader's clocks and waiters. No I/O.

A lease's time runs on the leader's monotonic clock from when its grant or renewal is applied, which is later
than the holder counts from. A new leader cannot know how much had passed, so it gives every lease, and every
delay, its full time again (Gray and Cheriton 1989, after a server's restart).
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from mallowquorum import machine
from mallowquorum.machine import Acquire, Answer, Command, Done, Expire, Free, Held, Machine, Refused, Renew
from mallowquorum.messages import (
    COMMAND,
    Action,
    Committed,
    Dropped,
    Message,
    Persist,
    Readable,
    Restored,
    Saved,
    Send,
)
from mallowquorum.raft import Draw, Raft, Role, Timing

COMPACT_AT = 4096  # entries in the log before it is compacted
MOST_WAITERS = 4096  # requests that wait for leases
RETRY_US = 1_000_000  # until an end that was proposed and not committed is proposed again


class Read(msgspec.Struct, frozen=True, tag="read"):
    """What a lease and a record are, as of a moment after the request came."""

    lease: str = ""
    key: str = ""


class Wait(msgspec.Struct, frozen=True, tag="wait"):
    """``Acquire``, and where another holds the lease wait in turn for it, at most so long."""

    acquire: Acquire
    wait_ms: int


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


Request = machine.Asked | Read | Wait
Response = Answer | Told | Elsewhere | Unknown


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a request."""

    tag: int
    response: Response


Out = Send | Persist | Reply


@dataclass(slots=True)
class Waiter:
    """A request that waits for a lease."""

    tag: int
    acquire: Acquire
    until_us: int


def unwatched(_action: Committed, _machine: Machine) -> None:
    """Nobody wants to know."""


def touched(command: Command, known: Iterable[str]) -> list[str]:
    """The leases that a command may have changed: the end of a session any of those that are known."""
    return list(known) if isinstance(command, machine.Close) else [getattr(command, "lease", "")]


class Member:
    """One member of a quorum."""

    def __init__(
        self,
        name: str,
        members: tuple[str, ...],
        *,
        saved: Saved,
        timing: Timing,
        draw: Draw,
        now_us: int,
        raft: type[Raft] = Raft,
        state: type[Machine] = Machine,
        watch: Callable[[Committed, Machine], None] = unwatched,
    ) -> None:
        """Go on from what the disk gave back; ``watch`` is told of each entry once it is applied."""
        self._watch = watch
        self.raft = raft(name, members, saved=saved, timing=timing, draw=draw, now_us=now_us)
        self.machine = state(saved.snapshot.data)
        self.applied = self.raft.commit
        self._now_us = now_us
        self._clocks: dict[str, tuple[int, int, int]] = {}  # lease: due, token, beat; of a leader alone
        self._ready = False  # a leader that has applied all of its predecessors
        self._waiters: OrderedDict[str, deque[Waiter]] = OrderedDict()
        self._waiting = 0
        self._asked: dict[int, Request] = {}  # by tag
        self._inner = 0  # tags of the leader's own proposals are negative
        self._granting: set[str] = set()  # leases for which a waiter's turn is being decided
        self._out: list[Out] = []

    # Steps

    @property
    def due_us(self) -> int:
        """When ``wake`` is due."""
        times = [self.raft.due_us, *(due for due, _, _ in self._clocks.values())]
        times += [waiter.until_us for queue in self._waiters.values() for waiter in queue]
        return min(times)

    def wake(self, now_us: int) -> list[Out]:
        """Time has passed."""
        self._now_us = now_us
        self._carry(self.raft.wake(now_us))
        self._run_out()
        self._give_up()
        return self._taken()

    def receive(self, now_us: int, sender: str, message: Message) -> list[Out]:
        """A message of another member."""
        self._now_us = now_us
        self._carry(self.raft.receive(now_us, sender, message))
        return self._taken()

    def synced(self, now_us: int, number: int) -> list[Out]:
        """The disk is done with all writes up to that number."""
        self._now_us = now_us
        self._carry(self.raft.synced(now_us, number))
        return self._taken()

    def request(self, now_us: int, tag: int, request: Request) -> list[Out]:
        """A client's request; it is answered once, now or later."""
        self._now_us = now_us
        command = request.acquire if isinstance(request, Wait) else request
        if not isinstance(command, Read) and (fault := machine.fault_of(command)):
            self._reply(tag, Refused(fault))
        elif self.raft.role is not Role.LEADER:
            self._reply(tag, Elsewhere(self.raft.leader))
        elif isinstance(command, Read):
            self._asked[tag] = command
            self._carry(self.raft.read(now_us, tag))
        elif isinstance(request, Wait) and request.wait_ms > 0 and self._queued(tag, request):
            pass
        else:
            self._propose(tag, request)
        return self._taken()

    def change(self, now_us: int, tag: int, members: tuple[str, ...]) -> list[Out]:
        """An operator adds or removes one member."""
        self._now_us = now_us
        self._carry(self.raft.change(now_us, tag, members))
        return self._taken()

    def step_down(self, now_us: int) -> list[Out]:
        """An operator wants another leader."""
        self._now_us = now_us
        self._carry(self.raft.step_down(now_us))
        return self._taken()

    def compact(self) -> list[Out]:
        """Put what is applied into a snapshot."""
        self._compact()
        return self._taken()

    def _compact(self) -> None:
        self._carry(self.raft.compact(self.applied, self.machine.snapshot()))

    def _taken(self) -> list[Out]:
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
        self._asked[tag] = request
        self._carry(self.raft.propose(self._now_us, tag, msgspec.msgpack.encode(command), COMMAND))

    def _propose_own(self, command: Command) -> None:
        self._inner -= 1
        self._carry(self.raft.propose(self._now_us, self._inner, msgspec.msgpack.encode(command), COMMAND))

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
                case Readable():
                    request = self._asked.get(action.tag)
                    if isinstance(request, Read):
                        self._reply(action.tag, self._told(request))
                case Dropped():
                    self._reply(action.tag, Unknown() if action.unknown else Elsewhere(self.raft.leader))
        if self.raft.role is not Role.LEADER and (self._ready or self._waiting):
            self._follow()

    def _follow(self) -> None:
        """No leader any more: its clocks mean nothing, and who waits has to ask the next one."""
        self._ready = False
        self._clocks.clear()
        self._granting.clear()
        waiters = [waiter for queue in self._waiters.values() for waiter in queue]
        self._waiters.clear()
        self._waiting = 0
        for waiter in waiters:
            self._reply(waiter.tag, Elsewhere(self.raft.leader))

    # Applying

    def _committed(self, action: Committed) -> None:
        self.applied = action.index
        answer: Answer = Done()
        command: Command | None = None
        if action.entry.kind == COMMAND:
            command = machine.command_of(action.entry.data)
            answer = self.machine.apply(action.index, command)
        self._watch(action, self.machine)
        leading = self.raft.leading
        if leading is not None and not self._ready and action.index >= leading.first:
            self._ready = True
            for name in self.machine.state.leases:
                self._start_clock(name)
        elif self._ready and command is not None:
            self._clock(command, answer)
        if action.tag is not None:
            self._answered(action.tag, answer)
        if self._ready and command is not None:
            self._next_waiter(command)

    def _answered(self, tag: int, answer: Answer) -> None:
        request = self._asked.get(tag)
        if isinstance(request, Wait) and isinstance(answer, Held) and request.wait_ms > 0:
            self._asked.pop(tag, None)
            if self._queued(tag, request):
                return
        self._reply(tag, answer)

    def _lease_us(self, lease: machine.Lease) -> int:
        """The time that a lease has, or its delay."""
        return (lease.ttl_ms if lease.session else lease.delay_ms) * 1000

    def _start_clock(self, name: str) -> None:
        lease = self.machine.state.leases[name]
        self._clocks[name] = (self._now_us + self._lease_us(lease), lease.token, lease.beat)

    def _clock(self, command: Command, answer: Answer) -> None:
        """Start, restart or stop a lease's clock after a command."""
        counts = isinstance(answer, Done) and isinstance(command, Acquire | Renew | Expire | Free)
        for name in touched(command, self._clocks):
            if name not in self.machine.state.leases:
                self._clocks.pop(name, None)
            elif counts:
                self._start_clock(name)

    def _run_out(self) -> None:
        """Propose the end of every lease and delay whose time is up."""
        for name, (due_us, token, beat) in list(self._clocks.items()):
            if due_us <= self._now_us and name in self._clocks:
                self._clocks[name] = (self._now_us + RETRY_US, token, beat)
                held = self.machine.state.leases[name].session
                self._propose_own(Expire(name, token, beat) if held else Free(name, token))

    # Waiting in turn

    def _queued(self, tag: int, request: Wait) -> bool:
        """Whether the request waits now; False where the lease is free and nobody is before it."""
        name = request.acquire.lease
        held = name in self.machine.state.leases
        if not held and name not in self._waiters and name not in self._granting:
            return False
        if self._waiting >= MOST_WAITERS:
            self._reply(tag, Refused("too many wait"))
            return True
        self._asked[tag] = request
        until_us = self._now_us + request.wait_ms * 1000
        self._waiters.setdefault(name, deque()).append(Waiter(tag, request.acquire, until_us))
        self._waiting += 1
        return True

    def _next_waiter(self, command: Command) -> None:
        """A lease that came free goes to the one that waits longest; the others are not stirred."""
        if isinstance(command, Acquire):
            self._granting.discard(command.lease)
        for name in touched(command, self._waiters):
            if name in self._waiters and name not in self.machine.state.leases and name not in self._granting:
                waiter = self._waiters[name].popleft()
                self._waiting -= 1
                if not self._waiters[name]:
                    del self._waiters[name]
                self._granting.add(name)
                self._propose(waiter.tag, waiter.acquire)

    def _give_up(self) -> None:
        """Waiters whose time is up are told who holds the lease."""
        for name, queue in list(self._waiters.items()):
            over = [waiter for waiter in queue if waiter.until_us <= self._now_us]
            if not over:
                continue
            rest = deque(waiter for waiter in queue if waiter.until_us > self._now_us)
            self._waiting -= len(over)
            if rest:
                self._waiters[name] = rest
            else:
                del self._waiters[name]
            lease = self.machine.state.leases.get(name)
            for waiter in over:
                self._reply(waiter.tag, Held(lease.owner, lease.token) if lease is not None else Held("", 0))

    # Reading

    def _told(self, request: Read) -> Told:
        lease = self.machine.state.leases.get(request.lease)
        item = self.machine.state.records.get(request.key)
        due_us = self._clocks.get(request.lease, (self._now_us, 0, 0))[0]
        return Told(
            lease.owner if lease is not None else "",
            lease.token if lease is not None else 0,
            max(0, due_us - self._now_us) // 1000,
            item.version if item is not None else 0,
            item.value if item is not None else b"",
        )
