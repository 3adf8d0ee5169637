"""Tests of the rate that a target states."""

import heapq
from collections import Counter

import pytest
from cornelbeam_core.attempt_order import AttemptOrder, time_left
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.placement import (
    PlacementRequest,
    TargetRecord,
    rank_targets,
)
from cornelbeam_core.rate_limit import RateBound, RateLimit, RateUse
from cornelbeam_core.target_gate import TargetGate
from cornelbeam_core.targets import LoadReport
from cornelbeam_core.tickets import ColdBound, Refusal, Ticket
from hypothesis import given, settings
from hypothesis import strategies as st

BOUND = RateBound()
AT_ONCE = (0,) * 99
RATES = st.floats(0, 40)
# Starts that callers ask for, as pauses between them in milliseconds.
PAUSES_MS = st.lists(st.integers(0, 120), min_size=50, max_size=400)


def tolerated(limit_per_s) -> float:
    """Return the most calls that operators tolerate in a window."""
    return limit_per_s * BOUND.factor * BOUND.window_s + BOUND.slack_count


def busiest_window(starts_s) -> int:
    """Return the most starts within a window."""
    return max(
        (
            sum(first <= each < first + BOUND.window_s for each in starts_s)
            for first in starts_s
        ),
        default=0,
    )


def start_when_permitted(limit, pauses_ms, from_s=0, use=RateUse.TOLERATED):
    """Ask for a start after each pause; return the times of the starts."""
    now_s = from_s
    starts_s = []
    for pause_ms in pauses_ms:
        now_s += pause_ms / 1000
        if limit.may_start(now_s, use):
            limit.note_start(now_s)
            starts_s.append(now_s)
    return starts_s


def limited(limit_per_s, now_s=0) -> RateLimit:
    """Return a limit that was stated after an answer without one."""
    limit = RateLimit(BOUND)
    limit.note_stated(None, now_s)
    limit.note_stated(limit_per_s, now_s)
    return limit


class TestBound:
    """Guards against more calls than a target in need accepts."""

    @settings(derandomize=True, deadline=None)
    @given(limit_per_s=RATES, pauses_ms=PAUSES_MS)
    def test_every_window_keeps_the_tolerated_bound(
        self, limit_per_s, pauses_ms
    ):
        starts_s = start_when_permitted(limited(limit_per_s), pauses_ms)
        assert busiest_window(starts_s) <= tolerated(limit_per_s)

    @settings(derandomize=True, deadline=None)
    @given(first=RATES, second=RATES, pauses_ms=PAUSES_MS)
    def test_lowered_rate_counts_earlier_calls(self, first, second, pauses_ms):
        limit = limited(max(first, second))
        start_when_permitted(limit, pauses_ms)
        lowered_s = sum(pauses_ms) / 1000
        lowest = min(first, second)
        limit.note_stated(lowest, lowered_s)
        later_s = start_when_permitted(limit, pauses_ms, lowered_s)
        assert busiest_window(later_s) <= tolerated(lowest)

    @settings(derandomize=True, deadline=None)
    @given(limit_per_s=RATES, pauses_ms=PAUSES_MS)
    def test_restart_of_the_daemon_grants_no_second_window(
        self, limit_per_s, pauses_ms
    ):
        """The next run learns of the limit from the first answer."""
        starts_s = start_when_permitted(limited(limit_per_s), pauses_ms)
        restarted_s = sum(pauses_ms) / 1000
        later_run = RateLimit(BOUND)
        later_run.note_stated(limit_per_s, restarted_s)
        starts_s += start_when_permitted(later_run, pauses_ms, restarted_s)
        assert busiest_window(starts_s) <= tolerated(limit_per_s)

    @settings(derandomize=True, deadline=None)
    @given(limit_per_s=st.floats(1, 40), pauses_ms=PAUSES_MS)
    def test_ordinary_calls_keep_the_stated_rate(self, limit_per_s, pauses_ms):
        starts_s = start_when_permitted(
            limited(limit_per_s), pauses_ms, use=RateUse.STATED
        )
        assert busiest_window(starts_s) <= limit_per_s * BOUND.window_s + 2


class TestStatements:
    """Guards against a limit that is forgotten, or kept for good."""

    def test_single_answer_without_the_limit_does_not_lift_it(self):
        limit = limited(5)
        limit.note_stated(None, 0.5)
        assert limit.is_active

    def test_answers_without_the_limit_lift_it(self):
        limit = limited(5)
        limit.note_stated(None, 1.5)
        assert len(start_when_permitted(limit, AT_ONCE, 2)) == 99

    def test_silence_does_not_lift_it(self):
        limit = limited(5)
        assert len(start_when_permitted(limit, AT_ONCE, 60)) < 99

    def test_target_that_accepts_nothing_is_still_asked(self):
        limit = limited(0)
        assert start_when_permitted(limit, (500,) * 40, use=RateUse.STATED)

    def test_wait_is_that_until_the_next_start(self):
        limit = limited(2)
        start_when_permitted(limit, AT_ONCE, use=RateUse.STATED)
        wait_s = limit.wait_s(0, 0, RateUse.STATED)
        assert not limit.may_start(wait_s - 0.01, RateUse.STATED)
        assert limit.may_start(wait_s + 0.01, RateUse.STATED)


