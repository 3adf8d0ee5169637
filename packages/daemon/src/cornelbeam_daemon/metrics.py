"""Prometheus metrics of the daemon.

``cornelbeam_daemon.metric_labels`` bounds the label values.
"""

from collections.abc import Mapping
from typing import Final, final

from cornelbeam_core.errors import RunState
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from cornelbeam_daemon.metric_labels import (
    OK_CODE,
    SERVER_ERROR_CODE,
    BoundedChildren,
    CallLabelMapper,
    NameMapper,
    map_code,
)

CALLER_SIDE: Final = 'caller'
BACKEND_SIDE: Final = 'backend'

# A daemon calls a handful of services. 24 services with two kinds and five
# common codes make 240 histograms.
DEFAULT_MAX_SERVICE_COUNT: Final = 24
# Covers the 18 kinds of message and the 5 kinds of object.
_MAX_NAME_COUNT: Final = 32

# Latency objectives are whole milliseconds; the burn report can evaluate only
# an objective that is one of these bounds.
LATENCY_BUCKETS_S: Final = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.03,
    0.05,
    0.075,
    0.1,
    0.15,
    0.2,
    0.3,
    0.5,
    0.75,
    1,
    2,
    5,
    10,
)

_LOWEST_SERVER_ERROR: Final = 500


def answer_code(status: int) -> str:
    """Return the outcome code of a complete answer with this HTTP status.

    >>> answer_code(404)
    'ok'
    >>> answer_code(500)
    'answer_5xx'
    """
    return SERVER_ERROR_CODE if status >= _LOWEST_SERVER_ERROR else OK_CODE


