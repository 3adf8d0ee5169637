"""Tests of decoding registration messages and configurations."""

import json
import re
from pathlib import Path

import pytest
from cornelbeam_adapter import names
from cornelbeam_adapter.configuration import decode_configuration
from cornelbeam_adapter.message_parser import MessageParser
from cornelbeam_core.routes import DEFAULT_ROUTE_TIMEOUT_MS, RequestKind
from cornelbeam_mesh.platform_adapter import Deregistration
from test_store import CONFIGURATION

ROOT = Path(__file__).parents[2]
HEARTBEAT = {
    'address': '10.0.0.9:8080',
    'information': {
        'service': 'a',
        'version': 'v1',
        'zone': 'north',
        'capacity_slots': 6,
    },
    'status': {'state': 'ready', 'sequence': 4, 'cold_remaining_ms': 0},
    'born': 1_700_000_000_000,
}
HEARTBEAT_PATH = b'/cornelbeam/Instances.Heartbeat/i-1'


def parse_registration(message, path=HEARTBEAT_PATH):
    """Parse a registration message."""
    return MessageParser().read_registration(
        b'POST',
        path,
        json.dumps(message).encode(),
    )


class TestRegistration:
    """Guards against accepting invalid registration messages."""

    def test_heartbeat(self):
        heartbeat = parse_registration(HEARTBEAT)
        assert (heartbeat.instance, heartbeat.started_ms) == (
            'i-1',
            HEARTBEAT['born'],
        )
        assert heartbeat.slot_count == 6
        assert not heartbeat.is_draining

    @pytest.mark.parametrize(
        ('stated', 'expected'), [('v1', 'v1'), (7, ''), (None, '')]
    )
    def test_odd_version_does_not_cost_the_target(self, stated, expected):
        information = {**HEARTBEAT['information'], 'version': stated}
        heartbeat = parse_registration(HEARTBEAT | {'information': information})
        assert heartbeat.version == expected

    def test_deregistration(self):
        message = parse_registration({}, b'/cornelbeam/Instances.Leave/i-1')
        assert message == Deregistration('i-1')

    @pytest.mark.parametrize(
        'change',
        [
            {'address': 9},
            {'status': {'state': 'ready'}},
            {'status': {**HEARTBEAT['status'], 'state': 'fine'}},
            {'status': {**HEARTBEAT['status'], 'sequence': '4'}},
            {'information': {**HEARTBEAT['information'], 'capacity_slots': 0}},
            {'information': None},
            {'born': 1.5},
        ],
    )
    def test_invalid_heartbeat(self, change):
        with pytest.raises(ValueError):
            parse_registration({**HEARTBEAT, **change})

    def test_load(self):
        load = MessageParser().read_load(b'3,1,8,400')
        assert (load.running_count, load.slowdown_percent) == (3, 400)
        assert MessageParser().read_load(b'3,1') is None

    @pytest.mark.parametrize(
        ('stated', 'limit_per_s'),
        [
            (b'10.5', 10.5),
            (b' 3 ', 3),
            (b'0', 0),
            (b'-1', None),
            (b'nan', None),
            (b'inf', None),
            (b'many', None),
            (b'', None),
        ],
    )
    def test_rate_limit(self, stated, limit_per_s):
        assert MessageParser().read_rate_limit(stated) == limit_per_s

    def test_leaving(self):
        assert MessageParser().read_leaving(b'1')
        assert not MessageParser().read_leaving(b'0')


class TestConfiguration:
    """Guards against routes that are decoded differently than written."""

    def test_route(self):
        decoded = decode_configuration(json.dumps(CONFIGURATION).encode())
        route = decoded.routes[0]
        assert decoded.version == 12
        assert route.host == 'yard.example'
        assert route.kind is RequestKind.NON_IDEMPOTENT
        assert [share.weight for share in route.shares] == [90, 10]

    @pytest.mark.parametrize(
        'action',
        [{}, {'service': 'none'}, {'weighted_services': []}],
    )
    def test_route_without_known_service(self, action):
        broken = json.loads(json.dumps(CONFIGURATION))
        broken['listeners'][0]['rules'][0]['action'] = action
        with pytest.raises(ValueError):
            decode_configuration(json.dumps(broken).encode())

    @pytest.mark.parametrize(
        ('kind', 'decoded_kind'),
        [
            ('download', RequestKind.DOWNLOAD),
            ('stream-of-2031', RequestKind.UNSUPPORTED),
        ],
    )
    def test_kind(self, kind, decoded_kind):
        changed = json.loads(json.dumps(CONFIGURATION))
        changed['listeners'][0]['rules'][0]['kind'] = kind
        decoded = decode_configuration(json.dumps(changed).encode())
        assert decoded.routes[0].kind is decoded_kind

    def test_route_without_time_limit(self):
        unlimited = json.loads(json.dumps(CONFIGURATION))
        unlimited['listeners'][0]['rules'][0]['action'].pop('timeout_ms')
        decoded = decode_configuration(json.dumps(unlimited).encode())
        assert decoded.routes[0].timeout_ms == DEFAULT_ROUTE_TIMEOUT_MS


class TestNames:
    """Guards against platform names outside the adapter."""

    def test_names_appear_only_in_adapter(self):
        headers = names.HEADERS
        known = [
            getattr(headers, field).decode() for field in headers.__slots__
        ]
        known += [names.HEARTBEAT_PATH, names.LEAVE_PATH, names.OBJECTS_PATH]
        pattern = re.compile('|'.join(map(re.escape, known)), re.IGNORECASE)
        for source in sorted(ROOT.glob('packages/*/src/**/*.py')):
            assert not pattern.search(source.read_text()), source
