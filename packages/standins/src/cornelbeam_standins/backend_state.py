"""State, faults and run journal of a stand-in backend server, without I/O."""

from collections import Counter, deque
from typing import Final, final

import msgspec

_MS_PER_S: Final = 1000
# Enough load samples for the longest useful report lag.
_SAMPLE_COUNT: Final = 10_000


@final
class BackendFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults to inject; ``POST /control`` sets any of the fields.

    A limit of 0 means no limit. Work that a limit, a drain, a collapse or
    ``is_failing`` stops counts as refused, not as run.
    """

    service_time_ms: int = 0
    # For this long from now on, no work starts and no answer is sent.
    stall_ms: int = 0
    # Requests that a cold server handles at once. One more makes it collapse:
    # it refuses all work for ``collapse_ms``.
    cold_limit: int = 0
    cold_service_time_ms: int = 0
    collapse_ms: int = 1_000
    # Requests after which a cold server is warm; 0 means that it stays cold.
    warm_up_count: int = 0
    is_draining: bool = False
    shed_limit: int = 0
    # All work is answered with status 500 at once.
    is_failing: bool = False
    # The main listener is closed, so that connections are refused. The
    # control port stays open.
    is_refusing: bool = False
    # Number of upcoming answers to truncate after half of the body.
    truncate_count: int = 0
    # Number of upcoming answers to send ``late_ms`` after the work is done.
    late_count: int = 0
    late_ms: int = 0
    # What the health and load endpoints report. When empty, the actual health
    # is reported; when negative, the actual load of ``report_lag_ms`` ago.
    claimed_health: str = ''
    claimed_in_flight: int = -1
    report_lag_ms: int = 0


@final
class RunRecord(msgspec.Struct):
    """Runs of the requests with one method and key.

    ``started_at`` is the position of the first run among those of all keys.
    """

    key: str
    method: str
    count: int
    started_at: int


@final
class BackendState:
    """Counters, run journal and injected faults of one backend server."""

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
        """Initialize a warm, idle server without faults."""
        self.faults = BackendFaults()
        self.in_flight = 0
        self.counts: Counter[str] = Counter()
        self._runs: dict[tuple[str, str], RunRecord] = {}
        self._collapsed_until_s = float('-inf')
        self._stalled_until_s = float('-inf')
        self._samples: deque[tuple[float, int]] = deque(maxlen=_SAMPLE_COUNT)

    def change_faults(self, changes: dict[str, object], now_s: float) -> None:
        """Change the given faults and keep the others.

        Raise ``msgspec.ValidationError`` for an unknown or invalid field.
        """
        merged = msgspec.to_builtins(self.faults) | changes
        faults = msgspec.convert(merged, BackendFaults)
        if faults.stall_ms:
            self._stalled_until_s = now_s + faults.stall_ms / _MS_PER_S
            faults.stall_ms = 0
        if faults.cold_limit and not self.faults.cold_limit:
            self.counts['cold_peak'] = 0
        self.faults = faults

    def refuse(self, now_s: float) -> str:
        """Return why new work is refused, or an empty string if it may run."""
        reason = self._find_refusal(now_s)
        if reason:
            self.counts[f'refused_{reason}'] += 1
        return reason

    def start(self, now_s: float) -> bool:
        """Count admitted work; return whether the server is cold."""
        self.counts['started'] += 1
        self._change_in_flight(1, now_s)
        if self.faults.cold_limit:
            self.counts['cold_peak'] = max(
                self.counts['cold_peak'],
                self.in_flight,
            )
        return self.faults.cold_limit > 0

    def finish(self, now_s: float, *, is_warming: bool) -> None:
        """Count the end of work, completed or not.

        ``is_warming`` is what ``start`` returned: only work that started on a
        cold server warms it up.
        """
        self.counts['finished'] += 1
        self._change_in_flight(-1, now_s)
        if is_warming and self.faults.warm_up_count:
            self.faults.warm_up_count -= 1
            if not self.faults.warm_up_count:
                self.faults.cold_limit = 0

    def record_run(self, method: str, key: str) -> int:
        """Record one run and return the number of runs with this key."""
        self.counts['runs'] += 1
        record = self._runs.setdefault(
            (method, key),
            RunRecord(key, method, count=0, started_at=len(self._runs)),
        )
        record.count += 1
        return record.count

    def list_runs(self) -> list[RunRecord]:
        """Return the journal in the order of the first runs."""
        return list(self._runs.values())

    def consume_truncation(self) -> bool:
        """Return whether to truncate this answer, using up one truncation."""
        is_truncated = self.faults.truncate_count > 0
        self.faults.truncate_count -= is_truncated
        return is_truncated

    def consume_delay_ms(self) -> int:
        """Return the delay of this answer in ms, using up one late answer."""
        is_delayed = self.faults.late_count > 0
        self.faults.late_count -= is_delayed
        return self.faults.late_ms if is_delayed else 0

    def next_work_ms(self) -> int:
        """Return the service time of the next request in ms."""
        extra_ms = 0
        if self.faults.cold_limit:
            extra_ms = self.faults.cold_service_time_ms
        return self.faults.service_time_ms + extra_ms

    def remaining_stall_s(self, now_s: float) -> float:
        """Return the remaining time of a stall in seconds."""
        return max(float(0), self._stalled_until_s - now_s)

    def reported_health(self) -> str:
        """Return what the health endpoint reports, true or not."""
        if self.faults.claimed_health:
            return self.faults.claimed_health
        return 'draining' if self.faults.is_draining else 'ok'

    def reported_in_flight(self, now_s: float) -> int:
        """Return the load that the load endpoint reports, outdated or false."""
        if self.faults.claimed_in_flight >= 0:
            return self.faults.claimed_in_flight
        reported_at_s = now_s - self.faults.report_lag_ms / _MS_PER_S
        for sampled_at_s, in_flight in reversed(self._samples):
            if sampled_at_s <= reported_at_s:
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

    def _change_in_flight(self, delta: int, now_s: float) -> None:
        self.in_flight += delta
        self._samples.append((now_s, self.in_flight))
