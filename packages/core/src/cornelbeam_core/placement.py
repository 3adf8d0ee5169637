"""Chooses the target of a request among those that daemons know of.

The choice answers load that shifts between reports: a report says how long a
call would have waited at its time, ages quickly, and is corrected by what
this daemon sent since. The gate beside the target has the last word, so an
outdated choice costs one refusal and no work of a target.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.targets import USUAL_PERCENT, LoadReport

MS_PER_S: Final = 1000
# A report of a wait says little after this time: noisy neighbours come and
# go within some 300 ms.
REPORT_AGE_LIMIT_S: Final = 0.6
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
# Assumed until the first answer of a target is in.
INITIAL_SERVICE_MS: Final = 200
SERVICE_GAIN: Final = 0.1
# A slow spell of a host rarely outlasts a request, so a slowdown costs at
# most this much time.
SLOWDOWN_LIMIT_MS: Final = 250
# Bytes between failure domains are dear to operators: a request stays in its
# own domain while that costs the caller less than this time.
DOMAIN_CROSSING_MS: Final = 40
DOMAIN_CROSSING_MS_PER_KB: Final = 4
BYTES_PER_KB: Final = 1024


@final
@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may serve the request, with the cost of choosing it."""

    name: str
    cost_ms: float
    is_ejected: bool


@final
class TargetRecord:
    """What this daemon saw of one target."""

    __slots__ = (
        'domain',
        'ejected_until_s',
        'failure_share',
        'failure_streak',
        'in_flight_count',
        'is_local',
        'load',
        'load_at_s',
        'name',
        'service_ms',
    )

    def __init__(self, name: str, domain: str, *, is_local: bool) -> None:
        """Start without observations; ``is_local`` marks the own target."""
        self.name = name
        self.domain = domain
        self.is_local = is_local
        self.load: LoadReport | None = None
        self.load_at_s = float('-inf')
        self.in_flight_count = 0
        self.failure_streak = 0
        self.failure_share: float = 0
        self.ejected_until_s = float('-inf')
        self.service_ms: float = INITIAL_SERVICE_MS

    def note_load(self, load: LoadReport | None, now_s: float) -> None:
        """Take the report that came with an answer or a refusal."""
        if load is not None:
            self.load = load
            self.load_at_s = now_s

    def note_success(self, service_ms: float) -> None:
        """Note an answer that the caller can use."""
        self.failure_streak = 0
        self.ejected_until_s = float('-inf')
        self.failure_share -= FAILURE_GAIN * self.failure_share
        self.service_ms += SERVICE_GAIN * (service_ms - self.service_ms)

    def note_failure(self, now_s: float, *, is_lost: bool) -> None:
        """Note a failure; ``is_lost`` says that its daemon can't be reached.

        Whoever can't reach the daemon can't reach its target, so the first
        such failure ejects it.
        """
        self.failure_streak += 1
        self.failure_share += FAILURE_GAIN * (1 - self.failure_share)
        beyond = self.failure_streak - EJECTION_STREAK
        if is_lost:
            beyond = self.failure_streak - 1
        if beyond >= 0:
            ejection_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**beyond)
            self.ejected_until_s = now_s + ejection_s

    def wait_ms(self, now_s: float) -> float:
        """Estimate the wait for a slot from the last report."""
        if self.load is None:
            return 0
        age_s = now_s - self.load_at_s
        if age_s > REPORT_AGE_LIMIT_S:
            return 0
        return max(0, self.load.wait_ms - age_s * MS_PER_S)

    def slowdown_ms(self, now_s: float) -> float:
        """Estimate the time that a slow host adds to a request."""
        if self.load is None or now_s - self.load_at_s > REPORT_AGE_LIMIT_S:
            return 0
        extra = max(0, self.load.slowdown_percent - USUAL_PERCENT)
        slowdown_ms = self.service_ms * extra / USUAL_PERCENT
        return min(SLOWDOWN_LIMIT_MS, slowdown_ms)


@final
@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What the choice depends on beside the targets."""

    domain: str
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
    candidates = [
        Candidate(
            record.name,
            _cost_ms(record, request),
            request.now_s < record.ejected_until_s,
        )
        for record in records
    ]
    candidates.sort(key=lambda each: (each.is_ejected, each.cost_ms))
    return candidates


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
    gap_ms = candidates[index + 1].cost_ms - candidates[index].cost_ms
    return min(left_ms, max(min_ms, gap_ms))


def _cost_ms(record: TargetRecord, request: PlacementRequest) -> float:
    cost_ms = record.wait_ms(request.now_s) + record.service_ms
    cost_ms += record.slowdown_ms(request.now_s)
    cost_ms += record.failure_share * FAILURE_COST_MS
    if record.domain != request.domain:
        size_kb = request.size_bytes / BYTES_PER_KB
        cost_ms += DOMAIN_CROSSING_MS + DOMAIN_CROSSING_MS_PER_KB * size_kb
    return cost_ms
