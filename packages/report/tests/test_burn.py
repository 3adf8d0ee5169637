"""Tests of the burn report on a recording with known results.

The recording covers four instances for eight minutes, scraped every 30 s.
yard-2 restarts in minute 3, yard-4 joins in minute 4, yard-3 stalls in minute
5 and is not scraped in minute 6, and of the last two scrapes one is empty and
one is out of order.
"""

import os
from pathlib import Path

import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_daemon.metrics import Metrics
from cornelbeam_report.burn import (
    BurnReport,
    Cause,
    MinuteBurn,
    build_report,
)
from cornelbeam_report.cli import main
from cornelbeam_report.increases import IncreaseTracker
from cornelbeam_report.objectives import (
    Objective,
    Objectives,
    load_objectives,
)
from cornelbeam_report.rendering import draw_sparkline
from cornelbeam_report.scrapes import (
    Reading,
    Scrape,
    SeriesKey,
    parse_readings,
    read_scrapes,
)
from cornelbeam_report.table import read_recording
from prometheus_client import CollectorRegistry, generate_latest

_GOLDEN = Path(__file__).parent / 'golden'
_RECORDING = _GOLDEN / 'valley.scrapes.jsonl'
_OBJECTIVES = _GOLDEN / 'valley.objectives.jsonc'
_WINDOWS = Objective('windows', 'idempotent', 0.999, 100)
_SERIES = SeriesKey('caller', 'windows', 'idempotent', 'ok')


@pytest.fixture
def report() -> BurnReport:
    """Return the burn report of the recording."""
    objectives = load_objectives(_OBJECTIVES)
    with _RECORDING.open('rb') as lines:
        recording = read_recording(read_scrapes(lines), objectives)
    return build_report(recording, objectives)


class TestKnownAnswer:
    """Guards against wrong counts, rates and causes."""

    def test_counts(self, report: BurnReport) -> None:
        """Counts cover the restart, new instance, gap and excluded code.

        The service "windows" has 16 scrape periods of 300 calls, minus 100
        lost in the restart, plus 500 after it, 40 of the new instance and 60
        slow ones.
        """
        windows, bookings, photos = report.services
        assert (windows.call_count, windows.good_count) == (5300, 5240)
        assert (bookings.call_count, bookings.good_count) == (93, 82)
        assert photos.call_count == 0
        assert report.reset_count == 1
        assert report.skipped_scrape_count == 2
        assert report.estimated_gap_count == 1

    def test_rates(self, report: BurnReport) -> None:
        """A burn rate is the number of bad calls over the allowed number."""
        windows, bookings, _ = report.services
        minute = '2026-03-02 10:05'
        assert windows.worst_minute == MinuteBurn(minute, 660, 60, 90.9091)
        assert bookings.worst_minute == MinuteBurn(minute, 20, 10, 50)
        assert windows.burn_rate == pytest.approx(60 / 5300 / 0.001, abs=1e-4)
        remaining = 1 - 60 / 5300 / 0.001 * 8 / (30 * 1440)
        assert windows.remaining_budget == pytest.approx(remaining, abs=1e-6)
        assert windows.broken_minute_count == 1
        assert bookings.windows[0].worst_burn_rate == pytest.approx(
            11 / 63 / 0.01,
            abs=1e-4,
        )
        assert [window.is_complete for window in windows.windows] == [
            True,
            False,
            False,
        ]

    def test_causes(self, report: BurnReport) -> None:
        """Causes include the stalled backend server and the refusal codes."""
        _, bookings, _ = report.services
        assert bookings.burned_by.reasons == (
            Cause('overloaded', 8),
            Cause('outcome_unknown', 2),
            Cause('slow', 1),
        )
        assert bookings.burned_by.backend_domains == (Cause('Langley', 18),)
        assert bookings.worst_minute_burned_by.reasons == (
            Cause('overloaded', 8),
            Cause('outcome_unknown', 2),
        )


