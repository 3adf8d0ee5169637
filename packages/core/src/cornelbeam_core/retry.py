"""Decide whether to retry, query the outcome, hedge or give up."""

import enum
from dataclasses import dataclass
from typing import Final, Protocol, final

from cornelbeam_core.budget import RetryBudget
from cornelbeam_core.errors import ErrorCode, RunState

# Another target may accept a request that failed with one of these codes.
_RETRYABLE_CODES: Final = frozenset(
    (
        ErrorCode.OVERLOADED,
        ErrorCode.TARGET_LEAVING,
        ErrorCode.DOMAIN_OUT_OF_SERVICE,
        ErrorCode.WRONG_INCARNATION,
        ErrorCode.ATTEMPT_FORBIDDEN,
        ErrorCode.OUTCOME_UNKNOWN,
        ErrorCode.BACKEND_UNREACHABLE,
        ErrorCode.BACKEND_FAILED,
        ErrorCode.ANSWER_TRUNCATED,
        ErrorCode.PEER_UNREACHABLE,
    )
)


@final
class RetryDecision(enum.Enum):
    """Next step of the caller side after an attempt without an answer."""

    RETRY = 'retry'
    ASK_OUTCOME = 'ask-outcome'
    GIVE_UP = 'give-up'


class RepeatableRoute(Protocol):
    """Properties of a route that decide whether to repeat a request."""

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may safely run twice."""


@final
@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of an attempt that brought no complete answer.

    ``attempt_count`` is the number of attempts so far, including this one.
    ``is_idempotent`` refers to the HTTP method. ``is_outcome_asked`` is true
    if the run state is already the reply to an outcome query.
    """

    run_state: RunState
    code: ErrorCode
    is_idempotent: bool
    attempt_count: int
    is_outcome_asked: bool = False


@final
@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Limits of retries and hedges.

    A hedge is sent after ``hedge_factor`` times a high quantile of the
    latency, at least ``hedge_min_ms``, and only if as much time again is left
    before the deadline.
    """

    max_attempt_count: int = 3
    hedge_factor: float = 1
    hedge_min_ms: int = 2


_DEFAULTS: Final = RetrySettings()


def decide_retry(
    attempt: AttemptResult,
    route: RepeatableRoute,
    deadline_s: float,
    now_s: float,
    budget: RetryBudget,
    settings: RetrySettings = _DEFAULTS,
) -> RetryDecision:
    """Decide the next step after an attempt without a complete answer.

    A request that must not run twice is only retried on evidence that it has
    not run. ``RETRY`` has already taken its token from the budget.
    """
    if now_s >= deadline_s or attempt.run_state is RunState.RAN:
        return RetryDecision.GIVE_UP
    if attempt.run_state is not RunState.NOT_RUN:
        is_asking = not (route.is_repeatable and attempt.is_idempotent)
        if is_asking and not attempt.is_outcome_asked:
            return RetryDecision.ASK_OUTCOME
        if not route.is_repeatable:
            return RetryDecision.GIVE_UP
    if attempt.code not in _RETRYABLE_CODES:
        return RetryDecision.GIVE_UP
    if attempt.attempt_count >= settings.max_attempt_count:
        return RetryDecision.GIVE_UP
    if budget.try_take(now_s):
        return RetryDecision.RETRY
    return RetryDecision.GIVE_UP


def compute_hedge_delay_s(
    route: RepeatableRoute,
    *,
    is_idempotent: bool,
    slow_latency_s: float,
    deadline_s: float,
    now_s: float,
    settings: RetrySettings = _DEFAULTS,
) -> float | None:
    """Return the delay before sending a hedge, None for no hedge.

    ``slow_latency_s`` is a high quantile of the latency of the service (see
    ``QuantileEstimate``), zero if unknown. The caller side calls
    ``RetryBudget.try_take_hedge`` after the delay, not before.
    Source: Dean and Barroso, "The Tail at Scale", 2013.
    """
    if not (route.is_repeatable and is_idempotent) or not slow_latency_s:
        return None
    delay_s = max(
        settings.hedge_min_ms / 1000,
        slow_latency_s * settings.hedge_factor,
    )
    if now_s + 2 * delay_s > deadline_s:
        return None
    return delay_s


@final
class QuantileEstimate:
    """Streaming estimate of a quantile in constant memory.

    A sample above the estimate raises it and one below lowers it, by relative
    steps whose sizes balance at the quantile. Source: Ma, Muthukrishnan and
    Sandler, "Frugal Streaming for Estimating Quantiles", 2013, but with
    relative steps.
    """

    __slots__ = ('_down', '_up', 'estimate_s')

    def __init__(self, quantile: float = 0.95, step: float = 0.1) -> None:
        """Start without samples; the estimate is zero until the first."""
        self._up = 1 + step * quantile
        self._down = 1 - step * (1 - quantile)
        self.estimate_s: float = 0

    def add(self, sample_s: float) -> None:
        """Update the estimate with a sample in seconds."""
        if self.estimate_s == 0:
            self.estimate_s = sample_s
        elif sample_s > self.estimate_s:
            self.estimate_s *= self._up
        else:
            self.estimate_s *= self._down
