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
from quorum.member import Elsewhere, FoldersShunned, Member, Output, Reply, Request, Together
from quorum.messages import Message, Persist, Send
from quorum.metrics import Figures
from quorum.monotonic_clock import now_us
from quorum.raft import Role, Timing
from quorum.state_machine import Done, Refused
from quorum.store import FULL, Store
from quorum.wire import (
    FRAME_S,
    HELLO_S,
    MOST_ASKED,
    MOST_FRAME,
    VERSION,
    Hello,
    Turned,
    WireError,
    encode_frame,
)
from tomlconfig import Address, address_of

LOG = structlog.get_logger("quorum")
MOST_QUEUED = 512  # messages to a member that does not take them; the oldest goes, as any may be lost
MOST_CLIENTS = 2048
BACKLOG = 1024  # connections that wait to be accepted: a whole fleet may come at once
AGAIN_S = (0.05, 1.0)  # s before a connection to a member is tried again: at first, and at most
DISK_AGAIN_US = 500_000  # before a write that the disk refused is tried again
STILL_S = 30.0  # s without a frame after which a client's connection is closed


class Peer:
    """The way to another member: a connection that is made again whenever it ends, and a bounded queue."""

    def __init__(self, name: str, address: Address, hello: Hello, random: Random) -> None:
        self._hello, self.name, self.address, self._random = hello, name, address, random
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(MOST_QUEUED)
        self.turned = ""  # why it does not listen to this one

    def send(self, message: Message) -> None:
        """Put a message on its way."""
        if self._queue.full():
            self._queue.get_nowait()
        self._queue.put_nowait(encode_frame(message))

    async def run(self) -> None:
        """Connect, send, and again; the pauses grow unless a connection has lasted."""
        pause_s = AGAIN_S[0]
        while True:
            begun_us = now_us()
            try:
                async with asyncio.timeout(AGAIN_S[1]):
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
            if now_us() - begun_us > AGAIN_S[1] * 1e6:
                pause_s = AGAIN_S[0]
            await asyncio.sleep(AGAIN_S[1] if self.turned else pause_s * self._random.uniform(0.5, 1.5))
            pause_s = min(2 * pause_s, AGAIN_S[1])

    async def _send_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ended = asyncio.ensure_future(wire.read_frame(reader, MOST_ASKED))  # its end, and perhaps why
        heard = asyncio.get_running_loop().call_later(AGAIN_S[1], self._listened)
        try:
            writer.write(encode_frame(self._hello))
            while not ended.done():
                item = asyncio.ensure_future(self._queue.get())
                await asyncio.wait({item, ended}, return_when=asyncio.FIRST_COMPLETED)
                if ended.done():
                    item.cancel()
                    break
                writer.write(item.result())
                async with asyncio.timeout(FRAME_S):
                    await writer.drain()
            body = await ended
            why = wire.decode_body(wire.turned_decoder, body).why if body else ""
            if why and why != self.turned:
                LOG.error("a member does not listen to this one", member=self.name, why=why)
            self.turned = why
        finally:
            heard.cancel()
            ended.cancel()
            with suppress(asyncio.CancelledError, OSError, WireError):
                await ended

    def _listened(self) -> None:
        self.turned = ""


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
            config.name, config.first_members, saved=self._store.saved, timing=timing,
            draw=self._random.randint, now_us=now_us(),
        )  # fmt: skip
        raft = self._member.raft
        claim = StartupClaim(raft.term, raft.vote, raft.log.last_index)
        self._hello = Hello(VERSION, config.name, self._store.life, claim)
        self._lives = IncarnationRegistry(config.name, self._store.lives, self._store.shunned)
        self._knowing = asyncio.Lock()
        self._peers: dict[str, tuple[Peer, asyncio.Task[None]]] = {}
        self._heard: dict[str, tuple[asyncio.StreamWriter, str]] = {}  # members' connections and folders
        self._writes: list[Persist] = []
        self._to_write = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._due_us = 0
        self._asked: dict[int, tuple[asyncio.StreamWriter, int, str]] = {}  # by tag: who, its number, what
        self._tag = 0
        self._together: list[tuple[int, Request]] = []  # that came in this turn of the loop
        self._open: set[asyncio.StreamWriter] = set()
        self._clients = 0
        self._disk = ""
        self._reserve_us = 0  # when the reserve is made again at the earliest
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._was = ("", 0)
        self._figures = Figures(lambda: self.health(0))
        self._pages = Pages(
            {
                "/health": lambda: Page(200, b"up\n"),
                "/ready": self._ready_page,
                "/status": lambda: Page(200, msgspec.json.encode(self.health(0)) + b"\n", JSON),
                "/leases": lambda: Page(200, msgspec.json.encode(self._leases(0)) + b"\n", JSON),
                "/metrics": lambda: Page(200, self._figures.page(), METRICS),
            }
        )

    async def start(self) -> None:
        """Listen, reach for the others, and take part; ``OSError`` where an address cannot be had."""
        self._server = await asyncio.start_server(
            self._connected, *self._config.listen_address, backlog=BACKLOG
        )
        if self._config.operators:
            await self._pages.start(*address_of(self._config.operators))
        self._meet(self._config)
        self._spawn(self._write())
        self._arm()
        raft = self._member.raft
        LOG.info("member is up", name=self._config.name, term=raft.term, entries=raft.log.last_index)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _meet(self, config: Config) -> None:
        """Ways to all others as the configuration has them; those that stand stay."""
        for name, (peer, task) in list(self._peers.items()):
            if config.others.get(name) != peer.address:
                task.cancel()
                del self._peers[name]
        for name, address in config.others.items():
            if name not in self._peers:
                peer = Peer(name, address, self._hello, self._random)
                self._peers[name] = (peer, self._spawn(peer.run()))

    def reload(self, config: Config) -> None:
        """Another table of addresses; whatever else differs counts at the next start."""
        self._config = msgspec.structs.replace(self._config, members=config.members)
        self._meet(self._config)
        LOG.info("members' addresses were read again", members=sorted(config.members))

    async def stop(self) -> None:
        """End; what is durable stands, and nothing else was promised."""
        if self._server is not None:
            self._server.close()
        self._pages.stop()
        for writer in list(self._open):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._timer is not None:
            self._timer.cancel()
        self._store.close()

    # Steps

    def _did(self, out: list[Output]) -> None:
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
                    self._to_write.set()
                case Reply():
                    self._reply(item)
                case Together():
                    if self._lives.keep(item.names):
                        self._spawn(self._know())
                case FoldersShunned():
                    if news := [folder for folder in item.folders if self._lives.shun(folder)]:
                        self._shun(news)
        raft = self._member.raft
        if (raft.leader, raft.term) != self._was:
            self._was = (raft.leader, raft.term)
            self._figures.leaders.inc()
            LOG.info("leader", leader=raft.leader or "unknown", term=raft.term, role=raft.role.value)
        self._arm()

    def _reply(self, item: Reply) -> None:
        writer, number, asked = self._asked.pop(item.tag, (None, 0, ""))
        if writer is None:
            return
        self._figures.requests.labels(asked, type(item.response).__name__).inc()
        if not writer.is_closing():
            writer.write(encode_frame(wire.Told(number, item.response)))

    def _arm(self) -> None:
        due_us = self._member.due_us
        if self._timer is not None and due_us == self._due_us:
            return
        if self._timer is not None:
            self._timer.cancel()
        loop, self._due_us = asyncio.get_running_loop(), due_us
        self._timer = loop.call_later(max(0, due_us - now_us()) / 1e6, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self._did(self._member.wake(now_us()))

    # Disk

    async def _write(self) -> None:
        """Write what piles up; a disk that refuses is asked again, and nothing is promised meanwhile."""
        while True:
            await self._to_write.wait()
            some = list(self._writes)
            try:
                with self._figures.synced.time():
                    await asyncio.to_thread(self._store.write, some)
            except OSError as error:
                await self._refused(error)
                continue
            number = some[-1].number
            self._writes = [item for item in self._writes if item.number > number]
            if not self._writes:
                self._to_write.clear()
            self._room()
            self._did(self._member.synced(now_us(), number))

    async def _refused(self, error: OSError) -> None:
        """The disk refuses: first the reserve goes, then the log is made as small as it can be."""
        first, self._disk = not self._disk, error.strerror or "refused"
        self._reserve_us = now_us() + DISK_AGAIN_US
        if first:
            LOG.error("the disk refuses", why=error.strerror)
            self._did(self._member.set_disk_full(now_us(), True))
        if error.errno in FULL and self._store.give_up_reserve():
            return
        self._did(self._member.compact())
        await asyncio.sleep(DISK_AGAIN_US / 1e6)

    def _room(self) -> None:
        """Whether the disk, which takes writes, also has room for the reserve again."""
        if not self._disk or now_us() < self._reserve_us:
            return
        self._reserve_us = now_us() + DISK_AGAIN_US
        if self._store.make_reserve():
            LOG.info("the disk takes writes again")
            self._disk = ""
            self._did(self._member.set_disk_full(now_us(), False))

    # Connections

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = writer.get_extra_info("peername")
        self._open.add(writer)
        try:
            body = await wire.read_frame(reader, MOST_ASKED, HELLO_S)
            if not body:
                return
            hello = wire.decode_body(wire.hello_decoder, body)
            if hello.version != VERSION:
                raise WireError(f"version {hello.version}, not {VERSION}")
            if hello.member:
                await self._serve_member(reader, writer, hello)
            else:
                await self._serve_client(reader, writer)
        except WireError as error:
            self._figures.refused.inc()
            LOG.warning("a connection was ended", peer=peer, why=str(error))
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _serve_member(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, hello: Hello
    ) -> None:
        name = hello.member
        why = await self._refusal(hello)
        if why:
            writer.write(encode_frame(Turned(why)))
            raise WireError(why)
        assert hello.life is not None
        if name in self._heard:
            self._heard[name][0].transport.abort()
        self._heard[name] = (writer, hello.life.folder)
        try:
            while body := await wire.read_frame(reader, MOST_FRAME):
                message = wire.decode_body(wire.message_decoder, body)
                if self._heard.get(name, (None, ""))[0] is not writer:
                    return
                self._lives.record_message(name, message)
                self._did(self._member.receive(now_us(), name, message))
        finally:
            if self._heard.get(name, (None, ""))[0] is writer:
                del self._heard[name]

    async def _refusal(self, hello: Hello) -> str:
        """Why a member is not listened to; a life that is, is durable before."""
        name, life = hello.member, hello.life
        if name == self._config.name or name not in self._peers or life is None:
            return f"{name!r} is no other member here"
        async with self._knowing:
            if why := self._lives.rejection_reason(name, life, hello.claim):
                if life.folder in self._lives.shunned:
                    self._did(self._member.shun(now_us(), life.folder))
                    self._spawn(self._know())
                return why
            if self._lives.accept(name, life):
                try:
                    await asyncio.to_thread(self._store.know, self._lives.known, self._lives.shunned)
                except OSError as error:
                    self._lives.unheard(name, self._store.lives)
                    return f"the disk refuses to note who was heard: {error.strerror}"
            return self._lives.rejection_reason(name, life, hello.claim)  # it may have been shunned meanwhile

    def _shun(self, folders: list[str]) -> None:
        """Folders that are not heard from now on."""
        LOG.error("a folder has forgotten promises and is not heard", folders=folders)
        for name, (writer, folder) in list(self._heard.items()):
            if folder in folders:
                writer.write(
                    encode_frame(Turned(f"{name} speaks from a copy of its folder, as another has found"))
                )
                writer.close()
                del self._heard[name]
        self._spawn(self._know())

    async def _know(self) -> None:
        """Make durable who is heard; one that was taken out may come back with another folder."""
        async with self._knowing:
            with suppress(OSError):  # it stands in the log too
                await asyncio.to_thread(self._store.know, self._lives.known, self._lives.shunned)

    async def _serve_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._clients >= MOST_CLIENTS:
            raise WireError(f"there are {MOST_CLIENTS} clients")
        self._clients += 1
        try:
            while True:
                try:
                    body = await wire.read_frame(reader, MOST_ASKED, STILL_S)
                except TimeoutError:
                    if any(asker is writer for asker, _, _ in self._asked.values()):
                        continue  # it waits for an answer
                    return
                if not body:
                    return
                self._serve(writer, wire.decode_body(wire.client_message_decoder, body))
                await writer.drain()
        finally:
            self._clients -= 1
            gone = [tag for tag, (asker, _, _) in self._asked.items() if asker is writer]
            for tag in gone:
                del self._asked[tag]
            self._member.gone(gone)

    def _serve(self, writer: asyncio.StreamWriter, asked: wire.Asked) -> None:
        match asked:
            case wire.Ask():
                tag = self._noted(writer, asked.number, type(asked.request).__name__)
                if not self._together:
                    asyncio.get_running_loop().call_soon(self._ask_all)
                self._together.append((tag, asked.request))
            case wire.Status():
                writer.write(encode_frame(self.health(asked.number)))
            case wire.Leases():
                writer.write(encode_frame(self._leases(asked.number)))
            case wire.Copy():
                LOG.info("an operator takes a snapshot")
                self._did(self._member.compact())
                writer.write(encode_frame(wire.Copied(asked.number, self._member.raft.log.snapshot)))
            case wire.StepDown():
                LOG.info("an operator wants another leader")
                leads = self._member.raft.role is Role.LEADER
                self._did(self._member.step_down(now_us()))
                answer = Done() if leads else Elsewhere(self._member.raft.leader)
                writer.write(encode_frame(wire.Told(asked.number, answer)))
            case wire.Change():
                self._change(writer, asked)

    def _ask_all(self) -> None:
        """Requests that came in one turn of the loop are one step."""
        some, self._together = self._together, []
        self._did(self._member.request_all(now_us(), some))

    def _noted(self, writer: asyncio.StreamWriter, number: int, asked: str) -> int:
        """A tag by which an answer comes back to who asked."""
        self._tag += 1
        self._asked[self._tag] = (writer, number, asked)
        return self._tag

    def _change(self, writer: asyncio.StreamWriter, asked: wire.Change) -> None:
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
        tag = self._noted(writer, asked.number, "Change")
        self._did(self._member.change_members(now_us(), tag, tuple(sorted(names))))

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
            lag={name: raft.log.last_index - some.match for name, some in followers.items()},
            leases=len(state.leases), sessions=len(state.sessions), records=len(state.records),
            waiting=len(member.waiting) + len(member.watching), log_entries=len(raft.log),
            log_bytes=self._store.size, disk=self._disk,
            full=tuple(sorted(full | ({self._config.name} if raft.disk_full else set()))),
            turned={name: peer.turned for name, (peer, _) in self._peers.items() if peer.turned},
        )  # fmt: skip

    def _ready_page(self) -> Page:
        health = self.health(0)
        word = f"{health.role} of term {health.term}, leader {health.leader or 'unknown'}\n"
        return Page(200 if health.ready else 503, word.encode())

    def _leases(self, number: int) -> wire.Listed:
        member = self._member
        leads = member.raft.role is Role.LEADER
        lines = tuple(
            wire.LeaseLine(
                name, lease.owner, lease.token, lease.ttl_ms, member.left_ms(name), member.waiting.count(name)
            )
            for name, lease in sorted(member.machine.state.leases.items())
        )
        return wire.Listed(number, leads, lines)
