"""Keep the calls that start at a target within the rate that it states.

A target in need states how many calls a second it accepts from all daemons
together. All calls to a target pass the gate beside it, so the gate alone can
keep the rate, without messages between daemons. This answers the load of
services of which some targets accept less than their share: the wait for the
stated rate is part of the load report, and callers go where it is shorter.

Three limits work together. A token bucket spreads the starts at the stated
rate, as in "API Rate Limiting with Token Buckets and Redis: What Actually
Works". A second one, at the rate that operators tolerate, serves calls that
found no room elsewhere. A log of the recent starts keeps every window below the
tolerated bound, also while the stated rate changes.
"""

import enum
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass
from itertools import islice
from typing import Final, final

from cornelbeam_core.budget import TokenBucket

# Only this share of the tolerated bound is used; the rest covers calls that
# arrive closer together than they were sent.
USED_BOUND_SHARE: Final = 0.9
# Calls that may start at the same time at the stated rate.
BURST_COUNT: Final = 2
# Seconds of the tolerated rate that may be used at once.
EXCESS_BURST_S: Final = 1.0
# A target that accepts nothing is asked at this rate.
MIN_RATE_PER_S: Final = 0.1
# Shortest wait for room in a window, so that rounding cannot make it zero.
MIN_WINDOW_WAIT_S: Final = 0.001
# A limit is lifted after answers without it for this time: answers may overtake
# each other.
LIFT_DELAY_S: Final = 1.0


@final
class RateUse(enum.Enum):
    """How much of the tolerated rate a call may use.

    ``STATED`` keeps to the stated rate, as another target may have room.
    ``TOLERATED`` has found no room elsewhere.
    """

    STATED = 'stated'
    TOLERATED = 'tolerated'


@final
@dataclass(frozen=True, slots=True)
class RateBound:
    """Maximum number of calls that a target with a stated rate gets.

    In any ``window_s`` seconds it is ``factor`` times what the rate allows,
    plus ``slack_count``. Calls before the target first stated a rate do not
    count, as no caller could know of it.
    """

    factor: float = 1.5
    slack_count: float = 5
    window_s: float = 4

    def usable_count(self, limit_per_s: float) -> int:
        """Return the number of calls that may start in a window."""
        tolerated = limit_per_s * self.factor * self.window_s
        return max(1, int(USED_BOUND_SHARE * (tolerated + self.slack_count)))


