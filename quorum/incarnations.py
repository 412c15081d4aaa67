"""Rejection of members whose folder has lost durable state. No I/O.

Raft is safe only if no member forgets what it has promised: its term, its vote, the entries it acknowledged.
A folder that was lost or restored from an old copy has forgotten promises, and two processes on copies of one
folder can make contradictory ones. To detect this:

- Each folder has a random name, each start in a folder a number, and each process a random word. Together
  they identify an incarnation of a member. The other members store on their own disks which incarnation they
  accepted last, and reject older ones.
- A copy may have been taken from the very incarnation that ran last. Therefore a process also states the
  term, vote and last index that it started with. A member that holds a promise which is missing there rejects
  it.

A folder is rejected only on such evidence. A leader that has evidence commits a log entry that makes all
members shun the folder. A copy whose missing promises were made only to members that have since been lost
cannot be told from a crash and is accepted.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from quorum.messages import AppendResponse, Message, RequestVote, VoteResponse

MAX_SHUNNED_FOLDERS = 64  # beyond that, the oldest is forgotten


class Incarnation(msgspec.Struct, frozen=True, array_like=True):
    """One run of a member's process on its folder."""

    folder: str  # random name, chosen when the folder was created
    start: int  # number of the start in that folder, from 1
    run: str  # random word, chosen by the process


class StartupClaim(msgspec.Struct, frozen=True, array_like=True):
    """The durable state that a process found in its folder when it started."""

    term: int = 0
    vote: str = ""
    last: int = 0  # index of the last log entry


class PeerPromises(msgspec.Struct):
    """What another member has promised to this one."""

    term: int = 0
    voted: int = 0  # the last term in which it voted for this member
    acked_term: int = 0
    acked: int = 0  # index of the last entry that it acknowledged in that term

    def record_message(self, message: Message) -> None:
        """Note the promises in a message from that member."""
        if isinstance(message, RequestVote | VoteResponse) and message.pre:
            return
        self.term = max(self.term, message.term)
        if isinstance(message, VoteResponse) and message.granted:
            self.voted = message.term
        if isinstance(message, AppendResponse) and message.ok:
            if message.term > self.acked_term:
                self.acked_term, self.acked = message.term, 0
            self.acked = max(self.acked, message.match)

    def is_broken_by(self, claim: StartupClaim, own_name: str) -> bool:
        """Whether a promise is missing from the state that the member's process started with."""
        if claim.term < self.term:
            return True
        if self.voted and claim.term == self.voted and claim.vote != own_name:
            return True
        return claim.term == self.acked_term and claim.last < self.acked


class IncarnationRegistry:
    """The incarnations of other members that one member has accepted, and the folders that it rejects."""

    def __init__(self, own_name: str, known: dict[str, Incarnation], shunned: Iterable[str] = ()) -> None:
        self._own_name, self._known = own_name, dict(known)
        self._shunned = dict.fromkeys(shunned)  # folders, oldest first
        self._promises: dict[str, PeerPromises] = {}

    @property
    def known(self) -> dict[str, Incarnation]:
        """The latest accepted incarnation by member; it has to be durable before its messages are handled."""
        return dict(self._known)

    @property
    def shunned(self) -> tuple[str, ...]:
        """Folders that have lost durable state, oldest first; these have to be durable too."""
        return tuple(self._shunned)

    def shun(self, folder: str) -> bool:
        """Reject a folder from now on; returns whether it was not rejected before."""
        if folder in self._shunned:
            return False
        self._shunned[folder] = None
        while len(self._shunned) > MAX_SHUNNED_FOLDERS:
            del self._shunned[next(iter(self._shunned))]
        return True

    def record_message(self, name: str, message: Message) -> None:
        """Note the promises in a message of an accepted incarnation."""
        self._promises.setdefault(name, PeerPromises()).record_message(message)

    def rejection_reason(self, name: str, life: Incarnation, claim: StartupClaim) -> str:
        """Return why an incarnation of a member is rejected, or an empty string if it can be accepted.

        A folder that turns out to have lost durable state is shunned from then on.
        """
        known, remedy = self._known.get(name), "take it out and add it again"
        if known is not None and life.folder == known.folder:
            # A twin is a second process with the same start number, so it runs on a copy of the folder.
            is_newer, is_twin = life.start > known.start, life.start == known.start and life.run != known.run
            if is_twin or (
                is_newer and self._promises.get(name, PeerPromises()).is_broken_by(claim, self._own_name)
            ):
                self.shun(life.folder)
        is_older = known is not None and life.folder == known.folder and life.start < known.start
        if is_older or life.folder in self._shunned:
            return f"{name} speaks from a copy of its folder: {remedy}"
        if known is None or life == known:
            return ""
        if life.folder != known.folder:
            return f"{name} was known by another folder: {remedy}"
        return ""

    def accept(self, name: str, life: Incarnation) -> bool:
        """Accept an incarnation; returns whether it is a new one, which has to be made durable."""
        is_new = self._known.get(name) != life
        self._known[name] = life
        return is_new

    def revert(self, name: str, durable: dict[str, Incarnation]) -> None:
        """Go back to a member's last durable incarnation, since the accepted one could not be written."""
        if name in durable:
            self._known[name] = durable[name]
        else:
            self._known.pop(name, None)

    def retain_members(self, names: tuple[str, ...]) -> bool:
        """Forget all members except ``names``; returns whether any was forgotten."""
        removed = [name for name in self._known if name not in names]
        for name in removed:
            del self._known[name]
            self._promises.pop(name, None)
        return bool(removed)
