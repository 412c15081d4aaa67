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
    Append,
    Appended,
    AskVote,
    Committed,
    Dropped,
    Entry,
    Hard,
    Install,
    Message,
    Persist,
    Readable,
    RecoveredState,
    Restored,
    Send,
    Snapshot,
    TakeOver,
    Vote,
)

MOST_WAITING = 4096  # proposals and reads that a leader holds at once


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
class Follower:
    """What a leader knows of another member."""

    next: int
    match: int = 0
    round: int = 0  # the last one that it answered
    heard_us: int = 0
    installing_us: int = 0  # until when a snapshot is left under way
    disk_full: bool = False  # its disk takes nothing that can wait
    probing: bool = False  # where its log agrees is being asked for: until then it gets no entries
    probe_round: int = 0  # refusals of what was sent before tell nothing new


@dataclass(slots=True)
class Leading:
    """A leader's own state."""

    followers: dict[str, Follower]
    first: int  # the index of its first entry, by which all before are known to it
    match: int = 0  # its own log, as far as it is durable
    round: int = 0
    tags: dict[int, int] = field(default_factory=dict)  # by index
    reads: list[tuple[int, int]] = field(default_factory=list)  # tag, and the round that confirms it


Draw = Callable[[int, int], int]


class Raft:
    """One member."""

    def __init__(
        self,
        name: str,
        members: tuple[str, ...],
        *,
        saved: RecoveredState,
        timing: Timing,
        draw: Draw,
        now_us: int,
    ) -> None:
        """``members`` counts where the disk names none; ``draw`` gives a whole number in a span."""
        self.name, self._timing, self._draw, self._now_us = name, timing, draw, now_us
        self.term, self.vote = saved.hard.term, saved.hard.vote
        snapshot = saved.snapshot if saved.snapshot.members else Snapshot(members=members)
        self.log = Log(snapshot, saved.entries)
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit = snapshot.index
        self.leader_state: Leading | None = None
        self._votes: dict[str, bool] = {}
        self.disk_full = False  # this one's disk takes nothing that can wait
        self._pre = False  # the votes are asked for beforehand only
        self._actions: list[Action] = []
        self._written = self._synced = 0  # numbers of writes
        self._held: deque[tuple[int, Callable[[], None]]] = deque()  # what waits for a write
        self._heard_us = now_us - timing.max_election_us  # of a leader
        self._due_us = 0
        self._members = self._members_now()
        self._wait_for_leader()

    # What members there are

    def _members_now(self) -> tuple[str, ...]:
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

    def _majority(self, names: set[str]) -> bool:
        return 2 * len(names & set(self._members)) > len(self._members)

    # Steps

    @property
    def due_us(self) -> int:
        """When ``wake`` is due."""
        return self._due_us

    def _taken(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions

    def wake(self, now_us: int) -> list[Action]:
        """Time has passed."""
        self._now_us = now_us
        if now_us >= self._due_us:
            if self.leader_state is not None:
                self._beat(self.leader_state)
            else:
                self._stand(pre=True)
        return self._taken()

    def receive(self, now_us: int, sender: str, message: Message) -> list[Action]:
        """A message from another member; one of an older term is answered and changes nothing."""
        self._now_us = now_us
        if message.term > self.term and not self._foreseen(message):
            if isinstance(message, AskVote) and not message.transfer and self._led():
                return self._taken()  # a leader is heard here: who does not hear it is not to depose it
            self._enter(message.term)
        match message:
            case AskVote():
                self._asked(sender, message)
            case Vote():
                self._voted(sender, message)
            case Append():
                self._append(sender, message)
            case Appended():
                self._appended(sender, message)
            case Install():
                self._install(sender, message)
            case TakeOver():
                if message.term == self.term and self.name in self._members:
                    self._stand(pre=False, transfer=True)
        return self._taken()

    def synced(self, now_us: int, number: int) -> list[Action]:
        """The disk has made all writes up to that number durable."""
        self._now_us, self._synced = now_us, max(self._synced, number)
        while self._held and self._held[0][0] <= self._synced:
            self._held.popleft()[1]()
        return self._taken()

    def propose(self, now_us: int, tag: int, data: bytes, kind: int = COMMAND) -> list[Action]:
        """A leader takes a command on; any other member drops it, as surely not committed."""
        return self.propose_all(now_us, [(tag, data)], kind)

    def propose_all(self, now_us: int, some: list[tuple[int, bytes]], kind: int = COMMAND) -> list[Action]:
        """Several at once, by tag: one write, and one message to each follower."""
        self._now_us = now_us
        leading = self.leader_state
        if leading is None or len(leading.tags) + len(some) > MOST_WAITING:
            return [Dropped(tag, unknown=False) for tag, _ in some]
        for at, (tag, _) in enumerate(some, self.log.last_index + 1):
            leading.tags[at] = tag
        self._extend(tuple(Entry(self.term, kind, data) for _, data in some))
        for name, follower in leading.followers.items():
            if not follower.probing:
                self._send_entries(leading, name)
        return self._taken()

    def read(self, now_us: int, *tags: int) -> list[Action]:
        """Reads: ``Readable`` for each once a majority still follows this leader (thesis, 6.4)."""
        self._now_us = now_us
        leading = self.leader_state
        if leading is None or len(leading.reads) + len(tags) > MOST_WAITING:
            return [Dropped(tag, unknown=False) for tag in tags]
        leading.round += 1
        leading.reads += [(tag, leading.round) for tag in tags]
        self._send_all(leading)
        self._confirm(leading)
        return self._taken()

    def disk(self, now_us: int, full: bool) -> list[Action]:
        """This member's disk takes nothing that can wait, or does again; a leader lets another lead."""
        self._now_us, self.disk_full = now_us, full
        if (
            self.leader_state is not None
            and full
            and not all(f.disk_full for f in self.leader_state.followers.values())
        ):
            return self.step_down(now_us)
        return self._taken()

    @property
    def roomy(self) -> bool:
        """Whether a majority's disks, as far as this leader knows, take what can wait."""
        some = self.leader_state.followers if self.leader_state is not None else {}
        room = {name for name, follower in some.items() if not follower.disk_full}
        return self._majority(room if self.disk_full else room | {self.name})

    def change(self, now_us: int, tag: int, members: tuple[str, ...]) -> list[Action]:
        """Add or remove one member; dropped while another change, or the leader's term, is not committed."""
        leading = self.leader_state
        if leading is None or not self._may_change(leading, members):
            return [Dropped(tag, unknown=False)]
        return self.propose(now_us, tag, msgspec.msgpack.encode(members), MEMBERS)

    @property
    def can_change_members(self) -> bool:
        """Whether the members may change now: no change is under way, and this leader's term has begun."""
        pending = any(
            self.log.entry_at(index).kind == MEMBERS
            for index in range(max(self.commit + 1, self.log.first_index), self.log.last_index + 1)
        )
        return self.leader_state is not None and not pending and self.commit >= self.leader_state.first

    def _may_change(self, leading: Leading, members: tuple[str, ...]) -> bool:
        return len(set(members) ^ set(self._members)) == 1 and self.can_change_members

    def step_down(self, now_us: int) -> list[Action]:
        """An operator's wish: the follower that is furthest, of those with room, takes over."""
        self._now_us = now_us
        if self.leader_state is not None and self.leader_state.followers:
            some = self.leader_state.followers
            name = max(some, key=lambda name: (not some[name].disk_full, some[name].match))
            self._emit(Send(name, TakeOver(self.term)))
        return self._taken()

    def compact(self, index: int, data: bytes) -> list[Action]:
        """The state machine's state after ``index``, which is committed: what it holds leaves the log."""
        term = self.log.term_at(index)
        if term is None or index > self.commit or index <= self.log.snapshot.index:
            return []
        snapshot = Snapshot(index, term, self._members_at(index), data)
        self.log.compact(snapshot)
        self._persist_all()
        return self._taken()

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
        self, hard: Hard | None = None, first: int = 0, entries: tuple[Entry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> None:  # fmt: skip
        self._written += 1
        self._emit(Persist(self._written, hard, first, entries, snapshot))

    def _persist_all(self) -> None:
        """A write that holds everything: whatever was written before counts no more."""
        log = self.log
        entries = tuple(log.entry_at(index) for index in range(log.first_index, log.last_index + 1))
        self._persist(Hard(self.term, self.vote), log.first_index, entries, log.snapshot)

    def _after_sync(self, done: Callable[[], None]) -> None:
        """Once all that is written so far is durable."""
        if self._synced >= self._written:
            done()
        else:
            self._held.append((self._written, done))

    def _promise(self, to: str, message: Message) -> None:
        """Send what rests on this member's disk."""
        self._after_sync(lambda: self._emit(Send(to, message)))

    def _save_hard(self) -> None:
        self._persist(hard=Hard(self.term, self.vote))

    def _extend(self, entries: tuple[Entry, ...]) -> None:
        """A leader's own entries."""
        first = self.log.last_index + 1
        self.log.replace(first, entries)
        self._persist(first=first, entries=entries)
        if any(entry.kind == MEMBERS for entry in entries):
            self._members = self._members_now()
            self._meet_members()
        term, last = self.term, self.log.last_index
        self._after_sync(lambda: self._own(term, last))

    def _own(self, term: int, last: int) -> None:
        """A leader's entries are durable here."""
        if self.leader_state is not None and self.term == term:
            self.leader_state.match = max(self.leader_state.match, last)
            self._advance(self.leader_state)

    # Terms and elections

    def _foreseen(self, message: Message) -> bool:
        """Whether a higher term in it is only one that may come."""
        return (isinstance(message, AskVote) and message.pre) or (
            isinstance(message, Vote) and message.pre and message.granted
        )

    def _led(self) -> bool:
        """Whether a leader was heard so lately that no election may have begun since."""
        led = self.leader and self._now_us - self._heard_us < self._timing.min_election_us
        return bool(led) or self.leader_state is not None

    def _enter(self, term: int) -> None:
        """A newer term has begun."""
        self.term, self.vote = term, ""
        self._save_hard()
        self._yield("")

    def _yield(self, leader: str) -> None:
        """Follow; what was proposed here has an unknown end."""
        leading, self.leader_state = self.leader_state, None
        self.role, self.leader = Role.FOLLOWER, leader
        if leading is not None:
            for index, tag in leading.tags.items():
                self._emit(Dropped(tag, unknown=index > self.commit))
            for tag, _ in leading.reads:
                self._emit(Dropped(tag, unknown=False))
        self._wait_for_leader()

    def _wait_for_leader(self) -> None:
        timing = self._timing
        self._due_us = self._now_us + self._draw(timing.min_election_us, timing.max_election_us)

    def _stand(self, pre: bool, transfer: bool = False) -> None:
        """Ask for votes; first whether there would be a majority, so that a lone member disturbs none."""
        self._wait_for_leader()
        if self.name not in self._members:
            return
        self._pre, self._votes = pre, {}
        self.leader = ""
        if pre:
            self.role = Role.FOLLOWER
            term = self.term + 1
        else:
            self.role = Role.CANDIDATE
            self.term, self.vote = self.term + 1, self.name
            term = self.term
            self._save_hard()
        ask = AskVote(term, self.log.last_index, self.log.last_term, pre, transfer)
        for name in self.others:
            self._promise(name, ask)
        self._after_sync(lambda: self._count(term, self.name, pre))

    def _up_to_date(self, message: AskVote) -> bool:
        """Whether the asker's log holds all that may be committed (5.4.1)."""
        return (message.last_term, message.last_index) >= (self.log.last_term, self.log.last_index)

    def _asked(self, sender: str, message: AskVote) -> None:
        if message.pre:
            granted = message.term > self.term and not self._led() and self._up_to_date(message)
            self._promise(sender, Vote(message.term if granted else self.term, granted, pre=True))
            return
        free = self.vote in ("", sender) and self.leader_state is None
        granted = message.term == self.term and free and self._up_to_date(message)
        if granted and self.vote != sender:
            self.vote = sender
            self._save_hard()
        if granted:
            self._wait_for_leader()
        self._promise(sender, Vote(self.term, granted))

    def _voted(self, sender: str, message: Vote) -> None:
        wanted = self.term + 1 if message.pre else self.term
        if message.granted and message.term == wanted:
            self._count(message.term, sender, message.pre)

    def _count(self, term: int, sender: str, pre: bool) -> None:
        """A vote for this member."""
        current = term == (self.term + 1 if pre else self.term)
        asking = self.role is Role.CANDIDATE or (pre and self.leader_state is None and not self.leader)
        if not current or pre is not self._pre or not asking:
            return
        self._votes[sender] = True
        if not self._majority(set(self._votes)):
            return
        if pre:
            self._stand(pre=False)
        else:
            self._lead()

    def _lead(self) -> None:
        """The election is won: an entry of this term is the first that counts."""
        self.role, self.leader = Role.LEADER, self.name
        self.leader_state = Leading({}, self.log.last_index + 1)
        self._votes = {}
        self._meet_members()
        self._extend((Entry(self.term, NOOP),))
        if self.leader_state is not None:
            self._beat(self.leader_state)

    def _meet_members(self) -> None:
        """A leader's followers are the other members."""
        if self.leader_state is None:
            return
        known = self.leader_state.followers
        self.leader_state.followers = {
            name: known.get(name, Follower(self.log.last_index + 1, heard_us=self._now_us))
            for name in self.others
        }

    # Leading

    def _beat(self, leading: Leading) -> None:
        """A heartbeat; a leader that a majority has not answered for long is one no longer (check-quorum)."""
        self._due_us = self._now_us + self._timing.heartbeat_us
        since_us = self._now_us - self._timing.max_election_us
        heard = {name for name, some in leading.followers.items() if some.heard_us >= since_us}
        if not self._majority(heard | {self.name}):
            self._yield("")
            return
        leading.round += 1
        self._send_all(leading)
        self._confirm(leading)

    def _send_all(self, leading: Leading) -> None:
        for name in leading.followers:
            self._send_entries(leading, name)

    def _send_entries(self, leading: Leading, name: str) -> None:
        follower = leading.followers[name]
        previous = follower.next - 1
        term = self.log.term_at(previous)
        if term is None:
            self._send_snapshot(leading, name)
            return
        entries = () if follower.probing else self.log.since(follower.next)
        follower.next += len(entries)  # hoped for; an answer that it is not so sets it back
        self._emit(Send(name, Append(self.term, previous, term, entries, self.commit, leading.round)))

    def _send_snapshot(self, leading: Leading, name: str) -> None:
        follower = leading.followers[name]
        if follower.installing_us > self._now_us:
            return
        follower.installing_us = self._now_us + self._timing.max_election_us
        snapshot = self.log.snapshot
        self._after_sync(lambda: self._emit(Send(name, Install(self.term, snapshot, leading.round))))

    def _appended(self, sender: str, message: Appended) -> None:
        leading = self.leader_state
        if leading is None or message.term != self.term or sender not in leading.followers:
            return
        follower = leading.followers[sender]
        follower.heard_us, follower.disk_full = self._now_us, message.full
        follower.round = max(follower.round, message.round)
        if message.ok:
            follower.match = max(follower.match, message.match)
            if follower.probing and message.round >= follower.probe_round:
                follower.probing, follower.next = False, follower.match + 1
            follower.next = max(follower.next, follower.match + 1)
            follower.installing_us = 0
            self._advance(leading)
        elif message.round >= follower.probe_round:
            follower.next = max(follower.match, min(follower.next - 1, message.match)) + 1
            leading.round += 1
            follower.probing, follower.probe_round = True, leading.round
            self._send_entries(leading, sender)
        if self.leader_state is not None:
            self._confirm(self.leader_state)
            if message.ok and not follower.probing and follower.next <= self.log.last_index:
                self._send_entries(leading, sender)

    def _may_commit(self, index: int) -> bool:
        """An older term's entry is committed only by one of this term behind it (5.4.2)."""
        return self.log.term_at(index) == self.term

    def _advance(self, leading: Leading) -> None:
        """Commit what a majority has on its disks."""
        for index in range(self.log.last_index, self.commit, -1):
            have = {name for name, some in leading.followers.items() if some.match >= index}
            if leading.match >= index:
                have.add(self.name)
            if self._majority(have) and self._may_commit(index):
                self._commit(index)
                break

    def _commit(self, index: int) -> None:
        for at in range(self.commit + 1, min(index, self.log.last_index) + 1):
            tag = self.leader_state.tags.pop(at, None) if self.leader_state is not None else None
            self.commit = at
            self._emit(Committed(at, self.log.entry_at(at), tag))
        if self.leader_state is not None:
            if self.name not in self._members and self.log.last_index == self.commit:
                self._yield("")  # removed, and the others know it
                return
            self._confirm(self.leader_state)

    def _confirm(self, leading: Leading) -> None:
        """Reads whose round a majority has answered; none before this term's first entry is committed."""
        if self.commit < leading.first or not leading.reads:
            return
        rest = []
        for tag, number in leading.reads:
            have = {name for name, some in leading.followers.items() if some.round >= number}
            if self._majority(have | {self.name}):
                self._emit(Readable(tag))
            else:
                rest.append((tag, number))
        leading.reads = rest

    # Following

    def _follow(self, sender: str) -> None:
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._yield(sender)
        self._heard_us = self._now_us
        self._wait_for_leader()

    def _answer(self, sender: str, ok: bool, match: int, number: int) -> None:
        self._promise(sender, Appended(self.term, ok, match, number, self.disk_full))

    def _append(self, sender: str, message: Append) -> None:
        if message.term < self.term:
            self._answer(sender, False, 0, message.round)
            return
        self._follow(sender)
        entries, previous = message.entries, message.prev_index
        if previous < self.log.snapshot.index:  # the snapshot holds these, and they are committed
            skipped = min(self.log.snapshot.index - previous, len(entries))
            entries, previous = entries[skipped:], previous + skipped
            if previous < self.log.snapshot.index:
                self._answer(sender, True, self.log.snapshot.index, message.round)
                return
        elif self.log.term_at(previous) != message.prev_term:
            self._answer(sender, False, self._agrees(previous), message.round)
            return
        self._take(previous, entries)
        match = previous + len(entries)
        self._answer(sender, True, match, message.round)
        self._commit(max(self.commit, min(message.commit, match)))

    def _agrees(self, previous: int) -> int:
        """Where the leader is to try next: before the whole term that disagrees, or at the log's end."""
        term = self.log.term_at(previous)
        if term is None:
            return min(previous - 1, self.log.last_index)
        index = previous
        while index > self.log.snapshot.index and self.log.term_at(index) == term:
            index -= 1
        return max(index, self.commit)

    def _take(self, previous: int, entries: tuple[Entry, ...]) -> None:
        """Keep what agrees, and replace what does not from the first entry on that differs."""
        for at, entry in enumerate(entries):
            index = previous + 1 + at
            if self.log.term_at(index) != entry.term:
                rest, undone = entries[at:], index <= self.log.last_index
                self.log.replace(index, rest)
                self._persist(first=index, entries=rest)
                if undone or any(item.kind == MEMBERS for item in rest):
                    self._members = self._members_now()
                return

    def _install(self, sender: str, message: Install) -> None:
        if message.term < self.term:
            self._answer(sender, False, 0, message.round)
            return
        self._follow(sender)
        snapshot = message.snapshot
        if snapshot.index > self.commit:
            self.log.compact(snapshot)
            self._persist_all()
            self.commit = snapshot.index
            self._members = self._members_now()
            self._emit(Restored(snapshot))
        self._answer(sender, True, snapshot.index, message.round)
