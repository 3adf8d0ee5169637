"""Choice of the daemons that read the store, and of those that others ask."""

from collections import Counter

import pytest
from cornelbeam_core.freshness_sources import (
    FAN_OUT,
    STANDBY_COUNT,
    order_sources,
    plan_sources,
)


def fleet(size, domain_count) -> dict[str, str]:
    """Return the domains of daemons by name."""
    return {f'd-{each}': f'zone-{each % domain_count}' for each in range(size)}


class TestPlan:
    """Guards against store calls or queries that grow with the fleet."""

    @pytest.mark.parametrize(
        ('size', 'domain_count', 'max_level'),
        [(65, 4, 1), (300, 4, 2), (3000, 2, 2)],
    )
    def test_each_domain_has_one_reader_and_a_bounded_number_of_queries(
        self, size, domain_count, max_level
    ):
        domains = fleet(size, domain_count)
        sampled = tuple(domains)[:: max(1, size // 300)]
        plans = {name: plan_sources(name, domains) for name in sampled}
        queries = Counter(
            plan.near[0] for plan in plans.values() if plan.role.level
        )
        assert max(queries.values()) <= FAN_OUT
        assert max(plan.role.level for plan in plans.values()) == max_level
        if len(sampled) == size:
            readers = [
                domains[name]
                for name, plan in plans.items()
                if plan.role.level == 0
            ]
            assert sorted(readers) == sorted(set(domains.values()))

    def test_sources_are_near_first(self):
        domains = fleet(65, 4)
        for name in domains:
            plan = plan_sources(name, domains)
            assert {domains[near] for near in plan.near} == {domains[name]}
            assert domains[name] not in {domains[far] for far in plan.far}
            assert len(plan.far) == 3
            assert name not in plan.near
            assert len(plan.near) >= STANDBY_COUNT - 1

    def test_all_daemons_choose_the_same_reader(self):
        domains = fleet(65, 4)
        chosen = {
            domains[name]: {
                plan_sources(other, domains).near[0]
                for other in domains
                if domains[other] == domains[name]
                and plan_sources(other, domains).role.level == 1
            }
            for name in tuple(domains)[:4]
        }
        assert all(len(readers) == 1 for readers in chosen.values())

    def test_daemon_alone_has_no_sources(self):
        plan = plan_sources('d-0', fleet(1, 1))
        assert (plan.near, plan.far, plan.role.standby_rank) == ((), (), 0)


class TestFailedSources:
    """Guards against a reader that nobody replaces."""

    def test_next_daemon_takes_the_place_of_a_silent_reader(self):
        domains = fleet(8, 1)
        plans = [plan_sources(name, domains) for name in domains]
        by_rank = {plan.role.standby_rank: plan for plan in plans}
        reader = by_rank[1].preceding[0]
        assert by_rank[1].role_without([reader]).standby_rank == 0
        assert by_rank[1].role_without([reader]).level == 0
        assert by_rank[2].role_without([reader]).standby_rank == 1
        assert by_rank[None].role_without([reader]).standby_rank is None
        assert order_sources(by_rank[2], [reader], is_far_allowed=True)[-1] == (
            reader
        )
