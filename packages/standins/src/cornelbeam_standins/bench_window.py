"""Measures what a settled fleet costs over a fixed time."""

import statistics
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Final, final

import msgspec

from cornelbeam_standins.bench_fleet import BenchFleet, BenchNode
from cornelbeam_standins.process_figures import (
    Socket,
    read_cpu_s,
    read_rss_kb,
    read_wire_sent,
)

_MESSAGES: Final = 'cornelbeam_control_messages_total'
_BYTES: Final = 'cornelbeam_control_bytes_total'
_SENT: Final = 'sent'
_PERCENT: Final = 100
_KB_PER_MB: Final = 1024

Row = dict[str, Any]
Totals = Mapping[tuple[str, ...], float]
# By kind of message.
Rates = dict[str, float]


@final
class _Reading(msgspec.Struct, frozen=True):
    """Totals of one daemon and when they were read."""

    read_at_s: float
    message_counts: Totals
    byte_counts: Totals


def measure_window(
    fleet: BenchFleet,
    window_s: float,
    act: Callable[[float], None] = time.sleep,
) -> Row:
    """Give means over the daemons; ``act`` fills the window.

    Daemons that ``act`` restarted are left out. The scrapes of the metrics
    lie outside the time over which processor time is taken.
    """
    pids = {node.name: node.pid for node in fleet.nodes}
    first = {node.name: _read(node) for node in fleet.nodes}
    calls = fleet.read_calls()
    ports = {node.addresses['peer'].rpartition(':')[2] for node in fleet.nodes}
    wire = read_wire_sent(set(pids.values()), ports)
    cpu = {node.name: read_cpu_s(node.pid) for node in fleet.nodes}
    started_s = time.monotonic()
    act(window_s)
    lasted_s = time.monotonic() - started_s
    kept = [node for node in fleet.nodes if node.pid == pids[node.name]]
    percents = [
        _PERCENT * (read_cpu_s(node.pid) - cpu[node.name]) / lasted_s
        for node in kept
    ]
    wire_after = read_wire_sent(set(pids.values()), ports)
    calls_after = fleet.read_calls()
    rates = [_rate(first[node.name], _read(node)) for node in kept]
    sizes_kb = [read_rss_kb(node.pid) for node in kept]
    return {
        'messages': _mean(sum(counts.values()) for counts, _ in rates),
        'bytes': _mean(sum(sizes.values()) for _, sizes in rates),
        'max bytes': max(sum(sizes.values()) for _, sizes in rates),
        'wire': _sum_growth(wire, wire_after) / lasted_s / len(pids),
        'cpu': _mean(percents),
        'max cpu': max(percents),
        'rss': _mean(sizes_kb) / _KB_PER_MB,
        'max rss': max(sizes_kb) / _KB_PER_MB,
        'calls': {
            name: round((count - calls.get(name, 0)) / lasted_s, 2)
            for name, count in calls_after.items()
        },
        'by message': _split(rates),
    }


def _read(node: BenchNode) -> _Reading:
    return _Reading(
        time.monotonic(),
        _read_sent(node, _MESSAGES),
        _read_sent(node, _BYTES),
    )


def _read_sent(node: BenchNode, name: str) -> Totals:
    # What one daemon receives another one has counted as sent.
    return {
        labels: count
        for labels, count in node.read_counters(name).items()
        if labels[0] == _SENT
    }


def _rate(
    first: _Reading,
    last: _Reading,
) -> tuple[Rates, Rates]:
    lasted_s = last.read_at_s - first.read_at_s
    return (
        _differ(first.message_counts, last.message_counts, lasted_s),
        _differ(first.byte_counts, last.byte_counts, lasted_s),
    )


def _differ(first: Totals, last: Totals, lasted_s: float) -> Rates:
    return {
        key[1]: (count - first.get(key, 0)) / lasted_s
        for key, count in last.items()
    }


def _split(
    rates: list[tuple[Rates, Rates]],
) -> dict[str, str]:
    counts: Counter[str] = Counter()
    sizes: Counter[str] = Counter()
    for one_counts, one_sizes in rates:
        counts.update(one_counts)
        sizes.update(one_sizes)
    total = len(rates)
    return {
        name: f'{counts[name] / total:.2f}/s {sizes[name] / total:.0f} B/s'
        for name in sorted(counts)
    }


def _sum_growth(
    first: Mapping[Socket, int],
    last: Mapping[Socket, int],
) -> int:
    return sum(size - first.get(key, 0) for key, size in last.items())


def _mean(numbers: Any) -> float:
    return statistics.fmean(numbers)
