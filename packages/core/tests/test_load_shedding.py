"""Tests of the order of tenants' calls at the gate, and of who is refused."""

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

    def test_first_refusal_makes_no_tenant_starving(self):
        gate = open_gate()
        new = ticket('new', 'new', priority=2)
        urgent = ticket('urgent', 'served', priority=0)
        ask(gate, 0, urgent, 30, is_served=True)
        ask(gate, 0, new, 1, is_served=False)
        gate.enqueue(new, 1)
        gate.enqueue(urgent, 1)
        assert start_all(gate, 1) == ['urgent', 'new']


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
