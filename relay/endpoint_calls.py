"""Calls to hosts: their connections, time-outs and ends, and how they pass to another process.

Every part of a call is settled exactly once. Whether the last byte of a request went to the kernel decides
between "never ran" and "may have run", so nothing here writes a request twice.
"""

from __future__ import annotations

import asyncio
import logging
import math
import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from itertools import islice
from typing import Any

from decisions.interface import DestinationKind, Listing, Verdict
from relay.answers import (
    DELIVERED,
    ENDS,
    MOST_ANSWER,
    OVER,
    broken,
    ends_of,
    report_of,
    verdict_of,
    wait_of,
)
from relay.calls import Call, Part, PartOutcome, request_of
from relay.endpoint_list import HostList, Listed
from relay.http import FAULTS, REST_S, SHORT, Address, Connection, own_port
from relay.idle_connections import IdleConnections

LOG = logging.getLogger(__name__)
MOST_EVER = 4096  # hosts that are remembered, so that operators may name one that left
MOST_WAITS = 1024  # routes with a wait, above which those that are over are dropped


@dataclass(frozen=True, slots=True)
class Left:
    """What another process needs to go on with the list, the calls and the connections."""

    listed: dict[str, Listed]
    calls: list[tuple[Call, bytes | None]]  # each with its answer so far; None: it was not written whole
    idle: list[tuple[str, float]]  # idle connections: host, and monotonic time since when


Settled = Callable[[Call, Part, PartOutcome], None]


