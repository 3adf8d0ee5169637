"""Demand of one daemon for the tokens of a tenant."""

import pytest
from cornelbeam_core.quota_demand import (
    MAX_FAR_REFUSAL_S,
    MAX_TURN_S,
    SUSPICION_S,
    UNSUCCESSFUL_QUERY_COUNT,
    OwnerSuspicions,
    QuotaDemand,
)
from cornelbeam_core.quota_shares import MAX_REFUSAL_S, QuotaGrant
from cornelbeam_core.tenants import TenantRule

RULE = TenantRule('school', (), rate_per_s=10, burst_count=4)
OWNERS = ('near', 'far')


def refuse(demand, owner, wait_s, now_s=1) -> None:
    """Note that an owner has no token for a time."""
    demand.note_grant(
        owner, 1, QuotaGrant(0, wait_s), now_s, is_first=owner == OWNERS[0]
    )


class TestLeftTokens:
    """Guards against tokens that are lost, or used too late."""

    def test_a_token_serves_one_request_in_time(self):
        demand = QuotaDemand()
        demand.keep(granted_s=1)
        assert demand.take(now_s=2, age_s=1) == 1
        assert demand.take(now_s=2, age_s=1) is None

    def test_an_old_token_is_dropped(self):
        demand = QuotaDemand()
        demand.keep(granted_s=1)
        demand.keep(granted_s=2)
        assert demand.take(now_s=2.5, age_s=1) == 2
        assert demand.take(now_s=2.5, age_s=1) is None


class TestEmptyOwners:
    """Guards against a message for each refused request."""

    def test_an_empty_owner_is_not_asked_until_its_time(self):
        demand, trusted = QuotaDemand(), OwnerSuspicions()
        refuse(demand, 'near', 0.05)
        assert demand.next_owner(OWNERS, trusted, now_s=1.04) == 'far'
        assert demand.next_owner(OWNERS, trusted, now_s=1.05) == 'near'

    def test_it_is_asked_again_after_the_longest_refusal(self):
        demand, trusted = QuotaDemand(), OwnerSuspicions()
        refuse(demand, 'near', 9)
        asked_s = 1 + MAX_REFUSAL_S
        assert demand.next_owner(OWNERS, trusted, asked_s) == 'near'

    def test_a_far_owner_is_asked_less_after_unsuccessful_queries(self):
        demand, trusted = QuotaDemand(), OwnerSuspicions()
        for number in range(UNSUCCESSFUL_QUERY_COUNT - 1):
            refuse(demand, 'far', 0.01, now_s=1 + number / 10)
        last_s = 1 + (UNSUCCESSFUL_QUERY_COUNT - 1) / 10
        assert demand.next_owner(('far',), trusted, last_s) == 'far'
        refuse(demand, 'far', 0.01, now_s=last_s)
        assert demand.next_owner(('far',), trusted, last_s + 0.5) is None
        asked_s = last_s + MAX_FAR_REFUSAL_S
        assert demand.next_owner(('far',), trusted, asked_s) == 'far'

    def test_queries_before_the_stated_time_are_expected_to_fail(self):
        """A pause for them would lose tokens of a small share."""
        demand, trusted = QuotaDemand(), OwnerSuspicions()
        for number in range(2 * UNSUCCESSFUL_QUERY_COUNT):
            refuse(demand, 'far', 9 - number / 10, now_s=1 + number / 10)
        asked_s = 1 + 2 * UNSUCCESSFUL_QUERY_COUNT / 10 + MAX_REFUSAL_S
        assert demand.next_owner(('far',), trusted, asked_s) == 'far'

    def test_the_own_owner_is_asked_within_the_longest_refusal(self):
        demand, trusted = QuotaDemand(), OwnerSuspicions()
        for _ in range(2 * UNSUCCESSFUL_QUERY_COUNT):
            refuse(demand, 'near', 9)
        asked_s = 1 + MAX_REFUSAL_S
        assert demand.next_owner(OWNERS, trusted, asked_s) == 'near'

    def test_a_far_owner_that_grants_is_asked_again(self):
        demand, trusted = QuotaDemand(), OwnerSuspicions()
        for number in range(UNSUCCESSFUL_QUERY_COUNT):
            refuse(demand, 'far', 0.01, now_s=1 + number / 10)
        demand.note_grant('far', 1, QuotaGrant(1), 2, is_first=False)
        refuse(demand, 'far', 0.01, now_s=2)
        assert demand.next_owner(('far',), trusted, now_s=2.01) == 'far'

    def test_the_stated_delay_is_the_shortest_wait(self):
        demand, trusted = QuotaDemand(), OwnerSuspicions()
        refuse(demand, 'near', 9)
        refuse(demand, 'far', 3)
        delay_s = demand.refuse(RULE, OWNERS, trusted, now_s=1.1)
        assert delay_s == pytest.approx(2.9)

    def test_requests_refused_together_are_told_different_times(self):
        demand, trusted = QuotaDemand(), OwnerSuspicions()
        refuse(demand, 'near', 0.1)
        delays = [
            demand.refuse(RULE, OWNERS, trusted, now_s=1) for _ in range(100)
        ]
        assert delays[:3] == pytest.approx([0.1, 0.2, 0.3])
        assert max(delays) <= MAX_TURN_S

    def test_state_is_kept_only_while_it_matters(self):
        demand = QuotaDemand()
        refuse(demand, 'near', 0.1)
        assert not demand.is_idle(now_s=1)
        assert demand.is_idle(now_s=2)
        demand.keep(granted_s=2)
        assert not demand.is_idle(now_s=2.5)
        assert demand.is_idle(now_s=9)


class TestSuspicions:
    """Guards against waits for an owner that is known not to answer."""

    def test_a_silent_owner_is_left_out_until_it_answers(self):
        demand, suspicions = QuotaDemand(), OwnerSuspicions()
        suspicions.note_silence('near', now_s=1)
        assert demand.next_owner(OWNERS, suspicions, now_s=9) == 'far'
        suspicions.clear('near')
        assert demand.next_owner(OWNERS, suspicions, now_s=9) == 'near'

    def test_it_is_checked_at_intervals(self):
        suspicions = OwnerSuspicions()
        suspicions.note_silence('near', now_s=1)
        assert not suspicions.due(OWNERS, now_s=1.1)
        assert suspicions.due(OWNERS, now_s=1 + SUSPICION_S) == ['near']
        assert not suspicions.due(OWNERS, now_s=1.1 + SUSPICION_S)

    def test_members_that_are_gone_are_forgotten(self):
        suspicions = OwnerSuspicions()
        for owner in OWNERS:
            suspicions.note_silence(owner, now_s=1)
        suspicions.retain(lambda name: name == 'far')
        assert [name in suspicions for name in OWNERS] == [False, True]

    def test_without_any_answer_no_delay_is_known(self):
        demand, suspicions = QuotaDemand(), OwnerSuspicions()
        for owner in OWNERS:
            suspicions.note_silence(owner, now_s=1)
        assert demand.refuse(RULE, OWNERS, suspicions, now_s=1) is None
