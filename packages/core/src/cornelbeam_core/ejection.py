"""Outlier ejection: temporary removal of slow or failing targets."""

import math
import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.outcomes import CallOutcome
from cornelbeam_core.selection import TargetState

_MS_PER_S: Final = 1000


@final
@dataclass(frozen=True, slots=True)
class EjectionSettings:
    """Thresholds and durations of ejections.

    A target is ejected after ``failure_count`` consecutive failures, or when
    its smoothed latency exceeds the threshold for ``confirm_ms`` and its last
    latency exceeds it too, because the smoothed latency lags after a stall has
    ended. The threshold is ``slow_factor`` times the median latency of its
    peers, and at least ``slow_ms`` above that median. At least
    ``min_active_ratio`` of the targets of a service, rounded up, are never
    ejected.

    The first ejection lasts ``first_ejection_ms``. The duration doubles with
    each further ejection, up to ``max_ejection_ms``, and is reset once the
    target has not been ejected for ``backoff_reset_ms``.

    Targets of a slow failure domain are not ejected for latency. A failure
    domain is slow when ``domain_ratio`` of its targets, at least two, are
    ``domain_slow_factor`` times as slow as their peers in other failure
    domains. That factor is lower than ``slow_factor`` because one target of a
    slow domain crosses ``slow_factor`` before the others have enough samples.
    """

    failure_count: int = 5
    slow_factor: float = 3
    slow_ms: int = 5
    sample_count: int = 8
    check_period_ms: int = 10
    confirm_ms: int = 100
    first_ejection_ms: int = 500
    max_ejection_ms: int = 30_000
    backoff_reset_ms: int = 30_000
    min_active_ratio: float = 0.5
    domain_ratio: float = 0.7
    domain_slow_factor: float = 1.5


@dataclass(slots=True)
class _TargetRecord:
    state: TargetState
    failure_count: int = 0
    sample_count: int = 0
    ejection_count: int = 0
    check_at_s: float = 0
    slow_since_s: float | None = None


@final
class OutlierEjector:
    """Ejects slow and failing targets with exponential backoff.

    One ejector covers all services that a daemon calls: a target is compared
    with its peers of the same service, but a slow failure domain is detected
    across services.
    """

    __slots__ = ('_records', '_settings')

    def __init__(self, settings: EjectionSettings | None = None) -> None:
        """Create an ejector without targets."""
        self._settings = settings or EjectionSettings()
        self._records: dict[str, _TargetRecord] = {}

    def retain(self, states: Iterable[TargetState]) -> None:
        """Track exactly these targets and keep the history of known ones."""
        kept: dict[str, _TargetRecord] = {}
        for state in states:
            name = state.target.name
            record = self._records.get(name)
            if record is None or record.state is not state:
                record = _TargetRecord(state)
            kept[name] = record
        self._records = kept

    def note_result(
        self,
        state: TargetState,
        outcome: CallOutcome,
        now_s: float,
    ) -> bool:
        """Record the outcome of a call; return whether it caused an ejection.

        The latency of the call must already be in ``state``. Cancelled and
        shed calls are ignored, as they say nothing about the target's health.
        """
        record = self._find(state)
        if outcome in {CallOutcome.CANCELLED, CallOutcome.SHED}:
            return False
        if state.ejected_until_s > now_s:
            return False
        record.sample_count += 1
        if outcome is CallOutcome.ANSWERED:
            record.failure_count = 0
            return self._eject_if_slow(record, now_s)
        record.failure_count += 1
        if record.failure_count < self._settings.failure_count:
            return False
        return self._eject(record, now_s)

    def _find(self, state: TargetState) -> _TargetRecord:
        record = self._records.get(state.target.name)
        if record is None or record.state is not state:
            record = _TargetRecord(state)
            self._records[state.target.name] = record
        return record

    def _eject_if_slow(self, record: _TargetRecord, now_s: float) -> bool:
        settings = self._settings
        if record.sample_count < settings.sample_count:
            return False
        if now_s < record.check_at_s:
            return False
        record.check_at_s = now_s + settings.check_period_ms / _MS_PER_S
        threshold_s = self._slow_threshold_s(record.state)
        if record.state.latency_ewma_s <= threshold_s:
            record.slow_since_s = None
            return False
        if record.slow_since_s is None:
            record.slow_since_s = now_s
        if (now_s - record.slow_since_s) * _MS_PER_S < settings.confirm_ms:
            return False
        if record.state.last_latency_s <= threshold_s:
            return False
        if self._is_domain_slow(record.state):
            return False
        return self._eject(record, now_s)

    def _peers(self, state: TargetState) -> list[TargetState]:
        service = state.target.service
        return [
            record.state
            for record in self._records.values()
            if record.state.target.service == service
        ]

    def _slow_threshold_s(self, state: TargetState) -> float:
        latencies = [
            peer.latency_ewma_s
            for peer in self._peers(state)
            if peer is not state and peer.latency_ewma_s
        ]
        if not latencies:
            return float('inf')
        median_s = statistics.median(latencies)
        settings = self._settings
        return max(
            median_s * settings.slow_factor,
            median_s + settings.slow_ms / _MS_PER_S,
        )

    def _is_domain_slow(self, state: TargetState) -> bool:
        domain = state.target.domain
        slow_flags = [
            self._is_slower_than_other_domains(record.state)
            for record in self._records.values()
            if record.state.target.domain == domain
            and record.state.latency_ewma_s
        ]
        if len(slow_flags) < 2:
            return False
        return sum(slow_flags) >= len(slow_flags) * self._settings.domain_ratio

    def _is_slower_than_other_domains(self, state: TargetState) -> bool:
        latencies = [
            peer.latency_ewma_s
            for peer in self._peers(state)
            if peer.target.domain != state.target.domain and peer.latency_ewma_s
        ]
        if not latencies:
            return False
        median_s = statistics.median(latencies)
        factor = self._settings.domain_slow_factor
        return state.latency_ewma_s > median_s * factor

    def _eject(self, record: _TargetRecord, now_s: float) -> bool:
        settings = self._settings
        peers = self._peers(record.state)
        healthy_count = sum(peer.is_available(now_s) for peer in peers)
        if healthy_count <= math.ceil(len(peers) * settings.min_active_ratio):
            return False
        since_ejection_s = now_s - record.state.ejected_until_s
        if since_ejection_s * _MS_PER_S > settings.backoff_reset_ms:
            record.ejection_count = 0
        ejection_ms = min(
            settings.max_ejection_ms,
            settings.first_ejection_ms * 2**record.ejection_count,
        )
        record.ejection_count += 1
        record.failure_count = 0
        record.sample_count = 0
        record.slow_since_s = None
        record.state.ejected_until_s = now_s + ejection_ms / _MS_PER_S
        return True
