"""Admission control for the target on the daemon's instance.

All calls to the target, of this and of other daemons, pass through here.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Final, final

from cornelbeam_core.attempts import AttemptLedger
from cornelbeam_core.call_origins import CallOrigins
from cornelbeam_core.deadlines import MS_PER_S, StopDeadline
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.rate_limit import RateUse
from cornelbeam_core.repeat_budget import RepeatBudget
from cornelbeam_core.target_gate import TargetGate
from cornelbeam_core.targets import LoadReport
from cornelbeam_core.tickets import Refusal, Ticket
from cornelbeam_daemon.attempt_records import note_run_state, record_attempt
from cornelbeam_daemon.calls import Answer, Call
from cornelbeam_daemon.crash_detector import CrashDetector, is_broken_off
from cornelbeam_daemon.logs import get_log
from cornelbeam_daemon.quarantine_sync import QuarantineSync
from cornelbeam_daemon.suspect_runs import SuspectRuns

from cornelbeam_mesh.members import TargetEntry
from cornelbeam_mesh.rollout_gate import RolloutGate
from cornelbeam_mesh.target_exchange import TargetExchange

_log = get_log('backend')
_US_PER_S: Final = 1_000_000
_REFUSAL_CODES: Final = {
    Refusal.NO_TARGET: ErrorCode.NO_ELIGIBLE_TARGET,
    Refusal.DRAINING: ErrorCode.TARGET_LEAVING,
    Refusal.EVACUATED: ErrorCode.DOMAIN_OUT_OF_SERVICE,
    Refusal.FULL: ErrorCode.OVERLOADED,
    Refusal.RATE_LIMITED: ErrorCode.OVERLOADED,
    Refusal.TOO_LATE: ErrorCode.DEADLINE_PASSED,
    Refusal.REPEATS: ErrorCode.RETRY_BUDGET_SPENT,
}


@final
class AdmissionController:
    """Admits calls of this and other daemons and runs them at the target."""

    __slots__ = (
        '_exchange',
        '_gate',
        '_incoming_count',
        '_is_evacuated',
        '_loop',
        '_quarantine',
        '_retry_budget',
        '_stop',
        '_suspects',
        '_target',
        '_timer',
        '_waiting',
        'crashes',
        'is_reachable',
        'ledger',
        'measure_speed',
        'name',
        'on_failure',
        'on_slow_queue',
        'on_start',
        'origins',
        'rollouts',
    )

    def __init__(
        self,
        name: str,
        gate: TargetGate,
        retry_budget: RepeatBudget,
        ledger: AttemptLedger,
        exchange: TargetExchange,
        target: Callable[[], TargetEntry | None],
        is_evacuated: Callable[[], bool],
        quarantine: QuarantineSync,
        stop: StopDeadline,
        rollouts: RolloutGate,
    ) -> None:
        """Admit calls to the target that ``target`` returns.

        ``name`` is the name of this daemon. Calls end by the time of ``stop``,
        and ``rollouts`` refuses those that the target's version may not get.
        """
        self._stop = stop
        self.rollouts = rollouts
        self.name = name
        self.ledger = ledger
        self.origins = CallOrigins()
        # False after a failed connection until the target answers again.
        self.is_reachable = False
        # Called when a call has failed at the target.
        self.on_failure: Callable[[], None] = _ignore
        # Called when a call must wait while the host is slow.
        self.on_slow_queue: Callable[[], None] = _ignore
        # Called when a call starts at the target.
        self.on_start: Callable[[], None] = _ignore
        # Asks the target for its current speed.
        self.measure_speed: Callable[[], Awaitable[None]] = _skip_measurement
        self._gate = gate
        self._retry_budget = retry_budget
        self._exchange = exchange
        self._quarantine = quarantine
        self._suspects = SuspectRuns(quarantine)
        self.crashes = CrashDetector(exchange.is_refusing)
        self.crashes.on_crash = quarantine.note_crash
        self._target = target
        self._is_evacuated = is_evacuated
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[Call, asyncio.Future[None]] = {}
        # Calls whose bodies are on their way.
        self._incoming_count = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def work_count(self) -> int:
        """Return the number of running and waiting calls."""
        return self._gate.running_count + self._gate.waiting_count

    def load_for(self, route: str) -> LoadReport:
        """Return the load report for answers to calls of a route."""
        gate = self._gate
        now_s = self._loop.time()
        return LoadReport(
            gate.running_count,
            gate.limit,
            gate.waiting_count,
            int(gate.usual_service_s(route) * _US_PER_S),
            self._current_refusal() is not None,
            int(gate.wait_s(now_s) * MS_PER_S),
            gate.speed.percent,
            int(gate.wait_s(now_s, rate_use=RateUse.STATED) * MS_PER_S),
        )

    def is_open(self) -> bool:
        """Return whether the target accepts new requests."""
        return self._current_refusal() is None

    async def serve(self, call: Call) -> Answer:
        """Run a call at the target and return its answer.

        Raise ``CornelbeamError``, with run state ``NOT_RUN`` if the target
        did not start to process the request, ``UNKNOWN`` otherwise.
        """
        try:
            return await self._serve(call)
        except CornelbeamError as error:
            error.peer = error.peer or self.name
            error.load = self.load_for(call.route)
            raise

    async def _serve(self, call: Call) -> Answer:
        arrived_s = self._loop.time()
        call.deadline_s = self._stop.limit(call.deadline_s)
        target = self._check_call(call)
        record_attempt(self.ledger, call, arrived_s, self.name)
        async with AsyncExitStack() as isolation:
            try:
                await self._wait_for_body(call)
                await isolation.enter_async_context(
                    self._suspects.isolated(call)
                )
                await self._admit(call)
            except BaseException:
                now_s = self._loop.time()
                note_run_state(self.ledger, call, RunState.NOT_RUN, now_s)
                raise
            waited_s = self._loop.time() - arrived_s
            return await self._run(call, target, waited_s)

    async def _run(
        self,
        call: Call,
        target: TargetEntry,
        waited_s: float,
    ) -> Answer:
        started_s = self._loop.time()
        factor = self._gate.speed.factor
        running_count = self._gate.running_count
        service_time_s: float | None = None
        is_over = False
        self.origins.start(call, call.deadline_s)
        self.on_start()
        try:
            exchange = self._exchange.run(
                call,
                target,
                lambda: self._gate.may_send_again(self._loop.time()),
            )
            answer = await self.rollouts.run(call, exchange)
            is_over = answer.body.is_ended
            answer.load = self.load_for(call.route)
            self._quarantine.note_answer(call)
            service_time_s = self._loop.time() - started_s
        except CornelbeamError as error:
            is_over = error.run_state is RunState.NOT_RUN
            if is_broken_off(error):
                self.crashes.note_broken_off(call)
            self._note_failure(error)
            raise
        finally:
            self._release_slot(call, service_time_s, factor, is_over=is_over)
            _log.debug(
                'exchange ended',
                request=call.request_id,
                route=call.route,
                waited_ms=int(waited_s * MS_PER_S),
                worked_ms=int((self._loop.time() - started_s) * MS_PER_S),
                running_count=running_count,
                factor=factor,
            )
        return answer

    def _note_failure(self, error: CornelbeamError) -> None:
        if error.code is ErrorCode.BACKEND_UNREACHABLE:
            self.is_reachable = False
            self.reevaluate_waiting()
        if error.code is ErrorCode.BACKEND_REFUSED:
            _log.info('target refused', why=error.detail)
        if error.code is not ErrorCode.DEADLINE_PASSED:
            self.on_failure()

    def _release_slot(
        self,
        call: Call,
        service_time_s: float | None,
        factor: float,
        *,
        is_over: bool,
    ) -> None:
        self.origins.finish(call, is_over=is_over)
        self._gate.finish(call.route, service_time_s, factor)
        self._admit_waiting()

    def _current_refusal(self) -> Refusal | None:
        target = self._target()
        if target is None or not self.is_reachable:
            return Refusal.NO_TARGET
        if target.is_draining or self._loop.time() >= self._stop.at_s:
            return Refusal.DRAINING
        return Refusal.EVACUATED if self._is_evacuated() else None

    def _check_call(self, call: Call) -> TargetEntry:
        refusal = self._current_refusal()
        target = self._target()
        if refusal is not None or target is None:
            raise self._refusal_error(refusal or Refusal.NO_TARGET)
        if target.service != call.service:
            raise self._refusal_error(
                Refusal.NO_TARGET, 'it serves another service'
            )
        self.rollouts.check()
        self._quarantine.check(call.fingerprint)
        if call.target_incarnation != self.ledger.incarnation:
            raise CornelbeamError(ErrorCode.WRONG_INCARNATION, 'admission')
        now_s = self._loop.time()
        if not call.is_repeat:
            self._retry_budget.note_request(now_s)
        elif not self._retry_budget.try_repeat(now_s):
            raise self._refusal_error(Refusal.REPEATS)
        return target

    async def _wait_for_body(self, call: Call) -> None:
        """Wait for the whole body: a slow caller must not occupy a slot.

        Its sender may hold the body back until the call is likely to be
        admitted, as the transfer for a refused call is wasted.
        """
        if call.body.is_whole:
            return
        if call.body.is_held:
            await self._check_room(call)
        self._incoming_count += 1
        try:
            await call.body.buffer_until(call.deadline_s, self.name)
        except CornelbeamError as error:
            error.run_state = RunState.NOT_RUN
            raise
        finally:
            self._incoming_count -= 1

    async def _check_room(self, call: Call) -> None:
        """Raise an error if the gate would refuse the call now."""
        ticket = await self._make_ticket(call)
        refusal = self._current_refusal() or self._gate.refusal_for(
            ticket, self._loop.time(), self._incoming_count
        )
        if refusal is not None:
            self._gate.shedding.note_asked(ticket, self._loop.time())
            raise self._refusal_error(refusal, ticket=ticket)

    async def _make_ticket(self, call: Call) -> Ticket:
        """Return a ticket once the current speed of the host is known."""
        arrived_s = self._loop.time()
        if not self._gate.speed.is_fresh(arrived_s):
            await self.measure_speed()
        max_wait_s = call.max_slot_wait_ms / MS_PER_S
        return Ticket(
            call,
            is_nested=call.is_nested,
            priority=call.priority,
            give_up_at_s=min(call.deadline_s, arrived_s + max_wait_s),
            objective_at_s=arrived_s + call.objective_ms / MS_PER_S,
            deadline_s=call.deadline_s,
            route=call.route,
            is_last_resort=call.is_last_resort,
            tenant=call.tenant,
        )

    async def _admit(self, call: Call) -> None:
        ticket = await self._make_ticket(call)
        refusal = self._current_refusal() or self._gate.enqueue(
            ticket, self._loop.time()
        )
        if refusal is not None:
            raise self._refusal_error(refusal, ticket=ticket)
        admitted: asyncio.Future[None] = self._loop.create_future()
        self._waiting[call] = admitted
        self._refuse_evicted()
        self._admit_waiting()
        if admitted.done() and not admitted.cancelled():
            admitted.result()
            return
        if self._gate.speed.is_slow:
            self.on_slow_queue()
        await self._wait_for_slot(call, admitted, ticket)

    async def _wait_for_slot(
        self,
        call: Call,
        admitted: 'asyncio.Future[None]',
        ticket: Ticket,
    ) -> None:
        wait_until_s = self._gate.wait_deadline_s(ticket, self._loop.time())
        try:
            async with asyncio.timeout_at(wait_until_s):
                await admitted
        except BaseException as error:
            if (
                admitted.done()
                and not admitted.cancelled()
                and not admitted.exception()
            ):
                # The call got a slot at the same moment and must free it.
                self._gate.finish(call.route, None)
            self._gate.withdraw(call)
            self._waiting.pop(call, None)
            self._admit_waiting()
            if isinstance(error, TimeoutError):
                raise self._refusal_error(
                    Refusal.FULL, ticket=ticket
                ) from error
            raise

    def reevaluate_waiting(self) -> None:
        """Admit waiting calls, or refuse them if the target is closed."""
        refusal = self._current_refusal()
        if refusal is None:
            self._admit_waiting()
            return
        for call, admitted in tuple(self._waiting.items()):
            self._gate.withdraw(call)
            self._waiting.pop(call)
            if not admitted.done():
                admitted.set_exception(self._refusal_error(refusal))

    def _refuse_evicted(self) -> None:
        """Refuse the calls that the gate removes from its queue."""
        for ticket, refusal in self._gate.shedding.evict(self._loop.time()):
            call = ticket.call
            assert isinstance(call, Call)  # noqa: S101
            admitted = self._waiting.pop(call)
            _log.info(
                'call evicted from the queue',
                request=call.request_id,
                route=call.route,
                tenant=call.tenant,
                why=refusal.value,
            )
            if not admitted.done():
                admitted.set_exception(self._refusal_error(refusal))

    def _admit_waiting(self) -> None:
        if self._current_refusal() is not None:
            return
        now_s = self._loop.time()
        while True:
            ticket = self._gate.start_next(now_s)
            if ticket is None:
                break
            call = ticket.call
            assert isinstance(call, Call)  # noqa: S101
            admitted = self._waiting.pop(call)
            if admitted.done():
                self._gate.finish(call.route, None)
            else:
                admitted.set_result(None)
        wait_s = self._gate.next_start_delay_s(now_s)
        if wait_s is not None and self._timer is None:
            self._timer = self._loop.call_later(wait_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._admit_waiting()

    def _refusal_error(
        self,
        refusal: Refusal,
        detail: str = '',
        ticket: Ticket | None = None,
    ) -> CornelbeamError:
        now_s = self._loop.time()
        behind_count = 0
        if ticket is not None and ticket.tenant:
            # The wait of this call, which doesn't go behind the whole queue.
            behind_count = self._gate.shedding.behind_count(ticket, now_s)
        wait_s = self._gate.wait_s(now_s, -behind_count)
        self._gate.shedding.refusal_counts[refusal.value] += 1
        return CornelbeamError(
            _REFUSAL_CODES[refusal],
            'admission',
            self.name,
            detail or refusal.value,
            retry_after_ms=int(wait_s * MS_PER_S),
        )


def _ignore() -> None:
    """Ignore an event that nobody has subscribed to."""


async def _skip_measurement() -> None:
    """Skip the measurement."""
