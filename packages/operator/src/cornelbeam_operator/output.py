"""Output of commands as text for operators or JSON for programs."""

import json
from collections.abc import Iterable, Mapping
from typing import Any, Final, TextIO, final

from cornelbeam_operator.exit_codes import ExitCode

_RESET: Final = '\x1b[0m'
_COLOURS: Final = {'-': '\x1b[31m', '+': '\x1b[32m', '@': '\x1b[36m'}


def is_colour_wanted(stream: TextIO, environment: Mapping[str, str]) -> bool:
    """Return whether to colour: on terminals, unless the variables forbid it.

    ``NO_COLOR`` and ``TERM=dumb`` forbid it.
    """
    if environment.get('NO_COLOR') or environment.get('TERM') == 'dumb':
        return False
    return stream.isatty()


@final
class Output:
    """Writes results to standard output and messages to standard error.

    In JSON mode, the only output is one object on standard output at the end.
    It holds the results, the messages and the exit code.
    """

    __slots__ = (
        '_content',
        '_errors',
        '_is_coloured',
        '_is_json',
        '_stderr',
        '_stdout',
        '_warnings',
    )

    def __init__(
        self,
        stdout: TextIO,
        stderr: TextIO,
        *,
        is_json: bool,
        is_coloured: bool,
    ) -> None:
        """Initialize with the streams and the output format."""
        self._stdout = stdout
        self._stderr = stderr
        self._is_json = is_json
        self._is_coloured = is_coloured
        self._content: dict[str, Any] = {}
        self._warnings: list[str] = []
        self._errors: list[str] = []

    def show(self, text: str) -> None:
        """Write a line of the result, in text mode only."""
        if not self._is_json:
            self._stdout.write(f'{text}\n')

    def show_difference(self, lines: Iterable[str]) -> None:
        """Write the lines of a unified diff, in text mode only."""
        for line in lines:
            colour = _COLOURS.get(line[:1]) if self._is_coloured else None
            self.show(f'{colour}{line}{_RESET}' if colour else line)

    def record(self, key: str, content: Any) -> None:
        """Add a key of the result for JSON mode."""
        self._content[key] = content

    def warn(self, text: str) -> None:
        """Report a warning."""
        self._warnings.append(text)
        if not self._is_json:
            self._stderr.write(f'warning: {text}\n')

    def fail(self, text: str) -> None:
        """Report an error."""
        self._errors.append(text)
        if not self._is_json:
            self._stderr.write(f'error: {text}\n')

    def finish(self, exit_code: ExitCode) -> None:
        """Write the JSON object, in JSON mode only."""
        if not self._is_json:
            return
        document = {
            **self._content,
            'warnings': self._warnings,
            'errors': self._errors,
            'exit_code': exit_code.value,
        }
        json.dump(document, self._stdout, indent=2)
        self._stdout.write('\n')
