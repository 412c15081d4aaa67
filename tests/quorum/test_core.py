"""The core's behaviour step by step on a few members, with and without planted bugs."""

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


class Cluster:
    """Members whose messages, disks and time the test controls."""

    def __init__(self, count: int, parts: Parts) -> None:
        self.parts, self.now_us = parts, 1_000
        self.names = tuple(f"m{number}" for number in range(count))
        self.disks: dict[str, list[Persist]] = {name: [] for name in self.names}
        self.unreachable: set[str] = set()  # members that are cut off from all others
        self.in_flight: list[tuple[str, str, Message]] = []
        self.replies: dict[int, Response] = {}
        self.members: dict[str, Member] = {}
        self._tag = 0
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a member from its disk, again if it was running."""
        folded = LogReplay()
        for item in self.disks[name]:
            folded.add(item)
        self.members[name] = self.parts.member(
            name, self.names, saved=folded.saved, timing=TIMING, draw=lambda low, _: low, now_us=self.now_us,
            raft=self.parts.raft, state=self.parts.machine,
        )  # fmt: skip

    def carry_out(self, name: str, out: list[Output]) -> None:
        """Carry out a step's outputs: writes are durable at once, messages wait for ``deliver``."""
        for item in out:
            if isinstance(item, Persist):
                self.disks[name].append(item)
        for item in out:
            if isinstance(item, Send):
                self.in_flight.append((name, item.to, item.message))
            elif isinstance(item, Reply):
                self.replies[item.tag] = item.response
        if writes := [item.number for item in out if isinstance(item, Persist)]:
            self.carry_out(name, self.members[name].synced(self.now_us, writes[-1]))

    def deliver(self, only: Callable[[str, str, Message], bool] = lambda *_: True) -> None:
        """Deliver messages until none is left; those that ``only`` or unreachable members stop are lost."""
        while self.in_flight:
            sender, to, message = self.in_flight.pop(0)
            if not {sender, to} & self.unreachable and only(sender, to, message):
                self.carry_out(to, self.members[to].receive(self.now_us, sender, message))

    def wake(self, *names: str, after_us: int = 0) -> None:
        """Advance the time and wake some members."""
        self.now_us += after_us
        for name in names:
            self.carry_out(name, self.members[name].wake(self.now_us))

    def elect(self, name: str) -> None:
        """Make a member the leader, after every election timeout has passed."""
        self.now_us += 1_000
        self.carry_out(name, self.members[name].wake(self.now_us))
        self.deliver()
        assert self.members[name].raft.role is Role.LEADER

    def ask(self, name: str, request: Request) -> int:
        """Send a request and return its tag, under which ``replies`` has the answer once it comes."""
        self._tag += 1
        self.carry_out(name, self.members[name].request(self.now_us, self._tag, request))
        return self._tag

    def answer_to(self, name: str, request: Request) -> Response:
        """Send a request, deliver all messages, and return the answer."""
        tag = self.ask(name, request)
        self.deliver()
        return self.replies[tag]

    def open_session(self, name: str) -> int:
        """Open a session and return its number."""
        answer = self.answer_to(name, Open("test"))
        assert isinstance(answer, Done)
        return answer.session


def keeps_its_vote(parts: Parts) -> bool:
    """A member that voted and was restarted gives no second vote in that term."""
    cluster = Cluster(3, parts)
    ask = RequestVote(5, 0, 0)
    cluster.carry_out("m0", cluster.members["m0"].receive(cluster.now_us, "m1", ask))
    cluster.start("m0")
    cluster.in_flight.clear()
    cluster.carry_out("m0", cluster.members["m0"].receive(cluster.now_us, "m2", ask))
    votes = [message for _, _, message in cluster.in_flight if isinstance(message, VoteResponse)]
    return [vote.granted for vote in votes] == [False]


