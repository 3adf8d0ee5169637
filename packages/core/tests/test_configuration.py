"""Tests that configuration never reverts and that daemons converge."""

import random

from cornelbeam_core.configuration import (
    PULL_TIMEOUT_S,
    PUSH_FANOUT,
    ConfigBatch,
    ConfigObject,
    ConfigurationGossip,
    ConfigurationState,
    PullConfig,
    PushConfig,
)
from hypothesis import given, settings
from hypothesis import strategies as st

WRITES = st.lists(
    st.tuples(st.sampled_from('abc'), st.booleans()), min_size=1, max_size=12
)


def make_objects(writes):
    counts = {}
    for revision, (name, is_deleted) in enumerate(writes, start=1):
        counts[name] = counts.get(name, 0) + 1
        yield ConfigObject(
            'labels', name, counts[name], revision, is_deleted, b'%d' % revision
        )


def make_batch(*revisions):
    objects = tuple(
        ConfigObject('labels', f'yard-{each}', 1, each, False, b'x')
        for each in revisions
    )
    return ConfigBatch(objects, min(revisions) - 1, max(revisions))


class TestVersions:
    """Guards against reverting to an older configuration (I9)."""

    @settings(derandomize=True, max_examples=200)
    @given(WRITES, st.randoms(use_true_random=False))
    def test_any_order_and_repetition_converges(self, writes, shuffler):
        objects = list(make_objects(writes))
        expected = ConfigurationState()
        expected.apply_batch(ConfigBatch(tuple(objects), 0, len(objects)))
        state = ConfigurationState()
        shuffled = objects * 2
        shuffler.shuffle(shuffled)
        highest = {}
        for each in shuffled:
            is_higher = each.version > highest.get(each.name, 0)
            assert state.apply(each) is is_higher
            highest[each.name] = max(each.version, highest.get(each.name, 0))
        assert state.digest == expected.digest
        assert set(state.objects()) == set(expected.objects())
        assert state.revision == 0

    @settings(derandomize=True, max_examples=200)
    @given(WRITES, st.integers(1, 300))
    def test_pulls_in_parts_reach_the_same_state(self, writes, max_bytes):
        sender, receiver = ConfigurationState(), ConfigurationState()
        objects = tuple(make_objects(writes))
        sender.apply_batch(ConfigBatch(objects, 0, len(objects)))
        for _ in objects:
            batch = sender.changes_since(receiver.revision, max_bytes)
            receiver.apply_batch(batch)
            if not batch.has_more:
                break
        assert receiver.revision == sender.revision
        assert receiver.digest == sender.digest

    def test_equal_version_never_replaces(self):
        state = ConfigurationState()
        state.apply(ConfigObject('labels', 'a', 1, 1, False, b'first'))
        other = ConfigObject('labels', 'a', 1, 2, False, b'other')
        assert not state.apply(other)
        assert state.find('labels', 'a').spec == b'first'
        assert state.conflict_count == 1

    def test_deleted_object_stays_deleted(self):
        state = ConfigurationState()
        state.apply(ConfigObject('labels', 'a', 2, 2, True, b''))
        assert not state.apply(ConfigObject('labels', 'a', 1, 1, False, b'x'))
        assert state.find('labels', 'a') is None
        assert state.apply(ConfigObject('labels', 'a', 3, 3, False, b'y'))

    def test_gap_is_not_hidden(self):
        state = ConfigurationState()
        assert state.apply_batch(make_batch(3)).has_gap
        assert state.revision == 0
        assert state.apply_batch(make_batch(1, 2)).is_advanced
        assert state.revision == 2


class TestGossip:
    """Guards against changes that are not pushed on and against pull storms."""

    def make(self):
        return ConfigurationGossip(ConfigurationState())

    def test_change_is_pushed_to_three_peers_once(self):
        gossip, rng = self.make(), random.Random(1)
        peers = [f'10.0.0.{index}:1' for index in range(9)]
        _, first = gossip.on_push(make_batch(1), peers[0], peers, 0, rng)
        assert len({each.peer for each in first}) == PUSH_FANOUT
        assert peers[0] not in {each.peer for each in first}
        _, again = gossip.on_push(make_batch(1), peers[1], peers, 0, rng)
        assert not again

    def test_gap_and_higher_revision_cause_one_pull(self):
        gossip, rng = self.make(), random.Random(1)
        _, actions = gossip.on_push(make_batch(5), 'a', (), 0, rng)
        assert actions == (PullConfig('a', 0),)
        assert not gossip.on_peer_revision('b', 9, now_s=1)
        assert gossip.on_peer_revision('b', 9, PULL_TIMEOUT_S)

    def test_cut_answer_is_followed_by_the_next_pull(self):
        giver, taker = self.make(), self.make()
        rng = random.Random(1)
        objects = tuple(
            ConfigObject('labels', str(each), 1, each, False, b'x' * 60_000)
            for each in range(1, 8)
        )
        giver.on_store_batch(ConfigBatch(objects, 0, 7), (), rng)
        pulls = taker.on_peer_revision('giver', 7, now_s=0)
        asked = []
        while pulls:
            asked.append(pulls[0].since_revision)
            push = giver.on_pull('taker', pulls[0].since_revision)[0]
            assert isinstance(push, PushConfig)
            _, pulls = taker.on_push(push.batch, 'giver', (), 0, rng)
        assert asked == [0, 2, 4, 6]
        assert not giver.on_pull('taker', 7)
