"""Log lines of the daemon, as text for people or as JSON for machines.

A line is a short fixed sentence behind the prefix of the part it comes from,
followed by named fields:

    2026-03-02T08:00:00.125Z info caller: Request refused. request=4f1c

Bodies and secrets do not belong in a log. Fields whose name suggests one are
replaced, control characters are escaped and long values are cut, so that no
input of a caller can forge a line.
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
    ('caller', 'backend', 'member', 'config', 'relay', 'admin'),
)
LEVELS: Final = ('debug', 'info', 'warning', 'error')
_LEFT_OUT: Final = '[left out]'
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
    """Takes whole lines."""

    def write(self, line: str, /) -> int:
        """Write one line; give its length."""

    def flush(self) -> None:
        """Pass on what was written."""


@final
class PartLog:
    """Writes the lines of one part of the daemon.

    The message is a fixed sentence; what varies goes into fields. Pass
    ``request`` with the request identifier wherever a request is concerned.

    >>> log = get_log('caller')
    >>> log.info('Request refused.', request='4f1c', code='overloaded')
    """

    __slots__ = ('_bound',)

    def __init__(self, part: str) -> None:
        """Write lines with the prefix ``part``."""
        self._bound = logger.bind(part=part)

    def debug(self, message: str, **fields: FieldValue) -> None:
        """Write a line that helps to follow one request or exchange."""
        self._bound.bind(fields=fields).debug(message)

    def info(self, message: str, **fields: FieldValue) -> None:
        """Write a line on a change of state in normal operation."""
        self._bound.bind(fields=fields).info(message)

    def warning(self, message: str, **fields: FieldValue) -> None:
        """Write a line on a fault that the daemon handles by itself."""
        self._bound.bind(fields=fields).warning(message)

    def error(self, message: str, **fields: FieldValue) -> None:
        """Write a line on a fault that an operator has to look at."""
        self._bound.bind(fields=fields).error(message)


def get_log(part: str) -> PartLog:
    """Give the log of a part; raises ``ValueError`` on an unknown part."""
    if part not in PARTS:
        raise ValueError(f'{part!r} is not a part of the daemon')
    return PartLog(part)


def set_up_logs(
    level: str,
    is_json: bool,
    stream: LineStream | None = None,
) -> None:
    """Write all lines from ``level`` up to ``stream``, by default stderr.

    Replaces any earlier set-up of the process. Raises ``settings_invalid``
    when the level is not one of ``LEVELS``.
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
        # Loguru would print the values of local variables with a traceback,
        # and these can hold bodies and secrets.
        diagnose=False,
        backtrace=False,
    )


def render_text(record: 'Record') -> str:
    """Render a record as one line of text, without the line end."""
    extra = record['extra']
    fields = ''.join(
        f' {name}={_quote(str(value))}'
        for name, value in _clean_fields(extra.get('fields', {}))
    )
    return '{time} {level} {part}: {message}{fields}'.format(
        time=_format_time(record['time']),
        level=record['level'].name.lower(),
        part=extra.get('part', 'daemon'),
        message=_one_line(record['message']),
        fields=fields,
    )


def render_json(record: 'Record') -> str:
    """Render a record as one JSON object, without the line end."""
    extra = record['extra']
    return json.dumps(
        {
            'time': _format_time(record['time']),
            'level': record['level'].name.lower(),
            'part': extra.get('part', 'daemon'),
            'message': record['message'],
            'fields': dict(_clean_fields(extra.get('fields', {}))),
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
        """Write what ``render`` gives to ``stream``."""
        self._render = render
        self._stream = stream

    def __call__(self, message: 'Message') -> None:
        """Write one line."""
        self._stream.write(f'{self._render(message.record)}\n')
        self._stream.flush()


def _clean_fields(
    fields: Mapping[str, FieldValue],
) -> list[tuple[str, FieldValue]]:
    return [(name, _clean(name, value)) for name, value in fields.items()]


def _clean(name: str, value: FieldValue) -> FieldValue:
    if any(word in name for word in _SENSITIVE_WORDS):
        return _LEFT_OUT
    if isinstance(value, str) and len(value) > _MAX_VALUE_CHARACTERS:
        return f'{value[:_MAX_VALUE_CHARACTERS]}...'
    return value


def _one_line(text: str) -> str:
    return text if text.isprintable() else json.dumps(text)


def _quote(text: str) -> str:
    """Put a text in quotes that would not stand out as one word.

    >>> _quote('yard-1'), _quote('pit 4')
    ('yard-1', '"pit 4"')
    """
    is_word = text.isprintable() and not _SEPARATORS.intersection(text)
    return text if text and is_word else json.dumps(text)


def _format_time(time: dt.datetime) -> str:
    utc = time.astimezone(dt.UTC)
    return f'{utc:%Y-%m-%dT%H:%M:%S}.{utc.microsecond // 1000:03d}Z'
