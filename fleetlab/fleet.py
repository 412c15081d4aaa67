"""Processes of a fleet: started as the platform starts them, ended with the lab whatever becomes of it."""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.records import Process, Sink, Used
from standins.scripted import ROOT

PR_SET_PDEATHSIG = 1  # Linux, prctl(2): the signal that a child gets when the thread that made it ends
LIBC = ctypes.CDLL(None, use_errno=True)
BUILD_S = 600.0  # s for the deploy file's build
READY_S = 30.0  # s for a process to answer
LOOK_S = 0.03
MOST_LOG = 8 * 1024 * 1024  # bytes of one process's log; a process that writes more is cut off there
START_PAUSE_S = 0.01  # s between two starts, in which the lab does what else is due
TICK_S = 0.05  # period of stop-and-go
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class FleetError(RuntimeError):
    """A fleet that cannot be started."""


def deploy_run(root: Path = ROOT) -> str:
    """The deploy file's command for one relay, with what it needs built, or ``FleetError``."""
    try:
        deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        run, build = str(deploy["run"]), str(deploy["build"])
    except (OSError, tomllib.TOMLDecodeError, KeyError) as error:
        raise FleetError(f"deploy/balancer.toml: {error!r}") from error
    try:
        built = subprocess.run(
            ["/bin/sh", "-c", build], cwd=root, capture_output=True, text=True, timeout=BUILD_S, check=False
        )
    except subprocess.TimeoutExpired as error:
        raise FleetError(f"the build did not end within {BUILD_S:.0f} s") from error
    if built.returncode:
        raise FleetError(f"the build failed: {(built.stderr.strip().splitlines() or ['no word'])[-1]}")
    return run


def python_run(module: str) -> str:
    """The command for a module of the project, with this process's interpreter."""
    return f"exec {sys.executable} -m {module}"


@dataclass(slots=True)
class Limits:
    """What a process may use."""

    sockets: int = 1024
    file_bytes: int = 0  # the largest file that it may write; 0: its log's bound


@dataclass(slots=True)
class Member:
    """One process of a fleet, through all its lives."""

    name: str
    command: str
    folder: Path
    environment: dict[str, str]
    config: dict[str, Any]
    limits: Limits
    process: asyncio.subprocess.Process | None = None
    life: int = 0
    asked: bool = False  # its end was asked for
    cpu_s: float = 0.0  # of its lives that are over
    peak_mb: float = 0.0
    ready: bool = False
    reload_due: bool = False  # its configuration changed while it was not ready
    watcher: asyncio.Task[None] | None = None
    replacement: asyncio.subprocess.Process | None = None  # started beside the process that serves still
    changing: asyncio.Lock = field(
        default_factory=asyncio.Lock
    )  # held while it is ended, replaced or reloaded
    listening: socket.socket | None = None  # of clients, where the platform holds it for all its processes

    @property
    def state(self) -> Path:
        """The folder that lasts."""
        return self.folder / "state"

    @property
    def scratch(self) -> Path:
        """The folder for temporary files, empty at the start of each life."""
        return self.folder / "tmp"

    @property
    def log(self) -> Path:
        """What all its lives wrote to standard output and error."""
        return self.folder / "log"

    @property
    def alive(self) -> bool:
        """Whether a process of it runs, be it stopped."""
        return self.process is not None and self.process.returncode is None


