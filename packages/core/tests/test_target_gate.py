"""Tests of the gate that admits calls to a target."""

from cornelbeam_core.target_gate import TargetGate
from cornelbeam_core.tickets import ColdBound, Refusal, Ticket

SLOTS = 10
LIMIT = 8
COLD_FACTOR = 1.5
COLD_SLACK = 5


def ticket(
    call,
    *,
    nested=False,
    priority=1,
    give_up=9.0,
    objective=0.5,
    route='windows',
):
    """Create a ticket with a deadline of nine seconds."""
    return Ticket(call, nested, priority, give_up, objective, 9, route)


def open_gate():
    """Create a gate with ten slots, eight of them for ordinary calls."""
    gate = TargetGate(ColdBound(COLD_FACTOR, COLD_SLACK))
    gate.resize(SLOTS)
    return gate


def measured_gate():
    """Create a gate that has measured a service time of 0.2 s."""
    gate = open_gate()
    gate.enqueue(ticket('first'), 0)
    gate.start_next(0)
    gate.finish('windows', 0.2)
    return gate


def fill(gate, now_s=0):
    """Start as many calls as the limit allows."""
    for call in range(LIMIT):
        assert gate.enqueue(ticket(f'f{call}'), now_s) is None
        assert gate.start_next(now_s) is not None


class TestSlots:
    """Guards against more calls than a target can run at full speed."""

    def test_call_beyond_the_limit_waits(self):
        gate = open_gate()
        fill(gate)
        assert gate.enqueue(ticket('next'), 0) is None
        assert gate.start_next(0) is None
        gate.finish('windows', 0.2)
        assert gate.start_next(0).call == 'next'

    def test_call_with_a_short_wait_is_refused_at_once(self):
        gate = open_gate()
        fill(gate)
        assert gate.enqueue(ticket('next', give_up=0.001), 0) is Refusal.FULL

    def test_call_that_cannot_start_in_time_is_refused(self):
        gate = open_gate()
        fill(gate)
        late = Ticket('late', False, 1, 99, 0, 0.001, 'windows')
        assert gate.enqueue(late, 0) is Refusal.TOO_LATE

    def test_nested_call_uses_the_reserved_slots(self):
        """A request holds its slot until its nested calls are answered."""
        gate = open_gate()
        fill(gate)
        assert gate.enqueue(ticket('waits'), 0) is None
        assert gate.enqueue(ticket('nested', nested=True), 0) is None
        assert gate.start_next(0).call == 'nested'
        assert gate.start_next(0) is None

    def test_lower_priority_waits_longer(self):
        gate = open_gate()
        fill(gate)
        gate.enqueue(ticket('later', priority=2), 0)
        gate.enqueue(ticket('first', priority=0), 0)
        gate.finish('windows', 0.2)
        assert gate.start_next(0).call == 'first'

    def test_withdrawn_call_does_not_run(self):
        gate = open_gate()
        fill(gate)
        gate.enqueue(ticket('gone'), 0)
        gate.withdraw('gone')
        gate.finish('windows', 0.2)
        assert gate.start_next(0) is None
        assert gate.waiting_count == 0


class TestQuestions:
    """Guards against questions that cost a slot, a place or a cold start."""

    def test_question_tells_what_the_queue_would_say(self):
        gate = open_gate()
        assert gate.refusal_for(ticket('next'), 0) is None
        fill(gate)
        hasty = ticket('next', give_up=0.001)
        assert gate.refusal_for(hasty, 0) is Refusal.FULL
        late = Ticket('late', False, 1, 99, 0, 0.001, 'windows')
        assert gate.refusal_for(late, 0) is Refusal.TOO_LATE

    def test_question_takes_no_place(self):
        gate = open_gate()
        for number in range(LIMIT * 10):
            assert gate.refusal_for(ticket(number), 0) is None
        assert (gate.waiting_count, gate.running_count) == (0, 0)
        assert gate.start_next(0) is None

    def test_question_does_not_use_the_cold_rate(self):
        counts = []
        for question_count in (0, 100):
            gate = open_gate()
            gate.set_cold(0, 3, 6)
            for number in range(question_count):
                gate.refusal_for(ticket(number), 0)
            for number in range(LIMIT):
                gate.enqueue(ticket(number), 0)
            counts.append(sum(gate.start_next(0) is not None for _ in range(9)))
        assert counts[0] == counts[1]
        assert counts[0] > 0

    def test_bodies_on_their_way_count_as_queued(self):
        """Otherwise many bodies are sent for the one slot that is free."""
        gate = open_gate()
        fill(gate)
        gate.finish('windows', 0.2)
        hasty = ticket('next', give_up=0.001)
        assert gate.refusal_for(hasty, 0) is None
        assert gate.refusal_for(hasty, 0, 1) is Refusal.FULL
        assert gate.refusal_for(ticket('nested', nested=True), 0, 1) is None


