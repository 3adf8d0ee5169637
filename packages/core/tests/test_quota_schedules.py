"""Quotas of a simulated fleet, over seeded schedules of load and failures."""

import random
from functools import partial

import pytest
from cornelbeam_core.budget import TokenBucket
from cornelbeam_core.quota_shares import CHANGE_DELAY_S
from cornelbeam_core.tenants import TenantRule
from hypothesis import given, settings
from hypothesis import strategies as st
from quota_fleet import Fleet, busiest_window, tolerated

DAEMON_COUNT = 65
DURATION_S = 20
START_S = 10
USABLE = 0.95
OVERLOAD = 7.5 / 1.6
RATES = (0.5, 3, 5, 20, 200)
LARGE = TenantRule('school', (), rate_per_s=100, burst_count=30)


def make_fleet(rule, domain_count=3, daemon_count=DAEMON_COUNT) -> Fleet:
    """Create a fleet that has been running for long."""
    fleet = Fleet(rule)
    for number in range(daemon_count):
        fleet.add(
            f'place-{number}',
            f'domain-{number % domain_count}',
            joined_at_s=float('-inf'),
        )
    fleet.run(START_S)
    return fleet


def send(fleet, factor, choose, *, duration_s=DURATION_S, rng=None) -> int:
    """Send ``factor`` times the limit; return the number of requests.

    ``choose`` returns a daemon by the number of the request. With ``rng``,
    the requests arrive at random instead of evenly.
    """
    per_s = fleet.rule.rate_per_s * factor
    at_s = fleet.now_s
    end_s = at_s + duration_s
    count = 0
    while at_s < end_s:
        fleet.at(at_s, partial(fleet.request, choose(count)))
        count += 1
        at_s += rng.expovariate(per_s) if rng else 1 / per_s
    return count


def learn_late(name) -> float:
    """Return the longest time in which a daemon learns of a change."""
    return CHANGE_DELAY_S


def all_in_turn(number) -> str:
    """Choose all daemons evenly."""
    return f'place-{number % DAEMON_COUNT}'


def always_one(number) -> str:
    """Choose a single daemon."""
    return 'place-7'


def between_domains(number) -> str:
    """Choose the daemons of one domain, and later those of the next."""
    return f'place-{number // 100 % 3 + 3 * (number % 20)}'


PLACES = (all_in_turn, always_one, between_domains)


class TestUse:
    """Guards against a limit of which a part can't be used."""

    @pytest.mark.parametrize('rate_per_s', RATES)
    @pytest.mark.parametrize('burst_count', [0, 4, 60])
    @pytest.mark.parametrize('choose', PLACES)
    @pytest.mark.parametrize('factor', [1, OVERLOAD])
    def test_limit_is_kept_and_used(
        self, rate_per_s, burst_count, choose, factor
    ):
        rule = TenantRule(
            'school', (), rate_per_s=rate_per_s, burst_count=burst_count
        )
        fleet = make_fleet(rule)
        send(fleet, factor, choose)
        fleet.run(START_S + DURATION_S + 1)
        assert busiest_window(fleet.admitted_s) <= tolerated(rule)
        assert len(fleet.admitted_s) >= int(USABLE * rate_per_s * DURATION_S)

    @pytest.mark.parametrize('rate_per_s', RATES)
    @pytest.mark.parametrize('choose', PLACES)
    @pytest.mark.parametrize(
        ('factor', 'refused_share'),
        [(1 / 1.6, 0), (1, 1 - USABLE), (OVERLOAD, 1 - USABLE)],
    )
    def test_what_a_single_bucket_admits_is_not_refused(
        self, rate_per_s, choose, factor, refused_share
    ):
        """Requests arrive at random, within the rate and the burst."""
        rule = TenantRule(
            'school', (), rate_per_s=rate_per_s, burst_count=0.4 * rate_per_s
        )
        fleet = make_fleet(rule)
        rng = random.Random(7)
        bucket = TokenBucket(max(1, rule.burst_count), rule.rate_per_s)
        at_s = START_S
        for number in range(int(rate_per_s * factor * 60)):
            at_s += rng.expovariate(rate_per_s * factor)
            if bucket.try_take(at_s):
                fleet.at(at_s, partial(fleet.request, choose(number)))
        fleet.run(at_s + 1)
        count = len(fleet.refusals) + len(fleet.admitted_s)
        assert len(fleet.refusals) <= refused_share * count


