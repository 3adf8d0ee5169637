"""Tests of the routing table."""

import random

import msgspec
import pytest
from cornelbeam_core.configuration import ConfigObject
from cornelbeam_core.requests import RequestFacts
from cornelbeam_core.targets import Target
from cornelbeam_daemon.routing_table import RoutingTable

TARGETS = tuple(
    Target(f'yard-{index}', 'windows', f'domain-{index % 2}', 'a:1', 1, {})
    for index in range(4)
)
SPECS = {
    'labels': ({'labels': {'tier': 'gold'}}, {'labels': {}}, {'bad': 1}),
    'failure-domain': ({'is_in_service': False}, {'is_in_service': True}),
    'service': ({'timeout_ms': 30}, {}),
    'selector': ({'timeout_ms': 20}, {'timeout_ms': 10, 'priority': 1}),
}
NAMES = {
    'labels': ('yard-0', 'yard-3', 'absent'),
    'failure-domain': ('domain-0', 'domain-1'),
    'service': ('windows', 'photos'),
    'selector': ('first', 'second'),
}


def make_table():
    table = RoutingTable('yard-0', 'domain-0')
    table.replace_targets('windows', TARGETS)
    return table


def draw_object(rng, revision):
    kind = rng.choice(sorted(SPECS))
    return ConfigObject(
        kind,
        rng.choice(NAMES[kind]),
        revision,
        revision,
        not rng.randrange(4),
        msgspec.json.encode(rng.choice(SPECS[kind])),
    )


def describe(table):
    route = table.route(RequestFacts('windows', 'GET', '/', {}))
    return (
        [state.target for state in table.states('windows')],
        {name: table.timeout_ms(name) for name in NAMES['service']},
        (route.selector_names, route.timeout_ms),
        table.is_own_domain_in_service,
    )


class TestIncrementalConfiguration:
    """Guards against changes that leave outdated data in force."""

    @pytest.mark.parametrize('seed', range(20))
    def test_same_as_all_objects_at_once(self, seed):
        rng = random.Random(seed)
        table = make_table()
        latest = {}
        for revision in range(1, 40):
            changed = draw_object(rng, revision)
            latest[changed.kind, changed.name] = changed
            table.apply_configuration((changed,))
            rebuilt = make_table()
            rebuilt.apply_configuration(
                latest_object
                for latest_object in latest.values()
                if not latest_object.is_deleted
            )
            assert describe(table) == describe(rebuilt)

    def test_only_touched_services_are_rebuilt(self):
        table = make_table()
        before = table.states('windows')
        unrelated_labels = ConfigObject(
            'labels', 'absent', 1, 1, False, b'{"labels": {}}'
        )
        table.apply_configuration((unrelated_labels,))
        assert table.states('windows') is before

    def test_unusable_object_does_not_hide_the_others(self):
        table = make_table()
        labels = {'labels': {'tier': 'gold'}}
        table.apply_configuration(
            (
                ConfigObject('selector', 'newer', 1, 1, False, b'{"key": 1}'),
                ConfigObject(
                    'labels', 'yard-1', 1, 2, False, msgspec.json.encode(labels)
                ),
            )
        )
        assert table.states('windows')[1].target.labels['tier'] == 'gold'


class TestStart:
    """Guards against repeats before the rules on them are known."""

    def test_nothing_repeats_before_the_configuration_is_known(self):
        table = make_table()
        read_request = RequestFacts('windows', 'GET', '/', {})
        assert not table.route(read_request).is_repeatable
        table.mark_synced()
        assert table.route(read_request).is_repeatable


class TestTargets:
    """Guards against instances that inherit state of a replaced one."""

    def test_new_incarnation_starts_afresh(self):
        table = make_table()
        table.states('windows')[0].latency_ewma_s = 9
        replaced = Target('yard-0', 'windows', 'domain-0', 'b:1', 2, {})
        assert table.replace_targets('windows', [replaced, *TARGETS[1:]])
        assert not table.states('windows')[0].latency_ewma_s
        assert not table.replace_targets('windows', [replaced, *TARGETS[1:]])
