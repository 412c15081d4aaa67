"""One member of the simulated quorum on its machine: its disk, its clock, crashes and stalls."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from fleetlab.sim.quorum.judge import BrokenError
from fleetlab.sim.quorum.plan import DRIFT, DRIFT_USED, NARROW, TIMING
from fleetlab.sim.world import SimClock, SimDisk
from quorum.lives import Claim, Life
from quorum.member import Member, Reply, Shunned
from quorum.messages import Persist, Send
from quorum.raft import Role
from quorum.store import Folded

if TYPE_CHECKING:
    from fleetlab.sim.quorum.simulation import QuorumSim


class Node:
    """One member on its machine."""

    def __init__(self, sim: QuorumSim, name: str) -> None:
        self.sim, self.name = sim, name
        self.disk: SimDisk[Persist] = SimDisk()
        self.member: Member | None = None
        self.life = 0
        self.slow_disk_us = 0
        self.stalled_until_us = 0
        self.term = 0  # the latest that others have heard from it
        self.written = 0  # starts that its folder knows of
        self.lives = sim.parts.lives(name, {})
        self.full = False
        self._woken_us = -1

    def start(self) -> None:
        """A new life from what the disk has."""
        if self.member is not None:
            return
        self.life += 1
        self.written += 1
        # What others promised was not on its disk; whom it heard last was.
        self.lives = self.sim.parts.lives(self.name, self.lives.known, self.lives.shunned)
        self.known_as = Life(self.name, self.written, str(self.life))
        random, world = self.sim.world.random, self.sim.world
        rate = 1 + random.uniform(-DRIFT, DRIFT) * DRIFT_USED
        # A restart may come with another clock: monotonic time begins anew.
        self.clock = SimClock(world, rate, random.randint(0, 10**9))
        folded = Folded()
        for item in self.disk.durable:
            folded.add(item)
        self.member = self.sim.parts.member(
            self.name, self.sim.names, saved=folded.saved, draw=random.randint,
            timing=NARROW if self.sim.plan.narrow else TIMING,
            now_us=self.clock.now_us(), raft=self.sim.parts.raft, state=self.sim.parts.machine,
            clocks=self.sim.parts.clocks, watch=partial(self.sim.applied, self.name),
        )  # fmt: skip
        self.claim = Claim(self.member.raft.term, self.member.raft.vote, self.member.raft.log.last)
        if self.full:
            self.member.disk(self.clock.now_us(), True)
        if self.member.raft.term < self.term and not self.sim.adversary.restores_copy:
            raise BrokenError("term", f"{self.name} came back with an older term")
        self._arm()

    def fill(self, full: bool) -> None:
        """Its disk is full, or has room again."""
        self.full = full
        self.do(lambda member, now_us: member.disk(now_us, full))

    def crash(self, machine: bool) -> None:
        """The process ends; with its machine, what was not synced may be gone."""
        if self.member is None:
            return
        self.member = None
        self.disk.synced(lambda _: not machine)
        self.disk.crash(self.sim.world.random)

    def _arm(self) -> None:
        assert self.member is not None
        due_us = self.member.due_us
        if due_us == self._woken_us:
            return
        self._woken_us = due_us
        life = self.life
        self.sim.world.at(self.clock.true_us(due_us), lambda: self._wake(life, due_us))

    def _wake(self, life: int, due_us: int) -> None:
        if self.member is None or life != self.life or due_us != self._woken_us:
            return
        self._woken_us = -1
        self.do(lambda member, now_us: member.wake(now_us))

    def do(self, step: Callable[[Member, int], list[Any]]) -> None:
        """One step of the member, and what follows from it."""
        if self.member is None:
            return
        if self.stalled_until_us > self.sim.world.now_us:  # what comes waits in its sockets
            life = self.life
            self.sim.world.at(self.stalled_until_us, lambda: self.do(step) if life == self.life else None)
            return
        out = step(self.member, self.clock.now_us())
        raft = self.member.raft
        if raft.role is Role.LEADER:
            self.sim.judge.elected(raft.term, self.name)
        for item in out:
            match item:
                case Send():
                    if not getattr(item.message, "pre", False):
                        self.term = max(self.term, item.message.term)
                    self.sim.network.send(self.name, item.to, (self.known_as, self.claim, item.message))
                case Persist():
                    self._write(item)
                case Reply():
                    self.sim.answered(self.name, item)
                case Shunned():
                    for folder in item.folders:
                        self.lives.shun(folder)
        self.sim.judge.check_members(self.sim.nodes.values())
        if self.sim.adversary.strikes_after(out):
            self.crash(machine=True)
            self.sim.world.after(self.sim.world.random.randint(1_000, 100_000), self.start)
            return
        self._arm()

    def _write(self, item: Persist) -> None:
        self.disk.write(item)
        life = self.life
        delay_us = self.sim.world.random.randint(100, 4_000) + self.slow_disk_us
        self.sim.world.after(delay_us, lambda: self._synced(life, item.number))

    def _synced(self, life: int, number: int) -> None:
        if self.member is None or life != self.life:
            return
        self.disk.synced(lambda item: item.number <= number)
        self.do(lambda member, now_us: member.synced(now_us, number))
