"""The pages that operators read of a member: its view with a digest, the view's history, and metrics."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import msgspec

from membership.core import LIVE_STATES
from membership.messages import State, Update
from membership.transport import MembershipService
from operatorpages import JSON_TYPE, METRICS_TYPE, Page, PageHandler


def digest(view: Iterable[Update]) -> str:
    """A checksum that is equal at members whose views have the same live members in the same lives."""
    live = sorted((update.name, update.generation) for update in view if update.state in LIVE_STATES)
    return f"{zlib.crc32(repr(live).encode()):08x}"


class MemberLine(msgspec.Struct, frozen=True):
    """One known member; the field names are the page's keys."""

    name: str
    address: str
    zone: str
    generation: int
    state: str
    by: str  # the member that reported the state
    since_s: float  # seconds since the record changed


class View(msgspec.Struct, frozen=True):
    """A member's whole view; the field names are the page's keys."""

    name: str
    generation: int
    digest: str
    living: int  # members that are alive or suspect
    standing: str  # of this member in the last settled fleet
    settled: int  # members of the last settled fleet
    share_of: float  # relays that a common limit is divided by, according to this member
    late: int  # local health score: 0 is healthy; probe times are multiplied by the score + 1
    members: list[MemberLine]


def build_view(service: MembershipService, now_us: int) -> View:
    """A member's view at ``now_us``."""
    records, own_update = service.core.members, service.core.own_update
    lines = [
        MemberLine(
            update.name, update.address, update.zone, update.generation, State(update.state).name.lower(),
            update.reported_by, round((now_us - records[update.name].since_us) / 1e6, 3),
        )
        for update in service.view()
    ]  # fmt: skip
    tracker = service.update_fleet_tracker()
    return View(
        own_update.name, own_update.generation, digest(service.view()), service.live_count,
        tracker.standing.value, len(tracker.settled), round(tracker.share_count(now_us), 2),
        service.core.local_health, lines,
    )  # fmt: skip


def format_metrics(service: MembershipService) -> bytes:
    """The counters in Prometheus' text format."""
    lines = [f"peers_living {service.live_count}", f"peers_late_steps {service.core.local_health}"]
    lines += [f"peers_{name}_total {count}" for name, count in sorted(service.counts.items())]
    return "".join(f"{line}\n" for line in lines).encode()


def build_pages(service: MembershipService) -> dict[str, PageHandler]:
    """The handlers of a member's pages, by path; ``/health`` is 503 once a later life has replaced it."""

    def view() -> Page:
        return Page(200, msgspec.json.encode(build_view(service, service.now_us())) + b"\n", JSON_TYPE)

    def history() -> Page:
        return Page(200, b"".join(msgspec.json.encode(item) + b"\n" for item in service.history), JSON_TYPE)

    return {
        "/health": lambda: Page(503 if service.replaced.done() else 200, b"\n"),
        "/view": view,
        "/history": history,
        "/metrics": lambda: Page(200, format_metrics(service), METRICS_TYPE),
    }
