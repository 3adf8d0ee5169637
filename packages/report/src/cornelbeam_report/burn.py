"""Error budget burn rates per minute and window, with their causes.

A burn rate is the share of bad calls divided by the share that the objective
allows. At a burn rate of 1 the budget lasts exactly for the window of the
objective. See "The Site Reliability Workbook", chapter 5, Alerting on SLOs.
"""

import datetime as dt
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from typing import Final, final

import msgspec
from cornelbeam_core.errors import CornelbeamError, ErrorCode

from cornelbeam_report.objectives import Objective, Objectives
from cornelbeam_report.scrapes import BACKEND_SIDE, CALLER_SIDE
from cornelbeam_report.table import (
    S_PER_MINUTE,
    CallTable,
    Cell,
    Recording,
)

WINDOWS_MINUTES: Final = (5, 60, 360)
_MINUTES_PER_DAY: Final = 1440
_MAX_CAUSE_COUNT: Final = 10
_DIGITS: Final = 4


@final
class Cause(msgspec.Struct, frozen=True):
    """A cause and the number of bad calls attributed to it."""

    name: str
    bad_count: float


@final
class Causes(msgspec.Struct, frozen=True):
    """Causes of bad calls, each list sorted by descending count.

    ``reasons`` are the outcomes that callers saw. The caller lists name the
    instances and failure domains of the callers; the backend lists name those
    of the backend servers whose own attempts were refused, failed or took
    longer than the limit. An attempt that failed and was then retried
    elsewhere is in the backend lists only.
    """

    reasons: tuple[Cause, ...]
    caller_domains: tuple[Cause, ...]
    caller_instances: tuple[Cause, ...]
    backend_domains: tuple[Cause, ...]
    backend_instances: tuple[Cause, ...]


@final
class MinuteBurn(msgspec.Struct, frozen=True):
    """Calls and burn rate of the minute that starts at ``start`` (UTC)."""

    start: str
    call_count: float
    bad_count: float
    burn_rate: float


@final
class WindowBurn(msgspec.Struct, frozen=True):
    """Worst and last burn rate of a sliding window.

    ``is_complete`` is false if the recording is shorter than the window. The
    rates then cover the whole recording.
    """

    length_minutes: int
    worst_burn_rate: float
    worst_end: str
    last_burn_rate: float
    is_complete: bool


@final
class ServiceBurn(msgspec.Struct, frozen=True):
    """Report on one objective.

    ``judged_ms`` is the histogram bucket bound used as the time limit.
    ``remaining_budget`` is the unspent share of the budget for the whole
    window, negative if overspent. It assumes that the unrecorded part of the
    window had the same call rate and no bad calls.
    """

    objective: Objective
    judged_ms: float
    call_count: float
    good_count: float
    burn_rate: float
    remaining_budget: float
    recorded_minutes: int
    worst_minute: MinuteBurn | None
    broken_minute_count: int
    windows: tuple[WindowBurn, ...]
    burned_by: Causes
    worst_minute_burned_by: Causes
    minutes: tuple[MinuteBurn, ...]


@final
class BurnReport(msgspec.Struct, frozen=True):
    """Report on all objectives for one recording."""

    start: str
    end: str
    scrape_count: int
    skipped_scrape_count: int
    reset_count: int
    estimated_gap_count: int
    services: tuple[ServiceBurn, ...]


