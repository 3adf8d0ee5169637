"""Tests of the command cornelbeam-check and of coloured output."""

import json
from types import SimpleNamespace

import pytest
from cornelbeam_core.selection import POLICIES
from cornelbeam_operator.check_cli import run
from cornelbeam_operator.output import is_colour_wanted
from cornelbeam_settings import describe_keys, documentation_table


class TestChecker:
    """Guards against reporting an invalid settings file as valid."""

    def test_invalid(self, tmp_path, capsys):
        path = tmp_path / 's.jsonc'
        path.write_text('{\n"log": {"levle": "INFO"}}')
        assert run([str(path)]) == 3
        assert f'{path}:2: log.levle: unknown key' in capsys.readouterr().err

    def test_json(self, tmp_path, capsys):
        path = tmp_path / 's.jsonc'
        path.write_text('[]')
        assert run([str(path), '--json']) == 3
        content = json.loads(capsys.readouterr().out)
        assert content['problems'][0]['line'] == 1

    def test_no_file(self):
        assert run([]) == 2

    def test_every_policy_can_be_set(self):
        keys = {f'{each.section}.{each.key}': each for each in describe_keys()}
        allowed = keys['policy.selection'].range.split(', ')
        assert sorted(allowed) == sorted(POLICIES)

    def test_documentation(self, capsys):
        assert run(['--document']) == 0
        assert capsys.readouterr().out == documentation_table()


class TestColour:
    """Guards against colour escape sequences in files and pipes."""

    @pytest.mark.parametrize(
        ('is_terminal', 'variables', 'is_wanted'),
        [
            (True, {}, True),
            (False, {}, False),
            (True, {'NO_COLOR': '1'}, False),
            (True, {'TERM': 'dumb'}, False),
        ],
    )
    def test_choice(self, is_terminal, variables, is_wanted):
        stream = SimpleNamespace(isatty=lambda: is_terminal)
        assert is_colour_wanted(stream, variables) is is_wanted
