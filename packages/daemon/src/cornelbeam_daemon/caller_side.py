"""Caller side: routes requests, retries attempts and forwards answers."""

import asyncio
import secrets
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final, final

from cornelbeam_core.budget import RetryBudget
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.retry import (
    AttemptResult,
    RetryDecision,
    RetrySettings,
    decide_retry,
)
from cornelbeam_core.selection import TargetState
from cornelbeam_settings import LimitsSettings

from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.answer_forwarding import forward_answer
from cornelbeam_daemon.backend_side import BackendSide
from cornelbeam_daemon.calls import Answer, Call
from cornelbeam_daemon.crash_detector import is_broken_off
from cornelbeam_daemon.hedging import Hedger
from cornelbeam_daemon.http_message import (
    HttpRequest,
    Responder,
    send_error,
)
from cornelbeam_daemon.logs import get_log
from cornelbeam_daemon.metrics import CALLER_SIDE, Metrics, answer_code
from cornelbeam_daemon.peer_client import PeerClient
from cornelbeam_daemon.pending_request import (
    PendingRequest,
    buffer_body,
    read_facts,
    read_head,
)
from cornelbeam_daemon.quarantine_sync import QuarantineSync
from cornelbeam_daemon.racing import Attempt
from cornelbeam_daemon.routing_table import RoutingTable, no_target_error
from cornelbeam_daemon.target_choice import TargetChooser

_log = get_log('caller')
_ATTEMPT_ID_BYTES: Final = 16
MAX_ATTEMPT_COUNT: Final = RetrySettings().max_attempt_count


