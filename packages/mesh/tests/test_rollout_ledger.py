"""Counts of gates that the owner of an order adds up."""

from cornelbeam_mesh.members import MemberEntry
from cornelbeam_mesh.rollout_ledger import GateLedger
from cornelbeam_wire.gen import messages


def make_entry(incarnation=1):
    """Make the entry of a daemon."""
    return MemberEntry('a', 'north', '10.0.0.1:1', incarnation, 1, False, None)


def make_counts(request_count, version='v2', granted_count=0):
    """Make the answer of a gate; all requests have failed."""
    return messages.RolloutCounts(
        order_key='1/v2',
        version=version,
        phase=1,
        granted_count=granted_count,
        request_count=request_count,
        in_flight_count=0,
        routes=[
            messages.RolloutRouteCounts(
                'read', request_count, request_count, []
            )
        ],
    )


class TestCounts:
    """Guards against requests that are counted twice or not at all."""

    def test_only_increases_are_added(self):
        ledger = GateLedger('v2', 0)
        for count in (3, 3, 8):
            ledger.note(make_entry(), make_counts(count), 1)
        new, old = ledger.take_slot()
        assert ledger.total_count == 8
        assert (new['read'].failure_count, old) == (8, {})
        assert ledger.take_slot() == ({}, {})

    def test_grant_of_an_earlier_run_is_spent_again(self):
        ledger = GateLedger('v2', 0)
        entry = make_entry()
        ledger.grant(entry, 1, 20)
        ledger.note(entry, make_counts(15, granted_count=20), 1)
        ledger.note(entry, make_counts(0, granted_count=20), 2)
        assert ledger.spent_count == 40
        ledger.note(make_entry(2), make_counts(2, granted_count=20), 3)
        assert ledger.spent_count == 40
        assert ledger.total_count == 17

    def test_successor_takes_what_was_reserved_as_spent(self):
        ledger = GateLedger('v2', 12)
        ledger.note(make_entry(), make_counts(5, granted_count=9), 1)
        assert ledger.traffic(1).spent_count == 12

    def test_rate_forgets_old_requests(self):
        ledger = GateLedger('v2', 0)
        for second in range(6):
            count = min(second, 2) * 10
            ledger.note(make_entry(), make_counts(count), second)
            rate_per_s = ledger.traffic(second).rate_per_s
        assert rate_per_s == 0
