"""Time limits of the requests that are in work when a planned stop begins."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final, final

from cornelbeam_core.deadlines import StopDeadline
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

# Time in which gates hand back what waits there at the end of a planned stop.
HAND_BACK_S: Final = 0.1


@final
class StopLimits:
    """Ends requests that arrived before a stop and would outlast it.

    Requests that arrive later have no later deadline than the stop.
    """

    __slots__ = ('_limits', '_stop')

    def __init__(self, stop: StopDeadline) -> None:
        """Start without requests; ``stop`` has not begun."""
        self._stop = stop
        self._limits: set[asyncio.Timeout] = set()

    def begin(self) -> None:
        """Limit the requests in work, now that the stop has begun."""
        for limit in self._limits:
            limit.reschedule(self._stop.at_s + HAND_BACK_S)

    @asynccontextmanager
    async def limited(self) -> AsyncIterator[None]:
        """Raise ``deadline_passed`` if there is no answer before the stop."""
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self._limits.add(limit)
                yield
        except TimeoutError as error:
            raise CornelbeamError(
                ErrorCode.DEADLINE_PASSED,
                'planned stop',
                run_state=RunState.UNKNOWN,
            ) from error
        finally:
            self._limits.discard(limit)
