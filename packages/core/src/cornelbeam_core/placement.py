"""Rank the known targets for a request by expected latency.

Load shifts between reports. A report says how long a call would have waited
when it was sent, ages quickly, and is corrected by what this daemon has sent
since. The gate beside the target makes the final decision, so an outdated
ranking costs one refusal but no work at a target.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.targets import USUAL_PERCENT, LoadReport

US_PER_MS: Final = 1000
# Reported waits are ignored after this time.
REPORT_AGE_LIMIT_S: Final = 0.6
# Reported slowdowns are ignored after this time. Slowdowns by noisy neighbours
# last about 300 ms. Asking a target that is still slow costs a few
# milliseconds, while needlessly leaving the failure domain costs more.
SLOWDOWN_AGE_LIMIT_S: Final = 0.1
# A target is ejected for the minimum time after EJECTION_STREAK failures in a
# row. Each further failure doubles the time, up to the maximum.
MIN_EJECTION_S: Final = 0.25
MAX_EJECTION_S: Final = 4.0
# Single failures also happen on healthy targets.
EJECTION_STREAK: Final = 3
# Smoothing factor of the share of failed calls.
FAILURE_GAIN: Final = 0.08
# Cost of a failed attempt to its caller: the time to detect the failure and to
# make a second attempt.
FAILURE_COST_MS: Final = 400
# A target is a straggler if its service time exceeds that of the fastest target
# by this factor, and the excess counts as cost. Smaller differences come from
# the mix of requests.
STRAGGLER_FACTOR: Final = 1.5
# Upper bound of the cost of a slowdown, which rarely lasts longer than a
# request.
SLOWDOWN_LIMIT_MS: Final = 250
# Traffic between failure domains is expensive, so a request stays in its own
# domain while that costs the caller less than this time. Most answers beat
# their latency objective by about as much. Each kilobyte of the request adds to
# this time.
DOMAIN_CROSSING_MS: Final = 120
DOMAIN_CROSSING_MS_PER_KB: Final = 4
BYTES_PER_KB: Final = 1024


@final
@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may serve the request, with its expected cost.

    ``delay_ms`` is the part of ``cost_ms`` that depends on the gate of the
    target: the wait for a slot and for the end of a slowdown.
    """

    name: str
    cost_ms: float
    delay_ms: float
    is_ejected: bool


@final
class TargetRecord:
    """What this daemon has observed of one target."""

    __slots__ = (
        '_service_times_ms',
        'domain',
        'ejected_until_s',
        'failure_share',
        'failure_streak',
        'is_local',
        'is_unreachable',
        'load',
        'load_at_s',
        'name',
    )

    def __init__(self, name: str, domain: str, *, is_local: bool) -> None:
        """Start empty; ``is_local`` marks the target beside this daemon."""
        self.name = name
        self.domain = domain
        self.is_local = is_local
        self.load: LoadReport | None = None
        self.load_at_s = float('-inf')
        self._service_times_ms: dict[str, float] = {}
        self.failure_streak = 0
        # True while the daemon of the target can't be reached.
        self.is_unreachable = False
        self.failure_share: float = 0
        self.ejected_until_s = float('-inf')

    def note_load(
        self,
        load: LoadReport | None,
        route: str,
        now_s: float,
    ) -> None:
        """Store the report that came with the answer to a call of a route."""
        if load is None:
            return
        self.load = load
        self.load_at_s = now_s
        if load.service_time_us:
            service_ms = load.service_time_us / US_PER_MS
            self._service_times_ms[route] = service_ms

    def service_ms(self, route: str) -> float | None:
        """Return the service time of a route while the host is not slow.

        Routes differ more than targets, so each route has its own service
        time. ``None`` before the first report.
        """
        return self._service_times_ms.get(route)

    def note_success(self) -> None:
        """Record a successful answer."""
        self.failure_streak = 0
        self.is_unreachable = False
        self.ejected_until_s = float('-inf')
        self.failure_share -= FAILURE_GAIN * self.failure_share

    def note_failure(self, now_s: float, *, is_unreachable: bool) -> None:
        """Record a failure; ``is_unreachable`` refers to the daemon.

        A target can only be reached through its daemon, so the first such
        failure ejects it until ``note_reachable`` is called.
        """
        self.is_unreachable = self.is_unreachable or is_unreachable
        self.failure_streak += 1
        self.failure_share += FAILURE_GAIN * (1 - self.failure_share)
        excess_count = self.failure_streak - EJECTION_STREAK
        if excess_count >= 0:
            ejection_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**excess_count)
            self.ejected_until_s = now_s + ejection_s

    def note_reachable(self) -> None:
        """Record that the daemon of the target answers again."""
        self.is_unreachable = False

    def is_ejected(self, now_s: float) -> bool:
        """Return whether other targets should be preferred."""
        return self.is_unreachable or now_s < self.ejected_until_s

    def wait_ms(self, now_s: float) -> float:
        """Estimate the wait for a slot from the last report."""
        if self.load is None:
            return 0
        age_s = now_s - self.load_at_s
        if age_s > REPORT_AGE_LIMIT_S:
            return 0
        wait_ms = max(self.load.wait_ms, self.load.paced_wait_ms)
        return max(0, wait_ms - age_s * MS_PER_S)

    def slowdown_ms(self, now_s: float, service_ms: float) -> float:
        """Estimate the time that a slow host adds to a request."""
        age_s = now_s - self.load_at_s
        if self.load is None or age_s > SLOWDOWN_AGE_LIMIT_S:
            return 0
        extra_percent = max(0, self.load.slowdown_percent - USUAL_PERCENT)
        slowdown_ms = service_ms * extra_percent / USUAL_PERCENT
        return min(SLOWDOWN_LIMIT_MS, slowdown_ms)


