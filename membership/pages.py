"""What operators read of a member: its view with a digest, the history of that, and counts."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import msgspec

from membership.core import LIVE_STATES
from membership.messages import State, Update
from membership.transport import MembershipService
from operatorpages import JSON_TYPE, METRICS_TYPE, Page, PageHandler


def digest(view: Iterable[Update]) -> str:
    """The same at members that hold the same of who lives, and in which life."""
    living = sorted((update.name, update.generation) for update in view if update.state in LIVE_STATES)
    return f"{zlib.crc32(repr(living).encode()):08x}"


class MemberLine(msgspec.Struct, frozen=True):
    """One member as a view tells it."""

    name: str
    address: str
    zone: str
    generation: int
    state: str
    by: str
    since_s: float


class View(msgspec.Struct, frozen=True):
    """A whole view."""

    name: str
    generation: int
    digest: str
    living: int
    standing: str  # where this member stands in the last settled fleet
    settled: int  # members of that
    share_of: float  # relays that a limit is shared among, by this member
    late: int  # steps by which this member waits longer, by its own judgement
    members: list[MemberLine]


def build_view(shell: MembershipService, now_us: int) -> View:
    """What a member holds now."""
    held, me = shell.core.members, shell.core.own_update
    lines = [
        MemberLine(
            update.name, update.address, update.zone, update.generation, State(update.state).name.lower(),
            update.reported_by, round((now_us - held[update.name].since_us) / 1e6, 3),
        )
        for update in shell.view()
    ]  # fmt: skip
    fleet = shell.update_fleet_tracker()
    return View(
        me.name, me.generation, digest(shell.view()), shell.live_count, fleet.standing.value, len(fleet.settled),
        round(fleet.share_count(now_us), 2), shell.core.local_health, lines,
    )  # fmt: skip


def format_metrics(shell: MembershipService) -> bytes:
    """The counts in Prometheus' text form."""
    lines = [f"peers_living {shell.live_count}", f"peers_late_steps {shell.core.local_health}"]
    lines += [f"peers_{name}_total {count}" for name, count in sorted(shell.counts.items())]
    return "".join(f"{line}\n" for line in lines).encode()


def build_pages(shell: MembershipService) -> dict[str, PageHandler]:
    """The pages by path."""

    def view() -> Page:
        return Page(200, msgspec.json.encode(build_view(shell, shell.now_us())) + b"\n", JSON_TYPE)

    def history() -> Page:
        return Page(200, b"".join(msgspec.json.encode(item) + b"\n" for item in shell.history), JSON_TYPE)

    return {
        "/health": lambda: Page(503 if shell.replaced.done() else 200, b"\n"),
        "/view": view,
        "/history": history,
        "/metrics": lambda: Page(200, format_metrics(shell), METRICS_TYPE),
    }
