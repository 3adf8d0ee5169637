"""Log stream that drops lines instead of blocking or flooding its output."""

import os
from collections.abc import Callable
from typing import Final, final

from cornelbeam_core.budget import TokenBucket

# A failing request writes a few lines; beyond this rate, lines repeat the same
# cause and cost CPU time.
MAX_LINES_PER_S: Final = 100
BURST_LINE_COUNT: Final = 400
Clock = Callable[[], float]


@final
class BoundedStream:
    """Write lines to a file descriptor without blocking on its reader.

    Lines that exceed the rate limit or don't fit into the pipe are dropped;
    the next line that is written is preceded by their number.
    """

    __slots__ = ('_bucket', '_clock', '_descriptor', '_dropped_count')

    def __init__(self, descriptor: int, clock: Clock) -> None:
        """Write to ``descriptor``; ``clock`` returns the time in seconds."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._bucket = TokenBucket(BURST_LINE_COUNT, MAX_LINES_PER_S)
        self._dropped_count = 0

    def write(self, line: str) -> int:
        """Write or drop one line and return its length."""
        if not self._bucket.try_take(self._clock()):
            self._dropped_count += 1
            return len(line)
        if self._dropped_count:
            line = f'{{"message": "dropped {self._dropped_count}"}}\n{line}'
        try:
            os.write(self._descriptor, line.encode())
        except (BlockingIOError, BrokenPipeError):
            self._dropped_count += 1
        else:
            self._dropped_count = 0
        return len(line)

    def flush(self) -> None:
        """Do nothing: lines are not buffered."""
