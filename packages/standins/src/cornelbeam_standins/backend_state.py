"""State, faults and run journal of a stand-in backend server, without I/O."""

from collections import Counter, deque
from typing import Final, final

import msgspec

_MS_PER_S: Final = 1000
# Load samples are kept as long as the largest useful lag of reports.
_SAMPLE_COUNT: Final = 10_000


@final
class BackendFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Behaviour to inject; ``POST /control`` sets any part of it.

    Limits of 0 mean no limit. Work counts as refused, not as run, when it
    meets a limit, a drain, a collapse or ``is_failing``.
    """

    service_time_ms: int = 0
    # From now on and for this long, no work starts and no answer is sent.
    stall_ms: int = 0
    # A cold server does so much at once. One request more makes it collapse:
    # it refuses all work for ``collapse_ms``.
    cold_limit: int = 0
    cold_service_time_ms: int = 0
    collapse_ms: int = 1_000
    # Requests to complete until a cold server is warm; 0 leaves it cold.
    warm_up_count: int = 0
    is_draining: bool = False
    shed_limit: int = 0
    # Answers 500 at once.
    is_failing: bool = False
    # Closes the listener, so that connections are refused. Only the control
    # port remains.
    is_refusing: bool = False
    # The coming answers end after half of their body.
    truncate_count: int = 0
    # The coming answers are sent so much after the work was done.
    late_count: int = 0
    late_ms: int = 0
    # What the health and load endpoints claim; empty or negative is the
    # truth of ``report_lag_ms`` ago.
    claimed_health: str = ''
    claimed_in_flight: int = -1
    report_lag_ms: int = 0


@final
class RunRecord(msgspec.Struct):
    """Runs of the requests with one key; ``started_at`` orders first runs."""

    key: str
    method: str
    count: int
    started_at: int


@final
class BackendState:
    """What one backend server did and how it is to behave."""

    __slots__ = (
        '_collapsed_until_s',
        '_runs',
        '_samples',
        '_stalled_until_s',
        'counts',
        'faults',
        'in_flight',
    )

    def __init__(self) -> None:
        """Start warm, idle and without faults."""
        self.faults = BackendFaults()
        self.in_flight = 0
        self.counts: Counter[str] = Counter()
        self._runs: dict[tuple[str, str], RunRecord] = {}
        self._collapsed_until_s = float('-inf')
        self._stalled_until_s = float('-inf')
        self._samples: deque[tuple[float, int]] = deque(maxlen=_SAMPLE_COUNT)

    def change_faults(self, given: dict[str, object], now_s: float) -> None:
        """Change the named faults and leave the others."""
        merged = msgspec.to_builtins(self.faults) | given
        faults = msgspec.convert(merged, BackendFaults)
        if faults.stall_ms:
            self._stalled_until_s = now_s + faults.stall_ms / _MS_PER_S
            faults.stall_ms = 0
        if faults.cold_limit and not self.faults.cold_limit:
            self.counts['cold_peak'] = 0
        self.faults = faults

    def refuse(self, now_s: float) -> str:
        """Give the reason why new work is refused, empty when it may run."""
        reason = self._find_refusal(now_s)
        if reason:
            self.counts[f'refused_{reason}'] += 1
        return reason

    def start(self, now_s: float) -> bool:
        """Count work that was let in and tell whether the server is cold."""
        self.counts['started'] += 1
        self._change_in_flight(1, now_s)
        if self.faults.cold_limit:
            self.counts['cold_peak'] = max(
                self.counts['cold_peak'],
                self.in_flight,
            )
        return self.faults.cold_limit > 0

    def finish(self, now_s: float, *, is_warming: bool) -> None:
        """Count the end of work, whole or not.

        Only work that started while the server was cold warms it up.
        """
        self.counts['finished'] += 1
        self._change_in_flight(-1, now_s)
        if is_warming and self.faults.warm_up_count:
            self.faults.warm_up_count -= 1
            if not self.faults.warm_up_count:
                self.faults.cold_limit = 0

    def record_run(self, method: str, key: str) -> int:
        """Journal one run and give the number of runs with this key."""
        self.counts['runs'] += 1
        record = self._runs.setdefault(
            (method, key),
            RunRecord(key, method, count=0, started_at=len(self._runs)),
        )
        record.count += 1
        return record.count

    def list_runs(self) -> list[RunRecord]:
        """Give the journal in the order of the first runs."""
        return list(self._runs.values())

    def take_truncation(self) -> bool:
        """Tell whether this answer is to be cut."""
        is_cut = self.faults.truncate_count > 0
        self.faults.truncate_count -= is_cut
        return is_cut

    def take_late_ms(self) -> int:
        """Give the delay of this answer."""
        is_late = self.faults.late_count > 0
        self.faults.late_count -= is_late
        return self.faults.late_ms if is_late else 0

    def work_ms(self) -> int:
        """Give the service time of the next request."""
        extra_ms = 0
        if self.faults.cold_limit:
            extra_ms = self.faults.cold_service_time_ms
        return self.faults.service_time_ms + extra_ms

    def stall_s(self, now_s: float) -> float:
        """Give what remains of a stall."""
        return max(float(0), self._stalled_until_s - now_s)

    def reported_health(self) -> str:
        """Give what the health endpoint says, true or not."""
        if self.faults.claimed_health:
            return self.faults.claimed_health
        return 'draining' if self.faults.is_draining else 'ok'

    def reported_in_flight(self, now_s: float) -> int:
        """Give what the load endpoint says, late or wrong as set."""
        if self.faults.claimed_in_flight >= 0:
            return self.faults.claimed_in_flight
        seen_at_s = now_s - self.faults.report_lag_ms / _MS_PER_S
        for sampled_at_s, in_flight in reversed(self._samples):
            if sampled_at_s <= seen_at_s:
                return in_flight
        return 0

    def _find_refusal(self, now_s: float) -> str:
        faults = self.faults
        if faults.is_failing:
            return 'failing'
        if now_s < self._collapsed_until_s:
            return 'collapsed'
        if faults.cold_limit and self.in_flight >= faults.cold_limit:
            self._collapsed_until_s = now_s + faults.collapse_ms / _MS_PER_S
            self.counts['collapses'] += 1
            return 'collapsed'
        if faults.is_draining:
            return 'draining'
        if faults.shed_limit and self.in_flight >= faults.shed_limit:
            return 'shed'
        return ''

    def _change_in_flight(self, difference: int, now_s: float) -> None:
        self.in_flight += difference
        self._samples.append((now_s, self.in_flight))
