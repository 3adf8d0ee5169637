"""Metrics of the daemon, in the Prometheus text exposition.

Every label has a bounded set of values. Service names reach the daemon in
Host headers, so a caller could otherwise create any number of time series:
services beyond a fixed number are counted under ``other``, as are codes that
are not in the fixed set.
"""

from collections.abc import Mapping
from typing import Final, Generic, Protocol, TypeVar, final

from cornelbeam_core.errors import ErrorCode, RunState
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.metrics import MetricWrapperBase

OK_CODE: Final = 'ok'
SERVER_ERROR_CODE: Final = 'answer_5xx'
OTHER: Final = 'other'
CALLER_SIDE: Final = 'caller'
BACKEND_SIDE: Final = 'backend'
IDEMPOTENT: Final = 'idempotent'
NON_IDEMPOTENT: Final = 'non-idempotent'

# A daemon calls a handful of services. 24 services with both kinds and five
# usual codes are 240 histograms.
DEFAULT_MAX_SERVICE_COUNT: Final = 24
# Frames have 18 kinds of message and there are 5 kinds of object.
_MAX_NAME_COUNT: Final = 32

# Objectives are whole numbers of milliseconds; the burn report can only judge
# a time limit that is one of these bounds.
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

_CODES: Final = frozenset(
    (OK_CODE, SERVER_ERROR_CODE, *(code.value for code in ErrorCode)),
)
# Refusals of requests whose service may not exist. Their names must not use
# up the bound, which would hide the services that are really called.
_UNROUTED_CODES: Final = frozenset(
    (
        ErrorCode.MALFORMED_REQUEST.value,
        ErrorCode.HEAD_TOO_LARGE.value,
        ErrorCode.BODY_TOO_LARGE.value,
        ErrorCode.UNKNOWN_SERVICE.value,
        ErrorCode.TOO_MANY_HOPS.value,
    ),
)
_LOWEST_SERVER_ERROR: Final = 500

_Metric = TypeVar('_Metric', bound=MetricWrapperBase)
_Key = tuple[str | bool, ...]
_Labels = tuple[str, ...]


def answer_code(status: int) -> str:
    """Give the outcome code of a whole answer with this HTTP status.

    >>> answer_code(404)
    'ok'
    >>> answer_code(500)
    'answer_5xx'
    """
    return SERVER_ERROR_CODE if status >= _LOWEST_SERVER_ERROR else OK_CODE


class _Fold(Protocol):
    """Turns a key into label values that are bounded."""

    def __call__(self, key: _Key) -> tuple[_Labels, bool]:
        """Give the label values, and whether the key is within the bound."""


@final
class _Children(dict[_Key, _Metric], Generic[_Metric]):
    """Label children by key, each resolved once and then kept.

    A key beyond the bound is not kept, so that this dictionary is bounded
    too.
    """

    def __init__(self, metric: _Metric, fold: _Fold) -> None:
        """Start without children."""
        super().__init__()
        self._metric = metric
        self._fold = fold

    def __missing__(self, key: _Key) -> _Metric:
        """Resolve the child of a key that is not kept yet."""
        labels, is_within_bound = self._fold(key)
        child = self._metric.labels(*labels)
        if is_within_bound:
            self[key] = child
        return child


@final
class _NamedFold:
    """Bounds the last label, whose values are names."""

    __slots__ = ('_max_count', '_names')

    def __init__(self, max_count: int) -> None:
        """Accept the first ``max_count`` names, and ``other``."""
        self._max_count = max_count + 1
        self._names: set[str | bool] = {OTHER}

    def __call__(self, key: _Key) -> tuple[_Labels, bool]:
        """Replace a name beyond the bound."""
        *first, name = key
        is_accepted = self.is_accepted(name)
        last = name if is_accepted else OTHER
        return (*map(str, first), str(last)), is_accepted

    def is_known(self, name: str | bool) -> bool:
        """Tell whether the name is a label value already."""
        return name in self._names

    def is_accepted(self, name: str | bool) -> bool:
        """Tell whether the name may be a label value."""
        if name in self._names:
            return True
        if len(self._names) >= self._max_count:
            return False
        self._names.add(name)
        return True


@final
class _CallFold:
    """Bounds the labels of calls: service, kind and code."""

    __slots__ = ('_services',)

    def __init__(self, max_service_count: int) -> None:
        """Accept the first ``max_service_count`` services."""
        self._services = _NamedFold(max_service_count)

    def __call__(self, key: _Key) -> tuple[_Labels, bool]:
        """Replace a service beyond the bound and an unknown code."""
        service, is_idempotent, code = key
        is_doubtful = code in _UNROUTED_CODES
        if is_doubtful and not self._services.is_known(service):
            (name,), is_accepted = (OTHER,), False
        else:
            (name,), is_accepted = self._services((service,))
        (known_code,), is_known = _fold_code((code,))
        kind = IDEMPOTENT if is_idempotent else NON_IDEMPOTENT
        return (name, kind, known_code), is_accepted and is_known