def reads_nothing_stale(parts: Parts) -> bool:
    """A leader that was replaced without noticing it answers no read."""
    cluster = Cluster(3, parts)
    cluster.elect("m0")
    session = cluster.open_session("m0")
    cluster.unreachable = {"m0"}
    cluster.now_us += 150  # the others have timed out, while the old leader has not noticed yet
    cluster.wake("m1")
    cluster.deliver()
    assert cluster.members["m1"].raft.role is Role.LEADER
    assert isinstance(cluster.answer_to("m1", Put(session, 1, "a", 0, b"new")), Done)
    assert cluster.members["m0"].raft.role is Role.LEADER
    tag = cluster.ask("m0", Read(key="a"))
    cluster.deliver()
    return tag not in cluster.replies or not isinstance(cluster.replies[tag], Told)


def end_spares_a_renewal(parts: Parts) -> bool:
    """An expiry that was proposed before a renewal was applied does not end the lease."""
    cluster = Cluster(3, parts)
    cluster.elect("m0")
    session = cluster.open_session("m0")
    granted = cluster.answer_to("m0", Acquire(session, 1, "l", 100))
    assert isinstance(granted, Done)
    renew = cluster.ask("m0", Renew(session, 2, "l", granted.token))
    end = msgspec.msgpack.encode(Expire("l", granted.token, 0))
    member = cluster.members["m0"]
    member._process_actions(member.raft.propose(cluster.now_us, -9, end))
    cluster.carry_out("m0", member._take_outputs())
    cluster.deliver()
    assert cluster.replies[renew] == Done(token=granted.token)
    return "l" in cluster.members["m0"].machine.state.leases


def commits_by_its_own_term(parts: Parts) -> bool:
    """Figure 8 of the paper: an older term's entry on a majority is not committed by counting."""
    cluster = Cluster(5, parts)
    cluster.elect("m0")
    cluster.unreachable = {"m2", "m3", "m4"}
    cluster.ask("m0", Open("first"))  # reaches only m1
    cluster.deliver()
    cluster.unreachable = {"m0", "m1"}
    cluster.now_us += 1_000
    cluster.wake("m4")
    cluster.deliver(
        lambda sender, to, message: not isinstance(message, AppendEntries)
    )  # no other member gets its entry
    assert cluster.members["m4"].raft.role is Role.LEADER
    cluster.unreachable = {"m3", "m4"}
    for name in ("m0", "m1"):
        cluster.start(name)
    cluster.now_us += 1_000
    cluster.wake("m0")
    # It leads again and replicates its old entry to a third member; no member gets the entry of its new term.
    term = cluster.members["m0"].raft.term
    cluster.deliver(
        lambda sender, to, message: not isinstance(message, AppendEntries) or message.term <= term
    )
    member = cluster.members["m0"]
    if member.raft.role is not Role.LEADER:  # a later term than m4's is needed
        cluster.elect("m0")
    old = [
        index for index in range(1, member.raft.log.last_index + 1)
        if member.raft.log.entry_at(index).term < member.raft.term
    ]  # fmt: skip
    return member.raft._may_commit(old[-1]) is False


def one_change_at_a_time(parts: Parts) -> bool:
    """A second membership change is dropped while the first, or the term's first entry, is uncommitted."""
    cluster = Cluster(3, parts)
    cluster.elect("m0")
    cluster.unreachable = {"m1", "m2"}
    for tag, members in ((91, ("m0", "m1")), (92, ("m0", "m1", "m2"))):
        cluster.carry_out("m0", cluster.members["m0"].change_members(cluster.now_us, tag, members))
    return cluster.replies.get(91) is None and cluster.replies.get(92) == Elsewhere("m0")


def a_lone_member_deposes_nobody(parts: Parts) -> bool:
    """Pre-vote: a member that was cut off returns without a new term, and the leader stays."""
    cluster = Cluster(3, parts)
    cluster.elect("m0")
    term = cluster.members["m0"].raft.term
    for cut in ({"m2"}, set[str]()):
        cluster.unreachable = cut
        for _ in range(100):
            cluster.wake("m0", "m1", "m2", after_us=20)
            cluster.deliver()
    return all((member.raft.term, member.raft.leader) == (term, "m0") for member in cluster.members.values())


