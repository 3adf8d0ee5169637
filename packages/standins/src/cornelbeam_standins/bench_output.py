"""Console output of the benchmarks."""

import sys


def write_line(text: str) -> None:
    """Write a line to standard output and flush it."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