class TestMessages:
    """Guards against messages for requests that are refused."""

    @pytest.mark.parametrize('choose', PLACES)
    def test_refused_requests_cost_fewer_queries_than_one(self, choose):
        fleet = make_fleet(LARGE)
        count = send(fleet, OVERLOAD, choose)
        fleet.run(START_S + DURATION_S + 1)
        refused = len(fleet.refusals)
        assert refused > count / 2
        assert fleet.query_count < count

    def test_usual_load_costs_one_query_a_request(self):
        fleet = make_fleet(LARGE)
        count = send(fleet, 1 / 1.6, all_in_turn)
        fleet.run(START_S + DURATION_S + 1)
        assert fleet.query_count <= count


class TestStatedDelay:
    """Guards against a delay after which the request is refused again."""

    @pytest.mark.parametrize('rate_per_s', RATES)
    def test_a_lone_caller_is_admitted_after_it(self, rate_per_s):
        rule = TenantRule('school', (), rate_per_s=rate_per_s, burst_count=2)
        fleet = make_fleet(rule)
        for _ in range(2 * int(tolerated(rule))):
            fleet.request('place-7')
        fleet.run(START_S + 1)
        fleet.refusals.clear()
        for _ in range(2 * int(tolerated(rule))):
            fleet.request('place-7')
        fleet.run(START_S + 1.1)
        assert fleet.refusals
        refused_s, _, wait_s = fleet.refusals[0]
        fleet.at(refused_s + wait_s, lambda: fleet.request('place-7'))
        admitted = len(fleet.admitted_s)
        fleet.run(refused_s + wait_s + 0.1)
        assert len(fleet.admitted_s) == admitted + 1


class TestFailures:
    """Guards against limits exceeded, or refusals, when daemons fail."""

    def test_the_rest_of_the_limit_is_usable_without_an_owner(self):
        fleet = make_fleet(LARGE)
        owner = fleet.daemons['place-7'].owners.owners('school', 'domain-1')[0]
        fleet.down.add(owner)
        send(fleet, 1 / 1.6, all_in_turn)
        fleet.run(START_S + DURATION_S + 1)
        assert len(fleet.refusals) < 0.01 * len(fleet.admitted_s)

    def test_a_restarted_owner_does_not_grant_the_burst_again(self):
        fleet = make_fleet(LARGE)
        send(fleet, OVERLOAD, all_in_turn)
        for second in range(1, DURATION_S):
            for owner in fleet.daemons['place-7'].owners.owners('school', ''):
                fleet.at(START_S + second + 0.5, partial(fleet.restart, owner))
        fleet.run(START_S + DURATION_S + 1)
        assert busiest_window(fleet.admitted_s) <= tolerated(LARGE)

    def test_a_new_owner_waits_until_the_old_one_knows(self):
        """Daemons are added until one of them is the new owner."""
        fleet = make_fleet(LARGE)
        owners = fleet.daemons['place-0'].owners
        old = owners.owners('school', 'domain-0')[0]
        new = ''
        while owners.owners('school', 'domain-0')[0] != new:
            new = f'new-{len(fleet.daemons)}'
            fleet.add(new, 'domain-0', learn_late)
            fleet.run(fleet.now_s)
            owners = fleet.daemons[new].owners
        fleet.run(fleet.now_s + CHANGE_DELAY_S / 2)
        assert fleet._grant(old, 1).count == 1
        assert fleet._grant(new, 1).count == 0
        fleet.run(fleet.now_s + CHANGE_DELAY_S)
        assert fleet._grant(old, 1).count == 0
        assert fleet._grant(new, 1).count == 1

    def test_both_sides_of_a_partition_keep_it_together(self):
        fleet = make_fleet(LARGE)
        fleet.parts = {
            daemon.name: daemon.domain == 'domain-0'
            for daemon in fleet.daemons.values()
        }
        send(fleet, OVERLOAD, all_in_turn)
        fleet.run(START_S + DURATION_S + 1)
        limit = LARGE.rate_per_s * DURATION_S
        assert busiest_window(fleet.admitted_s) <= tolerated(LARGE)
        assert len(fleet.admitted_s) >= USABLE * limit

    def test_a_daemon_that_reaches_no_owner_does_not_blame_the_tenant(self):
        fleet = make_fleet(LARGE)
        owners = fleet.daemons['place-7'].owners.owners('school', '')
        alone = next(name for name in fleet.daemons if name not in owners)
        fleet.parts = {alone: 'alone'}
        send(fleet, 1, lambda number: alone)
        fleet.run(START_S + DURATION_S + 1)
        assert not fleet.admitted_s
        assert {wait_s for _, _, wait_s in fleet.refusals} == {None}

    def test_a_lowered_limit_holds_after_a_window(self):
        fleet = make_fleet(LARGE)
        send(fleet, OVERLOAD, all_in_turn)
        fleet.run(START_S + 5)
        fleet.rule = TenantRule('school', (), rate_per_s=10, burst_count=3)
        fleet.run(START_S + DURATION_S + 1)
        later = [each for each in fleet.admitted_s if each > START_S + 5]
        assert busiest_window(later) <= tolerated(fleet.rule)

    def test_tokens_of_requests_that_run_nowhere_are_used_again(self):
        """All targets refuse for a second, every few seconds."""
        fleet = make_fleet(LARGE)
        per_s = LARGE.rate_per_s * OVERLOAD
        for number in range(int(per_s * DURATION_S)):
            at_s = START_S + number / per_s
            act = partial(
                fleet.request, all_in_turn(number), is_run=int(at_s) % 3 > 0
            )
            fleet.at(at_s, act)
        fleet.run(START_S + DURATION_S + 1)
        assert busiest_window(fleet.admitted_s) <= tolerated(LARGE)