@dataclass(slots=True)
class Fleet:
    """All processes, and who is told of their ends."""

    folder: Path
    now: Callable[[], float]
    sink: Sink
    gone: Callable[[str], None]
    up: Callable[[str], None]
    members: dict[str, Member] = field(default_factory=dict)
    _starting: asyncio.Lock = field(default_factory=asyncio.Lock)

    def add(
        self, name: str, command: str, config: dict[str, Any], environment: dict[str, str], limits: Limits
    ) -> Member:
        """A process that is not started yet; its folder is made."""
        folder = self.folder / name
        member = Member(name, command, folder, environment, config, limits)
        member.state.mkdir(parents=True)
        self.members[name] = member
        return member

    async def start(self, member: Member) -> None:
        """One more life of a process."""
        member.asked = member.ready = member.reload_due = False
        shutil.rmtree(member.scratch, ignore_errors=True)
        member.scratch.mkdir()
        member.process = await self._launch(member)
        self._watch_later(member, member.process)

    async def replace(
        self, member: Member, says_yes: Callable[[], Awaitable[bool]], wait_s: float, patience_s: float
    ) -> None:
        """Start the next process of a member beside the one that serves; end that once the next says yes.

        SIGTERM follows the yes after ``wait_s``, SIGKILL that after ``patience_s``. A next process that does
        not say yes is left for who reads the history.
        """
        old, watcher = member.process, member.watcher
        assert old is not None
        self.measure(member, last=True)
        new = member.replacement = await self._launch(member)
        life, until_s = member.life, self.now() + READY_S
        while not await says_yes():
            if new.returncode is not None or self.now() > until_s:
                self.sink(Process(self.now(), member.name, life, "exit", new.returncode or 0, asked=False))
                return
            await asyncio.sleep(LOOK_S)
        member.process, member.replacement = new, None
        self._watch_later(member, new)
        self.sink(Process(self.now(), member.name, life, "ready"))
        await asyncio.sleep(wait_s)
        if old.returncode is None:
            old.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(patience_s):
                    await asyncio.shield(old.wait())
            except TimeoutError:
                old.kill()
        if watcher is not None:
            await watcher

    async def _launch(self, member: Member) -> asyncio.subprocess.Process:
        """Start a process of a member, beside the one that it has or not."""
        member.life += 1
        path = self._configure(member)
        environment = os.environ | {
            "ROUTER_CONFIG": str(path), "ROUTER_STATE": str(member.state), "TMPDIR": str(member.scratch),
            "PYTHONUNBUFFERED": "1", **member.environment,
        }  # fmt: skip
        passed = [] if member.listening is None else [member.listening.fileno()]
        if passed:
            environment["ROUTER_PASSED_SOCKET"] = str(passed[0])
        async with self._starting:
            with member.log.open("ab") as log:
                process = await asyncio.create_subprocess_exec(
                    *("/bin/sh", "-c", member.command),
                    cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                    start_new_session=True, preexec_fn=bound(member.limits, os.getpid()), pass_fds=passed,
                )  # fmt: skip
            await asyncio.sleep(START_PAUSE_S)  # a fork stops the loop for some milliseconds
        self.sink(Process(self.now(), member.name, member.life, "start"))
        return process

    def _watch_later(self, member: Member, process: asyncio.subprocess.Process) -> None:
        """Wait for a process's end beside all else."""
        watch = self._watch(member, process, member.life)
        member.watcher = asyncio.get_running_loop().create_task(watch)

    def _configure(self, member: Member) -> Path:
        """Write a process's configuration, with a seed that is new with each life.

        A file of its own for each life: to write over one may wait for the disk, and all of the lab with it.
        """
        path = member.folder / f"config-{member.life}.json"
        seed = f"{member.config.get('seed', '1')}{member.life:02x}"
        path.write_text(json.dumps(member.config | {"seed": seed}), encoding="utf-8")
        return path

    async def reload(self, member: Member) -> None:
        """Write a configuration that has changed, and tell the process by SIGHUP once it is ready.

        Not while it is being replaced: the platform signals no process before that is ready.
        """
        async with member.changing:
            self._configure(member)
            member.reload_due = not member.ready
            if member.ready:
                self.signal(member, signal.SIGHUP)

    async def _watch(self, member: Member, process: asyncio.subprocess.Process, life: int) -> None:
        code = await process.wait()
        if member.process is not process:  # replaced: the relay goes on
            self.sink(Process(self.now(), member.name, life, "exit", code))
            return
        member.ready = False
        self.gone(member.name)
        self.sink(Process(self.now(), member.name, life, "exit", code, member.asked))

    async def until_ready(self, member: Member, answers: Callable[[Member], Any]) -> None:
        """Wait until a process answers; ``FleetError`` with its last word where it does not."""
        life, until_s = member.life, self.now() + READY_S
        while self.now() < until_s and member.alive and member.life == life:
            if await answers(member):
                member.ready = True
                self.sink(Process(self.now(), member.name, life, "ready"))
                if member.reload_due:
                    member.reload_due = False
                    self.signal(member, signal.SIGHUP)
                self.up(member.name)
                return
            await asyncio.sleep(LOOK_S)
        if member.life != life or member.asked:
            return  # a fault came in between
        lines = member.log.read_text(errors="replace").strip().splitlines()
        raise FleetError(f"{member.name} does not answer: {lines[-1] if lines else 'it said nothing'}")

    def signal(self, member: Member, number: signal.Signals) -> None:
        """Send a signal to a process, where it runs."""
        if member.alive and member.process is not None:
            member.process.send_signal(number)

    async def kill(self, member: Member) -> None:
        """SIGKILL, and wait for the end."""
        member.asked = True
        if not member.alive:
            return
        self.measure(member, last=True)
        self.signal(member, signal.SIGKILL)
        assert member.process is not None
        await member.process.wait()
        if member.watcher is not None:
            await member.watcher

    async def terminate(self, member: Member, patience_s: float) -> None:
        """SIGTERM, and SIGKILL to one that is still there after that time."""
        member.asked = True
        if not member.alive:
            return
        assert member.process is not None
        self.measure(member, last=True)
        self.signal(member, signal.SIGTERM)
        try:
            async with asyncio.timeout(patience_s):
                await asyncio.shield(member.process.wait())
        except TimeoutError:
            await self.kill(member)
        if member.watcher is not None:
            await member.watcher

    def lose_folder(self, member: Member) -> None:
        """The machine is lost: the folder is empty at the next start."""
        shutil.rmtree(member.state)
        member.state.mkdir()

    async def slow(self, member: Member, share: float, until: asyncio.Event) -> None:
        """Stop-and-go: the process runs in so large a part of the time until it is to end."""
        try:
            while not until.is_set():
                self.signal(member, signal.SIGSTOP)
                await asyncio.sleep(TICK_S * (1 - share))
                self.signal(member, signal.SIGCONT)
                await asyncio.sleep(TICK_S * share)
        finally:
            self.signal(member, signal.SIGCONT)

    def limit(self, member: Member, descriptors: int, file_bytes: int) -> None:
        """Change the limits of a process that runs; 0 leaves one as it is."""
        if not member.alive or member.process is None:
            return
        for name, value in ((resource.RLIMIT_NOFILE, descriptors), (resource.RLIMIT_FSIZE, file_bytes)):
            if value:
                _, hard = resource.prlimit(member.process.pid, name)
                resource.prlimit(member.process.pid, name, (value, hard))

    def unlimit(self, member: Member) -> None:
        """Its usual limits again."""
        self.limit(member, member.limits.sockets, member.limits.file_bytes or MOST_LOG)

    def measure(self, member: Member, last: bool = False) -> float:
        """Processor seconds of all its lives so far; ``last`` keeps those of a life that is about to end."""
        if not member.alive or member.process is None:
            return member.cpu_s
        try:
            stat = Path(f"/proc/{member.process.pid}/stat").read_text().rpartition(")")[2].split()
            peak_mb = peak_memory_mb(member.process.pid)
        except OSError:
            return member.cpu_s
        used_s = (int(stat[11]) + int(stat[12])) / CLOCK_TICKS
        member.peak_mb = max(member.peak_mb, peak_mb)
        if last:
            member.cpu_s += used_s
            return member.cpu_s
        return member.cpu_s + used_s

    async def stop(self) -> None:
        """End every process, and say what it used."""
        for member in self.members.values():
            cpu_s = self.measure(member)
            self.sink(Used(self.now(), member.name, round(cpu_s, 3), round(member.peak_mb, 1)))
        for member in self.members.values():
            if member.replacement is not None and member.replacement.returncode is None:
                member.replacement.kill()
                await member.replacement.wait()
        await asyncio.gather(*(self.kill(member) for member in self.members.values()))
        for member in self.members.values():
            if member.listening is not None:
                member.listening.close()


def peak_memory_mb(pid: int) -> float:
    """The most memory that a process held; 0 where the system does not tell, ``OSError`` where it is gone."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next((int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM")), 0.0)


def die_with(parent: int) -> None:
    """Have the system end this process with its parent, whatever becomes of that."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:  # it ended in between
        os._exit(1)


def bound(limits: Limits, parent: int) -> Callable[[], None]:
    """What a child does before it becomes its program: it dies with the lab, and keeps within its limits."""

    def prepare() -> None:
        die_with(parent)
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(limits.sockets, hard), hard))
        _, most = resource.getrlimit(resource.RLIMIT_FSIZE)
        resource.setrlimit(resource.RLIMIT_FSIZE, (limits.file_bytes or MOST_LOG, most))
        resource.setrlimit(resource.RLIMIT_CORE, (0, 0))

    return prepare
