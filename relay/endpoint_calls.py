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
    BATCH_VERDICTS,
    MAX_ANSWER_BYTES,
    STATUS_DELIVERED,
    STATUS_OVER,
    outcome_without_answer,
    parse_batch_ends,
    parse_load_report,
    parse_wait_us,
    verdict_of,
)
from relay.calls import Call, Part, PartOutcome, build_call_request
from relay.endpoint_list import DirectoryUpdate, ListedEndpoint
from relay.http import (
    ANSWER_REST_TIMEOUT_S,
    CONNECTION_ERRORS,
    RESOURCE_SHORTAGE_ERRNOS,
    Address,
    Connection,
    local_port_of,
)
from relay.idle_connections import IdleConnections

LOG = logging.getLogger(__name__)
MAX_REMEMBERED_HOSTS = 4096  # hosts that are remembered, so that operators may name one that left
MAX_ROUTE_WAITS = 1024  # routes with a wait, above which those that are over are dropped


@dataclass(frozen=True, slots=True)
class CallsHandover:
    """What another process needs to go on with the list, the calls and the connections."""

    endpoints: dict[str, ListedEndpoint]
    calls: list[tuple[Call, bytes | None]]  # each with its answer so far; None: it was not written whole
    idle_connections: list[tuple[str, float]]  # idle connections: host, and monotonic time since when


SettledCallback = Callable[[Call, Part, PartOutcome], None]


