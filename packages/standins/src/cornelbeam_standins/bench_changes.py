"""Configuration changes, and the time until daemons have them in force."""

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
_IN_FORCE_TIMEOUT_S: Final = 60
_POLL_INTERVAL_S: Final = 0.5
_WRITER_COUNT: Final = 8
_MS_PER_S: Final = 1000


@final
class Change(msgspec.Struct, frozen=True):
    """An accepted change: its revision and when the Object API answered."""

    revision: int
    accepted_at_s: float


@final
class SpreadTimes(msgspec.Struct, frozen=True):
    """Times in ms from the acceptance of changes until they are in force.

    ``single_ms`` has one entry per change and daemon, ``everywhere_ms`` one
    per change, for the last daemon. ``missing_count`` counts pairs of change
    and daemon for which the log has no entry.
    """

    single_ms: tuple[float, ...]
    everywhere_ms: tuple[float, ...]
    missing_count: int


class ChangeWriter:
    """Writes ``labels`` objects under new names, each a separate change."""

    def __init__(self, fleet: BenchFleet) -> None:
        """Initialize a writer to the Object API of the fleet."""
        self._url = fleet.store_url
        self._count = 0

    def write_at_rate(
        self, rate_per_s: float, duration_s: float
    ) -> list[Change]:
        """Write changes at a fixed rate for a time in seconds."""
        count = int(rate_per_s * duration_s)
        intervals_s = [1 / rate_per_s for _ in range(count)]
        return anyio.run(self._write_each, intervals_s)

    def write_spaced(self, count: int, rng: random.Random) -> list[Change]:
        """Write changes one by one at random intervals of about 0.5 s."""
        intervals_s = [rng.uniform(0.25, 0.75) for _ in range(count)]
        return anyio.run(self._write_each, intervals_s)

    def write_many(self, count: int) -> None:
        """Write objects as fast as the Object API accepts them."""
        anyio.run(self._write_all, count)

    def set_domain_in_service(
        self, domain: str, *, is_in_service: bool
    ) -> Change:
        """Set whether a failure domain is in service."""
        return anyio.run(self._set_domain, domain, is_in_service)

    async def _write_each(self, intervals_s: Sequence[float]) -> list[Change]:
        changes: list[Change] = []
        next_s = time.monotonic()
        async with ObjectApiClient(self._url, _TIMEOUT_MS) as client:
            for interval_s in intervals_s:
                next_s += interval_s
                await anyio.sleep(max(0, next_s - time.monotonic()))
                changes.append(await self._write(client))
        return changes

    async def _write_all(self, count: int) -> None:
        async with ObjectApiClient(self._url, _TIMEOUT_MS) as client:
            async with anyio.create_task_group() as group:
                for _ in range(_WRITER_COUNT):
                    group.start_soon(self._write_batch, client, count)

    async def _write_batch(self, client: ObjectApiClient, count: int) -> None:
        for _ in range(count // _WRITER_COUNT):
            await self._write(client)

    async def _write(self, client: ObjectApiClient) -> Change:
        self._count += 1
        name = f'labelled-{self._count}'
        labels = {'shelf': f'shelf-{self._count}', 'size': 'medium'}
        stored = await client.put('labels', name, {'labels': labels}, 0, name)
        return Change(stored.revision, time.time())

    async def _set_domain(self, domain: str, is_in_service: bool) -> Change:
        async with ObjectApiClient(self._url, _TIMEOUT_MS) as client:
            stored_domain = await client.get('failure-domain', domain)
            stored = await client.put(
                'failure-domain',
                domain,
                {'is_in_service': is_in_service},
                0 if stored_domain is None else stored_domain.version,
                f'switch-{time.time_ns()}',
            )
        return Change(stored.revision, time.time())


def wait_in_force(nodes: Collection[BenchNode], revision: int) -> int:
    """Wait until daemons report a revision; return how many do not.

    The wait ends after 60 s, so that a fault appears in the output.
    """
    waiting = list(nodes)
    deadline_s = time.monotonic() + _IN_FORCE_TIMEOUT_S
    while waiting and time.monotonic() < deadline_s:
        time.sleep(_POLL_INTERVAL_S)
        waiting = [
            node
            for node in waiting
            if node.read_status()['revision'] < revision
        ]
    return len(waiting)


def measure_spread(
    nodes: Collection[BenchNode],
    changes: Sequence[Change],
) -> SpreadTimes:
    """Read from the logs when each change was in force at each daemon.

    Log times have a resolution of 1 ms. If a daemon receives a change after a
    gap in the revisions, the change is in force once the gap is closed.
    """
    revisions_by_node = [list(_read_revisions(node)) for node in nodes]
    single_ms: list[float] = []
    everywhere_ms: list[float] = []
    missing_count = 0
    for change in changes:
        delays_ms = [
            _find_delay_ms(revisions, change) for revisions in revisions_by_node
        ]
        known_ms = [delay for delay in delays_ms if math.isfinite(delay)]
        missing_count += len(delays_ms) - len(known_ms)
        single_ms.extend(known_ms)
        everywhere_ms.append(max(known_ms, default=math.inf))
    return SpreadTimes(tuple(single_ms), tuple(everywhere_ms), missing_count)


def percentile(numbers: Sequence[float], fraction: float) -> float:
    """Return the nearest-rank percentile, or NaN without numbers."""
    if not numbers:
        return math.nan
    position = max(1, math.ceil(fraction * len(numbers)))
    return sorted(numbers)[position - 1]


def _read_revisions(node: BenchNode) -> Iterator[tuple[int, float]]:
    for line in node.read_log():
        if line['message'] == 'in force':
            yield line['fields']['revision'], _parse_time_s(line)


def _parse_time_s(line: dict[str, Any]) -> float:
    return dt.datetime.fromisoformat(line['time']).timestamp()


def _find_delay_ms(
    revisions: Sequence[tuple[int, float]],
    change: Change,
) -> float:
    for revision, logged_at_s in revisions:
        if revision >= change.revision:
            # A relay may receive a change before the writer has its answer.
            return max(0, logged_at_s - change.accepted_at_s) * _MS_PER_S
    return math.inf
