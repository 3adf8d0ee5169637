"""Track the speed of a target's host and the length of its slowdowns.

Targets share their hosts with other processes. A noisy neighbour slows down all
work on a host for some hundred milliseconds. A request that starts during such
a slowdown stays slow, so it should start after the slowdown or elsewhere. A
lasting slowness, as after the start of a target, is the baseline of the host,
and waiting for its end is pointless.
"""

from typing import Final, final

from cornelbeam_core.targets import USUAL_PERCENT

# A host is slow if work takes at least this percentage of the baseline time.
SLOW_PERCENT: Final = 150
# Assumed length of a slowdown until some were observed.
INITIAL_SLOWDOWN_S: Final = 0.25
SLOWDOWN_GAIN: Final = 0.2
# Slowdowns rarely last longer than this, so the baseline is the smallest sample
# of the current and the previous period.
BASELINE_PERIOD_S: Final = 1.0
# Fewer samples may all come from the same slowdown.
MIN_BASELINE_SAMPLE_COUNT: Final = 4
# The speed changes many times a second, so older samples are outdated.
MAX_SAMPLE_AGE_S: Final = 0.03
_NO_SAMPLE: Final = 1_000_000_000


@final
class HostSpeed:
    """Speed of a host from the samples that its target reports.

    >>> speed = HostSpeed()
    >>> speed.note(400, now_s=1)
    >>> speed.factor
    4.0
    """

    __slots__ = (
        '_sample_counts',
        '_min_percents',
        '_measured_at_s',
        '_period_started_at_s',
        '_slow_since_s',
        'mean_slowdown_s',
        'percent',
    )

    def __init__(self) -> None:
        """Start at the usual speed, without samples."""
        self.percent = USUAL_PERCENT
        self.mean_slowdown_s = INITIAL_SLOWDOWN_S
        self._measured_at_s = float('-inf')
        self._slow_since_s: float | None = None
        # Of the previous and the current period.
        self._min_percents = (_NO_SAMPLE, _NO_SAMPLE)
        self._sample_counts = (0, 0)
        self._period_started_at_s = float('-inf')

    @property
    def is_slow(self) -> bool:
        """Whether a slowdown is in progress."""
        return (
            self.percent * USUAL_PERCENT
            >= SLOW_PERCENT * self._baseline_percent
        )

    @property
    def factor(self) -> float:
        """Duration of work now, as a multiple of the usual duration."""
        return max(1, self.percent / USUAL_PERCENT)

    @property
    def baseline_factor(self) -> float:
        """Duration of work between slowdowns, as a multiple of the usual."""
        return self._baseline_percent / USUAL_PERCENT

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the last sample is recent enough to use."""
        return now_s - self._measured_at_s <= MAX_SAMPLE_AGE_S

    def note(self, percent: int, now_s: float) -> None:
        """Record the duration of work in percent of the usual duration."""
        self.percent = percent
        self._measured_at_s = now_s
        self._update_baseline(percent, now_s)
        if self.is_slow and self._slow_since_s is None:
            self._slow_since_s = now_s
        elif not self.is_slow and self._slow_since_s is not None:
            slowdown_s = now_s - self._slow_since_s
            self._slow_since_s = None
            self.mean_slowdown_s += SLOWDOWN_GAIN * (
                slowdown_s - self.mean_slowdown_s
            )

    @property
    def _baseline_percent(self) -> int:
        if sum(self._sample_counts) < MIN_BASELINE_SAMPLE_COUNT:
            return USUAL_PERCENT
        return max(USUAL_PERCENT, min(self._min_percents))

    def _update_baseline(self, percent: int, now_s: float) -> None:
        age_s = now_s - self._period_started_at_s
        if age_s >= BASELINE_PERIOD_S:
            is_next = age_s < 2 * BASELINE_PERIOD_S
            last = self._min_percents[1] if is_next else _NO_SAMPLE
            self._min_percents = (last, _NO_SAMPLE)
            self._sample_counts = (self._sample_counts[1] if is_next else 0, 0)
            self._period_started_at_s = now_s
        previous, current = self._min_percents
        self._min_percents = (previous, min(current, percent))
        self._sample_counts = (
            self._sample_counts[0],
            self._sample_counts[1] + 1,
        )
