"""Tests of ranking targets by what this daemon knows of each."""

from cornelbeam_core.placement import (
    EJECTION_STREAK,
    PlacementRequest,
    TargetRecord,
    max_slot_wait_ms,
    rank_targets,
)
from cornelbeam_core.targets import LoadReport

SERVICE_US = 100_000
ROUTE = 'lookup'


def record(name, domain='north', wait_ms=0, now_s=0):
    """Create a record with a load report."""
    made = TargetRecord(name, domain, is_local=False)
    made.note_load(
        LoadReport(0, 1, 0, SERVICE_US, False, wait_ms), ROUTE, now_s
    )
    return made


def names(records, now_s=0, size_bytes=0):
    """Return the names ranked for a caller in the failure domain north."""
    request = PlacementRequest('north', ROUTE, size_bytes, now_s)
    return [each.name for each in rank_targets(records, request)]


class TestRanking:
    """Guards against sending requests to slower targets."""

    def test_own_domain_first(self):
        assert names([record('far', 'south'), record('near')]) == [
            'near',
            'far',
        ]

    def test_long_wait_is_worth_a_crossing(self):
        targets = [record('near', wait_ms=300), record('far', 'south')]
        assert names(targets)[0] == 'far'

    def test_large_body_stays(self):
        targets = [record('near', wait_ms=200), record('far', 'south')]
        assert names(targets, size_bytes=60_000)[0] == 'near'

    def test_outdated_report_counts_no_more(self):
        targets = [record('near', wait_ms=300), record('far', 'south')]
        assert names(targets, now_s=5)[0] == 'near'


class TestEjection:
    """Guards against sending requests repeatedly to a dead target."""

    def test_lost_daemon_is_last_at_once(self):
        near = record('near')
        near.note_failure(0, is_unreachable=True)
        assert names([near, record('far', 'south')], 0.1)[0] == 'far'

    def test_single_failure_does_not_eject(self):
        near = record('near')
        near.note_failure(0, is_unreachable=False)
        assert names([near, record('far', 'south')], 0.1)[0] == 'near'

    def test_ejected_target_is_better_than_none(self):
        near = record('near')
        near.note_failure(0, is_unreachable=True)
        assert names([near], 0.1) == ['near']

    def test_lost_daemon_returns_when_it_is_reached(self):
        """Time alone does not end the ejection, only ``note_reachable``."""
        near = record('near')
        near.note_failure(0, is_unreachable=True)
        assert names([near, record('far', 'south')], 60)[0] == 'far'
        near.note_reachable()
        assert names([near, record('far', 'south')], 60)[0] == 'near'

    def test_failing_target_returns_after_a_while(self):
        near = record('near')
        for _ in range(EJECTION_STREAK):
            near.note_failure(0, is_unreachable=False)
        assert names([near, record('far', 'south')], 0.1)[0] == 'far'
        assert names([near, record('far', 'south')], 2)[0] == 'near'


class TestMaxSlotWait:
    """Guards against waits that cost more than the next target."""

    def test_wait_is_bounded_by_the_cost_of_the_next(self):
        request = PlacementRequest('north', ROUTE, 0, 0)
        ranked = rank_targets([record('near'), record('far', 'south')], request)
        assert 10 <= max_slot_wait_ms(ranked, 0, 5000, 10) < 500

    def test_large_body_waits_for_the_end_of_a_slowdown(self):
        """Another failure domain costs more than the slowdown."""
        near = record('near')
        near.note_load(LoadReport(0, 1, 0, SERVICE_US, False, 0, 400), ROUTE, 0)
        request = PlacementRequest('north', ROUTE, 60_000, 0)
        ranked = rank_targets([near, record('far', 'south')], request)
        assert ranked[0].name == 'near'
        assert max_slot_wait_ms(ranked, 0, 5000, 10) > ranked[0].delay_ms

    def test_last_target_may_take_all_the_time(self):
        request = PlacementRequest('north', ROUTE, 0, 0)
        ranked = rank_targets([record('near')], request)
        assert max_slot_wait_ms(ranked, 0, 5000, 10) == 5000


class TestStragglers:
    """Guards against a target that is slow although its host is not."""

    def test_straggler_is_avoided(self):
        near = record('near')
        near.note_load(LoadReport(0, 1, 0, 4 * SERVICE_US, False), ROUTE, 0)
        assert names([near, record('far', 'south')], 0)[0] == 'far'

    def test_small_difference_is_no_reason_to_cross(self):
        near = record('near')
        slower = LoadReport(0, 1, 0, SERVICE_US * 13 // 10, False)
        near.note_load(slower, ROUTE, 0)
        assert names([near, record('far', 'south')], 0)[0] == 'near'

    def test_long_route_does_not_make_a_straggler(self):
        """The near target served only uploads, the far one only lookups."""
        near = record('near')
        near.note_load(LoadReport(0, 1, 0, 6 * SERVICE_US, False), 'upload', 0)
        assert names([near, record('far', 'south')], 0)[0] == 'near'


class TestReportedSlowdowns:
    """Guards against leaving the domain for slowdowns that have ended."""

    def test_current_slowdown_is_avoided(self):
        near = record('near')
        near.note_load(LoadReport(0, 1, 0, SERVICE_US, False, 0, 400), ROUTE, 0)
        assert names([near, record('far', 'south')], 0)[0] == 'far'

    def test_near_target_is_asked_again_soon(self):
        near = record('near')
        near.note_load(LoadReport(0, 1, 0, SERVICE_US, False, 0, 400), ROUTE, 0)
        assert names([near, record('far', 'south')], 0.15)[0] == 'near'