def messages_before_sync(member: Member, now_us: int, message: Message) -> list[Message]:
    """Return the messages that a member sends in answer while none of its writes is durable."""
    return [item.message for item in member.receive(now_us, "m0", message) if isinstance(item, Send)]


def votes_once_durable(parts: Parts) -> bool:
    """No vote is sent before it is durable."""
    cluster = Cluster(3, parts)
    return messages_before_sync(cluster.members["m1"], cluster.now_us, RequestVote(3, 0, 0)) == []


def acknowledges_once_durable(parts: Parts) -> bool:
    """No acknowledgement is sent before the entries are durable."""
    cluster = Cluster(3, parts)
    cluster.elect("m0")
    term = cluster.members["m0"].raft.term
    last = cluster.members["m1"].raft.log.last_index
    append = AppendEntries(term, last, term, (Entry(term, NOOP),), 0, 9)
    return messages_before_sync(cluster.members["m1"], cluster.now_us, append) == []


def counts_its_own_copy_once_durable(parts: Parts) -> bool:
    """A leader of three commits nothing while one follower's copy is durable and its own is not."""
    cluster = Cluster(3, parts)
    cluster.elect("m0")
    member, before = cluster.members["m0"], cluster.members["m0"].applied
    sent = [item for item in member.request(cluster.now_us, 77, Open("x")) if isinstance(item, Send)]
    for item in sent:
        if item.to == "m1":
            cluster.carry_out("m1", cluster.members["m1"].receive(cluster.now_us, "m0", item.message))
    for _, _, message in cluster.in_flight:
        member.receive(cluster.now_us, "m1", message)
    return member.applied == before


def old_copies_are_not_heard(parts: Parts) -> bool:
    """Missing promises, earlier starts, twins and other folders are rejected; a restart is not."""
    incarnations = parts.lives("m0", {})
    first, second = Incarnation("f", 1, "a"), Incarnation("f", 2, "b")
    incarnations.accept("m1", first)
    incarnations.record_message("m1", VoteResponse(5, True))
    incarnations.record_message("m1", AppendResponse(5, True, 9, 1))
    accepted_claims = [StartupClaim(5, "m0", 9), StartupClaim(5, "m0", 12), StartupClaim(6, "", 3)]
    assert all(not parts.lives("m0", {}).rejection_reason("m1", second, claim) for claim in accepted_claims)
    assert all(not incarnations.rejection_reason("m1", second, claim) for claim in accepted_claims)
    reasons = []
    for claim in (StartupClaim(4, "", 9), StartupClaim(5, "m2", 9), StartupClaim(5, "m0", 8)):
        incarnations = parts.lives("m0", {"m1": first})
        incarnations.record_message("m1", VoteResponse(5, True))
        incarnations.record_message("m1", AppendResponse(5, True, 9, 1))
        reasons.append(incarnations.rejection_reason("m1", second, claim))
        reasons.append(
            incarnations.rejection_reason("m1", Incarnation("f", 3, "c"), accepted_claims[0])
        )  # shunned from now on
    registry = parts.lives("m0", {"m1": second})
    rejected = (first, Incarnation("f", 2, "twin"), Incarnation("other", 1, "x"))
    reasons += [registry.rejection_reason("m1", life, accepted_claims[0]) for life in rejected]
    return all(reasons)


def refusals_cost_one_question(parts: Parts) -> bool:
    """A follower rejects many messages in flight: the leader probes it once and sends the entries once."""
    cluster = Cluster(3, parts)
    cluster.elect("m0")
    session = cluster.open_session("m0")
    cluster.unreachable = {"m2"}
    for number in range(50):
        cluster.answer_to(
            "m0", Put(session, number + 1, "a", number, bytes(1_000)) if not number else Open("x")
        )
    late: list[tuple[str, str, Message]] = []
    cluster.unreachable = set()
    for _ in range(20):  # these arrive together later, and none matches the follower's log
        cluster.ask("m0", Open("y"))
        late += [item for item in cluster.in_flight if item[1] == "m2"]
        cluster.in_flight = [item for item in cluster.in_flight if item[1] != "m2"]
        cluster.deliver(lambda _, to, __: to != "m2")
    entries = 0

    def count(_: str, to: str, message: Message) -> bool:
        nonlocal entries
        entries += len(message.entries) if to == "m2" and isinstance(message, AppendEntries) else 0
        return True

    cluster.in_flight = late
    for _ in range(3):
        cluster.deliver(count)
        cluster.wake("m0", after_us=20)
    cluster.deliver(count)
    behind = cluster.members["m0"].raft.log.last_index - cluster.members["m2"].raft.log.last_index
    return behind == 0 and entries < 200


