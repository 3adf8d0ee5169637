"""Recorder of sessions, and their comparison with golden files.

A session is the sequence of messages between callers, daemons, backend servers
and the Object API, with notes on what participants decided. It is rendered as
text in which times, ports and identifiers are normalized, so that the same
behavior always results in the same text.

>>> recorder = SessionRecorder('One booking')
>>> recorder.record(8.5, 'caller', 'daemon-1', 'request', method='POST')
>>> recorder.note(8.502, 'daemon-1', 'chooses', target='daemon-2')
>>> print(recorder.render(), end='')
One booking
<BLANKLINE>
   0 ms  caller -> daemon-1: request method=POST
   2 ms  daemon-1: chooses target=daemon-2
"""

import difflib
import enum
import os
import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, final

from cornelbeam_core.errors import RunState
from cornelbeam_core.members import MemberState

RECORD_VARIABLE: Final = 'CORNELBEAM_RECORD'

_MS_PER_S: Final = 1000
_MAX_TEXT_LENGTH: Final = 40
_ADDRESS: Final = re.compile(r'(\d+\.\d+\.\d+\.\d+):(\d+)')
# Fields with random values, and the prefix of the numbers that replace them.
_IDENTIFIERS: Final = {
    'attempt_id': 'attempt',
    'request_id': 'request',
    'incarnation': 'incarnation',
    'target_incarnation': 'incarnation',
    'write_id': 'write',
    'nonce': 'nonce',
    'proof': 'proof',
}
# Fields of each message that a session shows. Other fields, such as headers,
# depend on the environment or repeat earlier messages.
_SHOWN_FIELDS: Final = {
    'Hello': ('name', 'service_name', 'domain', 'incarnation'),
    'CallStart': (
        'attempt_id',
        'target_incarnation',
        'method',
        'path',
        'remaining_ms',
        'is_repeatable',
        'request_id',
    ),
    'BodyPart': ('is_last',),
    'AnswerStart': ('status', 'body', 'is_complete', 'load'),
    'Refusal': ('code', 'run_state', 'retry_after_ms', 'step'),
    'Cancel': ('reason',),
    'Credit': ('size_bytes',),
    'OutcomeQuery': ('attempt_id', 'target_incarnation', 'is_forbidding'),
    'OutcomeReply': ('run_state', 'is_answer_kept'),
    'Ping': ('updates', 'revision'),
    'Ack': ('name', 'updates', 'revision'),
    'IndirectPing': ('name',),
    'ViewRequest': ('service_name',),
    'ViewReply': ('service_name', 'is_unchanged', 'members'),
    'ConfigPush': ('objects', 'since_revision', 'up_to_revision'),
    'ConfigPull': ('since_revision',),
    'ProbeRequest': ('caller',),
    'ProbeReply': ('is_healthy', 'age_ms'),
}


class GoldenMismatchError(AssertionError):
    """Raised when a session differs from its golden file."""


@final
@dataclass(frozen=True, slots=True)
class Event:
    """A message, or a note of a participant if ``receiver`` is empty.

    ``fields`` holds the values as sent; only the rendered text is normalized.
    A lost message is sent but never arrives.
    """

    at_s: float
    sender: str
    receiver: str
    name: str
    fields: Mapping[str, object]
    is_lost: bool = False

    def find(self, name: str) -> object:
        """Return the value of a field, None if the event has no such field."""
        return self.fields.get(name)


@final
class SessionRecorder:
    """Recorder of the events of one session, in the order they are added.

    ``has_times`` is false for sessions on a real clock: their text omits times
    and the values of fields in milliseconds.
    """

    __slots__ = ('_has_times', '_title', 'events')

    def __init__(self, title: str, *, has_times: bool = True) -> None:
        """Start a session without events."""
        self._title = title
        self._has_times = has_times
        self.events: list[Event] = []

    def record(
        self,
        at_s: float,
        sender: str,
        receiver: str,
        event: str,
        /,
        *,
        is_lost: bool = False,
        **fields: object,
    ) -> None:
        """Add a message that is not a thrift struct, such as HTTP."""
        self.events.append(
            Event(at_s, sender, receiver, event, fields, is_lost),
        )

    def record_message(
        self,
        at_s: float,
        sender: str,
        receiver: str,
        message: object,
        /,
        *,
        is_lost: bool = False,
        **fields: object,
    ) -> None:
        """Add a thrift struct with its shown fields and further ``fields``."""
        name = type(message).__name__
        shown = {
            field: _read_field(message, field) for field in _SHOWN_FIELDS[name]
        }
        self.events.append(
            Event(at_s, sender, receiver, name, shown | fields, is_lost),
        )

    def record_frame(
        self,
        at_s: float,
        sender: str,
        receiver: str,
        frame: Any,
        /,
        *,
        is_lost: bool = False,
        **fields: object,
    ) -> None:
        """Add the message inside a thrift ``Frame``."""
        for slot in frame.__slots__:
            message = getattr(frame, slot)
            if type(message).__name__ in _SHOWN_FIELDS:
                self.record_message(
                    at_s,
                    sender,
                    receiver,
                    message,
                    is_lost=is_lost,
                    **fields,
                )

    def note(
        self,
        at_s: float,
        sender: str,
        event: str,
        /,
        **fields: object,
    ) -> None:
        """Add a decision of a participant, or an event that affects it."""
        self.events.append(Event(at_s, sender, '', event, fields))

    def render(self, last_count: int | None = None) -> str:
        """Return the session as text with one line per event.

        With ``last_count``, the text has only that many events at the end.
        """
        shown = self.events
        head = [self._title, '']
        if last_count is not None and last_count < len(shown):
            head.append(f'({len(shown) - last_count} earlier events)')
            shown = shown[-last_count:]
        normalizer = _Normalizer(has_times=self._has_times)
        lines = normalizer.render_events(shown)
        return ''.join(f'{line}\n' for line in (*head, *lines))


