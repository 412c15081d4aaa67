"""Stand-ins for clients, endpoints and the platform, and the relay's process by the deploy file's `run`.

Standard library only. Everything listens on loopback addresses with free ports. What was sent, answered and run
goes to the case's record, one line each, with seconds since the start.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
PASSED_FD = 5  # under which the relay's processes inherit the clients' listening socket
PATIENCE_S = 0.4  # a client waits so long for its answer


class CannotRunError(Exception):
    """The case could not be brought about."""


class Record:
    """The lines of record.txt."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.start_s = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.start_s

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():9.4f} {text}\n")
        self._file.flush()


def settings(**changes: Any) -> dict[str, Any]:
    """Settings of a small deployment, with the figures of the site kolkata-head."""
    base: dict[str, Any] = {
        "group_size": 1, "my_number": 0, "family": "deliver", "discovery": "push", "round_us": 5000, "goal": {},
        "request_classes": [
            {"name": "licence-order", "effect": "keyed", "key_scope": "all", "dedup_window_us": 15_000_000,
             "aim_us": 3_000_000, "deadline_us": 16_000_000, "worth": 2.0, "late_worth": 0.5, "stream": False},
            {"name": "seat-status", "effect": "safe", "key_scope": "all", "dedup_window_us": 0,
             "aim_us": 1_500_000, "deadline_us": 6_000_000, "worth": 1.0, "late_worth": 0.0, "stream": False},
            {"name": "fee-payment", "effect": "unsafe", "key_scope": "all", "dedup_window_us": 0,
             "aim_us": 2_000_000, "deadline_us": 28_000_000, "worth": 4.0, "late_worth": 0.3, "stream": False},
        ],
        "domain": {"calls_out": 16, "kind_apart": [False, False, False], "batch_by_kind": [5, 1, 1],
                   "decay": "halves", "toll": [0.0], "report_x0": "share left", "report_x1": "limit",
                   "refused_price": 0.03},
        "machine_types": ["vendor-hub", "franchisee", "bank-gateway"],
        "allowed": {"cancel": True, "connect_timeout_us": 1_500_000, "keepalive_us": 5_000_000,
                    "max_retry_after_us": 3_000_000, "may_duplicate": False, "most_tries": 8, "open_cap": 200,
                    "probes": True, "peer_messages": False, "retry_after": True, "streams_per_conn": 1,
                    "cpu_us_per_s": 50_000},
        "rules": {"cold_from": 0.18, "drain_grace_us": 2_000_000, "fall_multiple": 2.0, "fall_us": 2_000_000,
                  "grace_to_answer_us": 20_000, "warm_within_us": 13_000_000, "ask_within_us": 10_000_000},
        "load_info": {"how": "inline", "columns": ["x0", "x1"]},
        "accounts": [{"name": "howrah-east", "quota_per_s": 20.0, "share": 1.0}],
        "over_share_worth": 0.1, "weights": "off", "worth_by": "request",
        "zone": "salt-lake-dc", "zones": ["salt-lake-dc"], "tier": 0, "tiers": ["partner-systems"],
    }  # fmt: skip
    return base | changes


