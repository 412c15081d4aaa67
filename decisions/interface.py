"""Types of the decision engine's interface: settings, events and actions.

Times are whole microseconds and carry the suffix ``_us``; rates are in calls a second unless said otherwise.
Every value is immutable. A caller builds settings and events, passes them to
``decisions.engine.DecisionEngine`` and carries out the actions that it returns.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a second execution of a message does.

    SAFE: nothing. KEYED: nothing within ``key_window_us``, since receivers recognise its key. UNSAFE: harm.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Verdict(Enum):
    """How one attempt or probe ended.

    FULL: refused above a limit. NOT_SENT: not begun, as its latest begin or the relay's end had come.
    """

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"

    @property
    def never_ran(self) -> bool:
        """Whether this verdict proves that the attempt was not executed."""
        return self in (Verdict.FULL, Verdict.CONNECT_FAILED, Verdict.NOT_SENT)


class EndpointUpdateKind(Enum):
    """What an update of the endpoint list holds.

    CHANGES: the entries that changed. WHOLE: the whole list. CACHED: the list as it was stored by a previous
    process. FAILED: nothing, as the request or the watch failed.
    """

    CHANGES = "changes"
    WHOLE = "whole"
    CACHED = "cached"
    FAILED = "failed"


class Listing(Enum):
    """How the directory lists an endpoint; independent of whether its calls succeed."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class MessageClass:
    """What messages of a class are worth, when they are wanted and whether they may be repeated.

    A message is worth ``worth`` up to ``aim_us`` after its arrival, then less and less down to the share
    ``late_worth`` of it, and nothing from ``deadline_us`` on. ``key_window_us`` is how long after a first
    execution receivers recognise a message's key, with ``key_scope_is_zone`` only within the zone of that
    execution. With ``ordered_by_key`` messages of one key are delivered one at a time, in order of arrival.
    """

    name: str
    effect: Effect
    aim_us: int
    deadline_us: int
    worth: float = 1.0
    late_worth: float = 0.0
    key_window_us: int = 0
    key_scope_is_zone: bool = False
    ordered_by_key: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A user of the service, and the rate in messages a second that it may use across all relays."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """A kind of destination.

    With ``limit_per_endpoint`` each endpoint is a separate route with its own limit; otherwise all endpoints
    of a destination share one. ``batch_size`` is how many messages a call takes at most.
    """

    name: str
    limit_per_endpoint: bool = False
    batch_size: int = 1


@dataclass(frozen=True, slots=True)
class Settings:
    """The configuration of one decision engine.

    Raises ``ValueError``, naming the field, for values that cannot work.
    """

    slots: int  # calls that may be out at once
    classes: tuple[MessageClass, ...]
    kinds: tuple[DestinationKind, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    zone_fees: dict[str, float] = field(default_factory=dict)  # by zone, as a share of a message's time limit
    group_size: int = 1  # relays that call the same destinations, this one included
    number: int = 0  # this relay's number among them, from 0
    hold_cap: int = 1000  # messages without an answer at once
    max_attempts: int = 1  # attempts of one message
    round_us: int = 1000  # time between two steps, at least
    keepalive_us: int = 60_000_000  # how long idle connections are kept
    may_duplicate: bool = False  # whether a message may be out with two attempts at once
    may_cancel: bool = False
    may_probe: bool = False
    advise_retry: bool = False  # whether refusals tell the client when to retry
    max_retry_after_us: int = 0
    must_ask: bool = False  # whether the list comes only after a ``Subscribe``
    # Whether the list is pushed to an agent beside the relay: asking the agent costs nothing.
    list_pushed: bool = False
    ask_within_us: int = 0  # bounds the time between two asks for the list
    rate_hints_given: bool = False  # whether ``Entry.rate_hint`` is the endpoint's limit
    rate_hints_rough: bool = False  # whether it is approximate; then it is divided by 1.5
    # Whether worth halves with each ``aim_us`` after the aim; otherwise it falls along a line.
    late_worth_halves: bool = False
    over_share_worth: float = 1.0  # factor of the worth of messages beyond their tenant's share
    drain_grace_us: int = 0  # how long calls may still go to an endpoint that left the list or is draining
    # A destination breaks down under more than so many times its capacity for ``fall_us``.
    fall_multiple: float = 2.0
    fall_us: int = 1_000_000
    cold_from: float = 0.2  # capacity of a cold server, as a share of the warm one
    warm_within_us: int = 10_000_000  # time in which a cold server warms up
    answer_slack_us: int = 0  # how late after its deadline a message may be answered
    # How long the next message of a key waits for an attempt that may still run.
    order_pause_us: int = 0

    def __post_init__(self) -> None:
        """Raise ``ValueError`` for settings that cannot work."""
        for name in ("slots", "group_size", "hold_cap", "max_attempts", "round_us", "fall_us"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be at least 1")
        for name in (
            "max_retry_after_us",
            "ask_within_us",
            "drain_grace_us",
            "warm_within_us",
            "keepalive_us",
            "answer_slack_us",
            "order_pause_us",
            "over_share_worth",
        ):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: must not be negative")
        if not 0 < self.cold_from <= 1:
            raise ValueError("cold_from: must be above 0 and at most 1")
        if self.fall_multiple <= 0:
            raise ValueError("fall_multiple: must be positive")
        if not self.classes:
            raise ValueError("classes: must hold at least one class")
        for cls in self.classes:
            if not isinstance(cls.effect, Effect):
                raise ValueError(f"classes.{cls.name}.effect: unknown effect {cls.effect!r}")
            if cls.aim_us < 0 or cls.deadline_us < 1 or cls.key_window_us < 0:
                raise ValueError(f"classes.{cls.name}.deadline_us: times must not be negative")
        for kind in self.kinds:
            if kind.batch_size < 1:
                raise ValueError(f"kinds.{kind.name}.batch: must be at least 1")


@dataclass(frozen=True, slots=True)
class Entry:
    """One endpoint as the directory lists it; ``kind`` names its ``DestinationKind``."""

    host: str
    dest: int
    zone: str
    kind: str
    listing: Listing
    rate_hint: float = 1.0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """An update of the endpoint list; a long one may come in pieces, all but the first ``continued``."""

    kind: EndpointUpdateKind
    entries: tuple[Entry, ...] = ()
    continued: bool = False


@dataclass(frozen=True, slots=True)
class Arrival:
    """A message taken on; it must get exactly one final answer within ``time_left_us``.

    A ``restored`` message was taken on by a previous process of this relay. From there come the attempts
    made, and how long ago and in which zone the first one was made that may have been executed (-1: none).
    """

    id: str
    dest: int
    cls: str
    time_left_us: int
    tenant: str = ""
    key: str = ""
    attempts: int = 0
    uncertain_age_us: int = -1
    uncertain_zone: str = ""
    restored: bool = False


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one attempt ended.

    ``complete``: the message is delivered and needs no answer. ``wait_us``: the server asked for no calls for
    so long. ``limit_per_s`` and ``limit_share_left``: the reported limit for all relays, and the share of it
    (0 to 1) that is left.
    """

    id: str
    attempt: int
    host: str
    verdict: Verdict
    elapsed_us: int
    complete: bool = False
    wait_us: int = 0
    limit_share_left: float | None = None
    limit_per_s: float | None = None
    connections_full: bool = False  # the endpoint is up, but answered that it accepts no further connection


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """How one probe ended."""

    host: str
    verdict: Verdict
    elapsed_us: int
    limit_share_left: float | None = None
    limit_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class TimerDue:
    """The time of a requested ``Wake`` has come."""


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client no longer wants this message; it gets no answer."""

    id: str


@dataclass(frozen=True, slots=True)
class Ban:
    """An operator bans an endpoint or lifts the ban; this holds whatever the directory lists."""

    host: str
    banned: bool


Event = EndpointUpdate | Arrival | Outcome | ProbeResult | TimerDue | Withdrawn | Ban


@dataclass(frozen=True, slots=True)
class Send:
    """Call an endpoint with a message and a time-out of ``timeout_us``.

    The call must not begin later than ``latest_begin_us`` from now (0: no such bound). One that the endpoint
    has not begun to answer by then may be held back by the network, and ends as a time-out.
    """

    id: str
    host: str
    timeout_us: int
    latest_begin_us: int = 0


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: given up without success; a retry by the client is harmless."""

    id: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: given up without success; it may have been executed, and a retry may do harm."""

    id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt; its outcome is still reported."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close idle connections to an endpoint, so that the next call opens a fresh one."""

    host: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Check an endpoint without a message."""

    host: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask the directory for the endpoint list and its changes from now on."""


@dataclass(frozen=True, slots=True)
class Wake:
    """Ask for a ``TimerDue`` after this delay."""

    delay_us: int


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the log."""

    line: str


Action = Send | Refuse | Fail | Cancel | CloseIdle | Probe | Subscribe | Wake | Log
