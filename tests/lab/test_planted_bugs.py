"""Every checker finds what is planted for it, in a relay or in a history, and nothing in a clean run."""

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

PLAIN = Path(__file__).with_name("plain.toml")
FOUND_BY = {
    "forget": "ended_once", "late": "in_time", "two-out": "one_out", "repeat": "no_repeat",
    "many": "few_attempts", "wrong-destination": "own_destination", "ignore-drain": "drained",
    "ignore-wait": "waits_kept", "silent": "answered", "crash": "no_crash", "two-ends": "ended_once",
    "invent": "own_destination", "hammer": "few_attempts", "deaf": "drained",
}  # fmt: skip


def lab(*arguments: str) -> subprocess.CompletedProcess[str]:
    """A command of the lab."""
    command = [sys.executable, "-m", "fleetlab", *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120, check=False)


def played(bug: str, folder: Path) -> tuple[int, dict[str, Any]]:
    """Exit code and result of the plain relay's day with a bug."""
    path = folder / f"day-{bug}.toml"
    path.write_text(f'bug = "{bug}"\n' + PLAIN.read_text())
    ended = lab("run", str(path), "--out", str(folder / f"run-{bug}"), "--json")
    assert ended.stdout, ended.stderr
    return ended.returncode, json.loads(ended.stdout)


@pytest.fixture(scope="module")
def days(tmp_path_factory: pytest.TempPathFactory) -> dict[str, tuple[int, dict[str, Any], Path]]:
    """The plain relay's day without a bug and with each, by bug; four labs run at once."""
    folder = tmp_path_factory.mktemp("days")
    with ThreadPoolExecutor(4) as pool:
        results = pool.map(lambda bug: played(bug, folder), ("", *BUGS))
    return {bug: (*result, folder / f"run-{bug}") for bug, result in zip(("", *BUGS), results, strict=True)}


Days = dict[str, tuple[int, dict[str, Any], Path]]


def test_every_bug_of_the_plain_relay_has_its_checker() -> None:
    """A bug that nothing is said to find would be no proof."""
    assert set(FOUND_BY) == set(BUGS)


@pytest.mark.parametrize("bug", BUGS)
def test_a_planted_bug_is_found(days: Days, bug: str) -> None:
    """By the checker that it is planted for, with exit code 1."""
    code, result, _ = days[bug]
    assert not result["checks"][FOUND_BY[bug]]["ok"]
    assert result["checks"][FOUND_BY[bug]]["first"]
    assert code == 1


def test_the_lab_is_calibrated(days: Days) -> None:
    """With a relay that does no more than it says every checker holds, and counts agree to the message."""
    code, result, folder = days[""]
    assert code == 0, result["checks"]
    own = [json.loads(path.read_text()) for path in folder.glob("processes/*/state/counts.json")]
    assert len(own) == 2
    counts = result["counts"]
    assert sum(item["taken"] for item in own) == counts["taken"]
    assert sum(item["delivered"] for item in own) == counts["delivered"]
    # A call whose connection is refused is made by the relay and seen by no endpoint.
    assert counts["calls"] <= sum(item["calls"] for item in own) <= counts["calls"] + counts["failed"]
    assert counts["lost"] == counts["late"] == counts["twice"] == 0


def test_a_history_is_judged_again_alike(days: Days) -> None:
    """From its file alone."""
    _, result, folder = days["forget"]
    again = lab("check", str(folder), "--json")
    assert again.returncode == 1
    assert json.loads(again.stdout) == result


def history(days: Days) -> list[records.AnyRecord]:
    """The clean day's records."""
    return list(records.read_history(days[""][2] / "history.jsonl"))


def changed(record: Any, **fields: Any) -> Any:
    """A record with some fields changed."""
    return msgspec.structs.replace(record, **fields)


def first_end(some: list[records.AnyRecord]) -> int:
    """Where the first delivery stands."""
    return next(at for at, item in enumerate(some) if isinstance(item, records.Reply) and item.status == 200)


def lose(some: list[records.AnyRecord]) -> None:
    some.pop(first_end(some))


def end_late(some: list[records.AnyRecord]) -> None:
    at = first_end(some)
    reply = some[at]
    assert isinstance(reply, records.Reply)
    some[at] = changed(reply, t=reply.t + 3.0)


def repeat(some: list[records.AnyRecord]) -> None:
    unsafe = {item.ref for item in some if isinstance(item, records.Handed) and item.cls == "fee-payment"}
    call = next(item for item in some if isinstance(item, records.Call) and set(item.refs) <= unsafe)
    some.insert(len(some) - 3, changed(call, t=call.t + 1.0, begun=call.begun + 1.0))


