"""Shares of tenant quotas, as buckets that start empty."""

import pytest
from cornelbeam_core.quota_shares import (
    CHANGE_DELAY_S,
    QuotaBounds,
    QuotaGrant,
    QuotaShare,
    ShareBucket,
    ShareTable,
    divide_quota,
)
from cornelbeam_core.tenants import TenantRule

LONG_AGO_S = float('-inf')
MANY = 1000
STRICT = QuotaBounds(overage=0, slack_count=0)


def make_rule(rate_per_s=10, burst_count=4) -> TenantRule:
    return TenantRule(
        'school', (), rate_per_s=rate_per_s, burst_count=burst_count
    )


class TestBucket:
    """Guards against bursts granted twice, and against wrong waits."""

    def test_it_starts_empty_after_the_change_delay(self):
        bucket = ShareBucket(QuotaShare(2, 4), since_s=0)
        assert bucket.take(1, CHANGE_DELAY_S).count == 0
        assert bucket.take(1, CHANGE_DELAY_S + 0.5).count == 1

    def test_the_stated_wait_is_enough_and_not_too_long(self):
        bucket = ShareBucket(QuotaShare(2, 4), since_s=0)
        grant = bucket.take(1, now_s=0.3)
        assert grant == QuotaGrant(0, pytest.approx(1.2))
        assert bucket.take(1, 0.3 + grant.wait_s - 0.01).count == 0
        assert bucket.take(1, 0.3 + grant.wait_s).count == 1

    def test_refused_daemons_are_told_different_times(self):
        bucket = ShareBucket(QuotaShare(100, 100), since_s=-1)
        waits = [bucket.take(1, now_s=0).wait_s for _ in range(3)]
        assert waits == pytest.approx([0.01, 0.02, 0.03])

    def test_a_lowered_limit_holds_at_once(self):
        bucket = ShareBucket(QuotaShare(10, 100), LONG_AGO_S)
        bucket.change(QuotaShare(1, 2), now_s=5)
        assert bucket.take(10, now_s=5).count == 2
        assert bucket.take(10, now_s=8).count == 2

    def test_a_clock_that_steps_back_adds_nothing(self):
        bucket = ShareBucket(QuotaShare(1, 2), LONG_AGO_S)
        assert bucket.take(2, now_s=5).count == 2
        assert bucket.take(1, now_s=4).count == 0
        assert bucket.take(1, now_s=5.5).count == 0

    def test_negative_counts_add_nothing(self):
        bucket = ShareBucket(QuotaShare(1, 2), LONG_AGO_S)
        assert bucket.take(-5, now_s=0).count == 0
        assert bucket.take(9, now_s=0).count == 2


class TestDivision:
    """Guards against shares that never hold a whole token."""

    def test_capacity_is_at_least_one_token(self):
        share = divide_quota(make_rule(1, 0), 4, STRICT)
        assert share == QuotaShare(0.25, 1)

    def test_buckets_keep_what_is_refilled_during_a_refusal(self):
        share = divide_quota(make_rule(1000, 0), 4, QuotaBounds())
        assert share.capacity >= 0.2 * share.rate_per_s

    def test_capacities_leave_a_part_of_the_tolerance(self):
        bounds, rule = QuotaBounds(), make_rule(100, 50)
        share = divide_quota(rule, 3, bounds)
        used = 3 * share.capacity - rule.burst_count
        late = bounds.token_age_s(rule) * rule.rate_per_s
        assert used + late < bounds.tolerance(rule)


class TestTable:
    """Guards against state for each tenant that was ever seen."""

    def test_idle_tenants_cost_nothing(self):
        table, rule = ShareTable(QuotaBounds()), make_rule()
        table.take(rule, 1, 1, LONG_AGO_S, now_s=0)
        assert table.bucket_count == 1
        other = TenantRule('other', (), rate_per_s=1)
        table.take(other, 1, 1, LONG_AGO_S, now_s=60)
        assert table.bucket_count == 1

    def test_a_share_that_comes_back_starts_empty(self):
        table, rule = ShareTable(QuotaBounds()), make_rule()
        assert table.take(rule, 1, 1, LONG_AGO_S, now_s=0).count == 1
        assert table.take(rule, 1, 1, 5, now_s=5).count == 0

    def test_a_share_that_comes_back_is_emptied_despite_a_sweep(self):
        """Other tenants' queries refill all buckets, also those not owned."""
        table, rule = ShareTable(QuotaBounds()), make_rule()
        assert table.take(rule, 1, 1, LONG_AGO_S, now_s=0).count == 1
        other = TenantRule('other', (), rate_per_s=1)
        table.take(other, 1, 1, LONG_AGO_S, now_s=10.5)
        assert table.take(rule, 1, 1, 10.4, now_s=10.6).count == 0

    def test_moves_of_the_known_time_refill_nothing(self):
        """Many departures of members move it while the owner stays."""
        table, rule = ShareTable(QuotaBounds()), make_rule()
        granted = 0
        for tick in range(301):
            now_s = tick / 10
            grant = table.take(rule, MANY, 1, now_s - 5, now_s)
            granted += grant.count
        share = divide_quota(rule, 1, QuotaBounds())
        assert granted <= 30 * share.rate_per_s + share.capacity + 1

    def test_a_share_kept_for_long_is_not_emptied(self):
        table, rule = ShareTable(QuotaBounds()), make_rule()
        assert table.take(rule, 1, 1, 0, now_s=3).count == 1
        assert table.take(rule, 1, 1, LONG_AGO_S, now_s=3).count == 1
