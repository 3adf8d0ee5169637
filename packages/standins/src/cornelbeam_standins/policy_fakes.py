"""Fakes around the policies: events in virtual time, backend servers, callers.

They cover what selection, admission, ejection and retries see, and nothing
else: a constant network latency, no losses and no processor time.
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

# One way between failure domains, and inside one.
REMOTE_LATENCY_S: Final = 0.001
LOCAL_LATENCY_S: Final = 0.0002
# Service times are log-normal: a mean of 25 ms, one in 100 above 71 ms.
MEAN_SERVICE_S: Final = 0.025
_SIGMA: Final = 0.5
_MU: Final = math.log(MEAN_SERVICE_S) - _SIGMA * _SIGMA / 2
# A cold server is four times slower, handles two requests at once and one
# more for each four that it finishes; far above that it sheds.
_COLD_FACTOR: Final = 4
_COLD_SLOT_COUNT: Final = 2
_WARMING_COUNT: Final = 4
_COLD_SHED_RATIO: Final = 3
_SHED_S: Final = 0.002

_Event: TypeAlias = tuple[float, int, Callable[[], None]]


@final
class EventQueue:
    """Actions in the order of their virtual time."""

    def __init__(self) -> None:
        """Start at zero seconds."""
        self.now_s: float = 0
        self._heap: list[_Event] = []
        self._order = itertools.count()

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.at(self.now_s + delay_s, action)

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._heap, (at_s, next(self._order), action))

    def run(self, until_s: float) -> None:
        """Run the actions up to a time."""
        while self._heap and self._heap[0][0] <= until_s:
            event = heapq.heappop(self._heap)
            self.now_s = event[0]
            event[2]()


@final
@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a call, with what to do when it ends.

    ``on_end`` gets the outcome, the code of a refusal and the load report.
    """

    caller: str
    deadline_s: float
    latency_s: float
    sent_at_s: float
    on_end: Callable[[CallOutcome, ErrorCode | None, LoadReport], None]
    is_running: bool = False
    is_over: bool = False


@final
@dataclass(eq=False)
class FakeServer:
    """A backend server with slots that can be slow, stalled or cold."""

    events: EventQueue
    rng: random.Random
    slot_count: int
    slow_factor: float = 1
    stalled_until_s: float = 0
    finished_count: int = 1_000_000
    running_count: int = 0
    cold_peak_count: int = 0
    cold_overload: float = 0

    def handled_count(self) -> int:
        """Give the requests that it can handle at once now."""
        warmed_count = self.finished_count // _WARMING_COUNT
        return min(self.slot_count, _COLD_SLOT_COUNT + warmed_count)

    def become_cold(self) -> None:
        """Forget what made it fast."""
        self.finished_count = 0

    def start(self, on_end: Callable[[CallOutcome], None]) -> None:
        """Run one request."""
        self.running_count += 1
        handled_count = self.handled_count()
        if handled_count >= self.slot_count:
            self._serve(1, on_end)
            return
        overload = self.running_count / handled_count
        self.cold_peak_count = max(self.cold_peak_count, self.running_count)
        self.cold_overload = max(self.cold_overload, overload)
        if overload > _COLD_SHED_RATIO:
            self.events.after(_SHED_S, lambda: on_end(CallOutcome.SHED))
            return
        coldness = 1 - handled_count / self.slot_count
        factor = 1 + (_COLD_FACTOR - 1) * coldness
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
                left_s = self.rng.random() * MEAN_SERVICE_S
                self._finish_at(self.stalled_until_s + left_s, on_end)
                return
            self.finished_count += 1
            on_end(CallOutcome.ANSWERED)

        self.events.at(at_s, finish)


@final
@dataclass(eq=False)
class FakeBackendSide:
    """The daemon beside a backend server: the shipped admission."""

    events: EventQueue
    rng: random.Random
    server: FakeServer
    settings: AdmissionSettings
    report_age_s: tuple[float, float] = (0, 0)
    is_out: bool = False
    refusal_count: int = 0
    admission: AdmissionLimit = field(init=False)
    _published: LoadReport = field(init=False)
    _published_until_s: float = 0

    def __post_init__(self) -> None:
        """Start cold."""
        self.replace()

    def replace(self) -> None:
        """Start a new admission, as a replaced instance does."""
        self.admission = AdmissionLimit(self.settings)
        self._published = self.admission.report()

    def receive(self, attempt: Attempt) -> None:
        """Take an attempt that arrives."""
        if attempt.is_over:
            return
        now_s = self.events.now_s
        if self.is_out:
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
            self.events.after(wait_s + 1e-6, self._pump)
        else:
            self._refuse(attempt, ErrorCode.OVERLOADED)

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt that its caller no longer wants."""
        attempt.is_over = True
        if attempt.is_running:
            self._end(attempt, self.admission, CallOutcome.CANCELLED)
        elif self.admission.remove_queued(attempt):
            self._pump()

    def _pump(self) -> None:
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
        self._pump()

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
            self._published = self.admission.report(is_leaving=self.is_out)
            age_s = self.rng.uniform(*self.report_age_s)
            self._published_until_s = self.events.now_s + age_s
        return self._published
