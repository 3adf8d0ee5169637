"""Progress of a rollout: how much of the traffic a version gets, and when."""

import math
from dataclasses import dataclass
from typing import Final, final

__all__ = ('ExposureBound', 'RolloutPlan', 'Traffic')

# Part of the duration, and its limits, that remains when everything is sent to
# the new version: the old one must end its requests, and a slow store take the
# status, within the duration.
_FINAL_PART: Final = 0.25
_MIN_FINAL_S: Final = 2.5
_MAX_FINAL_S: Final = 5.0
# Part of that time, and its least, that remains for the write of the status: a
# store that is slow or loses answers takes some attempts.
_STATUS_PART: Final = 0.6
_MIN_STATUS_S: Final = 1.5
# Part of the trial after which more of the bound is used.
_LOAD_PART: Final = 0.7
# Parts of the bound used in the first part of the trial and in its last one.
# The rest covers a version whose fault shows when it gets all requests.
_EARLY_SHARE_PART: Final = 0.5
_EARLY_SLACK_PART: Final = 0.6
_LATE_SHARE_PART: Final = 0.8
_LATE_SLACK_PART: Final = 0.8
# Old targets serve the rest and must stay comparable.
_MAX_SHARE: Final = 0.5
# Daemons learn a changed share over the store, so small changes aren't worth a
# write.
_SHARES: Final = (0.01, 0.02, 0.05, 0.07, 0.1, 0.15, 0.2, 0.3, _MAX_SHARE)
# A share is kept while the wanted one is between these multiples of it.
_KEPT_BELOW: Final = 0.7
_KEPT_ABOVE: Final = 1.7
# Requests are reserved for the time until the next record.
_RESERVED_S: Final = 5.0
_MIN_RESERVED_COUNT: Final = 10
# Granted to a target that stands in for the others.
_SPARE_COUNT: Final = 2


@final
@dataclass(frozen=True, slots=True)
class ExposureBound:
    """Requests that a bad version may get: a share of all, plus a slack."""

    share: float
    slack_count: float

    def count(self, total_count: float) -> float:
        """Return the bound for a number of requests of the service."""
        return self.share * total_count + self.slack_count


@final
@dataclass(frozen=True, slots=True)
class Traffic:
    """Requests of the service since the order, and their present rate.

    ``spent_count`` is what has been granted to the new version.
    """

    total_count: int
    rate_per_s: float
    spent_count: int


@final
class RolloutPlan:
    """Plan of one order.

    >>> plan = RolloutPlan(12, ExposureBound(0.1, 50))
    >>> plan.final_at_s
    9.0
    """

    __slots__ = ('_bound', 'complete_at_s', 'duration_s', 'final_at_s')

    def __init__(self, duration_s: float, bound: ExposureBound) -> None:
        """Plan an order of ``duration_s`` within a bound."""
        final_s = min(_MAX_FINAL_S, max(_MIN_FINAL_S, duration_s * _FINAL_PART))
        self.duration_s = duration_s
        self.final_at_s = duration_s - final_s
        # Answers under the whole load are waited for until then.
        self.complete_at_s = duration_s - max(
            _MIN_STATUS_S, final_s * _STATUS_PART
        )
        self._bound = bound

    def allowed_count(self, age_s: float, total_count: float) -> int:
        """Return the requests that the new version may get in the trial.

        ``total_count`` are those of the service up to now; that only grows, so
        the count is within the bound at any later time too.
        """
        share_part, slack_part = _EARLY_SHARE_PART, _EARLY_SLACK_PART
        if age_s >= self.final_at_s * _LOAD_PART:
            share_part, slack_part = _LATE_SHARE_PART, _LATE_SLACK_PART
        return math.floor(
            share_part * self._bound.share * total_count
            + slack_part * self._bound.slack_count
        )

    def share(
        self, age_s: float, traffic: Traffic, current: float = 0
    ) -> float:
        """Return the share that spends what is allowed evenly over the trial.

        The ``current`` one is kept while it is about right.

        Early answers count as much as late ones, as a version may be bad from
        the start, later, or under load.
        """
        load_at_s = self.final_at_s * _LOAD_PART
        end_s = load_at_s if age_s < load_at_s else self.final_at_s
        left_s = max(1, end_s - age_s)
        expected_count = traffic.total_count + traffic.rate_per_s * left_s
        left_count = (
            self.allowed_count(age_s, expected_count) - traffic.spent_count
        )
        wanted = left_count / max(1, traffic.rate_per_s * left_s)
        if _KEPT_BELOW * current <= wanted <= _KEPT_ABOVE * current:
            return current
        return max(
            (each for each in _SHARES if each <= wanted), default=_SHARES[0]
        )

    def reserve_count(
        self, age_s: float, share: float, traffic: Traffic
    ) -> int:
        """Return up to how many requests may be granted until the next record.

        It never exceeds what is allowed with the requests expected by then,
        or what has been granted already.
        """
        expected_count = traffic.total_count + traffic.rate_per_s * _RESERVED_S
        needed_count = (
            traffic.spent_count
            + math.ceil(traffic.rate_per_s * share * _RESERVED_S)
            + _MIN_RESERVED_COUNT
        )
        allowed_count = self.allowed_count(age_s, expected_count)
        return max(traffic.spent_count, min(needed_count, allowed_count))

    def grant_counts(
        self,
        limit_count: int,
        traffic: Traffic,
        share: float,
        gates: dict[str, tuple[int, int]],
        spare: str = '',
    ) -> dict[str, int]:
        """Return how many more requests each gate may run.

        ``gates`` holds the number of granted and of received requests of the
        gates that get the share, by name. Together the gates get no more than
        what is left of ``limit_count``, and each what it needs for a second;
        the gate ``spare`` gets only a few.
        """
        left_count = limit_count - traffic.spent_count
        granted: dict[str, int] = {}
        if not gates:
            return granted
        full_count = math.ceil(traffic.rate_per_s * share / len(gates)) + 1
        fewest_first = sorted(
            gates, key=lambda name: gates[name][0] - gates[name][1]
        )
        for position, name in enumerate(fewest_first):
            granted_count, received_count = gates[name]
            part_count = math.ceil(left_count / (len(gates) - position))
            needed_count = _SPARE_COUNT if name == spare else full_count
            missing_count = received_count + needed_count - granted_count
            more_count = max(0, min(part_count, missing_count, left_count))
            if more_count:
                granted[name] = more_count
                left_count -= more_count
        return granted
