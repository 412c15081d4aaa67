"""One play: a relay process of one checkout, the stand-ins around it, and what it used up in a window.

Clients, endpoints and discovery are scripted stand-ins. They run in the tool's own process, so that
their cost and the relay's are told apart by the system's accounting.
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
from tools.cost.reading import LOOK_S, CostError, Figures, Probe, Strace, Taken, taken

READY_S = 20.0  # s for the first answer of a relay
PATIENCE_S = 120.0  # s for one play
ANSWER_S = 0.02  # s that a usual endpoint takes
SETTLE_S = 0.2  # s in which a relay notes what it was answered
LEAST_CALLS = 0.1  # of one name in the unit, below which it has no figure of its own
CONNECTIONS = 8  # of clients that hand in at the same time


@dataclass(frozen=True, slots=True)
class Checkout:
    """A revision of the project that can be run."""

    name: str
    root: Path
    run: str  # the deploy file's command


def checkout(name: str, root: Path) -> Checkout:
    """A built folder; ``CostError`` where its deploy file tells no command to run."""
    try:
        run = tomllib.loads((root / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
    except (OSError, tomllib.TOMLDecodeError, KeyError) as error:
        raise CostError(f"{name}: no build to run: {error!r}") from error
    return Checkout(name, root, str(run))


class Surroundings(World):
    """The scripted world around a relay that is started as the platform would start it."""

    def __init__(self, folder: Path, source: Checkout, more: dict[str, str]) -> None:
        super().__init__(folder)
        self._source, self._more = source, more
        self.settings = settings_json(open_cap=1200)
        self.settings["domain"] |= {"calls_out": 64}
        self.log = folder / "log"

    def environment(self) -> dict[str, str]:
        """What the deployment tells, and what loads the probe."""
        return super().environment() | self._more

    async def spawn(self) -> asyncio.subprocess.Process:
        """Start ``run`` of the measured checkout; the log goes to a file, as a read of it would cost here."""
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

    async def ready(self) -> Client:
        """Start the relay; a client once it has answered ``+PONG``, or ``CostError``."""
        process = await self.spawn()
        until_s = time.monotonic() + READY_S
        while time.monotonic() < until_s and process.returncode is None:
            try:
                client = Client(*await asyncio.open_connection(self.address, self.port))
            except OSError:
                await asyncio.sleep(LOOK_S)
                continue
            if await client.command(b"PING") == b"+PONG":
                return client
        lines = self.log.read_text(errors="replace").strip().splitlines()
        last = lines[-1] if lines else "it said nothing"
        raise CostError(f"{self._source.name}: the relay does not start: {last}")


class Play:
    """One scenario's world and its window of measurement; ``counted`` plays give counts in place of times."""

    def __init__(self, source: Checkout, folder: Path, counted: bool) -> None:
        self.counted = counted
        self._probe = Probe(folder / "probe")
        self.world = Surroundings(folder, source, self._probe.environment if counted else {})
        self._strace = Strace(folder / "strace")
        self.ended: set[str] = set()  # messages that endpoints answered as delivered
        self.figures: Figures = {}
        self._before: Taken | None = None
        self._begun: tuple[float, float, Figures] = (0.0, 0.0, {})

    @property
    def pid(self) -> int:
        """The relay's process: the shell has become it."""
        assert self.world.process is not None
        return self.world.process.pid

    def served(self, delay_s: float = ANSWER_S) -> Callable[[Request], None]:
        """An endpoint's reply that delivers everything in the call after a while."""

        def answer(request: Request) -> None:
            self.ended.update(request.refs)
            deliver_all(request)

        def reply(request: Request) -> None:
            asyncio.get_running_loop().call_later(delay_s, answer, request)

        return reply

    async def begin(self) -> None:
        """What the relay uses from here on counts."""
        inside: Figures = {}
        if self.counted:
            inside = await self._probe.read(self.pid)
            await self._strace.start(self.pid)
        self._begun = (time.monotonic(), time.process_time(), inside)
        self._before = taken(self.pid)

    async def end(self, messages: int = 0, kept: int = 0, kept_name: str = "") -> None:
        """The window is over: its figures, by message where some ended in it, else by second.

        ``kept`` things of a kind, held messages or connections, have come up in it and are still there.
        """
        after, before = taken(self.pid), self._before
        assert before is not None
        begun_s, own_s, inside = self._begun
        span_s = time.monotonic() - begun_s
        per, unit = (messages, "message") if messages else (span_s, "second")
        if self.counted:
            await self._count(inside, per, unit, kept, kept_name)
            return
        self.figures |= {
            f"cpu_us_per_{unit}": (after.cpu_us - before.cpu_us) / per,
            f"system_cpu_us_per_{unit}": (after.system_us - before.system_us) / per,
            f"sleeps_per_{unit}": (after.sleeps - before.sleeps) / per,
            f"standins_cpu_us_per_{unit}": (time.process_time() - own_s) * 1e6 / per,
            "memory_grown_kb": after.memory_kb - before.memory_kb,
            "peak_memory_kb": after.peak_memory_kb,
            "descriptors": after.descriptors,
        }
        if kept:
            self.figures[f"memory_bytes_per_{kept_name}"] = (after.memory_kb - before.memory_kb) * 1024 / kept

    async def _count(self, inside: Figures, per: float, unit: str, kept: int, kept_name: str) -> None:
        calls = await self._strace.stop()
        told = await self._probe.read(self.pid)
        grown = {name: value - inside[name] for name, value in told.items()}
        if calls:
            self.figures[f"system_calls_per_{unit}"] = sum(calls.values()) / per
            usual = {name: count / per for name, count in calls.items() if count / per >= LEAST_CALLS}
            self.figures |= {f"system_calls_per_{unit}: {name}": count for name, count in usual.items()}
        self.figures |= {
            f"python_calls_per_{unit}": told["python_calls"] / per,
            f"journal_writes_per_{unit}": grown["journal_writes"] / per,
            f"journal_bytes_per_{unit}": grown["journal_bytes"] / per,
            f"python_blocks_kept_per_{unit}": grown["python_blocks"] / per,
            "python_peak_grown_bytes": told["python_peak_bytes"] - inside["python_bytes"],
        }
        if kept:
            self.figures[f"python_bytes_per_{kept_name}"] = grown["python_bytes"] / kept

    def keep_profile(self, path: Path) -> None:
        """Copy the profile of the last window, where one was taken."""
        if self._probe.profile.exists():
            shutil.copyfile(self._probe.profile, path)

    def started(self, cpu_us: float) -> None:
        """The figures of a start: all that the process has used until its first answer."""
        now = taken(self.pid)
        self.figures |= {
            "cpu_us_to_pong": cpu_us,
            "peak_memory_kb": now.peak_memory_kb,
            "descriptors": now.descriptors,
        }

    async def clients(self, count: int = CONNECTIONS) -> list[Client]:
        """Clients' connections."""
        return [await self.world.connect_client() for _ in range(count)]

    async def hand_in(
        self, names: list[str], every_s: float, dests: Sequence[int] = (1,), body: bytes = b"hello"
    ) -> None:
        """Hand messages in at an even pace, in turn for each destination, one out on a connection."""
        clients = await self.clients()
        loop = asyncio.get_running_loop()
        start_s = loop.time()

        async def lane(number: int) -> None:
            for at in range(number, len(names), len(clients)):
                await asyncio.sleep(max(0.0, start_s + at * every_s - loop.time()))
                words = enqueue_words(names[at], "safe", 30_000, dests[at % len(dests)], body)
                answer = await clients[number].send_raw(encode_command(*words))
                if answer != b"+OK":
                    raise CostError(f"the relay did not take {names[at]} on: {answer!r}")

        await asyncio.gather(*(lane(number) for number in range(len(clients))))
        for client in clients:
            client.writer.close()

    async def until(self, enough: Callable[[], bool]) -> None:
        """Wait until the stand-ins have seen enough."""
        while not enough():
            await asyncio.sleep(LOOK_S)

    async def all_over(self, names: list[str]) -> None:
        """Wait until each of these is delivered or noticed, and the relay has had a moment to note it."""
        notices = self.world.discovery.notices
        await self.until(lambda: self.ended.union(n["ref"] for n in notices).issuperset(names))
        await asyncio.sleep(SETTLE_S)


Scenario = Callable[[Play], Coroutine[Any, Any, None]]


async def played(source: Checkout, scenario: Scenario, counted: bool, profile: Path | None = None) -> Figures:
    """The figures of one play, and its profile as a file; no process and no folder stays behind."""
    with tempfile.TemporaryDirectory(prefix="cost-") as folder:
        play = Play(source, Path(folder), counted)
        await play.world.start()
        try:
            async with asyncio.timeout(PATIENCE_S):
                await scenario(play)
            if profile is not None:
                play.keep_profile(profile)
        except TimeoutError as error:
            raise CostError(f"{source.name}: the play did not end within {PATIENCE_S:.0f} s") from error
        finally:
            await play.world.stop()
    return play.figures
