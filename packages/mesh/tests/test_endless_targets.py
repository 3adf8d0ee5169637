"""Tests of targets that send until their connection is closed."""

# The tests concatenate raw HTTP messages.
# flake8: noqa: WPS336

import asyncio
import contextlib
import random
from functools import partial

import pytest
from cornelbeam_daemon.bodies import BUFFER_LIMIT_BYTES
from cornelbeam_mesh import target_probe
from mesh_harness import WAIT_LIMIT_S, head, wait_until

pytestmark = pytest.mark.anyio
OK = 'HTTP/1.1 200 OK'
SEED = 7
PIECE_BYTES = 1024
READ_BYTES = 65_536
LETTERS = b'a' * PIECE_BYTES
LINES = b'x-a: %b\r\n' % LETTERS
CHUNK = b'400\r\n%b\r\n' % LETTERS
OWN = b'HTTP/1.1 200 OK\r\nx-attempt: a1\r\n'
OWN_CHUNKED = OWN + b'transfer-encoding: chunked\r\n\r\n'
OTHER = b'HTTP/1.1 200 OK\r\nx-attempt: other\r\n'
OTHER_LENGTH = b'content-length: 99999999999\r\n\r\n'

# Start of what the target sends, and the piece it repeats.
NO_ANSWER = {
    'random': (b'', random.Random(SEED).randbytes(PIECE_BYTES)),
    'blank lines': (b'', b'\r\n' * PIECE_BYTES),
    'field value': (OWN + b'x-a: ', LETTERS),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 40),
    'chunk extension': (OWN_CHUNKED + b'3\r\nabc\r\n3;', LETTERS),
    'trailer line': (OWN_CHUNKED + b'3\r\nabc\r\n0\r\nx-a: ', LETTERS),
    'other answers': (b'', OTHER + b'content-length: 3\r\n\r\nabc'),
    'other without length': (OTHER + b'\r\n', LETTERS),
}
WHOLE = {
    'letters': (OWN + b'content-length: 2\r\n\r\nok', LETTERS),
    'answers': (
        OWN + b'content-length: 2\r\n\r\nok',
        OTHER + b'content-length: 3\r\n\r\nabc',
    ),
}
LEGITIMATE = {
    'no length': (OWN + b'\r\n', LETTERS),
    'chunks': (OWN_CHUNKED, CHUNK),
    'length': (OWN + OTHER_LENGTH, LETTERS),
}


def cases(table):
    """Return the rows of a table as parameters with their names."""
    return [
        pytest.param(start, piece, id=name)
        for name, (start, piece) in table.items()
    ]


class EndlessAnswer:
    """Script of a target that sends pieces until the daemon closes."""

    def __init__(self, start, piece) -> None:
        """Send ``start`` once and ``piece`` without end."""
        self.start = start
        self.piece = piece
        self.open_count = 0
        self.closed_count = 0

    async def send(self, writer, attempt) -> None:
        """Send until the connection is closed."""
        self.open_count += 1
        writer.write(self.start)
        try:
            while True:
                writer.write(self.piece)
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            self.open_count -= 1
            self.closed_count += 1

    def is_closed(self) -> bool:
        """Return whether it has sent, and on no open connection."""
        return bool(self.closed_count) and not self.open_count


async def read_end(reader) -> bytes:
    """Read until the connection ends and return the last bytes."""
    last = b''
    with contextlib.suppress(ConnectionResetError):
        async with asyncio.timeout(WAIT_LIMIT_S):
            part = await reader.read(READ_BYTES)
            while part:
                last = (last + part)[-PIECE_BYTES:]
                part = await reader.read(READ_BYTES)
    return last


def is_idle(node) -> bool:
    """Return whether a node works on no request."""
    sidecar = node.sidecar
    return not (
        sidecar.forwarder.in_flight_count or sidecar.admission.work_count
    )


async def check_next(nodes, endless) -> None:
    """Check that nothing is in use and that the next booking runs once."""
    await wait_until(endless.is_closed)
    for node in nodes:
        await wait_until(partial(is_idle, node))
        node.target.script = node.target.answer
        node.target.requests.clear()
    await wait_until(nodes[0].sidecar.admission.is_open)
    status, _, body = await nodes[0].send_request('/book/2', 'POST', b'sand')
    assert (status, body) == (OK, b'whole body')
    assert sum(len(node.target.requests) for node in nodes) == 1


