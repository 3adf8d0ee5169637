"""Forwards requests of callers on this instance to a target."""

import asyncio
import math
import random
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, final

from cornelbeam_core.attempt_order import (
    REFUSAL_AGE_LIMIT_S,
    Choice,
    time_left,
)
from cornelbeam_core.deadlines import MS_PER_S, StopDeadline, remaining_ms
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.placement import (
    PlacementRequest,
    TargetRecord,
    fastest_service_ms,
    rank_targets,
)
from cornelbeam_daemon.calls import Answer
from cornelbeam_daemon.crash_detector import is_broken_off
from cornelbeam_daemon.http_message import HttpRequest, Responder
from cornelbeam_daemon.logs import get_log
from cornelbeam_daemon.quarantine_sync import QuarantineSync
from cornelbeam_daemon.racing import SecondAttempt, race
from cornelbeam_daemon.remote_call import NotifySilent
from cornelbeam_wire import PeerConnection

from cornelbeam_mesh.admission import AdmissionController
from cornelbeam_mesh.caller_answers import (
    ErrorTiming,
    forward_in_time,
    send_error,
)
from cornelbeam_mesh.fleet_state import FleetState
from cornelbeam_mesh.forwarded_request import ForwardedRequest, RequestReader
from cornelbeam_mesh.members import MemberEntry
from cornelbeam_mesh.metrics import MeshMetrics
from cornelbeam_mesh.stop_limits import StopLimits
from cornelbeam_mesh.target_client import TargetClient
from cornelbeam_mesh.tenant_quotas import TenantQuotas

_log = get_log('caller')
# A connection that is silent for this long after its peer was found silent is
# gone if the peer answers over another one.
RESEND_AFTER_S: Final = 0.3


