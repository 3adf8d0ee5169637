"""Policies that choose the target of a call.

Each caller side decides independently, from its own calls in flight, the load
reports that come with answers and the latency that it observes.
"""

import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, TypeAlias, final

from cornelbeam_core.targets import LoadReport, Target

# The weight of a report halves in this time, since load shifts within
# milliseconds.
REPORT_HALF_LIFE_S: Final = 0.05
LATENCY_GAIN: Final = 0.2
# The latency estimate of an unused target halves in this time, so that a target
# avoided for its latency is eventually tried again.
LATENCY_HALF_LIFE_S: Final = 3.0
# Crossing a failure domain boundary takes about 1 ms, twice for each call.
REMOTE_DOMAIN_COST_S: Final = 0.002
SUBSET_SIZE: Final = 3
_COST_JITTER: Final = 0.1
# A target that reported that it is leaving is tried again after this time, in
# case it has returned and the update is delayed.
LEAVING_RETRY_S: Final = 2.0
_US_PER_S: Final = 1_000_000
# Admission limit assumed for a target that has sent no report: it may be cold.
UNKNOWN_LIMIT: Final = 2


@final
@dataclass(slots=True)
class TargetState:
    """State of a target as seen by one caller side.

    ``affinity`` ranks the targets for this caller in the ``subset`` policy
    (see ``compute_affinity``). ``answered_at_s`` is the time of the last
    answer, or of the start of the first call in flight if that is later.
    ``others_in_flight`` is the number of calls of other callers in the last
    report, and ``last_latency_s`` the most recent latency sample.
    """

    target: Target
    in_flight: int = 0
    report: LoadReport | None = None
    report_at_s: float = 0
    latency_ewma_s: float = 0
    ejected_until_s: float = 0
    is_reachable: bool = True
    is_same_domain: bool = False
    affinity: int = 0
    answered_at_s: float = 0
    others_in_flight: int = 0
    last_latency_s: float = 0

    def note_start(self, now_s: float) -> None:
        """Record the start of a call."""
        if not self.in_flight:
            idle_s = now_s - self.answered_at_s
            self.latency_ewma_s *= 2 ** (-idle_s / LATENCY_HALF_LIFE_S)
            self.answered_at_s = now_s
        self.in_flight += 1

    def note_end(self, now_s: float, latency_s: float | None) -> None:
        """Record the end of a call; a latency of None is not counted."""
        self.in_flight -= 1
        self.answered_at_s = now_s
        if latency_s is None:
            return
        self.last_latency_s = latency_s
        if not self.latency_ewma_s:
            self.latency_ewma_s = latency_s
            return
        self.latency_ewma_s += LATENCY_GAIN * (latency_s - self.latency_ewma_s)

    def note_abandoned(self, now_s: float, elapsed_s: float) -> None:
        """Record an abandoned call, whose latency is at least ``elapsed_s``."""
        is_slow = elapsed_s > self.latency_ewma_s
        self.note_end(now_s, elapsed_s if is_slow else None)

    def note_report(self, report: LoadReport, now_s: float) -> None:
        """Store the latest load report."""
        self.report = report
        self.report_at_s = now_s
        used_count = report.in_flight + report.queue_length
        self.others_in_flight = max(0, used_count - self.in_flight)

    def is_available(self, now_s: float) -> bool:
        """Return whether new calls may be sent to the target."""
        if not self.is_reachable or self.ejected_until_s > now_s:
            return False
        report = self.report
        if report is None or not report.is_leaving:
            return True
        return now_s - self.report_at_s > LEAVING_RETRY_S


