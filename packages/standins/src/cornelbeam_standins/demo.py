"""Demo: a fleet on loopback serves while a failure domain leaves and returns.

Two services have one target in each of two failure domains. Callers use the
daemons of both, so that calls cross between them. The demo prints a table
and the invariants it checked, and fails when one broke.
"""

import random
import sys
import tempfile
import time
import uuid
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Final, final

import anyio
from cornelbeam_platform.client import ObjectApiClient

from cornelbeam_standins.checked_caller import (
    Audit,
    CallRecord,
    CheckedCaller,
    Verdict,
    percentile_ms,
)
from cornelbeam_standins.fleet import Fleet, Node

_SEED: Final = 20
_TARGETS: Final = (
    ('bookings-1', 'bookings', 'Abbotsford'),
    ('bookings-2', 'bookings', 'Langley'),
    ('photos-1', 'photos', 'Abbotsford'),
    ('photos-2', 'photos', 'Langley'),
)
_LEAVING_DOMAIN: Final = 'Langley'
_OBJECTS: Final = (
    ('service', 'bookings', {'timeout_ms': 5000}),
    ('service', 'photos', {'timeout_ms': 20_000}),
    ('failure-domain', 'Abbotsford', {'is_in_service': True}),
    ('failure-domain', 'Langley', {'is_in_service': True}),
    ('labels', 'photos-1', {'labels': {'disk': 'large'}}),
    ('labels', 'photos-2', {'labels': {'disk': 'large'}}),
    (
        'selector',
        'bookings-once',
        {'service': 'bookings', 'methods': ['POST'], 'repeat': 'never'},
    ),
    (
        'selector',
        'uploads-to-large-disks',
        {
            'service': 'photos',
            'methods': ['PUT'],
            'target_labels': {'disk': ['large']},
        },
    ),
)
_PHOTO_BYTES: Final = 3_000_000
_WORKER_COUNT: Final = 6
_STEADY_S: Final = 5
# Operators expect a change to be in force within a few seconds.
_IN_FORCE_S: Final = 3
_PAUSE_S: Final = 0.005
_HALF: Final = 0.5
_P99: Final = 0.99
_PHOTO_PERIOD: Final = 20


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


async def _put_objects(client: ObjectApiClient) -> None:
    for kind, name, spec in _OBJECTS:
        await client.put(kind, name, spec, 0, uuid.uuid4().hex)


async def _switch_domain(
    client: ObjectApiClient,
    *,
    is_in_service: bool,
) -> None:
    current = await client.get('failure-domain', _LEAVING_DOMAIN)
    await client.put(
        'failure-domain',
        _LEAVING_DOMAIN,
        {'is_in_service': is_in_service},
        current.version if current else 0,
        uuid.uuid4().hex,
    )


def _count_started(nodes: Sequence[Node]) -> int:
    return sum(node.read_counts().get('started', 0) for node in nodes)


async def _run_phases(
    fleet: Fleet,
    load: _Load,
    client: ObjectApiClient,
) -> tuple[int, int]:
    """Give the new work of the removed domain, late and after its return."""
    leaving = [
        node for node in fleet.nodes.values() if node.domain == _LEAVING_DOMAIN
    ]
    load.phase = 'both domains'
    await anyio.sleep(_STEADY_S)
    await _switch_domain(client, is_in_service=False)
    load.phase = 'taking out'
    await anyio.sleep(_IN_FORCE_S)
    load.phase = 'one domain'
    before = _count_started(leaving)
    await anyio.sleep(_STEADY_S)
    late_count = _count_started(leaving) - before
    await _switch_domain(client, is_in_service=True)
    load.phase = 'bringing back'
    await anyio.sleep(_IN_FORCE_S)
    load.phase = 'both again'
    before = _count_started(leaving)
    await anyio.sleep(_STEADY_S)
    return late_count, _count_started(leaving) - before


async def _run(fleet: Fleet) -> int:
    entries = [node.entry_url for node in fleet.nodes.values()]
    caller = CheckedCaller(entries, random.Random(_SEED))
    load = _Load(caller)
    try:
        async with ObjectApiClient(fleet.store_url, 5000) as client:
            await _put_objects(client)
            for service in fleet.services:
                for entry in entries:
                    await caller.wait_whole(service, entry)
            async with anyio.create_task_group() as group:
                for _ in range(_WORKER_COUNT):
                    group.start_soon(load.work)
                late_count, back_count = await _run_phases(fleet, load, client)
                load.stop()
    finally:
        await caller.aclose()
    audit = caller.audit(fleet.read_runs())
    _print_table(load.records_by_phase)
    return _print_verdict(audit, late_count, back_count)


def _print_table(records_by_phase: dict[str, list[CallRecord]]) -> None:
    print(
        f'{"phase":<15}{"requests":>9}{"whole":>7}{"wrong":>7}'
        f'{"refused":>9}{"cut":>5}{"p50 ms":>8}{"p99 ms":>8}  codes',
    )
    for phase, records in records_by_phase.items():
        verdicts = Counter(each.verdict for each in records)
        codes = Counter(each.code for each in records if each.code)
        print(
            f'{phase:<15}{len(records):>9}{verdicts[Verdict.WHOLE]:>7}'
            f'{verdicts[Verdict.WRONG]:>7}{verdicts[Verdict.REFUSED]:>9}'
            f'{verdicts[Verdict.CUT]:>5}'
            f'{percentile_ms(records, _HALF):>8.1f}'
            f'{percentile_ms(records, _P99):>8.1f}  {dict(codes) or ""}',
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
        with Fleet(Path(directory)) as fleet:
            for target in _TARGETS:
                fleet.add(*target)
            fleet.start()
            status = anyio.run(_run, fleet)
    print(f'took {time.monotonic() - started_s:.0f} s, seed {_SEED}')
    return status


if __name__ == '__main__':
    sys.exit(main())
