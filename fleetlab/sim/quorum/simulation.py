"""One schedule of a simulated quorum: members, holders, the network, an adversary and the rules."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Any

from fleetlab.sim.quorum.adversary import Adversary
from fleetlab.sim.quorum.history import History
from fleetlab.sim.quorum.holder import SimHolder
from fleetlab.sim.quorum.judge import INITIAL_VALUE, BrokenError, RuleChecker
from fleetlab.sim.quorum.node import QuorumNode
from fleetlab.sim.quorum.plan import KEYS, LEASES, SECOND_US, Parts, Plan
from fleetlab.sim.world import Network, World
from quorum.holder import Fence
from quorum.incarnations import Incarnation, StartupClaim
from quorum.member import Member, Reply, Request, Response
from quorum.messages import Committed, Message
from quorum.raft import Role
from quorum.state_machine import Done, Open, Put, StateMachine

RECOVERY_S = 5  # from the end of all faults until requests have to be served again


class QuorumSim:
    """Simulates one schedule."""

    def __init__(self, seed: int, plan: Plan, parts: Parts | None = None) -> None:
        self.seed, self.plan, self.parts = seed, plan, parts or Parts()
        self.world = World(seed)
        self.rules = RuleChecker()
        self.names = tuple(f"m{number}" for number in range(plan.members))
        self.network: Network[tuple[Incarnation, StartupClaim, Message]] = Network(self.world, self._deliver)
        self.nodes = {name: QuorumNode(self, name) for name in self.names}
        self.holders = [SimHolder(self, f"h{number}") for number in range(plan.holders)]
        self.fences: dict[str, Fence] = {lease: self.parts.fence() for lease in LEASES}
        self.history = History(self.world, seed)
        self.adversary = Adversary(self)
        self.counts: dict[str, int] = defaultdict(int)
        self._callbacks: dict[tuple[str, int], Callable[[Response], None]] = {}  # by member and tag
        self._last_tag = 0

    def on_applied(self, name: str, action: Committed, machine: StateMachine) -> None:
        """Record that a member has applied an entry."""
        member = self.nodes[name].core
        assert member is not None
        self.rules.record_applied(name, member.raft.term, action, machine.snapshot)
        self.counts["applied"] += 1

    # Between members and clients

    def _deliver(self, sender: str, to: str, item: tuple[Incarnation, StartupClaim, Message]) -> None:
        node, (life, claim, message) = self.nodes[to], item
        if node.core is None:
            return
        if node.registry.rejection_reason(sender, life, claim):
            self.counts["not listened to"] += 1
            if life.folder in node.registry.shunned:
                node.run_step(lambda member, now_us: member.shun(now_us, life.folder))
            return
        node.registry.accept(sender, life)
        node.registry.record_message(sender, message)
        node.run_step(lambda member, now_us: member.receive(now_us, sender, message))

    def _handle_request(self, member: Member, now_us: int, tag: int, request: Request) -> list[Any]:
        last_index = member.raft.log.last_index
        out = member.request(now_us, tag, request)
        if member.raft.log.last_index > last_index:
            self._check_full_disks(member, request)
        return out

    def _check_full_disks(self, member: Member, request: Request) -> None:
        """Check a request that was accepted while the disks of all members were full."""
        followers = (
            member.raft.leader_state.followers.values() if member.raft.leader_state is not None else []
        )
        if followers and member.raft.disk_full and all(follower.disk_full for follower in followers):
            self.counts["without room"] += 1
            self.rules.check_room(member, request)

    def register_callback(self, name: str, done: Callable[[Response], None]) -> int:
        """Return a tag for a request to a member; ``done`` gets its answer."""
        self._last_tag += 1
        self._callbacks[name, self._last_tag] = done
        return self._last_tag

    def send_request(self, asker: str, name: str, request: Request, done: Callable[[Response], None]) -> None:
        """Send a client's request to a member; it or its answer may be lost."""
        self._last_tag += 1
        tag, random = self._last_tag, self.world.random
        if (asker, name) in self.network.cut_links or random.random() < self.plan.loss_rate:
            return

        def arrive() -> None:
            self._callbacks[name, tag] = lambda answer: self._send_answer(name, asker, done, answer)
            self.nodes[name].run_step(
                lambda member, now_us: self._handle_request(member, now_us, tag, request)
            )

        self.world.call_later(random.randint(200, 3_000), arrive)

    def on_answer(self, name: str, reply: Reply) -> None:
        """Pass on a member's answer; a request that is answered twice breaks the rule ``once``."""
        done = self._callbacks.pop((name, reply.tag), None)
        if done is None:
            raise BrokenError("once", f"{name} answered request {reply.tag} twice")
        done(reply.response)

    def _send_answer(self, name: str, asker: str, done: Callable[[Response], None], answer: Response) -> None:
        random = self.world.random
        if (name, asker) not in self.network.cut_links and random.random() >= self.plan.loss_rate:
            self.world.call_later(random.randint(200, 3_000), lambda: done(answer))

    # Holders

    def check_held(self, holder: SimHolder) -> None:
        """Check that no other holder may act on the lease that a holder considers its own."""
        held_lease = holder.held_lease
        if held_lease is None or not held_lease.may_act(holder.clock.now_us()):
            return
        self.counts["held"] += 1
        self.rules.check_exclusive(holder, self.holders)

    def act_on_resource(self, holder: str, lease: str, token: int) -> None:
        """Perform an action on the fenced resource, which admits or rejects it."""
        admitted = self.fences[lease].admits(token)
        self.counts["fenced off"] += not admitted
        self.history.record_action(lease, holder, token, admitted)

    # The run

    def run(self) -> dict[str, int]:
        """Run the schedule; returns counts of events, or raises ``BrokenError`` at the first broken rule."""
        self.adversary.restore_network()
        for node in self.nodes.values():
            node.start()
        first = SimHolder(self, "first")

        def begin() -> None:
            for holder in self.holders:
                holder.start()

        self._create_records(first, list(KEYS), begin)
        self.adversary.schedule_faults()
        self.world.run_until(self.plan.seconds * SECOND_US)
        self._check_recovery()
        self.rules.check_history(self.history.records)
        self.counts["steps"] = self.world.events_run
        self.counts["operations"] = sum(map(len, self.rules.operations.values()))
        self.counts["terms"] = len(self.rules.leaders)
        return dict(self.counts)

    def _create_records(self, holder: SimHolder, keys: list[str], then: Callable[[], None]) -> None:
        """Create the records that all holders write, before faults begin."""

        def opened(answer: Response, _: int) -> None:
            assert isinstance(answer, Done)
            holder.session = answer.session
            create(0)

        def create(index: int) -> None:
            if index == len(keys):
                then()
                return

            def written(answer: Response, _: int) -> None:
                if not isinstance(answer, Done):
                    raise BrokenError("once", f"{keys[index]} was there before anybody wrote it: {answer}")
                self.rules.initial_versions[keys[index]] = answer.version
                create(index + 1)

            holder.ask(Put(holder.session, index + 1, keys[index], 0, INITIAL_VALUE), written)

        holder.ask(Open("first"), opened)

    def _check_recovery(self) -> None:
        """End all faults; after ``RECOVERY_S`` there has to be one leader, and newly applied entries."""
        self.adversary.end_all_faults()
        applied_before = self.counts["applied"]
        self.world.run_until(self.world.now_us + RECOVERY_S * SECOND_US)
        leaders = [n.name for n in self.nodes.values() if n.core and n.core.raft.role is Role.LEADER]
        if len(leaders) != 1 or self.counts["applied"] == applied_before:
            raise BrokenError("stuck", f"{RECOVERY_S} s after all faults: leaders {leaders}")
