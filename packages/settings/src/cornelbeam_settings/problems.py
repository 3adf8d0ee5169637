"""Problems found in settings and the error that reports them."""

import difflib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class Problem:
    """One fault: its file, one-based line, dotted field and what is wrong."""

    file: str
    line: int
    field: str
    message: str

    def __str__(self) -> str:
        """Give ``file:line: field: message``, as compilers do."""
        if self.field:
            return f'{self.file}:{self.line}: {self.field}: {self.message}'
        return f'{self.file}:{self.line}: {self.message}'


@final
class SettingsError(Exception):
    """Raised when a settings file can't be used; lists every problem.

    ``code`` is the text of the error code ``settings_invalid``, and the step
    is ``settings``.
    """

    code = 'settings_invalid'
    step = 'settings'

    def __init__(self, problems: Iterable[Problem]) -> None:
        """Keep the problems in the order of their lines."""
        self.problems = tuple(
            sorted(problems, key=lambda problem: problem.line),
        )
        super().__init__('\n'.join(map(str, self.problems)))


def unknown_key_message(key: str, known: Iterable[str]) -> str:
    """Say that a key is unknown and name the nearest known one.

    >>> unknown_key_message('que_ms', ['queue_ms', 'drain_ms'])
    'unknown key, did you mean "queue_ms"?'
    """
    nearest = difflib.get_close_matches(key, known, n=1)
    if nearest:
        return f'unknown key, did you mean "{nearest[0]}"?'
    names = ', '.join(sorted(known))
    return f'unknown key, known are: {names}'
