"""Schedules of a fleet that knows itself: members with drifting clocks, an adversary, and what they hold.

Members are the service's own core. What is judged: whether all that are up hold the same once faults are over
and so much time has passed; who was declared failed though it was up, reachable and in time; how long it took
until the first and the last held a lost one failed; that no word on an old life touches a later one; what was
sent.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from random import Random

from fleetlab.sim.node import SimNode
from fleetlab.sim.world import Network, Weather, World
from membership.core import SECOND_US, MembershipCore, Settings
from membership.messages import Exchange, Message, Output, SendMessage, State, StateChanged, Update

DRIFT = 0.005


@dataclass(frozen=True, slots=True)
class Plan:
    """What a run is made of."""

    members: int = 40
    settings: Settings = field(default_factory=Settings)
    weather: Weather = field(default_factory=lambda: Weather(lost=0.01, least_us=200, most_us=3_000))
    core: type[MembershipCore] = MembershipCore
    names: str = "m{}"  # a member's name and address, by its number
    zones: tuple[str, ...] = ("",)  # members are in each in turn
    first_generation: int = 1


@dataclass(slots=True)
class Lost:
    """A member that went, and when each other held it failed."""

    at_us: int
    by_us: dict[str, int] = field(default_factory=dict)


class Node(SimNode[MembershipCore]):
    """One member on its machine."""

    def __init__(self, sim: PeersSim, name: str, seeds: tuple[str, ...]) -> None:
        super().__init__(sim.world, name)
        self.sim, self._seeds = sim, seeds
        self.zone = ""
        self.generation = sim.plan.first_generation - 1

    def draw_rate(self) -> float:
        """Within the bound of drift."""
        return 1 + self.world.random.uniform(-DRIFT, DRIFT)

    def create_core(self) -> MembershipCore:
        """A member that knows its seeds alone."""
        me = Update(self.name, self.name, self.zone, self.generation, 0, State.ALIVE)
        return self.sim.plan.core(
            me, self._seeds, settings=self.sim.plan.settings, random=Random(self.world.random.random()),
            now_us=self.clock.now_us(),
        )  # fmt: skip

    def kill(self) -> None:
        """It goes without a word."""
        self.core = None

    def carry_out(self, actions: list[Output]) -> None:
        """Send what it says, and note what it holds."""
        for item in actions:
            match item:
                case SendMessage():
                    self.sim.said(self.name, item.address, item.message)
                case StateChanged():
                    self.sim.changed(self.name, item)


class PeersSim:
    """One run."""

    def __init__(self, seed: int, plan: Plan) -> None:
        self.plan, self.world = plan, World(seed)
        self.network: Network[Message] = Network(self.world, self._deliver)
        self.network.weather = plan.weather
        self.names = [plan.names.format(number) for number in range(plan.members)]
        self.nodes = {name: Node(self, name, tuple(self.names[:3])) for name in self.names}
        for number, node in enumerate(self.nodes.values()):
            node.zone = plan.zones[number % len(plan.zones)]
        self.lost: dict[str, Lost] = {}
        self.false_alarms: list[tuple[int, str, str]] = []  # when, by whom, on whom
        self.excused: set[str] = set()  # members that are slow, cut off, or gone
        self.sent: Counter[str] = Counter()
        self.updates: dict[str, int] = defaultdict(int)

    def said(self, sender: str, to: str, message: Message) -> None:
        """A message on its way; an exchange by a connection, which loses nothing unless it is cut."""
        self.sent[type(message).__name__] += 1
        self.updates[type(message).__name__] += len(message.updates)
        if isinstance(message, Exchange):
            if not {(sender, to), (to, sender)} & self.network.cut:
                delay_us = self.world.random.randint(500, 8_000)
                self.world.after(delay_us, lambda: self._deliver(sender, to, message))
            return
        self.network.send(sender, to, message)

    def _deliver(self, _sender: str, to: str, message: Message) -> None:
        if to in self.nodes:
            self.nodes[to].do(lambda core, now_us: core.receive(now_us, message))

    def changed(self, name: str, event: StateChanged) -> None:
        """A member holds another to be otherwise."""
        other = event.update.name
        if event.update.state is not State.FAILED:
            return
        node = self.nodes[other]
        if other in self.lost and node.core is None:
            self.lost[other].by_us.setdefault(name, self.world.now_us)
        elif node.core is not None and node.generation == event.update.generation:
            spared = {name, other} & self.excused
            if not spared:
                self.false_alarms.append((self.world.now_us, name, other))

    # What may happen

    def start_all(self, within_us: int = 0) -> None:
        """All of them, together or within a time."""
        for node in self.nodes.values():
            self.world.after(self.world.random.randint(0, within_us), node.start)

    def run(self, seconds: float) -> None:
        """Let so much time pass."""
        self.world.run(self.world.now_us + int(seconds * SECOND_US))

    def kill(self, *names: str) -> None:
        """Some go without a word."""
        for name in names:
            self.lost[name] = Lost(self.world.now_us)
            self.nodes[name].kill()

    def restart(self, *names: str) -> None:
        """They come back, as new lives under their names."""
        for name in names:
            self.nodes[name].start()

    def stop_and_go(self, name: str, share: float, seconds: float, tick_us: int = 2 * SECOND_US) -> None:
        """A member that runs so small a part of the time."""
        self.excused.add(name)
        until_us = self.world.now_us + int(seconds * SECOND_US)

        def stall() -> None:
            if self.world.now_us < until_us:
                self.nodes[name].stalled_until_us = self.world.now_us + int(tick_us * (1 - share))
                self.world.after(tick_us, stall)

        stall()

    def cut(self, ways: set[tuple[str, str]]) -> None:
        """Nothing passes there; who is at an end of it is excused."""
        self.network.cut |= ways
        self.excused |= {name for way in ways for name in way}

    def halve(self, part: float = 0.5) -> set[tuple[str, str]]:
        """Two parts that do not reach each other; the ways between them."""
        at = int(len(self.names) * part)
        one, other = self.names[:at], self.names[at:]
        ways = {(a, b) for a in one for b in other} | {(b, a) for a in one for b in other}
        self.cut(ways)
        return ways

    def heal(self) -> None:
        """Everything passes again."""
        self.network.cut.clear()

    # What is held

    def views(self) -> dict[str, frozenset[tuple[str, int]]]:
        """Of each member that is up: the names and generations that it holds to live."""
        return {name: view_of(node.core) for name, node in self.nodes.items() if node.core is not None}

    def agreed(self) -> bool:
        """Whether all that are up hold exactly those to live, each by its life of now."""
        up = frozenset((name, node.generation) for name, node in self.nodes.items() if node.core is not None)
        return all(view_of(node.core) == up for node in self.nodes.values() if node.core is not None)

    def until_agreed(self, most_s: float, step_s: float = 0.5) -> float | None:
        """Seconds until all agree; None where they do not in time."""
        begun_us = self.world.now_us
        while self.world.now_us - begun_us <= most_s * SECOND_US:
            if self.agreed():
                return (self.world.now_us - begun_us) / SECOND_US
            self.run(step_s)
        return None

    def detection_s(self, name: str) -> tuple[float, float] | None:
        """From a loss until the first and the last of those up held it failed; None where one does not."""
        lost = self.lost[name]
        up = [other for other, node in self.nodes.items() if node.core is not None]
        if any(other not in lost.by_us for other in up):
            return None
        times = [lost.by_us[other] - lost.at_us for other in up]
        return min(times) / SECOND_US, max(times) / SECOND_US


def view_of(core: MembershipCore) -> frozenset[tuple[str, int]]:
    """The names and generations that a member holds to live."""
    return frozenset((item.name, item.generation) for item in core.live_updates())
