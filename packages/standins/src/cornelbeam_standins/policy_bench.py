"""Bench of the policies in virtual time, on the deployment sizes.

Seeded; the same command prints the same table. It drives the shipped
decisions through small fakes and is not a simulator of a cluster.
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

from cornelbeam_standins.policy_caller import FakeCaller, Tally
from cornelbeam_standins.policy_fakes import (
    MEAN_SERVICE_S,
    EventQueue,
    FakeBackendSide,
    FakeServer,
)

_CALLER_COUNT: Final = 12
_END_S: Final = 5.0
# Targets start cold and warm up before anything is counted.
_WARM_UP_S: Final = 2.0
_EVENT_S: Final = 2.5
_RETURN_S: Final = 4.0
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
    """A deployment: targets per service, slots per target and domains."""

    target_counts: tuple[int, ...]
    slot_count: int
    domain_count: int


SIZES: Final = {
    'cooperative': Size((4, 4), slot_count=20, domain_count=4),
    'utility': Size((4, 3), slot_count=6, domain_count=3),
}


@final
class Fleet:
    """Callers, targets and the load between them in one run."""

    def __init__(self, size: Size, policy_name: str, seed: int) -> None:
        """Build the fleet; nothing runs yet."""
        self.size = size
        self.events = EventQueue()
        self.rng = random.Random(seed)
        self.tally = Tally()
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
            self._plan_arrival(f's{service_index}', count)

    def run(self) -> Tally:
        """Run to the end, counting after the warm-up."""
        self.events.run(_WARM_UP_S)
        self.tally.latencies_ms.clear()
        self.tally.counts.clear()
        self.events.run(_END_S + 1)
        servers = [side.server for side in self.sides.values()]
        counts = self.tally.counts
        counts['cold peak'] = max(one.cold_peak_count for one in servers)
        self.tally.cold_overload = max(one.cold_overload for one in servers)
        return self.tally

    def in_domain(self, domain: str) -> list[Target]:
        """Give the targets of a failure domain."""
        return [one for one in self.targets if one.domain == domain]

    def server(self, name: str) -> FakeServer:
        """Give the backend server of a target."""
        return self.sides[name].server

    def states_of(self, name: str) -> Iterator[TargetState]:
        """Give what each caller knows about a target."""
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
            self.tally,
            states,
            self.sides,
        )

    def _plan_arrival(self, service: str, target_count: int) -> None:
        full_per_s = target_count * self.size.slot_count / MEAN_SERVICE_S
        # Arrivals are thinned from a rate above any that a scenario sets.
        top_load = 1.6

        def arrive() -> None:  # noqa: WPS430 - an event is a closure
            if self.events.now_s >= _END_S:
                return
            if self.rng.random() * top_load < self.load():
                self.rng.choice(self.callers).arrive(service)
            self.events.after(
                self.rng.expovariate(full_per_s * top_load),
                arrive,
            )

        self.events.after(0, arrive)


Scenario: TypeAlias = Callable[[Fleet], None]
SCENARIOS: Final[dict[str, Scenario]] = {}


def scenario(name: str) -> Callable[[Scenario], Scenario]:
    """Register a scenario: it plans events on a fleet before the run."""

    def register(function: Scenario) -> Scenario:  # noqa: WPS430
        SCENARIOS[name] = function
        return function

    return register


@scenario('steady')
def plan_steady(fleet: Fleet) -> None:
    """Keep a load of 60% with fresh reports."""


@scenario('load shifts in 5 ms')
def plan_shifts(fleet: Fleet) -> None:
    """Draw the load anew, between 0.1 and 1.1, each 5 to 40 ms."""
    loads = [_LOAD]

    def shift() -> None:  # noqa: WPS430 - an event is a closure
        loads[0] = fleet.rng.uniform(0.1, 1.1)
        fleet.events.after(fleet.rng.uniform(0.005, 0.04), shift)

    fleet.load = lambda: loads[0]
    fleet.events.at(_WARM_UP_S, shift)


@scenario('reports 50-500 ms old')
def plan_old_reports(fleet: Fleet) -> None:
    """Publish load reports only each 50 to 500 ms, while the load shifts."""
    plan_shifts(fleet)
    for side in fleet.sides.values():
        side.report_age_s = (0.05, 0.5)


@scenario('one straggler')
def plan_straggler(fleet: Fleet) -> None:
    """Make one target of the first service five times slower."""

    def slow_down() -> None:  # noqa: WPS430 - an event is a closure
        fleet.server('s0-t1').slow_factor = 5

    fleet.events.at(_EVENT_S, slow_down)


@scenario('stalls of 200 ms')
def plan_stalls(fleet: Fleet) -> None:
    """Stall a random target for 200 ms, each 500 ms."""

    def stall() -> None:  # noqa: WPS430 - an event is a closure
        server = fleet.server(fleet.rng.choice(fleet.targets).name)
        server.stalled_until_s = fleet.events.now_s + 0.2
        fleet.events.after(0.5, stall)

    fleet.events.at(_WARM_UP_S + 0.25, stall)


@scenario('cold start')
def plan_cold_start(fleet: Fleet) -> None:
    """Replace one target of the first service by a cold one."""

    def replace() -> None:  # noqa: WPS430 - an event is a closure
        _replace_cold(fleet, 's0-t1')

    fleet.events.at(_EVENT_S, replace)


@scenario('warm gone cold')
def plan_gone_cold(fleet: Fleet) -> None:
    """Turn a warm server cold without telling the daemon beside it."""
    fleet.events.at(_EVENT_S, fleet.server('s0-t1').become_cold)


@scenario('failure domain slow')
def plan_domain_slow(fleet: Fleet) -> None:
    """Make all targets of one failure domain four times slower."""

    def slow_down() -> None:  # noqa: WPS430 - an event is a closure
        for target in fleet.in_domain('d1'):
            fleet.server(target.name).slow_factor = 4

    fleet.events.at(_EVENT_S, slow_down)


@scenario('failure domain out and back')
def plan_domain_out(fleet: Fleet) -> None:
    """Take a domain out; callers learn within 1 s; it comes back cold."""

    def switch(is_out: bool) -> None:  # noqa: WPS430, FBT001
        for target in fleet.in_domain('d1'):
            fleet.sides[target.name].is_out = is_out
            if not is_out:
                _replace_cold(fleet, target.name)
            for state in fleet.states_of(target.name):
                _tell_later(fleet, state, is_reachable=not is_out)

    fleet.events.at(_EVENT_S, lambda: switch(is_out=True))
    fleet.events.at(_RETURN_S, lambda: switch(is_out=False))


def _tell_later(
    fleet: Fleet,
    state: TargetState,
    *,
    is_reachable: bool,
) -> None:
    def tell() -> None:  # noqa: WPS430 - an event is a closure
        state.is_reachable = is_reachable
        if is_reachable:
            state.report = None

    fleet.events.after(fleet.rng.random(), tell)


def _replace_cold(fleet: Fleet, name: str) -> None:
    # Calls in flight end on the old instance; callers see a new incarnation.
    side = fleet.sides[name]
    side.server = FakeServer(fleet.events, side.rng, fleet.size.slot_count)
    side.server.become_cold()
    side.replace()
    for state in fleet.states_of(name):
        state.latency_ewma_s = 0
        state.report = None
        state.ejected_until_s = 0


def run_once(job: tuple[str, str, str, int]) -> Tally:
    """Run one size, scenario, policy and seed."""
    size_name, scenario_name, policy_name, seed = job
    fleet = Fleet(SIZES[size_name], policy_name, seed)
    SCENARIOS[scenario_name](fleet)
    return fleet.run()


def format_row(name: str, tallies: Sequence[Tally]) -> str:
    """Sum up the runs of one policy as a row of a Markdown table."""
    latencies_ms = [ms for one in tallies for ms in one.latencies_ms]
    cuts = statistics.quantiles(latencies_ms, n=1000, method='inclusive')
    counts = [
        sum(one.counts[column] for one in tallies)
        for column in ('refused', 'retries', 'hedges', 'ejections')
    ]
    cells = [
        name,
        len(latencies_ms),
        f'{cuts[499]:.1f}',
        f'{cuts[989]:.1f}',
        f'{cuts[998]:.1f}',
        *counts,
        max(one.counts['cold peak'] for one in tallies),
        f'{max(one.cold_overload for one in tallies):.1f}',
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
    """Print latency in ms and counts per size, scenario and policy.

    :param seed: the first seed
    :param seed_count: runs with seeds in a row that make up one row
    :param process_count: processes that share the runs
    :param size: only this size
    :param scenario_name: only this scenario
    :param policy_name: only this policy
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
        tallies = pool.map(
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
                    list(itertools.islice(tallies, seed_count)),
                ),
            )


if __name__ == '__main__':
    defopt.run(main)
