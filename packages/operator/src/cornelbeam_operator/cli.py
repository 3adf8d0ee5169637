"""Entry point of ``cornelbeamctl``."""

import argparse
import sys
from collections.abc import Sequence

import defopt

from cornelbeam_operator.commands import Commands
from cornelbeam_operator.exit_codes import ExitCode, describe_exit_codes
from cornelbeam_operator.session import Environment, Session

_DESCRIPTION = """Change and inspect the configuration of the fleet.

--object-api or $CORNELBEAM_OBJECT_API sets the URL of the Object API. All
commands are non-interactive; with --json they write machine-readable output.

Example:
  cornelbeamctl diff selectors.jsonc
  cornelbeamctl apply selectors.jsonc
  cornelbeamctl wait 10.2.0.17:9100
"""


def run(
    arguments: Sequence[str] | None = None,
    environment: Environment | None = None,
) -> ExitCode:
    """Run one subcommand; ``arguments`` default to those of the process.

    Raise ``SystemExit`` for an invalid command line and for ``--help``.
    """
    commands = Commands(Session(environment or Environment()))
    exit_code: ExitCode = defopt.run(
        {
            'apply': commands.apply,
            'diff': commands.diff,
            'get': commands.get,
            'delete': commands.delete,
            'label': commands.label,
            'take-out': commands.take_out,
            'bring-back': commands.bring_back,
            'drain': commands.drain,
            'status': commands.status,
            'wait': commands.wait,
            'explain': commands.explain,
        },
        argv=None if arguments is None else list(arguments),
        no_negated_flags=True,
        short={},
        argparse_kwargs={
            'prog': 'cornelbeamctl',
            'description': _DESCRIPTION,
            'epilog': f'exit codes:\n{describe_exit_codes()}',
            'formatter_class': argparse.RawDescriptionHelpFormatter,
        },
    )
    return exit_code


def main() -> None:
    """Run the command and exit with its exit code."""
    try:
        sys.exit(run())
    except KeyboardInterrupt:
        # 128 + SIGINT, the exit code by which shells report an interrupt.
        sys.exit(130)
