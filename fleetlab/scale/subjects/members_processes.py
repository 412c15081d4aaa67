"""Real members in calm, each a process on loopback, to compare the simulated ones with."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from fleetlab.scale.counted_member import sent_between
from fleetlab.scale.programs import Programs, counters, network, resident_bytes_of, used_seconds
from fleetlab.scale.records import Reading, ScaleError, Source
from fleetlab.scale.subject import Subject
from fleetlab.sim.settled import ZONES
from membership.messages import Exchange

PORT, OPERATORS = 7946, 7947
SEEDS = 3
JOIN_S, SETTLE_S, CALM_S = 40.0, 10.0, 30.0
LOOK_S = 0.5
SIZES = (5, 10, 20, 40)
TARGET = 600
BYTES_PER_PROCESS = 64 << 20
SENT_COUNTS = ("peers_datagrams_sent_total", "peers_exchanges_sent_total")


@dataclass(slots=True)
class RealMember:
    """One process."""

    name: str
    host: str
    zone: str
    process: int = 0

    def config(self, folder: Path, seeds: list[str]) -> str:
        """Its configuration file, with the default times."""
        return "\n".join(
            [
                f'name = "{self.name}"',
                'fleet = "fleet"',
                f'listen = "{self.host}:{PORT}"',
                f'folder = "{folder / self.name}"',
                f'zone = "{self.zone}"',
                f"seeds = {[f'{seed}:{PORT}' for seed in seeds]}",
                f'operators = "{self.host}:{OPERATORS}"',
            ]
        )


def measure(size: int, _seed: int) -> list[Reading]:
    """Start members, wait until they agree on their number, and let them be."""
    with TemporaryDirectory() as folder:
        return asyncio.run(_measured(size, Path(folder)))


async def _measured(size: int, folder: Path) -> list[Reading]:
    net = network()
    some = [
        RealMember(f"relay-{number:04}:{PORT}", f"{net}.{number + 1}", ZONES[number % len(ZONES)])
        for number in range(size)
    ]
    async with Programs(folder) as programs:
        seeds = [member.host for member in some[:SEEDS]]
        for member in some:
            config = member.config(folder, seeds)
            member.process = await programs.start(member.name, "fleetlab.scale.counted_member", config)
        await _agreed(some)
        await asyncio.sleep(SETTLE_S)
        return await _calm(some, folder)


async def _agreed(some: list[RealMember]) -> None:
    until_s = time.monotonic() + JOIN_S
    while time.monotonic() < until_s:
        found = [await counters(member.host, OPERATORS) for member in some]
        if all(item.get("peers_living") == len(some) for item in found):
            return
        await asyncio.sleep(LOOK_S)
    raise ScaleError(f"{len(some)} members did not find together within {JOIN_S:.0f} s")


async def _pages(some: list[RealMember]) -> list[float]:
    """Sums over all members of what their pages count."""
    found = [await counters(member.host, OPERATORS) for member in some]
    return [sum(item.get(name, 0) for item in found) for name in SENT_COUNTS]


async def _calm(some: list[RealMember], folder: Path) -> list[Reading]:
    processes = [member.process for member in some]
    before = await _pages(some)
    used_s, begun_us = used_seconds(processes), time.monotonic_ns() // 1000
    await asyncio.sleep(CALM_S)
    used_s, ended_us = used_seconds(processes) - used_s, time.monotonic_ns() // 1000
    datagrams, exchanges = (now - then for now, then in zip(await _pages(some), before, strict=True))
    sizes = [sent_between(folder / member.name, begun_us, ended_us) for member in some]
    exchange_bytes = sum(sum(item.get(Exchange.__name__, [])) for item in sizes)
    sent_bytes = sum(sum(map(sum, item.values())) for item in sizes)
    member_seconds = len(some) * (ended_us - begun_us) / 1e6
    figures = {
        "real_member_second_datagrams": datagrams / member_seconds,
        "real_member_second_datagram_bytes": (sent_bytes - exchange_bytes) / member_seconds,
        "real_member_second_exchanges": exchanges / member_seconds,
        "real_member_second_exchange_bytes": exchange_bytes / member_seconds,
        "real_member_second_sent_bytes": sent_bytes / member_seconds,
        "real_member_second_processor_microseconds": 1e6 * used_s / member_seconds,
        "real_member_resident_bytes": sum(map(resident_bytes_of, processes)) / len(some),
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
