"""Proof that a configuration is the newest, under faults and clock skew."""

import math

import pytest
from cornelbeam_core.currency_proof import (
    CurrencyProof,
    RenewalSchedule,
    Role,
    age_to_ms,
)
from cornelbeam_core.shared_objects import (
    Listing,
    SharedKind,
    SharedObject,
    store_position,
)

REVOCATION_S = 5
SCHEDULE = RenewalSchedule(REVOCATION_S)
HELD = 7


def listing_of(*positions, newest=None) -> Listing:
    """Return a listing of configurations at positions."""
    objects = tuple(
        SharedObject(SharedKind.CONFIGURATION, 'main', each, False, b'{}', 1)
        for each in positions
    )
    last = max(positions, default=0) if newest is None else newest
    return Listing(SharedKind.CONFIGURATION, objects, last, last)


class TestRead:
    """Guards against a read that is taken for younger than it is."""

    def test_age_counts_from_the_request(self):
        proof = CurrencyProof()
        assert proof.age_s(100) == math.inf
        assert proof.note_read(HELD, listing_of(HELD), 100, 5)
        assert proof.age_s(103) == 3

    def test_older_read_that_ends_later_does_not_replace_a_younger(self):
        proof = CurrencyProof()
        proof.note_read(HELD, listing_of(HELD), 100, 5)
        proof.note_read(HELD, listing_of(HELD), 98, 5)
        assert proof.age_s(100) == 0

    def test_read_without_any_configuration_held_proves_nothing(self):
        assert not CurrencyProof().note_read(0, listing_of(), 100, 5)

    def test_older_copy_of_a_restored_store_does_not_end_the_proof(self):
        """The configuration held stays in force."""
        proof = CurrencyProof()
        held = store_position(1, HELD)
        assert proof.note_read(held, listing_of(store_position(2, 3)), 100, 5)
        assert proof.position == held

    @pytest.mark.parametrize(
        'unreadable', [listing_of(newest=9), listing_of(8, newest=9)]
    )
    def test_unreadable_configuration_proves_nothing_after_a_gap(
        self, unreadable
    ):
        """A readable one that revoked a key may have been between."""
        proof = CurrencyProof()
        proof.note_read(HELD, listing_of(HELD), 100, 5)
        assert proof.note_read(HELD, unreadable, 104, 5)
        assert not proof.note_read(HELD, unreadable, 109, 5)
        assert not CurrencyProof().note_read(HELD, unreadable, 100, 5)


class TestAnswer:
    """Guards against proof of a peer that doesn't cover what is held."""

    def test_age_of_the_peer_counts_from_the_query(self):
        """An answer that arrives late is as old as its query."""
        proof = CurrencyProof()
        assert proof.note_answer(HELD, HELD, 1.5, 100)
        assert proof.age_s(104) == pytest.approx(5.5)

    def test_proof_for_an_older_position_is_passed_on_as_such(self):
        proof = CurrencyProof()
        assert proof.note_answer(HELD, HELD - 1, 0, 100)
        assert proof.position == HELD - 1

    @pytest.mark.parametrize(
        ('position', 'age_s'),
        [
            (HELD + 1, 0),
            (store_position(1, 3), 0),
            (0, 0),
            (HELD, -1),
            (HELD, math.nan),
        ],
    )
    def test_other_answers_are_no_proof(self, position, age_s):
        proof = CurrencyProof()
        assert not proof.note_answer(HELD, position, age_s, 100)
        assert proof.age_s(100) == math.inf

    def test_earlier_era_is_no_proof(self):
        """The copy that is held may be older than what the peer holds."""
        held = store_position(2, 3)
        assert not CurrencyProof().note_answer(
            held, store_position(1, 40), 0, 100
        )

    def test_age_is_rounded_up(self):
        assert age_to_ms(0.0001) == 1


class TestSchedule:
    """Guards against proofs that expire while there is a path to the store."""

    def test_proof_outlasts_the_time_without_a_path(self):
        for role in (Role(0, 0), Role(1, 1), Role(1, 3), Role(2, None)):
            renewal_age_s = SCHEDULE.renewal_age_s(role)
            rest_s = SCHEDULE.expiry_s - renewal_age_s - SCHEDULE.retry_s
            assert rest_s >= 0.6 * REVOCATION_S

    def test_standbys_read_in_turn_and_others_last(self):
        roles = [Role(0, 0), Role(1, 1), Role(1, 2), Role(1, 3), Role(1, None)]
        ages_s = [SCHEDULE.read_age_s(role) for role in roles]
        assert ages_s == sorted(set(ages_s))
        assert SCHEDULE.far_age_s(roles[-1]) < ages_s[-1]

    def test_attempt_does_not_sleep_past_its_turn_to_read(self):
        role = Role(1, 1)
        assert SCHEDULE.attempt_delay_s(role, 1.2) == pytest.approx(0.1)
        assert SCHEDULE.attempt_delay_s(role, 3) == SCHEDULE.retry_s

    def test_failed_reads_become_rare(self):
        delays_s = [
            SCHEDULE.read_delay_s(Role(1, None), count) for count in range(99)
        ]
        assert delays_s[:3] == pytest.approx([0.5, 1, 2])
        assert delays_s[-1] == 4 * REVOCATION_S
        assert SCHEDULE.read_delay_s(Role(0, 0), 99) == pytest.approx(2.5)

    def test_first_proof_is_read_in_the_same_turns(self):
        assert SCHEDULE.search_age_s(0) >= SCHEDULE.read_age_s(Role(0, 0))
        assert SCHEDULE.search_age_s(1) < SCHEDULE.read_age_s(Role(1, None))
