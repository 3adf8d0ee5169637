"""Writes configuration and reads from the logs when it was in force."""

import datetime as dt
import math
import random
import time
from collections.abc import Collection, Iterator, Sequence
from typing import Any, Final, final

import anyio
import msgspec
from cornelbeam_object_api.client import ObjectApiClient

from cornelbeam_standins.bench_fleet import BenchFleet, BenchNode

_TIMEOUT_MS: Final = 10_000
_SETTLE_LIMIT_S: Final = 60
_POLL_S: Final = 0.5
_WRITERS: Final = 8
_MS_PER_S: Final = 1000


@final
class Change(msgspec.Struct, frozen=True):
    """An accepted change: its revision and when the store answered."""

    revision: int
    accepted_at_s: float


@final
class Spread(msgspec.Struct, frozen=True):
    """Times in ms from accepted to in force.

    ``single_ms`` has one entry per change and daemon, ``everywhere_ms`` one
    per change: that of the last daemon.
    """

    single_ms: tuple[float, ...]
    everywhere_ms: tuple[float, ...]
    missing_count: int


class ChangeWriter:
    """Writes labels objects under new names, each a change of its own."""

    def __init__(self, fleet: BenchFleet) -> None:
        """Write to the Object API of the fleet."""
        self._url = fleet.store_url
        self._count = 0

    def write_at(self, rate_per_s: float, lasting_s: float) -> list[Change]:
        """Write at a fixed rate for a fixed time."""
        count = int(rate_per_s * lasting_s)
        gaps_s = [1 / rate_per_s for _ in range(count)]
        return anyio.run(self._write_each, gaps_s)

    def write_apart(self, count: int, rng: random.Random) -> list[Change]:
        """Write changes one by one at random distances of about 0.5 s."""
        gaps_s = [rng.uniform(0.25, 0.75) for _ in range(count)]
        return anyio.run(self._write_each, gaps_s)

    def write_many(self, count: int) -> None:
        """Write objects as fast as the store takes them."""
        anyio.run(self._write_all, count)

    def switch_domain(self, domain: str, *, is_in_service: bool) -> Change:
        """Write whether a failure domain is in service."""
        return anyio.run(self._switch, domain, is_in_service)

    async def _write_each(self, gaps_s: Sequence[float]) -> list[Change]:
        written: list[Change] = []
        next_s = time.monotonic()
        async with ObjectApiClient(self._url, _TIMEOUT_MS) as client:
            for gap_s in gaps_s:
                next_s += gap_s
                await anyio.sleep(max(0, next_s - time.monotonic()))
                written.append(await self._write(client))
        return written

    async def _write_all(self, count: int) -> None:
        async with ObjectApiClient(self._url, _TIMEOUT_MS) as client:
            async with anyio.create_task_group() as group:
                for _ in range(_WRITERS):
                    group.start_soon(self._write_some, client, count)

    async def _write_some(self, client: ObjectApiClient, count: int) -> None:
        for _ in range(count // _WRITERS):
            await self._write(client)

    async def _write(self, client: ObjectApiClient) -> Change:
        self._count += 1
        name = f'labelled-{self._count}'
        labels = {'shelf': f'shelf-{self._count}', 'size': 'medium'}
        stored = await client.put('labels', name, {'labels': labels}, 0, name)
        return Change(stored.revision, time.time())

    async def _switch(self, domain: str, is_in_service: bool) -> Change:
        async with ObjectApiClient(self._url, _TIMEOUT_MS) as client:
            held = await client.get('failure-domain', domain)
            stored = await client.put(
                'failure-domain',
                domain,
                {'is_in_service': is_in_service},
                0 if held is None else held.version,
                f'switch-{time.time_ns()}',
            )
        return Change(stored.revision, time.time())


def wait_in_force(nodes: Collection[BenchNode], revision: int) -> int:
    """Wait until daemons report a revision; give how many do not.

    A limit ends the wait, so that a fault shows in the table.
    """
    waiting = list(nodes)
    give_up_s = time.monotonic() + _SETTLE_LIMIT_S
    while waiting and time.monotonic() < give_up_s:
        time.sleep(_POLL_S)
        waiting = [
            node
            for node in waiting
            if node.read_status()['revision'] < revision
        ]
    return len(waiting)


def measure_spread(
    nodes: Collection[BenchNode],
    changes: Sequence[Change],
) -> Spread:
    """Find in the logs when each change was in force at each daemon.

    The logs have times in ms. A daemon that takes a change across a gap in
    the revisions counts from when the gap is closed.
    """
    reached = [list(_read_steps(node)) for node in nodes]
    single_ms: list[float] = []
    everywhere_ms: list[float] = []
    missing_count = 0
    for change in changes:
        delays_ms = [_find_delay_ms(steps, change) for steps in reached]
        known_ms = [delay for delay in delays_ms if math.isfinite(delay)]
        missing_count += len(delays_ms) - len(known_ms)
        single_ms.extend(known_ms)
        everywhere_ms.append(max(known_ms, default=math.inf))
    return Spread(tuple(single_ms), tuple(everywhere_ms), missing_count)


def rank(numbers: Sequence[float], share: float) -> float:
    """Give the nearest-rank percentile; NaN without any number."""
    if not numbers:
        return math.nan
    place = max(1, math.ceil(share * len(numbers)))
    return sorted(numbers)[place - 1]


def _read_steps(node: BenchNode) -> Iterator[tuple[int, float]]:
    for line in node.read_log():
        if line['message'] == 'in force':
            yield line['fields']['revision'], _parse_s(line)


def _parse_s(line: dict[str, Any]) -> float:
    return dt.datetime.fromisoformat(line['time']).timestamp()


def _find_delay_ms(
    steps: Sequence[tuple[int, float]],
    change: Change,
) -> float:
    for revision, at_s in steps:
        if revision >= change.revision:
            # A relay may hear of a change before its writer does.
            return max(0, at_s - change.accepted_at_s) * _MS_PER_S
    return math.inf
