"""One message under one id, with all attempts to deliver it, as a history shows it.

All times are in seconds of the run.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from standins import records


@dataclass(slots=True)
class Attempt:
    """One message in one call, as its endpoint saw it."""

    ref: str
    host: str
    relay: str
    conn: str
    started_s: float
    arrived_s: float
    relay_timeout_s: float = 0.0  # how long its relay says it waits for the answer; 0: not said
    finished_s: float = float("inf")  # when its answer was written or its connection ended
    outcome: str = ""  # delivered, failed, refused; empty: no answer

    @property
    def may_have_run(self) -> bool:
        """Whether it may have taken effect: only a refusal proves that it has not."""
        return self.outcome != "refused"


@dataclass(slots=True)
class MessageTrace:
    """One message under one id, from its client to its end."""

    submission: records.Handed
    client_answer: records.Heard | None = None
    attempts: list[Attempt] = field(default_factory=list)
    notices: list[records.Noticed] = field(default_factory=list)
    effects: list[records.Ran] = field(default_factory=list)

    @property
    def accepted(self) -> bool:
        """Whether its client was told that the relay accepted it."""
        return self.client_answer is not None and self.client_answer.answer == "ok"

    @property
    def deadline_s(self) -> float:
        """When its deadline is."""
        return self.submission.t + self.submission.left_s

    def time_at_share(self, share: float) -> float:
        """Return when the given share of its time from submission to deadline is over."""
        return self.submission.t + share * self.submission.left_s

    @property
    def delivered_s(self) -> float | None:
        """When an endpoint first answered that it was delivered; None if none did."""
        times = [attempt.finished_s for attempt in self.attempts if attempt.outcome == "delivered"]
        return min(times, default=None)

    @property
    def latency_s(self) -> float | None:
        """Seconds from when the message first came up at its client to its delivery.

        None if it was not delivered or not accepted.
        """
        delivered_s = self.delivered_s
        return delivered_s - self.submission.first if self.accepted and delivered_s is not None else None

    @property
    def ended_s(self) -> float | None:
        """When it first ended, by delivery or notice; None if it never did."""
        times = [notice.t for notice in self.notices]
        delivered_s = self.delivered_s
        return min(times + ([delivered_s] if delivered_s is not None else []), default=None)
