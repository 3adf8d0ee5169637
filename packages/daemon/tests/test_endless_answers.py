"""Tests of backend servers that send until their connection is closed."""

# The tests concatenate raw HTTP messages.
# flake8: noqa: WPS336

import asyncio
import contextlib
import random
import re
import tracemalloc
from types import SimpleNamespace

import anyio
import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_daemon import probing
from cornelbeam_daemon.backend_connection import (
    HEAD_LIMIT_BYTES,
    BackendConnection,
)
from cornelbeam_daemon.bodies import (
    BUFFER_LIMIT_BYTES,
    BodyBuffer,
    RequestBody,
)
from cornelbeam_daemon.metrics import Metrics
from prometheus_client import CollectorRegistry

pytestmark = pytest.mark.anyio
WAIT_LIMIT_S = 20
SEED = 7
PIECE_BYTES = 1024
REQUEST_ID_LINE = re.compile(rb'cornelbeam-request-id: [0-9a-f]{16}\r\n')
GET = b'GET /a HTTP/1.1\r\nhost: windows.mesh\r\n'
POST = b'POST /a HTTP/1.1\r\nhost: windows.mesh\r\n'
# A refusal at the deadline has another code than one because of the bytes.
LAST = b'cornelbeam-deadline-ms: 8000\r\nconnection: close\r\n\r\n'
FIRST = b'HTTP/1.1 200 OK\r\n'
CHUNKED = FIRST + b'transfer-encoding: chunked\r\n\r\n'
OWN = FIRST + b'x-own: 1\r\ncontent-length: 2\r\n\r\nok'
FOREIGN = b'HTTP/1.1 200 OK\r\nx-own: 0\r\n'
LETTERS = b'a' * PIECE_BYTES
LINES = b'x-a: %b\r\n' % LETTERS

# Start of what the backend server sends, and the piece it repeats.
NO_ANSWER = {
    'random': (b'', random.Random(SEED).randbytes(PIECE_BYTES)),
    'zeros': (b'', bytes(PIECE_BYTES)),
    'blank lines': (b'', b'\r\n' * PIECE_BYTES),
    'status line': (b'HTTP/1.1 200 ', LETTERS),
    'fields': (FIRST, LINES),
    'field name': (FIRST, LETTERS),
    'field value': (FIRST + b'x-a: ', LETTERS),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 40),
    'interim fields': (b'', b'HTTP/1.1 103 Early Hints\r\n%b\r\n' % LINES),
}
ENDLESS_FRAMING = {
    'chunk size': (CHUNKED, b'0' * PIECE_BYTES),
    'chunk extension': (CHUNKED + b'3;', LETTERS),
    'later chunk extension': (CHUNKED + b'3\r\nabc\r\n3;', LETTERS),
    'trailer fields': (CHUNKED + b'3\r\nabc\r\n0\r\n', LINES),
    'trailer line': (CHUNKED + b'3\r\nabc\r\n0\r\nx-a: ', LETTERS),
}
FOREIGN_ANSWERS = {
    'answers': (b'', FOREIGN + b'content-length: 3\r\n\r\nabc'),
    'chunks': (
        FOREIGN + b'transfer-encoding: chunked\r\n\r\n',
        b'400\r\n%b\r\n' % LETTERS,
    ),
    'length': (FOREIGN + b'content-length: 99999999999\r\n\r\n', LETTERS),
    'lines': (FOREIGN + b'content-length: 99999999999\r\n\r\n', LINES),
}
WHOLE = {
    'letters': (OWN, LETTERS),
    'blank lines': (OWN, b'\r\n' * PIECE_BYTES),
    'answers': (OWN, FOREIGN + b'content-length: 3\r\n\r\nabc'),
    'no content': (b'HTTP/1.1 204 No Content\r\n\r\n', LETTERS),
}
LEGITIMATE = {
    'no length': (FIRST + b'\r\n', LETTERS),
    'chunks': (CHUNKED, b'400\r\n%b\r\n' % LETTERS),
}


# Sizes of the chunks in which a backend server sends its body.
SMALL_CHUNKS_BYTES = (1, 2, 16)


def cases(table):
    """Return the rows of a table as parameters with their names."""
    return [
        pytest.param(start, piece, id=name)
        for name, (start, piece) in table.items()
    ]


class FakeTransport(asyncio.Transport):
    """Transport that records whether it was aborted."""

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False

    def write(self, content) -> None:
        """Drop the request."""

    def pause_reading(self) -> None:
        """Do nothing: the pieces of a test keep coming."""

    def abort(self) -> None:
        """Record the abort."""
        self.is_aborted = True


