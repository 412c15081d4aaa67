"""A model checker of leases: visits every state of a small service with two holders and a fenced resource.

Agreement between members is assumed, as ``fleetlab.sim.quorum`` tests it: the service is one log, of which
a new leader may lose the entries that were not committed. Everything else is the service's own code:
``StateMachine``, ``LeaseTimers``, ``RequestTiming``, ``HeldLease`` and ``Fence``. Time advances in ticks,
in each of which every clock advances independently by the least or the most that the bound on drift allows.
A request or an answer that was sent may arrive at any time, any number of times, or never, which covers
loss, delay, duplication and reordering. A holder may pause at any moment, also between its check of the
lease and its action, because no step has to happen before the next tick.

Rules that are checked: ``overlap`` (two holders may act at once), ``fence`` (the resource admits an older
token after a newer one), ``token`` (a token is issued twice, or a later one is smaller), ``late`` (a holder
continues after it had to stop).
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

LEASE = "l"  # the name of the only lease
END_PROPOSED = -1  # value of ``State.timer_ms`` when the lease's end is in the log
T = TypeVar("T")
Owners = tuple[tuple[int, tuple[int, int]], ...]  # token, and session and sequence number of its request
NO_ANSWERS: tuple[frozenset[Answer], ...] = (frozenset(), frozenset())


class Holder(NamedTuple):
    """A holder: its requests so far, and its lease."""

    requests_sent: tuple[Acquire | Renew | Release, ...] = ()
    # Time since each sending of the last request; empty once its answer is no longer awaited.
    request_ages_ms: tuple[int, ...] = ()
    token: int = 0  # 0: holds nothing
    remaining_ms: int = 0  # time in which it may still act
    pending_act_token: int = 0  # the token of an act that is on its way; 0: none


class State(NamedTuple):
    """A state of the whole model."""

    machine_snapshot: bytes
    timer_ms: int | None  # remaining time of the leader's timer for the lease; None: no timer runs
    log: tuple[Command, ...]  # entries that are proposed and not applied
    holders: tuple[Holder, ...]
    answers: tuple[frozenset[Answer], ...]  # answers to each holder's last request that may still arrive
    owners: Owners  # in the order of issue
    highest_token: int  # that the resource has admitted
    leader_changes_left: int  # changes of leader that may still happen


@dataclass(frozen=True, slots=True)
class Limits:
    """The size of a model, and its times."""

    requests: tuple[int, int] = (2, 1)  # number that each holder sends
    tries: int = 2  # times that each request is sent
    log: int = 1  # entries that are proposed and not applied
    leaders: int = 1  # changes of leader
    delay_ms: int = 0  # after an unclean end, before the lease is granted again
    ttl_ms: int = 300
    slow_ms: int = 50  # advance of the slowest clock in a tick
    fast_ms: int = 100  # advance of the fastest clock in a tick
    drift: float = 1 / 3  # bound on the relative error of clocks that covers both

    @property
    def counted_ms(self) -> int:
        """How long a holder may count on a lease from the sending of its request."""
        return int(self.ttl_ms * (1 - 2 * self.drift))


@dataclass(slots=True)
class ExplorationResult:
    """The result of an exploration."""

    states: int = 0
    transitions: int = 0
    held_states: int = 0  # states in which some holder may act
    rule: str = ""  # the rule that broke; empty: none did
    text: str = ""  # the error of the rule that broke
    trace: list[str] = field(default_factory=list)  # labels of the steps that lead to it


class Model:
    """The initial state, and the steps that are possible in each state."""

    def __init__(self, limits: Limits, parts: Parts | None = None) -> None:
        self._limits, self._parts = limits, parts or Parts()
        self._apply_command = cache(self._compute_application)
        self._update_timer = cache(self._compute_timer_ms)
        self.may_act = cache(self._compute_may_act)

    # The service's own code as functions of immutable values, so that results can be cached

    @property
    def initial_state(self) -> State:
        """Both holders have a session, and nothing has been requested."""
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
        self, before: bytes, timer_ms: int | None, after: bytes, command: Command, answer: Answer
    ) -> int | None:
        """Return the leader's timer for the lease after a command was applied."""
        timers, lease = self._running_timers(before, timer_ms), find_lease(after)
        timers.update_after(0, command, answer, {LEASE: lease} if lease is not None else {})
        if lease is None:
            return None
        return timer_ms if timers.due_us is None else timers.remaining_us(0, LEASE) // 1000

    def _running_timers(self, data: bytes, timer_ms: int | None) -> LeaseTimers:
        """Return the leader's timers with the given remaining time, on a clock that reads 0."""
        timers, lease = self._parts.lease_timers(), find_lease(data)
        if lease is not None and timer_ms is not None and timer_ms != END_PROPOSED:
            timed = replace(lease, ttl_ms=timer_ms) if lease.session else replace(lease, delay_ms=timer_ms)
            # The base class: a planted bug in the method must not change a timer that already runs.
            LeaseTimers.begin(timers, 0, {LEASE: timed})
        return timers

    def _held_lease(self, holder: Holder) -> HeldLease:
        """Return the holder's lease, on a clock that reads 0."""
        held_lease = self._parts.held_lease(self._limits.ttl_ms * 1000, TimingBounds(self._limits.drift, 0))
        if holder.token:
            # The base class again: this lease was granted before.
            start_us = (holder.remaining_ms - self._limits.counted_ms) * 1000
            HeldLease.granted(held_lease, start_us, start_us, holder.token)
        return held_lease

    def _compute_may_act(self, holder: Holder) -> bool:
        """Whether a holder may act now."""
        return bool(holder.token) and self._held_lease(holder).may_act(0)

    # Steps

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield the label and the resulting state of each possible step.

        Raises ``BrokenError`` at a step that breaks a rule by itself.
        """
        yield from self._tick_steps(state)
        if state.log:
            yield "applied", self._apply_log_head(state)
        if state.timer_ms == 0 and len(state.log) < self._limits.log:
            ends = tuple(self._running_timers(state.machine_snapshot, 0).pop_due(0))
            yield "an end is proposed", state._replace(log=state.log + ends, timer_ms=END_PROPOSED)
        if state.leader_changes_left:
            for kept in range(len(state.log) + 1):
                yield f"a new leader, with {kept} entries", self._change_leader(state, kept)
        for index, holder in enumerate(state.holders):
            for label, after in self._holder_steps(state, index, holder):
                yield f"h{index + 1} {label}", after

    def _tick_steps(self, state: State) -> Iterator[tuple[str, State]]:
        for server_ms, *holders_ms in product(sorted({self._limits.slow_ms, self._limits.fast_ms}), repeat=3):
            timer_ms = state.timer_ms
            if timer_ms is not None and timer_ms != END_PROPOSED:
                timer_ms = max(0, timer_ms - server_ms)
            holders = tuple(map(self._advance_holder, state.holders, holders_ms))
            if timer_ms != state.timer_ms or holders != state.holders:
                yield f"tick {server_ms} {holders_ms}", state._replace(timer_ms=timer_ms, holders=holders)

    def _advance_holder(self, holder: Holder, ms: int) -> Holder:
        # An age is of no interest once it exceeds what a holder may count; the cap keeps states few.
        ages_ms = tuple(min(age + ms, self._limits.counted_ms + 1) for age in holder.request_ages_ms)
        remaining_ms = max(0, holder.remaining_ms - ms)
        is_renewing = bool(ages_ms) and isinstance(holder.requests_sent[-1], Renew)
        return holder._replace(
            request_ages_ms=ages_ms,
            remaining_ms=remaining_ms,
            token=holder.token if remaining_ms or is_renewing else 0,
        )

    def _apply_log_head(self, state: State) -> State:
        """Apply the first entry of the log, and send its answer if the holder waits for it."""
        command, *rest = state.log
        snapshot, answer = self._apply_command(state.machine_snapshot, command)
        timer_ms = self._update_timer(state.machine_snapshot, state.timer_ms, snapshot, command, answer)
        owners = self._record_owner(state.owners, command, answer)
        answers = state.answers
        if isinstance(command, Acquire | Renew | Release):
            index = command.session - 1
            holder = state.holders[index]
            if holder.request_ages_ms and holder.requests_sent[-1] == command:
                answers = replace_item(answers, index, answers[index] | {answer})
        return state._replace(
            machine_snapshot=snapshot, timer_ms=timer_ms, log=tuple(rest), answers=answers, owners=owners
        )

    @staticmethod
    def _record_owner(owners: Owners, command: Command, answer: Answer) -> Owners:
        """Add the request that was granted a token; raises ``BrokenError`` at a repeated or smaller token."""
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
        """Change the leader.

        The new one has only the first ``kept`` entries of the log, and applies them. It sends no answers:
        a holder that waits for one has to send its request again.
        """
        snapshot, owners = state.machine_snapshot, state.owners
        for command in state.log[:kept]:
            snapshot, answer = self._apply_command(snapshot, command)
            owners = self._record_owner(owners, command, answer)
        lease, timer_ms = find_lease(snapshot), None
        if lease is not None:
            timers = self._parts.lease_timers()
            timers.begin(0, {LEASE: lease})
            timer_ms = timers.remaining_us(0, LEASE) // 1000
        return state._replace(
            machine_snapshot=snapshot,
            timer_ms=timer_ms,
            log=(),
            owners=owners,
            leader_changes_left=state.leader_changes_left - 1,
        )

    def _holder_steps(self, state: State, index: int, holder: Holder) -> Iterator[tuple[str, State]]:
        def with_holder(changed: Holder, answers: frozenset[Answer] | None = None) -> State:
            all_answers = state.answers if answers is None else replace_item(state.answers, index, answers)
            return state._replace(holders=replace_item(state.holders, index, changed), answers=all_answers)

        if len(state.log) < self._limits.log:
            for command in holder.requests_sent:
                yield f"{command_label(command)} comes", state._replace(log=(*state.log, command))
        if holder.request_ages_ms:
            if len(holder.request_ages_ms) < self._limits.tries:
                yield "asks again", with_holder(holder._replace(request_ages_ms=(*holder.request_ages_ms, 0)))
            for answer in state.answers[index]:
                yield f"hears {answer}", with_holder(self._receive_answer(holder, answer), frozenset())
            yield (
                "gives up",
                with_holder(self._advance_holder(holder._replace(request_ages_ms=()), 0), frozenset()),
            )
        elif len(holder.requests_sent) < self._limits.requests[index]:
            for command in self._possible_requests(index, holder):
                released = {"token": 0, "remaining_ms": 0} if isinstance(command, Release) else {}
                requesting = holder._replace(
                    requests_sent=(*holder.requests_sent, command), request_ages_ms=(0,), **released
                )
                yield f"asks {command_label(command)}", with_holder(requesting, frozenset())
        if self.may_act(holder) and not holder.pending_act_token:
            yield "begins to act", with_holder(holder._replace(pending_act_token=holder.token))
        if holder.pending_act_token:
            yield "acts", self._act_on_resource(state, index, holder)

    def _possible_requests(self, index: int, holder: Holder) -> Iterator[Acquire | Renew | Release]:
        session, seq = index + 1, len(holder.requests_sent) + 1
        if self.may_act(holder):
            yield Renew(session, seq, LEASE, holder.token)
            yield Release(session, seq, LEASE, holder.token)
        elif not holder.token:
            yield Acquire(session, seq, LEASE, self._limits.ttl_ms, self._limits.delay_ms)

    def _receive_answer(self, holder: Holder, answer: Answer) -> Holder:
        """Return the holder after an answer to its last request."""
        timing = self._parts.request_timing()
        for age_ms in holder.request_ages_ms:
            timing.record_sent(-age_ms * 1000)
        sent_us, idle = timing.lease_start_us, holder._replace(request_ages_ms=(), token=0, remaining_ms=0)
        match holder.requests_sent[-1], answer:
            case Acquire(), Done():
                held_lease = self._parts.held_lease(
                    self._limits.ttl_ms * 1000, TimingBounds(self._limits.drift, 0)
                )
                if not held_lease.granted(sent_us, 0, answer.token):
                    return idle
            case Renew(), Done():
                held_lease = self._held_lease(holder)
                could_act = held_lease.may_act(0)
                held_lease.renewed(sent_us, 0, answer.token)
                if held_lease.may_act(0) and not could_act:
                    raise BrokenError("late", f"a holder goes on with {answer.token} after its end")
                if not held_lease.may_act(0):
                    return idle
            case _:
                return idle
        return holder._replace(
            request_ages_ms=(), token=held_lease.token, remaining_ms=held_lease.end_us // 1000
        )

    def _act_on_resource(self, state: State, index: int, holder: Holder) -> State:
        highest, token = state.highest_token, holder.pending_act_token
        if self._parts.fence(highest).admits(token):
            if token < highest:
                raise BrokenError("fence", f"the resource takes {token} after {highest}")
            highest = token
        return state._replace(
            holders=replace_item(state.holders, index, holder._replace(pending_act_token=0)),
            highest_token=highest,
        )

    def check(self, state: State) -> None:
        """Check the rules that concern a state alone."""
        one, other = state.holders
        if self.may_act(one) and self.may_act(other):
            raise BrokenError("overlap", f"both may act, under {one.token} and {other.token}")


def replace_item(items: tuple[T, ...], index: int, item: T) -> tuple[T, ...]:
    """Return the tuple with another item at an index."""
    return (*items[:index], item, *items[index + 1 :])


def command_label(command: Command) -> str:
    """Return a command's name and sequence number."""
    return f"{type(command).__name__.lower()} {getattr(command, 'seq', '')}".strip()


