"""A client of the simulated quorum, which repeats each request until it has a definite answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fleetlab.sim.quorum.plan import MAX_DRIFT, USED_DRIFT_SHARE
from fleetlab.sim.world import SimClock
from quorum.holder import RequestTiming
from quorum.member import Elsewhere, NoRoom, Request, Response, Unknown

if TYPE_CHECKING:
    from fleetlab.sim.quorum.simulation import QuorumSim

ANSWER_TIMEOUT_US = 400_000  # after which a request is sent again, to a member drawn at random


@dataclass(slots=True)
class PendingRequest:
    """A request with all its attempts, until it is answered."""

    request: Request
    called_us: int  # true time
    done: Callable[[Response, int], None]
    timing: RequestTiming
    attempts: int = 0
    is_answered: bool = False


class Client:
    """Sends requests to the supposed leader, and repeats them until an answer is definite."""

    def __init__(self, sim: QuorumSim, name: str) -> None:
        self.sim, self.name = sim, name
        random = sim.world.random
        rate = 1 + random.uniform(-MAX_DRIFT, MAX_DRIFT) * USED_DRIFT_SHARE
        self.clock = SimClock(sim.world, rate, random.randint(0, 10**9))
        self.leader = ""

    def ask(self, request: Request, done: Callable[[Response, int], None]) -> None:
        """Send a request until its answer is definite.

        ``done`` gets the answer and the time on this client's clock from which a granted lease counts.
        """
        self._send_attempt(
            PendingRequest(request, self.sim.world.now_us, done, self.sim.parts.request_timing())
        )

    def _send_attempt(self, pending: PendingRequest) -> None:
        if pending.is_answered:
            return
        pending.attempts += 1
        number = pending.attempts
        pending.timing.record_sent(self.clock.now_us())
        names = self.sim.names
        leader = self.leader if self.leader in names else self.sim.world.random.choice(names)
        self.sim.send_request(
            self.name, leader, pending.request, lambda answer: self._receive_answer(pending, number, answer)
        )
        self.sim.world.call_later(ANSWER_TIMEOUT_US, lambda: self._retry_after_timeout(pending, number))

    def _retry_after_timeout(self, pending: PendingRequest, number: int) -> None:
        if not pending.is_answered and pending.attempts == number:
            self.leader = ""
            self._send_attempt(pending)

    def _receive_answer(self, pending: PendingRequest, number: int, answer: Response) -> None:
        if pending.is_answered or pending.attempts != number:
            return
        # An earlier attempt may have taken effect although this one was refused.
        is_uncertain = isinstance(answer, NoRoom) and pending.attempts > 1
        if isinstance(answer, Elsewhere | Unknown) or is_uncertain:
            self.leader = answer.leader if isinstance(answer, Elsewhere) else ""
            self.sim.world.call_later(
                self.sim.world.random.randint(5_000, 60_000), lambda: self._send_attempt(pending)
            )
            return
        pending.is_answered = True
        pending.done(answer, pending.timing.lease_start_us)
