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

from fleetlab.program import PORT, main
from quorum.client import Client, QuorumError
from quorum.monotonic_clock import now_us
from quorum.state_machine import Done
from tomlconfig import parse_address

FIGURES = "figures"
ASK_S = 5.0
MOST_US = 120_000_000
GAP_MS = 100.0  # without any answer, that is told
MOST_GAPS = 3
PERCENTILES = {"p50": 50.0, "p99": 99.0}


class Tally:
    """What all holders together saw."""

    def __init__(self) -> None:
        self.begun_us = now_us()
        self.grants, self.renewals, self.others, self.errors = 0, 0, 0, 0
        self._granted, self._renewed = (HdrHistogram(1, MOST_US, 3) for _ in range(2))
        self._answer_us = 0
        self._gaps_ms: list[float] = []

    def granted(self, asked_us: int) -> None:
        """A lease came."""
        self.grants += 1
        self._note(self._granted, asked_us)

    def renewed(self, asked_us: int) -> None:
        """A lease was renewed."""
        self.renewals += 1
        self._note(self._renewed, asked_us)

    def _note(self, histogram: HdrHistogram, asked_us: int) -> None:
        at_us = now_us()
        histogram.record_value(max(1, min(MOST_US, at_us - asked_us)))
        gap_ms = (at_us - self._answer_us) / 1000
        if self._answer_us and gap_ms > GAP_MS:
            self._gaps_ms.append(gap_ms)
        self._answer_us = at_us

    def figures(self) -> dict[str, float]:
        """All of it, as the lab takes it."""
        seconds = (now_us() - self.begun_us) / 1e6
        found: dict[str, float] = {
            "grants": self.grants, "renewals": self.renewals, "not_granted": self.others,
            "errors": self.errors, "grants_per_s": round(self.grants / seconds, 1),
            "renewals_per_s": round(self.renewals / seconds, 1),
        }  # fmt: skip
        for name, histogram in (("grant", self._granted), ("renewal", self._renewed)):
            if histogram.get_total_count():
                for word, part in PERCENTILES.items():
                    found[f"{name}_ms_{word}"] = histogram.get_value_at_percentile(part) / 1000
                found[f"{name}_ms_most"] = histogram.get_max_value() / 1000
        gaps_ms = sorted(self._gaps_ms, reverse=True)
        found["gaps"] = len(gaps_ms)
        found |= {f"gap_{at}_ms": round(gap_ms) for at, gap_ms in enumerate(gaps_ms[:MOST_GAPS], 1)}
        return found


class Holder:
    """One of them."""

    def __init__(self, config: dict[str, Any], number: int, tally: Tally) -> None:
        members = {name: parse_address(text) for name, text in config["members"].items()}
        self._client, self._tally = Client(members, f"{config['name']}-{number}"), tally
        self._ttl_ms, self._hold_s = int(config["ttl_ms"]), int(config["hold_ms"]) / 1000
        one = config["lease"] == "one"
        self._lease = "one" if one else f"{config['name']}-{number}"
        self._wait_ms = 15_000 if one else 2 * self._ttl_ms

    async def run(self, random: Random) -> None:
        """Until the process ends."""
        await asyncio.sleep(random.uniform(0, 1))
        while True:
            try:
                await self._turn()
            except QuorumError:
                self._tally.errors += 1
                self._client.close()
                await asyncio.sleep(random.uniform(0.05, 0.2))

    async def _turn(self) -> None:
        if not self._client.has_session:
            await self._client.open(ASK_S)
        asked_us, within_s = now_us(), ASK_S + self._wait_ms / 1000
        got = await self._client.acquire(self._lease, self._ttl_ms, wait_ms=self._wait_ms, within_s=within_s)
        if not isinstance(got.response, Done):
            self._tally.others += 1
            return
        self._tally.granted(asked_us)
        token = got.response.token
        while not self._hold_s:
            await asyncio.sleep(self._ttl_ms / 3000)
            asked_us = now_us()
            got = await self._client.renew(self._lease, token, ASK_S)
            if not isinstance(got.response, Done):
                self._tally.others += 1
                return
            self._tally.renewed(asked_us)
        await asyncio.sleep(self._hold_s)
        await self._client.release(self._lease, token, ASK_S)


async def run(config: dict[str, Any]) -> None:
    """Hold until the process ends."""
    server = await asyncio.start_server(lambda _, writer: writer.close(), config["address"], PORT)
    tally, random, tasks = Tally(), Random(), set[asyncio.Task[None]]()
    for number in range(int(config["holders"])):
        tasks.add(asyncio.ensure_future(Holder(config, number, tally).run(random)))
    path = Path(config["state"]) / f"{FIGURES}-{os.getpid():08}.json"
    async with server:
        while True:
            await asyncio.sleep(1.0)
            new = path.with_suffix(".new")
            new.write_bytes(msgspec.json.encode(tally.figures()))
            new.rename(path)


if __name__ == "__main__":
    sys.exit(main(run))
