"""Backend side: the only path to the local backend server."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from http import HTTPStatus
from typing import final

from cornelbeam_core.admission import AdmissionLimit
from cornelbeam_core.attempts import AttemptLedger
from cornelbeam_core.deadlines import (
    check_deadline,
    check_hop_count,
    remaining_ms,
)
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.outcomes import CallOutcome
from cornelbeam_core.requests import is_idempotent_method
from cornelbeam_core.targets import LoadReport

from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.admission_queue import AdmissionQueue
from cornelbeam_daemon.attempt_records import (
    is_recorded,
    note_run_state,
    record_attempt,
)
from cornelbeam_daemon.backend_client import BackendClient
from cornelbeam_daemon.backend_connection import (
    BackendAnswer,
    BackendConnection,
)
from cornelbeam_daemon.body_framing import BodyFraming
from cornelbeam_daemon.calls import Answer, Call
from cornelbeam_daemon.crash_detector import CrashDetector, is_broken_off
from cornelbeam_daemon.metrics import BACKEND_SIDE, Metrics, answer_code
from cornelbeam_daemon.quarantine_sync import QuarantineSync
from cornelbeam_daemon.suspect_runs import SuspectRuns


@final
class BackendSide:
    """Admits and records calls and sends them to one backend server."""

    __slots__ = (
        '_admission',
        '_client',
        '_in_service',
        '_loop',
        '_metrics',
        '_quarantine',
        '_queue',
        '_suspects',
        'crashes',
        'is_leaving',
        'ledger',
        'name',
        'work_count',
    )

    def __init__(
        self,
        name: str,
        admission: AdmissionLimit,
        ledger: AttemptLedger,
        client: BackendClient,
        metrics: Metrics,
        in_service: Callable[[], bool],
        quarantine: QuarantineSync,
    ) -> None:
        """Serve calls as the target ``name``.

        ``in_service`` returns whether the failure domain is in service, and
        ``quarantine`` knows requests that crash backend servers.
        """
        self.name = name
        self.ledger = ledger
        self.is_leaving = False
        self.work_count = 0
        self._admission = admission
        self._queue = AdmissionQueue(name, admission)
        self._client = client
        self._metrics = metrics
        self._in_service = in_service
        self._quarantine = quarantine
        self._suspects = SuspectRuns(quarantine)
        self.crashes = CrashDetector(client.is_refusing)
        self.crashes.on_crash = quarantine.note_crash
        self._loop = asyncio.get_running_loop()

    @property
    def load(self) -> LoadReport:
        """Load report that is sent with answers and refusals."""
        # Callers must avoid a target whose failure domain is out of service
        # like one that is leaving.
        is_leaving = self.is_leaving or not self._in_service()
        return self._admission.report(is_leaving=is_leaving)

    def has_room(self) -> bool:
        """Return whether a call would run without waiting."""
        admission = self._admission
        return (
            admission.in_flight < admission.limit
            and not admission.queue_length
            and not self.is_leaving
            and self._in_service()
        )

    async def serve(self, call: Call) -> Answer:
        """Send a call to the backend server and return its answer.

        Raise ``CornelbeamError`` with run state ``NOT_RUN`` when no byte of
        the request reached the backend server, else ``UNKNOWN``.
        """
        self._begin()
        started_s = self._loop.time()
        try:
            answer = await self._serve(call, started_s)
        except CornelbeamError as error:
            error.peer = error.peer or self.name
            self._count_error(call, error, started_s)
            self._end()
            raise
        except BaseException:
            self._end()
            raise
        return answer

    def _count_error(
        self,
        call: Call,
        error: CornelbeamError,
        started_s: float,
    ) -> None:
        self._metrics.count_refusal(BACKEND_SIDE, error.code.value)
        self._metrics.count_backend_answer(
            call.service,
            call.is_repeatable,
            error.code.value,
            self._loop.time() - started_s,
        )

    async def _serve(self, call: Call, started_s: float) -> Answer:
        self._check(call, started_s)
        self._record(call, started_s)
        async with AsyncExitStack() as isolation:
            try:
                await self._queue.wait_for_body(call)
                await isolation.enter_async_context(
                    self._suspects.isolated(call)
                )
                await self._queue.admit(call, started_s)
            except BaseException:
                self._note_run_state(call, RunState.NOT_RUN)
                raise
            return await self._run(call, started_s)

    async def _run(self, call: Call, started_s: float) -> Answer:
        connection = await self._connect(call)
        handed_over_s = self._loop.time()
        try:
            async with asyncio.timeout_at(call.deadline_s):
                head = await self._try_reused(call, connection)
                if head is None:
                    self._client.release(connection)
                    connection = await self._client.open_replacement()
                    head = await self._hand_over(call, connection)
        except TimeoutError as error:
            self._abandon(call, connection, CallOutcome.TIMED_OUT)
            raise CornelbeamError(
                ErrorCode.DEADLINE_PASSED,
                'backend answer',
                self.name,
                run_state=RunState.UNKNOWN,
            ) from error
        except CornelbeamError as error:
            self._abandon(call, connection, CallOutcome.FAILED)
            if is_broken_off(error):
                self.crashes.note_broken_off(call)
            raise
        except BaseException:
            self._abandon(call, connection, CallOutcome.CANCELLED)
            raise
        self._quarantine.note_answer(call)
        service_time_s = self._loop.time() - handed_over_s

        def close() -> None:  # noqa: WPS430
            self._close_answer(call, connection, head, service_time_s)
            self._metrics.count_backend_answer(
                call.service,
                call.is_repeatable,
                answer_code(head.status),
                self._loop.time() - started_s,
            )

        return Answer(
            head.status,
            fields.strip(head.headers),
            head.body,
            self.load,
            close,
        )

    def load_for(self, route: str) -> LoadReport:
        """Return the load report, which is the same for all routes."""
        return self.load

    def _check(self, call: Call, now_s: float) -> None:
        check_hop_count(call.hop_count)
        check_deadline(call.deadline_s, now_s, 'admission')
        if call.target_incarnation != self.ledger.incarnation:
            raise self._refusal(ErrorCode.WRONG_INCARNATION)
        if self.is_leaving:
            raise self._refusal(ErrorCode.TARGET_LEAVING)
        if not self._in_service():
            raise self._refusal(ErrorCode.DOMAIN_OUT_OF_SERVICE)
        self._quarantine.check(call.fingerprint)

    def _record(self, call: Call, now_s: float) -> None:
        try:
            record_attempt(self.ledger, call, now_s, self.name)
        except CornelbeamError as error:
            if error.code is ErrorCode.OVERLOADED:
                error.retry_after_ms = self._admission.retry_after_ms()
            raise

    async def _connect(self, call: Call) -> BackendConnection:
        try:
            # The deadline may have passed in the queue.
            check_deadline(call.deadline_s, self._loop.time(), 'admission')
            # Once the server has the head, a refusal can't promise that the
            # request has not run.
            call.body.raise_error()
            idle = self._client.take_idle(is_fresh=is_recorded(call))
            if idle is not None:
                return idle
            async with asyncio.timeout_at(call.deadline_s):
                return await self._client.open()
        except TimeoutError as error:
            self._note_run_state(call, RunState.NOT_RUN)
            self._queue.finish(0, CallOutcome.FAILED)
            raise CornelbeamError(
                ErrorCode.DEADLINE_PASSED,
                'backend connection',
                self.name,
            ) from error
        except BaseException:
            self._note_run_state(call, RunState.NOT_RUN)
            self._queue.finish(0, CallOutcome.FAILED)
            raise

    async def _try_reused(
        self,
        call: Call,
        connection: BackendConnection,
    ) -> BackendAnswer | None:
        """Send a call; return None if an idle connection had been closed."""
        try:
            return await self._hand_over(call, connection)
        except CornelbeamError:
            if _can_resend(call, connection):
                return None
            raise

    async def _hand_over(
        self,
        call: Call,
        connection: BackendConnection,
    ) -> BackendAnswer:
        body = BodyFraming(call)
        left_ms = remaining_ms(call.deadline_s, self._loop.time())
        head = fields.render(
            b'%b %b HTTP/1.1' % (call.method, call.path),
            [
                *call.headers,
                *body.fields,
                fields.DEADLINE,
                str(left_ms).encode(),
                fields.HOPS,
                str(call.hop_count).encode(),
                fields.REQUEST_ID,
                call.request_id.encode(),
            ],
        )
        return await connection.exchange(
            head,
            body.reader,
            body.first_part,
            is_complete=body.is_whole,
            is_chunked=body.is_chunked,
            is_head_request=call.method == b'HEAD',
            length_bytes=body.length_bytes,
        )

    def _abandon(
        self,
        call: Call,
        connection: BackendConnection,
        outcome: CallOutcome,
    ) -> None:
        connection.close()
        connection.drop_answer()
        self._client.release(connection)
        self._note_run_state(call, RunState.UNKNOWN)
        self._queue.finish(0, outcome)

    def _close_answer(
        self,
        call: Call,
        connection: BackendConnection,
        head: BackendAnswer,
        service_time_s: float,
    ) -> None:
        is_whole = head.body.is_complete
        if not is_whole:
            connection.close()
        self._client.release(connection)
        self._note_run_state(
            call,
            RunState.RAN if is_whole else RunState.UNKNOWN,
        )
        self._queue.finish(service_time_s, _outcome_of(head, is_whole))
        self._end()

    def _note_run_state(self, call: Call, run_state: RunState) -> None:
        note_run_state(self.ledger, call, run_state, self._loop.time())

    def _begin(self) -> None:
        self.work_count += 1

    def _end(self) -> None:
        self.work_count -= 1

    def _refusal(self, code: ErrorCode) -> CornelbeamError:
        return CornelbeamError(code, 'admission', self.name)


def _can_resend(call: Call, connection: BackendConnection) -> bool:
    # A backend server may close idle connections at any time. That must not
    # fail a request that may run twice, as it may have no other target.
    return (
        connection.is_stale
        and call.is_repeatable
        and is_idempotent_method(call.method.decode())
        and call.body.is_intact
    )


def _outcome_of(head: BackendAnswer, is_whole: bool) -> CallOutcome:
    if head.status == HTTPStatus.SERVICE_UNAVAILABLE:
        return CallOutcome.SHED
    if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return CallOutcome.FAILED
    return CallOutcome.ANSWERED if is_whole else CallOutcome.CANCELLED
