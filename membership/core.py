"""The membership protocol without I/O: times, messages and random draws go in, messages and events come out.

SWIM (Das, Gupta and Motivala, 2002): round-robin pings in an order that is shuffled anew each round, indirect
pings, suspicion that the suspect may refute by a higher incarnation, and dissemination of updates piggybacked
on the protocol's own messages. Lifeguard (Dadgar, Phillips and Currey, 2018): a member whose local health is
poor waits longer before it suspects anybody, a suspicion times out sooner the more members confirm it, and a
suspect learns of the suspicion with the next ping that it gets.

Beyond the papers: updates are ordered by the member's generation before its incarnation, so that a restart is
a new life that no update about an earlier life affects; failed members are pinged again for a time; and whole
views are exchanged now and then (anti-entropy), so that the parts of a split fleet merge again.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from random import Random

import msgspec

from membership.messages import (
    Ack,
    AskFor,
    Exchange,
    Gossip,
    Message,
    Nack,
    Output,
    Ping,
    Replaced,
    SendMessage,
    State,
    StateChanged,
    Update,
)
from membership.sampling_pool import SamplingPool

SECOND_US = 1_000_000
MAX_MEMBERS = 4096  # records of a view; further members are not taken in
LIVE_STATES = (State.ALIVE, State.SUSPECT)


@dataclass(frozen=True, slots=True)
class Settings:
    """Protocol parameters; times are in microseconds on the member's own monotonic clock."""

    probe_period_us: int = SECOND_US  # between two probes
    ack_timeout_us: int = 300_000  # for an ack, before other members are asked for indirect pings
    gossip_interval_us: int = 200_000  # between two rounds of gossip, while updates are queued
    exchange_interval_us: int = 15 * SECOND_US  # between two anti-entropy exchanges
    failed_probe_interval_us: int = 5 * SECOND_US  # between two pings of failed members
    forget_after_us: int = 600 * SECOND_US  # age at which a record of a failed or left member is deleted
    indirect_probes: int = 3  # members that are asked for an indirect ping
    gossip_fanout: int = 3  # members that a round of gossip goes to
    suspicion_multiplier: float = 4.0  # shortest suspicion in probe periods, times log10 of the fleet's size
    max_suspicion_ratio: float = 5.0  # longest suspicion, as a multiple of the shortest
    max_confirmations: int = 3  # independent confirmations after which a suspicion is at its shortest
    retransmit_multiplier: float = 4.0  # times that an update is sent, times log10 of the fleet's size
    max_local_health: int = 8  # highest local health score; 0 is healthy
    max_updates: int = 12  # updates in one datagram


@dataclass(slots=True)
class MemberRecord:
    """The latest update about a member, and since when it holds."""

    update: Update
    since_us: int
    suspected_by: set[str] = field(default_factory=set)  # names of the members that suspect it
    suspected_since_us: int = 0


@dataclass(slots=True)
class Probe:
    """A probe under way: this member's own, or an indirect one on behalf of a requester."""

    target_name: str
    target_address: str
    deadline_us: int
    indirect_at_us: int  # when indirect pings are requested; 0: they were already, or none are to be
    requester_address: str = ""  # of the member that asked for this indirect probe; empty: an own probe
    requester_seq: int = 0
    expected_nacks: int = 0
    received_nacks: int = 0


@dataclass(slots=True)
class QueuedUpdate:
    """An update that is being disseminated."""

    update: Update
    serial: int  # of its entry in the queue; entries with another serial are obsolete
    times_sent: int = 0


