"""HTTP/1.1 server for callers, with parsing by httptools."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from itertools import islice
from typing import Final, final

import httptools
from cornelbeam_core.errors import CornelbeamError, ErrorCode

from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.bodies import BUFFER_LIMIT_BYTES, BodyBuffer
from cornelbeam_daemon.http_message import (
    HttpRequest,
    Responder,
    malformed,
    send_error,
    truncated_answer,
)
from cornelbeam_daemon.logs import get_log
from cornelbeam_daemon.memory_budget import MemoryBudget, unlimited_budget
from cornelbeam_daemon.pipelining import PipelinedAnswer, PipelineRules
from cornelbeam_daemon.request_head import (
    InputLimits,
    check_head,
    is_awaiting_continue,
)

_log = get_log('caller')
# Limits how long an incomplete request head can occupy a connection.
HEAD_TIMEOUT_S: Final = 10.0
# Connections without a request are closed after this time.
IDLE_TIMEOUT_S: Final = 60.0
# An answer holds a slot until it is read. At most about 320 KiB are buffered
# for the caller, so one that reads less than 5 KiB/s on average is dropped.
WRITE_TIMEOUT_S: Final = 60.0
# After a refusal, input is read and dropped for this time (lingering close):
# closing a socket with unread input resets the connection, and the caller could
# lose the refusal.
DISCARD_S: Final = 2.0
# Bytes of a header line in addition to name and value, and of a request line in
# addition to its target.
_LINE_OVERHEAD_BYTES: Final = 4
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_NEVER_S: Final = float('inf')
# Input is parsed in parts, which are short outside of bodies, so that a part
# holds few requests. The end of a body is known only if it has a length.
_HEAD_PART_BYTES: Final = 1024
_CHUNKED_PART_BYTES: Final = 8192
_BODY_PART_BYTES: Final = 65_536


Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


@final
class HttpServerConnection(asyncio.Protocol):
    """Connection of a caller; pipelined requests are answered in order."""

    def __init__(
        self,
        handler: Handler,
        head_limit_bytes: int,
        body_limit_bytes: int,
        connections: set['HttpServerConnection'],
        on_open: Callable[['HttpServerConnection'], None] | None = None,
        pipeline_rules: PipelineRules | None = None,
        budget: MemoryBudget | None = None,
        limits: InputLimits | None = None,
    ) -> None:
        """Create the protocol for one accepted connection.

        It is a member of ``connections`` while it is open. ``on_open`` is
        called before anything is read. What it buffers counts in ``budget``.
        The ``limits`` replace those given as numbers.
        """
        self._rules = pipeline_rules or PipelineRules()
        self._account = (budget or unlimited_budget()).open_account(
            self._end_for_memory,
            self._rules.request_count * BUFFER_LIMIT_BYTES,
        )
        # Bytes of ``_unparsed`` and of unread answers that are counted.
        self._unparsed_bytes = 0
        self._unread_bytes = 0
        self._on_open = on_open
        self._handler = handler
        self._limits = limits or InputLimits(head_limit_bytes, body_limit_bytes)
        # Those of the request that is being received.
        self._head_limit_bytes = self._limits.head_bytes
        self._body_limit_bytes = self._limits.body_bytes
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._peer_host = ''
        # The request that is being received, and those not answered yet.
        self._request: HttpRequest | None = None
        self._pipeline: deque[PipelinedAnswer] = deque()
        # Input behind the last request that may be read ahead.
        self._unparsed = b''
        self._head_bytes = 0
        self._line_bytes = 0
        self._body_bytes = 0
        self._is_head_done = True
        self._is_head_timed = False
        self._has_body_part = False
        self._is_reading_paused = False
        self._drain_waiter: asyncio.Future[None] | None = None
        self._is_write_paused = False
        self._error: CornelbeamError | None = None
        self._is_discarding = False
        self._is_leaving = False
        self._timer: asyncio.TimerHandle | None = None
        self._timeout_at_s = _NEVER_S
        self.is_closing = False

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timeout."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        peer = transport.get_extra_info('peername')
        self._peer_host = str(peer[0]) if peer else ''
        self._connections.add(self)
        self._set_timeout(IDLE_TIMEOUT_S)
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, received: bytes) -> None:
        """Parse input; refuse a malformed request after earlier answers."""
        if self._error is not None or self._is_discarding:
            return
        self._unparsed += received
        self._parse()

    def _parse(self) -> None:
        unparsed = self._unparsed
        self._unparsed = b''
        start = 0
        while start < len(unparsed) and not self._is_pipeline_full():
            part = unparsed[start : start + self._part_bytes()]
            start += len(part)
            self._feed(part)
            if self._error is not None or self._is_discarding:
                return
        self._unparsed = unparsed[start:]
        self._count_unparsed()
        if self._unparsed:
            self._pause_reading()

    def _count_unparsed(self) -> None:
        added_bytes = len(self._unparsed) - self._unparsed_bytes
        if added_bytes:
            self._unparsed_bytes += added_bytes
            self._account.add(added_bytes)

    def _part_bytes(self) -> int:
        """Return how much to parse at once.

        A part that exceeded the body would start the next requests, whether
        the pipeline is full or not.
        """
        request = self._request
        if request is None or not self._is_in_body():
            return _HEAD_PART_BYTES
        length = fields.find(request.headers, b'content-length')
        if length is None:
            return _CHUNKED_PART_BYTES
        # Malformed requests may state a length and have no body.
        left_bytes = max(1, int(length) - self._body_bytes)
        return min(_BODY_PART_BYTES, left_bytes)

    def _is_pipeline_full(self) -> bool:
        excess_count = len(self._pipeline) - self._rules.request_count
        if self._is_in_body():
            # The part with the end of a chunked body started it too early.
            return excess_count > 0
        return excess_count >= 0

    def _is_in_body(self) -> bool:
        request = self._request
        if request is None or request.body.is_complete:
            return False
        return self._is_head_done

    def _feed(self, received: bytes) -> None:
        self._has_body_part = False
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            # The upgrade is ignored (RFC 9110, section 7.8), but the parser
            # cannot continue after it.
            self._is_discarding = True
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, CornelbeamError):
                raise
            self._refuse(cause)
        except httptools.HttpParserError as error:
            self._refuse(malformed(str(error)))
        else:
            self._check_unfinished_line(received)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the work for the disconnected caller."""
        self._connections.discard(self)
        self.is_closing = True
        self._account.close()
        if self._is_reading_paused:
            self._is_reading_paused = False
            self._account.note_paused(-1)
        if self._timer is not None:
            self._timer.cancel()
        self.resume_writing()
        if self._request is not None:
            self._request.body.fail(malformed('the caller disconnected'))
        self._cancel_answers()

    def pause_writing(self) -> None:
        """Make ``drain`` wait."""
        self._is_write_paused = True
        assert self._transport is not None  # noqa: S101
        self._unread_bytes = self._transport.get_write_buffer_size()
        self._account.allow_refusal()
        # Last, as it may end this connection.
        self._account.add(self._unread_bytes)

    def resume_writing(self) -> None:
        """Let ``drain`` return."""
        self._is_write_paused = False
        self._account.subtract(self._unread_bytes)
        self._unread_bytes = 0
        if not self._is_in_body():
            self._account.forbid_refusal()
        waiter = self._drain_waiter
        self._drain_waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
        self._start_ready()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start receiving a request."""
        self._request = HttpRequest(
            BodyBuffer(self._on_consumed, self._account)
        )
        self._request.peer_host = self._peer_host
        self._head_limit_bytes = self._limits.head_bytes
        self._body_limit_bytes = self._limits.body_bytes
        self._is_head_done = False
        self._is_head_timed = False
        self._head_bytes = 0
        self._line_bytes = 0
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may arrive in pieces."""
        assert self._request is not None  # noqa: S101
        self._request.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field; ignore trailer fields.

        A trailer field must not take effect as a header field (RFC 9110,
        section 6.5.1): it could set another length or deadline.
        """
        assert self._request is not None  # noqa: S101
        self._count_head(len(name) + len(value) + _LINE_OVERHEAD_BYTES)
        if not self._is_head_done:
            self._request.headers += (name.lower(), value)

    def on_headers_complete(self) -> None:
        """Handle the request, or queue it behind earlier ones."""
        request = self._request
        assert request is not None  # noqa: S101
        self._is_head_done = True
        self._timeout_at_s = _NEVER_S
        request.method = self._parser.get_method()
        request.version = self._parser.get_http_version()
        is_upgrade = self._parser.should_upgrade()
        request.is_keep_alive = (
            self._parser.should_keep_alive() and not is_upgrade
        )
        check_head(request, is_upgrade=is_upgrade)
        request.received_s = self._loop.time()
        self._pipeline.append(PipelinedAnswer(self, request, self._account))
        self._start_ready()

    def on_body(self, content: bytes) -> None:
        """Buffer a part of the body; pause reading when the buffer is full."""
        assert self._request is not None  # noqa: S101
        self._has_body_part = True
        self._head_bytes = 0
        self._body_bytes += len(content)
        if self._body_bytes > self._body_limit_bytes:
            raise CornelbeamError(
                ErrorCode.BODY_TOO_LARGE,
                'request body',
                detail=f'more than {self._body_limit_bytes} bytes',
            )
        if self._error is not None:
            return
        self._account.allow_refusal()
        self._request.body.feed(content)
        if not self._may_read():
            self._pause_reading()

    def on_message_complete(self) -> None:
        """Mark the body as complete."""
        assert self._request is not None  # noqa: S101
        if self._error is not None:
            return
        self._request.body.finish()
        if not self._is_write_paused:
            self._account.forbid_refusal()
        self._start_ready()

    # Called by the responder and the application.

    def write(self, content: bytes) -> None:
        """Write bytes; do nothing on a closed connection."""
        if self._transport is not None and not self.is_closing:
            self._transport.write(content)

    async def drain(self) -> None:
        """Wait until the write buffer has room.

        Raise ``answer_truncated`` when the caller does not read enough within
        ``WRITE_TIMEOUT_S``; the connection must then be aborted.
        """
        if not self._is_write_paused:
            return
        self._drain_waiter = self._loop.create_future()
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self._drain_waiter
        except TimeoutError as error:
            raise truncated_answer(
                'the caller does not read the answer'
            ) from error

    def abort(self) -> None:
        """Close at once, discarding unsent bytes."""
        self.is_closing = True
        if self._transport is not None:
            self._transport.abort()

    def close_when_idle(self) -> None:
        """Close now if no request is in progress, else after its answer."""
        self._is_leaving = True
        started = [each for each in self._pipeline if each.task is not None]
        if started:
            # What follows it has not been passed on, so callers send it again.
            started[-1].request.is_keep_alive = False
            return
        self.is_closing = True
        if self._transport is not None:
            self._transport.close()

    # Internal.

    def _start_ready(self) -> None:
        """Start the first request, and those that may run beside it."""
        if self.is_closing or self._is_write_paused or self._is_leaving:
            return
        may_overlap = self._rules.may_overlap
        first_ones = islice(self._pipeline, self._rules.request_count)
        for position, answer in enumerate(first_ones):
            if answer.task is None:
                if position and not self._may_run_ahead(answer):
                    return
                self._start(answer)
            if position:
                continue
            answer.take_turn()
            if len(self._pipeline) == 1 or not may_overlap(answer.request):
                return

    def _may_run_ahead(self, answer: PipelinedAnswer) -> bool:
        """Return whether a request may run ahead; reserve its memory if so."""
        if not self._rules.may_overlap(answer.request):
            return False
        if not self._account.may_read_ahead:
            return False
        answer.reserve()
        return True

    def _start(self, answer: PipelinedAnswer) -> None:
        if is_awaiting_continue(answer.request):
            # Sent only now: earlier, it would get into the previous answer.
            self.write(_CONTINUE)
        answer.task = self._loop.create_task(self._run(answer))

    async def _run(self, answer: PipelinedAnswer) -> None:
        request = answer.request
        try:
            await self._handler(request, Responder(answer, request))
            # The next request waits until the caller has read this answer.
            await answer.wait_turn()
        except CornelbeamError:
            answer.abort()
        except Exception as error:
            # Otherwise the next answer would be taken for this one.
            _log.error('request failed', problem=repr(error))
            answer.abort()
        finally:
            answer.is_done = True
            self._finish_answers()

    def _finish_answers(self) -> None:
        if self.is_closing or self._transport is None:
            return
        while self._pipeline and self._pipeline[0].is_done:
            request = self._pipeline.popleft().request
            request.body.drop()
            if not (request.body.is_complete and request.is_keep_alive):
                self._end(is_input_left=not request.body.is_complete)
                return
            if self._pipeline:
                self._pipeline[0].take_turn()
        self._continue_reading()

    def _end(self, *, is_input_left: bool) -> None:
        """Close behind an answer; what follows it counts as not read."""
        assert self._transport is not None  # noqa: S101
        self._cancel_answers()
        self._unparsed = b''
        self.is_closing = True
        if is_input_left:
            # The rest of an unread body would be parsed as a request.
            self._lingering_close()
        else:
            self._transport.close()

    def _cancel_answers(self) -> None:
        for answer in self._pipeline:
            if answer.task is not None:
                answer.task.cancel()
            # Not left to the garbage collector, which runs rarely.
            answer.request.body.drop()
            answer.release()
        self._pipeline.clear()

    def _continue_reading(self) -> None:
        self._start_ready()
        if self._unparsed:
            self._parse()
        if self._is_discarding:
            return
        if self._error is not None:
            if not self._pipeline:
                self._send_error(self._error)
            return
        if self._is_head_done and not self._pipeline:
            self._set_timeout(IDLE_TIMEOUT_S)
        self._resume_reading()

    def _lingering_close(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._is_discarding = True
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._set_timeout(DISCARD_S)
        self._resume_reading()

    def _set_timeout(self, timeout_s: float) -> None:
        self._timeout_at_s = self._loop.time() + timeout_s
        # Most timeouts never expire, so a later one does not replace the
        # timer: ``_on_timer`` sets it again if it fires too early.
        if self._timer is not None and self._timer.when() > self._timeout_at_s:
            self._timer.cancel()
            self._timer = None
        if self._timer is None:
            self._timer = self._loop.call_at(self._timeout_at_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        timeout_at_s = self._timeout_at_s
        if timeout_at_s > self._loop.time():
            if timeout_at_s != _NEVER_S:
                self._timer = self._loop.call_at(timeout_at_s, self._on_timer)
            return
        self._timeout_at_s = _NEVER_S
        if self._unparsed:
            # The rest of the head is here, but it is not its turn yet.
            self._set_timeout(HEAD_TIMEOUT_S)
            return
        if self._is_head_done or self._is_discarding:
            if self._transport is not None:
                self._transport.close()
            return
        self._refuse(
            CornelbeamError(
                ErrorCode.DEADLINE_PASSED,
                'request head',
                detail=f'the head is not complete after {HEAD_TIMEOUT_S} s',
            ),
        )

    def _refuse(self, error: CornelbeamError) -> None:
        self._error = error
        self._pause_reading()
        if self._request is not None and not self._request.body.is_complete:
            self._request.body.fail(error)
        if not self._pipeline:
            self._send_error(error)

    def _end_for_memory(self) -> None:
        """Refuse the request that is being read.

        The connection is closed if its answers are not read, or if earlier
        requests hold memory too.
        """
        request = self._request
        is_alone = len(self._pipeline) == 1
        if self._is_write_paused or request is None or not is_alone:
            _log.info(
                'connection closed, memory for buffers used up',
                buffered_bytes=self._account.used_bytes,
                unanswered_count=len(self._pipeline),
                is_answer_unread=self._is_write_paused,
            )
            self._account.close()
            self.abort()
            return
        request.is_keep_alive = False
        request.body.drop()
        self._refuse(
            CornelbeamError(
                ErrorCode.OVERLOADED,
                'request body',
                detail='the memory for bodies is used up',
            ),
        )

    def _send_error(self, error: CornelbeamError) -> None:
        assert self._transport is not None  # noqa: S101
        request = HttpRequest(BodyBuffer())
        request.is_keep_alive = False
        send_error(Responder(self, request), error)
        self._lingering_close()

    def _head_too_large(self) -> CornelbeamError:
        return CornelbeamError(
            ErrorCode.HEAD_TOO_LARGE,
            'request head',
            detail=f'more than {self._head_limit_bytes} bytes',
        )

    def _count_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._head_bytes > self._head_limit_bytes:
            raise self._head_too_large()

    def _check_unfinished_line(self, received: bytes) -> None:
        """Enforce head limit and head timeout on an incomplete line.

        The parser reports a header field only when its line is complete.
        """
        if self._is_head_done and self._has_body_part:
            return
        request = self._request
        if request is None or request.body.is_complete:
            return
        rest_bytes = len(received) - received.rfind(b'\n') - 1
        if rest_bytes == len(received):
            rest_bytes += self._line_bytes
        self._line_bytes = rest_bytes
        if self._head_bytes + rest_bytes > self._head_limit_bytes:
            self._refuse(self._head_too_large())
        elif not (self._is_head_done or self._is_head_timed):
            self._is_head_timed = True
            self._set_timeout(HEAD_TIMEOUT_S)

    def _pause_reading(self) -> None:
        if not self._is_reading_paused and self._transport is not None:
            self._is_reading_paused = True
            self._account.note_paused(1)
            self._transport.pause_reading()

    def _may_read(self) -> bool:
        """Return whether more input may be buffered.

        The request in turn is read on, as those behind it wait for it.
        """
        if self._unparsed:
            return False
        request = self._request
        if request is not None and request.body.is_full:
            return False
        is_behind = len(self._pipeline) > self._is_in_body()
        return not is_behind or self._account.may_read_ahead

    def _resume_reading(self) -> None:
        if not (self._is_discarding or self._may_read()):
            return
        if self._is_reading_paused and self._transport is not None:
            self._is_reading_paused = False
            self._account.note_paused(-1)
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def _on_consumed(self, size_bytes: int) -> None:
        if self._error is None:
            self._resume_reading()