class TestColdTarget:
    """Guards against overloading a cold target."""

    def test_rate_holds_in_every_second(self):
        """Simulate three seconds of calls at five times the cold rate."""
        gate = open_gate()
        rate = 6
        gate.set_cold(0, 3, rate)
        started = []
        for tick in range(3 * 30):
            now_s = tick / 30
            gate.enqueue(ticket(tick), now_s)
            taken = gate.start_next(now_s)
            while taken is not None:
                started.append(now_s)
                gate.finish('windows', 0.1)
                taken = gate.start_next(now_s)
        assert len(started) >= rate * 3 - 3
        for start_s in started:
            window = [each for each in started if start_s <= each < start_s + 1]
            assert len(window) <= rate * COLD_FACTOR + COLD_SLACK

    def test_starts_before_it_is_known_count(self):
        """The target turns cold at 0 s, and says so at 0.2 s."""
        gate = open_gate()
        rate, known_at_s = 6, 0.2
        started = []
        for tick in range(60):
            now_s = tick / 30
            if now_s >= known_at_s and not gate.is_cold(now_s):
                gate.set_cold(now_s, 3, rate)
            gate.enqueue(ticket((tick, 1)), now_s)
            gate.enqueue(ticket((tick, 2)), now_s)
            while gate.start_next(now_s) is not None:
                started.append(now_s)
                gate.finish('windows', 0.1)
        first = [each for each in started if each < 1]
        assert len(first) <= rate * COLD_FACTOR + COLD_SLACK
        assert len(started) > len(first) + rate

    def test_call_that_is_sent_again_counts(self):
        gate = open_gate()
        gate.set_cold(0, 3, 1)
        sent_count = 0
        while gate.may_send_again(0):
            sent_count += 1
        assert 0 < sent_count < COLD_SLACK
        gate.enqueue(ticket('next'), 0)
        assert gate.start_next(0) is None

    def test_most_of_the_bound_is_used(self):
        """After a power failure all targets are cold, and callers wait."""
        gate = open_gate()
        rate, length_s = 6, 3
        gate.set_cold(0, length_s, rate)
        started_count = 0
        for tick in range(length_s * 30):
            now_s = tick / 30
            gate.enqueue(ticket(tick), now_s)
            while gate.start_next(now_s) is not None:
                started_count += 1
                gate.finish('windows', 0.1)
        bound_count = rate * COLD_FACTOR + COLD_SLACK
        assert started_count >= 0.75 * bound_count * length_s

    def test_rate_is_not_limited_when_warm(self):
        gate = open_gate()
        gate.set_cold(0, 1, 1)
        fill(gate, now_s=1.5)
        assert gate.running_count == LIMIT


class TestSlowdown:
    """Guards against starting work while a neighbour slows the host."""

    def test_call_that_would_be_late_waits_for_the_end(self):
        gate = measured_gate()
        gate.speed.note(400, 0)
        assert gate.enqueue(ticket('spell'), 0) is None
        assert gate.start_next(0) is None
        gate.speed.note(100, 0.1)
        assert gate.start_next(0.1).call == 'spell'

    def test_short_call_behind_a_long_one_starts(self):
        gate = measured_gate()
        gate.speed.note(400, 0)
        gate.enqueue(ticket('long'), 0)
        gate.enqueue(ticket('ample', objective=2), 0)
        assert gate.start_next(0).call == 'ample'

    def test_first_call_of_a_route_waits_too(self):
        gate = measured_gate()
        gate.running_count += 1
        gate.finish('short', 0.001)
        gate.speed.note(400, 0)
        gate.enqueue(ticket('first', route='unseen'), 0)
        assert gate.start_next(0) is None

    def test_late_call_does_not_wait(self):
        gate = measured_gate()
        gate.speed.note(400, 0)
        gate.enqueue(ticket('late', objective=0), 0)
        assert gate.start_next(0).call == 'late'

    def test_call_with_a_short_wait_goes_elsewhere(self):
        gate = measured_gate()
        gate.speed.note(400, 0)
        assert gate.enqueue(ticket('next', give_up=0.05), 0) is Refusal.FULL


class TestOverload:
    """Guards against a queue in which every call just misses its objective.

    Simulates three seconds in which twice as many calls arrive as the target
    can serve, each with an objective of half a second.
    """

    def test_most_of_the_capacity_is_in_time(self):
        gate = measured_gate()
        work_s, arrivals_per_s, length_s = 0.2, 80, 3
        ends: list[float] = []
        in_time_count = 0
        for tick in range(length_s * arrivals_per_s):
            now_s = tick / arrivals_per_s
            ended = [each for each in ends if each <= now_s]
            for end_s in ended:
                ends.remove(end_s)
                gate.finish('windows', work_s)
            made = Ticket(tick, False, 1, 99, now_s + 0.5, now_s + 2, 'windows')
            gate.enqueue(made, now_s)
            taken = gate.start_next(now_s)
            while taken is not None:
                ends.append(now_s + work_s)
                in_time_count += now_s + work_s <= taken.objective_at_s
                taken = gate.start_next(now_s)
        capacity = LIMIT / work_s * length_s
        assert in_time_count >= 0.9 * capacity

    def test_call_that_would_be_late_is_refused_at_once(self):
        """An early refusal leaves the caller the most time to retry."""
        gate = measured_gate()
        fill(gate)
        refusals = [gate.enqueue(ticket(call), 0) for call in range(40)]
        assert refusals[0] is None
        assert refusals[-1] is Refusal.FULL
        assert gate.waiting_count <= 0.5 * LIMIT / 0.2


class TestUnmeasuredRoute:
    """Guards against refusing the calls of a route that was never measured."""

    def test_slow_route_does_not_shut_out_a_short_one(self):
        """No call of the route would ever run and be measured."""
        gate = open_gate()
        gate.running_count += 1
        gate.finish('history', 10)
        assert gate.enqueue(ticket('first', nested=True, route='rates'), 0) is (
            None
        )
