"""Plays noisy neighbours: hosts that are slow a quarter of the time.

Each host has spells of some 300 ms in which work that starts takes four times
as long. The played load is far below the capacity, so that every late answer
comes from a slow start.
"""

import heapq
import random

from cornelbeam_core.target_gate import ColdBound, TargetGate, Ticket

HOST_COUNT = 4
SPELL_S = 0.3
SLOW_SHARE = 0.25
WORK_S = 0.16
OBJECTIVE_S = 0.45
REQUEST_COUNT = 2000
SEEDS = (1, 2, 3)
# What the gate is for: nearly all callers get their answer in time.
TARGET_SHARE = 0.97
LATE_SHARE = 0.85


class Host:
    """One target with a gate, and the spells of its host."""

    def __init__(self, rng, *, tells_speed) -> None:
        """Draw the spells of the whole run."""
        self.gate = TargetGate(ColdBound(factor=1.5, slack_count=5))
        self.gate.resize(20)
        self.tells_speed = tells_speed
        self.spells = [
            rng.random() < SLOW_SHARE for _ in range(REQUEST_COUNT // 3)
        ]

    def factor(self, now_s) -> int:
        """Give the speed at a time."""
        return 4 if self.spells[int(now_s / SPELL_S)] else 1

    def look(self, now_s) -> None:
        """Tell the gate the speed."""
        if self.tells_speed:
            self.gate.speed.note(self.factor(now_s) * 100, now_s)


def start_waiting(host, now_s, latencies, ends):
    """Bring into work what the gate lets in."""
    host.look(now_s)
    taken = host.gate.take_next(now_s)
    while taken is not None:
        took_s = WORK_S * host.factor(now_s)
        born_s = taken.objective_at_s - OBJECTIVE_S
        latencies.append(now_s + took_s - born_s)
        heapq.heappush(ends, (now_s + took_s, id(host), host))
        taken = host.gate.take_next(now_s)


def play(seed, *, tells_speed):
    """Give the share of requests answered within the objective."""
    rng = random.Random(seed)
    hosts = [Host(rng, tells_speed=tells_speed) for _ in range(HOST_COUNT)]
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
            host.look(now_s)
            patience_s = 9 if host is order[-1] else 0.04
            made = Ticket(
                number,
                is_nested=False,
                priority=1,
                give_up_at_s=now_s + patience_s,
                objective_at_s=now_s + OBJECTIVE_S,
                deadline_s=now_s + 2,
                route='windows',
            )
            if host.gate.offer(made, now_s) is None:
                start_waiting(host, now_s, latencies, ends)
                break
    return sum(each <= OBJECTIVE_S for each in latencies) / REQUEST_COUNT


class TestNoisyNeighbours:
    """Guards against late answers of sound targets on noisy hosts."""

    def test_nearly_all_in_time(self):
        for seed in SEEDS:
            assert play(seed, tells_speed=True) >= TARGET_SHARE

    def test_load_is_late_without_the_figure(self):
        """The played load must be one that the gate makes a difference to."""
        for seed in SEEDS:
            assert play(seed, tells_speed=False) < LATE_SHARE


MEAN_SPELL_S = 0.3
NESTED_WORK_S = 0.04
NESTED_COUNT = 2000
# Time between the looks at the speed while calls are held back.
LOOK_S = 0.025
# Work of 40 ms takes 160 ms in a spell; holding it back for as long as its
# own objective allows would add some 100 ms to most of these calls.
NESTED_MEAN_LIMIT_S = 0.17


def play_nested(seed):
    """Give the mean time of short nested calls that arrive in spells."""
    rng = random.Random(seed)
    took_s = []
    for number in range(NESTED_COUNT):
        gate = TargetGate(ColdBound(factor=1.5, slack_count=5))
        gate.resize(8)
        gate.running_count += 1
        gate.finish('stock', NESTED_WORK_S)
        spell_end_s = rng.expovariate(1 / MEAN_SPELL_S)
        gate.offer(
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
        while gate.take_next(now_s) is None:
            now_s += LOOK_S
            percent = 400 if now_s < spell_end_s else 100
            gate.speed.note(percent, now_s)
        took_s.append(now_s + NESTED_WORK_S * percent / 100)
    return sum(took_s) / NESTED_COUNT


class TestNestedCallsInSpells:
    """Guards against short calls that wait longer than the work takes.

    Their parents hold slots meanwhile.
    """

    def test_short_work_starts_at_once(self):
        for seed in SEEDS:
            assert play_nested(seed) <= NESTED_MEAN_LIMIT_S
