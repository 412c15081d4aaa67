"""The sweeper: a fleet task that reads relays' figures by HTTP, and the pages that show what it found."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Mapping

import h11
import msgspec
from prometheus_client import CollectorRegistry, Gauge, generate_latest

from operatorpages import JSON, METRICS, Page, Pages
from quorum.client import Client, QuorumError
from quorum.tasks import StepResult, TaskRunner, TaskTerms
from sweeper.config import Config
from sweeper.summary import (
    FiguresError,
    Seen,
    Summary,
    figures_of,
    following,
    noted,
    opened,
    packed,
    slices_of,
    totals,
)
from tomlconfig import Address, address_of

TASK = "sweep"
STEP_S = 1.0  # s of reading between two writes of the summary
MOST_BODY = 64 * 1024  # bytes of a relay's answer
READ_S = 2.0  # s for the summary to come from the quorum


async def fetch(address: Address, timeout_s: float) -> dict[str, int]:
    """A relay's figures; ``OSError`` or ``FiguresError`` where there are none in time."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            http = h11.Connection(h11.CLIENT)
            ask = h11.Request(method="GET", target="/admin/stats", headers=[("host", "relay")])
            writer.write((http.send(ask) or b"") + (http.send(h11.EndOfMessage()) or b""))
            return figures_of(await answer_of(http, reader))
        except h11.ProtocolError as error:
            raise FiguresError(f"no HTTP: {error}") from None
        finally:
            writer.transport.abort()


async def answer_of(http: h11.Connection, reader: asyncio.StreamReader) -> bytes:
    """The body of an answer that is a yes; ``FiguresError`` where it is none, or is too long."""
    body = bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(MOST_BODY))
        elif isinstance(event, h11.Response) and event.status_code != 200:
            raise FiguresError(f"it answered {event.status_code}")
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MOST_BODY:
                raise FiguresError(f"over {MOST_BODY} bytes")
        elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            return bytes(body)


class Sweep:
    """The task of one slice: a step reads as many relays as its part of the pace allows in a second."""

    def __init__(self, config: Config, relays: list[str], slices: int) -> None:
        self._relays = {name: address_of(config.relays[name]) for name in relays}
        pace_per_s = config.pace_per_s / slices
        self._pace_s, self._timeout_s = 1 / pace_per_s, config.timeout_ms / 1000
        self._pause_s = config.pause_ms / 1000
        self._batch = max(1, int(STEP_S * pace_per_s))

    async def step(self, state: bytes, token: int) -> StepResult:
        """Read the relays that follow; the next step, of whatever holder, goes on behind them."""
        summary = opened(state)
        for name in [name for name in summary.relays if name not in self._relays]:
            del summary.relays[name]
        some, ends = following(summary, list(self._relays), self._batch)
        readings = []
        for at, name in enumerate(some):
            if at:
                await asyncio.sleep(self._pace_s)
            readings.append(asyncio.ensure_future(self._read(name)))
        try:
            for name, reading in zip(some, readings, strict=True):
                figures, why = await reading
                noted(summary, name, time.time(), figures, why)
        finally:
            for reading in readings:
                reading.cancel()
        summary.position = "" if ends else some[-1]
        summary.rounds += ends
        return StepResult(packed(summary), self._pause_s if ends else self._pace_s)

    async def _read(self, name: str) -> tuple[dict[str, int] | None, str]:
        try:
            return await fetch(self._relays[name], self._timeout_s), ""
        except TimeoutError:
            return None, "no answer in time"
        except OSError as error:
            return None, error.strerror or repr(error)
        except FiguresError as error:
            return None, str(error)


def line_of(summary: Summary, seen: Seen, now_s: float) -> Mapping[str, object]:
    """One relay as operators read it."""
    figures = zip(summary.names, seen.now, strict=False)
    age_s = round(now_s - seen.at_s, 1) if seen.at_s else None
    return {"age_s": age_s, "why": seen.why} | {name.partition("|")[0]: value for name, value in figures}


