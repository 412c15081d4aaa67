"""The sweeper: a fleet task that reads the relays' figures by HTTP, and the pages that show the summary."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Mapping

import h11
import msgspec
from prometheus_client import CollectorRegistry, Gauge, generate_latest

from operatorpages import JSON_TYPE, METRICS_TYPE, Page, PageServer
from quorum.client import Client, QuorumError
from quorum.tasks import StepResult, TaskRunner, TaskTerms
from sweeper.config import Config
from sweeper.summary import (
    FiguresError,
    RelayReading,
    Summary,
    decode_summary,
    encode_summary,
    next_relays,
    parse_figures,
    record_reading,
    split_into_slices,
    sum_figures,
)
from tomlconfig import Address, parse_address

TASK_NAME = "sweep"
STEP_READING_S = 1.0  # time of reading between two writes of the summary
MAX_BODY_BYTES = 64 * 1024  # of a relay's response
SUMMARY_TIMEOUT_S = 2.0  # for reading the summaries from the quorum


async def fetch_figures(address: Address, timeout_s: float) -> dict[str, int]:
    """Read a relay's figures; raises ``TimeoutError``, another ``OSError`` or ``FiguresError``."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            http = h11.Connection(h11.CLIENT)
            request = h11.Request(method="GET", target="/admin/stats", headers=[("host", "relay")])
            writer.write((http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b""))
            return parse_figures(await read_body(http, reader))
        except h11.ProtocolError as error:
            raise FiguresError(f"no HTTP: {error}") from None
        finally:
            writer.transport.abort()


async def read_body(http: h11.Connection, reader: asyncio.StreamReader) -> bytes:
    """The body of a response; ``FiguresError`` if its status is not 200 or it is too long."""
    body = bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(MAX_BODY_BYTES))
        elif isinstance(event, h11.Response) and event.status_code != 200:
            raise FiguresError(f"it answered {event.status_code}")
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise FiguresError(f"over {MAX_BODY_BYTES} bytes")
        elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            return bytes(body)


class SweepTask:
    """The task of one slice: a step reads as many relays as its share of the pace allows in a second."""

    def __init__(self, config: Config, relays: list[str], slice_count: int) -> None:
        self._relays = {name: parse_address(config.relays[name]) for name in relays}
        pace_per_s = config.pace_per_s / slice_count
        self._reading_interval_s = 1 / pace_per_s
        self._timeout_s = config.timeout_ms / 1000
        self._round_pause_s = config.pause_ms / 1000
        self._relays_per_step = max(1, int(STEP_READING_S * pace_per_s))

    async def step(self, state: bytes, token: int) -> StepResult:
        """Read the next relays; the next step, by whichever sweeper, continues after them."""
        summary = decode_summary(state)
        for name in [name for name in summary.relays if name not in self._relays]:
            del summary.relays[name]
        names, ends_round = next_relays(summary, list(self._relays), self._relays_per_step)
        readings = []
        for index, name in enumerate(names):
            if index:
                await asyncio.sleep(self._reading_interval_s)
            readings.append(asyncio.ensure_future(self._read_relay(name)))
        try:
            for name, reading in zip(names, readings, strict=True):
                figures, why = await reading
                record_reading(summary, name, time.time(), figures, why)
        finally:
            for reading in readings:
                reading.cancel()
        summary.position = "" if ends_round else names[-1]
        summary.rounds += ends_round
        return StepResult(
            encode_summary(summary), self._round_pause_s if ends_round else self._reading_interval_s
        )

    async def _read_relay(self, name: str) -> tuple[dict[str, int] | None, str]:
        """A relay's figures, or None and the reason of the failure."""
        try:
            return await fetch_figures(self._relays[name], self._timeout_s), ""
        except TimeoutError:
            return None, "no answer in time"
        except OSError as error:
            return None, error.strerror or repr(error)
        except FiguresError as error:
            return None, str(error)


def relay_summary(summary: Summary, reading: RelayReading, now_s: float) -> Mapping[str, object]:
    """One relay as operators read it: the age of its figures, the last failure, the figures."""
    figures = zip(summary.names, reading.now, strict=False)
    age_s = round(now_s - reading.at_s, 1) if reading.at_s else None
    return {"age_s": age_s, "why": reading.why} | {name.partition("|")[0]: value for name, value in figures}


