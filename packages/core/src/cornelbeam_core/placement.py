"""Chooses the target of a request among those that daemons know of.

The choice answers load that shifts between reports: a report says how long a
call would have waited at its time, ages quickly, and is corrected by what
this daemon sent since. The gate beside the target has the last word, so an
outdated choice costs one refusal and no work of a target.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.targets import USUAL_PERCENT, LoadReport

US_PER_MS: Final = 1000
# A report of a wait says little after this time.
REPORT_AGE_LIMIT_S: Final = 0.6
# Noisy neighbours come and go within some 300 ms. To ask again costs a few
# milliseconds, to cross a failure domain boundary for nothing costs more.
SLOWDOWN_AGE_LIMIT_S: Final = 0.1
# A target that failed is left alone for this time, doubled for each failure
# in a row up to the longest.
MIN_EJECTION_S: Final = 0.25
MAX_EJECTION_S: Final = 4.0
# Failures in a row that eject a target: single ones happen on sound targets.
EJECTION_STREAK: Final = 3
# Smoothing of the share of failed calls.
FAILURE_GAIN: Final = 0.08
# What a failed attempt costs its caller: the time until it is noticed and
# the second attempt.
FAILURE_COST_MS: Final = 400
# A target that works this many times longer than the fastest of its service
# is a straggler; smaller differences come from the mix of requests.
STRAGGLER_FACTOR: Final = 1.5
# A slow spell of a host rarely outlasts a request, so a slowdown costs at
# most this much time.
SLOWDOWN_LIMIT_MS: Final = 250
# Bytes between failure domains are dear to operators: a request stays in its
# own domain while that costs the caller less than this time. It is about what
# most answers have left of their latency objective.
DOMAIN_CROSSING_MS: Final = 120
DOMAIN_CROSSING_MS_PER_KB: Final = 4
BYTES_PER_KB: Final = 1024


@final
@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may serve the request, with the cost of choosing it.

    ``delay_ms`` is the part of ``cost_ms`` that its gate decides about: the
    wait for a slot and for the end of a slow spell.
    """

    name: str
    cost_ms: float
    delay_ms: float
    is_ejected: bool


@final
class TargetRecord:
    """What this daemon saw of one target."""

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
        """Start without observations; ``is_local`` marks the own target."""
        self.name = name
        self.domain = domain
        self.is_local = is_local
        self.load: LoadReport | None = None
        self.load_at_s = float('-inf')
        self._service_times_ms: dict[str, float] = {}
        self.failure_streak = 0
        # True while its daemon can't be reached.
        self.is_unreachable = False
        self.failure_share: float = 0
        self.ejected_until_s = float('-inf')

    def note_load(
        self,
        load: LoadReport | None,
        route: str,
        now_s: float,
    ) -> None:
        """Take the report that came with the answer to a call of a route."""
        if load is None:
            return
        self.load = load
        self.load_at_s = now_s
        if load.service_time_us:
            service_ms = load.service_time_us / US_PER_MS
            self._service_times_ms[route] = service_ms

    def service_ms(self, route: str) -> float | None:
        """Give the time that calls of a route take on a host that isn't slow.

        Routes differ more than targets do, so their times are kept apart.
        ``None`` before the first report.
        """
        return self._service_times_ms.get(route)

    def note_success(self) -> None:
        """Note an answer that the caller can use."""
        self.failure_streak = 0
        self.is_unreachable = False
        self.ejected_until_s = float('-inf')
        self.failure_share -= FAILURE_GAIN * self.failure_share

    def note_failure(self, now_s: float, *, is_unreachable: bool) -> None:
        """Note a failure, of its daemon itself if ``is_unreachable``.

        Whoever can't reach the daemon can't reach its target, so the first
        such failure ejects it until ``note_reachable``.
        """
        self.is_unreachable = self.is_unreachable or is_unreachable
        self.failure_streak += 1
        self.failure_share += FAILURE_GAIN * (1 - self.failure_share)
        beyond = self.failure_streak - EJECTION_STREAK
        if beyond >= 0:
            ejection_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**beyond)
            self.ejected_until_s = now_s + ejection_s

    def note_reachable(self) -> None:
        """Note that its daemon answers again."""
        self.is_unreachable = False

    def is_ejected(self, now_s: float) -> bool:
        """Tell whether requests had better go elsewhere."""
        return self.is_unreachable or now_s < self.ejected_until_s

    def wait_ms(self, now_s: float) -> float:
        """Estimate the wait for a slot from the last report."""
        if self.load is None:
            return 0
        age_s = now_s - self.load_at_s
        if age_s > REPORT_AGE_LIMIT_S:
            return 0
        return max(0, self.load.wait_ms - age_s * MS_PER_S)

    def slowdown_ms(self, now_s: float, service_ms: float) -> float:
        """Estimate the time that a slow host adds to a request."""
        age_s = now_s - self.load_at_s
        if self.load is None or age_s > SLOWDOWN_AGE_LIMIT_S:
            return 0
        extra = max(0, self.load.slowdown_percent - USUAL_PERCENT)
        slowdown_ms = service_ms * extra / USUAL_PERCENT
        return min(SLOWDOWN_LIMIT_MS, slowdown_ms)


@final
@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What the choice depends on beside the targets."""

    domain: str
    route: str
    size_bytes: int
    now_s: float


def rank_targets(
    records: Iterable[TargetRecord],
    request: PlacementRequest,
) -> list[Candidate]:
    """Order targets by the time that a request is expected to take there.

    Ejected targets come last: with no other left they are better than a
    refusal.
    """
    known = tuple(records)
    usual_ms = fastest_service_ms(known, request.route)
    candidates = [
        _make_candidate(record, request, usual_ms) for record in known
    ]
    candidates.sort(key=lambda each: (each.is_ejected, each.cost_ms))
    return candidates


def fastest_service_ms(
    records: Iterable[TargetRecord],
    route: str,
) -> float:
    """Give the time of a route at its fastest target, zero if unknown."""
    times_ms = (record.service_ms(route) for record in records)
    return min((each for each in times_ms if each is not None), default=0)


def patience_ms(
    candidates: list[Candidate],
    index: int,
    left_ms: float,
    min_ms: float,
) -> float:
    """Give how long to wait for a slot at a candidate before trying the next.

    Waiting longer than the next one is dearer makes no sense; at the last
    one, all the time that is left may be spent.
    """
    if index + 1 >= len(candidates) or candidates[index + 1].is_ejected:
        return left_ms
    here = candidates[index]
    undelayed_ms = here.cost_ms - here.delay_ms
    gap_ms = candidates[index + 1].cost_ms - undelayed_ms
    return min(left_ms, max(min_ms, gap_ms))


def _make_candidate(
    record: TargetRecord,
    request: PlacementRequest,
    usual_ms: float,
) -> Candidate:
    service_ms = record.service_ms(request.route) or usual_ms
    cost_ms = max(0, service_ms - STRAGGLER_FACTOR * usual_ms)
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
