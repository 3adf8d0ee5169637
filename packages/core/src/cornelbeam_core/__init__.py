"""Pure decisions of cornelbeam: routing, limits, retries, state, recovery."""

from cornelbeam_core.deadlines import (
    MAX_HOP_COUNT,
    check_deadline,
    check_hop_count,
    remaining_ms,
)
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.requests import (
    RepeatRule,
    RequestFacts,
    is_idempotent_method,
)
from cornelbeam_core.targets import LoadReport, Target

__all__ = (
    'MAX_HOP_COUNT',
    'CornelbeamError',
    'ErrorCode',
    'LoadReport',
    'RepeatRule',
    'RequestFacts',
    'RunState',
    'Target',
    'check_deadline',
    'check_hop_count',
    'is_idempotent_method',
    'remaining_ms',
)
