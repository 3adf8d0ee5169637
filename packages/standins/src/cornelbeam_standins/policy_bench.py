"""Benchmark the selection policies in virtual time, per deployment size.

Runs are seeded, so the same command prints the same table. The benchmark
drives the production decision code through small fakes; it does not simulate
a whole cluster.
"""

import itertools
import random
import statistics
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Final, TypeAlias, final

import defopt
from cornelbeam_core.admission import AdmissionSettings
from cornelbeam_core.selection import POLICIES, TargetState, compute_affinity
from cornelbeam_core.targets import Target

from cornelbeam_standins.policy_caller import FakeCaller, RunStats
from cornelbeam_standins.policy_fakes import (
    MEAN_SERVICE_S,
    EventQueue,
    FakeBackendSide,
    FakeServer,
)

_CALLER_COUNT: Final = 12
_END_S: Final = 5.0
# Targets start cold; results of the warm-up are not counted.
_WARM_UP_S: Final = 2.0
_FAULT_AT_S: Final = 2.5
_RECOVERY_AT_S: Final = 4.0
_LOAD: Final = 0.6
_COLUMNS: Final = (
    'size',
    'scenario',
    'policy',
    'answered',
    'p50',
    'p99',
    'p99.9',
    'refused',
    'retries',
    'hedges',
    'ejections',
    'cold peak',
    'cold overload',
)


@final
@dataclass(frozen=True, slots=True)
class Size:
    """Size of a deployment: targets per service, slots and failure domains."""

    target_counts: tuple[int, ...]
    slot_count: int
    domain_count: int


SIZES: Final = {
    'cooperative': Size((4, 4), slot_count=20, domain_count=4),
    'utility': Size((4, 3), slot_count=6, domain_count=3),
}


@final
class Fleet:
    """Callers and targets of one run, and the load that callers generate."""

    def __init__(self, size: Size, policy_name: str, seed: int) -> None:
        """Build the fleet and schedule the arrivals of calls."""
        self.size = size
        self.events = EventQueue()
        self.rng = random.Random(seed)
        self.stats = RunStats()
        self.load: Callable[[], float] = lambda: _LOAD
        self.targets = tuple(self._make_targets())
        self.sides = {
            target.name: self._make_side(seed, index)
            for index, target in enumerate(self.targets)
        }
        self.callers = [
            self._make_caller(policy_name, seed, index)
            for index in range(_CALLER_COUNT)
        ]
        for service_index, count in enumerate(size.target_counts):
            self._schedule_arrivals(f's{service_index}', count)

    def run(self) -> RunStats:
        """Run to the end and return the results counted after the warm-up."""
        self.events.run(_WARM_UP_S)
        self.stats.latencies_ms.clear()
        self.stats.counts.clear()
        self.events.run(_END_S + 1)
        servers = [side.server for side in self.sides.values()]
        counts = self.stats.counts
        counts['cold peak'] = max(server.cold_peak_count for server in servers)
        self.stats.cold_overload = max(
            server.cold_overload for server in servers
        )
        return self.stats

    def in_domain(self, domain: str) -> list[Target]:
        """Return the targets of a failure domain."""
        return [target for target in self.targets if target.domain == domain]

    def server(self, name: str) -> FakeServer:
        """Return the backend server of a target."""
        return self.sides[name].server

    def states_of(self, name: str) -> Iterator[TargetState]:
        """Yield the state that each caller keeps for a target."""
        for caller in self.callers:
            for state in itertools.chain(*caller.states.values()):
                if state.target.name == name:
                    yield state

    def _make_targets(self) -> Iterator[Target]:
        for service_index, count in enumerate(self.size.target_counts):
            for index in range(count):
                yield Target(
                    f's{service_index}-t{index}',
                    f's{service_index}',
                    f'd{index % self.size.domain_count}',
                    '',
                    1,
                    {},
                )

    def _make_side(self, seed: int, index: int) -> FakeBackendSide:
        rng = random.Random(f'{seed}/server/{index}')
        slot_count = self.size.slot_count
        return FakeBackendSide(
            self.events,
            rng,
            FakeServer(self.events, rng, slot_count),
            AdmissionSettings(slot_count=slot_count),
        )

    def _make_caller(
        self,
        policy_name: str,
        seed: int,
        index: int,
    ) -> FakeCaller:
        name = f'c{index}'
        domain = f'd{index % self.size.domain_count}'
        states: dict[str, list[TargetState]] = {}
        for target in self.targets:
            states.setdefault(target.service, []).append(
                TargetState(
                    target,
                    is_same_domain=target.domain == domain,
                    affinity=compute_affinity(name, target.name),
                ),
            )
        return FakeCaller(
            name,
            policy_name,
            self.events,
            random.Random(f'{seed}/caller/{index}'),
            self.stats,
            states,
            self.sides,
        )

    def _schedule_arrivals(self, service: str, target_count: int) -> None:
        full_per_s = target_count * self.size.slot_count / MEAN_SERVICE_S
        # Arrivals are thinned from a rate above the load of any scenario.
        max_load = 1.6

        def arrive() -> None:  # noqa: WPS430 - an event is a closure
            if self.events.now_s >= _END_S:
                return
            if self.rng.random() * max_load < self.load():
                self.rng.choice(self.callers).start_call(service)
            self.events.after(
                self.rng.expovariate(full_per_s * max_load),
                arrive,
            )

        self.events.after(0, arrive)


