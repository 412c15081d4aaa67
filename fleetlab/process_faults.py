"""Faults on processes: ends, replacements, reloads, pauses, limits, idle clients and floods."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from functools import partial

from fleetlab.admin_calls import is_healthy
from fleetlab.fleet import Fleet, Member
from fleetlab.scenario import ADMIN_PORT, CLIENTS_PORT, Fault

KILL_AFTER_S = 3.7  # from SIGTERM to SIGKILL, as the protocol's page says
RECONNECT_S = 0.03  # before an idle client of a crowd connects again
CROWD_STEP_S = 0.01  # between the first connections of two idle clients of a crowd
FLOOD_STEP_S = 0.002  # between two blocks of a client that floods
FLOOD_BLOCK_BYTES = 8192
FLOOD_VALUES = (b"+\r\n", b"*1\r\n$4\r\nPING\r\n", b"*1\r\n$1\r\nx\r\n")  # none is taken on
SIGNALS = {"HUP": signal.SIGHUP, "TERM": signal.SIGTERM}


class ProcessFaults:
    """Plays faults on the processes of a fleet; those that end or replace one process wait for each other."""

    def __init__(
        self,
        fleet: Fleet,
        relays: dict[str, str],
        *,
        clients: str,
        is_answering: Callable[[Member], Awaitable[bool]],
        before_restart: Callable[[Member], None],
    ) -> None:
        """Prepare faults on a fleet.

        ``relays`` gives the address of each relay, and ``clients`` the one that idle clients connect from.
        ``is_answering`` tells whether a member is ready; ``before_restart`` is called before each restart.
        """
        self._fleet, self._relay_addresses, self._clients_address = fleet, relays, clients
        self._is_answering, self._before_restart = is_answering, before_restart
        self._holding_faults: dict[str, int] = {}  # by process: how many faults keep it from being restarted

    async def play(self, fault: Fault, member: Member, wait_end: Callable[[], Awaitable[None]]) -> None:
        """Play a fault on a process; ``wait_end`` waits until the fault's time is over."""
        match fault.kind:
            case "kill" | "terminate":
                await self._end_and_restart(fault, member, wait_end)
            case "replace":
                await self._replace(fault, member)
            case "reload":
                await self._reload(fault, member)
            case "crowd":
                await self._keep_clients(self._keep_idle_connection, fault, member, wait_end)
            case "flood":
                await self._keep_clients(self._keep_flooding, fault, member, wait_end)
            case "pause":
                self._fleet.signal(member, signal.SIGSTOP)
                await wait_end()
                self._fleet.signal(member, signal.SIGCONT)
            case "slow":
                await self._slow(fault, member, wait_end)
            case _:
                self._fleet.set_limits(member, fault.descriptors, fault.file_bytes)
                await wait_end()
                self._fleet.reset_limits(member)

    async def _slow(self, fault: Fault, member: Member, wait_end: Callable[[], Awaitable[None]]) -> None:
        is_over = asyncio.Event()
        task = asyncio.get_running_loop().create_task(self._fleet.stop_and_go(member, fault.share, is_over))
        try:
            await wait_end()
        finally:
            is_over.set()
            await task

    async def _end_and_restart(
        self, fault: Fault, member: Member, wait_end: Callable[[], Awaitable[None]]
    ) -> None:
        """End a process, and start it again once no fault keeps it down."""
        self._holding_faults[member.name] = self._holding_faults.get(member.name, 0) + 1
        async with member.change_lock:
            if fault.kind == "kill":
                await self._fleet.kill(member)
            else:
                await self._terminate(fault, member)
        if fault.lose_folder:
            self._fleet.clear_state(member)
        await wait_end()
        self._holding_faults[member.name] -= 1
        if not self._holding_faults[member.name] and not member.is_alive:
            self._before_restart(member)
            await self._fleet.start(member)
            await self._fleet.wait_ready(member, self._is_answering)

    async def _terminate(self, fault: Fault, member: Member) -> None:
        """Send SIGTERM and the fault's further signals, and SIGKILL if the process still runs in the end."""
        signals = asyncio.get_running_loop().create_task(self._send_signals(fault, member))
        try:
            await self._fleet.terminate(member, KILL_AFTER_S)
        finally:
            signals.cancel()

    async def _send_signals(self, fault: Fault, member: Member) -> None:
        """Send the fault's signals, each after ``gap_s``."""
        for name in fault.signals:
            await asyncio.sleep(fault.gap_s)
            self._fleet.signal(member, SIGNALS[name])

    async def _replace(self, fault: Fault, member: Member) -> None:
        """Replace the process of a relay ``repeats`` times, each on an operator port of its own."""
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
        """Write the same configuration and send SIGHUP, ``repeats`` times."""
        for _ in range(fault.repeats):
            await self._fleet.reload(member)
            await asyncio.sleep(fault.gap_s)

    async def _keep_clients(
        self,
        behave: Callable[[str, int], Coroutine[None, None, None]],
        fault: Fault,
        member: Member,
        wait_end: Callable[[], Awaitable[None]],
    ) -> None:
        """Run clients of a relay, given its address and their numbers, until the fault ends."""
        tasks = [
            asyncio.get_running_loop().create_task(behave(self._relay_addresses[member.name], number))
            for number in range(fault.connections)
        ]
        try:
            await wait_end()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _keep_flooding(self, address: str, number: int) -> None:
        """Send small values, blocks of them in quick succession, and every other client reads no replies."""
        value = FLOOD_VALUES[number % len(FLOOD_VALUES)]
        block = value * (FLOOD_BLOCK_BYTES // len(value))
        while True:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(
                    address, CLIENTS_PORT, local_addr=(self._clients_address, 0)
                )
                try:
                    while not reader.at_eof():
                        writer.write(block)
                        await writer.drain()
                        if number % 2 == 0:
                            await reader.read(FLOOD_BLOCK_BYTES)
                        await asyncio.sleep(FLOOD_STEP_S)
                finally:
                    writer.close()
            await asyncio.sleep(RECONNECT_S)

    async def _keep_idle_connection(self, address: str, number: int) -> None:
        """Connect after a time, send nothing, and connect again whenever the relay ends the connection."""
        await asyncio.sleep(number * CROWD_STEP_S)
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
