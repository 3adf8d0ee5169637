"""Queue of calls that wait for admission to the backend server."""

import asyncio
from typing import final

from cornelbeam_core.admission import Admission, AdmissionLimit
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.outcomes import CallOutcome

from cornelbeam_daemon.calls import Call


@final
class AdmissionQueue:
    """Holds calls back until the admission limit has room for them."""

    __slots__ = ('_expiry_timer', '_limit', '_loop', '_name')

    def __init__(self, name: str, limit: AdmissionLimit) -> None:
        """Admit calls to the target ``name`` within ``limit``."""
        self._name = name
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        self._expiry_timer: asyncio.TimerHandle | None = None

    async def admit(self, call: Call, now_s: float) -> None:
        """Return when the call may run; raise ``overloaded`` if it may not.

        Every admitted call must be ended with ``finish``.
        """
        ticket: asyncio.Future[Admission] = self._loop.create_future()
        admission = self._limit.try_admit(
            call.caller,
            now_s,
            call.deadline_s,
            ticket,
        )
        if admission is Admission.QUEUE:
            self._set_expiry_timer()
            admission = await self._wait(ticket)
        if admission is Admission.REFUSE:
            raise self._refusal()

    async def wait_for_body(self, call: Call) -> None:
        """Wait for the first part of a body that the sender holds back.

        Raise ``overloaded`` if the queue is full, without asking for the body:
        the transfer for a refused call is wasted.
        """
        if not call.body.is_held:
            return
        if self._limit.is_full(self._loop.time()):
            raise self._refusal()
        try:
            async with asyncio.timeout_at(call.deadline_s):
                await call.body.read_next()
        except TimeoutError as error:
            raise CornelbeamError(
                ErrorCode.DEADLINE_PASSED,
                'request body',
                self._name,
                'the body did not arrive in time',
            ) from error
        except CornelbeamError as error:
            error.run_state = RunState.NOT_RUN
            raise

    def finish(self, service_time_s: float, outcome: CallOutcome) -> None:
        """End an admitted call and admit queued ones."""
        self._limit.finish(self._loop.time(), service_time_s, outcome)
        self._release()

    def _refusal(self) -> CornelbeamError:
        return CornelbeamError(
            ErrorCode.OVERLOADED,
            'admission',
            self._name,
            retry_after_ms=self._limit.retry_after_ms(),
        )

    async def _wait(self, ticket: 'asyncio.Future[Admission]') -> Admission:
        try:
            return await ticket
        except asyncio.CancelledError:
            if ticket.cancelled():
                self._limit.remove_queued(ticket)
            elif ticket.result() is Admission.RUN:
                self.finish(0, CallOutcome.CANCELLED)
            raise

    def _release(self) -> None:
        now_s = self._loop.time()
        release = self._limit.next_queued(now_s)
        while release is not None:
            ticket = release.ticket
            if isinstance(ticket, asyncio.Future) and not ticket.done():
                ticket.set_result(release.admission)
            elif release.admission is Admission.RUN:
                # The call was cancelled in the queue, so its slot is unused.
                self._limit.finish(now_s, 0, CallOutcome.CANCELLED)
            release = self._limit.next_queued(now_s)
        if self._limit.queue_length:
            self._set_expiry_timer()

    def _set_expiry_timer(self) -> None:
        expires_at_s = self._limit.next_expiry_s()
        if expires_at_s is None:
            return
        if self._expiry_timer is not None:
            if self._expiry_timer.when() <= expires_at_s:
                return
            # A call with an earlier deadline joined the queue.
            self._expiry_timer.cancel()
        self._expiry_timer = self._loop.call_at(expires_at_s, self._expire)

    def _expire(self) -> None:
        self._expiry_timer = None
        self._release()
