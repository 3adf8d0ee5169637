"""Closed-loop load generator that makes a fixed number of calls."""

import asyncio
import math
import os
import time
from functools import partial
from pathlib import Path
from typing import Final, cast, final

import httptools
import msgspec

_US_PER_S: Final = 1_000_000
_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
_FIRST_ERROR_STATUS: Final = 400
# Fields of /proc/PID/stat, counted after the command in parentheses.
_USER_TICKS_FIELD: Final = 11
_SYSTEM_TICKS_FIELD: Final = 12


@final
class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What to call and how often; ``service`` is sent as the Host header."""

    host: str
    port: int
    service: str
    path: str
    concurrency: int
    call_count: int
    warm_up_count: int
    # Processes whose CPU time per call is measured.
    pids: tuple[int, ...] = ()


@final
class LoadResult(msgspec.Struct, frozen=True, kw_only=True):
    """Latencies of the measured calls and the CPU cost of serving them.

    ``cpu_us_per_call`` and ``calls_per_core_s`` cover all processes of the
    plan, without the caller; both are 0 if the plan names no process.
    """

    concurrency: int
    call_count: int
    error_count: int
    p50_us: int
    p99_us: int
    p999_us: int
    calls_per_s: int
    cpu_us_per_call: int
    calls_per_core_s: int
    caller_cpu_us_per_call: int


@final
class _CallStats:
    """Number of calls still to start and latencies of the finished ones."""

    __slots__ = (
        'done',
        'error_count',
        'latencies_s',
        'left_count',
        'open_count',
    )

    def __init__(self, call_count: int, concurrency: int) -> None:
        self.left_count = call_count
        self.open_count = concurrency
        self.latencies_s: list[float] = []
        self.error_count = 0
        self.done = asyncio.get_running_loop().create_future()

    def note_closed(self) -> None:
        self.open_count -= 1
        if not self.open_count and not self.done.done():
            self.done.set_result(None)


@final
class _CallerProtocol(asyncio.Protocol):
    """One connection with one call at a time."""

    __slots__ = ('_parser', '_request', '_started_s', '_stats', '_transport')

    def __init__(self, request: bytes, stats: _CallStats) -> None:
        self._request = request
        self._stats = stats
        self._started_s = float(0)
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast('asyncio.Transport', transport)
        self._call()

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        ended_s = time.perf_counter()
        self._stats.latencies_s.append(ended_s - self._started_s)
        if self._parser.get_status_code() >= _FIRST_ERROR_STATUS:
            self._stats.error_count += 1
        # Deferred, because ``_call`` replaces the parser that calls this.
        asyncio.get_running_loop().call_soon(self._call)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._started_s:
            self._stats.error_count += 1
        self._stats.note_closed()

    def _call(self) -> None:
        if self._transport is None:
            return
        if not self._stats.left_count:
            # Marks the connection as idle, so that its end is not an error.
            self._started_s = 0
            self._transport.close()
            return
        self._stats.left_count -= 1
        self._parser = httptools.HttpResponseParser(self)
        self._started_s = time.perf_counter()
        self._transport.write(self._request)


async def measure(plan: LoadPlan) -> LoadResult:
    """Run the plan and measure all calls but those of the warm-up.

    A connection that the server closes counts as an error and is not opened
    again.
    """
    await _run_calls(plan, plan.warm_up_count)
    cpu_before_s = _total_cpu_s(plan.pids)
    caller_cpu_before_s = time.process_time()
    started_s = time.perf_counter()
    stats = await _run_calls(plan, plan.call_count)
    elapsed_s = time.perf_counter() - started_s
    caller_cpu_s = time.process_time() - caller_cpu_before_s
    cpu_s = _total_cpu_s(plan.pids) - cpu_before_s
    latencies_s = sorted(stats.latencies_s)
    call_count = len(latencies_s)
    return LoadResult(
        concurrency=plan.concurrency,
        call_count=call_count,
        error_count=stats.error_count,
        p50_us=_percentile_us(latencies_s, 0.5),
        p99_us=_percentile_us(latencies_s, 0.99),
        p999_us=_percentile_us(latencies_s, 0.999),
        calls_per_s=round(call_count / elapsed_s),
        cpu_us_per_call=round(cpu_s * _US_PER_S / max(call_count, 1)),
        calls_per_core_s=round(call_count / cpu_s) if cpu_s else 0,
        caller_cpu_us_per_call=round(
            caller_cpu_s * _US_PER_S / max(call_count, 1),
        ),
    )


async def _run_calls(plan: LoadPlan, call_count: int) -> _CallStats:
    request = (
        f'GET {plan.path} HTTP/1.1\r\nhost: {plan.service}\r\n\r\n'
    ).encode()
    stats = _CallStats(call_count, plan.concurrency)
    loop = asyncio.get_running_loop()
    make_protocol = partial(_CallerProtocol, request, stats)
    for _ in range(plan.concurrency):
        await loop.create_connection(
            make_protocol,
            plan.host,
            plan.port,
        )
    await stats.done
    return stats


def _percentile_us(latencies_s: list[float], fraction: float) -> int:
    """Return the nearest-rank percentile in us, or 0 without latencies."""
    if not latencies_s:
        return 0
    rank = max(1, math.ceil(fraction * len(latencies_s)))
    return round(latencies_s[rank - 1] * _US_PER_S)


def _total_cpu_s(pids: tuple[int, ...]) -> float:
    return sum(_cpu_s(pid) for pid in pids)


def _cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process; see proc(5)."""
    line = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = line.rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / _TICKS_PER_S
