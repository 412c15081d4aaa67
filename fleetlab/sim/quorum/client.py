"""A client of the simulated quorum: it asks members until there is a certain answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fleetlab.sim.quorum.plan import DRIFT, DRIFT_USED
from fleetlab.sim.world import SimClock
from quorum.holder import RequestTiming
from quorum.member import Elsewhere, NoRoom, Request, Response, Unknown

if TYPE_CHECKING:
    from fleetlab.sim.quorum.simulation import QuorumSim

PATIENCE_US = 400_000  # of a client for one answer


@dataclass(slots=True)
class PendingRequest:
    """A request on its way, with all its repeats."""

    request: Request
    called_us: int
    done: Callable[[Response, int], None]
    asking: RequestTiming
    tries: int = 0
    over: bool = False


class Client:
    """Sends requests to the member that it holds to lead, and repeats them until an answer is certain."""

    def __init__(self, sim: QuorumSim, name: str) -> None:
        self.sim, self.name = sim, name
        random = sim.world.random
        rate = 1 + random.uniform(-DRIFT, DRIFT) * DRIFT_USED
        self.clock = SimClock(sim.world, rate, random.randint(0, 10**9))
        self.leader = ""

    def ask(self, request: Request, done: Callable[[Response, int], None]) -> None:
        """Ask until there is an answer that is certain; ``done`` also gets from when it counts."""
        self._try(PendingRequest(request, self.sim.world.now_us, done, self.sim.parts.asking()))

    def _try(self, pending: PendingRequest) -> None:
        if pending.over:
            return
        pending.tries += 1
        number = pending.tries
        pending.asking.record_sent(self.clock.now_us())
        names = self.sim.names
        known = self.leader if self.leader in names else self.sim.world.random.choice(names)
        self.sim.ask(self.name, known, pending.request, lambda answer: self._heard(pending, number, answer))
        self.sim.world.after(PATIENCE_US, lambda: self._missed(pending, number))

    def _missed(self, pending: PendingRequest, number: int) -> None:
        if not pending.over and pending.tries == number:
            self.leader = ""
            self._try(pending)

    def _heard(self, pending: PendingRequest, number: int, answer: Response) -> None:
        if pending.over or pending.tries != number:
            return
        uncertain = isinstance(answer, NoRoom) and pending.tries > 1  # an earlier try may be done
        if isinstance(answer, Elsewhere | Unknown) or uncertain:
            self.leader = answer.leader if isinstance(answer, Elsewhere) else ""
            self.sim.world.after(self.sim.world.random.randint(5_000, 60_000), lambda: self._try(pending))
            return
        pending.over = True
        pending.done(answer, pending.asking.lease_start_us)
