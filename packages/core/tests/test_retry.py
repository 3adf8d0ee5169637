"""Tests of retries: at-most-once execution, deadline and budget."""

from dataclasses import dataclass

import pytest
from cornelbeam_core.budget import RetryBudget
from cornelbeam_core.errors import ErrorCode, RunState
from cornelbeam_core.retry import (
    AttemptResult,
    QuantileEstimate,
    RetryDecision,
    compute_hedge_delay_s,
    decide_retry,
)
from hypothesis import given, settings
from hypothesis import strategies as st


@dataclass(frozen=True)
class FakeRoute:
    is_repeatable: bool


_ATTEMPTS = st.builds(
    AttemptResult,
    st.sampled_from(RunState),
    st.sampled_from(ErrorCode),
    st.booleans(),
    st.integers(1, 4),
    st.booleans(),
)


def decide(attempt, *, is_repeatable, now_s=1, burst_count=9):
    return decide_retry(
        attempt,
        FakeRoute(is_repeatable),
        2,
        now_s,
        RetryBudget(burst_count=burst_count),
    )


def make_attempt(run_state, *, is_idempotent=False, is_asked=False):
    return AttemptResult(
        run_state,
        ErrorCode.PEER_UNREACHABLE,
        is_idempotent,
        1,
        is_asked,
    )


class TestAtMostOnce:
    """Guards against running a booking or payment twice."""

    @settings(derandomize=True, max_examples=400)
    @given(_ATTEMPTS)
    def test_unrepeatable_needs_evidence_of_not_run(self, attempt):
        decision = decide(attempt, is_repeatable=False)
        if decision is RetryDecision.RETRY:
            assert attempt.run_state is RunState.NOT_RUN

    def test_unknown_outcome_is_asked_once(self):
        unknown = make_attempt(RunState.UNKNOWN)
        asked = make_attempt(RunState.UNKNOWN, is_asked=True)
        decision = decide(unknown, is_repeatable=False)
        assert decision is RetryDecision.ASK_OUTCOME
        decision = decide(asked, is_repeatable=False)
        assert decision is RetryDecision.GIVE_UP

    def test_not_run_is_retried(self):
        attempt = make_attempt(RunState.NOT_RUN)
        decision = decide(attempt, is_repeatable=False)
        assert decision is RetryDecision.RETRY

    def test_idempotent_is_retried_without_asking(self):
        attempt = make_attempt(RunState.UNKNOWN, is_idempotent=True)
        assert decide(attempt, is_repeatable=True) is RetryDecision.RETRY

    def test_operator_may_forbid_repeats_of_an_idempotent_method(self):
        attempt = make_attempt(
            RunState.UNKNOWN,
            is_idempotent=True,
            is_asked=True,
        )
        assert decide(attempt, is_repeatable=False) is RetryDecision.GIVE_UP


class TestBounds:
    """Guards against retries past the deadline or beyond the budget."""

    @settings(derandomize=True, max_examples=200)
    @given(_ATTEMPTS, st.booleans())
    def test_nothing_after_the_deadline(self, attempt, is_repeatable):
        decision = decide(attempt, is_repeatable=is_repeatable, now_s=2)
        assert decision is RetryDecision.GIVE_UP

    def test_empty_budget_gives_up(self):
        budget = RetryBudget(burst_count=1, min_per_s=0)
        attempt = make_attempt(RunState.NOT_RUN)
        route = FakeRoute(is_repeatable=True)
        decisions = [
            decide_retry(attempt, route, 2, 1, budget) for _ in range(2)
        ]
        assert decisions == [RetryDecision.RETRY, RetryDecision.GIVE_UP]

    def test_request_errors_are_not_retried(self):
        attempt = AttemptResult(
            RunState.NOT_RUN,
            ErrorCode.BODY_TOO_LARGE,
            is_idempotent=True,
            attempt_count=1,
        )
        assert decide(attempt, is_repeatable=True) is RetryDecision.GIVE_UP


class TestHedge:
    """Guards against hedging requests that must not run twice."""

    @pytest.mark.parametrize(
        ('is_repeatable', 'is_idempotent', 'slow_latency_s', 'delay_s'),
        [
            (True, True, 0.08, 0.08),
            (True, False, 0.08, None),
            (False, True, 0.08, None),
            (True, True, 0, None),
            (True, True, 0.6, None),
        ],
    )
    def test_only_where_allowed_and_useful(
        self,
        is_repeatable,
        is_idempotent,
        slow_latency_s,
        delay_s,
    ):
        assert delay_s == compute_hedge_delay_s(
            FakeRoute(is_repeatable),
            is_idempotent=is_idempotent,
            slow_latency_s=slow_latency_s,
            deadline_s=1,
            now_s=0,
        )

    def test_quantile_settles_and_follows(self):
        quantile = QuantileEstimate(0.95)
        for scale in (1, 4):
            for step in range(3000):
                quantile.add(scale * (step * 37 % 100 + 1))
            assert quantile.estimate_s == pytest.approx(95 * scale, rel=0.15)
