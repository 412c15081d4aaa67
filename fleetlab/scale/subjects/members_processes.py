"""Real members without events, a process each on loopback, for comparison with the simulated ones."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from fleetlab.scale.counted_member import sizes_sent_between
from fleetlab.scale.programs import (
    Programs,
    fetch_metrics,
    processor_seconds_of,
    random_loopback_prefix,
    resident_bytes_of,
)
from fleetlab.scale.records import Reading, ScaleError, Source
from fleetlab.scale.subject import Subject
from fleetlab.sim.settled import ZONES
from membership.messages import Exchange

PORT = 7946
OPERATORS_PORT = 7947
SEED_COUNT = 3  # members that the others contact first
JOIN_TIMEOUT_S = 40.0  # for all members to know of each other
SETTLE_S = 10.0  # from then until the measurement
CALM_S = 30.0  # of the measurement
POLL_S = 0.5  # between checks whether all know of each other
SIZES = (5, 10, 20, 40)
TARGET = 600
BYTES_PER_PROCESS = 64 << 20  # upper estimate of memory
SENT_METRICS = ("peers_datagrams_sent_total", "peers_exchanges_sent_total")


@dataclass(slots=True)
class RealMember:
    """A member and its process."""

    name: str
    host: str
    zone: str
    process_id: int = 0

    def config(self, folder: Path, seeds: list[str]) -> str:
        """The text of its configuration file, with the default times."""
        return "\n".join(
            [
                f'name = "{self.name}"',
                'fleet = "fleet"',
                f'listen = "{self.host}:{PORT}"',
                f'folder = "{folder / self.name}"',
                f'zone = "{self.zone}"',
                f"seeds = {[f'{seed}:{PORT}' for seed in seeds]}",
                f'operators = "{self.host}:{OPERATORS_PORT}"',
            ]
        )


def measure(size: int, _seed: int) -> list[Reading]:
    """Start members, wait until they agree on their number, and measure them without events."""
    with TemporaryDirectory() as folder:
        return asyncio.run(_measure(size, Path(folder)))


async def _measure(size: int, folder: Path) -> list[Reading]:
    net = random_loopback_prefix()
    members = [
        RealMember(f"relay-{number:04}:{PORT}", f"{net}.{number + 1}", ZONES[number % len(ZONES)])
        for number in range(size)
    ]
    async with Programs(folder) as programs:
        seeds = [member.host for member in members[:SEED_COUNT]]
        for member in members:
            config = member.config(folder, seeds)
            member.process_id = await programs.start(member.name, "fleetlab.scale.counted_member", config)
        await _wait_until_agreed(members)
        await asyncio.sleep(SETTLE_S)
        return await _measure_calm(members, folder)


async def _wait_until_agreed(members: list[RealMember]) -> None:
    until_s = time.monotonic() + JOIN_TIMEOUT_S
    while time.monotonic() < until_s:
        metrics = [await fetch_metrics(member.host, OPERATORS_PORT) for member in members]
        if all(item.get("peers_living") == len(members) for item in metrics):
            return
        await asyncio.sleep(POLL_S)
    raise ScaleError(f"{len(members)} members did not all find each other within {JOIN_TIMEOUT_S:.0f} s")


async def _sum_sent_counts(members: list[RealMember]) -> list[float]:
    """The sums of ``SENT_METRICS`` over all members."""
    metrics = [await fetch_metrics(member.host, OPERATORS_PORT) for member in members]
    return [sum(item.get(name, 0) for item in metrics) for name in SENT_METRICS]


async def _measure_calm(members: list[RealMember], folder: Path) -> list[Reading]:
    process_ids = [member.process_id for member in members]
    before = await _sum_sent_counts(members)
    processor_s, begun_us = processor_seconds_of(process_ids), time.monotonic_ns() // 1000
    await asyncio.sleep(CALM_S)
    processor_s, ended_us = processor_seconds_of(process_ids) - processor_s, time.monotonic_ns() // 1000
    datagrams, exchanges = (
        now - then for now, then in zip(await _sum_sent_counts(members), before, strict=True)
    )
    sizes = [sizes_sent_between(folder / member.name, begun_us, ended_us) for member in members]
    exchange_bytes = sum(sum(item.get(Exchange.__name__, [])) for item in sizes)
    sent_bytes = sum(sum(map(sum, item.values())) for item in sizes)
    member_seconds = len(members) * (ended_us - begun_us) / 1e6
    figures = {
        "real_member_second_datagrams": datagrams / member_seconds,
        "real_member_second_datagram_bytes": (sent_bytes - exchange_bytes) / member_seconds,
        "real_member_second_exchanges": exchanges / member_seconds,
        "real_member_second_exchange_bytes": exchange_bytes / member_seconds,
        "real_member_second_sent_bytes": sent_bytes / member_seconds,
        "real_member_second_processor_microseconds": 1e6 * processor_s / member_seconds,
        "real_member_resident_bytes": sum(map(resident_bytes_of, process_ids)) / len(members),
    }
    return [Reading(name, value, Source.TIMED) for name, value in figures.items()]


SUBJECT = Subject(
    name="members-processes",
    about="real members in calm, a process each",
    axis="members",
    sizes=SIZES,
    target=TARGET,
    memory_bytes=lambda size: size * BYTES_PER_PROCESS,
    measure=measure,
)
