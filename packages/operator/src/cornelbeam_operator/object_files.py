"""Reading of configuration object files in JSON with comments."""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, TypeAlias, final

from cornelbeam_object_api.kinds import SpecError, find_name_problem, parse_spec
from cornelbeam_settings import (
    Document,
    DocumentError,
    KeyPath,
    Problem,
    SettingsError,
    parse_document,
    unknown_key_message,
)

_KNOWN_KEYS: Final = (
    'kind',
    'name',
    'version',
    'spec',
    # Printed by "get --json" and accepted, but ignored by writes.
    'revision',
    'write_id',
)
_Fault: TypeAlias = tuple[KeyPath, str]


@final
@dataclass(frozen=True, slots=True)
class DesiredObject:
    """Desired state of an object and the source that specifies it.

    ``version`` is the version that the desired state is based on, or ``None``
    if the source states none. ``spec`` is ``None`` for an object to delete.
    """

    kind: str
    name: str
    spec: dict[str, Any] | None
    version: int | None = None
    source: str = 'command line'

    @property
    def reference(self) -> str:
        """Kind and name, as shown to operators."""
        return f'{self.kind}/{self.name}'


def read_objects(path: str | Path) -> list[DesiredObject]:
    """Read a file that holds one object or a list of objects.

    Raise ``SettingsError`` if the file cannot be read or is invalid. The
    error lists all problems with file, line and field.
    """
    file = str(path)
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        raise SettingsError(
            [Problem(file, 1, '', f"can't be read: {reason}")],
        ) from None
    try:
        document = parse_document(text)
    except DocumentError as error:
        raise SettingsError(
            [Problem(file, error.line, '', str(error))],
        ) from None
    problems = [
        _to_problem(document, file, path, message)
        for path, message in _find_faults(document.content)
    ]
    if problems:
        raise SettingsError(problems)
    return [
        DesiredObject(
            entry['kind'],
            entry['name'],
            entry['spec'],
            entry.get('version'),
            f'{file}:{document.line_of(entry_path)}',
        )
        for entry_path, entry in _enumerate_entries(document.content)
    ]


def _to_problem(
    document: Document,
    file: str,
    path: KeyPath,
    message: str,
) -> Problem:
    field = '.'.join(map(str, path))
    return Problem(file, document.line_of(path), field, message)


def _enumerate_entries(content: Any) -> Iterator[tuple[KeyPath, Any]]:
    if isinstance(content, list):
        for index, entry in enumerate(content):
            yield (index,), entry
    else:
        yield (), content


def _find_faults(content: Any) -> Iterator[_Fault]:
    seen: set[tuple[str, str]] = set()
    for entry_path, entry in _enumerate_entries(content):
        faults = list(_check_entry(entry))
        for path, message in faults:
            yield (*entry_path, *path), message
        if faults:
            continue
        identity = (entry['kind'], entry['name'])
        if identity in seen:
            yield entry_path, '{0}/{1} appears twice'.format(*identity)
        seen.add(identity)


def _check_entry(entry: Any) -> Iterator[_Fault]:
    if not isinstance(entry, dict):
        yield (), 'must be an object with kind, name and spec'
        return
    for key in entry:
        if key not in _KNOWN_KEYS:
            yield (key,), unknown_key_message(key, _KNOWN_KEYS)
    for key in ('kind', 'name', 'spec'):
        if key not in entry:
            yield (key,), 'missing'
    yield from _check_identity(entry)
    if isinstance(entry.get('kind'), str) and 'spec' in entry:
        yield from _check_spec(entry['kind'], entry['spec'])


def _check_identity(entry: dict[str, Any]) -> Iterator[_Fault]:
    for key in ('kind', 'name'):
        if not isinstance(entry.get(key, ''), str):
            yield (key,), 'must be a string'
    kind, name = entry.get('kind'), entry.get('name')
    if isinstance(kind, str) and isinstance(name, str):
        fault = find_name_problem(kind, name)
        if fault:
            yield ('name',), fault
    version = entry.get('version', 0)
    if type(version) is not int or version < 0:  # noqa: WPS516 - no booleans
        yield ('version',), 'must be an integer >= 0; 0 requires a new object'


def _check_spec(kind: str, spec: Any) -> Iterator[_Fault]:
    try:
        parse_spec(kind, spec)
    except SpecError as error:
        for problem in error.problems:
            # If the spec is an object, a problem without a path means that the
            # kind is unknown.
            if not problem.path and isinstance(spec, dict):
                yield ('kind',), problem.message
            else:
                yield ('spec', *problem.path), problem.message
