"""HTTP requests of callers and the answers to them."""

import asyncio
import re
from http import HTTPStatus
from typing import Final, Protocol, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.bodies import BodyBuffer

BODILESS_STATUSES: Final = frozenset((204, 304))
_UNPRINTABLE: Final = re.compile('[^ -~]')
_PHRASES: Final = {status.value: status.phrase for status in HTTPStatus}


class AnswerWriter(Protocol):
    """Connection that an answer is written to."""

    def write(self, content: bytes) -> None:
        """Write bytes; do nothing on a closed connection."""

    async def drain(self) -> None:
        """Wait until the write buffer has room."""

    def abort(self) -> None:
        """Close at once, discarding unsent bytes."""


@final
class HttpRequest:
    """HTTP request whose body may still be arriving."""

    __slots__ = (
        'body',
        'headers',
        'is_keep_alive',
        'method',
        'peer_host',
        'received_s',
        'target',
        'version',
    )

    def __init__(self, body: BodyBuffer) -> None:
        """Create a request with an empty head."""
        self.method = b''
        self.target = b''
        self.version = ''
        self.peer_host = ''
        # Time of the event loop at which the head was complete.
        self.received_s = asyncio.get_running_loop().time()
        self.headers: list[bytes] = []
        self.is_keep_alive = True
        self.body = body


def read_number(
    headers: list[bytes],
    name: bytes,
    default: int,
    max_digits: int,
) -> int:
    """Return a header field as a whole number, ``default`` if it is missing.

    Raise ``malformed_request`` for anything but digits, and for more than
    ``max_digits`` of them, as parsing a huge number is expensive.
    """
    value = fields.find(headers, name)
    if value is None:
        return default
    if not value.isdigit() or len(value) > max_digits:
        raise malformed(f'{name.decode()} is not a valid number')
    return int(value)


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
        connection: AnswerWriter,
        request: HttpRequest,
    ) -> None:
        """Prepare to answer ``request`` without writing anything."""
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
        """Write an answer whose whole body is known."""
        self.is_started = True
        head = self._head(status, headers, str(len(content)).encode())
        if self._request.method == b'HEAD' or status in BODILESS_STATUSES:
            content = b''
        self._connection.write(head + content)

    def start(self, status: int, headers: list[bytes]) -> None:
        """Write the head of an answer whose body follows in parts.

        A ``content-length`` in ``headers`` is kept and enforced. Without one,
        the body is sent in chunks, or ends with the connection for HTTP/1.0.
        """
        self.is_started = True
        length = fields.find(headers, b'content-length')
        if self._request.method == b'HEAD' or status in BODILESS_STATUSES:
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
        """Write a part of the body; wait while the caller reads slowly.

        Raise ``answer_truncated`` instead of writing a part that exceeds the
        announced length, as the caller would take it for the next answer.
        """
        if self._is_chunked:
            content = b'%x\r\n%b\r\n' % (len(content), content)
        elif self._remaining_bytes is not None:
            self._remaining_bytes -= len(content)
            if self._remaining_bytes < 0:
                raise truncated_answer('the body is longer than announced')
        self._connection.write(content)
        await self._connection.drain()

    def finish(self) -> None:
        """End the body.

        Raise ``answer_truncated`` when it is shorter than the announced
        length; the connection must then be aborted.
        """
        if self._is_chunked:
            self._connection.write(b'0\r\n\r\n')
        elif self._remaining_bytes:
            raise truncated_answer('the body is shorter than announced')

    def abort(self) -> None:
        """Close the connection so that the caller sees a truncated answer."""
        self._connection.abort()

    def _head(
        self,
        status: int,
        headers: list[bytes],
        length: bytes | None,
    ) -> bytes:
        lines = [
            f'HTTP/1.1 {status} {_PHRASES.get(status, "Unknown")}'.encode(),
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


def send_error(responder: Responder, error: CornelbeamError) -> None:
    """Answer with the code, run state, step and peer of an error."""
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
        _to_printable(error.step),
        b'cornelbeam-peer',
        _to_printable(error.peer),
    ]
    if error.retry_after_ms:
        # Retry-After has whole seconds (RFC 9110, section 10.2.3).
        seconds = -(-error.retry_after_ms // 1000)
        headers += (b'retry-after', str(seconds).encode())
    responder.send_whole(error.http_status, headers, f'{error}\n'.encode())


def _to_printable(text: str) -> bytes:
    # Step and peer may come from another daemon; a line break would let it
    # inject header fields.
    return _UNPRINTABLE.sub('?', text).encode()


def truncated_answer(detail: str) -> CornelbeamError:
    """Return the error for an answer that cannot be forwarded completely."""
    return CornelbeamError(
        ErrorCode.ANSWER_TRUNCATED,
        'answer',
        detail=detail,
        run_state=RunState.RAN,
    )


def malformed(detail: str) -> CornelbeamError:
    """Return the error for an invalid request head."""
    return CornelbeamError(
        ErrorCode.MALFORMED_REQUEST,
        'request head',
        detail=detail,
    )