@final
class RateLimit:
    """Rate limit of one target, in force while the target states a rate.

    >>> limit = RateLimit(RateBound())
    >>> limit.note_stated(None, now_s=0)
    >>> limit.note_stated(10, now_s=1)
    >>> starts = 0
    >>> while limit.may_start(now_s=1, use=RateUse.STATED):
    ...     limit.note_start(now_s=1)
    ...     starts += 1
    >>> starts
    2
    """

    __slots__ = (
        '_bound',
        '_excess',
        '_has_answer',
        '_paced',
        '_stated_at_s',
        '_starts_s',
        'limit_per_s',
    )

    def __init__(self, bound: RateBound) -> None:
        """Start without a limit."""
        self._bound = bound
        self._paced = TokenBucket(BURST_COUNT, MIN_RATE_PER_S)
        self._excess = TokenBucket(BURST_COUNT, MIN_RATE_PER_S)
        # Start times within the last window, oldest first.
        self._starts_s: deque[float] = deque()
        self._stated_at_s = float('-inf')
        self._has_answer = False
        # ``None`` if no limit is in force.
        self.limit_per_s: float | None = None

    @property
    def is_active(self) -> bool:
        """Whether a limit is in force."""
        return self.limit_per_s is not None

    def note_stated(self, limit_per_s: float | None, now_s: float) -> None:
        """Record the rate that an answer states, ``None`` without one."""
        if limit_per_s is None:
            if now_s - self._stated_at_s >= LIFT_DELAY_S:
                self.limit_per_s = None
        else:
            self._note_rate(limit_per_s, now_s)
        self._has_answer = True

    def note_start(self, now_s: float) -> None:
        """Record the start of a call."""
        self._forget_starts(now_s)
        self._starts_s.append(now_s)
        if self.is_active:
            self._paced.try_take(now_s)
            self._excess.try_take(now_s)

    def count_starts(self, now_s: float, window_s: float) -> int:
        """Return how many calls have started within the last window."""
        from_s = now_s - window_s
        return len(self._starts_s) - bisect_right(self._starts_s, from_s)

    def may_start(self, now_s: float, use: RateUse) -> bool:
        """Return whether a call may start."""
        if self.limit_per_s is None:
            return True
        if self._tolerated_wait_s(now_s, 1) > 0:
            return False
        return use is not RateUse.STATED or self._paced.tokens(now_s) >= 1

    def wait_s(self, now_s: float, ahead_count: int, use: RateUse) -> float:
        """Estimate how long a call waits behind ``ahead_count`` others."""
        if self.limit_per_s is None:
            return 0
        tolerated_s = self._tolerated_wait_s(now_s, ahead_count + 1)
        if use is not RateUse.STATED:
            return tolerated_s
        paced_s = self._paced.wait_for_s(now_s, ahead_count + 1)
        return max(tolerated_s, paced_s)

    def _tolerated_wait_s(self, now_s: float, count: int) -> float:
        """Return the seconds until the tolerated rate permits more calls."""
        return max(
            self._window_wait_s(now_s, count),
            self._excess.wait_for_s(now_s, count),
        )

    def _note_rate(self, limit_per_s: float, now_s: float) -> None:
        bound = self._bound
        is_new = not self.is_active and (
            now_s - self._stated_at_s > bound.window_s
        )
        if not self._has_answer:
            # The rate was stated before this daemon started, and the calls
            # that an earlier run has let through are not known.
            self._assume_starts(limit_per_s, now_s)
            is_new = False
        elif is_new:
            self._starts_s.clear()
        self._stated_at_s = now_s
        if limit_per_s == self.limit_per_s:
            return
        self.limit_per_s = limit_per_s
        paced_per_s = max(limit_per_s, MIN_RATE_PER_S)
        tolerated_per_s = bound.usable_count(limit_per_s) / bound.window_s
        self._paced.set_rate(now_s, paced_per_s, BURST_COUNT)
        self._excess.set_rate(
            now_s,
            tolerated_per_s,
            max(BURST_COUNT, EXCESS_BURST_S * tolerated_per_s),
        )
        if is_new:
            self._excess.add(now_s, tolerated_per_s)

    def _assume_starts(self, limit_per_s: float, now_s: float) -> None:
        """Assume an earlier run that has just used up its burst.

        The window fills evenly, but the first start has to wait until the burst
        is made up for.
        """
        count = self._bound.usable_count(limit_per_s)
        step_s = self._bound.window_s / count
        burst_s = max(EXCESS_BURST_S, BURST_COUNT * step_s)
        first_s = now_s + burst_s - self._bound.window_s
        self._starts_s = deque(
            first_s + step_s * number for number in range(count)
        )
        self._paced.try_take(now_s, BURST_COUNT)
        self._excess.try_take(now_s, BURST_COUNT)

    def _window_wait_s(self, now_s: float, count: int) -> float:
        """Return the seconds until the window has room for more calls."""
        if self.limit_per_s is None:
            return 0
        self._forget_starts(now_s)
        usable_count = self._bound.usable_count(self.limit_per_s)
        excess = len(self._starts_s) + count - usable_count
        if excess <= 0:
            return 0
        if not self._starts_s:
            return self._bound.window_s
        index = min(excess, len(self._starts_s)) - 1
        released_s = next(islice(self._starts_s, index, None))
        return max(MIN_WINDOW_WAIT_S, released_s + self._bound.window_s - now_s)

    def _forget_starts(self, now_s: float) -> None:
        from_s = now_s - self._bound.window_s
        while self._starts_s and self._starts_s[0] <= from_s:
            self._starts_s.popleft()
