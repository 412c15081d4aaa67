"""Resource usage of this process, for operators and the log.

The relay's parts count for themselves and are asked for their counters when figures are read. Everything else
comes from the system's accounting; figures that a platform does not provide are left out. If operators can
ask, the event loop's lag and the start of a window are sampled once a second.
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

SAMPLE_INTERVAL_S = 1.0  # seconds between samples
WINDOW_SAMPLES = 10  # samples in a window
PROC_SELF = Path("/proc/self")
MEMORY_PATTERN = re.compile(r"^(VmRSS|VmHWM):\s+(\d+) kB", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class RelayCounters:
    """What the relay's parts have counted since the process started, and what they hold open now."""

    ended_messages: int  # messages with a final outcome, those refused on arrival included
    module_us: int  # processor time in steps of the decision module
    journal_bytes: int
    journal_writes: int
    descriptors: Mapping[str, int]  # open now, by purpose
    calls: Mapping[str, int] = field(default_factory=dict)  # in flight now, by the part that counts them
    outages: Mapping[str, int] = field(default_factory=dict)  # of destinations, by event
    ended_clients: Mapping[str, int] = field(default_factory=dict)  # connections the relay closed, by reason
    refused_messages: Mapping[str, int] = field(default_factory=dict)  # by reason
    deferred_input: int = 0  # how often input of a peer had to wait for its turn


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What the process has used according to the system; None where the system does not provide it."""

    user_us: int
    system_us: int
    resident_bytes: int | None
    max_resident_bytes: int | None
    descriptors: int | None

    @property
    def cpu_us(self) -> int:
        """Processor time in user and system mode together."""
        return self.user_us + self.system_us


@dataclass(frozen=True, slots=True)
class Sample:
    """Totals at one moment; a window's figures are the differences from them."""

    at_us: int
    cpu_us: int
    ended_messages: int


def read_memory_bytes(proc: Path) -> dict[str, int]:
    """Return the resident memory now (VmRSS) and at its maximum (VmHWM), in bytes; empty if unavailable.

    ``getrusage`` cannot be used for the maximum: the value starts at that of the parent process.
    """
    try:
        found = MEMORY_PATTERN.findall((proc / "status").read_text())
    except OSError:
        return {}
    return {name: int(kilobytes) * 1024 for name, kilobytes in found}


def count_descriptors(proc: Path) -> int | None:
    """Return the number of open descriptors, without the one that listing them takes; None if unavailable."""
    try:
        return len(os.listdir(proc / "fd")) - 1
    except OSError:
        return None


def read_process_usage(proc: Path = PROC_SELF) -> ProcessUsage:
    """Return the system's accounting of this process.

    No call blocks; the slowest one takes time in proportion to the number of open descriptors.
    """
    usage = resource.getrusage(resource.RUSAGE_SELF)
    memory = read_memory_bytes(proc)
    return ProcessUsage(
        user_us=int(usage.ru_utime * 1e6),
        system_us=int(usage.ru_stime * 1e6),
        resident_bytes=memory.get("VmRSS"),
        max_resident_bytes=memory.get("VmHWM"),
        descriptors=count_descriptors(proc),
    )


def divide_or_none(amount: int, number: int) -> int | None:
    """Return the amount per item, rounded down; None if there are no items."""
    return amount // number if number > 0 else None


