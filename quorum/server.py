"""The network service of a member: sockets, the disk and the clock around ``Member``, which decides.

Writes run in a separate thread, several together if they pile up; the core releases what depends on a write
only once it is durable. While the disk refuses writes, nothing is acknowledged.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import structlog

from operatorpages import JSON_TYPE, METRICS_TYPE, Page, PageServer
from quorum import wire
from quorum.config import Config
from quorum.incarnations import IncarnationRegistry, StartupClaim
from quorum.member import Elsewhere, FoldersShunned, Member, MembersChanged, Output, Reply, Request
from quorum.messages import Message, Persist, Send
from quorum.metrics import ServerMetrics
from quorum.monotonic_clock import now_us
from quorum.raft import Role, Timing
from quorum.state_machine import Done, Refused
from quorum.store import DISK_FULL_ERRNOS, Store
from quorum.wire import (
    FRAME_TIMEOUT_S,
    HELLO_TIMEOUT_S,
    MAX_CLIENT_FRAME_BYTES,
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    Hello,
    Turned,
    WireError,
    encode_frame,
)
from tomlconfig import Address, parse_address

LOG = structlog.get_logger("quorum")
# Messages queued for a member that does not read them. Beyond that the oldest is dropped, since Raft
# tolerates the loss of any message.
MAX_QUEUED_MESSAGES = 512
MAX_CLIENTS = 2048  # connections
ACCEPT_BACKLOG = 1024  # connections that wait to be accepted; a whole fleet may connect at once
RECONNECT_PAUSES_S = (0.05, 1.0)  # first and longest pause before connecting to a member again
DISK_RETRY_US = 500_000  # after which a refused write, or making the reserve again, is retried
CLIENT_IDLE_S = 30.0  # after which a client's connection without frames or awaited answers is closed


class PeerLink:
    """The outgoing link to another member: a connection, re-established when it ends, and a bounded queue."""

    def __init__(self, name: str, address: Address, hello: Hello, random: Random) -> None:
        self._hello = hello
        self.name = name
        self.address = address
        self._random = random
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self.rejection = ""  # why the other member rejects this one; empty: it does not

    def send(self, message: Message) -> None:
        """Queue a message, dropping the oldest one if the queue is full."""
        if self._queue.full():
            self._queue.get_nowait()
        self._queue.put_nowait(encode_frame(message))

    async def run(self) -> None:
        """Connect and send forever; the pauses between connections grow unless one has lasted."""
        pause_s = RECONNECT_PAUSES_S[0]
        while True:
            started_us = now_us()
            try:
                async with asyncio.timeout(RECONNECT_PAUSES_S[1]):
                    reader, writer = await asyncio.open_connection(*self.address)
            except (OSError, TimeoutError):
                pass
            else:
                started_us = now_us()
                while not self._queue.empty():  # outdated messages from before the connection
                    self._queue.get_nowait()
                try:
                    await self._send_all(reader, writer)
                except (OSError, TimeoutError, WireError):
                    pass
                finally:
                    writer.transport.abort()
            if now_us() - started_us > RECONNECT_PAUSES_S[1] * 1e6:
                pause_s = RECONNECT_PAUSES_S[0]
            await asyncio.sleep(
                RECONNECT_PAUSES_S[1] if self.rejection else pause_s * self._random.uniform(0.5, 1.5)
            )
            pause_s = min(2 * pause_s, RECONNECT_PAUSES_S[1])

    async def _send_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # The other member sends nothing except perhaps the reason why it closes the connection.
        ended = asyncio.ensure_future(wire.read_frame(reader, MAX_CLIENT_FRAME_BYTES))
        accepted = asyncio.get_running_loop().call_later(RECONNECT_PAUSES_S[1], self._clear_rejection)
        try:
            writer.write(encode_frame(self._hello))
            while not ended.done():
                next_frame = asyncio.ensure_future(self._queue.get())
                await asyncio.wait({next_frame, ended}, return_when=asyncio.FIRST_COMPLETED)
                if ended.done():
                    next_frame.cancel()
                    break
                writer.write(next_frame.result())
                async with asyncio.timeout(FRAME_TIMEOUT_S):
                    await writer.drain()
            body = await ended
            why = wire.decode_body(wire.turned_decoder, body).why if body else ""
            if why and why != self.rejection:
                LOG.error("a member does not listen to this one", member=self.name, why=why)
            self.rejection = why
        finally:
            accepted.cancel()
            ended.cancel()
            with suppress(asyncio.CancelledError, OSError, WireError):
                await ended

    def _clear_rejection(self) -> None:
        self.rejection = ""


class Server:
    """A running member."""

    def __init__(self, config: Config) -> None:
        """Open the member's folder; raises ``StoreError`` if it cannot be used."""
        self._config = config
        self._random = Random()
        self._store = Store(Path(config.folder), config.reserve_kb * 1024)
        times = config.times
        timing = Timing(
            times.least_election_ms * 1000, times.most_election_ms * 1000, times.heartbeat_ms * 1000
        )
        self._member = Member(
            config.name, config.initial_members, saved=self._store.saved, timing=timing,
            draw=self._random.randint, now_us=now_us(),
        )  # fmt: skip
        raft = self._member.raft
        claim = StartupClaim(raft.term, raft.vote, raft.log.last_index)
        self._hello = Hello(PROTOCOL_VERSION, config.name, self._store.incarnation, claim)
        self._incarnations = IncarnationRegistry(config.name, self._store.incarnations, self._store.shunned)
        self._incarnations_lock = asyncio.Lock()
        self._peers: dict[str, tuple[PeerLink, asyncio.Task[None]]] = {}
        # Incoming connections of other members by name, with the folder that the member runs on.
        self._member_connections: dict[str, tuple[asyncio.StreamWriter, str]] = {}
        self._writes: list[Persist] = []
        self._write_needed = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._due_us = 0
        # Unanswered requests by tag: the client's connection, its request number, and the request's kind.
        self._pending_requests: dict[int, tuple[asyncio.StreamWriter, int, str]] = {}
        self._last_tag = 0
        self._request_batch: list[tuple[int, Request]] = []  # received in this iteration of the event loop
        self._connections: set[asyncio.StreamWriter] = set()
        self._client_count = 0
        self._disk_error = ""  # why the disk refused a write; empty once it accepts writes again
        self._reserve_retry_us = 0  # the earliest time to allocate the reserve again
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._last_leader_and_term = ("", 0)
        self._metrics = ServerMetrics(lambda: self.health(0))
        self._pages = PageServer(
            {
                "/health": lambda: Page(200, b"up\n"),
                "/ready": self._ready_page,
                "/status": lambda: Page(200, msgspec.json.encode(self.health(0)) + b"\n", JSON_TYPE),
                "/leases": lambda: Page(200, msgspec.json.encode(self._list_leases(0)) + b"\n", JSON_TYPE),
                "/metrics": lambda: Page(200, self._metrics.page(), METRICS_TYPE),
            }
        )

    async def start(self) -> None:
        """Listen, connect to the other members, and take part; raises ``OSError`` if it cannot listen."""
        self._server = await asyncio.start_server(
            self._handle_connection, *self._config.listen_address, backlog=ACCEPT_BACKLOG
        )
        if self._config.operators:
            await self._pages.start(*parse_address(self._config.operators))
        self._update_peers(self._config)
        self._spawn(self._write_loop())
        self._arm_timer()
        raft = self._member.raft
        LOG.info("member is up", name=self._config.name, term=raft.term, entries=raft.log.last_index)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _update_peers(self, config: Config) -> None:
        """Adapt the links to the members' addresses in a configuration; unchanged ones stay connected."""
        for name, (peer, task) in list(self._peers.items()):
            if config.others.get(name) != peer.address:
                task.cancel()
                del self._peers[name]
        for name, address in config.others.items():
            if name not in self._peers:
                peer = PeerLink(name, address, self._hello, self._random)
                self._peers[name] = (peer, self._spawn(peer.run()))

    def reload(self, config: Config) -> None:
        """Apply a new configuration's addresses of members; other changes need a restart."""
        self._config = msgspec.structs.replace(self._config, members=config.members)
        self._update_peers(self._config)
        LOG.info("members' addresses were read again", members=sorted(config.members))

    async def stop(self) -> None:
        """Close all connections and the folder. Nothing that is not durable yet was acknowledged."""
        if self._server is not None:
            self._server.close()
        self._pages.stop()
        for writer in list(self._connections):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._timer is not None:
            self._timer.cancel()
        self._store.close()

    # Steps

    def _carry_out(self, outputs: list[Output]) -> None:
        """Carry out the outputs of a step of the member."""
        for output in outputs:
            match output:
                case Send():
                    if output.to in self._peers:
                        self._peers[output.to][0].send(output.message)
                case Persist():
                    if output.snapshot is not None:
                        self._writes.clear()  # superseded: this write holds the complete state
                    self._writes.append(output)
                    self._write_needed.set()
                case Reply():
                    self._reply(output)
                case MembersChanged():
                    if self._incarnations.retain_members(output.names):
                        self._spawn(self._save_incarnations())
                case FoldersShunned():
                    if folders := [folder for folder in output.folders if self._incarnations.shun(folder)]:
                        self._disconnect_shunned(folders)
        raft = self._member.raft
        if (raft.leader, raft.term) != self._last_leader_and_term:
            self._last_leader_and_term = (raft.leader, raft.term)
            self._metrics.leader_changes.inc()
            LOG.info("leader", leader=raft.leader or "unknown", term=raft.term, role=raft.role.value)
        self._arm_timer()

    def _reply(self, reply: Reply) -> None:
        writer, number, kind = self._pending_requests.pop(reply.tag, (None, 0, ""))
        if writer is None:
            return
        self._metrics.requests.labels(kind, type(reply.response).__name__).inc()
        if not writer.is_closing():
            writer.write(encode_frame(wire.Told(number, reply.response)))

    def _arm_timer(self) -> None:
        due_us = self._member.due_us
        if self._timer is not None and due_us == self._due_us:
            return
        if self._timer is not None:
            self._timer.cancel()
        loop, self._due_us = asyncio.get_running_loop(), due_us
        self._timer = loop.call_later(max(0, due_us - now_us()) / 1e6, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._carry_out(self._member.wake(now_us()))

    # Disk

    async def _write_loop(self) -> None:
        """Write what is pending, several writes at once, and retry until the disk accepts them."""
        while True:
            await self._write_needed.wait()
            writes = list(self._writes)
            try:
                with self._metrics.sync_seconds.time():
                    await asyncio.to_thread(self._store.write, writes)
            except OSError as error:
                await self._handle_disk_error(error)
                continue
            number = writes[-1].number
            self._writes = [write for write in self._writes if write.number > number]
            if not self._writes:
                self._write_needed.clear()
            self._try_restore_reserve()
            self._carry_out(self._member.synced(now_us(), number))

    async def _handle_disk_error(self, error: OSError) -> None:
        """Make room on a disk that refuses a write: first give up the reserve, then compact the log."""
        first, self._disk_error = not self._disk_error, error.strerror or "refused"
        self._reserve_retry_us = now_us() + DISK_RETRY_US
        if first:
            LOG.error("the disk refuses", why=error.strerror)
            self._carry_out(self._member.set_disk_full(now_us(), True))
        if error.errno in DISK_FULL_ERRNOS and self._store.release_reserve():
            return
        self._carry_out(self._member.compact())
        await asyncio.sleep(DISK_RETRY_US / 1e6)

    def _try_restore_reserve(self) -> None:
        """After a disk error, report the disk as usable once the reserve can be allocated again."""
        if not self._disk_error or now_us() < self._reserve_retry_us:
            return
        self._reserve_retry_us = now_us() + DISK_RETRY_US
        if self._store.allocate_reserve():
            LOG.info("the disk takes writes again")
            self._disk_error = ""
            self._carry_out(self._member.set_disk_full(now_us(), False))

    # Connections

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = writer.get_extra_info("peername")
        self._connections.add(writer)
        try:
            body = await wire.read_frame(reader, MAX_CLIENT_FRAME_BYTES, HELLO_TIMEOUT_S)
            if not body:
                return
            hello = wire.decode_body(wire.hello_decoder, body)
            if hello.version != PROTOCOL_VERSION:
                raise WireError(f"version {hello.version}, not {PROTOCOL_VERSION}")
            if hello.member:
                await self._serve_member(reader, writer, hello)
            else:
                await self._serve_client(reader, writer)
        except WireError as error:
            self._metrics.connections_refused.inc()
            LOG.warning("a connection was ended", peer=peer, why=str(error))
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _serve_member(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, hello: Hello
    ) -> None:
        name = hello.member
        why = await self._rejection_reason(hello)
        if why:
            writer.write(encode_frame(Turned(why)))
            raise WireError(why)
        assert hello.life is not None
        if name in self._member_connections:
            self._member_connections[name][0].transport.abort()
        self._member_connections[name] = (writer, hello.life.folder)
        try:
            while body := await wire.read_frame(reader, MAX_FRAME_BYTES):
                message = wire.decode_body(wire.message_decoder, body)
                if self._member_connections.get(name, (None, ""))[0] is not writer:
                    return
                self._incarnations.record_message(name, message)
                self._carry_out(self._member.receive(now_us(), name, message))
        finally:
            if self._member_connections.get(name, (None, ""))[0] is writer:
                del self._member_connections[name]

    async def _rejection_reason(self, hello: Hello) -> str:
        """Return why a member's connection is rejected, or an empty string if it is accepted.

        An accepted incarnation is durable before this returns.
        """
        name, life = hello.member, hello.life
        if name == self._config.name or name not in self._peers or life is None:
            return f"{name!r} is no other member here"
        async with self._incarnations_lock:
            if why := self._incarnations.rejection_reason(name, life, hello.claim):
                if life.folder in self._incarnations.shunned:
                    self._carry_out(self._member.shun(now_us(), life.folder))
                    self._spawn(self._save_incarnations())
                return why
            if self._incarnations.accept(name, life):
                try:
                    await asyncio.to_thread(
                        self._store.save_incarnations, self._incarnations.known, self._incarnations.shunned
                    )
                except OSError as error:
                    self._incarnations.revert(name, self._store.incarnations)
                    return f"the disk refuses to note who was heard: {error.strerror}"
            # It may have been shunned while the write was under way.
            return self._incarnations.rejection_reason(name, life, hello.claim)

    def _disconnect_shunned(self, folders: list[str]) -> None:
        """Disconnect the members that run on newly shunned folders."""
        LOG.error("a folder has forgotten promises and is not heard", folders=folders)
        for name, (writer, folder) in list(self._member_connections.items()):
            if folder in folders:
                writer.write(
                    encode_frame(Turned(f"{name} speaks from a copy of its folder, as another has found"))
                )
                writer.close()
                del self._member_connections[name]
        self._spawn(self._save_incarnations())

    async def _save_incarnations(self) -> None:
        """Make the accepted incarnations durable; a removed member may return with another folder."""
        async with self._incarnations_lock:
            with suppress(OSError):  # the log holds the same information
                await asyncio.to_thread(
                    self._store.save_incarnations, self._incarnations.known, self._incarnations.shunned
                )

    async def _serve_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._client_count >= MAX_CLIENTS:
            raise WireError(f"there are {MAX_CLIENTS} clients")
        self._client_count += 1
        try:
            while True:
                try:
                    body = await wire.read_frame(reader, MAX_CLIENT_FRAME_BYTES, CLIENT_IDLE_S)
                except TimeoutError:
                    if any(client is writer for client, _, _ in self._pending_requests.values()):
                        continue  # it waits for an answer
                    return
                if not body:
                    return
                self._handle_client_message(writer, wire.decode_body(wire.client_message_decoder, body))
                await writer.drain()
        finally:
            self._client_count -= 1
            cancelled = [tag for tag, (client, _, _) in self._pending_requests.items() if client is writer]
            for tag in cancelled:
                del self._pending_requests[tag]
            self._member.cancel(cancelled)

    def _handle_client_message(self, writer: asyncio.StreamWriter, message: wire.ClientMessage) -> None:
        match message:
            case wire.Ask():
                tag = self._register_request(writer, message.number, type(message.request).__name__)
                if not self._request_batch:
                    asyncio.get_running_loop().call_soon(self._submit_batch)
                self._request_batch.append((tag, message.request))
            case wire.Status():
                writer.write(encode_frame(self.health(message.number)))
            case wire.Leases():
                writer.write(encode_frame(self._list_leases(message.number)))
            case wire.Copy():
                LOG.info("an operator takes a snapshot")
                self._carry_out(self._member.compact())
                writer.write(encode_frame(wire.Copied(message.number, self._member.raft.log.snapshot)))
            case wire.StepDown():
                LOG.info("an operator wants another leader")
                leads = self._member.raft.role is Role.LEADER
                self._carry_out(self._member.step_down(now_us()))
                answer = Done() if leads else Elsewhere(self._member.raft.leader)
                writer.write(encode_frame(wire.Told(message.number, answer)))
            case wire.Change():
                self._change_members(writer, message)

    def _submit_batch(self) -> None:
        """Handle all requests received in one iteration of the event loop as one step of the member."""
        requests, self._request_batch = self._request_batch, []
        self._carry_out(self._member.request_all(now_us(), requests))

    def _register_request(self, writer: asyncio.StreamWriter, number: int, kind: str) -> int:
        """Return a new tag that leads a request's answer back to its client."""
        self._last_tag += 1
        self._pending_requests[self._last_tag] = (writer, number, kind)
        return self._last_tag

    def _change_members(self, writer: asyncio.StreamWriter, change: wire.Change) -> None:
        raft = self._member.raft
        names = {*raft.members, change.add} - {change.remove, ""}
        why = ""
        if raft.role is not Role.LEADER:
            writer.write(encode_frame(wire.Told(change.number, Elsewhere(raft.leader))))
            return
        if change.add and change.add not in self._config.members:
            why = f"{change.add!r} has no address in the members' table of {self._config.name}"
        elif change.add in raft.members or (change.remove and change.remove not in raft.members):
            why = f"the members are {', '.join(raft.members)}"
        elif not names:
            why = "one member has to stay"
        elif not raft.can_change_members:
            why = "another change is under way, or the leader is new: ask again"
        if why:
            writer.write(encode_frame(wire.Told(change.number, Refused(why))))
            return
        LOG.info("an operator changes the members", members=sorted(names))
        tag = self._register_request(writer, change.number, "Change")
        self._carry_out(self._member.change_members(now_us(), tag, tuple(sorted(names))))

    # Operators

    def health(self, number: int) -> wire.Health:
        """Return this member's status; ``number`` is the number of the request that asked for it."""
        member, raft = self._member, self._member.raft
        followers = raft.leader_state.followers if raft.leader_state is not None else {}
        full = {name for name, follower in followers.items() if follower.disk_full}
        state = member.machine.state
        return wire.Health(
            number=number, name=self._config.name, role=raft.role.value, term=raft.term, leader=raft.leader,
            commit=raft.commit, applied=member.applied, members=raft.members,
            lag={
                name: raft.log.last_index - follower.match_index for name, follower in followers.items()
            },
            leases=len(state.leases), sessions=len(state.sessions), records=len(state.records),
            waiting=len(member.waiting) + len(member.watching), log_entries=len(raft.log),
            log_bytes=self._store.size_bytes, disk=self._disk_error,
            full=tuple(sorted(full | ({self._config.name} if raft.disk_full else set()))),
            turned={name: peer.rejection for name, (peer, _) in self._peers.items() if peer.rejection},
        )  # fmt: skip

    def _ready_page(self) -> Page:
        health = self.health(0)
        text = f"{health.role} of term {health.term}, leader {health.leader or 'unknown'}\n"
        return Page(200 if health.ready else 503, text.encode())

    def _list_leases(self, number: int) -> wire.Listed:
        member = self._member
        leads = member.raft.role is Role.LEADER
        lines = tuple(
            wire.LeaseStatus(
                name,
                lease.owner,
                lease.token,
                lease.ttl_ms,
                member.remaining_ms(name),
                member.waiting.count(name),
            )
            for name, lease in sorted(member.machine.state.leases.items())
        )
        return wire.Listed(number, leads, lines)
