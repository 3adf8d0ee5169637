"""Tests of the server's parsing with arbitrary input and cuts."""

# Raw messages are built from the parts that matter to a test.
# flake8: noqa: WPS336

import asyncio
from collections.abc import Iterable

from cornelbeam_daemon.http_server import HttpServerConnection
from hypothesis import example, given, settings
from hypothesis import strategies as some

HEAD_LIMIT_BYTES = 400
BODY_LIMIT_BYTES = 200
HOST = b'host: windows\r\n'
PATHS = some.text('abc/', max_size=5).map(lambda path: b'/' + path.encode())
FIELDS = some.lists(
    some.tuples(
        some.sampled_from([b'x', b'accept']), some.text('ab', max_size=9)
    ),
    max_size=3,
).map(lambda pairs: b''.join(b'%b: %b\r\n' % (n, v.encode()) for n, v in pairs))
BODIES = some.binary(max_size=40)
REQUESTS = some.one_of(
    some.builds(
        lambda path, more: (
            b'GET %b HTTP/1.1\r\n' % path + HOST + more + b'\r\n'
        ),
        PATHS,
        FIELDS,
    ),
    some.builds(
        lambda path, more, body: (
            b'PUT %b HTTP/1.1\r\n' % path
            + HOST
            + more
            + b'content-length: %d\r\n\r\n' % len(body)
            + body
        ),
        PATHS,
        FIELDS,
        BODIES,
    ),
    some.builds(
        lambda path, parts: (
            b'PUT %b HTTP/1.1\r\n' % path
            + HOST
            + b'transfer-encoding: chunked\r\n\r\n'
            + b''.join(b'%x\r\n%b\r\n' % (len(p), p) for p in parts)
            + b'0\r\nx-last: 1\r\n\r\n'
        ),
        PATHS,
        some.lists(some.binary(min_size=1, max_size=20), max_size=3),
    ),
)


class Wire(asyncio.Transport):
    """Transport that keeps what is written."""

    def __init__(self) -> None:
        """Start open."""
        super().__init__()
        self.written = b''
        self.is_open = True

    def write(self, data) -> None:
        """Keep bytes."""
        self.written += data

    def can_write_eof(self) -> bool:
        """Behave as TCP."""
        return True

    def write_eof(self) -> None:
        """Nothing is to be done."""

    def pause_reading(self) -> None:
        """Bytes are fed by hand."""

    def resume_reading(self) -> None:
        """Bytes are fed by hand."""

    def is_closing(self) -> bool:
        """Tell whether it was closed."""
        return not self.is_open

    def close(self) -> None:
        """Close."""
        self.is_open = False

    def abort(self) -> None:
        """Close."""
        self.is_open = False


async def serve(pieces: Iterable[bytes]) -> tuple[list[object], bytes]:
    """Feed pieces; give the requests that were handled and the output."""
    handled = []

    async def handle(request, responder) -> None:
        content = b''
        part = await request.body.read()
        while part:
            content += part
            part = await request.body.read()
        handled.append((request.method, request.target, content))
        handled.append(tuple(request.headers))
        responder.send_whole(200, [], content)

    wire = Wire()
    server = HttpServerConnection(
        handle,
        HEAD_LIMIT_BYTES,
        BODY_LIMIT_BYTES,
        set(),
    )
    server.connection_made(wire)
    for piece in pieces:
        if wire.is_open:
            server.data_received(piece)
        for _ in range(8):
            await asyncio.sleep(0)
    server.connection_lost(None)
    return handled, wire.written


def cut(stream: bytes, sizes: list[int]) -> list[bytes]:
    """Cut a stream into pieces of these sizes and a rest."""
    pieces = []
    for size in sizes:
        pieces.append(stream[:size])
        stream = stream[size:]
    return [piece for piece in (*pieces, stream) if piece]


class TestCuts:
    """Guards against requests that depend on how their bytes arrive."""

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        some.lists(REQUESTS, min_size=1, max_size=4),
        some.lists(some.integers(1, 60), max_size=30),
    )
    def test_any_cut(self, requests, sizes) -> None:
        """The same requests are handled in the same order."""
        stream = b''.join(requests)
        whole = asyncio.run(serve([*requests, b'']))
        assert len(whole[0]) == 2 * len(requests)
        assert asyncio.run(serve([*cut(stream, sizes), b'', b''])) == whole


class TestArbitrary:
    """Guards against input that ends in an exception or in no limit."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(REQUESTS, some.integers(0, 200), some.binary(max_size=4))
    @example(b'GET / HTTP/1.1\r\n' + HOST + b'x: ' + b'a' * 900, 0, b'')
    def test_damaged(self, request, position: int, damage: bytes) -> None:
        """A damaged request is handled once or refused once."""
        position %= len(request)
        damaged = request[:position] + damage + request[position + 1 :]
        handled, written = asyncio.run(serve([damaged, b'']))
        assert written.count(b'cornelbeam-code') <= 1
        assert len(handled) <= 2 * written.count(b'HTTP/1.1 200')

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(some.lists(some.binary(max_size=300), max_size=6))
    def test_any_bytes(self, pieces) -> None:
        """Arbitrary bytes handle nothing."""
        handled, written = asyncio.run(serve(pieces))
        assert not handled
        assert written.count(b'cornelbeam-code') <= 1
