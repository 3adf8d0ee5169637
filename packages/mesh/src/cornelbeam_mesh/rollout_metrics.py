"""Metrics of rollouts; none where no order is known."""

from collections.abc import Callable, Iterator
from typing import Final, final

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from cornelbeam_mesh.members import TargetEntry
from cornelbeam_mesh.rollout_gate import RolloutGate
from cornelbeam_mesh.rollout_view import RolloutView

_SHARE: Final = 'cornelbeam_rollout_share'
_REQUESTS: Final = 'cornelbeam_rollout_requests'
_FAILURES: Final = 'cornelbeam_rollout_failures'


@final
class RolloutCollector(Collector):
    """Share of each order, and what the own target has answered since."""

    __slots__ = ('_gate', '_local_target', '_view')

    def __init__(
        self,
        view: RolloutView,
        gate: RolloutGate,
        local_target: Callable[[], TargetEntry | None],
    ) -> None:
        """Read the orders of ``view`` and the counts of ``gate``."""
        self._view = view
        self._gate = gate
        self._local_target = local_target

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the metrics that have values."""
        rollouts = tuple(self._view.all())
        if not rollouts:
            return
        share = GaugeMetricFamily(
            _SHARE,
            'Share of the requests that goes to the version of an order.',
            labels=('service', 'version'),
        )
        for rollout in rollouts:
            order = rollout.order
            share.add_metric((order.service, order.to_version), rollout.share)
        yield share
        target = self._local_target()
        if target is None or self._view.get(target.service) is None:
            return
        counts = (
            (
                _REQUESTS,
                'Requests that the own target has received since the order.',
                self._gate.request_count,
            ),
            (
                _FAILURES,
                'Failures of the own target since the order.',
                self._gate.failure_count,
            ),
        )
        for name, description, count in counts:
            family = GaugeMetricFamily(
                name, description, labels=('service', 'version')
            )
            family.add_metric((target.service, target.version), count)
            yield family