class MembershipCore:
    """The protocol state of one member."""

    def __init__(
        self, own_update: Update, seeds: tuple[str, ...], *, settings: Settings, random: Random, now_us: int
    ) -> None:
        """``own_update`` describes this life of the member; ``seeds`` are addresses of members to join by."""
        self._settings = settings
        self._random = random
        self._seeds = seeds
        self.own_update = own_update
        self._now_us = now_us
        self.members: dict[str, MemberRecord] = {own_update.name: MemberRecord(own_update, now_us)}
        # Indexes of the other members by state and of all members by address, so that no step has to scan
        # the whole view.
        self._live_members = SamplingPool()
        self._alive_members = SamplingPool()
        self._failed_members = SamplingPool()
        self._suspects: dict[str, None] = {}
        self._names_by_address: dict[str, dict[str, None]] = {own_update.address: {own_update.name: None}}
        self._pending_updates: dict[str, QueuedUpdate] = {}
        self._update_queue: list[tuple[int, int, str]] = []  # heap of (times sent, serial, member's name)
        self._last_serial = 0
        self._enqueue_update(own_update)
        self._probe_order: list[str] = []  # members still to be probed in this round, the next one last
        self._probes: dict[int, Probe] = {}  # by sequence number
        self._last_seq = random.randrange(1 << 30)
        self.local_health = 0  # Lifeguard's score: 0 is healthy; probe times are multiplied by the score + 1
        self.replaced = False  # a later life runs under this name; this one has to be silent
        self._next_probe_us = now_us + random.randrange(settings.probe_period_us)
        self._next_gossip_us = now_us + settings.gossip_interval_us
        self._next_exchange_us = now_us
        self._join_retry_us = settings.gossip_interval_us  # doubles with each attempt to reach a seed
        self._next_failed_probe_us = now_us + settings.failed_probe_interval_us
        self._outputs: list[Output] = []

    # The view

    def live_updates(self) -> list[Update]:
        """The updates about members that are alive or suspect, this one included."""
        return [record.update for record in self.members.values() if record.update.state in LIVE_STATES]

    def _sample_members(self, pool: SamplingPool, limit: int, *excluded: str) -> list[Update]:
        """The updates about up to ``limit`` random members of a pool."""
        return [self.members[name].update for name in pool.sample(self._random, limit, *excluded)]

    def _index_member(self, update: Update) -> None:
        """Move a member to the indexes that match its new update."""
        self._unindex_member(update.name)
        self._names_by_address.setdefault(update.address, {})[update.name] = None
        if update.name == self.own_update.name:
            return
        if update.state in LIVE_STATES:
            self._live_members.add(update.name)
        if update.state is State.ALIVE:
            self._alive_members.add(update.name)
        elif update.state is State.SUSPECT:
            self._suspects[update.name] = None
        elif update.state is State.FAILED:
            self._failed_members.add(update.name)

    def _unindex_member(self, name: str) -> None:
        """Remove a member from all indexes."""
        for pool in (self._live_members, self._alive_members, self._failed_members):
            pool.discard(name)
        self._suspects.pop(name, None)
        if (record := self.members.get(name)) is not None and name in (
            names := self._names_by_address[record.update.address]
        ):
            del names[name]
            if not names:
                del self._names_by_address[record.update.address]

    def _log_fleet_size(self) -> float:
        """log10 of the live members' number, at least 1: scales suspicion times and retransmissions."""
        return max(1.0, math.log10(len(self._live_members) + 1))

    # Events: time, messages, operators' requests

    @property
    def due_us(self) -> int:
        """When ``wake`` has to be called next."""
        times = [
            self._next_probe_us,
            self._next_gossip_us,
            self._next_exchange_us,
            self._next_failed_probe_us,
        ]
        times += [
            min(probe.deadline_us, probe.indirect_at_us or probe.deadline_us)
            for probe in self._probes.values()
        ]
        times += [self._suspicion_deadline_us(self.members[name]) for name in self._suspects]
        return min(times)

    def wake(self, now_us: int) -> list[Output]:
        """Do everything that is due at ``now_us``."""
        self._now_us = now_us
        if self.replaced:
            # Nothing is sent any more; the next wake-up is only postponed.
            self._next_probe_us = self._next_gossip_us = self._next_exchange_us = (
                self._next_failed_probe_us
            ) = now_us + 60 * SECOND_US
            self._probes.clear()
            return self._take_outputs()
        self._check_probes()
        self._check_suspicions()
        if now_us >= self._next_probe_us:
            self._next_probe_us = now_us + self._settings.probe_period_us * (self.local_health + 1)
            self._probe_next_member()
        if now_us >= self._next_failed_probe_us:
            self._next_failed_probe_us = now_us + self._settings.failed_probe_interval_us
            self._ping_failed_member()
        if now_us >= self._next_exchange_us:
            self._start_exchange()
        if now_us >= self._next_gossip_us:
            self._next_gossip_us = now_us + self._settings.gossip_interval_us
            self._send_gossip()
        return self._take_outputs()

    def receive(self, now_us: int, message: Message) -> list[Output]:
        """Handle a message: the updates that it carries first, whatever its kind."""
        self._now_us = now_us
        if self.replaced:
            return self._take_outputs()
        for update in message.updates:
            self._apply_update(update)
        match message:
            case Ping():
                if message.target_name == self.own_update.name:
                    self._send(
                        message.sender_address,
                        Ack(message.seq, self._updates_to_piggyback(message.sender_address)),
                    )
            case Ack():
                self._handle_ack(message.seq)
            case Nack():
                if (probe := self._probes.get(message.seq)) is not None:
                    probe.received_nacks += 1
            case AskFor():
                self._start_indirect_probe(message)
            case Exchange():
                if message.wants_reply:
                    self._send(
                        message.sender_address, Exchange(self.own_update.address, self._full_view(), False)
                    )
            case Gossip():
                pass
        return self._take_outputs()

    def leave(self, now_us: int) -> list[Output]:
        """Leave the fleet in order: some members are told at once, gossip tells the rest."""
        self._now_us = now_us
        self._store_update(self._change_own_update(State.LEFT))
        for other in self._sample_members(self._live_members, 2 * self._settings.gossip_fanout):
            self._send(other.address, Gossip(self._updates_to_piggyback()))
        return self._take_outputs()

    def forget(self, now_us: int, name: str) -> list[Output]:
        """Delete a failed or left member at an operator's request, so that it is not pinged any more."""
        self._now_us = now_us
        record = self.members.get(name)
        if record is not None and record.update.state in (State.FAILED, State.LEFT):
            self._unindex_member(name)
            del self.members[name]
            self._pending_updates.pop(name, None)
        return self._take_outputs()

    def _take_outputs(self) -> list[Output]:
        outputs, self._outputs = self._outputs, []
        return outputs

    def _send(self, address: str, message: Message) -> None:
        self._outputs.append(SendMessage(address, message))

    def _next_seq(self) -> int:
        self._last_seq += 1
        return self._last_seq

    # Probes

    def _probe_next_member(self) -> None:
        """Probe the next member of the round; each is probed once before any is probed again (SWIM, 4.3)."""
        while self._probe_order and self._probe_order[-1] not in self._live_members:
            self._probe_order.pop()
        if not self._probe_order:
            self._probe_order = list(self._live_members)
            self._random.shuffle(self._probe_order)
        if self._probe_order:
            self._start_probe(self.members[self._probe_order.pop()].update)

    def _start_probe(self, target: Update) -> None:
        """Ping a member; a poor local health score lengthens both timeouts."""
        settings, health_factor = self._settings, self.local_health + 1
        seq = self._next_seq()
        deadline_us = self._now_us + settings.probe_period_us * health_factor
        self._probes[seq] = Probe(
            target.name, target.address, deadline_us, self._now_us + settings.ack_timeout_us * health_factor
        )
        self._send(
            target.address,
            Ping(seq, target.name, self.own_update.address, self._updates_to_piggyback(target.address)),
        )

    def _start_indirect_probe(self, request: AskFor) -> None:
        """Ping a member on behalf of the requester, which gets a nack if no ack comes in time."""
        seq = self._next_seq()
        deadline_us = self._now_us + self._settings.ack_timeout_us
        self._probes[seq] = Probe(
            request.target_name, request.target_address, deadline_us, 0, request.sender_address, request.seq
        )
        self._send(
            request.target_address,
            Ping(
                seq,
                request.target_name,
                self.own_update.address,
                self._updates_to_piggyback(request.target_address),
            ),
        )

    def _handle_ack(self, seq: int) -> None:
        """End the probe that an ack belongs to: forward an indirect one's ack, else improve local health."""
        probe = self._probes.pop(seq, None)
        if probe is None:
            return
        if probe.requester_address:
            self._send(
                probe.requester_address,
                Ack(probe.requester_seq, self._updates_to_piggyback(probe.requester_address)),
            )
        else:
            self._adjust_local_health(-1)

    def _check_probes(self) -> None:
        """Request indirect pings where an ack is late, and end the probes whose deadline has passed."""
        for seq, probe in list(self._probes.items()):
            if probe.indirect_at_us and self._now_us >= probe.indirect_at_us:
                probe.indirect_at_us = 0
                self._request_indirect_probes(seq, probe)
            if self._now_us < probe.deadline_us:
                continue
            del self._probes[seq]
            if probe.requester_address:
                self._send(
                    probe.requester_address,
                    Nack(probe.requester_seq, self._updates_to_piggyback(probe.requester_address)),
                )
            else:
                self._handle_probe_failure(probe)

    def _request_indirect_probes(self, seq: int, probe: Probe) -> None:
        for other in self._sample_members(
            self._alive_members, self._settings.indirect_probes, probe.target_name
        ):
            probe.expected_nacks += 1
            request = AskFor(
                seq,
                probe.target_name,
                probe.target_address,
                self.own_update.address,
                self._updates_to_piggyback(other.address),
            )
            self._send(other.address, request)

    def _handle_probe_failure(self, probe: Probe) -> None:
        """Suspect the target, or confirm the suspicion.

        A helper that did not even send a nack is a sign that this member itself is slow: each one worsens its
        local health by a step. If no helper was asked, the failure itself counts as one step.
        """
        self._adjust_local_health(probe.expected_nacks - probe.received_nacks if probe.expected_nacks else 1)
        record = self.members.get(probe.target_name)
        if record is not None and record.update.state is State.ALIVE:
            self._apply_update(self._with_state(record.update, State.SUSPECT))
        elif record is not None and record.update.state is State.SUSPECT:
            self._confirm_suspicion(record, self.own_update.name)

    def _adjust_local_health(self, steps: int) -> None:
        """Raise the local health score by ``steps`` (worse), or lower it by a negative number (better)."""
        self.local_health = max(0, min(self._settings.max_local_health, self.local_health + steps))

    def _with_state(self, update: Update, state: State) -> Update:
        """The update with another state, as reported by this member."""
        return msgspec.structs.replace(update, state=state, reported_by=self.own_update.name)

    def _ping_failed_member(self) -> None:
        """Ping one failed member with the update about its failure, which it refutes if it lives."""
        for target in self._sample_members(self._failed_members, 1):
            self._send(
                target.address,
                Ping(self._next_seq(), target.name, self.own_update.address, (target, self.own_update)),
            )

    # Suspicion

    def _suspicion_deadline_us(self, record: MemberRecord) -> int:
        """When a suspect is declared failed: the sooner, the more members confirm it (Lifeguard, 4.2)."""
        settings = self._settings
        min_us = settings.suspicion_multiplier * self._log_fleet_size() * settings.probe_period_us
        max_us = settings.max_suspicion_ratio * min_us
        confirmations = min(len(record.suspected_by) - 1, settings.max_confirmations)
        progress = math.log(confirmations + 1) / math.log(settings.max_confirmations + 1)
        if len(self._live_members) <= 2:  # the suspect, and at most one more
            return record.suspected_since_us + int(min_us)  # there is nobody else to confirm it
        return record.suspected_since_us + int(max(min_us, max_us - (max_us - min_us) * progress))

    def _check_suspicions(self) -> None:
        """Declare the suspects failed whose suspicion has timed out."""
        for name in list(self._suspects):
            if self._now_us >= self._suspicion_deadline_us(record := self.members[name]):
                self._apply_update(self._with_state(record.update, State.FAILED))

    def _confirm_suspicion(self, record: MemberRecord, reported_by: str) -> None:
        """Count another member's suspicion; only as many as can shorten the timeout are passed on."""
        if (
            reported_by
            and reported_by not in record.suspected_by
            and len(record.suspected_by) <= self._settings.max_confirmations
        ):
            record.suspected_by.add(reported_by)
            self._enqueue_update(msgspec.structs.replace(record.update, reported_by=reported_by))

    # Updates and their dissemination

    def _apply_update(self, update: Update) -> None:
        """Take over an update if it is about a new member, or supersedes or confirms what is known."""
        if update.name == self.own_update.name:
            self._apply_update_of_self(update)
            return
        record = self.members.get(update.name)
        if record is None:
            if update.state in LIVE_STATES and len(self.members) < MAX_MEMBERS:
                self._store_update(update)
            return
        if self._supersedes(update, record.update):
            self._store_update(update)
        elif update.state is State.SUSPECT is record.update.state and update.version == record.update.version:
            self._confirm_suspicion(record, update.reported_by)

    def _supersedes(self, update: Update, current: Update) -> bool:
        """Whether an update overrides the current one about the same member.

        The order is SWIM's (4.2), with generations before incarnations. A member that has left comes back
        only with a new generation.
        """
        if update.generation != current.generation:
            return update.generation > current.generation
        if current.state is State.LEFT:
            return False
        if update.state is State.ALIVE:
            return update.incarnation > current.incarnation
        if update.state is State.SUSPECT:
            return update.incarnation > current.incarnation or (
                update.incarnation == current.incarnation and current.state is State.ALIVE
            )
        return update.incarnation >= current.incarnation and (
            current.state in LIVE_STATES
            or update.state is State.LEFT
            or update.incarnation > current.incarnation
        )

    def _apply_update_of_self(self, update: Update) -> None:
        """Refute a suspicion or failure of this member by a higher incarnation.

        An update of a later generation means that a later life runs under this name: this one falls silent.
        """
        if update.generation > self.own_update.generation:
            self.replaced = True
            self._outputs.append(Replaced(update))
            return
        is_accusation = update.generation == self.own_update.generation and update.state is not State.ALIVE
        if (
            is_accusation
            and update.incarnation >= self.own_update.incarnation
            and self.own_update.state is not State.LEFT
        ):
            self._adjust_local_health(1)
            self._store_update(self._change_own_update(State.ALIVE, update.incarnation + 1))

    def _change_own_update(self, state: State, incarnation: int | None = None) -> Update:
        """Change and return the update that this member spreads about itself."""
        changes = {"state": state} | ({} if incarnation is None else {"incarnation": incarnation})
        self.own_update = msgspec.structs.replace(self.own_update, **changes)
        return self.own_update

    def _store_update(self, update: Update) -> None:
        """Make an update the current one about its member, report a change of state, and disseminate it."""
        record = self.members.get(update.name)
        previous_state = record.update.state if record is not None else None
        is_new_life = record is None or record.update.generation != update.generation
        self._index_member(update)
        self.members[update.name] = new_record = MemberRecord(update, self._now_us)
        if update.state is State.SUSPECT:
            new_record.suspected_by, new_record.suspected_since_us = {update.reported_by}, self._now_us
        self._enqueue_update(update)
        if previous_state is not update.state or is_new_life:
            self._outputs.append(StateChanged(update, previous_state))
        if previous_state is None and update.name != self.own_update.name:
            # A new member is inserted into the current round at a random position (SWIM, 4.3).
            self._probe_order.insert(self._random.randint(0, len(self._probe_order)), update.name)

    def _enqueue_update(self, update: Update) -> None:
        """Queue an update for dissemination, in place of an older one about the same member."""
        self._last_serial += 1
        self._pending_updates[update.name] = QueuedUpdate(update, self._last_serial)
        heapq.heappush(self._update_queue, (0, self._last_serial, update.name))

    def _take_least_sent(self) -> list[QueuedUpdate]:
        """Pop the updates that were sent least often, as many as one datagram may carry."""
        taken: list[QueuedUpdate] = []
        while self._update_queue and len(taken) < self._settings.max_updates:
            _, serial, name = heapq.heappop(self._update_queue)
            queued = self._pending_updates.get(name)
            if queued is not None and queued.serial == serial:
                taken.append(queued)
        return taken

    def _updates_to_piggyback(self, receiver_address: str = "") -> tuple[Update, ...]:
        """The updates for a datagram, and count them as sent.

        First the one that its receiver has to refute (Lifeguard), then those that were sent least often. An
        update leaves the queue once it has been sent the number of times that the fleet's size calls for.
        """
        max_sends = math.ceil(self._settings.retransmit_multiplier * self._log_fleet_size())
        taken = self._take_least_sent()
        updates = [queued.update for queued in taken]
        for queued in taken:
            queued.times_sent += 1
            if queued.times_sent >= max_sends:
                del self._pending_updates[queued.update.name]
            else:
                heapq.heappush(self._update_queue, (queued.times_sent, queued.serial, queued.update.name))
        for name in self._names_by_address.get(receiver_address, ()):
            if (record := self.members[name]).update.state is not State.ALIVE:
                return (record.update, *(update for update in updates if update.name != name))
        return tuple(updates)

    def _send_gossip(self) -> None:
        """Send queued updates to a few random members."""
        if not self._pending_updates:
            return
        for other in self._sample_members(self._live_members, self._settings.gossip_fanout):
            if updates := self._updates_to_piggyback():
                self._send(other.address, Gossip(updates))

    def _full_view(self) -> tuple[Update, ...]:
        return tuple(record.update for record in self.members.values())

    def _start_exchange(self) -> None:
        """Exchange whole views with one random member.

        Three in ten go to a failed member where there is one, so that a split fleet merges again. While no
        live member is known the exchange goes to two seeds, at growing intervals. All intervals are jittered
        by 30 percent.
        """
        self._forget_expired()
        if self._live_members:
            self._next_exchange_us = self._now_us + int(
                self._settings.exchange_interval_us * self._random.uniform(0.7, 1.3)
            )
            pool = (
                self._failed_members
                if self._failed_members and self._random.random() < 0.3
                else self._live_members
            )
            for other in self._sample_members(pool, 1):
                self._send(other.address, Exchange(self.own_update.address, self._full_view(), True))
            return
        self._next_exchange_us = self._now_us + int(self._join_retry_us * self._random.uniform(0.7, 1.3))
        self._join_retry_us = min(2 * self._join_retry_us, self._settings.exchange_interval_us)
        seeds = [seed for seed in self._seeds if seed != self.own_update.address]
        for seed in self._random.sample(seeds, min(2, len(seeds))):
            self._send(seed, Exchange(self.own_update.address, self._full_view(), True))

    def _forget_expired(self) -> None:
        """Delete the failed and left members whose record has not changed for ``forget_after_us``."""
        for name, record in list(self.members.items()):
            is_expired = self._now_us - record.since_us > self._settings.forget_after_us
            if (
                is_expired
                and record.update.state in (State.FAILED, State.LEFT)
                and name != self.own_update.name
            ):
                self._unindex_member(name)
                del self.members[name]
                self._pending_updates.pop(name, None)
