"""One member of the simulated quorum on its machine: its disk, its clock, crashes and stalls."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from fleetlab.sim.node import SimNode
from fleetlab.sim.quorum.judge import BrokenError
from fleetlab.sim.quorum.plan import DRIFT, DRIFT_USED, NARROW, TIMING
from fleetlab.sim.world import SimDisk
from quorum.incarnations import Incarnation, StartupClaim
from quorum.member import FoldersShunned, Member, Reply
from quorum.messages import Persist, Send
from quorum.raft import Role
from quorum.store import LogReplay

if TYPE_CHECKING:
    from fleetlab.sim.quorum.simulation import QuorumSim


class Node(SimNode[Member]):
    """One member on its machine."""

    def __init__(self, sim: QuorumSim, name: str) -> None:
        super().__init__(sim.world, name)
        self.sim = sim
        self.disk: SimDisk[Persist] = SimDisk()
        self.slow_disk_us = 0
        self.term = 0  # the latest that others have heard from it
        self.written = 0  # starts that its folder knows of
        self.lives = sim.parts.lives(name, {})
        self.full = False

    def draw_rate(self) -> float:
        """Within the stated bound of drift."""
        return 1 + self.world.random.uniform(-DRIFT, DRIFT) * DRIFT_USED

    def create_core(self) -> Member:
        """A member from what the disk has; ``BrokenError`` where its term went back."""
        self.written += 1
        # What others promised was not on its disk; whom it heard last was.
        self.lives = self.sim.parts.lives(self.name, self.lives.known, self.lives.shunned)
        self.known_as = Incarnation(self.name, self.written, str(self.generation))
        folded = LogReplay()
        for item in self.disk.durable:
            folded.add(item)
        member = self.sim.parts.member(
            self.name, self.sim.names, saved=folded.saved, draw=self.world.random.randint,
            timing=NARROW if self.sim.plan.narrow else TIMING,
            now_us=self.clock.now_us(), raft=self.sim.parts.raft, state=self.sim.parts.machine,
            clocks=self.sim.parts.clocks, watch=partial(self.sim.applied, self.name),
        )  # fmt: skip
        self.claim = StartupClaim(member.raft.term, member.raft.vote, member.raft.log.last_index)
        if self.full:
            member.set_disk_full(self.clock.now_us(), True)
        if member.raft.term < self.term and not self.sim.adversary.restores_copy:
            raise BrokenError("term", f"{self.name} came back with an older term")
        return member

    def fill(self, full: bool) -> None:
        """Its disk is full, or has room again."""
        self.full = full
        self.do(lambda member, now_us: member.set_disk_full(now_us, full))

    def crash(self, machine: bool) -> None:
        """The process ends; with its machine, what was not synced may be gone."""
        if self.core is None:
            return
        self.core = None
        self.disk.synced(lambda _: not machine)
        self.disk.crash(self.world.random)

    def carry_out(self, actions: list[Any]) -> None:
        """What follows from a step of the member, and a look at the rules; the machine may go down then."""
        assert self.core is not None
        raft = self.core.raft
        if raft.role is Role.LEADER:
            self.sim.judge.elected(raft.term, self.name)
        for item in actions:
            match item:
                case Send():
                    if not getattr(item.message, "pre", False):
                        self.term = max(self.term, item.message.term)
                    self.sim.network.send(self.name, item.to, (self.known_as, self.claim, item.message))
                case Persist():
                    self._write(item)
                case Reply():
                    self.sim.answered(self.name, item)
                case FoldersShunned():
                    for folder in item.folders:
                        self.lives.shun(folder)
        self.sim.judge.check_members(self.sim.nodes.values())
        if self.sim.adversary.strikes_after(actions):
            self.crash(machine=True)
            self.world.after(self.world.random.randint(1_000, 100_000), self.start)

    def _write(self, item: Persist) -> None:
        self.disk.write(item)
        generation = self.generation
        delay_us = self.world.random.randint(100, 4_000) + self.slow_disk_us
        self.world.after(delay_us, lambda: self._synced(generation, item.number))

    def _synced(self, generation: int, number: int) -> None:
        if self.core is None or generation != self.generation:
            return
        self.disk.synced(lambda item: item.number <= number)
        self.do(lambda member, now_us: member.synced(now_us, number))
