"""One play: a relay process of a checkout, stand-ins around it, and its resource usage in a time window.

Clients, endpoints and discovery are scripted stand-ins in the tool's own process, so that the system accounts
for their cost separately from the relay's.
"""

from __future__ import annotations

import asyncio
import shutil
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.scripted import (
    Client,
    Request,
    World,
    deliver_all,
    encode_command,
    enqueue_words,
    settings_json,
)
from tools.cost.reading import POLL_INTERVAL_S, CostError, Figures, Probe, Strace, Usage, read_usage

START_TIMEOUT_S = 20.0  # from the start of a relay to its first answer
PLAY_TIMEOUT_S = 120.0
ANSWER_DELAY_S = 0.02  # of an ordinary endpoint
SETTLE_S = 0.2  # in which a relay records the last answers that it got
MIN_CALLS_PER_UNIT = 0.1  # system calls of one name that are rarer have no figure of their own
CLIENT_CONNECTIONS = 8  # that send messages in parallel


@dataclass(frozen=True, slots=True)
class Checkout:
    """A folder with a built revision of the project."""

    name: str
    root: Path
    run: str  # the shell command in its deploy file


def load_checkout(name: str, root: Path) -> Checkout:
    """Return the checkout in a folder; raises ``CostError`` if its deploy file has no ``run`` command."""
    try:
        run = tomllib.loads((root / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
    except (OSError, tomllib.TOMLDecodeError, KeyError) as error:
        raise CostError(f"{name}: no build to run: {error!r}") from error
    return Checkout(name, root, str(run))


class MeasuredWorld(World):
    """The stand-ins around a relay that is started as the platform would start it."""

    def __init__(self, folder: Path, source: Checkout, probe_environment: dict[str, str]) -> None:
        super().__init__(folder)
        self._source, self._probe_environment = source, probe_environment
        self.settings = settings_json(open_cap=1200)
        self.settings["domain"] |= {"calls_out": 64}
        self.log = folder / "log"

    def environment(self) -> dict[str, str]:
        """Return the variables that the platform sets, and those that load the probe."""
        return super().environment() | self._probe_environment

    async def spawn(self) -> asyncio.subprocess.Process:
        """Start the checkout's ``run`` command; it logs to a file, as reading a pipe would cost time here."""
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("/bin/sh", "-c", self._source.run),
                cwd=self._source.root,
                env=self.environment(),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes.append(self.process)
        return self.process

    async def start_relay(self) -> Client:
        """Start the relay; returns a client once it has answered ``+PONG``, or raises ``CostError``."""
        process = await self.spawn()
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s and process.returncode is None:
            try:
                client = Client(*await asyncio.open_connection(self.address, self.port))
            except OSError:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            if await client.command(b"PING") == b"+PONG":
                return client
        lines = self.log.read_text(errors="replace").strip().splitlines()
        last_line = lines[-1] if lines else "it logged nothing"
        raise CostError(f"{self._source.name}: the relay does not start: {last_line}")


class Play:
    """One run of a scenario. A ``counted`` one loads the probe and gives counts in place of times."""

    def __init__(self, source: Checkout, folder: Path, counted: bool) -> None:
        self.counted = counted
        self._probe = Probe(folder / "probe")
        self.world = MeasuredWorld(folder, source, self._probe.environment if counted else {})
        self._strace = Strace(folder / "strace")
        self.delivered_refs: set[str] = set()  # ids of messages that endpoints answered as delivered
        self.figures: Figures = {}
        self._usage_before: Usage | None = None
        # Monotonic time in s, processor time of the tool in s, and the probe's counts.
        self._window_start: tuple[float, float, Figures] = (0.0, 0.0, {})

    @property
    def pid(self) -> int:
        """The relay's process id, which is the shell's: ``run`` replaces the shell by the relay."""
        assert self.world.process is not None
        return self.world.process.pid

    def delivering_reply(self, delay_s: float = ANSWER_DELAY_S) -> Callable[[Request], None]:
        """Return an endpoint's reply function, which answers all messages as delivered after a delay."""

        def answer(request: Request) -> None:
            self.delivered_refs.update(request.refs)
            deliver_all(request)

        def reply(request: Request) -> None:
            asyncio.get_running_loop().call_later(delay_s, answer, request)

        return reply

    async def begin_window(self) -> None:
        """Start the window of measurement."""
        probe_counts: Figures = {}
        if self.counted:
            probe_counts = await self._probe.read(self.pid)
            await self._strace.start(self.pid)
        self._window_start = (time.monotonic(), time.process_time(), probe_counts)
        self._usage_before = read_usage(self.pid)

    async def end_window(self, messages: int = 0, kept: int = 0, kept_name: str = "") -> None:
        """End the window and record its figures: per message if ``messages`` is given, else per second.

        ``kept`` is the number of held messages or connections, named by ``kept_name``, that were added in the
        window and still exist; memory is also divided by it.
        """
        after, before = read_usage(self.pid), self._usage_before
        assert before is not None
        start_s, own_cpu_s, probe_counts = self._window_start
        window_s = time.monotonic() - start_s
        per, unit = (messages, "message") if messages else (window_s, "second")
        if self.counted:
            await self._record_counts(probe_counts, per, unit, kept, kept_name)
            return
        self.figures |= {
            f"cpu_us_per_{unit}": (after.cpu_us - before.cpu_us) / per,
            f"system_cpu_us_per_{unit}": (after.system_us - before.system_us) / per,
            f"sleeps_per_{unit}": (after.sleeps - before.sleeps) / per,
            f"standins_cpu_us_per_{unit}": (time.process_time() - own_cpu_s) * 1e6 / per,
            "memory_grown_kb": after.memory_kb - before.memory_kb,
            "peak_memory_kb": after.peak_memory_kb,
            "descriptors": after.descriptors,
        }
        if kept:
            self.figures[f"memory_bytes_per_{kept_name}"] = (after.memory_kb - before.memory_kb) * 1024 / kept

    async def _record_counts(
        self, counts_before: Figures, per: float, unit: str, kept: int, kept_name: str
    ) -> None:
        calls = await self._strace.stop()
        counts = await self._probe.read(self.pid)
        grown = {name: value - counts_before[name] for name, value in counts.items()}
        if calls:
            self.figures[f"system_calls_per_{unit}"] = sum(calls.values()) / per
            frequent = {
                name: count / per for name, count in calls.items() if count / per >= MIN_CALLS_PER_UNIT
            }
            self.figures |= {f"system_calls_per_{unit}: {name}": count for name, count in frequent.items()}
        self.figures |= {
            f"python_calls_per_{unit}": counts["python_calls"] / per,
            f"journal_writes_per_{unit}": grown["journal_writes"] / per,
            f"journal_bytes_per_{unit}": grown["journal_bytes"] / per,
            f"python_blocks_kept_per_{unit}": grown["python_blocks"] / per,
            "python_peak_grown_bytes": counts["python_peak_bytes"] - counts_before["python_bytes"],
        }
        if kept:
            self.figures[f"python_bytes_per_{kept_name}"] = grown["python_bytes"] / kept

    def keep_profile(self, path: Path) -> None:
        """Copy the profile of the last window, if there is one."""
        if self._probe.profile.exists():
            shutil.copyfile(self._probe.profile, path)

    def record_start(self, cpu_us: float) -> None:
        """Record the figures of a start; ``cpu_us`` is what the process used until its first answer."""
        usage = read_usage(self.pid)
        self.figures |= {
            "cpu_us_to_pong": cpu_us,
            "peak_memory_kb": usage.peak_memory_kb,
            "descriptors": usage.descriptors,
        }

    async def open_clients(self, count: int = CLIENT_CONNECTIONS) -> list[Client]:
        """Open client connections to the relay."""
        return [await self.world.connect_client() for _ in range(count)]

    async def send_messages(
        self, names: list[str], every_s: float, dests: Sequence[int] = (1,), body: bytes = b"hello"
    ) -> None:
        """Send messages ``every_s`` apart, to the destinations in rotation.

        Each connection has at most one unanswered message. Raises ``CostError`` if the relay refuses one.
        """
        clients = await self.open_clients()
        loop = asyncio.get_running_loop()
        start_s = loop.time()

        async def send_from(number: int) -> None:
            for index in range(number, len(names), len(clients)):
                await asyncio.sleep(max(0.0, start_s + index * every_s - loop.time()))
                words = enqueue_words(names[index], "safe", 30_000, dests[index % len(dests)], body)
                answer = await clients[number].send_raw(encode_command(*words))
                if answer != b"+OK":
                    raise CostError(f"the relay did not accept {names[index]}: {answer!r}")

        await asyncio.gather(*(send_from(number) for number in range(len(clients))))
        for client in clients:
            client.writer.close()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition on what the stand-ins have seen holds."""
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_ended(self, names: list[str]) -> None:
        """Wait until each message was delivered or has a notice, and the relay had time to record that."""
        notices = self.world.discovery.notices
        await self.wait_until(lambda: self.delivered_refs.union(n["ref"] for n in notices).issuperset(names))
        await asyncio.sleep(SETTLE_S)


Scenario = Callable[[Play], Coroutine[Any, Any, None]]


async def run_play(
    source: Checkout, scenario: Scenario, counted: bool, profile: Path | None = None
) -> Figures:
    """Run a scenario; returns its figures and writes its profile to a file if one is given.

    All processes and temporary folders are removed. Raises ``CostError`` after ``PLAY_TIMEOUT_S``.
    """
    with tempfile.TemporaryDirectory(prefix="cost-") as folder:
        play = Play(source, Path(folder), counted)
        await play.world.start()
        try:
            async with asyncio.timeout(PLAY_TIMEOUT_S):
                await scenario(play)
            if profile is not None:
                play.keep_profile(profile)
        except TimeoutError as error:
            raise CostError(f"{source.name}: the play did not end within {PLAY_TIMEOUT_S:.0f} s") from error
        finally:
            await play.world.stop()
    return play.figures
