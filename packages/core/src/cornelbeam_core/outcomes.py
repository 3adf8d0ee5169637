"""Outcome of an attempt at a backend server, as policies count it."""

import enum
from typing import final


@final
class CallOutcome(enum.Enum):
    """Outcome of one attempt.

    ``SHED`` is a refusal for lack of capacity, ``FAILED`` a reset, a broken
    answer or another server error, ``TIMED_OUT`` an attempt whose deadline
    passed, and ``CANCELLED`` an attempt that its caller cancelled.
    """

    ANSWERED = 'answered'
    SHED = 'shed'
    FAILED = 'failed'
    TIMED_OUT = 'timed-out'
    CANCELLED = 'cancelled'
