"""The leases' model: every state of a small service with two holders and a fenced resource is visited.

The service is taken for agreed (that is what ``quorum`` shows): one log, in which a new leader may lose what
was not committed. Everything else is the service's own: ``Machine``, ``Clocks``, ``Asking``, ``Holding`` and
``Fence``. Time goes in ticks, and in each of them every clock goes as slow or as fast as the bound allows,
each by itself. A request or an answer that was sent may come at any time, any number of times, or never: so
it is lost, delayed, doubled and reordered. A holder may stand still at any moment, also between its check and
its act, as nothing has to happen before the next tick does.

Rules: ``overlap`` (two may act at once), ``fence`` (the resource takes an older token after a newer one),
``token`` (one is given twice, or a later one is smaller), ``late`` (a holder goes on after it had to stop).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cache
from itertools import product
from typing import NamedTuple, TypeVar

from msgspec.structs import replace

from fleetlab.sim.quorum import BrokenError, Parts
from quorum.holder import HeldLease, TimingBounds
from quorum.lease_timers import LeaseTimers
from quorum.state_machine import (
    Acquire,
    Answer,
    Command,
    Done,
    Lease,
    Open,
    Release,
    Renew,
    StateMachine,
)

LEASE = "l"
STOPPED = -1  # a clock whose end is proposed
T = TypeVar("T")
Owners = tuple[tuple[int, tuple[int, int]], ...]
NO_ANSWERS: tuple[frozenset[Answer], ...] = (frozenset(), frozenset())


class Holder(NamedTuple):
    """A holder: all that it ever sent, and how it stands."""

    sent: tuple[Acquire | Renew | Release, ...] = ()
    ages: tuple[int, ...] = ()  # ms since each sending of the last one, while its answer is awaited
    token: int = 0  # 0: holds nothing
    left: int = 0  # ms in which it may act
    act: int = 0  # the token of an act that is on its way; 0: none


class State(NamedTuple):
    """All of it."""

    machine: bytes
    left: int | None  # ms of the leader's clock for the lease; None: none runs
    log: tuple[Command, ...]  # proposed, not applied
    holders: tuple[Holder, ...]
    answers: tuple[frozenset[Answer], ...]  # to each holder's last request
    owners: Owners  # each token, and the session and number of its request
    highest: int  # the resource's
    leaders: int  # changes of leader that may still come


@dataclass(frozen=True, slots=True)
class Limits:
    """How small it is."""

    requests: tuple[int, int] = (2, 1)  # of each holder
    tries: int = 2  # of each request
    log: int = 1  # entries that are proposed and not applied
    leaders: int = 1
    delay_ms: int = 0  # of the lease after an unclean end
    ttl_ms: int = 300
    slow_ms: int = 50  # what the slowest clock shows for a tick
    fast_ms: int = 100  # and the fastest
    drift: float = 1 / 3  # the bound that covers both

    @property
    def counted_ms(self) -> int:
        """What a holder may count of a lease."""
        return int(self.ttl_ms * (1 - 2 * self.drift))


@dataclass(slots=True)
class Explored:
    """What a search came to."""

    states: int = 0
    transitions: int = 0
    held: int = 0  # states in which somebody may act
    rule: str = ""  # that broke; empty: all hold
    text: str = ""
    trace: list[str] = field(default_factory=list)


class Model:
    """The steps that are possible in a state."""

    def __init__(self, limits: Limits, parts: Parts | None = None) -> None:
        self._limits, self._parts = limits, parts or Parts()
        self._applied = cache(self._apply_anew)
        self._clock = cache(self._clock_anew)
        self.may_act = cache(self._may_act_anew)

    # The service's own code, as functions of values

    @property
    def first(self) -> State:
        """Two sessions, nothing asked for."""
        machine = self._parts.machine()
        for index in (1, 2):
            machine.apply(index, Open(f"h{index}"))
        return State(
            machine.snapshot(), None, (), (Holder(), Holder()), NO_ANSWERS, (), 0, self._limits.leaders
        )

    def _apply_anew(self, data: bytes, command: Command) -> tuple[bytes, Answer]:
        machine = self._parts.machine(data)
        answer = machine.apply(3, command)
        return machine.snapshot(), answer

    def _clock_anew(
        self, before: bytes, left: int | None, after: bytes, command: Command, answer: Answer
    ) -> int | None:
        clocks, now = self._running(before, left), lease_of(after)
        clocks.update_after(0, command, answer, {LEASE: now} if now is not None else {})
        if now is None:
            return None
        return left if clocks.due_us is None else clocks.remaining_us(0, LEASE) // 1000

    def _running(self, data: bytes, left: int | None) -> LeaseTimers:
        """The leader's clocks, at a time of 0."""
        clocks, lease = self._parts.clocks(), lease_of(data)
        if lease is not None and left is not None and left != STOPPED:
            timed = replace(lease, ttl_ms=left) if lease.session else replace(lease, delay_ms=left)
            LeaseTimers.begin(clocks, 0, {LEASE: timed})
        return clocks

    def _holding(self, holder: Holder) -> HeldLease:
        """The holder's lease, at a time of 0."""
        holding = self._parts.holding(self._limits.ttl_ms * 1000, TimingBounds(self._limits.drift, 0))
        if holder.token:
            begun_us = (holder.left - self._limits.counted_ms) * 1000
            HeldLease.granted(holding, begun_us, begun_us, holder.token)
        return holding

    def _may_act_anew(self, holder: Holder) -> bool:
        """Whether it would act now."""
        return bool(holder.token) and self._holding(holder).may_act(0)

    # Steps

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Each that is possible; ``BrokenError`` where one breaks a rule by itself."""
        yield from self._time(state)
        if state.log:
            yield "applied", self._apply(state)
        if state.left == 0 and len(state.log) < self._limits.log:
            ends = tuple(self._running(state.machine, 0).pop_due(0))
            yield "an end is proposed", state._replace(log=state.log + ends, left=STOPPED)
        if state.leaders:
            for kept in range(len(state.log) + 1):
                yield f"a new leader, with {kept} entries", self._lead(state, kept)
        for at, holder in enumerate(state.holders):
            for label, after in self._of_holder(state, at, holder):
                yield f"h{at + 1} {label}", after

    def _time(self, state: State) -> Iterator[tuple[str, State]]:
        for server_ms, *holders_ms in product(sorted({self._limits.slow_ms, self._limits.fast_ms}), repeat=3):
            left = state.left
            if left is not None and left != STOPPED:
                left = max(0, left - server_ms)
            holders = tuple(map(self._aged, state.holders, holders_ms))
            if left != state.left or holders != state.holders:
                yield f"tick {server_ms} {holders_ms}", state._replace(left=left, holders=holders)

    def _aged(self, holder: Holder, ms: int) -> Holder:
        ages = tuple(min(age + ms, self._limits.counted_ms + 1) for age in holder.ages)
        left = max(0, holder.left - ms)
        renews = bool(ages) and isinstance(holder.sent[-1], Renew)
        return holder._replace(ages=ages, left=left, token=holder.token if left or renews else 0)

    def _apply(self, state: State) -> State:
        """The head of the log, and its answer on its way."""
        command, *rest = state.log
        machine, answer = self._applied(state.machine, command)
        left = self._clock(state.machine, state.left, machine, command, answer)
        owners = self._owned(state.owners, command, answer)
        answers = state.answers
        if isinstance(command, Acquire | Renew | Release):
            at = command.session - 1
            holder = state.holders[at]
            if holder.ages and holder.sent[-1] == command:
                answers = put(answers, at, answers[at] | {answer})
        return state._replace(machine=machine, left=left, log=tuple(rest), answers=answers, owners=owners)

    @staticmethod
    def _owned(owners: Owners, command: Command, answer: Answer) -> Owners:
        """Who was given which token."""
        if not isinstance(command, Acquire) or not isinstance(answer, Done):
            return owners
        owner = (command.session, command.seq)
        for token, other in owners:
            if token == answer.token and other != owner:
                raise BrokenError("token", f"{token} is given to {owner} and {other}")
        if (answer.token, owner) in owners:
            return owners
        if owners and answer.token < owners[-1][0]:
            raise BrokenError("token", f"{answer.token} is given after {owners[-1][0]}")
        return (*owners, (answer.token, owner))

    def _lead(self, state: State, kept: int) -> State:
        """Another leads: what it has not is gone, who waits for an answer has to ask again."""
        machine, owners = state.machine, state.owners
        for command in state.log[:kept]:
            machine, answer = self._applied(machine, command)
            owners = self._owned(owners, command, answer)
        lease, left = lease_of(machine), None
        if lease is not None:
            clocks = self._parts.clocks()
            clocks.begin(0, {LEASE: lease})
            left = clocks.remaining_us(0, LEASE) // 1000
        return state._replace(
            machine=machine, left=left, log=(), owners=owners, leaders=state.leaders - 1
        )  # fmt: skip

    def _of_holder(self, state: State, at: int, holder: Holder) -> Iterator[tuple[str, State]]:
        def become(other: Holder, answers: frozenset[Answer] | None = None) -> State:
            kept = state.answers if answers is None else put(state.answers, at, answers)
            return state._replace(holders=put(state.holders, at, other), answers=kept)

        if len(state.log) < self._limits.log:
            for command in holder.sent:
                yield f"{word(command)} comes", state._replace(log=(*state.log, command))
        if holder.ages:
            if len(holder.ages) < self._limits.tries:
                yield "asks again", become(holder._replace(ages=(*holder.ages, 0)))
            for answer in state.answers[at]:
                yield f"hears {answer}", become(self._heard(holder, answer), frozenset())
            yield "gives up", become(self._aged(holder._replace(ages=()), 0), frozenset())
        elif len(holder.sent) < self._limits.requests[at]:
            for command in self._wishes(at, holder):
                freed = {"token": 0, "left": 0} if isinstance(command, Release) else {}
                asked = holder._replace(sent=(*holder.sent, command), ages=(0,), **freed)
                yield f"asks {word(command)}", become(asked, frozenset())
        if self.may_act(holder) and not holder.act:
            yield "begins to act", become(holder._replace(act=holder.token))
        if holder.act:
            yield "acts", self._act(state, at, holder)

    def _wishes(self, at: int, holder: Holder) -> Iterator[Acquire | Renew | Release]:
        session, seq = at + 1, len(holder.sent) + 1
        if self.may_act(holder):
            yield Renew(session, seq, LEASE, holder.token)
            yield Release(session, seq, LEASE, holder.token)
        elif not holder.token:
            yield Acquire(session, seq, LEASE, self._limits.ttl_ms, self._limits.delay_ms)

    def _heard(self, holder: Holder, answer: Answer) -> Holder:
        """An answer to the last request."""
        asking = self._parts.asking()
        for age in holder.ages:
            asking.record_sent(-age * 1000)
        sent_us, idle = asking.lease_start_us, holder._replace(ages=(), token=0, left=0)
        match holder.sent[-1], answer:
            case Acquire(), Done():
                holding = self._parts.holding(self._limits.ttl_ms * 1000, TimingBounds(self._limits.drift, 0))
                if not holding.granted(sent_us, 0, answer.token):
                    return idle
            case Renew(), Done():
                holding = self._holding(holder)
                before = holding.may_act(0)
                holding.renewed(sent_us, 0, answer.token)
                if holding.may_act(0) and not before:
                    raise BrokenError("late", f"a holder goes on with {answer.token} after its end")
                if not holding.may_act(0):
                    return idle
            case _:
                return idle
        return holder._replace(ages=(), token=holding.token, left=holding.end_us // 1000)

    def _act(self, state: State, at: int, holder: Holder) -> State:
        highest, token = state.highest, holder.act
        if self._parts.fence(highest).admits(token):
            if token < highest:
                raise BrokenError("fence", f"the resource takes {token} after {highest}")
            highest = token
        return state._replace(holders=put(state.holders, at, holder._replace(act=0)), highest=highest)

    def check(self, state: State) -> None:
        """Rules on a state."""
        one, other = state.holders
        if self.may_act(one) and self.may_act(other):
            raise BrokenError("overlap", f"both may act, under {one.token} and {other.token}")


def put(items: tuple[T, ...], at: int, item: T) -> tuple[T, ...]:
    """A tuple with another item at a place."""
    return (*items[:at], item, *items[at + 1 :])


def word(command: Command) -> str:
    """A command's name and number."""
    return f"{type(command).__name__.lower()} {getattr(command, 'seq', '')}".strip()


