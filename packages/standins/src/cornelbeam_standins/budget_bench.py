"""Benchmark the probe and retry budgets in virtual time."""

import random
import statistics
from dataclasses import dataclass, field
from typing import Final, final

import defopt
from cornelbeam_core.budget import RetryBudget, TokenBucket

from cornelbeam_standins.policy_fakes import EventQueue

_END_S: Final = 60.0
# The utility deployment specifies 6 ms of server time for a probe.
_PROBE_COST_MS: Final = 6
_PROBE_PERIOD_S: Final = 1.0
_CALLS_PER_S: Final = 100
_CALLER_COUNTS: Final = (1, 4, 16, 64, 256, 1024)
_MS_PER_S: Final = 1000


@final
@dataclass(eq=False)
class ProbedServer:
    """Backend side that runs probes within a budget.

    A probe request beyond the budget is answered with the last result.
    ``result_ages_s`` has the age of the result in each answer, in seconds.
    """

    bucket: TokenBucket
    request_count: int = 0
    run_count: int = 0
    result_ages_s: list[float] = field(default_factory=list)
    _last_probe_at_s: float = 0

    def answer(self, now_s: float) -> None:
        """Answer one probe request."""
        self.request_count += 1
        if self.bucket.try_take(now_s):
            self.run_count += 1
            self._last_probe_at_s = now_s
        self.result_ages_s.append(now_s - self._last_probe_at_s)


def measure_probes(
    caller_count: int,
    probe_per_s: float,
    burst_count: int,
    seed: int,
) -> ProbedServer:
    """Let each caller request a probe about once a second.

    The callers start at random times within the first second.
    """
    rng = random.Random(seed)
    events = EventQueue()
    server = ProbedServer(TokenBucket(burst_count, probe_per_s))

    def request_probe() -> None:  # noqa: WPS430 - an event is a closure
        server.answer(events.now_s)
        events.after(_PROBE_PERIOD_S * rng.uniform(0.9, 1.1), request_probe)

    for _ in range(caller_count):
        events.after(rng.random(), request_probe)
    events.run(_END_S)
    return server


def measure_retries(failing_share: float, seed: int) -> tuple[int, int]:
    """Return the calls and retries of one daemon if a share of calls fails."""
    rng = random.Random(seed)
    budget = RetryBudget()
    call_count = int(_END_S * _CALLS_PER_S)
    retry_count = 0
    for index in range(call_count):
        now_s = index / _CALLS_PER_S
        if rng.random() >= failing_share:
            budget.note_success(now_s)
        elif budget.try_take(now_s):
            retry_count += 1
    return call_count, retry_count


def main(
    *,
    seed: int = 1,
    probe_per_s: float = 2,
    burst_count: int = 4,
) -> None:
    """Print the cost of probes per caller count and retries per failure share.

    :param seed: seed of the phases and failures
    :param probe_per_s: probes per second that a backend server allows
    :param burst_count: probes that may run in a burst
    """
    print(
        '| callers | asked | run | ms per s | ms per s, no budget | age p99 |'
    )
    print(f'|{"---|" * 6}')
    for caller_count in _CALLER_COUNTS:
        server = measure_probes(caller_count, probe_per_s, burst_count, seed)
        cost_ms = server.run_count * _PROBE_COST_MS / _END_S
        unbounded_ms = server.request_count * _PROBE_COST_MS / _END_S
        age_ms = (
            statistics.quantiles(server.result_ages_s, n=100)[-1] * _MS_PER_S
        )
        print(
            f'| {caller_count} | {server.request_count} | {server.run_count} '
            f'| {cost_ms:.1f} | {unbounded_ms:.1f} | {age_ms:.0f} |',
        )
    print('\n| calls that fail | calls | retries | retries per call |')
    print(f'|{"---|" * 4}')
    for failing_share in (0.01, 0.05, 0.2, 0.5, 1):
        calls, retries = measure_retries(failing_share, seed)
        print(
            f'| {failing_share:.0%} | {calls} | {retries} '
            f'| {retries / calls:.3f} |',
        )


if __name__ == '__main__':
    defopt.run(main)
