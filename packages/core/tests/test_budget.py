"""Tests of the budgets for probes, retries and hedges."""

import pytest
from cornelbeam_core.budget import RetryBudget, RetryBudgetSettings, TokenBucket
from hypothesis import given, settings
from hypothesis import strategies as st

_STEPS = st.lists(
    st.tuples(
        st.floats(min_value=-1, max_value=5),
        st.floats(min_value=0.1, max_value=4),
    ),
    max_size=60,
)


class TestTokenBucket:
    """Guards against probes or retries beyond the budget."""

    @settings(derandomize=True)
    @given(_STEPS)
    def test_takes_at_most_burst_and_refill(self, steps):
        bucket = TokenBucket(capacity=5, refill_per_s=2)
        now_s = 100.0
        latest_s = now_s
        taken = 0
        for elapsed_s, cost in steps:
            now_s += elapsed_s
            latest_s = max(latest_s, now_s)
            if bucket.try_take(now_s, cost):
                taken += cost
            assert taken <= 5 + 2 * (latest_s - 100) + 1e-6
            assert 0 <= bucket.tokens(now_s) <= 5

    def test_wait_is_long_enough_and_no_longer(self):
        bucket = TokenBucket(capacity=2, refill_per_s=4)
        assert bucket.try_take(0, 2)
        wait_s = bucket.wait_s(0, 1)
        assert wait_s == pytest.approx(0.25)
        assert not bucket.try_take(wait_s - 0.01)
        assert bucket.try_take(wait_s + 0.01)

    def test_more_than_the_capacity_never_comes(self):
        assert TokenBucket(2, 1).wait_s(0, 3) == float('inf')

    def test_sizes_out_of_range_are_refused(self):
        with pytest.raises(ValueError, match='capacity'):
            TokenBucket(0, 1)


class TestRetryBudget:
    """Guards against retries that multiply the load of an outage."""

    def test_outage_gets_only_the_minimum_rate(self):
        budget = RetryBudget(ratio=0.1, min_per_s=5, burst_count=50)
        tries = sum(budget.try_take(ms / 1000) for ms in range(10_000))
        assert 50 + 49 <= tries <= 50 + 50

    def test_success_earns_a_share(self):
        budget = RetryBudget.from_settings(
            RetryBudgetSettings(ratio=0.1, min_per_s=0, burst_count=10),
        )
        assert budget.try_take(0, cost=10)
        for _ in range(30):
            budget.note_success(0)
        assert budget.tokens(0) == pytest.approx(3)

    def test_hedges_leave_half_for_retries(self):
        budget = RetryBudget(ratio=0, min_per_s=0, burst_count=10)
        assert sum(budget.try_take_hedge(0) for _ in range(20)) == 5
        assert sum(budget.try_take(0) for _ in range(20)) == 5
