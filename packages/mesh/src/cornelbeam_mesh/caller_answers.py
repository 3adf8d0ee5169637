"""Answers to callers: those of targets, and errors."""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from typing import final

from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.refusals import (
    quota_delay_s,
    refusal_status,
    retry_delay_s,
)
from cornelbeam_daemon.answer_forwarding import forward_answer
from cornelbeam_daemon.calls import Answer
from cornelbeam_daemon.http_message import Responder
from cornelbeam_daemon.logs import get_log

from cornelbeam_mesh.forwarded_request import ForwardedRequest

_log = get_log('caller')


@final
@dataclass(frozen=True, slots=True)
class ErrorTiming:
    """Arrival of a request, the time of its error and a random number.

    Times are those of the event loop; ``jitter`` is from 0 to 1.
    """

    started_s: float
    now_s: float
    jitter: float


def send_error(
    error: CornelbeamError,
    responder: Responder,
    forwarded: ForwardedRequest | None,
    timing: ErrorTiming,
) -> None:
    """Log an error and answer the caller with it.

    ``forwarded`` is ``None`` if the head of the request was not valid.
    """
    status = refusal_status(error)
    now_s = timing.now_s
    deadline_s = timing.started_s if forwarded is None else forwarded.deadline_s
    left_s = max(0, deadline_s - now_s)
    _log.info(
        'request not answered',
        request=forwarded.request_id if forwarded else '',
        route=forwarded.route.name if forwarded else '',
        status=status,
        code=error.code.value,
        step=error.step,
        peer=error.peer,
        run_state=error.run_state.name.lower(),
        elapsed_ms=int((now_s - timing.started_s) * MS_PER_S),
        left_ms=int(left_s * MS_PER_S),
        why=error.detail,
    )
    if responder.is_started:
        # Abort the connection, so that the truncated answer does not look
        # complete.
        responder.abort()
        return
    headers = [b'content-type', b'text/plain; charset=utf-8']
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        wait_ms = float(error.retry_after_ms)
        if error.load is not None:
            wait_ms = max(wait_ms, error.load.wait_ms)
        delay_s = retry_delay_s(wait_ms, left_s, timing.jitter)
        if error.code is ErrorCode.REQUEST_QUARANTINED:
            # It is refused until then, whatever time its caller has left.
            delay_s = wait_ms / MS_PER_S
        headers += (b'retry-after', f'{delay_s:.2f}'.encode())
    elif status == HTTPStatus.TOO_MANY_REQUESTS:
        # No less than the time until a token: an earlier retry is refused too.
        delay_s = quota_delay_s(error.retry_after_ms)
        headers += (b'retry-after', f'{delay_s:.2f}'.encode())
    responder.send_whole(status, headers, f'{error}\n'.encode())


async def forward_in_time(
    forwarded: ForwardedRequest,
    answer: Answer,
    responder: Responder,
) -> None:
    """Forward an answer whose body must end before the deadline.

    Raise ``deadline_passed`` if it does not: the caller has stopped waiting,
    and the body may have no end.
    """
    try:
        async with asyncio.timeout_at(forwarded.deadline_s):
            await forward_answer(forwarded.request, answer, responder)
    except TimeoutError as error:
        raise CornelbeamError(
            ErrorCode.DEADLINE_PASSED,
            'answer',
            detail='the body did not end in time',
            run_state=RunState.RAN,
        ) from error
