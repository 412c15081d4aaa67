"""Every check finds the bug or the change of a history that is made for it, and nothing in a clean run."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
import pytest

from fleetlab.checks import CHECKERS, Run, judge_run, run_checkers
from fleetlab.scripted_relay import BUGS
from standins import records
from standins.scripted import ROOT

PLAIN_SCENARIO = Path(__file__).with_name("plain.toml")
CHECK_BY_BUG = {
    "forget": "ended_once", "late": "in_time", "two-out": "one_out", "repeat": "no_repeat",
    "many": "few_attempts", "wrong-destination": "own_destination", "ignore-drain": "drained",
    "ignore-wait": "waits_kept", "silent": "answered", "crash": "no_crash", "two-ends": "ended_once",
    "invent": "own_destination", "hammer": "few_attempts", "deaf": "drained",
}  # fmt: skip


def run_lab(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a command of the lab to its end."""
    command = [sys.executable, "-m", "fleetlab", *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120, check=False)


def play_with_bug(bug: str, folder: Path) -> tuple[int, dict[str, Any]]:
    """Run the scripted relay's scenario with a bug, '' for none; return exit code and result."""
    path = folder / f"day-{bug}.toml"
    path.write_text(f'bug = "{bug}"\n' + PLAIN_SCENARIO.read_text())
    process = run_lab("run", str(path), "--out", str(folder / f"run-{bug}"), "--json")
    assert process.stdout, process.stderr
    return process.returncode, json.loads(process.stdout)


@pytest.fixture(scope="module")
def runs_by_bug(tmp_path_factory: pytest.TempPathFactory) -> dict[str, tuple[int, dict[str, Any], Path]]:
    """Exit code, result and folder of the scripted relay's run, by bug or '' for none; four labs at once."""
    folder = tmp_path_factory.mktemp("days")
    with ThreadPoolExecutor(4) as pool:
        results = pool.map(lambda bug: play_with_bug(bug, folder), ("", *BUGS))
    return {bug: (*result, folder / f"run-{bug}") for bug, result in zip(("", *BUGS), results, strict=True)}


RunsByBug = dict[str, tuple[int, dict[str, Any], Path]]


def test_every_bug_of_the_plain_relay_has_its_checker() -> None:
    """A bug without a check that has to find it would test nothing."""
    assert set(CHECK_BY_BUG) == set(BUGS)


@pytest.mark.parametrize("bug", BUGS)
def test_a_planted_bug_is_found(runs_by_bug: RunsByBug, bug: str) -> None:
    """The check for the bug fails with a finding, and the exit code is 1."""
    code, result, _ = runs_by_bug[bug]
    assert not result["checks"][CHECK_BY_BUG[bug]]["ok"]
    assert result["checks"][CHECK_BY_BUG[bug]]["first"]
    assert code == 1


def test_the_lab_is_calibrated(runs_by_bug: RunsByBug) -> None:
    """With the relay without bugs every check holds, and its own counts agree with those of the history."""
    code, result, folder = runs_by_bug[""]
    assert code == 0, result["checks"]
    relay_counts = [json.loads(path.read_text()) for path in folder.glob("processes/*/state/counts.json")]
    assert len(relay_counts) == 2
    counts = result["counts"]
    assert sum(item["taken"] for item in relay_counts) == counts["taken"]
    assert sum(item["delivered"] for item in relay_counts) == counts["delivered"]
    # The relay counts a call whose connection is refused; no endpoint sees it.
    assert (
        counts["calls"] <= sum(item["calls"] for item in relay_counts) <= counts["calls"] + counts["failed"]
    )
    assert counts["lost"] == counts["late"] == counts["twice"] == 0


def test_a_history_is_judged_again_alike(runs_by_bug: RunsByBug) -> None:
    """``fleetlab check`` gives the same result from the history file alone."""
    _, result, folder = runs_by_bug["forget"]
    process = run_lab("check", str(folder), "--json")
    assert process.returncode == 1
    assert json.loads(process.stdout) == result


def clean_history(runs_by_bug: RunsByBug) -> list[records.AnyRecord]:
    """The records of the run without a bug."""
    return list(records.read_history(runs_by_bug[""][2] / "history.jsonl"))


def with_fields(record: Any, **fields: Any) -> Any:
    """A copy of a record with some fields changed."""
    return msgspec.structs.replace(record, **fields)


def first_delivery_index(history: list[records.AnyRecord]) -> int:
    """The index of the first delivery."""
    return next(
        index for index, item in enumerate(history) if isinstance(item, records.Reply) and item.status == 200
    )


