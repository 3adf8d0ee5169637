"""Limits of requests that operators configure."""

import json
from types import SimpleNamespace

import pytest
from cornelbeam_adapter.configuration import decode_configuration
from cornelbeam_core.routes import RequestLimits
from cornelbeam_mesh.listeners import (
    BODY_LIMIT_BYTES,
    HEAD_LIMIT_BYTES,
    apply_limits,
    default_limits,
)
from soak_fleet import make_configuration


def decode(limits) -> RequestLimits:
    """Decode a configuration with these limits."""
    stated = make_configuration() | {'limits': limits}
    return decode_configuration(json.dumps(stated).encode()).limits


class TestDecoding:
    """Guards against limits that operators state and the daemon ignores."""

    def test_stated_ones(self):
        limits = decode(
            {
                'header_bytes': 16_384,
                'body_bytes': 67_108_864,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15_000,
            }
        )
        assert limits == RequestLimits(16_384, 67_108_864)

    def test_none_are_needed(self):
        plain = json.dumps(make_configuration()).encode()
        assert decode_configuration(plain).limits == RequestLimits()
        assert decode({'body_bytes': 0}) == RequestLimits(None, 0)

    @pytest.mark.parametrize('limits', [None, {}, {'header_bytes': None}])
    def test_null_is_the_default(self, limits):
        assert decode(limits) == RequestLimits()

    @pytest.mark.parametrize(
        'limits',
        [
            {'body_bytes': -1},
            {'header_bytes': 0},
            {'header_bytes': 1.0},
            {'header_bytes': '64k'},
            {'body_bytes': True},
            {'body_bytes': 'much'},
            {'body_bytes': 1.5},
            [],
            'none',
        ],
    )
    def test_invalid_ones_are_ignored_and_logged(self, limits, monkeypatch):
        """Routes would not come into force after an upgrade."""
        lines = []
        log = SimpleNamespace(
            warning=lambda sentence, **_: lines.append(sentence)
        )
        monkeypatch.setattr('cornelbeam_adapter.configuration._log', log)
        assert decode(limits) == RequestLimits()
        assert len(lines) == 1

    def test_valid_one_beside_an_invalid_one_holds(self):
        stated = {'header_bytes': 0, 'body_bytes': 5}
        assert decode(stated) == RequestLimits(None, 5)


class TestApplying:
    """Guards against limits that stay in force after they were removed."""

    def test_defaults_return(self):
        limits = default_limits()
        apply_limits(limits, RequestLimits(1000, 0))
        assert (limits.head_bytes, limits.body_bytes) == (1000, 0)
        apply_limits(limits, RequestLimits())
        assert limits.head_bytes == HEAD_LIMIT_BYTES
        assert limits.body_bytes == BODY_LIMIT_BYTES

    def test_head_must_fit_into_a_frame(self):
        limits = default_limits()
        apply_limits(limits, RequestLimits(10 * HEAD_LIMIT_BYTES, None))
        assert limits.head_bytes == HEAD_LIMIT_BYTES
