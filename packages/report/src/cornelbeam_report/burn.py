"""Burn rates by minute and by window, and what burned the budget.

A burn rate is the share of bad calls divided by the share that the objective
allows: at 1 the budget lasts exactly as long as the window of the objective.
Method: "The Site Reliability Workbook", chapter 5, Alerting on SLOs.
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
    """A name and the bad calls that are put down to it."""

    name: str
    bad_count: float


@final
class Causes(msgspec.Struct, frozen=True):
    """What burned the budget, the largest first.

    Reasons are those that callers saw. The other lists say where: the
    instances of the callers, and those of the backend servers whose own
    attempts were refused, failed or slower than the limit. An attempt that
    failed and was repeated elsewhere is in the backend lists only.
    """

    reasons: tuple[Cause, ...]
    caller_domains: tuple[Cause, ...]
    caller_instances: tuple[Cause, ...]
    backend_domains: tuple[Cause, ...]
    backend_instances: tuple[Cause, ...]


@final
class MinuteBurn(msgspec.Struct, frozen=True):
    """One minute: its beginning in UTC, calls, bad calls and burn rate."""

    start: str
    call_count: float
    bad_count: float
    burn_rate: float


@final
class WindowBurn(msgspec.Struct, frozen=True):
    """Burn rates of a sliding window: the worst one and the last one.

    ``is_complete`` tells whether the recording is as long as the window; if
    not, the whole recording is judged.
    """

    length_minutes: int
    worst_burn_rate: float
    worst_end: str
    last_burn_rate: float
    is_complete: bool


@final
class ServiceBurn(msgspec.Struct, frozen=True):
    """Report on one objective.

    ``judged_ms`` is the bucket bound by which calls were judged.
    ``remaining_budget`` is the share of the budget of the whole window that
    is left, negative when it is overspent; the part of the window that was
    not recorded counts as clean with the same rate of calls.
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
    """Report on all objectives of a recording."""

    start: str
    end: str
    scrape_count: int
    skipped_scrape_count: int
    reset_count: int
    estimated_gap_count: int
    services: tuple[ServiceBurn, ...]


def build_report(recording: Recording, objectives: Objectives) -> BurnReport:
    """Judge a recording; raises ``settings_invalid`` on an unusable limit."""
    return BurnReport(
        _format_minute(int(recording.start_s // S_PER_MINUTE)),
        _format_minute(int(recording.end_s // S_PER_MINUTE)),
        recording.scrape_count,
        recording.skipped_count,
        recording.reset_count,
        recording.estimated_count,
        tuple(
            _judge(recording, objective) for objective in objectives.objectives
        ),
    )


def _judge(recording: Recording, objective: Objective) -> ServiceBurn:
    table = recording.tables[objective.service, objective.kind]
    if table.counts and not table.judged_ms:
        raise CornelbeamError(
            ErrorCode.SETTINGS_INVALID,
            'objectives',
            detail=(
                f'{objective.service}: limit_ms {objective.limit_ms} is'
                ' below the smallest bucket of the recording'
            ),
        )
    counts = table.minutes()
    span = _recorded_span(recording)
    minutes = tuple(_burn_of_minute(counts, one, objective) for one in span)
    worst = _worst_minute(counts, objective)
    calls = sum(call_count for call_count, _ in counts.values())
    bad = sum(bad_count for _, bad_count in counts.values())
    return ServiceBurn(
        objective,
        table.judged_ms,
        round(calls, _DIGITS),
        round(calls - bad, _DIGITS),
        _burn_rate(calls, bad, objective),
        _remaining_budget(counts, span, objective),
        len(span),
        None if worst is None else _burn_of_minute(counts, worst, objective),
        _count_broken(counts, objective),
        tuple(
            _judge_window(counts, span, length, objective)
            for length in WINDOWS_MINUTES
        ),
        _find_causes(table, span),
        _find_causes(table, () if worst is None else (worst,)),
        minutes,
    )


def _recorded_span(recording: Recording) -> range:
    """Give the minutes of a recording; one that ends on the hour is over."""
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


def _burn_of_minute(
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


def _worst_minute(
    counts: Mapping[int, tuple[float, float]],
    objective: Objective,
) -> int | None:
    """Give the minute with the highest share of bad calls, the first of equal
    ones; None when no minute has bad calls.
    """
    judged = {
        minute: bad / calls
        for minute, (calls, bad) in sorted(counts.items())
        if bad and calls >= objective.min_call_count
    }
    return max(judged, key=judged.__getitem__, default=None)


def _count_broken(
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


def _judge_window(
    counts: Mapping[int, tuple[float, float]],
    span: range,
    length: int,
    objective: Objective,
) -> WindowBurn:
    # A window that is not full yet would make its first minutes look worse
    # than they are.
    first_end = span.start + min(length, len(span)) - 1
    worst_rate: float = 0
    worst_end = ''
    rate: float = 0
    calls: float = 0
    bad: float = 0
    for minute in span:
        added_calls, added_bad = counts.get(minute, (0, 0))
        gone_calls, gone_bad = counts.get(minute - length, (0, 0))
        calls += added_calls - gone_calls
        bad += added_bad - gone_bad
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
    judged = [counts.get(minute, (0, 0)) for minute in recorded]
    calls = sum(call_count for call_count, _ in judged)
    bad = sum(bad_count for _, bad_count in judged)
    rate = _burn_rate(calls, bad, objective)
    return round(1 - rate * len(recorded) / window, _DIGITS + 2)


def _find_causes(table: CallTable, minutes: Collection[int]) -> Causes:
    caller = list(table.bad_cells(CALLER_SIDE, minutes))
    backend = list(table.bad_cells(BACKEND_SIDE, minutes))
    return Causes(
        _rank((cell.reason, count) for cell, count in caller),
        _rank((cell.domain, count) for cell, count in caller),
        _rank((_place(cell), count) for cell, count in caller),
        _rank((cell.domain, count) for cell, count in backend),
        _rank((_place(cell), count) for cell, count in backend),
    )


def _place(cell: Cell) -> str:
    return f'{cell.instance} ({cell.domain}) {cell.reason}'


def _rank(counts: Iterable[tuple[str, float]]) -> tuple[Cause, ...]:
    total: Counter[str] = Counter()
    for name, count in counts:
        total[name] += count  # type: ignore[assignment]
    ranked = sorted(total.items(), key=lambda item: (-item[1], item[0]))
    return tuple(
        Cause(cause, round(bad_count, _DIGITS))
        for cause, bad_count in ranked[:_MAX_CAUSE_COUNT]
    )


def _format_minute(minute: int) -> str:
    time = dt.datetime.fromtimestamp(minute * S_PER_MINUTE, dt.UTC)
    return f'{time:%Y-%m-%d %H:%M}'