Scenario: TypeAlias = Callable[[Fleet], None]
SCENARIOS: Final[dict[str, Scenario]] = {}


def scenario(name: str) -> Callable[[Scenario], Scenario]:
    """Register a scenario, which schedules events on a fleet before a run."""

    def register(function: Scenario) -> Scenario:  # noqa: WPS430
        SCENARIOS[name] = function
        return function

    return register


@scenario('steady')
def plan_steady(fleet: Fleet) -> None:
    """Keep a constant load of 60% with up-to-date load reports."""


@scenario('load shifts in 5 ms')
def plan_shifts(fleet: Fleet) -> None:
    """Set a random load between 0.1 and 1.1 every 5 to 40 ms."""
    loads = [_LOAD]

    def shift() -> None:  # noqa: WPS430 - an event is a closure
        loads[0] = fleet.rng.uniform(0.1, 1.1)
        fleet.events.after(fleet.rng.uniform(0.005, 0.04), shift)

    fleet.load = lambda: loads[0]
    fleet.events.at(_WARM_UP_S, shift)


@scenario('reports 50-500 ms old')
def plan_old_reports(fleet: Fleet) -> None:
    """Publish load reports only every 50 to 500 ms while the load shifts."""
    plan_shifts(fleet)
    for side in fleet.sides.values():
        side.report_interval_s = (0.05, 0.5)


@scenario('one straggler')
def plan_straggler(fleet: Fleet) -> None:
    """Make one target of the first service five times slower."""

    def slow_down() -> None:  # noqa: WPS430 - an event is a closure
        fleet.server('s0-t1').slow_factor = 5

    fleet.events.at(_FAULT_AT_S, slow_down)


@scenario('stalls of 200 ms')
def plan_stalls(fleet: Fleet) -> None:
    """Stall a random target for 200 ms every 500 ms."""

    def stall() -> None:  # noqa: WPS430 - an event is a closure
        server = fleet.server(fleet.rng.choice(fleet.targets).name)
        server.stalled_until_s = fleet.events.now_s + 0.2
        fleet.events.after(0.5, stall)

    fleet.events.at(_WARM_UP_S + 0.25, stall)


@scenario('cold start')
def plan_cold_start(fleet: Fleet) -> None:
    """Replace one target of the first service with a cold one."""

    def replace() -> None:  # noqa: WPS430 - an event is a closure
        _replace_cold(fleet, 's0-t1')

    fleet.events.at(_FAULT_AT_S, replace)


@scenario('warm gone cold')
def plan_gone_cold(fleet: Fleet) -> None:
    """Make a warm server cold without notice to the daemon beside it."""
    fleet.events.at(_FAULT_AT_S, fleet.server('s0-t1').become_cold)


@scenario('failure domain slow')
def plan_domain_slow(fleet: Fleet) -> None:
    """Make all targets of one failure domain four times slower."""

    def slow_down() -> None:  # noqa: WPS430 - an event is a closure
        for target in fleet.in_domain('d1'):
            fleet.server(target.name).slow_factor = 4

    fleet.events.at(_FAULT_AT_S, slow_down)


