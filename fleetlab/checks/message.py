"""One message under one id, with every attempt to deliver it, as a history shows it."""

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
    relay_timeout_s: float = 0.0  # that its relay says it waits
    finished_s: float = float("inf")  # its answer was written, or its connection ended
    outcome: str = ""  # delivered, failed, refused; empty: no answer

    @property
    def may_have_run(self) -> bool:
        """Whether nothing proves that it never ran."""
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
        """Whether its client heard that it is taken on."""
        return self.client_answer is not None and self.client_answer.answer == "ok"

    @property
    def deadline_s(self) -> float:
        """When its time is up."""
        return self.submission.t + self.submission.left_s

    def time_at_share(self, share: float) -> float:
        """When so large a share of its time is over."""
        return self.submission.t + share * self.submission.left_s

    @property
    def delivered_s(self) -> float | None:
        """When it was first answered as delivered."""
        times = [attempt.finished_s for attempt in self.attempts if attempt.outcome == "delivered"]
        return min(times, default=None)

    @property
    def latency_s(self) -> float | None:
        """From when the message first came up to its delivery; None without one, or if it was not taken."""
        delivered = self.delivered_s
        return delivered - self.submission.first if self.accepted and delivered is not None else None

    @property
    def ended_s(self) -> float | None:
        """When its first end came, delivery or notice; None: never."""
        times = [notice.t for notice in self.notices]
        delivered = self.delivered_s
        return min(times + ([delivered] if delivered is not None else []), default=None)
