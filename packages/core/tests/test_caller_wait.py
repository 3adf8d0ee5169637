"""Tests of recognizing retries by the time that callers have left."""

import random
from collections import deque
from operator import itemgetter

from cornelbeam_core.caller_wait import SAMPLE_COUNT, CallerWaitEstimator
from cornelbeam_core.target_gate import TargetGate
from cornelbeam_core.tickets import ColdBound, Ticket


class TestTimeWaited:
    """Guards against treating second attempts as first ones."""

    def test_routes_have_limits_of_their_own(self):
        callers = CallerWaitEstimator()
        callers.note('lookup', 2000)
        assert callers.note('history', 800) == 0

    def test_shorter_limit_is_learned(self):
        callers = CallerWaitEstimator()
        callers.note('lookup', 2000)
        for _ in range(SAMPLE_COUNT):
            callers.note('lookup', 800)
        assert callers.note('lookup', 800) == 0

    def test_odd_caller_makes_no_other_late(self):
        """A few callers have a timeout that no other caller has."""
        callers = CallerWaitEstimator()
        spent_ms = []
        for number in range(100):
            callers.note('lookup', 900_000 if number % 9 == 0 else 2000)
            spent_ms.append(callers.note('lookup', 2000))
        assert not any(spent_ms)


LIMIT_MS = 2000
OBJECTIVE_S = 0.5
WORK_S = 0.16
SLOT_COUNT = 10
RETURN_S = 0.4
LENGTH_S = 10
ARRIVALS_PER_S = 100
# Number of calls that the eight slots usable at full speed can serve.
CAPACITY_COUNT = 8 / WORK_S * LENGTH_S
# Callers that can still be answered in time must get most of the capacity.
SHARE_IN_TIME = 0.85


def simulate_overload(seed, *, is_wait_known):
    """Return the number of answers within the objective.

    Latency counts from the first attempt of a caller. Twice as many callers
    arrive as can be served, and each retries once.
    """
    rng = random.Random(seed)
    gate = TargetGate(ColdBound(factor=1.5, slack_count=5))
    gate.resize(SLOT_COUNT)
    callers = CallerWaitEstimator()
    arrivals = deque(
        sorted(
            (rng.random() * LENGTH_S, number)
            for number in range(LENGTH_S * ARRIVALS_PER_S)
        ),
    )
    arrived_at_s: dict[int, float] = {}
    returning: deque[tuple[float, int]] = deque()
    ends: deque[float] = deque()
    in_time_count = 0
    while arrivals or returning:
        queue = min(filter(None, (arrivals, returning)), key=itemgetter(0))
        now_s, call = queue.popleft()
        while ends and ends[0] <= now_s:
            free_s = ends.popleft()
            gate.finish('windows', WORK_S)
            in_time_count += start(gate, free_s, arrived_at_s, ends)
        is_first = call not in arrived_at_s
        arrived_at_s.setdefault(call, now_s)
        left_ms = LIMIT_MS - int((now_s - arrived_at_s[call]) * 1000)
        spent_s = callers.note('windows', left_ms) / 1000
        if not is_wait_known:
            spent_s = 0
        ticket = Ticket(
            call,
            is_nested=False,
            priority=1,
            give_up_at_s=now_s + left_ms / 1000,
            objective_at_s=now_s + OBJECTIVE_S - spent_s,
            deadline_s=now_s + left_ms / 1000,
            route='windows',
        )
        if gate.enqueue(ticket, now_s) is not None and is_first:
            returning.append((now_s + RETURN_S, call))
        in_time_count += start(gate, now_s, arrived_at_s, ends)
    return in_time_count


def start(gate, now_s, arrived_at_s, ends):
    """Start the calls that may run; return how many will end in time."""
    count = 0
    taken = gate.start_next(now_s)
    while taken is not None:
        ends.append(now_s + WORK_S)
        count += now_s + WORK_S <= arrived_at_s[taken.call] + OBJECTIVE_S
        taken = gate.start_next(now_s)
    return count


class TestReturningCallers:
    """Guards against late callers displacing those still in time."""

    def test_most_of_the_capacity_is_in_time(self):
        for seed in (1, 2, 3):
            count = simulate_overload(seed, is_wait_known=True)
            assert count >= SHARE_IN_TIME * CAPACITY_COUNT

    def test_late_callers_displace_others_otherwise(self):
        """Verify that the simulation depends on knowing the time waited."""
        count = simulate_overload(1, is_wait_known=False)
        assert count < SHARE_IN_TIME * CAPACITY_COUNT