def run_twice(some: list[records.AnyRecord]) -> None:
    ran = next(item for item in some if isinstance(item, records.Ran))
    some.insert(len(some) - 3, changed(ran, t=ran.t + 1.0))


def overlap(some: list[records.AnyRecord]) -> None:
    at = next(at for at, item in enumerate(some) if isinstance(item, records.Call))
    call = some[at]
    some.insert(at + 1, changed(call, conn="r0:1"))


def end_while_out(some: list[records.AnyRecord]) -> None:
    at = next(at for at, item in enumerate(some) if isinstance(item, records.Call) and item.t > 0.5)
    call = some[at]
    assert isinstance(call, records.Call)
    replies = [(at, item) for at, item in enumerate(some) if isinstance(item, records.Reply)]
    gone = next(at for at, item in replies if item.conn == call.conn and item.t > call.t)
    some[gone] = changed(some[gone], t=call.t + 0.2)
    some.insert(at + 1, records.Noticed(call.t + 0.1, call.relay, call.refs[0], "bounced"))


def send_astray(some: list[records.AnyRecord]) -> None:
    at = next(at for at, item in enumerate(some) if isinstance(item, records.Call))
    call = some[at]
    assert isinstance(call, records.Call)
    some[at] = changed(call, host="d2e0" if call.host.startswith("d1") else "d1e0")


def hurry(some: list[records.AnyRecord]) -> None:
    at = first_end(some)
    some[at] = changed(some[at], wait_ms=4000)


def push_over(some: list[records.AnyRecord]) -> None:
    head = some[0]
    assert isinstance(head, records.Head)
    calls = [item for item in some if isinstance(item, records.Call) and item.host == "d2e0"]
    some += [
        records.Partner(calls[0].t, "d2e0", "down"),
        records.Partner(calls[-1].t, "d2e0", "fallen"),
    ]


def crash(some: list[records.AnyRecord]) -> None:
    some.append(records.Process(3.0, "r0", 1, "exit", -11, asked=False))


def leave_unanswered(some: list[records.AnyRecord]) -> None:
    at = next(at for at, item in enumerate(some) if isinstance(item, records.Heard) and item.t > 1)
    some[at] = changed(some[at], answer="closed")


def drain_early(some: list[records.AnyRecord]) -> None:
    at = next(at for at, item in enumerate(some) if isinstance(item, records.Call) and item.t > 0)
    call = some[at]
    assert isinstance(call, records.Call)
    told_s, hosts = call.t - 9.0, {call.host: "DRAINING"}
    some.insert(1, records.Told(told_s, call.relay, 2, hosts))
    some.insert(1, records.Changed(told_s, 2, hosts))


def call_often(some: list[records.AnyRecord]) -> None:
    at = next(at for at, item in enumerate(some) if isinstance(item, records.Call))
    some[at + 1 : at + 1] = [changed(some[at], conn=f"r0:{number}") for number in range(9)]


def come_up_late(some: list[records.AnyRecord]) -> None:
    some += [
        records.Process(-4.0, "r0", 1, "exit", -9),
        records.Process(-3.5, "r0", 2, "start"),
        records.Process(7.0, "r0", 2, "ready"),
    ]


def give_up_untried(some: list[records.AnyRecord]) -> None:
    """A restart finds the first message that was handed in untried, and ends it as soon as it is up."""
    handed = next(item for item in some if isinstance(item, records.Handed))
    some[:] = [item for item in some if handed.ref not in getattr(item, "refs", [getattr(item, "ref", "")])]
    t = handed.t
    some += [
        handed,
        records.Heard(t + 0.01, handed.ref, "ok"),
        records.Process(t + 0.1, handed.relay, 1, "exit", -9),
        records.Process(t + 0.2, handed.relay, 2, "start"),
        records.Process(t + 0.4, handed.relay, 2, "ready"),
        records.Noticed(t + 0.5, handed.relay, handed.ref, "bounced"),
    ]


def member(some: list[records.AnyRecord], name: str, *holds: str) -> None:
    """A member that has been up for long and holds these as alive."""
    some += [records.Process(-40.0, name, 1, event) for event in ("start", "ready")]
    some += [records.Viewed(-39.0, name, 1, other, "alive") for other in holds]


def disagree(some: list[records.AnyRecord]) -> None:
    member(some, "p0", "p1")
    member(some, "p1")


def declare_failed(some: list[records.AnyRecord]) -> None:
    """And find together again, so that the views agree in the end."""
    member(some, "p0", "p1")
    member(some, "p1", "p0")
    some += [
        records.Viewed(2.0, "p0", 1, "p1", "suspect", "p0"),
        records.Viewed(3.0, "p0", 1, "p1", "failed", "p0"),
        records.Viewed(4.0, "p0", 1, "p1", "alive"),
    ]


