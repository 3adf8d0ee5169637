"""Tests of what is read of a caller whose requests wait."""

import asyncio

import pytest
from cornelbeam_daemon.http_server import HttpServerConnection
from cornelbeam_daemon.pipelining import DEFAULT_PIPELINED_COUNT

pytestmark = pytest.mark.anyio
BODY_BYTES = 100_000
REQUEST_COUNT = 40
PIECE_BYTES = 262_144
CHUNK = b'%x\r\n%b\r\n' % (BODY_BYTES, b'a' * BODY_BYTES)
BODIES = {
    'length': (b'content-length: %d\r\n\r\n' % BODY_BYTES + b'a' * BODY_BYTES),
    'chunks': b'transfer-encoding: chunked\r\n\r\n%b0\r\n\r\n' % CHUNK,
}


class FakeTransport(asyncio.Transport):
    """Transport that only notes whether reading is paused."""

    def __init__(self) -> None:
        """Read, and keep what is written."""
        super().__init__()
        self.is_paused = False
        self.written = b''
        self.is_closed = False

    def pause_reading(self) -> None:
        """Note it."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Note it."""
        self.is_paused = False

    def write(self, content) -> None:
        """Keep the content."""
        self.written += content

    def get_write_buffer_size(self) -> int:
        """Return the size of what was written, which is never sent."""
        return len(self.written)

    def can_write_eof(self) -> bool:
        """Return false."""
        return False

    def is_closing(self) -> bool:
        """Return whether the connection has been closed."""
        return self.is_closed

    def close(self) -> None:
        """Note it."""
        self.is_closed = True

    def abort(self) -> None:
        """Note it."""
        self.is_closed = True


class Caller:
    """A connection whose requests are never answered."""

    def __init__(self, **options) -> None:
        """Open the connection."""
        self.transport = FakeTransport()
        self.connection = HttpServerConnection(
            self._wait, 4096, 10_000_000, set(), **options
        )
        self.connection.connection_made(self.transport)

    async def _wait(self, request, responder) -> None:
        await asyncio.Event().wait()

    def send(self, content) -> int:
        """Send until reading is paused; return how much was taken."""
        start = 0
        while start < len(content) and not self.transport.is_paused:
            self.connection.data_received(content[start : start + PIECE_BYTES])
            start += PIECE_BYTES
        return min(start, len(content))

    async def close(self) -> None:
        """End the connection."""
        self.connection.connection_lost(None)
        await asyncio.sleep(0)


class TestPipelinedUploads:
    """Guards against callers whose waiting requests are read without end.

    Each part of the input ended within a body, in which the number of waiting
    requests was not checked.
    """

    @pytest.mark.parametrize('framing', BODIES)
    async def test_reading_stops_at_the_limit(self, framing):
        upload = b'POST / HTTP/1.1\r\nhost: a\r\n' + BODIES[framing]
        caller = Caller()
        taken_bytes = caller.send(upload * REQUEST_COUNT)
        await asyncio.sleep(0)
        assert len(caller.connection._pipeline) <= DEFAULT_PIPELINED_COUNT + 1
        assert taken_bytes < (DEFAULT_PIPELINED_COUNT + 4) * len(upload)
        await caller.close()
