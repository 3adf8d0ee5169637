"""Error codes, run states and the exception type of cornelbeam."""

import enum
from typing import Final, final

from cornelbeam_core.targets import LoadReport


@final
class RunState(enum.IntEnum):
    """Known state of the execution of a request."""

    NOT_RUN = 1
    RAN = 2
    UNKNOWN = 3
    RUNNING = 4


@final
class ErrorCode(enum.Enum):
    """Reason for refusing a request or a message.

    The value appears in the ``cornelbeam-code`` header, in logs and in metrics.
    """

    MALFORMED_REQUEST = 'malformed_request'
    HEAD_TOO_LARGE = 'head_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    UNKNOWN_SERVICE = 'unknown_service'
    UNSUPPORTED_ROUTE = 'unsupported_route'
    UNKNOWN_API_KEY = 'unknown_api_key'
    CONFIGURATION_STALE = 'configuration_stale'
    QUOTA_EXCEEDED = 'quota_exceeded'
    CONTRADICTORY_SELECTORS = 'contradictory_selectors'
    NO_ELIGIBLE_TARGET = 'no_eligible_target'
    OVERLOADED = 'overloaded'
    TARGET_LEAVING = 'target_leaving'
    DOMAIN_OUT_OF_SERVICE = 'domain_out_of_service'
    WRONG_INCARNATION = 'wrong_incarnation'
    REQUEST_QUARANTINED = 'request_quarantined'
    RETRY_BUDGET_SPENT = 'retry_budget_spent'
    ATTEMPT_FORBIDDEN = 'attempt_forbidden'
    ATTEMPT_REPEATED = 'attempt_repeated'
    DEADLINE_PASSED = 'deadline_passed'
    TOO_MANY_HOPS = 'too_many_hops'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    BACKEND_UNREACHABLE = 'backend_unreachable'
    BACKEND_REFUSED = 'backend_refused'
    BACKEND_FAILED = 'backend_failed'
    ANSWER_TRUNCATED = 'answer_truncated'
    PEER_UNREACHABLE = 'peer_unreachable'
    PROTOCOL_VIOLATION = 'protocol_violation'
    STORE_UNAVAILABLE = 'store_unavailable'
    STORE_CONFLICT = 'store_conflict'
    SETTINGS_INVALID = 'settings_invalid'


_HTTP_STATUSES: Final = {
    ErrorCode.MALFORMED_REQUEST: 400,
    ErrorCode.UNKNOWN_API_KEY: 401,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.CONTRADICTORY_SELECTORS: 409,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.QUOTA_EXCEEDED: 429,
    ErrorCode.HEAD_TOO_LARGE: 431,
    ErrorCode.OUTCOME_UNKNOWN: 502,
    ErrorCode.BACKEND_FAILED: 502,
    ErrorCode.ANSWER_TRUNCATED: 502,
    ErrorCode.PROTOCOL_VIOLATION: 502,
    ErrorCode.DEADLINE_PASSED: 504,
    ErrorCode.TOO_MANY_HOPS: 508,
}
_DEFAULT_HTTP_STATUS: Final = 503
# Statuses that promise that the request has not run and never will.
_PROMISING_HTTP_STATUSES: Final = frozenset((413, 429, _DEFAULT_HTTP_STATUS))
_UNCLEAR_HTTP_STATUS: Final = 502


class CornelbeamError(Exception):
    """Failure of a request, message or command.

    ``step`` is the processing step that failed, for example ``admission``,
    and ``peer`` the name or address of the target concerned, empty if there
    is none. ``run_state`` says what is known about the execution of the
    request. ``retry_after_ms`` is zero if no useful delay is known.

    >>> error = CornelbeamError(ErrorCode.OVERLOADED, 'admission', 'yard-1')
    >>> error.http_status
    503
    """

    def __init__(
        self,
        code: ErrorCode,
        step: str,
        peer: str = '',
        detail: str = '',
        *,
        run_state: RunState = RunState.NOT_RUN,
        retry_after_ms: int = 0,
    ) -> None:
        """Store the fields and build the message from the first four."""
        self.code = code
        self.step = step
        self.peer = peer
        self.detail = detail
        self.run_state = run_state
        self.retry_after_ms = retry_after_ms
        # Load of the target that refused, if its refusal included a report.
        self.load: LoadReport | None = None
        super().__init__(self._describe())

    @property
    def http_status(self) -> int:
        """HTTP status that reports this error.

        413, 429 and 503 promise that the request has not run, so an error
        without that certainty is reported as 502.
        """
        status = _HTTP_STATUSES.get(self.code, _DEFAULT_HTTP_STATUS)
        is_promise = status in _PROMISING_HTTP_STATUSES
        if is_promise and self.run_state is not RunState.NOT_RUN:
            return _UNCLEAR_HTTP_STATUS
        return status

    def _describe(self) -> str:
        text = f'{self.code.value} at {self.step}'
        if self.peer:
            text = f'{text} with {self.peer}'
        if self.detail:
            text = f'{text}: {self.detail}'
        return text
