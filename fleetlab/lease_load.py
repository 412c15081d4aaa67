"""Many holders in one process, ``python -m fleetlab.lease_load CONFIG``: what a quorum bears, and how fast.

Each holder has a session of its own. With ``hold_ms`` of 0 it keeps its lease by renewals, as a task does;
else it gives it back after so long and takes it again. ``lease`` is ``own`` (one for each holder) or ``one``
(all wait in turn for the same). What it measures it writes into its folder each second, for the lab to take.
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

FIGURES_PREFIX = "figures"
REQUEST_TIMEOUT_S = 5.0
MAX_LATENCY_US = 120_000_000
MIN_GAP_MS = 100.0  # without any answer, that is told
MAX_REPORTED_GAPS = 3
PERCENTILES = {"p50": 50.0, "p99": 99.0}


class LoadStatistics:
    """What all holders together saw."""

    def __init__(self) -> None:
        self.begun_us = now_us()
        self.grants, self.renewals, self.not_granted, self.errors = 0, 0, 0, 0
        self._grant_latencies, self._renewal_latencies = (
            HdrHistogram(1, MAX_LATENCY_US, 3) for _ in range(2)
        )
        self._last_answer_us = 0
        self._gaps_ms: list[float] = []

    def record_grant(self, asked_us: int) -> None:
        """A lease came."""
        self.grants += 1
        self._record_answer(self._grant_latencies, asked_us)

    def record_renewal(self, asked_us: int) -> None:
        """A lease was renewed."""
        self.renewals += 1
        self._record_answer(self._renewal_latencies, asked_us)

    def _record_answer(self, histogram: HdrHistogram, asked_us: int) -> None:
        at_us = now_us()
        histogram.record_value(max(1, min(MAX_LATENCY_US, at_us - asked_us)))
        gap_ms = (at_us - self._last_answer_us) / 1000
        if self._last_answer_us and gap_ms > MIN_GAP_MS:
            self._gaps_ms.append(gap_ms)
        self._last_answer_us = at_us

    def figures(self) -> dict[str, float]:
        """All of it, as the lab takes it."""
        seconds = (now_us() - self.begun_us) / 1e6
        found: dict[str, float] = {
            "grants": self.grants, "renewals": self.renewals, "not_granted": self.not_granted,
            "errors": self.errors, "grants_per_s": round(self.grants / seconds, 1),
            "renewals_per_s": round(self.renewals / seconds, 1),
        }  # fmt: skip
        for name, histogram in (("grant", self._grant_latencies), ("renewal", self._renewal_latencies)):
            if histogram.get_total_count():
                for word, part in PERCENTILES.items():
                    found[f"{name}_ms_{word}"] = histogram.get_value_at_percentile(part) / 1000
                found[f"{name}_ms_most"] = histogram.get_max_value() / 1000
        gaps_ms = sorted(self._gaps_ms, reverse=True)
        found["gaps"] = len(gaps_ms)
        found |= {f"gap_{at}_ms": round(gap_ms) for at, gap_ms in enumerate(gaps_ms[:MAX_REPORTED_GAPS], 1)}
        return found


class Holder:
    """One of them."""

    def __init__(self, config: dict[str, Any], number: int, tally: LoadStatistics) -> None:
        members = {name: parse_address(text) for name, text in config["members"].items()}
        self._client, self._statistics = Client(members, f"{config['name']}-{number}"), tally
        self._ttl_ms, self._hold_s = int(config["ttl_ms"]), int(config["hold_ms"]) / 1000
        one = config["lease"] == "one"
        self._lease = "one" if one else f"{config['name']}-{number}"
        self._wait_ms = 15_000 if one else 2 * self._ttl_ms

    async def run(self, random: Random) -> None:
        """Until the process ends."""
        await asyncio.sleep(random.uniform(0, 1))
        while True:
            try:
                await self._hold_once()
            except QuorumError:
                self._statistics.errors += 1
                self._client.close()
                await asyncio.sleep(random.uniform(0.05, 0.2))

    async def _hold_once(self) -> None:
        if not self._client.has_session:
            await self._client.open(REQUEST_TIMEOUT_S)
        asked_us, within_s = now_us(), REQUEST_TIMEOUT_S + self._wait_ms / 1000
        got = await self._client.acquire(self._lease, self._ttl_ms, wait_ms=self._wait_ms, within_s=within_s)
        if not isinstance(got.response, Done):
            self._statistics.not_granted += 1
            return
        self._statistics.record_grant(asked_us)
        token = got.response.token
        while not self._hold_s:
            await asyncio.sleep(self._ttl_ms / 3000)
            asked_us = now_us()
            got = await self._client.renew(self._lease, token, REQUEST_TIMEOUT_S)
            if not isinstance(got.response, Done):
                self._statistics.not_granted += 1
                return
            self._statistics.record_renewal(asked_us)
        await asyncio.sleep(self._hold_s)
        await self._client.release(self._lease, token, REQUEST_TIMEOUT_S)


async def run(config: dict[str, Any]) -> None:
    """Hold until the process ends."""
    server = await asyncio.start_server(lambda _, writer: writer.close(), config["address"], PROGRAM_PORT)
    tally, random, tasks = LoadStatistics(), Random(), set[asyncio.Task[None]]()
    for number in range(int(config["holders"])):
        tasks.add(asyncio.ensure_future(Holder(config, number, tally).run(random)))
    path = Path(config["state"]) / f"{FIGURES_PREFIX}-{os.getpid():08}.json"
    async with server:
        while True:
            await asyncio.sleep(1.0)
            new = path.with_suffix(".new")
            new.write_bytes(msgspec.json.encode(tally.figures()))
            new.rename(path)


if __name__ == "__main__":
    sys.exit(run_program(run))
