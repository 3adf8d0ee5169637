"""Simulates noisy neighbours: hosts that are slow a quarter of the time.

Work that starts during a slowdown of a host, which lasts about 300 ms, takes
four times as long. The load is far below the capacity, so that every late
answer is caused by starting during a slowdown.
"""

import heapq
import random

from cornelbeam_core.target_gate import TargetGate
from cornelbeam_core.tickets import ColdBound, Ticket

HOST_COUNT = 4
SLOWDOWN_S = 0.3
SLOW_SHARE = 0.25
WORK_S = 0.16
OBJECTIVE_S = 0.45
REQUEST_COUNT = 2000
SEEDS = (1, 2, 3)
# With the gate, nearly all callers must get their answer in time.
TARGET_SHARE = 0.97
LATE_SHARE = 0.85


class Host:
    """A target with a gate and the slowdowns of its host."""

    def __init__(self, rng, *, is_speed_reported) -> None:
        """Draw the slow periods of the whole run."""
        self.gate = TargetGate(ColdBound(factor=1.5, slack_count=5))
        self.gate.resize(20)
        self.is_speed_reported = is_speed_reported
        self.slow_periods = [
            rng.random() < SLOW_SHARE for _ in range(REQUEST_COUNT // 3)
        ]

    def factor(self, now_s) -> int:
        """Return how many times longer work takes at a time."""
        return 4 if self.slow_periods[int(now_s / SLOWDOWN_S)] else 1

    def report_speed(self, now_s) -> None:
        """Report the speed to the gate."""
        if self.is_speed_reported:
            self.gate.speed.note(self.factor(now_s) * 100, now_s)


def start_waiting(host, now_s, latencies, ends):
    """Start the calls that the gate admits."""
    host.report_speed(now_s)
    taken = host.gate.start_next(now_s)
    while taken is not None:
        duration_s = WORK_S * host.factor(now_s)
        arrived_at_s = taken.objective_at_s - OBJECTIVE_S
        latencies.append(now_s + duration_s - arrived_at_s)
        heapq.heappush(ends, (now_s + duration_s, id(host), host))
        taken = host.gate.start_next(now_s)


def simulate(seed, *, is_speed_reported):
    """Return the share of requests answered within the objective."""
    rng = random.Random(seed)
    hosts = [
        Host(rng, is_speed_reported=is_speed_reported)
        for _ in range(HOST_COUNT)
    ]
    latencies: list[float] = []
    ends: list[tuple[float, int, Host]] = []
    for number in range(REQUEST_COUNT):
        now_s = number / 50
        while ends and ends[0][0] <= now_s:
            _, _, ended = heapq.heappop(ends)
            ended.gate.finish('windows', WORK_S)
        for host in hosts:
            start_waiting(host, now_s, latencies, ends)
        nearest = number % HOST_COUNT
        order = hosts[nearest:] + hosts[:nearest]
        for host in order:
            host.report_speed(now_s)
            max_wait_s = 9 if host is order[-1] else 0.04
            made = Ticket(
                number,
                is_nested=False,
                priority=1,
                give_up_at_s=now_s + max_wait_s,
                objective_at_s=now_s + OBJECTIVE_S,
                deadline_s=now_s + 2,
                route='windows',
            )
            if host.gate.enqueue(made, now_s) is None:
                start_waiting(host, now_s, latencies, ends)
                break
    return sum(each <= OBJECTIVE_S for each in latencies) / REQUEST_COUNT


class TestNoisyNeighbours:
    """Guards against late answers of healthy targets on noisy hosts."""

    def test_nearly_all_in_time(self):
        for seed in SEEDS:
            assert simulate(seed, is_speed_reported=True) >= TARGET_SHARE

    def test_answers_are_late_without_speed_reports(self):
        """Verify that the simulation depends on the speed reports."""
        for seed in SEEDS:
            assert simulate(seed, is_speed_reported=False) < LATE_SHARE


MEAN_SLOWDOWN_S = 0.3
NESTED_WORK_S = 0.04
NESTED_COUNT = 2000
# Interval between speed samples while calls are held back.
SAMPLE_PERIOD_S = 0.025
# Work of 40 ms takes 160 ms during a slowdown. Holding it back for as long as
# its objective allows would add about 100 ms to most of these calls.
NESTED_MEAN_LIMIT_S = 0.17


def simulate_nested(seed):
    """Return the mean latency of short nested calls during slowdowns."""
    rng = random.Random(seed)
    durations_s = []
    for number in range(NESTED_COUNT):
        gate = TargetGate(ColdBound(factor=1.5, slack_count=5))
        gate.resize(8)
        gate.running_count += 1
        gate.finish('stock', NESTED_WORK_S)
        slowdown_end_s = rng.expovariate(1 / MEAN_SLOWDOWN_S)
        gate.enqueue(
            Ticket(
                number,
                is_nested=True,
                priority=1,
                give_up_at_s=0.5,
                objective_at_s=0.15,
                deadline_s=0.5,
                route='stock',
            ),
            0,
        )
        now_s = 0
        percent = 400
        gate.speed.note(percent, now_s)
        while gate.start_next(now_s) is None:
            now_s += SAMPLE_PERIOD_S
            percent = 400 if now_s < slowdown_end_s else 100
            gate.speed.note(percent, now_s)
        durations_s.append(now_s + NESTED_WORK_S * percent / 100)
    return sum(durations_s) / NESTED_COUNT


class TestNestedCallsInSlowdowns:
    """Guards against short nested calls that wait longer than they run.

    Their parent requests hold slots in the meantime.
    """

    def test_short_work_starts_at_once(self):
        for seed in SEEDS:
            assert simulate_nested(seed) <= NESTED_MEAN_LIMIT_S
