"""Several real relays at once, with faults between them; and that the lab ends whatever it started."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest

from fleetlab import run_folders, scenario
from fleetlab.checks import Run
from fleetlab.fleet import MAX_LOG_BYTES, Fleet, FleetError, ProcessLimits
from standins import records
from standins.scripted import MAX_WAIT_S, ROOT, with_timeout

DAY = """
about = "a short day"
seconds = {seconds}
relays = 3
[load]
per_s = 30
"""
FAULTS = {
    "kill": 'kind = "kill"\nat_s = 2\nfor_s = 1.5\non = ["r1"]',
    "pause": 'kind = "pause"\nat_s = 2\nfor_s = 2\non = ["r1"]',
    "cut": 'kind = "cut"\nat_s = 2\nfor_s = 2\non = ["r1"]\nto = ["partners", "platform"]',
    "list-moved": 'kind = "list-moved"\nat_s = 2\nfor_s = 1',
    "terminate": 'kind = "terminate"\nat_s = 2\nfor_s = 0.5\npart = 1.0\nstep_s = 1.0',
}


def day(folder: Path, *faults: str, seconds: float = 7) -> Path:
    """A scenario's file."""
    path = folder / "day.toml"
    path.write_text(DAY.format(seconds=seconds) + "".join(f"[[fault]]\n{fault}\n" for fault in faults))
    return path


def started(path: Path, out: Path) -> subprocess.Popen[str]:
    """The lab at work."""
    command = [sys.executable, "-m", "fleetlab", "run", str(path), "--out", str(out), "--json"]
    return subprocess.Popen(
        command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, start_new_session=True
    )


def processes(out: Path) -> list[int]:
    """Processes that run with a state folder of that run."""
    found = []
    for path in Path("/proc").glob("[0-9]*/environ"):
        try:
            if str(out).encode() in path.read_bytes():
                found.append(int(path.parent.name))
        except OSError:
            continue
    return found


def until(done: Callable[[], Any]) -> None:
    """Wait for something, under the bound of all tests."""
    end_s = time.monotonic() + MAX_WAIT_S
    while not done():
        assert time.monotonic() < end_s
        time.sleep(0.02)


@pytest.mark.parametrize("name", FAULTS)
def test_relays_keep_the_rules_under_a_fault(tmp_path: Path, name: str) -> None:
    """Three real relays: every check holds, nothing is lost, nothing that must not repeat runs twice."""
    lab = started(day(tmp_path, FAULTS[name]), tmp_path / "run")
    said, errors = lab.communicate(timeout=120)
    assert lab.returncode == 0, (said, errors)
    result = json.loads(said)
    assert result["ok"]
    assert result["counts"]["lost"] == result["counts"]["twice"] == result["counts"]["late"] == 0
    assert result["counts"]["delivered"] > 100
    run = Run(records.read_history(tmp_path / "run" / "history.jsonl"))
    begun = [fault for fault in run.faults if fault.phase == "begin"]
    assert {fault.kind for fault in begun} == {name}
    assert len(run.lives["r1"]) == (2 if name in ("kill", "terminate") else 1)
    # The relay that was met serves again: a fault that only looked as if it began would prove nothing.
    met_s = max(fault.t for fault in run.faults if fault.phase == "end")
    served = [trace for trace in run.traces.values() if trace.submission.relay == "r1" and trace.delivered_s]
    assert any(trace.submission.t > met_s for trace in served)
    if name == "list-moved":  # each relay has asked at the new address, whose first word is the whole list
        assert all(sum(told.whole for told in run.list_updates[relay]) == 2 for relay in run.head.relays)
    assert not processes(tmp_path)


def test_a_folder_that_is_lost_loses_what_was_in_it(tmp_path: Path) -> None:
    """The checker tells the program's true loss: with partners that answer nothing every message waits."""
    hang = 'kind = "partner-hang"\nat_s = 0\nfor_s = 4\non = ["d1e0", "d1e1", "d2e0", "d2e1", "d3e0", "d3e1"]'
    kill = 'kind = "kill"\nat_s = 3\non = ["r1"]\nlose_folder = true'
    lab = started(day(tmp_path, hang, kill, seconds=5), tmp_path / "run")
    said, _ = lab.communicate(timeout=120)
    assert lab.returncode == 1
    result = json.loads(said)
    assert result["counts"]["lost"] > 0
    assert result["checks"]["ended_once"]["count"] == result["counts"]["lost"]
    assert result["counts"]["twice"] == 0


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGINT])
def test_the_lab_leaves_no_process_behind(tmp_path: Path, number: signal.Signals) -> None:
    """Also a paused one ends when the lab is killed or interrupted halfway."""
    path = day(tmp_path, 'kind = "pause"\nat_s = 0\nfor_s = 20\non = ["r0"]', seconds=30)
    lab = started(path, tmp_path / "run")
    history = tmp_path / "run" / "processes"
    until(lambda: len(list(history.glob("*/log"))) == 3 and len(processes(tmp_path / "run")) >= 3)
    time.sleep(1)
    lab.send_signal(number)
    _, errors = lab.communicate(timeout=60)
    until(lambda: not processes(tmp_path / "run"))
    if number is signal.SIGINT:
        assert lab.returncode == 130
        assert errors.strip().splitlines()[-1].startswith("fleetlab: interrupted")


Seen = list[records.AnyRecord]


def fleet(folder: Path, seen: Seen) -> Fleet:
    """A fleet without a lab."""
    return Fleet(folder, time.monotonic, seen.append, lambda _: None, lambda _: None)


