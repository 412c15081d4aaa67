"""The cost ledger: its arithmetic, what it leaves out, and a real process read from both sides."""

from __future__ import annotations

import asyncio
import os
import re
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from relay import resource_usage
from relay.resource_usage import CostReporter, ProcessUsage, RelayCounters, Sample, compute_figures
from standins.scripted import World, silent, soon

COUNTED = RelayCounters(
    ended_messages=10, module_us=300, journal_bytes=2_000, journal_writes=30, descriptors={"clients": 4}
)
USED = ProcessUsage(
    user_us=800, system_us=200, resident_bytes=5_000, max_resident_bytes=9_000, descriptors=11
)
TICK_US = 1e6 / os.sysconf("SC_CLK_TCK")  # in which the system tells a process's time from outside


def by_name(
    system: ProcessUsage, counted: RelayCounters = COUNTED, since: Sample | None = None
) -> dict[str, int]:
    """The figures of one reading."""
    return {name: value for name, value, _ in compute_figures(counted, system, since, (), 7_000)}


@pytest.fixture
def manned(world: World) -> World:
    """A relay that operators may call."""
    world.admin_port = world.free_port()
    return world


def test_figures_follow_from_what_was_counted() -> None:
    told = by_name(USED)
    assert told["processor.other_us"] == 700
    assert told["processor.us_per_message"] == 100
    assert told["journal.bytes_per_message"] == 200
    assert told["descriptors.open"] == told["descriptors.clients"] + told["descriptors.rest"] == 11


def test_a_window_counts_from_its_mark() -> None:
    told = by_name(USED, since=Sample(at_us=2_000, cpu_us=400, ended_messages=7))
    assert told["window.length_us"] == 5_000
    assert told["window.messages_ended"] == 3
    assert told["window.processor_us_per_message"] == 200


def test_what_nobody_knows_is_left_out_and_never_zero() -> None:
    """Neither a source that the platform lacks, nor a cost of messages where none ended."""
    told = by_name(ProcessUsage(800, 200, None, None, None), RelayCounters(0, 300, 0, 0, {"clients": 4}))
    assert set(told) == {
        "processor.user_us",
        "processor.system_us",
        "processor.module_us",
        "processor.other_us",
        "descriptors.clients",
        "messages.ended",
        "journal.bytes",
        "journal.writes",
    }
    told = by_name(USED, since=Sample(at_us=0, cpu_us=400, ended_messages=10))
    assert told["window.processor_us"] == 600
    assert "window.processor_us_per_message" not in told


def test_a_platform_without_its_sources(tmp_path: Path) -> None:
    told = resource_usage.read_process_usage(tmp_path)
    assert (told.resident_bytes, told.max_resident_bytes, told.descriptors) == (None, None, None)
    names = {line.partition(":")[0] for line in CostReporter(lambda: COUNTED, tmp_path).lines()}
    assert "cost.messages.ended" in names
    assert not any("memory" in name or name == "cost.descriptors.open" for name in names)


async def test_the_window_is_bounded_and_ends_with_the_ledger(monkeypatch: pytest.MonkeyPatch) -> None:
    """A loop that stands still for a while shows as lag."""
    monkeypatch.setattr(resource_usage, "SAMPLE_INTERVAL_S", 0.001)
    ledger = CostReporter(lambda: COUNTED)
    ledger.start()
    while len(ledger._lags_us) < resource_usage.WINDOW_SAMPLES:
        await asyncio.sleep(0.001)
    for _ in range(50):
        await asyncio.sleep(0.001)
    assert (len(ledger._lags_us), len(ledger._samples)) == (
        resource_usage.WINDOW_SAMPLES,
        resource_usage.WINDOW_SAMPLES,
    )
    assert any(line.startswith("cost.window.most_loop_lag_us:") for line in ledger.lines())
    assert "processor.us_per_message" in ledger.summary()
    ledger.close()
    assert ledger._timer is not None
    assert ledger._timer.cancelled()


