"""Demo: a loopback fleet serves while a failure domain is taken out and back.

Two services have one target in each of two failure domains. Callers use the
daemons of both domains, so that calls cross between them. The demo prints a
table and the invariants that it checked, and fails if one is violated. The
latencies include the cost of the caller itself, a single process with httpx.
"""

import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Final, final

import anyio
import msgspec

from cornelbeam_standins.checked_caller import (
    Audit,
    CallRecord,
    CheckedCaller,
    CheckResult,
    percentile_ms,
)
from cornelbeam_standins.fleet import Fleet, Node
from cornelbeam_standins.processes import ProcessError

_SEED: Final = 20
_TARGETS: Final = (
    ('bookings-1', 'bookings', 'Abbotsford'),
    ('bookings-2', 'bookings', 'Langley'),
    ('photos-1', 'photos', 'Abbotsford'),
    ('photos-2', 'photos', 'Langley'),
)
_REMOVED_DOMAIN: Final = 'Langley'
_PHOTO_TARGETS: Final = ('photos-1', 'photos-2')
_OBJECTS: Final = (
    {'kind': 'service', 'name': 'bookings', 'spec': {'timeout_ms': 5000}},
    {'kind': 'service', 'name': 'photos', 'spec': {'timeout_ms': 20_000}},
    {
        'kind': 'failure-domain',
        'name': 'Abbotsford',
        'spec': {'is_in_service': True},
    },
    {
        'kind': 'failure-domain',
        'name': _REMOVED_DOMAIN,
        'spec': {'is_in_service': True},
    },
    {
        'kind': 'selector',
        'name': 'bookings-once',
        'spec': {
            'service': 'bookings',
            'methods': ['POST'],
            'repeat': 'never',
        },
    },
    {
        'kind': 'selector',
        'name': 'uploads-to-large-disks',
        'spec': {
            'service': 'photos',
            'methods': ['PUT'],
            'target_labels': {'disk': ['large']},
        },
    },
)
_PHOTO_BYTES: Final = 3_000_000
_WORKER_COUNT: Final = 4
_PHASE_S: Final = 5
# Operators expect a change to take effect within a few seconds.
_IN_FORCE_S: Final = 3
_CALL_INTERVAL_S: Final = 0.005
_P50: Final = 0.5
_P99: Final = 0.99
# Each worker makes one upload and one download per this many calls.
_PHOTO_PERIOD: Final = 40


@final
class _LoadGenerator:
    """State shared by workers that call until they are stopped."""

    def __init__(self, caller: CheckedCaller) -> None:
        self._caller = caller
        self._is_stopping = False
        self.records_by_phase: dict[str, list[CallRecord]] = {}
        self.phase = 'warm up'

    def stop(self) -> None:
        """Make each worker stop after its current call."""
        self._is_stopping = True

    async def work(self) -> None:
        """Call in a loop; record each call under the phase it started in."""
        number = 0
        while not self._is_stopping:
            number += 1
            phase = self.phase
            record = await self._call(number)
            self.records_by_phase.setdefault(phase, []).append(record)
            await anyio.sleep(_CALL_INTERVAL_S)

    async def _call(self, number: int) -> CallRecord:
        if number % _PHOTO_PERIOD == 0:
            return await self._caller.send_photo('photos', _PHOTO_BYTES)
        if number % _PHOTO_PERIOD == 1:
            return await self._caller.fetch_photo('photos', _PHOTO_BYTES)
        if number % 3 == 0:
            return await self._caller.book('bookings')
        return await self._caller.read_item(('bookings', 'photos')[number % 2])


async def _run_command(fleet: Fleet, *arguments: str) -> None:
    """Run a ``cornelbeamctl`` command under load.

    Raise ``ProcessError`` if it fails.
    """
    status, output = await anyio.to_thread.run_sync(
        fleet.run_cornelbeamctl, *arguments
    )
    print(f'cornelbeamctl {arguments[0]}: {output.splitlines()[-1]}')
    if status:
        raise ProcessError(
            f'cornelbeamctl exited with status {status}: {output}'
        )


async def _configure(fleet: Fleet, path: Path) -> None:
    path.write_bytes(msgspec.json.encode(_OBJECTS))
    await _run_command(fleet, 'apply', str(path))
    for target in _PHOTO_TARGETS:
        await _run_command(fleet, 'label', target, 'disk=large')
    await _run_command(fleet, 'wait', *fleet.admin_addresses())


def _count_started(nodes: Sequence[Node]) -> int:
    return sum(node.read_counts().get('started', 0) for node in nodes)