class Changes:
    """Failures of owners, of which daemons learn at different times."""

    def __init__(self, fleet, rng) -> None:
        self.fleet = fleet
        self.rng = rng
        self.added_count = 0

    def plan(self, changes) -> None:
        """Plan changes, each by its time, kind and owner."""
        for at_s, kind, number in changes:
            self.fleet.at(
                START_S + at_s, partial(self.bring_about, kind, number)
            )

    def bring_about(self, kind, number) -> None:
        """Bring about a change of one of the owners."""
        daemon = self.rng.choice(tuple(self.fleet.daemons.values()))
        owners = daemon.owners.owners(self.fleet.rule.name, daemon.domain)
        owner = owners[number % len(owners)]
        if owner in self.fleet.daemons:
            getattr(self, kind)(owner)

    def kill(self, owner) -> None:
        """Kill an owner, which is restarted within a second."""
        self.fleet.down.add(owner)
        restarted_at_s = self.fleet.now_s + self.rng.random()
        self.fleet.at(restarted_at_s, partial(self._restart, owner))

    def remove(self, owner) -> None:
        """Remove an owner."""
        if len(self.fleet.daemons) > 2:
            self.fleet.remove(owner, self._lag_s)

    def add(self, owner) -> None:
        """Add a daemon in the domain of an owner."""
        self.added_count += 1
        domain = self.fleet.daemons[owner].domain
        self.fleet.add(f'new-{self.added_count}', domain, self._lag_s)

    def cut(self, owner) -> None:
        """Cut an owner off for a second, with a third of the others."""
        self.fleet.parts = {
            each: self.rng.randrange(3) // 2 for each in self.fleet.daemons
        }
        self.fleet.parts[owner] = 1
        self.fleet.at(self.fleet.now_s + 1, self.fleet.parts.clear)

    def _restart(self, owner) -> None:
        if owner in self.fleet.daemons:
            self.fleet.restart(owner)

    def _lag_s(self, name) -> float:
        return self.rng.uniform(0, CHANGE_DELAY_S)


class TestSchedules:
    """Guards against a limit that some order of failures exceeds."""

    @settings(deadline=None, max_examples=60, derandomize=True)
    @given(
        seed=st.integers(0, 2**32),
        rate_per_s=st.sampled_from((1, 20, 200)),
        burst_count=st.sampled_from((0, 20, 500)),
        factor=st.sampled_from((1, 2, OVERLOAD)),
        daemon_count=st.sampled_from((2, 4, 13)),
        changes=st.lists(
            st.tuples(
                st.floats(0, DURATION_S),
                st.sampled_from(('kill', 'remove', 'add', 'cut')),
                st.integers(0, 2),
            ),
            min_size=4,
            max_size=12,
        ),
    )
    def test_limit_is_kept(
        self, seed, rate_per_s, burst_count, factor, daemon_count, changes
    ):
        rng = random.Random(seed)
        rule = TenantRule(
            'school', (), rate_per_s=rate_per_s, burst_count=burst_count
        )
        fleet = make_fleet(rule, daemon_count=daemon_count)
        Changes(fleet, rng).plan(changes)
        send(
            fleet,
            factor,
            lambda number: f'place-{rng.randrange(daemon_count)}',
            rng=rng,
        )
        fleet.run(START_S + DURATION_S + 1)
        assert busiest_window(fleet.admitted_s) <= tolerated(rule)