def hold_a_call(some: list[records.AnyRecord]) -> None:
    """A relay counts a call as out that its decisions do not know."""
    some.append(records.Measured(9.0, "r0", {"calls.network": 2.0, "calls.module": 1.0}))


def leave_unanswered_while_it_ends(some: list[records.AnyRecord]) -> None:
    """A relay that is told to end closes a connection long after a request came on it."""
    handed = next(item for item in some if isinstance(item, records.Handed))
    at = next(
        at for at, item in enumerate(some) if isinstance(item, records.Heard) and item.ref == handed.ref
    )
    some[at] = records.Heard(handed.t + 0.2, handed.ref, "closed")
    some.insert(at, records.Fault(handed.t - 0.1, 99, "terminate", "begin", [handed.relay]))


def act_late(some: list[records.AnyRecord]) -> None:
    for t, holder, token in ((1.0, "h0", 1), (2.0, "h1", 2), (2.1, "h0", 1)):
        some.append(records.Acted(t, "unfenced", "sweep", holder, token, True))


SPOILT: dict[str, Callable[[list[records.AnyRecord]], None]] = {
    "views_agree": disagree, "no_false_failure": declare_failed,
    "one_actor": act_late, "ready_soon": come_up_late, "untried_kept": give_up_untried,
    "ended_once": lose, "in_time": end_late, "no_repeat": repeat, "effect_once": run_twice,
    "one_out": overlap, "none_out_past_end": end_while_out,
    "own_destination": send_astray, "waits_kept": hurry, "cold_spared": push_over,
    "served_to_the_end": leave_unanswered_while_it_ends, "calls_let_go": hold_a_call,
    "no_crash": crash, "answered": leave_unanswered, "drained": drain_early, "few_attempts": call_often,
}  # fmt: skip


@pytest.mark.parametrize("name", CHECKERS)
def test_a_spoilt_history_is_found(days: Days, name: str) -> None:
    """Each checker fails on a clean history with one line changed or added, and holds without it."""
    clean = history(days)
    assert not run_checkers(Run(clean))[name]
    SPOILT[name](clean)
    assert run_checkers(Run(clean))[name]


def test_what_came_before_the_load_stands_before_it(days: Days) -> None:
    """A start that seems to lie within the load would be taken for a restart, and excuse what is none."""
    some = history(days)
    load = next(at for at, item in enumerate(some) if isinstance(item, records.Phase))
    early = some[1:load]
    assert {"start", "ready"} <= {item.event for item in early if isinstance(item, records.Process)}
    assert all(item.t < 0 for item in early)


def test_old_news_that_counts_as_told_undoes_no_later_news(days: Days) -> None:
    """A drain and its end were told at once: six seconds after the drain nothing new is learnt of it."""
    some = history(days)
    call = next(item for item in some if isinstance(item, records.Call) and item.t > 2.5)
    began, ended = call.t - 8.5, call.t - 3.5  # the drain would count as told 2.5 s before the call
    for t, seq, health in ((ended, 3, "SERVING"), (began, 2, "DRAINING")):
        some.insert(1, records.Told(t, call.relay, seq, {call.host: health}))
        some.insert(1, records.Changed(t, seq, {call.host: health}))
    assert not [found for found in run_checkers(Run(some))["drained"] if call.refs[0] in found.text]


def test_an_answer_may_cross_the_giving_up_of_its_call(days: Days) -> None:
    """A notice beside a delivery is one end too many, unless the answer came as the call's time was up."""
    some = history(days)
    at = next(at for at, item in enumerate(some) if isinstance(item, records.Reply) and item.t > 1.5)
    reply = some[at]
    assert isinstance(reply, records.Reply)
    some.insert(at + 1, records.Noticed(reply.t + 0.001, reply.relay, reply.refs[0], "dead"))
    assert run_checkers(Run(some))["ended_once"]
    for call in [item for item in some if isinstance(item, records.Call) and item.refs == reply.refs]:
        some[some.index(call)] = changed(call, limit_s=reply.t - call.t)
    assert not run_checkers(Run(some))["ended_once"]


def test_a_call_that_arrives_after_its_connection_was_ended_is_out_beside_none(days: Days) -> None:
    """A cut may hold it back past its repeat; on a connection that is open the same is found."""
    some = history(days)
    at = next(at for at, item in enumerate(some) if isinstance(item, records.Reply) and item.t > 1.5)
    reply = some[at]
    assert isinstance(reply, records.Reply)
    calls = [item for item in some[:at] if isinstance(item, records.Call) and item.refs == reply.refs]
    call = calls[-1]
    late = msgspec.structs.replace(call, conn=f"{call.relay}:late", t=call.t + 0.0001)
    open_too = [*some[:at], late, *some[at:]]
    assert run_checkers(Run(open_too))["one_out"]
    ended = [*some[:at], records.Gone(call.t - 0.1, late.conn), late, *some[at:]]
    assert not run_checkers(Run(ended))["one_out"]


