"""A holder of leases, ``python -m fleetlab.lease_holder CONFIG``: takes a lease, acts, and starts again.

It relies on the lease library alone: before each act on both resources it checks ``may_act``. It records
nothing itself, because the checkers judge by the resource's record.
"""

from __future__ import annotations

import asyncio
import sys
from random import Random
from typing import Any

import msgspec

from fleetlab.fenced_counter import Act
from fleetlab.program import PROGRAM_PORT, run_program
from quorum.client import Client, LeaseKeeper, QuorumError
from tomlconfig import Address, parse_address

ACT_PERIOD_S = 0.02  # pause between two acts
ANSWER_TIMEOUT_S = 1.0  # for an act on both resources, and for the release of a lease
ACTS_PER_LEASE = 80  # acts after which a holder releases its lease


class LeasedTask:
    """The leased work: acts on both resources."""

    def __init__(self, name: str, lease: str, resource: Address) -> None:
        self._name, self._lease, self._address = name, lease, resource
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def act(self, token: int) -> None:
        """Act once on each resource; an act that fails is dropped with its connection."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                if self._connection is None:
                    self._connection = await asyncio.open_connection(*self._address)
                reader, writer = self._connection
                for resource in ("unfenced", "fenced"):
                    act = Act(resource, self._lease, self._name, token)
                    writer.write(msgspec.json.encode(act) + b"\n")
                    await reader.readline()
        except (OSError, TimeoutError):
            if self._connection is not None:
                self._connection[1].transport.abort()
                self._connection = None


async def act_while_leased(keeper: LeaseKeeper, task: LeasedTask, careless: bool) -> None:
    """Act as long as the lease lasts, and release it after ``ACTS_PER_LEASE`` acts.

    A careless holder is a planted bug: it goes on acting after its lease has ended, and for more acts. The
    resource's record has to show it.
    """
    renewals = asyncio.ensure_future(keeper.keep_renewed())
    acts, max_acts = 0, 4 * ACTS_PER_LEASE if careless else ACTS_PER_LEASE
    try:
        while (careless or keeper.may_act()) and acts < max_acts:
            await task.act(keeper.held_lease.token)
            acts += 1
            await asyncio.sleep(ACT_PERIOD_S)
    finally:
        renewals.cancel()
        await asyncio.gather(renewals, return_exceptions=True)
    if keeper.may_act():
        await keeper.release(ANSWER_TIMEOUT_S)


async def run(config: dict[str, Any]) -> None:
    """Take the lease again and again until the process ends."""
    members = {name: parse_address(text) for name, text in config["members"].items()}
    server = await asyncio.start_server(lambda _, writer: writer.close(), config["address"], PROGRAM_PORT)
    ttl_ms, random = int(config["ttl_ms"]), Random()
    client = Client(members, config["name"])
    task = LeasedTask(config["name"], config["lease"], parse_address(config["resource"]))
    opened = False
    async with server:
        while True:
            try:
                if not opened:
                    await client.open(5.0)
                    opened = True
                keeper = LeaseKeeper(client, config["lease"], ttl_ms)
                if await keeper.acquire(2 * ttl_ms, 5.0):
                    await act_while_leased(keeper, task, bool(config.get("careless", False)))
            except QuorumError:
                client.close()
                opened = False
            await asyncio.sleep(random.uniform(0.01, 0.1))


if __name__ == "__main__":
    sys.exit(run_program(run))
