"""A move of discovery while the process is being replaced: the signal reaches a process that has given the relay away."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
from world import (  # noqa: E402
    BROKEN, HELD, TROUBLE, Call, CannotRunError, Client, Platform, World, free_port, main,
)  # fmt: skip

MESSAGES = 12
TIME_MS = 2000
# Behind the start of the new process, the platform asks it for its health: so late, or behind the move if that is later.
FIRST_QUESTION_S = 0.8
MOVE_BEHIND_WATCH_S = 0.1


async def hand_in_all(world: World, client: Client, prefix: str) -> list[str]:
    """Every second message is for a destination that refuses all: a notice has to end it."""
    taken = []
    for number in range(MESSAGES):
        ref = f"{prefix}{number}"
        if await client.hand_in(ref, "seat-status", TIME_MS, 4 if number % 2 else 3) == "ok":
            taken.append(ref)
        await asyncio.sleep(0.1)
    return taken


async def replace_process(world: World) -> None:
    """Start `run` again; before the new process is asked for its health, discovery may move."""
    first, old = world.processes[-1], world.platform
    world.admin = ("127.0.0.1", free_port())
    world.write_config()
    world.environment["ROUTER_ADMIN"] = "%s:%d" % world.admin
    watches, start_s = old.watch_count, time.monotonic()
    new_process = await world.spawn()
    closing: asyncio.Task[None] | None = None
    if TROUBLE:
        while old.watch_count == watches:
            if time.monotonic() > start_s + 10:
                raise CannotRunError("the new process does not watch the list")
            await asyncio.sleep(0.005)
        await asyncio.sleep(MOVE_BEHIND_WATCH_S)
        world.platform = Platform(world, "agent at the new address")
        await world.platform.server.start()
        world.write_config()
        target = "the old process" if first.returncode is None else "nobody: the old process has ended"
        age_s = time.monotonic() - start_s
        world.record.write(f"discovery has moved, SIGHUP to {target}; the new process is {age_s:.2f} s old")
        if first.returncode is None:
            first.send_signal(signal.SIGHUP)
        old.server.stop_listening()

        async def close_later() -> None:
            await asyncio.sleep(1.5)
            old.server.close_connections()

        closing = asyncio.create_task(close_later())
    await asyncio.sleep(max(0.0, start_s + FIRST_QUESTION_S - time.monotonic()))
    while True:
        try:
            if await world.operator_call("GET", "health", world.admin) == 200:
                break
        except (OSError, TimeoutError):
            pass
        if time.monotonic() > start_s + 20 or new_process.returncode is not None:
            raise CannotRunError("the new process did not say yes")
        await asyncio.sleep(0.05)
    world.record.write("the new process has said yes")
    await asyncio.sleep(1.0)
    if first.returncode is None:
        world.record.write("SIGTERM to the old process")
        first.send_signal(signal.SIGTERM)
    if closing is not None:
        await closing
        await asyncio.sleep(2.5)  # 4 s behind the signal


async def play(world: World) -> int:
    async def deliver(call: Call) -> None:
        await asyncio.sleep(0.02)
        world.endpoints["s-1"].ran(call)
        call.deliver()

    async def refuse(call: Call) -> None:
        call.answer(503)

    await world.add_endpoint("s-1", 3, "franchisee", deliver)
    await world.add_endpoint("s-2", 4, "franchisee", refuse)
    world.write_config()
    world.set_environment()
    world.open_passed_socket()
    await world.spawn()
    await world.wait_ready()
    client = Client(world)
    taken = await hand_in_all(world, client, "a")
    await asyncio.sleep(TIME_MS / 1000 + 1.0)
    await replace_process(world)
    taken += await hand_in_all(world, client, "b")
    await asyncio.sleep(TIME_MS / 1000 + 3.0)
    if len(taken) < MESSAGES:
        raise CannotRunError(f"only {len(taken)} messages were taken on")
    lost = [ref for ref in taken if not world.runs_of(ref) and not world.ends_of(ref)]
    world.record.write(f"taken on, neither delivered nor ended 3 s after their time: {lost}")
    return BROKEN if lost else HELD


main(play, 80.0)
