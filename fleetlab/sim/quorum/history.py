"""The history of a schedule in the form in which the lab writes its runs."""

from __future__ import annotations

import msgspec

from fleetlab.scenario import FaultKind, Scenario
from fleetlab.sim.quorum.plan import SECOND
from fleetlab.sim.world import World
from standins import records


class History:
    """Faults and acts on the resource, in true time."""

    def __init__(self, world: World, seed: int) -> None:
        head = msgspec.to_builtins(Scenario(about="a schedule of the quorum"))
        self.records: list[records.AnyRecord] = [records.Head(0.0, head["about"], seed, [], {}, head)]
        self._world = world
        self._faults = 0

    def acted(self, lease: str, holder: str, token: int, admitted: bool) -> None:
        """An act came to the fenced resource."""
        self.records.append(records.Acted(self._now_s, "fenced", lease, holder, token, admitted))

    def fault(
        self, kind: FaultKind, on: list[str], for_us: int, note: str, to: list[str] | None = None
    ) -> None:
        """A fault begins, and ends after so long; both stand in the history."""
        number = self._faults
        self._faults += 1

        def add(phase: str) -> None:
            self.records.append(records.Fault(self._now_s, number, kind, phase, on, note, to or []))

        add("begin")
        self._world.after(for_us, lambda: add("end"))

    @property
    def _now_s(self) -> float:
        """True time, as histories have it."""
        return self._world.now_us / SECOND
