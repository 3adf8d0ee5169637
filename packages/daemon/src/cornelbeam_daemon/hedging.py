"""Second attempts for idempotent requests whose first one is slow."""

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
# Services beyond this number are not hedged; callers cannot fill the memory.
MAX_SERVICE_COUNT: Final = 1024


@final
class Hedger:
    """Runs an attempt and, when it is slow, a second one beside it."""

    __slots__ = ('_budget', '_estimates', '_loop', '_metrics')

    def __init__(self, budget: RetryBudget, metrics: Metrics) -> None:
        """Take tokens for hedges from ``budget``."""
        self._budget = budget
        self._metrics = metrics
        self._estimates: dict[str, QuantileEstimate] = {}
        self._loop = asyncio.get_running_loop()

    def note_latency(self, service: str, latency_s: float) -> None:
        """Take the latency of an answered attempt into account."""
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
        """Give the time after which a second attempt starts, if at all."""
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
        """Give the first whole head of an answer; the other is cancelled.

        Raises the error of the first attempt when both fail.
        """
        tasks = [self._loop.create_task(first)]
        try:
            done, _ = await asyncio.wait(tasks, timeout=delay_s)
            if not done and self._is_allowed():
                second = make_second()
                if second is not None:
                    tasks.append(self._loop.create_task(second))
            return await _first_answer(tasks)
        finally:
            for task in tasks:
                _discard(task)

    def _is_allowed(self) -> bool:
        is_allowed = self._budget.try_take_hedge(self._loop.time())
        self._metrics.count_retry(True, is_allowed)
        return is_allowed


async def _first_answer(tasks: list[asyncio.Task[Answer]]) -> Answer:
    left = set(tasks)
    while left:
        done, left = await asyncio.wait(
            left,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            if not task.cancelled() and task.exception() is None:
                # The loser is discarded by the caller of this function.
                tasks.remove(task)
                return task.result()
    return tasks[0].result()


def _discard(task: asyncio.Task[Answer]) -> None:
    if task.done():
        _close_answer(task)
        return
    task.add_done_callback(_close_answer)
    task.cancel()


def _close_answer(task: asyncio.Task[Answer]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is None:
        task.result().close()
    elif not isinstance(error, CornelbeamError):
        raise error
