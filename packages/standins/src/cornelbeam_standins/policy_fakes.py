"""Fakes for the policy benchmarks: event queue, backend servers, admission.

They model only what selection, admission, ejection and retries depend on. The
network has a constant latency and no losses; processor time is not modeled.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, TypeAlias, final

from cornelbeam_core.admission import (
    Admission,
    AdmissionLimit,
    AdmissionSettings,
)
from cornelbeam_core.errors import ErrorCode
from cornelbeam_core.outcomes import CallOutcome
from cornelbeam_core.targets import LoadReport

# One-way latency between failure domains, and within one.
REMOTE_LATENCY_S: Final = 0.001
LOCAL_LATENCY_S: Final = 0.0002
# Service times are log-normal with a mean of 25 ms; 1 in 100 is above 71 ms.
MEAN_SERVICE_S: Final = 0.025
_SIGMA: Final = 0.5
_MU: Final = math.log(MEAN_SERVICE_S) - _SIGMA * _SIGMA / 2
# A cold server is four times slower and handles two requests at once, plus one
# for each four finished requests. It sheds load beyond three times that number.
_COLD_FACTOR: Final = 4
_COLD_SLOT_COUNT: Final = 2
_FINISHED_PER_WARM_SLOT: Final = 4
_SHED_OVERLOAD: Final = 3
_SHED_DELAY_S: Final = 0.002

_Event: TypeAlias = tuple[float, int, Callable[[], None]]


@final
class EventQueue:
    """Queue of actions in the order of their virtual time."""

    def __init__(self) -> None:
        """Start without actions, at time 0 s."""
        self.now_s: float = 0
        self._heap: list[_Event] = []
        self._order = itertools.count()

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.at(self.now_s + delay_s, action)

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self._heap, (at_s, next(self._order), action))

    def run(self, until_s: float) -> None:
        """Run all actions that are due up to a time."""
        while self._heap and self._heap[0][0] <= until_s:
            event = heapq.heappop(self._heap)
            self.now_s = event[0]
            event[2]()


@final
@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a call.

    When it ends, ``on_end`` is called with the outcome, the error code of a
    refusal and the load report.
    """

    caller: str
    deadline_s: float
    latency_s: float
    sent_at_s: float
    on_end: Callable[[CallOutcome, ErrorCode | None, LoadReport], None]
    is_running: bool = False
    is_finished: bool = False


@final
@dataclass(eq=False)
class FakeServer:
    """Backend server with slots; it can be slow, stalled or cold.

    The default of ``finished_count`` makes it warm.
    """

    events: EventQueue
    rng: random.Random
    slot_count: int
    slow_factor: float = 1
    stalled_until_s: float = 0
    finished_count: int = 1_000_000
    running_count: int = 0
    cold_peak_count: int = 0
    cold_overload: float = 0

    def usable_slot_count(self) -> int:
        """Return how many requests the server can now handle at once."""
        warmed_count = self.finished_count // _FINISHED_PER_WARM_SLOT
        return min(self.slot_count, _COLD_SLOT_COUNT + warmed_count)

    def become_cold(self) -> None:
        """Return to the cold state."""
        self.finished_count = 0

    def start(self, on_end: Callable[[CallOutcome], None]) -> None:
        """Start one request; ``on_end`` gets its outcome."""
        self.running_count += 1
        usable_slot_count = self.usable_slot_count()
        if usable_slot_count >= self.slot_count:
            self._serve(1, on_end)
            return
        overload = self.running_count / usable_slot_count
        self.cold_peak_count = max(self.cold_peak_count, self.running_count)
        self.cold_overload = max(self.cold_overload, overload)
        if overload > _SHED_OVERLOAD:
            self.events.after(_SHED_DELAY_S, lambda: on_end(CallOutcome.SHED))
            return
        coldness = 1 - usable_slot_count / self.slot_count
        factor = 1 + (_COLD_FACTOR - 1) * coldness
        # Each request beyond the usable slots slows a cold server further.
        self._serve(factor * max(1, overload) ** 2, on_end)

    def _serve(
        self,
        factor: float,
        on_end: Callable[[CallOutcome], None],
    ) -> None:
        time_s = self.rng.lognormvariate(_MU, _SIGMA)
        self._finish_at(
            max(self.events.now_s, self.stalled_until_s)
            + time_s * factor * self.slow_factor,
            on_end,
        )

    def _finish_at(
        self,
        at_s: float,
        on_end: Callable[[CallOutcome], None],
    ) -> None:
        def finish() -> None:  # noqa: WPS430 - an event is a closure
            if self.stalled_until_s > self.events.now_s:
                extra_s = self.rng.random() * MEAN_SERVICE_S
                self._finish_at(self.stalled_until_s + extra_s, on_end)
                return
            self.finished_count += 1
            on_end(CallOutcome.ANSWERED)

        self.events.at(at_s, finish)


