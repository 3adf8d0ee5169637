"""Measures how fast changes spread, also when a failure domain is taken out."""

import random
import time
from collections.abc import Sequence
from typing import Final, final

from cornelbeam_standins.bench_changes import (
    Change,
    ChangeWriter,
    SpreadTimes,
    measure_spread,
    percentile,
    wait_in_force,
)
from cornelbeam_standins.bench_fleet import BenchFleet, BenchNode
from cornelbeam_standins.bench_output import write_line
from cornelbeam_standins.processes import spawn_standin

_CALL_COUNT: Final = 500
_CALLER_COUNT: Final = 3


@final
class FleetEvents:
    """Measured events in a settled fleet; each prints its results."""

    def __init__(
        self,
        fleet: BenchFleet,
        writer: ChangeWriter,
        rng: random.Random,
    ) -> None:
        """Initialize; ``rng`` chooses daemons, failure domains and services."""
        self._fleet = fleet
        self._writer = writer
        self._rng = rng

    def measure_spreads(
        self,
        change_count: int,
    ) -> None:
        """Measure the spread while all daemons run and while one is paused."""
        changes = self._writer.write_spaced(change_count, self._rng)
        missing_count = wait_in_force(self._fleet.nodes, changes[-1].revision)
        _print_spread(
            f'in force, all run ({missing_count} behind)',
            measure_spread(self._fleet.nodes, changes),
        )
        for is_relay in (False, True):
            paused = self._fleet.choose_node(self._rng, is_relay=is_relay)
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
            changes = self._writer.write_spaced(change_count, self._rng)
            missing_count = wait_in_force(others, changes[-1].revision)
        finally:
            paused.process.resume()
        resumed = Change(changes[-1].revision, time.time())
        _print_spread(
            f'in force, a {role} paused ({missing_count} behind)',
            measure_spread(others, changes),
        )
        missing_count = wait_in_force([paused], resumed.revision)
        _print_spread(
            f'resumed {role} ({missing_count} behind)',
            measure_spread([paused], [resumed]),
        )

    def take_domain_out(self) -> None:
        """Take a failure domain out of service and measure the spread.

        Also print how many calls reach the failure domain before and after.
        """
        domain = self._rng.choice(
            sorted({node.domain for node in self._fleet.nodes})
        )
        inside = [node for node in self._fleet.nodes if node.domain == domain]
        outside = [node for node in self._fleet.nodes if node.domain != domain]
        write_line(
            f'new work in {domain} before: {self._call_domain(inside, outside)}'
        )
        change = self._writer.set_domain_in_service(domain, is_in_service=False)
        missing_count = wait_in_force(self._fleet.nodes, change.revision)
        _print_spread(
            f'{domain} out, its daemons ({missing_count} behind)',
            measure_spread(inside, [change]),
        )
        _print_spread(
            f'{domain} out, the other daemons',
            measure_spread(outside, [change]),
        )
        write_line(
            f'new work in {domain} after: {self._call_domain(inside, outside)}'
        )
        self._writer.set_domain_in_service(domain, is_in_service=True)

    def _call_domain(
        self,
        inside: Sequence[BenchNode],
        outside: Sequence[BenchNode],
    ) -> str:
        """Call services from outside a failure domain.

        Return how many of the calls reached a backend server inside.
        """
        inside_before, outside_before = (
            _count_calls(inside),
            _count_calls(outside),
        )
        for node in outside[:_CALLER_COUNT]:
            # A daemon serves calls to its own service locally.
            others = {
                each.service for each in inside if each.service != node.service
            }
            _run_load(node, self._rng.choice(sorted(others)))
        inside_count = _count_calls(inside) - inside_before
        total_count = inside_count + _count_calls(outside) - outside_before
        return f'{inside_count:.0f} of {total_count:.0f} calls'


def _print_spread(label: str, spread: SpreadTimes) -> None:
    write_line(
        f'{label:<44} ms p50/p99/max: per daemon '
        f'{_format(spread.single_ms)}, everywhere '
        f'{_format(spread.everywhere_ms)}; {spread.missing_count} missing',
    )


def _format(numbers: Sequence[float]) -> str:
    return '/'.join(
        f'{percentile(numbers, fraction):.0f}' for fraction in (0.5, 0.99, 1)
    )


def _count_calls(nodes: Sequence[BenchNode]) -> float:
    name = 'cornelbeam_backend_duration_seconds_count'
    return sum(sum(node.read_counters(name).values()) for node in nodes)


def _run_load(node: BenchNode, service: str) -> None:
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
