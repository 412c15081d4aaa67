"""Calls to endpoints: their connections, time-outs and outcomes, and their handover to another process.

Each part of a call is settled exactly once; only an answer that ends its message is still reported after a
time-out. Whether the last byte of a request went to the kernel decides between "never ran" and "may have
run", so nothing here writes a request twice.
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
    MAX_RESULT_LINE_BYTES,
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
    MAX_BODY_PARTS,
    RESOURCE_SHORTAGE_ERRNOS,
    Address,
    Connection,
    local_port_of,
)
from relay.idle_connections import IdleConnections

LOG = logging.getLogger(__name__)
MAX_REMEMBERED_HOSTS = 4096  # so that operators may still name an endpoint that has left the list
MAX_ROUTE_WAITS = 1024  # above so many, waits that are over are dropped


@dataclass(frozen=True, slots=True)
class CallsHandover:
    """What another process needs to continue with the list, the calls and the connections."""

    endpoints: dict[str, ListedEndpoint]  # by host
    calls: list[tuple[Call, bytes | None]]  # each with its answer so far; None: not fully written
    idle_connections: list[tuple[str, float]]  # host, and the monotonic time since which it is idle


SettledCallback = Callable[[Call, Part, PartOutcome], None]


class EndpointCalls:
    """The listed endpoints, the outgoing calls to them, and the connections kept between calls."""

    def __init__(
        self,
        kinds: Iterable[DestinationKind],
        keepalive_us: int,
        connect_timeout_us: int,
        max_idle: int,
        on_settled: SettledCallback,
    ) -> None:
        # Stored because asyncio.get_running_loop() makes a system call for the process id each time.
        self._loop = asyncio.get_running_loop()
        self._kinds = {kind.name: kind for kind in kinds}
        self._connect_timeout_s = connect_timeout_us / 1e6
        self._on_settled = on_settled
        self.connection_counts: Counter[str] = Counter()  # what became of connections, for the status log
        self._idle_pool = IdleConnections(keepalive_us, max_idle, self.connection_counts)
        self.endpoints: dict[str, ListedEndpoint] = {}  # by host
        self.remembered_hosts: dict[str, None] = {}  # hosts that lists have named, the latest of them last
        self._banned: set[str] = set()  # hosts, by operators
        self.written_messages = 0  # messages whose calls were fully written
        # By route: the monotonic time before which the route must not be called.
        self._waits_until_s: dict[str, float] = {}
        self.calls: set[Call] = set()

    def apply_update(self, update: DirectoryUpdate) -> None:
        """Apply an update of the list at once: an endpoint that drains or leaves gets no further request."""
        if update.whole:
            removed = self.endpoints.keys() - {listed.entry.host for listed in update.endpoints}
            for host in removed:
                del self.endpoints[host]
                self.close_idle(host)
        for listed in update.endpoints:
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
        """Return whether the list names the host, or did so recently (``MAX_REMEMBERED_HOSTS``)."""
        return host in self.endpoints or host in self.remembered_hosts

    def set_banned(self, host: str, banned: bool) -> None:
        """Apply an operator's ban, or its end, at once."""
        (self._banned.add if banned else self._banned.discard)(host)
        self.close_idle(host)

    def _accepts_calls(self, host: str) -> bool:
        """Return whether the host is listed as ready and not banned by an operator."""
        listed = self.endpoints.get(host)
        return listed is not None and listed.entry.listing is Listing.READY and host not in self._banned

    def zone_of(self, host: str) -> str:
        """Return the zone of a host, or "" if it is not listed."""
        return self.endpoints[host].entry.zone if host in self.endpoints else ""

    def _route_of(self, host: str) -> str:
        """Return the key for waits: the destination, or the host itself if its kind limits each endpoint."""
        listed = self.endpoints.get(host)
        has_own_limit = listed is None or self._kind_of(listed).limit_per_endpoint
        return host if listed is None or has_own_limit else f"dest {listed.entry.dest}"

    def _kind_of(self, listed: ListedEndpoint) -> DestinationKind:
        return self._kinds.get(listed.entry.kind, DestinationKind(listed.entry.kind))

    def max_batch(self, host: str) -> int:
        """Return how many messages a call to the host may carry."""
        listed = self.endpoints.get(host)
        return 1 if listed is None else self._kind_of(listed).batch_size

    @property
    def active_waits(self) -> dict[str, float]:
        """By route: the monotonic time before which it must not be called, where that is not over."""
        return {
            route: until_s for route, until_s in self._waits_until_s.items() if until_s > time.monotonic()
        }

    def restore_waits(self, waits: dict[str, float]) -> None:
        """Add the waits that endpoints asked another process for."""
        for route, until_s in waits.items():
            self._waits_until_s[route] = max(self._waits_until_s.get(route, 0.0), until_s)

    def remaining_wait_us(self, host: str) -> int:
        """Return how long the host must not be called yet; 0 if it may be called."""
        return max(0, int((self._waits_until_s.get(self._route_of(host), 0.0) - time.monotonic()) * 1e6))

    @property
    def busy_count(self) -> int:
        """The number of connections that carry a call."""
        return sum(call.connection is not None for call in self.calls)

    @property
    def idle_count(self) -> int:
        """The number of connections that are kept for later calls."""
        return len(self._idle_pool)

    def outcome_if_blocked(self, host: str) -> PartOutcome | None:
        """Return the outcome of a call that may not be written to the host now, or None if it may.

        Waits and list updates that arrived after the call was decided apply to it too.
        """
        wait_us = self.remaining_wait_us(host)
        if wait_us or not self._accepts_calls(host):
            return PartOutcome(Verdict.NOT_SENT, wait_us=wait_us)
        return None

    def send(self, call: Call) -> None:
        """Start one call; each part is settled by its message's deadline at the latest."""
        self._start(call, self._exchange, time.monotonic())

    def _start(self, call: Call, exchange: Callable[[Call], Awaitable[bool]], started_s: float) -> None:
        loop = self._loop
        self.calls.add(call)
        self._schedule_window_end(call)
        for part in call.open_parts:
            if part.overdue:
                deadline_s = started_s + max(part.limit_us, part.time_left_us) / 1e6
                part.timer = loop.call_at(deadline_s, self._on_deadline, call)
            else:
                part.timer = loop.call_at(started_s + part.limit_us / 1e6, self._on_limit_passed, call, part)
        call.task = loop.create_task(self._run(call, exchange))

    def hand_over(self, max_descriptors: int) -> tuple[CallsHandover, list[int]]:
        """Return what another process takes over, and its descriptors: calls first, then idle connections.

        Idle connections are included only within ``max_descriptors``: for a moment both processes hold them.
        """
        calls, fds = list[tuple[Call, bytes | None]](), list[int]()
        for call in self.calls:
            if not call.open_parts:  # settled; only the rest of its answer is missing
                continue
            copies = {id(part): replace(part, timer=None) for part in call.parts}
            request_parts = [copies[id(part)] for part in call.request_parts]
            copy = Call(
                call.host,
                list(copies.values()),
                call.sent_at_s,
                request_parts=request_parts,
                connection_idle_ms=call.connection_idle_ms,
            )
            received = None
            if call.connection is not None and call.fully_written:
                received = bytes(call.connection.received)
                call.connection.shared_with_successor = True
                fds.append(call.connection.sock.fileno())
            calls.append((copy, received))
            LOG.info(
                "handover: call to %s with %s given after %d ms, connection %s, %s",
                call.host, call.attempts_text, call.age_ms, call.connection_description,
                "not written whole" if received is None else f"{len(received)} bytes of its answer read",
            )  # fmt: skip
        idle = list(islice(self._idle_pool, max(0, max_descriptors - len(fds))))
        fds += [connection.sock.fileno() for _, connection in idle]
        return CallsHandover(
            self.endpoints, calls, [(host, connection.idle_since_s) for host, connection in idle]
        ), fds

    def take_over(self, handover: CallsHandover, socks: Iterator[socket.socket]) -> None:
        """Continue with what another process handed over; its sockets come in the order of ``hand_over``."""
        self.endpoints = handover.endpoints
        for call, received in handover.calls:
            if received is None:
                for part in call.open_parts:
                    self._settle(call, part, PartOutcome(Verdict.NOT_SENT))
                continue
            call.connection = Connection(next(socks), self._address_of(call.host))
            call.connection.local_port = local_port_of(call.connection.sock)
            # The request was sent by the other process: composing it only prepares h11 for its answer.
            build_call_request(call.connection, call.request_parts)
            call.connection.resume_answer(received)
            LOG.info(
                "handover: call to %s with %s taken over after %d ms, connection %s",
                call.host, call.attempts_text, call.age_ms, call.connection_description,
            )  # fmt: skip
            self._start(call, self._read_answer, call.sent_at_s)
        for host, idle_since_s in handover.idle_connections:
            connection = Connection(next(socks), self._address_of(host))
            self._idle_pool.put(host, connection, idle_since_s)

    def _address_of(self, host: str) -> Address:
        """Return the address of a host; one that left the list is not connected to again and has none."""
        return self.endpoints[host].address if host in self.endpoints else ("", 0)

    def cancel(self, ref: str, attempt: int) -> None:
        """Cancel one attempt of a message."""
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
        """Close the idle connections to a host."""
        self._idle_pool.close_host(host)

    def close(self) -> None:
        """Drop all calls and connections without reporting outcomes; the journal stays as it is."""
        for call in list(self.calls):
            for part in call.open_parts:
                self._settle(call, part, None)
            self._end_call(call)
        self._idle_pool.close_all()

    def _settle(self, call: Call, part: Part, outcome: PartOutcome | None) -> None:
        part.settled = True
        if part.timer is not None:
            part.timer.cancel()
        if outcome is not None:
            self._on_settled(call, part, outcome)

    def _after_pending_answer(self, call: Call, end: Callable[..., None], *args: Any) -> None:
        """Call ``end`` with ``args``, after an answer that has arrived and is not processed yet.

        A timer and an answer may fall into one iteration of the loop. If the call were given up then, a
        delivered message would be reported as timed out, and a requested wait would not be kept. The end is
        put off by one iteration only, as an answer may go on for ever.
        """
        if call.connection is not None and call.connection.read_pending():
            self._loop.call_soon(end, *args)
        else:
            end(*args)

    def _on_limit_passed(self, call: Call, part: Part) -> None:
        """Handle the end of a part's limit."""
        self._after_pending_answer(call, self._handle_overdue_part, call, part)

    def _handle_overdue_part(self, call: Call, part: Part) -> None:
        """Time out a part whose limit has passed: with its call, or alone while the request is not fixed.

        While the call is in progress for other parts, this message is in progress too. If it were reported as
        timed out, it would be sent again in parallel; if it were ended, it could still run. At the message's
        own deadline the call ends.
        """
        if part.settled:
            return
        part.overdue = True
        if not call.request_fixed:
            self._end_part(call, part, Verdict.TIMEOUT)
        elif all(other.overdue for other in call.open_parts):
            self._time_out_call(call)
        else:
            remaining_s = max(0, part.time_left_us - part.limit_us) / 1e6
            part.timer = self._loop.call_later(remaining_s, self._on_deadline, call)

    def _schedule_window_end(self, call: Call) -> None:
        """Set the timer for the moment at which the first of the call's messages may no longer begin."""
        end_s = call.window_end_s
        call.window_timer = self._loop.call_at(end_s, self._on_window_end, call) if end_s < math.inf else None

    def _on_window_end(self, call: Call) -> None:
        """Settle what may no longer begin as not sent, or reset a call that may not have arrived.

        Before the request is fixed only the affected parts are left out. After that all parts are settled and
        the call ends: if the request were completed, the affected messages would run too. A request that is
        written in full may still be held back by the network, and would begin when that delivers it. Only
        the first byte of an answer shows that it has arrived.
        """
        now_s = self._loop.time()
        if call.fully_written:
            if call.window_end_s > now_s:  # that of a message which the request does not carry is over
                self._schedule_window_end(call)
            else:
                self._after_pending_answer(call, self._reset_unless_answered, call)
            return
        for part in call.open_parts:
            if call.request_fixed or part.send_by_s <= now_s:
                self._settle(call, part, PartOutcome(Verdict.NOT_SENT))
        if call.open_parts:
            self._schedule_window_end(call)
        else:
            self._end_call(call)

    def _reset_unless_answered(self, call: Call) -> None:
        """Give up a call of whose answer no byte has arrived by the end of a key's window."""
        if call.connection is not None and not call.connection.received and call.open_parts:
            LOG.info(
                "attempt: %s at %s is reset at the end of a window after %d ms",
                call.attempts_text, call.host, call.age_ms,
            )  # fmt: skip
            self._time_out_call(call)

    def _on_deadline(self, call: Call) -> None:
        """Handle the deadline of one of the call's messages."""
        self._after_pending_answer(call, self._time_out_call, call)

    def _time_out_call(self, call: Call) -> None:
        """Give up the call: all its open parts are timed out, and its connection is closed."""
        for part in call.open_parts:
            self._end_part(call, part, Verdict.TIMEOUT, all_parts=True)

    def _end_part(self, call: Call, part: Part, verdict: Verdict, all_parts: bool = False) -> None:
        """End one part without an answer; with the last one, or ``all_parts``, the connection is closed."""
        if part.settled:
            return
        ends_call = all_parts or len(call.open_parts) == 1
        # While the call goes on for other parts, a fixed request may still be written in full.
        may_have_run = call.fully_written if ends_call else call.request_fixed
        if ends_call:
            self._end_call(call)
        if call.known_delivered:  # its status line arrived, the rest did not
            LOG.info("hosts: %s was delivered: status 200, then no whole answer: %s", part.id, verdict.value)
            self._settle(call, part, PartOutcome(Verdict.OK, complete=True))
        else:
            self._settle(call, part, PartOutcome(verdict if may_have_run else Verdict.CONNECT_FAILED))

    def _end_call(self, call: Call) -> None:
        """Close a call's connection before its end is reported, after which its messages may be sent again.

        The task's own end would close it too late, and not at all if the task has not started yet.
        """
        self.calls.discard(call)
        if call.connection is not None:
            call.connection.abort()
        if call.window_timer is not None:
            call.window_timer.cancel()
        if call.task is not None:
            call.task.cancel()

    async def _run(self, call: Call, exchange: Callable[[Call], Awaitable[bool]]) -> None:
        """Run a call; however it ends, its open parts are settled and no unused connection stays open."""
        outcome, keep = PartOutcome(Verdict.RESET), False
        try:
            keep = await exchange(call)
        except (*CONNECTION_ERRORS, TimeoutError) as error:
            LOG.info("hosts: call to %s with %s failed: %r", call.host, call.parts[0].id, error)
            outcome = outcome_without_answer(call, error)
        except Exception as error:
            LOG.exception("hosts: call to %s failed with an unexpected error", call.host)
            outcome = outcome_without_answer(call, error)
        finally:
            if call.connection is not None and not keep:
                call.connection.close()
            if call.window_timer is not None:
                call.window_timer.cancel()
            self.calls.discard(call)
            for part in call.open_parts:
                self._settle(call, part, outcome)

    async def _exchange(self, call: Call) -> bool:
        """Connect, write the request and read the answer; return whether the connection was kept."""
        connection = self._idle_pool.take(call.host) or await self._connect(call.host)
        call.connection = connection
        if connection.idle_since_s:
            call.connection_idle_ms = int((time.monotonic() - connection.idle_since_s) * 1000)
        # A wait or a drain may have been announced during the connect: it applies to this write too.
        blocked, now_s = self.outcome_if_blocked(call.host), self._loop.time()
        for part in call.open_parts:
            if blocked is not None or part.send_by_s <= now_s:
                self._settle(call, part, blocked or PartOutcome(Verdict.NOT_SENT))
        parts = call.open_parts
        if not parts:
            return self._keep_connection(call.host, connection)
        call.request_parts = parts
        await connection.send(build_call_request(connection, parts), min(part.send_by_s for part in parts))
        self.written_messages += len(parts)
        return await self._read_answer(call)

    async def _read_answer(self, call: Call) -> bool:
        """Read the answer to a call that was sent, and settle it; return whether the connection was kept."""
        connection, parts = call.connection, call.request_parts
        assert connection is not None
        answer = await connection.read_response()
        wait_us, report = parse_wait_us(answer), parse_load_report(answer)
        if wait_us:
            route = self._route_of(call.host)
            until_s = time.monotonic() + wait_us / 1e6
            self._waits_until_s[route] = max(self._waits_until_s.get(route, 0.0), until_s)
            if len(self._waits_until_s) > MAX_ROUTE_WAITS:
                self._waits_until_s = self.active_waits
        if len(parts) > 1 and answer.status_code == STATUS_DELIVERED:
            max_parts = MAX_BODY_PARTS + MAX_RESULT_LINE_BYTES * len(parts)  # each byte may come by itself
            body = await connection.read_body(MAX_ANSWER_BYTES, max_parts)
            self._settle_batch(call, parts, body, wait_us, report)
            return self._keep_connection(call.host, connection)
        verdict = verdict_of(answer, call.connection_idle_ms is None)
        complete = answer.status_code in (STATUS_DELIVERED, STATUS_OVER)
        outcome = PartOutcome(
            verdict, complete, wait_us, report, connection_limit_reached=verdict is Verdict.CONNECT_FAILED
        )
        if verdict is Verdict.OK:
            return await self._settle_delivered(call, connection, outcome)
        return await self._settle_after_whole_answer(call, connection, outcome)

    async def _settle_delivered(self, call: Call, connection: Connection, outcome: PartOutcome) -> bool:
        """Settle a delivered message by the head of the answer, which proves that alone; read the rest."""
        # Once the outcome is reported, the next message may be sent to the host and should find the
        # connection.
        try:
            is_complete = connection.skip_rest()
            keep = is_complete and self._keep_connection(call.host, connection)
        finally:
            for part in call.request_parts:
                self._settle_answered(call, part, outcome)
        if is_complete:
            return keep
        return await self._read_rest(connection) and self._keep_connection(call.host, connection)

    async def _settle_after_whole_answer(
        self, call: Call, connection: Connection, outcome: PartOutcome
    ) -> bool:
        """Settle messages once the call is over: by a whole answer, or by closing the connection.

        Status and headers prove nothing where the rest of the answer cannot be read, or where more follows
        it: the messages may have run. A wait and a report in them are heeded all the same.
        """
        is_whole = await self._read_rest(connection) and not connection.has_excess_bytes
        keep = is_whole and self._keep_connection(call.host, connection)
        if not keep:
            connection.close()
        if not is_whole:
            outcome = PartOutcome(Verdict.ERROR, wait_us=outcome.wait_us, load_report=outcome.load_report)
        for part in call.request_parts:
            self._settle_answered(call, part, outcome)
        return keep

    @staticmethod
    async def _read_rest(connection: Connection) -> bool:
        """Return whether the rest of an answer arrives within ``ANSWER_REST_TIMEOUT_S`` and is readable."""
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
        """Settle each message by its line in a batch's answer; one that has no line may have run."""
        results = parse_batch_ends(body)
        for part in parts:
            result = results.get(part.id, "")
            outcome = PartOutcome(
                BATCH_VERDICTS.get(result, Verdict.ERROR), result in ("delivered", "over"), wait_us, report
            )
            self._settle_answered(call, part, outcome)

    def _settle_answered(self, call: Call, part: Part, outcome: PartOutcome) -> None:
        """Settle an answered part; one that has timed out meanwhile is reported again only if it is over."""
        if not part.settled or outcome.complete:
            self._settle(call, part, outcome)

    async def _connect(self, host: str) -> Connection:
        """Connect to a host; if descriptors run out, close the oldest idle connection and try once more."""
        listed = self.endpoints.get(host)
        if listed is None:
            raise ConnectionError("the host is no longer listed")
        self.connection_counts["opened"] += 1
        try:
            return await self._open(listed.address)
        except OSError as error:
            if error.errno not in RESOURCE_SHORTAGE_ERRNOS or not self._idle_pool.close_oldest():
                raise
        return await self._open(listed.address)

    async def _open(self, address: Address) -> Connection:
        connection = await asyncio.wait_for(Connection.open(address), self._connect_timeout_s)
        connection.reset_if_killed()
        return connection

    def _keep_connection(self, host: str, connection: Connection) -> bool:
        """Keep a connection for the next call if it can be reused; return whether it is kept."""
        if not self._accepts_calls(host) or not connection.prepare_reuse():
            self.connection_counts["not reusable"] += 1
            return False
        if self._idle_pool.is_full:
            self.connection_counts["over the bound"] += 1
            return False
        self._idle_pool.put(host, connection, time.monotonic())
        return True
