"""The platform: the list of endpoints with its watches, and the notices that end messages.

Each relay has an agent of its own, at an address of its own, as the deployment's page says; all of them
tell the same list, each with the addresses under which its relay reaches the endpoints.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from standins import http
from standins.partner import Clock
from standins.records import Changed, Noticed, Sink, Told

HEARTBEAT_S = 1.5  # s between empty lines on a watch; the page promises one every 2 s
ENCODE_JSON = msgspec.json.Encoder().encode


class Notice(msgspec.Struct):
    """A line of ``POST /v1/notices``."""

    ref: str
    result: str
    wait_ms: int = 0


DECODE_NOTICE = msgspec.json.Decoder(Notice).decode


@dataclass(slots=True)
class EndpointEntry:
    """An endpoint on the list."""

    host: str
    site: str
    kind: str
    block: int
    health: str = "SERVING"
    born_ms: int = 0

    def as_listed(self, dial: str) -> dict[str, object]:
        """As a line of the list gives it."""
        return {
            "host": self.host, "dial": dial, "site": self.site, "class": self.kind, "block": self.block,
            "health": self.health, "share": 1.0, "born_ms": self.born_ms,
        }  # fmt: skip


@dataclass(slots=True)
class PlatformState:
    """The list, and what is wrong with telling it."""

    entries: dict[str, EndpointEntry] = field(default_factory=dict)
    seq: int = 1
    active_outages: int = 0  # faults that silence it
    active_rejections: int = 0  # faults that turn callers away
    publish_delay_s: float = 0.0  # how late changes are told


DialAddress = Callable[[str, str], str]  # relay, host: the address to call


class Platform:
    """All agents together."""

    def __init__(
        self, sink: Sink, clock: Clock, dial: DialAddress, reaches: Callable[[str], float | None]
    ) -> None:
        """``reaches`` gives how late bytes come to a relay in seconds; None: they do not."""
        self._sink, self._clock, self.dial_address, self.delay_to_relay_s = sink, clock, dial, reaches
        self.state = PlatformState()
        self.agents: dict[str, Agent] = {}
        self._timers: set[asyncio.TimerHandle] = set()

    async def start_agent(self, relay: str, address: str) -> Agent:
        """The agent of a relay, listening."""
        agent = self.agents[relay] = Agent(self, relay, address, self._sink, self._clock)
        await agent.start()
        return agent

    def add_entry(self, entry: EndpointEntry) -> None:
        """An entry that is on the list from the start."""
        self.state.entries[entry.host] = entry

    def change_health(self, host: str, health: str) -> None:
        """An entry changes: noted now, told as late as the platform is."""
        self.state.entries[host].health = health
        if self.state.publish_delay_s <= 0:
            self._publish_change(host, health)
            return
        loop = asyncio.get_running_loop()
        self._timers.add(loop.call_later(self.state.publish_delay_s, self._publish_change, host, health))

    def _publish_change(self, host: str, health: str) -> None:
        self.state.seq += 1
        self._sink(Changed(self._clock.now(), self.state.seq, {host: health}))
        for agent in self.agents.values():
            agent.send_update([self.state.entries[host]], whole=False)

    def begin_outage(self) -> None:
        """Discovery goes down: watches fall silent, and nothing more is answered there."""
        self.state.active_outages += 1

    def end_outage(self) -> None:
        """Discovery is back: silent watches end."""
        self.state.active_outages -= 1
        for agent in self.agents.values():
            agent.reset_watches()

    def silence_watches(self) -> None:
        """Nothing comes on the watches that are open, for good and with no sign; new ones are served."""
        for agent in self.agents.values():
            agent.silence_watches()

    def stop(self) -> None:
        """End everything."""
        for timer in self._timers:
            timer.cancel()
        for agent in self.agents.values():
            agent.stop()


class Agent:
    """What one relay knows as discovery and platform."""

    def __init__(self, platform: Platform, relay: str, address: str, sink: Sink, clock: Clock) -> None:
        self._platform, self.relay, self._sink, self._clock = platform, relay, sink, clock
        self.listener = http.Listener(address, self._serve_connection)
        self._watches: set[asyncio.StreamWriter] = set()
        self._heartbeat_task: asyncio.Task[None] | None = None
        self.last_sent_list = b""  # the whole list as its relay had it last, in discovery's form

    async def start(self) -> None:
        """Listen, and keep watches from falling silent."""
        await self.listener.start()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self._platform.state.active_outages:
                for writer in self._watches:
                    write_chunk(writer, b"\n")

    def stop(self) -> None:
        """End it."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        self.listener.stop()

    def reset_watches(self) -> None:
        """Break every watch."""
        for writer in list(self._watches):
            http.reset_connection(writer.transport)
        self._watches.clear()

    def silence_watches(self) -> None:
        """Write nothing more on the open watches."""
        self._watches.clear()

    def encode_update(self, entries: list[EndpointEntry], whole: bool) -> bytes:
        """A line of the list in discovery's form."""
        hosts = [entry.as_listed(self._platform.dial_address(self.relay, entry.host)) for entry in entries]
        return ENCODE_JSON({"seq": self._platform.state.seq, "whole": whole, "hosts": hosts})

    def send_update(self, entries: list[EndpointEntry], whole: bool) -> None:
        """News to this relay's watches; it counts as told only where it can come."""
        if self._platform.state.active_outages or not self._watches:
            return
        line = self.encode_update(entries, whole) + b"\n"
        for writer in self._watches:
            write_chunk(writer, line)
        self._record_told(entries, whole)

    def _record_told(self, entries: list[EndpointEntry], whole: bool) -> None:
        late_s = self._platform.delay_to_relay_s(self.relay)
        if late_s is not None:
            self.last_sent_list = self.encode_update(self._listed_entries, whole=True)
            hosts = {entry.host: entry.health for entry in entries}
            now_s = self._clock.now()
            self._sink(Told(now_s + late_s, self.relay, self._platform.state.seq, hosts, whole))

    @property
    def _listed_entries(self) -> list[EndpointEntry]:
        return [entry for entry in self._platform.state.entries.values() if entry.health != "DELETED"]

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await http.read_request(reader)) is not None:
            if request.method == "POST":
                writer.write(http.encode_response(self._record_notices(request.body)))
            elif not request.target.startswith("/discovery/hosts"):
                writer.write(http.encode_response(404))
            elif self._platform.state.active_outages:
                await asyncio.get_running_loop().create_future()  # silent, until the connection ends
            elif self._platform.state.active_rejections:
                writer.write(http.encode_response(503))
            elif "watch=1" in request.target:
                await self._serve_watch(reader, writer)
                return
            else:
                self._record_told(self._listed_entries, whole=True)
                writer.write(http.encode_response(200, self.encode_update(self._listed_entries, whole=True)))

    async def _serve_watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        write_chunk(writer, self.encode_update(self._listed_entries, whole=True) + b"\n")
        self._record_told(self._listed_entries, whole=True)
        self._watches.add(writer)
        try:
            await reader.read()  # until the relay ends it
        finally:
            self._watches.discard(writer)

    def _record_notices(self, body: bytes) -> int:
        """The status for a post of notices; each that can be read counts."""
        try:
            notices = [DECODE_NOTICE(line) for line in body.splitlines()]
        except msgspec.DecodeError:
            return 400
        for notice in notices:
            self._sink(Noticed(self._clock.now(), self.relay, notice.ref, notice.result, notice.wait_ms))
        return 204


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    """One chunk of an answer that goes on."""
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))
