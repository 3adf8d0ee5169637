"""Model checking of configuration gossip and of faulty variants."""

import pytest
from cornelbeam_core.configuration import ConfigurationState
from cornelbeam_standins.configuration_model import (
    ConfigurationModel,
    ConfigurationRules,
)
from cornelbeam_standins.model_search import (
    check_goal_stays_reachable,
    find_violation,
    search,
)

MAX_STATES = 400_000


class AnyVersionState(ConfigurationState):
    """Faulty variant that accepts lower versions."""

    def apply(self, candidate):
        if self._objects.get(candidate.key) != candidate:
            _drop(self, candidate.key)
        return super().apply(candidate)


class NoTombstoneState(ConfigurationState):
    """Faulty variant that keeps no tombstone of a deleted object."""

    def apply(self, candidate):
        is_accepted = super().apply(candidate)
        if is_accepted and candidate.is_deleted:
            _drop(self, candidate.key)
        return is_accepted


class HighestSeenState(ConfigurationState):
    """Faulty variant that advertises a revision despite missing objects."""

    def apply_batch(self, batch):
        changed = super().apply_batch(batch)
        self._revision = max(self._revision, batch.up_to_revision)
        return changed


def _drop(state, key):
    state._objects.pop(key, None)
    state._log = [each for each in state._log if each[1:] != key]


SEARCHES = {
    'two relays, three writes, one restart': {'daemon_count': 2},
    'three daemons, three writes': {
        'restart_count': 0,
        'flight_count': 1,
    },
    'three daemons, two writes, one restart': {'write_count': 2},
    'whole answers': {'daemon_count': 2, 'max_bytes': 1000},
}
MUTATIONS = {
    'lower version accepted': (AnyVersionState, 'versions_never_revert'),
    'tombstone ignored': (NoTombstoneState, 'versions_never_revert'),
    'gap ignored': (HighestSeenState, 'revision_is_complete'),
}


class TestConfigurationModel:
    """Guards against reverted versions and undetected gaps."""

    @pytest.mark.parametrize('name', SEARCHES)
    def test_shipped_transitions_keep_all_invariants(self, name):
        model = ConfigurationModel(ConfigurationRules(**SEARCHES[name]))
        report = search(model.protocol(), MAX_STATES)
        print(f'configuration, {name}: {report.state_count} states')
        assert not report.violations

    @pytest.mark.parametrize('name', MUTATIONS)
    def test_mutation_is_caught(self, name):
        state_type, invariant = MUTATIONS[name]
        rules = ConfigurationRules(state_type, daemon_count=2, restart_count=0)
        protocol = ConfigurationModel(rules).protocol()
        trace = find_violation(protocol, invariant, MAX_STATES)
        print(f'{name}: {" > ".join(trace)}')
        assert trace

    def test_all_daemons_can_always_catch_up(self):
        rules = ConfigurationRules(daemon_count=2, write_count=2)
        count = check_goal_stays_reachable(ConfigurationModel(rules).protocol())
        print(f'configuration, catching up: {count} states')