def drop_first_delivery(history: list[records.AnyRecord]) -> None:
    history.pop(first_delivery_index(history))


def deliver_late(history: list[records.AnyRecord]) -> None:
    index = first_delivery_index(history)
    reply = history[index]
    assert isinstance(reply, records.Reply)
    history[index] = with_fields(reply, t=reply.t + 3.0)


def repeat_unsafe_call(history: list[records.AnyRecord]) -> None:
    unsafe = {item.ref for item in history if isinstance(item, records.Handed) and item.cls == "fee-payment"}
    call = next(item for item in history if isinstance(item, records.Call) and set(item.refs) <= unsafe)
    history.insert(len(history) - 3, with_fields(call, t=call.t + 1.0, begun=call.begun + 1.0))


def take_effect_twice(history: list[records.AnyRecord]) -> None:
    ran = next(item for item in history if isinstance(item, records.Ran))
    history.insert(len(history) - 3, with_fields(ran, t=ran.t + 1.0))


def call_twice_at_once(history: list[records.AnyRecord]) -> None:
    index = next(index for index, item in enumerate(history) if isinstance(item, records.Call))
    call = history[index]
    history.insert(index + 1, with_fields(call, conn="r0:1"))


def notify_during_call(history: list[records.AnyRecord]) -> None:
    index = next(
        index for index, item in enumerate(history) if isinstance(item, records.Call) and item.t > 0.5
    )
    call = history[index]
    assert isinstance(call, records.Call)
    replies = [(index, item) for index, item in enumerate(history) if isinstance(item, records.Reply)]
    reply_index = next(index for index, item in replies if item.conn == call.conn and item.t > call.t)
    history[reply_index] = with_fields(history[reply_index], t=call.t + 0.2)
    history.insert(index + 1, records.Noticed(call.t + 0.1, call.relay, call.refs[0], "bounced"))


def call_other_destination(history: list[records.AnyRecord]) -> None:
    index = next(index for index, item in enumerate(history) if isinstance(item, records.Call))
    call = history[index]
    assert isinstance(call, records.Call)
    history[index] = with_fields(call, host="d2e0" if call.host.startswith("d1") else "d1e0")


def state_unheeded_wait(history: list[records.AnyRecord]) -> None:
    index = first_delivery_index(history)
    history[index] = with_fields(history[index], wait_ms=4000)


def collapse_cold_endpoint(history: list[records.AnyRecord]) -> None:
    head = history[0]
    assert isinstance(head, records.Head)
    calls = [item for item in history if isinstance(item, records.Call) and item.host == "d2e0"]
    history += [
        records.Partner(calls[0].t, "d2e0", "down"),
        records.Partner(calls[-1].t, "d2e0", "fallen"),
    ]


def crash_relay(history: list[records.AnyRecord]) -> None:
    history.append(records.Process(3.0, "r0", 1, "exit", -11, asked=False))


def close_unanswered(history: list[records.AnyRecord]) -> None:
    index = next(
        index for index, item in enumerate(history) if isinstance(item, records.Heard) and item.t > 1
    )
    history[index] = with_fields(history[index], answer="closed")


def call_drained_endpoint(history: list[records.AnyRecord]) -> None:
    index = next(index for index, item in enumerate(history) if isinstance(item, records.Call) and item.t > 0)
    call = history[index]
    assert isinstance(call, records.Call)
    told_s, hosts = call.t - 9.0, {call.host: "DRAINING"}
    history.insert(1, records.Told(told_s, call.relay, 2, hosts))
    history.insert(1, records.Changed(told_s, 2, hosts))


def exceed_attempts(history: list[records.AnyRecord]) -> None:
    index = next(index for index, item in enumerate(history) if isinstance(item, records.Call))
    history[index + 1 : index + 1] = [with_fields(history[index], conn=f"r0:{number}") for number in range(9)]


def restart_slowly(history: list[records.AnyRecord]) -> None:
    history += [
        records.Process(-4.0, "r0", 1, "exit", -9),
        records.Process(-3.5, "r0", 2, "start"),
        records.Process(7.0, "r0", 2, "ready"),
    ]


def take_out_first_message(history: list[records.AnyRecord]) -> records.Handed:
    """Remove all records of the message that was handed in first, and return how it was handed in."""
    handed = next(item for item in history if isinstance(item, records.Handed))
    history[:] = [
        item for item in history if handed.ref not in getattr(item, "refs", [getattr(item, "ref", "")])
    ]
    return handed


