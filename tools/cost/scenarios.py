"""The scenarios: what stands around the relay in each, and which window of it counts."""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial

from relay.journal import Journal, JournalFullError
from standins.scripted import Request, encode_command, no_answer
from tools.cost.play import Play, Scenario
from tools.cost.reading import taken

IDLE_S = 4.0  # s of an idle window
TRAFFIC, EVERY_S = 600, 0.005  # messages of ordinary traffic, and s between two
HELD = 500  # messages that a slow destination leaves held
SLOW_S, SLOW_SLOTS = 0.04, 8  # s that it takes for each, and calls that the relay may have out
LARGE, LARGE_BYTES = 100, 64 * 1024 - 64  # bodies near the bound
CUT, CUT_BYTES = 12, 8 * 1024  # messages that come byte by byte
QUIET = 300  # client connections that say nothing more
A_WINDOW, WAIT_MS = 3, 100  # calls that a limited partner takes in a span of so many ms; it tells that wait
CLUMP, CLUMP_S = 10, 0.2  # messages that come together for it, and s between two such clumps


def names(prefix: str, count: int) -> list[str]:
    """Ids of messages."""
    return [f"{prefix}{number:05d}" for number in range(count)]


async def ready(play: Play, hosts: int, dests: int = 1) -> None:
    """A relay with its list, and a few messages behind it: what happens once only is over."""
    for number in range(hosts):
        await play.world.add_host(f"h{number:03d}", play.served(), block=1 + number % dests)
    await play.world.ready()
    warm = names("warm", 3 * min(dests, 10))
    for number, name in enumerate(warm):
        await play.hand_in([name], 0.0, dests=[1 + number % dests])
    await play.all_over(warm)


async def idle(play: Play, hosts: int) -> None:
    """A list, and nothing to do."""
    await ready(play, hosts, dests=max(1, hosts // 2))
    await play.begin()
    await asyncio.sleep(IDLE_S)
    await play.end()


async def traffic(play: Play) -> None:
    """Small messages at an even pace for ten destinations of two endpoints each, all well."""
    await ready(play, 20, dests=10)
    some = names("t", TRAFFIC)
    await play.begin()
    await play.hand_in(some, EVERY_S, range(1, 11))
    await play.all_over(some)
    await play.end(TRAFFIC)


async def held(play: Play) -> None:
    """Hundreds of messages held for a slow partner, which takes them on one after the other."""
    play.world.settings["domain"] |= {"calls_out": SLOW_SLOTS}
    await ready(play, 1)
    play.world.hosts["h000"].default_reply = play.served(SLOW_S)
    some = names("held", HELD)
    await play.begin()
    await play.hand_in(some, 0.0)
    await play.end(HELD, HELD, "held_message")
    first = len(play.ended)
    await play.begin()
    await play.until(lambda: len(play.ended) >= first + HELD // 2)
    await play.end(len(play.ended) - first)


async def refused(play: Play) -> None:
    """A partner with a limit, which gets its messages in clumps and tells what is above it to wait."""
    await ready(play, 2)
    served = play.served()
    taken_on: Counter[int] = Counter()

    def limited(request: Request) -> None:
        window = int(request.received_s * 1000 / WAIT_MS)
        taken_on[window] += 1
        if taken_on[window] > A_WINDOW:
            request.answer(429, X_Retry_In_Ms=str(WAIT_MS))
        else:
            served(request)

    for host in play.world.hosts.values():
        host.default_reply = limited
    some = names("r", TRAFFIC // 4)
    await play.begin()
    for clump in range(0, len(some), CLUMP):
        await play.hand_in(some[clump : clump + CLUMP], 0.0)
        await asyncio.sleep(CLUMP_S)
    await play.all_over(some)
    await play.end(len(some))


async def large(play: Play) -> None:
    """Bodies of nearly 64 KiB."""
    await ready(play, 4)
    some = names("l", LARGE)
    await play.begin()
    await play.hand_in(some, 6 * EVERY_S, body=bytes(LARGE_BYTES))
    await play.all_over(some)
    await play.end(LARGE)


async def cut(play: Play) -> None:
    """Requests that come one byte at a time."""
    await ready(play, 4)
    client = (await play.clients(1))[0]
    some = names("c", CUT)
    await play.begin()
    for name in some:
        words = (b"ENQUEUE", b"0" * 16, name.encode(), b"c=safe,t=a,d=30000,dest=1", b"x" * CUT_BYTES)
        data = encode_command(*words)
        for at in range(len(data)):
            client.writer.write(data[at : at + 1])
            await asyncio.sleep(0)  # each byte is a write of its own
        await client.reader.readline()
    await play.all_over(some)
    await play.end(CUT)


async def quiet(play: Play) -> None:
    """Clients that have been answered once and then say nothing."""
    await ready(play, 4)
    await play.begin()
    clients = await play.clients(QUIET)
    for client in clients:
        await client.command(b"PING")
    await play.end(0, QUIET, "quiet_connection")
    for client in clients:
        client.writer.close()


async def replay(play: Play) -> None:
    """A start over a folder that is as full as the relay lets it become."""
    journal = Journal(play.world.state_folder, int(play.world.disk_mb * 1_000_000))
    now_us = 4_000_000_000_000_000  # in the distant future: no message is out of its time
    fields = {"dest": 1, "cls": "safe", "deadline_us": now_us, "tenant": "t", "order": "", "key": ""}
    number = 0
    try:
        while True:
            ref = f"f{number:05d}"
            journal.accept(ref, {"id": ref, **fields}, bytes(500))
            number += 1
    except JournalFullError:
        journal.close()
    await start(play)
    play.figures["messages_replayed"] = number


async def start(play: Play) -> None:
    """From the start of the process to its first answer."""
    for number in range(20):
        await play.world.add_host(f"h{number:03d}", no_answer)
    await play.world.ready()
    play.started(taken(play.pid).cpu_us)


SCENARIOS: dict[str, Scenario] = {
    "idle-20": partial(idle, hosts=20),
    "idle-200": partial(idle, hosts=200),
    "traffic": traffic,
    "held": held,
    "refused": refused,
    "large": large,
    "cut": cut,
    "quiet": quiet,
    "replay": replay,
    "start": start,
}
