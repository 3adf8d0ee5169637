"""Selection of targets for calls, and feedback from the results."""

import asyncio
import random
from collections.abc import Mapping, Sequence
from http import HTTPStatus
from typing import Final, final

from cornelbeam_core.ejection import OutlierEjector
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.outcomes import CallOutcome
from cornelbeam_core.selection import (
    TargetState,
    choose_target,
    estimate_cost,
)
from cornelbeam_core.selectors import Route

from cornelbeam_daemon.backend_side import BackendSide
from cornelbeam_daemon.calls import Answer
from cornelbeam_daemon.routing_table import RoutingTable

# Refusals, which say nothing about the health of the target.
_REFUSALS: Final = frozenset(
    (
        ErrorCode.OVERLOADED,
        ErrorCode.TARGET_LEAVING,
        ErrorCode.DOMAIN_OUT_OF_SERVICE,
        ErrorCode.WRONG_INCARNATION,
        ErrorCode.ATTEMPT_FORBIDDEN,
    ),
)


@final
class TargetChooser:
    """Chooses targets and records the results of calls to them."""

    __slots__ = (
        '_backend_side',
        '_ejector',
        '_loop',
        '_name',
        '_policy',
        '_rng',
        '_table',
    )

    def __init__(
        self,
        name: str,
        table: RoutingTable,
        backend_side: BackendSide,
        policy: str,
    ) -> None:
        """Choose targets from ``table`` on behalf of the daemon ``name``."""
        self._name = name
        self._table = table
        self._backend_side = backend_side
        self._policy = policy
        self._ejector = OutlierEjector()
        self._rng = random.Random()
        self._loop = asyncio.get_running_loop()

    def forget_removed_targets(self) -> None:
        """Drop the history of targets that left the routing table."""
        self._ejector.retain(self._table.all_states())

    def choose(
        self,
        service: str,
        route: Route,
        tried: Mapping[str, bool],
    ) -> TargetState | None:
        """Return a target, preferably one that was not tried yet.

        ``tried`` maps the names of tried targets to whether only the
        connection to them was lost. Return None when no target is eligible.
        """
        now_s = self._loop.time()
        states = self._table.states(service)
        candidates: Sequence[TargetState] = states
        if route.target_labels:
            candidates = [
                state
                for state in states
                if route.is_eligible(state.target.labels)
            ]
        if tried:
            candidates = _prefer_untried(candidates, tried)
        chosen = choose_target(self._policy, candidates, now_s, self._rng)
        if chosen is None or chosen.target.name == self._name:
            return chosen
        # Serving locally saves a hop. It is preferred if the call would run at
        # once and the local backend server is not slower.
        if not self._backend_side.has_room():
            return chosen
        for state in candidates:
            if state.target.name == self._name:
                return _cheaper(state, chosen, now_s)
        return chosen

    def note_answer(
        self,
        state: TargetState,
        answer: Answer,
        latency_s: float,
    ) -> None:
        """Record the head of an answer.

        The latency of a server error is ignored, as a backend server that
        fails fast would look like the fastest one.
        """
        if answer.load is not None:
            state.note_report(answer.load, self._loop.time())
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self._note_end(state, CallOutcome.FAILED, None)
        else:
            self._note_end(state, CallOutcome.ANSWERED, latency_s)

    def note_error(self, state: TargetState, error: CornelbeamError) -> None:
        """Record an attempt that ended with an error."""
        if error.load is not None:
            # The report of a leaving target keeps other calls away from it.
            state.note_report(error.load, self._loop.time())
        is_refusal = error.code in _REFUSALS
        outcome = CallOutcome.SHED if is_refusal else CallOutcome.FAILED
        self._note_end(state, outcome, None)

    def note_timeout(self, state: TargetState, latency_s: float) -> None:
        """Record an attempt whose deadline passed."""
        self._note_end(state, CallOutcome.TIMED_OUT, latency_s)

    def note_cancelled(self, state: TargetState, elapsed_s: float) -> None:
        """Record an attempt that was cancelled."""
        now_s = self._loop.time()
        state.note_abandoned(now_s, elapsed_s)
        self._ejector.note_result(state, CallOutcome.CANCELLED, now_s)

    def _note_end(
        self,
        state: TargetState,
        outcome: CallOutcome,
        latency_s: float | None,
    ) -> None:
        now_s = self._loop.time()
        state.note_end(now_s, latency_s)
        self._ejector.note_result(state, outcome, now_s)


def _cheaper(
    local: TargetState,
    other: TargetState,
    now_s: float,
) -> TargetState:
    default_s = local.latency_ewma_s or other.latency_ewma_s or 1
    local_cost = estimate_cost(local, now_s, default_s)
    if local_cost <= estimate_cost(other, now_s, default_s):
        return local
    return other


def _prefer_untried(
    candidates: Sequence[TargetState],
    failed: Mapping[str, bool],
) -> list[TargetState]:
    untried = [state for state in candidates if state.target.name not in failed]
    if untried:
        return untried
    # A new connection may still reach a target whose old one was lost.
    return [
        state for state in candidates if failed.get(state.target.name, False)
    ]