async def start_exchange(connection):
    """Send a request and return the task that waits for its answer."""
    body = BodyBuffer()
    body.finish()
    exchange = asyncio.create_task(
        connection.exchange(
            b'GET / HTTP/1.1\r\n\r\n',
            RequestBody(body).reader(),
            b'',
            is_complete=True,
            is_chunked=False,
            is_head_request=False,
            is_own_answer=lambda headers: b'0' not in headers,
        )
    )
    await asyncio.sleep(0)
    return exchange


async def feed_until_closed(start, piece, limit_bytes):
    """Feed pieces until the connection is closed or the limit is passed."""
    transport = FakeTransport()
    connection = BackendConnection()
    connection.connection_made(transport)
    exchange = await start_exchange(connection)
    if start:
        connection.data_received(start)
    # The limit, and one read beyond it.
    for _ in range(limit_bytes // len(piece) + 2):
        if transport.is_aborted:
            break
        connection.data_received(piece)
    await asyncio.sleep(0)
    return transport, exchange


@contextlib.contextmanager
def held_bytes():
    """Yield a function that returns how much memory is held since then."""
    tracemalloc.start()
    try:
        yield lambda: tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def send_endlessly(bed, start, piece):
    """Return a script that answers a request without end."""

    async def script(reader, writer) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        bed.backend.requests.append((head, b''))
        writer.write(start)
        while True:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)

    return script


class TestBound:
    """Guards against memory and work that grow with what is no answer."""

    @pytest.mark.parametrize(('start', 'piece'), cases(NO_ANSWER))
    async def test_closed_within_the_limit_of_a_head(self, start, piece):
        transport, exchange = await feed_until_closed(
            start, piece, HEAD_LIMIT_BYTES
        )
        assert transport.is_aborted
        with pytest.raises(CornelbeamError) as caught:
            await exchange
        assert caught.value.code is ErrorCode.BACKEND_FAILED

    @pytest.mark.parametrize(('start', 'piece'), cases(ENDLESS_FRAMING))
    async def test_framing_is_closed_within_the_limit_of_a_head(
        self, start, piece
    ):
        transport, exchange = await feed_until_closed(
            start, piece, HEAD_LIMIT_BYTES
        )
        assert transport.is_aborted
        body = (await exchange).body
        body.take_ready()
        with pytest.raises(CornelbeamError) as caught:
            await body.read()
        assert caught.value.code is ErrorCode.ANSWER_TRUNCATED

    @pytest.mark.parametrize(('start', 'piece'), cases(FOREIGN_ANSWERS))
    async def test_foreign_answers_are_closed_within_one_answer(
        self, start, piece
    ):
        transport, exchange = await feed_until_closed(
            start, piece, HEAD_LIMIT_BYTES + BUFFER_LIMIT_BYTES
        )
        assert transport.is_aborted
        with pytest.raises(CornelbeamError) as caught:
            await exchange
        assert caught.value.code is ErrorCode.BACKEND_FAILED

    async def test_foreign_answer_without_length_is_closed_at_its_head(self):
        transport, exchange = await feed_until_closed(
            FOREIGN + b'\r\n', LETTERS, 0
        )
        assert transport.is_aborted
        with pytest.raises(CornelbeamError):
            await exchange

    @pytest.mark.parametrize('content', [LETTERS, b'%b\n' % LETTERS])
    async def test_foreign_answer_of_full_size_hides_no_own_answer(
        self, content
    ):
        count = BUFFER_LIMIT_BYTES // len(content)
        length = count * len(content)
        transport = FakeTransport()
        connection = BackendConnection()
        connection.connection_made(transport)
        exchange = await start_exchange(connection)
        connection.data_received(
            FOREIGN + b'content-length: %d\r\n\r\n' % length
        )
        for _ in range(count):
            connection.data_received(content)
        connection.data_received(OWN)
        assert await (await exchange).body.read() == b'ok'

    async def test_long_chunked_answer_is_not_cut(self):
        """A body may have more framing in all than one head."""
        piece = b'1\r\na\r\n'
        transport, exchange = await feed_until_closed(
            CHUNKED, piece, 2 * HEAD_LIMIT_BYTES
        )
        assert not transport.is_aborted
        assert not (await exchange).body.is_complete


