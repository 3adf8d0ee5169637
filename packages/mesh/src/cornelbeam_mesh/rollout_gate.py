"""Counts at the gate beside a target, and its part of the exposure limit."""

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from typing import Any, Final, final

from cornelbeam_core.attempts import AttemptLedger
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.rollout_orders import Phase
from cornelbeam_core.rollout_verdict import (
    DURATION_BUCKET_COUNT,
    duration_bucket,
)
from cornelbeam_core.target_gate import TargetGate
from cornelbeam_daemon.attempt_records import note_run_state
from cornelbeam_daemon.calls import Answer, Call
from cornelbeam_daemon.logs import get_log
from cornelbeam_wire.gen import messages

from cornelbeam_mesh.members import TargetEntry
from cornelbeam_mesh.rollout_view import (
    REFUSAL_STEP,
    RolloutView,
    ServiceRollout,
    replacement_detail,
)

_log = get_log('rollout')
_FIRST_ERROR_STATUS: Final = 500
_LIMITED: Final = 'its version may get no more requests now'
# The old version may be stopped from this time before the limit on, and a gate
# that is cut off must have ended its requests. After the second time, the old
# version has evidently not been stopped.
CUT_OFF_BEFORE_S: Final = 3.5
CUT_OFF_AFTER_S: Final = 3.0
# Watches tell all daemons of a change within a few hundred milliseconds; until
# then they still send to the old version.
CLOSING_DELAY_S: Final = 0.4
# An owner asks twice a second.
CUT_OFF_SILENCE_S: Final = 2.5


@final
class _RouteCount:
    """Answers of the target on one route."""

    __slots__ = ('durations', 'failure_count', 'request_count')

    def __init__(self) -> None:
        """Start without answers."""
        self.request_count = 0
        self.failure_count = 0
        self.durations = [0 for _ in range(DURATION_BUCKET_COUNT)]