class TestAnswers:
    """Guards against foreign bytes, second runs and calls that never end.

    The time limit is far away: only a bound on the bytes ends these calls.
    """

    @pytest.mark.parametrize(('start', 'piece'), cases(NO_ANSWER))
    async def test_read_is_answered_elsewhere(self, harness, start, piece):
        nodes = [await harness.add_node(), await harness.add_node('south')]
        endless = EndlessAnswer(start, piece)
        nodes[0].target.script = endless.send
        status, _, body = await nodes[0].send_request()
        assert (status, body) == (OK, b'whole body')
        assert len(nodes[0].target.requests) == 1
        await check_next(nodes, endless)

    @pytest.mark.parametrize(('start', 'piece'), cases(NO_ANSWER))
    async def test_booking_runs_once_and_fails(self, harness, start, piece):
        nodes = [await harness.add_node(), await harness.add_node('south')]
        endless = EndlessAnswer(start, piece)
        nodes[0].target.script = endless.send
        status, _, body = await nodes[0].send_request(
            '/book/1', 'POST', b'sand'
        )
        assert status.startswith('HTTP/1.1 502'), (status, body)
        assert len(nodes[0].target.requests) == 1
        assert not nodes[1].target.requests
        await check_next(nodes, endless)

    @pytest.mark.parametrize(
        ('path', 'method'), [('/read/1', 'GET'), ('/book/1', 'POST')]
    )
    @pytest.mark.parametrize(('start', 'piece'), cases(NO_ANSWER))
    async def test_target_of_another_daemon(
        self, harness, start, piece, path, method
    ):
        nodes = [await harness.add_node(), await harness.add_node('south')]
        endless = EndlessAnswer(start, piece)
        nodes[0].target.script = nodes[0].target.shed
        nodes[1].target.script = endless.send
        status, _, body = await nodes[0].send_request(path, method)
        assert status.startswith('HTTP/1.1 502'), (status, body)
        assert len(nodes[1].target.requests) == 1
        await check_next(nodes, endless)

    @pytest.mark.parametrize('is_remote', [False, True])
    @pytest.mark.parametrize(('start', 'piece'), cases(WHOLE))
    async def test_bytes_after_a_whole_answer(
        self, harness, start, piece, is_remote
    ):
        nodes = [await harness.add_node(), await harness.add_node('south')]
        endless = EndlessAnswer(start, piece)
        nodes[0].target.script = nodes[0].target.shed
        nodes[is_remote].target.script = endless.send
        status, _, body = await nodes[0].send_request('/book/1', 'POST')
        assert (status, body) == (OK, b'ok')
        await check_next(nodes, endless)


class TestLongBodies:
    """Guards against bodies that outlast the request or look complete."""

    @pytest.mark.parametrize('is_reading', [True, False])
    @pytest.mark.parametrize('is_remote', [False, True])
    @pytest.mark.parametrize(('start', 'piece'), cases(LEGITIMATE))
    async def test_endless_body_is_cut_at_the_time_limit(
        self, harness, start, piece, is_remote, is_reading
    ):
        nodes = [await harness.add_node(), await harness.add_node('south')]
        endless = EndlessAnswer(start, piece)
        nodes[0].target.script = nodes[0].target.shed
        nodes[is_remote].target.script = endless.send
        reader, writer = await asyncio.open_connection(
            *nodes[0].addresses['callers'].split(':')
        )
        writer.write(head('/read/1', x_remaining='500'))
        async with asyncio.timeout(WAIT_LIMIT_S):
            answered = await reader.readuntil(b'\r\n\r\n')
        assert answered.startswith(b'HTTP/1.1 200 OK\r\n')
        if not is_reading:
            await wait_until(endless.is_closed)
        assert not (await read_end(reader)).endswith(b'0\r\n\r\n')
        writer.close()
        await check_next(nodes, endless)

    @pytest.mark.parametrize('is_remote', [False, True])
    async def test_endless_trailer_after_a_long_body(self, harness, is_remote):
        nodes = [await harness.add_node(), await harness.add_node('south')]
        start = OWN_CHUNKED + CHUNK * (2 * BUFFER_LIMIT_BYTES // PIECE_BYTES)
        endless = EndlessAnswer(start + b'0\r\nx-a: ', LETTERS)
        nodes[0].target.script = nodes[0].target.shed
        nodes[is_remote].target.script = endless.send
        reader, writer = await asyncio.open_connection(
            *nodes[0].addresses['callers'].split(':')
        )
        writer.write(head('/book/1', 'POST'))
        assert not (await read_end(reader)).endswith(b'0\r\n\r\n')
        writer.close()
        await check_next(nodes, endless)


class TestHealth:
    """Guards against probes that read without end."""

    @pytest.mark.parametrize(('start', 'piece'), cases(NO_ANSWER | LEGITIMATE))
    async def test_probe_ends(self, harness, monkeypatch, start, piece):
        """The probe's time limit is far away, as above."""
        monkeypatch.setattr(target_probe, 'PROBE_TIMEOUT_S', 3600)
        node = await harness.add_node()
        endless = EndlessAnswer(start, piece)
        node.target.health_script = endless.send
        await wait_until(endless.is_closed)
        node.target.health_script = node.target.answer_health
        await check_next([node], endless)
