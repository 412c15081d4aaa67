"""Fleet tasks: a named task that one of many processes performs at a time, in steps, from a durable state.

The task's lease is ``task/NAME``, and its state is the record of the same name. A step gets the state and the
lease's token and returns the next state, which is written only while the lease is in force under that token.
So a holder that was paused for longer than its lease writes nothing. A step may run twice if its holder is
lost before the state is written, so its effects elsewhere have to be idempotent or fenced by the token.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol, TypeVar

import structlog

from quorum.client import Client, LeaseKeeper, QuorumError
from quorum.holder import TimingBounds
from quorum.monotonic_clock import now_us
from quorum.state_machine import Done
from tomlconfig import Address

LOG = structlog.get_logger("quorum.tasks")
REQUEST_TIMEOUT_S = 5.0  # for an answer of the quorum, after which the runner starts over
RETRY_PAUSES_S = (0.1, 5.0)  # first and longest pause between attempts while there is no quorum
MAX_QUEUE_WAIT_MS = 20_000  # in the lease's queue, after which the lease is requested again
MAX_CONSECUTIVE_ERRORS = 3  # failed steps in a row, after which another process gets the task
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class StepResult:
    """The result of a step; a state that is empty or unchanged is not written."""

    state: bytes
    pause_s: float = 0.0  # before the next step


class Task(Protocol):
    """A task that is performed in steps."""

    async def step(self, state: bytes, token: int) -> StepResult:
        """Perform one step from ``state``, which is empty at first; cancelled before the lease ends."""


@dataclass(frozen=True, slots=True)
class TaskTerms:
    """A task's name and the terms of its lease."""

    name: str
    ttl_ms: int = 3_000
    delay_ms: int = 0  # how long nobody gets the lease after it expired instead of being released
    bounds: TimingBounds = field(default_factory=TimingBounds)


@dataclass(slots=True)
class RunnerCounts:
    """Counts of a runner's events."""

    taken: int = 0  # times that it acquired the lease
    steps: int = 0  # successful steps
    errors: int = 0  # failed steps
    lost: int = 0  # leases that ended during a step or before its state was written


class TaskRunner:
    """One process's candidacy for a task: waits for the lease and performs the task while holding it."""

    def __init__(self, members: Mapping[str, Address], owner: str, task: Task, *, terms: TaskTerms) -> None:
        self._random = Random()
        self._task, self._terms, self._resource = task, terms, f"task/{terms.name}"
        # Two sessions: one sends its requests in turn, and a renewal must not wait behind a record.
        self._lease_client, self._record_client = Client(members, owner), Client(members, owner)
        self._keeper: LeaseKeeper | None = None
        self.counts = RunnerCounts()

    @property
    def token(self) -> int:
        """The token of the lease that it holds; 0 if it holds none."""
        return self._keeper.held_lease.token if self._keeper is not None and self._keeper.may_act() else 0

    async def run(self, stop: asyncio.Event) -> None:
        """Take part until ``stop`` is set, then release the lease."""
        pause_s = RETRY_PAUSES_S[0]
        while not stop.is_set():
            try:
                await self._acquire_and_work(stop)
                pause_s = RETRY_PAUSES_S[0]
            except QuorumError as error:
                LOG.warning("no quorum", task=self._terms.name, why=str(error))
                await self._run_unless_stopped(stop, asyncio.sleep(pause_s * self._random.uniform(0.5, 1.5)))
                pause_s = min(2 * pause_s, RETRY_PAUSES_S[1])
        for client in (self._lease_client, self._record_client):
            try:
                await client.end_session(REQUEST_TIMEOUT_S)
            except QuorumError:
                client.close()

    async def _acquire_and_work(self, stop: asyncio.Event) -> None:
        """Wait for the lease and perform the task while it lasts."""
        for client in (self._lease_client, self._record_client):
            if not client.has_session:
                await client.open(REQUEST_TIMEOUT_S)
        self._keeper = keeper = LeaseKeeper(
            self._lease_client, self._resource, self._terms.ttl_ms, self._terms.bounds
        )
        wait_ms = min(10 * self._terms.ttl_ms, MAX_QUEUE_WAIT_MS)
        acquiring = keeper.acquire(wait_ms, REQUEST_TIMEOUT_S + wait_ms / 1000, self._terms.delay_ms)
        if not await self._run_unless_stopped(stop, acquiring):
            return
        self.counts.taken += 1
        LOG.info("task taken", task=self._terms.name, token=keeper.held_lease.token)
        renewing = asyncio.ensure_future(keeper.keep_renewed())
        try:
            await self._work(keeper, stop)
        finally:
            renewing.cancel()
            await asyncio.gather(renewing, return_exceptions=True)
            if keeper.may_act():
                await keeper.release(REQUEST_TIMEOUT_S)
            else:
                self.counts.lost += 1
                LOG.warning("task lost", task=self._terms.name)

    async def _work(self, keeper: LeaseKeeper, stop: asyncio.Event) -> None:
        record = await self._record_client.read(REQUEST_TIMEOUT_S, key=self._resource)
        version, state, errors = record.version, record.value, 0
        while keeper.may_act() and not stop.is_set() and errors < MAX_CONSECUTIVE_ERRORS:
            token = keeper.held_lease.token
            try:
                step = await self._run_while_held(keeper, stop, self._task.step(state, token))
            except Exception as error:  # no error of a task ends the runner
                errors, step = errors + 1, StepResult(b"", RETRY_PAUSES_S[0] * 2**errors)
                self.counts.errors += 1
                LOG.error("a step failed", task=self._terms.name, why=repr(error))
            else:
                errors = 0
            if step is None:
                return
            if step.state and step.state != state:
                answer = await self._record_client.put(
                    self._resource,
                    version,
                    step.state,
                    lease=self._resource,
                    token=token,
                    within_s=REQUEST_TIMEOUT_S,
                )
                if not isinstance(answer, Done):
                    keeper.held_lease.lost()
                    LOG.warning("a state was not written", task=self._terms.name, why=str(answer))
                    return
                version, state = answer.version, step.state
            self.counts.steps += not errors
            await self._run_while_held(keeper, stop, asyncio.sleep(step.pause_s))

    async def _run_while_held(
        self, keeper: LeaseKeeper, stop: asyncio.Event, work: Coroutine[Any, Any, T]
    ) -> T | None:
        """Run ``work``, but cancel it and return None shortly before the lease ends, or at a stop."""

        def remaining_s() -> float:
            return (keeper.held_lease.stop_us - now_us()) / 1e6 if keeper.may_act() else 0.0

        return await self._run_unless_stopped(stop, work, remaining_s)

    @staticmethod
    async def _run_unless_stopped(
        stop: asyncio.Event,
        work: Coroutine[Any, Any, T],
        remaining_s: Callable[[], float | None] = lambda: None,
    ) -> T | None:
        """Run ``work``, but cancel it and return None at a stop or once no time remains.

        ``remaining_s`` is called again when its time has passed, since a renewal may have extended the lease;
        None means no limit.
        """
        working, stopping = asyncio.ensure_future(work), asyncio.ensure_future(stop.wait())
        try:
            while not stop.is_set() and ((timeout_s := remaining_s()) is None or timeout_s > 0):
                await asyncio.wait(
                    {working, stopping}, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
                )
                if working.done():
                    return working.result()
            return None
        finally:
            for task in (working, stopping):
                task.cancel()
            await asyncio.gather(working, stopping, return_exceptions=True)
