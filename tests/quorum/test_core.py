"""What the core must and must not do, step by step on a few members, with and without a planted bug."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest

from fleetlab.sim.quorum import Parts
from quorum.incarnations import Incarnation, StartupClaim
from quorum.member import Elsewhere, Member, Output, Read, Reply, Request, Response, Told, Unknown
from quorum.messages import (
    NOOP,
    AppendEntries,
    AppendResponse,
    Entry,
    Message,
    Persist,
    RequestVote,
    Send,
    VoteResponse,
)
from quorum.raft import Role, Timing
from quorum.state_machine import Acquire, Done, Expire, Open, Put, Renew, decode_command
from quorum.store import LogReplay
from tests.quorum.planted_bugs import BUGS

TIMING = Timing(min_election_us=100, max_election_us=200, heartbeat_us=20)


class Bench:
    """Members whose messages, disks and time are moved by hand."""

    def __init__(self, count: int, parts: Parts) -> None:
        self.parts, self.now_us = parts, 1_000
        self.names = tuple(f"m{number}" for number in range(count))
        self.disks: dict[str, list[Persist]] = {name: [] for name in self.names}
        self.cut: set[str] = set()  # members that nobody reaches
        self.mail: list[tuple[str, str, Message]] = []
        self.replies: dict[int, Response] = {}
        self.members: dict[str, Member] = {}
        self._tag = 0
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """A new life from the disk."""
        folded = LogReplay()
        for item in self.disks[name]:
            folded.add(item)
        self.members[name] = self.parts.member(
            name, self.names, saved=folded.saved, timing=TIMING, draw=lambda low, _: low, now_us=self.now_us,
            raft=self.parts.raft, state=self.parts.machine,
        )  # fmt: skip

    def did(self, name: str, out: list[Output]) -> None:
        """Writes are durable at once, messages wait to be passed on."""
        for item in out:
            if isinstance(item, Persist):
                self.disks[name].append(item)
        for item in out:
            if isinstance(item, Send):
                self.mail.append((name, item.to, item.message))
            elif isinstance(item, Reply):
                self.replies[item.tag] = item.response
        if writes := [item.number for item in out if isinstance(item, Persist)]:
            self.did(name, self.members[name].synced(self.now_us, writes[-1]))

    def settle(self, only: Callable[[str, str, Message], bool] = lambda *_: True) -> None:
        """Pass messages on until there are none; what may not pass is lost."""
        while self.mail:
            sender, to, message = self.mail.pop(0)
            if not {sender, to} & self.cut and only(sender, to, message):
                self.did(to, self.members[to].receive(self.now_us, sender, message))

    def wake(self, *names: str, after_us: int = 0) -> None:
        """Time passes for some."""
        self.now_us += after_us
        for name in names:
            self.did(name, self.members[name].wake(self.now_us))

    def elect(self, name: str) -> None:
        """Let a member stand, long after any leader was heard."""
        self.now_us += 1_000
        self.did(name, self.members[name].wake(self.now_us))
        self.settle()
        assert self.members[name].raft.role is Role.LEADER

    def ask(self, name: str, request: Request) -> int:
        """A request; its answer stands in ``replies`` once it comes."""
        self._tag += 1
        self.did(name, self.members[name].request(self.now_us, self._tag, request))
        return self._tag

    def done(self, name: str, request: Request) -> Response:
        """A request and its answer, with all messages passed on."""
        tag = self.ask(name, request)
        self.settle()
        return self.replies[tag]

    def session(self, name: str) -> int:
        """A session that is open."""
        answer = self.done(name, Open("test"))
        assert isinstance(answer, Done)
        return answer.session


def keeps_its_vote(parts: Parts) -> bool:
    """A member that voted, and came back, gives no second vote in that term."""
    bench = Bench(3, parts)
    ask = RequestVote(5, 0, 0)
    bench.did("m0", bench.members["m0"].receive(bench.now_us, "m1", ask))
    bench.start("m0")
    bench.mail.clear()
    bench.did("m0", bench.members["m0"].receive(bench.now_us, "m2", ask))
    votes = [message for _, _, message in bench.mail if isinstance(message, VoteResponse)]
    return [vote.granted for vote in votes] == [False]


def reads_nothing_stale(parts: Parts) -> bool:
    """A leader that was replaced without knowing it answers no read."""
    bench = Bench(3, parts)
    bench.elect("m0")
    session = bench.session("m0")
    bench.cut = {"m0"}
    bench.now_us += 150  # the others have missed the leader, which still counts on them
    bench.wake("m1")
    bench.settle()
    assert bench.members["m1"].raft.role is Role.LEADER
    assert isinstance(bench.done("m1", Put(session, 1, "a", 0, b"new")), Done)
    assert bench.members["m0"].raft.role is Role.LEADER
    tag = bench.ask("m0", Read(key="a"))
    bench.settle()
    return tag not in bench.replies or not isinstance(bench.replies[tag], Told)


def end_spares_a_renewal(parts: Parts) -> bool:
    """A lease's end that was proposed before its renewal was applied does not count."""
    bench = Bench(3, parts)
    bench.elect("m0")
    session = bench.session("m0")
    granted = bench.done("m0", Acquire(session, 1, "l", 100))
    assert isinstance(granted, Done)
    renew = bench.ask("m0", Renew(session, 2, "l", granted.token))
    end = msgspec.msgpack.encode(Expire("l", granted.token, 0))
    member = bench.members["m0"]
    member._process_actions(member.raft.propose(bench.now_us, -9, end))
    bench.did("m0", member._take_outputs())
    bench.settle()
    assert bench.replies[renew] == Done(token=granted.token)
    return "l" in bench.members["m0"].machine.state.leases


