"""Tests of the kinds of configuration objects."""

import pytest
from cornelbeam_core.errors import ErrorCode
from cornelbeam_core.requests import RepeatRule
from cornelbeam_core.selectors import SelectorSpec
from cornelbeam_object_api.kinds import (
    KINDS,
    SpecError,
    find_name_problem,
    is_address,
    parse_spec,
)


class TestSpecs:
    """Guards against specs that a daemon would misinterpret."""

    def test_selector_keeps_every_field(self):
        spec = parse_spec(
            'selector',
            {
                'priority': 10,
                'service': 'billing-desk',
                'methods': ['POST'],
                'path_prefix': '/payments',
                'header_equals': {'desk': '1'},
                'target_labels': {'tier': ['gold', 'silver']},
                'repeat': 'never',
                'timeout_ms': 900,
            },
        )
        assert spec.to_selector('pay-once') == SelectorSpec(
            name='pay-once',
            priority=10,
            service='billing-desk',
            methods=('POST',),
            path_prefix='/payments',
            header_equals={'desk': '1'},
            target_labels={'tier': ('gold', 'silver')},
            repeat=RepeatRule.NEVER,
            timeout_ms=900,
        )

    def test_selector_defaults_match_everything(self):
        selector = parse_spec('selector', {}).to_selector('all')
        assert selector == SelectorSpec('all')

    @pytest.mark.parametrize(
        ('kind', 'raw', 'message'),
        [
            ('selecto', {}, 'did you mean "selector"?'),
            ('selector', {'repaet': 'never'}, 'did you mean "repeat"?'),
            ('selector', {'repeat': 'often'}, 'repeat: Invalid enum value'),
            ('selector', {'methods': ['GET', 'post']}, 'methods.1: Expected'),
            ('selector', {'path_prefix': 'pay'}, 'path_prefix: Expected'),
            ('selector', {'service': 'Billing'}, 'service: "Billing" is no'),
            ('selector', {'target_labels': {'t': []}}, 'target_labels.t: '),
            ('selector', {'header_equals': {'Desk': ''}}, 'header_equals.Desk'),
            ('selector', {'timeout_ms': 0}, 'timeout_ms: Expected `int` >= 1'),
            ('selector', [], 'must be an object'),
            ('labels', {}, 'labels: missing'),
            ('labels', {'labels': {'a': 1}}, 'labels.a: Expected `str`'),
            ('failure-domain', {'is_in_service': 1}, 'Expected `bool`'),
            ('introducers', {'addresses': ['yard:1']}, 'addresses.0: "yard:1"'),
            ('service', {'timeout': 1}, 'did you mean "timeout_ms"?'),
        ],
    )
    def test_problem_is_reported(self, kind, raw, message):
        with pytest.raises(SpecError) as caught:
            parse_spec(kind, raw)
        assert caught.value.code is ErrorCode.SETTINGS_INVALID
        assert message in str(caught.value)

    def test_all_problems_are_reported(self):
        raw = {'x': 1, 'priority': '1', 'methods': 1}
        caught = pytest.raises(SpecError, parse_spec, 'selector', raw)
        paths = [problem.path for problem in caught.value.problems]
        assert paths == [('x',), ('priority',), ('methods',)]

    def test_all_kinds_are_registered(self):
        assert set(KINDS) == {
            'service',
            'selector',
            'labels',
            'failure-domain',
            'introducers',
        }


class TestNames:
    """Guards against names that break a URL or a Host header."""

    @pytest.mark.parametrize('name', ['a', 'depot-north', 'Langley', 'a.b_c'])
    def test_allowed(self, name):
        assert not find_name_problem('selector', name)

    @pytest.mark.parametrize('name', ['', 'a/b', '-a', 'a b', '..', 'ä'])
    def test_refused(self, name):
        assert find_name_problem('selector', name)

    def test_service_is_a_host_label(self):
        assert find_name_problem('service', 'a.b')
        assert find_name_problem('service', 'Windows')

    @pytest.mark.parametrize(
        ('text', 'is_valid'),
        [
            ('[::1]:70', True),
            ('127.0.0.1:0', False),
            ('127.0.0.1', False),
            ('127.0.0.1:70000', False),
        ],
    )
    def test_addresses(self, text, is_valid):
        assert is_address(text) is is_valid
