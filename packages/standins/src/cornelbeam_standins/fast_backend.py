"""Minimal fast backend server for measurements of latency.

The ASGI server of the other stand-ins costs about 0.5 ms per call, which is
as much as the balancer may add.
"""

import asyncio
from typing import Final, cast, final

import httptools

from cornelbeam_standins.asgi import announce

_BACKLOG: Final = 4_096


@final
class FastBackendProtocol(asyncio.Protocol):
    """Answers each whole request of one connection with the same bytes."""

    __slots__ = ('_answer', '_parser', '_transport')

    def __init__(self, answer: bytes) -> None:
        """Keep the answer; the parser is the connection's own."""
        self._answer = answer
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast('asyncio.Transport', transport)

    def data_received(self, data: bytes) -> None:
        """Parse; a malformed request closes the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._transport is not None:
                self._transport.close()

    def on_message_complete(self) -> None:
        """Answer; called by the parser."""
        if self._transport is not None:
            self._transport.write(self._answer)


async def serve_fast(port: int, body_bytes: int) -> None:
    """Serve on loopback until cancelled; print the port first."""
    body = b'x' * body_bytes
    answer = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s' % (
        body_bytes,
        body,
    )
    server = await asyncio.get_running_loop().create_server(
        lambda: FastBackendProtocol(answer),
        '127.0.0.1',
        port,
        backlog=_BACKLOG,
    )
    announce(server.sockets[0].getsockname()[1])
    await server.serve_forever()
