"""The client's shell: a session with a quorum that rides out changes of its leader.

A request is repeated under the same session and number until its answer is certain, so that it counts once;
between tries the pauses grow, with jitter, up to a bound. A lease counts from an answer's ``lease_start_us``.
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

FIRST_TRY_S, MAX_TRY_S = (
    0.5,
    4.0,
)  # s for a first try, beside what the request itself may wait, and for later ones
CONNECT_TIMEOUT_S = 0.5
RETRY_PAUSES_S = (0.02, 1.0)  # between tries: at first, and at most


class QuorumError(RuntimeError):
    """There is no certain answer in the time that was given."""


class SessionError(QuorumError):
    """The session is over: what it held is not held any more."""


@dataclass(frozen=True, slots=True)
class TimedResponse:
    """An answer, and from when on what it brings may be counted."""

    response: Response
    lease_start_us: int


class Client:
    """One session: its requests go one after the other, whoever makes them."""

    def __init__(self, members: Mapping[str, Address], owner: str, random: Random | None = None) -> None:
        self._members, self._owner, self._random = dict(members), owner, random or Random()
        self._leader = ""
        self._connection: tuple[str, asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._last_number = 0  # of requests on the connection
        self._session, self._seq = 0, 0
        self._request_lock = asyncio.Lock()

    async def ask(self, request: Request, within_s: float) -> TimedResponse:
        """Ask until the answer is certain; ``QuorumError`` where that takes longer."""
        try:
            async with asyncio.timeout(within_s + FIRST_TRY_S), self._request_lock:
                return await self._ask_until_certain(request, within_s)
        except TimeoutError:
            raise QuorumError(f"no certain answer within {within_s:g} s") from None

    async def _ask_until_certain(self, request: Request, within_s: float) -> TimedResponse:
        asking, pause_s, try_s, repeated = RequestTiming(), RETRY_PAUSES_S[0], FIRST_TRY_S, False
        until_us = now_us() + int(within_s * 1e6)
        waits_s = request.wait_ms / 1000 if isinstance(request, Wait | Watch) else 0.0
        while now_us() < until_us:
            asking.record_sent(now_us())
            response = await self._try_once(request, try_s + waits_s)
            certain = response is not None and not isinstance(response, Elsewhere | Unknown)
            if response is not None and certain and not (repeated and isinstance(response, NoRoom)):
                if response == Refused(NO_SESSION):
                    self._session = 0
                    raise SessionError(NO_SESSION)
                return TimedResponse(response, asking.lease_start_us)
            repeated |= not isinstance(response, Elsewhere)
            if response is None:
                try_s = min(2 * try_s, MAX_TRY_S)  # it may be slow, and asking again makes it slower
            if isinstance(response, Elsewhere) and response.leader in self._members:
                moved = self._leader != response.leader
                self._leader = response.leader
                if moved:
                    continue
            else:
                self._leader = ""
            await asyncio.sleep(pause_s * self._random.uniform(0.5, 1.5))
            pause_s = min(2 * pause_s, RETRY_PAUSES_S[1])
        raise QuorumError(f"no certain answer within {within_s:g} s")

    async def _try_once(self, request: Request, try_s: float) -> Response | None:
        """One try at the member that leads, or at any; None where it brought nothing."""
        name = self._leader or self._random.choice(list(self._members))
        try:
            reader, writer = await self._connect_to(name)
            self._last_number += 1
            writer.write(encode_frame(wire.Ask(self._last_number, request)))
            async with asyncio.timeout(try_s):
                while body := await wire.read_frame(reader, MAX_FRAME_BYTES):
                    told = wire.decode_body(wire.server_message_decoder, body)
                    if told.number == self._last_number and isinstance(told, wire.Told):
                        if not isinstance(told.response, Elsewhere):
                            self._leader = name
                        return told.response
        except (OSError, TimeoutError, WireError):
            pass
        except asyncio.CancelledError:
            self.close()  # half an answer may be read
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
        """Let go of the connection; the session stays."""
        if self._connection is not None:
            self._connection[2].transport.abort()
            self._connection = None

    @property
    def has_session(self) -> bool:
        """Whether there is a session, as far as is known here."""
        return bool(self._session)

    async def open(self, within_s: float) -> None:
        """Begin a session."""
        got = await self.ask(Open(self._owner), within_s)
        if not isinstance(got.response, Done):
            raise QuorumError(f"no session: {got.response}")
        self._session, self._seq = got.response.session, 0

    async def end_session(self, within_s: float) -> None:
        """End the session in order: whatever it holds is free at once."""
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
        """Take a lease, waiting in turn for it where another holds it."""
        acquire = Acquire(self._session, self._next_seq(), lease, ttl_ms, delay_ms)
        return await self.ask(Wait(acquire, wait_ms) if wait_ms else acquire, within_s)

    async def renew(self, lease: str, token: int, within_s: float) -> TimedResponse:
        """Hold a lease on."""
        return await self.ask(Renew(self._session, self._next_seq(), lease, token), within_s)

    async def release(self, lease: str, token: int, within_s: float) -> TimedResponse:
        """Give a lease back."""
        return await self.ask(Release(self._session, self._next_seq(), lease, token), within_s)

    async def read(self, within_s: float, *, lease: str = "", key: str = "") -> Told:
        """What a lease and a record are."""
        got = await self.ask(Read(lease, key), within_s)
        if not isinstance(got.response, Told):
            raise QuorumError(f"not read: {got.response}")
        return got.response

    async def watch(
        self, *, lease: str = "", key: str = "", seen: Told | None = None, wait_ms: int, within_s: float
    ) -> Told:
        """What a lease or a record is, once it differs from what was seen, or after so long."""
        seen = seen or Told()
        token = seen.token if seen.owner else 0
        got = await self.ask(Watch(lease, key, token, seen.version, wait_ms), within_s)
        if not isinstance(got.response, Told):
            raise QuorumError(f"not watched: {got.response}")
        return got.response

    async def put(
        self, key: str, version: int, value: bytes, *, lease: str = "", token: int = 0, within_s: float
    ) -> Answer:
        """Write a record, if its version is that one; with a lease only while that is in force."""
        put = Put(self._session, self._next_seq(), key, version, value, lease, token)
        got = await self.ask(put, within_s)
        if not isinstance(got.response, Done | Held | Refused):
            raise QuorumError(f"not written: {got.response}")
        return got.response


class LeaseKeeper:
    """Holds one lease for a task: renews it in time, and knows at each moment whether the task may act."""

    def __init__(self, client: Client, lease: str, ttl_ms: int, bounds: TimingBounds | None = None) -> None:
        self._client, self._lease, self._ttl_ms = client, lease, ttl_ms
        self._bounds = bounds or TimingBounds()
        self.held_lease = HeldLease(ttl_ms * 1000, self._bounds)

    async def acquire(self, wait_ms: int, within_s: float, delay_ms: int = 0) -> bool:
        """Take the lease; False where another holds it, or where what came has no time left."""
        got = await self._client.acquire(
            self._lease, self._ttl_ms, delay_ms=delay_ms, wait_ms=wait_ms, within_s=within_s
        )
        if not isinstance(got.response, Done):
            return False
        self.held_lease, token = HeldLease(self._ttl_ms * 1000, self._bounds), got.response.token
        if self.held_lease.granted(got.lease_start_us, now_us(), token):
            return True
        # It waited for its turn, and cannot know for how long: a renewal tells how much is left.
        got = await self._client.renew(self._lease, token, self._ttl_ms / 1000)
        return isinstance(got.response, Done) and self.held_lease.granted(got.lease_start_us, now_us(), token)

    async def keep_renewed(self) -> None:
        """Renew until the lease is over; returns when the task must have stopped."""
        while self.held_lease.may_act(now_us()):
            pause_us = self.held_lease.renew_us - now_us()
            if pause_us > 0:
                await asyncio.sleep(pause_us / 1e6)
            left_s = (self.held_lease.end_us - now_us()) / 1e6
            if left_s <= 0:
                continue
            try:
                got = await self._client.renew(self._lease, self.held_lease.token, left_s)
            except QuorumError:
                continue
            if isinstance(got.response, Done):
                self.held_lease.renewed(got.lease_start_us, now_us(), got.response.token)
            else:
                self.held_lease.lost()

    async def release(self, within_s: float) -> None:
        """An orderly end: the task has stopped, the next may have the lease at once."""
        token = self.held_lease.token
        self.held_lease.lost()
        await self._client.release(self._lease, token, within_s)

    def may_act(self) -> bool:
        """Whether an act that is begun now is covered."""
        return self.held_lease.may_act(now_us())


async def ask_member(
    address: Address, asked: wire.ClientMessage, within_s: float = 2.0
) -> wire.ServerMessage:
    """Ask one member one thing as an operator; ``QuorumError`` where it does not answer."""
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(encode_frame(Hello(PROTOCOL_VERSION)) + encode_frame(asked))
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
    """Ask one member for itself; ``QuorumError`` where it does not answer."""
    answer = await ask_member(address, wire.Status(1), within_s)
    if not isinstance(answer, wire.Health):
        raise QuorumError(f"{address[0]}:{address[1]} answers something else")
    return answer


async def find_leader(members: Mapping[str, Address]) -> Address:
    """Where the member is that leads, by the latest term that any tells; ``QuorumError`` where none does."""
    found = [(0, "")]
    for address in members.values():
        try:
            health = await member_status(address)
        except QuorumError:
            continue
        found.append((health.term, health.leader))
    leader = max(found)[1]
    if leader not in members:
        raise QuorumError("no member leads")
    return members[leader]


async def order_leader(
    members: Mapping[str, Address], asked: wire.ClientMessage, within_s: float = 5.0
) -> None:
    """Have the leader do something; ``QuorumError`` with its reason where it does not."""
    answer = await ask_member(await find_leader(members), asked, within_s)
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