@cache
def lease_of(data: bytes) -> Lease | None:
    """The lease in a state machine's state."""
    return StateMachine(data).state.leases.get(LEASE)


def explore(limits: Limits, parts: Parts | None = None, most: int = 10_000_000) -> Explored:
    """Visit every state, nearest first, up to the first that breaks a rule; ``RuntimeError`` at ``most``."""
    model, found = Model(limits, parts), Explored()
    came: dict[State, tuple[State | None, str]] = {model.first: (None, "")}
    queue = deque(came)
    while queue:
        state = queue.popleft()
        found.states += 1
        found.held += any(map(model.may_act, state.holders))
        try:
            model.check(state)
            for label, after in model.steps(state):
                found.transitions += 1
                if after not in came:
                    came[after] = (state, label)
                    queue.append(after)
        except BrokenError as error:
            found.rule, found.text, found.trace = error.rule, str(error), trace_to(came, state)
            return found
        if len(came) > most:
            raise RuntimeError(f"over {most} states")
    return found


def trace_to(came: dict[State, tuple[State | None, str]], state: State) -> list[str]:
    """The steps from the beginning to a state."""
    labels, at = list[str](), state
    while True:
        before, label = came[at]
        if before is None:
            return labels[::-1]
        labels.append(label)
        at = before


SMALL = (
    Limits(requests=(1, 1)),
    Limits(requests=(2, 1), tries=1),
    Limits(requests=(2, 1), tries=1, log=2, leaders=0),
    Limits(requests=(1, 2), tries=1, leaders=0, delay_ms=100),
)  # of which every state is visited in less than a minute
LARGER = (
    Limits(requests=(1, 1), log=2),
    Limits(requests=(2, 1), leaders=0),
    Limits(requests=(2, 2), tries=1, leaders=0),
)
