"""Half of a partner's answers never end; the messages of a clump for it must still get their end in time."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))
from lab import PROCESSES, TROUBLE, CannotRunError, Client, Platform, Record, Relay, enqueue, new_id, play  # noqa: E402

SPOILT_SHARE = 0.5
CLUMP = 40  # messages, handed in within some 0.2 s; the partner serves them in about 1 s
LEFT_MS = 3_000
# A message is lost that has no end half a second after its time; every limit on sockets is 50 ms longer.
LATEST_S = 0.5 + 0.05
WATCHED_S = 15.0


async def case(record: Record, work: Path) -> int:
    delivered: dict[str, float] = {}
    platform = Platform(record)
    await platform.start()
    partner = await asyncio.create_subprocess_exec(
        sys.executable, str(HERE.parent / "standin/endless.py"), "127.0.0.1", "chunks",
        str(SPOILT_SHARE if TROUBLE else 0), stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    PROCESSES.append(partner)
    assert partner.stdout is not None
    platform.add("s-a0", int(await partner.stdout.readline()), 1, "franchisee")

    async def watch_partner(lines: asyncio.StreamReader) -> None:
        while line := await lines.readline():
            ident, kind = line.decode().split()
            delivered.setdefault(ident, record.now())
            record("a0", f"status line 200 to {ident}, then {'its end' if kind == 'sound' else 'chunks without end'}")

    watching = asyncio.create_task(watch_partner(partner.stdout))
    relay = Relay(record, work, platform)
    await relay.start()
    clients = [Client(relay.address) for _ in range(CLUMP)]
    due_s: dict[str, float] = {}

    async def hand_in(client: Client) -> None:
        ident, sent_s = new_id(), record.now()
        answer = await client.ask(enqueue(ident, "seat-status", 1, LEFT_MS))
        record("client", f"{ident} handed in with {LEFT_MS} ms: {answer}")
        if answer.startswith("+"):
            due_s[ident] = sent_s + LEFT_MS / 1000

    handing_in = []
    for client in clients:
        handing_in.append(asyncio.create_task(hand_in(client)))
        await asyncio.sleep(0.005)
    await asyncio.gather(*handing_in)
    if len(due_s) < CLUMP / 2:
        raise CannotRunError("too few messages were taken on")
    await asyncio.sleep(WATCHED_S)
    if watching.done():
        raise CannotRunError("the partner's report ended")
    lost = []
    for ident, time_up_s in due_s.items():
        ended_s = min([delivered.get(ident, 1e9), platform.notices.get(ident, ("", 1e9))[1]])
        if ended_s > time_up_s + LATEST_S:
            lost.append(ident)
            late = f"{ended_s - time_up_s:.2f} s after its time" if ended_s < 1e9 else "never"
            record("check", f"LOST {ident}: its end came {late}")
    record("check", f"{len(lost)} of {len(due_s)} messages that were taken on are lost")
    watching.cancel()
    if relay.process is not None and relay.process.returncode is not None:
        record("check", f"the relay ended with {relay.process.returncode}")
        return 1
    return 1 if lost else 0


play(case, HERE)
