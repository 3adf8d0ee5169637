"""Tests of the order of tenants' calls at the gate, and of who is refused."""

import random

import pytest
from cornelbeam_core.target_gate import TargetGate
from cornelbeam_core.tickets import ColdBound, Refusal, Ticket

LIMIT = 8
WORK_S = 0.2


def ticket(call, tenant='school', **fields):
    """Create a ticket of a tenant with ample time."""
    settings = {
        'is_nested': False,
        'priority': 1,
        'give_up_at_s': 9,
        'objective_at_s': 5,
        'deadline_s': 9,
        'route': 'windows',
    }
    return Ticket(call, tenant=tenant, **(settings | fields))


def open_gate(running_count=LIMIT):
    """Create a gate with measured routes and calls that run already."""
    gate = TargetGate(ColdBound(factor=1.5, slack_count=5))
    gate.resize(10)
    for route, work_s in (('windows', WORK_S), ('short', 0.05)):
        gate.running_count += 1
        gate.finish(route, work_s)
    gate.running_count = running_count
    return gate


def ask(gate, now_s, made, count=1, *, is_served):
    """Count calls that were served or refused earlier."""
    for _ in range(count):
        gate.shedding.note_asked(made, now_s)
        if is_served:
            gate.shedding.note_started(made, now_s)


def start_all(gate, now_s=0):
    """Start all waiting calls one by one, and return their order."""
    order = []
    while gate.waiting_count:
        gate.running_count = 0
        order.append(gate.start_next(now_s).call)
    return order


class TestOrder:
    """Guards against serving first what costs callers less to delay."""

    def test_nested_calls_go_first(self):
        gate = open_gate()
        gate.enqueue(ticket('urgent', priority=0), 0)
        gate.enqueue(ticket('nested', '', is_nested=True, priority=2), 0)
        assert start_all(gate) == ['nested', 'urgent']

    def test_late_call_goes_after_one_in_time(self):
        gate = open_gate(running_count=0)
        gate.enqueue(ticket('late', priority=0, objective_at_s=0.1), 0)
        gate.enqueue(ticket('in time', priority=2), 0)
        assert start_all(gate) == ['in time', 'late']

    def test_priority_goes_before_work_and_work_before_time_left(self):
        gate = open_gate()
        gate.enqueue(ticket('soon', objective_at_s=4), 0)
        gate.enqueue(ticket('short', route='short'), 0)
        gate.enqueue(ticket('later'), 0)
        gate.enqueue(ticket('urgent', priority=0), 0)
        assert start_all(gate) == ['urgent', 'short', 'soon', 'later']

    def test_large_use_goes_before_no_equal_call(self):
        gate = open_gate()
        large, small = ticket('large', 'large'), ticket('small', 'small')
        ask(gate, 0, small, 5, is_served=True)
        ask(gate, 0, large, 40, is_served=True)
        ask(gate, 0, large, 40, is_served=False)
        gate.enqueue(large, 1)
        gate.enqueue(small, 1)
        assert start_all(gate, 1) == ['small', 'large']

    def test_burst_goes_after_less_urgent_calls_of_others(self):
        gate = open_gate()
        burst = ticket('burst', 'burst', priority=0)
        for number in range(10):
            usual = ticket(number, f'usual-{number}')
            ask(gate, 0, usual, 5, is_served=True)
            ask(gate, 0, usual, 10, is_served=False)
        ask(gate, 0, burst, 100, is_served=True)
        ask(gate, 0, burst, 20, is_served=False)
        gate.enqueue(burst, 1)
        gate.enqueue(ticket('usual', 'usual-1'), 1)
        assert start_all(gate, 1) == ['usual', 'burst']

    def test_starving_tenant_goes_before_more_urgent_calls(self):
        gate = open_gate()
        starving = ticket('starving', 'starving', priority=2)
        urgent = ticket('urgent', 'served', priority=0)
        ask(gate, 0, urgent, 30, is_served=True)
        ask(gate, 0, starving, 10, is_served=False)
        gate.enqueue(urgent, 1)
        gate.enqueue(starving, 1)
        assert start_all(gate, 1) == ['starving', 'urgent']

    @pytest.mark.parametrize(
        ('refusal_count', 'is_first'), [(0, False), (1, True)]
    )
    def test_tenant_starves_by_refusals_and_not_by_its_first_call(
        self, refusal_count, is_first
    ):
        gate = open_gate()
        new = ticket('new', 'new', priority=2)
        urgent = ticket('urgent', 'served', priority=0)
        ask(gate, 0, urgent, 30, is_served=True)
        ask(gate, 0, new, refusal_count, is_served=False)
        gate.enqueue(new, 1)
        gate.enqueue(urgent, 1)
        assert (start_all(gate, 1)[0] == 'new') is is_first


