"""Fleet tasks: a named task is done by one of many processes, step by step, from a state that is kept.

The task's lease is ``task/NAME``, its state the record of the same name. A step is handed the state and the
token, and gives the next state, which is written only while the lease is in force under that token: a holder
that was stopped for longer than its lease writes nothing. A step may be done twice, when its holder is lost
before the state is written, so what it does elsewhere has to bear that, or be fenced by the token.
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
REQUEST_TIMEOUT_S = 5.0  # s for an answer of the quorum, before it is tried anew with another session
RETRY_PAUSES_S = (0.1, 5.0)  # s between tries without a quorum: at first, and at most
MAX_QUEUE_WAIT_MS = 20_000  # of waiting in turn, before it is asked anew
MAX_CONSECUTIVE_ERRORS = 3  # steps in a row that fail before another process is let try
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class StepResult:
    """What a step comes to; an empty state, or the one before, is not written."""

    state: bytes
    pause_s: float = 0.0  # until the next one


class Task(Protocol):
    """What is done."""

    async def step(self, state: bytes, token: int) -> StepResult:
        """One step from a state, empty at the very first; cancelled where the lease ends meanwhile."""


@dataclass(frozen=True, slots=True)
class TaskTerms:
    """How a task is held."""

    name: str
    ttl_ms: int = 3_000
    delay_ms: int = 0  # after an unclean end
    bounds: TimingBounds = field(default_factory=TimingBounds)


@dataclass(slots=True)
class RunnerCounts:
    """What a runner has seen."""

    taken: int = 0  # leases
    steps: int = 0
    errors: int = 0  # steps that failed
    lost: int = 0  # leases that ended under a step or before a state was written


class TaskRunner:
    """One process's part in a task: waits for its turn, and does the task while it holds the lease."""

    def __init__(self, members: Mapping[str, Address], owner: str, task: Task, *, terms: TaskTerms) -> None:
        self._random = Random()
        self._task, self._terms, self._resource = task, terms, f"task/{terms.name}"
        # Two sessions: a renewal must not wait behind a record.
        self._lease_client, self._record_client = Client(members, owner), Client(members, owner)
        self._keeper: LeaseKeeper | None = None
        self.counts = RunnerCounts()

    @property
    def token(self) -> int:
        """Under which it acts; 0 where it does not."""
        return self._keeper.held_lease.token if self._keeper is not None and self._keeper.may_act() else 0

    async def run(self, over: asyncio.Event) -> None:
        """Take part until that is set; then give the lease back in order."""
        pause_s = RETRY_PAUSES_S[0]
        while not over.is_set():
            try:
                await self._acquire_and_work(over)
                pause_s = RETRY_PAUSES_S[0]
            except QuorumError as error:
                LOG.warning("no quorum", task=self._terms.name, why=str(error))
                await self._run_unless_stopped(over, asyncio.sleep(pause_s * self._random.uniform(0.5, 1.5)))
                pause_s = min(2 * pause_s, RETRY_PAUSES_S[1])
        for client in (self._lease_client, self._record_client):
            try:
                await client.end_session(REQUEST_TIMEOUT_S)
            except QuorumError:
                client.close()

    async def _acquire_and_work(self, over: asyncio.Event) -> None:
        """Wait for the lease and do the task while it lasts."""
        for client in (self._lease_client, self._record_client):
            if not client.has_session:
                await client.open(REQUEST_TIMEOUT_S)
        self._keeper = keeper = LeaseKeeper(
            self._lease_client, self._resource, self._terms.ttl_ms, self._terms.bounds
        )
        wait_ms = min(10 * self._terms.ttl_ms, MAX_QUEUE_WAIT_MS)
        waits = keeper.acquire(wait_ms, REQUEST_TIMEOUT_S + wait_ms / 1000, self._terms.delay_ms)
        if not await self._run_unless_stopped(over, waits):
            return
        self.counts.taken += 1
        LOG.info("task taken", task=self._terms.name, token=keeper.held_lease.token)
        keeping = asyncio.ensure_future(keeper.keep_renewed())
        try:
            await self._work(keeper, over)
        finally:
            keeping.cancel()
            await asyncio.gather(keeping, return_exceptions=True)
            if keeper.may_act():
                await keeper.release(REQUEST_TIMEOUT_S)
            else:
                self.counts.lost += 1
                LOG.warning("task lost", task=self._terms.name)

    async def _work(self, keeper: LeaseKeeper, over: asyncio.Event) -> None:
        told = await self._record_client.read(REQUEST_TIMEOUT_S, key=self._resource)
        version, state, errors = told.version, told.value, 0
        while keeper.may_act() and not over.is_set() and errors < MAX_CONSECUTIVE_ERRORS:
            token = keeper.held_lease.token
            try:
                step = await self._run_while_held(keeper, over, self._task.step(state, token))
            except Exception as error:  # whatever a task does, the runner goes on
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
            await self._run_while_held(keeper, over, asyncio.sleep(step.pause_s))

    async def _run_while_held(
        self, keeper: LeaseKeeper, over: asyncio.Event, work: Coroutine[Any, Any, T]
    ) -> T | None:
        """Do something while the lease lasts; None where it was cut off, in time before the end."""

        def left_s() -> float:
            return (keeper.held_lease.stop_us - now_us()) / 1e6 if keeper.may_act() else 0.0

        return await self._run_unless_stopped(over, work, left_s)

    @staticmethod
    async def _run_unless_stopped(
        over: asyncio.Event, work: Coroutine[Any, Any, T], left_s: Callable[[], float | None] = lambda: None
    ) -> T | None:
        """Do something unless the end comes before, or no time is left; then None. ``left_s`` may grow."""
        doing, ended = asyncio.ensure_future(work), asyncio.ensure_future(over.wait())
        try:
            while not over.is_set() and ((time_s := left_s()) is None or time_s > 0):
                await asyncio.wait({doing, ended}, timeout=time_s, return_when=asyncio.FIRST_COMPLETED)
                if doing.done():
                    return doing.result()
            return None
        finally:
            for task in (doing, ended):
                task.cancel()
            await asyncio.gather(doing, ended, return_exceptions=True)