def is_notice_late(
    history: list[records.AnyRecord],
    handed: records.Handed,
    disturbances: list[records.AnyRecord],
    after_s: float,
) -> bool:
    """Return whether ``in_time`` objects to a notice that comes ``after_s`` behind a message's deadline."""
    acceptance = records.Heard(handed.t + 0.01, handed.ref, "ok")
    notice = records.Noticed(handed.t + handed.left_s + after_s, handed.relay, handed.ref, "bounced")
    found = run_checkers(Run([*history, handed, acceptance, *disturbances, notice]))["in_time"]
    return any(handed.ref in finding.text for finding in found)


@pytest.mark.parametrize("terminated_s", [None, 0.2, 0.4], ids=["unasked", "before", "after"])
def test_no_end_is_overdue_from_sigterm_until_the_relay_is_ready_again(
    runs_by_bug: RunsByBug, terminated_s: float | None
) -> None:
    """Guards against a restart that counts from the process's end only, while its relay was already ending.

    The message is due 0.3 s after its time; its relay ends 0.6 s after it, and is ready 2 s after it.
    """
    history = clean_history(runs_by_bug)
    handed = take_out_first_message(history)
    deadline_s, name = handed.t + handed.left_s, handed.relay
    restart: list[records.AnyRecord] = [
        records.Process(deadline_s + 0.6, name, 1, "exit", -9),
        records.Process(deadline_s + 1.8, name, 2, "start"),
        records.Process(deadline_s + 2.0, name, 2, "ready"),
    ]
    if terminated_s is not None:
        restart.insert(0, records.Process(deadline_s + terminated_s, name, 1, "terminate"))

    late_at_3_4 = is_notice_late(history, handed, restart, 3.4)
    assert late_at_3_4 == (terminated_s != 0.2), "only a SIGTERM before the message is due excuses it"
    late_at_3_6 = is_notice_late(history, handed, restart, 3.6)
    assert late_at_3_6, "1.5 s after the relay is ready it is overdue in any case"


def give_up_untried(history: list[records.AnyRecord]) -> None:
    """A relay restarts before it has tried the first message, and bounces it as soon as it is ready."""
    handed = take_out_first_message(history)
    t = handed.t
    history += [
        handed,
        records.Heard(t + 0.01, handed.ref, "ok"),
        records.Process(t + 0.1, handed.relay, 1, "exit", -9),
        records.Process(t + 0.2, handed.relay, 2, "start"),
        records.Process(t + 0.4, handed.relay, 2, "ready"),
        records.Noticed(t + 0.5, handed.relay, handed.ref, "bounced"),
    ]


def add_member(history: list[records.AnyRecord], name: str, *alive_names: str) -> None:
    """Add a member that has long been up and regards these members as alive."""
    history += [records.Process(-40.0, name, 1, event) for event in ("start", "ready")]
    history += [records.Viewed(-39.0, name, 1, other, "alive") for other in alive_names]


def let_views_disagree(history: list[records.AnyRecord]) -> None:
    add_member(history, "p0", "p1")
    add_member(history, "p1")


def report_false_failure(history: list[records.AnyRecord]) -> None:
    """A member regards another as failed, then as alive again, so that the views agree in the end."""
    add_member(history, "p0", "p1")
    add_member(history, "p1", "p0")
    history += [
        records.Viewed(2.0, "p0", 1, "p1", "suspect", "p0"),
        records.Viewed(3.0, "p0", 1, "p1", "failed", "p0"),
        records.Viewed(4.0, "p0", 1, "p1", "alive"),
    ]


def leave_call_open(history: list[records.AnyRecord]) -> None:
    """The relay's network side counts one call in progress more than its decision module."""
    history.append(records.Measured(9.0, "r0", {"calls.network": 2.0, "calls.module": 1.0}))


def close_unanswered_while_terminating(history: list[records.AnyRecord]) -> None:
    """A relay that is terminated closes a connection 0.2 s after a request came on it, without an answer."""
    handed = next(item for item in history if isinstance(item, records.Handed))
    index = next(
        index
        for index, item in enumerate(history)
        if isinstance(item, records.Heard) and item.ref == handed.ref
    )
    history[index] = records.Heard(handed.t + 0.2, handed.ref, "closed")
    history.insert(index, records.Fault(handed.t - 0.1, 99, "terminate", "begin", [handed.relay]))


def act_with_old_token(history: list[records.AnyRecord]) -> None:
    for t, holder, token in ((1.0, "h0", 1), (2.0, "h1", 2), (2.1, "h0", 1)):
        history.append(records.Acted(t, "unfenced", "sweep", holder, token, True))


