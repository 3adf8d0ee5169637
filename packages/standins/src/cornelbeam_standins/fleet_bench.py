"""Measures control traffic cost per daemon and how fast changes spread.

Fleets of several sizes run on loopback, one after the other. Results are means
over the daemons and a fixed time. The slopes between rows are more useful than
the rows themselves, since the machine may be busy with other work.
"""

import os
import platform
import random
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any, Final

import anyio
import defopt

from cornelbeam_standins.bench_changes import ChangeWriter
from cornelbeam_standins.bench_connections import measure_connections
from cornelbeam_standins.bench_fleet import BenchFleet, FleetPlan
from cornelbeam_standins.bench_output import write_line
from cornelbeam_standins.bench_window import measure_window
from cornelbeam_standins.fleet_events import FleetEvents
from cornelbeam_standins.import_bench import measure_imports

_CALLED_SERVICE_COUNT: Final = 12
_PING_COUNT: Final = 5000
_OBJECTS_DAEMON_COUNT: Final = 6
_OBJECTS_RATE_PER_S: Final = 2.0

PARTS: Final = (
    'imports',
    'sizes',
    'called',
    'events',
    'objects',
    'connections',
)


class FleetBench:
    """The scenarios; each prints its results as soon as it has them."""

    def __init__(self, window_s: float, settle_s: float, seed: int) -> None:
        """Measure each fleet for ``window_s``, ``settle_s`` after its start."""
        self._window_s = window_s
        self._settle_s = settle_s
        self._rng = random.Random(seed)

    def measure_sizes(self, sizes: Sequence[int]) -> None:
        """Vary the size of the fleet."""
        for size in sizes:
            with self._start_fleet(FleetPlan(daemon_count=size)) as fleet:
                self._print_window(f'{size} daemons', fleet)

    def measure_called(self, size: int, counts: Sequence[int]) -> None:
        """Vary the number of called services."""
        for count in counts:
            plan = FleetPlan(
                daemon_count=size,
                service_count=_CALLED_SERVICE_COUNT,
                called_count=count,
            )
            with self._start_fleet(plan) as fleet:
                self._print_window(f'{count} called', fleet)

    def measure_events(
        self,
        size: int,
        rates_per_s: Sequence[float],
        change_count: int,
    ) -> None:
        """Vary the rates of changes and restarts and measure the spread."""
        with self._start_fleet(FleetPlan(daemon_count=size)) as fleet:
            writer = ChangeWriter(fleet)
            for rate_per_s in rates_per_s:
                self._print_window(
                    f'{rate_per_s:g} changes/s',
                    fleet,
                    partial(writer.write_at_rate, rate_per_s),
                )
            events = FleetEvents(fleet, writer, self._rng)
            events.measure_spreads(change_count)
            events.take_domain_out()
            self._measure_churn(fleet)

    def measure_objects(self, counts: Sequence[int]) -> None:
        """Vary the objects in force, without changes and at a fixed rate."""
        plan = FleetPlan(daemon_count=_OBJECTS_DAEMON_COUNT)
        with self._start_fleet(plan) as fleet:
            writer = ChangeWriter(fleet)
            written_count = 0
            for count in counts:
                writer.write_many(count - written_count)
                written_count = count
                time.sleep(self._settle_s)
                self._print_window(f'{count} objects, quiet', fleet)
                self._print_window(
                    f'{count} objects, {_OBJECTS_RATE_PER_S:g} changes/s',
                    fleet,
                    partial(writer.write_at_rate, _OBJECTS_RATE_PER_S),
                )

    def measure_connections(self, counts: Sequence[int]) -> None:
        """Vary the number of connections that other daemons keep open."""
        for count in counts:
            with self._start_fleet(FleetPlan(daemon_count=3)) as fleet:
                size_kb, open_us, ping_us = anyio.run(
                    measure_connections,
                    fleet,
                    count,
                    _PING_COUNT,
                )
            write_line(
                f'{count} connections: {size_kb:.1f} KB each,'
                f' {open_us:.0f} us to accept one,'
                f' {ping_us:.0f} us for a ping and its ack',
            )

    @contextmanager
    def _start_fleet(self, plan: FleetPlan) -> Iterator[BenchFleet]:
        with tempfile.TemporaryDirectory() as directory:
            with BenchFleet(plan, Path(directory)) as fleet:
                start_calls = fleet.read_calls()
                time.sleep(self._settle_s)
                write_line(
                    f'started {plan.daemon_count} daemons of'
                    f' {plan.service_count} services in'
                    f' {plan.domain_count} failure domains;'
                    f' Object API calls until the last listens {start_calls},'
                    f' until settled {fleet.read_calls()};'
                    f' load average {os.getloadavg()[0]:.1f}',
                )
                yield fleet

    def _print_window(
        self,
        label: str,
        fleet: BenchFleet,
        activity: Callable[[float], Any] = time.sleep,
    ) -> None:
        row = measure_window(fleet, self._window_s, activity)
        write_line(
            f'{label:<28} {row["messages"]:6.2f} msg/s'
            f' {row["bytes"]:7.0f} B/s (max {row["max bytes"]:.0f},'
            f' on the wire {row["wire"]:.0f})'
            f' cpu {row["cpu"]:5.2f}% (max {row["max cpu"]:.2f})'
            f' rss {row["rss"]:5.1f} MB (max {row["max rss"]:.1f})'
            f' Object API {row["calls"]}',
        )
        write_line(f'  {row["by message"]}')

    def _measure_churn(self, fleet: BenchFleet) -> None:
        for period_s in (5.0, 2.5):
            before = fleet.read_calls()
            self._print_window(
                f'a restart each {period_s:g} s',
                fleet,
                partial(self._restart_periodically, fleet, period_s),
            )
            write_line(
                f'  Object API before {before}, after {fleet.read_calls()}'
            )

    def _restart_periodically(
        self,
        fleet: BenchFleet,
        period_s: float,
        window_s: float,
    ) -> None:
        started_s = time.monotonic()
        for index in range(int(window_s / period_s)):
            fleet.restart(self._rng.choice(fleet.nodes))
            next_s = started_s + (index + 1) * period_s
            time.sleep(max(0, next_s - time.monotonic()))