class Call:
    """One call at an endpoint."""

    def __init__(self, target: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter) -> None:
        self.target, self.headers, self.body, self.writer = target, headers, body, writer
        self.at_s = time.monotonic()

    @property
    def refs(self) -> list[str]:
        if self.target == "/hook":
            return [self.headers["x-txn"]]
        refs, rest = [], self.body
        while rest:
            line, _, rest = rest.partition(b"\r\n")
            ref, _, size = line.split()
            refs.append(ref.decode())
            rest = rest[int(size) + 2 :]
        return refs

    def write(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.writer.write(data)

    def answer(self, status: int, body: str = "", **headers: str) -> None:
        lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
        length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
        self.write(f"HTTP/1.1 {status} X\r\n{lines}{length}\r\n{body}".encode())

    def deliver(self) -> None:
        lines = "".join(f"{ref} delivered\r\n" for ref in self.refs) if self.target != "/hook" else ""
        self.answer(200, lines)


class HttpServer:
    """A small HTTP/1.1 server, one request at a time on a connection."""

    def __init__(self, serve: Callable[[Call, str], Awaitable[None]]) -> None:
        self._serve = serve
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._run, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n"))[:-4].decode("latin-1")
                first, *lines = head.split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self._serve(Call(target, headers, body, writer), method)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop_listening(self) -> None:
        if self.server is not None:
            self.server.close()

    def close_connections(self) -> None:
        for writer in list(self.writers):
            writer.close()


class Endpoint:
    """A partner's endpoint. `behave` answers a call; whoever runs a message says so with `ran`."""

    def __init__(self, world: World, host: str, behave: Callable[[Call], Awaitable[None]]) -> None:
        self.world, self.host, self.behave = world, host, behave
        self.server = HttpServer(self._serve)
        self.calls: list[tuple[float, list[str]]] = []
        self.runs: list[str] = []

    async def _serve(self, call: Call, method: str) -> None:
        if method != "POST":
            call.answer(200)
            return
        self.calls.append((self.world.record.now(), call.refs))
        self.world.record.write(f"endpoint {self.host} got a call with {' '.join(call.refs)}")
        await self.behave(call)

    def ran(self, call: Call) -> None:
        """The messages of the call take effect."""
        for ref in call.refs:
            self.runs.append(ref)
            self.world.record.write(f"endpoint {self.host} ran {ref}")


class Platform:
    """The agent: the list, its watches, and the notices."""

    def __init__(self, world: World, name: str = "agent") -> None:
        self.world, self.name = world, name
        self.server = HttpServer(self._serve)
        self.notices: list[tuple[float, dict[str, Any]]] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.watch_count = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server.port}"

    def line(self) -> bytes:
        return json.dumps({"seq": self.world.seq, "whole": True, "hosts": self.world.hosts}).encode() + b"\n"

    async def _serve(self, call: Call, method: str) -> None:
        if method == "POST":
            for line in call.body.splitlines():
                notice = json.loads(line)
                self.notices.append((self.world.record.now(), notice))
                self.world.notices.append((self.world.record.now(), notice))
                self.world.record.write(f"{self.name} got the notice {line.decode()}")
            call.answer(204)
        elif "watch=1" in call.target:
            self.watch_count += 1
            self.world.record.write(f"{self.name} serves a watch")
            call.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            call.write(chunk(self.line()))
            self.watches.append(call.writer)
            while True:
                await asyncio.sleep(1.0)
                if call.writer.is_closing():
                    return
                call.write(chunk(b"\n"))
        else:
            call.answer(200, self.line().decode())


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Client:
    """One client's connection; it hands in one message at a time."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(*self.world.listen)

    async def hand_in(self, ref: str, cls: str, d_ms: int, dest: int, key: str = "", body: bytes = b"x" * 200) -> str:
        """Hand in one message; returns `ok`, `busy`, `error`, `closed` or `patience`."""
        if self.writer is None:
            await self.connect()
        assert self.reader is not None and self.writer is not None
        fields = f"c={cls},t=howrah-east,d={d_ms},dest={dest}" + (f",k={key}" if key else "")
        self.writer.write(encode_command(b"ENQUEUE", b"0" * 16, ref.encode(), fields.encode(), body))
        self.world.record.write(f"client hands in {ref} of {cls} for {dest} with {d_ms} ms")
        try:
            line = await asyncio.wait_for(self.reader.readline(), PATIENCE_S)
            heard = {b"+": "ok", b"-": "busy" if line.startswith(b"-BUSY") else "error"}.get(line[:1], "closed")
        except TimeoutError:
            heard = "patience"
        except OSError:
            heard = "closed"
        self.world.record.write(f"client heard {heard} for {ref}")
        if heard in ("patience", "closed"):
            self.writer.close()
            self.writer = None
        return heard


def encode_command(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class World:
    """One relay and what surrounds it, in a temporary folder."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record, self.folder = record, folder
        self.seq = 1
        self.hosts: list[dict[str, Any]] = []
        self.notices: list[tuple[float, dict[str, Any]]] = []
        self.settings = settings()
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3}
        self.platform = Platform(self)
        self.endpoints: dict[str, Endpoint] = {}
        self.processes: list[asyncio.subprocess.Process] = []
        self.passed: socket.socket | None = None
        self.listen = ("127.0.0.1", free_port())
        self.admin = ("127.0.0.1", free_port())
        self.environment: dict[str, str] = {}
        (folder / "state").mkdir()
        (folder / "tmp").mkdir()

    async def add_endpoint(self, host: str, dest: int, kind: str, behave: Callable[[Call], Awaitable[None]]) -> Endpoint:
        endpoint = self.endpoints[host] = Endpoint(self, host, behave)
        await endpoint.server.start()
        self.hosts.append({
            "host": host, "dial": f"127.0.0.1:{endpoint.server.port}", "site": "salt-lake-dc", "class": kind,
            "block": dest, "health": "SERVING", "share": 1.0, "born_ms": 0,
        })  # fmt: skip
        return endpoint

    def open_passed_socket(self) -> None:
        """Hold the clients' listening socket, which every process inherits as descriptor 5."""
        self.passed = socket.create_server(self.listen, backlog=128)
        os.dup2(self.passed.fileno(), PASSED_FD)
        self.environment["ROUTER_PASSED_SOCKET"] = str(PASSED_FD)

    def write_config(self) -> None:
        """The configuration file; replaced in one step."""
        config = {
            "name": "n0", "listen": "%s:%d" % self.listen, "admin": "%s:%d" % self.admin,
            "discovery": self.platform.address, "seed": "8c1f30d27a5be964", "limits": self.limits,
            "known": {"seq": self.seq, "whole": True, "hosts": self.hosts}, "settings": self.settings,
        }  # fmt: skip
        path = self.folder / "config.new"
        path.write_text(json.dumps(config), encoding="utf-8")
        path.replace(self.folder / "config.json")

    def set_environment(self) -> None:
        """The variables of a relay's first start."""
        self.environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": str(self.folder), "LANG": "C.UTF-8",
            "TMPDIR": str(self.folder / "tmp"), "ROUTER_NAME": "n0", "ROUTER_LISTEN": "%s:%d" % self.listen,
            "ROUTER_ADMIN": "%s:%d" % self.admin, "ROUTER_DISCOVERY": self.platform.address,
            "ROUTER_STATE": str(self.folder / "state"), "ROUTER_CONFIG": str(self.folder / "config.json"),
        }  # fmt: skip

    async def spawn(self) -> asyncio.subprocess.Process:
        """Start a process of the relay by the deploy file's `run`."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        log = (self.folder / f"relay-{len(self.processes)}.log").open("wb")
        fds: tuple[int, ...] = () if self.passed is None else (PASSED_FD,)
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=self.environment, pass_fds=fds,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
        )  # fmt: skip
        self.processes.append(process)
        self.record.write(f"process {len(self.processes) - 1} of the relay starts")
        return process

    async def wait_ready(self, limit_s: float = 30.0) -> None:
        """Until the relay answers a PING."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            try:
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(encode_command(b"PING"))
                line = await asyncio.wait_for(reader.readline(), 2.0)
                writer.close()
                if line == b"+PONG\r\n":
                    self.record.write("the relay is ready")
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRunError("the relay did not become ready")

    async def operator_call(self, method: str, target: str, address: tuple[str, int]) -> int:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(f"{method} /admin/{target} HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
        return int(line.split()[1]) if line else 0

    async def kill_and_restart(self) -> None:
        """SIGKILL alone; the next process starts 0.6 s later on the folder that lasts."""
        process = self.processes[-1]
        self.record.write("SIGKILL to the relay")
        process.kill()
        await process.wait()
        await asyncio.sleep(0.6)
        await self.spawn()
        await self.wait_ready()

    def ends_of(self, ref: str) -> list[tuple[float, str]]:
        return [(at_s, notice["result"]) for at_s, notice in self.notices if notice["ref"] == ref]

    def calls_of(self, ref: str) -> list[tuple[float, str]]:
        found = [(at_s, host) for host, e in self.endpoints.items() for at_s, refs in e.calls if ref in refs]
        return sorted(found)

    def runs_of(self, ref: str) -> int:
        return sum(endpoint.runs.count(ref) for endpoint in self.endpoints.values())

    async def stop(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        if self.passed is not None:
            self.passed.close()
        for server in (self.platform.server, *(e.server for e in self.endpoints.values())):
            server.stop_listening()
            server.close_connections()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def reserve_passed_fd() -> None:
    """Take the descriptor before anything else here does."""
    with open(os.devnull, "rb") as nothing:
        os.dup2(nothing.fileno(), PASSED_FD)


async def run_case(record: Record, case: Callable[[World], Awaitable[int]], limit_s: float) -> int:
    folder = tempfile.TemporaryDirectory(prefix="review-", ignore_cleanup_errors=True)
    world = World(record, Path(folder.name))
    result = COULD_NOT_RUN
    try:
        await world.platform.server.start()
        result = await asyncio.wait_for(case(world), limit_s)
    except CannotRunError as error:
        record.write(f"could not run: {error}")
    except Exception:
        record.write("could not run: " + traceback.format_exc())
    finally:
        await world.stop()
        if os.environ.get("KEEP_LOGS"):
            for path in sorted(world.folder.glob("relay-*.log")):
                print(path.read_text(errors="replace")[-int(os.environ["KEEP_LOGS"]) :], file=sys.stderr)
        folder.cleanup()
    record.write({HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "the case could not run"))
    return result


def main(case: Callable[[World], Awaitable[int]], limit_s: float = 110.0) -> None:
    """Play a case; the record is written beside the case's own file."""
    reserve_passed_fd()
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")
    record.write(f"TROUBLE={int(TROUBLE)}")
    sys.exit(asyncio.run(run_case(record, case, limit_s)))


__all__ = ["BROKEN", "COULD_NOT_RUN", "HELD", "TROUBLE", "Call", "CannotRunError", "Client", "Platform", "World", "main", "signal"]
