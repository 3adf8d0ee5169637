"""HTTP/1.1 server side of the data path, parsed by httptools."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, final

import httptools
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.bodies import BUFFER_LIMIT_BYTES, BodyBuffer

_REASONS: Final = {status.value: status.phrase for status in HTTPStatus}
_BODILESS: Final = frozenset((204, 304))
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_MAX_PIPELINED: Final = 16


@final
class HttpRequest:
    """A request whose head is complete; its body may still arrive."""

    __slots__ = (
        'body',
        'headers',
        'is_keep_alive',
        'method',
        'target',
        'version',
    )

    def __init__(self, body: BodyBuffer) -> None:
        """Start without a head."""
        self.method = b''
        self.target = b''
        self.version = ''
        self.headers: list[bytes] = []
        self.is_keep_alive = True
        self.body = body


Handler = Callable[[HttpRequest, 'Responder'], Awaitable[None]]


@final
class Responder:
    """Writes the answer to one request."""

    __slots__ = (
        '_connection',
        '_is_chunked',
        '_remaining_bytes',
        '_request',
        'is_started',
    )

    def __init__(
        self,
        connection: 'HttpServerConnection',
        request: HttpRequest,
    ) -> None:
        """Prepare; nothing is written."""
        self._connection = connection
        self._request = request
        self._is_chunked = False
        self._remaining_bytes: int | None = None
        self.is_started = False

    def send_whole(
        self,
        status: int,
        headers: list[bytes],
        content: bytes,
    ) -> None:
        """Write an answer whose body is known in one piece."""
        self.is_started = True
        head = self._head(status, headers, str(len(content)).encode())
        if self._request.method == b'HEAD':
            content = b''
        self._connection.write(head + content)

    def start(self, status: int, headers: list[bytes]) -> None:
        """Write the head of an answer that streams.

        A ``content-length`` among the headers is kept and checked; without
        one the body is sent in chunks.
        """
        self.is_started = True
        length = fields.find(headers, b'content-length')
        if self._request.method == b'HEAD' or status in _BODILESS:
            self._remaining_bytes = 0
            self._connection.write(self._head(status, headers, length))
            return
        if length:
            self._remaining_bytes = int(length)
        elif self._request.version == '1.1':
            self._is_chunked = True
            headers = [*headers, b'transfer-encoding', b'chunked']
        else:
            self._request.is_keep_alive = False
        self._connection.write(self._head(status, headers, length))

    async def send(self, content: bytes) -> None:
        """Write a part of the body; wait while the caller reads slowly."""
        if self._is_chunked:
            content = b'%x\r\n%b\r\n' % (len(content), content)
        elif self._remaining_bytes is not None:
            self._remaining_bytes -= len(content)
        self._connection.write(content)
        await self._connection.drain()

    def finish(self) -> None:
        """End the body.

        Raises ``answer_truncated`` when it is shorter or longer than the
        announced length; the connection must then be aborted.
        """
        if self._is_chunked:
            self._connection.write(b'0\r\n\r\n')
        elif self._remaining_bytes:
            raise CornelbeamError(
                ErrorCode.ANSWER_TRUNCATED,
                'answer',
                run_state=RunState.RAN,
            )

    def abort(self) -> None:
        """Close the connection so that the caller sees a broken answer."""
        self._connection.abort()

    def _head(
        self,
        status: int,
        headers: list[bytes],
        length: bytes | None,
    ) -> bytes:
        lines = [
            f'HTTP/1.1 {status} {_REASONS.get(status, "Unknown")}'.encode(),
        ]
        for index in range(0, len(headers), 2):
            if headers[index] != b'content-length':
                lines.append(
                    b'%b: %b' % (headers[index], headers[index + 1]),
                )
        if length is not None and status != HTTPStatus.NO_CONTENT:
            lines.append(b'content-length: %b' % length)
        if not self._request.is_keep_alive:
            lines.append(b'connection: close')
        lines.append(b'\r\n')
        return b'\r\n'.join(lines)


@final
class HttpServerConnection(asyncio.Protocol):
    """One connection of a caller; its requests are answered in order."""

    def __init__(
        self,
        handler: Handler,
        head_limit_bytes: int,
        connections: set['HttpServerConnection'],
    ) -> None:
        """Prepare; the event loop calls ``connection_made``."""
        self._handler = handler
        self._head_limit_bytes = head_limit_bytes
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._request: HttpRequest | None = None
        self._waiting: deque[HttpRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._head_bytes = 0
        self._is_head_done = True
        self._is_reading_paused = False
        self._drain_waiter: asyncio.Future[None] | None = None
        self._is_write_paused = False
        self._error: CornelbeamError | None = None
        self.is_closing = False

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        self._connections.add(self)

    def data_received(self, received: bytes) -> None:
        """Parse; a malformed message is answered after earlier requests."""
        if self._error is not None:
            return
        if not self._is_head_done:
            self._head_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self._refuse(_malformed('the protocol cannot be changed'))
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, CornelbeamError):
                raise
            self._refuse(cause)
        except httptools.HttpParserError as error:
            self._refuse(_malformed(str(error)))
        if not self._is_head_done and self._head_bytes > self._head_limit_bytes:
            self._refuse(self._head_too_large())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the work that nobody waits for any more."""
        self._connections.discard(self)
        self.is_closing = True
        self.resume_writing()
        if self._request is not None:
            self._request.body.fail(_malformed('the caller disconnected'))
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make ``drain`` wait."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Let ``drain`` go on."""
        self._is_write_paused = False
        waiter = self._drain_waiter
        self._drain_waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._request = HttpRequest(BodyBuffer(self._consumed))
        self._is_head_done = False
        self._head_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Take the request target, which may come in pieces."""
        assert self._request is not None  # noqa: S101
        self._request.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header field."""
        assert self._request is not None  # noqa: S101
        self._request.headers += (name.lower(), value)
        self._count_head(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Start the handler, or queue the request behind earlier ones."""
        request = self._request
        assert request is not None  # noqa: S101
        self._is_head_done = True
        request.method = self._parser.get_method()
        request.version = self._parser.get_http_version()
        request.is_keep_alive = self._parser.should_keep_alive()
        if len(self._waiting) >= _MAX_PIPELINED:
            raise _malformed('too many pipelined requests')
        if fields.find(request.headers, b'expect') is not None:
            self.write(_CONTINUE)
        self._waiting.append(request)
        if self._task is None:
            self._start_next()

    def on_body(self, content: bytes) -> None:
        """Buffer a part of the body; stop reading when there is a lot."""
        assert self._request is not None  # noqa: S101
        body = self._request.body
        body.feed(content)
        if body.size_bytes > BUFFER_LIMIT_BYTES:
            self._pause_reading()

    def on_message_complete(self) -> None:
        """Mark the body as whole."""
        assert self._request is not None  # noqa: S101
        self._request.body.finish()

    # Called by the responder and the application.

    def write(self, content: bytes) -> None:
        """Write bytes; nothing happens on a closed connection."""
        if self._transport is not None and not self.is_closing:
            self._transport.write(content)

    async def drain(self) -> None:
        """Wait until the caller has read enough."""
        if self._is_write_paused:
            self._drain_waiter = self._loop.create_future()
            await self._drain_waiter

    def abort(self) -> None:
        """Close at once."""
        self.is_closing = True
        if self._transport is not None:
            self._transport.abort()

    def close_when_idle(self) -> None:
        """Close now if no request is in work, else after its answer."""
        self.is_closing = self._task is None
        if self._task is None and self._transport is not None:
            self._transport.close()

    # Internal.

    def _start_next(self) -> None:
        request = self._waiting.popleft()
        responder = Responder(self, request)
        self._task = self._loop.create_task(self._run(request, responder))

    async def _run(self, request: HttpRequest, responder: Responder) -> None:
        try:
            await self._handler(request, responder)
        finally:
            self._task = None
            self._answered(request)

    def _answered(self, request: HttpRequest) -> None:
        if self.is_closing or self._transport is None:
            return
        # The rest of an unread body would be taken for the next request.
        is_reusable = request.is_keep_alive and request.body.is_complete
        if is_reusable:
            self._go_on()
        else:
            self._transport.close()

    def _go_on(self) -> None:
        if self._waiting:
            self._start_next()
        elif self._error is None:
            self._resume_reading()
        else:
            self._send_error(self._error)

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
        self._transport.close()

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

    def _pause_reading(self) -> None:
        if not self._is_reading_paused and self._transport is not None:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_reading_paused and self._transport is not None:
            self._is_reading_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def _consumed(self, size_bytes: int) -> None:
        if self._error is None:
            self._resume_reading()


def send_error(responder: Responder, error: CornelbeamError) -> None:
    """Answer with code, run state, step and peer of an error."""
    ran = {
        RunState.NOT_RUN: b'no',
        RunState.RAN: b'yes',
    }.get(error.run_state, b'unknown')
    headers = [
        b'content-type',
        b'text/plain; charset=utf-8',
        b'cornelbeam-code',
        error.code.value.encode(),
        b'cornelbeam-ran',
        ran,
        b'cornelbeam-step',
        error.step.encode(),
        b'cornelbeam-peer',
        error.peer.encode(),
    ]
    if error.retry_after_ms:
        # Retry-After has whole seconds (RFC 9110, section 10.2.3).
        seconds = -(-error.retry_after_ms // 1000)
        headers += (b'retry-after', str(seconds).encode())
    responder.send_whole(error.http_status, headers, f'{error}\n'.encode())


def _malformed(detail: str) -> CornelbeamError:
    return CornelbeamError(
        ErrorCode.MALFORMED_REQUEST,
        'request head',
        detail=detail,
    )
