"""Problems found in settings or object files, and the error to report them."""

import difflib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class Problem:
    """One problem at a one-based line; ``field`` is a dotted path."""

    file: str
    line: int
    field: str
    message: str

    def __str__(self) -> str:
        """Return ``file:line: field: message``, the format of compilers."""
        if self.field:
            return f'{self.file}:{self.line}: {self.field}: {self.message}'
        return f'{self.file}:{self.line}: {self.message}'


@final
class SettingsError(Exception):
    """A settings file cannot be used; ``problems`` lists every reason.

    ``code`` and ``step`` are the error code and the step to report.
    """

    code = 'settings_invalid'
    step = 'settings'

    def __init__(self, problems: Iterable[Problem]) -> None:
        """Initialize with the problems, which are sorted by line."""
        self.problems = tuple(
            sorted(problems, key=lambda problem: problem.line),
        )
        super().__init__('\n'.join(map(str, self.problems)))


def unknown_key_message(key: str, known: Iterable[str]) -> str:
    """Return a message for an unknown key that suggests the closest match.

    >>> unknown_key_message('que_ms', ['queue_ms', 'drain_ms'])
    'unknown key, did you mean "queue_ms"?'
    """
    nearest = difflib.get_close_matches(key, known, n=1)
    if nearest:
        return f'unknown key, did you mean "{nearest[0]}"?'
    names = ', '.join(sorted(known))
    return f'unknown key, known are: {names}'