@scenario('failure domain out and back')
def plan_domain_out(fleet: Fleet) -> None:
    """Take a failure domain out of service, then return it cold.

    Each caller learns of either change within 1 s.
    """

    def switch(is_out_of_service: bool) -> None:  # noqa: WPS430, FBT001
        for target in fleet.in_domain('d1'):
            fleet.sides[target.name].is_out_of_service = is_out_of_service
            if not is_out_of_service:
                _replace_cold(fleet, target.name)
            for state in fleet.states_of(target.name):
                _update_later(fleet, state, is_reachable=not is_out_of_service)

    fleet.events.at(_FAULT_AT_S, lambda: switch(is_out_of_service=True))
    fleet.events.at(_RECOVERY_AT_S, lambda: switch(is_out_of_service=False))


def _update_later(
    fleet: Fleet,
    state: TargetState,
    *,
    is_reachable: bool,
) -> None:
    def update() -> None:  # noqa: WPS430 - an event is a closure
        state.is_reachable = is_reachable
        if is_reachable:
            state.report = None

    fleet.events.after(fleet.rng.random(), update)


def _replace_cold(fleet: Fleet, name: str) -> None:
    # Calls in flight finish on the old instance. Resetting the callers' state
    # makes the replacement look like a new incarnation.
    side = fleet.sides[name]
    side.server = FakeServer(fleet.events, side.rng, fleet.size.slot_count)
    side.server.become_cold()
    side.replace()
    for state in fleet.states_of(name):
        state.latency_ewma_s = 0
        state.report = None
        state.ejected_until_s = 0


def run_once(job: tuple[str, str, str, int]) -> RunStats:
    """Run one combination of size, scenario, policy and seed."""
    size_name, scenario_name, policy_name, seed = job
    fleet = Fleet(SIZES[size_name], policy_name, seed)
    SCENARIOS[scenario_name](fleet)
    return fleet.run()


def format_row(name: str, run_stats: Sequence[RunStats]) -> str:
    """Return a row of a Markdown table that sums up runs of one policy."""
    latencies_ms = [ms for stats in run_stats for ms in stats.latencies_ms]
    percentiles = statistics.quantiles(latencies_ms, n=1000, method='inclusive')
    counts = [
        sum(stats.counts[column] for stats in run_stats)
        for column in ('refused', 'retries', 'hedges', 'ejections')
    ]
    cells = [
        name,
        len(latencies_ms),
        f'{percentiles[499]:.1f}',
        f'{percentiles[989]:.1f}',
        f'{percentiles[998]:.1f}',
        *counts,
        max(stats.counts['cold peak'] for stats in run_stats),
        f'{max(stats.cold_overload for stats in run_stats):.1f}',
    ]
    return f'| {" | ".join(str(cell) for cell in cells)} |'


def main(
    *,
    seed: int = 1,
    seed_count: int = 4,
    process_count: int = 3,
    size: str = '',
    scenario_name: str = '',
    policy_name: str = '',
) -> None:
    """Print latencies in ms and counts per size, scenario and policy.

    :param seed: first seed
    :param seed_count: runs per row, with consecutive seeds
    :param process_count: number of worker processes
    :param size: run only this size
    :param scenario_name: run only this scenario
    :param policy_name: run only this policy
    """
    rows = list(
        itertools.product(
            [size] if size else SIZES,
            [scenario_name] if scenario_name else SCENARIOS,
            [policy_name] if policy_name else POLICIES,
        ),
    )
    print(f'| {" | ".join(_COLUMNS)} |')
    print(f'|{"---|" * len(_COLUMNS)}')
    with ProcessPoolExecutor(process_count) as pool:
        run_stats = pool.map(
            run_once,
            [
                (*row, seed + index)
                for row in rows
                for index in range(seed_count)
            ],
        )
        for row in rows:
            print(
                format_row(
                    ' | '.join(row),
                    list(itertools.islice(run_stats, seed_count)),
                ),
            )


if __name__ == '__main__':
    defopt.run(main)