def many_ends_are_one_write(parts: Parts) -> bool:
    """A thousand leases that expire together take one entry each, but only one write."""
    cluster = Cluster(3, parts)
    cluster.elect("m0")
    session = cluster.open_session("m0")
    for number in range(1000):
        cluster.ask("m0", Acquire(session, number + 1, f"l{number}", 100))
    cluster.deliver()
    cluster.now_us += 100_000
    leader_state = cluster.members["m0"].raft.leader_state
    assert leader_state is not None
    for follower in leader_state.followers.values():
        follower.last_heard_us = cluster.now_us
    out = cluster.members["m0"].wake(cluster.now_us)
    writes = [item for item in out if isinstance(item, Persist) and item.entries]
    cluster.carry_out("m0", out)
    cluster.deliver()
    return len(writes) == 1 and not cluster.members["m0"].machine.state.leases


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
    """Each check passes without a bug, and fails with the planted one."""
    assert DIRECTED[name](Parts())
    assert not DIRECTED[name](BUGS[name].parts)


def test_a_leader_that_nobody_answers_steps_down() -> None:
    """Check-quorum: pending requests are answered ``Unknown``, and later ones ``Elsewhere``."""
    cluster = Cluster(3, Parts())
    cluster.elect("m0")
    cluster.unreachable = {"m1", "m2"}
    tag = cluster.ask("m0", Open("x"))
    for _ in range(20):
        cluster.wake("m0", after_us=20)
    assert cluster.members["m0"].raft.role is Role.FOLLOWER
    assert cluster.replies[tag] == Unknown()
    assert cluster.answer_to("m0", Open("x")) == Elsewhere("")


def test_a_repeat_counts_once() -> None:
    """A repeat gets the same answer; an older number and an unknown session are refused."""
    cluster = Cluster(3, Parts())
    cluster.elect("m0")
    session = cluster.open_session("m0")
    first = cluster.answer_to("m0", Acquire(session, 1, "l", 1_000))
    assert cluster.answer_to("m0", Acquire(session, 1, "l", 1_000)) == first
    assert cluster.members["m0"].machine.state.token == 1
    late = cluster.answer_to("m0", Renew(session, 0, "l", 1))
    assert "older" in str(late)
    assert "no such session" in str(cluster.answer_to("m0", Acquire(999, 1, "l", 1_000)))


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
    """Any member refuses it before it reaches the log."""
    cluster = Cluster(3, Parts())
    cluster.elect("m0")
    last = cluster.members["m0"].raft.log.last_index
    assert why in str(cluster.answer_to("m0", request_))
    assert why in str(cluster.answer_to("m1", request_))
    assert cluster.members["m0"].raft.log.last_index == last


def test_a_member_far_behind_gets_a_snapshot_and_goes_on() -> None:
    """The snapshot has the sessions, leases and tokens."""
    cluster = Cluster(3, Parts())
    cluster.elect("m0")
    session = cluster.open_session("m0")
    cluster.unreachable = {"m2"}
    cluster.answer_to("m0", Acquire(session, 1, "l", 60_000))
    cluster.carry_out("m0", cluster.members["m0"].compact())
    cluster.unreachable = set()
    for _ in range(3):
        cluster.wake("m0", after_us=250)
        cluster.deliver()
    assert cluster.members["m2"].machine.state == cluster.members["m0"].machine.state
    assert cluster.members["m2"].raft.log.snapshot.index > 0
    assert isinstance(decode_command(msgspec.msgpack.encode(Open("x"))), Open)
