"""Connections kept between calls: watched for a close by the endpoint, closed before its keep-alive ends."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
from functools import partial

from relay.http import Connection

# Share of the endpoints' keep-alive time for which an idle connection is kept. The endpoint may close an
# older one while a request is on its way.
KEEPALIVE_SHARE = 0.9


class IdleConnections:
    """The connections that carry no call, by host; the most recently used one is taken first."""

    def __init__(self, keepalive_us: int, max_connections: int, counts: Counter[str]) -> None:
        """``counts`` counts what became of connections, for the status log."""
        self._loop = asyncio.get_running_loop()
        self._max_idle_s = keepalive_us / 1e6 * KEEPALIVE_SHARE
        self._max_connections = max_connections
        self._counts = counts
        self._by_host: dict[str, list[tuple[Connection, asyncio.TimerHandle]]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._by_host.values()))

    def __iter__(self) -> Iterator[tuple[str, Connection]]:
        """Iterate over all connections as pairs of host and connection."""
        return ((host, connection) for host, items in self._by_host.items() for connection, _ in items)

    @property
    def is_full(self) -> bool:
        """Whether no more connections may be kept."""
        return len(self) >= self._max_connections

    def put(self, host: str, connection: Connection, idle_since_s: float) -> None:
        """Keep a connection that has been idle since a monotonic time."""
        connection.idle_since_s = idle_since_s
        timer = self._loop.call_at(idle_since_s + self._max_idle_s, self._close_expired, host, connection)
        connection.on_unexpected_data = partial(self._close_expired, host, connection)
        connection.watch()
        self._by_host.setdefault(host, []).append((connection, timer))

    def take(self, host: str) -> Connection | None:
        """Return the most recently used connection that the endpoint has not closed, or None."""
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
        """Close the idle connections to a host."""
        for connection, timer in self._by_host.pop(host, []):
            self._counts["closed as told"] += 1
            self._cancel_and_close(connection, timer)

    def close_all(self) -> None:
        """Close all idle connections."""
        for host in list(self._by_host):
            self.close_host(host)

    def close_oldest(self) -> bool:
        """Close the connection that has been idle longest, to free its descriptor; False if there is none."""
        oldest = [(items[0][0].idle_since_s, host) for host, items in self._by_host.items() if items]
        if not oldest:
            return False
        self._counts["gave way"] += 1
        self._cancel_and_close(*self._by_host[min(oldest)[1]].pop(0))
        return True

    def _close_expired(self, host: str, connection: Connection) -> None:
        """Close a connection that has been idle too long or that the endpoint has closed."""
        for item in [item for item in self._by_host.get(host, []) if item[0] is connection]:
            self._by_host[host].remove(item)
            self._counts["expired" if connection.is_quiet() else "ended by host"] += 1
            self._cancel_and_close(*item)

    @staticmethod
    def _cancel_and_close(connection: Connection, timer: asyncio.TimerHandle) -> None:
        timer.cancel()
        connection.close()
