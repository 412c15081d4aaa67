"""A cut of the network holds a repeat back past its key's window; it must not run a second time."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))
from lab import (  # noqa: E402
    TROUBLE, CannotRunError, Client, Endpoint, Platform, Record, Relay, enqueue, http_answer, new_id, play, settings,
)  # fmt: skip
from link import Link  # noqa: E402

WINDOW_S = 3.0  # the class's window for repeats
DEADLINE_S = 8.0
CUT_S = 4.4  # the page: 6 s
WORK_S = 0.22  # the class takes 160 to 280 ms
SLACK_S = 0.15 + 0.05  # a relay may be held up by 0.15 s, and limits on sockets are 50 ms longer


async def case(record: Record, work: Path) -> int:
    runs: dict[str, list[float]] = {}  # by idempotency key: when it took effect

    async def serve(endpoint: Endpoint, _target: str, headers: dict[str, str], _body: bytes,
                    writer: asyncio.StreamWriter) -> None:  # fmt: skip
        key, now_s = headers.get("idempotency-key", ""), record.now()
        if key:
            if key in runs and now_s - runs[key][0] <= WINDOW_S:
                record(endpoint.name, f"{key} recognised, not run again")
            else:
                runs.setdefault(key, []).append(now_s)
                record(endpoint.name, f"{key} runs")
        await asyncio.sleep(WORK_S)
        writer.write(http_answer(200))
        record(endpoint.name, f"200 to {headers['x-txn']}")

    platform = Platform(record)
    await platform.start()
    links = []
    for name in ("e0", "e1"):
        endpoint = Endpoint(record, name, serve)
        await endpoint.start()
        link = Link(("127.0.0.1", endpoint.port))
        await link.start()
        links.append(link)
        platform.add(f"s-{name}", link.port, 7, "franchisee")
    conf = settings()
    conf["request_classes"][0] |= {"deadline_us": int(DEADLINE_S * 1e6), "dedup_window_us": int(WINDOW_S * 1e6)}
    relay = Relay(record, work, platform, conf=conf)
    await relay.start()
    # Usual traffic, several calls at once, so that connections are kept between calls.
    clients = [Client(relay.address) for _ in range(8)]

    async def hand_in(client: Client, cls: str, left_s: float, key: str = "") -> str:
        ident = new_id()
        answer = await client.ask(enqueue(ident, cls, 7, int(left_s * 1000), key))
        record("client", f"{ident} {cls} {key} handed in: {answer}")
        if not answer.startswith("+"):
            raise CannotRunError("a message was not taken on")
        return ident

    for _ in range(8):
        await asyncio.gather(*(hand_in(client, "licence-order", DEADLINE_S, new_id()) for client in clients))
        await asyncio.sleep(0.6)
    keys = [new_id() for _ in range(4)]
    for key, client in zip(keys, clients, strict=False):
        await hand_in(client, "licence-order", DEADLINE_S, key)
    await asyncio.sleep(WORK_S / 2)
    if TROUBLE:
        record("network", "cut begins")
        for link in links:
            link.cut()
        await asyncio.sleep(CUT_S)
        record("network", "cut ends")
        for link in links:
            link.heal()
    await asyncio.sleep(6)
    broken = 0
    for key, times_s in runs.items():
        for again_s in times_s[1:]:
            if again_s - times_s[0] > WINDOW_S + SLACK_S:
                broken += 1
                later = f"{again_s - times_s[0]:.2f} s after the first; the window is {WINDOW_S} s"
                record("check", f"{key} ran a second time, {later}")
    record("check", f"{broken} of {len(keys)} messages ran twice")
    return 1 if broken else 0


play(case, HERE)
