"""A client of a quorum: a session that continues across changes of the leader.

A request is repeated under the same session and sequence number until its answer is certain, so that it takes
effect once. The pauses between attempts grow, with jitter, up to a bound. A lease has to be counted from the
``lease_start_us`` of the answer that granted or renewed it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from quorum import wire
from quorum.holder import HeldLease, RequestTiming, TimingBounds
from quorum.member import Elsewhere, NoRoom, Read, Request, Response, Told, Unknown, Wait, Watch
from quorum.monotonic_clock import now_us
from quorum.state_machine import (
    NO_SESSION,
    Acquire,
    Answer,
    Close,
    Done,
    Held,
    Open,
    Put,
    Refused,
    Release,
    Renew,
)
from quorum.wire import MAX_FRAME_BYTES, PROTOCOL_VERSION, Hello, WireError, encode_frame
from tomlconfig import Address

# Timeouts of an attempt, in addition to the time for which the request itself may wait.
FIRST_TRY_S = 0.5  # of the first one; doubled after each attempt without an answer
MAX_TRY_S = 4.0
CONNECT_TIMEOUT_S = 0.5
RETRY_PAUSES_S = (0.02, 1.0)  # first and longest pause between attempts


class QuorumError(RuntimeError):
    """The quorum gave no certain answer in time, or did not do what was asked."""


class SessionError(QuorumError):
    """The session has ended, and with it all leases that it held."""


@dataclass(frozen=True, slots=True)
class TimedResponse:
    """An answer, with the time from which a lease that it grants or renews has to be counted."""

    response: Response
    lease_start_us: int


class Client:
    """One session; concurrent requests are sent one after the other."""

    def __init__(self, members: Mapping[str, Address], owner: str, random: Random | None = None) -> None:
        self._members = dict(members)
        self._owner = owner
        self._random = random or Random()
        self._leader = ""  # the member believed to lead; empty: unknown
        self._connection: tuple[str, asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._last_number = 0  # joins a request to its answer on the connection
        self._session = 0  # 0: none
        self._seq = 0  # sequence number of the session's last command
        self._request_lock = asyncio.Lock()

    async def ask(self, request: Request, within_s: float) -> TimedResponse:
        """Send a request until its answer is certain.

        Raises ``QuorumError`` if that takes longer than ``within_s`` seconds, and ``SessionError`` if the
        session has ended.
        """
        try:
            async with asyncio.timeout(within_s + FIRST_TRY_S), self._request_lock:
                return await self._ask_until_certain(request, within_s)
        except TimeoutError:
            raise QuorumError(f"no certain answer within {within_s:g} s") from None

    async def _ask_until_certain(self, request: Request, within_s: float) -> TimedResponse:
        timing, pause_s, try_s, repeated = RequestTiming(), RETRY_PAUSES_S[0], FIRST_TRY_S, False
        deadline_us = now_us() + int(within_s * 1e6)
        wait_s = request.wait_ms / 1000 if isinstance(request, Wait | Watch) else 0.0
        while now_us() < deadline_us:
            timing.record_sent(now_us())
            response = await self._try_once(request, try_s + wait_s)
            is_certain = response is not None and not isinstance(response, Elsewhere | Unknown)
            # After an attempt with an unknown outcome, ``NoRoom`` for a repeat does not tell that outcome.
            if response is not None and is_certain and not (repeated and isinstance(response, NoRoom)):
                if response == Refused(NO_SESSION):
                    self._session = 0
                    raise SessionError(NO_SESSION)
                return TimedResponse(response, timing.lease_start_us)
            repeated |= not isinstance(response, Elsewhere)
            if response is None:
                try_s = min(
                    2 * try_s, MAX_TRY_S
                )  # the member may be slow; frequent repeats slow it down further
            if isinstance(response, Elsewhere) and response.leader in self._members:
                is_new_leader = self._leader != response.leader
                self._leader = response.leader
                if is_new_leader:
                    continue
            else:
                self._leader = ""
            await asyncio.sleep(pause_s * self._random.uniform(0.5, 1.5))
            pause_s = min(2 * pause_s, RETRY_PAUSES_S[1])
        raise QuorumError(f"no certain answer within {within_s:g} s")

    async def _try_once(self, request: Request, try_s: float) -> Response | None:
        """Send a request to the leader, or to a random member; None if no answer came in time."""
        name = self._leader or self._random.choice(list(self._members))
        try:
            reader, writer = await self._connect_to(name)
            self._last_number += 1
            writer.write(encode_frame(wire.Ask(self._last_number, request)))
            async with asyncio.timeout(try_s):
                while body := await wire.read_frame(reader, MAX_FRAME_BYTES):
                    message = wire.decode_body(wire.server_message_decoder, body)
                    if message.number == self._last_number and isinstance(message, wire.Told):
                        if not isinstance(message.response, Elsewhere):
                            self._leader = name
                        return message.response
        except (OSError, TimeoutError, WireError):
            pass
        except asyncio.CancelledError:
            self.close()  # an answer may have been read in part
            raise
        self.close()
        return None

    async def _connect_to(self, name: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._connection is not None and self._connection[0] == name:
            return self._connection[1:]
        self.close()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*self._members[name])
        writer.write(encode_frame(Hello(PROTOCOL_VERSION)))
        self._connection = (name, reader, writer)
        return reader, writer

    def close(self) -> None:
        """Close the connection; the session stays open."""
        if self._connection is not None:
            self._connection[2].transport.abort()
            self._connection = None

    @property
    def has_session(self) -> bool:
        """Whether a session was opened and is not known to have ended."""
        return bool(self._session)

    async def open(self, within_s: float) -> None:
        """Begin a session; raises ``QuorumError`` if that is not possible within ``within_s`` seconds."""
        answer = await self.ask(Open(self._owner), within_s)
        if not isinstance(answer.response, Done):
            raise QuorumError(f"the session was not opened: {answer.response}")
        self._session, self._seq = answer.response.session, 0

    async def end_session(self, within_s: float) -> None:
        """End the session, which frees its leases at once, and close the connection."""
        if self._session:
            await self.ask(Close(self._session, self._next_seq()), within_s)
            self._session = 0
        self.close()

    def _next_seq(self) -> int:
        self._seq += 1
        return self._seq

    async def acquire(
        self, lease: str, ttl_ms: int, *, delay_ms: int = 0, wait_ms: int = 0, within_s: float
    ) -> TimedResponse:
        """Acquire a lease, waiting up to ``wait_ms`` in its queue if another session holds it."""
        acquire = Acquire(self._session, self._next_seq(), lease, ttl_ms, delay_ms)
        return await self.ask(Wait(acquire, wait_ms) if wait_ms else acquire, within_s)

    async def renew(self, lease: str, token: int, within_s: float) -> TimedResponse:
        """Renew a lease."""
        return await self.ask(Renew(self._session, self._next_seq(), lease, token), within_s)

    async def release(self, lease: str, token: int, within_s: float) -> TimedResponse:
        """Release a lease."""
        return await self.ask(Release(self._session, self._next_seq(), lease, token), within_s)

    async def read(self, within_s: float, *, lease: str = "", key: str = "") -> Told:
        """Read the state of a lease and of a record."""
        answer = await self.ask(Read(lease, key), within_s)
        if not isinstance(answer.response, Told):
            raise QuorumError(f"the lease or record was not read: {answer.response}")
        return answer.response

    async def watch(
        self, *, lease: str = "", key: str = "", seen: Told | None = None, wait_ms: int, within_s: float
    ) -> Told:
        """Read a lease or a record once it differs from ``seen``, or after ``wait_ms``."""
        seen = seen or Told()
        token = seen.token if seen.owner else 0
        answer = await self.ask(Watch(lease, key, token, seen.version, wait_ms), within_s)
        if not isinstance(answer.response, Told):
            raise QuorumError(f"the lease or record was not watched: {answer.response}")
        return answer.response

    async def put(
        self, key: str, version: int, value: bytes, *, lease: str = "", token: int = 0, within_s: float
    ) -> Answer:
        """Write a record if it has the given version and, if ``lease`` is given, that lease is in force."""
        put = Put(self._session, self._next_seq(), key, version, value, lease, token)
        answer = await self.ask(put, within_s)
        if not isinstance(answer.response, Done | Held | Refused):
            raise QuorumError(f"the record was not written: {answer.response}")
        return answer.response


class LeaseKeeper:
    """Holds one lease for a task: renews it in time and tells at any moment whether the task may act."""

    def __init__(self, client: Client, lease: str, ttl_ms: int, bounds: TimingBounds | None = None) -> None:
        self._client, self._lease, self._ttl_ms = client, lease, ttl_ms
        self._bounds = bounds or TimingBounds()
        self.held_lease = HeldLease(ttl_ms * 1000, self._bounds)

    async def acquire(self, wait_ms: int, within_s: float, delay_ms: int = 0) -> bool:
        """Acquire the lease; returns False if another session holds it or no time is left under it."""
        answer = await self._client.acquire(
            self._lease, self._ttl_ms, delay_ms=delay_ms, wait_ms=wait_ms, within_s=within_s
        )
        if not isinstance(answer.response, Done):
            return False
        self.held_lease, token = HeldLease(self._ttl_ms * 1000, self._bounds), answer.response.token
        if self.held_lease.granted(answer.lease_start_us, now_us(), token):
            return True
        # The request waited in the queue for an unknown time, which counts against the lease. A renewal is
        # counted from its own sending.
        answer = await self._client.renew(self._lease, token, self._ttl_ms / 1000)
        return isinstance(answer.response, Done) and self.held_lease.granted(
            answer.lease_start_us, now_us(), token
        )

    async def keep_renewed(self) -> None:
        """Renew until the lease ends; returns when the task must not act any more."""
        while self.held_lease.may_act(now_us()):
            pause_us = self.held_lease.renew_us - now_us()
            if pause_us > 0:
                await asyncio.sleep(pause_us / 1e6)
            remaining_s = (self.held_lease.end_us - now_us()) / 1e6
            if remaining_s <= 0:
                continue
            try:
                answer = await self._client.renew(self._lease, self.held_lease.token, remaining_s)
            except QuorumError:
                continue
            if isinstance(answer.response, Done):
                self.held_lease.renewed(answer.lease_start_us, now_us(), answer.response.token)
            else:
                self.held_lease.lost()

    async def release(self, within_s: float) -> None:
        """Release the lease after the task has stopped, so that another process can acquire it at once."""
        token = self.held_lease.token
        self.held_lease.lost()
        await self._client.release(self._lease, token, within_s)

    def may_act(self) -> bool:
        """Whether the task may begin an action now."""
        return self.held_lease.may_act(now_us())


async def ask_member(
    address: Address, message: wire.ClientMessage, within_s: float = 2.0
) -> wire.ServerMessage:
    """Send one message to one member as an operator; raises ``QuorumError`` if it does not answer in time."""
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(encode_frame(Hello(PROTOCOL_VERSION)) + encode_frame(message))
                body = await wire.read_frame(reader, MAX_FRAME_BYTES)
                if not body:
                    raise WireError("it ended the connection")
                return wire.decode_body(wire.server_message_decoder, body)
            finally:
                writer.close()
    except (OSError, TimeoutError, WireError) as error:
        why = str(error) or "no answer in time"
        raise QuorumError(f"{address[0]}:{address[1]} does not answer: {why}") from None


async def member_status(address: Address, within_s: float = 2.0) -> wire.Health:
    """Return one member's status; raises ``QuorumError`` if it does not answer in time."""
    answer = await ask_member(address, wire.Status(1), within_s)
    if not isinstance(answer, wire.Health):
        raise QuorumError(f"{address[0]}:{address[1]} answers something else")
    return answer


async def find_leader(members: Mapping[str, Address]) -> Address:
    """Return the leader's address, by the latest term that any member reports.

    Raises ``QuorumError`` if no member is known to lead.
    """
    reported = [(0, "")]
    for address in members.values():
        try:
            health = await member_status(address)
        except QuorumError:
            continue
        reported.append((health.term, health.leader))
    leader = max(reported)[1]
    if leader not in members:
        raise QuorumError("no member leads")
    return members[leader]


async def order_leader(
    members: Mapping[str, Address], message: wire.ClientMessage, within_s: float = 5.0
) -> None:
    """Send an operator's order to the leader; raises ``QuorumError`` with the reason if it is refused."""
    answer = await ask_member(await find_leader(members), message, within_s)
    response = answer.response if isinstance(answer, wire.Told) else answer
    match response:
        case Done():
            return
        case Refused():
            raise QuorumError(response.why)
        case NoRoom():
            raise QuorumError(response.why)
        case Elsewhere() | Unknown():
            raise QuorumError("the leader has changed: look at the members, and ask again")
        case _:
            raise QuorumError(f"it answers something else: {type(response).__name__}")
