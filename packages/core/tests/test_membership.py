"""Tests of failure detection and of the precedence of updates."""

import random

import pytest
from cornelbeam_core.members import MemberState, MemberUpdate
from cornelbeam_core.membership import (
    MemberChanged,
    Membership,
    MembershipSettings,
    SelfReplaced,
    SendPing,
)
from cornelbeam_standins.membership_simulation import (
    MembershipSimulation,
    make_target,
)
from hypothesis import given, settings
from hypothesis import strategies as st

UPDATES = st.lists(
    st.builds(
        lambda incarnation, state, refutation: MemberUpdate(
            make_target(1, incarnation), state, refutation
        ),
        st.integers(1, 3),
        st.sampled_from(MemberState),
        st.integers(0, 2),
    ),
    max_size=12,
)


@pytest.fixture
def membership():
    member = Membership(make_target(0), MembershipSettings())
    member.on_updates([MemberUpdate(make_target(1), MemberState.ALIVE)], 0)
    return member


class TestUpdates:
    """Guards against stale updates that override newer ones."""

    @settings(derandomize=True, max_examples=300)
    @given(UPDATES)
    def test_order_of_updates_does_not_matter(self, updates):
        first = MemberUpdate(make_target(1, 1), MemberState.ALIVE)
        results = []
        backwards = list(reversed(updates))
        for order in (updates, backwards, updates + backwards):
            member = Membership(make_target(0), MembershipSettings())
            member.on_updates([first, *order], 0)
            results.append(member.find(first.target.name))
        assert results[0] == results[1] == results[2]

    def test_restart_replaces_the_old_entry_at_once(self, membership):
        dead = MemberUpdate(make_target(1), MemberState.DEAD, 7)
        membership.on_updates([dead], 1)
        assert not list(membership.members())
        membership.on_updates(
            [MemberUpdate(make_target(1), MemberState.ALIVE, 6)], 2
        )
        assert not list(membership.members())
        new = MemberUpdate(make_target(1, 2), MemberState.ALIVE)
        assert membership.on_updates([new], 3) == (MemberChanged(new, dead),)

    def test_suspected_member_refutes(self, membership):
        suspicion = MemberUpdate(make_target(0), MemberState.SUSPECT, 4)
        membership.on_updates([suspicion], 1)
        assert membership.own.refutation == 5
        assert membership.own.supersedes(suspicion)
        assert membership.own in membership.take_updates(make_target(1).name)

    def test_later_incarnation_stops_this_one(self, membership):
        later = MemberUpdate(make_target(0, 2), MemberState.ALIVE)
        assert membership.on_updates([later], 1) == (SelfReplaced(2),)

    def test_leaving_is_not_hidden_by_suspicion(self, membership):
        leaving = MemberUpdate(make_target(1), MemberState.LEAVING)
        suspicion = MemberUpdate(make_target(1), MemberState.SUSPECT)
        membership.on_updates([leaving, suspicion], 1)
        assert membership.find(make_target(1).name) == leaving

    def test_dead_entries_are_bounded(self):
        used = MembershipSettings(dead_limit=3, dead_keep_ms=1000)
        member = Membership(make_target(0), used)
        for index in range(1, 9):
            target = make_target(index)
            member.on_updates([MemberUpdate(target, MemberState.ALIVE)], 0)
            member.on_updates([MemberUpdate(target, MemberState.DEAD)], 0)
        member.tick(0.1, random.Random(1))
        kept = [member.find(f'windows-langley-0000{at}') for at in range(1, 9)]
        assert [bool(each) for each in kept].index(True) == 5
        assert None not in kept[5:]
        member.tick(5, random.Random(1))
        assert member.find(make_target(8).name) is None


class TestDetection:
    """Guards against undetected failures and false suspicions."""

    @pytest.mark.parametrize('size', [2, 4, 16])
    def test_stopped_member_is_found_by_all(self, size):
        group = MembershipSimulation(size, seed=size)
        group.run(10)
        group.absent.add(1)
        group.run(30)
        assert group.count_observers(1, MemberState.DEAD) == size - 1
        assert not group.totals.count_false_deaths([1])

    def test_paused_observer_suspects_nobody(self):
        group = MembershipSimulation(4, seed=3)
        group.run(10)
        # Member 1 stops answering just before member 0 is paused, so that a
        # ping is pending, and answers again when member 0 resumes.
        group.absent.add(1)
        group.run(11)
        group.paused.update((0, 2, 3))
        group.now_s = 500
        group.absent.clear()
        group.paused.clear()
        group.run(520)
        assert not group.totals.deaths
        assert not group.totals.suspicions

    def test_pause_does_not_end_a_suspicion(self, membership):
        rng = random.Random(1)
        suspicion = MemberUpdate(make_target(1), MemberState.SUSPECT)
        membership.tick(0, rng)
        membership.on_updates([suspicion], 0)
        actions = membership.tick(100, rng)
        assert not any(isinstance(each, MemberChanged) for each in actions)
        assert membership.health_score == 1

    def test_paused_member_rejoins(self):
        group = MembershipSimulation(8, seed=5)
        group.run(10)
        group.paused.add(2)
        group.run(40)
        assert group.count_observers(2, MemberState.DEAD) == 7
        group.paused.clear()
        group.run(70)
        assert group.count_observers(2, MemberState.ALIVE) == 7
        assert not group.totals.count_false_deaths([2])

    def test_loss_of_every_tenth_message_declares_nobody_dead(self):
        group = MembershipSimulation(8, seed=7, loss=0.1)
        group.run(300)
        assert not group.totals.count_false_deaths(())

    def test_ack_of_another_run_does_not_count(self, membership):
        rng = random.Random(1)
        pings = [
            each
            for each in membership.tick(0, rng)
            if isinstance(each, SendPing)
        ]
        membership.on_ack(pings[0].name, 99, (), 0.1)
        for tick in range(1, 12):
            membership.tick(tick / 10, rng)
        assert membership.find(pings[0].name).state is MemberState.SUSPECT
