"""Proof that a configuration is the newest, under faults and clock skew."""

import math
import random

import pytest
from cornelbeam_core.freshness_proof import (
    FreshnessProof,
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
        proof = FreshnessProof()
        assert proof.age_s(100) == math.inf
        assert proof.note_read(HELD, listing_of(HELD), 100, 5)
        assert proof.age_s(103) == 3

    def test_older_read_that_ends_later_does_not_replace_a_younger(self):
        proof = FreshnessProof()
        proof.note_read(HELD, listing_of(HELD), 100, 5)
        proof.note_read(HELD, listing_of(HELD), 98, 5)
        assert proof.age_s(100) == 0

    def test_read_without_any_configuration_held_proves_nothing(self):
        assert not FreshnessProof().note_read(0, listing_of(), 100, 5)

    def test_configuration_that_is_not_in_force_proves_nothing(self):
        """It may revoke a key that the one in force still has."""
        proof = FreshnessProof()
        assert not proof.note_read(HELD, listing_of(HELD + 1), 100, 5)

    def test_older_copy_of_a_restored_store_does_not_end_the_proof(self):
        """The configuration held stays in force."""
        proof = FreshnessProof()
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
        proof = FreshnessProof()
        proof.note_read(HELD, listing_of(HELD), 100, 5)
        assert proof.note_read(HELD, unreadable, 104, 5)
        assert not proof.note_read(HELD, unreadable, 109, 5)
        assert not FreshnessProof().note_read(HELD, unreadable, 100, 5)


class TestAnswer:
    """Guards against proof of a peer that doesn't cover what is held."""

    def test_age_of_the_peer_counts_from_the_query(self):
        """An answer that arrives late is as old as its query."""
        proof = FreshnessProof()
        assert proof.note_answer(HELD, HELD, 1.5, 100)
        assert proof.age_s(104) == pytest.approx(5.5)

    def test_proof_for_an_older_position_is_passed_on_as_such(self):
        proof = FreshnessProof()
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
        proof = FreshnessProof()
        assert not proof.note_answer(HELD, position, age_s, 100)
        assert proof.age_s(100) == math.inf

    def test_earlier_era_is_no_proof(self):
        """The copy that is held may be older than what the peer holds."""
        held = store_position(2, 3)
        assert not FreshnessProof().note_answer(
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
        assert SCHEDULE.attempt_delay_s(role, 1.2) == pytest.approx(0.2)
        assert SCHEDULE.attempt_delay_s(role, 3) == SCHEDULE.retry_s
        assert SCHEDULE.attempt_delay_s(role, 9) == 2 * SCHEDULE.retry_s

    def test_daemon_that_cannot_read_renews_after_its_standby(self):
        standby_s = SCHEDULE.read_age_s(Role(1, 1))
        assert SCHEDULE.renewal_age_s(Role(0, 0), can_read=False) > standby_s

    def test_source_may_be_late(self):
        role = Role(1, 1)
        assert not SCHEDULE.is_overdue(role, SCHEDULE.renewal_age_s(role))
        assert SCHEDULE.is_overdue(role, SCHEDULE.read_age_s(role) + 0.1)

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


class FleetModel:
    """Daemons with clocks of their own, and a store that changes."""

    def __init__(self, rng) -> None:
        """Start with one version that all hold, without proofs."""
        self.rng = rng
        self.now_s: float = 0
        self.published_s = {1: self.now_s}
        self.skews_s = [rng.uniform(-1e6, 1e6) for _ in range(4)]
        self.held = [1 for _ in range(4)]
        self.proofs = [FreshnessProof() for _ in range(4)]
        self.in_flight: list = []
        self.proven_count = 0

    def clock_s(self, daemon) -> float:
        """Return the time of a daemon's clock."""
        return self.now_s + self.skews_s[daemon]

    def publish(self) -> None:
        """Confirm a new version."""
        self.published_s[len(self.published_s) + 1] = self.now_s

    def send(self, daemon) -> None:
        """Start a read or a query, whose receiver answers now or later."""
        sent_s = self.clock_s(daemon)
        others = [each for each in range(4) if each != daemon]
        # The store serves only the first daemon.
        source = self.rng.choice(others) if daemon else None
        self.in_flight.append([daemon, source, sent_s, None])

    def execute(self, exchange) -> None:
        """Let the store or the peer answer; the answer is under way then."""
        daemon, source, _, _ = exchange
        if source is None:
            exchange[3] = len(self.published_s)
            return
        proof = self.proofs[source]
        age_s = proof.age_s(self.clock_s(source))
        if age_s < SCHEDULE.expiry_s:
            exchange[3] = proof.position, age_to_ms(age_s) / 1000

    def receive(self, exchange) -> None:
        """Use an answer, or lose it."""
        daemon, source, sent_s, answer = exchange
        self.in_flight.remove(exchange)
        if answer is None:
            return
        proof = self.proofs[daemon]
        if source is None:
            self.held[daemon] = max(self.held[daemon], answer)
            proof.note_read(
                self.held[daemon], listing_of(answer), sent_s, SCHEDULE.expiry_s
            )
        else:
            proof.note_answer(self.held[daemon], *answer, sent_s)

    def step(self) -> None:
        """Let something happen after some time, a suspension included."""
        kind = self.rng.randrange(100)
        self.now_s += 3 if kind == 1 else self.rng.choice([0, 0.01, 0.1, 0.2])
        daemon = self.rng.randrange(4)
        if kind == 0:
            self.publish()
        elif kind == 2:
            # A watch reports any of the newer versions.
            self.held[daemon] = self.rng.randint(
                self.held[daemon], len(self.published_s)
            )
        elif len(self.in_flight) < 4:
            self.send(daemon)
        elif kind < 50:
            self.execute(self.rng.choice(self.in_flight))
        else:
            self.receive(self.rng.choice(self.in_flight))

    def check(self) -> None:
        """Assert that no daemon serves a version that is out of date."""
        for daemon, proof in enumerate(self.proofs):
            age_s = proof.age_s(self.clock_s(daemon))
            if age_s >= SCHEDULE.expiry_s:
                continue
            self.proven_count += 1
            following_s = self.published_s.get(self.held[daemon] + 1)
            if following_s is not None:
                assert following_s >= self.now_s - REVOCATION_S


class TestBound:
    """Guards against a daemon that serves a revoked key for too long.

    Clocks differ, answers are late or lost, and peers pass on old proofs.
    """

    @pytest.mark.parametrize('seed', range(20))
    def test_served_version_was_the_newest_within_the_bound(self, seed):
        model = FleetModel(random.Random(seed))
        for _ in range(4000):
            model.step()
            model.check()
        assert model.proven_count > 100
        assert len(model.published_s) > 10
