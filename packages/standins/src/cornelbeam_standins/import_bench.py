"""Measures the resident memory that imports add to an interpreter."""

import sys
from collections.abc import Iterator
from typing import Final

from cornelbeam_standins.processes import ManagedProcess

#: In the order of the daemon's own imports; the last ones are its own code.
MODULES: Final = (
    'asyncio',
    'anyio',
    'msgspec',
    'thrift.protocol.TBinaryProtocol',
    'httptools',
    'jsonc',
    'loguru',
    'prometheus_client',
    'defopt',
    'httpx',
    'hypercorn.asyncio',
    'cornelbeam_wire',
    'cornelbeam_daemon.cli',
    'cornelbeam_daemon.admin',
)
_READ_KB: Final = (
    '[int(line.split()[1]) for line in open("/proc/self/status")'
    ' if line.startswith("VmRSS")][0]'
)
_CODE: Final = (
    f'before = {_READ_KB}; import sys;'
    '[__import__(name) for name in sys.argv[1:]];'
    f'print(before, {_READ_KB})'
)
_KB_PER_MB: Final = 1024


def measure_imports() -> Iterator[tuple[str, float, float]]:
    """Give name, MB that it adds after those before it, and alone."""
    before_kb = 0
    for index, name in enumerate(MODULES):
        base_kb, alone_kb = _measure(name)
        _, together_kb = _measure(*MODULES[: index + 1])
        before_kb = before_kb or base_kb
        yield name, _to_mb(together_kb - before_kb), _to_mb(alone_kb - base_kb)
        before_kb = together_kb
    yield 'all', _to_mb(before_kb), _to_mb(before_kb)


def _measure(*names: str) -> tuple[int, int]:
    with ManagedProcess(
        'imports', [sys.executable, '-c', _CODE, *names]
    ) as one:
        before_kb, after_kb = one.read_line().split()
        one.wait()
    return int(before_kb), int(after_kb)


def _to_mb(size_kb: int) -> float:
    return size_kb / _KB_PER_MB
