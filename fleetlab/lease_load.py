"""Many lease holders in one process, ``python -m fleetlab.lease_load CONFIG``, to load a quorum.

Each holder has a session of its own. With ``hold_ms`` 0 it keeps its lease by renewals, as a leased task
does; otherwise it releases the lease after ``hold_ms`` and takes it again. ``lease`` is ``own`` (each holder
has its own lease) or ``one`` (all holders wait in turn for the same lease). The process measures rates,
latencies and gaps, and writes them to its folder each second for the lab.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from random import Random
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from fleetlab.program import PROGRAM_PORT, run_program
from quorum.client import Client, QuorumError
from quorum.monotonic_clock import now_us
from quorum.state_machine import Done
from tomlconfig import parse_address

FIGURES_PREFIX = "figures"  # of the file's name
REQUEST_TIMEOUT_S = 5.0
MAX_LATENCY_US = 120_000_000  # upper bound of the histograms; longer latencies count as this
MIN_GAP_MS = 100.0  # a time without any answer that is longer than this is a gap
MAX_REPORTED_GAPS = 3  # the longest gaps are reported one by one
PERCENTILES = {"p50": 50.0, "p99": 99.0}


class LoadStatistics:
    """Statistics over all holders of the process."""

    def __init__(self) -> None:
        self.begun_us = now_us()
        self.grants = 0
        self.renewals = 0
        self.not_granted = 0  # acquisitions and renewals that the quorum refused
        self.errors = 0
        self._grant_latencies, self._renewal_latencies = (
            HdrHistogram(1, MAX_LATENCY_US, 3) for _ in range(2)
        )
        self._last_answer_us = 0
        self._gaps_ms: list[float] = []

    def record_grant(self, asked_us: int) -> None:
        """Count a lease that was granted, and its latency."""
        self.grants += 1
        self._record_answer(self._grant_latencies, asked_us)

    def record_renewal(self, asked_us: int) -> None:
        """Count a renewal, and its latency."""
        self.renewals += 1
        self._record_answer(self._renewal_latencies, asked_us)

    def _record_answer(self, histogram: HdrHistogram, asked_us: int) -> None:
        """Record a latency, and the gap since the answer before if it is long."""
        answered_us = now_us()
        histogram.record_value(max(1, min(MAX_LATENCY_US, answered_us - asked_us)))
        gap_ms = (answered_us - self._last_answer_us) / 1000
        if self._last_answer_us and gap_ms > MIN_GAP_MS:
            self._gaps_ms.append(gap_ms)
        self._last_answer_us = answered_us

    def figures(self) -> dict[str, float]:
        """Return all figures by name, as the lab records them."""
        seconds = (now_us() - self.begun_us) / 1e6
        figures: dict[str, float] = {
            "grants": self.grants, "renewals": self.renewals, "not_granted": self.not_granted,
            "errors": self.errors, "grants_per_s": round(self.grants / seconds, 1),
            "renewals_per_s": round(self.renewals / seconds, 1),
        }  # fmt: skip
        for name, histogram in (("grant", self._grant_latencies), ("renewal", self._renewal_latencies)):
            if histogram.get_total_count():
                for label, percentile in PERCENTILES.items():
                    figures[f"{name}_ms_{label}"] = histogram.get_value_at_percentile(percentile) / 1000
                figures[f"{name}_ms_most"] = histogram.get_max_value() / 1000
        gaps_ms = sorted(self._gaps_ms, reverse=True)
        figures["gaps"] = len(gaps_ms)
        figures |= {f"gap_{at}_ms": round(gap_ms) for at, gap_ms in enumerate(gaps_ms[:MAX_REPORTED_GAPS], 1)}
        return figures


class Holder:
    """One holder of a lease."""

    def __init__(self, config: dict[str, Any], number: int, statistics: LoadStatistics) -> None:
        members = {name: parse_address(text) for name, text in config["members"].items()}
        self._client, self._statistics = Client(members, f"{config['name']}-{number}"), statistics
        self._ttl_ms, self._hold_s = int(config["ttl_ms"]), int(config["hold_ms"]) / 1000
        is_shared = config["lease"] == "one"
        self._lease = "one" if is_shared else f"{config['name']}-{number}"
        self._wait_ms = 15_000 if is_shared else 2 * self._ttl_ms

    async def run(self, random: Random) -> None:
        """Take and hold the lease until the process ends; start at a random time within 1 s."""
        await asyncio.sleep(random.uniform(0, 1))
        while True:
            try:
                await self._hold_once()
            except QuorumError:
                self._statistics.errors += 1
                self._client.close()
                await asyncio.sleep(random.uniform(0.05, 0.2))

    async def _hold_once(self) -> None:
        """Acquire the lease and hold it for ``hold_ms``, or by renewals until one fails."""
        if not self._client.has_session:
            await self._client.open(REQUEST_TIMEOUT_S)
        asked_us, within_s = now_us(), REQUEST_TIMEOUT_S + self._wait_ms / 1000
        answer = await self._client.acquire(
            self._lease, self._ttl_ms, wait_ms=self._wait_ms, within_s=within_s
        )
        if not isinstance(answer.response, Done):
            self._statistics.not_granted += 1
            return
        self._statistics.record_grant(asked_us)
        token = answer.response.token
        while not self._hold_s:
            await asyncio.sleep(self._ttl_ms / 3000)
            asked_us = now_us()
            answer = await self._client.renew(self._lease, token, REQUEST_TIMEOUT_S)
            if not isinstance(answer.response, Done):
                self._statistics.not_granted += 1
                return
            self._statistics.record_renewal(asked_us)
        await asyncio.sleep(self._hold_s)
        await self._client.release(self._lease, token, REQUEST_TIMEOUT_S)


async def run(config: dict[str, Any]) -> None:
    """Run all holders, and write their figures each second, until the process ends."""
    server = await asyncio.start_server(lambda _, writer: writer.close(), config["address"], PROGRAM_PORT)
    statistics, random, tasks = LoadStatistics(), Random(), set[asyncio.Task[None]]()
    for number in range(int(config["holders"])):
        tasks.add(asyncio.ensure_future(Holder(config, number, statistics).run(random)))
    path = Path(config["state"]) / f"{FIGURES_PREFIX}-{os.getpid():08}.json"
    async with server:
        while True:
            await asyncio.sleep(1.0)
            new_path = path.with_suffix(".new")
            new_path.write_bytes(msgspec.json.encode(statistics.figures()))
            new_path.rename(path)


if __name__ == "__main__":
    sys.exit(run_program(run))
