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
    begun: float
    came: float
    limit_s: float = 0.0  # that its relay says it waits
    over: float = float("inf")  # its answer was written, or its connection ended
    end: str = ""  # delivered, failed, refused; empty: no answer

    @property
    def may_have_run(self) -> bool:
        """Whether nothing proves that it never ran."""
        return self.end != "refused"


@dataclass(slots=True)
class MessageTrace:
    """One message under one id, from its client to its end."""

    handed: records.Handed
    heard: records.Heard | None = None
    attempts: list[Attempt] = field(default_factory=list)
    notices: list[records.Noticed] = field(default_factory=list)
    ran: list[records.Ran] = field(default_factory=list)

    @property
    def taken(self) -> bool:
        """Whether its client heard that it is taken on."""
        return self.heard is not None and self.heard.answer == "ok"

    @property
    def deadline(self) -> float:
        """When its time is up."""
        return self.handed.t + self.handed.left_s

    def at(self, share: float) -> float:
        """When so large a share of its time is over."""
        return self.handed.t + share * self.handed.left_s

    @property
    def delivered(self) -> float | None:
        """When it was first answered as delivered."""
        times = [attempt.over for attempt in self.attempts if attempt.end == "delivered"]
        return min(times, default=None)

    @property
    def took_s(self) -> float | None:
        """From when the message first came up to its delivery; None without one, or if it was not taken."""
        delivered = self.delivered
        return delivered - self.handed.first if self.taken and delivered is not None else None

    @property
    def ended(self) -> float | None:
        """When its first end came, delivery or notice; None: never."""
        times = [notice.t for notice in self.notices]
        delivered = self.delivered
        return min(times + ([delivered] if delivered is not None else []), default=None)
