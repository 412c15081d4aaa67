"""Several real relays with faults between them, the lab's handling of processes, and its cleanup."""

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

SCENARIO = """
about = "a short day"
seconds = {seconds}
relays = 3
[load]
per_s = 30
"""
FAULT_TABLES = {
    "kill": 'kind = "kill"\nat_s = 2\nfor_s = 1.5\non = ["r1"]',
    "pause": 'kind = "pause"\nat_s = 2\nfor_s = 2\non = ["r1"]',
    "cut": 'kind = "cut"\nat_s = 2\nfor_s = 2\non = ["r1"]\nto = ["partners", "platform"]',
    "list-moved": 'kind = "list-moved"\nat_s = 2\nfor_s = 1',
    "terminate": 'kind = "terminate"\nat_s = 2\nfor_s = 0.5\npart = 1.0\nstep_s = 1.0',
}


def write_scenario(folder: Path, *faults: str, seconds: float = 7) -> Path:
    """Write a scenario with these faults to a file."""
    path = folder / "day.toml"
    path.write_text(SCENARIO.format(seconds=seconds) + "".join(f"[[fault]]\n{fault}\n" for fault in faults))
    return path


def start_lab(path: Path, out: Path) -> subprocess.Popen[str]:
    """Start the lab on a scenario file; its run's folder is ``out``."""
    command = [sys.executable, "-m", "fleetlab", "run", str(path), "--out", str(out), "--json"]
    return subprocess.Popen(
        command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, start_new_session=True
    )


def processes(out: Path) -> list[int]:
    """The ids of processes whose environment names this run's folder."""
    found = []
    for path in Path("/proc").glob("[0-9]*/environ"):
        try:
            if str(out).encode() in path.read_bytes():
                found.append(int(path.parent.name))
        except OSError:
            continue
    return found


def wait_until(condition: Callable[[], Any]) -> None:
    """Wait until the condition holds, with the time-out of all tests."""
    end_s = time.monotonic() + MAX_WAIT_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.02)


@pytest.mark.parametrize("name", FAULT_TABLES)
def test_relays_keep_the_rules_under_a_fault(tmp_path: Path, name: str) -> None:
    """With three real relays every check holds; no message is lost, late, or run twice against its class."""
    lab = start_lab(write_scenario(tmp_path, FAULT_TABLES[name]), tmp_path / "run")
    printed, errors = lab.communicate(timeout=120)
    assert lab.returncode == 0, (printed, errors)
    result = json.loads(printed)
    assert result["ok"]
    assert result["counts"]["lost"] == result["counts"]["twice"] == result["counts"]["late"] == 0
    assert result["counts"]["delivered"] > 100
    run = Run(records.read_history(tmp_path / "run" / "history.jsonl"))
    begun_faults = [fault for fault in run.faults if fault.phase == "begin"]
    assert {fault.kind for fault in begun_faults} == {name}
    assert len(run.lives["r1"]) == (2 if name in ("kill", "terminate") else 1)
    # The affected relay delivers again afterwards: a fault that only seems to begin would prove nothing.
    last_end_s = max(fault.t for fault in run.faults if fault.phase == "end")
    delivered_traces = [
        trace for trace in run.traces.values() if trace.submission.relay == "r1" and trace.delivered_s
    ]
    assert any(trace.submission.t > last_end_s for trace in delivered_traces)
    if name == "list-moved":  # each relay has a watch at the new address, which starts with the whole list
        assert all(sum(told.whole for told in run.list_updates[relay]) == 2 for relay in run.head.relays)
    assert not processes(tmp_path)


def test_a_folder_that_is_lost_loses_what_was_in_it(tmp_path: Path) -> None:
    """The checks count the messages that are lost with a relay's folder.

    All endpoints hang until then, so that messages wait at the relay.
    """
    hang = 'kind = "partner-hang"\nat_s = 0\nfor_s = 4\non = ["d1e0", "d1e1", "d2e0", "d2e1", "d3e0", "d3e1"]'
    kill = 'kind = "kill"\nat_s = 3\non = ["r1"]\nlose_folder = true'
    lab = start_lab(write_scenario(tmp_path, hang, kill, seconds=5), tmp_path / "run")
    printed, _ = lab.communicate(timeout=120)
    assert lab.returncode == 1
    result = json.loads(printed)
    assert result["counts"]["lost"] > 0
    assert result["checks"]["ended_once"]["count"] == result["counts"]["lost"]
    assert result["counts"]["twice"] == 0


