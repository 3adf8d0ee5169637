"""Tenants in the configuration that operators write."""

import json

import pytest
from cornelbeam_adapter.configuration import decode_configuration
from cornelbeam_core.routes import RouteTable
from cornelbeam_core.tenants import digest_key

KEY = 'k-secret-1'


def make_configuration(tenants, **rule):
    """Return a configuration with one route and some tenants."""
    return json.dumps(
        {
            'version': '00000007',
            'tenants': tenants,
            'listeners': [
                {
                    'host': 'a.example',
                    'rules': [
                        {
                            'name': 'r-1',
                            'kind': 'idempotent',
                            'match': {'path_prefix': '/a/'},
                            'action': {'service': 'desk'},
                            'latency_objective_ms': 300,
                            **rule,
                        },
                    ],
                },
            ],
            'clusters': [
                {
                    'name': 'desk',
                    'health_check_path': '/health',
                    'max_connections': 9,
                },
            ],
        },
    ).encode()


class TestTenants:
    """A caller is taken for another tenant, or its limit is lost."""

    def test_key_finds_its_tenant(self):
        """Decode all fields of a tenant."""
        stated = {
            'name': 'school',
            'api_keys': [KEY, 'k-2'],
            'priority': 1,
            'rate_per_s': 144,
            'burst': 12,
        }
        table = RouteTable(decode_configuration(make_configuration([stated])))
        rule = table.tenants.find(digest_key(KEY.encode()))
        assert (rule.name, rule.priority) == ('school', 1)
        assert (rule.rate_per_s, rule.burst_count) == (144, 12)
        assert table.tenants.find(digest_key(b'k-3')) is None

    @pytest.mark.parametrize('rate', [0, None])
    def test_no_rate_is_no_limit(self, rate):
        """Treat an omitted limit and zero alike."""
        stated = {'name': 'school', 'api_keys': [KEY], 'rate_per_s': rate}
        configuration = decode_configuration(make_configuration([stated]))
        assert not configuration.tenants[0].is_limited
        assert configuration.tenants[0].priority is None

    def test_no_tenants_need_no_key(self):
        """Leave deployments without tenants as they are."""
        table = RouteTable(decode_configuration(make_configuration([])))
        assert table.tenants is None

    @pytest.mark.parametrize('is_public', [True, False])
    def test_public_route(self, is_public):
        """Read which routes need no key."""
        content = make_configuration([], public=is_public)
        routes = decode_configuration(content).routes
        assert routes[0].is_public is is_public


class TestInvalidTenants:
    """A key that belongs to two tenants admits one as the other."""

    @pytest.mark.parametrize(
        'tenants',
        [
            [
                {'name': 'a', 'api_keys': [KEY]},
                {'name': 'b', 'api_keys': [KEY]},
            ],
            [{'name': 'a', 'api_keys': [KEY, KEY]}],
            [{'name': 'a', 'api_keys': ['']}],
            [{'name': '', 'api_keys': [KEY]}],
            [{'name': 'a\r\nx-b: c', 'api_keys': [KEY]}],
            [{'name': 'a', 'api_keys': [KEY]}, {'name': 'a', 'api_keys': []}],
            [{'name': 'a', 'api_keys': [KEY], 'rate_per_s': -1}],
            # These overflow in the daemons, which end.
            [{'name': 'a', 'api_keys': [KEY], 'rate_per_s': 1e308}],
            [{'name': 'a', 'api_keys': [KEY], 'rate_per_s': 5e-324}],
            [{'name': 'a', 'api_keys': [KEY], 'burst': 1e308}],
            [{'name': 'a', 'api_keys': [KEY], 'priority': 2**40}],
            [{'name': 'a', 'api_keys': [KEY], 'priority': -1}],
        ],
    )
    def test_refused_without_showing_the_key(self, tenants):
        """Keep the configuration in force, and the key out of the logs."""
        with pytest.raises(ValueError) as refusal:  # noqa: PT011
            decode_configuration(make_configuration(tenants))
        assert KEY not in str(refusal.value)

    def test_many_keys(self):
        """Find a key among 100,000."""
        stated = [
            {'name': f't-{each}', 'api_keys': [f'k-{each}']}
            for each in range(100_000)
        ]
        table = RouteTable(decode_configuration(make_configuration(stated)))
        assert table.tenants.find(digest_key(b'k-99999')).name == 't-99999'
