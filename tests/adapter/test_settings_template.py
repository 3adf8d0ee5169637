"""Settings that the platform fills in from its own."""

import json
import re
from pathlib import Path

import pytest
from cornelbeam_mesh.settings import load_mesh_settings

TEMPLATE = (
    Path(__file__).parents[2] / 'deploy' / 'settings.template.jsonc'
).read_text(encoding='utf-8')
PLATFORM = {
    'node_name': 'place-1',
    'service': 'desk',
    'zone': 'north',
    'ip_address': '10.0.0.1',
    'listen_addresses': {
        'outbound': '10.0.0.1:80',
        'inbound': '10.0.0.1:81',
        'control': '10.0.0.1:82',
        'ready': '10.0.0.1:83',
    },
    'application_address': '127.0.0.1:90',
    'heartbeat_interval_ms': 1500,
    'platform': {'address': '10.0.0.9:80'},
}
BOUNDS = {
    'retry_budget_ratio': 0.2,
    'retry_budget_slack': 60,
    'budget_window_s': 10,
    'cold_factor': 1.5,
    'cold_slack': 5,
    'grace_period_s': 6,
}


def render(values) -> str:
    """Fill the template in as the platform does."""

    def look_up(name):
        found = values
        for part in name.split('.'):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    text = re.sub(
        r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}',
        lambda match: match[2] if look_up(match[1]) else '',
        TEMPLATE,
        flags=re.DOTALL,
    )
    return re.sub(
        r'\{\{([\w.]+)(\|json)?\}\}',
        lambda match: (
            json.dumps(look_up(match[1])) if match[2] else look_up(match[1])
        ),
        text,
    )


class TestRevocation:
    """A daemon doesn't start, or doesn't know the bound of revocation."""

    @pytest.mark.parametrize(
        ('stated', 'expected_ms'),
        [
            ({'strict_revocation': True, 'revocation_ms': 5000}, 5000),
            ({'strict_revocation': False, 'revocation_ms': 5000}, None),
            ({'strict_revocation': False}, None),
            ({}, None),
        ],
    )
    def test_bound_is_set_with_strict_revocation_only(
        self, tmp_path, stated, expected_ms
    ):
        path = tmp_path / 'settings.jsonc'
        filled_in = render(PLATFORM | {'bounds': BOUNDS | stated})
        path.write_text(filled_in, encoding='utf-8')
        settings = load_mesh_settings(str(path))
        assert settings.bounds.revocation_ms == expected_ms
        assert settings.bounds.grace_s == BOUNDS['grace_period_s']
