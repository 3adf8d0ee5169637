"""Hedging: second attempts for idempotent requests that are slow."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Final, final

from cornelbeam_core.budget import RetryBudget
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_core.retry import (
    QuantileEstimate,
    RepeatableRoute,
    compute_hedge_delay_s,
)

from cornelbeam_daemon.calls import Answer
from cornelbeam_daemon.metrics import Metrics

Attempt = Coroutine[None, None, Answer]
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

        Raise the error of the first attempt when both fail. The first attempt
        runs in the task of the request: most calls end before the delay, and a
        task for each would cost more than the rest of this method.
        """
        second = _SecondAttempt(make_second, self._is_allowed)
        timer = self._loop.call_later(delay_s, second.start)
        try:
            return await first
        except CornelbeamError:
            answer = await second.wait()
            if answer is None:
                raise
            return answer
        except asyncio.CancelledError:
            answer = second.take_winner()
            if answer is None:
                raise
            return answer
        finally:
            timer.cancel()
            second.discard()

    def _is_allowed(self) -> bool:
        is_allowed = self._budget.try_take_hedge(self._loop.time())
        self._metrics.count_retry(True, is_allowed)
        return is_allowed


@final
class _SecondAttempt:
    """Second attempt, which cancels the first one if it answers earlier."""

    __slots__ = (
        '_first_task',
        '_has_interrupted',
        '_is_allowed',
        '_make',
        '_task',
    )

    def __init__(
        self,
        make: Callable[[], Attempt | None],
        is_allowed: Callable[[], bool],
    ) -> None:
        self._make = make
        self._is_allowed = is_allowed
        self._first_task = asyncio.current_task()
        self._task: asyncio.Task[Answer] | None = None
        self._has_interrupted = False

    def start(self) -> None:
        """Start after the delay if the budget allows it."""
        if not self._is_allowed():
            return
        attempt = self._make()
        if attempt is not None:
            self._task = asyncio.get_running_loop().create_task(attempt)
            self._task.add_done_callback(self._interrupt_first)

    async def wait(self) -> Answer | None:
        """Wait for a running second attempt; return its answer, if any."""
        task = self._task
        if task is None:
            return None
        # The first attempt has ended, so there is nothing to interrupt.
        self._first_task = None
        await asyncio.wait((task,))
        if task.cancelled() or task.exception() is not None:
            return None
        self._task = None
        return task.result()

    def take_winner(self) -> Answer | None:
        """Return the answer for which the first attempt was cancelled.

        Return None when the request itself was cancelled as well.
        """
        task = self._task
        if task is None or not self._has_interrupted:
            return None
        if self._first_task is not None and self._first_task.uncancel():
            return None
        self._task = None
        return task.result()

    def discard(self) -> None:
        """Cancel a second attempt that is not needed, or close its answer."""
        task = self._task
        self._first_task = None
        if task is None:
            return
        task.add_done_callback(_close_answer)
        task.cancel()

    def _interrupt_first(self, task: asyncio.Task[Answer]) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        if self._first_task is not None:
            self._has_interrupted = True
            self._first_task.cancel()


def _close_answer(task: asyncio.Task[Answer]) -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().close()