class TestGolden:
    """Guards against unintended changes of the output."""

    @pytest.mark.parametrize(
        ('name', 'options'),
        [('valley.report.txt', []), ('valley.report.json', ['--json'])],
    )
    def test_output(
        self,
        name: str,
        options: list[str],
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """Output matches the golden file; CORNELBEAM_RECORD=1 rewrites it."""
        main(['report', str(_RECORDING), str(_OBJECTIVES), *options])
        output = capsys.readouterr().out
        golden = _GOLDEN / name
        if os.environ.get('CORNELBEAM_RECORD') == '1':
            golden.write_text(output, encoding='utf-8')
        assert output == golden.read_text(encoding='utf-8')

    def test_sparkline(self) -> None:
        """The worst minute of a long recording stays visible."""
        minutes = [MinuteBurn('', 1, 0, 0) for _ in range(600)]
        minutes[321] = MinuteBurn('', 1, 1, 20)
        line = draw_sparkline(minutes)
        assert len(line) == 60
        assert line.count('█') == 1
        assert draw_sparkline([MinuteBurn('', 0, 0, 0)]) == ' '


class TestIncreases:
    """Guards against restarts that add calls or hide them."""

    def _increases(self, *readings: tuple[float, Reading]) -> list[float]:
        tracker = IncreaseTracker()
        return [
            sum(
                increase.call_count
                for increase in tracker.add(
                    Scrape(at_s, 'yard-1', 'Langley', ''),
                    {_SERIES: reading},
                )
            )
            for at_s, reading in readings
        ]

    def test_count_fell(self) -> None:
        """Without a creation time, a lower count indicates a restart."""
        assert self._increases(
            (100, Reading(50, 50)),
            (130, Reading(60, 60)),
            (160, Reading(7, 7)),
        ) == [0, 10, 7]

    def test_count_grew_past_restart(self) -> None:
        """A changed creation time reveals a restart that the count hides."""
        assert self._increases(
            (100, Reading(50, 50, created_s=10)),
            (130, Reading(60, 60, created_s=110)),
        ) == [0, 60]

    def test_series_began(self) -> None:
        """A series that appears later counts from zero."""
        tracker = IncreaseTracker()
        scrape = Scrape(100, 'yard-1', 'Langley', '')
        assert not list(tracker.add(scrape, {}))
        later = Scrape(130, 'yard-1', 'Langley', '')
        increases = list(tracker.add(later, {_SERIES: Reading(4, 4)}))
        assert [increase.call_count for increase in increases] == [4]


class TestInput:
    """Guards against input that is silently misread."""

    def test_daemon_text(self) -> None:
        """The report reads the metrics that the daemon exposes."""
        metrics = Metrics(CollectorRegistry())
        metrics.count_answer('windows', True, 'ok', 0.09)
        metrics.count_answer('windows', True, 'ok', 0.4)
        metrics.count_backend_answer('windows', True, 'overloaded', 0.001)
        text = generate_latest(metrics.registry).decode()
        key = (_WINDOWS.service, _WINDOWS.kind)
        readings = parse_readings(text, {key: _WINDOWS})
        assert Scrape(0, '', '', text).is_complete
        found = readings[_SERIES]
        assert (found.call_count, found.in_time_count) == (2, 1)
        assert found.effective_limit_ms == 100
        assert found.created_s > 0
        assert {series.side for series in readings} == {'caller', 'backend'}

    def test_broken_line(self) -> None:
        """The error names the line that is not a scrape."""
        with pytest.raises(CornelbeamError, match='line 2'):
            list(read_scrapes(['', '{"at_s": "noon"}']))

    def test_limit_below_buckets(self) -> None:
        """A limit below all buckets is an error and does not count as zero."""
        objective = Objective('windows', 'idempotent', 0.999, 50)
        objectives = Objectives((objective,))
        with _RECORDING.open('rb') as lines:
            recording = read_recording(read_scrapes(lines), objectives)
        with pytest.raises(CornelbeamError, match='below the smallest'):
            build_report(recording, objectives)

    @pytest.mark.parametrize(
        'text',
        [
            '{"objectives": [{"service": "windows"}]}',
            '{"objectives": [], "extra": 1}',
            '{',
        ],
    )
    def test_objectives(self, text: str, tmp_path: Path) -> None:
        """Incomplete objectives, unknown keys and invalid JSON are errors."""
        path = tmp_path / 'objectives.jsonc'
        path.write_text(text)
        with pytest.raises(CornelbeamError) as failure:
            load_objectives(path)
        assert failure.value.code is ErrorCode.SETTINGS_INVALID

    def test_missing_file(self, tmp_path: Path) -> None:
        """A missing file ends the command with a one-line error."""
        with pytest.raises(SystemExit, match='cornelbeam-burn: '):
            main(['report', str(tmp_path / 'none'), str(_OBJECTIVES)])
