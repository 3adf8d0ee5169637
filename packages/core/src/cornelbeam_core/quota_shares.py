"""Shares of tenant quotas: what the owner of a share may grant.

The token bucket with burst and refill follows "API Rate Limiting with Token
Buckets and Redis: What Actually Works". The article keeps the tokens in a
shared store; here, each failure domain has a daemon that holds its share.
"""

from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.tenants import TenantRule

__all__ = (
    'CHANGE_DELAY_S',
    'QuotaBounds',
    'QuotaGrant',
    'QuotaShare',
    'ShareBucket',
    'ShareTable',
    'divide_quota',
)

# Time in which all daemons learn of a change of the members. A new owner grants
# nothing before, as the earlier one may still do.
CHANGE_DELAY_S: Final = 1.0
# A daemon that was refused asks again after this time at the latest.
MAX_REFUSAL_S: Final = 0.2
# Oldest token that a request may still use.
MAX_TOKEN_AGE_S: Final = 1.0
# Part of the tolerance that enlarges the buckets. It makes up for fractions of
# tokens at several owners, and keeps what is refilled during a refusal.
_CAPACITY_PART: Final = 0.4
# Part of the tolerance for tokens that are used later than granted. The rest
# covers changes of owners.
_AGE_PART: Final = 0.4
# Full buckets are dropped at this interval.
_SWEEP_INTERVAL_S: Final = 10.0
# Rounding must not delay a token.
_EPSILON: Final = 1e-9


@final
@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """What the platform tolerates above the limit of a tenant.

    In any window, at most ``(rate * window_s + burst) * (1 + overage) +
    slack_count`` requests of a tenant may run.
    """

    window_s: float = 5
    overage: float = 0.1
    slack_count: float = 20

    def tolerance(self, rule: TenantRule) -> float:
        """Return the number of requests tolerated above the limit."""
        limit = rule.rate_per_s * self.window_s + rule.burst_count
        return limit * self.overage + self.slack_count

    def token_age_s(self, rule: TenantRule) -> float:
        """Return for how long after its grant a token may be used.

        Tokens used late add to those granted in the window.
        """
        late_count = self.tolerance(rule) * _AGE_PART
        return min(MAX_TOKEN_AGE_S, late_count / rule.rate_per_s)


@final
@dataclass(frozen=True, slots=True)
class QuotaShare:
    """Refill rate and capacity of one owner's bucket."""

    rate_per_s: float
    capacity: float


@final
@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """Granted tokens, and the wait for the next if any was refused."""

    count: int
    wait_s: float = 0


def divide_quota(
    rule: TenantRule, domain_count: int, bounds: QuotaBounds
) -> QuotaShare:
    """Return the share of a quota that one failure domain holds.

    >>> rule = TenantRule('school', (), rate_per_s=30, burst_count=12)
    >>> divide_quota(rule, 3, QuotaBounds(overage=0, slack_count=0))
    QuotaShare(rate_per_s=10.0, capacity=4.0)
    """
    domains = max(1, domain_count)
    extra = bounds.tolerance(rule) * _CAPACITY_PART
    # A bucket that holds less than one token never grants any.
    capacity = max(1, (rule.burst_count + extra) / domains)
    return QuotaShare(rule.rate_per_s / domains, capacity)


@final
class ShareBucket:
    """Token bucket of a share, empty when its owner gets it.

    >>> bucket = ShareBucket(QuotaShare(rate_per_s=2, capacity=4), since_s=0)
    >>> bucket.take(1, now_s=1)
    QuotaGrant(count=0, wait_s=0.5)
    >>> bucket.take(3, now_s=2)
    QuotaGrant(count=2, wait_s=0.5)
    """

    __slots__ = (
        '_filled_at_s',
        '_promised_at_s',
        '_share',
        '_tokens',
        'since_s',
        'taken_at_s',
    )

    def __init__(self, share: QuotaShare, since_s: float) -> None:
        """Hold a share whose owner has been the same since ``since_s``."""
        self.since_s = since_s
        # Time of the last query, at which this daemon was the owner.
        self.taken_at_s = float('-inf')
        self._share = share
        self._tokens = float()
        self._filled_at_s = since_s + CHANGE_DELAY_S
        # Time of the token that was announced last to a refused daemon.
        self._promised_at_s = float('-inf')

    def change(self, share: QuotaShare, now_s: float) -> None:
        """Change the limit or the number of domains from ``now_s`` on."""
        if share != self._share:
            self._fill(now_s)
            self._share = share
            self._tokens = min(self._tokens, share.capacity)

    def take(self, count: int, now_s: float) -> QuotaGrant:
        """Take up to ``count`` tokens."""
        self.taken_at_s = max(self.taken_at_s, now_s)
        self._fill(now_s)
        granted = max(0, min(count, int(self._tokens + _EPSILON)))
        self._tokens -= granted
        if granted >= count:
            return QuotaGrant(granted)
        return QuotaGrant(granted, self._promise(now_s) - now_s)

    def is_full(self, now_s: float) -> bool:
        """Return whether the bucket equals one that is created now."""
        self._fill(now_s)
        return self._tokens >= self._share.capacity

    def _promise(self, now_s: float) -> float:
        """Return when a refused daemon can expect a token.

        Refused daemons get different times, so that they don't ask together
        for the same token.
        """
        token_s = 1 / self._share.rate_per_s
        next_s = max(now_s, self._filled_at_s) + (1 - self._tokens) * token_s
        in_turn_s = min(self._promised_at_s + token_s, now_s + MAX_REFUSAL_S)
        self._promised_at_s = max(next_s, in_turn_s)
        return self._promised_at_s

    def _fill(self, now_s: float) -> None:
        elapsed_s = now_s - self._filled_at_s
        if elapsed_s > 0:
            self._filled_at_s = now_s
            self._tokens = min(
                self._share.capacity,
                self._tokens + elapsed_s * self._share.rate_per_s,
            )


@final
class ShareTable:
    """Buckets of the tenants whose share this daemon owns.

    A tenant without requests has none: its bucket would be full.
    """

    __slots__ = ('_bounds', '_buckets', '_swept_at_s')

    def __init__(self, bounds: QuotaBounds) -> None:
        """Start without buckets."""
        self._bounds = bounds
        self._buckets: dict[str, ShareBucket] = {}
        self._swept_at_s = float('-inf')

    @property
    def bucket_count(self) -> int:
        """Number of buckets that are not known to be full."""
        return len(self._buckets)

    def take(
        self,
        rule: TenantRule,
        count: int,
        domain_count: int,
        since_s: float,
        now_s: float,
    ) -> QuotaGrant:
        """Take tokens of a tenant owned here since ``since_s``.

        Earlier departures that are forgotten move that time forward although
        the owner stays. A bucket used since then is kept: a new one would have
        refilled since that time what this one has granted.
        """
        self._sweep(now_s)
        share = divide_quota(rule, domain_count, self._bounds)
        bucket = self._buckets.get(rule.name)
        is_outdated = (
            bucket is not None
            and bucket.since_s < since_s
            and bucket.taken_at_s <= since_s
        )
        if bucket is None or is_outdated:
            bucket = ShareBucket(share, since_s)
            self._buckets[rule.name] = bucket
        bucket.change(share, now_s)
        return bucket.take(count, now_s)

    def _sweep(self, now_s: float) -> None:
        if now_s - self._swept_at_s < _SWEEP_INTERVAL_S:
            return
        self._swept_at_s = now_s
        self._buckets = {
            name: bucket
            for name, bucket in self._buckets.items()
            if not bucket.is_full(now_s)
        }