@final
@dataclass(eq=False)
class FakeBackendSide:
    """Daemon beside a backend server, with the production admission code."""

    events: EventQueue
    rng: random.Random
    server: FakeServer
    settings: AdmissionSettings
    report_interval_s: tuple[float, float] = (0, 0)
    is_out_of_service: bool = False
    refusal_count: int = 0
    admission: AdmissionLimit = field(init=False)
    _published: LoadReport = field(init=False)
    _published_until_s: float = 0

    def __post_init__(self) -> None:
        """Start with a new admission limit."""
        self.replace()

    def replace(self) -> None:
        """Reset the admission limit, as a replaced instance does."""
        self.admission = AdmissionLimit(self.settings)
        self._published = self.admission.report()

    def receive(self, attempt: Attempt) -> None:
        """Run, queue or refuse an attempt that arrives."""
        if attempt.is_finished:
            return
        now_s = self.events.now_s
        if self.is_out_of_service:
            self._refuse(attempt, ErrorCode.DOMAIN_OUT_OF_SERVICE)
            return
        decision = self.admission.try_admit(
            attempt.caller,
            now_s,
            attempt.deadline_s,
            attempt,
        )
        if decision is Admission.RUN:
            self._run(attempt)
        elif decision is Admission.QUEUE:
            wait_s = self.settings.queue_ms / 1000
            # Slightly later, so that despite rounding the queue time is over.
            self.events.after(wait_s + 1e-6, self._release_queued)
        else:
            self._refuse(attempt, ErrorCode.OVERLOADED)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt that its caller has abandoned."""
        attempt.is_finished = True
        if attempt.is_running:
            self._end(attempt, self.admission, CallOutcome.CANCELLED)
        elif self.admission.remove_queued(attempt):
            self._release_queued()

    def _release_queued(self) -> None:
        while released := self.admission.next_queued(self.events.now_s):
            attempt = released.ticket
            assert isinstance(attempt, Attempt)
            if released.admission is Admission.RUN:
                self._run(attempt)
            else:
                self._refuse(attempt, ErrorCode.OVERLOADED)

    def _run(self, attempt: Attempt) -> None:
        attempt.is_running = True
        started_at_s = self.events.now_s
        admission = self.admission

        def end(outcome: CallOutcome) -> None:  # noqa: WPS430 - as above
            if attempt.is_running:
                time_s = self.events.now_s - started_at_s
                self._end(attempt, admission, outcome, time_s)

        self.server.start(end)

    def _end(
        self,
        attempt: Attempt,
        admission: AdmissionLimit,
        outcome: CallOutcome,
        time_s: float = 0,
    ) -> None:
        attempt.is_running = False
        self.server.running_count -= 1
        admission.finish(self.events.now_s, time_s, outcome)
        if outcome is CallOutcome.SHED:
            self._reply(attempt, outcome, ErrorCode.OVERLOADED)
        elif outcome is CallOutcome.ANSWERED:
            self._reply(attempt, outcome, None)
        self._release_queued()

    def _refuse(self, attempt: Attempt, code: ErrorCode) -> None:
        self.refusal_count += 1
        self._reply(attempt, CallOutcome.SHED, code)

    def _reply(
        self,
        attempt: Attempt,
        outcome: CallOutcome,
        code: ErrorCode | None,
    ) -> None:
        report = self._report()
        self.events.after(
            attempt.latency_s,
            lambda: attempt.on_end(outcome, code, report),
        )

    def _report(self) -> LoadReport:
        if self._published_until_s <= self.events.now_s:
            self._published = self.admission.report(
                is_leaving=self.is_out_of_service,
            )
            interval_s = self.rng.uniform(*self.report_interval_s)
            self._published_until_s = self.events.now_s + interval_s
        return self._published
