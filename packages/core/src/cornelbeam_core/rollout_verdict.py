"""Decision whether a version is worse than the one that it replaces.

Answers are compared route by route and at the same time. An answer is bad if
it is a failure or much slower than most answers of the old version.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final, final

__all__ = (
    'DURATION_BUCKET_COUNT',
    'RouteCounts',
    'VersionJudge',
    'duration_bucket',
    'poisson_tail',
)

# Bounds of duration buckets grow by the square root of two from a millisecond
# up to 46 s, longer than any timeout.
DURATION_BUCKET_COUNT: Final = 32
_BUCKETS_PER_DOUBLING: Final = 2
# An answer is slow in a bucket this far above that of the quantile, that is
# when it takes 1.4 to 2 times as long or more.
_SLOW_BUCKET_DISTANCE: Final = 2
_SLOW_QUANTILE: Final = 0.9
# A busy daemon delays several answers at once by as much, whatever the version.
_MIN_SLOW_S: Final = 0.04
# Fewer answers of the old version show no quantile.
_MIN_QUANTILE_COUNT: Final = 8
# Slots of half a second that are compared, and those of the recent test, which
# finds a version that turns bad after many good answers.
_SLOT_COUNT: Final = 80
_RECENT_SLOT_COUNT: Final = 8
# Weight, in requests, of the whole order in the rate of a slot.
_PRIOR_COUNT: Final = 10
# Rate assumed before the old version has answered: one bad in a hundred.
_FIRST_BAD_COUNT: Final = 0.1
_FIRST_COUNT: Final = 10
# Bad answers come in clusters, so more than the expected number is tolerated.
_EXCESS_FACTOR: Final = 1.25
_EXCESS_COUNT: Final = 0.3
# Fewer bad answers say nothing about a version.
_MIN_BAD_COUNT: Final = 3
# Probability of the bad answers of a good version. The running test is made
# twice a second, the last one when everything is sent to the version and before
# completion. Twice these values blamed 3 to 13 in 100 good versions in
# simulations of 10 to 150 requests a second.
_RUNNING_PROBABILITY: Final = 0.0003
_LAST_PROBABILITY: Final = 0.007


@final
@dataclass(slots=True)
class RouteCounts:
    """Answers of one version on one route.

    ``durations`` counts answers that aren't failures by duration bucket.
    """

    request_count: int
    failure_count: int
    durations: tuple[int, ...]

    def since(self, earlier: 'RouteCounts | None') -> 'RouteCounts':
        """Return what was added since an earlier count of the same gate."""
        if earlier is None:
            return self
        return RouteCounts(
            self.request_count - earlier.request_count,
            self.failure_count - earlier.failure_count,
            tuple(
                now - before
                for now, before in zip(self.durations, earlier.durations)
            ),
        )

    def plus(self, other: 'RouteCounts | None') -> 'RouteCounts':
        """Return the sum of two counts."""
        if other is None:
            return self
        return RouteCounts(
            self.request_count + other.request_count,
            self.failure_count + other.failure_count,
            tuple(
                one + two for one, two in zip(self.durations, other.durations)
            ),
        )

    def bad_count(self, slow_bucket: int) -> int:
        """Return the failures and the answers from a bucket upwards."""
        return self.failure_count + sum(self.durations[slow_bucket:])

    @property
    def answer_count(self) -> int:
        """Number of failures and of answers with a duration."""
        return self.failure_count + sum(self.durations)


_Counts = Mapping[str, RouteCounts]


def duration_bucket(duration_s: float) -> int:
    """Return the bucket of a duration.

    >>> duration_bucket(0.1), duration_bucket(0.2)
    (13, 15)
    """
    duration_ms = max(1, duration_s * 1000)
    bucket = int(math.log2(duration_ms) * _BUCKETS_PER_DOUBLING)
    return min(bucket, DURATION_BUCKET_COUNT - 1)


def poisson_tail(count: int, mean: float) -> float:
    """Return the probability of at least ``count`` events.

    >>> round(poisson_tail(1, 0.5), 4)
    0.3935
    """
    if mean <= 0:
        return int(count <= 0)
    # exp(-mean) alone underflows for means above 745.
    log_mean = math.log(mean)
    terms = (
        math.exp(number * log_mean - mean - math.lgamma(number + 1))
        for number in range(count)
    )
    return max(0, 1 - math.fsum(terms))


@final
class VersionJudge:
    """Compares the answers of two versions.

    >>> judge = VersionJudge()
    >>> judge.is_bad()
    False
    """

    __slots__ = ('_old_totals', '_slots')

    def __init__(self) -> None:
        """Start without answers."""
        # New and old counts of each slot, newest last.
        self._slots: deque[tuple[_Counts, _Counts]] = deque(maxlen=_SLOT_COUNT)
        self._old_totals: dict[str, RouteCounts] = {}

    def note(self, new: _Counts, old: _Counts) -> None:
        """Add the answers of one slot of half a second, by route."""
        self._slots.append((new, old))
        for route, counts in old.items():
            self._old_totals[route] = counts.plus(self._old_totals.get(route))

    def is_bad(self, *, is_last: bool = False) -> bool:
        """Return whether the new version is worse than the old one.

        ``is_last`` marks the test before completion, which takes less for bad:
        it is the only one that must not miss a version.
        """
        limit = _LAST_PROBABILITY if is_last else _RUNNING_PROBABILITY
        slots = list(self._slots)
        return any(
            self._probability(part) < limit
            for part in (slots, slots[-_RECENT_SLOT_COUNT:])
        )

    def _probability(self, slots: Iterable[tuple[_Counts, _Counts]]) -> float:
        """Return how probable the bad answers are if the versions are equal.

        The least of all routes and their sum: a fault may be on one route.
        """
        bad_counts: dict[str, int] = {}
        means: dict[str, float] = {}
        thresholds: dict[str, int] = {}
        for new, old in slots:
            for route, counts in new.items():
                if route not in thresholds:
                    thresholds[route] = self._slow_bucket(route)
                slow_bucket = thresholds[route]
                mean = counts.answer_count * self._bad_rate(
                    route, old.get(route), slow_bucket
                )
                means[route] = means.get(route, 0) + mean
                bad_counts[route] = bad_counts.get(route, 0) + counts.bad_count(
                    slow_bucket
                )
        tails = [_tail(bad_counts[each], means[each]) for each in means]
        total = _tail(sum(bad_counts.values()), sum(means.values()))
        # One of many routes shows as many bad answers by chance more often.
        return min([total, *(len(tails) * tail for tail in tails)])

    def _bad_rate(
        self, route: str, old: RouteCounts | None, slow_bucket: int
    ) -> float:
        total = self._old_totals.get(route)
        usual_rate = _FIRST_BAD_COUNT / _FIRST_COUNT
        if total is not None:
            usual_rate = (total.bad_count(slow_bucket) + _FIRST_BAD_COUNT) / (
                total.answer_count + _FIRST_COUNT
            )
        if old is None:
            return usual_rate
        return (old.bad_count(slow_bucket) + usual_rate * _PRIOR_COUNT) / (
            old.answer_count + _PRIOR_COUNT
        )

    def _slow_bucket(self, route: str) -> int:
        """Return the first bucket of slow answers; past the end if unknown."""
        total = self._old_totals.get(route)
        if total is None or sum(total.durations) < _MIN_QUANTILE_COUNT:
            return DURATION_BUCKET_COUNT
        left_count = _SLOW_QUANTILE * sum(total.durations)
        for bucket, count in enumerate(total.durations):
            left_count -= count
            if left_count <= 0:
                return max(
                    bucket + _SLOW_BUCKET_DISTANCE,
                    duration_bucket(_MIN_SLOW_S),
                )
        return DURATION_BUCKET_COUNT


def _tail(bad_count: int, mean: float) -> float:
    if bad_count < _MIN_BAD_COUNT:
        return 1
    return poisson_tail(bad_count, _EXCESS_FACTOR * mean + _EXCESS_COUNT)
