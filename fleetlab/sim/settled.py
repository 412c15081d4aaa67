"""A simulated fleet that begins settled, and whose every message passes through the real wire format.

Not modelled: the process around the core. It sends at most 8 whole exchanges at once and takes at most 64, so
that seeds which many ask together leave some out, and those ask again.
"""

from __future__ import annotations

from collections import Counter

from fleetlab.sim.members import PeersSim, Plan
from fleetlab.sim.world import Weather
from membership import wire
from membership.core import MemberRecord, MembershipCore
from membership.messages import Exchange, Message, Output, StateChanged, Update

ZONES = ("east-1", "east-2", "east-3", "west-1", "west-2")
NAMES = "relay-{:04}:7946"  # as long as an address
FIRST_GENERATION = 1_760_000_000_000  # a real one is a wall clock's milliseconds
FLEET = wire.hash_fleet_name("fleet")
LOST = 0.01  # share of datagrams


class SettledPeers(MembershipCore):
    """A member that can begin with a view that was told long ago, and counts the suspicions it looks at."""

    suspicions_looked_at = 0

    def settle(self, now_us: int, view: Exchange) -> None:
        """Hold a whole view, and pass none of it on."""
        self.receive(now_us, view)
        self._pending_updates.clear()
        self._update_queue.clear()
        self._next_exchange_us = now_us + self._random.randrange(self._settings.exchange_interval_us)

    def _suspicion_deadline_us(self, held: MemberRecord) -> int:
        self.suspicions_looked_at += 1
        return MembershipCore._suspicion_deadline_us(
            self, held
        )  # called for each suspect at each step: without super's own cost


class SettledSim(PeersSim):
    """One run; ``bytes`` counts what is sent, by the name of the message."""

    def __init__(self, seed: int, members: int, core: type[SettledPeers] = SettledPeers) -> None:
        """All members are up and hold each other to be alive."""
        weather = Weather(lost=LOST, least_us=200, most_us=3_000)
        super().__init__(
            seed,
            Plan(
                members,
                weather=weather,
                core=core,
                names=NAMES,
                zones=ZONES,
                first_generation=FIRST_GENERATION,
            ),
        )
        self.bytes: Counter[str] = Counter()
        self.bytes_by: Counter[str] = Counter()  # by sender
        self.changes = 0
        self._settle()

    def _settle(self) -> None:
        for node in self.nodes.values():
            node.start()
        updates: list[Update] = [core.own_update for core in self.cores()]
        data = wire.encode(FLEET, Exchange("", tuple(updates), wants_reply=False))
        for node in self.nodes.values():
            node.do(lambda core, now_us: self._settled(core, now_us, data))

    def _settled(self, core: MembershipCore, now_us: int, data: bytes) -> list[Output]:
        view = wire.decode(FLEET, data)  # each member has objects of its own, as in a process of its own
        assert isinstance(core, SettledPeers)
        assert isinstance(view, Exchange)
        core.settle(now_us, view)
        return []

    def cores(self) -> list[SettledPeers]:
        """Of all members that are up."""
        return [node.core for node in self.nodes.values() if isinstance(node.core, SettledPeers)]

    def said(self, sender: str, to: str, message: Message) -> None:
        """Count the bytes; what does not fit a datagram is left out, as it is by a process."""
        data = wire.encode(FLEET, message)
        head = wire.LENGTH_PREFIX.size if isinstance(message, Exchange) else 0
        self.bytes[type(message).__name__] += head + len(data)
        self.bytes_by[sender] += head + len(data)
        super().said(sender, to, wire.decode(FLEET, data))

    def changed(self, name: str, event: StateChanged) -> None:
        """Count what members have to tell their processes."""
        self.changes += 1
        super().changed(name, event)
