"""Measures the resident memory that imports add to an interpreter.

Compiled modules are taken from a cache, as in an installed daemon: compiling
the sources in the process leaves 5 MB more resident.
"""

import sys
import tempfile
from collections.abc import Iterator
from typing import Final

from cornelbeam_standins.processes import ManagedProcess

_LIBRARIES: Final = (
    'asyncio',
    'anyio',
    'msgspec',
    'thrift.protocol.TBinaryProtocol',
    'httptools',
    'jsonc',
    'loguru',
    'prometheus_client',
)
#: In the order of measurement; the last ones are the daemon's own code.
MODULES: Final = (
    *_LIBRARIES,
    'defopt',
    'httpx',
    'hypercorn.asyncio',
    'cornelbeam_wire',
    'cornelbeam_daemon.cli',
    'cornelbeam_daemon.admin',
)
# Development tools bring these, and httpx then loads its own command line.
_TERMINAL: Final = 'rich,click,pygments'
_OWN: Final = ('cornelbeam_wire', 'cornelbeam_core.membership')
#: Label, modules kept from loading, modules to import.
_VARIANTS: Final = (
    ('the daemon', '', MODULES),
    ('the daemon without rich and click', _TERMINAL, MODULES),
    (
        'libraries, wire, membership',
        _TERMINAL,
        (*_LIBRARIES, 'defopt', 'httpx', 'hypercorn.asyncio', *_OWN),
    ),
    (
        'the same without defopt',
        _TERMINAL,
        (*_LIBRARIES, 'httpx', 'hypercorn.asyncio', *_OWN),
    ),
    (
        'and without httpx',
        _TERMINAL,
        (*_LIBRARIES, 'hypercorn.asyncio', *_OWN),
    ),
    ('and without hypercorn', _TERMINAL, (*_LIBRARIES, *_OWN)),
    ('asyncio', '', ('asyncio',)),
    ('asyncio without ssl', 'ssl', ('asyncio',)),
)
_READ_KB: Final = (
    '[int(line.split()[1]) for line in open("/proc/self/status")'
    ' if line.startswith("VmRSS")][0]'
)
_CODE: Final = (
    f'before = {_READ_KB}; import sys;'
    'sys.dont_write_bytecode = False; sys.pycache_prefix = sys.argv[1];'
    '[sys.modules.update({name: None}) for name in sys.argv[2].split(",")];'
    '[__import__(name) for name in sys.argv[3:]];'
    f'print(before, {_READ_KB})'
)
_KB_PER_MB: Final = 1024


def measure_imports() -> Iterator[str]:
    """Give lines with the MB that each module adds and those of variants."""
    with tempfile.TemporaryDirectory() as cache:
        bare_kb, _ = _measure(cache, '', MODULES)
        yield f'bare interpreter {_to_mb(bare_kb):.1f} MB'
        before_kb = bare_kb
        for index, name in enumerate(MODULES):
            _, after_kb = _measure(cache, '', MODULES[: index + 1])
            yield f'import {name:<34} adds {_to_mb(after_kb - before_kb):5.1f}'
            before_kb = after_kb
        for label, dropped, names in _VARIANTS:
            _, after_kb = _measure(cache, dropped, names)
            yield f'resident with {label:<36} {_to_mb(after_kb):5.1f}'


def _measure(
    cache: str,
    dropped: str,
    names: tuple[str, ...],
) -> tuple[int, int]:
    command = [sys.executable, '-c', _CODE, cache, dropped, *names]
    with ManagedProcess('imports', command) as process:
        before_kb, after_kb = process.read_line().split()
        process.wait()
    return int(before_kb), int(after_kb)


def _to_mb(size_kb: int) -> float:
    return size_kb / _KB_PER_MB
