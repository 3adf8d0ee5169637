"""Calls by minute, with what is needed to say who burned the budget."""

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
    """Where calls were counted and how they ended.

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
    """Calls of one service and kind, and the limit they were judged by."""

    counts: Counter[Cell] = field(default_factory=Counter)
    judged_ms: float = 0

    def add(self, increase: Increase) -> None:
        """Add an increase to the minutes it belongs to."""
        good: float = 0
        reason = increase.series.code
        if reason == OK_CODE:
            good = increase.in_time_count
            reason = SLOW
        for minute, share in _spread(increase.start_s, increase.end_s):
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

    def minutes(
        self, side: str = CALLER_SIDE
    ) -> dict[int, tuple[float, float]]:
        """Give calls and bad calls of every minute that has calls."""
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
        """Give the bad calls of a side in some minutes."""
        for cell, count in self.counts.items():
            if cell.reason == GOOD or cell.side != side:
                continue
            if cell.minute in minutes:
                yield cell, count

    def _add_count(self, cell: Cell, count: float) -> None:
        if count:
            # Counter is typed for whole numbers, but spread calls are not.
            self.counts[cell] += count  # type: ignore[assignment]


@final
@dataclass(slots=True)
class Recording:
    """All tables of a recording and what was found while reading it."""

    tables: dict[ObjectiveKey, CallTable]
    start_s: float = 0
    end_s: float = 0
    scrape_count: int = 0
    skipped_count: int = 0
    reset_count: int = 0
    estimated_count: int = 0


def read_recording(
    scrapes: Iterable[Scrape],
    objectives: Objectives,
) -> Recording:
    """Count the calls of all objectives by minute.

    ``skipped_count`` are scrapes that were empty or out of order and
    ``estimated_count`` the gaps longer than a minute, whose calls were spread
    evenly.
    """
    by_key = {(one.service, one.kind): one for one in objectives.objectives}
    tracker = IncreaseTracker()
    recording = Recording({key: CallTable() for key in by_key})
    gaps = set()
    for scrape in scrapes:
        if not scrape.is_complete:
            recording.skipped_count += 1
            continue
        _note_time(recording, scrape.at_s)
        readings = parse_readings(scrape.text, by_key)
        for series, reading in readings.items():
            table = recording.tables[series.service, series.kind]
            table.judged_ms = max(table.judged_ms, reading.judged_ms)
        for increase in tracker.add(scrape, readings):
            if increase.series.code in objectives.excluded_codes:
                continue
            if increase.end_s - increase.start_s > S_PER_MINUTE:
                gaps.add((increase.instance, increase.end_s))
            key = (increase.series.service, increase.series.kind)
            recording.tables[key].add(increase)
    recording.skipped_count += tracker.skipped_count
    recording.reset_count = tracker.reset_count
    recording.estimated_count = len(gaps)
    return recording


def _note_time(recording: Recording, at_s: float) -> None:
    if not recording.scrape_count:
        recording.start_s = at_s
    recording.start_s = min(recording.start_s, at_s)
    recording.end_s = max(recording.end_s, at_s)
    recording.scrape_count += 1


def _spread(start_s: float, end_s: float) -> Iterator[tuple[int, float]]:
    """Give the minutes of an interval and the share of each.

    An interval of up to a minute belongs to the minute of its middle; a
    longer one is spread evenly.
    """
    length_s = end_s - start_s
    if length_s <= S_PER_MINUTE:
        yield int((start_s + end_s) / 2 // S_PER_MINUTE), 1
        return
    first = int(start_s // S_PER_MINUTE)
    for minute in range(first, int(end_s // S_PER_MINUTE) + 1):
        begin_s = max(start_s, minute * S_PER_MINUTE)
        finish_s = min(end_s, (minute + 1) * S_PER_MINUTE)
        if finish_s > begin_s:
            yield minute, (finish_s - begin_s) / length_s
