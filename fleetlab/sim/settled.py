"""A simulated fleet that starts with agreed views and encodes every message in the real wire format.

Not modelled is the process around the core: it sends at most 8 exchanges at once and accepts at most 64, so
seeds that are asked by many members at once reject some, and those ask again.
"""

from __future__ import annotations

from collections import Counter

from fleetlab.sim.members import MembershipSim, Plan
from fleetlab.sim.world import NetworkConditions
from membership import wire
from membership.core import MemberRecord, MembershipCore
from membership.messages import Exchange, Message, Output, StateChanged, Update

ZONES = ("east-1", "east-2", "east-3", "west-1", "west-2")
NAME_FORMAT = "relay-{:04}:7946"  # as long as a real address, for realistic message sizes
# Real generations are wall-clock times in ms; one of that size is encoded in as many bytes.
FIRST_GENERATION = 1_760_000_000_000
FLEET_HASH = wire.hash_fleet_name("fleet")
LOSS_RATE = 0.01  # share of datagrams that are lost


class SettledMember(MembershipCore):
    """A member that can start with an agreed view, and counts its checks of suspicions."""

    suspicion_checks = 0

    def settle(self, now_us: int, view: Exchange) -> None:
        """Take over a whole view without any of it queued as news for others."""
        self.receive(now_us, view)
        self._pending_updates.clear()
        self._update_queue.clear()
        self._next_exchange_us = now_us + self._random.randrange(self._settings.exchange_interval_us)

    def _suspicion_deadline_us(self, held: MemberRecord) -> int:
        self.suspicion_checks += 1
        # Called by class name, without the cost of super(): this runs for each suspect in each step.
        return MembershipCore._suspicion_deadline_us(self, held)


class SettledSim(MembershipSim):
    """A simulated run that counts the bytes sent, by type of message and by sender."""

    def __init__(self, seed: int, members: int, core: type[SettledMember] = SettledMember) -> None:
        """Create a fleet in which all members run and consider each other alive."""
        conditions = NetworkConditions(loss_rate=LOSS_RATE, min_delay_us=200, max_delay_us=3_000)
        super().__init__(
            seed,
            Plan(
                members,
                conditions=conditions,
                core=core,
                name_format=NAME_FORMAT,
                zones=ZONES,
                first_generation=FIRST_GENERATION,
            ),
        )
        self.bytes_by_type: Counter[str] = Counter()
        self.bytes_by_sender: Counter[str] = Counter()
        self.state_changes = 0
        self._settle_all()

    def _settle_all(self) -> None:
        for node in self.nodes.values():
            node.start()
        updates: list[Update] = [core.own_update for core in self.live_cores()]
        data = wire.encode(FLEET_HASH, Exchange("", tuple(updates), wants_reply=False))
        for node in self.nodes.values():
            node.run_step(lambda core, now_us: self._settle_member(core, now_us, data))

    def _settle_member(self, core: MembershipCore, now_us: int, data: bytes) -> list[Output]:
        # Decoded for each member, as members in separate processes share no objects.
        view = wire.decode(FLEET_HASH, data)
        assert isinstance(core, SettledMember)
        assert isinstance(view, Exchange)
        core.settle(now_us, view)
        return []

    def live_cores(self) -> list[SettledMember]:
        """Return the cores of all running members."""
        return [node.core for node in self.nodes.values() if isinstance(node.core, SettledMember)]

    def send(self, sender: str, to: str, message: Message) -> None:
        """Count the bytes, and send what the wire format keeps: a datagram drops updates beyond its size."""
        data = wire.encode(FLEET_HASH, message)
        prefix_bytes = wire.LENGTH_PREFIX.size if isinstance(message, Exchange) else 0
        self.bytes_by_type[type(message).__name__] += prefix_bytes + len(data)
        self.bytes_by_sender[sender] += prefix_bytes + len(data)
        super().send(sender, to, wire.decode(FLEET_HASH, data))

    def record_state_change(self, name: str, event: StateChanged) -> None:
        """Count the state changes that members report to their processes."""
        self.state_changes += 1
        super().record_state_change(name, event)
