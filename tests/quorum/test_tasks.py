"""Fleet tasks: handed over with their state, never run twice at once, stopped in time; and the sweeper."""

from __future__ import annotations

import asyncio
import itertools
import json
import subprocess
import sys
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from quorum.monotonic_clock import now_us
from quorum.state_machine import MAX_VALUE_BYTES
from quorum.tasks import MAX_CONSECUTIVE_ERRORS, StepResult, TaskRunner, TaskTerms
from standins.scripted import ROOT
from sweeper import summary
from sweeper.config import load
from sweeper.summary import FiguresError, Summary, next_relays, parse_figures, record_reading, sum_figures
from sweeper.sweeper import assign_relays_to_tasks, fleet_summary, read_summaries
from tests.quorum.servers import Quorum, quorum, until
from tomlconfig import ConfigError

TERMS = TaskTerms("count", ttl_ms=600)


class Counting:
    """A task that counts its steps and notes which process performs each, from which state and token."""

    def __init__(self, name: str, notes: list[tuple[str, int, int]], fails: bool = False) -> None:
        self.name, self.notes, self.fails = name, notes, fails
        self.cancelled_us = 0

    async def step(self, state: bytes, token: int) -> StepResult:
        """Count one more."""
        if self.fails:
            raise ValueError("planted")
        self.notes.append((self.name, int(state or b"0"), token))
        try:
            await asyncio.sleep(0.03)
        except asyncio.CancelledError:
            self.cancelled_us = now_us()
            raise
        return StepResult(b"%d" % (int(state or b"0") + 1))


def counting_runner(
    cluster: Quorum, name: str, notes: list[tuple[str, int, int]], fails: bool = False
) -> TaskRunner:
    """Return a process's runner of the counting task."""
    return TaskRunner(cluster.members, name, Counting(name, notes, fails), terms=TERMS)


async def test_a_task_passes_over_with_its_state(tmp_path: Path) -> None:
    """A holder is lost without releasing; the next continues from the written state with a newer token."""
    notes: list[tuple[str, int, int]] = []
    async with quorum(tmp_path) as cluster:
        stop = asyncio.Event()
        runners = {
            name: asyncio.ensure_future(counting_runner(cluster, name, notes).run(stop)) for name in "abc"
        }
        await until(lambda: len(notes) > 10)
        first = notes[-1][0]
        runners.pop(first).cancel()
        await until(lambda: notes[-1][0] != first and len(notes) > 30)
        stop.set()
        await asyncio.gather(*runners.values())
    holdings = [key for key, _ in itertools.groupby(notes, key=lambda note: (note[0], note[2]))]
    assert [token for _, token in holdings] == sorted({token for _, token in holdings})
    states = [state for _, state, _ in notes]
    assert states == sorted(states)
    assert len(set(states)) >= len(states) - len(holdings)  # a step whose holder was lost may run again


async def test_an_orderly_end_passes_a_task_over_at_once(tmp_path: Path) -> None:
    """The next holder gets the task long before the lease would have expired."""
    notes: list[tuple[str, int, int]] = []
    async with quorum(tmp_path) as cluster:
        stop, stop_second = asyncio.Event(), asyncio.Event()
        long = TaskTerms("count", ttl_ms=60_000)
        first = asyncio.ensure_future(
            TaskRunner(cluster.members, "a", Counting("a", notes), terms=long).run(stop)
        )
        await until(lambda: len(notes) > 3)
        second = asyncio.ensure_future(
            TaskRunner(cluster.members, "b", Counting("b", notes), terms=long).run(stop_second)
        )
        stop.set()
        await first
        await until(lambda: notes[-1][0] == "b")
        stop_second.set()
        await second