class TestKinds:
    """Guards against an urgent kind that is served less than another one."""

    def test_call_of_an_underserved_kind_waits_beyond_its_objective(self):
        """Its objective leaves no time to wait, so each would be refused."""
        gate = open_gate()
        urgent = ticket('urgent', priority=0, objective_at_s=1.2)
        assert gate.refusal_for(urgent, 1) is Refusal.FULL
        less_urgent = ticket('less', priority=2, route='short')
        ask(gate, 1, less_urgent, 20, is_served=True)
        ask(gate, 1, urgent, 5, is_served=False)
        assert gate.enqueue(urgent, 1) is None

    def test_use_of_its_tenant_holds_no_underserved_kind_back(self):
        gate = open_gate()
        urgent = ticket('urgent', 'large', priority=0)
        usual = ticket('usual', 'small', priority=2, route='short')
        ask(gate, 0, usual, 10, is_served=True)
        ask(gate, 0, urgent, 40, is_served=True)
        ask(gate, 0, urgent, 40, is_served=False)
        gate.enqueue(usual, 1)
        gate.enqueue(urgent, 1)
        assert start_all(gate, 1) == ['urgent', 'usual']


class TestRefusals:
    """Guards against refusing calls whose refusal costs more than another."""

    def test_urgent_call_does_not_wait_behind_the_queue(self):
        gate = open_gate()
        for number in range(10):
            assert gate.enqueue(ticket(number, priority=2), 0) is None
        hasty = ticket('hasty', priority=0, objective_at_s=0.3)
        assert gate.enqueue(hasty, 0) is None
        last = ticket('last', priority=3, objective_at_s=0.3)
        assert gate.enqueue(last, 0) is Refusal.FULL

    def test_waiting_call_that_is_overtaken_too_often_is_evicted(self):
        gate = open_gate()
        fields = {'deadline_s': 0.5, 'objective_at_s': 0.5}
        assert gate.enqueue(ticket('first', priority=2, **fields), 0) is None
        assert not gate.shedding.evict(0)
        for number in range(14):
            gate.enqueue(ticket(number, priority=0), 0)
        evicted = gate.shedding.evict(0)
        assert [(each.call, why) for each, why in evicted] == [
            ('first', Refusal.TOO_LATE)
        ]
        assert gate.waiting_count == 14

    def test_call_past_its_latest_start_is_evicted(self):
        gate = open_gate()
        gate.enqueue(ticket('first', deadline_s=1), 0)
        assert not gate.shedding.evict(0.7)
        assert gate.shedding.evict(0.9)[0][1] is Refusal.TOO_LATE

    def test_full_queue_evicts_its_last_call(self):
        gate = open_gate()
        for number in range(4 * LIMIT):
            assert gate.enqueue(ticket(number, priority=2), 0) is None
        assert gate.enqueue(ticket('more', priority=2), 0) is Refusal.FULL
        assert gate.enqueue(ticket('urgent', priority=0), 0) is None
        evicted = gate.shedding.evict(0)
        assert [(each.priority, why) for each, why in evicted] == [
            (2, Refusal.FULL)
        ]

    def test_call_that_others_will_overtake_is_refused_at_once(self):
        gate = open_gate()
        urgent = ticket('urgent', priority=0)
        fields = {'priority': 2, 'objective_at_s': 0.45}
        gate.enqueue(ticket(1, **fields), 0)
        gate.enqueue(ticket(2, **fields), 0)
        assert gate.refusal_for(ticket(3, **fields), 0) is None
        ask(gate, 0, urgent, 1000, is_served=True)
        assert gate.refusal_for(ticket(3, **fields), 0) is Refusal.FULL