class Hosts:
    """The hosts that the list names, the calls out to them, and connections kept between calls."""

    def __init__(
        self,
        kinds: Iterable[DestinationKind],
        keepalive_us: int,
        connect_us: int,
        most_idle: int,
        settled: Settled,
    ) -> None:
        # Kept, as whoever asks for the running loop asks the system for the process each time.
        self._loop = asyncio.get_running_loop()
        self._kinds = {kind.name: kind for kind in kinds}
        self._connect_s, self._settled = connect_us / 1e6, settled
        self.counts: Counter[str] = Counter()  # what became of connections, for the people on call
        self._idle = IdleConnections(keepalive_us, most_idle, self.counts)
        self.listed: dict[str, Listed] = {}
        self.ever: dict[str, None] = {}  # the hosts that lists have named, the latest of them last
        self._banned: set[str] = set()  # by operators
        self.written = 0  # messages whose calls were written whole
        self._waits: dict[str, float] = {}  # by route: the loop's time until which it is to be left alone
        self.calls: set[Call] = set()

    def apply(self, news: HostList) -> None:
        """Follow the list at once: what drains or goes gets no call that is still to be written."""
        if news.whole:
            gone = self.listed.keys() - {listed.entry.host for listed in news.hosts}
            for host in gone:
                del self.listed[host]
                self.close_idle(host)
        for listed in news.hosts:
            host = listed.entry.host
            self._named(host)
            known = self.listed.get(host)
            if listed.entry.listing is Listing.GONE:
                self.listed.pop(host, None)
            else:
                self.listed[host] = listed
            if listed.entry.listing is not Listing.READY or (known and known.dial != listed.dial):
                self.close_idle(host)

    def _named(self, host: str) -> None:
        self.ever.pop(host, None)
        self.ever[host] = None
        if len(self.ever) > MOST_EVER:
            del self.ever[next(iter(self.ever))]

    def knows(self, host: str) -> bool:
        """Whether the list names the host, or named it not too long ago."""
        return host in self.listed or host in self.ever

    def ban(self, host: str, banned: bool) -> None:
        """Follow an operator at once, as the list is followed."""
        (self._banned.add if banned else self._banned.discard)(host)
        self.close_idle(host)

    def _open_to(self, host: str) -> bool:
        """Whether the list and the operators let the host be called."""
        listed = self.listed.get(host)
        return listed is not None and listed.entry.listing is Listing.READY and host not in self._banned

    def zone(self, host: str) -> str:
        """The zone of a host."""
        return self.listed[host].entry.zone if host in self.listed else ""

    def _route(self, host: str) -> str:
        """What shares waits with a host: its destination, unless its kind's endpoints are routes apart."""
        listed = self.listed.get(host)
        apart = listed is None or self._kind(listed).limit_per_endpoint
        return host if listed is None or apart else f"dest {listed.entry.dest}"

    def _kind(self, listed: Listed) -> DestinationKind:
        return self._kinds.get(listed.entry.kind, DestinationKind(listed.entry.kind))

    def batch(self, host: str) -> int:
        """How many messages a call to the host may carry."""
        listed = self.listed.get(host)
        return 1 if listed is None else self._kind(listed).batch_size

    @property
    def waits(self) -> dict[str, float]:
        """By route: the monotonic time until which it is to be left alone."""
        return {route: until_s for route, until_s in self._waits.items() if until_s > time.monotonic()}

    def heed(self, waits: dict[str, float]) -> None:
        """Keep the waits that another process was told."""
        for route, until_s in waits.items():
            self._waits[route] = max(self._waits.get(route, 0.0), until_s)

    def wait_left_us(self, host: str) -> int:
        """How long the host is still to be left alone."""
        return max(0, int((self._waits.get(self._route(host), 0.0) - time.monotonic()) * 1e6))

    @property
    def busy(self) -> int:
        """Connections that carry a call."""
        return sum(call.connection is not None for call in self.calls)

    @property
    def idle(self) -> int:
        """Connections that are kept for the next call."""
        return len(self._idle)

    def unwritable(self, host: str) -> PartOutcome | None:
        """Why nothing may be written there now: decided before, a call must still obey newer news."""
        wait_us = self.wait_left_us(host)
        if wait_us or not self._open_to(host):
            return PartOutcome(Verdict.NOT_SENT, wait_us=wait_us)
        return None

    def send(self, call: Call) -> None:
        """Start one call; each part is settled when its message's time is up at the latest."""
        self._start(call, self._exchange, time.monotonic())

    def _start(self, call: Call, exchange: Callable[[Call], Awaitable[bool]], since_s: float) -> None:
        loop = self._loop
        self.calls.add(call)
        if not call.written:
            self._schedule_window_end(call)
        for part in call.open:
            if part.overdue:
                until_s = since_s + max(part.limit_us, part.left_us) / 1e6
                part.timer = loop.call_at(until_s, self._out_of_time, call)
            else:
                part.timer = loop.call_at(since_s + part.limit_us / 1e6, self._late, call, part)
        call.task = loop.create_task(self._run(call, exchange))

    def leave(self, room: int) -> tuple[Left, list[int]]:
        """What another process takes over, and the descriptors of its calls and then of its connections.

        Idle connections go over only within ``room`` descriptors: for a moment both processes hold them.
        """
        calls, fds = list[tuple[Call, bytes | None]](), list[int]()
        for call in self.calls:
            if not call.open:  # only the rest of its answer is out
                continue
            parts = {id(part): replace(part, timer=None) for part in call.parts}
            carried = [parts[id(part)] for part in call.carried]
            copy = Call(call.host, list(parts.values()), call.sent_s, carried=carried, idle_ms=call.idle_ms)
            came = None
            if call.connection is not None and call.written:
                came = bytes(call.connection.came)
                call.connection.shared = True
                fds.append(call.connection.sock.fileno())
            calls.append((copy, came))
            LOG.info(
                "handover: call to %s with %s given after %d ms, connection %s, %s",
                call.host, call.attempts, call.age_ms, call.connection_was,
                "not written whole" if came is None else f"{len(came)} bytes of its answer read",
            )  # fmt: skip
        idle = list(islice(self._idle, max(0, room - len(fds))))
        fds += [connection.sock.fileno() for _, connection in idle]
        return Left(self.listed, calls, [(host, connection.kept_s) for host, connection in idle]), fds

    def take(self, left: Left, socks: Iterator[socket.socket]) -> None:
        """Go on with what another process left."""
        self.listed = left.listed
        for call, came in left.calls:
            if came is None:
                for part in call.open:
                    self._settle(call, part, PartOutcome(Verdict.NOT_SENT))
                continue
            call.connection = Connection(next(socks), self._dial(call.host))
            call.connection.own_port = own_port(call.connection.sock)
            request_of(call.connection, call.carried)  # its bytes are out; the answer is read as theirs
            call.connection.read_on(came)
            LOG.info(
                "handover: call to %s with %s taken over after %d ms, connection %s",
                call.host, call.attempts, call.age_ms, call.connection_was,
            )  # fmt: skip
            self._start(call, self._answered, call.sent_s)
        for host, kept_s in left.idle:
            connection = Connection(next(socks), self._dial(host))
            self._idle.put(host, connection, kept_s)

    def _dial(self, host: str) -> Address:
        """Where a host is reached; of one that left the list only connections are left, which need none."""
        return self.listed[host].dial if host in self.listed else ("", 0)

    def cancel(self, ref: str, attempt: int) -> None:
        """Call one attempt off."""
        for call in list(self.calls):
            for part in call.open:
                if (part.id, part.attempt) == (ref, attempt):
                    LOG.info(
                        "attempt: %s #%d at %s is called off after %d ms",
                        ref,
                        attempt,
                        call.host,
                        call.age_ms,
                    )
                    self._after_answer(call, self._stop, call, part, Verdict.CANCELLED)

    def close_idle(self, host: str) -> None:
        """Close the connections to a host that carry no call."""
        self._idle.close(host)

    def close(self) -> None:
        """Give up everything, silently: what is out stays in the journal as it stands."""
        for call in list(self.calls):
            for part in call.open:
                self._settle(call, part, None)
            self._end(call)
        self._idle.close_all()

    def _settle(self, call: Call, part: Part, told: PartOutcome | None) -> None:
        part.settled = True
        if part.timer is not None:
            part.timer.cancel()
        if told is not None:
            self._settled(call, part, told)

    def _after_answer(self, call: Call, end: Callable[..., None], *args: Any) -> None:
        """End something of a call, but not before an answer that has come and was not looked at yet.

        Both may come up in one turn of the loop. Given up then, a message that was delivered would be told as
        timed out, and a wait that was told would not be kept. Once only: an answer may come without end.
        """
        if call.connection is not None and call.connection.look():
            self._loop.call_soon(end, *args)
        else:
            end(*args)

    def _late(self, call: Call, part: Part) -> None:
        """A part's limit has passed."""
        self._after_answer(call, self._overdue, call, part)

    def _overdue(self, call: Call, part: Part) -> None:
        """It ends with the call, or before while the call's request is not fixed.

        While the call is out for the sake of others the message is out too: told as timed out it would be
        sent again beside itself, and ended it would still run. Once its own time is up the call ends.
        """
        if part.settled:
            return
        part.overdue = True
        if not call.composed:
            self._stop(call, part, Verdict.TIMEOUT)
        elif all(other.overdue for other in call.open):
            self._give_up(call)
        else:
            more_s = max(0, part.left_us - part.limit_us) / 1e6
            part.timer = self._loop.call_later(more_s, self._out_of_time, call)

    def _schedule_window_end(self, call: Call) -> None:
        """Look again when the first of its messages may no longer begin."""
        by_s = min((part.begin_by_s for part in call.open), default=math.inf)
        call.window_timer = self._loop.call_at(by_s, self._end_window, call) if by_s < math.inf else None

    def _end_window(self, call: Call) -> None:
        """Leave out what may no longer begin while the last byte is not out: that never runs.

        It goes alone until the request is fixed: written with the rest it would run.
        """
        if call.written:
            return
        now_s = self._loop.time()
        for part in call.open:
            if call.composed or part.begin_by_s <= now_s:
                self._settle(call, part, PartOutcome(Verdict.NOT_SENT))
        if call.open:
            self._schedule_window_end(call)
        else:
            self._end(call)

    def _out_of_time(self, call: Call) -> None:
        """The time of one of its messages is up."""
        self._after_answer(call, self._give_up, call)

    def _give_up(self, call: Call) -> None:
        """Wait for the call no longer: it is over for all that it carries, and its connection is closed."""
        for part in call.open:
            self._stop(call, part, Verdict.TIMEOUT, whole=True)

    def _stop(self, call: Call, part: Part, verdict: Verdict, whole: bool = False) -> None:
        """End one part before its answer; with the last one, or all at once, the connection is closed."""
        if part.settled:
            return
        last = whole or len(call.open) == 1
        ran = call.written if last else call.composed  # it may yet be written for the others' sake
        if last:
            self._end(call)
        if call.delivered:  # its first line came, the rest did not
            LOG.info("hosts: %s is delivered by its first line alone: %s", part.id, verdict.value)
            self._settle(call, part, PartOutcome(Verdict.OK, complete=True))
        elif call.proved is not None:
            self._settle(call, part, call.proved)
        else:
            self._settle(call, part, PartOutcome(verdict if ran else Verdict.CONNECT_FAILED))

    def _end(self, call: Call) -> None:
        """Close a call's connection before anybody is told of its end, who may send its messages again.

        Left to the task's own end that would come late, and not at all where the task has not begun yet.
        """
        self.calls.discard(call)
        if call.connection is not None:
            call.connection.abort()
        if call.window_timer is not None:
            call.window_timer.cancel()
        if call.task is not None:
            call.task.cancel()

    async def _run(self, call: Call, exchange: Callable[[Call], Awaitable[bool]]) -> None:
        """Connect, write, read: every way out settles what is open and leaves no connection behind."""
        told, keep = PartOutcome(Verdict.RESET), False
        try:
            keep = await exchange(call)
        except (*FAULTS, TimeoutError) as error:
            LOG.info("hosts: call to %s with %s broke: %r", call.host, call.parts[0].id, error)
            told = broken(call, error)
        except Exception as error:
            LOG.exception("hosts: call to %s broke", call.host)
            told = broken(call, error)
        finally:
            if call.connection is not None and not keep:
                call.connection.close()
            if call.window_timer is not None:
                call.window_timer.cancel()
            self.calls.discard(call)
            for part in call.open:
                self._settle(call, part, told)

    async def _exchange(self, call: Call) -> bool:
        """The whole call; whether its connection can serve again."""
        connection = self._idle.take(call.host) or await self._open(call.host)
        call.connection = connection
        if connection.kept_s:
            call.idle_ms = int((time.monotonic() - connection.kept_s) * 1000)
        # Connecting takes time, in which a wait or a drain may have been told: it binds this write too.
        barred, now_s = self.unwritable(call.host), self._loop.time()
        for part in call.open:
            if barred is not None or part.begin_by_s <= now_s:
                self._settle(call, part, barred or PartOutcome(Verdict.NOT_SENT))
        parts = call.open
        if not parts:
            return self._keep(call.host, connection)
        call.carried = parts
        await connection.send(request_of(connection, parts), min(part.begin_by_s for part in parts))
        self.written += len(parts)
        return await self._answered(call)

    async def _answered(self, call: Call) -> bool:
        """The answer to a call that is out; whether its connection can serve again."""
        connection, parts = call.connection, call.carried
        assert connection is not None
        answer = await connection.response()
        wait_us, report = wait_of(answer), report_of(answer)
        if wait_us:
            route = self._route(call.host)
            until = time.monotonic() + wait_us / 1e6
            self._waits[route] = max(self._waits.get(route, 0.0), until)
            if len(self._waits) > MOST_WAITS:
                self._waits = self.waits
        if len(parts) > 1 and answer.status_code == DELIVERED:
            self._settle_batch(call, parts, await connection.body(MOST_ANSWER), wait_us, report)
            return self._keep(call.host, connection)
        verdict = verdict_of(answer, call.idle_ms is None)
        complete = answer.status_code in (DELIVERED, OVER)
        told = PartOutcome(verdict, complete, wait_us, report, turned_away=verdict is Verdict.CONNECT_FAILED)
        if complete:
            return await self._settle_over(call, connection, told)
        return await self._settle_unserved(call, connection, told)

    async def _settle_over(self, call: Call, connection: Connection, told: PartOutcome) -> bool:
        """Nothing more is owed, so the head of the answer is enough; the rest is waited for afterwards."""
        # What is told may send the next message there at once: it should find this connection.
        try:
            whole = connection.whole()
            keep = whole and self._keep(call.host, connection)
        finally:
            for part in call.carried:
                self._tell(call, part, told)
        if whole:
            return keep
        await asyncio.wait_for(connection.body(MOST_ANSWER), self._connect_s)
        return self._keep(call.host, connection)

    async def _settle_unserved(self, call: Call, connection: Connection, told: PartOutcome) -> bool:
        """These may be sent again, so the call has to be over first: its answer is whole, or it is closed."""
        call.proved = told
        keep = await self._rest_read(connection) and self._keep(call.host, connection)
        if not keep:
            connection.close()
        for part in call.carried:
            self._tell(call, part, told)
        return keep

    @staticmethod
    async def _rest_read(connection: Connection) -> bool:
        """Whether the rest of an answer comes shortly and can be read."""
        try:
            if not connection.whole():
                async with asyncio.timeout(REST_S):
                    await connection.body(MOST_ANSWER)
        except (*FAULTS, TimeoutError) as error:
            LOG.info("hosts: the rest of an answer did not come: %r", error)
            return False
        return True

    def _settle_batch(
        self, call: Call, parts: list[Part], body: bytes, wait_us: int, report: dict[str, float]
    ) -> None:
        """Each message's own end; one that the answer does not name may have run."""
        ends = ends_of(body)
        for part in parts:
            word = ends.get(part.id, "")
            told = PartOutcome(ENDS.get(word, Verdict.ERROR), word in ("delivered", "over"), wait_us, report)
            self._tell(call, part, told)

    def _tell(self, call: Call, part: Part, told: PartOutcome) -> None:
        """Settle a part; where its own time ran out within the call, only a final end is still news."""
        if not part.settled or told.complete:
            self._settle(call, part, told)

    async def _open(self, host: str) -> Connection:
        listed = self.listed.get(host)
        if listed is None:
            raise ConnectionError("no longer listed")
        self.counts["opened"] += 1
        try:
            return await asyncio.wait_for(Connection.open(listed.dial), self._connect_s)
        except OSError as error:
            if error.errno not in SHORT or not self._idle.close_oldest():
                raise
        return await asyncio.wait_for(Connection.open(listed.dial), self._connect_s)

    def _keep(self, host: str, connection: Connection) -> bool:
        """Keep a connection for the next call, watched for the host's end, closed before its keep-alive."""
        if not self._open_to(host) or not connection.reusable():
            self.counts["not reusable"] += 1
            return False
        if self._idle.full:
            self.counts["over the bound"] += 1
            return False
        self._idle.put(host, connection, time.monotonic())
        return True
