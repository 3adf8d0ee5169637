"""Counters and latency histograms of the daemon."""

from collections.abc import Callable
from typing import Final, final

from cornelbeam_core.target_gate import TargetGate
from cornelbeam_daemon.memory_budget import MemoryBudget
from cornelbeam_daemon.memory_metrics import MemoryCollector
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

# From less than the duration of a short call up to the longest timeout.
_BUCKETS_S: Final = (0.05, 0.1, 0.15, 0.25, 0.5, 0.75, 1, 1.5, 2.5, 5, 10)


@final
class MeshMetrics:
    """Metrics that the metrics listener exports."""

    __slots__ = ('_latency_s', '_messages', '_registry', '_requests')

    def __init__(self) -> None:
        """Create the metrics in a registry of their own."""
        self._registry = CollectorRegistry()
        self._requests = Counter(
            'cornelbeam_requests',
            'Requests of callers by route and outcome.',
            ('route', 'outcome'),
            registry=self._registry,
        )
        self._latency_s = Histogram(
            'cornelbeam_request_seconds',
            'Time from the head of a request to its answer.',
            ('route',),
            buckets=_BUCKETS_S,
            registry=self._registry,
        )
        self._messages = Counter(
            'cornelbeam_message_bytes',
            'Bytes of control messages between daemons.',
            ('message', 'direction'),
            registry=self._registry,
        )

    def count_sent(self, message: str, size_bytes: int) -> None:
        """Add a control message that was sent to the byte count."""
        self._messages.labels(message, 'sent').inc(size_bytes)

    def count_received(self, message: str, size_bytes: int) -> None:
        """Add a control message that was received to the byte count."""
        self._messages.labels(message, 'received').inc(size_bytes)

    def count_request(self, route: str, outcome: str, latency_s: float) -> None:
        """Count one request and its latency.

        ``outcome`` is its status, its error code or ``cancelled``.
        """
        self._requests.labels(route, outcome).inc()
        self._latency_s.labels(route).observe(latency_s)

    def add_gauges(
        self,
        gate: TargetGate,
        is_store_reachable: Callable[[], bool],
        stated_limit_per_s: Callable[[], float],
        configuration_version: Callable[[], float],
        quarantined_count: Callable[[], float],
        unreadable_count: Callable[[], float],
    ) -> None:
        """Add gauges that are read at each scrape."""
        self._add_gauge(
            'cornelbeam_running',
            'Requests that the target works on.',
            lambda: gate.running_count,
        )
        self._add_gauge(
            'cornelbeam_waiting',
            'Calls that wait for a slot of the target.',
            lambda: gate.waiting_count,
        )
        self._add_gauge(
            'cornelbeam_store_reachable',
            'Whether the store answers this daemon.',
            is_store_reachable,
        )
        self._add_gauge(
            'cornelbeam_stated_limit',
            'Requests per second that the target accepts; 0 if it states none.',
            stated_limit_per_s,
        )
        self._add_gauge(
            'cornelbeam_configuration_version',
            'Version of the configuration in force; 0 before the first one.',
            configuration_version,
        )
        self._add_gauge(
            'cornelbeam_quarantined',
            'Requests that are refused, as they crashed targets.',
            quarantined_count,
        )
        self._add_gauge(
            'cornelbeam_unreadable_entries',
            'Entries of the store that cannot be read and are not used.',
            unreadable_count,
        )

    def add_budget(self, budget: MemoryBudget) -> None:
        """Add the metrics of the memory budget."""
        MemoryCollector(budget, self._registry)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _add_gauge(
        self,
        name: str,
        description: str,
        read: Callable[[], float],
    ) -> None:
        gauge = Gauge(name, description, registry=self._registry)
        gauge.set_function(read)
