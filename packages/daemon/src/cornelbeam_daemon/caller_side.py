"""Caller side: routes requests, owns retries, passes answers on."""

import asyncio
import random
import secrets
from collections.abc import Mapping, Sequence
from typing import Final, final

from cornelbeam_core.budget import RetryBudget
from cornelbeam_core.deadlines import check_deadline, check_hop_count
from cornelbeam_core.ejection import OutlierEjector
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.outcomes import CallOutcome
from cornelbeam_core.requests import RequestFacts, is_idempotent_method
from cornelbeam_core.retry import AttemptResult, RetryDecision, decide_retry
from cornelbeam_core.selection import (
    TargetState,
    choose_target,
    estimate_cost,
)
from cornelbeam_core.selectors import Route
from cornelbeam_settings import LimitsSettings

from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.backend_side import BackendSide
from cornelbeam_daemon.bodies import REPLAY_LIMIT_BYTES, RequestBody
from cornelbeam_daemon.calls import Answer, Call
from cornelbeam_daemon.http_server import (
    BODILESS,
    HttpRequest,
    Responder,
    send_error,
)
from cornelbeam_daemon.logs import get_log
from cornelbeam_daemon.metrics import CALLER_SIDE, Metrics, answer_code
from cornelbeam_daemon.peer_client import PeerClient
from cornelbeam_daemon.routing_table import RoutingTable, no_target_error

_log = get_log('caller')
_MS_PER_S: Final = 1000
_ATTEMPT_ID_BYTES: Final = 16
_REQUEST_ID_BYTES: Final = 8
_MAX_REQUEST_ID_CHARACTERS: Final = 64
_MAX_DIGITS: Final = 18
# Outcomes that say nothing about the health of the target.
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
class Pending:
    """A request on its way through the caller side."""

    __slots__ = (
        'attempt_count',
        'body',
        'deadline_s',
        'facts',
        'failed',
        'headers',
        'hop_count',
        'request',
        'request_id',
        'route',
        'started_s',
    )

    def __init__(self, request: HttpRequest, started_s: float) -> None:
        """Start with nothing known but the request."""
        self.request = request
        self.started_s = started_s
        self.body = RequestBody(request.body)
        self.headers: list[bytes] = []
        self.request_id = ''
        self.hop_count = 0
        self.deadline_s = started_s
        self.attempt_count = 0
        # Targets tried, and whether only the connection to them was lost.
        self.failed: dict[str, bool] = {}
        self.facts = RequestFacts('', '', '', {})
        self.route = Route((), {}, False, None)

    @property
    def is_idempotent(self) -> bool:
        """Tell whether the method is idempotent."""
        return is_idempotent_method(self.facts.method)


