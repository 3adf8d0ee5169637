"""Tells how long a caller waits already when its attempt arrives.

It answers callers that come back under load. Their attempts carry the time
that is left of the whole wait, so an attempt with less time than others of
its route is most likely not the first of its caller. It can't meet its
objective any more as a first one can, and must not take its place.
"""

from collections import deque
from typing import Final, final

# Attempts of a route that are remembered: enough for a share, few enough to
# follow a change of the callers' time limits.
SAMPLE_COUNT: Final = 32
# The time of first attempts is taken to be this quantile: callers that come
# back have less, and a few callers with odd time limits don't matter.
FIRST_ATTEMPT_QUANTILE: Final = 0.75
# More routes than a configuration has in use.
MAX_ROUTE_COUNT: Final = 4096


@final
class CallerWaitEstimator:
    """The time that recent callers of each route had left.

    >>> callers = CallerWaitEstimator()
    >>> [callers.note('windows', left_ms=ms) for ms in (2000, 2000, 1400)]
    [0, 0, 600]
    """

    __slots__ = ('_left_ms',)

    def __init__(self) -> None:
        """Start without callers."""
        self._left_ms: dict[str, deque[int]] = {}

    def note(self, route: str, left_ms: int) -> int:
        """Note the time that a caller has left; give what it has spent."""
        if len(self._left_ms) > MAX_ROUTE_COUNT:
            # Routes come and go with configurations.
            self._left_ms.clear()
        samples = self._left_ms.setdefault(route, deque(maxlen=SAMPLE_COUNT))
        samples.append(left_ms)
        index = int((len(samples) - 1) * FIRST_ATTEMPT_QUANTILE)
        return max(0, sorted(samples)[index] - left_ms)
