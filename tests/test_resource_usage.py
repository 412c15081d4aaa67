"""Resource usage figures: their arithmetic, what is left out, and those of a real process."""

from __future__ import annotations

import asyncio
import os
import re
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from relay import resource_usage
from relay.resource_usage import CostReporter, ProcessUsage, RelayCounters, Sample, compute_figures
from standins.scripted import World, no_answer, with_timeout

COUNTED = RelayCounters(
    ended_messages=10, module_us=300, journal_bytes=2_000, journal_writes=30, descriptors={"clients": 4}
)
USED = ProcessUsage(
    user_us=800, system_us=200, resident_bytes=5_000, max_resident_bytes=9_000, descriptors=11
)
CLOCK_TICK_US = 1e6 / os.sysconf("SC_CLK_TCK")  # the unit of processor times in /proc/PID/stat


def by_name(
    system: ProcessUsage, counted: RelayCounters = COUNTED, since: Sample | None = None
) -> dict[str, int]:
    """Return the values of one reading by the figures' names."""
    return {name: value for name, value, _ in compute_figures(counted, system, since, (), 7_000)}


@pytest.fixture
def admin_world(world: World) -> World:
    """A relay with an operators' address."""
    world.admin_port = world.free_port()
    return world


def test_figures_follow_from_what_was_counted() -> None:
    values = by_name(USED)
    assert values["processor.other_us"] == 700
    assert values["processor.us_per_message"] == 100
    assert values["journal.bytes_per_message"] == 200
    assert values["descriptors.open"] == values["descriptors.clients"] + values["descriptors.rest"] == 11


def test_a_window_counts_from_its_mark() -> None:
    values = by_name(USED, since=Sample(at_us=2_000, cpu_us=400, ended_messages=7))
    assert values["window.length_us"] == 5_000
    assert values["window.messages_ended"] == 3
    assert values["window.processor_us_per_message"] == 200


def test_an_unknown_figure_is_left_out_and_not_zero() -> None:
    """It is unknown if the platform lacks its source, and per message if no message has ended."""
    values = by_name(ProcessUsage(800, 200, None, None, None), RelayCounters(0, 300, 0, 0, {"clients": 4}))
    assert set(values) == {
        "processor.user_us",
        "processor.system_us",
        "processor.module_us",
        "processor.other_us",
        "descriptors.clients",
        "input.deferred",
        "messages.ended",
        "journal.bytes",
        "journal.writes",
    }
    values = by_name(USED, since=Sample(at_us=0, cpu_us=400, ended_messages=10))
    assert values["window.processor_us"] == 600
    assert "window.processor_us_per_message" not in values


def test_a_platform_without_proc_leaves_figures_out(tmp_path: Path) -> None:
    usage = resource_usage.read_process_usage(tmp_path)
    assert (usage.resident_bytes, usage.max_resident_bytes, usage.descriptors) == (None, None, None)
    names = {line.partition(":")[0] for line in CostReporter(lambda: COUNTED, tmp_path).lines()}
    assert "cost.messages.ended" in names
    assert not any("memory" in name or name == "cost.descriptors.open" for name in names)


