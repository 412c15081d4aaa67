"""Raft without I/O: time, messages, disk completions and random draws go in, actions come out.

As published (Ongaro and Ousterhout 2014; Ongaro's thesis 2014): elections with pre-vote (thesis, 9.6) and
check-quorum (6.2), log matching, the commit rule for the leader's own term (paper, 5.4.2), snapshots (7),
one-at-a-time changes of membership (thesis, 4) by a leader that has committed in its own term, linearizable
reads by rounds (6.4).
What a message promises is durable before it is sent; a leader's own copy counts once it is on its disk.
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

MAX_PENDING = 4096  # proposals and reads that a leader holds at once


class Role(Enum):
    """What a member is at the moment."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """Microseconds on the member's own monotonic clock."""

    min_election_us: int = 300_000
    max_election_us: int = 600_000
    heartbeat_us: int = 60_000


@dataclass(slots=True)
class FollowerProgress:
    """What a leader knows of another member."""

    next_index: int
    match_index: int = 0
    acked_round: int = 0  # the last one that it answered
    last_heard_us: int = 0
    snapshot_retry_us: int = 0  # until when a snapshot is left under way
    disk_full: bool = False  # its disk takes nothing that can wait
    probing: bool = False  # where its log agrees is being asked for: until then it gets no entries
    probe_round: int = 0  # refusals of what was sent before tell nothing new


@dataclass(slots=True)
class LeaderState:
    """A leader's own state."""

    followers: dict[str, FollowerProgress]
    first_index: int  # the index of its first entry, by which all before are known to it
    match_index: int = 0  # its own log, as far as it is durable
    round: int = 0
    tags_by_index: dict[int, int] = field(default_factory=dict)  # by index
    pending_reads: list[tuple[int, int]] = field(default_factory=list)  # tag, and the round that confirms it


DrawInteger = Callable[[int, int], int]


