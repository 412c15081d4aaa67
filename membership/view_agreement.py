"""Where a member stands in its fleet, and what it may do there while views disagree. Pure.

Nobody can know in time whether others have failed or are only not reached. So a member goes by the last
fleet that was settled: which part of it is still seen, and whether this member is itself late. Serving
clients never depends on it. What needs one actor always goes through a lease; the view tells only whom to ask
about.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from membership.messages import State, Update

SETTLE_US = 10_000_000  # without any change, after which a view is the fleet
SHARE_STEP_US, MAX_SHARE_STEP = (
    5_000_000,
    1.25,
)  # a told number of relays grows or shrinks by this factor at most in each such time
FADE_STEP, MAX_FADE = 1.5, 16.0  # the same for a part that does not go on, and at most; its shares fade away
POOR_HEALTH_STEPS = 2  # steps of lateness from which a member doubts itself


class Standing(Enum):
    """How a member's view relates to the last settled fleet."""

    SETTLED = "settled"
    CHANGING = "changing"  # some come, leave or are suspect, and most of the fleet is seen
    MAJORITY = "larger part"  # some have failed, and over half of the fleet is seen
    MINORITY = "smaller part"
    ISOLATED = "alone"
    POOR_LOCAL_HEALTH = (
        "doubting itself"  # late by its own judgement: what it holds of others may be its own fault
    )


@dataclass(frozen=True, slots=True)
class Permissions:
    """What a relay may do; serving its clients is always allowed, and stands here so that nobody asks."""

    serve_clients: bool
    accept_messages: bool  # new messages
    start_task: bool  # that needs a lease
    take_over_work: bool  # another's work, under its lease
    raise_share: bool  # its part of a limit; to lower it is always allowed


PERMISSIONS = {
    Standing.SETTLED: Permissions(True, True, True, True, True),
    Standing.CHANGING: Permissions(True, True, True, False, False),
    Standing.MAJORITY: Permissions(True, True, True, True, False),
    Standing.MINORITY: Permissions(True, True, False, False, False),
    Standing.ISOLATED: Permissions(True, True, False, False, False),
    Standing.POOR_LOCAL_HEALTH: Permissions(True, True, False, False, False),
}


def is_majority(part: set[str], fleet: set[str]) -> bool:
    """Whether a part of a fleet is the one that goes on: over half, or half with the first of all names."""
    seen = len(part & fleet)
    return 2 * seen > len(fleet) or (2 * seen == len(fleet) and min(fleet, default="") in part)


class FleetTracker:
    """The last settled fleet, and where this member stands in it now."""

    def __init__(self, me: str, now_us: int) -> None:
        self._me, self._settled = me, {me}
        self._last_view: tuple[frozenset[str], frozenset[str]] = frozenset({me}), frozenset()
        self._unchanged_since_us = now_us  # since when the view is as it is
        self._last_share_count, self._share_count_us = 1.0, now_us
        self._failed: set[str] = set()
        self.standing = Standing.SETTLED

    @property
    def settled(self) -> frozenset[str]:
        """The members of the last settled fleet."""
        return frozenset(self._settled)

    @property
    def permissions(self) -> Permissions:
        """What this member may do now."""
        return PERMISSIONS[self.standing]

    def update(self, now_us: int, view: Iterable[Update], late: int) -> Standing:
        """Take in the view as it is; where this member stands by it."""
        held = list(view)
        living = {u.name for u in held if u.state in (State.ALIVE, State.SUSPECT)} | {self._me}
        suspects = {u.name for u in held if u.state is State.SUSPECT}
        self._settled -= {u.name for u in held if u.state is State.LEFT} - {self._me}  # by their own word
        self._failed = self._settled - living
        seen = frozenset(living), frozenset(suspects)
        if seen != self._last_view:
            self._last_view, self._unchanged_since_us = seen, now_us
        self.standing = self._classify_view(living, suspects, late)
        quiet = now_us - self._unchanged_since_us >= SETTLE_US and not suspects
        if quiet and self.standing in (Standing.CHANGING, Standing.MAJORITY):
            self._settled, self._failed, self.standing = set(living), set(), Standing.SETTLED
        return self.standing

    def _classify_view(self, living: set[str], suspects: set[str], late: int) -> Standing:
        if late >= POOR_HEALTH_STEPS:
            return Standing.POOR_LOCAL_HEALTH
        if living == {self._me} and len(self._settled) > 1:
            return Standing.ISOLATED
        if not is_majority(living, self._settled):
            return Standing.MINORITY
        if self._failed:
            return Standing.MAJORITY
        return Standing.CHANGING if suspects or living != self._settled else Standing.SETTLED

    @property
    def _target_share_count(self) -> int:
        """The larger number while anything is in doubt: shares must not add up to more than the whole."""
        return max(len(self._settled), len(self._last_view[0]))

    def share_count(self, now_us: int) -> float:
        """How many relays share what must not add up to more than the whole; a split must give no wave.

        More of them count at once, as each then takes less; fewer only step by step. In a part that does not
        go on each takes less and less: the other part will settle, and go by its own number.
        """
        steps, goal = (now_us - self._share_count_us) / SHARE_STEP_US, float(self._target_share_count)
        if self.standing in (Standing.MINORITY, Standing.ISOLATED):
            self._last_share_count = min(self._last_share_count * FADE_STEP**steps, goal * MAX_FADE)
        else:
            self._last_share_count = (
                goal
                if goal >= self._last_share_count
                else max(goal, self._last_share_count / MAX_SHARE_STEP**steps)
            )
        self._share_count_us = now_us
        return self._last_share_count
