"""Token budgets for probes, retries and hedges.

The token bucket follows "API Rate Limiting with Token Buckets and Redis: What
Actually Works": bursts up to a capacity and a steady refill. The article keeps
the tokens in a shared store; here, they belong to the process that uses them.
"""

from dataclasses import dataclass
from typing import final


@final
class TokenBucket:
    """Token bucket that starts full and refills at a constant rate.

    A clock that steps back neither adds nor removes tokens.

    >>> bucket = TokenBucket(capacity=2, refill_per_s=1)
    >>> [bucket.try_take(now_s=10) for _ in range(3)]
    [True, True, False]
    >>> bucket.try_take(now_s=11)
    True
    """

    __slots__ = ('_capacity', '_refill_per_s', '_tokens', '_updated_at_s')

    def __init__(self, capacity: float, refill_per_s: float) -> None:
        """Start full; raise ``ValueError`` if a parameter is out of range."""
        if capacity <= 0 or refill_per_s < 0:
            raise ValueError('capacity must be positive, refill rate >= 0')
        self._capacity = float(capacity)
        self._refill_per_s = float(refill_per_s)
        self._tokens = self._capacity
        self._updated_at_s = float('-inf')

    def try_take(self, now_s: float, cost: float = 1) -> bool:
        """Take ``cost`` tokens if that many are available."""
        self._refill(now_s)
        if self._tokens < cost:
            return False
        self._tokens -= cost
        return True

    def add(self, now_s: float, count: float) -> None:
        """Add tokens, up to the capacity."""
        self._refill(now_s)
        self._tokens = min(self._capacity, self._tokens + count)

    def set_rate(
        self, now_s: float, refill_per_s: float, capacity: float
    ) -> None:
        """Change the refill rate and the capacity from ``now_s`` on."""
        self._refill(now_s)
        self._refill_per_s = refill_per_s
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def wait_for_s(self, now_s: float, count: float) -> float:
        """Return the seconds until ``count`` tokens have been refilled.

        Unlike ``wait_s`` it assumes that tokens are taken as they come, so
        ``count`` may exceed the capacity.
        """
        missing = count - self.tokens(now_s)
        return max(0, missing) / self._refill_per_s

    def tokens(self, now_s: float) -> float:
        """Return the number of tokens available at ``now_s``."""
        self._refill(now_s)
        return self._tokens

    def wait_s(self, now_s: float, cost: float = 1) -> float:
        """Return the seconds until ``cost`` tokens are there, or infinity."""
        missing = cost - self.tokens(now_s)
        if missing <= 0:
            return 0
        if cost > self._capacity or not self._refill_per_s:
            return float('inf')
        return missing / self._refill_per_s

    def _refill(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_at_s
        if elapsed_s <= 0:
            return
        self._updated_at_s = now_s
        if self._tokens < self._capacity:
            self._tokens = min(
                self._capacity,
                self._tokens + elapsed_s * self._refill_per_s,
            )


@final
@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Settings of the budget for retries and hedges of one daemon.

    Each answered call earns ``ratio`` tokens and each second earns
    ``min_per_s``. The budget holds at most ``burst_count`` tokens.
    """

    ratio: float = 0.1
    min_per_s: float = 5
    burst_count: int = 50


@final
class RetryBudget:
    """Limit retries and hedges to a share of the answered calls.

    When most calls fail, few tokens are earned: retries then add at most
    ``min_per_s`` calls a second to the load that causes the failures.
    """

    __slots__ = ('_bucket', '_ratio', '_reserve_count')

    def __init__(
        self,
        ratio: float = 0.1,
        min_per_s: float = 5,
        burst_count: int = 50,
    ) -> None:
        """Start with ``burst_count`` tokens."""
        self._ratio = ratio
        self._bucket = TokenBucket(burst_count, min_per_s)
        self._reserve_count = burst_count / 2

    @classmethod
    def from_settings(cls, settings: RetryBudgetSettings) -> 'RetryBudget':
        """Create a budget from its settings."""
        return cls(settings.ratio, settings.min_per_s, settings.burst_count)

    def note_success(self, now_s: float) -> None:
        """Add ``ratio`` tokens for an answered call."""
        self._bucket.add(now_s, self._ratio)

    def try_take(self, now_s: float, cost: float = 1) -> bool:
        """Take the tokens of a retry if the budget allows it."""
        return self._bucket.try_take(now_s, cost)

    def try_take_hedge(self, now_s: float) -> bool:
        """Take a token for a hedge; half of the burst is kept for retries.

        A hedge only shortens a call, while a retry saves a failed one.
        """
        if self._bucket.tokens(now_s) - 1 < self._reserve_count:
            return False
        return self._bucket.try_take(now_s)

    def tokens(self, now_s: float) -> float:
        """Return the number of retries allowed at ``now_s``."""
        return self._bucket.tokens(now_s)