TAMPER_BY_CHECK: dict[str, Callable[[list[records.AnyRecord]], None]] = {
    "views_agree": let_views_disagree, "no_false_failure": report_false_failure,
    "one_actor": act_with_old_token, "ready_soon": restart_slowly, "untried_kept": give_up_untried,
    "ended_once": drop_first_delivery, "in_time": deliver_late, "no_repeat": repeat_unsafe_call,
    "effect_once": take_effect_twice, "one_out": call_twice_at_once,
    "none_out_past_end": notify_during_call, "own_destination": call_other_destination,
    "waits_kept": state_unheeded_wait, "cold_spared": collapse_cold_endpoint,
    "served_to_the_end": close_unanswered_while_terminating, "calls_let_go": leave_call_open,
    "no_crash": crash_relay, "answered": close_unanswered, "drained": call_drained_endpoint,
    "few_attempts": exceed_attempts,
}  # fmt: skip


@pytest.mark.parametrize("name", CHECKERS)
def test_a_tampered_history_is_found(runs_by_bug: RunsByBug, name: str) -> None:
    """Each check holds for the clean history, and fails once a few records are changed, added or dropped."""
    records_of_run = clean_history(runs_by_bug)
    assert not run_checkers(Run(records_of_run))[name]
    TAMPER_BY_CHECK[name](records_of_run)
    assert run_checkers(Run(records_of_run))[name]


def test_records_from_before_the_load_have_negative_times(runs_by_bug: RunsByBug) -> None:
    """A start at a time within the load would look like a restart, and excuse what no restart caused."""
    history = clean_history(runs_by_bug)
    load_index = next(index for index, item in enumerate(history) if isinstance(item, records.Phase))
    early_records = history[1:load_index]
    assert {"start", "ready"} <= {item.event for item in early_records if isinstance(item, records.Process)}
    assert all(item.t < 0 for item in early_records)


def test_an_old_update_that_counts_as_told_does_not_undo_a_newer_one(runs_by_bug: RunsByBug) -> None:
    """Both the drain and its end were told at once. The drain counting as told 6 s later changes nothing."""
    history = clean_history(runs_by_bug)
    call = next(item for item in history if isinstance(item, records.Call) and item.t > 2.5)
    # By its own time the drain would count as told 2.5 s before the call.
    drain_s, drain_end_s = call.t - 8.5, call.t - 3.5
    for t, seq, health in ((drain_end_s, 3, "SERVING"), (drain_s, 2, "DRAINING")):
        history.insert(1, records.Told(t, call.relay, seq, {call.host: health}))
        history.insert(1, records.Changed(t, seq, {call.host: health}))
    assert not [found for found in run_checkers(Run(history))["drained"] if call.refs[0] in found.text]


def test_an_answer_may_cross_the_timeout_of_its_call(runs_by_bug: RunsByBug) -> None:
    """A notice after a delivery is a second end, unless the answer came as the call's time limit expired."""
    history = clean_history(runs_by_bug)
    index = next(
        index for index, item in enumerate(history) if isinstance(item, records.Reply) and item.t > 1.5
    )
    reply = history[index]
    assert isinstance(reply, records.Reply)
    history.insert(index + 1, records.Noticed(reply.t + 0.001, reply.relay, reply.refs[0], "dead"))
    assert run_checkers(Run(history))["ended_once"]
    for call in [item for item in history if isinstance(item, records.Call) and item.refs == reply.refs]:
        history[history.index(call)] = with_fields(call, limit_s=reply.t - call.t)
    assert not run_checkers(Run(history))["ended_once"]


def test_a_call_that_arrives_after_its_connection_ended_is_not_concurrent(runs_by_bug: RunsByBug) -> None:
    """A cut may delay it past its repeat. On a connection that is still open the same call is a finding."""
    history = clean_history(runs_by_bug)
    index = next(
        index for index, item in enumerate(history) if isinstance(item, records.Reply) and item.t > 1.5
    )
    reply = history[index]
    assert isinstance(reply, records.Reply)
    calls = [item for item in history[:index] if isinstance(item, records.Call) and item.refs == reply.refs]
    call = calls[-1]
    late_call = msgspec.structs.replace(call, conn=f"{call.relay}:late", t=call.t + 0.0001)
    connection_open = [*history[:index], late_call, *history[index:]]
    assert run_checkers(Run(connection_open))["one_out"]
    connection_ended = [
        *history[:index],
        records.Gone(call.t - 0.1, late_call.conn),
        late_call,
        *history[index:],
    ]
    assert not run_checkers(Run(connection_ended))["one_out"]


