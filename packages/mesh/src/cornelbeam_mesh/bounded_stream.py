"""A stream for log lines that drops some rather than block or flood."""

import os
from collections.abc import Callable
from typing import Final, final

from cornelbeam_core.budget import TokenBucket

# A request that fails writes a few lines; more than this a second repeat the
# same cause and cost processor time.
MAX_LINES_PER_S: Final = 100
BURST_LINE_COUNT: Final = 400
Clock = Callable[[], float]


@final
class BoundedStream:
    """Writes lines to a file descriptor without waiting for its reader.

    Lines beyond the rate, and lines that the reader has no room for, are
    dropped; the next line that is written says how many.
    """

    __slots__ = ('_bucket', '_clock', '_descriptor', '_dropped_count')

    def __init__(self, descriptor: int, clock: Clock) -> None:
        """Write to ``descriptor``; ``clock`` gives seconds."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._bucket = TokenBucket(BURST_LINE_COUNT, MAX_LINES_PER_S)
        self._dropped_count = 0

    def write(self, line: str) -> int:
        """Write one line or drop it; give its length."""
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
        """Do nothing: nothing is held back."""
