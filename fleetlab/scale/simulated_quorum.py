"""Three members of a quorum and many lease holders in simulated time, in one process.

The members are the service's real cores; all frames are encoded in its wire format and all writes in its log
format. Each request gets a step of its own, as with a leader that is never behind. A busy leader handles
several requests in one step, and then sends and writes less for each.
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
# Range of the delay of a message on the network.
MIN_DELAY_US = 100
MAX_DELAY_US = 1_000
DISK_SYNC_US = 1_000  # until a write is on disk
JOIN_SPREAD_US = SECOND_US  # holders open their sessions within this time
TTL_MS = 6_000  # of a lease
RENEWALS_PER_TTL = 3  # same as in ``fleetlab.lease_load`` and ``quorum.holder``


class SimulatedMember:
    """One member with a simulated disk; counts its processor time and log bytes."""

    def __init__(self, quorum: SimulatedQuorum, name: str, member: type[Member]) -> None:
        self._quorum = quorum
        self._name = name
        self.processor_s = 0.0  # used by its steps
        self.log_bytes = 0
        self._scheduled_wake_us = -1  # -1: no wake-up is scheduled
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
        """Whether this member is the leader."""
        return self.core.raft.role is Role.LEADER

    def schedule_wake(self) -> None:
        """Schedule a wake-up at the time the core asks for, unless that is scheduled already."""
        if self.core.due_us != self._scheduled_wake_us:
            self._scheduled_wake_us = self.core.due_us
            self._quorum.world.at(self._scheduled_wake_us, partial(self._wake, self._scheduled_wake_us))

    def _wake(self, due_us: int) -> None:
        if due_us == self._scheduled_wake_us:
            self._scheduled_wake_us = -1
            self.run_step(partial(self.core.wake, due_us))

    def run_step(self, step: Callable[[], list[Output]]) -> None:
        """Execute a step, then handle its outputs; its time and that of encoding them is counted."""
        begun_s = processor_seconds()
        outputs = step()
        frames = [self._encode_output(output) for output in outputs]
        self.processor_s += processor_seconds() - begun_s
        for output, data in zip(outputs, frames, strict=True):
            self._quorum.handle_output(self._name, output, data)
        self.schedule_wake()

    def _encode_output(self, output: Output) -> bytes:
        """A step's output as bytes on the wire or in the log; empty for other outputs."""
        match output:
            case Send():
                return wire.encode_frame(output.message)
            case Reply():
                return wire.encode_frame(wire.Told(output.tag, output.response))
            case Persist():
                return encode_record(LogRecord(output.hard, output.first, output.entries, output.snapshot))
        return b""

    def receive_message(self, sender: str, body: bytes) -> None:
        """Handle the body of a frame from another member."""
        self.run_step(partial(self._handle_message, sender, body))

    def _handle_message(self, sender: str, body: bytes) -> list[Output]:
        message: Message = wire.decode_body(wire.message_decoder, body)
        return self.core.receive(self._quorum.world.now_us, sender, message)

    def receive_request(self, body: bytes) -> None:
        """Handle the body of a frame from a client."""
        self.run_step(partial(self._handle_request, body))

    def _handle_request(self, body: bytes) -> list[Output]:
        ask = wire.decode_body(wire.client_message_decoder, body)
        assert isinstance(ask, wire.Ask)
        return self.core.request(self._quorum.world.now_us, ask.number, ask.request)


class SimulatedQuorum:
    """All members and holders; ``frames`` and ``bytes`` count the leader's traffic by direction."""

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
        """The present leader; ``RuntimeError`` if there is none."""
        for member in self.members.values():
            if member.is_leader:
                return member
        raise RuntimeError("no member is the leader")

    def run(self, seconds: float) -> None:
        """Run the simulation for this many simulated seconds."""
        self.world.run(self.world.now_us + int(seconds * SECOND_US))

    def add_holders(self, holders: int) -> None:
        """Add holders that open their sessions within ``JOIN_SPREAD_US`` and then keep a lease each."""
        for number in range(holders):
            self._holders[number] = holder = SimulatedHolder(self, number)
            self.world.after(self.random.randint(0, JOIN_SPREAD_US), holder.open_session)

    def send_request(self, number: int, request: Request) -> None:
        """Send a request of holder ``number`` to the leader."""
        data = wire.encode_frame(wire.Ask(number, request))
        self._count_frame("client_in", data)
        self._run_after_delay(lambda: self.leader.receive_request(data[wire.LENGTH_PREFIX.size :]))

    def handle_output(self, name: str, output: Output, data: bytes) -> None:
        """Deliver or write an output of member ``name``'s step; ``data`` is its encoded form."""
        is_leader = self.members[name].is_leader
        match output:
            case Send(to, _):
                if is_leader or self.members[to].is_leader:
                    self._count_frame("member_out" if is_leader else "member_in", data)
                self._run_after_delay(
                    lambda: self.members[to].receive_message(name, data[wire.LENGTH_PREFIX.size :])
                )
            case Persist():
                self.members[name].log_bytes += len(data)
                if is_leader:
                    self._count_frame("log_out", data)
                step = partial(self._finish_disk_sync, name, output.number)
                self.world.after(DISK_SYNC_US, step)
            case Reply():
                self._count_frame("client_out", data)
                self._run_after_delay(lambda: self._holders[output.tag].receive_response(output.response))

    def _finish_disk_sync(self, name: str, number: int) -> None:
        member = self.members[name]
        member.run_step(partial(member.core.synced, self.world.now_us, number))

    def _run_after_delay(self, work: Callable[[], None]) -> None:
        self.world.after(self.random.randint(MIN_DELAY_US, MAX_DELAY_US), work)

    def _count_frame(self, direction: str, data: bytes) -> None:
        self.frames[direction] += 1
        self.bytes[direction] += len(data)

    def state_bytes(self) -> int:
        """Size of the replicated state in the encoding of a snapshot."""
        return len(msgspec.msgpack.encode(self.leader.core.machine.state))


class SimulatedHolder:
    """A holder that opens a session, acquires a lease and renews it."""

    def __init__(self, quorum: SimulatedQuorum, number: int) -> None:
        self._quorum = quorum
        self._number = number
        self._name = f"relay-{number:04}"
        self._session = self._sequence = self._token = 0

    def open_session(self) -> None:
        """Ask for a session."""
        self._quorum.send_request(self._number, Open(self._name))

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def receive_response(self, response: Response) -> None:
        """Send the next request; a response other than ``Done`` counts as a refusal and stops the holder."""
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
            self._quorum.world.after(TTL_MS * 1000 // RENEWALS_PER_TTL, self._renew)

    def _renew(self) -> None:
        renew = Renew(self._session, self._next_sequence(), self._name, self._token)
        self._quorum.send_request(self._number, renew)
