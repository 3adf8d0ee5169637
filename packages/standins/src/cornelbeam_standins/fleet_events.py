"""Times the spread of changes and a failure domain's way out of service."""

import random
import time
from collections.abc import Sequence
from typing import Final, final

from cornelbeam_standins.bench_changes import (
    Change,
    ChangeWriter,
    Spread,
    measure_spread,
    rank,
    wait_in_force,
)
from cornelbeam_standins.bench_fleet import BenchFleet, BenchNode
from cornelbeam_standins.bench_output import write_line
from cornelbeam_standins.processes import spawn_standin

_CALL_COUNT: Final = 500
_CALLER_COUNT: Final = 3


@final
class FleetEvents:
    """Events in a settled fleet; each prints its rows."""

    def __init__(
        self,
        fleet: BenchFleet,
        writer: ChangeWriter,
        rng: random.Random,
    ) -> None:
        """Write to the fleet's Object API and choose daemons by ``rng``."""
        self._fleet = fleet
        self._writer = writer
        self._rng = rng

    def measure_spreads(
        self,
        change_count: int,
    ) -> None:
        """Time changes while all daemons run and while one is paused."""
        changes = self._writer.write_apart(change_count, self._rng)
        missing = wait_in_force(self._fleet.nodes, changes[-1].revision)
        _show_spread(
            f'in force, all run ({missing} behind)',
            measure_spread(self._fleet.nodes, changes),
        )
        for is_relay in (False, True):
            paused = self._fleet.choose(self._rng, is_relay=is_relay)
            if paused is not None and paused.process is not None:
                self._measure_paused(change_count, paused)

    def _measure_paused(
        self,
        change_count: int,
        paused: BenchNode,
    ) -> None:
        role = 'relay' if paused.read_status()['is_relay'] else 'plain member'
        others = [node for node in self._fleet.nodes if node is not paused]
        assert paused.process is not None  # noqa: S101
        paused.process.pause()
        try:
            changes = self._writer.write_apart(change_count, self._rng)
            missing = wait_in_force(others, changes[-1].revision)
        finally:
            paused.process.resume()
        resumed = Change(changes[-1].revision, time.time())
        _show_spread(
            f'in force, a {role} paused ({missing} behind)',
            measure_spread(others, changes),
        )
        missing = wait_in_force([paused], resumed.revision)
        _show_spread(
            f'resumed {role} ({missing} behind)',
            measure_spread([paused], [resumed]),
        )

    def take_domain_out(self) -> None:
        """Time how a failure domain goes out, then look for new work in it."""
        domain = self._rng.choice(
            sorted({node.domain for node in self._fleet.nodes})
        )
        inside = [node for node in self._fleet.nodes if node.domain == domain]
        outside = [node for node in self._fleet.nodes if node.domain != domain]
        write_line(
            f'new work in {domain} before: {self._call(inside, outside)}'
        )
        change = self._writer.switch_domain(domain, is_in_service=False)
        missing = wait_in_force(self._fleet.nodes, change.revision)
        _show_spread(
            f'{domain} out, its daemons ({missing} behind)',
            measure_spread(inside, [change]),
        )
        _show_spread(
            f'{domain} out, the other daemons',
            measure_spread(outside, [change]),
        )
        write_line(f'new work in {domain} after: {self._call(inside, outside)}')
        self._writer.switch_domain(domain, is_in_service=True)

    def _call(
        self,
        inside: Sequence[BenchNode],
        outside: Sequence[BenchNode],
    ) -> str:
        """Call services of other daemons; tell how many calls came inside."""
        before, before_all = _count_work(inside), _count_work(outside)
        for node in outside[:_CALLER_COUNT]:
            # A daemon would serve calls to its own service itself.
            others = {
                each.service for each in inside if each.service != node.service
            }
            _call(node, self._rng.choice(sorted(others)))
        came = _count_work(inside) - before
        total = came + _count_work(outside) - before_all
        return f'{came:.0f} of {total:.0f} calls'


def _show_spread(label: str, spread: Spread) -> None:
    write_line(
        f'{label:<44} ms p50/p99/max: per daemon '
        f'{_join(spread.single_ms)}, everywhere '
        f'{_join(spread.everywhere_ms)}; {spread.missing_count} missing',
    )


def _join(numbers: Sequence[float]) -> str:
    return '/'.join(f'{rank(numbers, share):.0f}' for share in (0.5, 0.99, 1))


def _count_work(nodes: Sequence[BenchNode]) -> float:
    name = 'cornelbeam_backend_duration_seconds_count'
    return sum(sum(node.read_counters(name).values()) for node in nodes)


def _call(node: BenchNode, service: str) -> None:
    with spawn_standin(
        'load',
        '--port',
        str(node.caller_port),
        '--service',
        service,
        '--concurrency',
        '4',
        '--calls',
        str(_CALL_COUNT),
    ) as load:
        load.read_line()
