"""Fake daemon that drives the production code of the caller side."""

import functools
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Final, final

from cornelbeam_core.budget import RetryBudget
from cornelbeam_core.ejection import OutlierEjector
from cornelbeam_core.errors import ErrorCode, RunState
from cornelbeam_core.outcomes import CallOutcome
from cornelbeam_core.retry import (
    AttemptResult,
    QuantileEstimate,
    RetryDecision,
    compute_hedge_delay_s,
    decide_retry,
)
from cornelbeam_core.selection import TargetState, choose_target
from cornelbeam_core.targets import LoadReport

from cornelbeam_standins.policy_fakes import (
    LOCAL_LATENCY_S,
    REMOTE_LATENCY_S,
    Attempt,
    EventQueue,
    FakeBackendSide,
)

_DEADLINE_S: Final = 1.0
_IDEMPOTENT_SHARE: Final = 0.8


@final
@dataclass(slots=True)
class RunStats:
    """Counts of a run, and the latencies of answered calls in milliseconds."""

    latencies_ms: list[float] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    cold_overload: float = 0


@final
@dataclass(eq=False, slots=True)
class _Call:
    service: str
    created_at_s: float
    deadline_s: float
    is_repeatable: bool
    attempts: dict[Attempt, TargetState] = field(default_factory=dict)
    tried_states: list[TargetState] = field(default_factory=list)
    is_finished: bool = False


@final
@dataclass(eq=False)
class FakeCaller:
    """The caller side of one daemon."""

    name: str
    policy_name: str
    events: EventQueue
    rng: random.Random
    stats: RunStats
    states: dict[str, list[TargetState]]
    sides: dict[str, FakeBackendSide]
    is_hedging: bool = True
    ejector: OutlierEjector = field(default_factory=OutlierEjector)
    budget: RetryBudget = field(default_factory=RetryBudget)
    slow_latencies: dict[str, QuantileEstimate] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Register all targets with the ejector."""
        self.ejector.retain(
            state for states in self.states.values() for state in states
        )
        self.slow_latencies = {
            service: QuantileEstimate() for service in self.states
        }

    def start_call(self, service: str) -> None:
        """Start a call from a caller beside this daemon."""
        now_s = self.events.now_s
        call = _Call(
            service,
            now_s,
            now_s + _DEADLINE_S,
            is_repeatable=self.rng.random() < _IDEMPOTENT_SHARE,
        )
        self.events.at(call.deadline_s, lambda: self._give_up(call))
        self._send(call)
        if not self.is_hedging:
            return
        delay_s = compute_hedge_delay_s(
            call,
            is_idempotent=call.is_repeatable,
            slow_latency_s=self.slow_latencies[service].estimate_s,
            deadline_s=call.deadline_s,
            now_s=now_s,
        )
        if delay_s is not None:
            self.events.after(delay_s, lambda: self._hedge(call))

    def _send(self, call: _Call) -> None:
        now_s = self.events.now_s
        all_states = self.states[call.service]
        candidates = [
            state for state in all_states if state not in call.tried_states
        ]
        state = choose_target(
            self.policy_name,
            candidates or all_states,
            now_s,
            self.rng,
        )
        if state is None:
            if not call.attempts:
                self._give_up(call)
            return
        call.tried_states.append(state)
        state.note_start(now_s)
        attempt = Attempt(
            self.name,
            call.deadline_s,
            LOCAL_LATENCY_S if state.is_same_domain else REMOTE_LATENCY_S,
            now_s,
            lambda outcome, code, report: self._on_end(
                call,
                attempt,
                (outcome, code, report),
            ),
        )
        call.attempts[attempt] = state
        side = self.sides[state.target.name]
        self.events.after(attempt.latency_s, lambda: side.receive(attempt))

    def _hedge(self, call: _Call) -> None:
        if call.is_finished or len(call.attempts) != 1:
            return
        if self.budget.try_take_hedge(self.events.now_s):
            self.stats.counts['hedges'] += 1
            self._send(call)

    def _on_end(
        self,
        call: _Call,
        attempt: Attempt,
        reply: tuple[CallOutcome, ErrorCode | None, LoadReport],
    ) -> None:
        state = call.attempts.pop(attempt, None)
        if state is None:
            return
        now_s = self.events.now_s
        outcome, code, report = reply
        is_answer = outcome is CallOutcome.ANSWERED
        latency_s = now_s - attempt.sent_at_s
        state.note_end(now_s, latency_s if is_answer else None)
        state.note_report(report, now_s)
        if self.ejector.note_result(state, outcome, now_s):
            self.stats.counts['ejections'] += 1
        if is_answer:
            self.slow_latencies[call.service].add(latency_s)
            self.budget.note_success(now_s)
            self.stats.latencies_ms.append((now_s - call.created_at_s) * 1000)
            self._finish(call)
        elif not call.attempts:
            self._retry(call, code)

    def _retry(self, call: _Call, code: ErrorCode | None) -> None:
        # The fakes answer an attempt, refuse it or shed it. In the last two
        # cases it did not run.
        decision = decide_retry(
            AttemptResult(
                RunState.NOT_RUN,
                code or ErrorCode.BACKEND_FAILED,
                is_idempotent=call.is_repeatable,
                attempt_count=len(call.tried_states),
            ),
            call,
            call.deadline_s,
            self.events.now_s,
            self.budget,
        )
        if decision is RetryDecision.RETRY:
            self.stats.counts['retries'] += 1
            self._send(call)
        else:
            self._give_up(call)

    def _give_up(self, call: _Call) -> None:
        if not call.is_finished:
            self.stats.counts['refused'] += 1
            self._finish(call)

    def _finish(self, call: _Call) -> None:
        call.is_finished = True
        now_s = self.events.now_s
        for attempt, state in call.attempts.items():
            state.note_abandoned(now_s, now_s - attempt.sent_at_s)
            side = self.sides[state.target.name]
            self.events.after(
                attempt.latency_s,
                functools.partial(side.cancel, attempt),
            )
        call.attempts.clear()
