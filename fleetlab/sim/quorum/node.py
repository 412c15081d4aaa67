"""A member of the simulated quorum on its machine, with its disk, clock, crashes and pauses."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from fleetlab.sim.node import SimNode
from fleetlab.sim.quorum.judge import BrokenError
from fleetlab.sim.quorum.plan import MAX_DRIFT, NARROW_TIMING, TIMING, USED_DRIFT_SHARE
from fleetlab.sim.world import SimDisk
from quorum.incarnations import Incarnation, StartupClaim
from quorum.member import FoldersShunned, Member, Reply
from quorum.messages import Persist, Send
from quorum.raft import Role
from quorum.store import LogReplay

if TYPE_CHECKING:
    from fleetlab.sim.quorum.simulation import QuorumSim


class QuorumNode(SimNode[Member]):
    """The simulated process of one member, and its disk."""

    def __init__(self, sim: QuorumSim, name: str) -> None:
        super().__init__(sim.world, name)
        self.sim = sim
        self.disk: SimDisk[Persist] = SimDisk()
        self.extra_sync_delay_us = 0  # added to each sync while the disk is slow
        self.announced_term = 0  # the latest that it has sent to others
        self.recorded_starts = 0  # number of starts that its folder has recorded
        self.registry = sim.parts.registry(name, {})
        self.disk_full = False

    def draw_clock_rate(self) -> float:
        """Draw a rate within the stated bound of drift."""
        return 1 + self.world.random.uniform(-MAX_DRIFT, MAX_DRIFT) * USED_DRIFT_SHARE

    def create_core(self) -> Member:
        """Return a member with the state on its disk; raises ``BrokenError`` if its term went back."""
        self.recorded_starts += 1
        # The promises of other members are not stored on disk; their latest incarnations are.
        self.registry = self.sim.parts.registry(self.name, self.registry.known, self.registry.shunned)
        self.incarnation = Incarnation(self.name, self.recorded_starts, str(self.generation))
        replay = LogReplay()
        for item in self.disk.durable:
            replay.add(item)
        member = self.sim.parts.member(
            self.name, self.sim.names, saved=replay.saved, draw=self.world.random.randint,
            timing=NARROW_TIMING if self.sim.plan.narrow_elections else TIMING,
            now_us=self.clock.now_us(), raft=self.sim.parts.raft, state=self.sim.parts.state_machine,
            clocks=self.sim.parts.lease_timers, watch=partial(self.sim.on_applied, self.name),
        )  # fmt: skip
        self.startup_claim = StartupClaim(member.raft.term, member.raft.vote, member.raft.log.last_index)
        if self.disk_full:
            member.set_disk_full(self.clock.now_us(), True)
        if member.raft.term < self.announced_term and not self.sim.adversary.copy_restored:
            raise BrokenError("term", f"{self.name} came back with an older term")
        return member

    def set_disk_full(self, full: bool) -> None:
        """Set whether the disk is full."""
        self.disk_full = full
        self.run_step(lambda member, now_us: member.set_disk_full(now_us, full))

    def crash(self, machine: bool) -> None:
        """End the process; if its machine crashes too, unsynced writes may be lost."""
        if self.core is None:
            return
        self.core = None
        self.disk.mark_durable(lambda _: not machine)
        self.disk.crash(self.world.random)

    def execute_actions(self, actions: list[Any]) -> None:
        """Execute the actions of a step and check the rules; the machine may crash afterwards."""
        assert self.core is not None
        raft = self.core.raft
        if raft.role is Role.LEADER:
            self.sim.rules.record_leader(raft.term, self.name)
        for item in actions:
            match item:
                case Send():
                    if not getattr(item.message, "pre", False):
                        self.announced_term = max(self.announced_term, item.message.term)
                    self.sim.network.send(
                        self.name, item.to, (self.incarnation, self.startup_claim, item.message)
                    )
                case Persist():
                    self._write(item)
                case Reply():
                    self.sim.on_answer(self.name, item)
                case FoldersShunned():
                    for folder in item.folders:
                        self.registry.shun(folder)
        self.sim.rules.check_members(self.sim.nodes.values())
        if self.sim.adversary.crashes_after_step(actions):
            self.crash(machine=True)
            self.world.call_later(self.world.random.randint(1_000, 100_000), self.start)

    def _write(self, item: Persist) -> None:
        self.disk.write(item)
        generation = self.generation
        delay_us = self.world.random.randint(100, 4_000) + self.extra_sync_delay_us
        self.world.call_later(delay_us, lambda: self._complete_sync(generation, item.number))

    def _complete_sync(self, generation: int, number: int) -> None:
        if self.core is None or generation != self.generation:
            return
        self.disk.mark_durable(lambda item: item.number <= number)
        self.run_step(lambda member, now_us: member.synced(now_us, number))
