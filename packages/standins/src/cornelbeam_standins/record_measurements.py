"""Runs short versions of the benchmarks and writes the results to a page."""

import platform
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import defopt

#: Benchmark modules and their arguments; each is a section of the page.
COMMANDS: Final = (
    ('hop_bench', '--calls 2000 --rounds 3 --concurrencies 1 16'),
    ('state_bench', '--seed 1'),
    (
        'fleet_bench',
        '--window-s 10 --settle-s 15 --called 0 11 --change-count 30 --seed 1',
    ),
)
_HEAD: Final = """# Measurements

Written by `make bench`. The machine is shared with other work, which the load
average in each section tells: ratios and differences between rows are of more
use than single figures. `docs/CAPACITY.md` draws on this page.
"""


def record(*, page: str = 'docs/measurements.md') -> None:
    """Write the page; print the output of the benchmarks while they run.

    :param page: file to write
    """
    sections = [_run(name, arguments.split()) for name, arguments in COMMANDS]
    Path(page).write_text('\n'.join((_HEAD, *sections)), encoding='utf-8')


def _run(name: str, arguments: Sequence[str]) -> str:
    module = f'cornelbeam_standins.{name}'
    lines: list[str] = []
    with subprocess.Popen(  # noqa: S603 own program
        [sys.executable, '-m', module, *arguments],
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        for line in process.stdout or ():
            sys.stdout.write(line)
            sys.stdout.flush()
            lines.append(line)
        if process.wait():
            sys.exit(process.returncode)
    return '\n'.join(
        (
            f'## {name}',
            '',
            f'Command: `python -m {module} {" ".join(arguments)}`'
            f' on {platform.system()}.',
            '',
            '```',
            ''.join(lines).rstrip(),
            '```',
            '',
        ),
    )


def main() -> None:
    """Run the benchmarks."""
    defopt.run(record, no_negated_flags=True)


if __name__ == '__main__':
    main()
