"""Where a member stands in its fleet, and what it may do there while views disagree; without I/O.

No member can know in time whether others have failed or are only unreachable. So a member judges by the last
settled fleet, which is its last view that did not change for a while: which part of it is still in view, and
whether this member's own local health is poor. Serving clients never depends on the judgement. Whatever needs
a single actor always goes through a lease; the view only shows which member to ask about.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from membership.messages import State, Update

SETTLE_US = 10_000_000  # a view that does not change for this long becomes the settled fleet
SHARE_STEP_US = 5_000_000  # time in which the share count changes by at most one of the factors below
MAX_SHARE_STEP = 1.25  # factor by which the share count falls at most
FADE_STEP = 1.5  # factor by which it grows in a minority, whose shares fade away
MAX_FADE = 16.0  # bound of that growth, as a multiple of the number of relays
POOR_HEALTH_STEPS = 2  # local health score from which a member does not trust its own view


class Standing(Enum):
    """How a member's view relates to the last settled fleet; operators' pages show the values."""

    SETTLED = "settled"
    CHANGING = "changing"  # members join, leave or are suspect, and most of the fleet is in view
    MAJORITY = "larger part"  # members have failed, and over half of the fleet is in view
    MINORITY = "smaller part"
    ISOLATED = "alone"
    # The member's own slowness may be the cause of what it believes about others.
    POOR_LOCAL_HEALTH = "doubting itself"


@dataclass(frozen=True, slots=True)
class Permissions:
    """What a relay may do. Serving clients is always allowed; it is listed to make that explicit."""

    serve_clients: bool
    accept_messages: bool  # new ones
    start_task: bool  # one that needs a lease
    take_over_work: bool  # another relay's, under its lease
    raise_share: bool  # its share of a common limit; lowering it is always allowed


PERMISSIONS = {
    Standing.SETTLED: Permissions(True, True, True, True, True),
    Standing.CHANGING: Permissions(True, True, True, False, False),
    Standing.MAJORITY: Permissions(True, True, True, True, False),
    Standing.MINORITY: Permissions(True, True, False, False, False),
    Standing.ISOLATED: Permissions(True, True, False, False, False),
    Standing.POOR_LOCAL_HEALTH: Permissions(True, True, False, False, False),
}


def is_majority(part: set[str], fleet: set[str]) -> bool:
    """Whether a part has over half of a fleet, or exactly half with the first of all names to break the tie.

    Of disjoint parts at most one is a majority.
    """
    common_count = len(part & fleet)
    return 2 * common_count > len(fleet) or (
        2 * common_count == len(fleet) and min(fleet, default="") in part
    )


class FleetTracker:
    """Keeps the last settled fleet, and this member's standing in it."""

    def __init__(self, own_name: str, now_us: int) -> None:
        self._own_name = own_name
        self._settled = {own_name}
        # Names of the live members and of the suspects in the last view.
        self._last_view: tuple[frozenset[str], frozenset[str]] = frozenset({own_name}), frozenset()
        self._unchanged_since_us = now_us  # since when the view is the same
        self._last_share_count = 1.0
        self._share_count_us = now_us  # when the share count was computed
        self._failed: set[str] = set()  # members of the settled fleet that are not live
        self.standing = Standing.SETTLED

    @property
    def settled(self) -> frozenset[str]:
        """The names of the last settled fleet."""
        return frozenset(self._settled)

    @property
    def permissions(self) -> Permissions:
        """What this member may do in its standing."""
        return PERMISSIONS[self.standing]

    def update(self, now_us: int, view: Iterable[Update], local_health: int) -> Standing:
        """Judge the standing by the current view and local health score, and settle a quiet view."""
        updates = list(view)
        live = {u.name for u in updates if u.state in (State.ALIVE, State.SUSPECT)} | {self._own_name}
        suspects = {u.name for u in updates if u.state is State.SUSPECT}
        # Members that left said so themselves: they do not count as missing.
        self._settled -= {u.name for u in updates if u.state is State.LEFT} - {self._own_name}
        self._failed = self._settled - live
        names = frozenset(live), frozenset(suspects)
        if names != self._last_view:
            self._last_view, self._unchanged_since_us = names, now_us
        self.standing = self._classify_view(live, suspects, local_health)
        is_quiet = now_us - self._unchanged_since_us >= SETTLE_US and not suspects
        if is_quiet and self.standing in (Standing.CHANGING, Standing.MAJORITY):
            self._settled, self._failed, self.standing = set(live), set(), Standing.SETTLED
        return self.standing

    def _classify_view(self, live: set[str], suspects: set[str], local_health: int) -> Standing:
        if local_health >= POOR_HEALTH_STEPS:
            return Standing.POOR_LOCAL_HEALTH
        if live == {self._own_name} and len(self._settled) > 1:
            return Standing.ISOLATED
        if not is_majority(live, self._settled):
            return Standing.MINORITY
        if self._failed:
            return Standing.MAJORITY
        return Standing.CHANGING if suspects or live != self._settled else Standing.SETTLED

    @property
    def _target_share_count(self) -> int:
        """The larger of the settled and the live number, as shares must not add up to more than the whole."""
        return max(len(self._settled), len(self._last_view[0]))

    def share_count(self, now_us: int) -> float:
        """By how many relays a common limit is divided; the shares must not add up to more than the limit.

        A larger number counts at once, as each relay then takes less. A smaller one is approached in steps,
        so that a split causes no surge of load. In a minority each relay takes less and less: the other part
        will settle, and divide by its own number.
        """
        steps, target = (now_us - self._share_count_us) / SHARE_STEP_US, float(self._target_share_count)
        if self.standing in (Standing.MINORITY, Standing.ISOLATED):
            self._last_share_count = min(self._last_share_count * FADE_STEP**steps, target * MAX_FADE)
        else:
            self._last_share_count = (
                target
                if target >= self._last_share_count
                else max(target, self._last_share_count / MAX_SHARE_STEP**steps)
            )
        self._share_count_us = now_us
        return self._last_share_count
