"""One call of another daemon that is being served."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Final, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_wire import (
    MAX_BODY_PART_BYTES,
    STREAM_CREDIT_BYTES,
    Stream,
    encode_frame,
)
from cornelbeam_wire.codec import LENGTH_BYTES
from cornelbeam_wire.gen import messages

from cornelbeam_daemon.attempt_records import is_recorded
from cornelbeam_daemon.bodies import BodyBuffer, RequestBody
from cornelbeam_daemon.calls import Answer, Call, CallServer
from cornelbeam_daemon.convert import load_to_wire, refusal_to_wire
from cornelbeam_daemon.logs import get_log
from cornelbeam_daemon.memory_budget import MemoryBudget

_log = get_log('backend')
_MS_PER_S: Final = 1000
# A larger answer is streamed and cannot be sent again.
_KEPT_ANSWER_BYTES: Final = 60 * 1024
_COLLECT_TIMEOUT_S: Final = 0.1


@final
class ServedCall:
    """A call of another daemon that is being served.

    Its stream may be replaced while the backend server works on it: an
    outcome query over a new connection attaches the call to its own stream.
    """

    __slots__ = (
        '_account',
        '_attached',
        '_backend_side',
        '_body',
        '_call',
        '_on_end',
        '_body_stream',
        'is_answering',
        'is_cancelled',
        'stream',
        'task',
    )

    def __init__(
        self,
        backend_side: CallServer,
        stream: Stream,
        start: messages.CallStart,
        on_end: Callable[[bytes], None],
        budget: MemoryBudget,
    ) -> None:
        """Start a task that serves the call opened by ``start``.

        The body of the call is counted in ``budget``.
        """
        loop = asyncio.get_running_loop()
        self._backend_side = backend_side
        self._on_end = on_end
        self._account = budget.open_account(self._end_for_memory)
        self._body = BodyBuffer(self._grant_credit, self._account)
        self._body.feed(start.body)
        if start.is_complete:
            self._body.finish()
        elif start.is_body_held:
            self._body.on_wanted = partial(
                stream.grant_credit, STREAM_CREDIT_BYTES
            )
        self._call = Call(
            attempt_id=start.attempt_id,
            target_incarnation=start.target_incarnation,
            service=start.service_name,
            method=start.method,
            path=start.path,
            headers=start.headers,
            deadline_s=loop.time() + start.remaining_ms / _MS_PER_S,
            is_repeatable=start.is_repeatable,
            caller=start.caller,
            hop_count=start.hop_count,
            request_id=start.request_id,
            body=RequestBody(self._body),
            priority=start.priority or 0,
            is_nested=bool(start.is_nested),
            is_repeat=bool(start.is_repeat),
            max_slot_wait_ms=start.patience_ms or 0,
            objective_ms=start.objective_ms or 0,
            route=start.route or '',
            is_last_resort=bool(start.is_last_resort),
            fingerprint=start.fingerprint or b'',
            is_suspect=bool(start.is_suspect),
            tenant=start.tenant or '',
        )
        self.is_cancelled = False
        # Whether a part of the answer has been sent.
        self.is_answering = False
        self.stream: Stream | None = stream
        # Stream on which the body of the request arrives.
        self._body_stream = stream
        self._attached = asyncio.Event()
        self._attached.set()
        self.task = loop.create_task(self._run())
        # A callback, because a task that is cancelled before its first step
        # never enters ``_run`` and would leave its stream open.
        self.task.add_done_callback(self._end)

    def on_frame(self, frame: messages.Frame) -> None:
        """Handle a part of the request body or a cancellation."""
        if frame.body_part is not None:
            self.feed_body(frame.body_part)
        elif frame.cancel is not None:
            self.is_cancelled = True
            self.task.cancel()

    def on_lost(self) -> None:
        """Continue without a stream if the outcome may be queried later."""
        self.stream = None
        self._attached.clear()
        self.fail_body()
        if not is_recorded(self._call):
            self.task.cancel()

    def on_silent(self) -> None:
        """Do nothing: the caller decides whether it still waits."""

    def attach(self, stream: Stream) -> None:
        """Send the answer over another stream from now on.

        The rest of the request body still arrives on the old one.
        """
        if self.stream is not None and self.stream is self._body_stream:
            self._body_stream.receiver = _BodyReceiver(self)
        if self._body.is_complete:
            self._body_stream.close()
        self.stream = stream
        stream.receiver = self
        self._attached.set()

    async def _run(self) -> None:
        answer: Answer | None = None
        try:
            answer = await self._backend_side.serve(self._call)
            await self._send_answer(answer)
        except CornelbeamError as error:
            await self._send_refusal(error, is_started=answer is not None)
        finally:
            if answer is not None:
                answer.close()

    def _end(self, task: 'asyncio.Task[None]') -> None:
        self._body.drop()
        self._account.close()
        self._body_stream.close()
        if self.stream is not None:
            self.stream.close()
        self._on_end(self._call.attempt_id)

    async def _send_answer(self, answer: Answer) -> None:
        content = await self._collect_body(answer)
        start = messages.AnswerStart(
            status=answer.status,
            headers=answer.headers,
            body=content,
            is_complete=answer.body.is_ended,
            load=load_to_wire(self._backend_side.load_for(self._call.route)),
        )
        if len(content) > MAX_BODY_PART_BYTES:
            start.body = b''
            start.is_complete = False
        elif start.is_complete:
            self._keep_answer(start)
            # The content is copied, so the slot is released now rather than
            # when a stream is attached.
            answer.close()
        stream = await self._wait_for_stream()
        self.is_answering = True
        stream.send(answer_start=start)
        if start.is_complete:
            return
        stream.deduct_credit(len(start.body))
        is_last = False
        if not start.body:
            is_last = answer.body.is_ended
            await _send_parts(stream, content, is_last=is_last)
        while not is_last:
            content = await answer.body.read()
            # The body may end while a part waits for credit: only what was
            # true before says whether the end has been sent.
            is_last = answer.body.is_ended
            await _send_parts(stream, content, is_last=is_last)

    async def _collect_body(self, answer: Answer) -> bytes:
        """Return the part of the answer's body that has arrived.

        If the outcome of the call may be queried, wait up to
        ``_COLLECT_TIMEOUT_S`` for the rest of a short body, as only a complete
        answer can be kept.
        """
        content = answer.body.take_ready()
        if not is_recorded(self._call):
            return content
        collected = bytearray(content)
        try:
            async with asyncio.timeout(_COLLECT_TIMEOUT_S):
                await answer.body.collect(collected, _KEPT_ANSWER_BYTES)
        except TimeoutError:
            _log.debug(
                'answer not complete in time to be kept',
                request=self._call.request_id,
            )
        return bytes(collected)

    def _keep_answer(self, start: messages.AnswerStart) -> None:
        if len(start.body) > _KEPT_ANSWER_BYTES or not is_recorded(self._call):
            return
        frame = messages.Frame(stream_id=0, answer_start=start)
        self._backend_side.ledger.finish(
            self._call.attempt_id,
            encode_frame(frame)[LENGTH_BYTES:],
            asyncio.get_running_loop().time(),
        )

    async def _send_refusal(
        self,
        error: CornelbeamError,
        *,
        is_started: bool,
    ) -> None:
        if self.stream is None and error.run_state is RunState.NOT_RUN:
            # The ledger holds the entry that answers a later query.
            return
        if is_started and self.stream is None:
            return
        try:
            stream = await self._wait_for_stream()
        except CornelbeamError:
            # No outcome query arrived before the deadline.
            return
        load = self._backend_side.load_for(self._call.route)
        stream.send(refusal=refusal_to_wire(error, load))
        _log.debug(
            'call refused',
            request=self._call.request_id,
            code=error.code.value,
            step=error.step,
        )

    async def _wait_for_stream(self) -> Stream:
        if self.stream is not None:
            return self.stream
        try:
            async with asyncio.timeout_at(self._call.deadline_s):
                await self._attached.wait()
        except TimeoutError as error:
            raise CornelbeamError(
                ErrorCode.PEER_UNREACHABLE,
                'answer',
                run_state=RunState.RAN,
            ) from error
        assert self.stream is not None  # noqa: S101
        return self.stream

    def feed_body(self, part: messages.BodyPart) -> None:
        """Append a part of the request body."""
        self._account.allow_refusal()
        self._body.feed(part.content)
        if part.is_last:
            self._body.finish()
            self._account.forbid_refusal()

    def fail_body(self) -> None:
        """Fail a request body whose rest can no longer arrive."""
        if not self._body.is_complete:
            self._body.fail(
                CornelbeamError(
                    ErrorCode.PEER_UNREACHABLE,
                    'request body',
                    run_state=RunState.UNKNOWN,
                ),
            )

    def _end_for_memory(self) -> None:
        """Refuse the call, whose body would take more memory."""
        self._body.drop()
        self._body.fail(
            CornelbeamError(
                ErrorCode.OVERLOADED,
                'request body',
                detail='the memory for bodies is used up',
            ),
        )

    def _grant_credit(self, size_bytes: int) -> None:
        self._body_stream.grant_credit(size_bytes)


@final
class _BodyReceiver:
    """Receives the rest of a request body whose answer goes elsewhere."""

    __slots__ = ('_served',)

    def __init__(self, served: ServedCall) -> None:
        self._served = served

    def on_frame(self, frame: messages.Frame) -> None:
        """Feed a body part; ignore a cancellation of the old stream."""
        if frame.body_part is not None:
            self._served.feed_body(frame.body_part)

    def on_lost(self) -> None:
        """Fail the body."""
        self._served.fail_body()

    def on_silent(self) -> None:
        """Do nothing: the rest may still arrive."""


async def _send_parts(
    stream: Stream,
    content: bytes,
    *,
    is_last: bool,
) -> None:
    for start in range(0, len(content), MAX_BODY_PART_BYTES):
        end = start + MAX_BODY_PART_BYTES
        await stream.send_body(
            content[start:end],
            is_last=is_last and end >= len(content),
        )
    if is_last and not content:
        await stream.send_body(b'', is_last=True)
