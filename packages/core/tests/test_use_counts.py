"""Tests of the decayed counts of use by tenant."""

import math
import random

from cornelbeam_core.use_counts import (
    DECAY_S,
    MAX_KEY_COUNT,
    UseCount,
    UseTable,
    water_level_s,
)


class TestState:
    """Guards against state that grows with tenants that don't ask."""

    def test_tenant_that_asks_no_more_is_dropped(self):
        table = UseTable()
        table.get_or_add('gone').add_asked(0, 0.2)
        table.get_or_add('stays').add_asked(0, 0.2)
        for now_s in range(60):
            table.get_or_add('stays').add_asked(now_s, 0.2)
        table.decay(60)
        assert [name for name, _ in table.items()] == ['stays']

    def test_table_is_bounded_and_keeps_who_asked_last(self):
        table = UseTable()
        for number in range(MAX_KEY_COUNT + 10):
            table.get_or_add('busy').add_asked(0, 0.2)
            table.get_or_add(number).add_asked(0, 0.2)
        assert len(table) == MAX_KEY_COUNT
        assert table.get('busy') is not None
        assert table.get(0) is None

    def test_old_use_counts_less(self):
        count = UseCount()
        count.add_asked(0, 0.2)
        count.add_started(0, 0.2)
        count.decay(DECAY_S)
        assert math.isclose(count.asked_count, math.exp(-1))
        assert count.started_share == 1

    def test_clock_that_steps_back_changes_nothing(self):
        count = UseCount()
        count.add_asked(10, 0.2)
        count.decay(5)
        assert count.asked_count == 1


class TestFairShare:
    """Guards against shares that leave capacity unused or favor the large."""

    def test_all_is_used_and_nobody_gets_more(self):
        rng = random.Random(1)
        for _ in range(100):
            demands_s = [rng.expovariate(1) for _ in range(rng.randint(1, 75))]
            capacity_s = sum(demands_s) * rng.uniform(0.1, 0.9)
            level_s = water_level_s(demands_s, capacity_s)
            used_s = sum(min(level_s, each) for each in demands_s)
            assert math.isclose(used_s, capacity_s)

    def test_no_share_without_shortage(self):
        assert water_level_s([], 0) == float('inf')
        assert water_level_s([0.5], 1) == float('inf')
