"""Metrics of the memory budget, read at each scrape."""

from collections.abc import Iterator
from typing import final

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector, CollectorRegistry

from cornelbeam_daemon.memory_budget import MemoryBudget


@final
class MemoryCollector(Collector):
    """Exports what is buffered and what was refused for it."""

    __slots__ = ('_budget',)

    def __init__(
        self, budget: MemoryBudget, registry: CollectorRegistry
    ) -> None:
        """Export the state of ``budget`` in ``registry``."""
        self._budget = budget
        registry.register(self)

    def collect(self) -> Iterator[Metric]:
        """Return the current values."""
        budget = self._budget
        yield GaugeMetricFamily(
            'cornelbeam_buffered_bytes',
            'Bytes of bodies, answers and unread input that are buffered.',
            budget.used_bytes,
        )
        yield GaugeMetricFamily(
            'cornelbeam_buffer_limit_bytes',
            'Bytes that may be buffered before requests are refused.',
            budget.limit_bytes,
        )
        yield GaugeMetricFamily(
            'cornelbeam_paused_connections',
            'Connections of callers from which nothing is read at present.',
            budget.paused_count,
        )
        yield CounterMetricFamily(
            'cornelbeam_memory_refusals',
            'Requests refused and connections closed for want of memory.',
            budget.refused_count,
        )
