"""Rules over all members and holders of a schedule, checked after each step and at the end."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from fleetlab.checks import Run, one_actor
from fleetlab.sim.linear import Operation, is_linearizable
from quorum.member import Member, NoRoom, Read, Request, Wait, Watch
from quorum.messages import Committed
from quorum.raft import Raft, Role
from quorum.state_machine import Done, Put, Refused, may_grow_state
from standins import records

if TYPE_CHECKING:
    from fleetlab.sim.quorum.holder import SimHolder
    from fleetlab.sim.quorum.node import QuorumNode

LOG_CHECK_INTERVAL = 40  # steps between comparisons of all logs
STATE_CHECK_INTERVAL = 8  # log indices between comparisons of states
INITIAL_VALUE = b"0"  # of each record


class BrokenError(AssertionError):
    """A rule is broken; its name is ``rule``."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(f"{rule}: {text}")
        self.rule = rule


class RuleChecker:
    """Records what members and holders did; raises ``BrokenError`` when that breaks a rule."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}  # by term
        self.entries: dict[int, tuple[int, int, bytes]] = {}  # term, kind and data of applied ones, by index
        # By index, the term in which the entry was committed; it may be later than the entry's own term.
        self.commit_terms: dict[int, int] = {}
        self.states: dict[int, bytes] = {}  # snapshots after some indices
        self.tokens: dict[int, tuple[int, int]] = {}  # session and sequence number of the request, by token
        self.operations: dict[str, list[Operation]] = defaultdict(list)
        self.initial_versions: dict[str, int] = {}  # of each record, before faults begin
        self._steps = 0
        self._last_completeness_check: tuple[str, int] | None = None  # leader and term that were checked last

    def record_leader(self, term: int, name: str) -> None:
        """Record that a member leads a term."""
        if self.leaders.setdefault(term, name) != name:
            raise BrokenError("election", f"{self.leaders[term]} and {name} lead term {term}")

    def record_applied(
        self, name: str, term: int, action: Committed, take_snapshot: Callable[[], bytes]
    ) -> None:
        """Record that a member in a term has applied an entry; the member that commits it is the first."""
        self.commit_terms.setdefault(action.index, term)
        entry = (action.entry.term, action.entry.kind, action.entry.data)
        if self.entries.setdefault(action.index, entry) != entry:
            raise BrokenError("machine", f"{name} applied another entry at {action.index}")
        if action.index % STATE_CHECK_INTERVAL == 0:
            data = take_snapshot()
            if self.states.setdefault(action.index, data) != data:
                raise BrokenError("machine", f"{name} has another state after {action.index}")

    def record_grant(self, token: int, session: int, seq: int) -> None:
        """Record that a holder was granted a lease under a token."""
        owner = (session, seq)
        if self.tokens.setdefault(token, owner) != owner:
            raise BrokenError("token", f"{token} was given to {self.tokens[token]} and {owner}")

    def check_members(self, nodes: Iterable[QuorumNode]) -> None:
        """Check the rules on all members after a step of one of them."""
        self._steps += 1
        running = [node for node in nodes if node.core is not None]
        if self._steps % LOG_CHECK_INTERVAL == 0:
            self._check_matching(running)
        for node in running:
            assert node.core is not None
            if node.core.raft.role is Role.LEADER:
                self._check_complete(node.name, node.core.raft)

    def _check_complete(self, name: str, raft: Raft) -> None:
        """Check that a leader has every entry that was committed in an older term (paper, figure 3)."""
        log, term = raft.log, raft.term
        if self._last_completeness_check == (name, term):
            return
        self._last_completeness_check = (name, term)
        for index, committed in self.entries.items():
            if self.commit_terms[index] >= term or index <= log.snapshot.index:
                continue
            entry = log.entry_at(index) if index <= log.last_index else None
            if entry is None or (entry.term, entry.kind, entry.data) != committed:
                raise BrokenError("completeness", f"{name} leads term {term} without entry {index}")

    def _check_matching(self, nodes: list[QuorumNode]) -> None:
        """Check that logs which agree on an entry agree on all entries before it."""
        logs = [(node.name, node.core.raft.log) for node in nodes if node.core is not None]
        for position, (name, log) in enumerate(logs):
            for other_name, other in logs[position + 1 :]:
                first_common = max(log.first_index, other.first_index)
                have_agreed = False
                for index in range(min(log.last_index, other.last_index), first_common - 1, -1):
                    one, two = log.entry_at(index), other.entry_at(index)
                    have_agreed = have_agreed or one.term == two.term
                    if have_agreed and (one.term, one.kind, one.data) != (two.term, two.kind, two.data):
                        raise BrokenError("matching", f"{name} and {other_name} differ at {index}")

    def check_exclusive(self, holder: SimHolder, holders: Iterable[SimHolder]) -> None:
        """Check that no other holder may act on a holder's lease now."""
        for other in holders:
            held = other.held_lease
            if other is holder or held is None or other.lease != holder.lease:
                continue
            if held.may_act(other.clock.now_us()):
                raise BrokenError("overlap", f"{other.name} and {holder.name} both may act on {holder.lease}")

    def check_room(self, member: Member, request: Request) -> None:
        """Check that a request accepted while all disks are full does not make the state larger."""
        if not isinstance(request, Read | Watch | Wait) and may_grow_state(request):
            raise BrokenError("room", f"{member.raft.name} takes on {type(request).__name__} on full disks")

    def check_history(self, history: list[records.AnyRecord]) -> None:
        """Check the history at the end: actions by the proving ground's checker, and linearizability."""
        for finding in one_actor(Run(history)):
            raise BrokenError("fence", finding.text)
        for key, operations in self.operations.items():
            if not is_linearizable(operations, (self.initial_versions[key], INITIAL_VALUE), step_record):
                raise BrokenError("linear", f"no order explains what was seen of {key}")


def step_record(state: tuple[int, bytes], request: Any, answer: Any) -> tuple[bool, tuple[int, bytes]]:
    """Return whether a record in a state (version, value) may give an answer, and its state afterwards."""
    version, _ = state
    if isinstance(request, Read):
        return answer is None or (answer.version, answer.value) == state, state
    assert isinstance(request, Put)
    written = (version + 1, request.value)
    if answer is None:
        return request.version == version, written
    if isinstance(answer, NoRoom):
        return True, state
    if isinstance(answer, Done):
        return request.version == version and answer.version == version + 1, written
    return isinstance(answer, Refused) and request.version != version, state
