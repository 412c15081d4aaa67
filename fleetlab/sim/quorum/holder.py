"""A simulated client with a session: it holds leases, acts on the resource, and reads and writes records."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from fleetlab.sim.linear import FOREVER, Operation
from fleetlab.sim.quorum.client import Client
from fleetlab.sim.quorum.judge import BrokenError
from fleetlab.sim.quorum.plan import KEYS, LEASE_DELAY_MS, LEASE_TTL_MS, LEASES, MAX_DRIFT, SECOND_US
from quorum.holder import HeldLease, TimingBounds
from quorum.member import Read, Request, Response, Told, Wait
from quorum.state_machine import Acquire, Done, Open, Put, Release, Renew

if TYPE_CHECKING:
    from fleetlab.sim.quorum.simulation import QuorumSim


class SimHolder(Client):
    """A client with a session that performs random activities one after another."""

    def __init__(self, sim: QuorumSim, name: str) -> None:
        super().__init__(sim, name)
        self.session = 0
        self.seq = 0
        self.lease = sim.world.random.choice(LEASES)
        self.held_lease: HeldLease | None = None
        self.paused_until_us = 0

    def start(self) -> None:
        """Open a session, then run the first activity."""

        def opened(answer: Response, _: int) -> None:
            if isinstance(answer, Done):
                self.session = answer.session
                self.run_next_activity()
            else:
                self.run_later(self.start)

        self.ask(Open(self.name), opened)

    def run_later(self, work: Callable[[], None], max_us: int = 200_000) -> None:
        """Run work after a random delay of at most ``max_us``, or when this holder is no longer paused."""
        self.sim.world.call_later(
            self.sim.world.random.randint(1_000, max_us), lambda: self._run_unpaused(work)
        )

    def _run_unpaused(self, work: Callable[[], None]) -> None:
        if self.paused_until_us > self.sim.world.now_us:
            self.sim.world.call_at(self.paused_until_us, lambda: self._run_unpaused(work))
        else:
            work()

    def run_next_activity(self) -> None:
        """Use the lease that is held, or else acquire one, write or read a record."""
        random = self.sim.world.random
        if self.held_lease is not None:
            self._use_lease(self.held_lease)
        elif random.random() < 0.6:
            self._acquire()
        elif random.random() < 0.5:
            self._write(random.choice(KEYS))
        else:
            self._read(random.choice(KEYS))

    def _next_seq(self) -> int:
        self.seq += 1
        return self.seq

    def _acquire(self) -> None:
        self.lease = self.sim.world.random.choice(LEASES)
        seq = self._next_seq()
        acquire = Acquire(
            self.session, seq, self.lease, LEASE_TTL_MS, LEASE_DELAY_MS if self.lease == "share" else 0
        )
        is_waiting = self.sim.world.random.random() < 0.5
        request: Request = Wait(acquire, 300) if is_waiting else acquire

        def answered(answer: Response, sent_us: int) -> None:
            if isinstance(answer, Done):
                self.sim.rules.record_grant(answer.token, self.session, seq)
                held_lease = self.sim.parts.held_lease(LEASE_TTL_MS * 1000, TimingBounds(MAX_DRIFT))
                if held_lease.granted(sent_us, self.clock.now_us(), answer.token):
                    self.held_lease = held_lease
                    self.sim.check_held(self)
            self.run_later(self.run_next_activity)

        # While the holder is paused the answer is not read; the lease must not count from when it is read.
        self.ask(request, lambda answer, sent_us: self._run_unpaused(lambda: answered(answer, sent_us)))

    def _use_lease(self, held_lease: HeldLease) -> None:
        """Act under the lease, renew or release it, or drop it if it has ended."""
        random, now_us = self.sim.world.random, self.clock.now_us()
        if not held_lease.may_act(now_us):
            self.held_lease = None
            self.run_later(self.run_next_activity)
        elif now_us >= held_lease.renew_us:
            self._renew(held_lease)
        elif random.random() < 0.1:
            self._release(held_lease)
        else:
            # The lease was checked now, but the action may reach the resource much later.
            token, lease = held_lease.token, self.lease
            delay_us = random.randint(500, 5_000) + (random.random() < 0.02) * 2 * SECOND_US
            self.sim.world.call_later(delay_us, lambda: self.sim.act_on_resource(self.name, lease, token))
            self.run_later(self.run_next_activity, 120_000)

    def _renew(self, held_lease: HeldLease) -> None:
        def answered(answer: Response, sent_us: int) -> None:
            now_us = self.clock.now_us()
            could_act = held_lease.may_act(now_us)
            if isinstance(answer, Done):
                held_lease.renewed(sent_us, now_us, answer.token)
                if not could_act and held_lease.may_act(now_us):
                    raise BrokenError("late", f"{self.name} goes on with {self.lease} after it had to stop")
                self.sim.check_held(self)
            else:
                held_lease.lost()
            self.run_later(self.run_next_activity, 50_000)

        renew = Renew(self.session, self._next_seq(), self.lease, held_lease.token)
        self.ask(renew, lambda answer, sent_us: self._run_unpaused(lambda: answered(answer, sent_us)))

    def _release(self, held_lease: HeldLease) -> None:
        held_lease.lost()
        self.held_lease = None
        release = Release(self.session, self._next_seq(), self.lease, held_lease.token)
        self.ask(release, lambda *_: self.run_later(self.run_next_activity))

    def _write(self, key: str) -> None:
        """Read a record, then write it on the condition that its version has not changed."""

        def write(current: Response, _: int) -> None:
            if not isinstance(current, Told):
                self.run_later(self.run_next_activity)
                return
            value = f"{self.name}-{self.seq + 1}".encode()
            put = Put(self.session, self._next_seq(), key, current.version, value)
            self._ask_recorded(key, put, lambda *_: self.run_later(self.run_next_activity))

        self._ask_recorded(key, Read(key=key), write)

    def _read(self, key: str) -> None:
        self._ask_recorded(key, Read(key=key), lambda *_: self.run_later(self.run_next_activity))

    def _ask_recorded(self, key: str, request: Request, done: Callable[[Response, int], None]) -> None:
        """Send a request, and record the operation for the linearizability check."""
        operations = self.sim.rules.operations[key]
        index = len(operations)
        operations.append(Operation(self.sim.world.now_us, FOREVER, request, None))

        def answered(answer: Response, sent_us: int) -> None:
            operations[index] = replace(operations[index], returned_at=self.sim.world.now_us, answer=answer)
            done(answer, sent_us)

        self.ask(request, answered)
