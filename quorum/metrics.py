"""A member's metrics for operators in Prometheus' format: counters, and gauges of its current status."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from quorum.wire import Health

SYNC_BUCKETS_S = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)


class HealthCollector(Collector):
    """Collects gauges from a member's current status."""

    def __init__(self, health: Callable[[], Health]) -> None:
        self._health = health

    def collect(self) -> Iterable[Metric]:
        """Yield a gauge for each value of the status."""
        health = self._health()
        gauges = {
            "quorum_leads": ("1 at the leader", health.role == "leader"),
            "quorum_ready": ("1 where a leader is known", health.ready),
            "quorum_term": ("term", health.term),
            "quorum_commit_index": ("last committed entry", health.commit),
            "quorum_applied_index": ("last applied entry", health.applied),
            "quorum_leases": ("leases and delays in force", health.leases),
            "quorum_sessions": ("sessions", health.sessions),
            "quorum_records": ("records", health.records),
            "quorum_waiting_requests": ("requests that wait for a lease or a change", health.waiting),
            "quorum_log_entries": ("entries behind the snapshot", health.log_entries),
            "quorum_log_bytes": ("size of the log's file", health.log_bytes),
            "quorum_disk_refuses": ("1 where the disk refuses or is full", bool(health.disk)),
            "quorum_turned_away": ("members that do not listen to this one", len(health.turned)),
        }
        for name, (help_text, value) in gauges.items():
            yield GaugeMetricFamily(name, help_text, value=float(value))
        lag = GaugeMetricFamily(
            "quorum_follower_lag_entries", "entries a follower is behind", labels=["member"]
        )
        for member, entries in health.lag.items():
            lag.add_metric([member], entries)
        yield lag


class ServerMetrics:
    """All metrics of one member."""

    def __init__(self, health: Callable[[], Health]) -> None:
        self._registry = CollectorRegistry()
        self._registry.register(HealthCollector(health))
        self.requests = Counter(
            "quorum_requests", "clients' requests, by answer", ["asked", "answer"], registry=self._registry
        )
        self.leader_changes = Counter(
            "quorum_leader_changes", "changes of leader seen", registry=self._registry
        )
        self.connections_refused = Counter(
            "quorum_connections_refused", "connections ended for what came", registry=self._registry
        )
        self.sync_seconds = Histogram(
            "quorum_sync_seconds",
            "time of a write to the disk",
            registry=self._registry,
            buckets=SYNC_BUCKETS_S,
        )

    def page(self) -> bytes:
        """Return the metrics in Prometheus' text format."""
        return generate_latest(self._registry)