def _print_imports() -> None:
    for line in measure_imports():
        write_line(line)


def bench_fleet(
    *,
    parts: Sequence[str] = PARTS,
    sizes: Sequence[int] = (6, 12, 24, 48),
    called: Sequence[int] = (0, 4, 11),
    rates: Sequence[float] = (1, 4),
    objects: Sequence[int] = (0, 1000, 4000),
    connections: Sequence[int] = (200, 800),
    size: int = 24,
    change_count: int = 40,
    window_s: float = 15.0,
    settle_s: float = 20.0,
    seed: int = 1,
) -> None:
    """Print the cost of control traffic and the spread of changes.

    :param parts: scenarios to run
    :param sizes: numbers of daemons
    :param called: numbers of called services
    :param rates: configuration changes per second
    :param objects: numbers of configuration objects in force
    :param connections: numbers of connections of other daemons
    :param size: number of daemons in scenarios that do not vary it
    :param change_count: number of changes whose spread is measured
    :param window_s: length of each measurement in seconds
    :param settle_s: time in seconds for a fleet to settle
    :param seed: seed of all random choices
    """
    write_line(
        f'machine: {os.cpu_count()} cores, {platform.machine()},'
        f' Python {platform.python_version()},'
        f' load average {os.getloadavg()[0]:.1f}, seed {seed}',
    )
    bench = FleetBench(window_s, settle_s, seed)
    scenarios: dict[str, Callable[[], None]] = {
        'imports': _print_imports,
        'sizes': partial(bench.measure_sizes, sizes),
        'called': partial(bench.measure_called, size, called),
        'events': partial(bench.measure_events, size, rates, change_count),
        'objects': partial(bench.measure_objects, objects),
        'connections': partial(bench.measure_connections, connections),
    }
    for part in parts:
        scenarios[part]()


def main() -> None:
    """Run the benchmark."""
    defopt.run(bench_fleet, no_negated_flags=True)


if __name__ == '__main__':
    main()
