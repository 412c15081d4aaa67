"""Simulated fleets of the membership service: members with drifting clocks, faults, and what members believe.

Members run the service's own core. Measured are: whether all running members have the same view some time
after the faults have ended; members that were declared failed although they were up, reachable and not slow;
how long it took until the first and the last member considered a lost one failed; and the messages sent. News
of an old generation of a member must not affect a later one.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from random import Random

from fleetlab.sim.node import SimNode
from fleetlab.sim.world import Network, NetworkConditions, World
from membership.core import SECOND_US, MembershipCore, Settings
from membership.messages import Exchange, Message, Output, SendMessage, State, StateChanged, Update

MAX_DRIFT = 0.005  # largest relative error of a member's clock rate


@dataclass(frozen=True, slots=True)
class Plan:
    """The configuration of a simulated fleet."""

    members: int = 40
    settings: Settings = field(default_factory=Settings)
    conditions: NetworkConditions = field(
        default_factory=lambda: NetworkConditions(loss_rate=0.01, min_delay_us=200, max_delay_us=3_000)
    )
    core: type[MembershipCore] = MembershipCore
    name_format: str = "m{}"  # format of a member's name, which is also its address, by its number
    zones: tuple[str, ...] = ("",)  # assigned to members in rotation
    first_generation: int = 1


@dataclass(slots=True)
class LostMember:
    """A member that was killed, and when others first considered it failed (true times in µs)."""

    lost_at_us: int
    detected_at_us: dict[str, int] = field(default_factory=dict)  # by the other member's name


class MemberNode(SimNode[MembershipCore]):
    """The simulated process of one member."""

    def __init__(self, sim: MembershipSim, name: str, seeds: tuple[str, ...]) -> None:
        super().__init__(sim.world, name)
        self.sim, self._seeds = sim, seeds
        self.zone = ""
        self.generation = sim.plan.first_generation - 1

    def draw_clock_rate(self) -> float:
        """Draw a rate within ``MAX_DRIFT``."""
        return 1 + self.world.random.uniform(-MAX_DRIFT, MAX_DRIFT)

    def create_core(self) -> MembershipCore:
        """Return a member that knows only itself and its seeds."""
        own = Update(self.name, self.name, self.zone, self.generation, 0, State.ALIVE)
        return self.sim.plan.core(
            own, self._seeds, settings=self.sim.plan.settings, random=Random(self.world.random.random()),
            now_us=self.clock.now_us(),
        )  # fmt: skip

    def kill(self) -> None:
        """End the process without announcing it to other members."""
        self.core = None

    def execute_actions(self, actions: list[Output]) -> None:
        """Send messages, and record changes in the state of other members."""
        for item in actions:
            match item:
                case SendMessage():
                    self.sim.send(self.name, item.address, item.message)
                case StateChanged():
                    self.sim.record_state_change(self.name, item)


class MembershipSim:
    """One simulated run of a fleet."""

    def __init__(self, seed: int, plan: Plan) -> None:
        self.plan, self.world = plan, World(seed)
        self.network: Network[Message] = Network(self.world, self._deliver)
        self.network.conditions = plan.conditions
        self.names = [plan.name_format.format(number) for number in range(plan.members)]
        self.nodes = {name: MemberNode(self, name, tuple(self.names[:3])) for name in self.names}
        for number, node in enumerate(self.nodes.values()):
            node.zone = plan.zones[number % len(plan.zones)]
        self.lost_members: dict[str, LostMember] = {}
        # True time in µs, the member that declared a failure, and the healthy member that it declared failed.
        self.false_alarms: list[tuple[int, str, str]] = []
        # Members that were slow or cut off at some time: false alarms by or about them are not counted.
        self.excused_members: set[str] = set()
        self.sent: Counter[str] = Counter()  # messages by type
        self.sent_updates: dict[str, int] = defaultdict(int)  # updates in messages, by the message's type

    def send(self, sender: str, to: str, message: Message) -> None:
        """Send a message; exchanges go over a connection, which loses nothing unless it is cut."""
        self.sent[type(message).__name__] += 1
        self.sent_updates[type(message).__name__] += len(message.updates)
        if isinstance(message, Exchange):
            if not {(sender, to), (to, sender)} & self.network.cut_links:
                delay_us = self.world.random.randint(500, 8_000)
                self.world.call_later(delay_us, lambda: self._deliver(sender, to, message))
            return
        self.network.send(sender, to, message)

    def _deliver(self, _sender: str, to: str, message: Message) -> None:
        if to in self.nodes:
            self.nodes[to].run_step(lambda core, now_us: core.receive(now_us, message))

    def record_state_change(self, name: str, event: StateChanged) -> None:
        """Record that a member changed the state in which it holds another one."""
        other = event.update.name
        if event.update.state is not State.FAILED:
            return
        node = self.nodes[other]
        if other in self.lost_members and node.core is None:
            self.lost_members[other].detected_at_us.setdefault(name, self.world.now_us)
        elif node.core is not None and node.generation == event.update.generation:
            excused = {name, other} & self.excused_members
            if not excused:
                self.false_alarms.append((self.world.now_us, name, other))

    # Time and faults

    def start_all(self, within_us: int = 0) -> None:
        """Start all members, each at a random time within ``within_us``."""
        for node in self.nodes.values():
            self.world.call_later(self.world.random.randint(0, within_us), node.start)

    def run(self, seconds: float) -> None:
        """Advance the simulation by some seconds."""
        self.world.run_until(self.world.now_us + int(seconds * SECOND_US))

    def kill(self, *names: str) -> None:
        """Kill members; others have to detect it."""
        for name in names:
            self.lost_members[name] = LostMember(self.world.now_us)
            self.nodes[name].kill()

    def restart(self, *names: str) -> None:
        """Start members again, as new generations under their old names."""
        for name in names:
            self.nodes[name].start()

    def run_intermittently(
        self, name: str, share: float, seconds: float, tick_us: int = 2 * SECOND_US
    ) -> None:
        """Let a member run only for a share of each tick for some seconds, and excuse it from alarms."""
        self.excused_members.add(name)
        until_us = self.world.now_us + int(seconds * SECOND_US)

        def stall() -> None:
            if self.world.now_us < until_us:
                self.nodes[name].stalled_until_us = self.world.now_us + int(tick_us * (1 - share))
                self.world.call_later(tick_us, stall)

        stall()

    def cut_links(self, links: set[tuple[str, str]]) -> None:
        """Cut links, each one direction from sender to receiver; members at both ends are excused."""
        self.network.cut_links |= links
        self.excused_members |= {name for link in links for name in link}

    def partition(self, part: float = 0.5) -> set[tuple[str, str]]:
        """Cut the fleet into two parts, the first with that share of it; returns the links that were cut."""
        boundary = int(len(self.names) * part)
        one, other = self.names[:boundary], self.names[boundary:]
        links = {(a, b) for a in one for b in other} | {(b, a) for a in one for b in other}
        self.cut_links(links)
        return links

    def heal(self) -> None:
        """Restore all links."""
        self.network.cut_links.clear()

    # Views of members

    def views(self) -> dict[str, frozenset[tuple[str, int]]]:
        """Return, for each running member, the names and generations that it considers live."""
        return {name: live_view(node.core) for name, node in self.nodes.items() if node.core is not None}

    def is_agreed(self) -> bool:
        """Whether each running member considers exactly these live, in their current generations."""
        running = frozenset(
            (name, node.generation) for name, node in self.nodes.items() if node.core is not None
        )
        return all(live_view(node.core) == running for node in self.nodes.values() if node.core is not None)

    def run_until_agreed(self, max_s: float, step_s: float = 0.5) -> float | None:
        """Run until all views agree; returns the seconds that it took, or None if longer than ``max_s``."""
        start_us = self.world.now_us
        while self.world.now_us - start_us <= max_s * SECOND_US:
            if self.is_agreed():
                return (self.world.now_us - start_us) / SECOND_US
            self.run(step_s)
        return None

    def detection_times_s(self, name: str) -> tuple[float, float] | None:
        """Return the seconds from a loss until the first and the last running member detected it.

        None if a running member has not detected it.
        """
        lost = self.lost_members[name]
        running = [other for other, node in self.nodes.items() if node.core is not None]
        if any(other not in lost.detected_at_us for other in running):
            return None
        times = [lost.detected_at_us[other] - lost.lost_at_us for other in running]
        return min(times) / SECOND_US, max(times) / SECOND_US


def live_view(core: MembershipCore) -> frozenset[tuple[str, int]]:
    """Return the names and generations that a member considers live."""
    return frozenset((item.name, item.generation) for item in core.live_updates())
