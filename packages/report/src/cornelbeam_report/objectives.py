"""Service-level objectives, read from JSON with comments."""

from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Final, final

import jsonc
import msgspec
from cornelbeam_core.errors import CornelbeamError, ErrorCode

# Errors made by the caller, excluded from both good and bad calls.
DEFAULT_EXCLUDED_CODES: Final = (
    'malformed_request',
    'head_too_large',
    'body_too_large',
    'unknown_service',
    'too_many_hops',
)

_Share = Annotated[float, msgspec.Meta(gt=0, lt=1)]
_Count = Annotated[int, msgspec.Meta(ge=1)]


@final
class Objective(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service-level objective for one service and kind of call.

    At least ``share`` of the calls within ``window_days`` must get a complete
    answer within ``limit_ms``. ``worst_minute_share`` is the corresponding
    share for every single minute with at least ``min_call_count`` calls.
    """

    service: str
    kind: str
    share: _Share
    limit_ms: _Count
    window_days: _Count = 30
    worst_minute_share: _Share | None = None
    min_call_count: _Count = 1

    @property
    def budget_share(self) -> float:
        """Share of the calls that may miss the objective."""
        return 1 - self.share


@final
class Objectives(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Objectives of a report and the outcome codes that it ignores."""

    objectives: tuple[Objective, ...]
    excluded_codes: tuple[str, ...] = DEFAULT_EXCLUDED_CODES


def load_objectives(path: Path) -> Objectives:
    """Load objectives from a file.

    Raise ``settings_invalid`` that names the file or the duplicate objective.
    """
    try:
        parsed = jsonc.loads(path.read_text(encoding='utf-8'))
        objectives = msgspec.convert(parsed, Objectives)
    except (OSError, ValueError) as error:
        raise _settings_error(f'{path.name}: {error}') from error
    _check_unique(objectives.objectives)
    return objectives


def _check_unique(objectives: Iterable[Objective]) -> None:
    seen = set()
    for objective in objectives:
        key = (objective.service, objective.kind)
        if key in seen:
            raise _settings_error(f'two objectives for {" ".join(key)}')
        seen.add(key)


def _settings_error(detail: str) -> CornelbeamError:
    return CornelbeamError(
        ErrorCode.SETTINGS_INVALID,
        'objectives',
        detail=detail,
    )
