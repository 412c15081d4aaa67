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

MEMBER_NAMES = ("quorum0", "quorum1", "quorum2")
MIN_DELAY_US, MAX_DELAY_US = 100, 1_000  # of a message
DISK_SYNC_US = 1_000
JOIN_SPREAD_US = SECOND_US  # over which holders begin
TTL_MS = 6_000
RENEWALS_PER_TTL = 3  # as ``fleetlab.lease_load`` and ``quorum.holder`` have it


class SimulatedMember:
    """One member, its disk, and what it used."""

    def __init__(self, quorum: SimulatedQuorum, name: str, member: type[Member]) -> None:
        self._quorum, self._name = quorum, name
        self.processor_s = 0.0
        self.log_bytes = 0
        self._scheduled_wake_us = -1
        self.core = member(
            name,
            MEMBER_NAMES,
            saved=RecoveredState(),
            timing=Timing(),
            draw=quorum.world.random.randint,
            now_us=quorum.world.now_us,
        )
        self.schedule_wake()

    @property
    def is_leader(self) -> bool:
        """Whether it is the leader."""
        return self.core.raft.role is Role.LEADER

    def schedule_wake(self) -> None:
        """Wake it when it is due."""
        if self.core.due_us != self._scheduled_wake_us:
            self._scheduled_wake_us = self.core.due_us
            self._quorum.world.call_at(self._scheduled_wake_us, partial(self._wake, self._scheduled_wake_us))

    def _wake(self, due_us: int) -> None:
        if due_us == self._scheduled_wake_us:
            self._scheduled_wake_us = -1
            self.run_step(partial(self.core.wake, due_us))

    def run_step(self, step: Callable[[], list[Output]]) -> None:
        """One step, and what follows from it."""
        begun_s = processor_seconds()
        outs = step()
        frames = [self._encode_output(out) for out in outs]
        self.processor_s += processor_seconds() - begun_s
        for out, data in zip(outs, frames, strict=True):
            self._quorum.handle_output(self._name, out, data)
        self.schedule_wake()

    def _encode_output(self, out: Output) -> bytes:
        """What a step sends or writes, as bytes."""
        match out:
            case Send():
                return wire.encode_frame(out.message)
            case Reply():
                return wire.encode_frame(wire.Told(out.tag, out.response))
            case Persist():
                return encode_record(LogRecord(out.hard, out.first, out.entries, out.snapshot))
        return b""

    def receive_message(self, sender: str, body: bytes) -> None:
        """A frame of another member."""
        self.run_step(partial(self._handle_message, sender, body))

    def _handle_message(self, sender: str, body: bytes) -> list[Output]:
        message: Message = wire.decode_body(wire.message_decoder, body)
        return self.core.receive(self._quorum.world.now_us, sender, message)

    def receive_request(self, body: bytes) -> None:
        """A client's frame."""
        self.run_step(partial(self._handle_request, body))

    def _handle_request(self, body: bytes) -> list[Output]:
        ask = wire.decode_body(wire.client_message_decoder, body)
        assert isinstance(ask, wire.Ask)
        return self.core.request(self._quorum.world.now_us, ask.number, ask.request)


class SimulatedQuorum:
    """All of them; ``frames`` and ``bytes`` count what passes at the leader, by its way."""

    def __init__(self, seed: int, member: type[Member] = Member) -> None:
        self.world = World(seed)
        self.random: Random = self.world.random
        self.frames: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.renewals = self.grants = self.refusals = 0
        self._holders: dict[int, SimulatedHolder] = {}
        self.members = {name: SimulatedMember(self, name, member) for name in MEMBER_NAMES}

    @property
    def leader(self) -> SimulatedMember:
        """The member that leads; ``RuntimeError`` where none does."""
        for member in self.members.values():
            if member.is_leader:
                return member
        raise RuntimeError("no member leads")

    def run(self, seconds: float) -> None:
        """Let so much time pass."""
        self.world.run_until(self.world.now_us + int(seconds * SECOND_US))

    def add_holders(self, holders: int) -> None:
        """Holders come, within a second, and keep a lease each."""
        for number in range(holders):
            self._holders[number] = holder = SimulatedHolder(self, number)
            self.world.call_later(self.random.randint(0, JOIN_SPREAD_US), holder.open_session)

    def send_request(self, number: int, request: Request) -> None:
        """A request of the holder of that number goes to the leader."""
        data = wire.encode_frame(wire.Ask(number, request))
        self._count_frame("client_in", data)
        self._run_after_delay(lambda: self.leader.receive_request(data[wire.LENGTH_PREFIX.size :]))

    def handle_output(self, name: str, out: Output, data: bytes) -> None:
        """What a member's step leads to."""
        leads = self.members[name].is_leader
        match out:
            case Send(to, _):
                if leads or self.members[to].is_leader:
                    self._count_frame("member_out" if leads else "member_in", data)
                self._run_after_delay(
                    lambda: self.members[to].receive_message(name, data[wire.LENGTH_PREFIX.size :])
                )
            case Persist():
                self.members[name].log_bytes += len(data)
                if leads:
                    self._count_frame("log_out", data)
                step = partial(self._finish_disk_sync, name, out.number)
                self.world.call_later(DISK_SYNC_US, step)
            case Reply():
                self._count_frame("client_out", data)
                self._run_after_delay(lambda: self._holders[out.tag].receive_response(out.response))

    def _finish_disk_sync(self, name: str, number: int) -> None:
        member = self.members[name]
        member.run_step(partial(member.core.synced, self.world.now_us, number))

    def _run_after_delay(self, work: Callable[[], None]) -> None:
        self.world.call_later(self.random.randint(MIN_DELAY_US, MAX_DELAY_US), work)

    def _count_frame(self, way: str, data: bytes) -> None:
        self.frames[way] += 1
        self.bytes[way] += len(data)

    def state_bytes(self) -> int:
        """The replicated state as a snapshot has it."""
        return len(msgspec.msgpack.encode(self.leader.core.machine.state))


class SimulatedHolder:
    """One holder: a session, a lease, renewals."""

    def __init__(self, quorum: SimulatedQuorum, number: int) -> None:
        self._quorum, self._number = quorum, number
        self._name = f"relay-{number:04}"
        self._session = self._sequence = self._token = 0

    def open_session(self) -> None:
        """Begin a session."""
        self._quorum.send_request(self._number, Open(self._name))

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def receive_response(self, response: Response) -> None:
        """The next step follows from the answer; anything but ``Done`` is counted and ends it."""
        if not isinstance(response, Done):
            self._quorum.refusals += 1
        elif not self._session:
            self._session = response.session
            self._quorum.send_request(
                self._number, Acquire(self._session, self._next_sequence(), self._name, TTL_MS)
            )
        else:
            self._quorum.grants += not self._token
            self._quorum.renewals += bool(self._token)
            self._token = response.token
            self._quorum.world.call_later(TTL_MS * 1000 // RENEWALS_PER_TTL, self._renew)

    def _renew(self) -> None:
        renew = Renew(self._session, self._next_sequence(), self._name, self._token)
        self._quorum.send_request(self._number, renew)
