"""Calls counted by minute, instance and outcome."""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final, NamedTuple, final

from cornelbeam_report.increases import Increase, IncreaseTracker
from cornelbeam_report.objectives import Objectives
from cornelbeam_report.scrapes import (
    CALLER_SIDE,
    OK_CODE,
    ObjectiveKey,
    Scrape,
    parse_readings,
)

S_PER_MINUTE: Final = 60
GOOD: Final = 'good'
SLOW: Final = 'slow'


@final
class Cell(NamedTuple):
    """Key of one count in a ``CallTable``.

    ``minute`` is a Unix time in minutes; ``reason`` is ``good``, ``slow`` or
    the code of a refusal or failure.
    """

    side: str
    minute: int
    domain: str
    instance: str
    reason: str


@final
@dataclass(slots=True)
class CallTable:
    """Calls of one service and kind.

    ``effective_limit_ms`` is the bucket bound used as the time limit, or zero
    if no bucket is small enough.
    """

    counts: Counter[Cell] = field(default_factory=Counter)
    effective_limit_ms: float = 0

    def add(self, increase: Increase) -> None:
        """Add an increase to the minutes that it covers."""
        good: float = 0
        reason = increase.series.code
        if reason == OK_CODE:
            good = increase.in_time_count
            reason = SLOW
        for minute, share in _split_by_minute(increase.start_s, increase.end_s):
            cell = Cell(
                increase.series.side,
                minute,
                increase.domain,
                increase.instance,
                GOOD,
            )
            self._add_count(cell, good * share)
            bad = (increase.call_count - good) * share
            self._add_count(cell._replace(reason=reason), bad)

    def counts_by_minute(
        self, side: str = CALLER_SIDE
    ) -> dict[int, tuple[float, float]]:
        """Return calls and bad calls of every minute that has calls."""
        calls: defaultdict[int, float] = defaultdict(float)
        bad: defaultdict[int, float] = defaultdict(float)
        for cell, count in self.counts.items():
            if cell.side != side:
                continue
            calls[cell.minute] += count
            if cell.reason != GOOD:
                bad[cell.minute] += count
        return {minute: (calls[minute], bad[minute]) for minute in calls}

    def bad_cells(
        self,
        side: str,
        minutes: Collection[int],
    ) -> Iterator[tuple[Cell, float]]:
        """Yield the cells and counts of a side's bad calls in ``minutes``."""
        for cell, count in self.counts.items():
            if cell.reason == GOOD or cell.side != side:
                continue
            if cell.minute in minutes:
                yield cell, count

    def _add_count(self, cell: Cell, count: float) -> None:
        if count:
            # Counter is typed for integers, but spread calls are fractional.
            self.counts[cell] += count  # type: ignore[assignment]


@final
@dataclass(slots=True)
class Recording:
    """Call tables and reading statistics of a recording.

    ``skipped_count`` is the number of scrapes that were empty or out of
    order. ``estimated_gap_count`` is the number of gaps longer than a minute,
    whose calls were spread evenly.
    """

    tables: dict[ObjectiveKey, CallTable]
    start_s: float = 0
    end_s: float = 0
    scrape_count: int = 0
    skipped_count: int = 0
    reset_count: int = 0
    estimated_gap_count: int = 0


def read_recording(
    scrapes: Iterable[Scrape],
    objectives: Objectives,
) -> Recording:
    """Count the calls covered by the objectives by minute."""
    by_key = {(each.service, each.kind): each for each in objectives.objectives}
    tracker = IncreaseTracker()
    recording = Recording({key: CallTable() for key in by_key})
    gaps = set()
    for scrape in scrapes:
        if not scrape.is_complete:
            recording.skipped_count += 1
            continue
        _extend_time_range(recording, scrape.at_s)
        readings = parse_readings(scrape.text, by_key)
        for series, reading in readings.items():
            table = recording.tables[series.service, series.kind]
            table.effective_limit_ms = max(
                table.effective_limit_ms, reading.effective_limit_ms
            )
        for increase in tracker.add(scrape, readings):
            if increase.series.code in objectives.excluded_codes:
                continue
            if increase.end_s - increase.start_s > S_PER_MINUTE:
                gaps.add((increase.instance, increase.end_s))
            key = (increase.series.service, increase.series.kind)
            recording.tables[key].add(increase)
    recording.skipped_count += tracker.skipped_count
    recording.reset_count = tracker.reset_count
    recording.estimated_gap_count = len(gaps)
    return recording


def _extend_time_range(recording: Recording, at_s: float) -> None:
    if not recording.scrape_count:
        recording.start_s = at_s
    recording.start_s = min(recording.start_s, at_s)
    recording.end_s = max(recording.end_s, at_s)
    recording.scrape_count += 1


def _split_by_minute(
    start_s: float, end_s: float
) -> Iterator[tuple[int, float]]:
    """Yield the minutes of an interval with their shares of its calls.

    An interval of up to a minute counts for the minute that contains its
    midpoint. A longer one is spread evenly.
    """
    length_s = end_s - start_s
    if length_s <= S_PER_MINUTE:
        yield int((start_s + end_s) / 2 // S_PER_MINUTE), 1
        return
    first = int(start_s // S_PER_MINUTE)
    for minute in range(first, int(end_s // S_PER_MINUTE) + 1):
        overlap_start_s = max(start_s, minute * S_PER_MINUTE)
        overlap_end_s = min(end_s, (minute + 1) * S_PER_MINUTE)
        if overlap_end_s > overlap_start_s:
            yield minute, (overlap_end_s - overlap_start_s) / length_s
