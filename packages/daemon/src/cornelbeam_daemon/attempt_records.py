"""Records of calls in the attempt ledger, shared by daemon and mesh."""

import asyncio
from typing import Final

import anyio
from cornelbeam_core.attempts import AttemptLedger, RecordResult
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.requests import is_idempotent_method

from cornelbeam_daemon.calls import Call

_ERRORS: Final = {
    RecordResult.REPEAT: ErrorCode.ATTEMPT_REPEATED,
    RecordResult.FORBIDDEN: ErrorCode.ATTEMPT_FORBIDDEN,
    RecordResult.WRONG_INCARNATION: ErrorCode.WRONG_INCARNATION,
    RecordResult.PAST_DEADLINE: ErrorCode.DEADLINE_PASSED,
    RecordResult.FULL: ErrorCode.OVERLOADED,
}
# Room for 200 non-repeatable calls/s that stay in the ledger for 60 s each.
_CAPACITY: Final = 12_000
# Time that an entry is kept after its deadline.
_RETENTION_S: Final = 30.0
_EXPIRE_PERIOD_S: Final = 1.0


def make_ledger(incarnation: int) -> AttemptLedger:
    """Return an empty ledger for one run of a daemon."""
    return AttemptLedger(incarnation, _CAPACITY, _RETENTION_S)


async def expire_attempts(ledger: AttemptLedger) -> None:
    """Remove expired attempts periodically until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        await anyio.sleep(_EXPIRE_PERIOD_S)
        ledger.expire(loop.time())


def is_recorded(call: Call) -> bool:
    """Return whether the ledger records the attempt.

    Peers ask only for the outcome of calls that must not, or should not, run
    twice, so reads skip the ledger.
    """
    return may_be_queried(call.method, is_repeatable=call.is_repeatable)


def may_be_queried(method: bytes, *, is_repeatable: bool) -> bool:
    """Return whether a peer may ask for the outcome of such a call."""
    return not (is_repeatable and is_idempotent_method(method.decode()))


def record_attempt(
    ledger: AttemptLedger,
    call: Call,
    now_s: float,
    name: str,
) -> None:
    """Record an attempt before it is sent to the backend server.

    Raise ``CornelbeamError`` with the peer ``name`` when it must not be sent.
    """
    if not is_recorded(call):
        return
    recorded = ledger.record(
        call.attempt_id,
        call.target_incarnation,
        now_s,
        call.deadline_s,
    )
    if recorded is not RecordResult.HAND_OVER:
        raise CornelbeamError(
            _ERRORS[recorded],
            'attempt ledger',
            name,
            run_state=recorded.run_state,
        )


def note_run_state(
    ledger: AttemptLedger,
    call: Call,
    run_state: RunState,
    now_s: float,
) -> None:
    """Record the run state of an attempt."""
    if is_recorded(call):
        ledger.finish(call.attempt_id, None, now_s, run_state)