async def _run_phases(fleet: Fleet, load: _LoadGenerator) -> tuple[int, int]:
    """Take a failure domain out of service and bring it back.

    Return how many requests started in it once the removal had to be in
    force, and how many after its return.
    """
    removed_nodes = [
        node for node in fleet.nodes.values() if node.domain == _REMOVED_DOMAIN
    ]
    load.phase = 'both domains'
    await anyio.sleep(_PHASE_S)
    await _run_command(fleet, 'take-out', _REMOVED_DOMAIN)
    load.phase = 'taking out'
    await anyio.sleep(_IN_FORCE_S)
    load.phase = 'one domain'
    before = _count_started(removed_nodes)
    await anyio.sleep(_PHASE_S)
    late_count = _count_started(removed_nodes) - before
    await _run_command(fleet, 'bring-back', _REMOVED_DOMAIN)
    load.phase = 'bringing back'
    await anyio.sleep(_IN_FORCE_S)
    load.phase = 'both again'
    before = _count_started(removed_nodes)
    await anyio.sleep(_PHASE_S)
    return late_count, _count_started(removed_nodes) - before


async def _run(fleet: Fleet, directory: Path) -> int:
    daemon_urls = [node.caller_url for node in fleet.nodes.values()]
    caller = CheckedCaller(daemon_urls, random.Random(_SEED))
    load = _LoadGenerator(caller)
    try:
        await _configure(fleet, directory / 'objects.jsonc')
        for service in fleet.services:
            for daemon_url in daemon_urls:
                await caller.wait_for_service(service, daemon_url)
        async with anyio.create_task_group() as group:
            for _ in range(_WORKER_COUNT):
                group.start_soon(load.work)
            late_count, returned_count = await _run_phases(fleet, load)
            load.stop()
    finally:
        await caller.aclose()
    audit = caller.audit(fleet.read_runs())
    _print_table(load.records_by_phase)
    return _print_checks(audit, late_count, returned_count)


def _print_table(records_by_phase: dict[str, list[CallRecord]]) -> None:
    """Print a line per phase; p50 and p99 cover only reads and bookings."""
    print(
        f'{"phase":<15}{"requests":>9}{"whole":>7}{"wrong":>7}'
        f'{"refused":>9}{"cut":>5}{"p50 ms":>8}{"p99 ms":>8}'
        f'{"photo p50":>11}  codes',
    )
    for phase, records in records_by_phase.items():
        results = Counter(record.result for record in records)
        codes = Counter(record.code for record in records if record.code)
        photos = [
            record for record in records if record.path.startswith('/photo')
        ]
        small = [record for record in records if record not in photos]
        print(
            f'{phase:<15}{len(records):>9}{results[CheckResult.WHOLE]:>7}'
            f'{results[CheckResult.WRONG]:>7}{results[CheckResult.REFUSED]:>9}'
            f'{results[CheckResult.CUT]:>5}'
            f'{percentile_ms(small, _P50):>8.1f}'
            f'{percentile_ms(small, _P99):>8.1f}'
            f'{percentile_ms(photos, _P50):>11.1f}  {dict(codes) or ""}',
        )


def _print_checks(audit: Audit, late_count: int, returned_count: int) -> int:
    checks = (
        ('wrong answers', len(audit.wrong), not audit.wrong),
        (
            'bookings that ran twice',
            len(audit.duplicate_runs),
            not audit.duplicate_runs,
        ),
        (
            'requests that ran but were reported as not run',
            len(audit.false_not_run_claims),
            not audit.false_not_run_claims,
        ),
        (
            'answered requests that did not run',
            len(audit.answers_without_run),
            not audit.answers_without_run,
        ),
        (
            f'new work to {_REMOVED_DOMAIN} from {_IN_FORCE_S} s after its'
            ' removal',
            late_count,
            not late_count,
        ),
        (
            f'work to {_REMOVED_DOMAIN} after its return',
            returned_count,
            returned_count,
        ),
    )
    for title, count, is_passed in checks:
        print(f'{"ok" if is_passed else "BROKEN":<8}{title}: {count}')
    return int(not all(check[2] for check in checks))


def main() -> int:
    """Run the demo; return 1 if an invariant is violated, otherwise 0."""
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory)
        with Fleet(path) as fleet:
            for target in _TARGETS:
                fleet.add(*target)
            fleet.start()
            status = anyio.run(_run, fleet, path)
    print(f'took {time.monotonic() - started_s:.0f} s, seed {_SEED}')
    return status


if __name__ == '__main__':
    sys.exit(main())
