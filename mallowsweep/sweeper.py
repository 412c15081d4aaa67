"""The sweeper: a fleet task that reads relays' figures by HTTP, and the pages that show what it found."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping

import h11
import msgspec
from prometheus_client import CollectorRegistry, Gauge, generate_latest

from mallowpages import JSON, METRICS, Page, Pages
from mallowquorum.client import Client, QuorumError
from mallowquorum.config import Address, address_of
from mallowquorum.tasks import Runner, Step, Terms
from mallowsweep.config import Config
from mallowsweep.summary import (
    FiguresError,
    Seen,
    Summary,
    figures_of,
    following,
    noted,
    opened,
    packed,
    totals,
)

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
    """The task: one step reads as many relays as the pace allows in a second."""

    def __init__(self, config: Config) -> None:
        self._relays = {name: address_of(text) for name, text in config.relays.items()}
        self._pace_s, self._timeout_s = 1 / config.pace_per_s, config.timeout_ms / 1000
        self._pause_s = config.pause_ms / 1000
        self._batch = max(1, int(STEP_S * config.pace_per_s))

    async def step(self, state: bytes, token: int) -> Step:
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
        return Step(packed(summary), self._pause_s if ends else self._pace_s)

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


def shown(summary: Summary) -> dict[str, object]:
    """The summary as operators read it."""
    now_s = time.time()
    relays = {name: line_of(summary, seen, now_s) for name, seen in sorted(summary.relays.items())}
    return {
        "rounds": summary.rounds, "readings": summary.readings, "totals": totals(summary), "relays": relays,
    }  # fmt: skip


async def summary_of(client: Client) -> Summary:
    """The summary as the quorum has it; ``QuorumError`` where it does not tell."""
    return opened((await client.read(READ_S, key=f"task/{TASK}")).value)


class Sweeper:
    """One process: takes part in the task, and shows the summary whoever keeps it."""

    def __init__(self, config: Config) -> None:
        self._config = config
        terms = Terms(TASK, config.ttl_ms)
        self.runner = Runner(config.quorum, config.name, Sweep(config), terms=terms)
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
            await self.runner.run(over)
        finally:
            self._pages.stop()
            self._reader.close()

    async def _summary(self) -> Page:
        try:
            summary = await summary_of(self._reader)
        except QuorumError as error:
            return Page(503, f"{error}\n".encode())
        return Page(200, msgspec.json.format(msgspec.json.encode(shown(summary))) + b"\n", JSON)

    async def _metrics(self) -> Page:
        """The fleet's sums and this sweeper's own counts, in Prometheus' form."""
        registry, count = CollectorRegistry(), self.runner.count
        for name, text, value in (
            ("sweep_token", "token under which this one sweeps, 0: it does not", self.runner.token),
            ("sweep_taken", "times that this one took the task", count.taken),
            ("sweep_lost", "times that it lost it", count.lost),
            ("sweep_steps", "steps that this one did", count.steps),
            ("sweep_errors", "steps of this one that failed", count.errors),
        ):
            Gauge(name, text, registry=registry).set(value)
        try:
            summary = await summary_of(self._reader)
        except QuorumError:
            return Page(200, generate_latest(registry), METRICS)
        sums = Gauge("fleet_figure", "sum over all relays", ["figure"], registry=registry)
        for figure, total in totals(summary).items():
            sums.labels(figure).set(total)
        silent = sum(bool(seen.why) for seen in summary.relays.values())
        Gauge("fleet_relays_silent", "relays whose last reading failed", registry=registry).set(silent)
        return Page(200, generate_latest(registry), METRICS)
