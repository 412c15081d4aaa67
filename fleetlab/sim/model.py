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
END_PROPOSED = -1  # a clock whose end is proposed
T = TypeVar("T")
Owners = tuple[tuple[int, tuple[int, int]], ...]
NO_ANSWERS: tuple[frozenset[Answer], ...] = (frozenset(), frozenset())


class Holder(NamedTuple):
    """A holder: all that it ever sent, and how it stands."""

    requests_sent: tuple[Acquire | Renew | Release, ...] = ()
    request_ages_ms: tuple[
        int, ...
    ] = ()  # ms since each sending of the last one, while its answer is awaited
    token: int = 0  # 0: holds nothing
    remaining_ms: int = 0  # ms in which it may act
    pending_act_token: int = 0  # the token of an act that is on its way; 0: none


class State(NamedTuple):
    """All of it."""

    machine_snapshot: bytes
    timer_ms: int | None  # ms of the leader's clock for the lease; None: none runs
    log: tuple[Command, ...]  # proposed, not applied
    holders: tuple[Holder, ...]
    answers: tuple[frozenset[Answer], ...]  # to each holder's last request
    owners: Owners  # each token, and the session and number of its request
    highest_token: int  # the resource's
    leader_changes_left: int  # changes of leader that may still come


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
class ExplorationResult:
    """What a search came to."""

    states: int = 0
    transitions: int = 0
    held_states: int = 0  # states in which somebody may act
    rule: str = ""  # that broke; empty: all hold
    text: str = ""
    trace: list[str] = field(default_factory=list)


