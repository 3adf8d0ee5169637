"""Tests that ejection removes slow targets and leaves enough of them."""

import itertools

import pytest
from cornelbeam_core.ejection import EjectionSettings, OutlierEjector
from cornelbeam_core.outcomes import CallOutcome
from cornelbeam_core.selection import TargetState
from cornelbeam_core.targets import Target
from hypothesis import given, settings
from hypothesis import strategies as st

_DOMAINS = ('mission', 'langley', 'abbotsford', 'chilliwack')
_SERVICES = ('windows', 'bookings')
_FAST_S = 0.01


def make_fleet(services=_SERVICES, domains=_DOMAINS):
    return {
        (service, domain): TargetState(
            Target(f'{service}-{domain}', service, domain, '', 1, {}),
        )
        for service, domain in itertools.product(services, domains)
    }


def run_calls(ejector, fleet, latencies_s, end_s=2, start_s=0):
    """Complete a call to each target every 10 ms; return the ejections."""
    ejected = []
    for step in range(int((end_s - start_s) * 100)):
        now_s = start_s + step / 100
        for key, state in fleet.items():
            if not state.is_available(now_s):
                continue
            state.note_start(now_s)
            state.note_end(now_s, latencies_s.get(key, _FAST_S))
            if ejector.note_result(state, CallOutcome.ANSWERED, now_s):
                ejected.append((key, state.ejected_until_s - now_s))
    return ejected


class TestStragglers:
    """Guards against a slow target that keeps its share of the load."""

    def test_straggler_is_ejected_for_a_growing_time(self):
        slow = ('windows', 'mission')
        ejected = run_calls(
            OutlierEjector(),
            make_fleet(),
            {slow: 0.1},
            end_s=8,
        )
        assert {key for key, _ in ejected} == {slow}
        durations_s = [duration_s for _, duration_s in ejected]
        assert durations_s[:3] == pytest.approx([0.5, 1, 2])

    def test_short_slowness_is_not_confirmed(self):
        fleet = make_fleet()
        ejector = OutlierEjector()
        run_calls(ejector, fleet, {}, end_s=1)
        slow = {('windows', 'mission'): 0.1}
        ejected = run_calls(ejector, fleet, slow, start_s=1, end_s=1.08)
        ejected += run_calls(ejector, fleet, {}, start_s=1.08, end_s=3)
        assert not ejected


class TestFailures:
    """Guards against a target that attracts load because it fails fast."""

    def test_failures_in_a_row_eject(self):
        fleet = make_fleet()
        ejector = OutlierEjector()
        ejector.retain(fleet.values())
        state = fleet['windows', 'mission']
        failed = [
            ejector.note_result(state, CallOutcome.FAILED, 1) for _ in range(5)
        ]
        assert failed == [False, False, False, False, True]

    @pytest.mark.parametrize(
        'outcome',
        [CallOutcome.SHED, CallOutcome.CANCELLED],
    )
    def test_shed_and_cancelled_calls_do_not_count(self, outcome):
        fleet = make_fleet()
        ejector = OutlierEjector()
        ejector.retain(fleet.values())
        state = fleet['windows', 'mission']
        assert not any(
            ejector.note_result(state, outcome, 1) for _ in range(50)
        )

    def test_history_of_a_replaced_target_is_dropped(self):
        ejector = OutlierEjector()
        for fleet in (make_fleet(), make_fleet()):
            ejector.retain(fleet.values())
            state = fleet['windows', 'mission']
            for _ in range(4):
                assert not ejector.note_result(state, CallOutcome.FAILED, 1)


class TestProtection:
    """Guards against ejections that remove too much capacity."""

    def test_slow_failure_domain_keeps_its_targets(self):
        slow = {(service, 'mission'): 0.1 for service in _SERVICES}
        assert not run_calls(OutlierEjector(), make_fleet(), slow, end_s=5)

    def test_domain_of_one_known_target_is_not_protected(self):
        fleet = make_fleet(services=('windows',))
        slow = {('windows', 'mission'): 0.1}
        assert run_calls(OutlierEjector(), fleet, slow)

    @settings(derandomize=True, max_examples=60)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 3),
                st.sampled_from(CallOutcome),
                st.floats(0, 0.3),
            ),
            max_size=200,
        ),
        st.floats(0.1, 1),
    )
    def test_min_active_ratio_holds_for_any_results(
        self, results, min_active_ratio
    ):
        states = list(make_fleet(services=('windows',)).values())
        ejector = OutlierEjector(
            EjectionSettings(
                failure_count=1, min_active_ratio=min_active_ratio
            ),
        )
        ejector.retain(states)
        now_s = 0
        for index, outcome, elapsed_s in results:
            now_s += elapsed_s
            state = states[index]
            state.note_start(now_s)
            state.note_end(now_s, elapsed_s)
            ejector.note_result(state, outcome, now_s)
            healthy_count = sum(each.is_available(now_s) for each in states)
            assert healthy_count >= min_active_ratio * len(states)