class TestWithoutTenants:
    """Guards against other decisions where the configuration has no tenants."""

    @pytest.mark.parametrize('seed', range(5))
    def test_calls_start_in_order_of_arrival(self, seed):
        """Nested calls and those in time go first, then by priority."""
        rng = random.Random(seed)
        gate = open_gate(running_count=0)
        waiting: list[Ticket] = []
        decision_count = 0
        refused_count = 0
        for step in range(2000):
            now_s = step / 100
            made = random_ticket(rng, now_s)
            expected = expected_refusal(gate, made, len(waiting), now_s)
            assert gate.enqueue(made, now_s) is expected
            if expected is None:
                waiting.append(made)
            else:
                refused_count += 1
            assert not gate.shedding.evict(now_s)
            if gate.running_count and rng.randrange(5) < 3:
                gate.finish('windows', rng.uniform(0.07, 0.22))
            first = expected_start(gate, waiting, now_s)
            assert gate.start_next(now_s) is first
            if first is not None:
                waiting.remove(first)
                decision_count += 1
        assert decision_count > 500
        assert refused_count > 100
        assert not gate.shedding.is_active

    def test_no_state_is_kept(self):
        gate = open_gate()
        shedding = gate.shedding
        for number in range(100):
            gate.enqueue(ticket(number, '', route=f'route-{number}'), 0)
            gate.withdraw(number)
        states = shedding._tenants, shedding._kinds, shedding._leads
        assert not any(len(state) for state in states)

    def test_order_of_arrival_holds_again_without_calls_of_tenants(self):
        gate = open_gate()
        gate.enqueue(ticket('tenant'), 0)
        assert gate.shedding.is_active
        gate.withdraw('tenant')
        for number in range(60):
            gate.enqueue(ticket(number, ''), number)
            gate.withdraw(number)
        assert not gate.shedding.is_active
        fields = {'give_up_at_s': 69, 'objective_at_s': 65, 'deadline_s': 69}
        gate.enqueue(ticket('long', '', **fields), 60)
        gate.enqueue(ticket('short', '', route='short', **fields), 60)
        gate.running_count = 0
        assert gate.start_next(60).call == 'long'


def random_ticket(rng, now_s):
    """Create a ticket without a tenant."""
    objective_at_s = now_s + rng.uniform(0.1, 1.1)
    deadline_s = objective_at_s + rng.uniform(0.1, 0.5)
    return ticket(
        object(),
        '',
        is_nested=rng.randrange(10) == 0,
        priority=rng.choice((0, 1, 1, 2)),
        objective_at_s=objective_at_s,
        deadline_s=deadline_s,
        give_up_at_s=rng.choice((deadline_s, now_s + 0.02)),
    )


def expected_refusal(gate, made, waiting_count, now_s):
    """Apply the rules of arrival: all waiting calls are ahead."""
    work_s = gate.service_s(made.route)
    wait_s = gate.wait_s(now_s, is_nested=made.is_nested)
    if now_s + wait_s > made.give_up_at_s:
        return Refusal.FULL
    if now_s + wait_s + work_s > made.deadline_s:
        return Refusal.TOO_LATE
    is_late = now_s + wait_s + work_s > made.objective_at_s
    if wait_s and is_late and not made.is_nested:
        return Refusal.FULL
    return Refusal.FULL if waiting_count >= 4 * gate.limit else None


def expected_start(gate, waiting, now_s):
    """Apply the order of arrival to the calls that wait."""
    if not waiting or gate.running_count >= gate.slot_count:
        return None
    first = min(
        waiting,
        key=lambda each: (
            not each.is_nested,
            now_s + gate.service_s(each.route) > each.objective_at_s,
            each.priority,
        ),
    )
    limit = gate.slot_count if first.is_nested else gate.limit
    return first if gate.running_count < limit else None