async def test_without_a_quorum_a_task_stops_in_time_and_goes_on_after(tmp_path: Path) -> None:
    """The step is cancelled before the lease ends, and nothing runs until the members are back."""
    notes: list[tuple[str, int, int]] = []
    async with quorum(tmp_path) as cluster:
        stop = asyncio.Event()
        runner = counting_runner(cluster, "a", notes)
        running = asyncio.ensure_future(runner.run(stop))
        await until(lambda: len(notes) > 3)
        stopped = [name for name in cluster.voters if name != "q0"]
        await cluster.stop(*stopped)
        await until(lambda: runner.token == 0)
        count = len(notes)
        await asyncio.sleep(1.0)
        assert len(notes) == count
        await cluster.start(*stopped)
        await until(lambda: len(notes) > count + 3)
        assert notes[-1][2] > notes[count - 1][2]
        assert runner.counts.lost >= 1
        stop.set()
        await running


async def test_a_task_that_fails_is_let_to_another(tmp_path: Path) -> None:
    """After some failed steps in a row another process gets the task; the failing runner keeps running."""
    notes: list[tuple[str, int, int]] = []
    async with quorum(tmp_path) as cluster:
        stop = asyncio.Event()
        failing = counting_runner(cluster, "bad", notes, fails=True)
        running = [asyncio.ensure_future(failing.run(stop))]
        await until(lambda: failing.counts.errors > 0)
        running.append(asyncio.ensure_future(counting_runner(cluster, "good", notes).run(stop)))
        await until(lambda: len(notes) > 3)
        assert failing.counts.errors >= MAX_CONSECUTIVE_ERRORS
        stop.set()
        await asyncio.gather(*running)


STATS = "app.requests.{}.served:{}|c\napp.in_flight:{}|g\napp.cost.loops:7|c\n"


def test_counts_go_on_over_a_relays_lives() -> None:
    """A smaller count comes from a new process and is added; a gauge counts only relays that answer."""
    summary_read = Summary()
    for at, (served, in_flight) in enumerate(((10, 3), (25, 4), (5, 1))):
        record_reading(
            summary_read, "r0", float(at), parse_figures(STATS.format("x", served, in_flight).encode())
        )
    record_reading(summary_read, "r1", 3.0, parse_figures(STATS.format("x", 7, 2).encode()))
    assert sum_figures([summary_read]) == {"requests.x.served": 25 + 5 + 7, "in_flight": 3}
    record_reading(summary_read, "r1", 4.0, None, "no answer in time")
    assert sum_figures([summary_read]) == {"requests.x.served": 37, "in_flight": 1}
    assert summary.decode_summary(summary.encode_summary(summary_read)) == summary_read
    assert summary.decode_summary(b"\xff garbage") == Summary()


def test_a_summary_of_the_largest_fleet_fits_a_record() -> None:
    """With large counts, and relays that report many figures."""
    found = Summary()
    many = "".join(f"app.requests.class-{number}.served:{10**12}|c\n" for number in range(100))
    for number in range(summary.MAX_RELAYS_PER_RECORD):
        for life in (10**12, 10**9):
            lines = "".join(f"app.requests.class-{item}.served:{life}|c\n" for item in range(12))
            record_reading(found, f"relay-{number:018}", 1e9, parse_figures((lines + many).encode()))
    assert len(found.names) <= summary.MAX_FIGURES
    assert len(summary.encode_summary(found)) < MAX_VALUE_BYTES


def test_a_large_fleet_is_spread_over_records_that_hold_it() -> None:
    """Each relay is in exactly one record, and stays in it when others are added."""
    names = [f"r{number}" for number in range(1024)]
    slices = summary.split_into_slices(names)
    assert sorted(name for names_of_slice in slices for name in names_of_slice) == sorted(names)
    assert max(map(len, slices)) <= summary.MAX_RELAYS_PER_RECORD
    more = summary.split_into_slices([*names, *(f"x{number}" for number in range(1024))])
    assert all(set(before) <= set(after) for before, after in zip(slices, more, strict=True))
    assert summary.split_into_slices(names[:200]) == [sorted(names[:200])], "a small fleet has one"


