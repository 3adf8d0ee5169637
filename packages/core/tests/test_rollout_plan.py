"""Plans of rollouts: exposure and time."""

import random

import pytest
from cornelbeam_core.rollout_plan import ExposureBound, RolloutPlan, Traffic

BOUND = ExposureBound(0.1, 50)
TICK_S = 0.5
MIN_FINAL_S = 2.5
MAX_FINAL_S = 5


def play(seed, rate_per_s, duration_s):
    """Play the trial of an order; return granted and total requests.

    Gates get what is granted and run a random part of it; an owner that is
    replaced takes what was reserved as granted.
    """
    rng = random.Random(seed)
    plan = RolloutPlan(duration_s, BOUND)
    gates = {name: [0, 0] for name in 'abcd'}
    total_count = 0
    spent_count = 0
    reserved_count = 30
    for tick in range(int(plan.final_at_s / TICK_S)):
        age_s = tick * TICK_S
        total_count += int(rate_per_s * TICK_S * rng.uniform(0.3, 1.7))
        if rng.randrange(10) == 0:
            spent_count = max(spent_count, reserved_count)
        traffic = Traffic(total_count, rate_per_s, spent_count)
        share = plan.share(age_s, traffic)
        limit = min(reserved_count, plan.allowed_count(age_s, total_count))
        granted = plan.grant_counts(
            limit,
            traffic,
            share,
            {name: tuple(counts) for name, counts in gates.items()},
        )
        for name, count in granted.items():
            gates[name][0] += count
            spent_count += count
        for counts in gates.values():
            counts[1] = rng.randint(counts[1], counts[0])
        traffic = Traffic(total_count, rate_per_s, spent_count)
        reserved_count = plan.reserve_count(age_s, share, traffic)
        granted_count = sum(granted for granted, _ in gates.values())
        assert granted_count <= BOUND.count(total_count), (seed, age_s)
    return sum(granted for granted, _ in gates.values()), total_count


class TestExposure:
    """Guards against more requests for a bad version than are allowed."""

    def test_grants_stay_within_the_bound(self):
        """Property: over all schedules, at each time."""
        for seed in range(150):
            rng = random.Random(seed)
            granted, total = play(seed, rng.randint(0, 200), rng.randint(6, 40))
            assert granted <= BOUND.count(total)

    @pytest.mark.parametrize('rate_per_s', [10, 50, 150])
    def test_trial_sees_enough_answers(self, rate_per_s):
        """A tenth of bad answers can't be told from chance with fewer."""
        granted, _ = play(1, rate_per_s, 12)
        assert granted >= 30


class TestTime:
    """Guards against orders that end too early or too late."""

    @pytest.mark.parametrize('duration_s', [5, 10, 12, 30, 600])
    def test_final_phase_leaves_time_for_the_status(self, duration_s):
        plan = RolloutPlan(duration_s, BOUND)
        left_s = duration_s - plan.final_at_s
        assert MIN_FINAL_S <= left_s <= MAX_FINAL_S

    def test_share_is_positive_without_traffic(self):
        plan = RolloutPlan(10, BOUND)
        assert plan.share(1, Traffic(0, 0, 0)) > 0
