"""Faults on processes: kills, ends by a series of signals, replacements, pauses, limits and idle clients."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial

from fleetlab.admin_calls import is_healthy
from fleetlab.fleet import Fleet, Member
from fleetlab.scenario import ADMIN_PORT, CLIENTS_PORT, Fault

KILL_AFTER_S = 3.7  # s from SIGTERM to SIGKILL, as the protocol's page says
RECONNECT_S = 0.03
CROWD_STEP_S = 0.01  # s between two connections of a crowd
SIGNALS = {"HUP": signal.SIGHUP, "TERM": signal.SIGTERM}


class ProcessFaults:
    """Plays faults on the processes of a fleet; those that end or replace one process wait for each other."""

    def __init__(
        self,
        fleet: Fleet,
        relays: dict[str, str],
        *,
        clients: str,
        answers: Callable[[Member], Awaitable[bool]],
        restarting: Callable[[Member], None],
    ) -> None:
        """``relays`` gives the address of each relay, ``clients`` where idle clients call from."""
        self._fleet, self._relay_addresses, self._clients_address = fleet, relays, clients
        self._is_answering, self._before_restart = answers, restarting
        self._holding_faults: dict[str, int] = {}  # processes that faults hold down, by how many

    async def play(self, fault: Fault, member: Member, last: Callable[[], Awaitable[None]]) -> None:
        """One fault on one process; ``last`` waits for the fault's time."""
        match fault.kind:
            case "kill" | "terminate":
                await self._end_and_restart(fault, member, last)
            case "replace":
                await self._replace(fault, member)
            case "reload":
                await self._reload(fault, member)
            case "crowd":
                await self._crowd(fault, member, last)
            case "pause":
                self._fleet.signal(member, signal.SIGSTOP)
                await last()
                self._fleet.signal(member, signal.SIGCONT)
            case "slow":
                await self._slow(fault, member, last)
            case _:
                self._fleet.set_limits(member, fault.descriptors, fault.file_bytes)
                await last()
                self._fleet.reset_limits(member)

    async def _slow(self, fault: Fault, member: Member, last: Callable[[], Awaitable[None]]) -> None:
        over = asyncio.Event()
        task = asyncio.get_running_loop().create_task(self._fleet.stop_and_go(member, fault.share, over))
        try:
            await last()
        finally:
            over.set()
            await task

    async def _end_and_restart(
        self, fault: Fault, member: Member, last: Callable[[], Awaitable[None]]
    ) -> None:
        """End a process, and start it again once no fault holds it down."""
        self._holding_faults[member.name] = self._holding_faults.get(member.name, 0) + 1
        async with member.change_lock:
            if fault.kind == "kill":
                await self._fleet.kill(member)
            else:
                await self._terminate(fault, member)
        if fault.lose_folder:
            self._fleet.clear_state(member)
        await last()
        self._holding_faults[member.name] -= 1
        if not self._holding_faults[member.name] and not member.is_alive:
            self._before_restart(member)
            await self._fleet.start(member)
            await self._fleet.wait_ready(member, self._is_answering)

    async def _terminate(self, fault: Fault, member: Member) -> None:
        """SIGTERM, the fault's other signals one after the other, and SIGKILL to one that is still there."""
        more = asyncio.get_running_loop().create_task(self._send_signals(fault, member))
        try:
            await self._fleet.terminate(member, KILL_AFTER_S)
        finally:
            more.cancel()

    async def _send_signals(self, fault: Fault, member: Member) -> None:
        for name in fault.signals:
            await asyncio.sleep(fault.gap_s)
            self._fleet.signal(member, SIGNALS[name])

    async def _replace(self, fault: Fault, member: Member) -> None:
        """Start the relay's next process beside it, and end the old one once the new one says yes."""
        for _ in range(fault.repeats):
            async with member.change_lock:
                if not member.is_alive or not member.is_ready:
                    return
                address = self._relay_addresses[member.name]
                port = ADMIN_PORT + member.life
                member.environment |= {"ROUTER_ADMIN": f"{address}:{port}"}
                await self._fleet.replace(
                    member, partial(is_healthy, address, port), fault.gap_s, KILL_AFTER_S
                )
            await asyncio.sleep(fault.gap_s)

    async def _reload(self, fault: Fault, member: Member) -> None:
        """SIGHUP with the configuration as it is, several times in a row."""
        for _ in range(fault.repeats):
            await self._fleet.reload(member)
            await asyncio.sleep(fault.gap_s)

    async def _crowd(self, fault: Fault, member: Member, last: Callable[[], Awaitable[None]]) -> None:
        """So many connections that bring nothing; each one that the relay ends is opened again."""
        tasks = [
            asyncio.get_running_loop().create_task(
                self._keep_idle_connection(self._relay_addresses[member.name], number * CROWD_STEP_S)
            )
            for number in range(fault.connections)
        ]
        try:
            await last()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _keep_idle_connection(self, address: str, after_s: float) -> None:
        await asyncio.sleep(after_s)
        while True:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(
                    address, CLIENTS_PORT, local_addr=(self._clients_address, 0)
                )
                try:
                    await reader.read()
                finally:
                    writer.close()
            await asyncio.sleep(RECONNECT_S)
