"""Three members of a quorum and many holders in simulated time, in one process.

The members are the service's own cores; all frames pass through its wire format and all writes through the
form of its log. Each request is a step of its own, as with a leader that is never behind: a busy leader takes
several in one step, and then sends and writes less for each.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

import msgspec

from fleetlab.scale.process import processor_seconds
from fleetlab.sim.world import World
from membership.core import SECOND_US
from quorum import wire
from quorum.member import Member, Output, Reply, Request, Response
from quorum.messages import Message, Persist, RecoveredState, Send
from quorum.raft import Role, Timing
from quorum.state_machine import Acquire, Done, Open, Renew
from quorum.store import LogRecord, encode_record

MEMBERS = ("quorum0", "quorum1", "quorum2")
LEAST_DELAY_US, MOST_DELAY_US = 100, 1_000  # of a message
SYNC_US = 1_000
JOIN_US = SECOND_US  # over which holders begin
TTL_MS = 6_000
RENEWALS_PER_TTL = 3  # as ``fleetlab.lease_load`` and ``quorum.holder`` have it


class HollowMember:
    """One member, its disk, and what it used."""

    def __init__(self, quorum: HollowQuorum, name: str, member: type[Member]) -> None:
        self._quorum, self._name = quorum, name
        self.processor_s = 0.0
        self.log_bytes = 0
        self._due_us = -1
        self.core = member(
            name,
            MEMBERS,
            saved=RecoveredState(),
            timing=Timing(),
            draw=quorum.world.random.randint,
            now_us=quorum.world.now_us,
        )
        self.arm()

    @property
    def leads(self) -> bool:
        """Whether it is the leader."""
        return self.core.raft.role is Role.LEADER

    def arm(self) -> None:
        """Wake it when it is due."""
        if self.core.due_us != self._due_us:
            self._due_us = self.core.due_us
            self._quorum.world.at(self._due_us, partial(self._wake, self._due_us))

    def _wake(self, due_us: int) -> None:
        if due_us == self._due_us:
            self._due_us = -1
            self.done(partial(self.core.wake, due_us))

    def done(self, step: Callable[[], list[Output]]) -> None:
        """One step, and what follows from it."""
        begun_s = processor_seconds()
        outs = step()
        frames = [self._framed(out) for out in outs]
        self.processor_s += processor_seconds() - begun_s
        for out, data in zip(outs, frames, strict=True):
            self._quorum.carry(self._name, out, data)
        self.arm()

    def _framed(self, out: Output) -> bytes:
        """What a step sends or writes, as bytes."""
        match out:
            case Send():
                return wire.encode_frame(out.message)
            case Reply():
                return wire.encode_frame(wire.Told(out.tag, out.response))
            case Persist():
                return encode_record(LogRecord(out.hard, out.first, out.entries, out.snapshot))
        return b""

    def receive(self, sender: str, body: bytes) -> None:
        """A frame of another member."""
        self.done(partial(self._received, sender, body))

    def _received(self, sender: str, body: bytes) -> list[Output]:
        message: Message = wire.decode_body(wire.message_decoder, body)
        return self.core.receive(self._quorum.world.now_us, sender, message)

    def asked(self, body: bytes) -> None:
        """A client's frame."""
        self.done(partial(self._asked, body))

    def _asked(self, body: bytes) -> list[Output]:
        ask = wire.decode_body(wire.client_message_decoder, body)
        assert isinstance(ask, wire.Ask)
        return self.core.request(self._quorum.world.now_us, ask.number, ask.request)


class HollowQuorum:
    """All of them; ``frames`` and ``bytes`` count what passes at the leader, by its way."""

    def __init__(self, seed: int, member: type[Member] = Member) -> None:
        self.world = World(seed)
        self.random: Random = self.world.random
        self.frames: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.renewals = self.grants = self.others = 0
        self._holders: dict[int, HollowHolder] = {}
        self.members = {name: HollowMember(self, name, member) for name in MEMBERS}

    @property
    def leader(self) -> HollowMember:
        """The member that leads; ``RuntimeError`` where none does."""
        for member in self.members.values():
            if member.leads:
                return member
        raise RuntimeError("no member leads")

    def run(self, seconds: float) -> None:
        """Let so much time pass."""
        self.world.run(self.world.now_us + int(seconds * SECOND_US))

    def hold(self, holders: int) -> None:
        """Holders come, within a second, and keep a lease each."""
        for number in range(holders):
            self._holders[number] = holder = HollowHolder(self, number)
            self.world.after(self.random.randint(0, JOIN_US), holder.open)

    def ask(self, number: int, request: Request) -> None:
        """A request of the holder of that number goes to the leader."""
        data = wire.encode_frame(wire.Ask(number, request))
        self._count("client_in", data)
        self._later(lambda: self.leader.asked(data[wire.LENGTH_PREFIX.size :]))

    def carry(self, name: str, out: Output, data: bytes) -> None:
        """What a member's step leads to."""
        leads = self.members[name].leads
        match out:
            case Send(to, _):
                if leads or self.members[to].leads:
                    self._count("member_out" if leads else "member_in", data)
                self._later(lambda: self.members[to].receive(name, data[wire.LENGTH_PREFIX.size :]))
            case Persist():
                self.members[name].log_bytes += len(data)
                if leads:
                    self._count("log_out", data)
                step = partial(self._synced, name, out.number)
                self.world.after(SYNC_US, step)
            case Reply():
                self._count("client_out", data)
                self._later(lambda: self._holders[out.tag].answered(out.response))

    def _synced(self, name: str, number: int) -> None:
        member = self.members[name]
        member.done(partial(member.core.synced, self.world.now_us, number))

    def _later(self, work: Callable[[], None]) -> None:
        self.world.after(self.random.randint(LEAST_DELAY_US, MOST_DELAY_US), work)

    def _count(self, way: str, data: bytes) -> None:
        self.frames[way] += 1
        self.bytes[way] += len(data)

    def state_bytes(self) -> int:
        """The replicated state as a snapshot has it."""
        return len(msgspec.msgpack.encode(self.leader.core.machine.state))


class HollowHolder:
    """One holder: a session, a lease, renewals."""

    def __init__(self, quorum: HollowQuorum, number: int) -> None:
        self._quorum, self._number = quorum, number
        self._name = f"relay-{number:04}"
        self._session = self._sequence = self._token = 0

    def open(self) -> None:
        """Begin a session."""
        self._quorum.ask(self._number, Open(self._name))

    def _next(self) -> int:
        self._sequence += 1
        return self._sequence

    def answered(self, response: Response) -> None:
        """The next step follows from the answer; anything but ``Done`` is counted and ends it."""
        if not isinstance(response, Done):
            self._quorum.others += 1
        elif not self._session:
            self._session = response.session
            self._quorum.ask(self._number, Acquire(self._session, self._next(), self._name, TTL_MS))
        else:
            self._quorum.grants += not self._token
            self._quorum.renewals += bool(self._token)
            self._token = response.token
            self._quorum.world.after(TTL_MS * 1000 // RENEWALS_PER_TTL, self._renew)

    def _renew(self) -> None:
        renew = Renew(self._session, self._next(), self._name, self._token)
        self._quorum.ask(self._number, renew)