def test_an_answer_may_be_lost_with_its_endpoint(runs_by_bug: RunsByBug) -> None:
    """Its relay sees a reset instead of the answer. Without the outage the relay's notice is a second end."""
    history = clean_history(runs_by_bug)
    index = next(
        index for index, item in enumerate(history) if isinstance(item, records.Reply) and item.t > 1.5
    )
    reply = history[index]
    assert isinstance(reply, records.Reply)
    history.insert(index + 1, records.Noticed(reply.t + 0.02, reply.relay, reply.refs[0], "bounced"))
    assert run_checkers(Run(history))["ended_once"]
    history.insert(index + 1, records.Partner(reply.t + 0.01, reply.host, "down"))
    assert not run_checkers(Run(history))["ended_once"]


def test_a_process_that_is_replaced_is_one_life(runs_by_bug: RunsByBug) -> None:
    """An exit after the next process is ready is a replacement; it is no restart and excuses nothing."""
    history = clean_history(runs_by_bug)
    load_index = next(index for index, item in enumerate(history) if isinstance(item, records.Phase))
    history[load_index + 1 : load_index + 1] = [
        records.Process(1.0, "r0", 2, "start"),
        records.Process(1.3, "r0", 2, "ready"),
        records.Process(1.4, "r0", 1, "exit"),
    ]
    run = Run(history)
    assert len(run.lives["r0"]) == 1
    assert run.replacement_times["r0"] == [1.0]
    assert run.restart_ready_s("r0", 1.4) is None


def test_an_end_may_be_delayed_by_two_restarts_in_a_row_and_by_a_cut_within_them(
    runs_by_bug: RunsByBug,
) -> None:
    """A notice is overdue 1.5 s after the relay is ready, and can reach the platform, for good."""
    history = clean_history(runs_by_bug)
    handed = take_out_first_message(history)
    due_s = handed.t + handed.left_s
    name = handed.relay
    restarts: list[records.AnyRecord] = [
        records.Process(due_s - 2.0, name, 1, "exit", -9),
        records.Process(due_s - 1.0, name, 2, "start"),
        records.Process(due_s - 0.5, name, 2, "ready"),
        records.Process(due_s - 0.4, name, 2, "exit", -9),
        records.Process(due_s + 2.0, name, 3, "start"),
        records.Process(due_s + 2.3, name, 3, "ready"),
    ]
    cut: list[records.AnyRecord] = [
        records.Fault(due_s + 2.2, 98, "cut", "begin", [name], to=["platform"]),
        records.Fault(due_s + 3.5, 98, "cut", "end", [name], to=["platform"]),
    ]
    assert not is_notice_late(history, handed, restarts, 3.7)
    assert is_notice_late(history, handed, restarts, 3.9)
    assert not is_notice_late(history, handed, [*restarts, *cut], 4.9)
    assert is_notice_late(history, handed, [*restarts, *cut], 5.1)
    assert is_notice_late(history, handed, cut, 3.7)


@pytest.mark.parametrize(("lag_s", "found"), [(0.04, True), (0.06, False)])
def test_a_request_may_cross_the_end_of_its_connection_for_longer_when_the_lab_is_late(
    runs_by_bug: RunsByBug, lag_s: float, found: bool
) -> None:
    """Request and end both pass through the lab, so that twice the lab's lag is allowed, and no more."""
    history = clean_history(runs_by_bug)
    close_unanswered_while_terminating(history)
    handed = next(item for item in history if isinstance(item, records.Handed))
    history.append(records.Lag(handed.t + 0.1, lag_s))
    assert bool(run_checkers(Run(history))["served_to_the_end"]) is found


def test_a_late_lab_is_invalid_not_failed(runs_by_bug: RunsByBug) -> None:
    """A run is invalid when the lab was so late that it may itself have caused findings."""
    history = clean_history(runs_by_bug)
    history.append(records.Lag(2.0, 0.4))
    result, _ = judge_run(Run(history), "plain")
    assert result.ok
    assert not result.valid


def test_a_truncated_history_is_an_error_with_its_line(tmp_path: Path) -> None:
    """The error names the file and the line number; a history without its head is an error too."""
    path = tmp_path / "history.jsonl"
    path.write_text('{"what":"phase","t":0.0,"name":"load"}\n{"what":"pha')
    with pytest.raises(records.HistoryError, match=r"history.jsonl:2: "):
        list(records.read_history(path))
    with pytest.raises(records.HistoryError, match="begins with its head"):
        Run(iter([records.Phase(0.0, "load")]))