@final
@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Properties of a request that its ranking of targets depends on."""

    domain: str
    route: str
    size_bytes: int
    now_s: float


def rank_targets(
    records: Iterable[TargetRecord],
    request: PlacementRequest,
) -> list[Candidate]:
    """Order targets by the expected cost of sending the request there.

    Ejected targets come last. They are still included, because trying one is
    better than refusing the request.
    """
    known = tuple(records)
    fastest_ms = fastest_service_ms(known, request.route)
    candidates = [
        _make_candidate(record, request, fastest_ms) for record in known
    ]
    candidates.sort(key=lambda each: (each.is_ejected, each.cost_ms))
    return candidates


def fastest_service_ms(
    records: Iterable[TargetRecord],
    route: str,
) -> float:
    """Return the service time at the fastest target, zero if unknown."""
    times_ms = (record.service_ms(route) for record in records)
    return min((each for each in times_ms if each is not None), default=0)


def max_slot_wait_ms(
    candidates: list[Candidate],
    index: int,
    left_ms: float,
    min_ms: float,
) -> float:
    """Return how long to wait for a slot at a candidate before trying the next.

    The wait is at most the additional cost of the next candidate, but at least
    ``min_ms``. At the last candidate, all the time left may be spent.
    """
    if index + 1 >= len(candidates) or candidates[index + 1].is_ejected:
        return left_ms
    current = candidates[index]
    undelayed_ms = current.cost_ms - current.delay_ms
    gap_ms = candidates[index + 1].cost_ms - undelayed_ms
    return min(left_ms, max(min_ms, gap_ms))


def _make_candidate(
    record: TargetRecord,
    request: PlacementRequest,
    fastest_ms: float,
) -> Candidate:
    service_ms = record.service_ms(request.route) or fastest_ms
    cost_ms = max(0, service_ms - STRAGGLER_FACTOR * fastest_ms)
    cost_ms += record.failure_share * FAILURE_COST_MS
    if record.domain != request.domain:
        size_kb = request.size_bytes / BYTES_PER_KB
        cost_ms += DOMAIN_CROSSING_MS + DOMAIN_CROSSING_MS_PER_KB * size_kb
    delay_ms = record.wait_ms(request.now_s)
    delay_ms += record.slowdown_ms(request.now_s, service_ms)
    return Candidate(
        record.name,
        cost_ms + delay_ms,
        delay_ms,
        record.is_ejected(request.now_s),
    )