def compare_with_golden(path: Path, text: str) -> None:
    """Compare a session with its golden file, or write the file.

    The file is written if the environment variable ``CORNELBEAM_RECORD`` is 1.
    Otherwise, raise ``GoldenMismatchError`` with the diff if they differ.
    """
    if os.environ.get(RECORD_VARIABLE) == '1':
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding='utf-8')
        return
    golden = path.read_text(encoding='utf-8') if path.exists() else ''
    if golden == text:
        return
    difference = difflib.unified_diff(
        golden.splitlines(),
        text.splitlines(),
        f'golden {path.name}',
        'this run',
        lineterm='',
    )
    raise GoldenMismatchError('\n'.join(difference))


@final
class _Normalizer:
    """Replaces values that differ between runs with numbered labels."""

    __slots__ = ('_has_times', '_labels', '_start_s')

    def __init__(self, *, has_times: bool) -> None:
        self._has_times = has_times
        self._labels: dict[str, dict[object, str]] = {}
        self._start_s: float | None = None

    def render_events(self, events: Iterable[Event]) -> Iterator[str]:
        """Yield a line per event, with labels numbered as they appear."""
        for event in events:
            line = f'{self._render_route(event)}{self._render_fields(event)}'
            if self._has_times:
                line = f'{self._render_time(event.at_s):>4} ms  {line}'
            yield line

    def _render_route(self, event: Event) -> str:
        route = event.sender
        if event.receiver:
            arrow = '-x' if event.is_lost else '->'
            route = f'{event.sender} {arrow} {event.receiver}'
        return f'{_ADDRESS.sub(self._replace_port, route)}: {event.name}'

    def _render_time(self, at_s: float) -> int:
        if self._start_s is None:
            self._start_s = at_s
        return round((at_s - self._start_s) * _MS_PER_S)

    def _render_fields(self, event: Event) -> str:
        return ''.join(
            f' {name}={self._render_value(name, value)}'
            for name, value in event.fields.items()
            if value is not None
        )

    def _render_value(self, name: str, value: object) -> str:
        prefix = _IDENTIFIERS.get(name)
        if prefix is not None:
            return self._assign_label(prefix, value)
        if name.endswith('_ms') and not self._has_times:
            return '*'
        if isinstance(value, bool):
            return 'yes' if value else 'no'
        if isinstance(value, enum.Enum):
            return value.name.lower()
        if isinstance(value, (list, tuple)):
            return f'[{", ".join(map(str, value))}]'
        return _ADDRESS.sub(self._replace_port, _shorten(value))

    def _replace_port(self, match: re.Match[str]) -> str:
        return f'{match[1]}:{self._assign_label("port", match[2])}'

    def _assign_label(self, prefix: str, value: object) -> str:
        labels = self._labels.setdefault(prefix, {})
        return labels.setdefault(value, f'{prefix}-{len(labels) + 1}')


def _shorten(value: object) -> str:
    if isinstance(value, bytes):
        value = value.decode('utf-8', 'backslashreplace')
    text = str(value)
    if len(text) > _MAX_TEXT_LENGTH:
        return f'{text[:_MAX_TEXT_LENGTH]}... ({len(text)} characters)'
    return text if text.isprintable() and text else repr(text)


def _read_field(message: object, name: str) -> object:
    value = getattr(message, name)
    if name == 'run_state':
        return RunState(value)
    if isinstance(value, (list, tuple)):
        return tuple(_summarize(element) for element in value)
    return value if _is_plain(value) else _summarize(value)


def _is_plain(value: object) -> bool:
    return value is None or isinstance(value, (str, bytes, int, float))


def _summarize(struct: Any) -> str:
    """Return a short text for a config object, member or load report."""
    if hasattr(struct, 'kind'):
        is_deleted = ' deleted' if struct.is_deleted else ''
        return f'{struct.kind}/{struct.name}@{struct.version}{is_deleted}'
    if hasattr(struct, 'refutation'):
        return f'{struct.name} {MemberState(struct.state).name.lower()}'
    if hasattr(struct, 'is_leaving'):
        leaving = ' leaving' if struct.is_leaving else ''
        return f'{struct.in_flight}/{struct.limit}{leaving}'
    return str(struct)