async def test_a_process_that_ignores_sigterm_is_killed(tmp_path: Path) -> None:
    """After its patience, and told as asked for."""
    seen: Seen = []
    some = fleet(tmp_path, seen)
    member = some.add("deaf", "trap '' TERM; while :; do sleep 0.05; done", {}, {}, ProcessLimits())
    await some.start(member)
    await asyncio.sleep(0.3)
    await with_timeout(some.terminate(member, 0.3))
    assert not member.is_alive
    last = seen[-1]
    assert isinstance(last, records.Process)
    assert (last.event, last.asked, last.code) == ("exit", True, -signal.SIGKILL)


async def test_a_log_without_end_is_cut_off(tmp_path: Path) -> None:
    """At the bound of one process's log."""
    some = fleet(tmp_path, [])
    member = some.add("loud", "exec yes 0123456789012345678901234567890123456789", {}, {}, ProcessLimits())
    await some.start(member)
    assert member.process is not None
    await with_timeout(member.process.wait())
    assert member.log_file.stat().st_size <= MAX_LOG_BYTES


async def test_a_process_that_does_not_answer_is_told_with_its_last_word(tmp_path: Path) -> None:
    """And one that ends by itself is not waited for."""

    async def answers(_: object) -> bool:
        return False

    some = fleet(tmp_path, [])
    member = some.add("mute", "echo no such thing >&2; exit 3", {}, {}, ProcessLimits())
    await some.start(member)
    with pytest.raises(FleetError, match="mute does not answer: no such thing"):
        await with_timeout(some.wait_ready(member, answers))


async def test_each_process_has_its_own_limits(tmp_path: Path) -> None:
    """Descriptors at the start, and lowered and raised again while it runs."""
    some = fleet(tmp_path, [])
    member = some.add("small", "exec sleep 30", {}, {}, ProcessLimits(sockets=99))
    await some.start(member)
    assert member.process is not None
    limits = Path(f"/proc/{member.process.pid}/limits")

    def descriptors() -> list[str]:
        lines = [line for line in limits.read_text().splitlines() if line.startswith("Max open files")]
        return lines[0].split()[3:4]

    await with_timeout(reached(lambda: descriptors() == ["99"]))
    some.set_limits(member, 40, 0)
    assert descriptors() == ["40"]
    some.reset_limits(member)
    assert descriptors() == ["99"]
    await some.stop()
    assert not os.path.exists(f"/proc/{member.process.pid}/fd/0")


async def reached(done: Callable[[], bool]) -> None:
    """Wait for something."""
    while not done():
        await asyncio.sleep(0.01)


def test_a_further_program_runs_behind_links(tmp_path: Path) -> None:
    """Two processes of one module reach each other through the lab: not while one is dead, nor over a cut."""
    played = scenario.parse_scenario(PROGRAMS, "two")
    result = run_folders.play(run_folders.make_plan("two", played, 1), tmp_path / "run", lambda _: None)
    assert result.ok, result.checks
    run = run_folders.read_run(tmp_path / "run")
    assert [len(run.lives[name]) for name in ("peer0", "peer1")] == [2, 1]
    heard = [
        json.loads(line)["at_s"]
        for line in (tmp_path / "run/processes/peer1/state/heard.jsonl").read_text().splitlines()
    ]
    gaps = sorted((after - before, before) for before, after in pairwise(heard))
    # Ten a second, but for the half second of the kill and the one of the cut, in this order.
    assert gaps[-3][0] < 0.4 < gaps[-2][0]
    assert len(heard) > 10


PROGRAMS = """
about = "two programs"
seconds = 5
relays = 1
relay = "plain"
[[program]]
name = "peer"
module = "fleetlab.echo_program"
count = 2
config = '''
address = "{address}"
number = {number}
state = "{state}"
other = ["{link:peer0:7000}"]
'''
[[fault]]
kind = "kill"
at_s = 1
for_s = 0.6
on = ["peer0"]
[[fault]]
kind = "cut"
at_s = 3
for_s = 0.6
on = ["peer1"]
to = ["peer0"]
"""


def test_no_message_is_out_past_its_end_while_endpoints_hang_and_relays_end(tmp_path: Path) -> None:
    """Calls for several hang past the time of some, also of relays that end or are killed just then."""
    names = ("hang-shared", "ending-hang")
    labs = [started(scenario.SCENARIO_FOLDER / f"{name}.toml", tmp_path / name) for name in names]
    for name, lab in zip(names, labs, strict=True):
        printed, errors = lab.communicate(timeout=120)
        assert lab.returncode == 0, (name, errors, json.loads(printed)["checks"])
        run = Run(records.read_history(tmp_path / name / "history.jsonl"))
        hung = [call for call in run.attempts if call.finished_s - call.arrived_s > 1.0]
        assert hung, "the endpoints did hang"


async def test_a_configuration_that_changes_while_a_process_starts_is_told_once_it_is_ready(
    tmp_path: Path,
) -> None:
    """A relay that read the old file would watch and post at an address where nobody is any more."""
    program = "import signal, time; signal.signal(signal.SIGHUP, lambda *_: print('told')); time.sleep(60)"
    command = f'exec {sys.executable} -c "{program}"'
    fleet = Fleet(tmp_path, time.monotonic, lambda _: None, lambda _: None, lambda _: None)
    member = fleet.add("p0", command, {}, {}, ProcessLimits())
    await fleet.start(member)
    await fleet.reload(member)
    await asyncio.sleep(0.5)  # it has its handler by now
    assert member.log_file.read_bytes() == b""

    async def answers(_member: Any) -> bool:
        return True

    await fleet.wait_ready(member, answers)
    await with_timeout(waits(lambda: member.log_file.read_bytes() == b"told\n"))
    await fleet.stop()


async def waits(done: Callable[[], Any]) -> None:
    """Wait for something within the running loop."""
    while not done():
        await asyncio.sleep(0.02)
