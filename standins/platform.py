"""A stand-in for the platform: the list of endpoints, the watches on it, and the notices that end messages.

Each relay has its own agent at its own address, as the deployment's page describes. All agents serve the same
list, each with the addresses at which its relay reaches the endpoints.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from standins import http
from standins.partner import Clock
from standins.records import Changed, Noticed, Sink, Told

HEARTBEAT_S = 1.5  # between empty lines on a watch; the protocol's page promises one every 2 s
ENCODE_JSON = msgspec.json.Encoder().encode


class Notice(msgspec.Struct):
    """A line of the body of ``POST /v1/notices``."""

    ref: str
    result: str
    wait_ms: int = 0


DECODE_NOTICE = msgspec.json.Decoder(Notice).decode


@dataclass(slots=True)
class EndpointEntry:
    """An endpoint on the list."""

    host: str
    site: str  # its zone
    kind: str  # of its destination
    block: int  # number of its destination
    health: str = "SERVING"
    born_ms: int = 0

    def as_listed(self, dial: str) -> dict[str, object]:
        """The JSON object for it in a line of the list; ``dial`` is the address for the relay to call."""
        return {
            "host": self.host, "dial": dial, "site": self.site, "class": self.kind, "block": self.block,
            "health": self.health, "share": 1.0, "born_ms": self.born_ms,
        }  # fmt: skip


@dataclass(slots=True)
class PlatformState:
    """The list, and the faults of discovery that are active."""

    entries: dict[str, EndpointEntry] = field(default_factory=dict)
    seq: int = 1  # version of the list
    active_outages: int = 0  # number of faults for which discovery sends nothing
    active_rejections: int = 0  # number of faults for which requests for the list get 503
    publish_delay_s: float = 0.0  # from a change until agents send it


DialAddress = Callable[[str, str], str]  # for a relay and a host: the address for the relay to call


class Platform:
    """The list of endpoints and the agents of all relays."""

    def __init__(
        self,
        sink: Sink,
        clock: Clock,
        dial_address: DialAddress,
        delay_to_relay_s: Callable[[str], float | None],
    ) -> None:
        """``delay_to_relay_s`` gives the delay of bytes to a relay; None: they do not reach it."""
        self._sink = sink
        self._clock = clock
        self.dial_address = dial_address
        self.delay_to_relay_s = delay_to_relay_s
        self.state = PlatformState()
        self.agents: dict[str, Agent] = {}
        self._timers: set[asyncio.TimerHandle] = set()

    async def start_agent(self, relay: str, address: str) -> Agent:
        """Create the agent of a relay and let it listen."""
        agent = self.agents[relay] = Agent(self, relay, address, self._sink, self._clock)
        await agent.start()
        return agent

    def add_entry(self, entry: EndpointEntry) -> None:
        """Put an entry on the list before the run, without an update."""
        self.state.entries[entry.host] = entry

    def change_health(self, host: str, health: str) -> None:
        """Change an entry's health now, and send the update after ``publish_delay_s``."""
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
        """Discovery goes down: it sends nothing on watches and answers no request for the list."""
        self.state.active_outages += 1

    def end_outage(self) -> None:
        """One outage ends: the watches that were silent are reset."""
        self.state.active_outages -= 1
        for agent in self.agents.values():
            agent.reset_watches()

    def silence_watches(self) -> None:
        """Send nothing more on the watches that are open, which stay so; new watches are served."""
        for agent in self.agents.values():
            agent.silence_watches()

    def stop(self) -> None:
        """Cancel updates that are due later and stop all agents."""
        for timer in self._timers:
            timer.cancel()
        for agent in self.agents.values():
            agent.stop()


class Agent:
    """The server that one relay uses as discovery and for its notices."""

    def __init__(self, platform: Platform, relay: str, address: str, sink: Sink, clock: Clock) -> None:
        self._platform, self.relay, self._sink, self._clock = platform, relay, sink, clock
        self.listener = http.Listener(address, self._serve_connection)
        self._watches: set[asyncio.StreamWriter] = set()
        self._heartbeat_task: asyncio.Task[None] | None = None
        # The whole list as of the last update that could reach the relay, as discovery encodes it.
        self.last_sent_list = b""

    async def start(self) -> None:
        """Listen, and send heartbeats on the watches."""
        await self.listener.start()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self._platform.state.active_outages:
                for writer in self._watches:
                    write_chunk(writer, b"\n")

    def stop(self) -> None:
        """Stop heartbeats, refuse new connections and reset the open ones."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        self.listener.stop()

    def reset_watches(self) -> None:
        """Reset the connection of every watch."""
        for writer in list(self._watches):
            http.reset_connection(writer.transport)
        self._watches.clear()

    def silence_watches(self) -> None:
        """Send nothing more on the open watches, without closing them."""
        self._watches.clear()

    def encode_update(self, entries: list[EndpointEntry], whole: bool) -> bytes:
        """A line with these entries as discovery encodes it, without the line's end."""
        hosts = [entry.as_listed(self._platform.dial_address(self.relay, entry.host)) for entry in entries]
        return ENCODE_JSON({"seq": self._platform.state.seq, "whole": whole, "hosts": hosts})

    def send_update(self, entries: list[EndpointEntry], whole: bool) -> None:
        """Send entries on this relay's watches, unless there is an outage."""
        if self._platform.state.active_outages or not self._watches:
            return
        line = self.encode_update(entries, whole) + b"\n"
        for writer in self._watches:
            write_chunk(writer, line)
        self._record_told(entries, whole)

    def _record_told(self, entries: list[EndpointEntry], whole: bool) -> None:
        """Record that entries reach the relay after the link's delay; nothing when they cannot reach it."""
        delay_s = self._platform.delay_to_relay_s(self.relay)
        if delay_s is not None:
            self.last_sent_list = self.encode_update(self._listed_entries, whole=True)
            hosts = {entry.host: entry.health for entry in entries}
            now_s = self._clock.now()
            self._sink(Told(now_s + delay_s, self.relay, self._platform.state.seq, hosts, whole))

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
                await asyncio.get_running_loop().create_future()  # no answer until the connection ends
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
            await reader.read()  # returns when the relay closes the watch
        finally:
            self._watches.discard(writer)

    def _record_notices(self, body: bytes) -> int:
        """Record the notices of a request; return its status, 400 and no records if one is malformed."""
        try:
            notices = [DECODE_NOTICE(line) for line in body.splitlines()]
        except msgspec.DecodeError:
            return 400
        for notice in notices:
            self._sink(Noticed(self._clock.now(), self.relay, notice.ref, notice.result, notice.wait_ms))
        return 204


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write one chunk of a response in chunked transfer encoding."""
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))
