"""One schedule of a quorum: members, holders, the network between them, an adversary and a judge."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Any

from fleetlab.sim.quorum.adversary import Adversary
from fleetlab.sim.quorum.history import History
from fleetlab.sim.quorum.holder import Holder
from fleetlab.sim.quorum.judge import FIRST_VALUE, BrokenError, Judge
from fleetlab.sim.quorum.node import Node
from fleetlab.sim.quorum.plan import KEYS, LEASES, SECOND, Parts, Plan
from fleetlab.sim.world import Network, World
from quorum.holder import Fence
from quorum.incarnations import Incarnation, StartupClaim
from quorum.member import Member, Reply, Request, Response
from quorum.messages import Committed, Message
from quorum.raft import Role
from quorum.state_machine import Done, Open, Put, StateMachine

SETTLED_S = 5  # after all faults, until work has gone on


class QuorumSim:
    """One schedule."""

    def __init__(self, seed: int, plan: Plan, parts: Parts | None = None) -> None:
        self.seed, self.plan, self.parts = seed, plan, parts or Parts()
        self.world = World(seed)
        self.judge = Judge()
        self.names = tuple(f"m{number}" for number in range(plan.members))
        self.network: Network[tuple[Incarnation, StartupClaim, Message]] = Network(self.world, self._deliver)
        self.nodes = {name: Node(self, name) for name in self.names}
        self.holders = [Holder(self, f"h{number}") for number in range(plan.holders)]
        self.fences: dict[str, Fence] = {lease: self.parts.fence() for lease in LEASES}
        self.history = History(self.world, seed)
        self.adversary = Adversary(self)
        self.counts: dict[str, int] = defaultdict(int)
        self._awaited: dict[tuple[str, int], Callable[[Response], None]] = {}  # by member and tag
        self._tag = 0

    def applied(self, name: str, action: Committed, machine: StateMachine) -> None:
        """A member has applied an entry."""
        member = self.nodes[name].core
        assert member is not None
        self.judge.applied(name, member.raft.term, action, machine.snapshot)
        self.counts["applied"] += 1

    # Between members and clients

    def _deliver(self, sender: str, to: str, item: tuple[Incarnation, StartupClaim, Message]) -> None:
        node, (life, claim, message) = self.nodes[to], item
        if node.core is None:
            return
        if node.lives.rejection_reason(sender, life, claim):
            self.counts["not listened to"] += 1
            if life.folder in node.lives.shunned:
                node.do(lambda member, now_us: member.shun(now_us, life.folder))
            return
        node.lives.accept(sender, life)
        node.lives.record_message(sender, message)
        node.do(lambda member, now_us: member.receive(now_us, sender, message))

    def _requested(self, member: Member, now_us: int, tag: int, request: Request) -> list[Any]:
        last = member.raft.log.last_index
        out = member.request(now_us, tag, request)
        if member.raft.log.last_index > last:
            self._note_full_disks(member, request)
        return out

    def _note_full_disks(self, member: Member, request: Request) -> None:
        """What no member has room for has to be turned down at once."""
        followers = (
            member.raft.leader_state.followers.values() if member.raft.leader_state is not None else []
        )
        if followers and member.raft.disk_full and all(follower.disk_full for follower in followers):
            self.counts["without room"] += 1
            self.judge.check_room(member, request)

    def expect_answer(self, name: str, done: Callable[[Response], None]) -> int:
        """A tag for a request to a member; its answer goes to ``done``."""
        self._tag += 1
        self._awaited[name, self._tag] = done
        return self._tag

    def ask(self, asker: str, name: str, request: Request, done: Callable[[Response], None]) -> None:
        """A client's request to a member; it, or its answer, may be lost."""
        self._tag += 1
        tag, random = self._tag, self.world.random
        if (asker, name) in self.network.cut or random.random() < self.plan.lost:
            return

        def arrive() -> None:
            self._awaited[name, tag] = lambda answer: self._back(name, asker, done, answer)
            self.nodes[name].do(lambda member, now_us: self._requested(member, now_us, tag, request))

        self.world.after(random.randint(200, 3_000), arrive)

    def answered(self, name: str, reply: Reply) -> None:
        """A member has answered a request."""
        done = self._awaited.pop((name, reply.tag), None)
        if done is None:
            raise BrokenError("once", f"{name} answered request {reply.tag} twice")
        done(reply.response)

    def _back(self, name: str, asker: str, done: Callable[[Response], None], answer: Response) -> None:
        random = self.world.random
        if (name, asker) not in self.network.cut and random.random() >= self.plan.lost:
            self.world.after(random.randint(200, 3_000), lambda: done(answer))

    # Holders

    def took(self, holder: Holder) -> None:
        """A holder counts itself as holding: no other may act on that lease at this moment."""
        own = holder.holding
        if own is None or not own.may_act(holder.clock.now_us()):
            return
        self.counts["held"] += 1
        self.judge.check_exclusive(holder, self.holders)

    def act(self, holder: str, lease: str, token: int) -> None:
        """An act comes to the fenced resource."""
        admitted = self.fences[lease].admits(token)
        self.counts["fenced off"] += not admitted
        self.history.acted(lease, holder, token, admitted)

    # The run

    def run(self) -> dict[str, int]:
        """Play the schedule; counts of what took place, or ``BrokenError`` at the first rule that breaks."""
        self.adversary.calm()
        for node in self.nodes.values():
            node.start()
        first = Holder(self, "first")

        def begin() -> None:
            for holder in self.holders:
                holder.start()

        self._create(first, list(KEYS), begin)
        self.adversary.plan_faults()
        self.world.run(self.plan.seconds * SECOND)
        self._settle()
        self.judge.check_history(self.history.records)
        self.counts["steps"] = self.world.steps
        self.counts["operations"] = sum(map(len, self.judge.operations.values()))
        self.counts["terms"] = len(self.judge.leaders)
        return dict(self.counts)

    def _create(self, holder: Holder, keys: list[str], then: Callable[[], None]) -> None:
        """The records that everybody writes, before anything goes wrong."""

        def opened(answer: Response, _: int) -> None:
            assert isinstance(answer, Done)
            holder.session = answer.session
            put(0)

        def put(at: int) -> None:
            if at == len(keys):
                then()
                return

            def written(answer: Response, _: int) -> None:
                if not isinstance(answer, Done):
                    raise BrokenError("once", f"{keys[at]} was there before anybody wrote it: {answer}")
                self.judge.first_versions[keys[at]] = answer.version
                put(at + 1)

            holder.ask(Put(holder.session, at + 1, keys[at], 0, FIRST_VALUE), written)

        holder.ask(Open("first"), opened)

    def _settle(self) -> None:
        """All faults end; within seconds there is one leader, all members agree, and work goes on."""
        self.adversary.end()
        before = self.counts["applied"]
        self.world.run(self.world.now_us + SETTLED_S * SECOND)
        leaders = [n.name for n in self.nodes.values() if n.core and n.core.raft.role is Role.LEADER]
        if len(leaders) != 1 or self.counts["applied"] == before:
            raise BrokenError("stuck", f"{SETTLED_S} s after all faults: leaders {leaders}")