def _fold_code(key: _Key) -> tuple[_Labels, bool]:
    """Replace an unknown code, the last label."""
    *first, code = map(str, key)
    is_known = code in _CODES
    return (*first, code if is_known else OTHER), is_known


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
        """Register all metrics on the given registry."""
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
        """Count a call on the caller side, retries and hedges included."""
        self._calls[service, is_idempotent, code].observe(duration_s)

    def count_backend_answer(
        self,
        service: str,
        is_idempotent: bool,
        code: str,
        duration_s: float,
    ) -> None:
        """Count an attempt on the backend side, time in the queue included."""
        self._backend_calls[service, is_idempotent, code].observe(duration_s)

    def set_in_flight(self, caller_count: int, backend_count: int) -> None:
        """Set the calls in flight on both sides."""
        self._caller_in_flight.set(caller_count)
        self._backend_in_flight.set(backend_count)

    def set_limit(self, limit: int) -> None:
        """Set the admission limit, in concurrent requests."""
        self._limit_gauge.set(limit)

    def set_queue_length(self, length: int) -> None:
        """Set how many requests wait for admission."""
        self._queue_length_gauge.set(length)

    def count_refusal(self, side: str, code: str) -> None:
        """Count a refusal by the ``caller`` or ``backend`` side."""
        self._refusals[side, code].inc()

    def count_retry(self, is_hedge: bool, is_sent: bool) -> None:
        """Count a wanted retry or hedge; not sent means over budget."""
        self._retries[is_hedge, is_sent].inc()

    def set_retry_tokens(self, tokens: float) -> None:
        """Set the retries and hedges that the budget allows now."""
        self._retry_tokens_gauge.set(tokens)

    def count_probe(self, is_run: bool) -> None:
        """Count a wanted probe; not run means answered from the last one."""
        self._probes[(is_run,)].inc()

    def set_probe_tokens(self, tokens: float) -> None:
        """Set the probes that the budget allows now."""
        self._probe_tokens_gauge.set(tokens)

    def count_outcome_query(
        self,
        is_forbidding: bool,
        run_state: RunState,
    ) -> None:
        """Count an outcome query of the caller side by its reply."""
        self._outcome_queries[is_forbidding, run_state].inc()

    def set_config(self, revision: int, counts: Mapping[str, int]) -> None:
        """Set the revision in force and the objects of every kind."""
        self._config_revision.set(revision)
        _set_all(self._config_objects, counts)

    def set_members(self, counts: Mapping[str, int]) -> None:
        """Set the members of the own service by state, in lower case."""
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
        self._calls = _Children(
            self._histogram(
                'cornelbeam_call_duration_seconds',
                'Time of a call on the caller side, retries included.',
            ),
            _CallFold(max_service_count),
        )
        self._backend_calls = _Children(
            self._histogram(
                'cornelbeam_backend_duration_seconds',
                'Time of an attempt on the backend side, queue included.',
            ),
            _CallFold(max_service_count),
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
        self._refusals = _Children(
            self._counter(
                'cornelbeam_refusals',
                'Requests refused, by side and code.',
                'side',
                'code',
            ),
            _fold_code,
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
        self._config_objects = _Children(
            self._gauge(
                'cornelbeam_config_objects',
                'Configuration objects in force.',
                'kind',
            ),
            _NamedFold(_MAX_NAME_COUNT),
        )
        self._member_counts = _Children(
            self._gauge(
                'cornelbeam_members',
                'Members of the own service, by state.',
                'state',
            ),
            _NamedFold(_MAX_NAME_COUNT),
        )
        labels = ('direction', 'message')
        self._control_messages = _Children(
            self._counter(
                'cornelbeam_control_messages',
                'Control messages between daemons.',
                *labels,
            ),
            _NamedFold(_MAX_NAME_COUNT),
        )
        self._control_bytes = _Children(
            self._counter(
                'cornelbeam_control_bytes',
                'Bytes of control messages between daemons.',
                *labels,
            ),
            _NamedFold(_MAX_NAME_COUNT),
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


def _set_all(children: _Children[Gauge], counts: Mapping[str, int]) -> None:
    """Set the given names, and zero for names that are no longer there."""
    for (name,), child in children.items():
        child.set(counts.get(str(name), 0))
    for name, count in counts.items():
        children[(name,)].set(count)
