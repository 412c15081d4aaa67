"""Holders that renew a lease each at three real members, for comparison with the simulated ones."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from fleetlab.scale.programs import (
    Programs,
    fetch_metrics,
    processor_seconds_of,
    random_loopback_prefix,
    resident_bytes_of,
)
from fleetlab.scale.records import Reading, ScaleError, Source
from fleetlab.scale.subject import Subject
from fleetlab.scale.subjects.lease_holders import SIZES, TARGET
from quorum import wire
from quorum.client import QuorumError, ask_member, member_status

PORT = 7000
OPERATORS_PORT = 7010
MEMBER_COUNT = 3
HOLDERS_PER_PROCESS = 150  # few enough that the process of the holders is not the bottleneck
START_TIMEOUT_S = 30.0  # for all holders to get their lease
SETTLE_S = 5.0  # from then until the measurement
MEASURE_S = 20.0
POLL_S = 0.5  # between checks whether all leases are held
BYTES_PER_PROCESS = 128 << 20  # upper estimate of memory
RENEWALS_METRIC = 'quorum_requests_total{answer="Done",asked="Renew"}'
SYNCS_METRIC = "quorum_sync_seconds_count"
SYNC_SECONDS_METRIC = "quorum_sync_seconds_sum"
LEADER_CHANGES_METRIC = "quorum_leader_changes_total"


@dataclass(slots=True)
class RealQuorum:
    """Three members: the host and the process id of each, by member name."""

    hosts: dict[str, str]
    process_ids: dict[str, int]

    async def leader(self) -> str:
        """The name of the leader; empty if there is none."""
        for name, host in self.hosts.items():
            try:
                if (await member_status((host, PORT))).role == "leader":
                    return name
            except QuorumError:
                continue
        return ""


def measure(size: int, _seed: int) -> list[Reading]:
    """Start members and holders, wait until all leases are held, and measure the renewals."""
    with TemporaryDirectory() as folder:
        return asyncio.run(_measure(size, Path(folder)))


async def _measure(size: int, folder: Path) -> list[Reading]:
    net = random_loopback_prefix()
    hosts = {f"quorum{number}": f"{net}.{number + 1}" for number in range(MEMBER_COUNT)}
    members = ["[members]", *(f'{name} = "{host}:{PORT}"' for name, host in hosts.items())]
    async with Programs(folder) as programs:
        quorum = RealQuorum(hosts, {})
        for name, host in hosts.items():
            own = [f'name = "{name}"', f'listen = "{host}:{PORT}"', f'folder = "{folder / name}"']
            config = "\n".join([*own, f'operators = "{host}:{OPERATORS_PORT}"', *members])
            quorum.process_ids[name] = await programs.start(name, "quorum", config)
        load_folders = []
        for number, first in enumerate(range(0, size, HOLDERS_PER_PROCESS)):
            name, holders = f"crowd{number}", min(HOLDERS_PER_PROCESS, size - first)
            (folder / name).mkdir()
            own = [f'name = "{name}"', f'address = "{net}.{100 + number}"', f'state = "{folder / name}"']
            load = [f"holders = {holders}", 'lease = "own"', "hold_ms = 0", "ttl_ms = 6000"]
            await programs.start(name, "fleetlab.lease_load", "\n".join([*own, *load, *members]))
            load_folders.append(folder / name)
        leader = await _wait_until_all_hold(quorum, size)
        await asyncio.sleep(SETTLE_S)
        return await _measure_renewals(quorum, leader, load_folders)


async def _wait_until_all_hold(quorum: RealQuorum, size: int) -> str:
    """Wait until ``size`` leases are held, and return the leader's name; ``ScaleError`` on timeout."""
    until_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < until_s:
        if leader := await quorum.leader():
            metrics = await fetch_metrics(quorum.hosts[leader], OPERATORS_PORT)
            if metrics.get("quorum_leases") == size:
                return leader
        await asyncio.sleep(POLL_S)
    raise ScaleError(f"{size} leases were not held within {START_TIMEOUT_S:.0f} s")


async def _measure_renewals(quorum: RealQuorum, leader: str, load_folders: list[Path]) -> list[Reading]:
    host, process_id = quorum.hosts[leader], quorum.process_ids[leader]
    followers = [follower_id for name, follower_id in quorum.process_ids.items() if name != leader]
    before = await fetch_metrics(host, OPERATORS_PORT)
    used_s, followers_s, begun_s = (
        processor_seconds_of([process_id]),
        processor_seconds_of(followers),
        time.monotonic(),
    )
    await asyncio.sleep(MEASURE_S)
    seconds = time.monotonic() - begun_s
    used_s, followers_s = (
        processor_seconds_of([process_id]) - used_s,
        processor_seconds_of(followers) - followers_s,
    )
    after = await fetch_metrics(host, OPERATORS_PORT)
    resident = resident_bytes_of(process_id)
    copied = await ask_member((host, PORT), wire.Copy(1))
    assert isinstance(copied, wire.Copied)
    leases, load_figures = after["quorum_leases"], [_read_last_figures(folder) for folder in load_folders]
    growth = {name: value - before.get(name, 0) for name, value in after.items()}
    figures = {
        "real_renewals_per_second": growth.get(RENEWALS_METRIC, 0) / seconds,
        "real_syncs_per_second": growth[SYNCS_METRIC] / seconds,
        "real_sync_milliseconds": 1e3 * growth[SYNC_SECONDS_METRIC] / max(1.0, growth[SYNCS_METRIC]),
        "real_leader_changes": growth[LEADER_CHANGES_METRIC],
        "real_leader_second_processor_microseconds": 1e6 * used_s / seconds,
        "real_follower_second_processor_microseconds": 1e6 * followers_s / seconds / len(followers),
        "real_leader_resident_bytes": resident,
        "real_state_bytes": len(copied.snapshot.data),
        "real_lease_state_bytes": len(copied.snapshot.data) / max(1.0, leases),
        "real_held_leases": leases,
        "real_errors": sum(item.get("errors", 0) for item in load_figures),
        "real_renewal_p99_milliseconds": max(item.get("renewal_ms_p99", 0) for item in load_figures),
    }
    return [Reading(name, value, Source.TIMED) for name, value in figures.items()]


def _read_last_figures(folder: Path) -> dict[str, float]:
    """The latest figures that a process of holders wrote to its folder; empty if it wrote none."""
    paths = sorted(folder.glob("figures-*.json"))
    return json.loads(paths[-1].read_bytes()) if paths else {}


SUBJECT = Subject(
    name="lease-holders-processes",
    about="holders renew a lease each at three real members",
    axis="holders",
    sizes=SIZES,
    target=TARGET,
    memory_bytes=lambda size: (MEMBER_COUNT + 1 + size // HOLDERS_PER_PROCESS) * BYTES_PER_PROCESS,
    measure=measure,
)
