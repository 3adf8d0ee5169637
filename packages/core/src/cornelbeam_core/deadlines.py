"""Deadlines that shrink from hop to hop."""

from typing import Final

from cornelbeam_core.errors import CornelbeamError, ErrorCode

MAX_HOP_COUNT: Final = 13
MS_PER_S: Final = 1000


def remaining_ms(deadline_s: float, now_s: float) -> int:
    """Give the whole milliseconds left, zero when the deadline has passed.

    >>> remaining_ms(deadline_s=2.5, now_s=2.0)
    500
    """
    return max(0, int((deadline_s - now_s) * MS_PER_S))


def check_deadline(deadline_s: float, now_s: float, step: str) -> None:
    """Raise ``deadline_passed`` when no time is left."""
    if deadline_s <= now_s:
        raise CornelbeamError(
            ErrorCode.DEADLINE_PASSED,
            step,
            detail='the deadline passed before the request was handed over',
        )


def check_hop_count(hop_count: int) -> None:
    """Raise ``too_many_hops`` beyond the longest supported call chain."""
    if hop_count > MAX_HOP_COUNT:
        raise CornelbeamError(
            ErrorCode.TOO_MANY_HOPS,
            'routing',
            detail=f'{hop_count} hops, at most {MAX_HOP_COUNT} are supported',
        )
