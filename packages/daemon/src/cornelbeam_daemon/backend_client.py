"""HTTP/1.1 client of the backend server beside the daemon."""

import asyncio
from typing import Final, final

import httptools
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.bodies import (
    BUFFER_LIMIT_BYTES,
    BodyBuffer,
    BodyReader,
)

CONNECT_TIMEOUT_S: Final = 1.0
# A backend server may close an idle connection at any time. A request that
# must not repeat is sent only over one that was used within this time, as a
# close that crosses with it would leave its outcome unknown.
FRESH_S: Final = 1.0
_MIN_FINAL_STATUS: Final = 200
_CLOSED: Final = 'the backend server closed the connection'
_BODILESS: Final = frozenset((204, 304))


@final
class BackendAnswer:
    """Status, header fields and streaming body of a backend server's answer."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(self, status: int, headers: list[bytes], body: BodyBuffer):
        """Keep the parts."""
        self.status = status
        self.headers = headers
        self.body = body


@final
class BackendConnection(asyncio.Protocol):
    """One connection to the backend server; one exchange at a time."""

    def __init__(self) -> None:
        """Prepare; the event loop calls ``connection_made``."""
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[bytes] = []
        self._body: BodyBuffer | None = None
        self._head: asyncio.Future[BackendAnswer] | None = None
        self._is_head_request = False
        self._is_read_paused = False
        self._is_write_paused = False
        self._drain_waiter: asyncio.Future[None] | None = None
        self.is_reusable = False
        self.is_closed = False
        self.idle_since_s: float = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        """Parse a part of the answer."""
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self._fail(ErrorCode.BACKEND_FAILED, f'malformed answer: {error}')
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange that waits for an answer."""
        self.is_closed = True
        self.is_reusable = False
        self.resume_writing()
        if self._body is None:
            self._fail(ErrorCode.BACKEND_FAILED, _CLOSED)
        elif self._is_length_by_close():
            # RFC 9112, section 6.3: without a length the body ends here.
            self._body.finish()
        else:
            self._fail(ErrorCode.ANSWER_TRUNCATED, _CLOSED)

    def pause_writing(self) -> None:
        """Make ``send_body`` wait."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Let ``send_body`` go on."""
        self._is_write_paused = False
        waiter = self._drain_waiter
        self._drain_waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header field."""
        self._headers += (name.lower(), value)

    def on_headers_complete(self) -> None:
        """Give the head to whoever waits; informational answers are dropped."""
        status = self._parser.get_status_code()
        if status < _MIN_FINAL_STATUS or self._head is None:
            return
        self._body = BodyBuffer(self._consumed)
        if not self._head.done():
            self._head.set_result(
                BackendAnswer(status, self._headers, self._body),
            )
        if self._is_head_request or status in _BODILESS:
            # The parser would wait for the body that the length announces,
            # so the connection is not used again.
            self._body.finish()
            self.is_reusable = False

    def on_body(self, content: bytes) -> None:
        """Buffer a part of the body; stop reading when there is a lot."""
        if self._body is None:
            return
        self._body.feed(content)
        if self._body.size_bytes > BUFFER_LIMIT_BYTES and self._transport:
            self._is_read_paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Mark the body as whole."""
        if self._body is not None and not self._body.is_complete:
            self.is_reusable = self._parser.should_keep_alive()
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
    ) -> BackendAnswer:
        """Send a request and wait for the head of the answer.

        Raises ``backend_failed`` with run state ``UNKNOWN`` when the
        connection breaks after the first byte was sent.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._body = None
        self._head = self._loop.create_future()
        self._is_head_request = is_head_request
        self.is_reusable = False
        assert self._transport is not None  # noqa: S101
        if is_chunked and first_part:
            first_part = _chunk(first_part)
        self._transport.write(head + first_part)
        if is_complete:
            if is_chunked:
                self._transport.write(b'0\r\n\r\n')
            return await self._head
        sender = asyncio.ensure_future(self._send_body(reader, is_chunked))
        try:
            return await self._head
        finally:
            if not self._head.done() or self._head.cancelled():
                sender.cancel()

    def close(self) -> None:
        """Close at once, which also cancels the request."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    async def _send_body(self, reader: BodyReader, is_chunked: bool) -> None:
        try:
            part = await reader.read()
            while part and not self.is_closed:
                self._write(_chunk(part) if is_chunked else part)
                await self._drain()
                part = await reader.read()
        except CornelbeamError:
            # The caller broke off: the backend server must not take the
            # partial body for a whole one.
            self.close()
            return
        if is_chunked:
            self._write(b'0\r\n\r\n')

    def _write(self, content: bytes) -> None:
        if self._transport is not None and not self.is_closed:
            self._transport.write(content)

    async def _drain(self) -> None:
        if self._is_write_paused and not self.is_closed:
            self._drain_waiter = self._loop.create_future()
            await self._drain_waiter

    def _consumed(self, size_bytes: int) -> None:
        if self._is_read_paused and not self.is_closed and self._transport:
            self._is_read_paused = False
            self._transport.resume_reading()

    def _is_length_by_close(self) -> bool:
        return (
            fields.find(self._headers, b'content-length') is None
            and fields.find(self._headers, b'transfer-encoding') is None
        )

    def _fail(self, code: ErrorCode, detail: str) -> None:
        error = CornelbeamError(
            code,
            'backend answer',
            detail=detail,
            run_state=RunState.UNKNOWN,
        )
        if self._body is not None:
            self._body.fail(error)
        elif self._head is not None and not self._head.done():
            self._head.set_exception(error)


@final
class BackendClient:
    """Connections to the backend server, reused last in, first out."""

    __slots__ = ('_host', '_idle', '_in_use', '_limit', '_port')

    def __init__(self, host: str, port: int, connection_limit: int) -> None:
        """Start without connections."""
        self._host = host
        self._port = port
        self._limit = connection_limit
        self._idle: list[BackendConnection] = []
        self._in_use: set[BackendConnection] = set()

    async def acquire(self, *, is_fresh: bool = False) -> BackendConnection:
        """Give an idle connection or open one.

        ``is_fresh`` passes over connections that were idle for long.

        Raises ``backend_unreachable``: nothing was sent, so the request was
        not run.
        """
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if is_fresh and now_s - connection.idle_since_s > FRESH_S:
                # The others are older: connections are reused last in, first
                # out.
                self._idle.append(connection)
                break
            if not connection.is_closed:
                self._in_use.add(connection)
                return connection
        if len(self._in_use) >= self._limit:
            raise _unreachable(f'all {self._limit} connections are in use')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, opened = await asyncio.get_running_loop().create_connection(
                    BackendConnection,
                    self._host,
                    self._port,
                )
        except OSError as error:
            raise _unreachable(str(error)) from error
        self._in_use.add(opened)
        return opened

    def release(self, connection: BackendConnection) -> None:
        """Take a connection back; one with an unfinished answer is closed."""
        self._in_use.discard(connection)
        if connection.is_reusable and not connection.is_closed:
            connection.idle_since_s = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()


def _chunk(part: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(part), part)


def _unreachable(detail: str) -> CornelbeamError:
    return CornelbeamError(
        ErrorCode.BACKEND_UNREACHABLE,
        'backend connection',
        detail=detail,
    )
