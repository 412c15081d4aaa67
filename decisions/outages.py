"""What a relay does in an outage of a destination, as named in the log and the figures."""

from __future__ import annotations

from enum import StrEnum


class OutageEvent(StrEnum):
    """A change of how a relay treats a destination that fails, or that is cold after it failed."""

    PACED_FAILURE = "paced_failure"  # a failure after which calls keep to this relay's share of trials
    COLD_RETURN = (
        "cold_return"  # a success after an outage: calls keep to a share of what a cold server takes
    )
    WARM = "warm"  # the warm-up after an outage is over
