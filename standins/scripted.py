"""Scripted stand-ins on loopback sockets for the tests of one relay: hosts, discovery, clients, operators.

Nothing here waits for a fixed time: a test awaits the event that it expects, with one generous time-out.
"""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import signal
import socket
import sys
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

from standins import http

T = TypeVar("T")
MAX_WAIT_S = 30.0  # a wait that takes longer has failed, even on a slow machine
ROOT = Path(__file__).resolve().parent.parent
SHARED_CLASS_FIELDS = {
    "aim_us": 4_000_000,
    "deadline_us": 60_000_000,
    "worth": 1.0,
    "late_worth": 0.5,
    "stream": False,
}
CLASSES: list[dict[str, Any]] = [
    {
        "name": "keyed",
        "effect": "keyed",
        "key_scope": "zone",
        "dedup_window_us": 60_000_000,
        **SHARED_CLASS_FIELDS,
    },
    {"name": "safe", "effect": "safe", "key_scope": "all", "dedup_window_us": 0, **SHARED_CLASS_FIELDS},
    {"name": "unsafe", "effect": "unsafe", "key_scope": "all", "dedup_window_us": 0, **SHARED_CLASS_FIELDS},
]
ALLOWED_SETTINGS: dict[str, Any] = {
    "cancel": True,
    "connect_timeout_us": 10_000_000,
    "keepalive_us": 15_000_000,
    "max_retry_after_us": 2_000_000,
    "may_duplicate": True,
    "most_tries": 6,
    "open_cap": 50,
    "probes": False,
    "retry_after": True,
}
RULE_SETTINGS = {
    "ask_within_us": 10_000_000,
    "cold_from": 0.3,
    "drain_grace_us": 500_000,
    "fall_multiple": 1.5,
    "fall_us": 3_000_000,
    "grace_to_answer_us": 20_000,
    "warm_within_us": 1_000_000,
}


def settings_json(**allowed: Any) -> dict[str, Any]:
    """Settings of a relay as nested JSON with the simulator's keys; ``allowed`` overrides keys of "allowed".

    They make the time-outs of the first calls longer than ten seconds.
    """
    return {
        "allowed": ALLOWED_SETTINGS | allowed,
        "discovery": "ask",
        "domain": {
            "batch_by_kind": [10, 1],
            "calls_out": 8,
            "decay": "line",
            "kind_apart": [True, True],
            "toll": [0.0, 0.03],
        },
        "group_size": 1,
        "machine_types": ["banks", "lots"],
        "over_share_worth": 0.1,
        "request_classes": CLASSES,
        "round_us": 5000,
        "rules": RULE_SETTINGS,
        "accounts": [{"name": "acme corp", "quota_per_s": 10.0, "share": 1.0}],
        "weights": "off",
        "zones": ["a", "b"],
    }


async def with_timeout(awaitable: Awaitable[T]) -> T:
    """Await something that has to happen within ``MAX_WAIT_S``; raises ``TimeoutError`` otherwise."""
    return await asyncio.wait_for(awaitable, MAX_WAIT_S)


class Request:
    """One HTTP request that a server received, with the connection to answer on."""

    def __init__(
        self, head: bytes, body: bytes, writer: asyncio.StreamWriter, connection_number: int
    ) -> None:
        first, *lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = first.split(" ", 2)
        pairs = (line.split(": ", 1) for line in lines if line)
        self.headers = {name.lower(): value for name, value in pairs}
        self.body = body
        self.writer = writer
        self.connection_number = connection_number  # from 1, in the order in which the server accepted them
        self.received_s = asyncio.get_running_loop().time()

    @property
    def refs(self) -> list[str]:
        """The ids of the messages in the call."""
        if self.target == "/hook":
            return [self.headers["x-txn"]]
        refs, rest = [], self.body
        while rest:
            line, _, rest = rest.partition(b"\r\n")
            ref, _key, size = line.split()
            refs.append(ref.decode())
            assert rest[int(size) : int(size) + 2] == b"\r\n"
            rest = rest[int(size) + 2 :]
        return refs

    def answer(self, status: int = 200, body: str = "", **headers: str) -> None:
        """Write the complete response; an underscore in a header's name stands for a hyphen."""
        header_lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
        length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
        self.writer.write(f"HTTP/1.1 {status} X\r\n{header_lines}{length}\r\n{body}".encode())

    def reset(self) -> None:
        """Abort the connection so that the relay sees a reset."""
        http.reset_connection(self.writer.transport)