def shown(slices: list[Summary]) -> dict[str, object]:
    """The slices' summaries as operators read them, as one; a round is over once it is in each of them."""
    now_s = time.time()
    relays = {
        name: line_of(summary, seen, now_s) for summary in slices for name, seen in summary.relays.items()
    }
    return {
        "rounds": min(summary.rounds for summary in slices),
        "readings": sum(summary.readings for summary in slices),
        "totals": totals(slices),
        "relays": dict(sorted(relays.items())),
    }


def tasks_of(relays: Iterable[str]) -> dict[str, list[str]]:
    """The relays that each task reads, by its name: one task, or one for each slice."""
    slices = slices_of(relays)
    if len(slices) == 1:
        return {TASK: slices[0]}
    return {f"{TASK}-{number}": some for number, some in enumerate(slices)}


async def summaries_of(client: Client, tasks: Iterable[str]) -> list[Summary]:
    """Each slice's summary as the quorum has it; ``QuorumError`` where it does not tell them all in time."""
    until_s = time.monotonic() + READ_S
    return [
        opened((await client.read(max(0.0, until_s - time.monotonic()), key=f"task/{task}")).value)
        for task in tasks
    ]


class Sweeper:
    """One process: takes part in the task, and shows the summary whoever keeps it."""

    def __init__(self, config: Config) -> None:
        self._config = config
        self._tasks = tasks_of(config.relays)
        sweeps = {task: Sweep(config, some, len(self._tasks)) for task, some in self._tasks.items()}
        self.runners = [
            TaskRunner(config.quorum, config.name, sweep, terms=TaskTerms(task, config.ttl_ms))
            for task, sweep in sweeps.items()
        ]
        self._reader = Client(config.quorum, config.name)
        self._pages = Pages(
            {
                "/health": lambda: Page(200, b"up\n"),
                "/summary": self._summary,
                "/metrics": self._metrics,
            }
        )

    async def run(self, over: asyncio.Event) -> None:
        """Take part until that is set; ``OSError`` where its address cannot be had."""
        if self._config.operators:
            await self._pages.start(*address_of(self._config.operators))
        try:
            await asyncio.gather(*(runner.run(over) for runner in self.runners))
        finally:
            self._pages.stop()
            self._reader.close()

    async def _summary(self) -> Page:
        try:
            slices = await summaries_of(self._reader, self._tasks)
        except QuorumError as error:
            return Page(503, f"{error}\n".encode())
        return Page(200, msgspec.json.format(msgspec.json.encode(shown(slices))) + b"\n", JSON)

    async def _metrics(self) -> Page:
        """The fleet's sums and this sweeper's own counts, in Prometheus' form."""
        registry, counts = CollectorRegistry(), [runner.counts for runner in self.runners]
        tokens = [runner.token for runner in self.runners]
        for name, text, value in (
            ("sweep_token", "newest token under which this one sweeps, 0: it does not", max(tokens)),
            ("sweep_slices", "slices of the fleet", len(tokens)),
            ("sweep_slices_held", "of these, the ones that this one sweeps", sum(map(bool, tokens))),
            ("sweep_taken", "times that this one took a task", sum(count.taken for count in counts)),
            ("sweep_lost", "times that it lost one", sum(count.lost for count in counts)),
            ("sweep_steps", "steps that this one did", sum(count.steps for count in counts)),
            ("sweep_errors", "steps of this one that failed", sum(count.errors for count in counts)),
        ):
            Gauge(name, text, registry=registry).set(value)
        try:
            slices = await summaries_of(self._reader, self._tasks)
        except QuorumError:
            return Page(200, generate_latest(registry), METRICS)
        sums = Gauge("fleet_figure", "sum over all relays", ["figure"], registry=registry)
        for figure, total in totals(slices).items():
            sums.labels(figure).set(total)
        silent = sum(bool(seen.why) for summary in slices for seen in summary.relays.values())
        Gauge("fleet_relays_silent", "relays whose last reading failed", registry=registry).set(silent)
        return Page(200, generate_latest(registry), METRICS)
