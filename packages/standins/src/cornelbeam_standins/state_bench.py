"""Measures memory and CPU time of a daemon's state at the design size.

Each state is built in a separate process.
"""

import os
import random
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Any, Final

import defopt
import msgspec
from cornelbeam_core.attempts import AttemptLedger
from cornelbeam_core.configuration import (
    ConfigBatch,
    ConfigObject,
    ConfigurationState,
)
from cornelbeam_core.directory import ContactTable
from cornelbeam_core.members import MemberState, MemberUpdate
from cornelbeam_core.selection import TargetState, compute_affinity
from cornelbeam_core.targets import Target

from cornelbeam_standins.bench_output import write_line
from cornelbeam_standins.process_stats import read_rss_kb

_ATTEMPT_BYTES: Final = 16
_RETENTION_S: Final = 30.0
_US_PER_S: Final = 1_000_000

Builder = Callable[[int, random.Random], Any]

#: By label, functions that build a state with a number of entries.
_BUILDERS: Final[dict[str, Builder]] = {}


def _register_builder(label: str) -> Callable[[Builder], Builder]:
    def register(function: Builder) -> Builder:  # noqa: WPS430 - decorator
        _BUILDERS[label] = function
        return function

    return register


@_register_builder('configuration objects (labels)')
def _build_configuration(count: int, rng: random.Random) -> Any:
    state = ConfigurationState()
    for index in range(count):
        labels = {'shelf': f'shelf-{rng.randrange(count)}', 'size': 'medium'}
        config_object = ConfigObject(
            'labels',
            f'target-{index}',
            1,
            index + 1,
            False,
            msgspec.json.encode({'labels': labels}),
        )
        state.apply_batch(ConfigBatch((config_object,), index, index + 1))
    return state


@_register_builder('attempts in the ledger')
def _build_ledger(count: int, rng: random.Random) -> Any:
    ledger = AttemptLedger(1, count, _RETENTION_S)
    for _ in range(count):
        ledger.record(rng.randbytes(_ATTEMPT_BYTES), 1, 0, _RETENTION_S)
    return ledger


@_register_builder('members with routing state')
def _build_members(count: int, rng: random.Random) -> Any:
    return [
        (
            update,
            TargetState(
                update.target,
                is_same_domain=False,
                affinity=compute_affinity('own', update.target.name),
            ),
        )
        for update in _make_updates(count)
    ]


@_register_builder('contacts of an introducer')
def _build_contacts(count: int, rng: random.Random) -> Any:
    table = ContactTable(_RETENTION_S)
    for update in _make_updates(count):
        table.note(update, 0)
    return table


def _make_updates(count: int) -> Iterator[MemberUpdate]:
    for index in range(count):
        target = Target(
            f'target-{index}',
            f'service-{index // 8}',
            f'domain-{index % 19}',
            f'10.0.{index // 256}.{index % 256}:7000',
            time.time_ns(),
            {'region': f'region-{index % 6}'},
        )
        yield MemberUpdate(target, MemberState.ALIVE)


def _measure(label: str, count: int, seed: int) -> tuple[float, float]:
    rng = random.Random(seed)
    rss_before_kb, cpu_before_s = read_rss_kb(os.getpid()), time.process_time()
    state = _BUILDERS[label](count, rng)
    cpu_s = time.process_time() - cpu_before_s
    size_kb = read_rss_kb(os.getpid()) - rss_before_kb
    # The reference keeps the state alive until its memory is measured.
    del state
    return size_kb / count, _US_PER_S * cpu_s / count


def bench_state(*, count: int = 12_000, seed: int = 1) -> None:
    """Print memory and CPU time per entry of each state.

    :param count: number of entries
    :param seed: seed of all random choices
    """
    for label in _BUILDERS:
        with ProcessPoolExecutor(1, get_context('spawn')) as pool:
            size_kb, cpu_us = pool.submit(_measure, label, count, seed).result()
        write_line(
            f'{count} {label:<34} {size_kb:.2f} KB and {cpu_us:.1f} us each',
        )


def main() -> None:
    """Run the benchmark."""
    defopt.run(bench_state, no_negated_flags=True)


if __name__ == '__main__':
    main()
