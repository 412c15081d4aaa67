"""The shell of a member: sockets, the disk and the clock around ``Member``. It decides nothing.

Writes go to the disk in a thread of their own, several together where they pile up; what rests on one leaves
the core only once it is durable. Where the disk refuses, nothing is acknowledged until it takes writes again.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import structlog

from mallowquorum import wire
from mallowquorum.config import Address, Config
from mallowquorum.member import Member, Out, Reply
from mallowquorum.messages import Message, Persist, Send
from mallowquorum.raft import Timing
from mallowquorum.store import Store
from mallowquorum.wire import FRAME_S, HELLO_S, MOST_ASKED, MOST_FRAME, VERSION, Hello, WireError, frame

LOG = structlog.get_logger("mallowquorum")
MOST_QUEUED = 512  # messages to a member that does not take them; the oldest goes, as any may be lost
MOST_CLIENTS = 1024
AGAIN_S = (0.05, 1.0)  # s before a connection to a member is tried again: at first, and at most
DISK_AGAIN_S = 0.5  # s before a write that the disk refused is tried again
STILL_S = 30.0  # s without a frame after which a client's connection is closed


def now_us() -> int:
    """The monotonic clock."""
    return time.monotonic_ns() // 1000


class Peer:
    """The way to another member: a connection that is made again whenever it ends, and a bounded queue."""

    def __init__(self, own: str, name: str, address: Address, random: Random) -> None:
        self._own, self.name, self._address, self._random = own, name, address, random
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(MOST_QUEUED)

    def send(self, message: Message) -> None:
        """Put a message on its way."""
        if self._queue.full():
            self._queue.get_nowait()
        self._queue.put_nowait(frame(message))

    async def run(self) -> None:
        """Connect, send, and again."""
        pause_s = AGAIN_S[0]
        while True:
            try:
                async with asyncio.timeout(AGAIN_S[1]):
                    reader, writer = await asyncio.open_connection(*self._address)
            except (OSError, TimeoutError):
                await asyncio.sleep(pause_s * self._random.uniform(0.5, 1.5))
                pause_s = min(2 * pause_s, AGAIN_S[1])
                continue
            pause_s = AGAIN_S[0]
            try:
                await self._send_all(reader, writer)
            except (OSError, TimeoutError):
                pass
            finally:
                writer.transport.abort()

    async def _send_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ended = asyncio.ensure_future(reader.read(1))  # a member says nothing here: this is its end
        try:
            writer.write(frame(Hello(VERSION, self._own)))
            while not ended.done():
                item = asyncio.ensure_future(self._queue.get())
                await asyncio.wait({item, ended}, return_when=asyncio.FIRST_COMPLETED)
                if not item.done():
                    item.cancel()
                    return
                writer.write(item.result())
                async with asyncio.timeout(FRAME_S):
                    await writer.drain()
        finally:
            ended.cancel()
            with suppress(asyncio.CancelledError, OSError):
                await ended


class Server:
    """One member in service."""

    def __init__(self, config: Config) -> None:
        """``StoreError`` where the folder cannot be used."""
        self._config, self._random = config, Random()
        self._store = Store(Path(config.folder))
        times = config.times
        timing = Timing(
            times.least_election_ms * 1000, times.most_election_ms * 1000, times.heartbeat_ms * 1000
        )
        self._member = Member(
            config.name, tuple(sorted(config.members)), saved=self._store.saved, timing=timing,
            draw=self._random.randint, now_us=now_us(),
        )  # fmt: skip
        self._peers = {
            name: Peer(config.name, name, address, self._random) for name, address in config.others.items()
        }
        self._writes: asyncio.Queue[Persist] = asyncio.Queue()
        self._timer: asyncio.TimerHandle | None = None
        self._due_us = 0
        self._asked: dict[int, tuple[asyncio.StreamWriter, int]] = {}  # by tag: who asked, and its number
        self._tag = 0
        self._clients = 0
        self._disk = ""
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._was = ("", 0)

    async def start(self) -> None:
        """Listen, reach for the others, and take part."""
        self._server = await asyncio.start_server(self._connected, *self._config.listen_address, backlog=256)
        for peer in self._peers.values():
            self._spawn(peer.run())
        self._spawn(self._write())
        self._arm()
        raft = self._member.raft
        LOG.info("member is up", name=self._config.name, term=raft.term, entries=raft.log.last)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """End; what is durable stands, and nothing else was promised."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._timer is not None:
            self._timer.cancel()
        self._store.close()

    # Steps

    def _did(self, out: list[Out]) -> None:
        """Carry out what a step of the member has decided."""
        for item in out:
            match item:
                case Send():
                    if item.to in self._peers:
                        self._peers[item.to].send(item.message)
                case Persist():
                    self._writes.put_nowait(item)
                case Reply():
                    writer, number = self._asked.pop(item.tag, (None, 0))
                    if writer is not None and not writer.is_closing():
                        writer.write(frame(wire.Told(number, item.response)))
        raft = self._member.raft
        if (raft.leader, raft.term) != self._was:
            self._was = (raft.leader, raft.term)
            LOG.info("leader", leader=raft.leader or "unknown", term=raft.term, role=raft.role.value)
        self._arm()

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

    async def _write(self) -> None:
        """Write what piles up; a disk that refuses is asked again, and nothing is promised meanwhile."""
        while True:
            some = [await self._writes.get()]
            while not self._writes.empty():
                some.append(self._writes.get_nowait())
            while True:
                try:
                    await asyncio.to_thread(self._store.write, some)
                    break
                except OSError as error:
                    if not self._disk:
                        LOG.error("the disk refuses", why=error.strerror)
                    self._disk = error.strerror or "refused"
                    await asyncio.sleep(DISK_AGAIN_S)
            if self._disk:
                LOG.info("the disk takes writes again")
                self._disk = ""
            self._did(self._member.synced(now_us(), some[-1].number))

    # Connections

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = writer.get_extra_info("peername")
        try:
            body = await wire.read_frame(reader, MOST_ASKED, HELLO_S)
            if not body:
                return
            hello = wire.decoded(wire.hello_decoder, body)
            if hello.version != VERSION:
                raise WireError(f"version {hello.version}, not {VERSION}")
            if hello.member:
                await self._serve_member(reader, hello.member)
            else:
                await self._serve_client(reader, writer)
        except WireError as error:
            LOG.warning("a connection was ended", peer=peer, why=str(error))
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _serve_member(self, reader: asyncio.StreamReader, name: str) -> None:
        if name not in self._peers:
            raise WireError(f"{name!r} is no member here")
        while body := await wire.read_frame(reader, MOST_FRAME):
            message = wire.decoded(wire.message_decoder, body)
            self._did(self._member.receive(now_us(), name, message))

    async def _serve_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._clients >= MOST_CLIENTS:
            raise WireError(f"there are {MOST_CLIENTS} clients")
        self._clients += 1
        try:
            while body := await wire.read_frame(reader, MOST_ASKED, STILL_S):
                try:
                    ask = wire.ask_decoder.decode(body)
                except msgspec.DecodeError:
                    status = wire.decoded(wire.status_decoder, body)
                    writer.write(frame(self._health(status.number)))
                    continue
                self._tag += 1
                self._asked[self._tag] = (writer, ask.number)
                self._did(self._member.request(now_us(), self._tag, ask.request))
                await writer.drain()
        finally:
            self._clients -= 1
            for tag in [tag for tag, (asker, _) in self._asked.items() if asker is writer]:
                del self._asked[tag]

    def _health(self, number: int) -> wire.Health:
        raft = self._member.raft
        followers = raft.leading.followers if raft.leading is not None else {}
        return wire.Health(
            number, self._config.name, raft.role.value, raft.term, raft.leader, raft.commit, raft.members,
            len(self._member.machine.state.leases),
            {name: raft.log.last - some.match for name, some in followers.items()}, self._disk,
        )  # fmt: skip
