"""Recorded scrapes: one JSON line per instance and time."""

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

_SIDES: Final = (
    ('cornelbeam_call_duration_seconds', CALLER_SIDE),
    ('cornelbeam_backend_duration_seconds', BACKEND_SIDE),
)
# A daemon that has seen no call yet still declares its histograms. A text
# without the declaration is not a scrape of a daemon.
_DECLARATION: Final = '# TYPE cornelbeam_call_duration_seconds '
_MS_PER_S: Final = 1000

ObjectiveKey = tuple[str, str]


@final
class Scrape(msgspec.Struct, frozen=True):
    """Metrics of one instance as it served them at ``at_s`` (Unix time)."""

    at_s: float
    instance: str
    domain: str
    text: str

    @property
    def is_complete(self) -> bool:
        """Tell whether the text is the exposition of a daemon."""
        return _DECLARATION in self.text


@final
@dataclass(frozen=True, slots=True)
class SeriesKey:
    """Names the calls of one outcome that one side of an instance counted."""

    side: str
    service: str
    kind: str
    code: str


@final
@dataclass(slots=True)
class Reading:
    """Counts of one series at one time.

    ``in_time_count`` are the calls within ``judged_ms``, the largest bucket
    bound that is not above the time limit. ``created_s`` is zero when the
    exposition does not tell when the series began.
    """

    call_count: float = 0
    in_time_count: float = 0
    judged_ms: float = 0
    created_s: float = 0


def read_scrapes(lines: Iterable[str | bytes]) -> Iterator[Scrape]:
    """Parse scrapes; raises ``malformed_request`` with the line at fault."""
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
    """Extract the call counts that some objective is about."""
    readings: dict[SeriesKey, Reading] = {}
    for base, side in _SIDES:
        lines = [line for line in text.splitlines() if base in line]
        for family in text_string_to_metric_families('\n'.join(lines)):
            for sample in family.samples:
                labels = sample.labels
                key = (labels.get('service', ''), labels.get('kind', ''))
                objective = objectives.get(key)
                if objective is None:
                    continue
                series = SeriesKey(side, *key, labels.get('code', ''))
                reading = readings.setdefault(series, Reading())
                part = sample.name.removeprefix(base)
                _add_sample(
                    reading,
                    part,
                    labels.get('le', ''),
                    sample.value,
                    objective.limit_ms,
                )
    return readings


def _add_sample(
    reading: Reading,
    part: str,
    bound_s: str,
    sample_value: float,
    limit_ms: int,
) -> None:
    if part == '_count':
        reading.call_count = sample_value
    elif part == '_created':
        reading.created_s = sample_value
    elif part == '_bucket':
        bound_ms = float(bound_s) * _MS_PER_S
        if reading.judged_ms < bound_ms <= limit_ms:
            reading.judged_ms = bound_ms
            reading.in_time_count = sample_value