@final
class Metrics:
    """All metrics of one daemon; its methods are called on the data path.

    Durations are in seconds, sizes in bytes. ``code`` is ``ok``,
    ``answer_5xx`` or the value of an ``ErrorCode``; see ``answer_code``.

    >>> registry = CollectorRegistry()
    >>> metrics = Metrics(registry)
    >>> metrics.count_answer('windows', True, 'ok', 0.004)
    >>> registry.get_sample_value(
    ...     'cornelbeam_call_duration_seconds_count',
    ...     {'service': 'windows', 'kind': 'idempotent', 'code': 'ok'},
    ... )
    1.0
    """

    __slots__ = (
        '_backend_calls',
        '_backend_in_flight',
        '_calls',
        '_caller_in_flight',
        '_config_objects',
        '_config_revision',
        '_control_bytes',
        '_control_messages',
        '_limit_gauge',
        '_member_counts',
        '_outcome_queries',
        '_probe_tokens_gauge',
        '_probes',
        '_queue_length_gauge',
        '_refusals',
        '_retries',
        '_retry_tokens_gauge',
        'registry',
    )

    def __init__(
        self,
        registry: CollectorRegistry,
        max_service_count: int = DEFAULT_MAX_SERVICE_COUNT,
    ) -> None:
        """Register all metrics in ``registry``."""
        self.registry = registry
        self._add_call_metrics(max_service_count)
        self._add_admission_metrics()
        self._add_budget_metrics()
        self._add_control_metrics()

    def count_answer(
        self,
        service: str,
        is_idempotent: bool,
        code: str,
        duration_s: float,
    ) -> None:
        """Count a call on the caller side; retries and hedges are included."""
        self._calls[service, is_idempotent, code].observe(duration_s)

    def count_backend_answer(
        self,
        service: str,
        is_idempotent: bool,
        code: str,
        duration_s: float,
    ) -> None:
        """Count an attempt on the backend side; queueing time is included."""
        self._backend_calls[service, is_idempotent, code].observe(duration_s)

    def set_in_flight(self, caller_count: int, backend_count: int) -> None:
        """Set the number of calls in flight on each side."""
        self._caller_in_flight.set(caller_count)
        self._backend_in_flight.set(backend_count)

    def set_limit(self, limit: int) -> None:
        """Set the admission limit, in concurrent requests."""
        self._limit_gauge.set(limit)

    def set_queue_length(self, length: int) -> None:
        """Set the number of requests that wait for admission."""
        self._queue_length_gauge.set(length)

    def count_refusal(self, side: str, code: str) -> None:
        """Count a refusal by the ``caller`` or ``backend`` side."""
        self._refusals[side, code].inc()

    def count_retry(self, is_hedge: bool, is_sent: bool) -> None:
        """Count a retry or hedge that was due; not sent means over budget."""
        self._retries[is_hedge, is_sent].inc()

    def set_retry_tokens(self, tokens: float) -> None:
        """Set the number of retries and hedges that the budget allows now."""
        self._retry_tokens_gauge.set(tokens)

    def count_probe(self, is_run: bool) -> None:
        """Count a requested probe; not run means the last result was used."""
        self._probes[(is_run,)].inc()

    def set_probe_tokens(self, tokens: float) -> None:
        """Set the number of probes that the budget allows now."""
        self._probe_tokens_gauge.set(tokens)

    def count_outcome_query(
        self,
        is_forbidding: bool,
        run_state: RunState,
    ) -> None:
        """Count an outcome query sent by the caller side, by its reply."""
        self._outcome_queries[is_forbidding, run_state].inc()

    def set_config(self, revision: int, counts: Mapping[str, int]) -> None:
        """Set the revision in force and the number of objects by kind."""
        self._config_revision.set(revision)
        _set_all(self._config_objects, counts)

    def set_members(self, counts: Mapping[str, int]) -> None:
        """Set the number of members of the own service by lower-case state."""
        _set_all(self._member_counts, counts)

    def count_sent(self, message: str, size_bytes: int) -> None:
        """Count a control message that was sent."""
        self._control_messages['sent', message].inc()
        self._control_bytes['sent', message].inc(size_bytes)

    def count_received(self, message: str, size_bytes: int) -> None:
        """Count a control message that was received."""
        self._control_messages['received', message].inc()
        self._control_bytes['received', message].inc(size_bytes)

    def _add_call_metrics(self, max_service_count: int) -> None:
        self._calls = BoundedChildren(
            self._histogram(
                'cornelbeam_call_duration_seconds',
                'Time of a call on the caller side, retries included.',
            ),
            CallLabelMapper(max_service_count),
        )
        self._backend_calls = BoundedChildren(
            self._histogram(
                'cornelbeam_backend_duration_seconds',
                'Time of an attempt on the backend side, queue included.',
            ),
            CallLabelMapper(max_service_count),
        )
        in_flight = Gauge(
            'cornelbeam_in_flight_calls',
            'Calls in flight.',
            ['side'],
            registry=self.registry,
        )
        self._caller_in_flight = in_flight.labels(CALLER_SIDE)
        self._backend_in_flight = in_flight.labels(BACKEND_SIDE)

    def _add_admission_metrics(self) -> None:
        self._limit_gauge = self._gauge(
            'cornelbeam_admission_limit_calls',
            'Concurrent requests that the backend side admits.',
        )
        self._queue_length_gauge = self._gauge(
            'cornelbeam_admission_queue_calls',
            'Requests that wait for admission.',
        )
        self._refusals = BoundedChildren(
            self._counter(
                'cornelbeam_refusals',
                'Requests refused, by side and code.',
                'side',
                'code',
            ),
            map_code,
        )

    def _add_budget_metrics(self) -> None:
        retries = self._counter(
            'cornelbeam_retries',
            'Wanted retries and hedges: sent, or left out over budget.',
            'reason',
            'result',
        )
        self._retries = {
            (is_hedge, is_sent): retries.labels(
                'hedge' if is_hedge else 'retry',
                'sent' if is_sent else 'over_budget',
            )
            for is_hedge in (False, True)
            for is_sent in (False, True)
        }
        self._retry_tokens_gauge = self._gauge(
            'cornelbeam_retry_budget_tokens',
            'Retries and hedges that the budget allows now.',
        )
        probes = self._counter(
            'cornelbeam_probes',
            'Wanted probes: run, or answered from the last result.',
            'result',
        )
        self._probes = {
            (True,): probes.labels('run'),
            (False,): probes.labels('over_budget'),
        }
        self._probe_tokens_gauge = self._gauge(
            'cornelbeam_probe_budget_tokens',
            'Probes that the budget allows now.',
        )

    def _add_control_metrics(self) -> None:
        queries = self._counter(
            'cornelbeam_outcome_queries',
            'Outcome queries, by what the reply said.',
            'is_forbidding',
            'run_state',
        )
        self._outcome_queries = {
            (is_forbidding, state): queries.labels(
                str(is_forbidding).lower(),
                state.name.lower(),
            )
            for is_forbidding in (False, True)
            for state in RunState
        }
        self._config_revision = self._gauge(
            'cornelbeam_config_revision',
            'Revision of the configuration in force.',
        )
        self._config_objects = BoundedChildren(
            self._gauge(
                'cornelbeam_config_objects',
                'Configuration objects in force.',
                'kind',
            ),
            NameMapper(_MAX_NAME_COUNT),
        )
        self._member_counts = BoundedChildren(
            self._gauge(
                'cornelbeam_members',
                'Members of the own service, by state.',
                'state',
            ),
            NameMapper(_MAX_NAME_COUNT),
        )
        labels = ('direction', 'message')
        self._control_messages = BoundedChildren(
            self._counter(
                'cornelbeam_control_messages',
                'Control messages between daemons.',
                *labels,
            ),
            NameMapper(_MAX_NAME_COUNT),
        )
        self._control_bytes = BoundedChildren(
            self._counter(
                'cornelbeam_control_bytes',
                'Bytes of control messages between daemons.',
                *labels,
            ),
            NameMapper(_MAX_NAME_COUNT),
        )

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(name, text, labels, registry=self.registry)

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(name, text, labels, registry=self.registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            name,
            text,
            ('service', 'kind', 'code'),
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )


def _set_all(
    children: BoundedChildren[Gauge], counts: Mapping[str, int]
) -> None:
    """Set the gauges to ``counts``; names that are absent become zero."""
    for (name,), child in children.items():
        child.set(counts.get(str(name), 0))
    for name, count in counts.items():
        children[(name,)].set(count)
