"""The scenarios: the stand-ins around the relay in each, its load, and the window that is measured."""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial

from relay.journal import Journal, JournalFullError
from standins.scripted import Request, encode_command, no_answer
from tools.cost.play import Play, Scenario
from tools.cost.reading import read_usage

IDLE_S = 4.0  # length of an idle window
TRAFFIC_MESSAGES = 600
SEND_INTERVAL_S = 0.005  # between two messages of ordinary traffic
HELD_MESSAGES = 500  # sent at once to a slow destination, so that the relay holds them
SLOW_ANSWER_DELAY_S = 0.04  # of the slow destination
SLOW_SLOTS = 8  # calls that the relay may have in flight to it
LARGE_MESSAGES = 100
LARGE_BODY_BYTES = 64 * 1024 - 64  # slightly below the bound of 64 KiB
CUT_MESSAGES = 12  # sent byte by byte
CUT_BODY_BYTES = 8 * 1024
QUIET_CONNECTIONS = 300  # clients that send nothing more after one request
CALLS_PER_WINDOW = 3  # that the partner with a limit accepts
LIMIT_WINDOW_MS = 100  # of that limit; also the wait that the partner asks for
BURST_MESSAGES = 10  # sent together to the partner with a limit
BURST_INTERVAL_S = 0.2  # between two bursts


def message_ids(prefix: str, count: int) -> list[str]:
    """Return unique message ids."""
    return [f"{prefix}{number:05d}" for number in range(count)]


async def start_and_warm_up(play: Play, hosts: int, dests: int = 1) -> None:
    """Start a relay with some hosts, and let it deliver a few messages, so that one-time costs are over."""
    for number in range(hosts):
        await play.world.add_host(f"h{number:03d}", play.delivering_reply(), block=1 + number % dests)
    await play.world.start_relay()
    warm_up_ids = message_ids("warm", 3 * min(dests, 10))
    for number, ref in enumerate(warm_up_ids):
        await play.send_messages([ref], 0.0, dests=[1 + number % dests])
    await play.wait_until_ended(warm_up_ids)


async def idle(play: Play, hosts: int) -> None:
    """The relay knows hosts and has nothing to do."""
    await start_and_warm_up(play, hosts, dests=max(1, hosts // 2))
    await play.begin_window()
    await asyncio.sleep(IDLE_S)
    await play.end_window()


async def traffic(play: Play) -> None:
    """Small messages at an even pace to ten healthy destinations of two endpoints each."""
    await start_and_warm_up(play, 20, dests=10)
    refs = message_ids("t", TRAFFIC_MESSAGES)
    await play.begin_window()
    await play.send_messages(refs, SEND_INTERVAL_S, range(1, 11))
    await play.wait_until_ended(refs)
    await play.end_window(TRAFFIC_MESSAGES)


async def held(play: Play) -> None:
    """Hundreds of messages are held for a slow partner, which delivers them a few at a time."""
    play.world.settings["domain"] |= {"calls_out": SLOW_SLOTS}
    await start_and_warm_up(play, 1)
    play.world.hosts["h000"].default_reply = play.delivering_reply(SLOW_ANSWER_DELAY_S)
    refs = message_ids("held", HELD_MESSAGES)
    await play.begin_window()
    await play.send_messages(refs, 0.0)
    await play.end_window(HELD_MESSAGES, HELD_MESSAGES, "held_message")
    delivered_before = len(play.delivered_refs)
    await play.begin_window()
    await play.wait_until(lambda: len(play.delivered_refs) >= delivered_before + HELD_MESSAGES // 2)
    await play.end_window(len(play.delivered_refs) - delivered_before)


async def refused(play: Play) -> None:
    """Bursts of messages to a partner with a rate limit, which refuses calls above it and tells a wait."""
    await start_and_warm_up(play, 2)
    deliver = play.delivering_reply()
    calls_by_window: Counter[int] = Counter()

    def limited(request: Request) -> None:
        window = int(request.received_s * 1000 / LIMIT_WINDOW_MS)
        calls_by_window[window] += 1
        if calls_by_window[window] > CALLS_PER_WINDOW:
            request.answer(429, X_Retry_In_Ms=str(LIMIT_WINDOW_MS))
        else:
            deliver(request)

    for host in play.world.hosts.values():
        host.default_reply = limited
    refs = message_ids("r", TRAFFIC_MESSAGES // 4)
    await play.begin_window()
    for first in range(0, len(refs), BURST_MESSAGES):
        await play.send_messages(refs[first : first + BURST_MESSAGES], 0.0)
        await asyncio.sleep(BURST_INTERVAL_S)
    await play.wait_until_ended(refs)
    await play.end_window(len(refs))


async def large(play: Play) -> None:
    """Messages with bodies of nearly 64 KiB."""
    await start_and_warm_up(play, 4)
    refs = message_ids("l", LARGE_MESSAGES)
    await play.begin_window()
    await play.send_messages(refs, 6 * SEND_INTERVAL_S, body=bytes(LARGE_BODY_BYTES))
    await play.wait_until_ended(refs)
    await play.end_window(LARGE_MESSAGES)


async def cut(play: Play) -> None:
    """Requests that arrive one byte at a time."""
    await start_and_warm_up(play, 4)
    client = (await play.open_clients(1))[0]
    refs = message_ids("c", CUT_MESSAGES)
    await play.begin_window()
    for ref in refs:
        words = (b"ENQUEUE", b"0" * 16, ref.encode(), b"c=safe,t=a,d=30000,dest=1", b"x" * CUT_BODY_BYTES)
        data = encode_command(*words)
        for index in range(len(data)):
            client.writer.write(data[index : index + 1])
            await asyncio.sleep(0)  # so that each byte is written by itself
        await client.reader.readline()
    await play.wait_until_ended(refs)
    await play.end_window(CUT_MESSAGES)


async def quiet(play: Play) -> None:
    """Clients that send nothing more after one answered request."""
    await start_and_warm_up(play, 4)
    await play.begin_window()
    clients = await play.open_clients(QUIET_CONNECTIONS)
    for client in clients:
        await client.command(b"PING")
    await play.end_window(0, QUIET_CONNECTIONS, "quiet_connection")
    for client in clients:
        client.writer.close()


async def replay(play: Play) -> None:
    """A start with a journal that is as full as the relay lets it become."""
    journal = Journal(play.world.state_folder, int(play.world.disk_mb * 1_000_000))
    deadline_us = 4_000_000_000_000_000  # far in the future, so that no deadline has passed
    fields = {"dest": 1, "cls": "safe", "deadline_us": deadline_us, "tenant": "t", "order": "", "key": ""}
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
    """The start of the process, until its first answer."""
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