class Raft:
    """One member."""

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
        """``members`` counts where the disk names none; ``draw`` gives a whole number in a span."""
        self.name, self._timing, self._draw, self._now_us = name, timing, draw, now_us
        self.term, self.vote = saved.hard.term, saved.hard.vote
        snapshot = saved.snapshot if saved.snapshot.members else Snapshot(members=members)
        self.log = Log(snapshot, saved.entries)
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit = snapshot.index
        self.leader_state: LeaderState | None = None
        self._votes: dict[str, bool] = {}
        self.disk_full = False  # this one's disk takes nothing that can wait
        self._pre_vote = False  # the votes are asked for beforehand only
        self._actions: list[Action] = []
        self._last_write = self._last_synced_write = 0  # numbers of writes
        self._awaiting_sync: deque[tuple[int, Callable[[], None]]] = deque()  # what waits for a write
        self._leader_heard_us = now_us - timing.max_election_us  # of a leader
        self._due_us = 0
        self._members = self._latest_members()
        self._reset_election_timer()

    # What members there are

    def _latest_members(self) -> tuple[str, ...]:
        """The members by the last entry that names them, committed or not (thesis, 4.1)."""
        return self._members_at(self.log.last_index)

    @property
    def members(self) -> tuple[str, ...]:
        """Who takes part, this one included if it does."""
        return self._members

    @property
    def others(self) -> list[str]:
        """The other members."""
        return [name for name in self._members if name != self.name]

    def _is_majority(self, names: set[str]) -> bool:
        return 2 * len(names & set(self._members)) > len(self._members)

    # Steps

    @property
    def due_us(self) -> int:
        """When ``wake`` is due."""
        return self._due_us

    def _take_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions

    def wake(self, now_us: int) -> list[Action]:
        """Time has passed."""
        self._now_us = now_us
        if now_us >= self._due_us:
            if self.leader_state is not None:
                self._send_heartbeat(self.leader_state)
            else:
                self._start_election(pre=True)
        return self._take_actions()

    def receive(self, now_us: int, sender: str, message: Message) -> list[Action]:
        """A message from another member; one of an older term is answered and changes nothing."""
        self._now_us = now_us
        if message.term > self.term and not self._is_prospective_term(message):
            if isinstance(message, RequestVote) and not message.transfer and self._has_recent_leader():
                return (
                    self._take_actions()
                )  # a leader is heard here: who does not hear it is not to depose it
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
        """The disk has made all writes up to that number durable."""
        self._now_us, self._last_synced_write = now_us, max(self._last_synced_write, number)
        while self._awaiting_sync and self._awaiting_sync[0][0] <= self._last_synced_write:
            self._awaiting_sync.popleft()[1]()
        return self._take_actions()

    def propose(self, now_us: int, tag: int, data: bytes, kind: int = COMMAND) -> list[Action]:
        """A leader takes a command on; any other member drops it, as surely not committed."""
        return self.propose_all(now_us, [(tag, data)], kind)

    def propose_all(self, now_us: int, some: list[tuple[int, bytes]], kind: int = COMMAND) -> list[Action]:
        """Several at once, by tag: one write, and one message to each follower."""
        self._now_us = now_us
        leader_state = self.leader_state
        if leader_state is None or len(leader_state.tags_by_index) + len(some) > MAX_PENDING:
            return [Dropped(tag, unknown=False) for tag, _ in some]
        for at, (tag, _) in enumerate(some, self.log.last_index + 1):
            leader_state.tags_by_index[at] = tag
        self._append_own(tuple(Entry(self.term, kind, data) for _, data in some))
        for name, follower in leader_state.followers.items():
            if not follower.probing:
                self._send_entries(leader_state, name)
        return self._take_actions()

    def read(self, now_us: int, *tags: int) -> list[Action]:
        """Reads: ``ReadReady`` for each once a majority still follows this leader (thesis, 6.4)."""
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
        """This member's disk takes nothing that can wait, or does again; a leader lets another lead."""
        self._now_us, self.disk_full = now_us, full
        if (
            self.leader_state is not None
            and full
            and not all(f.disk_full for f in self.leader_state.followers.values())
        ):
            return self.step_down(now_us)
        return self._take_actions()

    @property
    def majority_has_room(self) -> bool:
        """Whether a majority's disks, as far as this leader knows, take what can wait."""
        some = self.leader_state.followers if self.leader_state is not None else {}
        room = {name for name, follower in some.items() if not follower.disk_full}
        return self._is_majority(room if self.disk_full else room | {self.name})

    def change_members(self, now_us: int, tag: int, members: tuple[str, ...]) -> list[Action]:
        """Add or remove one member; dropped while another change, or the leader's term, is not committed."""
        leader_state = self.leader_state
        if leader_state is None or not self._is_valid_change(leader_state, members):
            return [Dropped(tag, unknown=False)]
        return self.propose(now_us, tag, msgspec.msgpack.encode(members), MEMBERS)

    @property
    def can_change_members(self) -> bool:
        """Whether the members may change now: no change is under way, and this leader's term has begun."""
        pending = any(
            self.log.entry_at(index).kind == MEMBERS
            for index in range(max(self.commit + 1, self.log.first_index), self.log.last_index + 1)
        )
        return self.leader_state is not None and not pending and self.commit >= self.leader_state.first_index

    def _is_valid_change(self, leader_state: LeaderState, members: tuple[str, ...]) -> bool:
        return len(set(members) ^ set(self._members)) == 1 and self.can_change_members

    def step_down(self, now_us: int) -> list[Action]:
        """An operator's wish: the follower that is furthest, of those with room, takes over."""
        self._now_us = now_us
        if self.leader_state is not None and self.leader_state.followers:
            some = self.leader_state.followers
            name = max(some, key=lambda name: (not some[name].disk_full, some[name].match_index))
            self._emit(Send(name, TimeoutNow(self.term)))
        return self._take_actions()

    def compact(self, index: int, data: bytes) -> list[Action]:
        """The state machine's state after ``index``, which is committed: what it holds leaves the log."""
        term = self.log.term_at(index)
        if term is None or index > self.commit or index <= self.log.snapshot.index:
            return []
        snapshot = Snapshot(index, term, self._members_at(index), data)
        self.log.compact(snapshot)
        self._persist_all()
        return self._take_actions()

    def _members_at(self, index: int) -> tuple[str, ...]:
        """The members by the last entry up to an index that names them."""
        for at in range(index, self.log.first_index - 1, -1):
            entry = self.log.entry_at(at)
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
        """A write that holds everything: whatever was written before counts no more."""
        log = self.log
        entries = tuple(log.entry_at(index) for index in range(log.first_index, log.last_index + 1))
        self._persist(HardState(self.term, self.vote), log.first_index, entries, log.snapshot)

    def _after_sync(self, done: Callable[[], None]) -> None:
        """Once all that is written so far is durable."""
        if self._last_synced_write >= self._last_write:
            done()
        else:
            self._awaiting_sync.append((self._last_write, done))

    def _send_after_sync(self, to: str, message: Message) -> None:
        """Send what rests on this member's disk."""
        self._after_sync(lambda: self._emit(Send(to, message)))

    def _persist_hard_state(self) -> None:
        self._persist(hard=HardState(self.term, self.vote))

    def _append_own(self, entries: tuple[Entry, ...]) -> None:
        """A leader's own entries."""
        first = self.log.last_index + 1
        self.log.replace_from(first, entries)
        self._persist(first=first, entries=entries)
        if any(entry.kind == MEMBERS for entry in entries):
            self._members = self._latest_members()
            self._update_followers()
        term, last = self.term, self.log.last_index
        self._after_sync(lambda: self._own_entries_synced(term, last))

    def _own_entries_synced(self, term: int, last: int) -> None:
        """A leader's entries are durable here."""
        if self.leader_state is not None and self.term == term:
            self.leader_state.match_index = max(self.leader_state.match_index, last)
            self._advance_commit(self.leader_state)

    # Terms and elections

    def _is_prospective_term(self, message: Message) -> bool:
        """Whether a higher term in it is only one that may come."""
        return (isinstance(message, RequestVote) and message.pre) or (
            isinstance(message, VoteResponse) and message.pre and message.granted
        )

    def _has_recent_leader(self) -> bool:
        """Whether a leader was heard so lately that no election may have begun since."""
        led = self.leader and self._now_us - self._leader_heard_us < self._timing.min_election_us
        return bool(led) or self.leader_state is not None

    def _enter_term(self, term: int) -> None:
        """A newer term has begun."""
        self.term, self.vote = term, ""
        self._persist_hard_state()
        self._become_follower("")

    def _become_follower(self, leader: str) -> None:
        """Follow; what was proposed here has an unknown end."""
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
        """Ask for votes; first whether there would be a majority, so that a lone member disturbs none."""
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
        ask = RequestVote(term, self.log.last_index, self.log.last_term, pre, transfer)
        for name in self.others:
            self._send_after_sync(name, ask)
        self._after_sync(lambda: self._count_vote(term, self.name, pre))

    def _is_up_to_date(self, message: RequestVote) -> bool:
        """Whether the asker's log holds all that may be committed (5.4.1)."""
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
        free = self.vote in ("", sender) and self.leader_state is None
        granted = message.term == self.term and free and self._is_up_to_date(message)
        if granted and self.vote != sender:
            self.vote = sender
            self._persist_hard_state()
        if granted:
            self._reset_election_timer()
        self._send_after_sync(sender, VoteResponse(self.term, granted))

    def _handle_vote(self, sender: str, message: VoteResponse) -> None:
        wanted = self.term + 1 if message.pre else self.term
        if message.granted and message.term == wanted:
            self._count_vote(message.term, sender, message.pre)

    def _count_vote(self, term: int, sender: str, pre: bool) -> None:
        """A vote for this member."""
        current = term == (self.term + 1 if pre else self.term)
        asking = self.role is Role.CANDIDATE or (pre and self.leader_state is None and not self.leader)
        if not current or pre is not self._pre_vote or not asking:
            return
        self._votes[sender] = True
        if not self._is_majority(set(self._votes)):
            return
        if pre:
            self._start_election(pre=False)
        else:
            self._become_leader()

    def _become_leader(self) -> None:
        """The election is won: an entry of this term is the first that counts."""
        self.role, self.leader = Role.LEADER, self.name
        self.leader_state = LeaderState({}, self.log.last_index + 1)
        self._votes = {}
        self._update_followers()
        self._append_own((Entry(self.term, NOOP),))
        if self.leader_state is not None:
            self._send_heartbeat(self.leader_state)

    def _update_followers(self) -> None:
        """A leader's followers are the other members."""
        if self.leader_state is None:
            return
        known = self.leader_state.followers
        self.leader_state.followers = {
            name: known.get(name, FollowerProgress(self.log.last_index + 1, last_heard_us=self._now_us))
            for name in self.others
        }

    # LeaderState

    def _send_heartbeat(self, leader_state: LeaderState) -> None:
        """A heartbeat; a leader that a majority has not answered for long is one no longer (check-quorum)."""
        self._due_us = self._now_us + self._timing.heartbeat_us
        since_us = self._now_us - self._timing.max_election_us
        heard = {name for name, some in leader_state.followers.items() if some.last_heard_us >= since_us}
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
        follower.next_index += len(entries)  # hoped for; an answer that it is not so sets it back
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
        follower.last_heard_us, follower.disk_full = self._now_us, message.full
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
        """An older term's entry is committed only by one of this term behind it (5.4.2)."""
        return self.log.term_at(index) == self.term

    def _advance_commit(self, leader_state: LeaderState) -> None:
        """Commit what a majority has on its disks."""
        for index in range(self.log.last_index, self.commit, -1):
            have = {name for name, some in leader_state.followers.items() if some.match_index >= index}
            if leader_state.match_index >= index:
                have.add(self.name)
            if self._is_majority(have) and self._may_commit(index):
                self._commit_through(index)
                break

    def _commit_through(self, index: int) -> None:
        for at in range(self.commit + 1, min(index, self.log.last_index) + 1):
            tag = self.leader_state.tags_by_index.pop(at, None) if self.leader_state is not None else None
            self.commit = at
            self._emit(Committed(at, self.log.entry_at(at), tag))
        if self.leader_state is not None:
            if self.name not in self._members and self.log.last_index == self.commit:
                self._become_follower("")  # removed, and the others know it
                return
            self._confirm_reads(self.leader_state)

    def _confirm_reads(self, leader_state: LeaderState) -> None:
        """Reads whose round a majority has answered; none before this term's first entry is committed."""
        if self.commit < leader_state.first_index or not leader_state.pending_reads:
            return
        rest = []
        for tag, number in leader_state.pending_reads:
            have = {name for name, some in leader_state.followers.items() if some.acked_round >= number}
            if self._is_majority(have | {self.name}):
                self._emit(ReadReady(tag))
            else:
                rest.append((tag, number))
        leader_state.pending_reads = rest

    # Following

    def _follow_leader(self, sender: str) -> None:
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._become_follower(sender)
        self._leader_heard_us = self._now_us
        self._reset_election_timer()

    def _send_append_response(self, sender: str, ok: bool, match: int, number: int) -> None:
        self._send_after_sync(sender, AppendResponse(self.term, ok, match, number, self.disk_full))

    def _handle_append(self, sender: str, message: AppendEntries) -> None:
        if message.term < self.term:
            self._send_append_response(sender, False, 0, message.round)
            return
        self._follow_leader(sender)
        entries, previous = message.entries, message.prev_index
        if previous < self.log.snapshot.index:  # the snapshot holds these, and they are committed
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
        """Where the leader is to try next: before the whole term that disagrees, or at the log's end."""
        term = self.log.term_at(previous)
        if term is None:
            return min(previous - 1, self.log.last_index)
        index = previous
        while index > self.log.snapshot.index and self.log.term_at(index) == term:
            index -= 1
        return max(index, self.commit)

    def _store_entries(self, previous: int, entries: tuple[Entry, ...]) -> None:
        """Keep what agrees, and replace what does not from the first entry on that differs."""
        for at, entry in enumerate(entries):
            index = previous + 1 + at
            if self.log.term_at(index) != entry.term:
                rest, undone = entries[at:], index <= self.log.last_index
                self.log.replace_from(index, rest)
                self._persist(first=index, entries=rest)
                if undone or any(item.kind == MEMBERS for item in rest):
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
