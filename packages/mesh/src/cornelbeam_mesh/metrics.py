"""Counters and latency histograms of the daemon."""

from collections.abc import Callable, Iterator
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
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

# From less than the duration of a short call up to the longest timeout.
_BUCKETS_S: Final = (0.05, 0.1, 0.15, 0.25, 0.5, 0.75, 1, 1.5, 2.5, 5, 10)


@final
class RefusalCollector(Collector):
    """Exports the calls that the gate has refused, by reason."""

    def __init__(self, gate: TargetGate) -> None:
        """Read the counts of ``gate`` at each scrape."""
        self._gate = gate

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Return the counters."""
        refused = CounterMetricFamily(
            'cornelbeam_gate_refusals',
            'Calls that the gate of the target refused, by reason.',
            labels=('reason',),
        )
        evicted = CounterMetricFamily(
            'cornelbeam_gate_evictions',
            'Calls of tenants that were refused while they waited, by reason.',
            labels=('reason',),
        )
        shedding = self._gate.shedding
        for reason, count in shedding.refusal_counts.items():
            refused.add_metric([reason], count)
        for reason, count in shedding.eviction_counts.items():
            evicted.add_metric([reason], count)
        yield refused
        yield evicted


@final
class MeshMetrics:
    """Metrics that the metrics listener exports."""

    __slots__ = ('_latency_s', '_messages', '_quotas', '_registry', '_requests')

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

        self._quotas = Counter(
            'cornelbeam_quota_checks',
            'Requests of tenants with a quota, by the outcome of its check.',
            ('outcome',),
            registry=self._registry,
        )

    def count_quota(self, outcome: str) -> None:
        """Count the check of a quota.

        ``outcome`` is ``granted``, an error code or ``cancelled``.
        """
        self._quotas.labels(outcome).inc()

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
        quota_bucket_count: Callable[[], float],
    ) -> None:
        """Add gauges and counters that are read at each scrape."""
        self._registry.register(RefusalCollector(gate))
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
        self._add_gauge(
            'cornelbeam_quota_buckets',
            'Tenants whose share of a quota is held here and partly used.',
            quota_bucket_count,
        )

    def add_freshness(self, age_s: Callable[[], float]) -> Counter:
        """Export the age of the proof that the configuration is current.

        Return the counter of requests that are refused without one.
        """
        self._add_gauge(
            'cornelbeam_configuration_proof_age_seconds',
            'Age of the proof that the configuration held is the newest.',
            age_s,
        )
        return Counter(
            'cornelbeam_configuration_stale_refusals',
            'Requests refused as this proof was too old.',
            registry=self._registry,
        )

    def add_collector(self, collector: Collector) -> None:
        """Add metrics that exist only at times."""
        self._registry.register(collector)

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
