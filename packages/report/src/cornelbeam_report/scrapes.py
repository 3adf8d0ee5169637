"""Recorded scrapes, stored as one JSON line per instance and scrape."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Final, final

import msgspec
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from prometheus_client.parser import text_string_to_metric_families

from cornelbeam_report.objectives import Objective

CALLER_SIDE: Final = 'caller'
BACKEND_SIDE: Final = 'backend'
OK_CODE: Final = 'ok'

_HISTOGRAM_SIDES: Final = (
    ('cornelbeam_call_duration_seconds', CALLER_SIDE),
    ('cornelbeam_backend_duration_seconds', BACKEND_SIDE),
)
# A daemon exposes the TYPE line of its histograms even before its first call.
# Text without it does not come from a daemon.
_TYPE_LINE: Final = '# TYPE cornelbeam_call_duration_seconds '
_MS_PER_S: Final = 1000

ObjectiveKey = tuple[str, str]


@final
class Scrape(msgspec.Struct, frozen=True):
    """Metrics text served by one instance at ``at_s`` (Unix time)."""

    at_s: float
    instance: str
    domain: str
    text: str

    @property
    def is_complete(self) -> bool:
        """Whether the text is the metrics exposition of a daemon."""
        return _TYPE_LINE in self.text


@final
@dataclass(frozen=True, slots=True)
class SeriesKey:
    """Identifies a histogram of one side of an instance.

    ``side`` is ``caller`` or ``backend``; ``code`` is the outcome of the calls.
    """

    side: str
    service: str
    kind: str
    code: str


@final
@dataclass(slots=True)
class Reading:
    """Counts of one series at the time of a scrape.

    ``in_time_count`` is the number of calls within ``effective_limit_ms``,
    the largest bucket bound that does not exceed the time limit.
    ``created_s`` is zero if the exposition has no creation time.
    """

    call_count: float = 0
    in_time_count: float = 0
    effective_limit_ms: float = 0
    created_s: float = 0


def read_scrapes(lines: Iterable[str | bytes]) -> Iterator[Scrape]:
    """Yield the scrapes of a recording, ignoring empty lines.

    Raise ``malformed_request`` that names the first invalid line.
    """
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            yield msgspec.json.decode(line, type=Scrape)
        except msgspec.DecodeError as error:
            raise CornelbeamError(
                ErrorCode.MALFORMED_REQUEST,
                'recording',
                detail=f'line {number}: {error}',
            ) from error


def parse_readings(
    text: str,
    objectives: Mapping[ObjectiveKey, Objective],
) -> dict[SeriesKey, Reading]:
    """Return the readings of all series that an objective covers."""
    readings: dict[SeriesKey, Reading] = {}
    for histogram, side in _HISTOGRAM_SIDES:
        lines = [line for line in text.splitlines() if histogram in line]
        for family in text_string_to_metric_families('\n'.join(lines)):
            for sample in family.samples:
                labels = sample.labels
                key = (labels.get('service', ''), labels.get('kind', ''))
                objective = objectives.get(key)
                if objective is None:
                    continue
                series = SeriesKey(side, *key, labels.get('code', ''))
                reading = readings.setdefault(series, Reading())
                suffix = sample.name.removeprefix(histogram)
                _add_sample(
                    reading,
                    suffix,
                    labels.get('le', ''),
                    sample.value,
                    objective.limit_ms,
                )
    return readings


def _add_sample(
    reading: Reading,
    suffix: str,
    bound_s: str,
    sample_value: float,
    limit_ms: int,
) -> None:
    if suffix == '_count':
        reading.call_count = sample_value
    elif suffix == '_created':
        reading.created_s = sample_value
    elif suffix == '_bucket':
        bound_ms = float(bound_s) * _MS_PER_S
        if reading.effective_limit_ms < bound_ms <= limit_ms:
            reading.effective_limit_ms = bound_ms
            reading.in_time_count = sample_value
