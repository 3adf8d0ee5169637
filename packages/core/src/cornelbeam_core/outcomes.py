"""How an attempt at a backend server ended, as the policies count it."""

import enum
from typing import final


@final
class CallOutcome(enum.Enum):
    """End of one attempt.

    ``SHED`` is a refusal for lack of capacity, ``FAILED`` a reset, a broken
    answer or an answer with another server error, ``TIMED_OUT`` an attempt
    whose deadline passed, and ``CANCELLED`` one that its caller gave up.
    """

    ANSWERED = 'answered'
    SHED = 'shed'
    FAILED = 'failed'
    TIMED_OUT = 'timed-out'
    CANCELLED = 'cancelled'
