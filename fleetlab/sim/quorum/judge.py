"""The rules that hold for all members and holders together, checked at each step and at the end."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from fleetlab.checks import Run, one_actor
from fleetlab.sim.linear import Operation, linearizable
from quorum.member import Member, NoRoom, Read, Request, Wait, Watch
from quorum.messages import Committed
from quorum.raft import Raft, Role
from quorum.state_machine import Done, Put, Refused, may_grow_state
from standins import records

if TYPE_CHECKING:
    from fleetlab.sim.quorum.holder import Holder
    from fleetlab.sim.quorum.node import Node

LOG_LOOK = 40  # steps between looks at whole logs
STATE_LOOK = 8  # indices between comparisons of whole states
FIRST_VALUE = b"0"  # of every record


class BrokenError(AssertionError):
    """A rule does not hold."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(f"{rule}: {text}")
        self.rule = rule


class Judge:
    """What was seen of all members and holders; raises ``BrokenError`` at the first rule that breaks."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}
        self.entries: dict[int, tuple[int, int, bytes]] = {}
        self.terms: dict[int, int] = {}  # in which an entry was committed, which is not its own term
        self.states: dict[int, bytes] = {}
        self.tokens: dict[int, tuple[int, int]] = {}  # token: session and number of its request
        self.operations: dict[str, list[Operation]] = defaultdict(list)
        self.first_versions: dict[str, int] = {}  # of each record, before anything goes wrong
        self._steps = 0
        self._complete: tuple[str, int] | None = None  # the leader and term that were found complete last

    def elected(self, term: int, name: str) -> None:
        """A member leads a term."""
        if self.leaders.setdefault(term, name) != name:
            raise BrokenError("election", f"{self.leaders[term]} and {name} lead term {term}")

    def applied(self, name: str, term: int, action: Committed, state: Callable[[], bytes]) -> None:
        """A member has applied an entry in that term; who commits it is the first to do so."""
        self.terms.setdefault(action.index, term)
        entry = (action.entry.term, action.entry.kind, action.entry.data)
        if self.entries.setdefault(action.index, entry) != entry:
            raise BrokenError("machine", f"{name} applied another entry at {action.index}")
        if action.index % STATE_LOOK == 0:
            data = state()
            if self.states.setdefault(action.index, data) != data:
                raise BrokenError("machine", f"{name} has another state after {action.index}")

    def granted(self, token: int, session: int, seq: int) -> None:
        """A holder was given a token."""
        owner = (session, seq)
        if self.tokens.setdefault(token, owner) != owner:
            raise BrokenError("token", f"{token} was given to {self.tokens[token]} and {owner}")

    def check_members(self, nodes: Iterable[Node]) -> None:
        """Rules on all members together, after a step of one."""
        self._steps += 1
        living = [node for node in nodes if node.core is not None]
        if self._steps % LOG_LOOK == 0:
            self._check_matching(living)
        for node in living:
            assert node.core is not None
            if node.core.raft.role is Role.LEADER:
                self._check_complete(node.name, node.core.raft)

    def _check_complete(self, name: str, raft: Raft) -> None:
        """A leader has every entry that was committed in an older term (paper, figure 3)."""
        log, term = raft.log, raft.term
        if self._complete == (name, term):
            return
        self._complete = (name, term)
        for index, committed in self.entries.items():
            if self.terms[index] >= term or index <= log.snapshot.index:
                continue
            entry = log.entry_at(index) if index <= log.last_index else None
            if entry is None or (entry.term, entry.kind, entry.data) != committed:
                raise BrokenError("completeness", f"{name} leads term {term} without entry {index}")

    def _check_matching(self, nodes: list[Node]) -> None:
        """Logs that agree on an entry agree on all before it."""
        logs = [(node.name, node.core.raft.log) for node in nodes if node.core is not None]
        for at, (name, log) in enumerate(logs):
            for other_name, other in logs[at + 1 :]:
                low = max(log.first_index, other.first_index)
                agree = False
                for index in range(min(log.last_index, other.last_index), low - 1, -1):
                    one, two = log.entry_at(index), other.entry_at(index)
                    agree = agree or one.term == two.term
                    if agree and (one.term, one.kind, one.data) != (two.term, two.kind, two.data):
                        raise BrokenError("matching", f"{name} and {other_name} differ at {index}")

    def check_exclusive(self, holder: Holder, holders: Iterable[Holder]) -> None:
        """No other may act on the lease of a holder at this moment."""
        for other in holders:
            held = other.holding
            if other is holder or held is None or other.lease != holder.lease:
                continue
            if held.may_act(other.clock.now_us()):
                raise BrokenError("overlap", f"{other.name} and {holder.name} both may act on {holder.lease}")

    def check_room(self, member: Member, request: Request) -> None:
        """With all disks full, nothing is taken on that makes the state larger."""
        if not isinstance(request, Read | Watch | Wait) and may_grow_state(request):
            raise BrokenError("room", f"{member.raft.name} takes on {type(request).__name__} on full disks")

    def check_history(self, history: list[records.AnyRecord]) -> None:
        """What shows only in the whole: the resource's record by the lab's checker, and linear records."""
        for finding in one_actor(Run(history)):
            raise BrokenError("fence", finding.text)
        for key, operations in self.operations.items():
            if not linearizable(operations, (self.first_versions[key], FIRST_VALUE), step_record):
                raise BrokenError("linear", f"no order explains what was seen of {key}")


def step_record(state: tuple[int, bytes], asked: Any, answer: Any) -> tuple[bool, tuple[int, bytes]]:
    """One record as it has to behave."""
    version, _ = state
    if isinstance(asked, Read):
        return answer is None or (answer.version, answer.value) == state, state
    assert isinstance(asked, Put)
    then = (version + 1, asked.value)
    if answer is None:
        return asked.version == version, then
    if isinstance(answer, NoRoom):
        return True, state
    if isinstance(answer, Done):
        return asked.version == version and answer.version == version + 1, then
    return isinstance(answer, Refused) and asked.version != version, state
