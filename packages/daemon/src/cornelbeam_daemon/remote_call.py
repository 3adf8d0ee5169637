"""Receive the answer to a call at another daemon."""

import asyncio
from collections.abc import Callable
from typing import Final, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.targets import LoadReport
from cornelbeam_wire import MAX_BODY_PART_BYTES, PeerConnection, Stream
from cornelbeam_wire.codec import protocol_error
from cornelbeam_wire.gen import messages

from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.bodies import BodyBuffer, BodyReader
from cornelbeam_daemon.calls import Answer
from cornelbeam_daemon.convert import load_from_wire, refusal_from_wire
from cornelbeam_daemon.memory_budget import MemoryAccount

# Called with the connection that went silent while a call waited on it.
NotifySilent = Callable[[PeerConnection], None]
_MIN_STATUS: Final = 200
_MAX_STATUS: Final = 599
# Daemons of earlier releases pass on statuses up to this one from backend
# servers, although HTTP does not define those above ``_MAX_STATUS``.
_MAX_PASSED_STATUS: Final = 999


@final
class RemoteCall:
    """Receives the answer to a call or to an outcome query."""

    __slots__ = (
        '_account',
        '_answer_body',
        '_deadline_s',
        '_notify_silent',
        '_sender',
        'head',
        'is_body_held',
        'load',
        'reply',
        'stream',
    )

    def __init__(
        self,
        deadline_s: float,
        notify_silent: NotifySilent | None = None,
        account: MemoryAccount | None = None,
    ) -> None:
        """Start without an answer; its body is counted in ``account``.

        ``notify_silent`` is called when the connection goes silent before the
        head has arrived. Without it, the call fails then.
        """
        loop = asyncio.get_running_loop()
        self._account = account
        self._deadline_s = deadline_s
        self._notify_silent = notify_silent
        self.head: asyncio.Future[Answer] = loop.create_future()
        self.reply: asyncio.Future[messages.OutcomeReply] = loop.create_future()
        self.load: LoadReport | None = None
        self.stream: Stream | None = None
        self._answer_body: BodyBuffer | None = None
        self._sender: asyncio.Task[None] | None = None
        # True until the first part of a body that was held back is sent.
        self.is_body_held = False

    def on_frame(self, frame: messages.Frame) -> None:
        """Handle a message of the answer."""
        if frame.answer_start is not None:
            self._start_answer(frame.answer_start)
        elif frame.body_part is not None and self._answer_body is not None:
            self._answer_body.feed(frame.body_part.content)
            if frame.body_part.is_last:
                self._answer_body.finish()
        elif frame.refusal is not None:
            if frame.refusal.load is not None:
                self.load = load_from_wire(frame.refusal.load)
            error = refusal_from_wire(frame.refusal)
            error.load = self.load
            self.fail(error)
        elif frame.outcome_reply is not None and not self.reply.done():
            self.reply.set_result(frame.outcome_reply)

    def on_lost(self) -> None:
        """Fail, as the connection was lost."""
        self._fail_unreachable('the connection was lost')

    def on_silent(self) -> None:
        """Notify the caller, which may try another target or ask again.

        The answer may still arrive: the peer is slow, cut off or gone.
        """
        stream = self.stream
        if self.head.done():
            loop = asyncio.get_running_loop()
            loop.call_at(self._deadline_s, self._fail_if_silent)
        elif self.is_body_held or self._notify_silent is None:
            self._fail_if_silent()
        elif stream is not None:
            self._notify_silent(stream.connection)

    def fail(self, error: CornelbeamError) -> None:
        """Raise an error for those who wait for the answer or its body."""
        if self._answer_body is not None:
            self._answer_body.fail(
                CornelbeamError(
                    ErrorCode.ANSWER_TRUNCATED,
                    error.step,
                    error.peer,
                    error.detail,
                    run_state=RunState.UNKNOWN,
                ),
            )
        for future in (self.head, self.reply):
            if not future.done():
                future.set_exception(error)
                # Marks the exception as retrieved, as only one of the futures
                # is awaited.
                future.exception()

    def send_rest(self, reader: BodyReader) -> None:
        """Send the rest of the request body while waiting for the answer."""
        self._sender = asyncio.ensure_future(self._send_rest(reader))

    def close(self) -> None:
        """Close the stream; cancel the call if its answer is incomplete."""
        body = self._answer_body
        is_incomplete = body is None or not body.is_complete
        if self.stream is not None and is_incomplete:
            self.stream.send(cancel=messages.Cancel(reason='not wanted'))
        if body is not None and not body.is_ended:
            # Its head may have arrived for a caller that was cancelled.
            body.drop()
        self.abandon()

    def abandon(self) -> None:
        """Close the stream without cancelling the call."""
        if self._sender is not None:
            self._sender.cancel()
        if self.stream is not None:
            self.stream.close()

    async def _send_rest(self, reader: BodyReader) -> None:
        stream = self.stream
        assert stream is not None  # noqa: S101
        try:
            part = await reader.read()
            while part:
                for start in range(0, len(part), MAX_BODY_PART_BYTES):
                    piece = part[start : start + MAX_BODY_PART_BYTES]
                    await stream.send_body(piece, is_last=False)
                    self.is_body_held = False
                part = await reader.read()
            await stream.send_body(b'', is_last=True)
        except CornelbeamError as error:
            # The backend server may have acted on the part already sent.
            self.fail(
                CornelbeamError(
                    error.code,
                    'request body',
                    error.peer,
                    error.detail,
                    run_state=RunState.UNKNOWN,
                ),
            )

    def _fail_if_silent(self) -> None:
        if self.stream is not None and self.stream.connection.is_silent:
            self._fail_unreachable('the connection went silent')

    def _fail_unreachable(self, detail: str) -> None:
        peer = '' if self.stream is None else self.stream.connection.peer_name
        # No daemon hands over a call before a part of its held body has
        # arrived.
        run_state = RunState.NOT_RUN if self.is_body_held else RunState.UNKNOWN
        self.fail(
            CornelbeamError(
                ErrorCode.PEER_UNREACHABLE,
                'peer connection',
                peer,
                detail,
                run_state=run_state,
            ),
        )

    def _start_answer(self, start: messages.AnswerStart) -> None:
        stream = self.stream
        if stream is None or self.head.done():
            return
        if _MAX_STATUS < start.status <= _MAX_PASSED_STATUS:
            self.fail(
                CornelbeamError(
                    ErrorCode.BACKEND_FAILED,
                    'answer',
                    stream.connection.peer_name,
                    f'status {start.status}',
                    run_state=RunState.UNKNOWN,
                ),
            )
            return
        is_final = _MIN_STATUS <= start.status <= _MAX_STATUS
        if not (is_final and fields.are_well_formed(start.headers)):
            raise protocol_error('malformed head of an answer')
        body = BodyBuffer(
            None if start.is_complete else stream.grant_credit, self._account
        )
        body.feed(start.body)
        if start.is_complete:
            body.finish()
        self._answer_body = body
        self.load = load_from_wire(start.load)
        self.head.set_result(
            Answer(start.status, start.headers, body, self.load, self.close),
        )