def commits_by_its_own_term(parts: Parts) -> bool:
    """Figure 8 of the paper: an older term's entry on a majority is not committed by counting."""
    bench = Bench(5, parts)
    bench.elect("m0")
    bench.cut = {"m2", "m3", "m4"}
    bench.ask("m0", Open("first"))  # comes to m1 alone
    bench.settle()
    bench.cut = {"m0", "m1"}
    bench.now_us += 1_000
    bench.wake("m4")
    bench.settle(
        lambda sender, to, message: not isinstance(message, AppendEntries)
    )  # its entry reaches nobody
    assert bench.members["m4"].raft.role is Role.LEADER
    bench.cut = {"m3", "m4"}
    for name in ("m0", "m1"):
        bench.start(name)
    bench.now_us += 1_000
    bench.wake("m0")
    # It leads again, and brings its old entry to a third member; its own term's entry comes to nobody.
    term = bench.members["m0"].raft.term
    bench.settle(lambda sender, to, message: not isinstance(message, AppendEntries) or message.term <= term)
    member = bench.members["m0"]
    if member.raft.role is not Role.LEADER:  # a later term than m4's is needed
        bench.elect("m0")
    old = [
        index for index in range(1, member.raft.log.last_index + 1)
        if member.raft.log.entry_at(index).term < member.raft.term
    ]  # fmt: skip
    return member.raft._may_commit(old[-1]) is False


def one_change_at_a_time(parts: Parts) -> bool:
    """A second change of membership is dropped while the first is not committed, and before a first entry."""
    bench = Bench(3, parts)
    bench.elect("m0")
    bench.cut = {"m1", "m2"}
    for tag, members in ((91, ("m0", "m1")), (92, ("m0", "m1", "m2"))):
        bench.did("m0", bench.members["m0"].change_members(bench.now_us, tag, members))
    return bench.replies.get(91) is None and bench.replies.get(92) == Elsewhere("m0")


def a_lone_member_deposes_nobody(parts: Parts) -> bool:
    """Pre-vote: a member that was cut off comes back without a new term, and the leader stays."""
    bench = Bench(3, parts)
    bench.elect("m0")
    term = bench.members["m0"].raft.term
    for cut in ({"m2"}, set[str]()):
        bench.cut = cut
        for _ in range(100):
            bench.wake("m0", "m1", "m2", after_us=20)
            bench.settle()
    return all((member.raft.term, member.raft.leader) == (term, "m0") for member in bench.members.values())


def said(member: Member, now_us: int, message: Message) -> list[Message]:
    """What a member says to a message while none of its writes is durable."""
    return [item.message for item in member.receive(now_us, "m0", message) if isinstance(item, Send)]


def votes_once_durable(parts: Parts) -> bool:
    """No vote leaves a member while its write is under way."""
    bench = Bench(3, parts)
    return said(bench.members["m1"], bench.now_us, RequestVote(3, 0, 0)) == []


