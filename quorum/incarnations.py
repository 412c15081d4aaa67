"""Which life of a member is heard. Pure.

Agreement rests on what each member has promised from its disk. A folder that is lost, or put back from an old
copy, has forgotten promises, and two processes on copies of one folder promise twice. So each folder has a
name of its own, each start in it a number, each process a word; the others keep what they have heard last,
on their disks, and do not hear what is behind it. As a copy may also be of the very life that ran last, a
process says with what it began, and who had a promise of it that is not in there does not hear it either.
That is evidence, never a guess. A leader that has some has all members shun the folder by an entry of the
log; a copy whose missing promises were made only to members that have been lost meanwhile passes as a crash.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from quorum.messages import AppendResponse, Message, RequestVote, VoteResponse

MAX_SHUNNED_FOLDERS = 64  # folders


class Incarnation(msgspec.Struct, frozen=True, array_like=True):
    """One life of a member."""

    folder: str  # drawn when the folder was made
    start: int  # of the starts in that folder, from 1
    run: str  # drawn by the process


class StartupClaim(msgspec.Struct, frozen=True, array_like=True):
    """What a process found in its folder when it began."""

    term: int = 0
    vote: str = ""
    last: int = 0  # index of the log's last entry


class PeerPromises(msgspec.Struct):
    """What one member has promised this one."""

    term: int = 0
    voted: int = 0  # the last term in which it gave this one its vote
    acked_term: int = 0
    acked: int = 0  # the last entry that it acknowledged in that term

    def record_message(self, message: Message) -> None:
        """One more message of it."""
        if isinstance(message, RequestVote | VoteResponse) and message.pre:
            return
        self.term = max(self.term, message.term)
        if isinstance(message, VoteResponse) and message.granted:
            self.voted = message.term
        if isinstance(message, AppendResponse) and message.ok:
            if message.term > self.acked_term:
                self.acked_term, self.acked = message.term, 0
            self.acked = max(self.acked, message.match)

    def is_broken_by(self, claim: StartupClaim, own: str) -> bool:
        """Whether a folder that holds so much has forgotten a promise."""
        if claim.term < self.term:
            return True
        if self.voted and claim.term == self.voted and claim.vote != own:
            return True
        return claim.term == self.acked_term and claim.last < self.acked


class IncarnationRegistry:
    """What one member has heard of the others."""

    def __init__(self, own: str, known: dict[str, Incarnation], shunned: Iterable[str] = ()) -> None:
        self._own_name, self._known = own, dict(known)
        self._shunned = dict.fromkeys(shunned)  # folders, the latest last
        self._promises: dict[str, PeerPromises] = {}

    @property
    def known(self) -> dict[str, Incarnation]:
        """The latest life of each, which has to be durable before it is listened to."""
        return dict(self._known)

    @property
    def shunned(self) -> tuple[str, ...]:
        """Folders that have forgotten a promise, which has to be durable too."""
        return tuple(self._shunned)

    def shun(self, folder: str) -> bool:
        """Hear that folder no more; whether that is news."""
        if folder in self._shunned:
            return False
        self._shunned[folder] = None
        while len(self._shunned) > MAX_SHUNNED_FOLDERS:
            del self._shunned[next(iter(self._shunned))]
        return True

    def record_message(self, name: str, message: Message) -> None:
        """A message of a life that is listened to."""
        self._promises.setdefault(name, PeerPromises()).record_message(message)

    def rejection_reason(self, name: str, life: Incarnation, claim: StartupClaim) -> str:
        """Why a member that says to be so is not listened to; empty where it is."""
        known, again = self._known.get(name), "take it out and add it again"
        if known is not None and life.folder == known.folder:
            newer, twice = life.start > known.start, life.start == known.start and life.run != known.run
            if twice or (
                newer and self._promises.get(name, PeerPromises()).is_broken_by(claim, self._own_name)
            ):
                self.shun(life.folder)
        older = known is not None and life.folder == known.folder and life.start < known.start
        if older or life.folder in self._shunned:
            return f"{name} speaks from a copy of its folder: {again}"
        if known is None or life == known:
            return ""
        if life.folder != known.folder:
            return f"{name} was known by another folder: {again}"
        return ""

    def accept(self, name: str, life: Incarnation) -> bool:
        """Note a life that is listened to; whether that is news, and so has to be made durable."""
        news = self._known.get(name) != life
        self._known[name] = life
        return news

    def revert(self, name: str, durable: dict[str, Incarnation]) -> None:
        """What was heard of a member could not be made durable: the last that was counts."""
        if name in durable:
            self._known[name] = durable[name]
        else:
            self._known.pop(name, None)

    def retain_members(self, names: tuple[str, ...]) -> bool:
        """Forget those that are no members any more; whether there were any."""
        gone = [name for name in self._known if name not in names]
        for name in gone:
            del self._known[name]
            self._promises.pop(name, None)
        return bool(gone)
