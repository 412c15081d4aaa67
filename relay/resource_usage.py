"""What this process costs: processor time, memory, descriptors and journal bytes, for operators and the log.

It owns no fact of the relay: the parts that do tell it what they counted when it is read. It looks at itself
through the system's accounting, and leaves out what a platform does not tell. Only where operators can ask
does it tick, once a second, for the window and for the lag of the event loop.
"""

from __future__ import annotations

import asyncio
import os
import re
import resource
import time
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path

SAMPLE_INTERVAL_S = 1.0  # s between looks at the loop's lag
WINDOW_SAMPLES = 10  # looks that a window holds
PROC_SELF = Path("/proc/self")
MEMORY_PATTERN = re.compile(r"^(VmRSS|VmHWM):\s+(\d+) kB", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class RelayCounters:
    """What the relay's parts have counted since the start of the process, and hold open now."""

    ended_messages: int  # messages that had their end, refusals at the door too
    module_us: int  # in steps of the decision module
    journal_bytes: int
    journal_writes: int
    descriptors: Mapping[str, int]  # by purpose
    calls: Mapping[str, int] = field(default_factory=dict)  # out now, by who counts them
    ended_clients: Mapping[str, int] = field(
        default_factory=dict
    )  # clients' connections ended here, by reason
    refused_messages: Mapping[str, int] = field(default_factory=dict)  # messages not taken on, by reason


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What the system says that the process has used; None: it does not say."""

    user_us: int
    system_us: int
    resident_bytes: int | None
    max_resident_bytes: int | None
    descriptors: int | None

    @property
    def cpu_us(self) -> int:
        """Processor time, in the program and in the system for it."""
        return self.user_us + self.system_us


@dataclass(frozen=True, slots=True)
class Sample:
    """The sums at one moment, from which a window is counted."""

    at_us: int
    cpu_us: int
    ended_messages: int


def read_memory_bytes(proc: Path) -> dict[str, int]:
    """Bytes of memory by the system's name for them.

    ``getrusage`` will not do for the most: it goes on with that of whoever started the process.
    """
    try:
        found = MEMORY_PATTERN.findall((proc / "status").read_text())
    except OSError:
        return {}
    return {name: int(kilobytes) * 1024 for name, kilobytes in found}


def count_descriptors(proc: Path) -> int | None:
    """Open descriptors, without the one that the look itself takes."""
    try:
        return len(os.listdir(proc / "fd")) - 1
    except OSError:
        return None


def read_process_usage(proc: Path = PROC_SELF) -> ProcessUsage:
    """Ask the system; no call waits for anything, and the longest walks as many descriptors as are open."""
    taken = resource.getrusage(resource.RUSAGE_SELF)
    memory = read_memory_bytes(proc)
    return ProcessUsage(
        user_us=int(taken.ru_utime * 1e6),
        system_us=int(taken.ru_stime * 1e6),
        resident_bytes=memory.get("VmRSS"),
        max_resident_bytes=memory.get("VmHWM"),
        descriptors=count_descriptors(proc),
    )


def divide_or_none(amount: int, number: int) -> int | None:
    """An amount by message; nothing is known of it where none ended."""
    return amount // number if number > 0 else None


def compute_figures(
    counted: RelayCounters, system: ProcessUsage, since: Sample | None, lags_us: tuple[int, ...], now_us: int
) -> Iterator[tuple[str, int, str]]:
    """Each figure's name, value and kind: ``c`` counts from the process's start, ``g`` is as it is now."""
    cpu_us, ended = system.cpu_us, counted.ended_messages
    rest = None if system.descriptors is None else system.descriptors - sum(counted.descriptors.values())
    told: list[tuple[str, int | None, str]] = [
        ("processor.user_us", system.user_us, "c"),
        ("processor.system_us", system.system_us, "c"),
        ("processor.module_us", counted.module_us, "c"),
        ("processor.other_us", max(0, cpu_us - counted.module_us), "c"),
        ("processor.us_per_message", divide_or_none(cpu_us, ended), "g"),
        ("memory.resident_bytes", system.resident_bytes, "g"),
        ("memory.most_resident_bytes", system.max_resident_bytes, "g"),
        ("descriptors.open", system.descriptors, "g"),
        *((f"descriptors.{purpose}", count, "g") for purpose, count in counted.descriptors.items()),
        ("descriptors.rest", None if rest is None else max(0, rest), "g"),
        *((f"calls.{name}", count, "g") for name, count in counted.calls.items()),
        *((f"clients.ended.{why}", count, "c") for why, count in counted.ended_clients.items()),
        *((f"clients.refused.{why}", count, "c") for why, count in counted.refused_messages.items()),
        ("messages.ended", ended, "c"),
        ("journal.bytes", counted.journal_bytes, "c"),
        ("journal.writes", counted.journal_writes, "c"),
        ("journal.bytes_per_message", divide_or_none(counted.journal_bytes, ended), "g"),
    ]
    if since is not None:
        spent, in_window = cpu_us - since.cpu_us, ended - since.ended_messages
        told += [
            ("window.length_us", now_us - since.at_us, "g"),
            ("window.messages_ended", in_window, "g"),
            ("window.processor_us", spent, "g"),
            ("window.processor_us_per_message", divide_or_none(spent, in_window), "g"),
        ]
    if lags_us:
        told += [
            ("window.loop_lag_us", sum(lags_us) // len(lags_us), "g"),
            ("window.most_loop_lag_us", max(lags_us), "g"),
        ]
    return ((name, value, kind) for name, value, kind in told if value is not None)


class CostReporter:
    """Ticks where it is asked to, and tells the figures of this process."""

    def __init__(self, counted: Callable[[], RelayCounters], proc: Path = PROC_SELF) -> None:
        self._read_counters, self._proc = counted, proc
        self._samples: deque[Sample] = deque(maxlen=WINDOW_SAMPLES)  # the oldest begins the window
        self._lags_us: deque[int] = deque(maxlen=WINDOW_SAMPLES)
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to look at the loop's lag, and keep a window."""
        self._take_sample()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SAMPLE_INTERVAL_S, self._tick, loop.time() + SAMPLE_INTERVAL_S)

    def close(self) -> None:
        """Tick no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _tick(self, due_s: float) -> None:
        """How much later than asked for the loop came here is what every other event waited too."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        self._lags_us.append(max(0, int((now_s - due_s) * 1e6)))
        self._take_sample()
        self._timer = loop.call_at(now_s + SAMPLE_INTERVAL_S, self._tick, now_s + SAMPLE_INTERVAL_S)

    def _take_sample(self) -> None:
        taken = resource.getrusage(resource.RUSAGE_SELF)
        cpu_us = int((taken.ru_utime + taken.ru_stime) * 1e6)
        self._samples.append(
            Sample(time.monotonic_ns() // 1000, cpu_us, self._read_counters().ended_messages)
        )

    def lines(self) -> list[str]:
        """The figures in the operators' form, one a line."""
        return [f"cost.{name}:{value}|{kind}" for name, value, kind in self._current_figures()]

    def summary(self) -> str:
        """The same on one line, for the log."""
        return ", ".join(f"{name} {value}" for name, value, _ in self._current_figures())

    def _current_figures(self) -> Iterator[tuple[str, int, str]]:
        since = self._samples[0] if self._samples else None
        now_us = time.monotonic_ns() // 1000
        return compute_figures(
            self._read_counters(), read_process_usage(self._proc), since, tuple(self._lags_us), now_us
        )
