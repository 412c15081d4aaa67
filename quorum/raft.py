"""The Raft consensus algorithm without I/O.

Time, messages, disk completions and random numbers are inputs; the outputs are actions for the caller to
carry out.

It follows the published algorithm (Ongaro and Ousterhout 2014; Ongaro's thesis 2014): elections with pre-vote
(thesis, 9.6) and check-quorum (6.2), log matching, the commit rule for entries of the leader's own term
(paper, 5.4.2), snapshots (7), single-server membership changes (thesis, 4) by a leader that has committed an
entry of its own term, and linearizable reads confirmed by message rounds (6.4).

State that a message depends on is durable before the message is sent. A leader counts its own copy of an
entry only once it is on its disk.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from quorum.log import Log
from quorum.messages import (
    COMMAND,
    MEMBERS,
    NOOP,
    Action,
    AppendEntries,
    AppendResponse,
    Committed,
    Dropped,
    Entry,
    HardState,
    InstallSnapshot,
    Message,
    Persist,
    ReadReady,
    RecoveredState,
    RequestVote,
    Send,
    Snapshot,
    SnapshotInstalled,
    TimeoutNow,
    VoteResponse,
)

MAX_PENDING = 4096  # proposals in flight at a leader, and likewise unconfirmed reads


class Role(Enum):
    """A member's current role."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """Timeouts in microseconds on the member's own monotonic clock."""

    min_election_us: int = 300_000
    max_election_us: int = 600_000
    heartbeat_us: int = 60_000


@dataclass(slots=True)
class FollowerProgress:
    """What a leader knows of a follower."""

    next_index: int
    match_index: int = 0
    acked_round: int = 0  # the latest round that it answered
    last_heard_us: int = 0
    snapshot_retry_us: int = 0  # a snapshot is in flight; it is not sent again before this time
    disk_full: bool = False  # its disk accepts only writes that cannot be deferred
    # The leader is looking for the last matching entry and sends no entries until it is found.
    probing: bool = False
    probe_round: int = 0  # rejections of messages from earlier rounds are stale and ignored


@dataclass(slots=True)
class LeaderState:
    """State that a member keeps only while it leads."""

    followers: dict[str, FollowerProgress]
    first_index: int  # of its first entry; once that is committed, so is every earlier entry
    match_index: int = 0  # the last index that is durable in its own log
    round: int = 0  # counts the rounds of messages to all followers
    tags_by_index: dict[int, int] = field(default_factory=dict)  # of proposals that are not yet committed
    pending_reads: list[tuple[int, int]] = field(default_factory=list)  # (tag, round that confirms the read)


DrawInteger = Callable[[int, int], int]  # a random integer within inclusive bounds


class Raft:
    """One member's Raft state. Each public step returns the actions that the caller has to carry out."""

    def __init__(
        self,
        name: str,
        members: tuple[str, ...],
        *,
        saved: RecoveredState,
        timing: Timing,
        draw: DrawInteger,
        now_us: int,
    ) -> None:
        """Restore a member from ``saved``; ``members`` is the initial membership if the disk has none."""
        self.name = name
        self._timing = timing
        self._draw = draw
        self._now_us = now_us
        self.term = saved.hard.term
        self.vote = saved.hard.vote
        snapshot = saved.snapshot if saved.snapshot.members else Snapshot(members=members)
        self.log = Log(snapshot, saved.entries)
        self.role = Role.FOLLOWER
        self.leader = ""  # empty while unknown
        self.commit = snapshot.index
        self.leader_state: LeaderState | None = None
        self._votes: dict[str, bool] = {}
        self.disk_full = False  # this member's disk accepts only writes that cannot be deferred
        self._pre_vote = False  # the votes being collected are pre-votes
        self._actions: list[Action] = []
        self._last_write = self._last_synced_write = 0  # numbers of ``Persist`` actions
        # Callbacks, each with the number of the write that has to be durable first.
        self._awaiting_sync: deque[tuple[int, Callable[[], None]]] = deque()
        self._leader_heard_us = now_us - timing.max_election_us
        self._due_us = 0
        self._members = self._latest_members()
        self._reset_election_timer()

    # Membership

    def _latest_members(self) -> tuple[str, ...]:
        """Return the membership of the latest entry that sets it, committed or not (thesis, 4.1)."""
        return self._members_at(self.log.last_index)

    @property
    def members(self) -> tuple[str, ...]:
        """The current members, including this one unless it was removed."""
        return self._members

    @property
    def others(self) -> list[str]:
        """All members but this one."""
        return [name for name in self._members if name != self.name]

    def _is_majority(self, names: set[str]) -> bool:
        return 2 * len(names & set(self._members)) > len(self._members)

    # Steps

    @property
    def due_us(self) -> int:
        """The time at which ``wake`` is to be called."""
        return self._due_us

    def _take_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions

    def wake(self, now_us: int) -> list[Action]:
        """Send a heartbeat or start an election if that is due."""
        self._now_us = now_us
        if now_us >= self._due_us:
            if self.leader_state is not None:
                self._send_heartbeat(self.leader_state)
            else:
                self._start_election(pre=True)
        return self._take_actions()

    def receive(self, now_us: int, sender: str, message: Message) -> list[Action]:
        """Handle a message from another member; one of an older term is answered and changes nothing."""
        self._now_us = now_us
        if message.term > self.term and not self._is_prospective_term(message):
            if isinstance(message, RequestVote) and not message.transfer and self._has_recent_leader():
                # A candidate that cannot reach a working leader must not depose it.
                return self._take_actions()
            self._enter_term(message.term)
        match message:
            case RequestVote():
                self._handle_request_vote(sender, message)
            case VoteResponse():
                self._handle_vote(sender, message)
            case AppendEntries():
                self._handle_append(sender, message)
            case AppendResponse():
                self._handle_append_response(sender, message)
            case InstallSnapshot():
                self._handle_install(sender, message)
            case TimeoutNow():
                if message.term == self.term and self.name in self._members:
                    self._start_election(pre=False, transfer=True)
        return self._take_actions()

    def synced(self, now_us: int, number: int) -> list[Action]:
        """Handle the report that all writes up to ``number`` are durable."""
        self._now_us, self._last_synced_write = now_us, max(self._last_synced_write, number)
        while self._awaiting_sync and self._awaiting_sync[0][0] <= self._last_synced_write:
            self._awaiting_sync.popleft()[1]()
        return self._take_actions()

    def propose(self, now_us: int, tag: int, data: bytes, kind: int = COMMAND) -> list[Action]:
        """Append an entry to the leader's log; on any other member it is dropped, certainly uncommitted."""
        return self.propose_all(now_us, [(tag, data)], kind)

    def propose_all(
        self, now_us: int, proposals: list[tuple[int, bytes]], kind: int = COMMAND
    ) -> list[Action]:
        """Propose several (tag, data) pairs with one write and one message to each follower."""
        self._now_us = now_us
        leader_state = self.leader_state
        if leader_state is None or len(leader_state.tags_by_index) + len(proposals) > MAX_PENDING:
            return [Dropped(tag, unknown=False) for tag, _ in proposals]
        for index, (tag, _) in enumerate(proposals, self.log.last_index + 1):
            leader_state.tags_by_index[index] = tag
        self._append_own(tuple(Entry(self.term, kind, data) for _, data in proposals))
        for name, follower in leader_state.followers.items():
            if not follower.probing:
                self._send_entries(leader_state, name)
        return self._take_actions()

    def read(self, now_us: int, *tags: int) -> list[Action]:
        """Request ``ReadReady`` for each tag once a majority confirms this leader (thesis, 6.4)."""
        self._now_us = now_us
        leader_state = self.leader_state
        if leader_state is None or len(leader_state.pending_reads) + len(tags) > MAX_PENDING:
            return [Dropped(tag, unknown=False) for tag in tags]
        leader_state.round += 1
        leader_state.pending_reads += [(tag, leader_state.round) for tag in tags]
        self._send_all(leader_state)
        self._confirm_reads(leader_state)
        return self._take_actions()

    def set_disk_full(self, now_us: int, full: bool) -> list[Action]:
        """Set whether this member's disk is full; a leader then steps down if any follower has room."""
        self._now_us, self.disk_full = now_us, full
        if (
            self.leader_state is not None
            and full
            and not all(follower.disk_full for follower in self.leader_state.followers.values())
        ):
            return self.step_down(now_us)
        return self._take_actions()

    @property
    def majority_has_room(self) -> bool:
        """Whether, as far as this leader knows, a majority's disks are not full."""
        followers = self.leader_state.followers if self.leader_state is not None else {}
        with_room = {name for name, follower in followers.items() if not follower.disk_full}
        return self._is_majority(with_room if self.disk_full else with_room | {self.name})

    def change_members(self, now_us: int, tag: int, members: tuple[str, ...]) -> list[Action]:
        """Add or remove one member.

        The proposal is dropped while another change, or the first entry of the leader's term, is uncommitted.
        """
        leader_state = self.leader_state
        if leader_state is None or not self._is_valid_change(leader_state, members):
            return [Dropped(tag, unknown=False)]
        return self.propose(now_us, tag, msgspec.msgpack.encode(members), MEMBERS)

    @property
    def can_change_members(self) -> bool:
        """Whether this leader has committed an entry of its term and no membership change is uncommitted."""
        pending = any(
            self.log.entry_at(index).kind == MEMBERS
            for index in range(max(self.commit + 1, self.log.first_index), self.log.last_index + 1)
        )
        return self.leader_state is not None and not pending and self.commit >= self.leader_state.first_index

    def _is_valid_change(self, leader_state: LeaderState, members: tuple[str, ...]) -> bool:
        return len(set(members) ^ set(self._members)) == 1 and self.can_change_members

    def step_down(self, now_us: int) -> list[Action]:
        """Transfer leadership to the most up-to-date follower, preferring those whose disk is not full."""
        self._now_us = now_us
        if self.leader_state is not None and self.leader_state.followers:
            followers = self.leader_state.followers
            name = max(
                followers, key=lambda name: (not followers[name].disk_full, followers[name].match_index)
            )
            self._emit(Send(name, TimeoutNow(self.term)))
        return self._take_actions()

    def compact(self, index: int, data: bytes) -> list[Action]:
        """Replace the log up to ``index``, which has to be committed, by the state machine's state there."""
        term = self.log.term_at(index)
        if term is None or index > self.commit or index <= self.log.snapshot.index:
            return []
        snapshot = Snapshot(index, term, self._members_at(index), data)
        self.log.compact(snapshot)
        self._persist_all()
        return self._take_actions()

    def _members_at(self, index: int) -> tuple[str, ...]:
        """Return the membership in effect at ``index``."""
        for earlier in range(index, self.log.first_index - 1, -1):
            entry = self.log.entry_at(earlier)
            if entry.kind == MEMBERS:
                return msgspec.msgpack.decode(entry.data, type=tuple[str, ...])
        return self.log.snapshot.members

    # Disk

    def _emit(self, action: Action) -> None:
        self._actions.append(action)

    def _persist(
        self, hard: HardState | None = None, first: int = 0, entries: tuple[Entry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> None:  # fmt: skip
        self._last_write += 1
        self._emit(Persist(self._last_write, hard, first, entries, snapshot))

    def _persist_all(self) -> None:
        """Write the complete state, which supersedes all earlier writes."""
        log = self.log
        entries = tuple(log.entry_at(index) for index in range(log.first_index, log.last_index + 1))
        self._persist(HardState(self.term, self.vote), log.first_index, entries, log.snapshot)

    def _after_sync(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once everything written so far is durable."""
        if self._last_synced_write >= self._last_write:
            callback()
        else:
            self._awaiting_sync.append((self._last_write, callback))

    def _send_after_sync(self, to: str, message: Message) -> None:
        """Send a message whose promise depends on writes that may not be durable yet."""
        self._after_sync(lambda: self._emit(Send(to, message)))

    def _persist_hard_state(self) -> None:
        self._persist(hard=HardState(self.term, self.vote))

    def _append_own(self, entries: tuple[Entry, ...]) -> None:
        """Append a leader's new entries to its log."""
        first = self.log.last_index + 1
        self.log.replace_from(first, entries)
        self._persist(first=first, entries=entries)
        if any(entry.kind == MEMBERS for entry in entries):
            self._members = self._latest_members()
            self._update_followers()
        term, last = self.term, self.log.last_index
        self._after_sync(lambda: self._own_entries_synced(term, last))

    def _own_entries_synced(self, term: int, last: int) -> None:
        """Count the leader's own copy of the entries, now that they are durable."""
        if self.leader_state is not None and self.term == term:
            self.leader_state.match_index = max(self.leader_state.match_index, last)
            self._advance_commit(self.leader_state)

    # Terms and elections

    def _is_prospective_term(self, message: Message) -> bool:
        """Whether the message's term has not begun, because the message belongs to a pre-vote."""
        return (isinstance(message, RequestVote) and message.pre) or (
            isinstance(message, VoteResponse) and message.pre and message.granted
        )

    def _has_recent_leader(self) -> bool:
        """Whether this member leads, or heard from a leader within the minimum election timeout."""
        heard = self.leader and self._now_us - self._leader_heard_us < self._timing.min_election_us
        return bool(heard) or self.leader_state is not None

    def _enter_term(self, term: int) -> None:
        """Adopt a newer term."""
        self.term, self.vote = term, ""
        self._persist_hard_state()
        self._become_follower("")

    def _become_follower(self, leader: str) -> None:
        """Become a follower; whether uncommitted proposals made here will be committed is unknown."""
        leader_state, self.leader_state = self.leader_state, None
        self.role, self.leader = Role.FOLLOWER, leader
        if leader_state is not None:
            for index, tag in leader_state.tags_by_index.items():
                self._emit(Dropped(tag, unknown=index > self.commit))
            for tag, _ in leader_state.pending_reads:
                self._emit(Dropped(tag, unknown=False))
        self._reset_election_timer()

    def _reset_election_timer(self) -> None:
        timing = self._timing
        self._due_us = self._now_us + self._draw(timing.min_election_us, timing.max_election_us)

    def _start_election(self, pre: bool, transfer: bool = False) -> None:
        """Ask for votes, or with ``pre`` for pre-votes.

        A pre-vote asks whether a majority would vote for this member, so that an isolated member does not
        force new terms on the others.
        """
        self._reset_election_timer()
        if self.name not in self._members:
            return
        self._pre_vote, self._votes = pre, {}
        self.leader = ""
        if pre:
            self.role = Role.FOLLOWER
            term = self.term + 1
        else:
            self.role = Role.CANDIDATE
            self.term, self.vote = self.term + 1, self.name
            term = self.term
            self._persist_hard_state()
        request = RequestVote(term, self.log.last_index, self.log.last_term, pre, transfer)
        for name in self.others:
            self._send_after_sync(name, request)
        self._after_sync(lambda: self._count_vote(term, self.name, pre))

    def _is_up_to_date(self, message: RequestVote) -> bool:
        """Whether the candidate's log is at least as up to date as this member's (paper, 5.4.1)."""
        return (message.last_term, message.last_index) >= (self.log.last_term, self.log.last_index)

    def _handle_request_vote(self, sender: str, message: RequestVote) -> None:
        if message.pre:
            granted = (
                message.term > self.term and not self._has_recent_leader() and self._is_up_to_date(message)
            )
            self._send_after_sync(
                sender, VoteResponse(message.term if granted else self.term, granted, pre=True)
            )
            return
        can_vote = self.vote in ("", sender) and self.leader_state is None
        granted = message.term == self.term and can_vote and self._is_up_to_date(message)
        if granted and self.vote != sender:
            self.vote = sender
            self._persist_hard_state()
        if granted:
            self._reset_election_timer()
        self._send_after_sync(sender, VoteResponse(self.term, granted))

    def _handle_vote(self, sender: str, message: VoteResponse) -> None:
        expected_term = self.term + 1 if message.pre else self.term
        if message.granted and message.term == expected_term:
            self._count_vote(message.term, sender, message.pre)

    def _count_vote(self, term: int, sender: str, pre: bool) -> None:
        """Count a vote for this member; with a majority, start the election proper or become leader."""
        is_current = term == (self.term + 1 if pre else self.term)
        is_electing = self.role is Role.CANDIDATE or (pre and self.leader_state is None and not self.leader)
        if not is_current or pre is not self._pre_vote or not is_electing:
            return
        self._votes[sender] = True
        if not self._is_majority(set(self._votes)):
            return
        if pre:
            self._start_election(pre=False)
        else:
            self._become_leader()

    def _become_leader(self) -> None:
        """Start leading with a no-op entry, which commits all earlier entries along with itself."""
        self.role, self.leader = Role.LEADER, self.name
        self.leader_state = LeaderState({}, self.log.last_index + 1)
        self._votes = {}
        self._update_followers()
        self._append_own((Entry(self.term, NOOP),))
        if self.leader_state is not None:
            self._send_heartbeat(self.leader_state)

    def _update_followers(self) -> None:
        """Track the progress of exactly the other members."""
        if self.leader_state is None:
            return
        known = self.leader_state.followers
        self.leader_state.followers = {
            name: known.get(name, FollowerProgress(self.log.last_index + 1, last_heard_us=self._now_us))
            for name in self.others
        }

    # Leading

    def _send_heartbeat(self, leader_state: LeaderState) -> None:
        """Send a round of messages, or step down if no majority answers any more (check-quorum)."""
        self._due_us = self._now_us + self._timing.heartbeat_us
        since_us = self._now_us - self._timing.max_election_us
        heard = {
            name for name, follower in leader_state.followers.items() if follower.last_heard_us >= since_us
        }
        if not self._is_majority(heard | {self.name}):
            self._become_follower("")
            return
        leader_state.round += 1
        self._send_all(leader_state)
        self._confirm_reads(leader_state)

    def _send_all(self, leader_state: LeaderState) -> None:
        for name in leader_state.followers:
            self._send_entries(leader_state, name)

    def _send_entries(self, leader_state: LeaderState, name: str) -> None:
        follower = leader_state.followers[name]
        previous = follower.next_index - 1
        term = self.log.term_at(previous)
        if term is None:
            self._send_snapshot(leader_state, name)
            return
        entries = () if follower.probing else self.log.entries_from(follower.next_index)
        follower.next_index += len(entries)  # optimistic; a rejection sets it back
        self._emit(
            Send(name, AppendEntries(self.term, previous, term, entries, self.commit, leader_state.round))
        )

    def _send_snapshot(self, leader_state: LeaderState, name: str) -> None:
        follower = leader_state.followers[name]
        if follower.snapshot_retry_us > self._now_us:
            return
        follower.snapshot_retry_us = self._now_us + self._timing.max_election_us
        snapshot = self.log.snapshot
        self._after_sync(
            lambda: self._emit(Send(name, InstallSnapshot(self.term, snapshot, leader_state.round)))
        )

    def _handle_append_response(self, sender: str, message: AppendResponse) -> None:
        leader_state = self.leader_state
        if leader_state is None or message.term != self.term or sender not in leader_state.followers:
            return
        follower = leader_state.followers[sender]
        follower.last_heard_us, follower.disk_full = self._now_us, message.disk_full
        follower.acked_round = max(follower.acked_round, message.round)
        if message.ok:
            follower.match_index = max(follower.match_index, message.match)
            if follower.probing and message.round >= follower.probe_round:
                follower.probing, follower.next_index = False, follower.match_index + 1
            follower.next_index = max(follower.next_index, follower.match_index + 1)
            follower.snapshot_retry_us = 0
            self._advance_commit(leader_state)
        elif message.round >= follower.probe_round:
            follower.next_index = max(follower.match_index, min(follower.next_index - 1, message.match)) + 1
            leader_state.round += 1
            follower.probing, follower.probe_round = True, leader_state.round
            self._send_entries(leader_state, sender)
        if self.leader_state is not None:
            self._confirm_reads(self.leader_state)
            if message.ok and not follower.probing and follower.next_index <= self.log.last_index:
                self._send_entries(leader_state, sender)

    def _may_commit(self, index: int) -> bool:
        """Whether the entry is of this term; older ones are committed only by a later one (paper, 5.4.2)."""
        return self.log.term_at(index) == self.term

    def _advance_commit(self, leader_state: LeaderState) -> None:
        """Commit the entries that are durable on a majority."""
        for index in range(self.log.last_index, self.commit, -1):
            stored_on = {
                name for name, follower in leader_state.followers.items() if follower.match_index >= index
            }
            if leader_state.match_index >= index:
                stored_on.add(self.name)
            if self._is_majority(stored_on) and self._may_commit(index):
                self._commit_through(index)
                break

    def _commit_through(self, index: int) -> None:
        for next_index in range(self.commit + 1, min(index, self.log.last_index) + 1):
            tag = (
                self.leader_state.tags_by_index.pop(next_index, None)
                if self.leader_state is not None
                else None
            )
            self.commit = next_index
            self._emit(Committed(next_index, self.log.entry_at(next_index), tag))
        if self.leader_state is not None:
            if self.name not in self._members and self.log.last_index == self.commit:
                self._become_follower("")  # this member was removed and the removal is committed
                return
            self._confirm_reads(self.leader_state)

    def _confirm_reads(self, leader_state: LeaderState) -> None:
        """Release the reads whose round a majority has answered.

        None is released before the first entry of this term is committed, since until then the leader may not
        know what was committed.
        """
        if self.commit < leader_state.first_index or not leader_state.pending_reads:
            return
        unconfirmed = []
        for tag, round_number in leader_state.pending_reads:
            answered = {
                name
                for name, follower in leader_state.followers.items()
                if follower.acked_round >= round_number
            }
            if self._is_majority(answered | {self.name}):
                self._emit(ReadReady(tag))
            else:
                unconfirmed.append((tag, round_number))
        leader_state.pending_reads = unconfirmed

    # Following

    def _follow_leader(self, sender: str) -> None:
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._become_follower(sender)
        self._leader_heard_us = self._now_us
        self._reset_election_timer()

    def _send_append_response(self, sender: str, ok: bool, match: int, round_number: int) -> None:
        self._send_after_sync(sender, AppendResponse(self.term, ok, match, round_number, self.disk_full))

    def _handle_append(self, sender: str, message: AppendEntries) -> None:
        if message.term < self.term:
            self._send_append_response(sender, False, 0, message.round)
            return
        self._follow_leader(sender)
        entries, previous = message.entries, message.prev_index
        if previous < self.log.snapshot.index:  # the snapshot covers these entries, so they are committed
            skipped = min(self.log.snapshot.index - previous, len(entries))
            entries, previous = entries[skipped:], previous + skipped
            if previous < self.log.snapshot.index:
                self._send_append_response(sender, True, self.log.snapshot.index, message.round)
                return
        elif self.log.term_at(previous) != message.prev_term:
            self._send_append_response(sender, False, self._retry_index(previous), message.round)
            return
        self._store_entries(previous, entries)
        match = previous + len(entries)
        self._send_append_response(sender, True, match, message.round)
        self._commit_through(max(self.commit, min(message.commit, match)))

    def _retry_index(self, previous: int) -> int:
        """Return the index from which the leader is to try next.

        That is the end of a log that is too short, or else the last index before the conflicting term, so
        that a whole term is skipped at once.
        """
        term = self.log.term_at(previous)
        if term is None:
            return min(previous - 1, self.log.last_index)
        index = previous
        while index > self.log.snapshot.index and self.log.term_at(index) == term:
            index -= 1
        return max(index, self.commit)

    def _store_entries(self, previous: int, entries: tuple[Entry, ...]) -> None:
        """Store the entries that follow ``previous``, replacing the log from the first conflict on.

        Entries that are already stored stay, together with any after them: the message may be an old one.
        """
        for position, entry in enumerate(entries):
            index = previous + 1 + position
            if self.log.term_at(index) != entry.term:
                new_entries, truncates = entries[position:], index <= self.log.last_index
                self.log.replace_from(index, new_entries)
                self._persist(first=index, entries=new_entries)
                if truncates or any(new_entry.kind == MEMBERS for new_entry in new_entries):
                    self._members = self._latest_members()
                return

    def _handle_install(self, sender: str, message: InstallSnapshot) -> None:
        if message.term < self.term:
            self._send_append_response(sender, False, 0, message.round)
            return
        self._follow_leader(sender)
        snapshot = message.snapshot
        if snapshot.index > self.commit:
            self.log.compact(snapshot)
            self._persist_all()
            self.commit = snapshot.index
            self._members = self._latest_members()
            self._emit(SnapshotInstalled(snapshot))
        self._send_append_response(sender, True, snapshot.index, message.round)
