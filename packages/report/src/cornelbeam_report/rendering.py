"""Plain text rendering of the burn report."""

from collections.abc import Iterator, Sequence
from typing import Final

from cornelbeam_report.burn import (
    BurnReport,
    Cause,
    Causes,
    MinuteBurn,
    ServiceBurn,
    WindowBurn,
)

_LEVELS: Final = '▁▂▃▄▅▆▇█'
_NO_CALLS: Final = ' '
_MAX_COLUMN_COUNT: Final = 60
_MAX_BAR_LENGTH: Final = 30
_SHOWN_MINUTE_COUNT: Final = 5
_SHOWN_CAUSE_COUNT: Final = 3


def render_report(report: BurnReport) -> str:
    """Render a report as text, 80 columns wide for names of usual length."""
    return ''.join(f'{line}\n' for line in _report_lines(report))


def draw_sparkline(minutes: Sequence[MinuteBurn]) -> str:
    """Draw the burn rate over time, one character per minute.

    The lowest level means no burn, the highest is the worst minute. For long
    recordings, each character shows the worst of several minutes, so that the
    worst minute stays visible.
    """
    peak = max((minute.burn_rate for minute in minutes), default=0)
    minutes_per_column = -(-len(minutes) // _MAX_COLUMN_COUNT) or 1
    return ''.join(
        _draw_column(minutes[first : first + minutes_per_column], peak)
        for first in range(0, len(minutes), minutes_per_column)
    )


def _draw_column(minutes: Sequence[MinuteBurn], peak: float) -> str:
    if not any(minute.call_count for minute in minutes):
        return _NO_CALLS
    rate = max(minute.burn_rate for minute in minutes)
    if not rate:
        return _LEVELS[0]
    highest_level = len(_LEVELS) - 1
    return _LEVELS[max(1, round(rate / peak * highest_level))]


def _report_lines(report: BurnReport) -> Iterator[str]:
    yield f'Burn report, {report.start} to {report.end} UTC'
    yield (
        f'{report.scrape_count} scrapes, {report.skipped_scrape_count} skipped,'
        f' {report.reset_count} counter resets,'
        f' {report.estimated_gap_count} gaps spread evenly'
    )
    for service in report.services:
        yield ''
        yield from _service_lines(service)


def _service_lines(burn: ServiceBurn) -> Iterator[str]:
    objective = burn.objective
    yield (
        f'{objective.service} {objective.kind}: {objective.share:.3%} within'
        f' {objective.limit_ms} ms over {objective.window_days} days'
    )
    if not burn.call_count:
        yield '  no calls'
        return
    if burn.judged_ms < objective.limit_ms:
        yield f'  judged at {burn.judged_ms:g} ms, the nearest bucket below'
    yield (
        f'  calls {burn.call_count:.0f}, good {burn.good_count:.0f}'
        f' ({burn.good_count / burn.call_count:.3%}),'
        f' burn rate {burn.burn_rate:.2f}'
    )
    yield (
        f'  remaining budget {burn.remaining_budget:.3%}'
        f' ({burn.recorded_minutes} minutes recorded)'
    )
    yield from _worst_minute_lines(burn)
    for window in burn.windows:
        yield _describe_window(window)
    yield f'  minutes  |{draw_sparkline(burn.minutes)}|'
    yield from _bar_chart_lines(burn.minutes)
    yield from _cause_lines('burned by', burn.burned_by)
    if burn.recorded_minutes > 1:
        yield from _cause_lines('worst minute', burn.worst_minute_burned_by)


def _worst_minute_lines(burn: ServiceBurn) -> Iterator[str]:
    worst = burn.worst_minute
    if worst is None:
        yield '  worst minute: none with bad calls'
        return
    yield (
        f'  worst minute {worst.start}: burn rate {worst.burn_rate:.2f},'
        f' {worst.bad_count:.0f} of {worst.call_count:.0f} calls bad'
    )
    min_share = burn.objective.worst_minute_share
    if min_share is not None:
        yield (
            f'  minutes below {min_share:.3%}: {burn.broken_minute_count}'
            f' of {burn.recorded_minutes}'
        )


def _describe_window(window: WindowBurn) -> str:
    worst = f'worst {window.worst_burn_rate:.2f}'
    if window.worst_end:
        worst = f'{worst} until {window.worst_end}'
    partial = '' if window.is_complete else ' (recording is shorter)'
    return (
        f'  {window.length_minutes:>3} min: {worst},'
        f' last {window.last_burn_rate:.2f}{partial}'
    )


def _bar_chart_lines(minutes: Sequence[MinuteBurn]) -> Iterator[str]:
    """Draw the worst minutes in chronological order."""
    bad = [minute for minute in minutes if minute.bad_count]
    by_rate = sorted(bad, key=lambda minute: -minute.burn_rate)
    shown = by_rate[:_SHOWN_MINUTE_COUNT]
    for minute in sorted(shown, key=lambda each: each.start):
        length = round(minute.burn_rate / shown[0].burn_rate * _MAX_BAR_LENGTH)
        bar = '#' * max(1, length)
        yield f'  {minute.start} {minute.burn_rate:>9.2f} {bar}'


def _cause_lines(title: str, causes: Causes) -> Iterator[str]:
    for label, ranked in (
        ('reason', causes.reasons),
        ('caller domain', causes.caller_domains),
        ('caller', causes.caller_instances),
        ('backend domain', causes.backend_domains),
        ('backend', causes.backend_instances),
    ):
        if ranked:
            yield f'  {title}, {label}: {_join_causes(ranked)}'


def _join_causes(ranked: Sequence[Cause]) -> str:
    shown = [
        f'{cause.name} {cause.bad_count:.0f}'
        for cause in ranked[:_SHOWN_CAUSE_COUNT]
    ]
    hidden_count = len(ranked) - len(shown)
    if hidden_count:
        shown.append(f'{hidden_count} more')
    return ', '.join(shown)
