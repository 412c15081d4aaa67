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
BUILD_TIMEOUT_S = 600.0  # s for the deploy file's build
READY_TIMEOUT_S = 30.0  # s for a process to answer
POLL_S = 0.03
MAX_LOG_BYTES = 8 * 1024 * 1024  # bytes of one process's log; a process that writes more is cut off there
START_PAUSE_S = 0.01  # s between two starts, in which the lab does what else is due
STOP_AND_GO_PERIOD_S = 0.05  # period of stop-and-go
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class FleetError(RuntimeError):
    """A fleet that cannot be started."""


def deploy_command(root: Path = ROOT) -> str:
    """The deploy file's command for one relay, with what it needs built, or ``FleetError``."""
    try:
        deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        run, build = str(deploy["run"]), str(deploy["build"])
    except (OSError, tomllib.TOMLDecodeError, KeyError) as error:
        raise FleetError(f"deploy/balancer.toml: {error!r}") from error
    try:
        built = subprocess.run(
            ["/bin/sh", "-c", build],
            cwd=root,
            capture_output=True,
            text=True,
            timeout=BUILD_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired as error:
        raise FleetError(f"the build did not end within {BUILD_TIMEOUT_S:.0f} s") from error
    if built.returncode:
        raise FleetError(f"the build failed: {(built.stderr.strip().splitlines() or ['no word'])[-1]}")
    return run


def module_command(module: str) -> str:
    """The command for a module of the project, with this process's interpreter."""
    return f"exec {sys.executable} -m {module}"


@dataclass(slots=True)
class ProcessLimits:
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
    limits: ProcessLimits
    process: asyncio.subprocess.Process | None = None
    life: int = 0
    end_requested: bool = False  # its end was asked for
    past_lives_cpu_s: float = 0.0  # of its lives that are over
    peak_mb: float = 0.0
    is_ready: bool = False
    reload_when_ready: bool = False  # its configuration changed while it was not ready
    watcher: asyncio.Task[None] | None = None
    replacement: asyncio.subprocess.Process | None = None  # started beside the process that serves still
    change_lock: asyncio.Lock = field(
        default_factory=asyncio.Lock
    )  # held while it is ended, replaced or reloaded
    passed_socket: socket.socket | None = (
        None  # of clients, where the platform holds it for all its processes
    )

    @property
    def state_folder(self) -> Path:
        """The folder that lasts."""
        return self.folder / "state"

    @property
    def tmp_folder(self) -> Path:
        """The folder for temporary files, empty at the start of each life."""
        return self.folder / "tmp"

    @property
    def log_file(self) -> Path:
        """What all its lives wrote to standard output and error."""
        return self.folder / "log"

    @property
    def is_alive(self) -> bool:
        """Whether a process of it runs, be it stopped."""
        return self.process is not None and self.process.returncode is None


@dataclass(slots=True)
class Fleet:
    """All processes, and who is told of their ends."""

    folder: Path
    now: Callable[[], float]
    sink: Sink
    on_exit: Callable[[str], None]
    on_ready: Callable[[str], None]
    members: dict[str, Member] = field(default_factory=dict)
    _start_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    def add(
        self,
        name: str,
        command: str,
        config: dict[str, Any],
        environment: dict[str, str],
        limits: ProcessLimits,
    ) -> Member:
        """A process that is not started yet; its folder is made."""
        folder = self.folder / name
        member = Member(name, command, folder, environment, config, limits)
        member.state_folder.mkdir(parents=True)
        self.members[name] = member
        return member

    async def start(self, member: Member) -> None:
        """One more life of a process."""
        member.end_requested = member.is_ready = member.reload_when_ready = False
        shutil.rmtree(member.tmp_folder, ignore_errors=True)
        member.tmp_folder.mkdir()
        member.process = await self._launch(member)
        self._start_watching(member, member.process)

    async def replace(
        self, member: Member, says_yes: Callable[[], Awaitable[bool]], wait_s: float, patience_s: float
    ) -> None:
        """Start the next process of a member beside the one that serves; end that once the next says yes.

        SIGTERM follows the yes after ``wait_s``, SIGKILL that after ``patience_s``. A next process that does
        not say yes is left for who reads the history.
        """
        old, watcher = member.process, member.watcher
        assert old is not None
        self.measure_cpu_s(member, last=True)
        new = member.replacement = await self._launch(member)
        life, until_s = member.life, self.now() + READY_TIMEOUT_S
        while not await says_yes():
            if new.returncode is not None or self.now() > until_s:
                self.sink(Process(self.now(), member.name, life, "exit", new.returncode or 0, asked=False))
                return
            await asyncio.sleep(POLL_S)
        member.process, member.replacement = new, None
        self._start_watching(member, new)
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
        path = self._write_config(member)
        environment = os.environ | {
            "ROUTER_CONFIG": str(path), "ROUTER_STATE": str(member.state_folder), "TMPDIR": str(member.tmp_folder),
            "PYTHONUNBUFFERED": "1", **member.environment,
        }  # fmt: skip
        passed = [] if member.passed_socket is None else [member.passed_socket.fileno()]
        if passed:
            environment["ROUTER_PASSED_SOCKET"] = str(passed[0])
        async with self._start_lock:
            with member.log_file.open("ab") as log:
                process = await asyncio.create_subprocess_exec(
                    *("/bin/sh", "-c", member.command),
                    cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                    start_new_session=True, preexec_fn=child_setup(member.limits, os.getpid()), pass_fds=passed,
                )  # fmt: skip
            await asyncio.sleep(START_PAUSE_S)  # a fork stops the loop for some milliseconds
        self.sink(Process(self.now(), member.name, member.life, "start"))
        return process

    def _start_watching(self, member: Member, process: asyncio.subprocess.Process) -> None:
        """Wait for a process's end beside all else."""
        watch = self._watch(member, process, member.life)
        member.watcher = asyncio.get_running_loop().create_task(watch)

    def _write_config(self, member: Member) -> Path:
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
        async with member.change_lock:
            self._write_config(member)
            member.reload_when_ready = not member.is_ready
            if member.is_ready:
                self.signal(member, signal.SIGHUP)

    async def _watch(self, member: Member, process: asyncio.subprocess.Process, life: int) -> None:
        code = await process.wait()
        if member.process is not process:  # replaced: the relay goes on
            self.sink(Process(self.now(), member.name, life, "exit", code))
            return
        member.is_ready = False
        self.on_exit(member.name)
        self.sink(Process(self.now(), member.name, life, "exit", code, member.end_requested))

    async def wait_ready(self, member: Member, answers: Callable[[Member], Any]) -> None:
        """Wait until a process answers; ``FleetError`` with its last word where it does not."""
        life, until_s = member.life, self.now() + READY_TIMEOUT_S
        while self.now() < until_s and member.is_alive and member.life == life:
            if await answers(member):
                member.is_ready = True
                self.sink(Process(self.now(), member.name, life, "ready"))
                if member.reload_when_ready:
                    member.reload_when_ready = False
                    self.signal(member, signal.SIGHUP)
                self.on_ready(member.name)
                return
            await asyncio.sleep(POLL_S)
        if member.life != life or member.end_requested:
            return  # a fault came in between
        lines = member.log_file.read_text(errors="replace").strip().splitlines()
        raise FleetError(f"{member.name} does not answer: {lines[-1] if lines else 'it said nothing'}")

    def signal(self, member: Member, number: signal.Signals) -> None:
        """Send a signal to a process, where it runs."""
        if member.is_alive and member.process is not None:
            member.process.send_signal(number)

    async def kill(self, member: Member) -> None:
        """SIGKILL, and wait for the end."""
        member.end_requested = True
        if not member.is_alive:
            return
        self.measure_cpu_s(member, last=True)
        self.signal(member, signal.SIGKILL)
        assert member.process is not None
        await member.process.wait()
        if member.watcher is not None:
            await member.watcher

    async def terminate(self, member: Member, patience_s: float) -> None:
        """SIGTERM, and SIGKILL to one that is still there after that time."""
        member.end_requested = True
        if not member.is_alive:
            return
        assert member.process is not None
        self.measure_cpu_s(member, last=True)
        self.signal(member, signal.SIGTERM)
        try:
            async with asyncio.timeout(patience_s):
                await asyncio.shield(member.process.wait())
        except TimeoutError:
            await self.kill(member)
        if member.watcher is not None:
            await member.watcher

    def clear_state(self, member: Member) -> None:
        """The machine is lost: the folder is empty at the next start."""
        shutil.rmtree(member.state_folder)
        member.state_folder.mkdir()

    async def stop_and_go(self, member: Member, share: float, until: asyncio.Event) -> None:
        """Stop-and-go: the process runs in so large a part of the time until it is to end."""
        try:
            while not until.is_set():
                self.signal(member, signal.SIGSTOP)
                await asyncio.sleep(STOP_AND_GO_PERIOD_S * (1 - share))
                self.signal(member, signal.SIGCONT)
                await asyncio.sleep(STOP_AND_GO_PERIOD_S * share)
        finally:
            self.signal(member, signal.SIGCONT)

    def set_limits(self, member: Member, descriptors: int, file_bytes: int) -> None:
        """Change the limits of a process that runs; 0 leaves one as it is."""
        if not member.is_alive or member.process is None:
            return
        for name, value in ((resource.RLIMIT_NOFILE, descriptors), (resource.RLIMIT_FSIZE, file_bytes)):
            if value:
                _, hard = resource.prlimit(member.process.pid, name)
                resource.prlimit(member.process.pid, name, (value, hard))

    def reset_limits(self, member: Member) -> None:
        """Its usual limits again."""
        self.set_limits(member, member.limits.sockets, member.limits.file_bytes or MAX_LOG_BYTES)

    def measure_cpu_s(self, member: Member, last: bool = False) -> float:
        """Processor seconds of all its lives so far; ``last`` keeps those of a life that is about to end."""
        if not member.is_alive or member.process is None:
            return member.past_lives_cpu_s
        try:
            stat = Path(f"/proc/{member.process.pid}/stat").read_text().rpartition(")")[2].split()
            peak_mb = peak_memory_mb(member.process.pid)
        except OSError:
            return member.past_lives_cpu_s
        used_s = (int(stat[11]) + int(stat[12])) / CLOCK_TICKS_PER_S
        member.peak_mb = max(member.peak_mb, peak_mb)
        if last:
            member.past_lives_cpu_s += used_s
            return member.past_lives_cpu_s
        return member.past_lives_cpu_s + used_s

    async def stop(self) -> None:
        """End every process, and say what it used."""
        for member in self.members.values():
            cpu_s = self.measure_cpu_s(member)
            self.sink(Used(self.now(), member.name, round(cpu_s, 3), round(member.peak_mb, 1)))
        for member in self.members.values():
            if member.replacement is not None and member.replacement.returncode is None:
                member.replacement.kill()
                await member.replacement.wait()
        await asyncio.gather(*(self.kill(member) for member in self.members.values()))
        for member in self.members.values():
            if member.passed_socket is not None:
                member.passed_socket.close()


def peak_memory_mb(pid: int) -> float:
    """The most memory that a process held; 0 where the system does not tell, ``OSError`` where it is gone."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next((int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM")), 0.0)


def die_with_parent(parent: int) -> None:
    """Have the system end this process with its parent, whatever becomes of that."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:  # it ended in between
        os._exit(1)


def child_setup(limits: ProcessLimits, parent: int) -> Callable[[], None]:
    """What a child does before it becomes its program: it dies with the lab, and keeps within its limits."""

    def prepare() -> None:
        die_with_parent(parent)
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(limits.sockets, hard), hard))
        _, most = resource.getrlimit(resource.RLIMIT_FSIZE)
        resource.setrlimit(resource.RLIMIT_FSIZE, (limits.file_bytes or MAX_LOG_BYTES, most))
        resource.setrlimit(resource.RLIMIT_CORE, (0, 0))

    return prepare