def acknowledges_once_durable(parts: Parts) -> bool:
    """No acknowledgement either."""
    bench = Bench(3, parts)
    bench.elect("m0")
    term = bench.members["m0"].raft.term
    last = bench.members["m1"].raft.log.last_index
    append = AppendEntries(term, last, term, (Entry(term, NOOP),), 0, 9)
    return said(bench.members["m1"], bench.now_us, append) == []


def counts_its_own_copy_once_durable(parts: Parts) -> bool:
    """With one follower's copy durable and its own not, a leader of three commits nothing."""
    bench = Bench(3, parts)
    bench.elect("m0")
    member, before = bench.members["m0"], bench.members["m0"].applied
    sent = [item for item in member.request(bench.now_us, 77, Open("x")) if isinstance(item, Send)]
    for item in sent:
        if item.to == "m1":
            bench.did("m1", bench.members["m1"].receive(bench.now_us, "m0", item.message))
    for _, _, message in bench.mail:
        member.receive(bench.now_us, "m1", message)
    return member.applied == before


def old_copies_are_not_heard(parts: Parts) -> bool:
    """By what they promised, by their start, by a twin; a restart of the same folder is heard."""
    lives = parts.lives("m0", {})
    first, second = Incarnation("f", 1, "a"), Incarnation("f", 2, "b")
    lives.accept("m1", first)
    lives.record_message("m1", VoteResponse(5, True))
    lives.record_message("m1", AppendResponse(5, True, 9, 1))
    heard = [StartupClaim(5, "m0", 9), StartupClaim(5, "m0", 12), StartupClaim(6, "", 3)]
    assert all(not parts.lives("m0", {}).rejection_reason("m1", second, claim) for claim in heard)
    assert all(not lives.rejection_reason("m1", second, claim) for claim in heard)
    refused = []
    for claim in (StartupClaim(4, "", 9), StartupClaim(5, "m2", 9), StartupClaim(5, "m0", 8)):
        lives = parts.lives("m0", {"m1": first})
        lives.record_message("m1", VoteResponse(5, True))
        lives.record_message("m1", AppendResponse(5, True, 9, 1))
        refused.append(lives.rejection_reason("m1", second, claim))
        refused.append(
            lives.rejection_reason("m1", Incarnation("f", 3, "c"), heard[0])
        )  # it is shunned from then on
    known = parts.lives("m0", {"m1": second})
    some = (first, Incarnation("f", 2, "twin"), Incarnation("other", 1, "x"))
    refused += [known.rejection_reason("m1", life, heard[0]) for life in some]
    return all(refused)


def refusals_cost_one_question(parts: Parts) -> bool:
    """A follower refuses all that was on its way: the leader asks it once, and sends entries once."""
    bench = Bench(3, parts)
    bench.elect("m0")
    session = bench.session("m0")
    bench.cut = {"m2"}
    for number in range(50):
        bench.done("m0", Put(session, number + 1, "a", number, bytes(1_000)) if not number else Open("x"))
    late: list[tuple[str, str, Message]] = []
    bench.cut = set()
    for _ in range(20):  # these come all at once, and none of them fits
        bench.ask("m0", Open("y"))
        late += [item for item in bench.mail if item[1] == "m2"]
        bench.mail = [item for item in bench.mail if item[1] != "m2"]
        bench.settle(lambda _, to, __: to != "m2")
    entries = 0

    def count(_: str, to: str, message: Message) -> bool:
        nonlocal entries
        entries += len(message.entries) if to == "m2" and isinstance(message, AppendEntries) else 0
        return True

    bench.mail = late
    for _ in range(3):
        bench.settle(count)
        bench.wake("m0", after_us=20)
    bench.settle(count)
    behind = bench.members["m0"].raft.log.last_index - bench.members["m2"].raft.log.last_index
    return behind == 0 and entries < 200


