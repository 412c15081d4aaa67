"""Connections kept between calls: watched for the host's end, and closed before their keep-alive is over."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
from functools import partial

from relay.http import Connection

KEEPALIVE_SHARE = (
    0.9  # of the hosts' keep-alive: an older connection may be ended while a request is under way
)


class IdleConnections:
    """The connections that carry no call, by host; the one that was used last is taken first."""

    def __init__(self, keepalive_us: int, most: int, counts: Counter[str]) -> None:
        """``counts`` takes what became of connections, for the people on call."""
        self._loop = asyncio.get_running_loop()
        self._max_idle_s, self._max_connections, self._counts = (
            keepalive_us / 1e6 * KEEPALIVE_SHARE,
            most,
            counts,
        )
        self._by_host: dict[str, list[tuple[Connection, asyncio.TimerHandle]]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._by_host.values()))

    def __iter__(self) -> Iterator[tuple[str, Connection]]:
        """Every connection with its host."""
        return ((host, connection) for host, items in self._by_host.items() for connection, _ in items)

    @property
    def is_full(self) -> bool:
        """Whether no more are kept."""
        return len(self) >= self._max_connections

    def put(self, host: str, connection: Connection, kept_s: float) -> None:
        """Keep a connection that stands idle since a monotonic time."""
        connection.idle_since_s = kept_s
        timer = self._loop.call_at(kept_s + self._max_idle_s, self._close_expired, host, connection)
        connection.on_unexpected_data = partial(self._close_expired, host, connection)
        connection.watch()
        self._by_host.setdefault(host, []).append((connection, timer))

    def take(self, host: str) -> Connection | None:
        """The connection that was used last, if the host has not ended it."""
        items = self._by_host.get(host, [])
        while items:
            connection, timer = items.pop()
            connection.on_unexpected_data = None
            timer.cancel()
            if connection.is_quiet():
                self._counts["reused"] += 1
                return connection
            self._counts["ended when taken"] += 1
            connection.close()
        return None

    def close_host(self, host: str) -> None:
        """Close those to a host."""
        for connection, timer in self._by_host.pop(host, []):
            self._counts["closed as told"] += 1
            self._cancel_and_close(connection, timer)

    def close_all(self) -> None:
        """Close every one."""
        for host in list(self._by_host):
            self.close_host(host)

    def close_oldest(self) -> bool:
        """Close the one that stood idle longest, for its descriptor; False where there is none."""
        oldest = [(items[0][0].idle_since_s, host) for host, items in self._by_host.items() if items]
        if not oldest:
            return False
        self._counts["gave way"] += 1
        self._cancel_and_close(*self._by_host[min(oldest)[1]].pop(0))
        return True

    def _close_expired(self, host: str, connection: Connection) -> None:
        """One has stood too long, or the host has ended it."""
        for item in [item for item in self._by_host.get(host, []) if item[0] is connection]:
            self._by_host[host].remove(item)
            self._counts["expired" if connection.is_quiet() else "ended by host"] += 1
            self._cancel_and_close(*item)

    @staticmethod
    def _cancel_and_close(connection: Connection, timer: asyncio.TimerHandle) -> None:
        timer.cancel()
        connection.close()