class Model:
    """The steps that are possible in a state."""

    def __init__(self, limits: Limits, parts: Parts | None = None) -> None:
        self._limits, self._parts = limits, parts or Parts()
        self._apply_command = cache(self._compute_application)
        self._update_timer = cache(self._compute_timer_ms)
        self.may_act = cache(self._compute_may_act)

    # The service's own code, as functions of values

    @property
    def initial_state(self) -> State:
        """Two sessions, nothing asked for."""
        machine = self._parts.state_machine()
        for index in (1, 2):
            machine.apply(index, Open(f"h{index}"))
        return State(
            machine.snapshot(), None, (), (Holder(), Holder()), NO_ANSWERS, (), 0, self._limits.leaders
        )

    def _compute_application(self, data: bytes, command: Command) -> tuple[bytes, Answer]:
        machine = self._parts.state_machine(data)
        answer = machine.apply(3, command)
        return machine.snapshot(), answer

    def _compute_timer_ms(
        self, before: bytes, left: int | None, after: bytes, command: Command, answer: Answer
    ) -> int | None:
        clocks, now = self._running_timers(before, left), find_lease(after)
        clocks.update_after(0, command, answer, {LEASE: now} if now is not None else {})
        if now is None:
            return None
        return left if clocks.due_us is None else clocks.remaining_us(0, LEASE) // 1000

    def _running_timers(self, data: bytes, left: int | None) -> LeaseTimers:
        """The leader's clocks, at a time of 0."""
        clocks, lease = self._parts.lease_timers(), find_lease(data)
        if lease is not None and left is not None and left != END_PROPOSED:
            timed = replace(lease, ttl_ms=left) if lease.session else replace(lease, delay_ms=left)
            LeaseTimers.begin(clocks, 0, {LEASE: timed})
        return clocks

    def _held_lease(self, holder: Holder) -> HeldLease:
        """The holder's lease, at a time of 0."""
        holding = self._parts.held_lease(self._limits.ttl_ms * 1000, TimingBounds(self._limits.drift, 0))
        if holder.token:
            begun_us = (holder.remaining_ms - self._limits.counted_ms) * 1000
            HeldLease.granted(holding, begun_us, begun_us, holder.token)
        return holding

    def _compute_may_act(self, holder: Holder) -> bool:
        """Whether it would act now."""
        return bool(holder.token) and self._held_lease(holder).may_act(0)

    # Steps

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Each that is possible; ``BrokenError`` where one breaks a rule by itself."""
        yield from self._tick_steps(state)
        if state.log:
            yield "applied", self._apply_log_head(state)
        if state.timer_ms == 0 and len(state.log) < self._limits.log:
            ends = tuple(self._running_timers(state.machine_snapshot, 0).pop_due(0))
            yield "an end is proposed", state._replace(log=state.log + ends, timer_ms=END_PROPOSED)
        if state.leader_changes_left:
            for kept in range(len(state.log) + 1):
                yield f"a new leader, with {kept} entries", self._change_leader(state, kept)
        for at, holder in enumerate(state.holders):
            for label, after in self._holder_steps(state, at, holder):
                yield f"h{at + 1} {label}", after

    def _tick_steps(self, state: State) -> Iterator[tuple[str, State]]:
        for server_ms, *holders_ms in product(sorted({self._limits.slow_ms, self._limits.fast_ms}), repeat=3):
            left = state.timer_ms
            if left is not None and left != END_PROPOSED:
                left = max(0, left - server_ms)
            holders = tuple(map(self._advance_holder, state.holders, holders_ms))
            if left != state.timer_ms or holders != state.holders:
                yield f"tick {server_ms} {holders_ms}", state._replace(timer_ms=left, holders=holders)

    def _advance_holder(self, holder: Holder, ms: int) -> Holder:
        ages = tuple(min(age + ms, self._limits.counted_ms + 1) for age in holder.request_ages_ms)
        left = max(0, holder.remaining_ms - ms)
        renews = bool(ages) and isinstance(holder.requests_sent[-1], Renew)
        return holder._replace(
            request_ages_ms=ages, remaining_ms=left, token=holder.token if left or renews else 0
        )

    def _apply_log_head(self, state: State) -> State:
        """The head of the log, and its answer on its way."""
        command, *rest = state.log
        machine, answer = self._apply_command(state.machine_snapshot, command)
        left = self._update_timer(state.machine_snapshot, state.timer_ms, machine, command, answer)
        owners = self._record_owner(state.owners, command, answer)
        answers = state.answers
        if isinstance(command, Acquire | Renew | Release):
            at = command.session - 1
            holder = state.holders[at]
            if holder.request_ages_ms and holder.requests_sent[-1] == command:
                answers = replace_item(answers, at, answers[at] | {answer})
        return state._replace(
            machine_snapshot=machine, timer_ms=left, log=tuple(rest), answers=answers, owners=owners
        )

    @staticmethod
    def _record_owner(owners: Owners, command: Command, answer: Answer) -> Owners:
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

    def _change_leader(self, state: State, kept: int) -> State:
        """Another leads: what it has not is gone, who waits for an answer has to ask again."""
        machine, owners = state.machine_snapshot, state.owners
        for command in state.log[:kept]:
            machine, answer = self._apply_command(machine, command)
            owners = self._record_owner(owners, command, answer)
        lease, left = find_lease(machine), None
        if lease is not None:
            clocks = self._parts.lease_timers()
            clocks.begin(0, {LEASE: lease})
            left = clocks.remaining_us(0, LEASE) // 1000
        return state._replace(
            machine_snapshot=machine,
            timer_ms=left,
            log=(),
            owners=owners,
            leader_changes_left=state.leader_changes_left - 1,
        )

    def _holder_steps(self, state: State, at: int, holder: Holder) -> Iterator[tuple[str, State]]:
        def become(other: Holder, answers: frozenset[Answer] | None = None) -> State:
            kept = state.answers if answers is None else replace_item(state.answers, at, answers)
            return state._replace(holders=replace_item(state.holders, at, other), answers=kept)

        if len(state.log) < self._limits.log:
            for command in holder.requests_sent:
                yield f"{command_label(command)} comes", state._replace(log=(*state.log, command))
        if holder.request_ages_ms:
            if len(holder.request_ages_ms) < self._limits.tries:
                yield "asks again", become(holder._replace(request_ages_ms=(*holder.request_ages_ms, 0)))
            for answer in state.answers[at]:
                yield f"hears {answer}", become(self._receive_answer(holder, answer), frozenset())
            yield (
                "gives up",
                become(self._advance_holder(holder._replace(request_ages_ms=()), 0), frozenset()),
            )
        elif len(holder.requests_sent) < self._limits.requests[at]:
            for command in self._possible_requests(at, holder):
                freed = {"token": 0, "remaining_ms": 0} if isinstance(command, Release) else {}
                asked = holder._replace(
                    requests_sent=(*holder.requests_sent, command), request_ages_ms=(0,), **freed
                )
                yield f"asks {command_label(command)}", become(asked, frozenset())
        if self.may_act(holder) and not holder.pending_act_token:
            yield "begins to act", become(holder._replace(pending_act_token=holder.token))
        if holder.pending_act_token:
            yield "acts", self._act_on_resource(state, at, holder)

    def _possible_requests(self, at: int, holder: Holder) -> Iterator[Acquire | Renew | Release]:
        session, seq = at + 1, len(holder.requests_sent) + 1
        if self.may_act(holder):
            yield Renew(session, seq, LEASE, holder.token)
            yield Release(session, seq, LEASE, holder.token)
        elif not holder.token:
            yield Acquire(session, seq, LEASE, self._limits.ttl_ms, self._limits.delay_ms)

    def _receive_answer(self, holder: Holder, answer: Answer) -> Holder:
        """An answer to the last request."""
        asking = self._parts.request_timing()
        for age in holder.request_ages_ms:
            asking.record_sent(-age * 1000)
        sent_us, idle = asking.lease_start_us, holder._replace(request_ages_ms=(), token=0, remaining_ms=0)
        match holder.requests_sent[-1], answer:
            case Acquire(), Done():
                holding = self._parts.held_lease(
                    self._limits.ttl_ms * 1000, TimingBounds(self._limits.drift, 0)
                )
                if not holding.granted(sent_us, 0, answer.token):
                    return idle
            case Renew(), Done():
                holding = self._held_lease(holder)
                before = holding.may_act(0)
                holding.renewed(sent_us, 0, answer.token)
                if holding.may_act(0) and not before:
                    raise BrokenError("late", f"a holder goes on with {answer.token} after its end")
                if not holding.may_act(0):
                    return idle
            case _:
                return idle
        return holder._replace(request_ages_ms=(), token=holding.token, remaining_ms=holding.end_us // 1000)

    def _act_on_resource(self, state: State, at: int, holder: Holder) -> State:
        highest, token = state.highest_token, holder.pending_act_token
        if self._parts.fence(highest).admits(token):
            if token < highest:
                raise BrokenError("fence", f"the resource takes {token} after {highest}")
            highest = token
        return state._replace(
            holders=replace_item(state.holders, at, holder._replace(pending_act_token=0)),
            highest_token=highest,
        )

    def check(self, state: State) -> None:
        """Rules on a state."""
        one, other = state.holders
        if self.may_act(one) and self.may_act(other):
            raise BrokenError("overlap", f"both may act, under {one.token} and {other.token}")


def replace_item(items: tuple[T, ...], at: int, item: T) -> tuple[T, ...]:
    """A tuple with another item at a place."""
    return (*items[:at], item, *items[at + 1 :])


def command_label(command: Command) -> str:
    """A command's name and number."""
    return f"{type(command).__name__.lower()} {getattr(command, 'seq', '')}".strip()


@cache
def find_lease(data: bytes) -> Lease | None:
    """The lease in a state machine's state."""
    return StateMachine(data).state.leases.get(LEASE)


def explore(limits: Limits, parts: Parts | None = None, most: int = 10_000_000) -> ExplorationResult:
    """Visit every state, nearest first, up to the first that breaks a rule; ``RuntimeError`` at ``most``."""
    model, found = Model(limits, parts), ExplorationResult()
    came: dict[State, tuple[State | None, str]] = {model.initial_state: (None, "")}
    queue = deque(came)
    while queue:
        state = queue.popleft()
        found.states += 1
        found.held_states += any(map(model.may_act, state.holders))
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


SMALL_LIMITS = (
    Limits(requests=(1, 1)),
    Limits(requests=(2, 1), tries=1),
    Limits(requests=(2, 1), tries=1, log=2, leaders=0),
    Limits(requests=(1, 2), tries=1, leaders=0, delay_ms=100),
)  # of which every state is visited in less than a minute
LARGER_LIMITS = (
    Limits(requests=(1, 1), log=2),
    Limits(requests=(2, 1), leaders=0),
    Limits(requests=(2, 2), tries=1, leaders=0),
)