def test_the_slices_of_a_fleet_are_shown_as_one() -> None:
    """Totals are summed over all slices; a round counts once it is complete in each."""
    slices = [Summary(rounds=3), Summary(rounds=2)]
    for at, found in enumerate(slices):
        record_reading(found, f"r{at}", 1.0, parse_figures(STATS.format("x", 10 + at, 1).encode()))
    told: Any = fleet_summary(slices)
    assert told["rounds"] == told["readings"] == 2
    assert told["totals"] == {"requests.x.served": 21, "in_flight": 2}
    assert list(told["relays"]) == ["r0", "r1"]


@pytest.mark.parametrize(("relays", "reason"), [(1024, ""), (2048, ""), (2049, "relays: there are 2049")])
def test_a_sweeper_takes_a_thousand_relays_and_says_what_is_too_much(
    tmp_path: Path, relays: int, reason: str
) -> None:
    path = tmp_path / "sweep.toml"
    lines = [f'r{number} = "127.0.0.1:{1 + number}"' for number in range(relays)]
    path.write_text('name = "s"\n[members]\nq0 = "127.0.0.1:1"\n[relays]\n' + "\n".join(lines) + "\n")
    if not reason:
        assert len(load(path).relays) == relays
        return
    with pytest.raises(ConfigError, match=reason):
        load(path)


@pytest.mark.parametrize("body", [b"", b"<html>", b"app.x:1", b"app.x:-1|c", b"app.x:1|z", b"\xff:1|c|"])
def test_what_are_no_figures_is_told(body: bytes) -> None:
    """An unreadable answer is an error as a whole."""
    with pytest.raises(FiguresError):
        parse_figures(body)


def test_relays_are_read_in_turn() -> None:
    """The order is kept whichever process reads and whichever relays are added or removed."""
    found = Summary(position="b")
    assert next_relays(found, ["d", "a", "b", "c"], 1) == (["c"], False)
    assert next_relays(found, ["d", "a", "b", "c"], 5) == (["c", "d"], True)
    assert next_relays(Summary(position="z"), ["a"], 3) == ([], True)


@pytest.mark.parametrize(
    ("line", "key"),
    [
        ("pace_per_s = 0", "pace_per_s"),
        ("ttl_ms = 1", "ttl_ms"),
        ("timeout_ms = 0", "timeout_ms"),
        ("speed = 1", "speed"),
        ('[relays]\nr0 = "nowhere"', "relays.r0"),
    ],
)
def test_a_sweepers_bad_configuration_is_one_line(tmp_path: Path, line: str, key: str) -> None:
    """The line has the key."""
    path = tmp_path / "sweep.toml"
    head, _, table = line.partition("[relays]")
    relays = "[relays]" + table if table else "[relays]"
    path.write_text(f'name = "s"\n{head}\n{relays}\n[members]\nq0 = "127.0.0.1:1"\n')
    with pytest.raises(ConfigError) as error:
        load(path)
    assert key in str(error.value)
    assert "\n" not in str(error.value)