@pytest.mark.parametrize("sent_signal", [signal.SIGKILL, signal.SIGINT])
def test_the_lab_leaves_no_process_behind(tmp_path: Path, sent_signal: signal.Signals) -> None:
    """All processes end, even a paused one, when the lab is killed or interrupted during a run."""
    path = write_scenario(tmp_path, 'kind = "pause"\nat_s = 0\nfor_s = 20\non = ["r0"]', seconds=30)
    lab = start_lab(path, tmp_path / "run")
    process_folder = tmp_path / "run" / "processes"
    wait_until(lambda: len(list(process_folder.glob("*/log"))) == 3 and len(processes(tmp_path / "run")) >= 3)
    time.sleep(1)
    lab.send_signal(sent_signal)
    _, errors = lab.communicate(timeout=60)
    wait_until(lambda: not processes(tmp_path / "run"))
    if sent_signal is signal.SIGINT:
        assert lab.returncode == 130
        assert errors.strip().splitlines()[-1].startswith("fleetlab: interrupted")


Records = list[records.AnyRecord]


def make_fleet(folder: Path, recorded: Records) -> Fleet:
    """A fleet without a lab, which appends its records to ``recorded``."""
    return Fleet(folder, time.monotonic, recorded.append, lambda _: None, lambda _: None)


async def test_a_process_that_ignores_sigterm_is_killed(tmp_path: Path) -> None:
    """It is killed after the time that ``terminate`` gives it, and its exit is recorded as asked for."""
    recorded: Records = []
    fleet = make_fleet(tmp_path, recorded)
    member = fleet.add("deaf", "trap '' TERM; while :; do sleep 0.05; done", {}, {}, ProcessLimits())
    await fleet.start(member)
    await asyncio.sleep(0.3)
    await with_timeout(fleet.terminate(member, 0.3))
    assert not member.is_alive
    last = recorded[-1]
    assert isinstance(last, records.Process)
    assert (last.event, last.asked, last.code) == ("exit", True, -signal.SIGKILL)


async def test_a_log_without_end_is_cut_off(tmp_path: Path) -> None:
    """The log of a process that writes without end stops at ``MAX_LOG_BYTES``."""
    fleet = make_fleet(tmp_path, [])
    member = fleet.add("loud", "exec yes 0123456789012345678901234567890123456789", {}, {}, ProcessLimits())
    await fleet.start(member)
    assert member.process is not None
    await with_timeout(member.process.wait())
    assert member.log_file.stat().st_size <= MAX_LOG_BYTES


async def test_a_process_that_does_not_answer_is_reported_with_its_last_log_line(tmp_path: Path) -> None:
    """The error quotes the last line of its log; a process that has exited is not waited for."""

    async def is_answering(_: object) -> bool:
        return False

    fleet = make_fleet(tmp_path, [])
    member = fleet.add("mute", "echo no such thing >&2; exit 3", {}, {}, ProcessLimits())
    await fleet.start(member)
    with pytest.raises(FleetError, match="mute does not answer: no such thing"):
        await with_timeout(fleet.wait_ready(member, is_answering))


async def test_each_process_has_its_own_limits(tmp_path: Path) -> None:
    """The limit of open files is set at the start, and can be lowered and restored while it runs."""
    fleet = make_fleet(tmp_path, [])
    member = fleet.add("small", "exec sleep 30", {}, {}, ProcessLimits(sockets=99))
    await fleet.start(member)
    assert member.process is not None
    limits_file = Path(f"/proc/{member.process.pid}/limits")

    def max_open_files() -> list[str]:
        lines = [line for line in limits_file.read_text().splitlines() if line.startswith("Max open files")]
        return lines[0].split()[3:4]

    await with_timeout(poll_every_10_ms(lambda: max_open_files() == ["99"]))
    fleet.set_limits(member, 40, 0)
    assert max_open_files() == ["40"]
    fleet.reset_limits(member)
    assert max_open_files() == ["99"]
    await fleet.stop()
    assert not os.path.exists(f"/proc/{member.process.pid}/fd/0")


