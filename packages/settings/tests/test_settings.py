"""Tests of loading, validating and documenting the settings of a daemon."""

import json

import msgspec
import pytest
from cornelbeam_settings import (
    DocumentError,
    SettingsError,
    describe_keys,
    documentation_table,
    load_settings,
    parse_document,
    parse_settings,
)

LISTENER = {'host': '127.0.0.1'}


def minimal_settings(**changes):
    settings = {
        'instance': {
            'name': 'windows-1',
            'service': 'windows',
            'domain': 'Langley',
            'region': 'fraser-valley',
        },
        'caller_listener': LISTENER,
        'peer_listener': LISTENER,
        'admin_listener': LISTENER,
        'backend_server': {'port': 8000},
        'object_api': {'base_url': 'http://127.0.0.1:8500'},
        'fleet': {'secret_file': 'secret'},
    }
    for path, change in changes.items():
        section, _, key = path.partition('__')
        settings.setdefault(section, {})
        settings[section] = {**settings[section], key: change}
    return settings


def problems_of(content):
    text = json.dumps(content, indent=1)
    caught = pytest.raises(SettingsError, parse_settings, text, 'f.jsonc')
    return caught.value.problems


class TestLines:
    """Guards against messages that refer to the wrong line."""

    TEXT = '\n'.join(
        (
            '{ // "a": 0',
            '  /* two',
            '     lines, "b": 1 */ "a": {"x": "// no /* comment",},',
            '  "list": [1, // one',
            '    {"deep": 2},',
            '  ], // last',
            '}',
        )
    )

    def test_comments_and_trailing_commas_keep_lines(self):
        document = parse_document(self.TEXT)
        assert document.content == {
            'a': {'x': '// no /* comment'},
            'list': [1, {'deep': 2}],
        }
        assert document.line_of(('a', 'x')) == 3
        assert document.line_of(('list', 0)) == 4
        assert document.line_of(('list', 1, 'deep')) == 5
        assert document.line_of(('list', 1, 'none')) == 5

    @pytest.mark.parametrize(
        ('text', 'line', 'reason'),
        [
            ('{\n"a": }', 2, 'Expecting value'),
            ('{/*\n*/"a": 1,\n"a": 2}', 3, '"a" appears twice'),
            ('', 1, 'Expecting value'),
        ],
    )
    def test_malformed(self, text, line, reason):
        with pytest.raises(DocumentError, match=reason) as caught:
            parse_document(text)
        assert caught.value.line == line


class TestChecks:
    """Guards against accepting settings that a daemon would misread."""

    def test_smallest_file_gets_the_defaults(self, tmp_path):
        path = tmp_path / 'settings.jsonc'
        path.write_text(f'// comment\n{json.dumps(minimal_settings())}')
        settings = load_settings(path)
        assert settings.limits.drain_ms == 600_000
        assert settings.backend_server.cold_slot_count == 2
        assert settings.peer_listener.port == 0

    @pytest.mark.parametrize(
        ('change', 'message'),
        [
            (
                {'limits__que_ms': 5},
                'limits.que_ms: unknown key, did you mean "queue_ms"?',
            ),
            (
                {'limits__queue_ms': -1},
                'limits.queue_ms: Expected `int` >= 0; allowed: 0 to 60000 ms',
            ),
            (
                {'limits__queue_ms': '5s'},
                'limits.queue_ms: Expected `int`, got `str`;',
            ),
            (
                {'policy__selection': 'random'},
                'allowed: power_of_two, power_of_three, least_outstanding,'
                ' weighted_reports, subset',
            ),
            ({'instance__service': 'Windows'}, 'lower case letters'),
            ({'peer_listener__host': 'yard'}, '"yard" is not an IP address'),
            (
                {'peer_listener__host': '0.0.0.0'},
                'must not be the unspecified address',
            ),
            ({'fleet__introducers': ['10.0.0.1']}, '"10.0.0.1" is not ip:port'),
            ({'fleet__called_services': ['A']}, 'not a valid service name'),
            ({'backend_server__cold_slot_count': 21}, 'more than slot_count'),
            ({'fleet__suspicion_ms': 900}, 'less than ping_period_ms'),
            ({'limits__default_timeout_ms': 50}, 'more than default_timeout'),
        ],
    )
    def test_fault_is_named(self, change, message):
        problem, *others = problems_of(minimal_settings(**change))
        assert not others
        assert message in str(problem)
        assert str(problem).startswith(f'f.jsonc:{problem.line}: ')

    def test_all_faults_are_reported_with_their_lines(self):
        content = minimal_settings(limits__queue_ms=-1, log__levle='INFO')
        content.pop('fleet')
        problems = problems_of(content)
        assert [problem.field for problem in problems] == [
            'fleet',
            'limits.queue_ms',
            'log.levle',
        ]
        lines = json.dumps(content, indent=1).splitlines()
        assert '"queue_ms"' in lines[problems[1].line - 1]
        assert '"levle"' in lines[problems[2].line - 1]

    @pytest.mark.parametrize('text', ['[]', '{"log": 3}', 'null'])
    def test_wrong_shapes(self, text):
        with pytest.raises(SettingsError, match='must be an object'):
            parse_settings(text)

    def test_unreadable_file(self, tmp_path):
        with pytest.raises(SettingsError, match="can't be read: No such"):
            load_settings(tmp_path / 'none')


class TestDocumentation:
    """Guards against keys without a description, unit or range."""

    def test_every_key_is_described(self):
        for entry in describe_keys():
            assert entry.description, entry.key
            assert entry.default, entry.key

    def test_every_number_has_a_range_and_unit(self):
        for entry in describe_keys():
            if entry.type_name in {'integer', 'number'}:
                assert ' to ' in entry.range
                assert entry.unit or entry.key == 'port'

    def test_table_has_a_row_for_each_key(self):
        table = documentation_table().splitlines()
        assert len(table) == 2 + len(list(describe_keys()))
        row = next(line for line in table if 'limits.queue_ms' in line)
        assert '| ms | `100` | 0 to 60000 |' in row

    def test_defaults_pass_their_own_checks(self):
        settings = parse_settings(json.dumps(minimal_settings()))
        again = json.dumps(msgspec.to_builtins(settings))
        assert parse_settings(again) == settings
