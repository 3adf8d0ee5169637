"""Measures the latency that one and two hops through daemons add to a call.

Two daemons run beside fast backend servers of different services. The same
calls are made in turn directly to a backend server, through its own daemon
(one hop) and through the daemon of the other service (two hops).
"""

import os
import platform
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Final, final

import defopt
import httpx
import msgspec

from cornelbeam_standins.processes import (
    ManagedProcess,
    spawn_standin,
    start_module,
    start_standin,
)

_LOOPBACK: Final = '127.0.0.1'
_SERVICES: Final = ('near', 'far')
_READY_TIMEOUT_S: Final = 60
_POLL_INTERVAL_S: Final = 0.1
_LATENCIES: Final = ('p50_us', 'p99_us', 'p999_us')
_METRICS: Final = (
    *_LATENCIES,
    'calls_per_s',
    'cpu_us_per_call',
    'error_count',
)

Row = dict[str, Any]


@final
class CallPath(msgspec.Struct, frozen=True):
    """A path to a backend server; ``pids`` are the daemons along it."""

    name: str
    port: int
    service: str
    pids: tuple[int, ...]


def bench_hops(
    *,
    concurrencies: Sequence[int] = (1, 16, 64),
    calls: int = 3000,
    rounds: int = 5,
) -> None:
    """Print latency and CPU time of a call for each number of hops.

    Results are medians over the rounds. The paths take turns within a round,
    so that a busy machine affects all of them alike.

    :param concurrencies: numbers of concurrent calls
    :param calls: number of calls per path, round and concurrency
    :param rounds: number of measurements per path and concurrency
    """
    with ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        paths = _start_fleet(stack, Path(directory))
        rows = [
            row
            for concurrency in concurrencies
            for row in _measure(paths, concurrency, calls, rounds)
        ]
    sys.stdout.write(_format_table(rows))


def _start_fleet(stack: ExitStack, directory: Path) -> tuple[CallPath, ...]:
    secret = directory / 'secret'
    secret.write_text('for measurements only', encoding='ascii')
    object_api = stack.enter_context(start_standin('object-api', '--port', '0'))
    daemon_addresses: list[dict[str, str]] = []
    backends: list[ManagedProcess] = []
    daemons: list[ManagedProcess] = []
    for service in _SERVICES:
        backend = stack.enter_context(
            start_standin('fast-backend', '--port', '0'),
        )
        backends.append(backend)
        settings = {
            'instance': {
                'name': f'{service}-1',
                'service': service,
                'domain': 'bench',
                'region': 'loopback',
            },
            'caller_listener': {'host': _LOOPBACK},
            'peer_listener': {'host': _LOOPBACK},
            'admin_listener': {'host': _LOOPBACK},
            'backend_server': {
                'port': _parse_port(backend.address),
                # High enough that no load is shed: only hops are measured.
                'slot_count': 200,
                'cold_slot_count': 200,
            },
            'object_api': {'base_url': f'http://{object_api.address}'},
            'fleet': {
                'secret_file': str(secret),
                'introducers': [
                    addresses['peer'] for addresses in daemon_addresses
                ],
                'called_services': list(_SERVICES),
                'view_period_ms': 500,
            },
            'log': {'level': 'WARNING'},
        }
        path = directory / f'{service}.jsonc'
        path.write_bytes(msgspec.json.encode(settings))
        daemon = stack.enter_context(
            start_module(
                f'daemon of {service}',
                'cornelbeam_daemon.cli',
                '--settings',
                str(path),
            ),
        )
        daemons.append(daemon)
        daemon_addresses.append(_parse_addresses(daemon.read_line()))
    near, far = _SERVICES
    entry_port = _parse_port(daemon_addresses[0]['caller'])
    _wait_for_answer(entry_port, far)
    near_pid, far_pid = (daemon.pid for daemon in daemons)
    direct_port = _parse_port(backends[0].address)
    return (
        CallPath('direct', direct_port, near, ()),
        CallPath('one hop', entry_port, near, (near_pid,)),
        CallPath('two hops', entry_port, far, (near_pid, far_pid)),
    )


def _parse_addresses(line: str) -> dict[str, str]:
    _, *fields = line.split()
    return dict(field.split('=') for field in fields)


def _parse_port(address: str) -> int:
    return int(address.rpartition(':')[2])


def _wait_for_answer(port: int, service: str) -> None:
    deadline_s = time.monotonic() + _READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        response = httpx.get(
            f'http://{_LOOPBACK}:{port}/',
            headers={'host': service},
            trust_env=False,
        )
        if response.is_success:
            return
        time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(f'service {service} does not answer')


def _measure(
    paths: Sequence[CallPath],
    concurrency: int,
    calls: int,
    rounds: int,
) -> Iterator[Row]:
    rows_by_path: dict[str, list[Row]] = {path.name: [] for path in paths}
    for _ in range(rounds):
        for path in paths:
            rows_by_path[path.name].append(_run_load(path, concurrency, calls))
    for name, rows in rows_by_path.items():
        medians = {
            metric: round(statistics.median(row[metric] for row in rows))
            for metric in _METRICS
        }
        yield {'path': name, 'concurrency': concurrency, **medians}


def _run_load(path: CallPath, concurrency: int, calls: int) -> Row:
    process = spawn_standin(
        'load',
        '--port',
        str(path.port),
        '--service',
        path.service,
        '--concurrency',
        str(concurrency),
        '--calls',
        str(calls),
        *(['--pids', *map(str, path.pids)] if path.pids else []),
    )
    with process:
        return dict(msgspec.json.decode(process.read_line()))


def _format_table(rows: Sequence[Row]) -> str:
    lines = [
        f'machine: {os.cpu_count()} cores, {platform.machine()},'
        f' Python {platform.python_version()},'
        f' load average {os.getloadavg()[0]:.1f}',
        'at once  path      p50 us  p99 us  p99.9 us  added p50/p99/p99.9 us'
        '  ratio p50/p99  calls/s  cpu us/call  errors',
    ]
    direct: Row = {}
    for row in rows:
        if row['path'] == 'direct':
            direct = row
        added = '/'.join(str(row[key] - direct[key]) for key in _LATENCIES)
        ratio = '/'.join(
            f'{row[key] / direct[key]:.1f}' for key in _LATENCIES[:2]
        )
        lines.append(
            f'{row["concurrency"]:>7}  {row["path"]:<8}'
            f'  {row["p50_us"]:>6}  {row["p99_us"]:>6}  {row["p999_us"]:>8}'
            f'  {added:>22}  {ratio:>13}  {row["calls_per_s"]:>7}'
            f'  {row["cpu_us_per_call"]:>11}  {row["error_count"]:>6}',
        )
    return '\n'.join((*lines, ''))


def main() -> None:
    """Run the benchmark."""
    defopt.run(bench_hops, no_negated_flags=True)


if __name__ == '__main__':
    main()
