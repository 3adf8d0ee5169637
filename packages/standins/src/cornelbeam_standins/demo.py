"""Demo: a fleet on loopback serves while a failure domain leaves and returns.

Two services have one target in each of two failure domains. Callers use the
daemons of both, so that calls cross between them. The demo prints a table
and the invariants it checked, and fails when one broke. The latencies contain
the cost of the caller itself, which is one process with httpx.
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
_LEAVING_DOMAIN: Final = 'Langley'
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
        'name': _LEAVING_DOMAIN,
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
_STEADY_S: Final = 5
# Operators expect a change to be in force within a few seconds.
_IN_FORCE_S: Final = 3
_PAUSE_S: Final = 0.005
_HALF: Final = 0.5
_P99: Final = 0.99
# One upload and one download in so many calls.
_PHOTO_PERIOD: Final = 40


@final
class _Load:
    """Workers that call until they are told to stop."""

    def __init__(self, caller: CheckedCaller) -> None:
        self._caller = caller
        self._is_stopping = False
        self.records_by_phase: dict[str, list[CallRecord]] = {}
        self.phase = 'warm up'

    def stop(self) -> None:
        """Let each worker end its current call."""
        self._is_stopping = True

    async def work(self) -> None:
        """Call in a loop; the phase of a call is the one it started in."""
        number = 0
        while not self._is_stopping:
            number += 1
            phase = self.phase
            record = await self._call(number)
            self.records_by_phase.setdefault(phase, []).append(record)
            await anyio.sleep(_PAUSE_S)

    async def _call(self, number: int) -> CallRecord:
        if number % _PHOTO_PERIOD == 0:
            return await self._caller.send_photo('photos', _PHOTO_BYTES)
        if number % _PHOTO_PERIOD == 1:
            return await self._caller.fetch_photo('photos', _PHOTO_BYTES)
        if number % 3 == 0:
            return await self._caller.book('bookings')
        return await self._caller.read_item(('bookings', 'photos')[number % 2])


async def _operate(fleet: Fleet, *arguments: str) -> None:
    """Run an operators' command beside the load; it must succeed."""
    status, output = await anyio.to_thread.run_sync(
        fleet.run_cornelbeamctl, *arguments
    )
    print(f'cornelbeamctl {arguments[0]}: {output.splitlines()[-1]}')
    if status:
        raise ProcessError(f'cornelbeamctl gave {status}: {output}')


async def _configure(fleet: Fleet, path: Path) -> None:
    path.write_bytes(msgspec.json.encode(_OBJECTS))
    await _operate(fleet, 'apply', str(path))
    for target in _PHOTO_TARGETS:
        await _operate(fleet, 'label', target, 'disk=large')
    await _operate(fleet, 'wait', *fleet.admin_addresses())


def _count_started(nodes: Sequence[Node]) -> int:
    return sum(node.read_counts().get('started', 0) for node in nodes)


async def _run_phases(fleet: Fleet, load: _Load) -> tuple[int, int]:
    """Give the new work of the removed domain, late and after its return."""
    leaving = [
        node for node in fleet.nodes.values() if node.domain == _LEAVING_DOMAIN
    ]
    load.phase = 'both domains'
    await anyio.sleep(_STEADY_S)
    await _operate(fleet, 'take-out', _LEAVING_DOMAIN)
    load.phase = 'taking out'
    await anyio.sleep(_IN_FORCE_S)
    load.phase = 'one domain'
    before = _count_started(leaving)
    await anyio.sleep(_STEADY_S)
    late_count = _count_started(leaving) - before
    await _operate(fleet, 'bring-back', _LEAVING_DOMAIN)
    load.phase = 'bringing back'
    await anyio.sleep(_IN_FORCE_S)
    load.phase = 'both again'
    before = _count_started(leaving)
    await anyio.sleep(_STEADY_S)
    return late_count, _count_started(leaving) - before


async def _run(fleet: Fleet, directory: Path) -> int:
    entries = [node.caller_url for node in fleet.nodes.values()]
    caller = CheckedCaller(entries, random.Random(_SEED))
    load = _Load(caller)
    try:
        await _configure(fleet, directory / 'objects.jsonc')
        for service in fleet.services:
            for entry in entries:
                await caller.wait_for_service(service, entry)
        async with anyio.create_task_group() as group:
            for _ in range(_WORKER_COUNT):
                group.start_soon(load.work)
            late_count, back_count = await _run_phases(fleet, load)
            load.stop()
    finally:
        await caller.aclose()
    audit = caller.audit(fleet.read_runs())
    _print_table(load.records_by_phase)
    return _print_verdict(audit, late_count, back_count)


def _print_table(records_by_phase: dict[str, list[CallRecord]]) -> None:
    """Print a line a phase; p50 and p99 are of reads and bookings only."""
    print(
        f'{"phase":<15}{"requests":>9}{"whole":>7}{"wrong":>7}'
        f'{"refused":>9}{"cut":>5}{"p50 ms":>8}{"p99 ms":>8}'
        f'{"photo p50":>11}  codes',
    )
    for phase, records in records_by_phase.items():
        results = Counter(each.result for each in records)
        codes = Counter(each.code for each in records if each.code)
        photos = [each for each in records if each.path.startswith('/photo')]
        small = [each for each in records if each not in photos]
        print(
            f'{phase:<15}{len(records):>9}{results[CheckResult.WHOLE]:>7}'
            f'{results[CheckResult.WRONG]:>7}{results[CheckResult.REFUSED]:>9}'
            f'{results[CheckResult.CUT]:>5}'
            f'{percentile_ms(small, _HALF):>8.1f}'
            f'{percentile_ms(small, _P99):>8.1f}'
            f'{percentile_ms(photos, _HALF):>11.1f}  {dict(codes) or ""}',
        )


def _print_verdict(audit: Audit, late_count: int, back_count: int) -> int:
    checks = (
        ('wrong answers', len(audit.wrong), not audit.wrong),
        ('bookings that ran twice', len(audit.run_twice), not audit.run_twice),
        (
            'requests run though told not run',
            len(audit.run_though_told_not),
            not audit.run_though_told_not,
        ),
        (
            'answered requests that did not run',
            len(audit.not_run_though_answered),
            not audit.not_run_though_answered,
        ),
        (
            f'new work to {_LEAVING_DOMAIN} from {_IN_FORCE_S} s after its'
            ' removal',
            late_count,
            not late_count,
        ),
        (f'work to {_LEAVING_DOMAIN} after its return', back_count, back_count),
    )
    for title, count, is_right in checks:
        print(f'{"ok" if is_right else "BROKEN":<8}{title}: {count}')
    return int(not all(check[2] for check in checks))


def main() -> int:
    """Run the demo; the exit status is 1 when an invariant broke."""
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as directory:
        place = Path(directory)
        with Fleet(place) as fleet:
            for target in _TARGETS:
                fleet.add(*target)
            fleet.start()
            status = anyio.run(_run, fleet, place)
    print(f'took {time.monotonic() - started_s:.0f} s, seed {_SEED}')
    return status


if __name__ == '__main__':
    sys.exit(main())
