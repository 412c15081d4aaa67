"""The history of a schedule in the format of the proving ground's runs."""

from __future__ import annotations

import msgspec

from fleetlab.scenario import FaultKind, Scenario
from fleetlab.sim.quorum.plan import SECOND_US
from fleetlab.sim.world import World
from standins import records


class History:
    """Records of faults and of actions on the fenced resource, in true time."""

    def __init__(self, world: World, seed: int) -> None:
        head = msgspec.to_builtins(Scenario(about="a schedule of the quorum"))
        self.records: list[records.AnyRecord] = [records.Head(0.0, head["about"], seed, [], {}, head)]
        self._world = world
        self._fault_count = 0

    def record_action(self, lease: str, holder: str, token: int, admitted: bool) -> None:
        """Record that an action reached the fenced resource, and whether it was admitted."""
        self.records.append(records.Acted(self._now_s, "fenced", lease, holder, token, admitted))

    def record_fault(
        self, kind: FaultKind, on: list[str], for_us: int, note: str, to: list[str] | None = None
    ) -> None:
        """Record that a fault begins now, and its end after ``for_us``."""
        number = self._fault_count
        self._fault_count += 1

        def add(phase: str) -> None:
            self.records.append(records.Fault(self._now_s, number, kind, phase, on, note, to or []))

        add("begin")
        self._world.call_later(for_us, lambda: add("end"))

    @property
    def _now_s(self) -> float:
        """The true time in seconds, the unit of histories."""
        return self._world.now_us / SECOND_US