def build_report(recording: Recording, objectives: Objectives) -> BurnReport:
    """Evaluate all objectives against a recording.

    Raise ``settings_invalid`` if a time limit is below the smallest bucket.
    """
    return BurnReport(
        _format_minute(int(recording.start_s // S_PER_MINUTE)),
        _format_minute(int(recording.end_s // S_PER_MINUTE)),
        recording.scrape_count,
        recording.skipped_count,
        recording.reset_count,
        recording.estimated_gap_count,
        tuple(
            _evaluate_objective(recording, objective)
            for objective in objectives.objectives
        ),
    )


def _evaluate_objective(
    recording: Recording, objective: Objective
) -> ServiceBurn:
    table = recording.tables[objective.service, objective.kind]
    if table.counts and not table.effective_limit_ms:
        raise CornelbeamError(
            ErrorCode.SETTINGS_INVALID,
            'objectives',
            detail=(
                f'{objective.service}: limit_ms {objective.limit_ms} is'
                ' below the smallest bucket of the recording'
            ),
        )
    counts = table.counts_by_minute()
    span = _recorded_span(recording)
    minutes = tuple(_minute_burn(counts, minute, objective) for minute in span)
    worst = _find_worst_minute(counts, objective)
    calls = sum(call_count for call_count, _ in counts.values())
    bad = sum(bad_count for _, bad_count in counts.values())
    return ServiceBurn(
        objective,
        table.effective_limit_ms,
        round(calls, _DIGITS),
        round(calls - bad, _DIGITS),
        _burn_rate(calls, bad, objective),
        _remaining_budget(counts, span, objective),
        len(span),
        None if worst is None else _minute_burn(counts, worst, objective),
        _count_broken_minutes(counts, objective),
        tuple(
            _window_burn(counts, span, length, objective)
            for length in WINDOWS_MINUTES
        ),
        _find_causes(table, span),
        _find_causes(table, () if worst is None else (worst,)),
        minutes,
    )


def _recorded_span(recording: Recording) -> range:
    """Return the recorded minutes.

    A recording that ends exactly on a minute does not include the next one.
    """
    if recording.end_s <= recording.start_s:
        return range(0)
    return range(
        int(recording.start_s // S_PER_MINUTE),
        -int(-recording.end_s // S_PER_MINUTE),
    )


def _burn_rate(calls: float, bad: float, objective: Objective) -> float:
    if not calls:
        return 0
    return round(bad / calls / objective.budget_share, _DIGITS)


def _minute_burn(
    counts: Mapping[int, tuple[float, float]],
    minute: int,
    objective: Objective,
) -> MinuteBurn:
    calls, bad = counts.get(minute, (0, 0))
    return MinuteBurn(
        _format_minute(minute),
        round(calls, _DIGITS),
        round(bad, _DIGITS),
        _burn_rate(calls, bad, objective),
    )


def _find_worst_minute(
    counts: Mapping[int, tuple[float, float]],
    objective: Objective,
) -> int | None:
    """Return the first minute with the highest share of bad calls.

    Return None if no minute has bad calls.
    """
    bad_shares = {
        minute: bad / calls
        for minute, (calls, bad) in sorted(counts.items())
        if bad and calls >= objective.min_call_count
    }
    return max(bad_shares, key=bad_shares.__getitem__, default=None)


def _count_broken_minutes(
    counts: Mapping[int, tuple[float, float]],
    objective: Objective,
) -> int:
    if objective.worst_minute_share is None:
        return 0
    return sum(
        1
        for calls, bad in counts.values()
        if calls >= objective.min_call_count
        and calls - bad < objective.worst_minute_share * calls
    )


def _window_burn(
    counts: Mapping[int, tuple[float, float]],
    span: range,
    length: int,
    objective: Objective,
) -> WindowBurn:
    # Skip windows that are not full yet: their few minutes would look worse
    # than they are.
    first_end = span.start + min(length, len(span)) - 1
    worst_rate: float = 0
    worst_end = ''
    rate: float = 0
    calls: float = 0
    bad: float = 0
    for minute in span:
        added_calls, added_bad = counts.get(minute, (0, 0))
        expired_calls, expired_bad = counts.get(minute - length, (0, 0))
        calls += added_calls - expired_calls
        bad += added_bad - expired_bad
        rate = _burn_rate(calls, bad, objective)
        if minute < first_end:
            continue
        if rate > worst_rate:
            worst_rate = rate
            worst_end = _format_minute(minute + 1)
    return WindowBurn(length, worst_rate, worst_end, rate, len(span) >= length)


def _remaining_budget(
    counts: Mapping[int, tuple[float, float]],
    span: range,
    objective: Objective,
) -> float:
    window = objective.window_days * _MINUTES_PER_DAY
    recorded = span[-window:]
    in_window = [counts.get(minute, (0, 0)) for minute in recorded]
    calls = sum(call_count for call_count, _ in in_window)
    bad = sum(bad_count for _, bad_count in in_window)
    rate = _burn_rate(calls, bad, objective)
    return round(1 - rate * len(recorded) / window, _DIGITS + 2)


def _find_causes(table: CallTable, minutes: Collection[int]) -> Causes:
    callers = list(table.bad_cells(CALLER_SIDE, minutes))
    backends = list(table.bad_cells(BACKEND_SIDE, minutes))
    return Causes(
        _rank_causes((cell.reason, count) for cell, count in callers),
        _rank_causes((cell.domain, count) for cell, count in callers),
        _rank_causes((_format_cell(cell), count) for cell, count in callers),
        _rank_causes((cell.domain, count) for cell, count in backends),
        _rank_causes((_format_cell(cell), count) for cell, count in backends),
    )


def _format_cell(cell: Cell) -> str:
    return f'{cell.instance} ({cell.domain}) {cell.reason}'


def _rank_causes(counts: Iterable[tuple[str, float]]) -> tuple[Cause, ...]:
    totals: Counter[str] = Counter()
    for name, count in counts:
        totals[name] += count  # type: ignore[assignment]
    ranked = sorted(totals.items(), key=lambda item: (-item[1], item[0]))
    return tuple(
        Cause(cause, round(bad_count, _DIGITS))
        for cause, bad_count in ranked[:_MAX_CAUSE_COUNT]
    )


def _format_minute(minute: int) -> str:
    time = dt.datetime.fromtimestamp(minute * S_PER_MINUTE, dt.UTC)
    return f'{time:%Y-%m-%d %H:%M}'