@final
class Forwarder:
    """Forwards requests, with retries at other targets where allowed."""

    __slots__ = (
        '_admission',
        '_client',
        '_domain',
        '_loop',
        '_metrics',
        '_on_stale_entry',
        '_quarantine',
        '_quotas',
        '_reader',
        '_rng',
        '_state',
        '_stop',
        'in_flight_count',
        'stop_limits',
    )

    def __init__(
        self,
        domain: str,
        state: FleetState,
        reader: RequestReader,
        client: TargetClient,
        admission: AdmissionController,
        metrics: MeshMetrics,
        on_stale_entry: Callable[[MemberEntry], None],
        quarantine: QuarantineSync,
        quotas: TenantQuotas,
        rng: random.Random,
        stop: StopDeadline,
    ) -> None:
        """Forward requests from the failure domain ``domain``.

        ``admission`` knows the load of the local target. ``on_stale_entry`` is
        called if a daemon has restarted since its entry was read, and
        ``quarantine`` knows requests that crash targets. All requests are
        answered by the time of ``stop``.
        """
        self._stop = stop
        self.stop_limits = StopLimits(stop)
        self._domain = domain
        self._state = state
        self._reader = reader
        self._client = client
        self._admission = admission
        self._metrics = metrics
        self._on_stale_entry = on_stale_entry
        self._quarantine = quarantine
        self._quotas = quotas
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self.in_flight_count = 0

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request of a caller."""
        started_s = request.received_s
        self.in_flight_count += 1
        outcome = 'cancelled'
        forwarded: ForwardedRequest | None = None
        try:
            forwarded = self._reader.read(request, started_s)
            if self._stop.is_begun:
                service_ms = self._shortest_service_ms(forwarded)
                self._stop.check(service_ms, started_s)
            async with self.stop_limits.limited():
                if forwarded.tenant is not None:
                    await self._quotas.admit(forwarded)
                await forwarded.buffer_body()
                # A long upload may outlast its token.
                await self._quotas.renew(forwarded)
                self._quarantine.check(forwarded.fingerprint)
                answer = await self._try_targets(forwarded)
            outcome = str(answer.status)
            await forward_in_time(forwarded, answer, responder)
        except CornelbeamError as error:
            outcome = error.code.value
            self._quotas.give_back(forwarded, error)
            send_error(
                error,
                responder,
                forwarded,
                ErrorTiming(started_s, self._loop.time(), self._rng.random()),
            )
        finally:
            self._finish(forwarded, outcome, started_s)

    def _finish(
        self,
        forwarded: ForwardedRequest | None,
        outcome: str,
        started_s: float,
    ) -> None:
        self.in_flight_count -= 1
        if forwarded is not None and forwarded.fallback is not None:
            forwarded.fallback.close()
        self._metrics.count_request(
            forwarded.route.name if forwarded else '',
            outcome,
            self._loop.time() - started_s,
        )

    async def _try_targets(self, forwarded: ForwardedRequest) -> Answer:
        last_error: CornelbeamError | None = None
        while True:
            chosen = self._choose_target(forwarded)
            if chosen is None:
                break
            record, choice = chosen
            attempt_started_s = self._loop.time()
            try:
                answer = await self._attempt(forwarded, record, choice)
            except CornelbeamError as error:
                last_error = error
                if error.run_state is RunState.NOT_RUN:
                    forwarded.order.note_refusal(
                        record.name, error, attempt_started_s
                    )
                if not forwarded.may_try_next(error):
                    break
                continue
            if not self._should_retry(forwarded, answer):
                return answer
            forwarded.keep_fallback(answer)
        if forwarded.fallback is not None:
            fallback = forwarded.fallback
            forwarded.fallback = None
            return fallback
        raise forwarded.final_error(last_error)

    def _should_retry(
        self,
        forwarded: ForwardedRequest,
        answer: Answer,
    ) -> bool:
        """Return whether another target may still answer better in time."""
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return False
        if not forwarded.is_retryable:
            return False
        left_ms = remaining_ms(forwarded.deadline_s, self._loop.time())
        return left_ms > self._shortest_service_ms(forwarded)

    def _shortest_service_ms(self, forwarded: ForwardedRequest) -> float:
        records = self._state.members.serving(
            forwarded.service,
            self._state.evacuated_domains,
        )
        return fastest_service_ms(records, forwarded.route.name)

    def _choose_target(
        self,
        forwarded: ForwardedRequest,
    ) -> tuple[TargetRecord, Choice] | None:
        """Choose the next target and how long to wait for a slot there."""
        now_s = self._loop.time()
        if now_s >= self._stop.at_s:
            return None
        records = [
            record
            for record in self._state.members.serving(
                forwarded.service,
                self._state.evacuated_domains,
            )
            if record.name not in forwarded.reached_targets
        ]
        self._record_local_load(records, forwarded.route.name, now_s)
        ranked = rank_targets(
            records,
            PlacementRequest(
                self._domain,
                forwarded.route.name,
                forwarded.body.kept_bytes,
                now_s,
            ),
        )
        choice = forwarded.order.choose(
            self._state.rollouts.arrange(forwarded.service, ranked),
            time_left(
                now_s,
                forwarded.deadline_s,
                forwarded.objective_remaining_ms(now_s),
            ),
        )
        if choice is None:
            return None
        record = self._state.members.record(choice.name)
        return None if record is None else (record, choice)

    def _record_local_load(
        self,
        records: list[TargetRecord],
        route: str,
        now_s: float,
    ) -> None:
        """Record the load of the local target, which sends no load report."""
        for record in records:
            if record.is_local:
                load = self._admission.load_for(route)
                record.note_load(load, route, now_s)

    async def _attempt(
        self,
        forwarded: ForwardedRequest,
        record: TargetRecord,
        choice: Choice,
    ) -> Answer:
        member = self._state.members.get(record.name)
        if member is None:
            raise CornelbeamError(ErrorCode.NO_ELIGIBLE_TARGET, 'placement')
        silent: list[PeerConnection] = []
        others = SecondAttempt(
            lambda: self._try_others(forwarded, record, silent[0])
        )

        def on_silent(connection: PeerConnection) -> None:  # noqa: WPS430
            self._note_silence(forwarded, record)
            if forwarded.is_retryable:
                silent.append(connection)
                others.start()

        async def attempt() -> Answer:  # noqa: WPS430
            answer = await self._attempt_at(
                forwarded, record, member, choice, on_silent
            )
            if others.is_started:
                self._check_success(forwarded, answer)
            return answer

        return await race(attempt(), others)

    def _note_silence(
        self,
        forwarded: ForwardedRequest,
        record: TargetRecord,
    ) -> None:
        now_s = self._loop.time()
        record.note_failure(now_s, is_unreachable=True)
        if forwarded.route.is_idempotent:
            forwarded.reached_targets.add(record.name)
            forwarded.run_targets.add(record.name)
        _log.info(
            'attempt goes on, its peer is silent',
            request=forwarded.request_id,
            target=record.name,
            elapsed_ms=int((now_s - forwarded.started_s) * MS_PER_S),
        )

    async def _try_others(
        self,
        forwarded: ForwardedRequest,
        record: TargetRecord,
        silent: PeerConnection,
    ) -> Answer:
        """Try other targets while an attempt at a silent peer goes on.

        Targets that refuse are asked again, as the silent peer may be gone. So
        is that of the silent peer, over a new connection, if the peer has
        answered on one and the old connection stays silent: a slow peer would
        have read and answered both.
        """
        resend_at_s = self._loop.time() + RESEND_AFTER_S
        while True:
            is_old_gone = silent.is_silent or silent.is_closed
            is_waited = self._loop.time() >= resend_at_s
            if is_waited and is_old_gone and not record.is_unreachable:
                # Once only: it is left out again if it breaks off.
                resend_at_s = math.inf
                forwarded.reached_targets.discard(record.name)
            try:
                answer = await self._try_targets(forwarded)
            except CornelbeamError:
                left_s = forwarded.deadline_s - self._loop.time()
                is_hopeless = (
                    left_s <= REFUSAL_AGE_LIMIT_S
                    or forwarded.order.is_exhausted
                    or not forwarded.is_retryable
                )
                if is_hopeless:
                    raise
                await asyncio.sleep(REFUSAL_AGE_LIMIT_S)
                continue
            self._check_success(forwarded, answer)
            return answer

    def _check_success(
        self, forwarded: ForwardedRequest, answer: Answer
    ) -> None:
        """Keep an error answer as the fallback, as a race goes on.

        Raise ``backend_failed`` for it: the other attempt may end better.
        """
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return
        forwarded.keep_fallback(answer)
        raise CornelbeamError(
            ErrorCode.BACKEND_FAILED,
            'backend answer',
            detail=f'status {answer.status}',
            run_state=RunState.UNKNOWN,
        )

    async def _attempt_at(
        self,
        forwarded: ForwardedRequest,
        record: TargetRecord,
        member: MemberEntry,
        choice: Choice,
        on_silent: NotifySilent,
    ) -> Answer:
        try:
            answer = await self._client.attempt(
                forwarded, member, choice, on_silent
            )
        except CornelbeamError as error:
            self._record_error(forwarded, record, member, error)
            raise
        now_s = self._loop.time()
        forwarded.reached_targets.add(record.name)
        forwarded.run_targets.add(record.name)
        record.note_load(answer.load, forwarded.route.name, now_s)
        _log.debug(
            'attempt answered',
            request=forwarded.request_id,
            route=forwarded.route.name,
            configuration=forwarded.configuration_version,
            target=record.name,
            status=answer.status,
            is_near=record.domain == self._domain,
            sent_bytes=forwarded.body.kept_bytes,
            received_bytes=answer.body.size_bytes,
            elapsed_ms=int((now_s - forwarded.started_s) * MS_PER_S),
        )
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            record.note_success()
        else:
            record.note_failure(now_s, is_unreachable=False)
        return answer

    def _record_error(
        self,
        forwarded: ForwardedRequest,
        record: TargetRecord,
        member: MemberEntry,
        error: CornelbeamError,
    ) -> None:
        now_s = self._loop.time()
        record.note_load(error.load, forwarded.route.name, now_s)
        is_unreachable = error.code is ErrorCode.PEER_UNREACHABLE
        if error.code is ErrorCode.WRONG_INCARNATION:
            # Avoid the daemon until its new entry arrives: other requests would
            # fail too.
            is_unreachable = True
            self._on_stale_entry(member)
        self._quarantine.note_refusal(forwarded.fingerprint, error)
        self._state.rollouts.note_refusal(forwarded.service, error)
        if is_broken_off(error):
            forwarded.is_suspect = True
        is_refused = error.code is ErrorCode.BACKEND_REFUSED
        may_have_run = error.run_state is not RunState.NOT_RUN
        if may_have_run:
            forwarded.run_targets.add(record.name)
        else:
            # It counted as run while the peer was silent.
            forwarded.run_targets.discard(record.name)
        if may_have_run or is_refused:
            # The request has reached the target, so another attempt is a retry.
            forwarded.reached_targets.add(record.name)
        if may_have_run or is_refused or is_unreachable:
            record.note_failure(now_s, is_unreachable=is_unreachable)
        _log.info(
            'attempt failed',
            request=forwarded.request_id,
            configuration=forwarded.configuration_version,
            target=record.name,
            code=error.code.value,
            step=error.step,
            run_state=error.run_state.name.lower(),
            wait_ms=0 if error.load is None else error.load.wait_ms,
            elapsed_ms=int((now_s - forwarded.started_s) * MS_PER_S),
            why=error.detail,
        )
