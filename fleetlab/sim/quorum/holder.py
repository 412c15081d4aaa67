"""A client with a session: it holds leases, acts on the resource, and reads and writes records."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from fleetlab.sim.linear import FOREVER, Operation
from fleetlab.sim.quorum.client import Client
from fleetlab.sim.quorum.judge import BrokenError
from fleetlab.sim.quorum.plan import DELAY_MS, DRIFT, KEYS, LEASES, SECOND, TTL_MS
from quorum.holder import HeldLease, TimingBounds
from quorum.member import Read, Request, Response, Told, Wait
from quorum.state_machine import Acquire, Done, Open, Put, Release, Renew

if TYPE_CHECKING:
    from fleetlab.sim.quorum.simulation import QuorumSim


class Holder(Client):
    """A client with a session, which does one thing after another at random."""

    def __init__(self, sim: QuorumSim, name: str) -> None:
        super().__init__(sim, name)
        self.session = 0
        self.seq = 0
        self.lease = sim.world.random.choice(LEASES)
        self.holding: HeldLease | None = None
        self.paused_until_us = 0

    def start(self) -> None:
        """Open a session, then go on."""

        def opened(answer: Response, _: int) -> None:
            if isinstance(answer, Done):
                self.session = answer.session
                self.go_on()
            else:
                self.later(self.start)

        self.ask(Open(self.name), opened)

    def later(self, work: Callable[[], None], most_us: int = 200_000) -> None:
        """Do something after a random pause, and not while this holder stands still."""
        self.sim.world.after(self.sim.world.random.randint(1_000, most_us), lambda: self._unpaused(work))

    def _unpaused(self, work: Callable[[], None]) -> None:
        if self.paused_until_us > self.sim.world.now_us:
            self.sim.world.at(self.paused_until_us, lambda: self._unpaused(work))
        else:
            work()

    def go_on(self) -> None:
        """One more thing to do."""
        random = self.sim.world.random
        if self.holding is not None:
            self._hold(self.holding)
        elif random.random() < 0.6:
            self._acquire()
        elif random.random() < 0.5:
            self._write(random.choice(KEYS))
        else:
            self._read(random.choice(KEYS))

    def _next(self) -> int:
        self.seq += 1
        return self.seq

    def _acquire(self) -> None:
        self.lease = self.sim.world.random.choice(LEASES)
        seq = self._next()
        acquire = Acquire(self.session, seq, self.lease, TTL_MS, DELAY_MS if self.lease == "share" else 0)
        waits = self.sim.world.random.random() < 0.5
        request: Request = Wait(acquire, 300) if waits else acquire

        def answered(answer: Response, sent_us: int) -> None:
            if isinstance(answer, Done):
                self.sim.judge.granted(answer.token, self.session, seq)
                holding = self.sim.parts.holding(TTL_MS * 1000, TimingBounds(DRIFT))
                if holding.granted(sent_us, self.clock.now_us(), answer.token):
                    self.holding = holding
                    self.sim.took(self)
            self.later(self.go_on)

        # While it stands still its answer waits unread: it must not count from when it reads it.
        self.ask(request, lambda answer, sent_us: self._unpaused(lambda: answered(answer, sent_us)))

    def _hold(self, holding: HeldLease) -> None:
        """Act, renew, give back, or find that it is over."""
        random, now_us = self.sim.world.random, self.clock.now_us()
        if not holding.may_act(now_us):
            self.holding = None
            self.later(self.go_on)
        elif now_us >= holding.renew_us:
            self._renew(holding)
        elif random.random() < 0.1:
            self._release(holding)
        else:
            # The check is made; the act comes to the resource later, however long that takes.
            token, lease = holding.token, self.lease
            delay_us = random.randint(500, 5_000) + (random.random() < 0.02) * 2 * SECOND
            self.sim.world.after(delay_us, lambda: self.sim.act(self.name, lease, token))
            self.later(self.go_on, 120_000)

    def _renew(self, holding: HeldLease) -> None:
        def answered(answer: Response, sent_us: int) -> None:
            now_us = self.clock.now_us()
            before = holding.may_act(now_us)
            if isinstance(answer, Done):
                holding.renewed(sent_us, now_us, answer.token)
                if not before and holding.may_act(now_us):
                    raise BrokenError("late", f"{self.name} goes on with {self.lease} after it had to stop")
                self.sim.took(self)
            else:
                holding.lost()
            self.later(self.go_on, 50_000)

        renew = Renew(self.session, self._next(), self.lease, holding.token)
        self.ask(renew, lambda answer, sent_us: self._unpaused(lambda: answered(answer, sent_us)))

    def _release(self, holding: HeldLease) -> None:
        holding.lost()
        self.holding = None
        release = Release(self.session, self._next(), self.lease, holding.token)
        self.ask(release, lambda *_: self.later(self.go_on))

    def _write(self, key: str) -> None:
        """Compare and set, from a version that was read a moment ago."""

        def read(told: Response, _: int) -> None:
            if not isinstance(told, Told):
                self.later(self.go_on)
                return
            value = f"{self.name}-{self.seq + 1}".encode()
            put = Put(self.session, self._next(), key, told.version, value)
            self._recorded(key, put, lambda *_: self.later(self.go_on))

        self._recorded(key, Read(key=key), read)

    def _read(self, key: str) -> None:
        self._recorded(key, Read(key=key), lambda *_: self.later(self.go_on))

    def _recorded(self, key: str, request: Request, done: Callable[[Response, int], None]) -> None:
        """Ask, and keep the operation for the checker."""
        operations = self.sim.judge.operations[key]
        at = len(operations)
        operations.append(Operation(self.sim.world.now_us, FOREVER, request, None))

        def answered(answer: Response, sent_us: int) -> None:
            operations[at] = replace(operations[at], ended=self.sim.world.now_us, answer=answer)
            done(answer, sent_us)

        self.ask(request, answered)
