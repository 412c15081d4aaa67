"""What operators read of a member: its view with a digest, the history of that, and counts."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import msgspec

from membership.core import LIVE
from membership.messages import State, Update
from membership.transport import Shell
from operatorpages import JSON, METRICS, Page, Serve


def digest(view: Iterable[Update]) -> str:
    """The same at members that hold the same of who lives, and in which life."""
    living = sorted((update.name, update.generation) for update in view if update.state in LIVE)
    return f"{zlib.crc32(repr(living).encode()):08x}"


class Line(msgspec.Struct, frozen=True):
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
    members: list[Line]


def view_of(shell: Shell, now_us: int) -> View:
    """What a member holds now."""
    held, me = shell.core.held, shell.core.me
    lines = [
        Line(
            update.name, update.address, update.zone, update.generation, State(update.state).name.lower(),
            update.by, round((now_us - held[update.name].since_us) / 1e6, 3),
        )
        for update in shell.view()
    ]  # fmt: skip
    fleet = shell.stands()
    return View(
        me.name, me.generation, digest(shell.view()), shell.living, fleet.standing.value, len(fleet.settled),
        round(fleet.size(now_us), 2), shell.core.health, lines,
    )  # fmt: skip


def metrics(shell: Shell) -> bytes:
    """The counts in Prometheus' text form."""
    lines = [f"peers_living {shell.living}", f"peers_late_steps {shell.core.health}"]
    lines += [f"peers_{name}_total {count}" for name, count in sorted(shell.counts.items())]
    return "".join(f"{line}\n" for line in lines).encode()


def pages(shell: Shell) -> dict[str, Serve]:
    """The pages by path."""

    def view() -> Page:
        return Page(200, msgspec.json.encode(view_of(shell, shell.now_us())) + b"\n", JSON)

    def history() -> Page:
        return Page(200, b"".join(msgspec.json.encode(item) + b"\n" for item in shell.history), JSON)

    return {
        "/health": lambda: Page(503 if shell.replaced.done() else 200, b"\n"),
        "/view": view,
        "/history": history,
        "/metrics": lambda: Page(200, metrics(shell), METRICS),
    }
