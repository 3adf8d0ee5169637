"""Entry point of ``cornelbeam-check``, which validates settings files."""

import argparse
import json as json_library
import sys
from collections.abc import Iterable, Sequence
from typing import Any

import defopt
from cornelbeam_settings import (
    Problem,
    SettingsError,
    documentation_table,
    load_settings,
)

from cornelbeam_operator.exit_codes import ExitCode


def check(
    *files: str,
    json: bool = False,
    document: bool = False,
) -> ExitCode:
    """Validate settings files of daemons.

    Problems are printed as file:line: field: message. The exit code is 0
    if all files are valid, 2 for an invalid command line and 3 otherwise.

    Example::

        cornelbeam-check settings.jsonc
        cornelbeam-check --document > keys.md

    :param files: settings files, in JSON with comments
    :param json: write one JSON object to standard output
    :param document: print a Markdown table of all settings keys
    """
    if document:
        sys.stdout.write(documentation_table())
        return ExitCode.DONE
    if not files:
        sys.stderr.write('error: at least one settings file is required\n')
        return ExitCode.USAGE
    problems = [problem for file in files for problem in _check_file(file)]
    if json:
        _print_json(files, problems)
    else:
        _print_text(files, problems)
    return ExitCode.INVALID if problems else ExitCode.DONE


def run(arguments: Sequence[str] | None = None) -> ExitCode:
    """Run the command; raise ``SystemExit`` for an invalid command line."""
    exit_code: ExitCode = defopt.run(
        check,
        argv=None if arguments is None else list(arguments),
        no_negated_flags=True,
        short={},
        argparse_kwargs={
            'prog': 'cornelbeam-check',
            'formatter_class': argparse.RawDescriptionHelpFormatter,
        },
    )
    return exit_code


def main() -> None:
    """Run the command and exit with its exit code."""
    sys.exit(run())


def _check_file(file: str) -> Iterable[Problem]:
    try:
        load_settings(file)
    except SettingsError as error:
        return error.problems
    return ()


def _print_text(files: Iterable[str], problems: Iterable[Problem]) -> None:
    faulty = {problem.file for problem in problems}
    for problem in problems:
        sys.stderr.write(f'{problem}\n')
    for file in files:
        if file not in faulty:
            sys.stdout.write(f'{file}: valid\n')


def _print_json(files: Iterable[str], problems: Iterable[Problem]) -> None:
    document: dict[str, Any] = {
        'files': list(files),
        'problems': [
            {
                'file': problem.file,
                'line': problem.line,
                'field': problem.field,
                'message': problem.message,
            }
            for problem in problems
        ],
    }
    json_library.dump(document, sys.stdout, indent=2)
    sys.stdout.write('\n')
