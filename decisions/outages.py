"""Failures of calls as signs of an outage, and what a relay does in one, as log and figures name it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class OutageEvent(StrEnum):
    """A change of how a relay treats a destination that fails, or that is cold after it failed."""

    PACED_FAILURE = "paced_failure"  # a failure after which calls keep to this relay's share of trials
    COLD_RETURN = (
        "cold_return"  # a success after an outage: calls keep to a share of what a cold server takes
    )
    WARM = "warm"  # the warm-up after an outage is over


@dataclass(frozen=True, slots=True)
class Failure:
    """What the failure of a call shows of its destination."""

    reason: str  # the verdict and the message, for the log
    refused: bool
    limit_used_up: bool  # refused above a limit of which little is left, as reported
    served_lately: bool  # whether another call under the same limiter was served shortly before
    failed_elsewhere: bool  # whether calls failed at other endpoints too, and none was served since
