"""Tests of the example files of both deployments."""

from pathlib import Path

import pytest
from cornelbeam_core.contradictions import find_contradictions
from cornelbeam_core.requests import RequestFacts
from cornelbeam_core.selectors import SelectorIndex
from cornelbeam_object_api.kinds import parse_spec
from cornelbeam_operator.object_files import read_objects
from cornelbeam_settings import load_settings

EXAMPLES = Path(__file__).parents[3] / 'examples'
DEPLOYMENTS = ('cooperative', 'utility')
# In the order to apply them: later files refer to earlier ones.
OBJECT_FILES = ('services', 'failure-domains', 'labels', 'selectors')
METHODS = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE')
CHANGING_METHODS = ('POST', 'PUT', 'PATCH', 'DELETE')


def selectors_of(deployment):
    objects = read_objects(EXAMPLES / deployment / 'selectors.jsonc')
    return [
        parse_spec('selector', each.spec).to_selector(each.name)
        for each in objects
    ]


class TestExamples:
    """Guards against examples that do not load or contradict the docs."""

    def test_every_file_is_covered(self):
        expected = {f'{name}.jsonc' for name in ('settings', *OBJECT_FILES)}
        for deployment in EXAMPLES.iterdir():
            assert deployment.name in DEPLOYMENTS
            assert {path.name for path in deployment.iterdir()} == expected

    @pytest.mark.parametrize('deployment', DEPLOYMENTS)
    def test_settings_fit_the_objects(self, deployment):
        folder = EXAMPLES / deployment
        settings = load_settings(folder / 'settings.jsonc')
        names = {
            each.reference
            for name in OBJECT_FILES
            for each in read_objects(folder / f'{name}.jsonc')
        }
        instance = settings.instance
        assert f'service/{instance.service}' in names
        assert f'failure-domain/{instance.domain}' in names
        assert f'labels/{instance.name}' in names

    @pytest.mark.parametrize(
        ('deployment', 'counts', 'slot_count'),
        [('cooperative', (4, 4, 16, 4), 20), ('utility', (4, 3, 13, 4), 6)],
    )
    def test_sizes_of_the_deployments(self, deployment, counts, slot_count):
        folder = EXAMPLES / deployment
        settings = load_settings(folder / 'settings.jsonc')
        assert settings.backend_server.slot_count == slot_count
        assert settings.backend_server.connection_count == 240
        assert counts == tuple(
            len(read_objects(folder / f'{name}.jsonc')) for name in OBJECT_FILES
        )

    @pytest.mark.parametrize('deployment', DEPLOYMENTS)
    def test_apply_without_warnings(self, deployment, terminal):
        for name in OBJECT_FILES:
            file = str(EXAMPLES / deployment / f'{name}.jsonc')
            assert terminal.run('apply', file) == 0
            assert not terminal.stderr

    @pytest.mark.parametrize('deployment', DEPLOYMENTS)
    def test_no_contradiction(self, deployment):
        assert not find_contradictions(selectors_of(deployment))

    @pytest.mark.parametrize(
        ('deployment', 'service', 'path', 'methods'),
        [
            ('cooperative', 'bookings', '/bookings', CHANGING_METHODS),
            ('cooperative', 'bookings', '/bookings/7', CHANGING_METHODS),
            ('utility', 'billing-desk', '/payments', CHANGING_METHODS),
            ('utility', 'billing-desk', '/payments/7', CHANGING_METHODS),
            ('utility', 'meter-portal', '/shutoffs', METHODS),
        ],
    )
    def test_never_repeats(self, deployment, service, path, methods):
        index = SelectorIndex.compile(selectors_of(deployment))
        for method in methods:
            route = index.route(RequestFacts(service, method, path, {}))
            assert route.selector_names
            assert not route.is_repeatable

    def test_window_searches_repeat(self):
        index = SelectorIndex.compile(selectors_of('cooperative'))
        facts = RequestFacts('windows', 'POST', '/windows/search', {})
        assert index.route(facts).is_repeatable
