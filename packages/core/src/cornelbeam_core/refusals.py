"""How a request that can't be served is refused, and when to come back."""

from typing import Final

from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

# Callers that were refused together must not return together.
RETURN_SPREAD: Final = 0.5
# A shorter wait meets the same load.
MIN_RETURN_S: Final = 0.1
# A longer one exceeds what callers have left.
MAX_RETURN_S: Final = 2.0
_CALLER_FAULTS: Final = frozenset(
    (
        ErrorCode.MALFORMED_REQUEST,
        ErrorCode.HEAD_TOO_LARGE,
        ErrorCode.BODY_TOO_LARGE,
        ErrorCode.UNKNOWN_SERVICE,
    ),
)
_NOT_RUN_STATUS: Final = 503


def refusal_status(error: CornelbeamError) -> int:
    """Give the HTTP status of an error.

    503 promises that the request has not run and never will, whatever the
    reason; anything unclear is reported by a status that promises nothing.
    """
    if error.code in _CALLER_FAULTS:
        return error.http_status
    if error.run_state is RunState.NOT_RUN:
        return _NOT_RUN_STATUS
    return error.http_status


def retry_delay_s(wait_ms: float, left_s: float, spread: float) -> float:
    """Give the time after which a refused caller had best come back.

    ``wait_ms`` is the expected wait at the least loaded target, ``left_s``
    the time the caller has and ``spread`` a random number from 0 to 1. There
    is no point in a delay that leaves the caller less time than it waits.

    >>> retry_delay_s(wait_ms=400, left_s=3, spread=0)
    0.4
    """
    delay_s = max(MIN_RETURN_S, wait_ms / MS_PER_S)
    delay_s *= 1 + RETURN_SPREAD * spread
    return min(delay_s, MAX_RETURN_S, max(MIN_RETURN_S, left_s / 3))
