"""Tests of the daemon's metrics."""

import pytest
from cornelbeam_core.errors import RunState
from cornelbeam_daemon.metrics import Metrics, answer_code
from prometheus_client import CollectorRegistry, generate_latest

_CALLS = 'cornelbeam_call_duration_seconds_count'


@pytest.fixture
def metrics() -> Metrics:
    """Return metrics that label at most two services by name."""
    return Metrics(CollectorRegistry(), max_service_count=2)


def _sample(metrics: Metrics, name: str, **labels: str) -> float | None:
    return metrics.registry.get_sample_value(name, labels)


class TestBounds:
    """Guards against callers that create time series without bound."""

    def test_services(self, metrics: Metrics) -> None:
        """Services beyond the bound are counted together."""
        for number in range(100):
            metrics.count_answer(f'service-{number}', False, 'ok', 0.1)
        metrics.count_answer('service-0', False, 'ok', 0.1)
        labels = {'kind': 'non-idempotent', 'code': 'ok'}
        counts = {
            service: _sample(metrics, _CALLS, service=service, **labels)
            for service in ('service-0', 'service-1', 'service-2', 'other')
        }
        assert counts == {
            'service-0': 2,
            'service-1': 1,
            'service-2': None,
            'other': 98,
        }

    def test_unknown_services(self, metrics: Metrics) -> None:
        """Invented services do not use up the bound for real ones."""
        for number in range(100):
            name = f'invented-{number}'
            metrics.count_answer(name, True, 'unknown_service', 0.1)
        metrics.count_answer('windows', True, 'ok', 0.1)
        metrics.count_answer('windows', True, 'unknown_service', 0.1)
        text = generate_latest(metrics.registry).decode()
        assert 'invented' not in text
        # Callers could exhaust the memory of the daemon if children of invented
        # services were cached.
        assert len(metrics._calls) == 2
        labels = {'kind': 'idempotent', 'code': 'unknown_service'}
        assert _sample(metrics, _CALLS, service='other', **labels) == 100
        assert _sample(metrics, _CALLS, service='windows', **labels) == 1

    def test_codes_and_names(self, metrics: Metrics) -> None:
        """Unknown codes and names beyond the bound are not label values."""
        metrics.count_answer('windows', True, 'invented', 0.1)
        metrics.count_refusal('caller', 'invented')
        for number in range(100):
            metrics.count_sent(f'message-{number}', 10)
        text = generate_latest(metrics.registry).decode()
        assert 'invented' not in text
        assert 'message-99' not in text
        name = 'cornelbeam_control_bytes_total'
        sent = _sample(metrics, name, direction='sent', message='other')
        assert sent == (100 - 32) * 10


class TestCounts:
    """Guards against values in the wrong time series."""

    def test_each_method(self, metrics: Metrics) -> None:
        """Each method changes its own time series."""
        metrics.count_backend_answer('bookings', False, 'overloaded', 0.2)
        metrics.set_in_flight(3, 4)
        metrics.set_limit(2)
        metrics.set_queue_length(1)
        metrics.count_refusal('backend', 'overloaded')
        metrics.count_retry(is_hedge=True, is_sent=False)
        metrics.count_probe(is_run=True)
        metrics.count_outcome_query(True, RunState.NOT_RUN)
        metrics.count_received('ping', 7)
        lines = generate_latest(metrics.registry).decode().splitlines()
        for line in (
            'cornelbeam_in_flight_calls{side="caller"} 3.0',
            'cornelbeam_in_flight_calls{side="backend"} 4.0',
            'cornelbeam_admission_limit_calls 2.0',
            'cornelbeam_admission_queue_calls 1.0',
            'cornelbeam_refusals_total{code="overloaded",side="backend"} 1.0',
            'cornelbeam_retries_total{reason="hedge",result="over_budget"} 1.0',
            'cornelbeam_probes_total{result="run"} 1.0',
        ):
            assert line in lines

    def test_removed_names(self, metrics: Metrics) -> None:
        """A kind or state that is no longer present is set to zero."""
        metrics.set_config(7, {'selector': 2})
        metrics.set_config(8, {'service': 1})
        metrics.set_members({'alive': 3, 'dead': 1})
        name = 'cornelbeam_config_objects'
        assert _sample(metrics, name, kind='selector') == 0
        assert _sample(metrics, name, kind='service') == 1
        assert _sample(metrics, 'cornelbeam_config_revision') == 8
        assert _sample(metrics, 'cornelbeam_members', state='alive') == 3

    @pytest.mark.parametrize(
        ('status', 'code'),
        [(200, 'ok'), (404, 'ok'), (499, 'ok'), (500, 'answer_5xx')],
    )
    def test_answer_code(self, status: int, code: str) -> None:
        """Only a server error counts against the objective."""
        assert answer_code(status) == code
