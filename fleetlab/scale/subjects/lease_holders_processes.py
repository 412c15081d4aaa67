"""Holders that renew a lease each at three real members, to compare the simulated ones with."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from fleetlab.scale.programs import Programs, counters, network, resident_bytes_of, used_seconds
from fleetlab.scale.records import Reading, ScaleError, Source
from fleetlab.scale.subject import Subject
from fleetlab.scale.subjects.lease_holders import SIZES, TARGET
from quorum import wire
from quorum.client import QuorumError, ask_member, member_status

PORT, OPERATORS = 7000, 7010
MEMBERS = 3
HOLDERS_PER_CROWD = 150  # in one process, so that it is no bound itself
START_S, SETTLE_S, HOLD_S, LOOK_S = 30.0, 5.0, 20.0, 0.5
BYTES_PER_PROCESS = 128 << 20
RENEWED = 'quorum_requests_total{answer="Done",asked="Renew"}'
SYNCS, SYNC_SECONDS = "quorum_sync_seconds_count", "quorum_sync_seconds_sum"
LEADER_CHANGES = "quorum_leader_changes_total"


@dataclass(slots=True)
class RealQuorum:
    """Three members, by name and host, and their processes."""

    hosts: dict[str, str]
    processes: dict[str, int]

    async def leader(self) -> str:
        """The member that leads; empty where none does."""
        for name, host in self.hosts.items():
            try:
                if (await member_status((host, PORT))).role == "leader":
                    return name
            except QuorumError:
                continue
        return ""


def measure(size: int, _seed: int) -> list[Reading]:
    """Start members and holders, wait until all hold, and let them renew."""
    with TemporaryDirectory() as folder:
        return asyncio.run(_measured(size, Path(folder)))


async def _measured(size: int, folder: Path) -> list[Reading]:
    net = network()
    hosts = {f"quorum{number}": f"{net}.{number + 1}" for number in range(MEMBERS)}
    members = ["[members]", *(f'{name} = "{host}:{PORT}"' for name, host in hosts.items())]
    async with Programs(folder) as programs:
        quorum = RealQuorum(hosts, {})
        for name, host in hosts.items():
            own = [f'name = "{name}"', f'listen = "{host}:{PORT}"', f'folder = "{folder / name}"']
            config = "\n".join([*own, f'operators = "{host}:{OPERATORS}"', *members])
            quorum.processes[name] = await programs.start(name, "quorum", config)
        crowds = []
        for number, first in enumerate(range(0, size, HOLDERS_PER_CROWD)):
            name, holders = f"crowd{number}", min(HOLDERS_PER_CROWD, size - first)
            (folder / name).mkdir()
            own = [f'name = "{name}"', f'address = "{net}.{100 + number}"', f'state = "{folder / name}"']
            some = [f"holders = {holders}", 'lease = "own"', "hold_ms = 0", "ttl_ms = 6000"]
            await programs.start(name, "fleetlab.lease_load", "\n".join([*own, *some, *members]))
            crowds.append(folder / name)
        leader = await _all_hold(quorum, size)
        await asyncio.sleep(SETTLE_S)
        return await _held(quorum, leader, crowds)


async def _all_hold(quorum: RealQuorum, size: int) -> str:
    """Wait until all leases are held; who leads."""
    until_s = time.monotonic() + START_S
    while time.monotonic() < until_s:
        if leader := await quorum.leader():
            found = await counters(quorum.hosts[leader], OPERATORS)
            if found.get("quorum_leases") == size:
                return leader
        await asyncio.sleep(LOOK_S)
    raise ScaleError(f"{size} leases were not held within {START_S:.0f} s")


async def _held(quorum: RealQuorum, leader: str, crowds: list[Path]) -> list[Reading]:
    host, process = quorum.hosts[leader], quorum.processes[leader]
    followers = [number for name, number in quorum.processes.items() if name != leader]
    before = await counters(host, OPERATORS)
    used_s, followers_s, begun_s = used_seconds([process]), used_seconds(followers), time.monotonic()
    await asyncio.sleep(HOLD_S)
    seconds = time.monotonic() - begun_s
    used_s, followers_s = used_seconds([process]) - used_s, used_seconds(followers) - followers_s
    after = await counters(host, OPERATORS)
    resident = resident_bytes_of(process)
    copied = await ask_member((host, PORT), wire.Copy(1))
    assert isinstance(copied, wire.Copied)
    leases, told = after["quorum_leases"], [_figures(crowd) for crowd in crowds]
    new = {name: value - before.get(name, 0) for name, value in after.items()}
    figures = {
        "real_renewals_per_second": new.get(RENEWED, 0) / seconds,
        "real_syncs_per_second": new[SYNCS] / seconds,
        "real_sync_milliseconds": 1e3 * new[SYNC_SECONDS] / max(1.0, new[SYNCS]),
        "real_leader_changes": new[LEADER_CHANGES],
        "real_leader_second_processor_microseconds": 1e6 * used_s / seconds,
        "real_follower_second_processor_microseconds": 1e6 * followers_s / seconds / len(followers),
        "real_leader_resident_bytes": resident,
        "real_state_bytes": len(copied.snapshot.data),
        "real_lease_state_bytes": len(copied.snapshot.data) / max(1.0, leases),
        "real_held_leases": leases,
        "real_errors": sum(item.get("errors", 0) for item in told),
        "real_renewal_p99_milliseconds": max(item.get("renewal_ms_p99", 0) for item in told),
    }
    return [Reading(name, value, Source.TIMED) for name, value in figures.items()]


def _figures(crowd: Path) -> dict[str, float]:
    """What a crowd told last."""
    paths = sorted(crowd.glob("figures-*.json"))
    return json.loads(paths[-1].read_bytes()) if paths else {}


SUBJECT = Subject(
    name="lease-holders-processes",
    about="holders renew a lease each at three real members",
    axis="holders",
    sizes=SIZES,
    target=TARGET,
    memory_bytes=lambda size: (MEMBERS + 1 + size // HOLDERS_PER_CROWD) * BYTES_PER_PROCESS,
    measure=measure,
)