@final
class CallerSide:
    """Serves the callers of one daemon."""

    __slots__ = (
        '_backend_side',
        '_budget',
        '_client',
        '_ejector',
        '_limits',
        '_loop',
        '_metrics',
        '_name',
        '_policy',
        '_rng',
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
    ) -> None:
        """Route by ``table``; serve locally by ``backend_side``."""
        self._name = name
        self._table = table
        self._client = client
        self._backend_side = backend_side
        self._limits = limits
        self._policy = policy
        self._metrics = metrics
        self._budget = RetryBudget(
            limits.retry_ratio,
            limits.retry_min_per_s,
        )
        self._ejector = OutlierEjector()
        self._rng = random.Random()
        self._loop = asyncio.get_running_loop()
        self.in_flight = 0

    def forget_absent(self) -> None:
        """Drop the history of targets that are gone."""
        self._ejector.retain(self._table.all_states())

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        pending = Pending(request, self._loop.time())
        self.in_flight += 1
        code = ErrorCode.OUTCOME_UNKNOWN.value
        try:
            self._read_head(pending)
            answer = await self._serve(pending)
            code = answer_code(answer.status)
            await self._pass_on(pending, answer, responder)
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

    def _read_head(self, pending: Pending) -> None:
        request = pending.request
        headers = request.headers
        try:
            path = request.target.decode('ascii')
            method = request.method.decode('ascii')
            host = (fields.find(headers, b'host') or b'').decode('ascii')
        except UnicodeDecodeError as error:
            raise _malformed('the head is not ASCII') from error
        if method == 'CONNECT' or not (path.startswith('/') or path == '*'):
            raise _malformed('only origin-form targets are supported')
        service = host.partition(':')[0].partition('.')[0]
        if not service:
            raise _malformed('the Host header names no service')
        pending.facts = RequestFacts(
            service.lower(),
            method,
            path,
            fields.HeaderView(headers),
        )
        pending.request_id = _read_request_id(headers)
        pending.hop_count = _read_number(headers, fields.HOPS, 0) + 1
        check_hop_count(pending.hop_count)
        body_bytes = _read_number(headers, b'content-length', 0)
        if body_bytes > self._limits.body_bytes:
            raise CornelbeamError(ErrorCode.BODY_TOO_LARGE, 'request head')
        pending.headers = fields.strip(headers)
        pending.route = self._table.route(pending.facts)
        pending.deadline_s = pending.started_s + self._timeout_s(pending)
        check_deadline(pending.deadline_s, pending.started_s, 'routing')

    def _timeout_s(self, pending: Pending) -> float:
        configured_ms = (
            pending.route.timeout_ms
            or self._table.timeout_ms(pending.facts.service)
            or self._limits.default_timeout_ms
        )
        stated_ms = _read_number(
            pending.request.headers,
            fields.DEADLINE,
            configured_ms,
        )
        return min(stated_ms, configured_ms) / _MS_PER_S

    async def _serve(self, pending: Pending) -> Answer:
        if not pending.body.is_whole:
            await self._gather_body(pending)
        last_error: CornelbeamError | None = None
        while True:
            state = self._choose(pending)
            if state is None:
                raise last_error or no_target_error(
                    self._table,
                    pending.facts.service,
                )
            pending.attempt_count += 1
            call = self._new_call(pending, state)
            try:
                return await self._attempt(pending, state, call)
            except CornelbeamError as error:
                last_error = error
            decision = self._decide(pending, last_error, is_asked=False)
            if decision is RetryDecision.ASK_OUTCOME:
                answer = await self._ask(pending, state, call, last_error)
                if answer is not None:
                    return answer
                decision = self._decide(pending, last_error, is_asked=True)
            if decision is not RetryDecision.RETRY:
                raise last_error
            is_lost = last_error.code is ErrorCode.PEER_UNREACHABLE
            pending.failed[state.target.name] = is_lost

    async def _gather_body(self, pending: Pending) -> None:
        """Wait for a body that is short, or whose request must not repeat.

        A request that is handed over in parts has an unknown outcome when the
        connection breaks in between, and a slow caller would hold a slot.
        """
        size_bytes = _read_number(
            pending.request.headers,
            b'content-length',
            REPLAY_LIMIT_BYTES + 1,
        )
        is_short = size_bytes <= REPLAY_LIMIT_BYTES
        if pending.route.is_repeatable and not is_short:
            return
        try:
            async with asyncio.timeout_at(pending.deadline_s):
                await pending.body.gather()
        except TimeoutError as error:
            raise CornelbeamError(
                ErrorCode.DEADLINE_PASSED,
                'request body',
                detail='the body did not arrive in time',
            ) from error

    def _choose(self, pending: Pending) -> TargetState | None:
        now_s = self._loop.time()
        route = pending.route
        states = self._table.states(pending.facts.service)
        candidates: Sequence[TargetState] = states
        if route.target_labels:
            candidates = [
                state
                for state in states
                if route.is_eligible(state.target.labels)
            ]
        if pending.failed:
            candidates = _prefer_untried(candidates, pending.failed)
        chosen = choose_target(self._policy, candidates, now_s, self._rng)
        if chosen is None or chosen.target.name == self._name:
            return chosen
        # Serving locally saves a hop, as long as the call would run at once
        # and the local backend server is not the slower choice.
        if not self._backend_side.has_room():
            return chosen
        for state in candidates:
            if state.target.name == self._name:
                return _cheaper(state, chosen, now_s)
        return chosen

    def _new_call(self, pending: Pending, state: TargetState) -> Call:
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
        )

    async def _attempt(
        self,
        pending: Pending,
        state: TargetState,
        call: Call,
    ) -> Answer:
        started_s = self._loop.time()
        state.note_start(started_s)
        outcome = CallOutcome.CANCELLED
        latency_s = None
        try:
            answer = await self._send(state, call)
            latency_s = self._loop.time() - started_s
            outcome = CallOutcome.ANSWERED
        except TimeoutError as error:
            outcome = CallOutcome.TIMED_OUT
            latency_s = self._loop.time() - started_s
            raise CornelbeamError(
                ErrorCode.DEADLINE_PASSED,
                'answer',
                state.target.name,
                run_state=RunState.UNKNOWN,
            ) from error
        except CornelbeamError as error:
            is_refusal = error.code in _REFUSALS
            outcome = CallOutcome.SHED if is_refusal else CallOutcome.FAILED
            raise
        finally:
            self._note_end(state, outcome, latency_s)
        if answer.load is not None:
            state.note_report(answer.load, started_s + latency_s)
        self._budget.note_success(started_s)
        return answer

    def _note_end(
        self,
        state: TargetState,
        outcome: CallOutcome,
        latency_s: float | None,
    ) -> None:
        now_s = self._loop.time()
        state.note_end(now_s, latency_s)
        self._ejector.note_result(state, outcome, now_s)

    async def _send(self, state: TargetState, call: Call) -> Answer:
        if state.target.name == self._name:
            # It keeps to the deadline by itself.
            return await self._backend_side.serve(call)
        async with asyncio.timeout_at(call.deadline_s):
            return await self._client.call(state.target, call)

    async def _ask(
        self,
        pending: Pending,
        state: TargetState,
        call: Call,
        error: CornelbeamError,
    ) -> Answer | None:
        """Ask for the outcome; notes the run state in ``error``."""
        if state.target.name == self._name:
            # The ledger is this process's own, so the run state is final.
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
        pending: Pending,
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
        if decision is RetryDecision.RETRY and not pending.body.is_replayable:
            return RetryDecision.GIVE_UP
        if decision is not RetryDecision.ASK_OUTCOME:
            self._metrics.count_retry(False, decision is RetryDecision.RETRY)
        return decision

    async def _pass_on(
        self,
        pending: Pending,
        answer: Answer,
        responder: Responder,
    ) -> None:
        headers = [*answer.headers, fields.REQUEST_ID]
        headers.append(pending.request_id.encode())
        try:
            content = answer.body.take_ready()
            is_bodiless = (
                pending.request.method == b'HEAD' or answer.status in BODILESS
            )
            if answer.body.is_ended and not is_bodiless:
                _check_length(headers, content)
                responder.send_whole(answer.status, headers, content)
                return
            responder.start(answer.status, headers)
            if content:
                await responder.send(content)
            while not answer.body.is_ended:
                content = await answer.body.read_answer()
                if content:
                    await responder.send(content)
            responder.finish()
        finally:
            answer.close()

    def _report(
        self,
        pending: Pending,
        error: CornelbeamError,
        responder: Responder,
    ) -> None:
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
            # A truncated answer must not look whole.
            responder.abort()
            return
        send_error(responder, error)


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
    # A new connection may reach a target whose old one went silent.
    return [
        state for state in candidates if failed.get(state.target.name, False)
    ]


def _check_length(headers: list[bytes], content: bytes) -> None:
    length = fields.find(headers, b'content-length')
    if length is not None and length != str(len(content)).encode():
        raise CornelbeamError(
            ErrorCode.ANSWER_TRUNCATED,
            'answer',
            run_state=RunState.RAN,
        )


def _read_request_id(headers: list[bytes]) -> str:
    stated = fields.find(headers, fields.REQUEST_ID)
    if stated is None:
        return secrets.token_hex(_REQUEST_ID_BYTES)
    if stated.isalnum() and len(stated) <= _MAX_REQUEST_ID_CHARACTERS:
        return stated.decode('ascii')
    return secrets.token_hex(_REQUEST_ID_BYTES)


def _read_number(headers: list[bytes], name: bytes, default: int) -> int:
    stated = fields.find(headers, name)
    if stated is None:
        return default
    # The length keeps a caller from making this process parse huge numbers.
    if not stated.isdigit() or len(stated) > _MAX_DIGITS:
        raise _malformed(f'{name.decode()} is not a number')
    return int(stated)


def _malformed(detail: str) -> CornelbeamError:
    return CornelbeamError(
        ErrorCode.MALFORMED_REQUEST,
        'request head',
        detail=detail,
    )
