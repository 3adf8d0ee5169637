"""Simulates a target whose calls and other callers share an address."""

import heapq
import random

import pytest
from cornelbeam_core.call_origins import (
    DEADLINE_SLACK_S,
    MEMORY_CALL_COUNT,
    CallOrigins,
)

REQUEST_COUNT = 4000
SLOT_COUNT = 6
WORK_S = 0.2
LIMIT_S = 1.5
NESTED_LIMIT_S = 0.5
# Nested calls are to be recognized always, requests of callers nearly always.
LEARNED_SHARE = 0.98


def simulate(seed, *, load):
    """Return the shares recognized of callers' requests and nested calls.

    The target is ``load`` times as busy as it can be, and refuses the excess.
    """
    rng = random.Random(seed)
    origins = CallOrigins()
    ends = []
    right_counts = {'booking': 0, 'index': 0}
    call_counts = {'booking': 0, 'index': 0}

    def read(route, deadline_s, *, is_nested):
        call_counts[route] += 1
        is_right = origins.is_nested(route, deadline_s) == is_nested
        right_counts[route] += is_right

    now_s: float = 0
    for number in range(REQUEST_COUNT):
        now_s += rng.expovariate(load * SLOT_COUNT / WORK_S)
        while ends and ends[0][0] <= now_s:
            origins.finish(heapq.heappop(ends)[1], is_over=True)
        # Callers that come back have less time left.
        deadline_s = now_s + LIMIT_S * rng.choice((1, 1, 0.5))
        read('booking', deadline_s, is_nested=False)
        if len(ends) < SLOT_COUNT:
            origins.start(number, deadline_s)
            heapq.heappush(ends, (now_s + rng.random() * 2 * WORK_S, number))
            nested_s = min(deadline_s, now_s + NESTED_LIMIT_S)
            read('index', nested_s, is_nested=True)
    return [right_counts[route] / call_counts[route] for route in call_counts]


class TestSharedAddress:
    """Guards against mistaking requests of callers for calls of the target."""

    @pytest.mark.parametrize('load', [0.1, 0.8, 3])
    def test_origin_is_recognized_at_any_load(self, load):
        for seed in (1, 2, 3):
            callers_share, nested_share = simulate(seed, load=load)
            assert callers_share >= LEARNED_SHARE
            assert nested_share == 1

    def test_route_is_remembered_while_the_target_is_always_busy(self):
        origins = CallOrigins()
        origins.is_nested('lookup', 1)
        origins.start('history', 99)
        assert not any(origins.is_nested('lookup', 2) for _ in range(40))

    def test_calls_of_an_abandoned_request_are_nested(self):
        """The target goes on although its connection was lost."""
        origins = CallOrigins()
        origins.start('booking', 5)
        origins.finish('booking', is_over=False)
        assert origins.is_nested('index', 5 + DEADLINE_SLACK_S / 2)
        assert not origins.is_nested('index', 6)

    def test_unobserved_call_is_forgotten(self):
        """It came from a request that this daemon did not see."""
        origins = CallOrigins()
        origins.is_nested('index', 1)
        origins.start('booking', 5)
        found = [
            origins.is_nested('index', 4) for _ in range(MEMORY_CALL_COUNT)
        ]
        assert not found[0]
        assert found[-1]
