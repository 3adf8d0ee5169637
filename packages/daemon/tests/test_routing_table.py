"""What the routing table tells requests."""

import msgspec
import pytest
from cornelbeam_core.configuration import ConfigObject
from cornelbeam_core.requests import RequestFacts
from cornelbeam_core.targets import Target
from cornelbeam_daemon.routing_table import RoutingTable

READ = RequestFacts('windows', 'GET', '/', {})
TARGETS = [
    Target(f'windows-{domain}', 'windows', domain, f'{domain}:1', 1, {})
    for domain in ('north', 'south')
]


@pytest.fixture
def table():
    """Give a table with one target in each of two failure domains."""
    table = RoutingTable('edge-1', 'north')
    table.replace_targets('windows', TARGETS)
    return table


def held(kind, name, spec):
    return ConfigObject(kind, name, 1, 1, False, msgspec.json.encode(spec))


class TestConfiguration:
    """Guards against requests that are routed by less than is in force."""

    def test_nothing_repeats_before_the_configuration_is_known(self, table):
        assert not table.route(READ).is_repeatable
        table.replace_configuration((), is_synced=True)
        assert table.route(READ).is_repeatable

    def test_domain_out_of_service_and_back(self, table):
        switch = {'is_in_service': False}
        taken_out = held('failure-domain', 'south', switch)
        table.replace_configuration([taken_out], is_synced=True)
        names = [state.target.name for state in table.states('windows')]
        assert names == ['windows-north']
        assert table.is_own_domain_in_service
        table.replace_configuration((), is_synced=True)
        assert len(table.states('windows')) == 2

    def test_unusable_object_does_not_hide_the_others(self, table):
        objects = [
            held('selector', 'newer', {'unknown_key': 1}),
            held('labels', 'windows-south', {'labels': {'tier': 'gold'}}),
        ]
        table.replace_configuration(objects, is_synced=True)
        south = table.states('windows')[1].target
        assert south.labels['tier'] == 'gold'
        assert south.labels['domain'] == 'south'


class TestTargets:
    """Guards against state that a replaced instance inherits."""

    def test_new_incarnation_starts_afresh(self, table):
        old = table.states('windows')[0]
        old.latency_ewma_s = 9
        replaced = Target('windows-north', 'windows', 'north', 'x:1', 2, {})
        assert table.replace_targets('windows', [replaced, TARGETS[1]])
        assert not table.states('windows')[0].latency_ewma_s
        assert not table.replace_targets('windows', [replaced, TARGETS[1]])
