"""The adversary: faults of machines, processes, disks and the network at random times of a schedule."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from fleetlab.sim.quorum.node import Node
from fleetlab.sim.quorum.plan import SECOND
from fleetlab.sim.world import Weather
from quorum.member import Member
from quorum.messages import Send
from quorum.raft import Role

if TYPE_CHECKING:
    from fleetlab.sim.quorum.simulation import QuorumSim

CALM_US = 600_000  # after a folder was put back, until the others have found it out
COPY_TRIES = 20  # at moments to put a folder back
FAULTS = [
    "crash", "crash", "crash_all", "cut", "cut", "leader_alone", "leader_alone", "slow", "stall", "pause",
    "snapshot", "resign", "storm", "full", "old_copy",
]  # fmt: skip


class Adversary:
    """Draws faults for one schedule, lets them begin, and ends them."""

    def __init__(self, sim: QuorumSim) -> None:
        self.sim, self.plan, self.world = sim, sim.plan, sim.world
        self.network, self.nodes, self.names = sim.network, sim.nodes, sim.names
        self.restores_copy = False  # a folder is put back from an old copy in this schedule
        self._over = False
        self._calm_until_us = 0  # no fault begins before

    def plan_faults(self) -> None:
        """Set the times at which faults begin."""
        random = self.world.random
        kinds = [*(self.plan.kinds or FAULTS), *(["change"] if self.plan.membership else [])]
        for _ in range(self.plan.faults):
            at_us = random.randint(SECOND, self.plan.seconds * SECOND)
            kind = random.choice(kinds)
            self.world.at(at_us, partial(self._strike, getattr(self, f"_{kind}"), random))

    def _strike(self, fault: Callable[[Random], None], random: Random) -> None:
        if self.world.now_us >= self._calm_until_us:
            fault(random)

    def strikes_after(self, out: list[Any]) -> bool:
        """Whether a member's machine goes down right after a step in which it promised something."""
        if (
            not self.plan.sudden
            or self._over
            or self.world.now_us < self._calm_until_us
            or not any(isinstance(item, Send) for item in out)
        ):
            return False
        return self.world.random.random() < self.plan.sudden

    def _crash(self, random: Random) -> None:
        self._crash_some([random.choice(self.names)], random)

    def _crash_all(self, random: Random) -> None:
        self._crash_some(list(self.names), random)

    def _crash_some(self, names: list[str], random: Random) -> None:
        for name in names:
            machine = random.random() < 0.7
            self.nodes[name].crash(machine)
            for_us = random.randint(20_000, 2 * SECOND)
            self.sim.history.fault(
                "kill", [name], for_us, "with its machine" if machine else "the process alone"
            )
            self.world.after(for_us, self.nodes[name].start)

    def _cut(self, random: Random) -> None:
        """One direction or both, between one member and some of all the others."""
        name, ways = random.choice(self.names), set[tuple[str, str]]()
        both = random.random() < 0.5
        everybody = [*self.names, *(holder.name for holder in self.sim.holders)]
        some = everybody if random.random() < 0.5 else random.sample(everybody, len(everybody) // 2)
        for other in some:
            if other != name:
                ways |= {(name, other)} | ({(other, name)} if both else set())
        self.network.cut |= ways
        for_us = random.randint(SECOND // 10, 3 * SECOND)
        self.sim.history.fault(
            "cut", [name], for_us, "both ways" if both else "one way", sorted(set(some) - {name})
        )
        self.world.after(for_us, partial(self._heal, ways))

    def _leader_alone(self, random: Random) -> None:
        """The leader is cut from the other members and not from clients, now and then in one direction."""
        leaders = [node.name for node in self.nodes.values() if node.core and node.core.raft.leader_state]
        for name in leaders:
            ways = {(name, other) for other in self.names if other != name}
            if random.random() < 0.7:
                ways |= {(other, name) for _, other in ways}
            self.network.cut |= ways
            for_us = random.randint(SECOND // 10, 2 * SECOND)
            self.sim.history.fault("cut", [name], for_us, "a leader from the members")
            self.world.after(for_us, partial(self._heal, ways))

    def _heal(self, ways: set[tuple[str, str]]) -> None:
        self.network.cut -= ways

    def _slow(self, random: Random) -> None:
        node = self.nodes[random.choice(self.names)]
        node.slow_disk_us = random.randint(20_000, 400_000)

        def heal() -> None:
            node.slow_disk_us = 0

        for_us = random.randint(SECOND // 2, 3 * SECOND)
        self.sim.history.fault("slow", [node.name], for_us, "its disk")
        self.world.after(for_us, heal)

    def _stall(self, random: Random) -> None:
        """A member, most often the leader, stands still and goes on where it was."""
        leaders = [node for node in self.nodes.values() if node.core and node.core.raft.leader_state]
        node = random.choice(leaders or list(self.nodes.values()))
        for_us = random.randint(SECOND // 10, SECOND)
        node.stalled_until_us = self.world.now_us + for_us
        self.sim.history.fault("pause", [node.name], for_us, "a member")

    def _pause(self, random: Random) -> None:
        """A holder stands still, longer than its lease."""
        holder = random.choice(self.sim.holders)
        for_us = random.randint(SECOND // 10, 2 * SECOND)
        holder.paused_until_us = self.world.now_us + for_us
        self.sim.history.fault("pause", [holder.name], for_us, "a holder")

    def _old_copy(self, random: Random) -> None:
        """One member's folder is put back from a copy that was made a while ago."""
        # Without that member, a majority of the others has to be able to go on.
        if self.restores_copy or self.plan.membership:
            return
        self.restores_copy = True
        node = self.nodes[random.choice(self.names)]
        copy, written = list(node.disk.durable), node.written

        def put_back(tries: int) -> None:
            """While all others are well, and stay so for a moment: one fault at a time can be found out."""
            if not self._well_without(node):
                if tries:
                    self.world.after(SECOND // 5, lambda: put_back(tries - 1))
                return
            node.crash(machine=True)
            node.disk.durable, node.written = copy, written
            self.sim.counts["old copies"] += 1
            self._calm_until_us = self.world.now_us + CALM_US
            for_us = random.randint(1_000, CALM_US // 2)
            self.sim.history.fault("kill", [node.name], for_us, "and its folder put back from a copy")
            self.world.after(for_us, node.start)

        self.world.after(random.randint(SECOND // 2, 3 * SECOND), lambda: put_back(COPY_TRIES))

    def _well_without(self, node: Node) -> bool:
        """Whether all other members are up, follow one of them, lag in nothing, and nothing holds them up."""
        others = [other for other in self.nodes.values() if other is not node]
        rafts = [other.core.raft for other in others if other.core]
        if len(rafts) < len(others) or len({raft.leader for raft in rafts}) != 1:
            return False
        if rafts[0].leader not in {other.name for other in others}:
            return False
        if max(raft.commit for raft in rafts) > min(raft.log.last_index for raft in rafts):
            return False
        if any(other.slow_disk_us or other.stalled_until_us > self.world.now_us for other in others):
            return False
        return not self.network.cut and self.network.weather.lost <= self.plan.lost

    def _full(self, random: Random) -> None:
        """A disk, or all of them, takes nothing that can wait."""
        some = list(self.names) if random.random() < 0.4 else [random.choice(self.names)]
        for node in (self.nodes[name] for name in some):
            node.fill(True)
            for_us = random.randint(SECOND // 2, 3 * SECOND)
            self.sim.history.fault("limit", [node.name], for_us, "its disk is full")
            self.world.after(for_us, partial(node.fill, False))

    def _snapshot(self, random: Random) -> None:
        self.nodes[random.choice(self.names)].do(lambda member, _: member.compact())

    def _resign(self, _random: Random) -> None:
        for node in self.nodes.values():
            node.do(lambda member, now_us: member.step_down(now_us))

    def _storm(self, random: Random) -> None:
        self.network.weather = Weather(0.2, 0.2, 0.3)
        for_us = random.randint(SECOND // 2, 2 * SECOND)
        self.sim.history.fault("datagrams", list(self.names), for_us, "lost, doubled and late")
        self.world.after(for_us, self.calm)

    def calm(self) -> None:
        """The network is as usual."""
        self.network.weather = Weather(self.plan.lost, self.plan.doubled, self.plan.late)

    def _change(self, random: Random) -> None:
        """A member is taken out, or one that is out comes back."""
        for node in self.nodes.values():
            member = node.core
            if member is None or member.raft.role is not Role.LEADER:
                continue
            now = member.raft.members
            out = [name for name in self.names if name not in now]
            name = random.choice(out or list(now))
            then = tuple(sorted(set(now) ^ {name}))
            if len(then) >= 2:
                tag = self.sim.expect_answer(node.name, lambda _: None)
                self.sim.counts["changes"] += 1
                node.do(partial(change_members, tag, then))
            return

    def end(self) -> None:
        """All faults end at once, and no machine goes down after a step any more."""
        self._over = True
        self.network.cut.clear()
        self.network.weather = Weather()
        for node in self.nodes.values():
            node.slow_disk_us = 0
            node.start()
            node.fill(False)
        for holder in self.sim.holders:
            holder.paused_until_us = 0


def change_members(tag: int, members: tuple[str, ...], member: Member, now_us: int) -> list[Any]:
    """A change of membership as a step of a member."""
    return member.change_members(now_us, tag, members)
