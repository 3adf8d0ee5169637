"""Tests of what is read of a caller whose requests wait."""

import asyncio

import pytest
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_daemon.bodies import RequestBody
from cornelbeam_daemon.http_message import send_error
from cornelbeam_daemon.http_server import HttpServerConnection
from cornelbeam_daemon.memory_budget import MIN_BUDGET_BYTES, MemoryBudget
from cornelbeam_daemon.pipelining import DEFAULT_PIPELINED_COUNT

pytestmark = pytest.mark.anyio
BODY_BYTES = 100_000
REQUEST_COUNT = 40
PIECE_BYTES = 262_144
CHUNK = b'%x\r\n%b\r\n' % (BODY_BYTES, b'a' * BODY_BYTES)
UPLOAD_HEAD = b'POST / HTTP/1.1\r\nhost: a\r\n'
LENGTH = b'content-length: %d\r\n\r\n%b'
BODIES = {
    'length': LENGTH % (BODY_BYTES, b'a' * BODY_BYTES),
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
        try:
            await RequestBody(request.body, 10_000_000).buffer_all()
        except CornelbeamError as error:
            send_error(responder, error)
            return
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
        upload = b'%b%b' % (UPLOAD_HEAD, BODIES[framing])
        caller = Caller()
        taken_bytes = caller.send(upload * REQUEST_COUNT)
        await asyncio.sleep(0)
        assert len(caller.connection._pipeline) <= DEFAULT_PIPELINED_COUNT + 1
        assert taken_bytes < (DEFAULT_PIPELINED_COUNT + 4) * len(upload)
        await caller.close()


class TestShortMemory:
    """Guards against callers that take the memory of others."""

    async def test_longest_body_is_refused_and_others_go_on(self):
        budget = MemoryBudget(MIN_BUDGET_BYTES)
        callers = [Caller(budget=budget) for _ in range(20)]
        for caller in callers:
            caller.send(UPLOAD_HEAD)
            caller.send(LENGTH % (9_000_000, b'a' * PIECE_BYTES))
        await asyncio.sleep(0)
        refused = [each for each in callers if each.transport.written]
        assert refused
        assert len(refused) < len(callers)
        assert all(
            each.transport.written.startswith(b'HTTP/1.1 503 ')
            for each in refused
        )
        assert budget.used_bytes <= budget.limit_bytes
        for caller in callers:
            await caller.close()
        assert budget.used_bytes == 0
        assert budget.paused_count == 0

    async def test_unread_answer_is_given_up(self):
        budget = MemoryBudget(MIN_BUDGET_BYTES)
        caller = Caller(budget=budget)
        caller.connection.write(b'a' * MIN_BUDGET_BYTES)
        caller.connection.pause_writing()
        assert not caller.transport.is_closed
        budget.open_account().add(1)
        assert caller.transport.is_closed
        assert budget.used_bytes == 1
        await caller.close()