class TestSmallChunks:
    """Guards against buffers that hold many times the bytes they count."""

    @pytest.mark.parametrize('chunk_bytes', SMALL_CHUNKS_BYTES)
    async def test_answer_that_is_not_read(self, chunk_bytes):
        piece = b'%x\r\n%b\r\n' % (chunk_bytes, b'a' * chunk_bytes)
        wire_bytes = BUFFER_LIMIT_BYTES // chunk_bytes * len(piece)
        with held_bytes() as count:
            _, exchange = await feed_until_closed(CHUNKED, piece, wire_bytes)
            answer = await exchange
            assert answer.body.size_bytes >= BUFFER_LIMIT_BYTES
            assert count() < 2 * BUFFER_LIMIT_BYTES

    @pytest.mark.parametrize('chunk_bytes', SMALL_CHUNKS_BYTES)
    async def test_parts_that_are_collected_one_by_one(self, chunk_bytes):
        part = b'a' * chunk_bytes
        arriving = BodyBuffer()
        body = RequestBody(arriving, BUFFER_LIMIT_BYTES)
        with held_bytes() as count:
            for _ in range(BUFFER_LIMIT_BYTES // chunk_bytes):
                arriving.feed(bytes(part))
                await body.read_next()
            assert body.kept_bytes == BUFFER_LIMIT_BYTES
            assert count() < 2 * BUFFER_LIMIT_BYTES


class TestCaller:
    """Guards against callers that get such bytes, or wait for their end."""

    @pytest.mark.parametrize(('start', 'piece'), cases(NO_ANSWER))
    async def test_bytes_that_are_no_answer(self, bed, start, piece):
        bed.backend.script = send_endlessly(bed, start, piece)
        answer = await bed.ask(POST + LAST)
        assert answer.startswith(b'HTTP/1.1 502 '), answer
        assert b'cornelbeam-code: backend_failed' in answer
        assert b'cornelbeam-ran: unknown' in answer
        await self.check_next(bed)

    @pytest.mark.parametrize(('start', 'piece'), cases(ENDLESS_FRAMING))
    async def test_framing_without_end(self, bed, start, piece):
        bed.backend.script = send_endlessly(bed, start, piece)
        answer = await bed.ask(POST + LAST)
        # A random id may hold these letters too.
        assert b'aaa' not in REQUEST_ID_LINE.sub(b'', answer)
        assert not answer.endswith(b'0\r\n\r\n')
        await self.check_next(bed)

    @pytest.mark.parametrize(('start', 'piece'), cases(WHOLE))
    async def test_bytes_after_a_whole_answer(self, bed, start, piece):
        bed.backend.script = send_endlessly(bed, start, piece)
        answer = await bed.ask(POST + LAST)
        assert answer.startswith(start[:12])
        assert answer.endswith(start[-4:])
        await self.check_next(bed)

    @pytest.mark.parametrize(('start', 'piece'), cases(LEGITIMATE))
    async def test_caller_that_leaves_ends_a_body(self, bed, start, piece):
        bed.backend.script = send_endlessly(bed, start, piece)
        reader, writer = await bed.open()
        writer.write(GET + LAST)
        assert (await reader.readuntil(b'\r\n\r\n')).startswith(FIRST)
        await reader.readexactly(BUFFER_LIMIT_BYTES)
        writer.transport.abort()
        await self.check_next(bed)

    async def check_next(self, bed) -> None:
        """Check that the connection is closed and the next request served."""
        assert len(bed.backend.requests) == 1
        await bed.wait(lambda: not bed.backend.open_count)
        await bed.wait_idle()
        bed.backend.script = bed.backend.answer_all
        answer = await bed.ask(POST + LAST)
        assert answer.endswith(b'\r\n\r\nok')


class TestProbes:
    """Guards against probes that read without end.

    Their time limit is far away: only a bound on the bytes ends them.
    """

    @pytest.mark.parametrize(
        ('start', 'piece'),
        cases(NO_ANSWER | ENDLESS_FRAMING | LEGITIMATE),
    )
    async def test_probe_ends(self, remote, monkeypatch, start, piece):
        monkeypatch.setattr(probing, 'PROBE_TIMEOUT_S', 3600)
        remote.backend.script = send_endlessly(remote, start, piece)
        settings = SimpleNamespace(
            limits=SimpleNamespace(probe_burst_count=1, probe_per_s=0),
            backend_server=SimpleNamespace(probe_path='/health'),
        )
        prober = probing.Prober(
            settings,
            remote.client,
            remote.backend_side,
            Metrics(CollectorRegistry()),
        )
        replies = []
        messenger = SimpleNamespace(
            reply=lambda stream, probe_reply: replies.append(probe_reply)
        )
        with anyio.fail_after(WAIT_LIMIT_S):
            await prober.answer(None, messenger)
        # Its head is that of a healthy server only where the body is at fault.
        is_legitimate = (start, piece) in LEGITIMATE.values()
        assert [reply.is_healthy for reply in replies] == [is_legitimate]
        await remote.wait(lambda: not remote.backend.open_count)
