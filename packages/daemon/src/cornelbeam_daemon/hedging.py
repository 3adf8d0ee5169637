"""Hedging: second attempts for idempotent requests that are slow."""

import asyncio
from collections.abc import Callable
from typing import Final, final

from cornelbeam_core.budget import RetryBudget
from cornelbeam_core.retry import (
    QuantileEstimate,
    RepeatableRoute,
    compute_hedge_delay_s,
)

from cornelbeam_daemon.calls import Answer
from cornelbeam_daemon.metrics import Metrics
from cornelbeam_daemon.racing import Attempt, SecondAttempt, race

# Further services are not hedged, so that callers cannot exhaust the memory.
MAX_SERVICE_COUNT: Final = 1024


@final
class Hedger:
    """Runs an attempt and, if it is slow, a second one in parallel."""

    __slots__ = ('_budget', '_estimates', '_loop', '_metrics')

    def __init__(self, budget: RetryBudget, metrics: Metrics) -> None:
        """Take a token from ``budget`` for each hedge."""
        self._budget = budget
        self._metrics = metrics
        self._estimates: dict[str, QuantileEstimate] = {}
        self._loop = asyncio.get_running_loop()

    def note_latency(self, service: str, latency_s: float) -> None:
        """Add the latency of an answered attempt to the estimate."""
        estimate = self._estimates.get(service)
        if estimate is None:
            if len(self._estimates) >= MAX_SERVICE_COUNT:
                return
            estimate = QuantileEstimate()
            self._estimates[service] = estimate
        estimate.add(latency_s)

    def delay_s(
        self,
        service: str,
        route: RepeatableRoute,
        deadline_s: float,
        *,
        is_idempotent: bool,
    ) -> float | None:
        """Return the delay before a second attempt, None for no hedge."""
        estimate = self._estimates.get(service)
        if estimate is None:
            return None
        return compute_hedge_delay_s(
            route,
            is_idempotent=is_idempotent,
            slow_latency_s=estimate.estimate_s,
            deadline_s=deadline_s,
            now_s=self._loop.time(),
        )

    async def race(
        self,
        first: Attempt,
        delay_s: float,
        make_second: Callable[[], Attempt | None],
    ) -> Answer:
        """Return the answer that arrives first and cancel the other attempt.

        The second attempt starts after ``delay_s``. Raise the error of the
        first attempt when both fail.
        """
        second = SecondAttempt(
            lambda: make_second() if self._is_allowed() else None
        )
        timer = self._loop.call_later(delay_s, second.start)
        try:
            return await race(first, second)
        finally:
            timer.cancel()

    def _is_allowed(self) -> bool:
        is_allowed = self._budget.try_take_hedge(self._loop.time())
        self._metrics.count_retry(True, is_allowed)
        return is_allowed
