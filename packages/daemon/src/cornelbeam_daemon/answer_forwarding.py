"""Forwarding of the answer of a target to the caller."""

from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.calls import Answer
from cornelbeam_daemon.http_message import (
    BODILESS_STATUSES,
    HttpRequest,
    Responder,
    truncated_answer,
)


async def forward_answer(
    request: HttpRequest,
    answer: Answer,
    responder: Responder,
) -> None:
    """Forward an answer and close it.

    Raise ``answer_truncated`` when its body is incomplete.
    """
    headers = answer.headers
    try:
        content = answer.body.take_ready()
        is_bodiless = (
            request.method == b'HEAD' or answer.status in BODILESS_STATUSES
        )
        if answer.body.is_ended and not is_bodiless:
            length = fields.find(headers, b'content-length')
            if length not in {None, str(len(content)).encode()}:
                raise truncated_answer(
                    'the body length differs from content-length'
                )
            responder.send_whole(answer.status, headers, content)
            return
        responder.start(answer.status, headers)
        if content:
            await responder.send(content)
        while not answer.body.is_ended:
            content = await answer.body.read_answer()
            if content:
                await responder.send(content)
        responder.finish()
    finally:
        answer.close()
