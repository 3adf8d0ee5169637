"""HTTP/1.1 server for callers, with parsing by httptools."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
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
_VERSIONS: Final = frozenset(('1.0', '1.1'))
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_MAX_PIPELINED: Final = 16
_NEVER_S: Final = float('inf')


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
    ) -> None:
        """Create the protocol for one accepted connection.

        It is a member of ``connections`` while it is open. ``on_open`` is
        called before anything is read.
        """
        self._on_open = on_open
        self._handler = handler
        self._head_limit_bytes = head_limit_bytes
        self._body_limit_bytes = body_limit_bytes
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._peer_host = ''
        # The request that is being received, and the one being answered.
        self._request: HttpRequest | None = None
        self._answering: HttpRequest | None = None
        self._waiting: deque[HttpRequest] = deque()
        self._task: asyncio.Task[None] | None = None
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
        if self._timer is not None:
            self._timer.cancel()
        self.resume_writing()
        if self._request is not None:
            self._request.body.fail(malformed('the caller disconnected'))
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make ``drain`` wait."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Let ``drain`` return."""
        self._is_write_paused = False
        waiter = self._drain_waiter
        self._drain_waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start receiving a request."""
        self._request = HttpRequest(BodyBuffer(self._on_consumed))
        self._request.peer_host = self._peer_host
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
        _check_head(request, is_upgrade=is_upgrade)
        if len(self._waiting) >= _MAX_PIPELINED:
            raise malformed('too many pipelined requests')
        self._waiting.append(request)
        if self._task is None:
            self._start_next()

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
        body = self._request.body
        body.feed(content)
        if body.size_bytes > BUFFER_LIMIT_BYTES:
            self._pause_reading()

    def on_message_complete(self) -> None:
        """Mark the body as complete."""
        assert self._request is not None  # noqa: S101
        self._request.body.finish()

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
        if self._task is None:
            self.is_closing = True
            if self._transport is not None:
                self._transport.close()
        elif self._answering is not None and not self._waiting:
            self._answering.is_keep_alive = False

    # Internal.

    def _start_next(self) -> None:
        request = self._waiting.popleft()
        self._answering = request
        if self._is_leaving and not self._waiting:
            request.is_keep_alive = False
        if _is_awaiting_continue(request):
            # Sent only now: earlier, it would get into the previous answer.
            self.write(_CONTINUE)
        responder = Responder(self, request)
        self._task = self._loop.create_task(self._run(request, responder))

    async def _run(self, request: HttpRequest, responder: Responder) -> None:
        try:
            await self._handler(request, responder)
            # The next request waits until the caller has read this answer.
            await self.drain()
        except CornelbeamError:
            self.abort()
        except Exception as error:
            # Otherwise the next answer would be taken for this one.
            _log.error('request failed', problem=repr(error))
            self.abort()
        finally:
            self._task = None
            self._finish_answer(request)

    def _finish_answer(self, request: HttpRequest) -> None:
        if self.is_closing or self._transport is None:
            return
        if request.body.is_complete and request.is_keep_alive:
            self._start_next_or_idle()
        elif request.body.is_complete:
            self._transport.close()
        else:
            # The rest of an unread body would be parsed as the next request.
            self._lingering_close()

    def _start_next_or_idle(self) -> None:
        if self._waiting:
            self._start_next()
        elif self._error is None:
            if self._is_head_done:
                self._set_timeout(IDLE_TIMEOUT_S)
            self._resume_reading()
        else:
            self._send_error(self._error)

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
        if self._task is None:
            self._send_error(error)

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
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_reading_paused and self._transport is not None:
            self._is_reading_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def _on_consumed(self, size_bytes: int) -> None:
        if self._error is None:
            self._resume_reading()


def _check_head(request: HttpRequest, *, is_upgrade: bool) -> None:
    """Refuse ambiguous heads (RFC 9112, sections 3.2 and 6.1).

    Another parser could read them as a different request.
    """
    headers = request.headers
    if request.version not in _VERSIONS:
        raise malformed(f'HTTP/{request.version} is not supported')
    if headers[::2].count(b'host') > 1:
        raise malformed('there are several Host headers')
    encoding = fields.find(headers, b'transfer-encoding')
    if encoding is not None and encoding.strip().lower() != b'chunked':
        raise malformed('chunked is the only supported transfer coding')
    if encoding is not None and request.version != '1.1':
        raise malformed('HTTP/1.0 has no transfer codings')
    length = fields.find(headers, b'content-length') or b'0'
    if is_upgrade and (encoding is not None or length.strip(b'0')):
        # The parser reports no body for a request with an upgrade.
        raise malformed('a request with an upgrade must not have a body')


def _is_awaiting_continue(request: HttpRequest) -> bool:
    return (
        fields.find(request.headers, b'expect') is not None
        and request.version == '1.1'
        and not request.body.is_complete
        and not request.body.size_bytes
    )
