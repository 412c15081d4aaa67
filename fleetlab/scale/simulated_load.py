"""What a simulated fleet sends and uses in simulated time, for each member and second."""

from __future__ import annotations

from fleetlab.scale.process import processor_seconds
from fleetlab.scale.records import Reading, Source
from fleetlab.sim.settled import SettledSim
from membership.core import SECOND_US

EXCHANGE_KIND = "Exchange"


class LoadCounter:
    """Counts what the fleet does from the creation of this object on."""

    def __init__(self, sim: SettledSim) -> None:
        self._sim = sim
        self._begun_us, self._begun_processor_s = sim.world.now_us, processor_seconds()
        self._sent = sim.sent.copy()
        self._bytes = sim.bytes.copy()
        self._updates = dict(sim.updates)
        self._bytes_by_member = sim.bytes_by.copy()
        self._changes = sim.changes
        self._suspicion_checks = self._count_suspicion_checks()

    def _count_suspicion_checks(self) -> int:
        return sum(core.suspicions_looked_at for core in self._sim.cores())

    def _max_member_bytes(self) -> int:
        """Bytes sent by the member that sent most."""
        return max((self._sim.bytes_by - self._bytes_by_member).values(), default=0)

    def readings(self, phase: str) -> list[Reading]:
        """The figures so far, each named after the phase.

        ``member_second`` in a name means: divided by the members that are up and by the seconds.
        """
        sim = self._sim
        seconds = (sim.world.now_us - self._begun_us) / SECOND_US
        member_seconds = len(sim.cores()) * seconds
        processor_s = processor_seconds() - self._begun_processor_s
        messages, sent_bytes = sim.sent - self._sent, sim.bytes - self._bytes
        datagrams = messages.total() - messages[EXCHANGE_KIND]
        updates = sum(count - self._updates.get(name, 0) for name, count in sim.updates.items())
        datagram_updates = updates - (sim.updates[EXCHANGE_KIND] - self._updates.get(EXCHANGE_KIND, 0))
        per_member_second = {
            "datagrams": float(datagrams),
            "datagram_bytes": float(sent_bytes.total() - sent_bytes[EXCHANGE_KIND]),
            "exchanges": float(messages[EXCHANGE_KIND]),
            "exchange_bytes": float(sent_bytes[EXCHANGE_KIND]),
            "sent_bytes": float(sent_bytes.total()),
            "updates": float(datagram_updates),
            "changes": float(sim.changes - self._changes),
            "suspicions_looked_at": float(self._count_suspicion_checks() - self._suspicion_checks),
        }
        return [
            Reading(f"{phase}_seconds", seconds),
            *(
                Reading(f"{phase}_member_second_{name}", value / member_seconds)
                for name, value in per_member_second.items()
            ),
            Reading(f"{phase}_busiest_member_second_sent_bytes", self._max_member_bytes() / seconds),
            Reading(
                f"{phase}_member_second_processor_microseconds",
                1e6 * processor_s / member_seconds,
                Source.TIMED,
            ),
        ]
