"""Tests of the daemon's logging."""

import io
import json
import re
from collections.abc import Iterator

import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_daemon.logs import get_log, set_up_logs
from loguru import logger

_TIME = re.compile(r'\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z')


@pytest.fixture
def stream() -> Iterator[io.StringIO]:
    """Yield a stream for log lines; remove the log handlers afterwards."""
    yield io.StringIO()
    logger.remove()


class TestLines:
    """Guards against lines that people or programs cannot read."""

    def test_text(self, stream: io.StringIO) -> None:
        """A line holds time, level, part, message and fields."""
        set_up_logs('info', is_json=False, stream=stream)
        log = get_log('caller')
        log.debug('Attempt sent.', request='4f1c')
        log.info('Request refused.', request='4f1c', code='overloaded')
        line = _TIME.sub('TIME', stream.getvalue())
        assert line == (
            'TIME info caller: Request refused. request=4f1c code=overloaded\n'
        )

    def test_json(self, stream: io.StringIO) -> None:
        """A line is one JSON object and fields keep their type."""
        set_up_logs('DEBUG', is_json=True, stream=stream)
        get_log('config').warning('Revision {} is old.', revision=7)
        line = json.loads(stream.getvalue())
        assert _TIME.fullmatch(line.pop('time'))
        assert line == {
            'level': 'warning',
            'part': 'config',
            'message': 'Revision {} is old.',
            'fields': {'revision': 7},
        }


class TestContent:
    """Guards against logged secrets and forged lines."""

    @pytest.mark.parametrize('is_json', [False, True])
    def test_sensitive_fields(self, stream: io.StringIO, is_json: bool) -> None:
        """Bodies and secrets are left out and long values are truncated."""
        set_up_logs('info', is_json=is_json, stream=stream)
        get_log('backend').info(
            'Request read.',
            body='sand',
            fleet_secret='sand',
            path='a' * 1000,
        )
        assert 'sand' not in stream.getvalue()
        assert 'a' * 201 not in stream.getvalue()

    @pytest.mark.parametrize('is_json', [False, True])
    def test_line_ends(self, stream: io.StringIO, is_json: bool) -> None:
        """A value from a caller cannot start a line or add a field."""
        set_up_logs('info', is_json=is_json, stream=stream)
        get_log('caller').error('Request refused.', path='/\n code=ok "x"')
        assert stream.getvalue().count('\n') == 1
        assert ' code=ok "' not in stream.getvalue().replace(r'\n code=ok', '')


class TestSetUp:
    """Guards against settings that are accepted and then ignored."""

    def test_unknown_level(self) -> None:
        """An unknown level is refused with the name of its setting."""
        with pytest.raises(CornelbeamError, match='log.level') as failure:
            set_up_logs('loud', is_json=False)
        assert failure.value.code is ErrorCode.SETTINGS_INVALID

    def test_unknown_part(self) -> None:
        """A part outside the fixed set is refused."""
        with pytest.raises(ValueError, match='mesh'):
            get_log('mesh')
