"""A simulated fleet that begins settled, and whose every message passes through the real wire format.

Not modelled: the process around the core. It sends at most 8 whole exchanges at once and takes at most 64, so
that seeds which many ask together leave some out, and those ask again.
"""

from __future__ import annotations

from collections import Counter

from fleetlab.sim.members import MembershipSim, Plan
from fleetlab.sim.world import NetworkConditions
from membership import wire
from membership.core import MemberRecord, MembershipCore
from membership.messages import Exchange, Message, Output, StateChanged, Update

ZONES = ("east-1", "east-2", "east-3", "west-1", "west-2")
NAME_FORMAT = "relay-{:04}:7946"  # as long as an address
FIRST_GENERATION = 1_760_000_000_000  # a real one is a wall clock's milliseconds
FLEET_HASH = wire.hash_fleet_name("fleet")
LOSS_RATE = 0.01  # share of datagrams


class SettledMember(MembershipCore):
    """A member that can begin with a view that was told long ago, and counts the suspicions it looks at."""

    suspicion_checks = 0

    def settle(self, now_us: int, view: Exchange) -> None:
        """Hold a whole view, and pass none of it on."""
        self.receive(now_us, view)
        self._pending_updates.clear()
        self._update_queue.clear()
        self._next_exchange_us = now_us + self._random.randrange(self._settings.exchange_interval_us)

    def _suspicion_deadline_us(self, held: MemberRecord) -> int:
        self.suspicion_checks += 1
        return MembershipCore._suspicion_deadline_us(
            self, held
        )  # called for each suspect at each step: without super's own cost


class SettledSim(MembershipSim):
    """One run; ``bytes`` counts what is sent, by the name of the message."""

    def __init__(self, seed: int, members: int, core: type[SettledMember] = SettledMember) -> None:
        """All members are up and hold each other to be alive."""
        weather = NetworkConditions(loss_rate=LOSS_RATE, min_delay_us=200, max_delay_us=3_000)
        super().__init__(
            seed,
            Plan(
                members,
                conditions=weather,
                core=core,
                name_format=NAME_FORMAT,
                zones=ZONES,
                first_generation=FIRST_GENERATION,
            ),
        )
        self.bytes_by_type: Counter[str] = Counter()
        self.bytes_by_sender: Counter[str] = Counter()  # by sender
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
        view = wire.decode(FLEET_HASH, data)  # each member has objects of its own, as in a process of its own
        assert isinstance(core, SettledMember)
        assert isinstance(view, Exchange)
        core.settle(now_us, view)
        return []

    def live_cores(self) -> list[SettledMember]:
        """Of all members that are up."""
        return [node.core for node in self.nodes.values() if isinstance(node.core, SettledMember)]

    def send(self, sender: str, to: str, message: Message) -> None:
        """Count the bytes; what does not fit a datagram is left out, as it is by a process."""
        data = wire.encode(FLEET_HASH, message)
        head = wire.LENGTH_PREFIX.size if isinstance(message, Exchange) else 0
        self.bytes_by_type[type(message).__name__] += head + len(data)
        self.bytes_by_sender[sender] += head + len(data)
        super().send(sender, to, wire.decode(FLEET_HASH, data))

    def record_state_change(self, name: str, event: StateChanged) -> None:
        """Count what members have to tell their processes."""
        self.state_changes += 1
        super().record_state_change(name, event)