def outside(pid: int) -> tuple[float, int, int]:
    """What the system tells of a process from outside: processor us, most resident bytes, descriptors."""
    ticks = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    most = re.search(r"VmHWM:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())
    assert most is not None
    return (
        (int(ticks[11]) + int(ticks[12])) * TICK_US,
        int(most[1]) * 1024,
        len(os.listdir(f"/proc/{pid}/fd")),
    )


async def until(wanted: Callable[[], Awaitable[bool]]) -> None:
    """Wait until something is so."""

    async def look() -> None:
        while not await wanted():
            await asyncio.sleep(0.01)

    await soon(look())


async def test_the_ledger_agrees_with_an_outside_reading(manned: World) -> None:
    good = await manned.add("h1")
    held = await manned.add("h2", silent, block=2)
    client = await manned.run()
    others = [await manned.client() for _ in range(3)]
    for number in range(20):
        await client.hand_in(f"m{number}")
    await client.hand_in("m20", "unsafe", dest=2)  # its call is not given up soon
    await good.until(lambda: sum(len(request.ids) for request in good.seen) >= 20)
    await held.call(0)
    await manned.counted("requests.safe.served", 20)
    for other in others:
        assert await other.command(b"PING") == b"+PONG"
    assert manned.process is not None
    pid = manned.process.pid
    before_us, _, _ = outside(pid)
    told = await manned.costs()
    after_us, most_bytes, _ = outside(pid)
    cpu_us = told["processor.user_us"] + told["processor.system_us"]
    assert before_us - 3 * TICK_US <= cpu_us <= after_us + 3 * TICK_US
    assert told["processor.module_us"] + told["processor.other_us"] == cpu_us
    assert abs(told["memory.most_resident_bytes"] - most_bytes) <= 1 << 20
    assert 0 < told["memory.resident_bytes"] <= told["memory.most_resident_bytes"] + (1 << 20)
    assert told["messages.ended"] == 20
    assert told["descriptors.clients"] == 4
    assert told["descriptors.endpoints_busy"] == 1
    assert told["descriptors.discovery"] == 1
    assert told["journal.writes"] >= 21
    size = (manned.state / "journal").stat().st_size
    assert told["journal.bytes"] == size  # nothing was compacted yet
    assert told["window.length_us"] > 0

    async def same() -> bool:  # the asking connection itself is open while it asks, and may linger then
        told = await manned.costs()
        return 0 <= told["descriptors.open"] - outside(pid)[2] <= 1

    await until(same)


async def test_it_goes_on_over_sighup_and_starts_afresh_with_a_process(manned: World) -> None:
    host = await manned.add("h1")
    client = await manned.run()
    await client.hand_in("m1")
    await host.call(0)
    await manned.counted("requests.safe.served", 1)
    await manned.move()
    await client.hand_in("m2")
    await manned.counted("requests.safe.served", 2)
    assert (await manned.costs())["messages.ended"] == 2
    await manned.again()
    told = await manned.costs()
    assert told["messages.ended"] == 0
    assert "processor.us_per_message" not in told


async def test_it_starts_afresh_after_a_handover(manned: World) -> None:
    manned.listen()
    host = await manned.add("h1")
    client = await manned.run()
    await client.hand_in("m1")
    await host.call(0)
    await manned.counted("requests.safe.served", 1)
    manned.admin_port = manned.free_port()
    await manned.spawn()

    async def taken_over() -> bool:
        try:
            return (await manned.call("GET", "health"))[0] == 200
        except OSError:
            return False

    await until(taken_over)
    assert (await manned.costs())["messages.ended"] == 0
    assert (await manned.figures())["requests.safe.served"] == 0


async def test_calls_refusals_and_parted_clients_are_told_by_what_they_are(manned: World) -> None:
    """Calls out as the connections and as the module count them: what is never let go of shows there."""
    manned.settings["allowed"]["open_cap"] = 3
    host = await manned.add("h1", silent)
    client = await manned.run()
    await manned.counted("endpoints_known", 1)
    assert await client.hand_in("m1") == b"+OK"
    await host.call(0)
    told = await manned.costs()
    assert (told["calls.network"], told["calls.module"]) == (1, 1)
    answers = [await client.hand_in(f"m{number}") for number in range(2, 6)]
    refused = sum(answer.startswith(b"-BUSY") for answer in answers)
    broken = await manned.client()
    await broken.raw(b"*1\r\n$x\r\n")
    told = await manned.costs()
    assert told["clients.refused.held_messages"] == refused > 0
    assert told["clients.ended.broken_request"] == 1
