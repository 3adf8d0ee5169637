"""Exit codes of the command line tools."""

import enum
from typing import Final, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode


@final
class ExitCode(enum.IntEnum):
    """Exit code of a command; the numbers are stable for scripts."""

    DONE = 0
    DIFFERENT = 1
    USAGE = 2
    INVALID = 3
    NOT_FOUND = 4
    CONFLICT = 5
    UNAVAILABLE = 6
    UNKNOWN = 7
    LAGGING = 8


#: Meaning of each exit code, as shown in the help and the documentation.
MEANINGS: Final = {
    ExitCode.DONE: 'done, or nothing to do',
    ExitCode.DIFFERENT: 'diff found differences',
    ExitCode.USAGE: 'wrong command line',
    ExitCode.INVALID: 'a file, field, selector or label is invalid',
    ExitCode.NOT_FOUND: 'the object does not exist',
    ExitCode.CONFLICT: 'another write came first; nothing was overwritten',
    ExitCode.UNAVAILABLE: 'the Object API or a daemon did not answer;'
    ' nothing was written',
    ExitCode.UNKNOWN: 'the answer to a write was lost and its effect could'
    ' not be established',
    ExitCode.LAGGING: 'the change is not in force everywhere yet',
}

_BY_ERROR: Final = {
    ErrorCode.SETTINGS_INVALID: ExitCode.INVALID,
    ErrorCode.CONTRADICTORY_SELECTORS: ExitCode.INVALID,
    ErrorCode.STORE_CONFLICT: ExitCode.CONFLICT,
    ErrorCode.OUTCOME_UNKNOWN: ExitCode.UNKNOWN,
}


def exit_code_of(error: CornelbeamError) -> ExitCode:
    """Return the exit code for an error."""
    return _BY_ERROR.get(error.code, ExitCode.UNAVAILABLE)


def describe_exit_codes() -> str:
    """Return a text with one line per exit code."""
    return '\n'.join(
        f'  {code.value}  {meaning}' for code, meaning in MEANINGS.items()
    )
