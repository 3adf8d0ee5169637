"""Logging of the daemon, as text or as JSON.

A line holds the part of the daemon that wrote it, a fixed message and named
fields:

    2026-03-02T08:00:00.125Z info caller: Request refused. request=4f1c

Bodies and secrets must not be logged: values of fields whose names suggest
one are replaced. Control characters are escaped and long values are truncated,
so that input of a caller cannot forge a line.
"""

import datetime as dt
import json
import sys
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Final, Protocol, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message, Record

FieldValue = str | int | float | bool

PARTS: Final = frozenset(
    ('caller', 'backend', 'member', 'config', 'relay', 'admin', 'rollout'),
)
LEVELS: Final = ('debug', 'info', 'warning', 'error')
_REDACTED: Final = '[left out]'
_SENSITIVE_WORDS: Final = (
    'authorization',
    'body',
    'content',
    'cookie',
    'password',
    'proof',
    'secret',
    'token',
)
_MAX_VALUE_CHARACTERS: Final = 200
_SEPARATORS: Final = frozenset(' ="')


class LineStream(Protocol):
    """Stream to which whole lines are written."""

    def write(self, line: str, /) -> int:
        """Write one line and return its length."""

    def flush(self) -> None:
        """Flush the lines written so far."""


@final
class PartLog:
    """Writes the lines of one part of the daemon.

    The message is fixed and varying values are fields. Lines about a request
    have its identifier in the field ``request``.

    >>> log = get_log('caller')
    >>> log.info('Request refused.', request='4f1c', code='overloaded')
    """

    __slots__ = ('_bound',)

    def __init__(self, part: str) -> None:
        """Log as ``part``."""
        self._bound = logger.bind(part=part)

    def debug(self, message: str, **fields: FieldValue) -> None:
        """Log a detail of one request or exchange."""
        self._bound.bind(fields=fields).debug(message)

    def info(self, message: str, **fields: FieldValue) -> None:
        """Log a change of state in normal operation."""
        self._bound.bind(fields=fields).info(message)

    def warning(self, message: str, **fields: FieldValue) -> None:
        """Log a fault that the daemon recovers from by itself."""
        self._bound.bind(fields=fields).warning(message)

    def error(self, message: str, **fields: FieldValue) -> None:
        """Log a fault that needs an operator."""
        self._bound.bind(fields=fields).error(message)


def get_log(part: str) -> PartLog:
    """Return the log of a part; raise ``ValueError`` for an unknown one."""
    if part not in PARTS:
        raise ValueError(f'{part!r} is not a part of the daemon')
    return PartLog(part)


def set_up_logs(
    level: str,
    is_json: bool,
    stream: LineStream | None = None,
) -> None:
    """Log lines of at least ``level`` to ``stream``, by default stderr.

    Replace any earlier configuration of the process. Raise
    ``CornelbeamError`` with ``settings_invalid`` if the level is not one of
    ``LEVELS``.
    """
    if level.lower() not in LEVELS:
        raise CornelbeamError(
            ErrorCode.SETTINGS_INVALID,
            'settings',
            detail=f'log.level is {level!r}, expected one of {LEVELS}',
        )
    render = render_json if is_json else render_text
    logger.remove()
    logger.add(
        _Sink(render, stream or sys.stderr),
        level=level.upper(),
        format='{message}',
        # Otherwise loguru prints the values of local variables in tracebacks,
        # and these can hold bodies and secrets.
        diagnose=False,
        backtrace=False,
    )


def render_text(record: 'Record') -> str:
    """Return a record as one line of text, without a newline."""
    extra = record['extra']
    fields = ''.join(
        f' {name}={_quote(str(value))}'
        for name, value in _redact_fields(extra.get('fields', {}))
    )
    return '{time} {level} {part}: {message}{fields}'.format(
        time=_format_time(record['time']),
        level=record['level'].name.lower(),
        part=extra.get('part', 'daemon'),
        message=_one_line(record['message']),
        fields=fields,
    )


def render_json(record: 'Record') -> str:
    """Return a record as one JSON object, without a newline."""
    extra = record['extra']
    return json.dumps(
        {
            'time': _format_time(record['time']),
            'level': record['level'].name.lower(),
            'part': extra.get('part', 'daemon'),
            'message': record['message'],
            'fields': dict(_redact_fields(extra.get('fields', {}))),
        },
    )


@final
class _Sink:
    """Writes rendered records to a stream."""

    __slots__ = ('_render', '_stream')

    def __init__(
        self,
        render: Callable[['Record'], str],
        stream: LineStream,
    ) -> None:
        """Write records to ``stream`` as ``render`` formats them."""
        self._render = render
        self._stream = stream

    def __call__(self, message: 'Message') -> None:
        """Write one line."""
        self._stream.write(f'{self._render(message.record)}\n')
        self._stream.flush()


def _redact_fields(
    fields: Mapping[str, FieldValue],
) -> list[tuple[str, FieldValue]]:
    return [(name, _redact(name, value)) for name, value in fields.items()]


def _redact(name: str, value: FieldValue) -> FieldValue:
    if any(word in name for word in _SENSITIVE_WORDS):
        return _REDACTED
    if isinstance(value, str) and len(value) > _MAX_VALUE_CHARACTERS:
        return f'{value[:_MAX_VALUE_CHARACTERS]}...'
    return value


def _one_line(text: str) -> str:
    return text if text.isprintable() else json.dumps(text)


def _quote(text: str) -> str:
    """Quote a text unless it is a single printable word.

    >>> _quote('yard-1'), _quote('pit 4')
    ('yard-1', '"pit 4"')
    """
    is_word = text.isprintable() and not _SEPARATORS.intersection(text)
    return text if text and is_word else json.dumps(text)


def _format_time(time: dt.datetime) -> str:
    utc = time.astimezone(dt.UTC)
    return f'{utc:%Y-%m-%dT%H:%M:%S}.{utc.microsecond // 1000:03d}Z'
