"""Measures the resource usage of a fleet over a time window."""

import statistics
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Final, final

import msgspec

from cornelbeam_standins.bench_fleet import BenchFleet, BenchNode
from cornelbeam_standins.process_stats import (
    SocketKey,
    read_cpu_s,
    read_rss_kb,
    read_tcp_sent_bytes,
)

_MESSAGES: Final = 'cornelbeam_control_messages_total'
_BYTES: Final = 'cornelbeam_control_bytes_total'
_SENT: Final = 'sent'
_PERCENT: Final = 100
_KB_PER_MB: Final = 1024

Row = dict[str, Any]
Totals = Mapping[tuple[str, ...], float]
# Per second, by message type.
Rates = dict[str, float]


@final
class _CounterSnapshot(msgspec.Struct, frozen=True):
    """Counters of one daemon and when they were read."""

    read_at_s: float
    message_counts: Totals
    byte_counts: Totals


def measure_window(
    fleet: BenchFleet,
    window_s: float,
    activity: Callable[[float], None] = time.sleep,
) -> Row:
    """Return means over the daemons during a window.

    ``activity`` has to run for the length of the window. Daemons that it
    restarted are excluded. Metrics are scraped before and after the interval
    over which CPU time is measured, which therefore excludes the scrapes.
    """
    pids = {node.name: node.pid for node in fleet.nodes}
    before = {node.name: _take_snapshot(node) for node in fleet.nodes}
    calls_before = fleet.read_calls()
    ports = {node.addresses['peer'].rpartition(':')[2] for node in fleet.nodes}
    sent_before = read_tcp_sent_bytes(set(pids.values()), ports)
    cpu_before_s = {node.name: read_cpu_s(node.pid) for node in fleet.nodes}
    started_s = time.monotonic()
    activity(window_s)
    elapsed_s = time.monotonic() - started_s
    remaining_nodes = [
        node for node in fleet.nodes if node.pid == pids[node.name]
    ]
    cpu_percents = [
        _PERCENT * (read_cpu_s(node.pid) - cpu_before_s[node.name]) / elapsed_s
        for node in remaining_nodes
    ]
    sent_after = read_tcp_sent_bytes(set(pids.values()), ports)
    calls_after = fleet.read_calls()
    rates = [
        _compute_rates(before[node.name], _take_snapshot(node))
        for node in remaining_nodes
    ]
    sizes_kb = [read_rss_kb(node.pid) for node in remaining_nodes]
    return {
        'messages': _mean(sum(counts.values()) for counts, _ in rates),
        'bytes': _mean(sum(sizes.values()) for _, sizes in rates),
        'max bytes': max(sum(sizes.values()) for _, sizes in rates),
        'wire': _sum_growth(sent_before, sent_after) / elapsed_s / len(pids),
        'cpu': _mean(cpu_percents),
        'max cpu': max(cpu_percents),
        'rss': _mean(sizes_kb) / _KB_PER_MB,
        'max rss': max(sizes_kb) / _KB_PER_MB,
        'calls': {
            name: round((count - calls_before.get(name, 0)) / elapsed_s, 2)
            for name, count in calls_after.items()
        },
        'by message': _format_by_type(rates),
    }


def _take_snapshot(node: BenchNode) -> _CounterSnapshot:
    return _CounterSnapshot(
        time.monotonic(),
        _read_sent(node, _MESSAGES),
        _read_sent(node, _BYTES),
    )


def _read_sent(node: BenchNode, name: str) -> Totals:
    # Sent messages only: the receiver counts the same ones again.
    return {
        labels: count
        for labels, count in node.read_counters(name).items()
        if labels[0] == _SENT
    }


def _compute_rates(
    before: _CounterSnapshot,
    after: _CounterSnapshot,
) -> tuple[Rates, Rates]:
    elapsed_s = after.read_at_s - before.read_at_s
    return (
        _compute_rates_by_type(
            before.message_counts, after.message_counts, elapsed_s
        ),
        _compute_rates_by_type(
            before.byte_counts, after.byte_counts, elapsed_s
        ),
    )


def _compute_rates_by_type(
    before: Totals, after: Totals, elapsed_s: float
) -> Rates:
    return {
        key[1]: (count - before.get(key, 0)) / elapsed_s
        for key, count in after.items()
    }


def _format_by_type(
    rates: list[tuple[Rates, Rates]],
) -> dict[str, str]:
    counts: Counter[str] = Counter()
    sizes: Counter[str] = Counter()
    for node_counts, node_sizes in rates:
        counts.update(node_counts)
        sizes.update(node_sizes)
    total = len(rates)
    return {
        name: f'{counts[name] / total:.2f}/s {sizes[name] / total:.0f} B/s'
        for name in sorted(counts)
    }


def _sum_growth(
    before: Mapping[SocketKey, int],
    after: Mapping[SocketKey, int],
) -> int:
    return sum(size - before.get(key, 0) for key, size in after.items())


def _mean(numbers: Any) -> float:
    return statistics.fmean(numbers)
