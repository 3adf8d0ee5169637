"""Concurrent workers for tests: a fixed number of checked calls."""

from collections.abc import Awaitable, Callable
from typing import final

import anyio

from cornelbeam_standins.checked_caller import CallRecord

Call = Callable[[], Awaitable[CallRecord]]


@final
class Workload:
    """Calls made one after the other by each of some workers.

    Tests act in the middle of it by waiting for a number of finished calls
    rather than for a time.
    """

    __slots__ = ('_changed', '_left', 'records')

    def __init__(self, call_count: int) -> None:
        """Plan a number of calls in all."""
        self.records: list[CallRecord] = []
        self._left = call_count
        self._changed = anyio.Event()

    async def run_worker(self, call: Call) -> None:
        """Call until no call is left."""
        while self._left:
            self._left -= 1
            self.records.append(await call())
            self._changed.set()
            self._changed = anyio.Event()

    async def wait_finished(self, count: int) -> None:
        """Wait until so many calls have ended."""
        while len(self.records) < count:
            await self._changed.wait()