async def test_the_window_is_bounded_and_ends_with_the_ledger(monkeypatch: pytest.MonkeyPatch) -> None:
    """The lag of the event loop is among the figures."""
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
    """Return a process's processor time in us, maximum resident bytes and descriptors, read from /proc."""
    ticks = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    most = re.search(r"VmHWM:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())
    assert most is not None
    return (
        (int(ticks[11]) + int(ticks[12])) * CLOCK_TICK_US,
        int(most[1]) * 1024,
        len(os.listdir(f"/proc/{pid}/fd")),
    )


async def until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Wait until the condition holds."""

    async def poll() -> None:
        while not await condition():
            await asyncio.sleep(0.01)

    await with_timeout(poll())


async def test_the_figures_agree_with_a_reading_from_outside(admin_world: World) -> None:
    good = await admin_world.add_host("h1")
    held = await admin_world.add_host("h2", no_answer, block=2)
    client = await admin_world.start_relay()
    others = [await admin_world.connect_client() for _ in range(3)]
    for number in range(20):
        await client.submit(f"m{number}")
    await client.submit("m20", "unsafe", dest=2)  # unsafe: its call is not given up soon
    await good.wait_until(lambda: sum(len(request.refs) for request in good.requests) >= 20)
    await held.wait_request(0)
    await admin_world.wait_figure("requests.safe.served", 20)
    for other in others:
        assert await other.command(b"PING") == b"+PONG"
    assert admin_world.process is not None
    pid = admin_world.process.pid
    before_us, _, _ = outside(pid)
    values = await admin_world.read_costs()
    after_us, most_bytes, _ = outside(pid)
    cpu_us = values["processor.user_us"] + values["processor.system_us"]
    assert before_us - 3 * CLOCK_TICK_US <= cpu_us <= after_us + 3 * CLOCK_TICK_US
    assert values["processor.module_us"] + values["processor.other_us"] == cpu_us
    assert abs(values["memory.most_resident_bytes"] - most_bytes) <= 1 << 20
    assert 0 < values["memory.resident_bytes"] <= values["memory.most_resident_bytes"] + (1 << 20)
    assert values["messages.ended"] == 20
    assert values["descriptors.clients"] == 4
    assert values["descriptors.endpoints_busy"] == 1
    assert values["descriptors.discovery"] == 1
    assert values["journal.writes"] >= 21
    size = (admin_world.state_folder / "journal").stat().st_size
    assert values["journal.bytes"] == size  # the journal has not been compacted yet
    assert values["window.length_us"] > 0

    async def same_descriptors() -> bool:
        # The asking connection is open during the call, and may still be closing after it.
        values = await admin_world.read_costs()
        return 0 <= values["descriptors.open"] - outside(pid)[2] <= 1

    await until(same_descriptors)


async def test_counts_continue_after_sighup_and_start_at_zero_in_a_new_process(admin_world: World) -> None:
    host = await admin_world.add_host("h1")
    client = await admin_world.start_relay()
    await client.submit("m1")
    await host.wait_request(0)
    await admin_world.wait_figure("requests.safe.served", 1)
    await admin_world.move_discovery()
    await client.submit("m2")
    await admin_world.wait_figure("requests.safe.served", 2)
    assert (await admin_world.read_costs())["messages.ended"] == 2
    await admin_world.kill_and_restart()
    values = await admin_world.read_costs()
    assert values["messages.ended"] == 0
    assert "processor.us_per_message" not in values


async def test_counts_start_at_zero_after_a_handover(admin_world: World) -> None:
    admin_world.open_passed_socket()
    host = await admin_world.add_host("h1")
    client = await admin_world.start_relay()
    await client.submit("m1")
    await host.wait_request(0)
    await admin_world.wait_figure("requests.safe.served", 1)
    admin_world.admin_port = admin_world.free_port()
    await admin_world.spawn()

    async def taken_over() -> bool:
        try:
            return (await admin_world.operator_call("GET", "health"))[0] == 200
        except OSError:
            return False

    await until(taken_over)
    assert (await admin_world.read_costs())["messages.ended"] == 0
    assert (await admin_world.read_figures())["requests.safe.served"] == 0


async def test_calls_refusals_and_closed_clients_are_counted_by_kind(admin_world: World) -> None:
    """Calls in flight are counted by the connections and by the module: a leak in either shows there."""
    admin_world.settings["allowed"]["open_cap"] = 3
    host = await admin_world.add_host("h1", no_answer)
    client = await admin_world.start_relay()
    await admin_world.wait_figure("endpoints_known", 1)
    assert await client.submit("m1") == b"+OK"
    await host.wait_request(0)
    values = await admin_world.read_costs()
    assert (values["calls.network"], values["calls.module"]) == (1, 1)
    assert values["outages.paced_failure"] == values["outages.cold_return"] == 0
    answers = [await client.submit(f"m{number}") for number in range(2, 6)]
    refused = sum(answer.startswith(b"-BUSY") for answer in answers)
    broken = await admin_world.connect_client()
    await broken.send_raw(b"*1\r\n$x\r\n")
    values = await admin_world.read_costs()
    assert values["clients.refused.held_messages"] == refused > 0
    assert values["clients.ended.broken_request"] == 1
