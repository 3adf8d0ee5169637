"""Minimal backend server for latency measurements.

The ASGI server of the other stand-ins takes about 0.5 ms per call, which is as
much latency as the load balancer may add.
"""

import asyncio
from typing import Final, cast, final

import httptools

from cornelbeam_standins.asgi import announce

_BACKLOG: Final = 4_096


@final
class FastBackendProtocol(asyncio.Protocol):
    """Connection that answers each complete request with the same bytes."""

    __slots__ = ('_answer', '_parser', '_transport')

    def __init__(self, answer: bytes) -> None:
        """Initialize with the bytes of the answer."""
        self._answer = answer
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast('asyncio.Transport', transport)

    def data_received(self, data: bytes) -> None:
        """Parse received data; close the connection on a malformed request."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._transport is not None:
                self._transport.close()

    def on_message_complete(self) -> None:
        """Send the answer; called by the parser."""
        if self._transport is not None:
            self._transport.write(self._answer)


async def serve_fast(port: int, body_bytes: int) -> None:
    """Print the port, then serve on loopback until cancelled."""
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
