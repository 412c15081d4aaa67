"""Processes of a fleet. The lab starts them as the platform does, and they never outlive the lab."""

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
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.records import Process, Sink, Used
from standins.scripted import ROOT

PR_SET_PDEATHSIG = 1  # prctl(2) of Linux: the signal that a child gets when the thread that made it ends
LIBC = ctypes.CDLL(None, use_errno=True)
BUILD_TIMEOUT_S = 600.0  # for the build command of the deploy file
READY_TIMEOUT_S = 30.0  # for a process to answer after its start
POLL_S = 0.03  # between two questions whether a process is ready
MAX_LOG_BYTES = 8 * 1024 * 1024  # of one process's log; a process that writes more is cut off there
START_PAUSE_S = 0.01  # between two starts, so that the event loop of the lab can do other work
STOP_AND_GO_PERIOD_S = 0.05  # of the fault "slow", which stops and continues a process in turn
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class FleetError(RuntimeError):
    """A fleet that cannot be started."""


def deploy_command(root: Path = ROOT) -> str:
    """Run the deploy file's build and return its command for one relay; raise ``FleetError`` on failure."""
    try:
        deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        run, build = str(deploy["run"]), str(deploy["build"])
    except (OSError, tomllib.TOMLDecodeError, KeyError) as error:
        raise FleetError(f"deploy/balancer.toml: {error!r}") from error
    try:
        done = subprocess.run(
            ["/bin/sh", "-c", build],
            cwd=root,
            capture_output=True,
            text=True,
            timeout=BUILD_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired as error:
        raise FleetError(f"the build did not end within {BUILD_TIMEOUT_S:.0f} s") from error
    if done.returncode:
        raise FleetError(f"the build failed: {(done.stderr.strip().splitlines() or ['no output'])[-1]}")
    return run


def module_command(module: str) -> str:
    """Return the command that runs a module of the project with this process's interpreter."""
    return f"exec {sys.executable} -m {module}"


@dataclass(slots=True)
class ProcessLimits:
    """The resource limits of a process."""

    sockets: int = 1024  # open files (RLIMIT_NOFILE)
    file_bytes: int = 0  # the largest file that it may write; 0: MAX_LOG_BYTES


@dataclass(slots=True)
class Member:
    """A member of a fleet: a process through all its lives."""

    name: str
    command: str
    folder: Path
    environment: dict[str, str]
    config: dict[str, Any]
    limits: ProcessLimits
    process: asyncio.subprocess.Process | None = None
    life: int = 0  # number of its last started process, from 1
    end_requested: bool = False  # whether the lab asked for the end of this life
    past_lives_cpu_s: float = 0.0  # processor time of its lives that are over
    peak_mb: float = 0.0  # peak resident memory of all lives
    is_ready: bool = False
    reload_when_ready: bool = False  # its configuration changed while it was not ready
    watcher: asyncio.Task[None] | None = None
    replacement: asyncio.subprocess.Process | None = None  # started while the process before still serves
    # held while the process is ended, replaced or reloaded
    change_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    # its listening socket for clients, if the platform holds it for all its processes
    passed_socket: socket.socket | None = None

    @property
    def state_folder(self) -> Path:
        """The folder that is kept from life to life."""
        return self.folder / "state"

    @property
    def tmp_folder(self) -> Path:
        """The folder for temporary files, which each life finds empty."""
        return self.folder / "tmp"

    @property
    def log_file(self) -> Path:
        """The file with the standard output and error of all its lives."""
        return self.folder / "log"

    @property
    def is_alive(self) -> bool:
        """Whether its process exists; a stopped one does."""
        return self.process is not None and self.process.returncode is None


@dataclass(slots=True)
class Fleet:
    """All members; ``on_exit`` and ``on_ready`` get the name of a member that has ended or is ready."""

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
        """Add a member that is not started yet, and create its folder."""
        folder = self.folder / name
        member = Member(name, command, folder, environment, config, limits)
        member.state_folder.mkdir(parents=True)
        self.members[name] = member
        return member

    async def start(self, member: Member) -> None:
        """Start one more life of a member."""
        member.end_requested = member.is_ready = member.reload_when_ready = False
        shutil.rmtree(member.tmp_folder, ignore_errors=True)
        member.tmp_folder.mkdir()
        member.process = await self._launch(member)
        self._start_watching(member, member.process)

    async def replace(
        self, member: Member, is_healthy: Callable[[], Awaitable[bool]], wait_s: float, patience_s: float
    ) -> None:
        """Start a replacement process of a member, and end the old process once the replacement is healthy.

        The old process gets SIGTERM after ``wait_s``, and SIGKILL if it still runs ``patience_s`` later. If
        the replacement ends or is not healthy within ``READY_TIMEOUT_S``, an unrequested exit is recorded for
        it and the old process goes on.
        """
        old_process, old_watcher = member.process, member.watcher
        assert old_process is not None
        self.measure_cpu_s(member, last=True)
        new_process = member.replacement = await self._launch(member)
        life, until_s = member.life, self.now() + READY_TIMEOUT_S
        while not await is_healthy():
            if new_process.returncode is not None or self.now() > until_s:
                self.sink(
                    Process(self.now(), member.name, life, "exit", new_process.returncode or 0, asked=False)
                )
                return
            await asyncio.sleep(POLL_S)
        member.process, member.replacement = new_process, None
        self._start_watching(member, new_process)
        self.sink(Process(self.now(), member.name, life, "ready"))
        await asyncio.sleep(wait_s)
        if old_process.returncode is None:
            old_process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(patience_s):
                    await asyncio.shield(old_process.wait())
            except TimeoutError:
                old_process.kill()
        if old_watcher is not None:
            await old_watcher

    async def _launch(self, member: Member) -> asyncio.subprocess.Process:
        """Start a process of a member; an earlier one may still run."""
        member.life += 1
        path = self._write_config(member)
        environment = os.environ | {
            "ROUTER_CONFIG": str(path), "ROUTER_STATE": str(member.state_folder),
            "TMPDIR": str(member.tmp_folder), "PYTHONUNBUFFERED": "1", **member.environment,
        }  # fmt: skip
        passed_fds = [] if member.passed_socket is None else [member.passed_socket.fileno()]
        if passed_fds:
            environment["ROUTER_PASSED_SOCKET"] = str(passed_fds[0])
        async with self._start_lock:
            with member.log_file.open("ab") as log:
                process = await asyncio.create_subprocess_exec(
                    *("/bin/sh", "-c", member.command),
                    cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                    start_new_session=True, preexec_fn=child_setup(member.limits, os.getpid()),
                    pass_fds=passed_fds,
                )  # fmt: skip
            await asyncio.sleep(START_PAUSE_S)  # a fork blocks the event loop for some milliseconds
        self.sink(Process(self.now(), member.name, member.life, "start"))
        return process

    def _start_watching(self, member: Member, process: asyncio.subprocess.Process) -> None:
        """Start a task that waits for the end of a member's process."""
        watch = self._watch(member, process, member.life)
        member.watcher = asyncio.get_running_loop().create_task(watch)

    def _write_config(self, member: Member) -> Path:
        """Write the configuration of a member's present life, with a seed of its own.

        Each life has a file of its own: overwriting a file may block on the disk, and all of the lab with it.
        """
        path = member.folder / f"config-{member.life}.json"
        seed = f"{member.config.get('seed', '1')}{member.life:02x}"
        path.write_text(json.dumps(member.config | {"seed": seed}), encoding="utf-8")
        return path

    async def reload(self, member: Member) -> None:
        """Write a changed configuration, and send SIGHUP to the process once it is ready.

        This waits while the process is being replaced: the platform signals no process before it is ready.
        """
        async with member.change_lock:
            self._write_config(member)
            member.reload_when_ready = not member.is_ready
            if member.is_ready:
                self.signal(member, signal.SIGHUP)

    async def _watch(self, member: Member, process: asyncio.subprocess.Process, life: int) -> None:
        """Wait for the end of a process and record it."""
        code = await process.wait()
        if member.process is not process:  # it was replaced, and the member goes on
            self.sink(Process(self.now(), member.name, life, "exit", code))
            return
        member.is_ready = False
        self.on_exit(member.name)
        self.sink(Process(self.now(), member.name, life, "exit", code, member.end_requested))

    async def wait_ready(self, member: Member, is_answering: Callable[[Member], Any]) -> None:
        """Wait until a member answers; raise ``FleetError`` with the last line of its log if it does not."""
        life, until_s = member.life, self.now() + READY_TIMEOUT_S
        while self.now() < until_s and member.is_alive and member.life == life:
            if await is_answering(member):
                member.is_ready = True
                self.sink(Process(self.now(), member.name, life, "ready"))
                if member.reload_when_ready:
                    member.reload_when_ready = False
                    self.signal(member, signal.SIGHUP)
                self.on_ready(member.name)
                return
            await asyncio.sleep(POLL_S)
        if member.life != life or member.end_requested:
            return  # a fault ended or restarted it meanwhile
        lines = member.log_file.read_text(errors="replace").strip().splitlines()
        raise FleetError(f"{member.name} does not answer: {lines[-1] if lines else 'its log is empty'}")

    def signal(self, member: Member, number: signal.Signals) -> None:
        """Send a signal to a member's process if it exists."""
        if member.is_alive and member.process is not None:
            member.process.send_signal(number)

    async def kill(self, member: Member) -> None:
        """Kill a member's process and wait for its end."""
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
        """Send SIGTERM to a member's process, and SIGKILL if it still runs after ``patience_s``."""
        member.end_requested = True
        if not member.is_alive:
            return
        assert member.process is not None
        self.measure_cpu_s(member, last=True)
        self.sink(Process(self.now(), member.name, member.life, "terminate"))
        self.signal(member, signal.SIGTERM)
        try:
            async with asyncio.timeout(patience_s):
                await asyncio.shield(member.process.wait())
        except TimeoutError:
            await self.kill(member)
        if member.watcher is not None:
            await member.watcher

    def clear_state(self, member: Member) -> None:
        """Empty the state folder, as after the loss of a machine."""
        shutil.rmtree(member.state_folder)
        member.state_folder.mkdir()

    async def stop_and_go(self, member: Member, share: float, until: asyncio.Event) -> None:
        """Let a process run only for a share of the time, by SIGSTOP and SIGCONT, until an event is set."""
        try:
            while not until.is_set():
                self.signal(member, signal.SIGSTOP)
                await asyncio.sleep(STOP_AND_GO_PERIOD_S * (1 - share))
                self.signal(member, signal.SIGCONT)
                await asyncio.sleep(STOP_AND_GO_PERIOD_S * share)
        finally:
            self.signal(member, signal.SIGCONT)

    def set_limits(self, member: Member, descriptors: int, file_bytes: int) -> None:
        """Change the limits of a running process; a limit of 0 stays as it is."""
        if not member.is_alive or member.process is None:
            return
        for name, value in ((resource.RLIMIT_NOFILE, descriptors), (resource.RLIMIT_FSIZE, file_bytes)):
            with suppress(ProcessLookupError):  # it has ended, and the loop has not reported it yet
                if value:
                    _, hard = resource.prlimit(member.process.pid, name)
                    resource.prlimit(member.process.pid, name, (value, hard))

    def reset_limits(self, member: Member) -> None:
        """Restore the limits that a member started with."""
        self.set_limits(member, member.limits.sockets, member.limits.file_bytes or MAX_LOG_BYTES)

    def measure_cpu_s(self, member: Member, last: bool = False) -> float:
        """Return the processor seconds of all lives of a member so far, and note its peak memory.

        ``last`` says that the present life is about to end: its time is added to that of the past lives.
        """
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
        """Record what each member used, and end all processes."""
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
    """Return the peak resident memory of a process in MB.

    Return 0 if the system does not tell; raise ``OSError`` if the process is gone.
    """
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next((int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM")), 0.0)


def die_with_parent(parent: int) -> None:
    """Have the kernel kill this process when its parent ends, however that happens."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:  # the parent ended before the call of prctl
        os._exit(1)


def child_setup(limits: ProcessLimits, parent: int) -> Callable[[], None]:
    """Return the function that a child runs before its program: it ties it to the lab and sets its limits."""

    def prepare() -> None:
        die_with_parent(parent)
        hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(limits.sockets, hard_limit), hard_limit))
        _, max_file_bytes = resource.getrlimit(resource.RLIMIT_FSIZE)
        resource.setrlimit(resource.RLIMIT_FSIZE, (limits.file_bytes or MAX_LOG_BYTES, max_file_bytes))
        resource.setrlimit(resource.RLIMIT_CORE, (0, 0))

    return prepare
