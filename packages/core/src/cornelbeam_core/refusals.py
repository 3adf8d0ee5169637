"""HTTP status and retry delay of a request that can't be served."""

import math
from typing import Final

from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

# Delays are extended by a random part of up to this share, so that callers that
# were refused together don't retry together.
RETRY_JITTER: Final = 0.5
# After a shorter delay the load is still the same.
MIN_RETRY_DELAY_S: Final = 0.1
# A longer delay exceeds the time that callers have left.
MAX_RETRY_DELAY_S: Final = 2.0
# Errors of the caller. Their status says that the request has not run, and why.
_CALLER_FAULTS: Final = frozenset(
    (
        ErrorCode.MALFORMED_REQUEST,
        ErrorCode.HEAD_TOO_LARGE,
        ErrorCode.BODY_TOO_LARGE,
        ErrorCode.UNKNOWN_SERVICE,
        ErrorCode.UNKNOWN_API_KEY,
        ErrorCode.QUOTA_EXCEEDED,
    ),
)
_NOT_RUN_STATUS: Final = 503
_HUNDREDTHS: Final = 100
_MS_PER_HUNDREDTH: Final = 10


def refusal_status(error: CornelbeamError) -> int:
    """Return the HTTP status of an error.

    503 promises that the request has not run and never will, whatever the
    reason. An unclear outcome gets a status that makes no such promise.
    """
    if error.code in _CALLER_FAULTS:
        return error.http_status
    if error.run_state is RunState.NOT_RUN:
        return _NOT_RUN_STATUS
    return error.http_status


def quota_delay_s(wait_ms: float) -> float:
    """Return the seconds after which a caller over its quota should retry.

    The wait is rounded up to whole hundredths, as the answer states it.

    >>> quota_delay_s(1201)
    1.21
    """
    return max(1, math.ceil(wait_ms / _MS_PER_HUNDREDTH)) / _HUNDREDTHS


def retry_delay_s(wait_ms: float, remaining_s: float, jitter: float) -> float:
    """Return the seconds after which a refused caller should retry.

    ``wait_ms`` is the expected wait at the least loaded target,
    ``remaining_s`` the time the caller has left and ``jitter`` a random number
    from 0 to 1. The delay is limited to a third of ``remaining_s``, because a
    retry is useless if it leaves the caller less time than the delay took.

    >>> retry_delay_s(wait_ms=400, remaining_s=3, jitter=0)
    0.4
    """
    delay_s = max(MIN_RETRY_DELAY_S, wait_ms / MS_PER_S)
    delay_s *= 1 + RETRY_JITTER * jitter
    return min(
        delay_s, MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, remaining_s / 3)
    )
