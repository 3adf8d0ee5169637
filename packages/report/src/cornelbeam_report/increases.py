"""Counter increases between scrapes, with counter resets taken into account.

Counters grow while a daemon runs and restart at zero with the daemon. A
changed creation time or a lower count indicates a restart. Calls between the
last scrape and the restart are lost.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_report.scrapes import Reading, Scrape, SeriesKey

_ZERO: Final = Reading()


@final
@dataclass(frozen=True, slots=True)
class Increase:
    """Calls counted by one instance from ``start_s`` to ``end_s``."""

    series: SeriesKey
    instance: str
    domain: str
    start_s: float
    end_s: float
    call_count: float
    in_time_count: float


@final
@dataclass(slots=True)
class _LastScrape:
    at_s: float
    readings: Mapping[SeriesKey, Reading]


@final
class IncreaseTracker:
    """Converts the scrapes of all instances into increases.

    Scrapes of one instance must arrive in chronological order. Any other
    scrape is skipped and counted in ``skipped_count``. ``reset_count`` is the
    number of counter resets.
    """

    __slots__ = ('_last', '_start_s', 'reset_count', 'skipped_count')

    def __init__(self) -> None:
        """Create a tracker without any scrapes."""
        self._last: dict[str, _LastScrape] = {}
        self._start_s: float | None = None
        self.reset_count = 0
        self.skipped_count = 0

    def add(
        self,
        scrape: Scrape,
        readings: Mapping[SeriesKey, Reading],
    ) -> Iterator[Increase]:
        """Yield the increases since the last scrape of the same instance."""
        last = self._last.get(scrape.instance)
        if last is not None and scrape.at_s <= last.at_s:
            self.skipped_count += 1
            return
        self._last[scrape.instance] = _LastScrape(scrape.at_s, readings)
        if self._start_s is None:
            self._start_s = scrape.at_s
        for series, reading in readings.items():
            baseline = self._find_baseline(last, series, reading)
            start_s = reading.created_s if last is None else last.at_s
            calls = reading.call_count - baseline.call_count
            if calls > 0:
                yield Increase(
                    series,
                    scrape.instance,
                    scrape.domain,
                    start_s,
                    scrape.at_s,
                    calls,
                    reading.in_time_count - baseline.in_time_count,
                )

    def _find_baseline(
        self,
        last: _LastScrape | None,
        series: SeriesKey,
        reading: Reading,
    ) -> Reading:
        if last is None:
            return self._initial_baseline(reading)
        previous = last.readings.get(series)
        if previous is None:
            return _ZERO
        if _is_reset(previous, reading):
            self.reset_count += 1
            return _ZERO
        return previous

    def _initial_baseline(self, reading: Reading) -> Reading:
        """Return the baseline for the first scrape of an instance.

        An instance that started during the recording counts from zero. Calls
        that an older instance had already counted precede the recording.
        """
        assert self._start_s is not None
        is_new = reading.created_s > self._start_s
        return _ZERO if is_new else reading


def _is_reset(previous: Reading, reading: Reading) -> bool:
    return (
        reading.created_s != previous.created_s
        or reading.call_count < previous.call_count
        or reading.in_time_count < previous.in_time_count
    )
