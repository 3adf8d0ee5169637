"""Checks of the deadline and of the hop count of a request."""

import math
from typing import Final, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode

MAX_HOP_COUNT: Final = 13
MS_PER_S: Final = 1000


def remaining_ms(deadline_s: float, now_s: float) -> int:
    """Return the whole milliseconds left, zero after the deadline.

    >>> remaining_ms(deadline_s=2.5, now_s=2.0)
    500
    """
    return max(0, int((deadline_s - now_s) * MS_PER_S))


def check_deadline(deadline_s: float, now_s: float, step: str) -> None:
    """Raise ``CornelbeamError`` (``DEADLINE_PASSED``) if no time is left."""
    if deadline_s <= now_s:
        raise CornelbeamError(
            ErrorCode.DEADLINE_PASSED,
            step,
            detail='the deadline passed before the request was handed over',
        )


def check_hop_count(hop_count: int) -> None:
    """Raise ``CornelbeamError`` (``TOO_MANY_HOPS``) above the limit."""
    if hop_count > MAX_HOP_COUNT:
        raise CornelbeamError(
            ErrorCode.TOO_MANY_HOPS,
            'routing',
            detail=f'{hop_count} hops, at most {MAX_HOP_COUNT} are supported',
        )


@final
class StopDeadline:
    """Time by which a daemon that stops must have answered every request.

    Load that this answers: a planned stop under load, in which requests with
    more time left than the daemon arrive until the last moment.

    >>> stop = StopDeadline()
    >>> stop.limit(12.0)
    12.0
    >>> stop.begin(10.0)
    >>> stop.limit(12.0)
    10.0
    """

    __slots__ = ('at_s',)

    def __init__(self) -> None:
        """Start without a stop."""
        self.at_s = math.inf

    @property
    def is_begun(self) -> bool:
        """Whether the daemon is stopping."""
        return not math.isinf(self.at_s)

    def begin(self, at_s: float) -> None:
        """Begin a stop in which all work must have ended at ``at_s``."""
        self.at_s = at_s

    def limit(self, deadline_s: float) -> float:
        """Return the deadline of a request, that of the stop at the latest."""
        return min(deadline_s, self.at_s)

    def check(self, service_ms: float, now_s: float) -> None:
        """Raise ``CornelbeamError`` (``TARGET_LEAVING``) if it would be late.

        ``service_ms`` is the shortest time that the request may take.
        """
        left_ms = (self.at_s - now_s) * MS_PER_S
        if left_ms < service_ms:
            raise CornelbeamError(
                ErrorCode.TARGET_LEAVING,
                'planned stop',
                detail='it would not end before the daemon does',
            )
