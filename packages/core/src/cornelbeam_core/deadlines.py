"""Checks of the deadline and of the hop count of a request."""

from typing import Final

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
