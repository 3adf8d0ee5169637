"""Tests of the policies that choose a target."""

import random
from collections import Counter

import pytest
from cornelbeam_core.selection import (
    LEAVING_RETRY_S,
    POLICIES,
    TargetState,
    choose_target,
    compute_affinity,
)
from cornelbeam_core.targets import LoadReport, Target
from hypothesis import given, settings
from hypothesis import strategies as st

_NOW_S = 10.0


def make_state(name, **fields):
    return TargetState(Target(name, 'windows', 'mission', '', 1, {}), **fields)


def make_report(in_flight=0, *, service_time_us=10_000, is_leaving=False):
    return LoadReport(in_flight, 20, 0, service_time_us, is_leaving)


def count_choices(policy_name, states, count=400):
    rng = random.Random(7)
    return Counter(
        choose_target(policy_name, states, _NOW_S, rng).target.name
        for _ in range(count)
    )


_STATES = st.builds(
    make_state,
    st.sampled_from('abcdef'),
    in_flight=st.integers(0, 30),
    report=st.none()
    | st.builds(make_report, st.integers(0, 20), is_leaving=st.booleans()),
    report_at_s=st.floats(0, _NOW_S),
    latency_ewma_s=st.floats(0, 2),
    ejected_until_s=st.sampled_from((0, _NOW_S + 1)),
    is_reachable=st.booleans(),
    answered_at_s=st.floats(0, _NOW_S),
)


@pytest.mark.parametrize('policy_name', list(POLICIES))
class TestEachPolicy:
    """Guards against sending calls to unusable targets."""

    @settings(derandomize=True)
    @given(st.lists(_STATES, max_size=8), st.integers(0, 99))
    def test_unusable_targets_are_never_chosen(self, policy_name, states, seed):
        rng = random.Random(seed)
        chosen = choose_target(policy_name, states, _NOW_S, rng)
        if chosen is None:
            assert not any(one.is_available(_NOW_S) for one in states)
            return
        assert chosen.is_reachable
        if not chosen.is_available(_NOW_S):
            assert not any(one.is_available(_NOW_S) for one in states)

    def test_ejected_target_is_the_last_resort(self, policy_name):
        ejected = make_state('a', ejected_until_s=_NOW_S + 1)
        loaded = [make_state(name, in_flight=30) for name in 'bc']
        choices = count_choices(policy_name, [ejected, *loaded])
        assert not choices['a']
        assert count_choices(policy_name, [ejected])['a']

    def test_equal_targets_all_get_work(self, policy_name):
        states = [
            make_state(name, latency_ewma_s=0.01, answered_at_s=_NOW_S)
            for name in 'abc'
        ]
        choices = count_choices(policy_name, states)
        assert min(choices[name] for name in 'abc') > 400 / 3 / 2


class TestCost:
    """Guards against decisions based on stale or missing measurements."""

    @pytest.mark.parametrize('policy_name', ['power_of_two', 'power_of_three'])
    def test_stalled_target_gets_no_more_calls(self, policy_name):
        states = [
            make_state(
                name,
                latency_ewma_s=0.01,
                in_flight=2,
                answered_at_s=_NOW_S - silent_s,
            )
            for name, silent_s in (('a', 0.1), ('b', 0), ('c', 0), ('d', 0))
        ]
        assert not count_choices(policy_name, states)['a']

    def test_new_target_does_not_draw_all_calls(self):
        states = [
            make_state(
                name,
                in_flight=1,
                latency_ewma_s=0.01,
                answered_at_s=_NOW_S,
                report=make_report(9),
                report_at_s=_NOW_S,
                others_in_flight=8,
            )
            for name in 'bcd'
        ]
        new = make_state('a', in_flight=1, answered_at_s=_NOW_S)
        assert not count_choices('power_of_two', [new, *states])['a']

    def test_reported_slowness_counts_for_new_callers(self):
        slow = make_report(service_time_us=50_000)
        states = [
            make_state(
                name,
                latency_ewma_s=0.01,
                answered_at_s=_NOW_S,
                report=slow if name == 'a' else make_report(),
                report_at_s=_NOW_S,
            )
            for name in 'abcd'
        ]
        assert not count_choices('power_of_two', states)['a']

    def test_avoided_target_is_tried_again(self):
        states = [
            make_state(
                name,
                latency_ewma_s=0.05 if name == 'a' else 0.01,
                answered_at_s=0 if name == 'a' else _NOW_S,
            )
            for name in 'abcd'
        ]
        assert count_choices('power_of_two', states)['a']

    def test_same_domain_is_preferred_not_required(self):
        near = make_state('a', latency_ewma_s=0.01, is_same_domain=True)
        far = make_state('b', latency_ewma_s=0.01)
        near.answered_at_s = _NOW_S
        far.answered_at_s = _NOW_S
        assert count_choices('power_of_two', [near, far]) == {'a': 400}
        near.in_flight = 4
        assert count_choices('power_of_two', [near, far]) == {'b': 400}


class TestTargetState:
    """Guards against counters that drift from the calls in flight."""

    def test_calls_of_others_exclude_own(self):
        state = make_state('a')
        state.note_start(0)
        state.note_report(make_report(5), 0)
        assert state.others_in_flight == 4

    def test_abandoned_call_only_raises_the_latency(self):
        state = make_state('a', latency_ewma_s=0.1, answered_at_s=1)
        for elapsed_s in (0.01, 0.6):
            state.note_start(1)
            state.note_abandoned(1, elapsed_s)
        assert state.latency_ewma_s == pytest.approx(0.2)
        assert not state.in_flight

    def test_leaving_target_is_tried_again_after_a_while(self):
        state = make_state('a')
        state.note_report(make_report(is_leaving=True), 1)
        assert not state.is_available(1 + LEAVING_RETRY_S)
        assert state.is_available(1.1 + LEAVING_RETRY_S)


class TestSubset:
    """Guards against all callers using the same subset."""

    def test_subsets_differ_between_callers_and_stay(self):
        targets = [f't{index}' for index in range(8)]
        used = Counter()
        for caller in range(64):
            states = [
                make_state(name, affinity=compute_affinity(f'c{caller}', name))
                for name in targets
            ]
            choices = count_choices('subset', states, 40)
            assert len(choices) == 3
            used.update(choices.keys())
        assert set(used) == set(targets)