@final
class CallerSide:
    """Handles the requests of the callers of one daemon."""

    __slots__ = (
        '_backend_side',
        '_budget',
        '_chooser',
        '_client',
        '_hedger',
        '_limits',
        '_loop',
        '_metrics',
        '_name',
        '_quarantine',
        '_table',
        'in_flight',
    )

    def __init__(
        self,
        name: str,
        table: RoutingTable,
        client: PeerClient,
        backend_side: BackendSide,
        limits: LimitsSettings,
        policy: str,
        metrics: Metrics,
        quarantine: QuarantineSync,
    ) -> None:
        """Route by ``table``; use ``backend_side`` for the local target.

        ``name`` is the name of this daemon, ``policy`` that of the target
        selection policy, and ``quarantine`` knows requests that crash backend
        servers.
        """
        self._name = name
        self._table = table
        self._client = client
        self._backend_side = backend_side
        self._limits = limits
        self._metrics = metrics
        self._quarantine = quarantine
        self._budget = RetryBudget(
            limits.retry_ratio,
            limits.retry_min_per_s,
        )
        self._hedger = Hedger(self._budget, metrics)
        self._chooser = TargetChooser(name, table, backend_side, policy)
        self._loop = asyncio.get_running_loop()
        self.in_flight = 0

    def may_overlap(self, request: HttpRequest) -> bool:
        """Return whether a pipelined request may run beside others."""
        try:
            return self._table.route(read_facts(request)).is_repeatable
        except CornelbeamError:
            # It is refused in its turn.
            return False

    def retry_tokens(self) -> float:
        """Return how many retries and hedges the budget allows now."""
        return self._budget.tokens(self._loop.time())

    def forget_removed_targets(self) -> None:
        """Drop the history of targets that left the routing table."""
        self._chooser.forget_removed_targets()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one request and write its answer or error."""
        pending = PendingRequest(request, request.received_s)
        self.in_flight += 1
        # Counted if the handling is cancelled or fails unexpectedly.
        code = ErrorCode.OUTCOME_UNKNOWN.value
        try:
            read_head(pending, self._table, self._limits)
            answer = await self._serve(pending)
            code = answer_code(answer.status)
            request_id = pending.request_id.encode()
            answer.headers = [*answer.headers, fields.REQUEST_ID, request_id]
            await forward_answer(request, answer, responder)
        except CornelbeamError as error:
            code = error.code.value
            self._report(pending, error, responder)
        finally:
            self.in_flight -= 1
            self._metrics.count_answer(
                pending.facts.service,
                pending.is_idempotent,
                code,
                self._loop.time() - pending.started_s,
            )

    async def _serve(self, pending: PendingRequest) -> Answer:
        if not pending.body.is_whole:
            await buffer_body(pending)
        pending.note_body()
        self._quarantine.check(pending.fingerprint)
        last_error: CornelbeamError | None = None
        while True:
            state = self._choose(pending, pending.failed)
            if state is None:
                raise last_error or no_target_error(
                    self._table,
                    pending.facts.service,
                )
            pending.attempt_count += 1
            call = self._new_call(pending, state)
            try:
                answer = await self._attempt_hedged(pending, state, call)
            except CornelbeamError as error:
                last_error = error
            else:
                if not self._try_shed_retry(pending, state, answer):
                    return answer
                answer.close()
                pending.note_run_state(RunState.RAN)
                pending.failed[state.target.name] = False
                continue
            decision = self._decide(pending, last_error, is_asked=False)
            if decision is RetryDecision.ASK_OUTCOME:
                recovered = await self._query_outcome(
                    pending, state, call, last_error
                )
                if recovered is not None:
                    return recovered
                decision = self._decide(pending, last_error, is_asked=True)
            pending.note_run_state(last_error.run_state)
            if decision is not RetryDecision.RETRY:
                raise last_error
            is_lost = last_error.code is ErrorCode.PEER_UNREACHABLE
            pending.failed[state.target.name] = is_lost

    def _try_shed_retry(
        self,
        pending: PendingRequest,
        state: TargetState,
        answer: Answer,
    ) -> bool:
        """Take a token to retry a shed request; return whether one was taken.

        The 503 of the backend server is forwarded when the request must not
        repeat, when no other target is left or when the budget is spent.
        """
        if answer.status != HTTPStatus.SERVICE_UNAVAILABLE:
            return False
        is_repeatable = pending.route.is_repeatable and pending.is_idempotent
        if not is_repeatable or not pending.body.is_whole:
            return False
        if pending.attempt_count >= MAX_ATTEMPT_COUNT:
            return False
        if self._choose_other(pending, state) is None:
            return False
        is_sent = self._budget.try_take(self._loop.time())
        self._metrics.count_retry(False, is_sent)
        return is_sent

    async def _attempt_hedged(
        self,
        pending: PendingRequest,
        state: TargetState,
        call: Call,
    ) -> Answer:
        delay_s = None
        if pending.body.is_whole:
            delay_s = self._hedger.delay_s(
                pending.facts.service,
                pending.route,
                pending.deadline_s,
                is_idempotent=pending.is_idempotent,
            )
        first = self._attempt(pending, state, call)
        if delay_s is None:
            return await first
        return await self._hedger.race(
            first,
            delay_s,
            lambda: self._make_hedge(pending, state),
        )

    def _make_hedge(
        self,
        pending: PendingRequest,
        slow: TargetState,
    ) -> Attempt | None:
        state = self._choose_other(pending, slow)
        return state and self._run_hedge(pending, state)

    async def _run_hedge(
        self,
        pending: PendingRequest,
        state: TargetState,
    ) -> Answer:
        try:
            return await self._attempt(
                pending,
                state,
                self._new_call(pending, state),
            )
        except CornelbeamError as error:
            pending.note_run_state(error.run_state)
            raise

    def _choose(
        self,
        pending: PendingRequest,
        tried: Mapping[str, bool],
    ) -> TargetState | None:
        return self._chooser.choose(
            pending.facts.service,
            pending.route,
            tried,
        )

    def _choose_other(
        self,
        pending: PendingRequest,
        current: TargetState,
    ) -> TargetState | None:
        tried = {**pending.failed, current.target.name: False}
        state = self._choose(pending, tried)
        if state is None or state.target.name in tried:
            return None
        return state

    def _new_call(self, pending: PendingRequest, state: TargetState) -> Call:
        return Call(
            attempt_id=secrets.token_bytes(_ATTEMPT_ID_BYTES),
            target_incarnation=state.target.incarnation,
            service=pending.facts.service,
            method=pending.request.method,
            path=pending.request.target,
            headers=pending.headers,
            deadline_s=pending.deadline_s,
            is_repeatable=pending.route.is_repeatable,
            caller=self._name,
            hop_count=pending.hop_count,
            request_id=pending.request_id,
            body=pending.body,
            fingerprint=pending.fingerprint,
            is_suspect=pending.is_suspect,
        )

    async def _attempt(
        self,
        pending: PendingRequest,
        state: TargetState,
        call: Call,
    ) -> Answer:
        started_s = self._loop.time()
        state.note_start(started_s)
        try:
            answer = await self._send(state, call)
        except TimeoutError as error:
            self._chooser.note_timeout(state, self._loop.time() - started_s)
            raise CornelbeamError(
                ErrorCode.DEADLINE_PASSED,
                'answer',
                state.target.name,
                run_state=RunState.UNKNOWN,
            ) from error
        except CornelbeamError as error:
            self._chooser.note_error(state, error)
            self._quarantine.note_refusal(pending.fingerprint, error)
            if is_broken_off(error):
                pending.is_suspect = True
            raise
        except BaseException:
            self._chooser.note_cancelled(state, self._loop.time() - started_s)
            raise
        latency_s = self._loop.time() - started_s
        self._chooser.note_answer(state, answer, latency_s)
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return answer
        self._hedger.note_latency(pending.facts.service, latency_s)
        self._budget.note_success(started_s)
        return answer

    async def _send(self, state: TargetState, call: Call) -> Answer:
        if state.target.name == self._name:
            # The backend side enforces the deadline itself.
            return await self._backend_side.serve(call)
        async with asyncio.timeout_at(call.deadline_s):
            return await self._client.call(state.target, call)

    async def _query_outcome(
        self,
        pending: PendingRequest,
        state: TargetState,
        call: Call,
        error: CornelbeamError,
    ) -> Answer | None:
        """Ask the peer for the outcome and set the run state of ``error``.

        Return the answer if the peer still has it.
        """
        if state.target.name == self._name:
            # The ledger is in this process, so the run state is final.
            return None
        try:
            async with asyncio.timeout_at(pending.deadline_s):
                run_state, answer = await self._client.ask_outcome(
                    state.target,
                    call,
                )
        except TimeoutError:
            run_state, answer = RunState.UNKNOWN, None
        if run_state is RunState.RUNNING:
            run_state = RunState.UNKNOWN
        error.run_state = run_state
        self._metrics.count_outcome_query(True, run_state)
        _log.info(
            'outcome asked',
            request=pending.request_id,
            target=state.target.name,
            run_state=run_state.name.lower(),
        )
        return answer

    def _decide(
        self,
        pending: PendingRequest,
        error: CornelbeamError,
        *,
        is_asked: bool,
    ) -> RetryDecision:
        decision = decide_retry(
            AttemptResult(
                error.run_state,
                error.code,
                pending.is_idempotent,
                pending.attempt_count,
                is_asked,
            ),
            pending.route,
            pending.deadline_s,
            self._loop.time(),
            self._budget,
        )
        if decision is RetryDecision.RETRY and not pending.body.is_intact:
            return RetryDecision.GIVE_UP
        if decision is RetryDecision.RETRY:
            self._metrics.count_retry(False, True)
        elif self._budget.tokens(self._loop.time()) < 1:
            self._metrics.count_retry(False, False)
        return decision

    def _report(
        self,
        pending: PendingRequest,
        error: CornelbeamError,
        responder: Responder,
    ) -> None:
        if pending.has_possibly_run and error.run_state is RunState.NOT_RUN:
            # The last attempt did not run, but an earlier one may have.
            error.run_state = RunState.UNKNOWN
        self._metrics.count_refusal(CALLER_SIDE, error.code.value)
        _log.info(
            'request not answered',
            request=pending.request_id,
            code=error.code.value,
            step=error.step,
            peer=error.peer,
            run_state=error.run_state.name.lower(),
        )
        if responder.is_started:
            # A truncated answer must not look complete.
            responder.abort()
            return
        send_error(responder, error)