def fleet_summary(slices: list[Summary]) -> dict[str, object]:
    """All slices as one summary for operators; a round counts once every slice has completed it."""
    now_s = time.time()
    relays = {
        name: relay_summary(summary, reading, now_s)
        for summary in slices
        for name, reading in summary.relays.items()
    }
    return {
        "rounds": min(summary.rounds for summary in slices),
        "readings": sum(summary.readings for summary in slices),
        "totals": sum_figures(slices),
        "relays": dict(sorted(relays.items())),
    }


def assign_relays_to_tasks(relays: Iterable[str]) -> dict[str, list[str]]:
    """The relays of each task, by the task's name: one task, or one for each slice."""
    slices = split_into_slices(relays)
    if len(slices) == 1:
        return {TASK_NAME: slices[0]}
    return {f"{TASK_NAME}-{number}": names for number, names in enumerate(slices)}


async def read_summaries(client: Client, tasks: Iterable[str]) -> list[Summary]:
    """Each task's summary from the quorum; ``QuorumError`` if it does not answer in time for all of them."""
    deadline_s = time.monotonic() + SUMMARY_TIMEOUT_S
    return [
        decode_summary((await client.read(max(0.0, deadline_s - time.monotonic()), key=f"task/{task}")).value)
        for task in tasks
    ]


class Sweeper:
    """One process: competes for the tasks, and shows the fleet's summary whichever process sweeps."""

    def __init__(self, config: Config) -> None:
        self._config = config
        self._relays_by_task = assign_relays_to_tasks(config.relays)
        sweep_tasks = {
            task: SweepTask(config, names, len(self._relays_by_task))
            for task, names in self._relays_by_task.items()
        }
        self.runners = [
            TaskRunner(config.quorum, config.name, sweep_task, terms=TaskTerms(task, config.ttl_ms))
            for task, sweep_task in sweep_tasks.items()
        ]
        self._client = Client(config.quorum, config.name)
        self._page_server = PageServer(
            {
                "/health": lambda: Page(200, b"up\n"),
                "/summary": self._summary_page,
                "/metrics": self._metrics_page,
            }
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Run until ``stop`` is set; ``OSError`` if the operators' address cannot be bound."""
        if self._config.operators:
            await self._page_server.start(*parse_address(self._config.operators))
        try:
            await asyncio.gather(*(runner.run(stop) for runner in self.runners))
        finally:
            self._page_server.stop()
            self._client.close()

    async def _summary_page(self) -> Page:
        try:
            slices = await read_summaries(self._client, self._relays_by_task)
        except QuorumError as error:
            return Page(503, f"{error}\n".encode())
        return Page(200, msgspec.json.format(msgspec.json.encode(fleet_summary(slices))) + b"\n", JSON_TYPE)

    async def _metrics_page(self) -> Page:
        """The fleet's sums and this sweeper's own counters, in Prometheus' text format."""
        registry, counts = CollectorRegistry(), [runner.counts for runner in self.runners]
        tokens = [runner.token for runner in self.runners]
        for name, help_text, value in (
            ("sweep_token", "newest token under which this one sweeps, 0: it does not", max(tokens)),
            ("sweep_slices", "slices of the fleet", len(tokens)),
            ("sweep_slices_held", "of these, the ones that this one sweeps", sum(map(bool, tokens))),
            ("sweep_taken", "times that this one took a task", sum(count.taken for count in counts)),
            ("sweep_lost", "times that it lost one", sum(count.lost for count in counts)),
            ("sweep_steps", "steps that this one did", sum(count.steps for count in counts)),
            ("sweep_errors", "steps of this one that failed", sum(count.errors for count in counts)),
        ):
            Gauge(name, help_text, registry=registry).set(value)
        try:
            slices = await read_summaries(self._client, self._relays_by_task)
        except QuorumError:
            return Page(200, generate_latest(registry), METRICS_TYPE)
        sums = Gauge("fleet_figure", "sum over all relays", ["figure"], registry=registry)
        for figure, total in sum_figures(slices).items():
            sums.labels(figure).set(total)
        silent = sum(bool(reading.why) for summary in slices for reading in summary.relays.values())
        Gauge("fleet_relays_silent", "relays whose last reading failed", registry=registry).set(silent)
        return Page(200, generate_latest(registry), METRICS_TYPE)
