"""HTTP/1.1 client connection to the local backend server."""

import asyncio
import select
from collections.abc import Callable
from typing import Final, final

import httptools
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.bodies import (
    BUFFER_LIMIT_BYTES,
    BodyBuffer,
    BodyReader,
)
from cornelbeam_daemon.memory_budget import MemoryAccount

_MIN_STATUS: Final = 100
_MIN_FINAL_STATUS: Final = 200
_MAX_STATUS: Final = 599
_CLOSED: Final = 'the backend server closed the connection'
# The head of an answer and a body part must fit into one frame between daemons.
HEAD_LIMIT_BYTES: Final = 65_536
# Answers of other requests are skipped up to the size of one buffered answer: a
# server that sends more of them may never send the expected one.
SKIPPED_LIMIT_BYTES: Final = HEAD_LIMIT_BYTES + BUFFER_LIMIT_BYTES
# A full backend server refuses a request once it has read the head. The part of
# a body that is not kept for another one waits this long for the refusal.
REFUSAL_WAIT_S: Final = 0.02
# Bytes of a header line in addition to name and value.
_LINE_OVERHEAD_BYTES: Final = 4


@final
class BackendAnswer:
    """Status, header fields and streaming body of a backend server's answer."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(self, status: int, headers: list[bytes], body: BodyBuffer):
        """Create an answer whose body may still arrive."""
        self.status = status
        self.headers = headers
        self.body = body


@final
class BackendConnection(asyncio.Protocol):
    """Connection to the backend server that carries one request at a time."""

    def __init__(self, account: MemoryAccount | None = None) -> None:
        """Create an unconnected protocol for ``create_connection``.

        The bodies of answers are counted in ``account``.
        """
        self._account = account
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[bytes] = []
        self._head_bytes = 0
        # Bytes received since the request or the last part of the body.
        self._framing_bytes = 0
        # True if the current read brought the head or a part of the body.
        self._has_progress = False
        self._sender: asyncio.Task[None] | None = None
        # True while no answer is expected: any input is then an error.
        self._is_answered = True
        self._is_aborted = False
        self._is_own_answer: Callable[[list[bytes]], bool] | None = None
        self._is_skipping = False
        self._has_skipped = False
        self._body: BodyBuffer | None = None
        self._head: asyncio.Future[BackendAnswer] | None = None
        self._is_head_request = False
        self._is_read_paused = False
        self._is_write_paused = False
        self._drain_waiter: asyncio.Future[None] | None = None
        self.is_reusable = False
        self.is_closed = False
        self.is_reused = False
        self.has_no_answer_bytes = True
        self.idle_since_s: float = 0
        # Attempts that were refused over this connection. A refusal that the
        # server sends once more can't be told from one of a later request with
        # the same id.
        self.refused_attempts: set[bytes | None] = set()

    @property
    def is_stale(self) -> bool:
        """Return whether the server probably closed it before the request.

        A reused connection that ends without a single byte of an answer was
        most likely, but not certainly, closed while it was idle.
        """
        return self.is_closed and self.is_reused and self.has_no_answer_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        """Parse a part of the answer.

        Close the connection on unsolicited bytes, which would otherwise be
        taken for the answer to the next request.
        """
        if self._is_answered:
            self.close()
            return
        self.has_no_answer_bytes = False
        self._has_progress = False
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self._fail(
                ErrorCode.BACKEND_FAILED,
                'the backend server switched protocols',
            )
            self.close()
        except httptools.HttpParserError as error:
            self._fail(_failure_code(self._body), f'malformed answer: {error}')
            self.close()
        else:
            self._check_size(len(received))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request, or finish a body that ends by close."""
        self.is_closed = True
        self.is_reusable = False
        self.resume_writing()
        if self._body is None:
            self._fail(ErrorCode.BACKEND_FAILED, _CLOSED)
        elif exc is None and not self._is_aborted and self._ends_by_close():
            # RFC 9112, section 6.3: without a length the body ends here.
            self._body.finish()
        else:
            self._fail(ErrorCode.ANSWER_TRUNCATED, _CLOSED)

    def pause_writing(self) -> None:
        """Suspend sending of the request body."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Resume sending of the request body."""
        self._is_write_paused = False
        waiter = self._drain_waiter
        self._drain_waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def on_message_begin(self) -> None:
        """Start parsing an answer; an unsolicited one prevents reuse."""
        if self._is_answered:
            self.is_reusable = False
            return
        self._headers = []
        self._head_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field; ignore trailer fields."""
        if self._body is None:
            self._headers += (name.lower(), value)
            self._count_head(len(name) + len(value) + _LINE_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """Deliver the head of the final answer; ignore informational ones."""
        status = self._parser.get_status_code()
        if not _MIN_STATUS <= status <= _MAX_STATUS:
            # RFC 9110, section 15: it has no defined meaning.
            self._fail(_failure_code(self._body), f'status {status}')
            self.close()
            return
        if status < _MIN_FINAL_STATUS or self._is_answered:
            return
        if self._is_own_answer is not None and not self._is_own_answer(
            self._headers
        ):
            self._skip_answer()
            return
        assert self._head is not None  # noqa: S101
        self._body = BodyBuffer(self._on_consumed, self._account)
        self._has_progress = True
        if not self._head.done():
            self._head.set_result(
                BackendAnswer(status, self._headers, self._body),
            )
        if self._is_head_request:
            # The parser would wait for a body of the announced length, so the
            # connection can't be reused.
            self._is_answered = True
            self._body.finish()

    def on_body(self, content: bytes) -> None:
        """Buffer a part of the body; pause reading when the buffer is full."""
        if self._body is None or self._is_answered:
            return
        self._has_progress = True
        self._body.feed(content)
        if self._body.is_full and self._transport:
            self._is_read_paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Mark the body as complete."""
        if self._is_skipping:
            # The answer to this connection's own request may still follow.
            self._is_skipping = False
            return
        if self._body is None or self._is_answered:
            return
        self._is_answered = True
        self.is_reusable = (
            self._parser.should_keep_alive() and not self._has_skipped
        )
        self._body.finish()

    async def exchange(
        self,
        head: bytes,
        reader: BodyReader,
        first_part: bytes,
        *,
        is_complete: bool,
        is_chunked: bool,
        is_head_request: bool,
        length_bytes: int | None = None,
        is_own_answer: Callable[[list[bytes]], bool] | None = None,
    ) -> BackendAnswer:
        """Send a request and wait for the head of the answer.

        ``length_bytes`` is the announced length of the body. Answers whose
        header fields ``is_own_answer`` rejects belong to another request: they
        are skipped, and the connection is not reused. Raise
        ``backend_failed`` with run state ``UNKNOWN`` when the connection
        breaks after the first byte was sent.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._body = None
        self._head = self._loop.create_future()
        self._is_head_request = is_head_request
        self._is_own_answer = is_own_answer
        self._is_answered = False
        self._framing_bytes = 0
        self.is_reusable = False
        self.has_no_answer_bytes = True
        assert self._transport is not None  # noqa: S101
        sent_bytes = len(first_part)
        if is_chunked and first_part:
            first_part = _chunk(first_part)
        self._transport.write(head + first_part)
        if is_complete and is_chunked:
            self._transport.write(b'0\r\n\r\n')
        elif not is_complete:
            left_bytes = None
            if length_bytes is not None:
                left_bytes = length_bytes - sent_bytes
            self._sender = self._loop.create_task(
                self._send_body(reader, is_chunked, left_bytes),
            )
        elif length_bytes not in {None, sent_bytes}:
            self._abort_request_body(
                'the body length differs from content-length'
            )
        return await self._head

    def close(self) -> None:
        """Abort the connection, which also cancels the request."""
        self.is_reusable = False
        self._is_aborted = True
        if self._sender is not None:
            self._sender.cancel()
        if self._transport is not None:
            self._transport.abort()

    def drop_answer(self) -> None:
        """Drop the body of an answer that is not passed on."""
        if self._body is not None:
            self._body.drop()

    def can_be_reused(self) -> bool:
        """Return whether the connection can carry another request.

        The rest of an unfinished request body would be sent ahead of the next
        request, and a paused connection may hold unread bytes.
        """
        is_sent = self._sender is None or self._sender.done()
        return (
            self.is_reusable
            and is_sent
            and not self.is_closed
            and not self._is_read_paused
        )

    def has_input(self) -> bool:
        """Return whether bytes or an end of file wait to be read."""
        if self._transport is None:
            return True
        poll = select.poll()
        poll.register(self._transport.get_extra_info('socket'), select.POLLIN)
        return bool(poll.poll(0))

    async def _send_body(
        self,
        reader: BodyReader,
        is_chunked: bool,
        left_bytes: int | None,
    ) -> None:
        has_waited = False
        try:
            while True:
                if reader.is_next_dropped and not has_waited:
                    has_waited = True
                    await asyncio.sleep(REFUSAL_WAIT_S)
                part = await reader.read()
                if not part or self.is_closed:
                    break
                if left_bytes is not None:
                    left_bytes -= len(part)
                self._write(_chunk(part) if is_chunked else part)
                await self._drain()
                if self.is_closed:
                    # Another connection may need the parts that follow.
                    return
        except CornelbeamError as error:
            # Abort, so that the backend server can't take the partial body for
            # a complete one. It may have acted on the part already.
            self._abort_request_body(error.detail, error.code)
            return
        if left_bytes:
            self._abort_request_body(
                'the body length differs from content-length'
            )
        elif is_chunked:
            self._write(b'0\r\n\r\n')

    def _abort_request_body(
        self,
        detail: str,
        code: ErrorCode = ErrorCode.PROTOCOL_VIOLATION,
    ) -> None:
        self._fail(code, detail, 'request body')
        self.close()

    def _write(self, content: bytes) -> None:
        if self._transport is not None and not self.is_closed:
            self._transport.write(content)

    async def _drain(self) -> None:
        if self._is_write_paused and not self.is_closed:
            self._drain_waiter = self._loop.create_future()
            await self._drain_waiter

    def _on_consumed(self, size_bytes: int) -> None:
        if self._is_read_paused and not self.is_closed and self._transport:
            self._is_read_paused = False
            self._transport.resume_reading()

    def _count_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._head_bytes > HEAD_LIMIT_BYTES:
            self._fail(_failure_code(self._body), 'the head is too large')
            self.close()

    def _skip_answer(self) -> None:
        self._is_skipping = True
        self._has_skipped = True
        if not self._parser.should_keep_alive():
            # The connection ends with this answer.
            self._fail(ErrorCode.BACKEND_FAILED, 'only a foreign answer')
            self.close()

    def _check_size(self, size_bytes: int) -> None:
        """Enforce the limit on bytes ahead of the head or between body parts.

        The parser reports a header field only when its line is complete, and
        blank lines, chunk sizes and chunk extensions not at all.
        """
        if self._has_progress or self._is_answered:
            self._framing_bytes = 0
            return
        limit_bytes = HEAD_LIMIT_BYTES
        if self._has_skipped and self._body is None:
            limit_bytes = SKIPPED_LIMIT_BYTES
        self._framing_bytes += size_bytes
        if self._framing_bytes > limit_bytes:
            self._fail(_failure_code(self._body), 'too much outside of a body')
            self.close()

    def _ends_by_close(self) -> bool:
        return (
            fields.find(self._headers, b'content-length') is None
            and fields.find(self._headers, b'transfer-encoding') is None
        )

    def _fail(
        self,
        code: ErrorCode,
        detail: str,
        step: str = 'backend answer',
    ) -> None:
        error = CornelbeamError(
            code,
            step,
            detail=detail,
            run_state=RunState.UNKNOWN,
        )
        if self._body is not None:
            self._body.fail(error)
        elif self._head is not None and not self._head.done():
            self._head.set_exception(error)


def _failure_code(body: BodyBuffer | None) -> ErrorCode:
    if body is None:
        return ErrorCode.BACKEND_FAILED
    return ErrorCode.ANSWER_TRUNCATED


def _chunk(part: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(part), part)