@final
class RolloutGate:
    """Counts what the target receives and answers while an order runs.

    Without an order of its service it counts nothing and refuses nothing.
    """

    __slots__ = (
        '_final_at_s',
        '_gate',
        '_granted_count',
        '_is_open',
        '_is_store_reachable',
        '_ledger',
        '_local_target',
        '_order_key',
        '_query_number',
        '_request_count',
        '_reported_count',
        '_routes',
        '_view',
        'in_flight_count',
    )

    def __init__(
        self,
        view: RolloutView,
        local_target: Callable[[], TargetEntry | None],
        gate: TargetGate,
        ledger: AttemptLedger,
        is_store_reachable: Callable[[], bool],
        is_open: Callable[[], bool],
    ) -> None:
        """Count for the target that ``local_target`` returns."""
        self._view = view
        self._local_target = local_target
        self._gate = gate
        self._ledger = ledger
        self._is_store_reachable = is_store_reachable
        self._is_open = is_open
        # Includes answers in transfer, since the start of this daemon.
        self.in_flight_count = 0
        self._order_key = ''
        self._query_number = 0
        # When this gate has learned of the final phase.
        self._final_at_s: float | None = None
        self._granted_count = 0
        self._request_count = 0
        # Highest count that an owner may have got.
        self._reported_count = 0
        self._routes: dict[str, _RouteCount] = {}

    @property
    def request_count(self) -> int:
        """Requests that the target has received since the order."""
        return self._request_count

    @property
    def failure_count(self) -> int:
        """Failures of the target since the order."""
        return sum(each.failure_count for each in self._routes.values())

    def check(self) -> None:
        """Raise an error if the target must not get another request now."""
        target = self._local_target()
        rollout = None if target is None else self._view.get(target.service)
        if rollout is None or target is None:
            return
        reason = self._find_refusal(rollout, target)
        if reason:
            # Daemons of earlier releases must know the code, as they take an
            # unknown one for an unknown run state.
            raise CornelbeamError(
                ErrorCode.NO_ELIGIBLE_TARGET, REFUSAL_STEP, detail=reason
            )

    async def run(
        self, call: Call, exchange: Coroutine[Any, Any, Answer]
    ) -> Answer:
        """Run a call, unless it may not run any more, and count its answer."""
        try:
            self.check()
        except CornelbeamError:
            exchange.close()
            now_s = asyncio.get_running_loop().time()
            note_run_state(self._ledger, call, RunState.NOT_RUN, now_s)
            raise
        counted = self._start(call.route)
        started_s = self._view.now_s()
        is_cold = self._gate.is_cold(started_s)
        factor = self._gate.speed.factor
        self.in_flight_count += 1
        try:
            answer = await exchange
        except CornelbeamError as error:
            self.in_flight_count -= 1
            if error.code is ErrorCode.BACKEND_UNREACHABLE:
                self._withdraw(counted)
            elif counted is not None and (
                error.run_state is not RunState.NOT_RUN
            ):
                counted.failure_count += 1
            raise
        except BaseException:
            # The caller has given up, so the answer took at least this long.
            self.in_flight_count -= 1
            self._note_duration(counted, self._view.now_s() - started_s)
            raise
        answer.notify_closed(self._note_closed)
        if counted is not None and answer.status >= _FIRST_ERROR_STATUS:
            counted.failure_count += 1
        elif not is_cold:
            elapsed_s = self._view.now_s() - started_s
            self._note_duration(counted, elapsed_s / max(1, factor))
        return answer

    def answer_query(
        self, query: messages.RolloutQuery
    ) -> messages.RolloutCounts:
        """Take over what the owner says, and return the counts."""
        target = self._local_target()
        rollout = self._view.get(query.service_name)
        if rollout is not None and rollout.order.key == query.order_key:
            rollout.note_sign(
                self._view.now_s(), is_able=not query.is_store_lost
            )
            if rollout.ended is None and query.phase in set(Phase):
                rollout.note_phase(Phase(query.phase))
            self._follow(rollout)
            if query.number > self._query_number:
                self._query_number = query.number
                self._granted_count = max(
                    self._granted_count, query.granted_count
                )
        phase = None if rollout is None else rollout.phase
        if rollout is not None and phase is Phase.FINAL:
            is_closed = target is None or self._is_closed(rollout)
            phase = Phase.FINAL if is_closed else Phase.TRIAL
        # Owners take a lower count for a restart of the daemon.
        self._reported_count = max(self._reported_count, self._request_count)
        return messages.RolloutCounts(
            order_key=self._order_key,
            version='' if target is None else target.version,
            phase=0 if phase is None else phase.value,
            granted_count=self._granted_count,
            request_count=self._reported_count,
            in_flight_count=self.in_flight_count,
            is_open=self._is_open(),
            routes=[
                messages.RolloutRouteCounts(
                    route=route,
                    request_count=each.request_count,
                    failure_count=each.failure_count,
                    durations=_encode_durations(each.durations),
                )
                for route, each in self._routes.items()
            ],
        )

    def _find_refusal(
        self, rollout: ServiceRollout, target: TargetEntry
    ) -> str:
        order = rollout.order
        self._follow(rollout)
        if not self._view.is_mixed(rollout):
            return ''
        if target.version == order.to_version:
            is_spent = self._request_count >= self._granted_count
            is_open = rollout.phase is Phase.FINAL or (
                rollout.phase is Phase.TRIAL and not is_spent
            )
            return '' if is_open else _LIMITED
        if self._view.is_rejected(rollout, target.version):
            return _LIMITED
        if self._view.is_replaced(rollout) and self._is_closed(rollout):
            return replacement_detail(order)
        is_decided = rollout.phase is Phase.STOPPED or rollout.ended is not None
        if is_decided or not self._is_left_alone(rollout):
            return ''
        return _LIMITED

    def _is_closed(self, rollout: ServiceRollout) -> bool:
        """Return whether senders have had time to learn of the final phase."""
        now_s = self._view.now_s()
        if self._final_at_s is None:
            self._final_at_s = now_s
        is_due = now_s - self._final_at_s >= CLOSING_DELAY_S
        return is_due or rollout.ended is not None

    def _is_left_alone(self, rollout: ServiceRollout) -> bool:
        """Return whether the version may have been replaced unnoticed."""
        now_s = self._view.now_s()
        late_s = rollout.age_s(now_s) - rollout.order.duration_s
        is_silent = now_s - rollout.sign_s >= CUT_OFF_SILENCE_S
        is_due = -CUT_OFF_BEFORE_S <= late_s <= CUT_OFF_AFTER_S
        is_possible = is_due and not rollout.order.find_problem()
        return is_possible and is_silent and not self._is_store_reachable()

    def _follow(self, rollout: ServiceRollout) -> None:
        """Start to count anew for another order."""
        if rollout.order.key == self._order_key:
            return
        self._order_key = rollout.order.key
        self._query_number = 0
        self._final_at_s = None
        self._granted_count = 0
        self._request_count = 0
        self._reported_count = 0
        self._routes = {}

    def _start(self, route: str) -> _RouteCount | None:
        target = self._local_target()
        rollout = None if target is None else self._view.get(target.service)
        if rollout is None or rollout.ended is not None:
            return None
        self._request_count += 1
        counted = self._routes.setdefault(route, _RouteCount())
        counted.request_count += 1
        return counted

    def _withdraw(self, counted: _RouteCount | None) -> None:
        """Uncount a request that has not reached the target.

        One that the target has refused counts: the exposure of a version that
        refuses everything must be limited too.
        """
        if counted is not None and counted in self._routes.values():
            self._request_count -= 1
            counted.request_count -= 1

    def _note_duration(
        self, counted: _RouteCount | None, elapsed_s: float
    ) -> None:
        if counted is not None:
            counted.durations[duration_bucket(elapsed_s)] += 1

    def _note_closed(self) -> None:
        self.in_flight_count -= 1


def _encode_durations(durations: list[int]) -> list[int]:
    """Return buckets and their counts alternately, without empty ones.

    Most of the 32 buckets are empty, and links may be slow.
    """
    pairs = [each for each in enumerate(durations) if each[1]]
    return list(itertools.chain.from_iterable(pairs))
