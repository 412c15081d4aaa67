"""Planted bugs: each makes one step of a class wrong and has to be found by a rule of the simulator."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from msgspec.structs import replace

from fleetlab.sim.quorum import Parts
from quorum.holder import Fence, HeldLease, RequestTiming
from quorum.incarnations import Incarnation, IncarnationRegistry, StartupClaim
from quorum.lease_timers import LeaseTimer, LeaseTimers
from quorum.messages import (
    COMMAND,
    Action,
    AppendResponse,
    Entry,
    HardState,
    Message,
    ReadReady,
    RequestVote,
    Send,
    VoteResponse,
)
from quorum.raft import LeaderState, Raft
from quorum.state_machine import (
    Acquire,
    Answer,
    Close,
    Expire,
    Lease,
    Put,
    Release,
    Renew,
    Session,
    StateMachine,
)


class VoteNotSynced(Raft):
    """Sends votes and vote requests before they are durable."""

    def _send_after_sync(self, to: str, message: Message) -> None:
        if isinstance(message, VoteResponse | RequestVote):
            self._emit(Send(to, message))
        else:
            super()._send_after_sync(to, message)


class AppendNotSynced(Raft):
    """Acknowledges entries before they are durable."""

    def _send_after_sync(self, to: str, message: Message) -> None:
        if isinstance(message, AppendResponse):
            self._emit(Send(to, message))
        else:
            super()._send_after_sync(to, message)


class VoteForgotten(Raft):
    """Stores the term without the vote."""

    def _persist_hard_state(self) -> None:
        self._persist(hard=HardState(self.term, ""))


class OlderTermCommitted(Raft):
    """Commits an entry of an older term by counting its copies."""

    def _may_commit(self, index: int) -> bool:
        return True


class VoteForAnyLog(Raft):
    """Votes without comparing the candidate's log."""

    def _is_up_to_date(self, message: RequestVote) -> bool:
        return True


class OwnCopyNotSynced(Raft):
    """Counts the leader's own copy before it is durable."""

    def _after_sync(self, callback: Callable[[], None]) -> None:
        if self.leader_state is not None:
            callback()
        else:
            super()._after_sync(callback)


class ReplacesAll(Raft):
    """Truncates entries behind those of an old message, though they do not conflict with it."""

    def _store_entries(self, previous: int, entries: tuple[Entry, ...]) -> None:
        if previous + 1 <= self.log.last_index:
            self.log.replace_from(previous + 1, entries)
            self._persist(first=previous + 1, entries=entries)
            return
        super()._store_entries(previous, entries)


class NoPreVote(Raft):
    """Starts elections without a pre-vote."""

    def _start_election(self, pre: bool, transfer: bool = False) -> None:
        super()._start_election(False, transfer)


class StaleRead(Raft):
    """Answers reads without confirming that this member still leads."""

    def _confirm_reads(self, leader_state: LeaderState) -> None:
        if self.commit < leader_state.first_index:
            return
        for tag, _ in leader_state.pending_reads:
            self._emit(ReadReady(tag))
        leader_state.pending_reads = []


class ReadsTooSoon(Raft):
    """Answers reads as a new leader before the first entry of its term is committed."""

    def _confirm_reads(self, leader_state: LeaderState) -> None:
        leader_state.first_index, first = 0, leader_state.first_index
        super()._confirm_reads(leader_state)
        leader_state.first_index = first


class MembersAtOnce(Raft):
    """Allows overlapping membership changes."""

    def _is_valid_change(self, leader_state: LeaderState, members: tuple[str, ...]) -> bool:
        return len(members) > 0


class SnapshotWithoutSessions(StateMachine):
    """Loses the sessions when it restores a snapshot."""

    def restore(self, data: bytes) -> None:
        super().restore(data)
        self.state.sessions.clear()


class TokenAgain(StateMachine):
    """Issues one more than the largest token in force, not than the last one ever issued."""

    def _next_token(self) -> int:
        self.state.token = 1 + max((lease.token for lease in self.state.leases.values()), default=0)
        return self.state.token


class RepeatsCount(StateMachine):
    """Applies a repeated request again."""

    def _apply_once(self, index: int, command: Close | Acquire | Renew | Release | Put) -> Answer:
        session = self.state.sessions.get(command.session)
        if session is not None:
            session.seq = -1
        return super()._apply_once(index, command)


class ExpiresRenewed(StateMachine):
    """Expires a lease although it was renewed after the expiry was proposed."""

    def _apply_session_command(
        self, session: Session, command: Close | Acquire | Renew | Release | Put
    ) -> Answer:
        answer = super()._apply_session_command(session, command)
        if isinstance(command, Renew) and command.lease in self.state.leases:
            self.state.leases[command.lease].beat = 0
        return answer


class NewLeaderShortens(LeaseTimers):
    """Treats every lease's time as over when it becomes leader."""

    def begin(self, now_us: int, leases: Mapping[str, Lease]) -> None:
        super().begin(now_us, {name: replace(lease, ttl_ms=0) for name, lease in leases.items()})


