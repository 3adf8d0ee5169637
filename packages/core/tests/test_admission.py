"""Tests of the adaptive concurrency limit and its queue."""

import itertools
from collections import Counter

import pytest
from cornelbeam_core.admission import (
    Admission,
    AdmissionLimit,
    AdmissionSettings,
)
from cornelbeam_core.outcomes import CallOutcome
from hypothesis import given, settings
from hypothesis import strategies as st

_FAST_S = 0.01


def fill(admission, now_s, caller='a'):
    """Admit calls until one is queued or refused."""
    admitted = Admission.RUN
    while admitted is Admission.RUN:
        admitted = admission.try_admit(caller, now_s, now_s + 1, object())


def release(admission, now_s):
    """Take all calls that may leave out of the queue."""
    return list(iter(lambda: admission.next_queued(now_s), None))


def serve(admission, now_s, service_time_s=_FAST_S, rounds=1):
    """Fill the limit and answer all calls, ``rounds`` times; return the end."""
    for _ in range(rounds):
        fill(admission, now_s)
        now_s += service_time_s
        for _ in range(admission.in_flight):
            admission.finish(now_s, service_time_s, CallOutcome.ANSWERED)
        now_s += 1
        release(admission, now_s)
    return now_s


def make_warm(**fields):
    admission = AdmissionLimit(AdmissionSettings(**fields))
    return admission, serve(admission, 0, rounds=100)


class TestColdStart:
    """Guards against full load on a server in cold start."""

    def test_starts_at_the_cold_limit(self):
        admission = AdmissionLimit(AdmissionSettings(cold_slot_count=3))
        fill(admission, 0)
        assert admission.in_flight == admission.limit == 3

    def test_grows_by_one_slot_per_limits_worth(self):
        admission = AdmissionLimit()
        now_s = 0
        completed = 0
        while admission.limit < 20:
            limit = admission.limit
            grown_at = completed
            while admission.limit == limit:
                now_s = serve(admission, now_s)
                completed += limit
            assert admission.limit == limit + 1
            assert completed - grown_at >= limit

    def test_idle_server_does_not_grow(self):
        admission = AdmissionLimit()
        for now_s in range(1000):
            admission.try_admit('a', now_s, now_s + 1)
            admission.finish(now_s + _FAST_S, _FAST_S, CallOutcome.ANSWERED)
        assert admission.limit == 2

    def test_never_above_the_slots(self):
        admission, _ = make_warm(slot_count=6)
        assert admission.limit == 6


class TestGoneCold:
    """Guards against full load on a server that went cold unnoticed."""

    @pytest.mark.parametrize(
        'outcome', [CallOutcome.SHED, CallOutcome.ANSWERED]
    )
    def test_bad_streak_holds_and_a_new_bad_call_confirms(self, outcome):
        admission, now_s = make_warm()
        assert admission.limit == 20
        fill(admission, now_s)
        for _ in range(4):
            admission.finish(now_s + 0.1, 0.1, outcome)
        assert admission.limit == 2
        for _ in range(admission.in_flight):
            admission.finish(now_s + 0.1, _FAST_S / 2, CallOutcome.CANCELLED)
        fill(admission, now_s + 0.2)
        admission.finish(now_s + 0.3, 0.1, outcome)
        now_s = serve(admission, now_s + 10, 0.05)
        assert admission.limit == 2

    def test_answers_to_older_calls_do_not_hide_it(self):
        admission, now_s = make_warm()
        fill(admission, now_s)
        admission.finish(now_s + 0.02, 0.002, CallOutcome.SHED)
        admission.finish(now_s + 0.02, 0.02, CallOutcome.ANSWERED)
        admission.finish(now_s + 0.021, 0.002, CallOutcome.SHED)
        assert admission.limit == 2

    def test_stall_gets_the_limit_back(self):
        admission, now_s = make_warm()
        fill(admission, now_s)
        now_s += 0.2
        for _ in range(20):
            admission.finish(now_s, 0.2, CallOutcome.ANSWERED)
        assert admission.limit == 2
        release(admission, now_s)
        fill(admission, now_s)
        for _ in range(admission.in_flight):
            admission.finish(now_s + _FAST_S, _FAST_S, CallOutcome.ANSWERED)
        assert admission.limit == 20

    def test_lasting_slowness_does_not_hold_the_cold_limit(self):
        admission, now_s = make_warm()
        serve(admission, now_s, 10 * _FAST_S, rounds=150)
        assert admission.limit == 20

    def test_unclear_answers_do_not_hold_the_cold_limit(self):
        admission, now_s = make_warm()
        fill(admission, now_s)
        for _ in range(20):
            admission.finish(now_s + 0.2, 0.2, CallOutcome.ANSWERED)
        serve(admission, now_s + 1, 3 * _FAST_S, rounds=150)
        assert admission.limit == 20