def compute_figures(
    counters: RelayCounters,
    usage: ProcessUsage,
    window_start: Sample | None,
    lags_us: tuple[int, ...],
    now_us: int,
) -> Iterator[tuple[str, int, str]]:
    """Return each figure's name, value and kind.

    The kind is ``c`` for a count since the process started, and ``g`` for a current value. Without
    ``window_start`` or ``lags_us`` the figures that need them are left out.
    """
    cpu_us, ended_messages = usage.cpu_us, counters.ended_messages
    other_descriptors = (
        None if usage.descriptors is None else usage.descriptors - sum(counters.descriptors.values())
    )
    named_values: list[tuple[str, int | None, str]] = [
        ("processor.user_us", usage.user_us, "c"),
        ("processor.system_us", usage.system_us, "c"),
        ("processor.module_us", counters.module_us, "c"),
        ("processor.other_us", max(0, cpu_us - counters.module_us), "c"),
        ("processor.us_per_message", divide_or_none(cpu_us, ended_messages), "g"),
        ("memory.resident_bytes", usage.resident_bytes, "g"),
        ("memory.most_resident_bytes", usage.max_resident_bytes, "g"),
        ("descriptors.open", usage.descriptors, "g"),
        *((f"descriptors.{purpose}", count, "g") for purpose, count in counters.descriptors.items()),
        ("descriptors.rest", None if other_descriptors is None else max(0, other_descriptors), "g"),
        *((f"calls.{name}", count, "g") for name, count in counters.calls.items()),
        *((f"outages.{name}", count, "c") for name, count in counters.outages.items()),
        *((f"clients.ended.{reason}", count, "c") for reason, count in counters.ended_clients.items()),
        *((f"clients.refused.{reason}", count, "c") for reason, count in counters.refused_messages.items()),
        ("input.deferred", counters.deferred_input, "c"),
        ("messages.ended", ended_messages, "c"),
        ("journal.bytes", counters.journal_bytes, "c"),
        ("journal.writes", counters.journal_writes, "c"),
        ("journal.bytes_per_message", divide_or_none(counters.journal_bytes, ended_messages), "g"),
    ]
    if window_start is not None:
        spent_us, messages = cpu_us - window_start.cpu_us, ended_messages - window_start.ended_messages
        named_values += [
            ("window.length_us", now_us - window_start.at_us, "g"),
            ("window.messages_ended", messages, "g"),
            ("window.processor_us", spent_us, "g"),
            ("window.processor_us_per_message", divide_or_none(spent_us, messages), "g"),
        ]
    if lags_us:
        named_values += [
            ("window.loop_lag_us", sum(lags_us) // len(lags_us), "g"),
            ("window.most_loop_lag_us", max(lags_us), "g"),
        ]
    return ((name, value, kind) for name, value, kind in named_values if value is not None)


class CostReporter:
    """Reports the figures of this process; once started, it also samples the window and the loop's lag."""

    def __init__(self, read_counters: Callable[[], RelayCounters], proc: Path = PROC_SELF) -> None:
        self._read_counters = read_counters
        self._proc = proc
        self._samples: deque[Sample] = deque(maxlen=WINDOW_SAMPLES)  # the oldest one is the window's start
        self._lags_us: deque[int] = deque(maxlen=WINDOW_SAMPLES)
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to sample."""
        self._take_sample()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SAMPLE_INTERVAL_S, self._tick, loop.time() + SAMPLE_INTERVAL_S)

    def close(self) -> None:
        """Stop sampling."""
        if self._timer is not None:
            self._timer.cancel()

    def _tick(self, due_s: float) -> None:
        """Sample the loop's lag: the delay of this timer, which every other event had as well."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        self._lags_us.append(max(0, int((now_s - due_s) * 1e6)))
        self._take_sample()
        self._timer = loop.call_at(now_s + SAMPLE_INTERVAL_S, self._tick, now_s + SAMPLE_INTERVAL_S)

    def _take_sample(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu_us = int((usage.ru_utime + usage.ru_stime) * 1e6)
        self._samples.append(
            Sample(time.monotonic_ns() // 1000, cpu_us, self._read_counters().ended_messages)
        )

    def lines(self) -> list[str]:
        """Return the figures in the operators' format, one per line."""
        return [f"cost.{name}:{value}|{kind}" for name, value, kind in self._current_figures()]

    def summary(self) -> str:
        """Return the figures on one line for the log."""
        return ", ".join(f"{name} {value}" for name, value, _ in self._current_figures())

    def _current_figures(self) -> Iterator[tuple[str, int, str]]:
        window_start = self._samples[0] if self._samples else None
        now_us = time.monotonic_ns() // 1000
        return compute_figures(
            self._read_counters(),
            read_process_usage(self._proc),
            window_start,
            tuple(self._lags_us),
            now_us,
        )
