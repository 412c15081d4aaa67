"""The scenarios: what stands around the relay in each, and which window of it counts."""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial

from relay.journal import Journal, JournalFullError
from standins.scripted import Request, encode_command, no_answer
from tools.cost.play import Play, Scenario
from tools.cost.reading import read_usage

IDLE_S = 4.0  # s of an idle window
TRAFFIC_MESSAGES, SEND_INTERVAL_S = 600, 0.005  # messages of ordinary traffic, and s between two
HELD_MESSAGES = 500  # messages that a slow destination leaves held
SLOW_ANSWER_DELAY_S, SLOW_SLOTS = 0.04, 8  # s that it takes for each, and calls that the relay may have out
LARGE_MESSAGES, LARGE_BODY_BYTES = 100, 64 * 1024 - 64  # bodies near the bound
CUT_MESSAGES, CUT_BODY_BYTES = 12, 8 * 1024  # messages that come byte by byte
QUIET_CONNECTIONS = 300  # client connections that say nothing more
CALLS_PER_WINDOW, LIMIT_WINDOW_MS = (
    3,
    100,
)  # calls that a limited partner takes in a span of so many ms; it tells that wait
BURST_MESSAGES, BURST_INTERVAL_S = (
    10,
    0.2,
)  # messages that come together for it, and s between two such clumps


def message_ids(prefix: str, count: int) -> list[str]:
    """Ids of messages."""
    return [f"{prefix}{number:05d}" for number in range(count)]


async def start_and_warm_up(play: Play, hosts: int, dests: int = 1) -> None:
    """A relay with its list, and a few messages behind it: what happens once only is over."""
    for number in range(hosts):
        await play.world.add_host(f"h{number:03d}", play.delivering_reply(), block=1 + number % dests)
    await play.world.start_relay()
    warm = message_ids("warm", 3 * min(dests, 10))
    for number, name in enumerate(warm):
        await play.send_messages([name], 0.0, dests=[1 + number % dests])
    await play.wait_until_ended(warm)


async def idle(play: Play, hosts: int) -> None:
    """A list, and nothing to do."""
    await start_and_warm_up(play, hosts, dests=max(1, hosts // 2))
    await play.begin_window()
    await asyncio.sleep(IDLE_S)
    await play.end_window()


async def traffic(play: Play) -> None:
    """Small messages at an even pace for ten destinations of two endpoints each, all well."""
    await start_and_warm_up(play, 20, dests=10)
    some = message_ids("t", TRAFFIC_MESSAGES)
    await play.begin_window()
    await play.send_messages(some, SEND_INTERVAL_S, range(1, 11))
    await play.wait_until_ended(some)
    await play.end_window(TRAFFIC_MESSAGES)


async def held(play: Play) -> None:
    """Hundreds of messages held for a slow partner, which takes them on one after the other."""
    play.world.settings["domain"] |= {"calls_out": SLOW_SLOTS}
    await start_and_warm_up(play, 1)
    play.world.hosts["h000"].default_reply = play.delivering_reply(SLOW_ANSWER_DELAY_S)
    some = message_ids("held", HELD_MESSAGES)
    await play.begin_window()
    await play.send_messages(some, 0.0)
    await play.end_window(HELD_MESSAGES, HELD_MESSAGES, "held_message")
    first = len(play.delivered_refs)
    await play.begin_window()
    await play.wait_until(lambda: len(play.delivered_refs) >= first + HELD_MESSAGES // 2)
    await play.end_window(len(play.delivered_refs) - first)


async def refused(play: Play) -> None:
    """A partner with a limit, which gets its messages in clumps and tells what is above it to wait."""
    await start_and_warm_up(play, 2)
    served = play.delivering_reply()
    taken_on: Counter[int] = Counter()

    def limited(request: Request) -> None:
        window = int(request.received_s * 1000 / LIMIT_WINDOW_MS)
        taken_on[window] += 1
        if taken_on[window] > CALLS_PER_WINDOW:
            request.answer(429, X_Retry_In_Ms=str(LIMIT_WINDOW_MS))
        else:
            served(request)

    for host in play.world.hosts.values():
        host.default_reply = limited
    some = message_ids("r", TRAFFIC_MESSAGES // 4)
    await play.begin_window()
    for clump in range(0, len(some), BURST_MESSAGES):
        await play.send_messages(some[clump : clump + BURST_MESSAGES], 0.0)
        await asyncio.sleep(BURST_INTERVAL_S)
    await play.wait_until_ended(some)
    await play.end_window(len(some))


async def large(play: Play) -> None:
    """Bodies of nearly 64 KiB."""
    await start_and_warm_up(play, 4)
    some = message_ids("l", LARGE_MESSAGES)
    await play.begin_window()
    await play.send_messages(some, 6 * SEND_INTERVAL_S, body=bytes(LARGE_BODY_BYTES))
    await play.wait_until_ended(some)
    await play.end_window(LARGE_MESSAGES)


async def cut(play: Play) -> None:
    """Requests that come one byte at a time."""
    await start_and_warm_up(play, 4)
    client = (await play.open_clients(1))[0]
    some = message_ids("c", CUT_MESSAGES)
    await play.begin_window()
    for name in some:
        words = (b"ENQUEUE", b"0" * 16, name.encode(), b"c=safe,t=a,d=30000,dest=1", b"x" * CUT_BODY_BYTES)
        data = encode_command(*words)
        for at in range(len(data)):
            client.writer.write(data[at : at + 1])
            await asyncio.sleep(0)  # each byte is a write of its own
        await client.reader.readline()
    await play.wait_until_ended(some)
    await play.end_window(CUT_MESSAGES)


async def quiet(play: Play) -> None:
    """Clients that have been answered once and then say nothing."""
    await start_and_warm_up(play, 4)
    await play.begin_window()
    clients = await play.open_clients(QUIET_CONNECTIONS)
    for client in clients:
        await client.command(b"PING")
    await play.end_window(0, QUIET_CONNECTIONS, "quiet_connection")
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
    await play.world.start_relay()
    play.record_start(read_usage(play.pid).cpu_us)


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
