"""The shell of a member: sockets, the disk and the clock around ``Member``. It decides nothing.

Writes go to the disk in a thread of their own, several together where they pile up; what rests on one leaves
the core only once it is durable. Where the disk refuses, nothing is acknowledged until it takes writes again.
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

from operatorpages import JSON, METRICS, Page, Pages
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
from tomlconfig import Address, address_of

LOG = structlog.get_logger("quorum")
MAX_QUEUED_MESSAGES = 512  # messages to a member that does not take them; the oldest goes, as any may be lost
MAX_CLIENTS = 2048
ACCEPT_BACKLOG = 1024  # connections that wait to be accepted: a whole fleet may come at once
RECONNECT_PAUSES_S = (0.05, 1.0)  # s before a connection to a member is tried again: at first, and at most
DISK_RETRY_US = 500_000  # before a write that the disk refused is tried again
CLIENT_IDLE_S = 30.0  # s without a frame after which a client's connection is closed


class PeerLink:
    """The way to another member: a connection that is made again whenever it ends, and a bounded queue."""

    def __init__(self, name: str, address: Address, hello: Hello, random: Random) -> None:
        self._hello, self.name, self.address, self._random = hello, name, address, random
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self.rejection = ""  # why it does not listen to this one

    def send(self, message: Message) -> None:
        """Put a message on its way."""
        if self._queue.full():
            self._queue.get_nowait()
        self._queue.put_nowait(encode_frame(message))

    async def run(self) -> None:
        """Connect, send, and again; the pauses grow unless a connection has lasted."""
        pause_s = RECONNECT_PAUSES_S[0]
        while True:
            begun_us = now_us()
            try:
                async with asyncio.timeout(RECONNECT_PAUSES_S[1]):
                    reader, writer = await asyncio.open_connection(*self.address)
            except (OSError, TimeoutError):
                pass
            else:
                begun_us = now_us()
                while not self._queue.empty():  # of before: any message may be lost, and these are old
                    self._queue.get_nowait()
                try:
                    await self._send_all(reader, writer)
                except (OSError, TimeoutError, WireError):
                    pass
                finally:
                    writer.transport.abort()
            if now_us() - begun_us > RECONNECT_PAUSES_S[1] * 1e6:
                pause_s = RECONNECT_PAUSES_S[0]
            await asyncio.sleep(
                RECONNECT_PAUSES_S[1] if self.rejection else pause_s * self._random.uniform(0.5, 1.5)
            )
            pause_s = min(2 * pause_s, RECONNECT_PAUSES_S[1])

    async def _send_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ended = asyncio.ensure_future(
            wire.read_frame(reader, MAX_CLIENT_FRAME_BYTES)
        )  # its end, and perhaps why
        heard = asyncio.get_running_loop().call_later(RECONNECT_PAUSES_S[1], self._clear_rejection)
        try:
            writer.write(encode_frame(self._hello))
            while not ended.done():
                item = asyncio.ensure_future(self._queue.get())
                await asyncio.wait({item, ended}, return_when=asyncio.FIRST_COMPLETED)
                if ended.done():
                    item.cancel()
                    break
                writer.write(item.result())
                async with asyncio.timeout(FRAME_TIMEOUT_S):
                    await writer.drain()
            body = await ended
            why = wire.decode_body(wire.turned_decoder, body).why if body else ""
            if why and why != self.rejection:
                LOG.error("a member does not listen to this one", member=self.name, why=why)
            self.rejection = why
        finally:
            heard.cancel()
            ended.cancel()
            with suppress(asyncio.CancelledError, OSError, WireError):
                await ended

    def _clear_rejection(self) -> None:
        self.rejection = ""


class Server:
    """One member in service."""

    def __init__(self, config: Config) -> None:
        """``StoreError`` where the folder cannot be used."""
        self._config, self._random = config, Random()
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
        self._member_connections: dict[
            str, tuple[asyncio.StreamWriter, str]
        ] = {}  # members' connections and folders
        self._writes: list[Persist] = []
        self._write_needed = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._due_us = 0
        self._pending_requests: dict[
            int, tuple[asyncio.StreamWriter, int, str]
        ] = {}  # by tag: who, its number, what
        self._last_tag = 0
        self._request_batch: list[tuple[int, Request]] = []  # that came in this turn of the loop
        self._connections: set[asyncio.StreamWriter] = set()
        self._client_count = 0
        self._disk_error = ""
        self._reserve_retry_us = 0  # when the reserve is made again at the earliest
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._last_leader_and_term = ("", 0)
        self._metrics = ServerMetrics(lambda: self.health(0))
        self._pages = Pages(
            {
                "/health": lambda: Page(200, b"up\n"),
                "/ready": self._ready_page,
                "/status": lambda: Page(200, msgspec.json.encode(self.health(0)) + b"\n", JSON),
                "/leases": lambda: Page(200, msgspec.json.encode(self._list_leases(0)) + b"\n", JSON),
                "/metrics": lambda: Page(200, self._metrics.page(), METRICS),
            }
        )

    async def start(self) -> None:
        """Listen, reach for the others, and take part; ``OSError`` where an address cannot be had."""
        self._server = await asyncio.start_server(
            self._handle_connection, *self._config.listen_address, backlog=ACCEPT_BACKLOG
        )
        if self._config.operators:
            await self._pages.start(*address_of(self._config.operators))
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
        """Ways to all others as the configuration has them; those that stand stay."""
        for name, (peer, task) in list(self._peers.items()):
            if config.others.get(name) != peer.address:
                task.cancel()
                del self._peers[name]
        for name, address in config.others.items():
            if name not in self._peers:
                peer = PeerLink(name, address, self._hello, self._random)
                self._peers[name] = (peer, self._spawn(peer.run()))

    def reload(self, config: Config) -> None:
        """Another table of addresses; whatever else differs counts at the next start."""
        self._config = msgspec.structs.replace(self._config, members=config.members)
        self._update_peers(self._config)
        LOG.info("members' addresses were read again", members=sorted(config.members))

    async def stop(self) -> None:
        """End; what is durable stands, and nothing else was promised."""
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

    def _carry_out(self, out: list[Output]) -> None:
        """Carry out what a step of the member has decided."""
        for item in out:
            match item:
                case Send():
                    if item.to in self._peers:
                        self._peers[item.to][0].send(item.message)
                case Persist():
                    if item.snapshot is not None:
                        self._writes.clear()  # it holds whatever was to be written before
                    self._writes.append(item)
                    self._write_needed.set()
                case Reply():
                    self._reply(item)
                case MembersChanged():
                    if self._incarnations.retain_members(item.names):
                        self._spawn(self._save_incarnations())
                case FoldersShunned():
                    if news := [folder for folder in item.folders if self._incarnations.shun(folder)]:
                        self._disconnect_shunned(news)
        raft = self._member.raft
        if (raft.leader, raft.term) != self._last_leader_and_term:
            self._last_leader_and_term = (raft.leader, raft.term)
            self._metrics.leader_changes.inc()
            LOG.info("leader", leader=raft.leader or "unknown", term=raft.term, role=raft.role.value)
        self._arm_timer()

    def _reply(self, item: Reply) -> None:
        writer, number, asked = self._pending_requests.pop(item.tag, (None, 0, ""))
        if writer is None:
            return
        self._metrics.requests.labels(asked, type(item.response).__name__).inc()
        if not writer.is_closing():
            writer.write(encode_frame(wire.Told(number, item.response)))

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
        """Write what piles up; a disk that refuses is asked again, and nothing is promised meanwhile."""
        while True:
            await self._write_needed.wait()
            some = list(self._writes)
            try:
                with self._metrics.sync_seconds.time():
                    await asyncio.to_thread(self._store.write, some)
            except OSError as error:
                await self._handle_disk_error(error)
                continue
            number = some[-1].number
            self._writes = [item for item in self._writes if item.number > number]
            if not self._writes:
                self._write_needed.clear()
            self._try_restore_reserve()
            self._carry_out(self._member.synced(now_us(), number))

    async def _handle_disk_error(self, error: OSError) -> None:
        """The disk refuses: first the reserve goes, then the log is made as small as it can be."""
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
        """Whether the disk, which takes writes, also has room for the reserve again."""
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
        """Why a member is not listened to; a life that is, is durable before."""
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
            return self._incarnations.rejection_reason(
                name, life, hello.claim
            )  # it may have been shunned meanwhile

    def _disconnect_shunned(self, folders: list[str]) -> None:
        """Folders that are not heard from now on."""
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
        """Make durable who is heard; one that was taken out may come back with another folder."""
        async with self._incarnations_lock:
            with suppress(OSError):  # it stands in the log too
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
                    if any(asker is writer for asker, _, _ in self._pending_requests.values()):
                        continue  # it waits for an answer
                    return
                if not body:
                    return
                self._handle_client_message(writer, wire.decode_body(wire.client_message_decoder, body))
                await writer.drain()
        finally:
            self._client_count -= 1
            gone = [tag for tag, (asker, _, _) in self._pending_requests.items() if asker is writer]
            for tag in gone:
                del self._pending_requests[tag]
            self._member.cancel(gone)

    def _handle_client_message(self, writer: asyncio.StreamWriter, asked: wire.ClientMessage) -> None:
        match asked:
            case wire.Ask():
                tag = self._register_request(writer, asked.number, type(asked.request).__name__)
                if not self._request_batch:
                    asyncio.get_running_loop().call_soon(self._submit_batch)
                self._request_batch.append((tag, asked.request))
            case wire.Status():
                writer.write(encode_frame(self.health(asked.number)))
            case wire.Leases():
                writer.write(encode_frame(self._list_leases(asked.number)))
            case wire.Copy():
                LOG.info("an operator takes a snapshot")
                self._carry_out(self._member.compact())
                writer.write(encode_frame(wire.Copied(asked.number, self._member.raft.log.snapshot)))
            case wire.StepDown():
                LOG.info("an operator wants another leader")
                leads = self._member.raft.role is Role.LEADER
                self._carry_out(self._member.step_down(now_us()))
                answer = Done() if leads else Elsewhere(self._member.raft.leader)
                writer.write(encode_frame(wire.Told(asked.number, answer)))
            case wire.Change():
                self._change_members(writer, asked)

    def _submit_batch(self) -> None:
        """Requests that came in one turn of the loop are one step."""
        some, self._request_batch = self._request_batch, []
        self._carry_out(self._member.request_all(now_us(), some))

    def _register_request(self, writer: asyncio.StreamWriter, number: int, asked: str) -> int:
        """A tag by which an answer comes back to who asked."""
        self._last_tag += 1
        self._pending_requests[self._last_tag] = (writer, number, asked)
        return self._last_tag

    def _change_members(self, writer: asyncio.StreamWriter, asked: wire.Change) -> None:
        raft = self._member.raft
        names = {*raft.members, asked.add} - {asked.remove, ""}
        why = ""
        if raft.role is not Role.LEADER:
            writer.write(encode_frame(wire.Told(asked.number, Elsewhere(raft.leader))))
            return
        if asked.add and asked.add not in self._config.members:
            why = f"{asked.add!r} has no address in the members' table of {self._config.name}"
        elif asked.add in raft.members or (asked.remove and asked.remove not in raft.members):
            why = f"the members are {', '.join(raft.members)}"
        elif not names:
            why = "one member has to stay"
        elif not raft.can_change_members:
            why = "another change is under way, or the leader is new: ask again"
        if why:
            writer.write(encode_frame(wire.Told(asked.number, Refused(why))))
            return
        LOG.info("an operator changes the members", members=sorted(names))
        tag = self._register_request(writer, asked.number, "Change")
        self._carry_out(self._member.change_members(now_us(), tag, tuple(sorted(names))))

    # Operators

    def health(self, number: int) -> wire.Health:
        """How this member is."""
        member, raft = self._member, self._member.raft
        followers = raft.leader_state.followers if raft.leader_state is not None else {}
        full = {name for name, some in followers.items() if some.disk_full}
        state = member.machine.state
        return wire.Health(
            number=number, name=self._config.name, role=raft.role.value, term=raft.term, leader=raft.leader,
            commit=raft.commit, applied=member.applied, members=raft.members,
            lag={name: raft.log.last_index - some.match_index for name, some in followers.items()},
            leases=len(state.leases), sessions=len(state.sessions), records=len(state.records),
            waiting=len(member.waiting) + len(member.watching), log_entries=len(raft.log),
            log_bytes=self._store.size_bytes, disk=self._disk_error,
            full=tuple(sorted(full | ({self._config.name} if raft.disk_full else set()))),
            turned={name: peer.rejection for name, (peer, _) in self._peers.items() if peer.rejection},
        )  # fmt: skip

    def _ready_page(self) -> Page:
        health = self.health(0)
        word = f"{health.role} of term {health.term}, leader {health.leader or 'unknown'}\n"
        return Page(200 if health.ready else 503, word.encode())

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