class ClocksGoOn(LeaseTimers):
    """Continues the timers of the last time this member led."""

    _kept: Mapping[str, LeaseTimer] = {}

    def clear(self) -> None:
        self._kept = dict(self._timers)
        super().clear()

    def begin(self, now_us: int, leases: Mapping[str, Lease]) -> None:
        super().begin(now_us, leases)
        for name, clock in self._kept.items():
            if name in leases:
                end = clock.end_command
                if isinstance(end, Expire):
                    end = replace(end, beat=max(end.beat, leases[name].beat))
                self._set_timer(name, LeaseTimer(clock.due_us, end))


class OldCopyHeard(IncarnationRegistry):
    """Accepts every incarnation that has a member's name."""

    def rejection_reason(self, name: str, life: Incarnation, claim: StartupClaim) -> str:
        return ""


class GrowsWhenFull(Raft):
    """Accepts commands that enlarge the state although the disks of a majority are full."""

    @property
    def majority_has_room(self) -> bool:
        return True


class RefusalsAnswered(Raft):
    """Answers each rejection of an append with entries at once."""

    def _handle_append_response(self, sender: str, message: AppendResponse) -> None:
        super()._handle_append_response(sender, message)
        if self.leader_state is not None and not message.ok and sender in self.leader_state.followers:
            follower = self.leader_state.followers[sender]
            follower.next_index, follower.probing = message.match + 1, False
            self._send_entries(self.leader_state, sender)


class EndsOneByOne(Raft):
    """Writes and sends each entry by itself."""

    def propose_all(
        self, now_us: int, proposals: list[tuple[int, bytes]], kind: int = COMMAND
    ) -> list[Action]:
        return [
            action
            for proposal in proposals
            for action in super(EndsOneByOne, self).propose_all(now_us, [proposal], kind)
        ]


class CountedFromAnswer(HeldLease):
    """Counts a lease from the arrival of its answer."""

    def _lease_end_us(self, sent_us: int, heard_us: int) -> int:
        return super()._lease_end_us(heard_us, heard_us)


class DriftOnce(HeldLease):
    """Allows for the drift of only one of the two clocks."""

    def _lease_end_us(self, sent_us: int, heard_us: int) -> int:
        return sent_us + int(self._ttl_us * (1 - self._bounds.max_drift))


class LateRenewal(HeldLease):
    """Resumes an ended lease when a late renewal arrives."""

    def _is_late(self, now_us: int) -> bool:
        self._ended = False
        return False


class CountedFromRepeat(RequestTiming):
    """Counts a lease from the last repeat of its request."""

    def record_sent(self, now_us: int) -> None:
        self._first_sent_us = now_us


class NoFence(Fence):
    """Admits every token at the resource."""

    def admits(self, token: int) -> bool:
        return True


@dataclass(frozen=True, slots=True)
class Bug:
    """The class in which a bug is planted, and the rules that it can break."""

    parts: Parts
    rules: tuple[str, ...]


SAFETY = ("election", "completeness", "matching", "machine", "term", "linear", "token", "stuck")
BUGS: dict[str, Bug] = {
    "vote not synced": Bug(Parts(raft=VoteNotSynced), SAFETY),
    "append not synced": Bug(Parts(raft=AppendNotSynced), SAFETY),
    "vote forgotten": Bug(Parts(raft=VoteForgotten), SAFETY),
    "older term committed": Bug(Parts(raft=OlderTermCommitted), SAFETY),
    "vote for any log": Bug(Parts(raft=VoteForAnyLog), SAFETY),
    "own copy not synced": Bug(Parts(raft=OwnCopyNotSynced), SAFETY),
    "replaces all": Bug(Parts(raft=ReplacesAll), SAFETY),
    "no pre-vote": Bug(Parts(raft=NoPreVote), ()),
    "stale read": Bug(Parts(raft=StaleRead), ("linear",)),
    "reads too soon": Bug(Parts(raft=ReadsTooSoon), ("linear",)),
    "members at once": Bug(Parts(raft=MembersAtOnce), SAFETY),
    "snapshot without sessions": Bug(Parts(machine=SnapshotWithoutSessions), ("machine",)),
    "token again": Bug(Parts(machine=TokenAgain), ("token", "fence", "machine", "linear")),
    "repeats count": Bug(Parts(machine=RepeatsCount), ("once", "linear", "token", "overlap")),
    "expires renewed": Bug(Parts(machine=ExpiresRenewed), ("overlap",)),
    "new leader shortens": Bug(Parts(clocks=NewLeaderShortens), ("overlap",)),
    "clocks go on": Bug(Parts(clocks=ClocksGoOn), ("overlap",)),
    "counted from answer": Bug(Parts(holding=CountedFromAnswer), ("overlap",)),
    "drift counted once": Bug(Parts(holding=DriftOnce), ("overlap",)),
    "late renewal": Bug(Parts(holding=LateRenewal), ("late",)),
    "counted from repeat": Bug(Parts(asking=CountedFromRepeat), ("overlap",)),
    "no fence": Bug(Parts(fence=NoFence), ("fence",)),
    "old copy heard": Bug(Parts(lives=OldCopyHeard), SAFETY),
    "refusals answered": Bug(Parts(raft=RefusalsAnswered), ()),
    "ends one by one": Bug(Parts(raft=EndsOneByOne), ()),
    "grows when full": Bug(Parts(raft=GrowsWhenFull), ("room",)),
}