def test_an_answer_may_go_with_its_endpoint(days: Days) -> None:
    """Its relay sees a reset in its place; a notice without one is an end too many."""
    some = history(days)
    at = next(at for at, item in enumerate(some) if isinstance(item, records.Reply) and item.t > 1.5)
    reply = some[at]
    assert isinstance(reply, records.Reply)
    some.insert(at + 1, records.Noticed(reply.t + 0.02, reply.relay, reply.refs[0], "bounced"))
    assert run_checkers(Run(some))["ended_once"]
    some.insert(at + 1, records.Partner(reply.t + 0.01, reply.host, "down"))
    assert not run_checkers(Run(some))["ended_once"]


def test_a_process_that_is_replaced_is_one_life(days: Days) -> None:
    """Its end, behind the next one's start, is no restart, and excuses nothing."""
    some = history(days)
    load = next(at for at, item in enumerate(some) if isinstance(item, records.Phase))
    some[load + 1 : load + 1] = [
        records.Process(1.0, "r0", 2, "start"),
        records.Process(1.3, "r0", 2, "ready"),
        records.Process(1.4, "r0", 1, "exit"),
    ]
    run = Run(some)
    assert len(run.lives["r0"]) == 1
    assert run.replacement_times["r0"] == [1.0]
    assert run.restart_ready_s("r0", 1.4) is None


def test_an_end_may_be_put_off_by_a_restart_behind_a_restart_and_by_a_cut_within_it(days: Days) -> None:
    """No notice is overdue until 1.5 s after the relay is ready, or its platform reached, for good."""
    some = history(days)
    handed = next(item for item in some if isinstance(item, records.Handed))
    some[:] = [item for item in some if handed.ref not in getattr(item, "refs", [getattr(item, "ref", "")])]
    due = handed.t + handed.left_s
    name = handed.relay
    restarts: list[records.AnyRecord] = [
        records.Process(due - 2.0, name, 1, "exit", -9),
        records.Process(due - 1.0, name, 2, "start"),
        records.Process(due - 0.5, name, 2, "ready"),
        records.Process(due - 0.4, name, 2, "exit", -9),
        records.Process(due + 2.0, name, 3, "start"),
        records.Process(due + 2.3, name, 3, "ready"),
    ]
    cut: list[records.AnyRecord] = [
        records.Fault(due + 2.2, 98, "cut", "begin", [name], to=["platform"]),
        records.Fault(due + 3.5, 98, "cut", "end", [name], to=["platform"]),
    ]
    taken: list[records.AnyRecord] = [handed, records.Heard(handed.t + 0.01, handed.ref, "ok")]

    def late(faults: list[records.AnyRecord], after_s: float) -> bool:
        ended = records.Noticed(due + after_s, name, handed.ref, "bounced")
        found = run_checkers(Run([*some, *taken, *faults, ended]))["in_time"]
        return any(handed.ref in finding.text for finding in found)

    assert not late([*restarts], 3.7)
    assert late([*restarts], 3.9)
    assert not late([*restarts, *cut], 4.9)
    assert late([*restarts, *cut], 5.1)
    assert late([*cut], 3.7)


@pytest.mark.parametrize(("lag_s", "found"), [(0.04, True), (0.06, False)])
def test_a_request_crosses_the_end_of_its_connection_for_longer_in_a_late_lab(
    days: Days, lag_s: float, found: bool
) -> None:
    """Each of the two passes the lab: it may be late by its lag twice, and by no more."""
    some = history(days)
    leave_unanswered_while_it_ends(some)
    handed = next(item for item in some if isinstance(item, records.Handed))
    some.append(records.Lag(handed.t + 0.1, lag_s))
    assert bool(run_checkers(Run(some))["served_to_the_end"]) is found


def test_a_late_lab_is_invalid_not_failed(days: Days) -> None:
    """What the lab itself may have caused is not the relay's."""
    some = history(days)
    some.append(records.Lag(2.0, 0.4))
    result, _ = judge_run(Run(some), "plain")
    assert result.ok
    assert not result.valid


def test_a_history_that_breaks_off_is_told_by_line(tmp_path: Path) -> None:
    """One line with file and line number."""
    path = tmp_path / "history.jsonl"
    path.write_text('{"what":"phase","t":0.0,"name":"load"}\n{"what":"pha')
    with pytest.raises(records.HistoryError, match=r"history.jsonl:2: "):
        list(records.read_history(path))
    with pytest.raises(records.HistoryError, match="begins with its head"):
        Run(iter([records.Phase(0.0, "load")]))
