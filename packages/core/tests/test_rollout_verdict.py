"""Judgement of versions by simulated answers."""

import math
import random

import pytest
from cornelbeam_core.rollout_verdict import (
    DURATION_BUCKET_COUNT,
    RouteCounts,
    VersionJudge,
    duration_bucket,
    poisson_tail,
)

SEEDS = range(20)
SLOTS_PER_S = 2
TRIAL_S = 9
ROUTES = ('read', 'book', 'list')
# Most versions that are fine must not be rolled back.
MAX_FALSE_COUNT = 1


def answers(rng, counts, route, *, fails=0.01, slow_part=0, factor=1):
    """Add one answer of a route to counts."""
    durations = [0 for _ in range(DURATION_BUCKET_COUNT)]
    is_failure = rng.random() < fails
    if not is_failure:
        duration_s = 0.1 * rng.lognormvariate(0, 0.3) * factor
        if rng.random() < slow_part:
            duration_s *= 5
        durations[duration_bucket(duration_s)] = 1
    one = RouteCounts(1, int(is_failure), tuple(durations))
    counts[route] = one.plus(counts.get(route))


def judge_version(seed, change, *, rate_per_s=60, share=0.08, routes=ROUTES):
    """Return the time of the verdict, or ``None`` for a version that is fine.

    ``change(is_new, route, now_s)`` returns how the answers are then.
    """
    rng = random.Random(seed)
    judge = VersionJudge()
    for slot in range(TRIAL_S * SLOTS_PER_S):
        now_s = slot / SLOTS_PER_S
        new, old = {}, {}
        for _ in range(rate_per_s // SLOTS_PER_S):
            is_new = rng.random() < share
            route = rng.choice(routes)
            answers(
                rng,
                new if is_new else old,
                route,
                **change(is_new, route, now_s),
            )
        judge.note(new, old)
        if judge.is_bad():
            return now_s
    return TRIAL_S if judge.is_bad(is_last=True) else None


BAD = {
    'failures': lambda new, route, now_s: {'fails': 0.4 if new else 0.01},
    'slow answers': lambda new, route, now_s: {'slow_part': 0.4 if new else 0},
    'late failures': lambda new, route, now_s: {
        'fails': 0.5 if new and now_s > 5 else 0.01
    },
    'late slow answers': lambda new, route, now_s: {
        'slow_part': 0.6 if new and now_s > 5 else 0
    },
    'failures on one route': lambda new, route, now_s: {
        'fails': 0.7 if new and route == 'book' else 0.01
    },
    'failures under load': lambda new, route, now_s: {
        'fails': 0.6 if new and int(now_s) % 3 == 2 else 0.01
    },
}


def all_fail(new, route, now_s):
    """Fail each request to the new version."""
    return {'fails': int(new)}


FINE = {
    'same': lambda new, route, now_s: {},
    'both fail for a while': lambda new, route, now_s: {
        'fails': 0.4 if 3 < now_s < 6 else 0.01
    },
    'both slow for a while': lambda new, route, now_s: {
        'factor': 4 if 3 < now_s < 6 else 1
    },
    'one route always fails': lambda new, route, now_s: {
        'fails': 0.5 if route == 'book' else 0.01
    },
}


class TestBadVersion:
    """Guards against completing a version that is bad."""

    @pytest.mark.parametrize('kind', BAD)
    def test_is_found(self, kind):
        found = [judge_version(seed, BAD[kind]) for seed in SEEDS]
        missed_count = found.count(None)
        assert missed_count <= MAX_FALSE_COUNT, found

    def test_constant_failures_are_found_early(self):
        found = [judge_version(seed, all_fail) for seed in SEEDS]
        assert max(found) <= 4


class TestFineVersion:
    """Guards against rolling back a version that is as good as the old one."""

    @pytest.mark.parametrize('kind', FINE)
    @pytest.mark.parametrize('rate_per_s', [10, 60, 150])
    def test_is_not_blamed(self, kind, rate_per_s):
        found = [
            judge_version(seed, FINE[kind], rate_per_s=rate_per_s)
            for seed in SEEDS
        ]
        false_count = len(found) - found.count(None)
        assert false_count <= MAX_FALSE_COUNT, found

    def test_equal_counts_are_never_bad(self):
        """Property: a version with the counts of the old one is fine."""
        for seed in range(200):
            rng = random.Random(seed)
            judge = VersionJudge()
            for _ in range(rng.randint(1, 20)):
                counts = {}
                for _ in range(rng.randint(0, 20)):
                    answers(
                        rng,
                        counts,
                        rng.choice(ROUTES),
                        fails=rng.random(),
                        slow_part=rng.random(),
                    )
                judge.note(counts, counts)
            assert not judge.is_bad(is_last=True), seed

    def test_more_bad_answers_never_make_a_version_better(self):
        """Property: a bad version stays bad if more of its answers fail."""
        for seed in range(100):
            rng = random.Random(seed)
            fails = rng.random()
            few, many = VersionJudge(), VersionJudge()
            for _ in range(10):
                new, old = {}, {}
                for _ in range(10):
                    answers(rng, new, 'read', fails=fails)
                    answers(rng, old, 'read')
                few.note(new, old)
                worse = RouteCounts(10, 10, (0,) * DURATION_BUCKET_COUNT)
                many.note({'read': worse}, old)
            assert not few.is_bad() or many.is_bad(), seed


class TestPoissonTail:
    """Guards against large counts that never look bad, or always do."""

    @pytest.mark.parametrize('mean', [10, 700, 800, 5000])
    @pytest.mark.parametrize(
        ('deviations', 'least', 'most'),
        [(0, 0.4, 0.6), (6, 0, 1e-4), (-6, 0.999, 1)],
    )
    def test_large_means(self, mean, deviations, least, most):
        count = int(mean + deviations * math.sqrt(mean))
        assert least <= poisson_tail(count, mean) <= most

    @pytest.mark.parametrize(('count', 'tail'), [(0, 1), (1, 0), (3, 0)])
    def test_nothing_is_expected(self, count, tail):
        assert poisson_tail(count, 0) == tail