class TestGate:
    """Guards against calls that bypass the stated rate at the gate."""

    def make_gate(self, limit_per_s):
        gate = TargetGate(ColdBound(1.5, 5))
        gate.resize(20)
        gate.rate_limit.note_stated(None, 0)
        gate.rate_limit.note_stated(limit_per_s, 0)
        return gate

    def start_all(self, gate, count, **changes):
        """Queue calls, start those that may and return their number."""
        for call in range(count):
            gate.enqueue(
                Ticket(call, **({'is_nested': False} | changes), **TIMES), 0
            )
        return sum(gate.start_next(0) is not None for _ in range(count))

    def test_ordinary_calls_wait_for_the_rate(self):
        gate = self.make_gate(4)
        assert self.start_all(gate, 9) == 2
        assert gate.next_start_delay_s(0) == pytest.approx(0.25)

    def test_calls_without_another_target_use_what_is_tolerated(self):
        gate = self.make_gate(4)
        assert self.start_all(gate, 9, is_last_resort=True) > 2

    def test_nested_calls_keep_the_bound(self):
        gate = self.make_gate(0.5)
        assert self.start_all(gate, 16, is_nested=True) <= tolerated(0.5)

    def test_nested_call_does_not_wait_for_the_stated_rate(self):
        gate = self.make_gate(2)
        self.start_all(gate, 4)
        gate.enqueue(Ticket('nested', True, **TIMES), 0)
        assert gate.start_next(0).call == 'nested'

    def test_cold_rate_holds_under_a_limit(self):
        gate = self.make_gate(30)
        gate.set_cold(0, 3, 1)
        assert self.start_all(gate, 16, is_last_resort=True) <= 2

    def test_short_wait_is_refused_with_its_reason(self):
        gate = self.make_gate(1)
        self.start_all(gate, 2)
        hasty = Ticket(
            'hasty', is_nested=False, **(TIMES | {'give_up_at_s': 0})
        )
        assert gate.refusal_for(hasty, 0) is Refusal.RATE_LIMITED

    def test_blocked_call_does_not_hold_up_one_that_may_start(self):
        gate = self.make_gate(1)
        self.start_all(gate, 4)
        gate.enqueue(Ticket('last', False, **TIMES, is_last_resort=True), 0)
        assert gate.start_next(0.5).call == 'last'


TIMES = {
    'priority': 1,
    'give_up_at_s': 9.0,
    'objective_at_s': 5.0,
    'deadline_s': 9.0,
    'route': 'windows',
}


class TestPartOfAServiceInNeed:
    """Guards against refusals while another target has room.

    Two of four targets state 5 requests a second each. 60 a second arrive for
    ten seconds, work takes 0.2 s and every target has ten usable slots, so that
    the other two can take 100 a second.
    """

    service_s = 0.2
    limits_per_s = {'a': 5, 'b': 5}

    def test_all_are_served_and_the_limits_are_kept(self):
        gates = {name: self.make_gate(name) for name in 'abcd'}
        records = [
            TargetRecord(name, 'north', is_local=False) for name in 'abcd'
        ]
        outcomes = Counter()
        starts_s = {name: [] for name in gates}
        running = []
        for number in range(600):
            now_s = number / 60
            while running and running[0][0] <= now_s:
                gates[heapq.heappop(running)[1]].finish('read', self.service_s)
            name = self.place(gates, records, number, now_s)
            outcomes[name] += 1
            if name:
                starts_s[name].append(now_s)
                heapq.heappush(running, (now_s + self.service_s, name))
        assert not outcomes['']
        for name, limit_per_s in self.limits_per_s.items():
            assert outcomes[name] >= 10 * limit_per_s
            assert busiest_window(starts_s[name]) <= limit_per_s * 4 + 2

    def make_gate(self, name):
        gate = TargetGate(ColdBound(1.5, 5))
        gate.resize(13)
        gate.rate_limit.note_stated(None, 0)
        gate.rate_limit.note_stated(self.limits_per_s.get(name), 0)
        return gate

    def place(self, gates, records, number, now_s) -> str:
        """Return the target that takes a request, or an empty string."""
        order = AttemptOrder()
        left = time_left(now_s, now_s + 2, 500)
        facts = PlacementRequest('north', 'read', 0, now_s)
        while choice := order.choose(rank_targets(records, facts), left):
            gate = gates[choice.name]
            ticket = Ticket(
                number,
                False,
                1,
                now_s + choice.max_slot_wait_ms / 1000,
                now_s + 0.5,
                now_s + 2,
                'read',
                choice.is_last_resort,
            )
            is_started = not gate.enqueue(ticket, now_s) and gate.start_next(
                now_s
            )
            load = self.report(gate, now_s)
            record = next(each for each in records if each.name == choice.name)
            record.note_load(load, 'read', now_s)
            if is_started:
                return choice.name
            gate.withdraw(number)
            error = CornelbeamError(ErrorCode.OVERLOADED, 'admission')
            error.load = load
            order.note_refusal(choice.name, error, now_s)
        return ''

    def report(self, gate, now_s) -> LoadReport:
        return LoadReport(
            gate.running_count,
            gate.limit,
            gate.waiting_count,
            int(gate.usual_service_s('read') * 1_000_000),
            is_leaving=False,
            wait_ms=int(gate.wait_s(now_s) * 1000),
            paced_wait_ms=int(
                gate.wait_s(now_s, rate_use=RateUse.STATED) * 1000
            ),
        )
