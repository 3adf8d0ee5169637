"""Adaptive concurrency limit in front of a backend server."""

import enum
import statistics
from collections import OrderedDict, deque
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.outcomes import CallOutcome
from cornelbeam_core.targets import LoadReport

_MS_PER_S: Final = 1000
_US_PER_S: Final = 1_000_000
# The smoothed service time falls faster than it rises, so that it recovers
# within a few answers after a stall.
_SERVICE_TIME_RISE_GAIN: Final = 0.1
_SERVICE_TIME_FALL_GAIN: Final = 0.3


@final
class Admission(enum.Enum):
    """Decision on a call that arrives at the backend side."""

    RUN = 'run'
    QUEUE = 'queue'
    REFUSE = 'refuse'


@final
@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of the concurrency limit and the queue.

    The limit stays between one and ``slot_count``. It grows by one slot after
    as many answers as the limit, but at least ``grow_min_count``. A service
    time is slow above ``slow_factor`` times the baseline and cold above
    ``cold_factor`` times the baseline. After ``cold_streak_count`` cold
    service times or ``shed_streak_count`` refusals in a row, the server is
    suspected to be cold.

    The baseline follows the median of the last ``window_count`` service times,
    downwards with ``baseline_fall_gain`` and upwards with
    ``baseline_rise_gain``, so that slow answers hardly move it.
    """

    slot_count: int = 20
    cold_slot_count: int = 2
    queue_count: int = 20
    queue_ms: int = 100
    grow_min_count: int = 8
    slow_factor: float = 2.5
    cold_factor: float = 4
    cold_streak_count: int = 4
    shed_streak_count: int = 2
    decrease_ratio: float = 0.85
    window_count: int = 16
    baseline_fall_gain: float = 0.2
    baseline_rise_gain: float = 0.02


@final
@dataclass(frozen=True, slots=True)
class QueueRelease:
    """A call that leaves the queue, either to run or because it expired."""

    ticket: Hashable
    admission: Admission


@dataclass(slots=True)
class _Queued:
    ticket: Hashable
    expires_at_s: float


@final
class AdmissionLimit:
    """Concurrency limit with a short fair queue and cold server detection.

    The limit starts at what a cold server can handle. It grows by one slot
    after as many answers as the limit, counting only calls that started before
    the limit was last reached. It falls when the server sheds load or slows
    down.

    A stall slows down only the calls in flight, while a cold server also
    slows down calls that start later. After a streak of bad calls the server
    is therefore suspected to be cold, and the cold limit applies until calls
    that started after that end. If one of them is bad too, or several are
    slow, the server counts as cold and its baseline is learned anew. If
    enough of them are good, the previous limit applies again.
    """

    __slots__ = (
        '_baseline_s',
        '_bad_since_s',
        '_bad_streak',
        '_good_count',
        '_grow_count',
        '_limit',
        '_queue_length',
        '_queues',
        '_reached_at_s',
        '_service_time_s',
        '_settings',
        '_suspected_at_s',
        '_slow_count',
        '_window',
        'in_flight',
    )

    def __init__(self, settings: AdmissionSettings | None = None) -> None:
        """Start idle at the cold limit."""
        self._settings = settings or AdmissionSettings()
        self._limit = self._cold_limit()
        self.in_flight = 0
        self._queues: OrderedDict[str, deque[_Queued]] = OrderedDict()
        self._queue_length = 0
        self._service_time_s: float = 0
        self._baseline_s: float = 0
        self._grow_count = 0
        self._bad_streak: float = 0
        self._bad_since_s: float = 0
        self._good_count = 0
        self._slow_count = 0
        self._suspected_at_s: float | None = None
        self._reached_at_s = float('-inf')
        self._window: deque[float] = deque(
            maxlen=self._settings.window_count,
        )

    @property
    def limit(self) -> int:
        """Maximum of concurrent calls; the cold limit during a suspicion."""
        if self._suspected_at_s is None:
            return self._limit
        return min(self._limit, self._cold_limit())

    @property
    def queue_length(self) -> int:
        """Number of calls in the queue."""
        return self._queue_length

    def try_admit(
        self,
        caller: str,
        now_s: float,
        deadline_s: float,
        ticket: Hashable = None,
    ) -> Admission:
        """Run, queue or refuse a call; one that runs counts as in flight.

        ``ticket`` identifies a queued call when it leaves the queue.
        """
        if deadline_s <= now_s:
            return Admission.REFUSE
        if self._has_free_slot():
            self._start(now_s)
            return Admission.RUN
        if self.is_full(now_s):
            return Admission.REFUSE
        self._reached_at_s = now_s
        queue_s = self._settings.queue_ms / _MS_PER_S
        expires_at_s = min(deadline_s, now_s + queue_s)
        self._queues.setdefault(caller, deque()).append(
            _Queued(ticket, expires_at_s),
        )
        self._queue_length += 1
        return Admission.QUEUE

    def is_full(self, now_s: float) -> bool:
        """Return whether a call that arrives now is refused.

        If it is, the limit counts as reached, so that it may grow.
        """
        if self._has_free_slot():
            return False
        if self._queue_length < self._settings.queue_count:
            return False
        self._reached_at_s = now_s
        return True

    def finish(
        self,
        now_s: float,
        service_time_s: float,
        outcome: CallOutcome,
    ) -> None:
        """Record the end of a running call and adapt the limit."""
        self.in_flight -= 1
        if outcome in {CallOutcome.CANCELLED, CallOutcome.FAILED}:
            return
        started_at_s = now_s - service_time_s
        settings = self._settings
        if outcome is CallOutcome.SHED:
            self._decrease(least=1)
            self._note_bad_call(
                now_s, started_at_s, 1 / settings.shed_streak_count
            )
            return
        self._smooth_service_time(service_time_s)
        if self._is_above(service_time_s, settings.cold_factor):
            self._note_bad_call(
                now_s, started_at_s, 1 / settings.cold_streak_count
            )
            return
        self._note_answer(started_at_s, service_time_s)

    def next_queued(self, now_s: float) -> QueueRelease | None:
        """Take the next call out of the queue, None if none may leave.

        Expired calls come first, with ``REFUSE``. The others get ``RUN``,
        round robin over their callers, and count as in flight.
        """
        expired = self._pop_expired(now_s)
        if expired is not None:
            return QueueRelease(expired.ticket, Admission.REFUSE)
        if not self._queue_length or self.in_flight >= self.limit:
            return None
        caller, queue = self._queues.popitem(last=False)
        queued = queue.popleft()
        self._queue_length -= 1
        if queue:
            self._queues[caller] = queue
        self._start(now_s)
        return QueueRelease(queued.ticket, Admission.RUN)

    def next_expiry_s(self) -> float | None:
        """Return when the next queued call expires, None if none is queued."""
        return min(
            (
                queued.expires_at_s
                for queue in self._queues.values()
                for queued in queue
            ),
            default=None,
        )

    def remove_queued(self, ticket: Hashable) -> bool:
        """Remove a cancelled call, False if it is not in the queue."""
        for caller, queue in self._queues.items():
            for queued in queue:
                if queued.ticket == ticket:
                    self._drop(caller, queued)
                    return True
        return False

    def retry_after_ms(self) -> int:
        """Estimate when a refused call could be admitted."""
        waiting_count = self._queue_length + 1
        wait_s = self._service_time_s * waiting_count / self.limit
        return max(1, round(wait_s * _MS_PER_S))

    def report(self, *, is_leaving: bool = False) -> LoadReport:
        """Return the load report to send with answers and refusals."""
        return LoadReport(
            in_flight=self.in_flight,
            limit=self.limit,
            queue_length=self._queue_length,
            service_time_us=round(self._service_time_s * _US_PER_S),
            is_leaving=is_leaving,
        )

    def _has_free_slot(self) -> bool:
        return self.in_flight < self.limit and not self._queue_length

    def _cold_limit(self) -> int:
        return min(self._settings.cold_slot_count, self._settings.slot_count)

    def _start(self, now_s: float) -> None:
        self.in_flight += 1
        if self.in_flight >= self.limit:
            self._reached_at_s = now_s

    def _pop_expired(self, now_s: float) -> _Queued | None:
        for caller, queue in self._queues.items():
            for queued in queue:
                if queued.expires_at_s <= now_s:
                    self._drop(caller, queued)
                    return queued
        return None

    def _drop(self, caller: str, queued: _Queued) -> None:
        queue = self._queues[caller]
        queue.remove(queued)
        self._queue_length -= 1
        if not queue:
            self._queues.pop(caller)

    def _smooth_service_time(self, service_time_s: float) -> None:
        gain = _SERVICE_TIME_RISE_GAIN
        if service_time_s < self._service_time_s:
            gain = _SERVICE_TIME_FALL_GAIN
        self._service_time_s += gain * (service_time_s - self._service_time_s)

    def _become_cold(self) -> None:
        self._limit = self._cold_limit()
        self._grow_count = 0
        self._bad_streak = 0
        self._suspected_at_s = None
        self._baseline_s = 0
        self._window.clear()

    def _decrease(self, least: int) -> None:
        lower = int(self._limit * self._settings.decrease_ratio)
        self._limit = min(self._limit, max(least, lower))
        self._grow_count = 0

    def _is_above(self, service_time_s: float, factor: float) -> bool:
        return 0 < self._baseline_s * factor < service_time_s

    def _note_bad_call(
        self,
        now_s: float,
        started_at_s: float,
        weight: float,
    ) -> None:
        if self._suspected_at_s is not None:
            if started_at_s >= self._suspected_at_s:
                self._become_cold()
            return
        if not self._bad_streak:
            self._bad_since_s = started_at_s
        self._bad_streak += weight
        if self._bad_streak >= 1:
            self._bad_streak = 0
            self._good_count = 0
            self._slow_count = 0
            self._suspected_at_s = now_s

    def _note_answer(self, started_at_s: float, service_time_s: float) -> None:
        # A call that started before the streak does not end it.
        if started_at_s >= self._bad_since_s:
            self._bad_streak = 0
        if self._suspected_at_s is not None:
            if started_at_s >= self._suspected_at_s:
                self._clear_suspicion(service_time_s)
            return
        self._window.append(service_time_s)
        if started_at_s <= self._reached_at_s:
            self._grow_count += 1
        if self._grow_count >= max(self._limit, self._settings.grow_min_count):
            self._adapt()

    def _clear_suspicion(self, service_time_s: float) -> None:
        if self._is_above(service_time_s, self._settings.slow_factor):
            # Several slow but not cold answers mean that the baseline is
            # outdated. Without this rule the suspicion might never end.
            self._slow_count += 1
            if self._slow_count >= self._settings.cold_streak_count:
                self._become_cold()
            return
        self._good_count += 1
        if self._good_count >= self._cold_limit():
            self._suspected_at_s = None

    def _adapt(self) -> None:
        self._grow_count = 0
        settings = self._settings
        median_s = statistics.median(self._window)
        if self._is_above(median_s, settings.slow_factor):
            self._decrease(least=self._cold_limit())
        else:
            self._limit = min(settings.slot_count, self._limit + 1)
        if not self._baseline_s:
            self._baseline_s = median_s
            return
        gain = settings.baseline_rise_gain
        if median_s < self._baseline_s:
            gain = settings.baseline_fall_gain
        self._baseline_s += gain * (median_s - self._baseline_s)