Reply = Callable[[Request], None]


class HttpServer:
    """A server on its own port; requests are answered by ``script`` in turn, then by ``default_reply``."""

    def __init__(self, default_reply: Reply) -> None:
        self.default_reply = default_reply
        self.script = deque[Reply]()
        self.requests: list[Request] = []
        self.connection_count = 0  # of all connections accepted so far
        self._request_seen = asyncio.Condition()
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen, on the same port as before if it has listened already."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        connection_number = self.connection_count
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n"))[:-4]
                lengths = [
                    line[16:] for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")
                ]
                body = await reader.readexactly(int(lengths[0])) if lengths else b""
                request = Request(head, body, writer, connection_number)
                (self.script.popleft() if self.script else self.default_reply)(request)
                async with self._request_seen:
                    self.requests.append(request)
                    self._request_seen.notify_all()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        """Wait until ``condition`` holds; evaluated now and after each request."""
        async with self._request_seen:
            await with_timeout(self._request_seen.wait_for(condition))

    async def wait_request(self, number: int) -> Request:
        """Wait for the request of this number, counted from 0."""
        await self.wait_until(lambda: len(self.requests) > number)
        return self.requests[number]

    def stop(self) -> None:
        """Refuse new connections and abort the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def no_answer(_request: Request) -> None:
    """Reply that leaves the call unanswered."""


def deliver_all(request: Request) -> None:
    """Reply that reports every message of the call as delivered."""
    request.answer(200, "".join(f"{ref} delivered\r\n" for ref in request.refs if request.target != "/hook"))


class DiscoveryServer(HttpServer):
    """Discovery with the list of hosts and the watches on it; it also receives the relay's notices."""

    def __init__(self) -> None:
        super().__init__(self._reply)
        self.seq = 1  # version of the list
        self.hosts = dict[str, dict[str, Any]]()  # entries of the list by host
        self.notices: list[dict[str, Any]] = []
        self.is_down = False  # requests for the list get 503
        self.sends_heartbeats = True
        self._watches: list[Request] = []
        self._heartbeat_task: asyncio.Task[None] | None = None

    def _reply(self, request: Request) -> None:
        if request.method == "POST":
            self.notices += [json.loads(line) for line in request.body.splitlines()]
            request.answer(204)
        elif self.is_down:
            request.answer(503)
        else:
            request.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._watches.append(request)
            self.send_line(request, True, list(self.hosts.values()))

    async def start(self) -> None:
        """Listen, and send a heartbeat on the watches every second."""
        await super().start()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(1)
            for request in self._watches if self.sends_heartbeats else ():
                self.send_chunk(request, b"\n")

    def stop(self) -> None:
        """Refuse new connections, abort the open ones, and stop heartbeats."""
        super().stop()
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()

    def send_line(self, request: Request, whole: bool, hosts: list[dict[str, Any]]) -> None:
        """Send entries as one line on a watch; ``whole`` marks the whole list."""
        self.send_chunk(
            request, json.dumps({"seq": self.seq, "whole": whole, "hosts": hosts}).encode() + b"\n"
        )

    def send_chunk(self, request: Request, data: bytes) -> None:
        """Send one chunk on a watch."""
        request.writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def send_garbage(self) -> None:
        """Send a line that is not JSON on all watches, then nothing more on them."""
        for request in self._watches:
            self.send_chunk(request, b"{nonsense\n")
        self._watches.clear()

    def go_down(self) -> None:
        """Reset all watches and answer further requests for the list with 503."""
        self.is_down = True
        for request in self._watches:
            request.reset()
        self._watches.clear()

    def change_entry(self, host: str, **fields: Any) -> None:
        """Add an entry or change fields of it, and send it on all watches."""
        self.seq += 1
        self.hosts[host] = {"host": host, "site": "a", "class": "lots", "block": 1, "share": 1.0} | (
            self.hosts.get(host, {"health": "SERVING"}) | fields
        )
        for request in self._watches:
            self.send_line(request, False, [self.hosts[host]])

    async def wait_notice(self, ref: str) -> dict[str, Any]:
        """Wait for the notice on a message."""
        await self.wait_until(lambda: any(notice["ref"] == ref for notice in self.notices))
        return next(notice for notice in self.notices if notice["ref"] == ref)