class TestSlowness:
    """Guards against a limit that stays high while the server slows down."""

    def test_slow_answers_lower_the_limit(self):
        admission, now_s = make_warm()
        serve(admission, now_s, 3 * _FAST_S, rounds=3)
        assert 2 <= admission.limit < 20

    def test_shed_call_lowers_the_limit(self):
        admission, now_s = make_warm()
        admission.try_admit('a', now_s, now_s + 1)
        admission.finish(now_s, 0, CallOutcome.SHED)
        assert admission.limit == 17


class TestQueue:
    """Guards against a queue that is too long, stale or unfair."""

    def test_turns_between_callers(self):
        admission = AdmissionLimit(AdmissionSettings(queue_count=12))
        fill(admission, 0, 'greedy')
        for index in range(8):
            admission.try_admit('greedy', 0, 1, ('greedy', index))
        for index in range(3):
            admission.try_admit('modest', 0, 1, ('modest', index))
        served = []
        for _ in range(6):
            admission.finish(0, _FAST_S, CallOutcome.CANCELLED)
            released = admission.next_queued(0)
            served.append(released.ticket)
        callers = Counter(
            ticket[0] for ticket in served if isinstance(ticket, tuple)
        )
        assert callers['modest'] == 3

    def test_expired_calls_are_refused(self):
        admission = AdmissionLimit(AdmissionSettings(queue_ms=50))
        admission.try_admit('a', 0, 1)
        admission.try_admit('a', 0, 1)
        assert admission.try_admit('a', 0, 1, 'late') is Admission.QUEUE
        assert admission.try_admit('a', 0, 0.02, 'hasty') is Admission.QUEUE
        assert admission.next_expiry_s() == pytest.approx(0.02)
        assert admission.next_queued(0.019) is None
        for now_s, ticket in ((0.02, 'hasty'), (0.05, 'late')):
            released = admission.next_queued(now_s)
            assert released.ticket == ticket
            assert released.admission is Admission.REFUSE

    def test_call_past_its_deadline_does_not_run(self):
        admission = AdmissionLimit()
        assert admission.try_admit('a', 1, 1) is Admission.REFUSE
        assert not admission.in_flight

    def test_cancelled_call_leaves(self):
        admission = AdmissionLimit()
        fill(admission, 0)
        admission.try_admit('a', 0, 1, 'gone')
        length = admission.queue_length
        assert admission.remove_queued('gone')
        assert not admission.remove_queued('gone')
        assert admission.queue_length == length - 1

    @settings(derandomize=True, max_examples=150)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('admit', 'finish', 'next')),
                st.sampled_from('abc'),
                st.sampled_from(CallOutcome),
                st.floats(0, 0.1),
            ),
            max_size=200,
        ),
    )
    def test_counts_hold_for_any_events(self, events):
        bounds = AdmissionSettings(slot_count=4, queue_count=3)
        admission = AdmissionLimit(bounds)
        tickets = itertools.count()
        now_s = 0
        waiting = set()
        running = 0
        for event, caller, outcome, elapsed_s in events:
            now_s += elapsed_s
            if event == 'admit':
                ticket = next(tickets)
                admitted = admission.try_admit(caller, now_s, now_s + 1, ticket)
                running += admitted is Admission.RUN
                if admitted is Admission.QUEUE:
                    waiting.add(ticket)
            elif event == 'finish' and running:
                admission.finish(now_s, elapsed_s, outcome)
                running -= 1
            elif event == 'next':
                released = admission.next_queued(now_s)
                if released is not None:
                    waiting.remove(released.ticket)
                    running += released.admission is Admission.RUN
            assert admission.in_flight == running
            assert admission.queue_length == len(waiting)
            assert len(waiting) <= 3
            assert 1 <= admission.limit <= 4
            assert running <= 4