async def test_a_process_that_has_just_ended_needs_no_limits(tmp_path: Path) -> None:
    """Guards against a play that is ended by a limit on a process whose end is not reported yet."""
    fleet = make_fleet(tmp_path, [])
    member = fleet.add("brief", "exec sleep 30", {}, {}, ProcessLimits())
    await fleet.start(member)
    assert member.process is not None
    process_folder = Path(f"/proc/{member.process.pid}")
    os.kill(member.process.pid, signal.SIGKILL)
    wait_until(lambda: not process_folder.exists())
    assert member.is_alive, "the loop has not reported its end"
    fleet.set_limits(member, 40, 0)
    await fleet.stop()


async def poll_every_10_ms(condition: Callable[[], bool]) -> None:
    """Poll until the condition holds."""
    while not condition():
        await asyncio.sleep(0.01)


def test_a_further_program_runs_behind_links(tmp_path: Path) -> None:
    """Processes of one module reach each other through links, except while one is dead or the link is cut."""
    two_programs = scenario.parse_scenario(PROGRAMS, "two")
    result = run_folders.play(run_folders.make_plan("two", two_programs, 1), tmp_path / "run", lambda _: None)
    assert result.ok, result.checks
    run = run_folders.read_run(tmp_path / "run")
    assert [len(run.lives[name]) for name in ("peer0", "peer1")] == [2, 1]
    heard_s = [
        json.loads(line)["at_s"]
        for line in (tmp_path / "run/processes/peer1/state/heard.jsonl").read_text().splitlines()
    ]
    gaps = sorted((after - before, before) for before, after in pairwise(heard_s))
    # Ten answers per second, except for about half a second each during the kill and the cut.
    assert gaps[-3][0] < 0.4 < gaps[-2][0]
    assert len(heard_s) > 10


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


def test_no_call_outlasts_its_message_while_endpoints_hang_and_relays_end(tmp_path: Path) -> None:
    """Batch calls hang past the deadline of some of their messages, also while relays end or are killed."""
    names = ("hang-shared", "ending-hang")
    labs = [start_lab(scenario.SCENARIO_FOLDER / f"{name}.toml", tmp_path / name) for name in names]
    for name, lab in zip(names, labs, strict=True):
        printed, errors = lab.communicate(timeout=120)
        assert lab.returncode == 0, (name, errors, json.loads(printed)["checks"])
        run = Run(records.read_history(tmp_path / name / "history.jsonl"))
        long_calls = [call for call in run.attempts if call.finished_s - call.arrived_s > 1.0]
        assert long_calls, "no call hung at the endpoints"


async def test_a_configuration_that_changes_while_a_process_starts_is_signalled_once_it_is_ready(
    tmp_path: Path,
) -> None:
    """Otherwise a relay that has read the old file would watch and post at an address that nothing serves."""
    program = "import signal, time; signal.signal(signal.SIGHUP, lambda *_: print('told')); time.sleep(60)"
    command = f'exec {sys.executable} -c "{program}"'
    fleet = Fleet(tmp_path, time.monotonic, lambda _: None, lambda _: None, lambda _: None)
    member = fleet.add("p0", command, {}, {}, ProcessLimits())
    await fleet.start(member)
    await fleet.reload(member)
    await asyncio.sleep(0.5)  # long enough to install its signal handler
    assert member.log_file.read_bytes() == b""

    async def is_answering(_member: Any) -> bool:
        return True

    await fleet.wait_ready(member, is_answering)
    await with_timeout(poll_every_20_ms(lambda: member.log_file.read_bytes() == b"told\n"))
    await fleet.stop()


async def poll_every_20_ms(condition: Callable[[], Any]) -> None:
    """Poll in the running event loop until the condition holds."""
    while not condition():
        await asyncio.sleep(0.02)
