"""Output of the benches."""

import sys


def write_line(text: str) -> None:
    """Print a line at once, also into a pipe."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
