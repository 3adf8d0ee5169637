"""Tests that the documentation matches the code."""

import re
from pathlib import Path

import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_object_api.kinds import KINDS, SelectorObjectSpec
from cornelbeam_operator.exit_codes import MEANINGS
from cornelbeam_settings import documentation_table

DOCS = Path(__file__).parents[3] / 'docs'
# These codes appear only in commands and logs, so they have no HTTP status.
CODES_WITHOUT_STATUS = frozenset(
    (
        ErrorCode.STORE_UNAVAILABLE,
        ErrorCode.STORE_CONFLICT,
        ErrorCode.SETTINGS_INVALID,
    )
)


def read_page(name):
    return (DOCS / name).read_text(encoding='utf-8')


class TestTables:
    """Guards against tables that are out of date."""

    def test_settings(self):
        assert documentation_table() in read_page('settings.md')

    @pytest.mark.parametrize('code', list(ErrorCode))
    def test_error_codes(self, code):
        status = f' {CornelbeamError(code, "x").http_status} '
        if code in CODES_WITHOUT_STATUS:
            status = ' '
        assert f'| `{code.value}` |{status}' in read_page('errors.md')

    def test_exit_codes(self):
        page = read_page('operators/README.md').replace('`', '')
        for code, meaning in MEANINGS.items():
            assert f'| {code.value} | {meaning} |' in page

    def test_kinds_and_selector_fields(self):
        page = read_page('selectors.md')
        for name in (*KINDS, *SelectorObjectSpec.__struct_fields__):
            assert f'| `{name}` |' in page


class TestCommands:
    """Guards against pages with unknown commands or broken links."""

    @pytest.mark.parametrize('page', sorted(DOCS.glob('operators/*.md')))
    def test_shown_subcommands(self, terminal, page, capsys):
        shown = re.findall(r'cornelbeamctl ([a-z-]+)', page.read_text())
        for subcommand in sorted(set(shown)):
            with pytest.raises(SystemExit) as caught:
                terminal.run(subcommand, '--help')
            assert caught.value.code == 0
            assert 'Example' in capsys.readouterr().out

    @pytest.mark.parametrize('page', sorted(DOCS.glob('operators/*.md')))
    def test_links(self, page):
        for link in re.findall(r'\]\(([^)#]+)', page.read_text()):
            assert (page.parent / link).exists()