class EndpointCalls:
    """The hosts that the list names, the calls out to them, and connections kept between calls."""

    def __init__(
        self,
        kinds: Iterable[DestinationKind],
        keepalive_us: int,
        connect_us: int,
        most_idle: int,
        settled: SettledCallback,
    ) -> None:
        # Kept, as whoever asks for the running loop asks the system for the process each time.
        self._loop = asyncio.get_running_loop()
        self._kinds = {kind.name: kind for kind in kinds}
        self._connect_timeout_s, self._on_settled = connect_us / 1e6, settled
        self.connection_counts: Counter[str] = Counter()  # what became of connections, for the people on call
        self._idle_pool = IdleConnections(keepalive_us, most_idle, self.connection_counts)
        self.endpoints: dict[str, ListedEndpoint] = {}
        self.remembered_hosts: dict[
            str, None
        ] = {}  # the hosts that lists have named, the latest of them last
        self._banned: set[str] = set()  # by operators
        self.written_messages = 0  # messages whose calls were written whole
        self._waits_until_s: dict[
            str, float
        ] = {}  # by route: the loop's time until which it is to be left alone
        self.calls: set[Call] = set()

    def apply_update(self, news: DirectoryUpdate) -> None:
        """Follow the list at once: what drains or goes gets no call that is still to be written."""
        if news.whole:
            gone = self.endpoints.keys() - {listed.entry.host for listed in news.endpoints}
            for host in gone:
                del self.endpoints[host]
                self.close_idle(host)
        for listed in news.endpoints:
            host = listed.entry.host
            self._remember(host)
            known = self.endpoints.get(host)
            if listed.entry.listing is Listing.GONE:
                self.endpoints.pop(host, None)
            else:
                self.endpoints[host] = listed
            if listed.entry.listing is not Listing.READY or (known and known.address != listed.address):
                self.close_idle(host)

    def _remember(self, host: str) -> None:
        self.remembered_hosts.pop(host, None)
        self.remembered_hosts[host] = None
        if len(self.remembered_hosts) > MAX_REMEMBERED_HOSTS:
            del self.remembered_hosts[next(iter(self.remembered_hosts))]

    def is_known(self, host: str) -> bool:
        """Whether the list names the host, or named it not too long ago."""
        return host in self.endpoints or host in self.remembered_hosts

    def set_banned(self, host: str, banned: bool) -> None:
        """Follow an operator at once, as the list is followed."""
        (self._banned.add if banned else self._banned.discard)(host)
        self.close_idle(host)

    def _accepts_calls(self, host: str) -> bool:
        """Whether the list and the operators let the host be called."""
        listed = self.endpoints.get(host)
        return listed is not None and listed.entry.listing is Listing.READY and host not in self._banned

    def zone_of(self, host: str) -> str:
        """The zone of a host."""
        return self.endpoints[host].entry.zone if host in self.endpoints else ""

    def _route_of(self, host: str) -> str:
        """What shares waits with a host: its destination, unless its kind's endpoints are routes apart."""
        listed = self.endpoints.get(host)
        apart = listed is None or self._kind_of(listed).limit_per_endpoint
        return host if listed is None or apart else f"dest {listed.entry.dest}"

    def _kind_of(self, listed: ListedEndpoint) -> DestinationKind:
        return self._kinds.get(listed.entry.kind, DestinationKind(listed.entry.kind))

    def max_batch(self, host: str) -> int:
        """How many messages a call to the host may carry."""
        listed = self.endpoints.get(host)
        return 1 if listed is None else self._kind_of(listed).batch_size

    @property
    def active_waits(self) -> dict[str, float]:
        """By route: the monotonic time until which it is to be left alone."""
        return {
            route: until_s for route, until_s in self._waits_until_s.items() if until_s > time.monotonic()
        }

    def restore_waits(self, waits: dict[str, float]) -> None:
        """Keep the waits that another process was told."""
        for route, until_s in waits.items():
            self._waits_until_s[route] = max(self._waits_until_s.get(route, 0.0), until_s)

    def remaining_wait_us(self, host: str) -> int:
        """How long the host is still to be left alone."""
        return max(0, int((self._waits_until_s.get(self._route_of(host), 0.0) - time.monotonic()) * 1e6))

    @property
    def busy_count(self) -> int:
        """Connections that carry a call."""
        return sum(call.connection is not None for call in self.calls)

    @property
    def idle_count(self) -> int:
        """Connections that are kept for the next call."""
        return len(self._idle_pool)

    def outcome_if_blocked(self, host: str) -> PartOutcome | None:
        """Why nothing may be written there now: decided before, a call must still obey newer news."""
        wait_us = self.remaining_wait_us(host)
        if wait_us or not self._accepts_calls(host):
            return PartOutcome(Verdict.NOT_SENT, wait_us=wait_us)
        return None

    def send(self, call: Call) -> None:
        """Start one call; each part is settled when its message's time is up at the latest."""
        self._start(call, self._exchange, time.monotonic())

    def _start(self, call: Call, exchange: Callable[[Call], Awaitable[bool]], since_s: float) -> None:
        loop = self._loop
        self.calls.add(call)
        if not call.fully_written:
            self._schedule_window_end(call)
        for part in call.open_parts:
            if part.overdue:
                until_s = since_s + max(part.limit_us, part.time_left_us) / 1e6
                part.timer = loop.call_at(until_s, self._on_deadline, call)
            else:
                part.timer = loop.call_at(since_s + part.limit_us / 1e6, self._on_limit_passed, call, part)
        call.task = loop.create_task(self._run(call, exchange))

    def hand_over(self, room: int) -> tuple[CallsHandover, list[int]]:
        """What another process takes over, and the descriptors of its calls and then of its connections.

        Idle connections go over only within ``room`` descriptors: for a moment both processes hold them.
        """
        calls, fds = list[tuple[Call, bytes | None]](), list[int]()
        for call in self.calls:
            if not call.open_parts:  # only the rest of its answer is out
                continue
            parts = {id(part): replace(part, timer=None) for part in call.parts}
            carried = [parts[id(part)] for part in call.request_parts]
            copy = Call(
                call.host,
                list(parts.values()),
                call.sent_at_s,
                request_parts=carried,
                connection_idle_ms=call.connection_idle_ms,
            )
            came = None
            if call.connection is not None and call.fully_written:
                came = bytes(call.connection.received)
                call.connection.shared_with_successor = True
                fds.append(call.connection.sock.fileno())
            calls.append((copy, came))
            LOG.info(
                "handover: call to %s with %s given after %d ms, connection %s, %s",
                call.host, call.attempts_text, call.age_ms, call.connection_description,
                "not written whole" if came is None else f"{len(came)} bytes of its answer read",
            )  # fmt: skip
        idle = list(islice(self._idle_pool, max(0, room - len(fds))))
        fds += [connection.sock.fileno() for _, connection in idle]
        return CallsHandover(
            self.endpoints, calls, [(host, connection.idle_since_s) for host, connection in idle]
        ), fds

    def take_over(self, left: CallsHandover, socks: Iterator[socket.socket]) -> None:
        """Go on with what another process left."""
        self.endpoints = left.endpoints
        for call, came in left.calls:
            if came is None:
                for part in call.open_parts:
                    self._settle(call, part, PartOutcome(Verdict.NOT_SENT))
                continue
            call.connection = Connection(next(socks), self._address_of(call.host))
            call.connection.local_port = local_port_of(call.connection.sock)
            build_call_request(
                call.connection, call.request_parts
            )  # its bytes are out; the answer is read as theirs
            call.connection.resume_answer(came)
            LOG.info(
                "handover: call to %s with %s taken over after %d ms, connection %s",
                call.host, call.attempts_text, call.age_ms, call.connection_description,
            )  # fmt: skip
            self._start(call, self._read_answer, call.sent_at_s)
        for host, kept_s in left.idle_connections:
            connection = Connection(next(socks), self._address_of(host))
            self._idle_pool.put(host, connection, kept_s)

    def _address_of(self, host: str) -> Address:
        """Where a host is reached; of one that left the list only connections are left, which need none."""
        return self.endpoints[host].address if host in self.endpoints else ("", 0)

    def cancel(self, ref: str, attempt: int) -> None:
        """Call one attempt off."""
        for call in list(self.calls):
            for part in call.open_parts:
                if (part.id, part.attempt) == (ref, attempt):
                    LOG.info(
                        "attempt: %s #%d at %s is called off after %d ms",
                        ref,
                        attempt,
                        call.host,
                        call.age_ms,
                    )
                    self._after_pending_answer(call, self._end_part, call, part, Verdict.CANCELLED)

    def close_idle(self, host: str) -> None:
        """Close the connections to a host that carry no call."""
        self._idle_pool.close_host(host)

    def close(self) -> None:
        """Give up everything, silently: what is out stays in the journal as it stands."""
        for call in list(self.calls):
            for part in call.open_parts:
                self._settle(call, part, None)
            self._end_call(call)
        self._idle_pool.close_all()

    def _settle(self, call: Call, part: Part, told: PartOutcome | None) -> None:
        part.settled = True
        if part.timer is not None:
            part.timer.cancel()
        if told is not None:
            self._on_settled(call, part, told)

    def _after_pending_answer(self, call: Call, end: Callable[..., None], *args: Any) -> None:
        """End something of a call, but not before an answer that has come and was not looked at yet.

        Both may come up in one turn of the loop. Given up then, a message that was delivered would be told as
        timed out, and a wait that was told would not be kept. Once only: an answer may come without end.
        """
        if call.connection is not None and call.connection.read_pending():
            self._loop.call_soon(end, *args)
        else:
            end(*args)

    def _on_limit_passed(self, call: Call, part: Part) -> None:
        """A part's limit has passed."""
        self._after_pending_answer(call, self._handle_overdue_part, call, part)

    def _handle_overdue_part(self, call: Call, part: Part) -> None:
        """It ends with the call, or before while the call's request is not fixed.

        While the call is out for the sake of others the message is out too: told as timed out it would be
        sent again beside itself, and ended it would still run. Once its own time is up the call ends.
        """
        if part.settled:
            return
        part.overdue = True
        if not call.request_fixed:
            self._end_part(call, part, Verdict.TIMEOUT)
        elif all(other.overdue for other in call.open_parts):
            self._time_out_call(call)
        else:
            more_s = max(0, part.time_left_us - part.limit_us) / 1e6
            part.timer = self._loop.call_later(more_s, self._on_deadline, call)

    def _schedule_window_end(self, call: Call) -> None:
        """Look again when the first of its messages may no longer begin."""
        by_s = min((part.send_by_s for part in call.open_parts), default=math.inf)
        call.window_timer = self._loop.call_at(by_s, self._on_window_end, call) if by_s < math.inf else None

    def _on_window_end(self, call: Call) -> None:
        """Leave out what may no longer begin while the last byte is not out: that never runs.

        It goes alone until the request is fixed: written with the rest it would run.
        """
        if call.fully_written:
            return
        now_s = self._loop.time()
        for part in call.open_parts:
            if call.request_fixed or part.send_by_s <= now_s:
                self._settle(call, part, PartOutcome(Verdict.NOT_SENT))
        if call.open_parts:
            self._schedule_window_end(call)
        else:
            self._end_call(call)

    def _on_deadline(self, call: Call) -> None:
        """The time of one of its messages is up."""
        self._after_pending_answer(call, self._time_out_call, call)

    def _time_out_call(self, call: Call) -> None:
        """Wait for the call no longer: it is over for all that it carries, and its connection is closed."""
        for part in call.open_parts:
            self._end_part(call, part, Verdict.TIMEOUT, whole=True)

    def _end_part(self, call: Call, part: Part, verdict: Verdict, whole: bool = False) -> None:
        """End one part before its answer; with the last one, or all at once, the connection is closed."""
        if part.settled:
            return
        last = whole or len(call.open_parts) == 1
        ran = call.fully_written if last else call.request_fixed  # it may yet be written for the others' sake
        if last:
            self._end_call(call)
        if call.known_delivered:  # its first line came, the rest did not
            LOG.info("hosts: %s is delivered by its first line alone: %s", part.id, verdict.value)
            self._settle(call, part, PartOutcome(Verdict.OK, complete=True))
        elif call.head_outcome is not None:
            self._settle(call, part, call.head_outcome)
        else:
            self._settle(call, part, PartOutcome(verdict if ran else Verdict.CONNECT_FAILED))

    def _end_call(self, call: Call) -> None:
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
        except (*CONNECTION_ERRORS, TimeoutError) as error:
            LOG.info("hosts: call to %s with %s broke: %r", call.host, call.parts[0].id, error)
            told = outcome_without_answer(call, error)
        except Exception as error:
            LOG.exception("hosts: call to %s broke", call.host)
            told = outcome_without_answer(call, error)
        finally:
            if call.connection is not None and not keep:
                call.connection.close()
            if call.window_timer is not None:
                call.window_timer.cancel()
            self.calls.discard(call)
            for part in call.open_parts:
                self._settle(call, part, told)

    async def _exchange(self, call: Call) -> bool:
        """The whole call; whether its connection can serve again."""
        connection = self._idle_pool.take(call.host) or await self._connect(call.host)
        call.connection = connection
        if connection.idle_since_s:
            call.connection_idle_ms = int((time.monotonic() - connection.idle_since_s) * 1000)
        # Connecting takes time, in which a wait or a drain may have been told: it binds this write too.
        barred, now_s = self.outcome_if_blocked(call.host), self._loop.time()
        for part in call.open_parts:
            if barred is not None or part.send_by_s <= now_s:
                self._settle(call, part, barred or PartOutcome(Verdict.NOT_SENT))
        parts = call.open_parts
        if not parts:
            return self._keep_connection(call.host, connection)
        call.request_parts = parts
        await connection.send(build_call_request(connection, parts), min(part.send_by_s for part in parts))
        self.written_messages += len(parts)
        return await self._read_answer(call)

    async def _read_answer(self, call: Call) -> bool:
        """The answer to a call that is out; whether its connection can serve again."""
        connection, parts = call.connection, call.request_parts
        assert connection is not None
        answer = await connection.read_response()
        wait_us, report = parse_wait_us(answer), parse_load_report(answer)
        if wait_us:
            route = self._route_of(call.host)
            until = time.monotonic() + wait_us / 1e6
            self._waits_until_s[route] = max(self._waits_until_s.get(route, 0.0), until)
            if len(self._waits_until_s) > MAX_ROUTE_WAITS:
                self._waits_until_s = self.active_waits
        if len(parts) > 1 and answer.status_code == STATUS_DELIVERED:
            self._settle_batch(call, parts, await connection.read_body(MAX_ANSWER_BYTES), wait_us, report)
            return self._keep_connection(call.host, connection)
        verdict = verdict_of(answer, call.connection_idle_ms is None)
        complete = answer.status_code in (STATUS_DELIVERED, STATUS_OVER)
        told = PartOutcome(
            verdict, complete, wait_us, report, connection_limit_reached=verdict is Verdict.CONNECT_FAILED
        )
        if complete:
            return await self._settle_final(call, connection, told)
        return await self._settle_retryable(call, connection, told)

    async def _settle_final(self, call: Call, connection: Connection, told: PartOutcome) -> bool:
        """Nothing more is owed, so the head of the answer is enough; the rest is waited for afterwards."""
        # What is told may send the next message there at once: it should find this connection.
        try:
            whole = connection.skip_rest()
            keep = whole and self._keep_connection(call.host, connection)
        finally:
            for part in call.request_parts:
                self._settle_answered(call, part, told)
        if whole:
            return keep
        await asyncio.wait_for(connection.read_body(MAX_ANSWER_BYTES), self._connect_timeout_s)
        return self._keep_connection(call.host, connection)

    async def _settle_retryable(self, call: Call, connection: Connection, told: PartOutcome) -> bool:
        """These may be sent again, so the call has to be over first: its answer is whole, or it is closed."""
        call.head_outcome = told
        keep = await self._read_rest(connection) and self._keep_connection(call.host, connection)
        if not keep:
            connection.close()
        for part in call.request_parts:
            self._settle_answered(call, part, told)
        return keep

    @staticmethod
    async def _read_rest(connection: Connection) -> bool:
        """Whether the rest of an answer comes shortly and can be read."""
        try:
            if not connection.skip_rest():
                async with asyncio.timeout(ANSWER_REST_TIMEOUT_S):
                    await connection.read_body(MAX_ANSWER_BYTES)
        except (*CONNECTION_ERRORS, TimeoutError) as error:
            LOG.info("hosts: the rest of an answer did not come: %r", error)
            return False
        return True

    def _settle_batch(
        self, call: Call, parts: list[Part], body: bytes, wait_us: int, report: dict[str, float]
    ) -> None:
        """Each message's own end; one that the answer does not name may have run."""
        ends = parse_batch_ends(body)
        for part in parts:
            word = ends.get(part.id, "")
            told = PartOutcome(
                BATCH_VERDICTS.get(word, Verdict.ERROR), word in ("delivered", "over"), wait_us, report
            )
            self._settle_answered(call, part, told)

    def _settle_answered(self, call: Call, part: Part, told: PartOutcome) -> None:
        """Settle a part; where its own time ran out within the call, only a final end is still news."""
        if not part.settled or told.complete:
            self._settle(call, part, told)

    async def _connect(self, host: str) -> Connection:
        listed = self.endpoints.get(host)
        if listed is None:
            raise ConnectionError("no longer listed")
        self.connection_counts["opened"] += 1
        try:
            return await asyncio.wait_for(Connection.open(listed.address), self._connect_timeout_s)
        except OSError as error:
            if error.errno not in RESOURCE_SHORTAGE_ERRNOS or not self._idle_pool.close_oldest():
                raise
        return await asyncio.wait_for(Connection.open(listed.address), self._connect_timeout_s)

    def _keep_connection(self, host: str, connection: Connection) -> bool:
        """Keep a connection for the next call, watched for the host's end, closed before its keep-alive."""
        if not self._accepts_calls(host) or not connection.prepare_reuse():
            self.connection_counts["not reusable"] += 1
            return False
        if self._idle_pool.is_full:
            self.connection_counts["over the bound"] += 1
            return False
        self._idle_pool.put(host, connection, time.monotonic())
        return True
