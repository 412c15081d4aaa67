"""A fee payment whose answer cannot be read is sent a second time."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin-2"))
from world import BROKEN, HELD, TROUBLE, Call, CannotRunError, Client, World, main  # noqa: E402

PAYMENTS = 12
# Answers that HTTP/1.1 cannot read: chunks whose size is no number, a body that ends before its length, one without end.
SPOILT = [
    b"HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n\x9f\x03q\r\n",
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 180\r\n\r\n{\"state\":",
    b"HTTP/1.1 429 Too Many\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
]


async def play(world: World) -> int:
    spoilt: set[str] = set()

    async def serve(call: Call) -> None:
        endpoint = world.endpoints["s-1"] if call.writer in world.endpoints["s-1"].server.writers else world.endpoints["s-2"]
        await asyncio.sleep(0.05)
        endpoint.ran(call)
        ref = call.refs[0]
        if TROUBLE and ref.startswith("pay") and int(ref[3:]) % 3 == 1 and not spoilt & {ref}:
            spoilt.add(ref)
            world.record.write(f"the answer for {ref} is spoilt")
            call.write(SPOILT[len(spoilt) % len(SPOILT)])
            await asyncio.sleep(0.02)
            call.writer.close()
            return
        call.deliver()

    await world.add_endpoint("s-1", 3, "franchisee", serve)
    await world.add_endpoint("s-2", 3, "franchisee", serve)
    world.write_config()
    world.set_environment()
    await world.spawn()
    await world.wait_ready()
    client = Client(world)
    taken = []
    for number in range(PAYMENTS):
        ref = f"pay{number}"
        if await client.hand_in(ref, "fee-payment", 28_000, 3) == "ok":
            taken.append(ref)
        await asyncio.sleep(0.7)
    await asyncio.sleep(4.0)
    if len(taken) < PAYMENTS or (TROUBLE and not spoilt):
        raise CannotRunError(f"{len(taken)} of {PAYMENTS} were taken on, {len(spoilt)} answers were spoilt")
    twice = [ref for ref in taken if len(world.calls_of(ref)) > 1 and ref in spoilt]
    ran_twice = [ref for ref in taken if world.runs_of(ref) > 1]
    world.record.write(f"sent again behind an unreadable answer: {twice}; ran twice: {ran_twice}")
    return BROKEN if twice else HELD


main(play, 60.0)
