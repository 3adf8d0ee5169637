"""Workload of tests: concurrent workers that share a number of calls."""

from collections.abc import Awaitable, Callable
from typing import final

import anyio

from cornelbeam_standins.checked_caller import CallRecord

Call = Callable[[], Awaitable[CallRecord]]


@final
class Workload:
    """A fixed number of checked calls, made by concurrent workers.

    Each worker makes one call at a time. Tests inject faults into a running
    workload after a number of finished calls rather than after a delay.
    """

    __slots__ = ('_changed', '_remaining_count', 'records')

    def __init__(self, call_count: int) -> None:
        """Set the total number of calls of all workers."""
        self.records: list[CallRecord] = []
        self._remaining_count = call_count
        self._changed = anyio.Event()

    async def run_worker(self, call: Call) -> None:
        """Make calls until none remain."""
        while self._remaining_count:
            self._remaining_count -= 1
            self.records.append(await call())
            self._changed.set()
            self._changed = anyio.Event()

    async def wait_finished(self, count: int) -> None:
        """Wait until ``count`` calls have finished."""
        while len(self.records) < count:
            await self._changed.wait()
