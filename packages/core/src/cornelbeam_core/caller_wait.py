"""Estimate how long a caller has already waited when its attempt arrives.

Under overload, refused callers retry. Each attempt carries the time left until
the caller gives up, so an attempt with less time left than others of its route
is most likely a retry. It is less likely to meet its objective than a first
attempt and must not displace one.
"""

from collections import deque
from typing import Final, final

# Recent attempts kept per route: enough for a quantile, few enough to follow a
# change of the callers' timeouts.
SAMPLE_COUNT: Final = 32
# This quantile of the times left is taken as that of first attempts. Retries
# are below it, and a few callers with unusual timeouts do not change it.
FIRST_ATTEMPT_QUANTILE: Final = 0.75
# Above this number of routes all samples are dropped, as those of removed
# routes are not deleted one by one. Configurations use fewer routes.
MAX_ROUTE_COUNT: Final = 4096


@final
class CallerWaitEstimator:
    """Times left of recent attempts, by route.

    >>> callers = CallerWaitEstimator()
    >>> [callers.note('windows', left_ms=ms) for ms in (2000, 2000, 1400)]
    [0, 0, 600]
    """

    __slots__ = ('_left_ms',)

    def __init__(self) -> None:
        """Start without samples."""
        self._left_ms: dict[str, deque[int]] = {}

    def note(self, route: str, left_ms: int) -> int:
        """Record the time a caller has left; return the time it has waited."""
        if len(self._left_ms) > MAX_ROUTE_COUNT:
            self._left_ms.clear()
        samples = self._left_ms.setdefault(route, deque(maxlen=SAMPLE_COUNT))
        samples.append(left_ms)
        index = int((len(samples) - 1) * FIRST_ATTEMPT_QUANTILE)
        return max(0, sorted(samples)[index] - left_ms)