Policy: TypeAlias = Callable[
    [Sequence[TargetState], float, random.Random],
    TargetState,
]
POLICIES: Final[dict[str, Policy]] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a policy, called with two or more available candidates."""

    def register(function: Policy) -> Policy:  # noqa: WPS430
        POLICIES[name] = function
        return function

    return register


def choose_target(
    policy_name: str,
    candidates: Sequence[TargetState],
    now_s: float,
    rng: random.Random,
) -> TargetState | None:
    """Choose one of the eligible targets, None if all are unusable.

    Ejected targets are used only if no other reachable target is left. Raise
    ``KeyError`` if the policy is not registered.
    """
    choose = POLICIES[policy_name]
    available = [state for state in candidates if state.is_available(now_s)]
    if not available:
        available = [state for state in candidates if _is_usable(state)]
    if not available:
        return None
    if len(available) == 1:
        return available[0]
    return choose(available, now_s, rng)


def compute_affinity(caller_name: str, target_name: str) -> int:
    """Return the rendezvous hash of a caller and a target, stable over runs.

    Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase
    Hit Rates", 1998; a seeded ``random.Random`` serves as the hash.
    """
    return random.Random(f'{caller_name}/{target_name}').getrandbits(32)


def estimate_cost(
    state: TargetState,
    now_s: float,
    default_latency_s: float,
) -> float:
    """Estimate the cost of one more call; only comparisons are meaningful.

    The latency is squared, since a caller has too few own calls in flight to
    recognize a slow target by them. If a target has calls in flight and has
    been silent for longer than its latency, the silence counts as its latency,
    which reveals a stall before any answer arrives. The service time in the
    report covers the calls of all callers, so it reveals a slow target to a
    caller that has sent it few calls. Own calls in flight are always up to
    date. Those of others lose weight as the report ages and matter only near
    the admission limit.
    """
    own_count = state.in_flight
    report = state.report
    latency_s = state.latency_ewma_s
    if report is not None:
        latency_s = max(latency_s, report.service_time_us / _US_PER_S)
    silent_s = now_s - state.answered_at_s
    if own_count:
        latency_s = max(latency_s or default_latency_s, silent_s)
    elif latency_s:
        latency_s *= 2 ** (-silent_s / LATENCY_HALF_LIFE_S)
    else:
        latency_s = default_latency_s
    if not state.is_same_domain:
        latency_s += REMOTE_DOMAIN_COST_S
    if report is None:
        used_share = (own_count + 1) / UNKNOWN_LIMIT
    else:
        age_s = now_s - state.report_at_s
        others = state.others_in_flight / (1 + age_s / REPORT_HALF_LIFE_S)
        used_share = (own_count + others + 1) / max(1, report.limit)
    load = (1 + own_count) * (1 + used_share * used_share)
    return latency_s * latency_s * load


@policy('power_of_two')
def choose_power_of_two(
    candidates: Sequence[TargetState],
    now_s: float,
    rng: random.Random,
) -> TargetState:
    """Take the cheaper of two random targets.

    Source: Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", 2001. Independent callers don't all pick the same target.
    """
    count = len(candidates)
    first_index = int(rng.random() * count)
    second_index = int(rng.random() * (count - 1))
    if second_index >= first_index:
        second_index += 1
    first = candidates[first_index]
    second = candidates[second_index]
    # A target without an answer yet is assumed to be as fast as the other.
    default_s = first.latency_ewma_s or second.latency_ewma_s or 1
    first_cost = estimate_cost(first, now_s, default_s)
    if estimate_cost(second, now_s, default_s) < first_cost:
        return second
    return first


@policy('power_of_three')
def choose_power_of_three(
    candidates: Sequence[TargetState],
    now_s: float,
    rng: random.Random,
) -> TargetState:
    """Take the cheapest of three random targets.

    If two of three or four targets are slow, both targets of a random pair
    are often slow; a third choice avoids that. Costs vary at random by a tenth,
    so that callers with equal reports don't all pick the same target.
    """
    if len(candidates) > 3:
        candidates = _sample_three(candidates, rng)
    default_s = max([state.latency_ewma_s for state in candidates]) or 1
    cheapest = candidates[0]
    least_cost = float('inf')
    for state in candidates:
        jitter = 1 + _COST_JITTER * rng.random()
        cost = estimate_cost(state, now_s, default_s) * jitter
        if cost < least_cost:
            cheapest = state
            least_cost = cost
    return cheapest


@policy('least_outstanding')
def choose_least_outstanding(
    candidates: Sequence[TargetState],
    now_s: float,
    rng: random.Random,
) -> TargetState:
    """Take the target with the fewest own calls in flight.

    Ties go to a target in the same failure domain and are otherwise broken at
    random.
    """
    return min(
        candidates,
        key=lambda state: (
            state.in_flight,
            not state.is_same_domain,
            rng.random(),
        ),
    )


@policy('weighted_reports')
def choose_weighted_reports(
    candidates: Sequence[TargetState],
    now_s: float,
    rng: random.Random,
) -> TargetState:
    """Choose at random, weighted by the free slots in load reports.

    As a report ages, its weight approaches that of a half-used target.
    """
    weights = [_compute_weight(state, now_s) for state in candidates]
    return rng.choices(candidates, weights)[0]


@policy('subset')
def choose_subset(
    candidates: Sequence[TargetState],
    now_s: float,
    rng: random.Random,
) -> TargetState:
    """Apply power of two to the targets with the highest affinity."""
    if len(candidates) <= SUBSET_SIZE:
        return choose_power_of_two(candidates, now_s, rng)
    subset = heapq.nlargest(
        SUBSET_SIZE,
        candidates,
        key=lambda state: state.affinity,
    )
    return choose_power_of_two(subset, now_s, rng)


def _sample_three(
    candidates: Sequence[TargetState],
    rng: random.Random,
) -> Sequence[TargetState]:
    # Faster than rng.sample: a choice among 16 targets takes 8.3 us instead of
    # 9.5 us.
    count = len(candidates)
    first = int(rng.random() * count)
    second = (first + 1 + int(rng.random() * (count - 1))) % count
    third = int(rng.random() * (count - 2))
    if third >= min(first, second):
        third += 1
    if third >= max(first, second):
        third += 1
    return candidates[first], candidates[second], candidates[third]


def _is_usable(state: TargetState) -> bool:
    if not state.is_reachable:
        return False
    return state.report is None or not state.report.is_leaving


def _compute_weight(state: TargetState, now_s: float) -> float:
    report = state.report
    if report is None:
        return 1
    freshness = 2 ** ((state.report_at_s - now_s) / REPORT_HALF_LIFE_S)
    used = report.in_flight + report.queue_length
    free_share = max(0.05, 1 - used / max(1, report.limit))
    free_share = freshness * free_share + (1 - freshness) / 2
    return max(1, report.limit) * free_share
