"""Benchmark the processor time of choosing one target."""

import functools
import random
import timeit
from collections.abc import Iterator
from typing import Final

import defopt
from cornelbeam_core.selection import (
    POLICIES,
    TargetState,
    choose_target,
    compute_affinity,
)
from cornelbeam_core.targets import LoadReport, Target

_CHOICE_COUNT: Final = 20_000
_US_PER_S: Final = 1_000_000


def make_states(count: int, rng: random.Random) -> Iterator[TargetState]:
    """Yield targets with calls in flight, load reports and latencies."""
    for index in range(count):
        name = f't{index}'
        state = TargetState(
            Target(name, 'windows', 'mission', '', 1, {}),
            affinity=compute_affinity('c', name),
        )
        for _ in range(3):
            state.note_start(0)
        state.note_end(0.01, rng.uniform(0.01, 0.02))
        report = LoadReport(
            in_flight=rng.randrange(20),
            limit=20,
            queue_length=0,
            service_time_us=9000,
            is_leaving=False,
        )
        state.note_report(report, 0)
        yield state


def main(*, count: int = 16, seed: int = 1, repeat_count: int = 7) -> None:
    """Print the time per choice in us, the minimum of several repeats.

    :param count: targets to choose from
    :param seed: seed of the targets and choices
    :param repeat_count: number of repeats of 20,000 choices
    """
    rng = random.Random(seed)
    states = list(make_states(count, rng))
    for name in POLICIES:
        times_s = timeit.repeat(
            functools.partial(choose_target, name, states, 0.02, rng),
            number=_CHOICE_COUNT,
            repeat=repeat_count,
        )
        time_us = min(times_s) * _US_PER_S / _CHOICE_COUNT
        print(f'{name}: {time_us:.1f} us')


if __name__ == '__main__':
    defopt.run(main)
