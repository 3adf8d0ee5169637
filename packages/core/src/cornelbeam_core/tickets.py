"""Calls at the gate of a target, and the reasons for refusing them."""

import enum
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.rate_limit import RateUse

# Only this share of the limit of a cold target is used; the rest covers calls
# that arrive closer together than they were sent.
COLD_BOUND_SHARE: Final = 0.9
# Share of the slack that may start at the same time; the rest is spread over
# the second.
COLD_BURST_SHARE: Final = 0.4


@final
class Refusal(enum.Enum):
    """Reason for refusing a call; a refused call has not run."""

    NO_TARGET = 'no_target'
    DRAINING = 'draining'
    EVACUATED = 'evacuated'
    FULL = 'full'
    RATE_LIMITED = 'rate_limited'
    TOO_LATE = 'too_late'
    REPEATS = 'repeats'


@final
@dataclass(frozen=True, slots=True)
class ColdBound:
    """Maximum number of calls that a cold target gets in one second.

    It is ``factor`` times the rate the target accepts, plus ``slack_count``.
    """

    factor: float
    slack_count: float

    def usable_per_s(self, cold_per_s: float) -> float:
        """Return the rate at which calls may start after a burst."""
        usable_count = cold_per_s * self.factor + self.slack_count
        usable_count *= COLD_BOUND_SHARE
        return max(1, usable_count - self.usable_burst_count)

    @property
    def usable_burst_count(self) -> float:
        """Number of calls that may start at the same time."""
        return max(1, self.slack_count * COLD_BURST_SHARE)


@final
@dataclass(frozen=True, slots=True)
class Ticket:
    """A call at the gate, with its priority and the times that limit its wait.

    It leaves the queue at ``give_up_at_s`` at the latest, should end before
    ``objective_at_s`` and is useless after ``deadline_s``. Service times are
    kept per ``route``. Nested calls go first: each is made by a running
    request, which holds a slot of its own target until the call is answered.
    ``is_last_resort`` says that the sender has found no room elsewhere, and
    ``tenant`` names whose call it is, empty without one.
    """

    call: Hashable
    is_nested: bool
    priority: int
    give_up_at_s: float
    objective_at_s: float
    deadline_s: float
    route: str
    is_last_resort: bool = False
    tenant: str = ''

    @property
    def rate_use(self) -> RateUse:
        """How much of the rate that the target tolerates the call may use.

        If a nested call is refused, the request that made it fails after it has
        used its slot.
        """
        has_priority = self.is_nested or self.is_last_resort
        return RateUse.TOLERATED if has_priority else RateUse.STATED