@cache
def find_lease(data: bytes) -> Lease | None:
    """Return the lease in a snapshot of the state machine; None if there is none."""
    return StateMachine(data).state.leases.get(LEASE)


def explore(limits: Limits, parts: Parts | None = None, max_states: int = 10_000_000) -> ExplorationResult:
    """Visit all reachable states in breadth-first order, up to the first that breaks a rule.

    Raises ``RuntimeError`` if there are more than ``max_states``.
    """
    model, result = Model(limits, parts), ExplorationResult()
    # Each state that was reached, with the state and the step from which it was reached first.
    predecessors: dict[State, tuple[State | None, str]] = {model.initial_state: (None, "")}
    queue = deque(predecessors)
    while queue:
        state = queue.popleft()
        result.states += 1
        result.held_states += any(map(model.may_act, state.holders))
        try:
            model.check(state)
            for label, after in model.steps(state):
                result.transitions += 1
                if after not in predecessors:
                    predecessors[after] = (state, label)
                    queue.append(after)
        except BrokenError as error:
            result.rule, result.text, result.trace = error.rule, str(error), trace_to(predecessors, state)
            return result
        if len(predecessors) > max_states:
            raise RuntimeError(f"over {max_states} states")
    return result


def trace_to(predecessors: dict[State, tuple[State | None, str]], state: State) -> list[str]:
    """Return the labels of the steps that lead from the initial state to a state."""
    labels, current = list[str](), state
    while True:
        before, label = predecessors[current]
        if before is None:
            return labels[::-1]
        labels.append(label)
        current = before


# Models that are explored in less than a minute.
SMALL_LIMITS = (
    Limits(requests=(1, 1)),
    Limits(requests=(2, 1), tries=1),
    Limits(requests=(2, 1), tries=1, log=2, leaders=0),
    Limits(requests=(1, 2), tries=1, leaders=0, delay_ms=100),
)
# Models that take minutes.
LARGER_LIMITS = (
    Limits(requests=(1, 1), log=2),
    Limits(requests=(2, 1), leaders=0),
    Limits(requests=(2, 2), tries=1, leaders=0),
)
