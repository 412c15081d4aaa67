"""The adversary: faults of machines, processes, disks and the network at random times of a schedule."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from fleetlab.sim.quorum.node import QuorumNode
from fleetlab.sim.quorum.plan import SECOND_US
from fleetlab.sim.world import NetworkConditions
from quorum.member import Member
from quorum.messages import Send
from quorum.raft import Role

if TYPE_CHECKING:
    from fleetlab.sim.quorum.simulation import QuorumSim

# No other fault begins for so long after a folder was restored: members need it to detect the old copy.
CALM_AFTER_RESTORE_US = 600_000
MAX_RESTORE_ATTEMPTS = 20  # times to check whether a folder can be restored now, before giving up
# Each names a method of the adversary; a kind that is listed twice is drawn twice as often.
FAULT_KINDS = [
    "crash", "crash", "crash_all", "cut", "cut", "leader_alone", "leader_alone", "slow", "stall", "pause",
    "snapshot", "resign", "storm", "full", "old_copy",
]  # fmt: skip


class Adversary:
    """Draws the faults of one schedule, starts them at their times, and ends them."""

    def __init__(self, sim: QuorumSim) -> None:
        self.sim, self.plan, self.world = sim, sim.plan, sim.world
        self.network, self.nodes, self.names = sim.network, sim.nodes, sim.names
        self.copy_restored = False  # whether this schedule restores a folder from an old copy
        self._ended = False
        self._calm_until_us = 0  # true time before which no fault begins

    def schedule_faults(self) -> None:
        """Draw kinds and start times of all faults, and schedule them."""
        random = self.world.random
        kinds = [
            *(self.plan.fault_kinds or FAULT_KINDS),
            *(["change"] if self.plan.changes_membership else []),
        ]
        for _ in range(self.plan.fault_count):
            at_us = random.randint(SECOND_US, self.plan.seconds * SECOND_US)
            kind = random.choice(kinds)
            self.world.call_at(at_us, partial(self._begin_fault, getattr(self, f"_{kind}"), random))

    def _begin_fault(self, fault: Callable[[Random], None], random: Random) -> None:
        if self.world.now_us >= self._calm_until_us:
            fault(random)

    def crashes_after_step(self, out: list[Any]) -> bool:
        """Whether a member's machine crashes right after a step in which it sent something to others."""
        if (
            not self.plan.crash_after_step_rate
            or self._ended
            or self.world.now_us < self._calm_until_us
            or not any(isinstance(item, Send) for item in out)
        ):
            return False
        return self.world.random.random() < self.plan.crash_after_step_rate

    def _crash(self, random: Random) -> None:
        self._crash_members([random.choice(self.names)], random)

    def _crash_all(self, random: Random) -> None:
        self._crash_members(list(self.names), random)

    def _crash_members(self, names: list[str], random: Random) -> None:
        for name in names:
            machine = random.random() < 0.7
            self.nodes[name].crash(machine)
            for_us = random.randint(20_000, 2 * SECOND_US)
            self.sim.history.record_fault(
                "kill", [name], for_us, "with its machine" if machine else "the process alone"
            )
            self.world.call_later(for_us, self.nodes[name].start)

    def _cut(self, random: Random) -> None:
        """Cut links between one member and some or all members and holders, in one or both directions."""
        name, links = random.choice(self.names), set[tuple[str, str]]()
        both = random.random() < 0.5
        everybody = [*self.names, *(holder.name for holder in self.sim.holders)]
        others = everybody if random.random() < 0.5 else random.sample(everybody, len(everybody) // 2)
        for other in others:
            if other != name:
                links |= {(name, other)} | ({(other, name)} if both else set())
        self.network.cut_links |= links
        for_us = random.randint(SECOND_US // 10, 3 * SECOND_US)
        self.sim.history.record_fault(
            "cut", [name], for_us, "both ways" if both else "one way", sorted(set(others) - {name})
        )
        self.world.call_later(for_us, partial(self._restore_links, links))

    def _leader_alone(self, random: Random) -> None:
        """Cut the leader off from the other members but not from clients, sometimes in one direction only."""
        leaders = [node.name for node in self.nodes.values() if node.core and node.core.raft.leader_state]
        for name in leaders:
            links = {(name, other) for other in self.names if other != name}
            if random.random() < 0.7:
                links |= {(other, name) for _, other in links}
            self.network.cut_links |= links
            for_us = random.randint(SECOND_US // 10, 2 * SECOND_US)
            self.sim.history.record_fault("cut", [name], for_us, "a leader from the members")
            self.world.call_later(for_us, partial(self._restore_links, links))

    def _restore_links(self, links: set[tuple[str, str]]) -> None:
        self.network.cut_links -= links

    def _slow(self, random: Random) -> None:
        node = self.nodes[random.choice(self.names)]
        node.extra_sync_delay_us = random.randint(20_000, 400_000)

        def restore_disk() -> None:
            node.extra_sync_delay_us = 0

        for_us = random.randint(SECOND_US // 2, 3 * SECOND_US)
        self.sim.history.record_fault("slow", [node.name], for_us, "its disk")
        self.world.call_later(for_us, restore_disk)

    def _stall(self, random: Random) -> None:
        """Pause a member, the leader if there is one; it continues in the same state."""
        leaders = [node for node in self.nodes.values() if node.core and node.core.raft.leader_state]
        node = random.choice(leaders or list(self.nodes.values()))
        for_us = random.randint(SECOND_US // 10, SECOND_US)
        node.stalled_until_us = self.world.now_us + for_us
        self.sim.history.record_fault("pause", [node.name], for_us, "a member")

    def _pause(self, random: Random) -> None:
        """Pause a holder, up to longer than its lease."""
        holder = random.choice(self.sim.holders)
        for_us = random.randint(SECOND_US // 10, 2 * SECOND_US)
        holder.paused_until_us = self.world.now_us + for_us
        self.sim.history.record_fault("pause", [holder.name], for_us, "a holder")

    def _old_copy(self, random: Random) -> None:
        """Restore one member's folder from an old copy, at most once in a schedule."""
        # A majority has to remain without that member, so members must not change as well.
        if self.copy_restored or self.plan.changes_membership:
            return
        self.copy_restored = True
        node = self.nodes[random.choice(self.names)]
        copy, recorded_starts = list(node.disk.durable), node.recorded_starts

        def restore(attempts_left: int) -> None:
            """Restore the copy while no other fault is active: members can detect one at a time."""
            if not self._others_are_healthy(node):
                if attempts_left:
                    self.world.call_later(SECOND_US // 5, lambda: restore(attempts_left - 1))
                return
            node.crash(machine=True)
            node.disk.durable, node.recorded_starts = copy, recorded_starts
            self.sim.counts["old copies"] += 1
            self._calm_until_us = self.world.now_us + CALM_AFTER_RESTORE_US
            for_us = random.randint(1_000, CALM_AFTER_RESTORE_US // 2)
            self.sim.history.record_fault("kill", [node.name], for_us, "and its folder put back from a copy")
            self.world.call_later(for_us, node.start)

        self.world.call_later(
            random.randint(SECOND_US // 2, 3 * SECOND_US), lambda: restore(MAX_RESTORE_ATTEMPTS)
        )

    def _others_are_healthy(self, node: QuorumNode) -> bool:
        """Whether all other members run, follow a leader among them, lag in nothing, and have no fault."""
        others = [other for other in self.nodes.values() if other is not node]
        rafts = [other.core.raft for other in others if other.core]
        if len(rafts) < len(others) or len({raft.leader for raft in rafts}) != 1:
            return False
        if rafts[0].leader not in {other.name for other in others}:
            return False
        if max(raft.commit for raft in rafts) > min(raft.log.last_index for raft in rafts):
            return False
        if any(other.extra_sync_delay_us or other.stalled_until_us > self.world.now_us for other in others):
            return False
        return not self.network.cut_links and self.network.conditions.loss_rate <= self.plan.loss_rate

    def _full(self, random: Random) -> None:
        """Fill the disk of one member or of all: it refuses writes that can wait."""
        names = list(self.names) if random.random() < 0.4 else [random.choice(self.names)]
        for node in (self.nodes[name] for name in names):
            node.set_disk_full(True)
            for_us = random.randint(SECOND_US // 2, 3 * SECOND_US)
            self.sim.history.record_fault("limit", [node.name], for_us, "its disk is full")
            self.world.call_later(for_us, partial(node.set_disk_full, False))

    def _snapshot(self, random: Random) -> None:
        self.nodes[random.choice(self.names)].run_step(lambda member, _: member.compact())

    def _resign(self, _random: Random) -> None:
        for node in self.nodes.values():
            node.run_step(lambda member, now_us: member.step_down(now_us))

    def _storm(self, random: Random) -> None:
        self.network.conditions = NetworkConditions(0.2, 0.2, 0.3)
        for_us = random.randint(SECOND_US // 2, 2 * SECOND_US)
        self.sim.history.record_fault("datagrams", list(self.names), for_us, "lost, doubled and late")
        self.world.call_later(for_us, self.restore_network)

    def restore_network(self) -> None:
        """Set the network to the plan's normal conditions."""
        self.network.conditions = NetworkConditions(
            self.plan.loss_rate, self.plan.duplicate_rate, self.plan.late_rate
        )

    def _change(self, random: Random) -> None:
        """Ask the leader to remove a member, or to add one that was removed; two members remain at least."""
        for node in self.nodes.values():
            member = node.core
            if member is None or member.raft.role is not Role.LEADER:
                continue
            current = member.raft.members
            removed = [name for name in self.names if name not in current]
            name = random.choice(removed or list(current))
            changed = tuple(sorted(set(current) ^ {name}))
            if len(changed) >= 2:
                tag = self.sim.register_callback(node.name, lambda _: None)
                self.sim.counts["changes"] += 1
                node.run_step(partial(change_members, tag, changed))
            return

    def end_all_faults(self) -> None:
        """End all faults, and crash no machine after a step any more."""
        self._ended = True
        self.network.cut_links.clear()
        self.network.conditions = NetworkConditions()
        for node in self.nodes.values():
            node.extra_sync_delay_us = 0
            node.start()
            node.set_disk_full(False)
        for holder in self.sim.holders:
            holder.paused_until_us = 0


def change_members(tag: int, members: tuple[str, ...], member: Member, now_us: int) -> list[Any]:
    """Request a membership change, as a step of a member."""
    return member.change_members(now_us, tag, members)
