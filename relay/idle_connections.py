"""Connections kept between calls: watched for the host's end, and closed before their keep-alive is over."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
from functools import partial

from relay.http import Connection

IDLE_SHARE = 0.9  # of the hosts' keep-alive: an older connection may be ended while a request is under way


class IdleConnections:
    """The connections that carry no call, by host; the one that was used last is taken first."""

    def __init__(self, keepalive_us: int, most: int, counts: Counter[str]) -> None:
        """``counts`` takes what became of connections, for the people on call."""
        self._loop = asyncio.get_running_loop()
        self._idle_s, self._most, self._counts = keepalive_us / 1e6 * IDLE_SHARE, most, counts
        self._kept: dict[str, list[tuple[Connection, asyncio.TimerHandle]]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._kept.values()))

    def __iter__(self) -> Iterator[tuple[str, Connection]]:
        """Every connection with its host."""
        return ((host, connection) for host, items in self._kept.items() for connection, _ in items)

    @property
    def full(self) -> bool:
        """Whether no more are kept."""
        return len(self) >= self._most

    def put(self, host: str, connection: Connection, kept_s: float) -> None:
        """Keep a connection that stands idle since a monotonic time."""
        connection.kept_s = kept_s
        timer = self._loop.call_at(kept_s + self._idle_s, self._expire, host, connection)
        connection.unasked = partial(self._expire, host, connection)
        connection.watch()
        self._kept.setdefault(host, []).append((connection, timer))

    def take(self, host: str) -> Connection | None:
        """The connection that was used last, if the host has not ended it."""
        items = self._kept.get(host, [])
        while items:
            connection, timer = items.pop()
            connection.unasked = None
            timer.cancel()
            if connection.quiet():
                self._counts["reused"] += 1
                return connection
            self._counts["ended when taken"] += 1
            connection.close()
        return None

    def close(self, host: str) -> None:
        """Close those to a host."""
        for connection, timer in self._kept.pop(host, []):
            self._counts["closed as told"] += 1
            self._drop(connection, timer)

    def close_all(self) -> None:
        """Close every one."""
        for host in list(self._kept):
            self.close(host)

    def close_oldest(self) -> bool:
        """Close the one that stood idle longest, for its descriptor; False where there is none."""
        oldest = [(items[0][0].kept_s, host) for host, items in self._kept.items() if items]
        if not oldest:
            return False
        self._counts["gave way"] += 1
        self._drop(*self._kept[min(oldest)[1]].pop(0))
        return True

    def _expire(self, host: str, connection: Connection) -> None:
        """One has stood too long, or the host has ended it."""
        for item in [item for item in self._kept.get(host, []) if item[0] is connection]:
            self._kept[host].remove(item)
            self._counts["expired" if connection.quiet() else "ended by host"] += 1
            self._drop(*item)

    @staticmethod
    def _drop(connection: Connection, timer: asyncio.TimerHandle) -> None:
        timer.cancel()
        connection.close()