class Relays:
    """Stand-ins of relays' operator addresses, which answer with figures and note each call."""

    def __init__(self) -> None:
        self.addresses: dict[str, str] = {}
        self.calls: list[str] = []
        self._servers: list[asyncio.Server] = []

    async def start(self, names: list[str]) -> None:
        """Listen on an address for each name."""
        for name in names:
            server = await asyncio.start_server(partial(self._serve, name), "127.0.0.1", 0)
            self._servers.append(server)
            self.addresses[name] = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.calls.append(name)
        body = STATS.format("x", len(self.calls), 1).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        writer.close()

    def stop(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()


NAMES = ["r0", "r1", "r2", "r3", "r4"]


def sweepers(folder: Path, cluster: Quorum, options: list[str], relays: dict[str, str]) -> list[Path]:
    """Write the configurations of two sweepers of these relays."""
    paths, members = [], {name: f"{host}:{port}" for name, (host, port) in cluster.members.items()}
    for name in ("s0", "s1"):
        path = folder / f"{name}.toml"
        lines = [f'name = "{name}"', "pause_ms = 50", *options, "[members]"]
        lines += [f"{key} = {json.dumps(item)}" for key, item in members.items()]
        lines += ["[relays]", *(f"{key} = {json.dumps(item)}" for key, item in relays.items())]
        path.write_text("\n".join(lines))
        paths.append(path)
    return paths


def sweeping(paths: list[Path]) -> list[subprocess.Popen[bytes]]:
    """Start the sweepers' processes."""
    return [subprocess.Popen([sys.executable, "-m", "sweeper", str(path)], cwd=ROOT) for path in paths]


async def test_one_of_two_sweepers_reads_and_the_other_goes_on(tmp_path: Path) -> None:
    """Real processes: one reads the relays in turn; after it is killed, the other continues where it was."""
    relays = Relays()
    await relays.start(NAMES)
    async with quorum(tmp_path) as cluster:
        await cluster.leader()
        more = {"gone": "127.0.0.1:1"}
        paths = sweepers(tmp_path, cluster, ["pace_per_s = 4.0", "ttl_ms = 800"], relays.addresses | more)
        processes = sweeping(paths)
        try:
            client = cluster.client()
            await until(lambda: len(relays.calls) > 8, 30)
            holder = (await client.read(5.0, lease="task/sweep")).owner
            before = summary.decode_summary((await client.read(5.0, key="task/sweep")).value)
            processes[int(holder[1])].kill()
            count = len(relays.calls)
            await until(lambda: len(relays.calls) > count + 12, 30)
            read = await client.read(5.0, lease="task/sweep", key="task/sweep")
            after = summary.decode_summary(read.value)
            assert read.owner == {"s0": "s1", "s1": "s0"}[holder]
            assert after.rounds > before.rounds
            assert after.relays["gone"].why
            assert set(after.relays) == {*NAMES, "gone"}
            # In turn throughout, except that at most one step is repeated where the holder was lost.
            jumps = [
                at
                for at, (one, next_) in enumerate(itertools.pairwise(relays.calls))
                if not follows(one, next_)
            ]
            assert len(jumps) <= 1
            assert all(count - 5 <= at <= count + 1 for at in jumps)
            printed = await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "sweeper", "summary", str(paths[0])],
                cwd=ROOT, capture_output=True, text=True, timeout=30, check=True,
            )  # fmt: skip
            assert json.loads(printed.stdout)["totals"]["requests.x.served"] > 0
            client.close()
        finally:
            for process in processes:
                process.kill()
                process.wait()
            relays.stop()


async def test_a_thousand_relays_are_swept_on_when_their_sweeper_is_killed(tmp_path: Path) -> None:
    """Real processes: each slice is handed over with what was read of it, and all are shown as one fleet."""
    relays = Relays()
    await relays.start(["r0"])
    fleet = {f"r{number}": relays.addresses["r0"] for number in range(1024)}
    async with quorum(tmp_path) as cluster:
        await cluster.leader()
        paths = sweepers(tmp_path, cluster, ["pace_per_s = 200.0", "ttl_ms = 2000"], fleet)
        processes = sweeping(paths)
        client, tasks = cluster.client(), assign_relays_to_tasks(fleet)
        try:
            await until(lambda: len(relays.calls) > 600, 60)
            holders = [(await client.read(5.0, lease=f"task/{task}")).owner for task in tasks]
            before = await read_summaries(client, tasks)
            processes[int(max(set(holders), key=holders.count)[1])].kill()
            while True:
                after = await read_summaries(client, tasks)
                if min(found.rounds for found in after) > max(found.rounds for found in before):
                    break
                await asyncio.sleep(0.2)
            assert sum(len(found.relays) for found in after) == 1024
            for one, other in zip(before, after, strict=True):
                assert one.readings <= other.readings, "the next went on from what was written"
                assert one.relays.keys() <= other.relays.keys()
            assert not any(seen.why for found in after for seen in found.relays.values())
            client.close()
        finally:
            for process in processes:
                process.kill()
                process.wait()
            relays.stop()


def follows(one: str, other: str) -> bool:
    """Whether ``other`` is the relay after ``one`` in turn."""
    return NAMES[(NAMES.index(one) + 1) % len(NAMES)] == other