def many_ends_are_one_write(parts: Parts) -> bool:
    """A thousand leases that run out together: one entry each, one write, one message to each follower."""
    bench = Bench(3, parts)
    bench.elect("m0")
    session = bench.session("m0")
    for number in range(1000):
        bench.ask("m0", Acquire(session, number + 1, f"l{number}", 100))
    bench.settle()
    bench.now_us += 100_000
    leader_state = bench.members["m0"].raft.leader_state
    assert leader_state is not None
    for follower in leader_state.followers.values():
        follower.last_heard_us = bench.now_us
    out = bench.members["m0"].wake(bench.now_us)
    writes = [item for item in out if isinstance(item, Persist) and item.entries]
    bench.did("m0", out)
    bench.settle()
    return len(writes) == 1 and not bench.members["m0"].machine.state.leases


DIRECTED: dict[str, Callable[[Parts], bool]] = {
    "vote not synced": votes_once_durable,
    "append not synced": acknowledges_once_durable,
    "own copy not synced": counts_its_own_copy_once_durable,
    "vote forgotten": keeps_its_vote,
    "stale read": reads_nothing_stale,
    "expires renewed": end_spares_a_renewal,
    "older term committed": commits_by_its_own_term,
    "members at once": one_change_at_a_time,
    "no pre-vote": a_lone_member_deposes_nobody,
    "old copy heard": old_copies_are_not_heard,
    "refusals answered": refusals_cost_one_question,
    "ends one by one": many_ends_are_one_write,
}


@pytest.mark.parametrize("name", DIRECTED)
def test_the_core_does_as_published(name: str) -> None:
    """And with the bug it does not."""
    assert DIRECTED[name](Parts())
    assert not DIRECTED[name](BUGS[name].parts)


def test_a_leader_that_nobody_answers_steps_down() -> None:
    """Check-quorum: what it was asked has no known end, and what comes then is sent elsewhere."""
    bench = Bench(3, Parts())
    bench.elect("m0")
    bench.cut = {"m1", "m2"}
    tag = bench.ask("m0", Open("x"))
    for _ in range(20):
        bench.wake("m0", after_us=20)
    assert bench.members["m0"].raft.role is Role.FOLLOWER
    assert bench.replies[tag] == Unknown()
    assert bench.done("m0", Open("x")) == Elsewhere("")


def test_a_repeat_counts_once() -> None:
    """The same session and number brings the same answer; an older number none, another session its own."""
    bench = Bench(3, Parts())
    bench.elect("m0")
    session = bench.session("m0")
    first = bench.done("m0", Acquire(session, 1, "l", 1_000))
    assert bench.done("m0", Acquire(session, 1, "l", 1_000)) == first
    assert bench.members["m0"].machine.state.token == 1
    late = bench.done("m0", Renew(session, 0, "l", 1))
    assert "older" in str(late)
    assert "no such session" in str(bench.done("m0", Acquire(999, 1, "l", 1_000)))


@pytest.mark.parametrize(
    ("request_", "why"),
    [
        (Open("x" * 200), "a name is over"),
        (Acquire(1, 1, "", 1_000), "a lease has a name"),
        (Acquire(1, 1, "l", 1), "ttl_ms"),
        (Acquire(1, 1, "l", 1_000, -1), "delay_ms"),
        (Put(1, 1, "", 0, b"x"), "a record has a name"),
        (Put(1, 1, "a", 0, bytes(65 * 1024)), "a record is over"),
    ],
)
def test_an_impossible_request_is_refused_and_changes_nothing(request_: Request, why: str) -> None:
    """By any member, before it comes to the log."""
    bench = Bench(3, Parts())
    bench.elect("m0")
    last = bench.members["m0"].raft.log.last_index
    assert why in str(bench.done("m0", request_))
    assert why in str(bench.done("m1", request_))
    assert bench.members["m0"].raft.log.last_index == last


def test_a_member_far_behind_gets_a_snapshot_and_goes_on() -> None:
    """With sessions, leases and tokens in it."""
    bench = Bench(3, Parts())
    bench.elect("m0")
    session = bench.session("m0")
    bench.cut = {"m2"}
    bench.done("m0", Acquire(session, 1, "l", 60_000))
    bench.did("m0", bench.members["m0"].compact())
    bench.cut = set()
    for _ in range(3):
        bench.wake("m0", after_us=250)
        bench.settle()
    assert bench.members["m2"].machine.state == bench.members["m0"].machine.state
    assert bench.members["m2"].raft.log.snapshot.index > 0
    assert isinstance(decode_command(msgspec.msgpack.encode(Open("x"))), Open)
