"""Measures the resident memory that imports add to an interpreter.

Compiled modules are loaded from a cache, as in an installed daemon: compiling
the sources in the process would leave 5 MB more resident.
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
#: Modules in the order of measurement; the last are the daemon's own code.
MODULES: Final = (
    *_LIBRARIES,
    'defopt',
    'httpx',
    'hypercorn.asyncio',
    'cornelbeam_wire',
    'cornelbeam_daemon.cli',
    'cornelbeam_daemon.admin',
)
# Installed with development tools; httpx then loads its command line too.
_TERMINAL_LIBRARIES: Final = 'rich,click,pygments'
_OWN_MODULES: Final = ('cornelbeam_wire', 'cornelbeam_core.membership')
#: Label, modules to block, modules to import.
_VARIANTS: Final = (
    ('the daemon', '', MODULES),
    ('the daemon without rich and click', _TERMINAL_LIBRARIES, MODULES),
    (
        'libraries, wire, membership',
        _TERMINAL_LIBRARIES,
        (*_LIBRARIES, 'defopt', 'httpx', 'hypercorn.asyncio', *_OWN_MODULES),
    ),
    (
        'the same without defopt',
        _TERMINAL_LIBRARIES,
        (*_LIBRARIES, 'httpx', 'hypercorn.asyncio', *_OWN_MODULES),
    ),
    (
        'and without httpx',
        _TERMINAL_LIBRARIES,
        (*_LIBRARIES, 'hypercorn.asyncio', *_OWN_MODULES),
    ),
    (
        'and without hypercorn',
        _TERMINAL_LIBRARIES,
        (*_LIBRARIES, *_OWN_MODULES),
    ),
    ('asyncio', '', ('asyncio',)),
    ('asyncio without ssl', 'ssl', ('asyncio',)),
)
_READ_RSS_KB: Final = (
    '[int(line.split()[1]) for line in open("/proc/self/status")'
    ' if line.startswith("VmRSS")][0]'
)
_CODE: Final = (
    f'before = {_READ_RSS_KB}; import sys;'
    'sys.dont_write_bytecode = False; sys.pycache_prefix = sys.argv[1];'
    '[sys.modules.update({name: None}) for name in sys.argv[2].split(",")];'
    '[__import__(name) for name in sys.argv[3:]];'
    f'print(before, {_READ_RSS_KB})'
)
_KB_PER_MB: Final = 1024


def measure_imports() -> Iterator[str]:
    """Yield lines with the MB that each module adds and each variant takes."""
    with tempfile.TemporaryDirectory() as cache:
        # This first run also fills the cache for the measured ones.
        bare_kb, _ = _measure(cache, '', MODULES)
        yield f'bare interpreter {_to_mb(bare_kb):.1f} MB'
        before_kb = bare_kb
        for index, name in enumerate(MODULES):
            _, after_kb = _measure(cache, '', MODULES[: index + 1])
            yield f'import {name:<34} adds {_to_mb(after_kb - before_kb):5.1f}'
            before_kb = after_kb
        for label, blocked, names in _VARIANTS:
            _, after_kb = _measure(cache, blocked, names)
            yield f'resident with {label:<36} {_to_mb(after_kb):5.1f}'


def _measure(
    cache: str,
    blocked: str,
    names: tuple[str, ...],
) -> tuple[int, int]:
    command = [sys.executable, '-c', _CODE, cache, blocked, *names]
    with ManagedProcess('imports', command) as process:
        before_kb, after_kb = process.read_line().split()
        process.wait()
    return int(before_kb), int(after_kb)


def _to_mb(size_kb: int) -> float:
    return size_kb / _KB_PER_MB