class Client:
    """One client's connection to the relay."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def send_raw(self, data: bytes) -> bytes:
        """Send bytes and return the next line from the relay without its end."""
        self.writer.write(data)
        return (await with_timeout(self.reader.readline())).rstrip()

    async def command(self, *args: bytes) -> bytes:
        """Send a command and return the first line of its answer."""
        return await self.send_raw(encode_command(*args))

    async def submit(self, ref: str, cls: str = "safe", d: int = 30_000, dest: int = 1) -> bytes:
        """Submit a message with a deadline in ``d`` ms; return the answer's first line."""
        return await self.command(*enqueue_words(ref, cls, d, dest))


def encode_command(*args: bytes) -> bytes:
    """A command in RESP2: an array of bulk strings."""
    return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%s\r\n" % (len(arg), arg) for arg in args)


def enqueue_words(
    ref: str, cls: str = "safe", d: int = 30_000, dest: int = 1, body: bytes = b"hello"
) -> tuple[bytes, ...]:
    """The words of an ENQUEUE command for a message with a deadline in ``d`` ms."""
    fields = f"c={cls},t=acme_corp,d={d},k=key-{ref},dest={dest}"
    return b"ENQUEUE", b"0" * 16, ref.encode(), fields.encode(), body


class World:
    """The surroundings of one relay and its real process: discovery, the hosts that were added, addresses."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.state_folder = folder / "state"
        self.discovery = DiscoveryServer()
        self.hosts = dict[str, HttpServer]()
        self.process: asyncio.subprocess.Process | None = None
        self.known_hosts: list[dict[str, Any]] = []  # entries of the list in the relay's configuration
        self.settings = settings_json()
        # Limits in the relay's configuration.
        self.disk_mb = 3.0
        self.sockets = 1024
        self.memory_mb = 192
        self.admin_port = 0  # of the operators' address; 0: the relay has none
        self.passed_socket: socket.socket | None = None  # the clients' socket when the platform passes it
        self.processes: list[asyncio.subprocess.Process] = []
        # ``$ROUTER_DISCOVERY`` of every process: as at the first start, wherever discovery has moved since.
        self.discovery_variable = ""
        # A random loopback address, so that nothing else on the machine takes the port before the relay does.
        self.address = "127." + ".".join(str(secrets.randbelow(253) + 1) for _ in range(3))
        self.used_ports: set[int] = set()  # returned by free_port
        self.port = self.free_port()

    def free_port(self) -> int:
        """A port at the relay's address that nothing listens on; each call returns a different one."""
        while True:
            with socket.socket() as sock:
                sock.bind((self.address, 0))
                port = int(sock.getsockname()[1])
            if port not in self.used_ports:
                self.used_ports.add(port)
                return port

    async def start(self) -> None:
        """Start discovery; the test itself starts the relay."""
        self.state_folder.mkdir()
        await self.discovery.start()

    async def stop(self) -> None:
        """Kill all processes of the relay and stop all servers."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        if self.passed_socket is not None:
            self.passed_socket.close()
        for server in (self.discovery, *self.hosts.values()):
            server.stop()

    async def add_host(
        self, name: str, default: Reply = deliver_all, kind: str = "lots", listens: bool = True, **fields: Any
    ) -> HttpServer:
        """Start a host and put it on the list; without ``listens`` it refuses connections."""
        host = self.hosts[name] = HttpServer(default)
        await host.start()
        if not listens:
            host.stop()
        self.discovery.change_entry(name, dial=f"127.0.0.1:{host.port}", **{"class": kind}, **fields)
        return host

    async def wait_journaled(self, word: bytes) -> None:
        """Wait until the relay's journal contains these bytes."""

        async def poll_journal() -> None:
            while word not in (self.state_folder / "journal").read_bytes():
                await asyncio.sleep(0.01)

        await with_timeout(poll_journal())

    def environment(self) -> dict[str, str]:
        """Write the relay's configuration file and return its environment variables."""
        limits = {"memory_mb": self.memory_mb, "sockets": self.sockets, "disk_mb": self.disk_mb}
        config = {
            "name": "n0",
            "listen": f"{self.address}:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, **limits},
            "known": {"seq": 0, "whole": True, "hosts": self.known_hosts},
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        self.discovery_variable = self.discovery_variable or f"127.0.0.1:{self.discovery.port}"
        variables = {"TMPDIR": str(self.folder)}
        if self.admin_port:
            variables["ROUTER_ADMIN"] = f"{self.address}:{self.admin_port}"
        if self.passed_socket is not None:
            variables["ROUTER_PASSED_SOCKET"] = str(self.passed_socket.fileno())
        return (
            os.environ
            | variables
            | {
                "ROUTER_CONFIG": str(path),
                "ROUTER_DISCOVERY": self.discovery_variable,
                "ROUTER_STATE": str(self.state_folder),
            }
        )

    async def start_relay(self) -> Client:
        """Start a process of the relay and return a client's connection once it answers."""
        await self.spawn()
        client = await self.connect_client()
        assert await client.command(b"PING") == b"+PONG"
        return client

    async def spawn(self) -> asyncio.subprocess.Process:
        """Start a process of the relay; one that runs already goes on."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "relay"),
            cwd=ROOT,
            env=self.environment(),
            pass_fds=[] if self.passed_socket is None else [self.passed_socket.fileno()],
        )
        self.processes.append(self.process)
        return self.process

    def open_passed_socket(self) -> None:
        """Open the clients' socket here and pass it to the relay, as the platform may do."""
        self.passed_socket = socket.create_server((self.address, self.port), backlog=128)

    async def connect_client(self) -> Client:
        """Connect a client as soon as the relay listens."""

        async def connect() -> Client:
            while True:
                try:
                    return Client(*await asyncio.open_connection(self.address, self.port))
                except OSError:
                    await asyncio.sleep(0.02)

        return await with_timeout(connect())

    async def operator_request(self, data: bytes, port: int = 0) -> bytes:
        """Send bytes to the operators' address; return all bytes until the relay closes the connection."""
        reader, writer = await asyncio.open_connection(self.address, port or self.admin_port)
        writer.write(data)
        try:
            return await with_timeout(reader.read())
        finally:
            writer.close()

    async def operator_call(self, method: str, target: str, port: int = 0) -> tuple[int, str]:
        """Send an operator's request; return the status and the body of the response."""
        head = f"{method} /admin/{target} HTTP/1.1\r\nHost: relay\r\nContent-Length: 0\r\n\r\n"
        answer = (await self.operator_request(head.encode(), port)).decode()
        return int(answer.split()[1]), answer.partition("\r\n\r\n")[2]

    async def read_figures(self, port: int = 0) -> dict[str, int]:
        """The relay's figures by name, without the prefix ``app.``."""
        return await self._read_figures_page("stats", "app.", port)

    async def read_costs(self) -> dict[str, int]:
        """The figures of the process's resource usage by name, without the prefix ``app.cost.``."""
        return await self._read_figures_page("cost", "app.cost.", 0)

    async def _read_figures_page(self, target: str, prefix: str, port: int) -> dict[str, int]:
        _, body = await self.operator_call("GET", target, port)
        pairs = (line.removeprefix(prefix).split(":") for line in body.splitlines())
        return {name: int(value.partition("|")[0]) for name, value in pairs}

    async def wait_figure(self, name: str, value: int) -> None:
        """Wait until a figure of ``read_figures`` has this value."""

        async def poll_figure() -> None:
            while (await self.read_figures())[name] != value:
                await asyncio.sleep(0.01)

        await with_timeout(poll_figure())

    async def wait_cost(self, name: str, value: int) -> None:
        """Wait until a figure of ``read_costs`` has this value."""

        async def poll_figure() -> None:
            while (await self.read_costs()).get(name) != value:
                await asyncio.sleep(0.01)

        await with_timeout(poll_figure())

    async def replace_discovery(self) -> DiscoveryServer:
        """Start discovery on a new port and write that into the configuration; return the old server."""
        old_discovery, self.discovery = self.discovery, DiscoveryServer()
        self.discovery.seq, self.discovery.hosts = old_discovery.seq, old_discovery.hosts
        await self.discovery.start()
        self.environment()
        return old_discovery

    async def move_discovery(self) -> None:
        """Move discovery to a new port, write that into the configuration, and send the relay SIGHUP."""
        assert self.process is not None
        (await self.replace_discovery()).stop()
        self.process.send_signal(signal.SIGHUP)

    async def kill(self) -> None:
        """Kill the relay's process with SIGKILL and wait for its end."""
        assert self.process is not None
        self.process.kill()
        await self.process.wait()

    async def kill_and_restart(self) -> Client:
        """Kill the relay with SIGKILL and start it again on the same state folder; return a client."""
        await self.kill()
        return await self.start_relay()
