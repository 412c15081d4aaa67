"""Bad peers send much at once; messages that were taken on before must still get their end in time."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))
from lab import (  # noqa: E402
    PROCESSES, TROUBLE, CannotRunError, Client, Endpoint, Platform, Record, Relay, enqueue, http_answer, new_id, play,
)  # fmt: skip

PEERS = 6  # of 341 that the third of 1,024 descriptors allows
BYTES_EACH = 2_000_000  # 12 MB in all; the page speaks of 60 MB
MESSAGES = 40
LEFT_MS = 3_000
WORK_S = 0.3
# A message is lost that has no end half a second after its time; every limit on sockets is 50 ms longer.
LATEST_S = 0.5 + 0.05
WATCHED_S = 25.0


async def case(record: Record, work: Path) -> int:
    delivered: dict[str, float] = {}

    async def serve(endpoint: Endpoint, _target: str, headers: dict[str, str], _body: bytes,
                    writer: asyncio.StreamWriter) -> None:  # fmt: skip
        await asyncio.sleep(WORK_S)
        writer.write(http_answer(200))
        delivered.setdefault(headers["x-txn"], record.now())
        record(endpoint.name, f"200 to {headers['x-txn']}")

    platform = Platform(record)
    await platform.start()
    for name in ("e0", "e1"):
        endpoint = Endpoint(record, name, serve)
        await endpoint.start()
        platform.add(f"s-{name}", endpoint.port, 7, "franchisee")
    relay = Relay(record, work, platform)
    await relay.start()
    client = Client(relay.address)
    due_s: dict[str, float] = {}
    for _ in range(MESSAGES):
        ident, sent_s = new_id(), record.now()
        answer = await client.ask(enqueue(ident, "seat-status", 7, LEFT_MS))
        record("client", f"{ident} handed in with {LEFT_MS} ms: {answer}")
        if answer.startswith("+"):
            due_s[ident] = sent_s + LEFT_MS / 1000
    if len(due_s) < MESSAGES:
        raise CannotRunError("messages were not taken on before the trouble")
    if TROUBLE:
        record("peers", f"{PEERS} peers send {BYTES_EACH} bytes each")
        PROCESSES.append(
            await asyncio.create_subprocess_exec(
                sys.executable, str(HERE.parent / "standin/flood.py"), *relay.address_text, str(PEERS), str(BYTES_EACH)
            )
        )
    other, unanswered, end_s = Client(relay.address), 0, record.now() + WATCHED_S
    while record.now() < end_s:
        if TROUBLE and record.now() < end_s - 15:
            answer = await other.ask(b"*1\r\n$4\r\nPING\r\n")
            unanswered += not answer.startswith("+")
            record("client", f"PING: {answer}")
        await asyncio.sleep(0.5)
    lost = []
    for ident, time_up_s in due_s.items():
        ended_s = min([delivered.get(ident, 1e9), platform.notices.get(ident, ("", 1e9))[1]])
        if ended_s > time_up_s + LATEST_S:
            lost.append(ident)
            late = f"{ended_s - time_up_s:.2f} s after its time" if ended_s < 1e9 else "never"
            record("check", f"LOST {ident}: its end came {late}")
    record("check", f"{len(lost)} of {len(due_s)} messages lost; {unanswered} of the client's PINGs unanswered")
    if relay.process is not None and relay.process.returncode is not None:
        record("check", f"the relay ended with {relay.process.returncode}")
        return 1
    return 1 if lost else 0


play(case, HERE)
