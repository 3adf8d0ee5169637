"""Increases of counters between scrapes, with restarts taken into account.

Counters only grow while a daemon runs and start again at zero with the next
one. A restart shows as a creation time that changed or as a count that fell;
what the daemon counted between the last scrape and its end is lost.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_report.scrapes import Reading, Scrape, SeriesKey

_ZERO: Final = Reading()


@final
@dataclass(frozen=True, slots=True)
class Increase:
    """Calls that one instance counted from ``start_s`` to ``end_s``."""

    series: SeriesKey
    instance: str
    domain: str
    start_s: float
    end_s: float
    call_count: float
    in_time_count: float


@final
@dataclass(slots=True)
class _Last:
    at_s: float
    readings: Mapping[SeriesKey, Reading]


@final
class IncreaseTracker:
    """Turns the scrapes of all instances into increases.

    Scrapes of one instance have to come in the order of their time; an older
    one is left out and counted in ``skipped_count``. ``reset_count`` counts
    series that began again.
    """

    __slots__ = ('_last', '_start_s', 'reset_count', 'skipped_count')

    def __init__(self) -> None:
        """Start without scrapes."""
        self._last: dict[str, _Last] = {}
        self._start_s: float | None = None
        self.reset_count = 0
        self.skipped_count = 0

    def add(
        self,
        scrape: Scrape,
        readings: Mapping[SeriesKey, Reading],
    ) -> Iterator[Increase]:
        """Give the increases since the last scrape of the same instance."""
        last = self._last.get(scrape.instance)
        if last is not None and scrape.at_s <= last.at_s:
            self.skipped_count += 1
            return
        self._last[scrape.instance] = _Last(scrape.at_s, readings)
        if self._start_s is None:
            self._start_s = scrape.at_s
        for series, reading in readings.items():
            base = self._base(last, series, reading)
            start_s = reading.created_s if last is None else last.at_s
            calls = reading.call_count - base.call_count
            if calls > 0:
                yield Increase(
                    series,
                    scrape.instance,
                    scrape.domain,
                    start_s,
                    scrape.at_s,
                    calls,
                    reading.in_time_count - base.in_time_count,
                )

    def _base(
        self,
        last: _Last | None,
        series: SeriesKey,
        reading: Reading,
    ) -> Reading:
        if last is None:
            return self._first_base(reading)
        before = last.readings.get(series)
        if before is None:
            return _ZERO
        if _is_reset(before, reading):
            self.reset_count += 1
            return _ZERO
        return before

    def _first_base(self, reading: Reading) -> Reading:
        """Count a new instance from zero, and others from their first scrape.

        The counts of an instance that ran before the recording began belong
        to the time before it.
        """
        assert self._start_s is not None
        is_new = reading.created_s > self._start_s
        return _ZERO if is_new else reading


def _is_reset(before: Reading, reading: Reading) -> bool:
    return (
        reading.created_s != before.created_s
        or reading.call_count < before.call_count
        or reading.in_time_count < before.in_time_count
    )
